/*
 * Rate limits of replicas. A daemon observes them in answers and exchanges them
 * with the seeds as it does its statistics: a call carries what it has
 * observed, the answer carries what all daemons know, and the daemon's places.
 */
#include "internal.h"

#include "cuminsail/log.h"

#include <math.h>
#include <stdlib.h>

/* Shortest time between two log lines about new values of a replica's limit, or
 * about invalid ones. */
#define LOG_INTERVAL_US (1 * CS_US_PER_S)

/* Largest number of limits in one message. A message takes about 3 KB at one
 * call a second, out of 9 KB a second for all control traffic. */
#define LIMITS_MAX 60

/* Largest number of daemons accepted in a message. */
#define DAEMONS_MAX 10000

/* How long the end of a limit is passed on. */
#define ENDED_TOLD_US (10 * CS_US_PER_S)

/* Fields of one limit in a report. */
enum { FIELD_ID, FIELD_INCARNATION, FIELD_PER_S, FIELD_AGE_MS, N_FIELDS };

/* ---- log ---- */

static void log_limit(struct forward_engine *engine,
		      struct route_replica *replica, const char *state,
		      const char *source)
{
	char text[FORWARD_NUMBER_TEXT_MAX];

	replica->limit.logged_us = forward_now(engine);
	g_snprintf(text, sizeof(text), "%.3g", replica->limit.per_s);
	cs_log(LOG_NOTICE, "replica-limit", "replica", replica->id, "service",
	       replica->pool ? route_pool_name(replica->pool) : NULL, "state",
	       state, "per_s", text, "source", source, NULL);
}

/* A replica may name another rate in every answer. */
static void log_limit_seldom(struct forward_engine *engine,
			     struct route_replica *replica, const char *state,
			     const char *source)
{
	if (forward_now(engine) - replica->limit.logged_us >= LOG_INTERVAL_US)
		log_limit(engine, replica, state, source);
}

/* source: "answer" of the replica or "daemon" */
static void log_change(struct forward_engine *engine,
		       struct route_replica *replica,
		       enum route_limit_change change, const char *source)
{
	switch (change) {
	case ROUTE_LIMIT_SAME:
		break;
	case ROUTE_LIMIT_NAMED:
		cs_counters_add(engine->counters, CS_N_LIMIT_NAMED, 1);
		log_limit(engine, replica, "named", source);
		break;
	case ROUTE_LIMIT_CHANGED:
		log_limit_seldom(engine, replica, "changed", source);
		break;
	case ROUTE_LIMIT_ENDED:
		cs_counters_add(engine->counters, CS_N_LIMIT_ENDED, 1);
		log_limit(engine, replica, "ended", source);
		break;
	}
}

/* ---- answers of replicas ---- */

void forward_limits_observe(struct forward_engine *engine,
			    const struct route_attempt *attempt,
			    const struct http1_message *message,
			    enum route_result result)
{
	struct route_replica *replica = attempt->replica;
	struct forward_rate_limit limit =
		forward_read_rate_limit(engine->dialect, message);

	if (result == ROUTE_WRONG_INSTANCE)
		return;
	switch (limit.kind) {
	case FORWARD_LIMIT_ABSENT:
		/* Only a good answer shows that there is no limit. */
		if (result != ROUTE_ANSWERED)
			return;
		break;
	case FORWARD_LIMIT_VALID:
		break;
	case FORWARD_LIMIT_INVALID:
		cs_counters_add(engine->counters, CS_N_LIMIT_INVALID, 1);
		log_limit_seldom(engine, replica, "invalid", "answer");
		return;
	}
	log_change(engine, replica,
		   route_replica_observe_limit(replica, limit.per_s,
					       attempt->sent_us,
					       forward_now(engine)),
		   "answer");
}

/* ---- exchange ---- */

static void learn(struct forward_engine *engine, const char *id,
		  gint64 incarnation, double per_s, gint64 age_ms)
{
	gint64 now = forward_now(engine);
	struct route_limit limit = {.per_s = per_s,
				    .observed_us = now - age_ms * CS_US_PER_MS};
	enum route_limit_change change;
	struct route_replica *replica = route_fleet_learn_limit(
		engine->fleet, id, incarnation, &limit, &change, now);

	if (replica)
		log_change(engine, replica, change, "daemon");
}

