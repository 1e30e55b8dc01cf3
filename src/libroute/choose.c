/* Chooses the replica for an attempt, within the limits of each replica. */
#include "fleet.h"

#include <math.h>
#include <string.h>

/* Cost of a failure to a request: it needs a second attempt, which is the last
 * one on most routes, and so it often gets no answer at all. */
#define FAILURE_COST_US 300000

/* Time a replica takes to accept a connection, according to the figures
 * for the deployments. */
#define CONNECT_US 6000

/* Share of a replica's connection limit for the daemons of its zone. */
#define SAME_ZONE_SHARE 0.55

/* Most connections to one replica that this daemon opens at the same time:
 * each holds one of the replica's slots for some milliseconds. */
#define CONNECTING_MAX 2

/* How long no further connection is opened to a replica that reset a new one:
 * the time in which some of its requests end. */
#define SATURATED_US (200 * CS_US_PER_MS)

/* Factor on the connections of daemons in other zones, which seldom need them
 * at the same time. */
#define FAR_OVERCOMMIT 2

static bool is_stalled(const struct route_replica *replica, gint64 now_us)
{
	const struct route_attempt *oldest =
		TAILQ_FIRST(&replica->open_attempts);

	return oldest && route_is_overdue(oldest, now_us);
}

/* A replica of a higher tier is chosen only if there is none of a lower one. */
enum tier {
	TIER_HEALTHY,
	TIER_LIMITED, /* has a rate limit, and the attempt is a repeat */
	TIER_SUSPECT, /* stalled, or recently not reachable */
	TIER_LAPSED, /* no longer listed, possibly stopped */
	TIER_NONE,
};

static enum tier tier_of(const struct route_criteria *criteria,
			 const struct route_replica *replica, gint64 now_us)
{
	if (replica->lapsed_until_us)
		return TIER_LAPSED;
	if (now_us < replica->suspect_until_us || is_stalled(replica, now_us))
		return TIER_SUSPECT;
	if (replica->limit.per_s > 0 && criteria->n_tried)
		return TIER_LIMITED;
	return TIER_HEALTHY;
}

/* Whether the criteria allow the replica, regardless of its capacity. */
static bool is_eligible(const struct route_criteria *criteria,
			const struct route_replica *replica, gint64 now_us)
{
	GPtrArray *regions = criteria->route->regions;

	if (!route_replica_usable(replica, now_us))
		return false;
	for (guint i = 0; i < criteria->n_tried; i++) {
		if (criteria->tried[i] == replica)
			return false;
	}
	if (!regions->len)
		return true;
	return replica->region &&
	       g_ptr_array_find_with_equal_func(regions, replica->region,
						g_str_equal, NULL);
}

guint route_replica_connections(const struct route_replica *replica)
{
	const struct route_bounds *bounds = &replica->pool->fleet->bounds;
	double limit = (double)replica->pool->connections_max;
	double share;

	if (replica->distance == ROUTE_SAME_ZONE)
		share = limit * SAME_ZONE_SHARE / bounds->daemons_in_zone;
	else
		share = limit * (1 - SAME_ZONE_SHARE) * FAR_OVERCOMMIT /
			MAX(bounds->daemons - bounds->daemons_in_zone, 1);
	return share < 1 ? 1 : (guint)share;
}

void route_replica_saturated(struct route_replica *replica, gint64 now_us)
{
	replica->saturated_until_us = now_us + SATURATED_US;
}

/* Whether the replica has an idle connection or another may be opened. */
static bool has_connection(const struct route_replica *replica, gint64 now_us)
{
	if (replica->n_open >= route_replica_connections(replica))
		return false;
	if (replica->connections > replica->n_open)
		return true;
	if (now_us < replica->saturated_until_us)
		return !replica->connections;
	return replica->connecting < CONNECTING_MAX;
}

/* Why the replica takes no request for longer than the criteria allow to wait;
 * ROUTE_AVAILABLE if it is not so. */
static enum route_unavailable long_wait(const struct route_criteria *criteria,
					struct route_replica *replica,
					gint64 now_us)
{
	if (route_rest_wait_us(replica, now_us) > criteria->wait_us)
		return ROUTE_RESTING;
	if (route_limit_wait_us(replica, now_us) > criteria->wait_us)
		return ROUTE_RATE_LIMITED;
	return ROUTE_AVAILABLE;
}

/* Whether the replica takes a request now. */
static bool has_capacity(struct route_pool *pool, struct route_replica *replica,
			 gint64 now_us)
{
	return has_connection(replica, now_us) &&
	       route_cold_allows(pool, replica, now_us) &&
	       route_limit_allows(replica, now_us) &&
	       !route_rest_wait_us(replica, now_us) &&
	       !(replica->notice.on_trial && replica->n_open);
}

/* Time until a request can be sent. */
static double connect_us(const struct route_replica *replica)
{
	if (replica->connections > replica->n_open)
		return 0;
	return route_round_trip_us(replica) + CONNECT_US;
}

gint64 route_replica_soonest_us(const struct route_replica *replica)
{
	return (gint64)(connect_us(replica) + route_round_trip_us(replica));
}

/* Time that a predicted pause of the replica would add. */
static double pause_us(const struct route_criteria *criteria,
		       const struct route_replica *replica, gint64 now_us)
{
	gint64 arrive_us = now_us + (gint64)(connect_us(replica) +
					     route_round_trip_us(replica) / 2);

	return (double)route_pause_delay_us(&replica->pause, arrive_us,
					    (gint64)criteria->work->mean_us);
}

/* Expected time to an answer, including the requests queued before it, a new
 * connection if none is idle, a pause, and the risk of a failure. */
static double cost_us(const struct route_criteria *criteria,
		      const struct route_replica *replica, gint64 now_us)
{
	double expected = route_expected_us(criteria->work, replica, now_us);
	double queue = 2.0 * replica->n_open / (double)replica->slots;

	return expected * (1 + queue) +
	       route_failure_rate(replica, now_us) * FAILURE_COST_US +
	       connect_us(replica) +
	       (criteria->try_pauses ? 0 : pause_us(criteria, replica, now_us));
}

struct route_replica *route_pool_choose(struct route_pool *pool,
					const struct route_criteria *criteria,
					gint64 now_us,
					enum route_unavailable *reason)
{
	struct route_replica *best = NULL;
	enum tier best_tier = TIER_NONE;
	double best_cost = 0;
	struct route_replica *replica;

	*reason = ROUTE_NO_REPLICA;
	TAILQ_FOREACH (replica, &pool->replicas, link) {
		enum route_unavailable wait;
		enum tier tier;
		double cost;

		if (!is_eligible(criteria, replica, now_us))
			continue;
		wait = long_wait(criteria, replica, now_us);
		if (wait != ROUTE_AVAILABLE) {
			if (*reason == ROUTE_NO_REPLICA)
				*reason = wait;
			continue;
		}
		*reason = ROUTE_NO_CAPACITY;
		if (!has_capacity(pool, replica, now_us))
			continue;
		tier = tier_of(criteria, replica, now_us);
		cost = cost_us(criteria, replica, now_us);
		if (best && (tier > best_tier ||
			     (tier == best_tier && cost >= best_cost)))
			continue;
		best = replica;
		best_tier = tier;
		best_cost = cost;
	}
	if (best)
		*reason = ROUTE_AVAILABLE;
	return best;
}
