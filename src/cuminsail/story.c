/*
 * What daemons' logs say of one request, in order of time: its own lines, and
 * before them what the daemon that had it then believed of the replicas and the
 * routes it used.
 */
#include "client.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Longest line that is read; daemons write none over 4 KB. */
#define LINE_MAX_BYTES 65536

/* A line of a log. */
struct entry {
	gint64 at_ms; /* Unix */
	guint number; /* in order of reading */
	char *source; /* what stands before the line: file, instance */
	char *text;
	GHashTable *values; /* key to value */
};

struct story {
	const char *id;
	GPtrArray *entries; /* struct entry, of the request */
	GHashTable *beliefs; /* "source key" to struct entry, the last */
	guint n_read;
};

static void free_entry(void *data)
{
	struct entry *entry = data;

	g_free(entry->source);
	g_free(entry->text);
	g_hash_table_unref(entry->values);
	g_free(entry);
}

static const char *value_of(const struct entry *entry, const char *key)
{
	return g_hash_table_lookup(entry->values, key);
}

/* ---- reading ---- */

/* Return: the end of the value, with its copy added to the table. */
static const char *read_pair(const char *text, GHashTable *values)
{
	const char *equals = text + strcspn(text, "= ");
	const char *end;
	char *value;

	if (*equals != '=')
		return equals;
	end = equals + 1;
	if (*end == '"') {
		g_autofree char *quoted = NULL;

		for (end++; *end && *end != '"'; end++)
			end += *end == '\\' && end[1];
		quoted = g_strndup(equals + 2, (gsize)(end - equals - 2));
		value = g_strcompress(quoted);
		end += *end == '"';
	} else {
		end += strcspn(end, " ");
		value = g_strndup(equals + 1, (gsize)(end - equals - 1));
	}
	g_hash_table_replace(values, g_strndup(text, (gsize)(equals - text)),
			     value);
	return end;
}

static GHashTable *read_pairs(const char *text)
{
	GHashTable *values =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);

	while (*text) {
		text += strspn(text, " ");
		if (*text)
			text = read_pair(text, values);
	}
	return values;
}

/* Return: the entry of a line, or NULL if it is none. What a collector writes
 * before a line is kept as its source, but for a time. */
static struct entry *read_entry(const char *file, const char *line)
{
	const char *start = strstr(line, ">at=");
	g_autofree char *before = NULL;
	struct entry *entry;
	const char *word;

	if (!start || start - line < 2 || !strstr(start, " event="))
		return NULL;
	before = g_strndup(line, (gsize)(start - line - 2));
	g_strstrip(before);
	word = strrchr(before, ' ');
	word = word ? word + 1 : before;
	entry = g_new0(struct entry, 1);
	entry->text = g_strdup(start + 1);
	entry->values = read_pairs(entry->text);
	entry->source = *word ? g_strdup(word) : g_path_get_basename(file);
	if (value_of(entry, "at"))
		entry->at_ms = g_ascii_strtoll(value_of(entry, "at"), NULL, 10);
	return entry;
}

/* What an entry makes its daemon believe: the key under which the next one
 * replaces it, or NULL. */
static char *belief_key(const struct entry *entry)
{
	const char *event = value_of(entry, "event");
	const char *replica = value_of(entry, "replica");

	if (!event)
		return NULL;
	if (replica &&
	    (!strcmp(event, "replica") || !strcmp(event, "replica-told")))
		return g_strconcat(entry->source, " ", event, " ", replica,
				   NULL);
	if (!strcmp(event, "table-taken"))
		return g_strconcat(entry->source, " ", event, NULL);
	return NULL;
}

static void take_line(struct story *story, const char *file, const char *line)
{
	struct entry *entry = read_entry(file, line);
	char *key;

	if (!entry)
		return;
	entry->number = story->n_read++;
	if (!g_strcmp0(value_of(entry, "id"), story->id)) {
		g_ptr_array_add(story->entries, entry);
		return;
	}
	key = story->entries->len ? NULL : belief_key(entry);
	if (key)
		g_hash_table_replace(story->beliefs, key, entry);
	else
		free_entry(entry);
}

