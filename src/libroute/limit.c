/* The rate limits that replicas name in their answers. */
#include "fleet.h"

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
