/* Reading messages with http-parser. */
#include "cuminsail/http1.h"

#include <http_parser.h>
#include <string.h>

struct http1_reader {
	http_parser parser;
	const struct http1_limits *limits;
	struct http1_message message;
	gsize head_bytes;
	bool requests;
	bool bodiless;
	bool started;
	bool head_done;
	bool in_value; /* the last header piece was of a value */
	bool complete;
	enum http1_state refusal; /* set by a callback that stops the parser */
};

static struct http1_reader *reader_of(http_parser *parser)
{
	return parser->data;
}

/* Return: nonzero to stop the parser. */
static int grow_head(struct http1_reader *reader, size_t n)
{
	reader->head_bytes += n;
	if (reader->head_bytes <= reader->limits->header_bytes)
		return 0;
	reader->refusal = HTTP1_HEAD_TOO_LARGE;
	return 1;
}

static int on_url(http_parser *parser, const char *at, size_t n)
{
	struct http1_reader *reader = reader_of(parser);

	g_string_append_len(reader->message.target, at, (gssize)n);
	return grow_head(reader, n);
}

/* Ends the value being read, if any, and begins a new line. */
static int begin_line(struct http1_reader *reader)
{
	struct http1_message *message = &reader->message;

	if (message->n_headers)
		g_string_append_c(message->text, '\0');
	if (message->n_headers == HTTP1_HEADERS_MAX) {
		reader->refusal = HTTP1_HEAD_TOO_LARGE;
		return 1;
	}
	message->headers[message->n_headers].name = (guint)message->text->len;
	message->headers[message->n_headers].value = (guint)message->text->len;
	message->n_headers++;
	return grow_head(reader, strlen(": \r\n"));
}

static int on_field(http_parser *parser, const char *at, size_t n)
{
	struct http1_reader *reader = reader_of(parser);

	/* Trailers of a chunked body are dropped. */
	if (reader->head_done)
		return grow_head(reader, n);
	if ((reader->in_value || !reader->message.n_headers) &&
	    begin_line(reader))
		return 1;
	reader->in_value = false;
	g_string_append_len(reader->message.text, at, (gssize)n);
	return grow_head(reader, n);
}

static int on_value(http_parser *parser, const char *at, size_t n)
{
	struct http1_reader *reader = reader_of(parser);
	struct http1_message *message = &reader->message;

	if (reader->head_done)
		return grow_head(reader, n);
	if (!reader->in_value) {
		/* The parser takes spaces in a name; others would not. */
		if (strchr(message->text->str +
				   message->headers[message->n_headers - 1]
					   .name,
			   ' ')) {
			reader->refusal = HTTP1_BAD;
			return 1;
		}
		g_string_append_c(message->text, '\0');
		message->headers[message->n_headers - 1].value =
			(guint)message->text->len;
	}
	reader->in_value = true;
	g_string_append_len(message->text, at, (gssize)n);
	return grow_head(reader, n);
}

/* Whether the end of the body is known without the end of the connection. */
static bool is_framed(const struct http1_reader *reader)
{
	const http_parser *parser = &reader->parser;

	return reader->requests || reader->bodiless ||
	       parser->status_code == 204 || parser->status_code == 304 ||
	       (parser->flags & F_CHUNKED) ||
	       parser->content_length != ULLONG_MAX;
}

static int on_head(http_parser *parser)
{
	struct http1_reader *reader = reader_of(parser);
	struct http1_message *message = &reader->message;

	reader->head_done = true;
	if (message->n_headers)
		g_string_append_c(message->text, '\0');
	/* A request to change the protocol is served as if not asked for. */
	parser->upgrade = 0;
	if (reader->requests) {
		message->method = http_method_str(parser->method);
		if (parser->method == HTTP_CONNECT) {
			reader->refusal = HTTP1_BAD;
			return -1;
		}
	} else {
		message->status = parser->status_code;
	}
	message->keep_alive = http_should_keep_alive(parser);
	message->framed = is_framed(reader);
	if (parser->content_length != ULLONG_MAX &&
	    parser->content_length > reader->limits->body_bytes) {
		reader->refusal = HTTP1_BODY_TOO_LARGE;
		return -1;
	}
	return reader->bodiless ? 1 : 0;
}

