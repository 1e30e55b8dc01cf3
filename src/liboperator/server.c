/* Read-only HTTP server for operators and health checks. */
#include "cuminsail/operator.h"

#include "cuminsail/error.h"

#include <string.h>

#define JSON_HEADER    "Content-Type: application/json\r\n"
#define TEXT_HEADER    "Content-Type: text/plain\r\n"
#define METRICS_HEADER "Content-Type: text/plain; version=0.0.4\r\n"

/* Limits: requests consist of little more than a path, and only a few people
 * and programs send them. */
#define HEADER_BYTES_MAX   16384
#define BODY_BYTES_MAX	   65536
#define REQUEST_TIMEOUT_US (5 * CS_US_PER_S)
#define IDLE_TIMEOUT_US	   (75 * CS_US_PER_S)
#define CONNECTIONS_MAX	   1000

struct operator_server {
	struct cs_counters *counters;
	struct operator_hooks hooks;
	struct http1_server *http;
};

static const struct http1_server_limits limits = {
	.message = {HEADER_BYTES_MAX, BODY_BYTES_MAX},
	.request_timeout_us = REQUEST_TIMEOUT_US,
	.idle_timeout_us = IDLE_TIMEOUT_US,
	.connections_max = CONNECTIONS_MAX,
};

static void reply_text(struct http1_exchange *exchange, guint status,
		       const char *header, const char *text)
{
	struct http1_reply reply = {.status = status,
				    .header_lines = header,
				    .body = text,
				    .body_length = strlen(text)};

	http1_exchange_reply(exchange, &reply);
}

static void reply_json(struct http1_exchange *exchange, guint status,
		       json_t *body)
{
	g_autofree char *text = cs_json_print(body);

	json_decref(body);
	reply_text(exchange, status, JSON_HEADER, text);
}

static void reply_error(struct http1_exchange *exchange, int code)
{
	reply_json(exchange, cs_error_http_status(code),
		   json_pack("{s:{s:i,s:s,s:s}}", "error", "code", code, "name",
			     cs_error_name(code), "text", cs_error_text(code)));
}

static void reply_page(struct operator_server *server,
		       struct http1_exchange *exchange, enum operator_page page,
		       const char *name)
{
	json_t *body = server->hooks.read(page, name, server->hooks.user);

	if (body)
		reply_json(exchange, 200, body);
	else
		reply_error(exchange, CS_E_PATH);
}

static void reply_ready(struct operator_server *server,
			struct http1_exchange *exchange)
{
	bool ready = server->hooks.ready(server->hooks.user);

	reply_text(exchange, ready ? 200 : 503, TEXT_HEADER,
		   ready ? "ready\n" : "not ready\n");
}

static void reply_metrics(struct operator_server *server,
			  struct http1_exchange *exchange)
{
	g_autofree char *text = cs_counters_print(server->counters);

	reply_text(exchange, 200, METRICS_HEADER, text);
}

#define TRACE_PREFIX "/v1/why/"

static void serve_path(struct operator_server *server,
		       struct http1_exchange *exchange, const char *path)
{
	if (!strcmp(path, "/live"))
		reply_text(exchange, 200, TEXT_HEADER, "live\n");
	else if (!strcmp(path, "/ready"))
		reply_ready(server, exchange);
	else if (!strcmp(path, "/metrics"))
		reply_metrics(server, exchange);
	else if (!strcmp(path, "/v1/status"))
		reply_page(server, exchange, OPERATOR_STATUS, NULL);
	else if (!strcmp(path, "/v1/upstreams"))
		reply_page(server, exchange, OPERATOR_UPSTREAMS, NULL);
	else if (!strcmp(path, "/v1/zones"))
		reply_page(server, exchange, OPERATOR_ZONES, NULL);
	else if (!strcmp(path, "/v1/config"))
		reply_page(server, exchange, OPERATOR_CONFIG, NULL);
	else if (g_str_has_prefix(path, TRACE_PREFIX))
		reply_page(server, exchange, OPERATOR_TRACE,
			   path + strlen(TRACE_PREFIX));
	else
		reply_error(exchange, CS_E_PATH);
}

static void on_request(struct http1_exchange *exchange,
		       const struct http1_message *request, void *user)
{
	g_autofree char *path = g_strndup(request->target->str,
					  strcspn(request->target->str, "?"));

	if (strcmp(request->method, "GET") != 0)
		reply_error(exchange, CS_E_METHOD);
	else
		serve_path(user, exchange, path);
}

static void on_disconnected(struct http1_exchange *exchange, void *user)
{
}

struct operator_server *operator_server_create(
	struct http1_loop *loop, const struct settings_address *address,
	struct cs_counters *counters, const struct operator_hooks *hooks,
	char **why)
{
	struct operator_server *server = g_new0(struct operator_server, 1);
	struct http1_server_hooks http_hooks = {on_request, on_disconnected,
						NULL, server};
	struct sockaddr_in socket_address;

	server->counters = counters;
	server->hooks = *hooks;
	if (!settings_address_to_sockaddr(address, &socket_address))
		server->http = http1_server_create(loop, &socket_address,
						   &limits, &http_hooks);
	if (server->http)
		return server;
	cs_set_cause(why, "operators: cannot listen on %s:%" G_GINT64_FORMAT,
		     address->address, address->port);
	operator_server_destroy(server);
	return NULL;
}

void operator_server_destroy(struct operator_server *server)
{
	if (!server)
		return;
	http1_server_destroy(server->http);
	g_free(server);
}
