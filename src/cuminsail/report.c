/* report: per-second request statistics from daemons' logs. */
#include "client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Counts of one second. */
struct second {
	guint requests;
	guint answered;
	guint partial;
	guint refused; /* not run: status 503 or 429 */
	guint failed; /* any other status without an answer */
	guint hedges;
	guint retries;
	guint missing_parts; /* parts missing from answers */
	GArray *latencies_ms; /* double, of full and partial answers */
};

struct report {
	GHashTable *seconds; /* Unix second to struct second */
	guint omitted_lines; /* not written by the daemons; see log.h */
};

static void free_second(void *data)
{
	struct second *second = data;

	g_array_unref(second->latencies_ms);
	g_free(second);
}

/* Return: the counts of the second of a Unix time; created if new. */
static struct second *get_second(struct report *report, gint64 at_ms)
{
	gint64 key = at_ms / 1000;
	struct second *second = g_hash_table_lookup(report->seconds, &key);

	if (second)
		return second;
	second = g_new0(struct second, 1);
	second->latencies_ms = g_array_new(FALSE, FALSE, sizeof(double));
	g_hash_table_insert(report->seconds, g_memdup2(&key, sizeof(key)),
			    second);
	return second;
}

static void count_status(struct second *second, const char *status)
{
	if (!g_strcmp0(status, "503") || !g_strcmp0(status, "429"))
		second->refused++;
	else
		second->failed++;
}

static void count_request(struct second *second, const struct log_entry *entry)
{
	const char *outcome = log_entry_get(entry, "outcome");
	const char *elapsed = log_entry_get(entry, "elapsed_ms");
	double ms = elapsed ? g_ascii_strtod(elapsed, NULL) : 0;

	second->requests++;
	if (!g_strcmp0(outcome, "answered")) {
		second->answered++;
	} else if (!g_strcmp0(outcome, "partial")) {
		second->partial++;
	} else {
		count_status(second, log_entry_get(entry, "status"));
		return;
	}
	g_array_append_val(second->latencies_ms, ms);
}

static void on_entry(struct log_entry *entry, void *user)
{
	struct report *report = user;
	const char *event = log_entry_get(entry, "event");
	struct second *second;

	if (!g_strcmp0(event, "log-left-out")) {
		const char *lines = log_entry_get(entry, "lines");

		report->omitted_lines +=
			(guint)(lines ? strtoul(lines, NULL, 10) : 0);
		log_entry_free(entry);
		return;
	}
	second = get_second(report, entry->at_ms);
	if (!g_strcmp0(event, "request")) {
		count_request(second, entry);
	} else if (!g_strcmp0(event, "refused")) {
		second->requests++;
		second->refused++;
	} else if (!g_strcmp0(event, "hedge")) {
		second->hedges++;
	} else if (!g_strcmp0(event, "retry")) {
		second->retries++;
	} else if (!g_strcmp0(event, "part-missing")) {
		second->missing_parts++;
	}
	log_entry_free(entry);
}

static int compare_ms(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static json_t *quantile(const GArray *sorted, double share)
{
	guint index = (guint)(share * sorted->len);

	if (!sorted->len)
		return json_null();
	return json_real(
		g_array_index(sorted, double, MIN(index, sorted->len - 1)));
}

static json_t *second_to_json(gint64 at, struct second *second)
{
	g_array_sort(second->latencies_ms, compare_ms);
	return json_pack(
		"{s:I, s:i, s:i, s:i, s:i, s:i, s:o, s:o, s:i, s:i, "
		"s:i}",
		"second", (json_int_t)at, "requests", second->requests,
		"answered", second->answered, "partial", second->partial,
		"refused", second->refused, "failed", second->failed, "p50_ms",
		quantile(second->latencies_ms, 0.5), "p99_ms",
		quantile(second->latencies_ms, 0.99), "hedges", second->hedges,
		"retries", second->retries, "missing", second->missing_parts);
}

static gint compare_seconds(gconstpointer a, gconstpointer b)
{
	gint64 x = *(const gint64 *)a;
	gint64 y = *(const gint64 *)b;

	return (x > y) - (x < y);
}

/* Return: a row for each second in order, numbered from the first second with a
 * log line. Seconds without requests, hedges and retries have no row. */
static json_t *seconds_to_json(struct report *report)
{
	g_autoptr(GList) keys = g_hash_table_get_keys(report->seconds);
	json_t *rows = json_array();
	gint64 first = G_MININT64;

	keys = g_list_sort(keys, compare_seconds);
	for (GList *key = keys; key; key = key->next) {
		gint64 at = *(const gint64 *)key->data;
		struct second *second =
			g_hash_table_lookup(report->seconds, key->data);

		if (first == G_MININT64)
			first = at;
		if (second->requests || second->hedges || second->retries)
			json_array_append_new(
				rows, second_to_json(at - first, second));
	}
	return rows;
}

enum client_exit client_report(const struct client *client)
{
	static const char *const columns[] = {"second",	 "requests", "answered",
					      "partial", "refused",  "failed",
					      "p50_ms",	 "p99_ms",   "hedges",
					      "retries", "missing",  NULL};
	struct report report = {
		.seconds = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, free_second),
	};
	guint n_read = 0;
	bool read = logs_read(client, on_entry, &report, &n_read);
	json_t *rows = seconds_to_json(&report);

	if (client->json)
		client_print_json(rows);
	else
		client_print_table(rows, columns);
	if (report.omitted_lines)
		fprintf(stderr,
			"cuminsail: daemons left out %u lines; the counts "
			"are too low\n",
			report.omitted_lines);
	json_decref(rows);
	g_hash_table_unref(report.seconds);
	if (!read)
		return CLIENT_UNREACHABLE;
	return n_read ? CLIENT_OK : CLIENT_FAILED;
}
