/*
 * standin-upstream ID PORT SHARD SHARDS INCARNATION SNAPSHOT[,SNAPSHOT...]
 * [KEY=VALUE...]: one upstream replica, as docs/UPSTREAM-PROTOCOL.md says.
 *
 * Keys: slots=N requests run at once (4); queue=N that wait for a slot (8);
 * work_ms=N time of one request (2); cold=N good answers until warm (0);
 * cold_limit=N concurrent requests borne while cold (1); map=N (1); spread=1
 * draws the work time from an exponential distribution of mean work_ms;
 * connect_ms=N passes before the first request of a connection is taken.
 *
 * PUT /control/fault/NAME sets a fault for all further requests, GET /log
 * tells what ran. Faults: none hang reset reset-after-run truncate garbage
 * wrong-id wrong-shard wrong-snapshot over-count half refuse refuse-unproven
 * huge slow straggle heavy
 * drain.
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
} own = {.slots = 4, .queue = 8, .work_ms = 2, .cold_limit = 1, .map = 1};

static GPtrArray *snapshots;
static char fault[32] = "none";
static GHashTable *runs; /* request id to number of runs */
static guint running;
static guint served;
static guint sheds;
static guint cold_peak;
static guint received;
static guint cancelled;
static GQueue *waiting;

struct request {
	SoupServerMessage *message;
	json_t *body;
	bool is_order;
	bool gone;
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

static const char *text_of(const json_t *body, const char *key)
{
	const char *text = json_string_value(json_object_get(body, key));

	return text ? text : "";
}

static void add_words(SoupServerMessage *message)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(message);

	soup_message_headers_replace(headers, "Cuminsail-Incarnation",
				     own.incarnation);
	if (is_fault("drain"))
		soup_message_headers_replace(headers, "Cuminsail-State",
					     "draining");
	else if (served < own.cold)
		soup_message_headers_replace(headers, "Cuminsail-State",
					     "cold");
}

static void reply(SoupServerMessage *message, guint status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	add_words(message);
	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(message, "application/json",
					 SOUP_MEMORY_COPY, text, strlen(text));
	free(text);
	json_decref(body);
}

static void cut(SoupServerMessage *message)
{
	GSocket *socket = soup_server_message_get_socket(message);

	if (socket)
		g_socket_shutdown(socket, TRUE, TRUE, NULL);
}

static void refuse(struct request *request, guint status, bool proven,
		   const char *reason)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(request->message);
	g_autofree char *identity = g_strdup_printf(
		"%s/%" JSON_INTEGER_FORMAT,
		text_of(request->body, "request_id"),
		json_integer_value(json_object_get(request->body, "attempt")));

	sheds++;
	if (proven)
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
		find_snapshot(text_of(body, "snapshot"));
	g_autoptr(GArray) hits = NULL;
	guint searched;
	gint64 counted;

	hits = catalogue_search(
		snapshot->documents, own.shard, own.shards,
		text_of(json_object_get(body, "query"), "text"),
		(guint)json_integer_value(json_object_get(body, "limit")),
		&searched);
	counted = searched;
	if (is_fault("over-count"))
		counted = searched * 2;
	if (is_fault("half"))
		counted = searched / 2;
	return json_pack(
		"{s:s,s:O,s:s,s:s,s:I,s:I,s:I,s:o}", "request_id",
		is_fault("wrong-id") ? "0123" : text_of(body, "request_id"),
		"attempt", json_object_get(body, "attempt"), "shard",
		is_fault("wrong-shard") ? "other" : text_of(body, "shard"),
		"snapshot",
		is_fault("wrong-snapshot") ? "other" : snapshot->name, "map",
		(json_int_t)own.map, "documents", (json_int_t)searched,
		"searched", (json_int_t)counted, "hits",
		catalogue_print_hits(hits));
}

static json_t *answer_order(const struct request *request)
{
	const char *id = text_of(request->body, "request_id");

	return json_pack("{s:s,s:O,s:{s:s,s:s}}", "request_id", id, "attempt",
			 json_object_get(request->body, "attempt"), "result",
			 "accepted_by", own.id, "order", id);
}

