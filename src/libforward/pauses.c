/*
 * Regular pauses of replicas, which daemons tell each other through the seeds:
 * on a large fleet one daemon meets a pause every few minutes, while the
 * daemons of a region together meet each. A call carries the stalls that the
 * daemon has observed, an answer the pauses that the seed predicts. Times are
 * sent as ages, since the daemons have no clock in common.
 */
#include "internal.h"

#include "cuminsail/log.h"

/* Pauses in one answer, about 2 KB; the next answers have the others. */
#define PAUSES_MAX 64

/* Answers a second to one follower. */
#define SLICE_US (1 * CS_US_PER_S)

/* Stalls of one report. */
#define STALLS_MAX 60

/* Longest age and period of a message, as a check of its numbers. */
#define TIME_MAX_MS 1000000

enum { STALL_ID, STALL_AGE, STALL_LENGTH, N_STALL_FIELDS };
enum { PAUSE_ID, PAUSE_PERIOD, PAUSE_AGE, PAUSE_LENGTH, N_PAUSE_FIELDS };

/* A list that is being written. */
struct list {
	struct forward_engine *engine;
	GString *text;
	guint first; /* first entry to write */
	guint n; /* visited so far */
	guint max; /* entries to write */
};

static bool is_in_slice(struct list *list)
{
	guint at = list->n++;

	return at >= list->first && at - list->first < list->max;
}

static void append_id(struct list *list, const char *id)
{
	g_autofree char *name = g_uri_escape_string(id, NULL, FALSE);

	g_string_append(list->text, name);
}

static gint64 age_ms(const struct list *list, gint64 at_us)
{
	return (forward_now(list->engine) - at_us) / CS_US_PER_MS;
}

/* Reads a number of milliseconds.
 * Return: false if it is out of range. */
static bool read_ms(const char *text, gint64 min, gint64 *us)
{
	gint64 ms;

	if (!g_ascii_string_to_signed(text, 10, min, TIME_MAX_MS, &ms, NULL))
		return false;
	*us = ms * CS_US_PER_MS;
	return true;
}

/* ---- stalls, to a seed ---- */

static void print_stall(const char *id, const struct route_stall *stall,
			void *user)
{
	struct list *list = user;

	if (!is_in_slice(list))
		return;
	append_id(list, id);
	g_string_append_printf(list->text,
			       ":%" G_GINT64_FORMAT ":%" G_GINT64_FORMAT ",",
			       MAX(age_ms(list, stall->end_us), 0),
			       stall->length_us / CS_US_PER_MS);
}

void forward_pauses_append_report(struct forward_engine *engine, GString *query)
{
	struct list list = {engine, g_string_new(NULL), 0, 0, STALLS_MAX};

	route_fleet_each_stall(engine->fleet, print_stall, &list);
	if (list.n) {
		g_string_append(query, "&stalls=");
		g_string_append_uri_escaped(query, list.text->str, ":,", FALSE);
	}
	g_string_free(list.text, TRUE);
}

static void log_pause(const char *id, const struct route_pause *pause)
{
	char period[FORWARD_NUMBER_TEXT_MAX];
	char length[FORWARD_NUMBER_TEXT_MAX];

	cs_log(LOG_INFO, "replica-pause", "replica", id, "period_ms",
	       forward_print_ms(period, pause->period_us), "length_ms",
	       forward_print_ms(length, pause->length_us), NULL);
}

static bool add_stall(struct forward_engine *engine, const char *entry)
{
	const struct route_pause *predicted = NULL;
	g_auto(GStrv) fields = g_strsplit(entry, ":", -1);
	g_autofree char *id = NULL;
	struct route_stall stall;
	gint64 age_us;

	if (g_strv_length(fields) != N_STALL_FIELDS ||
	    !read_ms(fields[STALL_AGE], 0, &age_us) ||
	    !read_ms(fields[STALL_LENGTH], 0, &stall.length_us))
		return false;
	id = g_uri_unescape_string(fields[STALL_ID], NULL);
	stall.end_us = forward_now(engine) - age_us;
	if (id)
		predicted = route_fleet_add_stall(engine->fleet, id, &stall);
	if (predicted)
		log_pause(id, predicted);
	return id;
}

void forward_pauses_add_report(struct forward_engine *engine,
			       const char *report)
{
	g_auto(GStrv) entries = g_strsplit(report, ",", -1);

	for (char **entry = entries; *entry; entry++) {
		if (**entry && !add_stall(engine, *entry))
			cs_log(LOG_WARNING, "stall-invalid", "text", *entry,
			       NULL);
	}
}

/* ---- pauses, to the followers ---- */

static void count(const char *id, const struct route_pause *pause, void *user)
{
	(*(guint *)user)++;
}

static void print_pause(const char *id, const struct route_pause *pause,
			void *user)
{
	struct list *list = user;

	if (!is_in_slice(list))
		return;
	append_id(list, id);
	g_string_append_printf(list->text,
			       ":%" G_GINT64_FORMAT ":%" G_GINT64_FORMAT
			       ":%" G_GINT64_FORMAT ",",
			       pause->period_us / CS_US_PER_MS,
			       age_ms(list, pause->end_us),
			       pause->length_us / CS_US_PER_MS);
}

void forward_pauses_append(struct forward_engine *engine, GString *body)
{
	struct list list = {engine, body, 0, 0, PAUSES_MAX};
	guint n = 0;

	route_fleet_each_pause(engine->fleet, count, &n);
	if (n > PAUSES_MAX)
		list.first = (guint)(forward_now(engine) / SLICE_US %
				     ((n + PAUSES_MAX - 1) / PAUSES_MAX)) *
			     PAUSES_MAX;
	g_string_append(body, ", \"pauses\": \"");
	route_fleet_each_pause(engine->fleet, print_pause, &list);
	g_string_append_c(body, '"');
}

static bool apply_pause(struct forward_engine *engine, const char *entry)
{
	g_auto(GStrv) fields = g_strsplit(entry, ":", -1);
	struct route_pause pause = {0};
	g_autofree char *id = NULL;
	gint64 age_us;

	if (g_strv_length(fields) != N_PAUSE_FIELDS ||
	    !read_ms(fields[PAUSE_PERIOD], 1, &pause.period_us) ||
	    !read_ms(fields[PAUSE_AGE], -TIME_MAX_MS, &age_us) ||
	    !read_ms(fields[PAUSE_LENGTH], 0, &pause.length_us))
		return false;
	id = g_uri_unescape_string(fields[PAUSE_ID], NULL);
	pause.end_us = forward_now(engine) - age_us;
	if (id)
		route_fleet_learn_pause(engine->fleet, id, &pause);
	return id;
}

void forward_pauses_apply(struct forward_engine *engine, const char *pauses)
{
	g_auto(GStrv) entries = g_strsplit(pauses ? pauses : "", ",", -1);

	for (char **entry = entries; *entry; entry++) {
		if (**entry && !apply_pause(engine, *entry))
			cs_log(LOG_WARNING, "pause-invalid", "text", *entry,
			       NULL);
	}
}
