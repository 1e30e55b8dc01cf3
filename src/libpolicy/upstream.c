/* Phase, limit and latency of one upstream. */
#include "service.h"

#include "cuminsail/policy_query.h"

#include "cuminsail/clock.h"

#include <math.h>
#include <string.h>

/* Weight of a new sample in the moving average of the latency. */
#define LATENCY_WEIGHT 0.2

/*
 * Half-life of the average while there are no new samples, so that an upstream
 * that was slow is tried again.
 */
#define LATENCY_HALF_LIFE_US (5.0 * CS_US_PER_S)

/*
 * Factor by which a refusal or timeout of a warm upstream lowers the limit, and
 * the lowest limit.
 */
#define LIMIT_DECREASE 0.7
#define LIMIT_MIN      1.0

/* Consecutive failures after which a warm upstream is cold again. */
#define RELAPSE_FAILURES 5

/*
 * From this many consecutive failures on, each unsent or lost attempt and each
 * bad answer suspends the upstream. Refusals and timeouts count as failures but
 * do not suspend it themselves.
 */
#define SUSPEND_FAILURES 2

/* First suspension; it doubles with each further failure, up to the longest. */
#define SUSPEND_FIRST_US (100 * CS_US_PER_MS)
#define SUSPEND_MAX_US	 (3 * CS_US_PER_S)

/* How long an upstream's answer that it lacks a snapshot overrides the list. */
#define DENIED_US CS_US_PER_S

/*
 * A warm upstream is reported to the peers while its last good answer is at
 * most this old.
 */
#define WARM_AGE_MAX_US (30 * CS_US_PER_S)

const char *policy_phase_name(enum policy_phase phase)
{
	switch (phase) {
	case POLICY_UNKNOWN:
		return "unknown";
	case POLICY_COLD:
		return "cold";
	case POLICY_WARMING:
		return "warming";
	case POLICY_WARM:
		return "warm";
	}
	return "unknown";
}

struct policy_upstream *upstream_create(struct policy_service *service,
					const struct list_upstream *listed)
{
	struct policy_upstream *upstream = g_new0(struct policy_upstream, 1);

	upstream->service = service;
	upstream->id = g_strdup(listed->id);
	upstream->shard = g_strdup(listed->shard);
	upstream->zone = g_strdup(listed->zone);
	upstream->address = g_strdup(listed->address);
	upstream->incarnation = g_strdup(listed->incarnation);
	upstream->listed_incarnation = g_strdup(listed->incarnation);
	upstream->snapshots =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	upstream->denied_snapshots =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	upstream_set_phase(upstream, POLICY_UNKNOWN, 1);
	return upstream;
}

void upstream_destroy(struct policy_upstream *upstream)
{
	g_free(upstream->id);
	g_free(upstream->shard);
	g_free(upstream->zone);
	g_free(upstream->address);
	g_free(upstream->incarnation);
	g_free(upstream->listed_incarnation);
	g_hash_table_unref(upstream->snapshots);
	g_hash_table_unref(upstream->denied_snapshots);
	g_free(upstream);
}

/* Limit of an upstream that is not warm yet, before its first raise. */
static double cold_limit(const struct policy_upstream *upstream)
{
	const struct config_service *config = upstream->service->config;

	return config ? (double)config->cold_limit : 1;
}

/* This daemon's share of the connections that the upstream accepts in total. */
static double warm_limit(const struct policy_upstream *upstream,
			 guint daemons_max)
{
	const struct config_service *config = upstream->service->config;

	if (!config)
		return 1;
	return (double)MAX(config->connections / daemons_max, 1);
}

void upstream_set_phase(struct policy_upstream *upstream,
			enum policy_phase phase, guint daemons_max)
{
	upstream->phase = phase;
	upstream->answers_since_raise = 0;
	switch (phase) {
	case POLICY_UNKNOWN:
	case POLICY_COLD:
	case POLICY_WARMING:
		upstream->limit = cold_limit(upstream);
		break;
	case POLICY_WARM:
		upstream->limit = warm_limit(upstream, daemons_max);
		break;
	}
}

static void replace_string(char **target, const char *value)
{
	if (!strcmp(*target, value))
		return;
	g_free(*target);
	*target = g_strdup(value);
}

