/*
 * The figures about replicas that daemons exchange with the seed they follow:
 * a report in the call, the outliers in the seed's answer.
 */
#include "internal.h"

#include "cuminsail/log.h"

#include <stdlib.h>

/* Replicas in one report, and outliers in one answer: about 1.5 KB each at one
 * call a second, of 9 KB a second for all of control. */
#define REPORT_MAX   60
#define OUTLIERS_MAX 60

/* Replicas with long ids are left out beyond this, to fit into a call. */
#define REPORT_BYTES_MAX 8192

/* Greatest slowness that is taken. */
#define SLOWNESS_MAX 1000.0

/* Fields of one replica in a report. */
enum { FIELD_ID, FIELD_ANSWERS, FIELD_FAILURES, FIELD_SLOWNESS, N_FIELDS };

/* Reports say the mean slowness in these parts. */
#define SLOWNESS_PARTS 10.0

/* ---- reports ---- */

static void print_tally(const char *id, const struct route_tally *tally,
			void *user)
{
	GString *report = user;
	g_autofree char *name = g_uri_escape_string(id, NULL, FALSE);
	double mean = tally->answers ? tally->slowness / tally->answers : 0;

	if (report->len > REPORT_BYTES_MAX)
		return;
	g_string_append_printf(report, "%s:%u:%u:%.0f,", name, tally->answers,
			       tally->failures, mean * SLOWNESS_PARTS);
}

void forward_evidence_print(struct forward_engine *engine, GString *query)
{
	GString *report = g_string_new(NULL);

	route_fleet_report(engine->fleet, REPORT_MAX, forward_now(engine),
			   print_tally, report);
	g_string_append(query, "&seen=");
	/* The ids are escaped once more: they may hold what stands between. */
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

static bool read_tally(char **fields, struct route_tally *tally)
{
	guint mean;

	if (g_strv_length(fields) != N_FIELDS ||
	    !read_count(fields[FIELD_ANSWERS], &tally->answers) ||
	    !read_count(fields[FIELD_FAILURES], &tally->failures) ||
	    !read_count(fields[FIELD_SLOWNESS], &mean))
		return false;
	tally->slowness = mean / SLOWNESS_PARTS * tally->answers;
	return true;
}

void forward_evidence_pool(struct forward_engine *engine, const char *report)
{
	g_auto(GStrv) words = g_strsplit(report, ",", -1);
	gint64 now = forward_now(engine);

	for (char **word = words; *word; word++) {
		g_auto(GStrv) fields = g_strsplit(*word, ":", -1);
		g_autofree char *id =
			g_uri_unescape_string(*fields ? *fields : "", NULL);
		struct route_tally tally = {0};

		if (!**word)
			continue;
		if (!id || !read_tally(fields, &tally)) {
			cs_log(LOG_WARNING, "report-invalid", "text", *word,
			       NULL);
			return;
		}
		route_fleet_pool_report(engine->fleet, id, &tally, now);
	}
}

/* ---- outliers ---- */

static void log_outlier(const char *id, const char *state,
			const struct route_evidence *evidence)
{
	char slowness[FIGURE_TEXT];
	char failures[FIGURE_TEXT];

	g_snprintf(slowness, sizeof(slowness), "%.1f", evidence->slowness);
	g_snprintf(failures, sizeof(failures), "%.2f", evidence->failure_rate);
	cs_log(LOG_INFO, "replica-outlier", "replica", id, "state", state,
	       "slowness", slowness, "failure_rate", failures, NULL);
}

static void take_outlier(struct forward_engine *engine, const char *id,
			 const struct route_evidence *evidence)
{
	if (route_fleet_take_outlier(engine->fleet, id, evidence))
		log_outlier(id, "outlier", evidence);
}

static void on_usual(const char *id, void *user)
{
	static const struct route_evidence usual = {.slowness = 1};

	log_outlier(id, "usual", &usual);
}

struct outlier_list {
	struct forward_engine *engine;
	json_t *items;
};

static void add_outlier(const char *id, const struct route_evidence *evidence,
			void *user)
{
	struct outlier_list *list = user;

	json_array_append_new(list->items,
			      json_pack("[s, f, f]", id, evidence->slowness,
					evidence->failure_rate));
	take_outlier(list->engine, id, evidence);
}

static void pool_own(const char *id, const struct route_tally *tally,
		     void *user)
{
	struct forward_engine *engine = user;

	route_fleet_pool_report(engine->fleet, id, tally, forward_now(engine));
}

json_t *forward_evidence_outliers(struct forward_engine *engine)
{
	struct outlier_list list = {engine, json_array()};
	gint64 now = forward_now(engine);

	route_fleet_report(engine->fleet, G_MAXUINT, now, pool_own, engine);
	route_fleet_outliers(engine->fleet, OUTLIERS_MAX, now, add_outlier,
			     &list);
	route_fleet_end_outliers(engine->fleet, now, on_usual, NULL);
	return list.items;
}

static bool take_one(struct forward_engine *engine, json_t *item, gint64 now)
{
	struct route_evidence evidence = {.at_us = now};
	const char *id;

	if (json_unpack(item, "[s, F, F!]", &id, &evidence.slowness,
			&evidence.failure_rate))
		return false;
	if (!(evidence.slowness > 0 && evidence.slowness <= SLOWNESS_MAX &&
	      evidence.failure_rate >= 0 && evidence.failure_rate <= 1))
		return false;
	take_outlier(engine, id, &evidence);
	return true;
}

void forward_evidence_take(struct forward_engine *engine, json_t *outliers)
{
	gint64 now = forward_now(engine);
	gsize i;
	json_t *item;

	json_array_foreach (outliers, i, item) {
		if (!take_one(engine, item, now))
			cs_log(LOG_WARNING, "outlier-invalid", NULL);
	}
	route_fleet_end_outliers(engine->fleet, now, on_usual, NULL);
}
