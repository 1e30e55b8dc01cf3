/* The main function and the policy fleet that all unit tests share. */
#include "unit.h"

#include <stdlib.h>

int unit_run(const char *name, const TTest *const *tests, size_t n_tests)
{
	Suite *suite = suite_create(name);
	TCase *tcase = tcase_create(name);
	SRunner *runner;
	int failed;

	for (size_t i = 0; i < n_tests; i++)
		tcase_add_test(tcase, tests[i]);
	tcase_set_timeout(tcase, 0);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_set_fork_status(runner, CK_NOFORK);
	cs_log_set_level(LOG_EMERG);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

static json_t *make_config(void)
{
	return json_pack(
		"{s:s,s:i,s:i,s:{s:{},s:{}},"
		"s:{s:{s:s,s:i,s:i,s:i,s:i,s:i},s:{s:s,s:i,s:i,s:i,s:i,s:i}}}",
		"customer", "test", "list_lag_ms", 2000, "daemons_max", 1,
		"zones", "a", "b", "services", "s", "kind", "query", "slots", 4,
		"connections", 8, "warm_after", 2, "part_timeout_ms", 100,
		"deadline_ms", 1000, "o", "kind", "order", "slots", 4,
		"connections", 8, "warm_after", 2, "part_timeout_ms", 100,
		"deadline_ms", 1000);
}

static json_t *make_upstream(const char *service, guint shard, guint replica,
			     const char *snapshot)
{
	g_autofree char *id =
		g_strdup_printf("%s%u-%u", service, shard, replica);
	g_autofree char *name = g_strdup_printf("%u", shard);
	g_autofree char *address =
		g_strdup_printf("127.0.0.1:%u", 1000 + shard * 10 + replica);

	return json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:[s]}", "id", id, "service",
			 service, "shard", name, "zone", replica ? "b" : "a",
			 "address", address, "incarnation", "i1", "snapshots",
			 snapshot);
}

static json_t *make_list(guint shards, guint replicas)
{
	json_t *upstreams = json_array();
	json_t *map = json_array();

	for (guint shard = 0; shard < shards; shard++) {
		g_autofree char *name = g_strdup_printf("%u", shard);

		json_array_append_new(map, json_pack("{s:s,s:i}", "id", name,
						     "documents", 100));
		for (guint replica = 0; replica < replicas; replica++)
			json_array_append_new(
				upstreams,
				make_upstream("s", shard, replica, "s1"));
	}
	for (guint replica = 0; replica < replicas; replica++)
		json_array_append_new(upstreams,
				      make_upstream("o", 0, replica, "none"));
	return json_pack("{s:i,s:[{s:s,s:s,s:s}],s:o,s:[{s:s,s:s,s:i,s:o}]}",
			 "revision", 0, "daemons", "id", "d1", "zone", "a",
			 "address", "127.0.0.1:9", "upstreams", upstreams,
			 "snapshots", "service", "s", "id", "s1", "map", 1,
			 "shards", map);
}

void fleet_fixture_publish_config(struct fleet_fixture *fixture)
{
	char *why = NULL;
	int error;
	struct config *config = config_create(fixture->config, &error, &why);

	ck_assert_msg(config != NULL, "%s", why);
	policy_fleet_set_config(fixture->fleet, config);
	fixture->service = policy_fleet_service(fixture->fleet, "s");
	fixture->orders = policy_fleet_service(fixture->fleet, "o");
}

int fleet_fixture_publish_list(struct fleet_fixture *fixture)
{
	json_t *revision = json_object_get(fixture->list, "revision");
	char *why = NULL;
	int error;
	struct instance_list *list;

	json_integer_set(revision, json_integer_value(revision) + 1);
	list = instance_list_create(fixture->list, &error, &why);
	ck_assert_msg(list != NULL, "%s", why);
	return policy_fleet_set_list(fixture->fleet, list, fixture->now_us,
				     fixture->now_us);
}

struct fleet_fixture fleet_fixture_create(guint shards, guint replicas)
{
	struct fleet_fixture fixture = {.now_us = 1000 * MS};

	fixture.counters = cs_counters_create();
	fixture.fleet = policy_fleet_create("d1", "a", fixture.counters, 1);
	fixture.config = make_config();
	fixture.list = make_list(shards, replicas);
	fleet_fixture_publish_config(&fixture);
	ck_assert_int_eq(fleet_fixture_publish_list(&fixture), 0);
	return fixture;
}

void fleet_fixture_destroy(struct fleet_fixture *fixture)
{
	policy_fleet_destroy(fixture->fleet);
	cs_counters_destroy(fixture->counters);
	json_decref(fixture->config);
	json_decref(fixture->list);
}

void fleet_fixture_advance(struct fleet_fixture *fixture, gint64 delta_us)
{
	fixture->now_us += delta_us;
	policy_fleet_confirm_list(fixture->fleet, fixture->now_us);
}

void fleet_fixture_pass_ownership_window(struct fleet_fixture *fixture)
{
	fleet_fixture_advance(fixture, 2101 * MS);
}

static void make_warm(struct policy_upstream *upstream, void *user)
{
	struct fleet_fixture *fixture = user;

	policy_fleet_peer_warm(fixture->fleet, upstream->id,
			       upstream->incarnation, fixture->now_us);
	upstream->limit = 8;
}

void fleet_fixture_make_warm(struct fleet_fixture *fixture)
{
	fleet_fixture_advance(fixture, 2000 * MS);
	policy_fleet_each(fixture->fleet, make_warm, fixture);
}

struct upstream_search {
	const char *id;
	struct policy_upstream *found;
};

static void match_id(struct policy_upstream *upstream, void *user)
{
	struct upstream_search *search = user;

	if (!g_strcmp0(upstream->id, search->id))
		search->found = upstream;
}

struct policy_upstream *fleet_fixture_upstream(struct fleet_fixture *fixture,
					       const char *id)
{
	struct upstream_search search = {.id = id};

	policy_fleet_each(fixture->fleet, match_id, &search);
	return search.found;
}

json_t *fleet_fixture_list_entry(struct fleet_fixture *fixture, const char *id)
{
	size_t index;
	json_t *upstream;

	json_array_foreach (json_object_get(fixture->list, "upstreams"), index,
			    upstream) {
		if (!g_strcmp0(
			    json_string_value(json_object_get(upstream, "id")),
			    id))
			return upstream;
	}
	ck_abort_msg("no upstream %s", id);
	return NULL;
}

json_t *fleet_fixture_service_config(struct fleet_fixture *fixture,
				     const char *name)
{
	return json_object_get(json_object_get(fixture->config, "services"),
			       name);
}

struct policy_part *fleet_fixture_part_answer(
	const struct policy_action *action, gint64 searched)
{
	struct policy_part *part = g_new0(struct policy_part, 1);

	part->request_id = g_strdup("r");
	part->attempt = action->attempt;
	part->shard = g_strdup(action->shard);
	part->snapshot = g_strdup(action->snapshot);
	part->map = action->map;
	part->documents = 100;
	part->searched = searched;
	part->hits = g_ptr_array_new_with_free_func(
		(GDestroyNotify)policy_hit_destroy);
	return part;
}