/*
 * The list's leaving flag applies only to the listed incarnation. An upstream
 * stops leaving only when the flag is withdrawn: an unchanged list may be older
 * than the upstream's own report that it is leaving.
 */
static void update_leaving(struct policy_upstream *upstream,
			   const struct list_upstream *listed)
{
	bool was_leaving = upstream->listed_leaving;

	upstream->listed_leaving = listed->leaving;
	if (strcmp(upstream->incarnation, listed->incarnation) != 0)
		return;
	if (listed->leaving)
		upstream->leaving = true;
	else if (was_leaving)
		upstream->leaving = false;
}

void upstream_update(struct policy_upstream *upstream,
		     const struct list_upstream *listed)
{
	upstream->unlisted = false;
	update_leaving(upstream, listed);
	replace_string(&upstream->listed_incarnation, listed->incarnation);
	replace_string(&upstream->zone, listed->zone);
	replace_string(&upstream->shard, listed->shard);
	replace_string(&upstream->address, listed->address);
	g_hash_table_remove_all(upstream->snapshots);
	for (guint i = 0; i < listed->snapshots->len; i++)
		g_hash_table_add(upstream->snapshots,
				 g_strdup(listed->snapshots->pdata[i]));
}

bool upstream_holds(const struct policy_upstream *upstream,
		    const char *snapshot, gint64 now_us)
{
	const gint64 *until;

	if (!snapshot)
		return true;
	if (!g_hash_table_contains(upstream->snapshots, snapshot))
		return false;
	until = g_hash_table_lookup(upstream->denied_snapshots, snapshot);
	return !until || *until <= now_us;
}

void policy_upstream_deny_snapshot(struct policy_upstream *upstream,
				   const char *snapshot, gint64 now_us)
{
	gint64 until = now_us + DENIED_US;

	g_hash_table_insert(upstream->denied_snapshots, g_strdup(snapshot),
			    g_memdup2(&until, sizeof(until)));
}

bool policy_upstream_is_recently_warm(const struct policy_upstream *upstream,
				      gint64 now_us)
{
	if (upstream->phase != POLICY_WARM || !upstream->last_answer_us)
		return false;
	return now_us - upstream->last_answer_us <= WARM_AGE_MAX_US;
}

/* Suspends the upstream if it has failed often enough. */
static void suspend(struct policy_upstream *upstream, gint64 now_us)
{
	guint steps;
	gint64 pause;

	if (upstream->consecutive_failures < SUSPEND_FAILURES)
		return;
	steps = MIN(upstream->consecutive_failures - SUSPEND_FAILURES, 5);
	pause = MIN(SUSPEND_FIRST_US << steps, SUSPEND_MAX_US);
	upstream->suspended_until_us = now_us + pause;
}

/*
 * Raises the limit. While the upstream is not warm, the limit doubles after
 * each warm_after good answers until it reaches the upstream's slots; then the
 * upstream is warm. When it is warm, each answer adds the reciprocal of the
 * limit.
 */
static void record_success(struct policy_upstream *upstream, gint64 now_us,
			   guint daemons_max, struct cs_counters *counters)
{
	const struct config_service *config = upstream->service->config;
	double limit_max = warm_limit(upstream, daemons_max);

	upstream->consecutive_failures = 0;
	upstream->suspended_until_us = 0;
	upstream->last_answer_us = now_us;
	if (upstream->phase == POLICY_WARM) {
		upstream->limit =
			MIN(upstream->limit + 1 / upstream->limit, limit_max);
		return;
	}
	upstream->answers_since_raise++;
	if (!config || upstream->answers_since_raise < config->warm_after)
		return;
	upstream->answers_since_raise = 0;
	upstream->phase = POLICY_WARMING;
	upstream->limit *= 2;
	if (upstream->limit < (double)config->slots)
		return;
	upstream_set_phase(upstream, POLICY_WARM, daemons_max);
	cs_counters_add(counters, CS_N_WARMED, 1);
}

/* Makes the upstream cold after a failure. */
static void relapse(struct policy_upstream *upstream, gint64 now_us,
		    guint daemons_max, struct cs_counters *counters)
{
	upstream->became_cold_us = now_us;
	if (upstream->phase == POLICY_WARM)
		cs_counters_add(counters, CS_N_RELAPSES, 1);
	upstream_set_phase(upstream, POLICY_COLD, daemons_max);
}

