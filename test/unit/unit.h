/* Shared by all unit tests: the main function and a small policy fleet. */
#ifndef UNIT_H
#define UNIT_H

#include "cuminsail/cuminsail.h"

#include <check.h>

#define MS ((gint64)CS_US_PER_MS)

/*
 * Runs one test suite in this process, without log output. Returns the exit
 * status of the test program.
 */
int unit_run(const char *name, const TTest *const *tests, size_t n_tests);

#define UNIT_MAIN(name, ...)                                                   \
	int main(void)                                                         \
	{                                                                      \
		const TTest *const tests[] = {__VA_ARGS__};                    \
		return unit_run(name, tests, G_N_ELEMENTS(tests));             \
	}

/*
 * A fleet with one query service "s" and one order service "o". Tests change
 * config and list and publish them again; now_us is the current time.
 */
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
 * Creates a fleet whose query service has shards "0", "1" and so on, of 100
 * documents each, and the replicas "s<shard>-<replica>". The order service has
 * the replicas "o0-<replica>". Replica 0 is in zone "a", all others are in
 * zone "b". The index snapshot is "s1" of map 1. This daemon is "d1" in zone
 * "a", the only daemon in the instance list.
 */
struct world world_create(guint shards, guint replicas);
void world_destroy(struct world *world);

/* Puts world->config into force. The test fails if it is not valid. */
void world_publish_config(struct world *world);

/*
 * Raises the revision of world->list by one and sets the list. Returns the
 * result of policy_fleet_set_list(). The test fails if the list is not valid.
 */
int world_publish_list(struct world *world);

/* Advances the time by delta_us and confirms that the list is current. */
void world_advance(struct world *world, gint64 delta_us);

/*
 * Advances the time past the ownership window: the list lag of 2000 ms and the
 * part timeout of 100 ms.
 */
void world_pass_ownership_window(struct world *world);

/* Advances the time by 2 s and makes every upstream warm. */
void world_warm(struct world *world);

/* Returns the upstream with this id, or NULL. */
struct policy_upstream *world_upstream(struct world *world, const char *id);

/* Returns the entry of an upstream in world->list, for the test to change. */
json_t *world_listed(struct world *world, const char *id);

/* Returns the object of a service in world->config, for the test to change. */
json_t *world_service_json(struct world *world, const char *name);

/*
 * Creates a valid answer without hits to an attempt of the query with request
 * id "r". searched is the number of documents that the answer covers.
 */
struct policy_part *world_answer(const struct policy_action *action,
				 gint64 searched);

#endif