static bool in_range(double per_s, gint64 age_ms)
{
	return isfinite(per_s) && per_s >= 0 && age_ms >= 0 &&
	       age_ms <= G_MAXINT;
}

static gint64 age_ms(const struct forward_engine *engine,
		     const struct route_replica *replica)
{
	return (forward_now(engine) - replica->limit.observed_us) /
	       CS_US_PER_MS;
}

static bool is_worth_telling(const struct forward_engine *engine,
			     const struct route_replica *replica)
{
	return replica->limit.per_s > 0 ||
	       forward_now(engine) - replica->limit.observed_us < ENDED_TOLD_US;
}

struct report {
	struct forward_engine *engine;
	GString *text;
	bool all;
	guint n;
};

static void print_limit(struct route_replica *replica, void *user)
{
	struct report *report = user;
	g_autofree char *name = NULL;
	char per_s[G_ASCII_DTOSTR_BUF_SIZE];

	if (report->n >= LIMITS_MAX ||
	    !is_worth_telling(report->engine, replica) ||
	    !(report->all || replica->limit.unreported))
		return;
	name = g_uri_escape_string(replica->id, NULL, FALSE);
	g_ascii_formatd(per_s, sizeof(per_s), "%.6g", replica->limit.per_s);
	g_string_append_printf(
		report->text,
		"%s:%" G_GINT64_FORMAT ":%s:%" G_GINT64_FORMAT ",", name,
		replica->incarnation, per_s, age_ms(report->engine, replica));
	replica->limit.unreported = false;
	report->n++;
}

void forward_limits_append_report(struct forward_engine *engine, bool all,
				  GString *query)
{
	struct report report = {engine, g_string_new(NULL), all, 0};

	route_fleet_each_limit(engine->fleet, print_limit, &report);
	if (report.n) {
		g_string_append(query, "&limits=");
		/* The ids are escaped twice, as they may contain the
		 * separators. */
		g_string_append_uri_escaped(query, report.text->str, ":,",
					    FALSE);
	}
	g_string_free(report.text, TRUE);
}

static bool read_limit(struct forward_engine *engine, char **fields)
{
	g_autofree char *id = NULL;
	gint64 incarnation;
	gint64 age;
	char *end;
	double per_s;

	if (g_strv_length(fields) != N_FIELDS ||
	    !g_ascii_string_to_signed(fields[FIELD_INCARNATION], 10, G_MININT64,
				      G_MAXINT64, &incarnation, NULL) ||
	    !g_ascii_string_to_signed(fields[FIELD_AGE_MS], 10, 0, G_MAXINT,
				      &age, NULL))
		return false;
	per_s = g_ascii_strtod(fields[FIELD_PER_S], &end);
	id = g_uri_unescape_string(fields[FIELD_ID], NULL);
	if (!id || *end || end == fields[FIELD_PER_S] || !in_range(per_s, age))
		return false;
	learn(engine, id, incarnation, per_s, age);
	return true;
}

void forward_limits_add_report(struct forward_engine *engine,
			       const char *report)
{
	g_auto(GStrv) entries = g_strsplit(report, ",", -1);

	for (char **entry = entries; *entry; entry++) {
		g_auto(GStrv) fields = g_strsplit(*entry, ":", -1);

		if (**entry && !read_limit(engine, fields))
			cs_log(LOG_WARNING, "limit-invalid", "text", *entry,
			       NULL);
	}
}

struct export_context {
	struct forward_engine *engine;
	json_t *items;
};

static void export_limit(struct route_replica *replica, void *user)
{
	struct export_context *context = user;

	if (json_array_size(context->items) >= LIMITS_MAX ||
	    !is_worth_telling(context->engine, replica))
		return;
	json_array_append_new(
		context->items,
		json_pack("[s, I, f, I]", replica->id,
			  (json_int_t)replica->incarnation,
			  replica->limit.per_s,
			  (json_int_t)age_ms(context->engine, replica)));
}