static void record_failure(struct policy_upstream *upstream, gint64 now_us,
			   guint daemons_max, struct cs_counters *counters)
{
	upstream->consecutive_failures++;
	if (upstream->phase == POLICY_WARM)
		upstream->limit =
			MAX(upstream->limit * LIMIT_DECREASE, LIMIT_MIN);
	if (upstream->phase != POLICY_WARM ||
	    upstream->consecutive_failures >= RELAPSE_FAILURES)
		relapse(upstream, now_us, daemons_max, counters);
}

static void sample_latency(struct policy_upstream *upstream, gint64 latency_us,
			   gint64 now_us)
{
	upstream->latency_us +=
		LATENCY_WEIGHT * ((double)latency_us - upstream->latency_us);
	upstream->sampled_us = now_us;
}

/* The elapsed time of an aborted attempt is a lower bound on its latency. */
static void sample_lower_bound(struct policy_upstream *upstream,
			       gint64 latency_us, gint64 now_us)
{
	if ((double)latency_us > upstream->latency_us)
		sample_latency(upstream, latency_us, now_us);
}

double upstream_latency_us(const struct policy_upstream *upstream,
			   gint64 now_us)
{
	double idle_us = (double)(now_us - upstream->sampled_us);

	return upstream->latency_us * exp2(-idle_us / LATENCY_HALF_LIFE_US);
}

/*
 * An upstream may go on with cancelled work until its timeout. One that is not
 * warm gets no other request until then, or it would exceed its limit.
 */
static void occupy_until_timeout(struct policy_upstream *upstream,
				 gint64 sent_us)
{
	const struct config_service *config = upstream->service->config;

	if (upstream->phase == POLICY_WARM || !config)
		return;
	upstream->occupied_until_us =
		MAX(upstream->occupied_until_us,
		    sent_us + config->part_timeout_ms * CS_US_PER_MS);
}

void upstream_record_result(struct policy_upstream *upstream,
			    enum policy_result result, gint64 latency_us,
			    gint64 now_us, guint daemons_max,
			    struct cs_counters *counters)
{
	switch (result) {
	case POLICY_DONE:
		sample_latency(upstream, latency_us, now_us);
		service_record_latency(upstream->service, latency_us);
		record_success(upstream, now_us, daemons_max, counters);
		break;
	case POLICY_REFUSED:
		cs_counters_add(counters, CS_N_SHEDS, 1);
		record_failure(upstream, now_us, daemons_max, counters);
		break;
	case POLICY_TIMEOUT:
		sample_lower_bound(upstream, latency_us, now_us);
		record_failure(upstream, now_us, daemons_max, counters);
		break;
	case POLICY_UNSENT:
	case POLICY_LOST:
		/* The process may have ended; a new one starts cold. */
		upstream->consecutive_failures++;
		relapse(upstream, now_us, daemons_max, counters);
		suspend(upstream, now_us);
		break;
	case POLICY_BAD_ANSWER:
		upstream->consecutive_failures++;
		suspend(upstream, now_us);
		break;
	case POLICY_CANCELLED:
		sample_lower_bound(upstream, latency_us, now_us);
		occupy_until_timeout(upstream, now_us - latency_us);
		break;
	case POLICY_LACKS_SNAPSHOT:
	case POLICY_OTHER_INCARNATION:
	case POLICY_WITHDRAWN:
		break;
	}
}

const char *policy_result_name(enum policy_result result)
{
	switch (result) {
	case POLICY_DONE:
		return "done";
	case POLICY_UNSENT:
		return "unsent";
	case POLICY_REFUSED:
		return "refused";
	case POLICY_LACKS_SNAPSHOT:
		return "lacks-snapshot";
	case POLICY_OTHER_INCARNATION:
		return "other-incarnation";
	case POLICY_LOST:
		return "lost";
	case POLICY_TIMEOUT:
		return "timeout";
	case POLICY_BAD_ANSWER:
		return "bad-answer";
	case POLICY_CANCELLED:
		return "dropped";
	case POLICY_WITHDRAWN:
		return "withdrawn";
	}
	return "unknown";
}
