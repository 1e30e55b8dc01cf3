/* What every unit test shares: its main, and a small fleet to decide on. */
#ifndef UNIT_H
#define UNIT_H

#include "cuminsail/cuminsail.h"

#include <check.h>

#define MS ((gint64)CS_US_PER_MS)

/* Run one suite; the exit status of the test program. */
int unit_run(const char *name, const TTest *const *tests, size_t n_tests);

#define UNIT_MAIN(name, ...)                                                   \
	int main(void)                                                         \
	{                                                                      \
		const TTest *const tests[] = {__VA_ARGS__};                    \
		return unit_run(name, tests, G_N_ELEMENTS(tests));             \
	}

/* A fleet of one query service "s" and one order service "o". */
struct world {
	struct cs_counters *counters;
	struct policy_fleet *fleet;
	struct policy_service *service;
	struct policy_service *orders;
	json_t *config;
	json_t *list;
	gint64 now_us;
};

/*
 * Shards "0".. with replicas "u<shard>-<replica>" in zone "a" (replica 0) or
 * "b", 100 documents each, snapshot "s1" of map 1. This daemon is "d1" of zone
 * "a", alone in the list.
 */
struct world world_create(guint shards, guint replicas);
void world_destroy(struct world *world);

/* Offer world->config, or world->list with the next revision. */
void world_publish_config(struct world *world);
int world_publish_list(struct world *world);

/* Let time pass with the list kept fresh. */
void world_advance(struct world *world, gint64 delta_us);

/* Pass the ownership window, or make every upstream warm. */
void world_pass_ownership_window(struct world *world);
void world_warm(struct world *world);

struct policy_upstream *world_upstream(struct world *world, const char *id);
json_t *world_listed(struct world *world, const char *id);
json_t *world_service_json(struct world *world, const char *name);

/* A valid answer to an action of a query with request id "r". */
struct policy_part *world_answer(const struct policy_action *action,
				 gint64 searched);

#endif
