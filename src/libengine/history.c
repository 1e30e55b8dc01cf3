/* Traces of the most recent queries, for the operators. */
#include "internal.h"

struct history {
	gint64 size;
	GHashTable *traces; /* request id to json_t; owns the ids */
	GQueue *ids; /* keys of traces, oldest first; borrowed */
};

static void free_trace(gpointer trace)
{
	json_decref(trace);
}

struct history *history_create(gint64 size)
{
	struct history *history = g_new0(struct history, 1);

	history->size = size;
	history->traces = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						free_trace);
	history->ids = g_queue_new();
	return history;
}

void history_destroy(struct history *history)
{
	g_queue_free(history->ids);
	g_hash_table_unref(history->traces);
	g_free(history);
}

void history_add(struct history *history, const char *request_id, json_t *trace)
{
	char *key;

	if (history->size == 0) {
		json_decref(trace);
		return;
	}
	if (g_queue_get_length(history->ids) >= history->size)
		g_hash_table_remove(history->traces,
				    g_queue_pop_head(history->ids));
	key = g_strdup(request_id);
	g_queue_push_tail(history->ids, key);
	g_hash_table_insert(history->traces, key, trace);
}

json_t *history_find(const struct history *history, const char *request_id)
{
	return json_incref(g_hash_table_lookup(history->traces, request_id));
}
