/* Reading requests and writing replies. */
#include "cuminsail/caller.h"

#include "cuminsail/log.h"

#include <errno.h>
#include <libsoup/soup.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

#define CONTENT_JSON "application/json"

/* What a refused caller is told to wait, where waiting helps. */
#define RETRY_AFTER_S  1
#define STATUS_UNAVAIL 503

enum exchange_state {
	EXCHANGE_IDLE, /* no headers yet */
	EXCHANGE_READING,
	EXCHANGE_WORKING, /* the owner has it */
	EXCHANGE_REPLIED,
};

struct caller_exchange {
	LIST_ENTRY(caller_exchange) link;
	struct caller_server *server;
	SoupServerMessage *message;
	enum exchange_state state;
	GByteArray *body;
	bool too_large;
	struct cs_timer receive_timer;
	GSource *watch; /* for the caller's going away */
	char id[33];
	char *caller_id;
	void *data;
};

struct caller_server {
	struct cs_clock *clock;
	const struct settings *settings;
	struct cs_counters *counters;
	struct caller_hooks hooks;
	SoupServer *soup;
	LIST_HEAD(, caller_exchange) exchanges;
	guint open;
	bool draining;
};

#define exchange_of(timer)                                                     \
	((struct caller_exchange *)((char *)(timer)-offsetof(                  \
		struct caller_exchange, receive_timer)))

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

static void stop_watch(struct caller_exchange *exchange)
{
	if (!exchange->watch)
		return;
	g_source_destroy(exchange->watch);
	g_source_unref(exchange->watch);
	exchange->watch = NULL;
}

static void free_exchange(struct caller_exchange *exchange)
{
	struct caller_server *server = exchange->server;

	cs_timer_disarm(server->clock, &exchange->receive_timer);
	stop_watch(exchange);
	LIST_REMOVE(exchange, link);
	if (exchange->state != EXCHANGE_IDLE)
		server->open--;
	g_signal_handlers_disconnect_by_data(exchange->message, exchange);
	g_object_unref(exchange->message);
	g_byte_array_unref(exchange->body);
	g_free(exchange->caller_id);
	g_free(exchange);
}

static void close_socket(struct caller_exchange *exchange)
{
	GSocket *socket = soup_server_message_get_socket(exchange->message);

	if (socket)
		g_socket_shutdown(socket, TRUE, TRUE, NULL);
}

/* ---- replies ---- */

static void add_ids(struct caller_exchange *exchange, json_t *body)
{
	json_object_set_new(body, "request_id", json_string(exchange->id));
	if (exchange->caller_id)
		json_object_set_new(body, "id",
				    json_string(exchange->caller_id));
}

static void write_reply(struct caller_exchange *exchange, guint status,
			json_t *body)
{
	SoupServerMessage *message = exchange->message;
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(message);
	char *text;

	add_ids(exchange, body);
	text = cs_json_print(body);
	json_decref(body);
	cs_timer_disarm(exchange->server->clock, &exchange->receive_timer);
	stop_watch(exchange);
	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(message, CONTENT_JSON,
					 SOUP_MEMORY_TAKE, text, strlen(text));
	if (exchange->server->draining || exchange->too_large)
		soup_message_headers_replace(headers, "Connection", "close");
	if (status == STATUS_UNAVAIL)
		soup_message_headers_replace(headers, "Retry-After",
					     G_STRINGIFY(RETRY_AFTER_S));
	if (exchange->state == EXCHANGE_WORKING)
		soup_server_message_unpause(message);
	exchange->state = EXCHANGE_REPLIED;
}

void caller_exchange_reply(struct caller_exchange *exchange, json_t *body)
{
	write_reply(exchange, SOUP_STATUS_OK, body);
}

void caller_exchange_refuse(struct caller_exchange *exchange, int code,
			    enum cs_outcome outcome, const char *text)
{
	g_autofree char *number = g_strdup_printf("%d", code);
	g_autofree char *valid =
		g_utf8_make_valid(text ? text : cs_error_text(code), -1);
	json_t *body;