static bool read_file(struct story *story, const char *name)
{
	FILE *file = strcmp(name, "-") != 0 ? fopen(name, "re") : stdin;
	char line[LINE_MAX_BYTES];

	if (!file) {
		fprintf(stderr, "cuminsail: %s: %s\n", name, g_strerror(errno));
		return false;
	}
	while (fgets(line, sizeof(line), file)) {
		line[strcspn(line, "\n")] = '\0';
		take_line(story, file == stdin ? "stdin" : name, line);
	}
	if (file != stdin)
		(void)fclose(file);
	return true;
}

/* ---- telling ---- */

static gint compare_entries(gconstpointer a, gconstpointer b)
{
	const struct entry *x = *(const struct entry *const *)a;
	const struct entry *y = *(const struct entry *const *)b;

	if (x->at_ms != y->at_ms)
		return x->at_ms < y->at_ms ? -1 : 1;
	return x->number < y->number ? -1 : x->number > y->number;
}

/* The line from its event on: time and source are printed apart. */
static const char *words_of(const struct entry *entry)
{
	return strstr(entry->text, "event=") + strlen("event=");
}

static void print_entry(const struct entry *entry, gint64 from_ms)
{
	printf("%+8.3f s  %-24s %s\n", (double)(entry->at_ms - from_ms) / 1000,
	       entry->source, words_of(entry));
}

static void print_belief(const struct story *story, const struct entry *of,
			 const char *event, const char *name, gint64 from_ms)
{
	g_autofree char *key =
		name ? g_strconcat(of->source, " ", event, " ", name, NULL)
		     : g_strconcat(of->source, " ", event, NULL);
	const struct entry *belief = g_hash_table_lookup(story->beliefs, key);

	if (belief)
		print_entry(belief, from_ms);
}

/* What was believed of each replica that the request's lines name. */
static void print_beliefs(const struct story *story, gint64 from_ms)
{
	g_autoptr(GHashTable) told = g_hash_table_new(g_str_hash, g_str_equal);

	print_belief(story, story->entries->pdata[0], "table-taken", NULL,
		     from_ms);
	for (guint i = 0; i < story->entries->len; i++) {
		const struct entry *entry = story->entries->pdata[i];
		const char *replica = value_of(entry, "replica");

		if (!replica || !g_hash_table_add(told, (gpointer)replica))
			continue;
		print_belief(story, entry, "replica", replica, from_ms);
		print_belief(story, entry, "replica-told", replica, from_ms);
	}
}

static void print_json(const struct story *story)
{
	json_t *lines = json_array();

	for (guint i = 0; i < story->entries->len; i++) {
		const struct entry *entry = story->entries->pdata[i];
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
	const struct entry *first;

	g_ptr_array_sort(story->entries, compare_entries);
	first = story->entries->pdata[0];
	printf("believed before:\n");
	print_beliefs(story, first->at_ms);
	printf("request %s:\n", story->id);
	for (guint i = 0; i < story->entries->len; i++)
		print_entry(story->entries->pdata[i], first->at_ms);
}

enum client_exit client_story(const struct client *client)
{
	struct story story = {
		.id = client->arguments->pdata[0],
		.entries = g_ptr_array_new_with_free_func(free_entry),
		.beliefs = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, free_entry),
	};
	enum client_exit status = CLIENT_GOOD;

	for (guint i = 0; i < client->logs->len; i++) {
		if (!read_file(&story, client->logs->pdata[i]))
			status = CLIENT_UNREACHABLE;
	}
	if (!story.entries->len) {
		fprintf(stderr, "cuminsail: no line of %s in %u lines\n",
			story.id, story.n_read);
		status = status ? status : CLIENT_BAD;
	} else if (client->json) {
		print_json(&story);
	} else {
		print_story(&story);
	}
	g_ptr_array_unref(story.entries);
	g_hash_table_unref(story.beliefs);
	return status;
}
