/* Which replica is asked, when a second one is, and what that may cost. */
#include "fleet.h"

#include <math.h>
#include <string.h>

/* Round trips until a replica's own samples tell, by distance. The far one is
 * between the two regions' distances of today, 24 and 40 ms. */
#define SAME_ZONE_US   800
#define SAME_REGION_US 2000
#define FAR_US	       32000

/* Work of a service that nobody has asked yet. */
#define FIRST_WORK_US 20000

/* Weight of a new sample in the moving averages. */
#define SAMPLE_WEIGHT 0.2

/* A sample counts as at most this many times the estimate. */
#define SAMPLE_FACTOR_MAX 3.0

/* A sample loses half of its say in this time, so that a replica that was slow
 * or failing is tried again. */
#define FORGET_HALF_US (3.0 * CS_US_PER_S)

/* What a failure costs a request: a second attempt, and often the whole answer,
 * since the second is the last one that most routes allow. */
#define FAILURE_COST_US 300000

/* Weight of one outcome in the failure rate: a single failure does not outweigh
 * the way to another region, two in a row do. */
#define FAILURE_WEIGHT 0.1

/* A cold replica works this much slower, by the sites' figures. */
#define COLD_FACTOR 1.6

/* An attempt this many times over its estimate, and this much in all, shows
 * that its replica stands still. */
#define OVERDUE_FACTOR 2.5
#define OVERDUE_US     15000

/* First pause after a failure; doubled for each further one in a row. A pause
 * of a replica lasts 200 to 300 ms. */
#define SUSPECT_US	  (200 * CS_US_PER_MS)
#define SUSPECT_DOUBLINGS 4

/* A hedge waits for the estimate and this many deviations: at four, one in
 * twenty answers of a log-normal service is later. */
#define HEDGE_DEVIATIONS 3.0
#define HEDGE_MIN_US	 8000

/* Share of a replica's connections that its own zone's daemons get. */
#define NEAR_SHARE 0.55

/* Daemons seldom need their far connections at the same time. */
#define FAR_OVERCOMMIT 2

double route_distance_us(enum route_distance distance)
{
	switch (distance) {
	case ROUTE_SAME_ZONE:
		return SAME_ZONE_US;
	case ROUTE_SAME_REGION:
		return SAME_REGION_US;
	case ROUTE_FAR:
	case ROUTE_DISTANCES:
		break;
	}
	return FAR_US;
}

/* Share of its say that a figure of this age still has. */
static double say(gint64 age_us)
{
	return exp2(-(double)age_us / FORGET_HALF_US);
}

static double usual_us(const struct route_pool *pool,
		       const struct route_replica *replica)
{
	double work = pool->work_us > 0 ? pool->work_us : FIRST_WORK_US;

	return route_distance_us(replica->distance) + work;
}

double route_expected_us(const struct route_pool *pool,
			 const struct route_replica *replica, gint64 now_us)
{
	double usual = usual_us(pool, replica);
	double weight;

	if (!replica->sampled_us)
		return replica->cold_until_us > now_us ? usual * COLD_FACTOR
						       : usual;
	weight = say(now_us - replica->sampled_us);
	return replica->latency_us * weight + usual * (1 - weight);
}

static bool is_overdue(const struct route_pool *pool,
		       const struct route_replica *replica, gint64 now_us)
{
	const struct route_attempt *oldest = TAILQ_FIRST(&replica->open);

	if (!oldest)
		return false;
	return (double)(now_us - oldest->sent_us) >
	       OVERDUE_FACTOR * route_expected_us(pool, replica, now_us) +
		       OVERDUE_US;
}

/* Replicas of a higher tier are asked only if no lower one can be. */
enum tier {
	TIER_SOUND,
	TIER_STILL, /* slow to answer or failing just now */
	TIER_LAPSED, /* no longer listed, and perhaps gone */
	TIER_NONE,
};

static enum tier tier_of(const struct route_pool *pool,
			 const struct route_replica *replica, gint64 now_us)
{
	if (replica->lapsed_us)
		return TIER_LAPSED;
	if (now_us < replica->suspect_until_us ||
	    is_overdue(pool, replica, now_us))
		return TIER_STILL;
	return TIER_SOUND;
}

static bool may_ask(const struct route_ask *ask,
		    const struct route_replica *replica, gint64 now_us)
{
	GPtrArray *regions = ask->route->regions;

	if (!route_replica_usable(replica, now_us))
		return false;
	for (guint i = 0; i < ask->n_tried; i++) {
		if (ask->tried[i] == replica)
			return false;
	}
	if (!regions->len)
		return true;
	return replica->region &&
	       g_ptr_array_find_with_equal_func(regions, replica->region,
						g_str_equal, NULL);
}

static double cold_rate(const struct route_pool *pool)
{
	const struct route_bounds *bounds = &pool->fleet->bounds;

	return pool->cold_per_s * bounds->cold_overrun / bounds->daemons;
}

static bool has_cold_room(const struct route_pool *pool,
			  struct route_replica *replica, gint64 now_us)
{
	double rate = cold_rate(pool);

	if (pool->cold_per_s <= 0 || replica->cold_until_us <= now_us)
		return true;
	if (replica->cold_filled_us)
		replica->cold_tokens +=
			rate * (double)(now_us - replica->cold_filled_us) /
			CS_US_PER_S;
	replica->cold_tokens = MIN(replica->cold_tokens, MAX(rate, 1));
	replica->cold_filled_us = now_us;
	return replica->cold_tokens >= 1;
}

