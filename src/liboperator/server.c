/* Read-only pages for operators. */
#include "cuminsail/operator.h"

#include "cuminsail/error.h"

#include <libsoup/soup.h>
#include <string.h>

struct operator_server {
	struct cs_counters *counters;
	struct operator_hooks hooks;
	SoupServer *soup;
};

static void reply_text(SoupServerMessage *message, guint status,
		       const char *type, char *text)
{
	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(message, type, SOUP_MEMORY_TAKE, text,
					 strlen(text));
}

static void reply_error(SoupServerMessage *message, int code)
{
	json_t *body =
		json_pack("{s:{s:i,s:s,s:s}}", "error", "code", code, "name",
			  cs_error_name(code), "text", cs_error_text(code));

	reply_text(message, cs_error_http(code), "application/json",
		   cs_json_print(body));
	json_decref(body);
}

static void reply_page(struct operator_server *server,
		       SoupServerMessage *message, enum operator_page page,
		       const char *name)
{
	json_t *body = server->hooks.read(page, name, server->hooks.user);

	if (!body) {
		reply_error(message, CS_E_PATH);
		return;
	}
	reply_text(message, SOUP_STATUS_OK, "application/json",
		   cs_json_print(body));
	json_decref(body);
}

static void reply_ready(struct operator_server *server,
			SoupServerMessage *message)
{
	bool ready = server->hooks.ready(server->hooks.user);

	reply_text(message,
		   ready ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE,
		   "text/plain", g_strdup(ready ? "ready\n" : "not ready\n"));
}

#define WHY_PREFIX "/v1/why/"

static void on_request(SoupServer *soup, SoupServerMessage *message,
		       const char *path, GHashTable *query, gpointer user)
{
	struct operator_server *server = user;

	if (strcmp(soup_server_message_get_method(message), "GET") != 0)
		reply_error(message, CS_E_METHOD);
	else if (!strcmp(path, "/live"))
		reply_text(message, SOUP_STATUS_OK, "text/plain",
			   g_strdup("live\n"));
	else if (!strcmp(path, "/ready"))
		reply_ready(server, message);
	else if (!strcmp(path, "/metrics"))
		reply_text(message, SOUP_STATUS_OK, "text/plain; version=0.0.4",
			   cs_counters_print(server->counters));
	else if (!strcmp(path, "/v1/status"))
		reply_page(server, message, OPERATOR_STATUS, NULL);
	else if (!strcmp(path, "/v1/upstreams"))
		reply_page(server, message, OPERATOR_UPSTREAMS, NULL);
	else if (!strcmp(path, "/v1/zones"))
		reply_page(server, message, OPERATOR_ZONES, NULL);
	else if (!strcmp(path, "/v1/config"))
		reply_page(server, message, OPERATOR_CONFIG, NULL);
	else if (g_str_has_prefix(path, WHY_PREFIX))
		reply_page(server, message, OPERATOR_WHY,
			   path + strlen(WHY_PREFIX));
	else
		reply_error(message, CS_E_PATH);
}

struct operator_server *operator_server_create(
	const struct settings_address *at, struct cs_counters *counters,
	const struct operator_hooks *hooks, char **why)
{
	struct operator_server *server = g_new0(struct operator_server, 1);
	g_autoptr(GSocketAddress) address =
		g_inet_socket_address_new_from_string(at->address,
						      (guint)at->port);
	g_autoptr(GError) error = NULL;

	server->counters = counters;
	server->hooks = *hooks;
	server->soup = soup_server_new("server-header", "cuminsail", NULL);
	soup_server_add_handler(server->soup, NULL, on_request, server, NULL);
	if (soup_server_listen(server->soup, address, 0, &error))
		return server;
	cs_why(why, "operators: %s", error->message);
	operator_server_destroy(server);
	return NULL;
}

void operator_server_destroy(struct operator_server *server)
{
	if (!server)
		return;
	soup_server_disconnect(server->soup);
	g_object_unref(server->soup);
	g_free(server);
}
