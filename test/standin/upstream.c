/*
 * Usage: standin-upstream ID PORT SHARD SHARDS INCARNATION
 *                         SNAPSHOT[,SNAPSHOT...] [KEY=VALUE...]
 *
 * One upstream replica that speaks the protocol of docs/UPSTREAM-PROTOCOL.md.
 *
 * Keys, with the default in parentheses:
 *   slots=N       requests that run at the same time (4)
 *   queue=N       requests that may wait for a slot (8)
 *   work_ms=N     duration of one request (2)
 *   spread=1      draws each duration from an exponential distribution with
 *                 mean work_ms (0)
 *   cold=N        requests to complete until the upstream is warm (0)
 *   cold_limit=N  requests that a cold upstream runs at the same time at normal
 *                 speed; each one above N takes SLOW_FACTOR times as long (1)
 *   map=N         number of the map (1)
 *   connect_ms=N  delay before the first request of a connection starts (0)
 *
 * PUT /control/fault/NAME sets the fault of all further requests:
 *   none              no fault
 *   hang              never answers
 *   reset             closes the connection without running the request
 *   reset-after-run   closes the connection after the request has run
 *   truncate          announces a longer body than it sends
 *   garbage           answers with unrelated JSON
 *   wrong-id, wrong-shard, wrong-snapshot
 *                     answers with another value in this field
 *   over-count, half  reports twice or half of the documents searched
 *   refuse            refuses and proves that the request has not run
 *   refuse-unproven   refuses without this proof
 *   huge              adds HUGE_BYTES to the answer
 *   slow, straggle, heavy
 *                     multiplies the duration by SLOW_FACTOR,
 *                     STRAGGLE_FACTOR or HEAVY_FACTOR
 *   drain             serves requests and reports that it is draining
 *
 * GET /log returns counters and the number of runs of each request id.
 */
#include "catalogue.h"

#include <libsoup/soup.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define SLOW_FACTOR	40
#define STRAGGLE_FACTOR 10
#define HEAVY_FACTOR	5
#define HUGE_BYTES	(4 * 1024 * 1024)

struct snapshot {
	char *name;
	GPtrArray *documents;
};

static struct {
	const char *id;
	guint shard;
	guint shards;
	const char *incarnation;
	guint slots;
	guint queue;
	guint work_ms;
	guint cold;
	guint cold_limit;
	gint64 map;
	guint spread;
	guint connect_ms;
} config = {.slots = 4, .queue = 8, .work_ms = 2, .cold_limit = 1, .map = 1};

static GPtrArray *snapshots;
static char fault[32] = "none";
static GHashTable *runs; /* maps a request id to its number of runs */
static guint running;
static guint served; /* requests that have run */
static guint refusals; /* requests refused */
static guint cold_peak; /* most requests running at once while cold */
static guint received;
static guint cancelled; /* requests whose sender disconnected before the end */
static GQueue *waiting; /* struct request: waiting for a slot */

struct request {
	SoupServerMessage *message;
	json_t *body;
	bool is_order;
	bool gone; /* the exchange ended before the request had run */
	bool started;
};

static bool is_fault(const char *name)
{
	return !strcmp(fault, name);
}

static const struct snapshot *find_snapshot(const char *name)
{
	for (guint i = 0; i < snapshots->len; i++) {
		const struct snapshot *snapshot = snapshots->pdata[i];

		if (name && !strcmp(snapshot->name, name))
			return snapshot;
	}
	return NULL;
}

static const char *string_member(const json_t *body, const char *key)
{
	const char *text = json_string_value(json_object_get(body, key));

	return text ? text : "";
}

static void add_state_headers(SoupServerMessage *message)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(message);

	soup_message_headers_replace(headers, "Cuminsail-Incarnation",
				     config.incarnation);
	if (is_fault("drain"))
		soup_message_headers_replace(headers, "Cuminsail-State",
					     "draining");
	else if (served < config.cold)
		soup_message_headers_replace(headers, "Cuminsail-State",
					     "cold");
}

