/* Parsing of HTTP/1.1 messages with http-parser. */
#include "grammar.h"
#include "socket.h"

#include <http_parser.h>
#include <string.h>

/* Bytes of an interim answer without its header fields. */
#define INTERIM_BYTES strlen("HTTP/1.1 100 \r\n\r\n")

struct http1_reader {
	http_parser parser;
	struct http1_grammar *grammar; /* of answers; NULL for requests */
	const struct http1_limits *limits;
	struct http1_memory *memory; /* of the limits, until it is released */
	struct http1_message message;
	gsize head_bytes; /* size of the header section, including the target */
	bool requests; /* parses requests, otherwise answers */
	const char *fault; /* why a check refused the message, or NULL */
	bool no_body; /* the answer has no body, as for HEAD */
	bool started; /* a byte of the message was received */
	bool head_complete;
	bool in_value; /* the last callback was for a header value */
	bool complete;
	/* Why a callback stopped the parser; HTTP1_INCOMPLETE if none did. */
	enum http1_reader_state error;
	/* Called with each interim answer, or NULL. */
	void (*interim)(const struct http1_message *message, void *user);
	void *interim_user;
};

static struct http1_reader *reader_of(http_parser *parser)
{
	return parser->data;
}

/* Adds n bytes to the size of the header section, including the request target.
 * Returns nonzero to stop the parser if the size exceeds its limit. */
static int add_head_bytes(struct http1_reader *reader, size_t n)
{
	reader->head_bytes += n;
	if (reader->head_bytes <= reader->limits->header_bytes)
		return 0;
	reader->error = HTTP1_HEAD_TOO_LARGE;
	return 1;
}

static int on_url(http_parser *parser, const char *at, size_t n)
{
	struct http1_reader *reader = reader_of(parser);

	g_string_append_len(reader->message.target, at, (gssize)n);
	return add_head_bytes(reader, n);
}

/* Terminates the value of the previous header field, if any, and begins a new
 * field. Returns nonzero to stop the parser. */
static int begin_header(struct http1_reader *reader)
{
	struct http1_message *message = &reader->message;

	if (message->n_headers)
		g_string_append_c(message->text, '\0');
	if (message->n_headers == HTTP1_HEADERS_MAX) {
		reader->error = HTTP1_HEAD_TOO_LARGE;
		return 1;
	}
	message->headers[message->n_headers].name = (guint)message->text->len;
	message->headers[message->n_headers].value = (guint)message->text->len;
	message->n_headers++;
	return add_head_bytes(reader, strlen(": \r\n"));
}

/* Refuses the message. Returns nonzero to stop the parser. */
static int refuse(struct http1_reader *reader, const char *fault)
{
	reader->fault = fault;
	reader->error = HTTP1_INVALID;
	return -1;
}

static int on_header_field(http_parser *parser, const char *at, size_t n)
{
	struct http1_reader *reader = reader_of(parser);
	bool begins = reader->in_value || !reader->message.n_headers;

	reader->in_value = false;
	/* The parser accepts spaces in a header name. Other implementations do
	 * not, so that the two could disagree about the header fields of a
	 * message (request smuggling). */
	if (memchr(at, ' ', n))
		return refuse(reader, "field-name");
	/* Trailer fields of a chunked body are discarded. */
	if (reader->head_complete)
		return add_head_bytes(reader, n);
	if (begins && begin_header(reader))
		return 1;
	g_string_append_len(reader->message.text, at, (gssize)n);
	return add_head_bytes(reader, n);
}

static int on_header_value(http_parser *parser, const char *at, size_t n)
{
	struct http1_reader *reader = reader_of(parser);
	struct http1_message *message = &reader->message;
	bool begins = !reader->in_value;

	reader->in_value = true;
	/* The parser checks a value from its second byte on. */
	if (begins && !http1_is_text(at, MIN(n, 1)))
		return refuse(reader, "field-value");
	if (reader->head_complete)
		return add_head_bytes(reader, n);
	if (begins) {
		g_string_append_c(message->text, '\0');
		message->headers[message->n_headers - 1].value =
			(guint)message->text->len;
	}
	g_string_append_len(message->text, at, (gssize)n);
	return add_head_bytes(reader, n);
}

/* Returns whether the message ends with its head, whatever its fields say. */
static bool has_no_body(const struct http1_reader *reader)
{
	guint status = reader->parser.status_code;

	return reader->no_body ||
	       (!reader->requests &&
		(status < 200 || status == 204 || status == 304));
}

