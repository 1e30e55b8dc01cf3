/*
 * why with logs: prints the log lines of one request in order of time. Before
 * them it prints the last logged state of the routes and of the replicas that
 * the request used, as the daemon that served it knew them.
 */
#include "client.h"

#include <stdio.h>
#include <string.h>

/* What the logs hold about one request. */
struct trace {
	const char *request_id;
	GPtrArray *entries; /* struct log_entry, of the request */
	GHashTable *states; /* state_key() to the last struct log_entry that was
			     * read before the first one of the request */
};

/* ---- reading ---- */

/* Events that log a state of a replica. */
static const char *const replica_events[] = {"replica", "replica-outlier",
					     "replica-limit", NULL};

/* Events that log what is known of the copies of one request. */
static const char *const copy_events[] = {"lost-in-crash", "request-blocked",
					  "request-unblocked", "request-probed",
					  NULL};

/* Return: a new key made of the source, the event and the replica or the copied
 * request of an entry that logs a state, so that a later entry replaces it;
 * else NULL. */
static char *state_key(const struct log_entry *entry)
{
	const char *event = log_entry_get(entry, "event");
	const char *replica = log_entry_get(entry, "replica");

	if (!event)
		return NULL;
	if (g_strv_contains(copy_events, event))
		return g_strconcat(entry->source, " ", event, " ",
				   log_entry_get(entry, "request"), " ",
				   replica, NULL);
	if (replica && g_strv_contains(replica_events, event))
		return g_strconcat(entry->source, " ", event, " ", replica,
				   NULL);
	if (!strcmp(event, "table-taken"))
		return g_strconcat(entry->source, " ", event, NULL);
	return NULL;
}

static void on_entry(struct log_entry *entry, void *user)
{
	struct trace *trace = user;
	char *key;

	if (!g_strcmp0(log_entry_get(entry, "id"), trace->request_id)) {
		g_ptr_array_add(trace->entries, entry);
		return;
	}
	key = trace->entries->len ? NULL : state_key(entry);
	if (key)
		g_hash_table_replace(trace->states, key, entry);
	else
		log_entry_free(entry);
}

/* ---- printing ---- */

static gint compare_entries(gconstpointer a, gconstpointer b)
{
	const struct log_entry *x = *(const struct log_entry *const *)a;
	const struct log_entry *y = *(const struct log_entry *const *)b;

	if (x->at_ms != y->at_ms)
		return x->at_ms < y->at_ms ? -1 : 1;
	return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

/* Return: the line from the event name on; time and source are printed
 * separately. */
static const char *event_text(const struct log_entry *entry)
{
	return strstr(entry->text, "event=") + strlen("event=");
}

static void print_entry(const struct log_entry *entry, gint64 from_ms)
{
	printf("%+8.3f s  %-24s %s\n", (double)(entry->at_ms - from_ms) / 1000,
	       entry->source, event_text(entry));
}

/* Prints the last state, if any, that the daemon of @entry logged with @event,
 * of the replica @name or, if NULL, of the routes. */
static void print_state(const struct trace *trace,
			const struct log_entry *entry, const char *event,
			const char *name, gint64 from_ms)
{
	g_autofree char *key =
		name ? g_strconcat(entry->source, " ", event, " ", name, NULL)
		     : g_strconcat(entry->source, " ", event, NULL);
	const struct log_entry *state = g_hash_table_lookup(trace->states, key);

	if (state)
		print_entry(state, from_ms);
}

/* Return: whether a state is a rate limit that left no room for a part of the
 * request, as @entry says. */
static bool is_limit_of(const struct log_entry *state,
			const struct log_entry *entry)
{
	return !g_strcmp0(log_entry_get(entry, "reason"), "rate-limit") &&
	       !g_strcmp0(log_entry_get(state, "event"), "replica-limit") &&
	       !g_strcmp0(log_entry_get(state, "service"),
			  log_entry_get(entry, "service")) &&
	       !strcmp(state->source, entry->source);
}

/* Return: whether a state is about a copy of the request that @entry names; any
 * daemon may have logged it. */
static bool is_of_copy(const struct log_entry *state,
		       const struct log_entry *entry)
{
	const char *request = log_entry_get(entry, "request");

	return request && !g_strcmp0(log_entry_get(state, "request"), request);
}

/* Prints the states that explain @entry, in the order of their keys. */
static void print_reasons(const struct trace *trace,
			  const struct log_entry *entry, gint64 from_ms)
{
	g_autoptr(GList) keys = g_list_sort(
		g_hash_table_get_keys(trace->states), (GCompareFunc)g_strcmp0);

	for (GList *key = keys; key; key = key->next) {
		const struct log_entry *state =
			g_hash_table_lookup(trace->states, key->data);

		if (is_limit_of(state, entry) || is_of_copy(state, entry))
			print_entry(state, from_ms);
	}
}

/* Prints the state of the routes and of each replica in the lines of the
 * request. */
static void print_states(const struct trace *trace, gint64 from_ms)
{
	g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);

	print_state(trace, trace->entries->pdata[0], "table-taken", NULL,
		    from_ms);
	for (guint i = 0; i < trace->entries->len; i++) {
		const struct log_entry *entry = trace->entries->pdata[i];
		const char *replica = log_entry_get(entry, "replica");

		print_reasons(trace, entry, from_ms);
		if (!replica || !g_hash_table_add(seen, (gpointer)replica))
			continue;
		for (guint k = 0; replica_events[k]; k++)
			print_state(trace, entry, replica_events[k], replica,
				    from_ms);
	}
}

static void print_json(const struct trace *trace)
{
	json_t *lines = json_array();

	for (guint i = 0; i < trace->entries->len; i++) {
		const struct log_entry *entry = trace->entries->pdata[i];
		json_t *line = json_object();
		GHashTableIter iter;
		gpointer key;
		gpointer value;

		g_hash_table_iter_init(&iter, entry->values);
		while (g_hash_table_iter_next(&iter, &key, &value))
			json_object_set_new(line, key, json_string(value));
		json_object_set_new(line, "source", json_string(entry->source));
		json_array_append_new(lines, line);
	}
	client_print_json(lines);
	json_decref(lines);
}

static void print_trace(struct trace *trace)
{
	const struct log_entry *first;

	g_ptr_array_sort(trace->entries, compare_entries);
	first = trace->entries->pdata[0];
	printf("state before the request:\n");
	print_states(trace, first->at_ms);
	printf("request %s:\n", trace->request_id);
	for (guint i = 0; i < trace->entries->len; i++)
		print_entry(trace->entries->pdata[i], first->at_ms);
}

enum client_exit client_why_from_logs(const struct client *client)
{
	struct trace trace = {
		.request_id = client->arguments->pdata[0],
		.entries = g_ptr_array_new_with_free_func(log_entry_free),
		.states = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						log_entry_free),
	};
	guint n_read = 0;
	bool read = logs_read(client, on_entry, &trace, &n_read);
	enum client_exit status = CLIENT_OK;

	if (!trace.entries->len) {
		fprintf(stderr, "cuminsail: no line of %s in %u lines\n",
			trace.request_id, n_read);
		status = CLIENT_FAILED;
	} else if (client->json) {
		print_json(&trace);
	} else {
		print_trace(&trace);
	}
	g_ptr_array_unref(trace.entries);
	g_hash_table_unref(trace.states);
	return read ? status : CLIENT_UNREACHABLE;
}