guint route_replica_connections(const struct route_replica *replica)
{
	const struct route_bounds *bounds = &replica->pool->fleet->bounds;
	double all = (double)replica->pool->connections_max;
	double share;

	if (replica->distance == ROUTE_SAME_ZONE)
		share = all * NEAR_SHARE / bounds->daemons_in_zone;
	else
		share = all * (1 - NEAR_SHARE) * FAR_OVERCOMMIT /
			MAX(bounds->daemons - bounds->daemons_in_zone, 1);
	return share < 1 ? 1 : (guint)share;
}

static double cost_us(const struct route_pool *pool,
		      const struct route_replica *replica, gint64 now_us)
{
	double expected = route_expected_us(pool, replica, now_us);
	double queue = 2.0 * replica->n_open / (double)replica->slots;
	double failures = replica->failure_rate *
			  say(now_us - replica->failed_us) * FAILURE_COST_US;

	return expected * (1 + queue) + failures;
}

struct route_replica *route_pool_choose(struct route_pool *pool,
					const struct route_ask *ask,
					gint64 now_us, enum route_lack *lack)
{
	struct route_replica *best = NULL;
	enum tier best_tier = TIER_NONE;
	double best_cost = 0;
	struct route_replica *replica;

	*lack = ROUTE_LACK_REPLICA;
	TAILQ_FOREACH (replica, &pool->replicas, link) {
		enum tier tier;
		double cost;

		if (!may_ask(ask, replica, now_us))
			continue;
		if (*lack == ROUTE_LACK_REPLICA)
			*lack = ROUTE_LACK_ROOM;
		if (replica->n_open >= route_replica_connections(replica) ||
		    !has_cold_room(pool, replica, now_us))
			continue;
		tier = tier_of(pool, replica, now_us);
		cost = cost_us(pool, replica, now_us);
		if (best && (tier > best_tier ||
			     (tier == best_tier && cost >= best_cost)))
			continue;
		best = replica;
		best_tier = tier;
		best_cost = cost;
	}
	if (best)
		*lack = ROUTE_LACK_NONE;
	return best;
}

gint64 route_pool_hedge_us(const struct route_pool *pool,
			   const struct route_replica *replica)
{
	double expected = usual_us(pool, replica);
	double deviation = pool->work_us > 0 ? pool->deviation_us : expected;

	if (replica->sampled_us)
		expected = MAX(expected, replica->latency_us);
	/* A replica known to be slow is not waited for any longer. */
	expected = MIN(expected, 2 * usual_us(pool, replica));
	return MAX((gint64)(expected + HEDGE_DEVIATIONS * deviation),
		   HEDGE_MIN_US);
}

/* ---- attempts ---- */

void route_attempt_begin(struct route_attempt *attempt,
			 struct route_replica *replica, gint64 now_us)
{
	attempt->replica = route_replica_ref(replica);
	attempt->sent_us = now_us;
	TAILQ_INSERT_TAIL(&replica->open, attempt, link);
	replica->n_open++;
	if (replica->cold_until_us > now_us && replica->cold_tokens >= 1)
		replica->cold_tokens -= 1;
}

static void move(double *average, double sample)
{
	*average += SAMPLE_WEIGHT * (sample - *average);
}

static void learn_latency(struct route_replica *replica, double sample,
			  gint64 now_us)
{
	struct route_pool *pool = replica->pool;
	double expected = route_expected_us(pool, replica, now_us);
	double work = MAX(sample - route_distance_us(replica->distance), 100.0);

	if (pool->work_us <= 0) {
		pool->work_us = work;
		pool->deviation_us = work / 2;
	} else {
		/* Pauses and slow replicas are not the service's own time. */
		move(&pool->deviation_us,
		     MIN(fabs(sample - expected), 2 * pool->work_us));
		move(&pool->work_us, MIN(work, 4 * pool->work_us));
	}
	/* One pause must not turn a replica away; a slow one soon does. */
	sample = MIN(sample, SAMPLE_FACTOR_MAX * expected);
	replica->latency_us = expected + SAMPLE_WEIGHT * (sample - expected);
	replica->sampled_us = now_us;
}

static void learn_failure(struct route_replica *replica, double failed,
			  gint64 now_us)
{
	replica->failure_rate *= say(now_us - replica->failed_us);
	replica->failure_rate +=
		FAILURE_WEIGHT * (failed - replica->failure_rate);
	replica->failed_us = now_us;
}

static void suspect(struct route_replica *replica, gint64 now_us)
{
	guint doublings = MIN(replica->failure_run, SUSPECT_DOUBLINGS);

	replica->suspect_until_us = now_us + (SUSPECT_US << doublings);
	replica->failure_run++;
}

static void learn(struct route_replica *replica, enum route_result result,
		  gint64 sent_us, gint64 now_us)
{
	switch (result) {
	case ROUTE_GOOD:
		replica->failure_run = 0;
		replica->suspect_until_us = 0;
		learn_failure(replica, 0, now_us);
		learn_latency(replica, (double)(now_us - sent_us), now_us);
		break;
	case ROUTE_SHED:
		learn_failure(replica, 1, now_us);
		break;
	case ROUTE_MISPLACED:
		replica->misplaced = true;
		break;
	case ROUTE_FAILED:
		learn_failure(replica, 1, now_us);
		replica->failure_run++;
		break;
	case ROUTE_UNREACHED:
		learn_failure(replica, 1, now_us);
		suspect(replica, now_us);
		break;
	case ROUTE_DROPPED:
		break;
	}
}

void route_attempt_end(struct route_attempt *attempt, enum route_result result,
		       gint64 now_us)
{
	struct route_replica *replica = attempt->replica;

	TAILQ_REMOVE(&replica->open, attempt, link);
	replica->n_open--;
	if (replica->pool)
		learn(replica, result, attempt->sent_us, now_us);
	attempt->replica = NULL;
	route_replica_unref(replica);
}
