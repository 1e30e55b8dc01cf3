/* The pauses of a fleet's replicas, as daemons tell them to each other. */
#include "fleet.h"

void route_fleet_each_stall(struct route_fleet *fleet,
			    void (*visit)(const char *id,
					  const struct route_stall *stall,
					  void *user),
			    void *user)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->replicas);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct route_replica *replica = value;

		if (!replica->unreported_stall.end_us)
			continue;
		visit(replica->id, &replica->unreported_stall, user);
		replica->unreported_stall = (struct route_stall){0};
	}
}

const struct route_pause *route_fleet_add_stall(struct route_fleet *fleet,
						const char *id,
						const struct route_stall *stall)
{
	struct route_replica *replica =
		g_hash_table_lookup(fleet->replicas, id);
	bool was_known;

	if (!replica)
		return NULL;
	was_known = replica->pause.period_us;
	route_pause_observe(&replica->pause, stall->end_us, stall->length_us);
	return replica->pause.period_us && !was_known ? &replica->pause : NULL;
}

void route_fleet_each_pause(struct route_fleet *fleet,
			    void (*visit)(const char *id,
					  const struct route_pause *pause,
					  void *user),
			    void *user)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->replicas);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct route_replica *replica = value;

		if (replica->pause.period_us)
			visit(replica->id, &replica->pause, user);
	}
}

void route_fleet_learn_pause(struct route_fleet *fleet, const char *id,
			     const struct route_pause *pause)
{
	struct route_replica *replica =
		g_hash_table_lookup(fleet->replicas, id);

	if (replica)
		route_pause_learn(&replica->pause, pause);
}
