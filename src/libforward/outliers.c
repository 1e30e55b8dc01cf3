/*
 * Statistics about replicas that a daemon exchanges with the seed it follows. A
 * call carries the daemon's report; the seed pools the reports of its followers
 * and returns the outliers in its answer.
 */
#include "internal.h"

#include "cuminsail/log.h"

#include <stdlib.h>

/* Largest number of replicas in one report and of outliers in one answer. Each
 * list takes about 1.5 KB at one call a second, out of 9 KB a second for all
 * control traffic. */
#define REPORT_REPLICAS_MAX 60
#define OUTLIERS_MAX	    60

/* No more replicas are added to a report of this size: with long ids it would
 * not fit into a call. */
#define REPORT_BYTES_MAX 8192

/* Largest slowness accepted from a seed. */
#define SLOWNESS_MAX 1000.0

/* Fields of one replica in a report. */
enum { FIELD_ID, FIELD_ANSWERS, FIELD_FAILURES, FIELD_SLOWNESS, N_FIELDS };

/* A report carries the mean slowness as an integer, in tenths. */
#define SLOWNESS_SCALE 10.0

/* ---- reports ---- */

static void print_stats(const char *id, const struct route_stats *stats,
			void *user)
{
	GString *report = user;
	g_autofree char *name = g_uri_escape_string(id, NULL, FALSE);
	double mean = stats->answers ? stats->slowness / stats->answers : 0;

	if (report->len > REPORT_BYTES_MAX)
		return;
	g_string_append_printf(report, "%s:%u:%u:%.0f,", name, stats->answers,
			       stats->failures, mean * SLOWNESS_SCALE);
}

void forward_outliers_append_report(struct forward_engine *engine,
				    GString *query)
{
	GString *report = g_string_new(NULL);

	route_fleet_report(engine->fleet, REPORT_REPLICAS_MAX,
			   forward_now(engine), print_stats, report);
	g_string_append(query, "&seen=");
	/* The ids are escaped twice, as they may contain the separators. */
	g_string_append_uri_escaped(query, report->str, ":,", FALSE);
	g_string_free(report, TRUE);
}

static bool read_count(const char *text, guint *count)
{
	guint64 number;

	if (!g_ascii_string_to_unsigned(text, 10, 0, G_MAXUINT16, &number,
					NULL))
		return false;
	*count = (guint)number;
	return true;
}

static bool read_stats(char **fields, struct route_stats *stats)
{
	guint mean;

	if (g_strv_length(fields) != N_FIELDS ||
	    !read_count(fields[FIELD_ANSWERS], &stats->answers) ||
	    !read_count(fields[FIELD_FAILURES], &stats->failures) ||
	    !read_count(fields[FIELD_SLOWNESS], &mean))
		return false;
	stats->slowness = mean / SLOWNESS_SCALE * stats->answers;
	return true;
}

void forward_outliers_add_report(struct forward_engine *engine,
				 const char *report)
{
	g_auto(GStrv) entries = g_strsplit(report, ",", -1);
	gint64 now = forward_now(engine);

	for (char **entry = entries; *entry; entry++) {
		g_auto(GStrv) fields = g_strsplit(*entry, ":", -1);
		g_autofree char *id =
			g_uri_unescape_string(*fields ? *fields : "", NULL);
		struct route_stats stats = {0};

		if (!**entry)
			continue;
		if (!id || !read_stats(fields, &stats)) {
			cs_log(LOG_WARNING, "report-invalid", "text", *entry,
			       NULL);
			return;
		}
		route_fleet_pool_report(engine->fleet, id, &stats, now);
	}
}

/* ---- outliers ---- */

/* @state: "outlier", or "usual" once the replica is typical again */
static void log_outlier(const char *id, const char *state,
			const struct route_health *health)
{
	char slowness[FORWARD_NUMBER_TEXT_MAX];
	char failures[FORWARD_NUMBER_TEXT_MAX];

	g_snprintf(slowness, sizeof(slowness), "%.1f", health->slowness);
	g_snprintf(failures, sizeof(failures), "%.2f", health->failure_rate);
	cs_log(LOG_INFO, "replica-outlier", "replica", id, "state", state,
	       "slowness", slowness, "failure_rate", failures, NULL);
}

static void apply_outlier(struct forward_engine *engine, const char *id,
			  const struct route_health *health)
{
	if (route_fleet_set_outlier(engine->fleet, id, health))
		log_outlier(id, "outlier", health);
}

static void on_outlier_end(const char *id, void *user)
{
	static const struct route_health typical = {.slowness = 1};

	log_outlier(id, "usual", &typical);
}

struct outlier_list {
	struct forward_engine *engine;
	json_t *items;
};

static void add_outlier(const char *id, const struct route_health *health,
			void *user)
{
	struct outlier_list *list = user;

	json_array_append_new(list->items,
			      json_pack("[s, f, f]", id, health->slowness,
					health->failure_rate));
	apply_outlier(list->engine, id, health);
}

/* Adds this daemon's own attempts to the pooled statistics. */
static void pool_local(const char *id, const struct route_stats *stats,
		       void *user)
{
	struct forward_engine *engine = user;

	route_fleet_pool_report(engine->fleet, id, stats, forward_now(engine));
}

json_t *forward_outliers_update(struct forward_engine *engine)
{
	struct outlier_list list = {engine, json_array()};
	gint64 now = forward_now(engine);

	route_fleet_report(engine->fleet, G_MAXUINT, now, pool_local, engine);
	route_fleet_outliers(engine->fleet, OUTLIERS_MAX, now, add_outlier,
			     &list);
	route_fleet_clear_outliers(engine->fleet, now, on_outlier_end, NULL);
	return list.items;
}

/* Applies one outlier of a seed's answer.
 * Return: false if it is malformed or out of range. */
static bool read_outlier(struct forward_engine *engine, json_t *item,
			 gint64 now)
{
	struct route_health health = {.at_us = now};
	const char *id;

	if (json_unpack(item, "[s, F, F!]", &id, &health.slowness,
			&health.failure_rate))
		return false;
	if (!(health.slowness > 0 && health.slowness <= SLOWNESS_MAX &&
	      health.failure_rate >= 0 && health.failure_rate <= 1))
		return false;
	apply_outlier(engine, id, &health);
	return true;
}

void forward_outliers_apply(struct forward_engine *engine, json_t *outliers)
{
	gint64 now = forward_now(engine);
	gsize i;
	json_t *item;

	json_array_foreach (outliers, i, item) {
		if (!read_outlier(engine, item, now))
			cs_log(LOG_WARNING, "outlier-invalid", NULL);
	}
	route_fleet_clear_outliers(engine->fleet, now, on_outlier_end, NULL);
}
