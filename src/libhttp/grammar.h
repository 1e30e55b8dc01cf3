/* The grammar of answers, RFC 9112. The parser accepts more than it. */
#ifndef HTTP1_GRAMMAR_H
#define HTTP1_GRAMMAR_H

#include <glib.h>
#include <stdbool.h>

/**
 * http1_is_text - check the bytes of a field value or a reason phrase
 * @bytes: the bytes
 * @n: number of bytes
 *
 * Return: whether all are blanks, visible characters or bytes above 127.
 */
bool http1_is_text(const char *bytes, gsize n);

/** Checks the bytes of consecutive answers before they are parsed. */
struct http1_grammar;

/**
 * http1_grammar_create - create a checker that expects a status line
 *
 * Return: a new checker.
 */
struct http1_grammar *http1_grammar_create(void);

/**
 * http1_grammar_destroy - free a checker
 * @grammar: a checker or NULL
 */
void http1_grammar_destroy(struct http1_grammar *grammar);

/**
 * http1_grammar_reset - expect the status line of the next answer
 * @grammar: a checker
 */
void http1_grammar_reset(struct http1_grammar *grammar);

/**
 * http1_grammar_begin_chunks - expect a body in chunks
 * @grammar: a checker that has met the end of a head
 *
 * Other bodies are not checked.
 */
void http1_grammar_begin_chunks(struct http1_grammar *grammar);

/**
 * http1_grammar_check - check received bytes
 * @grammar: a checker
 * @bytes: the received bytes
 * @length: number of bytes
 * @fault: set to a word for why they are no answer, or NULL; a static string
 *
 * Names and values of fields are left to the reader. A line is checked once it
 * is complete. Stops after the blank line that ends a
 * head, so that the caller can say what follows.
 *
 * Return: the number of bytes that were checked.
 */
gsize http1_grammar_check(struct http1_grammar *grammar, const char *bytes,
			  gsize length, const char **fault);

/**
 * http1_grammar_pending - get the size of an incomplete line
 * @grammar: a checker
 *
 * Return: the number of bytes that the checker keeps.
 */
gsize http1_grammar_pending(const struct http1_grammar *grammar);

#endif