static int on_body(http_parser *parser, const char *at, size_t n)
{
	struct http1_reader *reader = reader_of(parser);
	GByteArray *body = reader->message.body;

	if (body->len + n > reader->limits->body_bytes) {
		reader->refusal = HTTP1_BODY_TOO_LARGE;
		return 1;
	}
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
	g_byte_array_set_size(message->body, 0);
	message->n_headers = 0;
	message->status = 0;
	message->method = NULL;
	reader->head_done = false;
	reader->in_value = false;
	reader->head_bytes = 0;
}

static int on_complete(http_parser *parser)
{
	struct http1_reader *reader = reader_of(parser);

	if (is_interim(reader)) {
		clear_message(reader);
		return 0;
	}
	reader->complete = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

struct http1_reader *http1_reader_create(bool requests,
					 const struct http1_limits *limits)
{
	struct http1_reader *reader = g_new0(struct http1_reader, 1);

	reader->requests = requests;
	reader->limits = limits;
	reader->message.text = g_string_sized_new(256);
	reader->message.target = g_string_new(NULL);
	reader->message.body = g_byte_array_new();
	http1_reader_reset(reader, false);
	return reader;
}

void http1_reader_destroy(struct http1_reader *reader)
{
	if (!reader)
		return;
	g_string_free(reader->message.text, TRUE);
	g_string_free(reader->message.target, TRUE);
	g_byte_array_unref(reader->message.body);
	g_free(reader);
}

void http1_reader_reset(struct http1_reader *reader, bool bodiless)
{
	http_parser_init(&reader->parser,
			 reader->requests ? HTTP_REQUEST : HTTP_RESPONSE);
	reader->parser.data = reader;
	clear_message(reader);
	reader->bodiless = bodiless;
	reader->started = false;
	reader->complete = false;
	reader->refusal = HTTP1_MORE;
}

static enum http1_state state_of(const struct http1_reader *reader)
{
	if (reader->refusal != HTTP1_MORE)
		return reader->refusal;
	if (reader->complete)
		return HTTP1_COMPLETE;
	if (HTTP_PARSER_ERRNO(&reader->parser) == HPE_HEADER_OVERFLOW)
		return HTTP1_HEAD_TOO_LARGE;
	if (HTTP_PARSER_ERRNO(&reader->parser) != HPE_OK)
		return HTTP1_BAD;
	return HTTP1_MORE;
}

enum http1_state http1_reader_feed(struct http1_reader *reader,
				   const char *bytes, gsize length, gsize *used)
{
	reader->started = reader->started || length > 0;
	*used = http_parser_execute(&reader->parser, &callbacks, bytes, length);
	return state_of(reader);
}

enum http1_state http1_reader_eof(struct http1_reader *reader)
{
	if (!reader->head_done || reader->requests || reader->message.framed)
		return HTTP1_BAD;
	http_parser_execute(&reader->parser, &callbacks, NULL, 0);
	return reader->complete ? HTTP1_COMPLETE : HTTP1_BAD;
}

bool http1_reader_started(const struct http1_reader *reader)
{
	return reader->started;
}

bool http1_reader_head_done(const struct http1_reader *reader)
{
	return reader->head_done;
}

struct http1_message *http1_reader_message(struct http1_reader *reader)
{
	return &reader->message;
}

const char *http1_message_get(const struct http1_message *message,
			      const char *name)
{
	for (guint i = 0; i < message->n_headers; i++) {
		const struct http1_header *line = &message->headers[i];

		if (!g_ascii_strcasecmp(message->text->str + line->name, name))
			return message->text->str + line->value;
	}
	return NULL;
}

static bool concerns_connection(const char *name)
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

/* Whether a Connection line's list has the name. */
static bool list_has(const char *list, const char *name)
{
	g_auto(GStrv) words = g_strsplit(list, ",", -1);

	for (char **word = words; *word; word++) {
		if (!g_ascii_strcasecmp(g_strstrip(*word), name))
			return true;
	}
	return false;
}

void http1_message_each(const struct http1_message *message,
			void (*visit)(const char *name, const char *value,
				      void *user),
			void *user)
{
	const char *named = http1_message_get(message, "Connection");

	if (named && (!g_ascii_strcasecmp(named, "keep-alive") ||
		      !g_ascii_strcasecmp(named, "close")))
		named = NULL;
	for (guint i = 0; i < message->n_headers; i++) {
		const struct http1_header *line = &message->headers[i];
		const char *name = message->text->str + line->name;

		if (concerns_connection(name) ||
		    (named && list_has(named, name)))
			continue;
		visit(name, message->text->str + line->value, user);
	}
}
