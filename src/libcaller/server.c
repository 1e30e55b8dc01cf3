/* HTTP server for the callers: receives requests and sends replies. */
#include "cuminsail/caller.h"

#include "cuminsail/log.h"

#include <string.h>

#define JSON_HEADER "Content-Type: application/json\r\n"

/* Time that a refused caller is asked to wait before a retry, in seconds. Sent
 * only with status 503, where a later retry can succeed. */
#define RETRY_AFTER_S	   1
#define STATUS_UNAVAILABLE 503

/* Limit on the request target and the headers: twice the default of common
 * servers. */
#define HEADER_BYTES_MAX 16384

/* Bounds memory and file descriptors: each connection takes a few KB and one
 * descriptor. */
#define CONNECTIONS_MAX 10000

struct caller_exchange {
	struct caller_server *server;
	struct http1_exchange *http;
	char id[33]; /* request id with its NUL */
	char *caller_id; /* id chosen by the caller, or NULL */
	void *data; /* pointer of the owner */
};

struct caller_server {
	struct cs_counters *counters;
	struct caller_hooks hooks;
	struct http1_server_limits limits;
	struct http1_server *http;
	/* Body of the last refusal of an incomplete request. It must stay
	 * valid after on_rejected() returns. */
	char *early_refusal_body;
};

/* Generates the id of a received request: the 32 hexadecimal digits of a random
 * UUID, which has 122 random bits. */
static void generate_id(char id[33])
{
	g_autofree char *uuid = g_uuid_string_random();
	size_t length = 0;

	for (const char *p = uuid; *p && length < 32; p++) {
		if (*p != '-')
			id[length++] = *p;
	}
	id[length] = '\0';
}

static void free_exchange(struct caller_exchange *exchange)
{
	g_free(exchange->caller_id);
	g_free(exchange);
}

/* ---- replies ---- */

static const char *headers_for(guint status)
{
	return status == STATUS_UNAVAILABLE ? JSON_HEADER
		       "Retry-After: " G_STRINGIFY(RETRY_AFTER_S) "\r\n"
					    : JSON_HEADER;
}

/* Sends @body with the ids added and frees the exchange. */
static void write_reply(struct caller_exchange *exchange, guint status,
			json_t *body)
{
	g_autofree char *text = NULL;
	struct http1_reply reply = {.status = status,
				    .header_lines = headers_for(status)};

	json_object_set_new(body, "request_id", json_string(exchange->id));
	if (exchange->caller_id)
		json_object_set_new(body, "id",
				    json_string(exchange->caller_id));
	text = cs_json_print(body);
	json_decref(body);
	reply.body = text;
	reply.body_length = strlen(text);
	http1_exchange_reply(exchange->http, &reply);
	free_exchange(exchange);
}

void caller_exchange_reply(struct caller_exchange *exchange, json_t *body)
{
	write_reply(exchange, 200, body);
}

/* Creates the body of a refusal, logs the refusal and counts it. */
static json_t *create_refusal_body(struct caller_server *server, const char *id,
				   int code, enum cs_outcome outcome,
				   const char *text)
{
	g_autofree char *code_text = g_strdup_printf("%d", code);
	g_autofree char *utf8_text =
		g_utf8_make_valid(text ? text : cs_error_text(code), -1);
	json_t *body;

	cs_counters_add_refusal(server->counters, code);
	cs_log(LOG_NOTICE, "refused", "request", id, "code", code_text,
	       "reason", cs_error_name(code), "outcome",
	       cs_outcome_name(outcome), "text", utf8_text, NULL);
	body = json_pack("{s:s,s:{s:i,s:s,s:s}}", "outcome",
			 cs_outcome_name(outcome), "error", "code", code,
			 "name", cs_error_name(code), "text", utf8_text);
	if (cs_error_http_status(code) == STATUS_UNAVAILABLE)
		json_object_set_new(body, "retry_after_ms",
				    json_integer(RETRY_AFTER_S * 1000));
	return body;
}

void caller_exchange_refuse(struct caller_exchange *exchange, int code,
			    enum cs_outcome outcome, const char *text)
{
	write_reply(exchange, cs_error_http_status(code),
		    create_refusal_body(exchange->server, exchange->id, code,
					outcome, text));
}

void caller_exchange_set_data(struct caller_exchange *exchange, void *data)
{
	exchange->data = data;
}