static void note_run(const struct request *request)
{
	const char *id = text_of(request->body, "request_id");
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

static gboolean on_worked(gpointer user)
{
	struct request *request = user;

	running--;
	served++;
	note_run(request);
	if (request->gone || has_closed(request->message)) {
		cancelled++;
		soup_server_message_unpause(request->message);
	} else if (is_fault("reset-after-run")) {
		cut(request->message);
		soup_server_message_unpause(request->message);
	} else {
		write_answer(request);
	}
	free_request(request);
	start_next();
	return G_SOURCE_REMOVE;
}

static void start(struct request *request)
{
	guint work_ms = own.work_ms;

	running++;
	request->started = true;
	if (served < own.cold)
		cold_peak = MAX(cold_peak, running);
	if (own.spread)
		work_ms = (guint)(-log(1 - g_random_double()) * work_ms + 0.5);
	if (is_fault("straggle"))
		work_ms *= STRAGGLE_FACTOR;
	if (is_fault("heavy"))
		work_ms *= HEAVY_FACTOR;
	if (is_fault("slow"))
		work_ms *= SLOW_FACTOR;
	if (served < own.cold && running > own.cold_limit)
		work_ms *= SLOW_FACTOR;
	g_timeout_add(work_ms, on_worked, request);
}

static void start_next(void)
{
	struct request *request;

	if (running >= own.slots)
		return;
	request = g_queue_pop_head(waiting);
	if (request)
		start(request);
}

static void on_gone(SoupServerMessage *message, gpointer user)
{
	((struct request *)user)->gone = true;
}

static bool refuse_early(struct request *request)
{
	if (strcmp(text_of(request->body, "incarnation"), own.incarnation) !=
	    0) {
		refuse(request, 409, true, "Cuminsail-Other-Incarnation");
	} else if (is_fault("refuse")) {
		refuse(request, 503, true, NULL);
	} else if (is_fault("refuse-unproven")) {
		refuse(request, 503, false, NULL);
	} else if (!request->is_order &&
		   !find_snapshot(text_of(request->body, "snapshot"))) {
		refuse(request, 409, true, "Cuminsail-Lacks-Snapshot");
	} else if (running >= own.slots &&
		   g_queue_get_length(waiting) >= own.queue) {
		refuse(request, 503, true, NULL);
	} else {
		return false;
	}
	return true;
}

static void take_or_queue(struct request *request)
{
	if (running < own.slots)
		start(request);
	else
		g_queue_push_tail(waiting, request);
}

static gboolean on_connected(gpointer user)
{
	take_or_queue(user);
	return G_SOURCE_REMOVE;
}

/* Whether this is the first request of its connection. */
static bool is_new_connection(SoupServerMessage *message)
{
	GSocket *socket = soup_server_message_get_socket(message);

	if (!socket || g_object_get_data(G_OBJECT(socket), "seen"))
		return false;
	g_object_set_data(G_OBJECT(socket), "seen", (gpointer) "yes");
	return true;
}

static void take(SoupServerMessage *message, json_t *body, bool is_order)
{
	struct request *request = g_new0(struct request, 1);

	received++;
	request->message = g_object_ref(message);
	request->body = body;
	request->is_order = is_order;
	g_signal_connect(message, "finished", G_CALLBACK(on_gone), request);
	if (is_fault("reset")) {
		cut(message);
		free_request(request);
		return;
	}
	if (refuse_early(request)) {
		free_request(request);
		return;
	}
	soup_server_message_pause(message);
	if (is_fault("hang"))
		return;
	if (own.connect_ms && is_new_connection(message))
		g_timeout_add(own.connect_ms, on_connected, request);
	else
		take_or_queue(request);
}

static void on_work(SoupServer *server, SoupServerMessage *message,
		    const char *path, GHashTable *query, gpointer user)
{
	SoupMessageBody *body = soup_server_message_get_request_body(message);
	json_t *document =
		json_loadb(body->data, (size_t)body->length, 0, NULL);

	if (!document)
		reply(message, 400, json_object());
	else
		take(message, document, !strcmp(path, "/v1/order"));
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
	      json_pack("{s:s,s:i,s:i,s:i,s:i,s:i,s:o}", "id", own.id,
			"received", received, "served", served, "sheds", sheds,
			"cold_peak", cold_peak, "cancelled", cancelled, "runs",
			all));
}

static void read_key(const char *text)
{
	const char *equals = strchr(text, '=');
	gint64 value = equals ? g_ascii_strtoll(equals + 1, NULL, 10) : 0;

	if (g_str_has_prefix(text, "slots="))
		own.slots = (guint)value;
	else if (g_str_has_prefix(text, "queue="))
		own.queue = (guint)value;
	else if (g_str_has_prefix(text, "work_ms="))
		own.work_ms = (guint)value;
	else if (g_str_has_prefix(text, "cold="))
		own.cold = (guint)value;
	else if (g_str_has_prefix(text, "cold_limit="))
		own.cold_limit = (guint)value;
	else if (g_str_has_prefix(text, "spread="))
		own.spread = (guint)value;
	else if (g_str_has_prefix(text, "connect_ms="))
		own.connect_ms = (guint)value;
	else if (g_str_has_prefix(text, "map="))
		own.map = value;
	else
		g_error("unknown key: %s", text);
}

static void read_arguments(int argc, char **argv)
{
	g_auto(GStrv) names = g_strsplit(argv[6], ",", -1);

	own.id = argv[1];
	own.shard = (guint)strtoul(argv[3], NULL, 10);
	own.shards = (guint)strtoul(argv[4], NULL, 10);
	own.incarnation = argv[5];
	snapshots = g_ptr_array_new();
	for (guint i = 0; names[i]; i++) {
		struct snapshot *snapshot = g_new0(struct snapshot, 1);

		snapshot->name = g_strdup(names[i]);
		snapshot->documents = catalogue_create(names[i]);
		g_ptr_array_add(snapshots, snapshot);
	}
	for (int i = 7; i < argc; i++)
		read_key(argv[i]);
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
	soup_server_add_handler(server, "/v1", on_work, NULL, NULL);
	soup_server_add_handler(server, "/control", on_control, NULL, NULL);
	soup_server_add_handler(server, "/log", on_log, NULL, NULL);
	if (!soup_server_listen(server, address, 0, NULL))
		return 1;
	g_main_loop_run(loop);
	return 0;
}