static void reply(SoupServerMessage *message, guint status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	add_state_headers(message);
	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(message, "application/json",
					 SOUP_MEMORY_COPY, text, strlen(text));
	free(text);
	json_decref(body);
}

static void shut_down_connection(SoupServerMessage *message)
{
	GSocket *socket = soup_server_message_get_socket(message);

	if (socket)
		g_socket_shutdown(socket, TRUE, TRUE, NULL);
}

static void refuse(struct request *request, guint status, bool proves_not_run,
		   const char *reason)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(request->message);
	g_autofree char *identity = g_strdup_printf(
		"%s/%" JSON_INTEGER_FORMAT,
		string_member(request->body, "request_id"),
		json_integer_value(json_object_get(request->body, "attempt")));

	refusals++;
	if (proves_not_run)
		soup_message_headers_replace(headers, "Cuminsail-Not-Run",
					     identity);
	if (reason)
		soup_message_headers_replace(headers, reason, "true");
	reply(request->message, status, json_object());
}

static void free_request(struct request *request)
{
	g_signal_handlers_disconnect_by_data(request->message, request);
	g_object_unref(request->message);
	json_decref(request->body);
	g_free(request);
}

static json_t *answer_part(const struct request *request)
{
	const json_t *body = request->body;
	const struct snapshot *snapshot =
		find_snapshot(string_member(body, "snapshot"));
	g_autoptr(GArray) hits = NULL;
	guint searched;
	gint64 reported;

	hits = catalogue_search(
		snapshot->documents, config.shard, config.shards,
		string_member(json_object_get(body, "query"), "text"),
		(guint)json_integer_value(json_object_get(body, "limit")),
		&searched);
	reported = searched;
	if (is_fault("over-count"))
		reported = searched * 2;
	if (is_fault("half"))
		reported = searched / 2;
	return json_pack("{s:s,s:O,s:s,s:s,s:I,s:I,s:I,s:o}", "request_id",
			 is_fault("wrong-id")
				 ? "0123"
				 : string_member(body, "request_id"),
			 "attempt", json_object_get(body, "attempt"), "shard",
			 is_fault("wrong-shard") ? "other"
						 : string_member(body, "shard"),
			 "snapshot",
			 is_fault("wrong-snapshot") ? "other" : snapshot->name,
			 "map", (json_int_t)config.map, "documents",
			 (json_int_t)searched, "searched", (json_int_t)reported,
			 "hits", catalogue_print_hits(hits));
}

static json_t *answer_order(const struct request *request)
{
	const char *id = string_member(request->body, "request_id");

	return json_pack("{s:s,s:O,s:{s:s,s:s}}", "request_id", id, "attempt",
			 json_object_get(request->body, "attempt"), "result",
			 "accepted_by", config.id, "order", id);
}

static void count_run(const struct request *request)
{
	const char *id = string_member(request->body, "request_id");
	guint n = GPOINTER_TO_UINT(g_hash_table_lookup(runs, id));

	g_hash_table_replace(runs, g_strdup(id), GUINT_TO_POINTER(n + 1));
}

static void write_answer(struct request *request)
{
	json_t *body = request->is_order ? answer_order(request)
					 : answer_part(request);
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(request->message);

	if (is_fault("garbage")) {
		json_decref(body);
		body = json_pack("[s,i]", "garbage", 1);
	}
	if (is_fault("huge"))
		json_object_set_new(
			body, "filler",
			json_stringn_nocheck(g_strnfill(HUGE_BYTES, 'x'),
					     HUGE_BYTES));
	reply(request->message, 200, body);
	if (is_fault("truncate"))
		soup_message_headers_set_content_length(headers, 1000000);
	soup_server_message_unpause(request->message);
}

static void start_next(void);

