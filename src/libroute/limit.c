/* The rate limits that replicas name in their answers. */
#include "fleet.h"

/* Part of a limit that daemons use who were not told their fraction, all
 * together. The rest covers the daemons that count more of them as up. */
#define UNTOLD_PART 0.5

/* Time in which a bucket that holds more than one token fills up. */
#define BURST_US (250 * CS_US_PER_MS)

/* Return: requests/s that this daemon may send to a replica with a limit. */
static double own_rate(const struct route_replica *replica)
{
	const struct route_bounds *bounds = &replica->pool->fleet->bounds;

	return replica->limit.per_s * UNTOLD_PART / MAX(bounds->daemons, 1);
}

bool route_limit_allows(struct route_replica *replica, gint64 now_us)
{
	struct route_limit *limit = &replica->limit;
	double rate;

	if (limit->per_s <= 0)
		return true;
	rate = own_rate(replica);
	route_bucket_refill(&limit->bucket, rate,
			    MAX(rate * BURST_US / CS_US_PER_S, 1), now_us);
	return route_bucket_ready(&limit->bucket);
}

static enum route_limit_change change_between(double before, double after)
{
	if (before == after)
		return ROUTE_LIMIT_SAME;
	if (after <= 0)
		return ROUTE_LIMIT_ENDED;
	return before > 0 ? ROUTE_LIMIT_CHANGED : ROUTE_LIMIT_NAMED;
}

enum route_limit_change route_replica_observe_limit(
	struct route_replica *replica, double per_s, gint64 sent_us,
	gint64 now_us)
{
	struct route_limit *limit = &replica->limit;
	double before = limit->per_s;

	if (per_s <= 0 && sent_us < limit->observed_us)
		return ROUTE_LIMIT_SAME;
	if (per_s <= 0 && before <= 0)
		return ROUTE_LIMIT_SAME;
	if (before <= 0)
		limit->bucket = (struct route_bucket){.refilled_us = now_us};
	limit->per_s = per_s;
	limit->observed_us = now_us;
	return change_between(before, per_s);
}

void route_fleet_each_limit(struct route_fleet *fleet,
			    void (*visit)(struct route_replica *replica,
					  void *user),
			    void *user)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->replicas);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct route_replica *replica = value;

		if (replica->limit.observed_us)
			visit(replica, user);
	}
}
