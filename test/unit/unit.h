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
struct fleet_fixture {
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
struct fleet_fixture fleet_fixture_create(guint shards, guint replicas);
void fleet_fixture_destroy(struct fleet_fixture *fixture);

/* Puts fixture->config into force. The test fails if it is not valid. */
void fleet_fixture_publish_config(struct fleet_fixture *fixture);

/*
 * Raises the revision of fixture->list by one and sets the list. Returns the
 * result of policy_fleet_set_list(). The test fails if the list is not valid.
 */
int fleet_fixture_publish_list(struct fleet_fixture *fixture);

/* Advances the time by delta_us and confirms that the list is current. */
void fleet_fixture_advance(struct fleet_fixture *fixture, gint64 delta_us);

/*
 * Advances the time past the ownership window: the list lag of 2000 ms and the
 * part timeout of 100 ms.
 */
void fleet_fixture_pass_ownership_window(struct fleet_fixture *fixture);

/* Advances the time by 2 s and makes every upstream warm. */
void fleet_fixture_make_warm(struct fleet_fixture *fixture);

/* Returns the upstream with this id, or NULL. */
struct policy_upstream *fleet_fixture_upstream(struct fleet_fixture *fixture,
					       const char *id);

/* Returns the entry of an upstream in fixture->list, for the test to change. */
json_t *fleet_fixture_list_entry(struct fleet_fixture *fixture, const char *id);

/* Returns the configuration of a service in fixture->config, for the test to
 * change. */
json_t *fleet_fixture_service_config(struct fleet_fixture *fixture,
				     const char *name);

/*
 * Creates a valid answer without hits to an attempt of the query with request
 * id "r". searched is the number of documents that the answer covers.
 */
struct policy_part *fleet_fixture_part_answer(
	const struct policy_action *action, gint64 searched);

#endif