static bool has_closed(SoupServerMessage *message)
{
	GSocket *socket = soup_server_message_get_socket(message);
	char byte;

	return !socket || recv(g_socket_get_fd(socket), &byte, 1,
			       MSG_PEEK | MSG_DONTWAIT) == 0;
}

static gboolean on_work_done(gpointer user)
{
	struct request *request = user;

	running--;
	served++;
	count_run(request);
	if (request->gone || has_closed(request->message)) {
		cancelled++;
		soup_server_message_unpause(request->message);
	} else if (is_fault("reset-after-run")) {
		shut_down_connection(request->message);
		soup_server_message_unpause(request->message);
	} else {
		write_answer(request);
	}
	free_request(request);
	start_next();
	return G_SOURCE_REMOVE;
}

static void start_request(struct request *request)
{
	guint work_ms = config.work_ms;

	running++;
	request->started = true;
	if (served < config.cold)
		cold_peak = MAX(cold_peak, running);
	if (config.spread)
		work_ms = (guint)(-log(1 - g_random_double()) * work_ms + 0.5);
	if (is_fault("straggle"))
		work_ms *= STRAGGLE_FACTOR;
	if (is_fault("heavy"))
		work_ms *= HEAVY_FACTOR;
	if (is_fault("slow"))
		work_ms *= SLOW_FACTOR;
	if (served < config.cold && running > config.cold_limit)
		work_ms *= SLOW_FACTOR;
	g_timeout_add(work_ms, on_work_done, request);
}

static void start_next(void)
{
	struct request *request;

	if (running >= config.slots)
		return;
	request = g_queue_pop_head(waiting);
	if (request)
		start_request(request);
}

static void on_finished(SoupServerMessage *message, gpointer user)
{
	((struct request *)user)->gone = true;
}

static bool refuse_if_needed(struct request *request)
{
	if (strcmp(string_member(request->body, "incarnation"),
		   config.incarnation) != 0) {
		refuse(request, 409, true, "Cuminsail-Other-Incarnation");
	} else if (is_fault("refuse")) {
		refuse(request, 503, true, NULL);
	} else if (is_fault("refuse-unproven")) {
		refuse(request, 503, false, NULL);
	} else if (!request->is_order &&
		   !find_snapshot(string_member(request->body, "snapshot"))) {
		refuse(request, 409, true, "Cuminsail-Lacks-Snapshot");
	} else if (running >= config.slots &&
		   g_queue_get_length(waiting) >= config.queue) {
		refuse(request, 503, true, NULL);
	} else {
		return false;
	}
	return true;
}

static void start_or_queue(struct request *request)
{
	if (running < config.slots)
		start_request(request);
	else
		g_queue_push_tail(waiting, request);
}

static gboolean on_connect_delay(gpointer user)
{
	start_or_queue(user);
	return G_SOURCE_REMOVE;
}

/* Returns whether this is the first request of its connection. */
static bool is_new_connection(SoupServerMessage *message)
{
	GSocket *socket = soup_server_message_get_socket(message);

	if (!socket || g_object_get_data(G_OBJECT(socket), "seen"))
		return false;
	g_object_set_data(G_OBJECT(socket), "seen", (gpointer) "yes");
	return true;
}

static void receive(SoupServerMessage *message, json_t *body, bool is_order)
{
	struct request *request = g_new0(struct request, 1);

	received++;
	request->message = g_object_ref(message);
	request->body = body;
	request->is_order = is_order;
	g_signal_connect(message, "finished", G_CALLBACK(on_finished), request);
	if (is_fault("reset")) {
		shut_down_connection(message);
		free_request(request);
		return;
	}
	if (refuse_if_needed(request)) {
		free_request(request);
		return;
	}
	soup_server_message_pause(message);
	if (is_fault("hang"))
		return;
	if (config.connect_ms && is_new_connection(message))
		g_timeout_add(config.connect_ms, on_connect_delay, request);
	else
		start_or_queue(request);
}

