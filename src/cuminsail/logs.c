/*
 * Reads daemons' logs from files or standard input, either as the daemons wrote
 * them or with a prefix that a log collector added to each line.
 */
#include "client.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

/* Size of the line buffer; the daemons write no line over 4 KB. */
#define LINE_MAX_BYTES 65536

void log_entry_free(void *data)
{
	struct log_entry *entry = data;

	g_free(entry->source);
	g_free(entry->text);
	g_hash_table_unref(entry->values);
	g_free(entry);
}

const char *log_entry_get(const struct log_entry *entry, const char *key)
{
	return g_hash_table_lookup(entry->values, key);
}

/* Reads one key=value pair at @text into @values. A token without "=" is
 * skipped. Return: the end of the pair. */
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

/*
 * Parses "PREFIX <PRIORITY>at=... event=...". A log collector may write a
 * prefix, for example a time and a host or instance name; its last word becomes
 * the source of the entry. Without a prefix the source is the name of the file.
 *
 * Return: a new entry, or NULL if the line is not a log line of a daemon.
 */
static struct log_entry *read_entry(const char *file, const char *line)
{
	const char *start = strstr(line, ">at=");
	g_autofree char *prefix = NULL;
	struct log_entry *entry;
	const char *last_word;

	if (!start || start - line < 2 || !strstr(start, " event="))
		return NULL;
	prefix = g_strndup(line, (gsize)(start - line - 2));
	g_strstrip(prefix);
	last_word = strrchr(prefix, ' ');
	last_word = last_word ? last_word + 1 : prefix;
	entry = g_new0(struct log_entry, 1);
	entry->text = g_strdup(start + 1);
	entry->values = read_pairs(entry->text);
	entry->source =
		*last_word ? g_strdup(last_word) : g_path_get_basename(file);
	if (log_entry_get(entry, "at"))
		entry->at_ms =
			g_ascii_strtoll(log_entry_get(entry, "at"), NULL, 10);
	return entry;
}

static bool read_file(const char *name,
		      void (*on_entry)(struct log_entry *entry, void *user),
		      void *user, guint *n_read)
{
	bool is_stdin = !strcmp(name, "-");
	FILE *file = is_stdin ? stdin : fopen(name, "re");
	char line[LINE_MAX_BYTES];

	if (!file) {
		fprintf(stderr, "cuminsail: %s: %s\n", name, g_strerror(errno));
		return false;
	}
	while (fgets(line, sizeof(line), file)) {
		struct log_entry *entry;

		line[strcspn(line, "\n")] = '\0';
		entry = read_entry(is_stdin ? "stdin" : name, line);
		if (!entry)
			continue;
		entry->sequence = (*n_read)++;
		on_entry(entry, user);
	}
	if (!is_stdin)
		(void)fclose(file);
	return true;
}

bool logs_read(const struct client *client,
	       void (*on_entry)(struct log_entry *entry, void *user),
	       void *user, guint *n_read)
{
	bool all_read = true;

	for (guint i = 0; i < client->logs->len; i++)
		all_read = read_file(client->logs->pdata[i], on_entry, user,
				     n_read) &&
			   all_read;
	return all_read;
}
