/* Which replica is asked, when a second one is, and what that may cost. */
#include "fleet.h"

#include <math.h>
#include <string.h>

/* What a failure costs a request: a second attempt, and often the whole answer,
 * since the second is the last one that most routes allow. */
#define FAILURE_COST_US 300000

/* A replica takes this long to open a connection, by the sites' figures. */
#define OPEN_US 6000

/* Share of a replica's connections that its own zone's daemons get. */
#define NEAR_SHARE 0.55

/* Connections to one replica that are being opened at once: each holds one of
 * its slots for some milliseconds. */
#define CONNECTING_MAX 2

/* After a replica reset a new connection it gets no further one for so long:
 * the time in which some requests end. */
#define CROWDED_US (200 * CS_US_PER_MS)

/* Daemons seldom need their far connections at the same time. */
#define FAR_OVERCOMMIT 2

static bool stands_still(const struct route_replica *replica, gint64 now_us)
{
	const struct route_attempt *oldest = TAILQ_FIRST(&replica->open);

	return oldest && route_is_overdue(oldest, now_us);
}

/* Replicas of a higher tier are asked only if no lower one can be. */
enum tier {
	TIER_SOUND,
	TIER_STILL, /* slow to answer or failing just now */
	TIER_LAPSED, /* no longer listed, and perhaps gone */
	TIER_NONE,
};

static enum tier tier_of(const struct route_replica *replica, gint64 now_us)
{
	if (replica->lapsed_us)
		return TIER_LAPSED;
	if (now_us < replica->suspect_until_us || stands_still(replica, now_us))
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

void route_replica_crowded(struct route_replica *replica, gint64 now_us)
{
	replica->crowded_until_us = now_us + CROWDED_US;
}

/* Whether a connection is idle, or one more may be opened. */
static bool has_connection(const struct route_replica *replica, gint64 now_us)
{
	if (replica->n_open >= route_replica_connections(replica))
		return false;
	if (replica->connections > replica->n_open)
		return true;
	if (now_us < replica->crowded_until_us)
		return !replica->connections;
	return replica->connecting < CONNECTING_MAX;
}

/* Time until an answer, with what stands before it. */
static double cost_us(const struct route_ask *ask,
		      const struct route_replica *replica, gint64 now_us)
{
	double expected = route_expected_us(ask->work, replica, now_us);
	double queue = 2.0 * replica->n_open / (double)replica->slots;
	double cost = expected * (1 + queue) +
		      route_failure_rate(replica, now_us) * FAILURE_COST_US;

	if (replica->connections <= replica->n_open)
		cost += route_round_trip_us(replica) + OPEN_US;
	return cost;
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
		if (!has_connection(replica, now_us) ||
		    !has_cold_room(pool, replica, now_us))
			continue;
		tier = tier_of(replica, now_us);
		cost = cost_us(ask, replica, now_us);
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