static void on_request(SoupServer *server, SoupServerMessage *message,
		       const char *path, GHashTable *query, gpointer user)
{
	SoupMessageBody *body = soup_server_message_get_request_body(message);
	json_t *document =
		json_loadb(body->data, (size_t)body->length, 0, NULL);

	if (!document)
		reply(message, 400, json_object());
	else
		receive(message, document, !strcmp(path, "/v1/order"));
}

static void on_control(SoupServer *server, SoupServerMessage *message,
		       const char *path, GHashTable *query, gpointer user)
{
	g_strlcpy(fault, path + strlen("/control/fault/"), sizeof(fault));
	reply(message, 200, json_object());
}

static void on_log(SoupServer *server, SoupServerMessage *message,
		   const char *path, GHashTable *query, gpointer user)
{
	json_t *all = json_object();
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, runs);
	while (g_hash_table_iter_next(&iter, &key, &value))
		json_object_set_new(all, key,
				    json_integer(GPOINTER_TO_UINT(value)));
	reply(message, 200,
	      json_pack("{s:s,s:i,s:i,s:i,s:i,s:i,s:o}", "id", config.id,
			"received", received, "served", served, "sheds",
			refusals, "cold_peak", cold_peak, "cancelled",
			cancelled, "runs", all));
}

static void read_option(const char *text)
{
	const char *equals = strchr(text, '=');
	gint64 value = equals ? g_ascii_strtoll(equals + 1, NULL, 10) : 0;

	if (g_str_has_prefix(text, "slots="))
		config.slots = (guint)value;
	else if (g_str_has_prefix(text, "queue="))
		config.queue = (guint)value;
	else if (g_str_has_prefix(text, "work_ms="))
		config.work_ms = (guint)value;
	else if (g_str_has_prefix(text, "cold="))
		config.cold = (guint)value;
	else if (g_str_has_prefix(text, "cold_limit="))
		config.cold_limit = (guint)value;
	else if (g_str_has_prefix(text, "spread="))
		config.spread = (guint)value;
	else if (g_str_has_prefix(text, "connect_ms="))
		config.connect_ms = (guint)value;
	else if (g_str_has_prefix(text, "map="))
		config.map = value;
	else
		g_error("unknown key: %s", text);
}

static void read_arguments(int argc, char **argv)
{
	g_auto(GStrv) names = g_strsplit(argv[6], ",", -1);

	config.id = argv[1];
	config.shard = (guint)strtoul(argv[3], NULL, 10);
	config.shards = (guint)strtoul(argv[4], NULL, 10);
	config.incarnation = argv[5];
	snapshots = g_ptr_array_new();
	for (guint i = 0; names[i]; i++) {
		struct snapshot *snapshot = g_new0(struct snapshot, 1);

		snapshot->name = g_strdup(names[i]);
		snapshot->documents = catalogue_create(names[i]);
		g_ptr_array_add(snapshots, snapshot);
	}
	for (int i = 7; i < argc; i++)
		read_option(argv[i]);
}

int main(int argc, char **argv)
{
	SoupServer *server = soup_server_new(NULL, NULL);
	GMainLoop *loop = g_main_loop_new(NULL, FALSE);
	g_autoptr(GSocketAddress) address = NULL;

	if (argc < 7)
		return 2;
	read_arguments(argc, argv);
	runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	waiting = g_queue_new();
	address = g_inet_socket_address_new_from_string(
		"127.0.0.1", (guint)strtoul(argv[2], NULL, 10));
	soup_server_add_handler(server, "/v1", on_request, NULL, NULL);
	soup_server_add_handler(server, "/control", on_control, NULL, NULL);
	soup_server_add_handler(server, "/log", on_log, NULL, NULL);
	if (!soup_server_listen(server, address, 0, NULL))
		return 1;
	g_main_loop_run(loop);
	return 0;
}