void *caller_exchange_data(const struct caller_exchange *exchange)
{
	return exchange->data;
}

const char *caller_exchange_id(const struct caller_exchange *exchange)
{
	return exchange->id;
}

/* ---- requests ---- */

/* Returns the percent-decoded path without the query component, or NULL if the
 * percent-encoding is not valid. */
static char *decode_path(const struct http1_message *request)
{
	const char *target = request->target->str;

	return g_uri_unescape_segment(target, target + strcspn(target, "?"),
				      NULL);
}

static int parse_request(const struct http1_message *message,
			 struct caller_request *request, char **why)
{
	g_autofree char *path = decode_path(message);

	if (path)
		return caller_request_parse(message->method, path,
					    (const char *)message->body->data,
					    message->body->len, request, why);
	cs_set_cause(why, "the path is not well escaped");
	return CS_E_PATH;
}

static void on_request(struct http1_exchange *http,
		       const struct http1_message *message, void *user)
{
	struct caller_server *server = user;
	struct caller_exchange *exchange = g_new0(struct caller_exchange, 1);
	struct caller_request request = {0};
	g_autofree char *why = NULL;
	int error = parse_request(message, &request, &why);

	exchange->server = server;
	exchange->http = http;
	generate_id(exchange->id);
	http1_exchange_set_data(http, exchange);
	if (error) {
		caller_exchange_refuse(exchange, error, CS_NOT_RUN, why);
	} else {
		exchange->caller_id = g_strdup(request.caller_id);
		server->hooks.request(exchange, &request, server->hooks.user);
	}
	caller_request_clear(&request);
}

static void on_disconnected(struct http1_exchange *http, void *user)
{
	struct caller_server *server = user;
	struct caller_exchange *exchange = http1_exchange_data(http);

	cs_counters_add(server->counters, CS_N_CALLER_GONE, 1);
	server->hooks.disconnected(exchange, server->hooks.user);
	free_exchange(exchange);
}

/* Adds a body to the refusal of an incomplete request. No exchange exists for
 * it, so the request id is generated here. */
static void on_rejected(struct http1_reply *reply, void *user)
{
	struct caller_server *server = user;
	char id[33];
	json_t *body;

	generate_id(id);
	body = create_refusal_body(server, id,
				   http1_rejection_code(reply->status),
				   CS_NOT_RUN, NULL);
	json_object_set_new(body, "request_id", json_string(id));
	g_free(server->early_refusal_body);
	server->early_refusal_body = cs_json_print(body);
	json_decref(body);
	reply->header_lines = JSON_HEADER;
	reply->body = server->early_refusal_body;
	reply->body_length = strlen(server->early_refusal_body);
}

/* ---- server ---- */

struct caller_server *caller_server_create(struct http1_loop *loop,
					   const struct settings *settings,
					   struct cs_counters *counters,
					   const struct caller_hooks *hooks,
					   char **why)
{
	struct caller_server *server = g_new0(struct caller_server, 1);
	struct http1_server_hooks http_hooks = {on_request, on_disconnected,
						on_rejected, server};
	struct sockaddr_in address;

	server->counters = counters;
	server->hooks = *hooks;
	server->limits = (struct http1_server_limits){
		.message = {HEADER_BYTES_MAX, (gsize)settings->body_max},
		.request_timeout_us = settings->receive_ms * CS_US_PER_MS,
		.idle_timeout_us = settings->idle_ms * CS_US_PER_MS,
		.connections_max = CONNECTIONS_MAX,
	};
	if (!settings_address_to_sockaddr(&settings->caller, &address))
		server->http = http1_server_create(
			loop, &address, &server->limits, &http_hooks);
	if (server->http)
		return server;
	cs_set_cause(why, "caller: cannot listen on %s:%" G_GINT64_FORMAT,
		     settings->caller.address, settings->caller.port);
	caller_server_destroy(server);
	return NULL;
}

void caller_server_drain(struct caller_server *server)
{
	http1_server_drain(server->http);
}

guint caller_server_open_requests(const struct caller_server *server)
{
	return http1_server_open_exchanges(server->http) +
	       http1_server_partial_requests(server->http);
}

void caller_server_destroy(struct caller_server *server)
{
	if (!server)
		return;
	http1_server_destroy(server->http);
	g_free(server->early_refusal_body);
	g_free(server);
}
