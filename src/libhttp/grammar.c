/* The grammar of answers. */
#include "grammar.h"

#include <string.h>

/* The part of an answer that the next byte belongs to. */
enum part {
	STATUS_LINE,
	FIELD_LINE,
	BODY,
};

struct http1_grammar {
	enum part part;
	GString *line; /* begin of a line that is not complete */
};

struct http1_grammar *http1_grammar_create(void)
{
	struct http1_grammar *grammar = g_new0(struct http1_grammar, 1);

	grammar->line = g_string_new(NULL);
	return grammar;
}

void http1_grammar_destroy(struct http1_grammar *grammar)
{
	if (!grammar)
		return;
	g_string_free(grammar->line, TRUE);
	g_free(grammar);
}

void http1_grammar_reset(struct http1_grammar *grammar)
{
	grammar->part = STATUS_LINE;
	g_string_truncate(grammar->line, 0);
}

gsize http1_grammar_pending(const struct http1_grammar *grammar)
{
	return grammar->line->len;
}

/* ---- lines, without their CRLF ---- */

static const bool is_token_byte[256] = {
	['0' ... '9'] = true, ['A' ... 'Z'] = true, ['a' ... 'z'] = true,
	['!'] = true,	      ['#'] = true,	    ['$'] = true,
	['%'] = true,	      ['&'] = true,	    ['\''] = true,
	['*'] = true,	      ['+'] = true,	    ['-'] = true,
	['.'] = true,	      ['^'] = true,	    ['_'] = true,
	['`'] = true,	      ['|'] = true,	    ['~'] = true,
};

/* Return: whether all bytes may be in a reason phrase or a field value: blanks,
 * visible characters and bytes above 127. */
static bool is_text(const char *bytes, gsize n)
{
	for (gsize i = 0; i < n; i++) {
		guchar c = (guchar)bytes[i];

		if ((c < ' ' && c != '\t') || c == 0x7f)
			return false;
	}
	return true;
}

/* The blank before an empty reason phrase may be missing. Daemons ask for no
 * other protocol, so that none can be switched to. */
static const char *check_status_line(const char *line, gsize n)
{
	enum { MINOR = 7, STATUS = 9, REASON = 12 };

	if (n < REASON || memcmp(line, "HTTP/1.", MINOR) != 0 ||
	    !g_ascii_isdigit(line[MINOR]) || line[STATUS - 1] != ' ')
		return "status-line";
	if (line[STATUS] < '1' || line[STATUS] > '5' ||
	    !g_ascii_isdigit(line[STATUS + 1]) ||
	    !g_ascii_isdigit(line[STATUS + 2]) ||
	    (n > REASON && line[REASON] != ' '))
		return "status";
	if (!memcmp(line + STATUS, "101", 3))
		return "upgrade";
	return is_text(line + REASON, n - REASON) ? NULL : "reason-phrase";
}

/* Return: the number of bytes at the begin that may be in a token. */
static gsize token_length(const char *bytes, gsize n)
{
	gsize i = 0;

	while (i < n && is_token_byte[(guchar)bytes[i]])
		i++;
	return i;
}

/* A line that begins with a blank would continue the value before it. */
static const char *check_field_line(const char *line, gsize n)
{
	gsize name = token_length(line, n);

	if (line[0] == ' ' || line[0] == '\t')
		return "folded-field";
	if (!name || name == n || line[name] != ':')
		return "field-name";
	return is_text(line + name, n - name) ? NULL : "field-value";
}

static const char *check_line(struct http1_grammar *grammar, const char *line,
			      gsize n)
{
	if (!n || line[--n] != '\r')
		return "line-end";
	switch (grammar->part) {
	case STATUS_LINE:
		grammar->part = FIELD_LINE;
		return check_status_line(line, n);
	case FIELD_LINE:
		if (n)
			return check_field_line(line, n);
		grammar->part = BODY;
		break;
	case BODY:
		break;
	}
	return NULL;
}

/* ---- bytes ---- */

/* Checks the line that begins at @bytes if it is complete, and keeps it
 * otherwise. Return: the number of its bytes. */
static gsize take_line(struct http1_grammar *grammar, const char *bytes,
		       gsize length, const char **fault)
{
	const char *end = memchr(bytes, '\n', length);
	gsize n = end ? (gsize)(end - bytes) : length;
	GString *line = grammar->line;
	gsize known = line->len ? line->len - 1 : 0; /* without a CR */

	if (end && !line->len) {
		*fault = check_line(grammar, bytes, n);
		return n + 1;
	}
	g_string_append_len(line, bytes, (gssize)n);
	if (!end) {
		/* The parser may take a CR alone for the end of a line. */
		if (n && memchr(line->str + known, '\r', line->len - 1 - known))
			*fault = "line-end";
		return n;
	}
	*fault = check_line(grammar, line->str, line->len);
	g_string_truncate(line, 0);
	return n + 1;
}

gsize http1_grammar_check(struct http1_grammar *grammar, const char *bytes,
			  gsize length, const char **fault)
{
	gsize at = 0;

	*fault = NULL;
	if (grammar->part == BODY)
		return length;
	while (at < length && grammar->part != BODY && !*fault)
		at += take_line(grammar, bytes + at, length - at, fault);
	return at;
}