	cs_counters_refuse(exchange->server->counters, code);
	cs_log(LOG_NOTICE, "refused", "request", exchange->id, "code", number,
	       "reason", cs_error_name(code), "outcome",
	       cs_outcome_name(outcome), "text", valid, NULL);
	body = json_pack("{s:s,s:{s:i,s:s,s:s}}", "outcome",
			 cs_outcome_name(outcome), "error", "code", code,
			 "name", cs_error_name(code), "text", valid);
	if (cs_error_http(code) == STATUS_UNAVAIL)
		json_object_set_new(body, "retry_after_ms",
				    json_integer(RETRY_AFTER_S * 1000));
	write_reply(exchange, cs_error_http(code), body);
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

/* ---- a caller that goes away ---- */

static bool has_closed(GSocket *socket)
{
	char byte;
	ssize_t got = recv(g_socket_get_fd(socket), &byte, 1,
			   MSG_PEEK | MSG_DONTWAIT);

	if (got > 0)
		return false;
	return got == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

static gboolean on_socket(GSocket *socket, GIOCondition condition,
			  gpointer user)
{
	struct caller_exchange *exchange = user;
	struct caller_server *server = exchange->server;
	bool closed = has_closed(socket);

	stop_watch(exchange);
	if (!closed)
		return G_SOURCE_REMOVE; /* a pipelined request waits */
	cs_counters_add(server->counters, CS_N_CALLER_GONE, 1);
	server->hooks.gone(exchange, server->hooks.user);
	exchange->state = EXCHANGE_REPLIED;
	soup_server_message_set_status(exchange->message,
				       cs_error_http(CS_E_CANCELLED), NULL);
	soup_server_message_unpause(exchange->message);
	return G_SOURCE_REMOVE;
}

static void start_watch(struct caller_exchange *exchange)
{
	GSocket *socket = soup_server_message_get_socket(exchange->message);

	if (!socket)
		return;
	exchange->watch = g_socket_create_source(
		socket, G_IO_IN | G_IO_HUP | G_IO_ERR, NULL);
	g_source_set_callback(exchange->watch, G_SOURCE_FUNC(on_socket),
			      exchange, NULL);
	g_source_attach(exchange->watch, NULL);
}

/* ---- reading ---- */

static void on_receive_timeout(struct cs_timer *timer)
{
	struct caller_exchange *exchange = exchange_of(timer);

	if (exchange->state != EXCHANGE_IDLE)
		cs_counters_refuse(exchange->server->counters, CS_E_SLOW);
	cs_log(exchange->state == EXCHANGE_IDLE ? LOG_DEBUG : LOG_NOTICE,
	       "slow-sender", "request", exchange->id, NULL);
	close_socket(exchange);
}

static void on_chunk(SoupServerMessage *message, GBytes *chunk, gpointer user)
{
	struct caller_exchange *exchange = user;
	gsize size;
	const guint8 *data = g_bytes_get_data(chunk, &size);
	gsize most = (gsize)exchange->server->settings->body_max;

	if (exchange->too_large || exchange->body->len + size > most) {
		exchange->too_large = true;
		g_byte_array_set_size(exchange->body, 0);
		return;
	}
	g_byte_array_append(exchange->body, data, (guint)size);
}

static void on_finished(SoupServerMessage *message, gpointer user)
{
	struct caller_exchange *exchange = user;
	struct caller_server *server = exchange->server;

	if (exchange->state == EXCHANGE_WORKING) {
		cs_counters_add(server->counters, CS_N_CALLER_GONE, 1);
		server->hooks.gone(exchange, server->hooks.user);
	}
	free_exchange(exchange);
}

static struct caller_exchange *create_exchange(struct caller_server *server,
					       SoupServerMessage *message)
{
	struct caller_exchange *exchange = g_new0(struct caller_exchange, 1);

	exchange->server = server;
	exchange->message = g_object_ref(message);
	exchange->body = g_byte_array_new();
	exchange->receive_timer.fire = on_receive_timeout;
	make_id(exchange->id);
	LIST_INSERT_HEAD(&server->exchanges, exchange, link);
	return exchange;
}

/* A connection waits for the headers of a request. */
static void on_started(SoupServer *soup, SoupServerMessage *message,
		       gpointer user)
{
	struct caller_server *server = user;
	struct caller_exchange *exchange = create_exchange(server, message);
	gint64 now = cs_clock_now(server->clock);

	g_signal_connect(message, "finished", G_CALLBACK(on_finished),
			 exchange);
	g_object_set_data(G_OBJECT(message), "exchange", exchange);
	cs_timer_arm(server->clock, &exchange->receive_timer,
		     now + server->settings->idle_ms * CS_US_PER_MS);
}

/* Headers are here, the body is not. */
static void on_headers(SoupServer *soup, SoupServerMessage *message,
		       const char *path, GHashTable *query, gpointer user)
{
	struct caller_server *server = user;
	struct caller_exchange *exchange =
		g_object_get_data(G_OBJECT(message), "exchange");
	gint64 now = cs_clock_now(server->clock);

	if (!exchange)
		return;
	exchange->state = EXCHANGE_READING;
	server->open++;
	soup_message_body_set_accumulate(
		soup_server_message_get_request_body(message), FALSE);
	g_signal_connect(message, "got-chunk", G_CALLBACK(on_chunk), exchange);
	cs_timer_arm(server->clock, &exchange->receive_timer,
		     now + server->settings->receive_ms * CS_US_PER_MS);
}

static void begin(struct caller_exchange *exchange,
		  struct caller_request *request)
{
	struct caller_server *server = exchange->server;

	exchange->caller_id = g_strdup(request->caller_id);
	exchange->state = EXCHANGE_WORKING;
	soup_server_message_pause(exchange->message);
	start_watch(exchange);
	server->hooks.begin(exchange, request, server->hooks.user);
}

/* The whole request is here. */
static void on_request(SoupServer *soup, SoupServerMessage *message,
		       const char *path, GHashTable *query, gpointer user)
{
	struct caller_exchange *exchange =
		g_object_get_data(G_OBJECT(message), "exchange");
	struct caller_request request = {0};
	g_autofree char *why = NULL;
	int error;

	if (!exchange || exchange->state != EXCHANGE_READING)
		return;
	cs_timer_disarm(exchange->server->clock, &exchange->receive_timer);
	if (exchange->too_large)
		error = CS_E_TOO_LARGE;
	else
		error = caller_request_parse(
			soup_server_message_get_method(message), path,
			(const char *)exchange->body->data, exchange->body->len,
			&request, &why);
	if (error)
		caller_exchange_refuse(exchange, error, CS_NOT_RUN, why);
	else
		begin(exchange, &request);
	caller_request_clear(&request);
}

/* ---- the server ---- */

static bool listen_at(struct caller_server *server, char **why)
{
	const struct settings_address *at = &server->settings->caller;
	g_autoptr(GSocketAddress) address =
		g_inet_socket_address_new_from_string(at->address,
						      (guint)at->port);
	g_autoptr(GError) error = NULL;

	if (soup_server_listen(server->soup, address, 0, &error))
		return true;
	cs_why(why, "caller: %s", error->message);
	return false;
}

struct caller_server *caller_server_create(struct cs_clock *clock,
					   const struct settings *settings,
					   struct cs_counters *counters,
					   const struct caller_hooks *hooks,
					   char **why)
{
	struct caller_server *server = g_new0(struct caller_server, 1);

	server->clock = clock;
	server->settings = settings;
	server->counters = counters;
	server->hooks = *hooks;
	LIST_INIT(&server->exchanges);
	server->soup = soup_server_new("server-header", "cuminsail", NULL);
	g_signal_connect(server->soup, "request-started",
			 G_CALLBACK(on_started), server);
	soup_server_add_early_handler(server->soup, NULL, on_headers, server,
				      NULL);
	soup_server_add_handler(server->soup, NULL, on_request, server, NULL);
	if (listen_at(server, why))
		return server;
	caller_server_destroy(server);
	return NULL;
}

void caller_server_drain(struct caller_server *server)
{
	server->draining = true;
}

guint caller_server_open(const struct caller_server *server)
{
	return server->open;
}

void caller_server_destroy(struct caller_server *server)
{
	if (!server)
		return;
	while (!LIST_EMPTY(&server->exchanges))
		/* The analyzer does not follow the removal from the list. */
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
		free_exchange(LIST_FIRST(&server->exchanges));
	soup_server_disconnect(server->soup);
	g_object_unref(server->soup);
	g_free(server);
}
