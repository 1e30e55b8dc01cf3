/* The grammar of answers. */
#include "grammar.h"

#include <string.h>

/* The part of an answer that the next byte belongs to. */
enum part {
	STATUS_LINE,
	FIELD_LINE,
	CHUNK_LINE, /* size and extensions */
	CHUNK_DATA,
	CHUNK_END, /* the empty line after the data */
	TRAILER_LINE,
	UNCHECKED, /* a body without chunks, or the end of one with chunks */
};

struct http1_grammar {
	enum part part;
	GString *line; /* begin of a line that is not complete */
	guint64 chunk_left; /* bytes of the chunk's data still to come */
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

void http1_grammar_begin_chunks(struct http1_grammar *grammar)
{
	grammar->part = CHUNK_LINE;
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

bool http1_is_text(const char *bytes, gsize n)
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
	return http1_is_text(line + REASON, n - REASON) ? NULL
							: "reason-phrase";
}

/* Return: the number of bytes at the begin that may be in a token. */
static gsize token_length(const char *bytes, gsize n)
{
	gsize i = 0;

	while (i < n && is_token_byte[(guchar)bytes[i]])
		i++;
	return i;
}

/* The bytes of a line that are not read yet. */
struct rest {
	const char *at;
	const char *end;
};

static bool take(struct rest *rest, char c)
{
	if (rest->at == rest->end || *rest->at != c)
		return false;
	rest->at++;
	return true;
}

static void skip_blanks(struct rest *rest)
{
	while (take(rest, ' ') || take(rest, '\t'))
		continue;
}

static bool take_token(struct rest *rest)
{
	gsize n = token_length(rest->at, (gsize)(rest->end - rest->at));

	rest->at += n;
	return n > 0;
}

static bool take_quoted(struct rest *rest)
{
	if (!take(rest, '"'))
		return false;
	while (!take(rest, '"')) {
		take(rest, '\\');
		if (rest->at == rest->end || !http1_is_text(rest->at, 1))
			return false;
		rest->at++;
	}
	return true;
}

/* Takes a name, and a value if it has one. */
static bool take_extension(struct rest *rest)
{
	struct rest name_end;

	skip_blanks(rest);
	if (!take(rest, ';'))
		return false;
	skip_blanks(rest);
	if (!take_token(rest))
		return false;
	name_end = *rest;
	skip_blanks(rest);
	if (!take(rest, '=')) {
		*rest = name_end;
		return true;
	}
	skip_blanks(rest);
	return take_token(rest) || take_quoted(rest);
}

static const char *check_chunk_line(const char *line, gsize n, guint64 *size)
{
	struct rest rest = {line, line + n};

	*size = 0;
	while (rest.at < rest.end && g_ascii_isxdigit(*rest.at)) {
		if (*size > G_MAXUINT64 >> 4)
			return "chunk-size";
		*size = *size << 4 | (guint64)g_ascii_xdigit_value(*rest.at++);
	}
	if (rest.at == line)
		return "chunk-size";
	while (rest.at < rest.end) {
		if (!take_extension(&rest))
			return "chunk-extension";
	}
	return NULL;
}

static const char *check_line(struct http1_grammar *grammar, const char *line,
			      gsize n)
{
	const char *fault;

	/* The parser may take a CR with any byte behind it for the end. */
	if (!n || memchr(line, '\r', n) != line + n - 1)
		return "line-end";
	n--;
	switch (grammar->part) {
	case STATUS_LINE:
		grammar->part = FIELD_LINE;
		return check_status_line(line, n);
	case FIELD_LINE:
	case TRAILER_LINE:
		if (!n)
			grammar->part = UNCHECKED;
		/* It would continue the value before it. */
		else if (line[0] == ' ' || line[0] == '\t')
			return "folded-field";
		break;
	case CHUNK_LINE:
		fault = check_chunk_line(line, n, &grammar->chunk_left);
		grammar->part = grammar->chunk_left ? CHUNK_DATA : TRAILER_LINE;
		return fault;
	case CHUNK_END:
		grammar->part = CHUNK_LINE;
		return n ? "chunk-end" : NULL;
	case CHUNK_DATA:
	case UNCHECKED:
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
		/* As in check_line(). */
		if (n && memchr(line->str + known, '\r', line->len - 1 - known))
			*fault = "line-end";
		return n;
	}
	*fault = check_line(grammar, line->str, line->len);
	g_string_truncate(line, 0);
	return n + 1;
}

static gsize take_data(struct http1_grammar *grammar, gsize length)
{
	gsize n = MIN(grammar->chunk_left, length);

	grammar->chunk_left -= n;
	if (!grammar->chunk_left)
		grammar->part = CHUNK_END;
	return n;
}

gsize http1_grammar_check(struct http1_grammar *grammar, const char *bytes,
			  gsize length, const char **fault)
{
	gsize at = 0;

	*fault = NULL;
	if (grammar->part == UNCHECKED)
		return length;
	while (at < length && grammar->part != UNCHECKED && !*fault) {
		if (grammar->part == CHUNK_DATA)
			at += take_data(grammar, length - at);
		else
			at += take_line(grammar, bytes + at, length - at,
					fault);
	}
	return at;
}