json_t *forward_limits_export(struct forward_engine *engine)
{
	struct export_context context = {engine, json_array()};

	route_fleet_each_limit(engine->fleet, export_limit, &context);
	return context.items;
}

json_t *forward_limits_places(struct forward_engine *engine,
			      struct route_members *members, guint32 hash)
{
	json_t *places = json_object();
	struct route_place place;
	GHashTableIter iter;
	gpointer region;

	g_hash_table_iter_init(&iter, engine->settings->regions);
	while (g_hash_table_iter_next(&iter, NULL, &region)) {
		if (json_object_get(places, region) ||
		    !route_members_place(members, hash, region,
					 forward_now(engine), &place))
			continue;
		json_object_set_new(places, region,
				    json_pack("[b, i, i, i]", place.near,
					      (int)place.position,
					      (int)place.n_near,
					      (int)place.n_far));
	}
	return places;
}

static void print_size(const char *region, const struct route_place *place,
		       void *user)
{
	g_autofree char *name = g_uri_escape_string(region, NULL, FALSE);

	g_string_append_printf(user, "%s:%u:%u,", name, place->n_near,
			       place->n_far);
}

void forward_limits_append_sizes(struct forward_engine *engine, GString *query)
{
	GString *text = g_string_new(NULL);

	route_fleet_each_place(engine->fleet, print_size, text);
	if (text->len) {
		g_string_append(query, "&sizes=");
		g_string_append_uri_escaped(query, text->str, ":,", FALSE);
	}
	g_string_free(text, TRUE);
}

static bool add_size(struct route_members *members, const char *text)
{
	g_auto(GStrv) fields = g_strsplit(text, ":", -1);
	g_autofree char *region = NULL;
	guint64 n_near;
	guint64 n_far;

	if (g_strv_length(fields) != 3 ||
	    !g_ascii_string_to_unsigned(fields[1], 10, 0, DAEMONS_MAX, &n_near,
					NULL) ||
	    !g_ascii_string_to_unsigned(fields[2], 10, 0, DAEMONS_MAX, &n_far,
					NULL))
		return false;
	region = g_uri_unescape_string(fields[0], NULL);
	if (!region)
		return false;
	route_members_told_sizes(members, region, (guint)n_near, (guint)n_far);
	return true;
}

void forward_limits_add_sizes(struct route_members *members, const char *text)
{
	g_auto(GStrv) items = g_strsplit(text, ",", -1);

	for (char **item = items; *item; item++) {
		if (**item && !add_size(members, *item))
			cs_log(LOG_WARNING, "place-invalid", "text", *item,
			       NULL);
	}
}

static bool apply_limit(struct forward_engine *engine, json_t *item)
{
	const char *id;
	json_int_t incarnation;
	json_int_t age;
	double per_s;

	if (json_unpack(item, "[s, I, F, I!]", &id, &incarnation, &per_s,
			&age) ||
	    !in_range(per_s, age))
		return false;
	learn(engine, id, incarnation, per_s, age);
	return true;
}

static bool apply_place(struct forward_engine *engine, const char *region,
			json_t *item)
{
	int near;
	int position;
	int n_near;
	int n_far;
	struct route_place place;

	if (json_unpack(item, "[b, i, i, i!]", &near, &position, &n_near,
			&n_far) ||
	    n_near < 0 || n_far < 0 || position < 0 ||
	    position >= (near ? n_near : n_far))
		return false;
	place = (struct route_place){near, (guint)position, (guint)n_near,
				     (guint)n_far};
	route_fleet_set_place(engine->fleet, region, &place,
			      forward_now(engine));
	return true;
}

void forward_limits_apply(struct forward_engine *engine, json_t *limits,
			  json_t *places)
{
	const char *region;
	gsize i;
	json_t *item;

	json_array_foreach (limits, i, item) {
		if (!apply_limit(engine, item))
			cs_log(LOG_WARNING, "limit-invalid", NULL);
	}
	json_object_foreach (places, region, item) {
		if (!apply_place(engine, region, item))
			cs_log(LOG_WARNING, "place-invalid", "region", region,
			       NULL);
	}
}
