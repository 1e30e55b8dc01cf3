/* Reading requests and writing replies. */
#include "cuminsail/caller.h"

#include "cuminsail/log.h"

#include <string.h>

#define JSON_LINE "Content-Type: application/json\r\n"

/* What a refused caller is told to wait, where waiting helps. */
#define RETRY_AFTER_S  1
#define STATUS_UNAVAIL 503

/* Request line and header lines: twice what common servers take by default. */
#define HEAD_BYTES 16384

/* Each connection costs some KB and a descriptor. */
#define CONNECTIONS_MAX 10000

struct caller_exchange {
	struct caller_server *server;
	struct http1_exchange *http;
	char id[33];
	char *caller_id;
	void *data;
};

struct caller_server {
	struct cs_counters *counters;
	struct caller_hooks hooks;
	struct http1_server_limits limits;
	struct http1_server *http;
	char *refusal; /* body of the last one that was not whole */
};

/* 128 random bits, made at entry. */
static void make_id(char id[33])
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

static const char *lines_for(guint status)
{
	return status == STATUS_UNAVAIL ? JSON_LINE
		       "Retry-After: " G_STRINGIFY(RETRY_AFTER_S) "\r\n"
					: JSON_LINE;
}

static void write_reply(struct caller_exchange *exchange, guint status,
			json_t *body)
{
	g_autofree char *text = NULL;
	struct http1_reply reply = {.status = status,
				    .lines = lines_for(status)};

	json_object_set_new(body, "request_id", json_string(exchange->id));
	if (exchange->caller_id)
		json_object_set_new(body, "id",
				    json_string(exchange->caller_id));
	text = cs_json_print(body);
	json_decref(body);
	reply.body = text;
	reply.length = strlen(text);
	http1_exchange_reply(exchange->http, &reply);
	free_exchange(exchange);
}

void caller_exchange_reply(struct caller_exchange *exchange, json_t *body)
{
	write_reply(exchange, 200, body);
}

/* The body of a refusal, with its line in the log. */
static json_t *refusal_body(struct caller_server *server, const char *id,
			    int code, enum cs_outcome outcome, const char *text)
{
	g_autofree char *number = g_strdup_printf("%d", code);
	g_autofree char *valid =
		g_utf8_make_valid(text ? text : cs_error_text(code), -1);
	json_t *body;

	cs_counters_refuse(server->counters, code);
	cs_log(LOG_NOTICE, "refused", "request", id, "code", number, "reason",
	       cs_error_name(code), "outcome", cs_outcome_name(outcome), "text",
	       valid, NULL);
	body = json_pack("{s:s,s:{s:i,s:s,s:s}}", "outcome",
			 cs_outcome_name(outcome), "error", "code", code,
			 "name", cs_error_name(code), "text", valid);
	if (cs_error_http(code) == STATUS_UNAVAIL)
		json_object_set_new(body, "retry_after_ms",
				    json_integer(RETRY_AFTER_S * 1000));
	return body;
}

void caller_exchange_refuse(struct caller_exchange *exchange, int code,
			    enum cs_outcome outcome, const char *text)
{
	write_reply(exchange, cs_error_http(code),
		    refusal_body(exchange->server, exchange->id, code, outcome,
				 text));
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

/* Return: the path without its query, decoded, or NULL. */
static char *path_of(const struct http1_message *request)
{
	const char *target = request->target->str;

	return g_uri_unescape_segment(target, target + strcspn(target, "?"),
				      NULL);
}

static int parse(const struct http1_message *message,
		 struct caller_request *request, char **why)
{
	g_autofree char *path = path_of(message);

	if (path)
		return caller_request_parse(message->method, path,
					    (const char *)message->body->data,
					    message->body->len, request, why);
	cs_why(why, "the path is not well escaped");
	return CS_E_PATH;
}

static void on_request(struct http1_exchange *http,
		       const struct http1_message *message, void *user)
{
	struct caller_server *server = user;
	struct caller_exchange *exchange = g_new0(struct caller_exchange, 1);
	struct caller_request request = {0};
	g_autofree char *why = NULL;
	int error = parse(message, &request, &why);

	exchange->server = server;
	exchange->http = http;
	make_id(exchange->id);
	http1_exchange_set_data(http, exchange);
	if (error) {
		caller_exchange_refuse(exchange, error, CS_NOT_RUN, why);
	} else {
		exchange->caller_id = g_strdup(request.caller_id);
		server->hooks.begin(exchange, &request, server->hooks.user);
	}
	caller_request_clear(&request);
}

static void on_gone(struct http1_exchange *http, void *user)
{
	struct caller_server *server = user;
	struct caller_exchange *exchange = http1_exchange_data(http);

	cs_counters_add(server->counters, CS_N_CALLER_GONE, 1);
	server->hooks.gone(exchange, server->hooks.user);
	free_exchange(exchange);
}

static void on_refused(struct http1_reply *reply, void *user)
{
	struct caller_server *server = user;
	char id[33];
	json_t *body;

	make_id(id);
	body = refusal_body(server, id, http1_refusal_code(reply->status),
			    CS_NOT_RUN, NULL);
	json_object_set_new(body, "request_id", json_string(id));
	g_free(server->refusal);
	server->refusal = cs_json_print(body);
	json_decref(body);
	reply->lines = JSON_LINE;
	reply->body = server->refusal;
	reply->length = strlen(server->refusal);
}

/* ---- the server ---- */

struct caller_server *caller_server_create(struct http1_loop *loop,
					   const struct settings *settings,
					   struct cs_counters *counters,
					   const struct caller_hooks *hooks,
					   char **why)
{
	struct caller_server *server = g_new0(struct caller_server, 1);
	struct http1_server_hooks http = {on_request, on_gone, on_refused,
					  server};
	struct sockaddr_in at;

	server->counters = counters;
	server->hooks = *hooks;
	server->limits = (struct http1_server_limits){
		.message = {HEAD_BYTES, (gsize)settings->body_max},
		.head_us = settings->receive_ms * CS_US_PER_MS,
		.idle_us = settings->idle_ms * CS_US_PER_MS,
		.connections = CONNECTIONS_MAX,
	};
	if (!settings_address_socket(&settings->caller, &at))
		server->http =
			http1_server_create(loop, &at, &server->limits, &http);
	if (server->http)
		return server;
	cs_why(why, "caller: cannot listen at %s:%" G_GINT64_FORMAT,
	       settings->caller.address, settings->caller.port);
	caller_server_destroy(server);
	return NULL;
}

void caller_server_drain(struct caller_server *server)
{
	http1_server_drain(server->http);
}

guint caller_server_open(const struct caller_server *server)
{
	return http1_server_open(server->http) +
	       http1_server_reading(server->http);
}

void caller_server_destroy(struct caller_server *server)
{
	if (!server)
		return;
	http1_server_destroy(server->http);
	g_free(server->refusal);
	g_free(server);
}
