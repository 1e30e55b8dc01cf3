/*
 * What daemons' logs say of one request, in order of time: its own lines, and
 * before them what the daemon that had it then believed of the replicas and the
 * routes it used.
 */
#include "client.h"

#include <stdio.h>
#include <string.h>

struct story {
	const char *id;
	GPtrArray *entries; /* struct log_entry, of the request */
	GHashTable *beliefs; /* "source key" to struct log_entry, the last */
};

/* ---- reading ---- */

/* What an entry makes its daemon believe: the key under which the next one
 * replaces it, or NULL. */
static char *belief_key(const struct log_entry *entry)
{
	const char *event = log_entry_get(entry, "event");
	const char *replica = log_entry_get(entry, "replica");

	if (!event)
		return NULL;
	if (replica &&
	    (!strcmp(event, "replica") || !strcmp(event, "replica-outlier")))
		return g_strconcat(entry->source, " ", event, " ", replica,
				   NULL);
	if (!strcmp(event, "table-taken"))
		return g_strconcat(entry->source, " ", event, NULL);
	return NULL;
}

static void take_entry(struct log_entry *entry, void *user)
{
	struct story *story = user;
	char *key;

	if (!g_strcmp0(log_entry_get(entry, "id"), story->id)) {
		g_ptr_array_add(story->entries, entry);
		return;
	}
	key = story->entries->len ? NULL : belief_key(entry);
	if (key)
		g_hash_table_replace(story->beliefs, key, entry);
	else
		log_entry_free(entry);
}

/* ---- telling ---- */

static gint compare_entries(gconstpointer a, gconstpointer b)
{
	const struct log_entry *x = *(const struct log_entry *const *)a;
	const struct log_entry *y = *(const struct log_entry *const *)b;

	if (x->at_ms != y->at_ms)
		return x->at_ms < y->at_ms ? -1 : 1;
	return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

/* The line from its event on: time and source are printed apart. */
static const char *words_of(const struct log_entry *entry)
{
	return strstr(entry->text, "event=") + strlen("event=");
}

static void print_entry(const struct log_entry *entry, gint64 from_ms)
{
	printf("%+8.3f s  %-24s %s\n", (double)(entry->at_ms - from_ms) / 1000,
	       entry->source, words_of(entry));
}

static void print_belief(const struct story *story, const struct log_entry *of,
			 const char *event, const char *name, gint64 from_ms)
{
	g_autofree char *key =
		name ? g_strconcat(of->source, " ", event, " ", name, NULL)
		     : g_strconcat(of->source, " ", event, NULL);
	const struct log_entry *belief =
		g_hash_table_lookup(story->beliefs, key);

	if (belief)
		print_entry(belief, from_ms);
}

/* What was believed of each replica that the request's lines name. */
static void print_beliefs(const struct story *story, gint64 from_ms)
{
	g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);

	print_belief(story, story->entries->pdata[0], "table-taken", NULL,
		     from_ms);
	for (guint i = 0; i < story->entries->len; i++) {
		const struct log_entry *entry = story->entries->pdata[i];
		const char *replica = log_entry_get(entry, "replica");

		if (!replica || !g_hash_table_add(seen, (gpointer)replica))
			continue;
		print_belief(story, entry, "replica", replica, from_ms);
		print_belief(story, entry, "replica-outlier", replica, from_ms);
	}
}

static void print_json(const struct story *story)
{
	json_t *lines = json_array();

	for (guint i = 0; i < story->entries->len; i++) {
		const struct log_entry *entry = story->entries->pdata[i];
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

static void print_story(struct story *story)
{
	const struct log_entry *first;

	g_ptr_array_sort(story->entries, compare_entries);
	first = story->entries->pdata[0];
	printf("believed before:\n");
	print_beliefs(story, first->at_ms);
	printf("request %s:\n", story->id);
	for (guint i = 0; i < story->entries->len; i++)
		print_entry(story->entries->pdata[i], first->at_ms);
}

enum client_exit client_why_from_logs(const struct client *client)
{
	struct story story = {
		.id = client->arguments->pdata[0],
		.entries = g_ptr_array_new_with_free_func(log_entry_free),
		.beliefs = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, log_entry_free),
	};
	guint n_read = 0;
	bool read = logs_read(client, take_entry, &story, &n_read);
	enum client_exit status = CLIENT_OK;

	if (!story.entries->len) {
		fprintf(stderr, "cuminsail: no line of %s in %u lines\n",
			story.id, n_read);
		status = CLIENT_FAILED;
	} else if (client->json) {
		print_json(&story);
	} else {
		print_story(&story);
	}
	g_ptr_array_unref(story.entries);
	g_hash_table_unref(story.beliefs);
	return read ? status : CLIENT_UNREACHABLE;
}