/* Returns whether the message itself marks the end of its body, so that it does
 * not end with the connection. */
static bool is_self_delimited(const struct http1_reader *reader)
{
	const http_parser *parser = &reader->parser;

	return reader->requests || has_no_body(reader) ||
	       (parser->flags & F_CHUNKED) ||
	       parser->content_length != ULLONG_MAX;
}

/* Return: whether a value is one word, with blanks around it or without. */
static bool is_word(const char *value, const char *word)
{
	gsize length = strlen(word);

	value += strspn(value, " \t");
	return !g_ascii_strncasecmp(value, word, length) &&
	       !value[length + strspn(value + length, " \t")];
}

/* Return: NULL, or why the body of an answer cannot be read: its transfer
 * coding must be "chunked" alone, which HTTP/1.0 does not have. The parser
 * refuses a coding beside a length. */
static const char *check_coding(struct http1_reader *reader)
{
	const struct http1_message *message = &reader->message;
	guint n = 0;

	if (reader->parser.content_length != ULLONG_MAX)
		return NULL;
	for (guint i = 0; i < message->n_headers; i++) {
		const char *text = message->text->str;

		if (g_ascii_strcasecmp(text + message->headers[i].name,
				       "Transfer-Encoding") != 0)
			continue;
		if (n++ ||
		    !is_word(text + message->headers[i].value, "chunked"))
			return "transfer-coding";
	}
	if (n && !reader->parser.http_minor)
		return "transfer-coding";
	/* The parser does not know the coding with a tab after it. */
	if (n)
		reader->parser.flags |= F_CHUNKED;
	return NULL;
}

/* Return: NULL, or why the fields of an answer are not those of its status. An
 * answer to HEAD and a 304 may name the body that they do not have. */
static const char *check_body_allowed(const struct http1_reader *reader)
{
	const http_parser *parser = &reader->parser;
	bool names_body = (parser->flags & F_CHUNKED) ||
			  (parser->content_length != ULLONG_MAX &&
			   parser->content_length > 0);

	if (names_body &&
	    (parser->status_code < 200 || parser->status_code == 204))
		return "body-not-allowed";
	return NULL;
}

static int on_headers_complete(http_parser *parser)
{
	struct http1_reader *reader = reader_of(parser);
	struct http1_message *message = &reader->message;
	const char *fault;

	reader->head_complete = true;
	if (message->n_headers)
		g_string_append_c(message->text, '\0');
	/* Upgrade is not supported: the header is ignored. */
	parser->upgrade = 0;
	if (reader->requests) {
		message->method = http_method_str(parser->method);
		if (parser->method == HTTP_CONNECT)
			return refuse(reader, "method");
	} else {
		message->status = parser->status_code;
		fault = check_coding(reader);
		if (!fault)
			fault = check_body_allowed(reader);
		if (fault)
			return refuse(reader, fault);
	}
	message->keep_alive = http_should_keep_alive(parser);
	message->self_delimited = is_self_delimited(reader);
	if (has_no_body(reader))
		return 1;
	if (parser->content_length != ULLONG_MAX &&
	    parser->content_length > reader->limits->body_bytes) {
		reader->error = HTTP1_BODY_TOO_LARGE;
		return -1;
	}
	if (!reader->requests && (parser->flags & F_CHUNKED))
		http1_grammar_begin_chunks(reader->grammar);
	return 0;
}

bool http1_memory_has_room(const struct http1_memory *memory, gsize size)
{
	return !memory || size <= HTTP1_BODY_ALWAYS ||
	       memory->used + size <= memory->max;
}

/* Returns whether a body may grow to the given size. */
static bool may_grow(const struct http1_reader *reader, gsize size)
{
	const struct http1_memory *memory = reader->memory;
	gsize added = size - reader->message.body->len;

	if (size > reader->limits->body_bytes)
		return false;
	return !memory || size <= HTTP1_BODY_ALWAYS ||
	       memory->used + added <= memory->max;
}

static int on_body(http_parser *parser, const char *at, size_t n)
{
	struct http1_reader *reader = reader_of(parser);
	GByteArray *body = reader->message.body;

	if (!may_grow(reader, body->len + n)) {
		reader->error = HTTP1_BODY_TOO_LARGE;
		return 1;
	}
	if (reader->memory)
		reader->memory->used += n;
	g_byte_array_append(body, (const guint8 *)at, (guint)n);
	return 0;
}

