/* Answers by the grammar of HTTP/1.1, to send from stand-ins of every kind. */
#ifndef ANSWERS_H
#define ANSWERS_H

#include <glib.h>

/* Templates, see answers_print(). */
struct answers {
	const char *const *templates;
	gsize n;
};

/* Answers that are served although they look odd. */
extern const struct answers answers_sound;

/* Bytes that are no answer: one deviation from the grammar each. */
extern const struct answers answers_broken;

/* Return: new text: a template with "$f" replaced by header lines, "$p" by a
 * payload, "$n" and "$h" by its length, decimal and hexadecimal. */
char *answers_print(const char *template, const char *fields,
		    const char *payload);

#endif