static bool is_interim(const struct http1_reader *reader)
{
	return !reader->requests && reader->message.status >= 100 &&
	       reader->message.status < 200;
}

static void clear_message(struct http1_reader *reader)
{
	struct http1_message *message = &reader->message;

	g_string_truncate(message->text, 0);
	g_string_truncate(message->target, 0);
	if (reader->memory)
		reader->memory->used -= message->body->len;
	http1_buffer_remove(&message->body, message->body->len);
	message->n_headers = 0;
	message->status = 0;
	message->method = NULL;
	reader->head_complete = false;
	reader->in_value = false;
	reader->head_bytes = 0;
	if (reader->grammar)
		http1_grammar_reset(reader->grammar);
}

static int on_message_complete(http_parser *parser)
{
	struct http1_reader *reader = reader_of(parser);

	if (is_interim(reader)) {
		if (reader->interim)
			reader->interim(&reader->message, reader->interim_user);
		/* All interim answers together have the limit of one head. */
		gsize bytes = reader->head_bytes;

		clear_message(reader);
		return add_head_bytes(reader, bytes + INTERIM_BYTES);
	}
	reader->complete = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_url = on_url,
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

struct http1_reader *http1_reader_create(bool requests,
					 const struct http1_limits *limits)
{
	struct http1_reader *reader = g_new0(struct http1_reader, 1);

	reader->requests = requests;
	reader->grammar = requests ? NULL : http1_grammar_create();
	reader->limits = limits;
	reader->memory = limits->memory;
	reader->message.text = g_string_sized_new(256);
	reader->message.target = g_string_new(NULL);
	reader->message.body = g_byte_array_new();
	http1_reader_reset(reader, false);
	return reader;
}

void http1_reader_set_interim(
	struct http1_reader *reader,
	void (*interim)(const struct http1_message *message, void *user),
	void *user)
{
	reader->interim = interim;
	reader->interim_user = user;
}

void http1_reader_release_memory(struct http1_reader *reader)
{
	if (reader->memory)
		reader->memory->used -= reader->message.body->len;
	reader->memory = NULL;
}

void http1_reader_destroy(struct http1_reader *reader)
{
	if (!reader)
		return;
	http1_reader_release_memory(reader);
	http1_grammar_destroy(reader->grammar);
	g_string_free(reader->message.text, TRUE);
	g_string_free(reader->message.target, TRUE);
	g_byte_array_unref(reader->message.body);
	g_free(reader);
}

void http1_reader_reset(struct http1_reader *reader, bool no_body)
{
	http_parser_init(&reader->parser,
			 reader->requests ? HTTP_REQUEST : HTTP_RESPONSE);
	reader->parser.data = reader;
	clear_message(reader);
	reader->no_body = no_body;
	reader->started = false;
	reader->complete = false;
	reader->error = HTTP1_INCOMPLETE;
	reader->fault = NULL;
}

static enum http1_reader_state current_state(const struct http1_reader *reader)
{
	if (reader->error != HTTP1_INCOMPLETE)
		return reader->error;
	if (reader->complete)
		return HTTP1_COMPLETE;
	if (HTTP_PARSER_ERRNO(&reader->parser) == HPE_HEADER_OVERFLOW)
		return HTTP1_HEAD_TOO_LARGE;
	if (HTTP_PARSER_ERRNO(&reader->parser) != HPE_OK)
		return HTTP1_INVALID;
	return HTTP1_INCOMPLETE;
}

/* Parses bytes of an answer up to the end of a head, or all of them.
 * Return: the number of bytes. */
static gsize parse_checked(struct http1_reader *reader, const char *bytes,
			   gsize length)
{
	gsize n = http1_grammar_check(reader->grammar, bytes, length,
				      &reader->fault);

	if (reader->fault)
		reader->error = HTTP1_INVALID;
	else if (http1_grammar_pending(reader->grammar) >
		 reader->limits->header_bytes)
		reader->error = HTTP1_HEAD_TOO_LARGE;
	if (reader->error != HTTP1_INCOMPLETE)
		return 0;
	return http_parser_execute(&reader->parser, &callbacks, bytes, n);
}

enum http1_reader_state http1_reader_feed(struct http1_reader *reader,
					  const char *bytes, gsize length,
					  gsize *used)
{
	enum http1_reader_state state = HTTP1_INCOMPLETE;

	reader->started = reader->started || length > 0;
	if (reader->requests) {
		*used = http_parser_execute(&reader->parser, &callbacks, bytes,
					    length);
		return current_state(reader);
	}
	*used = 0;
	while (*used < length && state == HTTP1_INCOMPLETE) {
		*used += parse_checked(reader, bytes + *used, length - *used);
		state = current_state(reader);
	}
	return state;
}

const char *http1_reader_fault(const struct http1_reader *reader)
{
	if (reader->fault)
		return reader->fault;
	switch (current_state(reader)) {
	case HTTP1_INVALID:
		return http_errno_name(HTTP_PARSER_ERRNO(&reader->parser));
	case HTTP1_HEAD_TOO_LARGE:
		return "head-too-large";
	case HTTP1_BODY_TOO_LARGE:
		return "body-too-large";
	case HTTP1_INCOMPLETE:
	case HTTP1_COMPLETE:
		break;
	}
	return NULL;
}

enum http1_reader_state http1_reader_eof(struct http1_reader *reader)
{
	if (!reader->head_complete || reader->requests ||
	    reader->message.self_delimited)
		return HTTP1_INVALID;
	http_parser_execute(&reader->parser, &callbacks, NULL, 0);
	return reader->complete ? HTTP1_COMPLETE : HTTP1_INVALID;
}

bool http1_reader_started(const struct http1_reader *reader)
{
	return reader->started;
}

bool http1_reader_head_complete(const struct http1_reader *reader)
{
	return reader->head_complete;
}

struct http1_message *http1_reader_message(struct http1_reader *reader)
{
	return &reader->message;
}

const char *http1_message_header(const struct http1_message *message,
				 const char *name)
{
	for (guint i = 0; i < message->n_headers; i++) {
		const struct http1_header *header = &message->headers[i];

		if (!g_ascii_strcasecmp(message->text->str + header->name,
					name))
			return message->text->str + header->value;
	}
	return NULL;
}

/* Returns whether a header field applies to one connection only: the hop-by-hop
 * fields, and Content-Length and Expect, which are handled per connection. */
static bool is_connection_header(const char *name)
{
	static const char *const names[] = {
		"connection",
		"keep-alive",
		"te",
		"proxy-connection",
		"proxy-authenticate",
		"proxy-authorization",
		"trailer",
		"transfer-encoding",
		"upgrade",
		"content-length",
		"expect",
	};

	for (gsize i = 0; i < G_N_ELEMENTS(names); i++) {
		if (!g_ascii_strcasecmp(name, names[i]))
			return true;
	}
	return false;
}

/* Returns whether a comma-separated list, the value of a Connection header,
 * contains a name. */
static bool list_contains(const char *list, const char *name)
{
	g_auto(GStrv) tokens = g_strsplit(list, ",", -1);

	for (char **token = tokens; *token; token++) {
		if (!g_ascii_strcasecmp(g_strstrip(*token), name))
			return true;
	}
	return false;
}

void http1_message_foreach_end_to_end(const struct http1_message *message,
				      void (*visit)(const char *name,
						    const char *value,
						    void *user),
				      void *user)
{
	const char *connection = http1_message_header(message, "Connection");

	/* These common values name no further header fields. */
	if (connection && (!g_ascii_strcasecmp(connection, "keep-alive") ||
			   !g_ascii_strcasecmp(connection, "close")))
		connection = NULL;
	for (guint i = 0; i < message->n_headers; i++) {
		const struct http1_header *header = &message->headers[i];
		const char *name = message->text->str + header->name;

		if (is_connection_header(name) ||
		    (connection && list_contains(connection, name)))
			continue;
		visit(name, message->text->str + header->value, user);
	}
}

struct value_search {
	const char *name;
	const char **last;
	guint n;
};

static void match_value(const char *name, const char *value, void *user)
{
	struct value_search *search = user;

	if (g_ascii_strcasecmp(name, search->name) != 0)
		return;
	*search->last = value;
	search->n++;
}

guint http1_message_values(const struct http1_message *message,
			   const char *name, const char **last)
{
	struct value_search search = {name, last, 0};

	http1_message_foreach_end_to_end(message, match_value, &search);
	return search.n;
}
