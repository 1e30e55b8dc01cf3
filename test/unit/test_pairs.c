/*
 * Every combination of a fault, an event in the fleet and a second fault.
 * Guards against rules that hold for each fault alone, but not when the fleet
 * changes between two faults of one query.
 */
#include "query_run.h"

#include <string.h>

/* What happens in the fleet between the two faults of a query. */
enum event {
	EVENT_NONE,
	EVENT_ZONE_OUT, /* zone "b" is evacuated */
	EVENT_LISTED_LEAVING, /* the list marks the target as leaving */
	EVENT_REPORTED_LEAVING, /* the target reports that it drains */
	EVENT_UNLISTED, /* the target is removed from the list */
	EVENT_NEW_SNAPSHOT, /* every upstream holds s2 beside s1 */
	EVENT_SNAPSHOT_REPLACED, /* every upstream holds s2 instead of s1 */
	EVENT_REPARTITION, /* the map of s1 changes */
	EVENT_RESTART, /* the target reports a new incarnation */
	EVENT_CONFIG, /* a lower limit of connections */
	EVENT_PAUSE, /* this daemon is suspended for 120 ms */
	EVENT_LONG_PAUSE, /* this daemon is suspended past the deadline */
	EVENT_COUNT,
};

struct pair {
	struct query_run run;
	enum event event;
	const char *target; /* a replica of shard 0 in zone "b" */
	bool event_applied;
	bool all_proven_not_run;
	GArray *answered; /* struct policy_action with a valid answer */
};

static void set_snapshots(struct fleet_fixture *fixture, bool keep_old)
{
	json_t *snapshots = json_object_get(fixture->list, "snapshots");
	json_t *copy = json_deep_copy(json_array_get(snapshots, 0));
	size_t index;
	json_t *upstream;

	json_object_set_new(copy, "id", json_string("s2"));
	json_array_append_new(snapshots, copy);
	json_array_foreach (json_object_get(fixture->list, "upstreams"), index,
			    upstream) {
		json_t *held = json_object_get(upstream, "snapshots");

		if (!keep_old)
			json_array_clear(held);
		json_array_append_new(held, json_string("s2"));
	}
	ck_assert_int_eq(fleet_fixture_publish_list(fixture), 0);
}

static void remove_listed(struct fleet_fixture *fixture, const char *id)
{
	json_t *upstreams = json_object_get(fixture->list, "upstreams");
	json_t *wanted = fleet_fixture_list_entry(fixture, id);

	for (size_t i = 0; i < json_array_size(upstreams); i++) {
		if (json_array_get(upstreams, i) == wanted) {
			json_array_remove(upstreams, i);
			break;
		}
	}
	ck_assert_int_eq(fleet_fixture_publish_list(fixture), 0);
}

static void apply_event(struct fleet_fixture *fixture, enum event event,
			const char *target)
{
	struct policy_upstream *upstream =
		fleet_fixture_upstream(fixture, target);
	struct policy_upstream_report draining = {.draining = true};
	struct policy_upstream_report restarted = {.incarnation = "i2"};
	json_t *zones = json_object_get(fixture->config, "zones");

	switch (event) {
	case EVENT_ZONE_OUT:
		json_object_set_new(json_object_get(zones, "b"), "out",
				    json_true());
		fleet_fixture_publish_config(fixture);
		break;
	case EVENT_LISTED_LEAVING:
		json_object_set_new(fleet_fixture_list_entry(fixture, target),
				    "leaving", json_true());
		ck_assert_int_eq(fleet_fixture_publish_list(fixture), 0);
		break;
	case EVENT_REPORTED_LEAVING:
		policy_upstream_apply_report(fixture->fleet, upstream,
					     &draining);
		break;
	case EVENT_UNLISTED:
		remove_listed(fixture, target);
		break;
	case EVENT_NEW_SNAPSHOT:
		set_snapshots(fixture, true);
		break;
	case EVENT_SNAPSHOT_REPLACED:
		set_snapshots(fixture, false);
		break;
	case EVENT_REPARTITION:
		json_object_set_new(
			json_array_get(
				json_object_get(fixture->list, "snapshots"), 0),
			"map", json_integer(2));
		ck_assert_int_eq(fleet_fixture_publish_list(fixture), 0);
		break;
	case EVENT_RESTART:
		policy_upstream_apply_report(fixture->fleet, upstream,
					     &restarted);
		break;
	case EVENT_CONFIG:
		json_object_set_new(fleet_fixture_service_config(fixture, "s"),
				    "connections", json_integer(2));
		fleet_fixture_publish_config(fixture);
		break;
	case EVENT_PAUSE:
		fixture->now_us += 120 * MS;
		break;
	case EVENT_LONG_PAUSE:
		fixture->now_us += 2 * DEADLINE;
		break;
	case EVENT_NONE:
	case EVENT_COUNT:
		break;
	}
}

/* Checks that an attempt sent after the event respects it. */
static void check_sent(const struct pair *pair,
		       const struct policy_action *action)
{
	const struct policy_upstream *upstream = action->upstream;

	ck_assert_uint_le(upstream->inflight, (guint)upstream->limit + 1);
	if (!pair->event_applied)
		return;
	switch (pair->event) {
	case EVENT_ZONE_OUT:
		ck_assert_str_ne(upstream->zone, "b");
		break;
	case EVENT_LISTED_LEAVING:
	case EVENT_REPORTED_LEAVING:
	case EVENT_UNLISTED:
		ck_assert_str_ne(upstream->id, pair->target);
		break;
	case EVENT_LONG_PAUSE:
		ck_abort_msg("sent after the deadline");
		break;
	default:
		break;
	}
}

/*
 * Ends the oldest open attempt by @fault. Attempts numbered above
 * @last_unchecked were sent after the event and are checked.
 */
static void end_oldest(struct pair *pair, enum fault fault,
		       guint last_unchecked)
{
	struct policy_action action;

	if (pair->run.finished || !pair->run.sent->len)
		return;
	action = run_pop(&pair->run);
	if (action.attempt > last_unchecked)
		check_sent(pair, &action);
	pair->all_proven_not_run =
		pair->all_proven_not_run && fault_proves_not_run(fault);
	if (fault == FAULT_NONE &&
	    policy_query_upstream(pair->run.query, action.attempt))
		g_array_append_val(pair->answered, action);
	if (fault == FAULT_NONE)
		run_answer(&pair->run, &action, 100);
	else
		run_inject(&pair->run, &action, fault);
}

/* Documents of the shards that were answered under the result's pin. */
static gint64 expected_documents(const struct pair *pair)
{
	const struct policy_pin *pin = run_result(&pair->run)->pin;
	bool done[2] = {false, false};

	for (guint i = 0; i < pair->answered->len; i++) {
		const struct policy_action *action =
			&g_array_index(pair->answered, struct policy_action, i);

		if (action->map == pin->map &&
		    !strcmp(action->snapshot, pin->snapshot))
			done[*action->shard - '0'] = true;
	}
	return 100 * (done[0] + done[1]);
}

/* A replica of shard 0 in zone "b" with no open attempt. */
static const char *find_target(const struct pair *pair)
{
	for (guint i = 0; i < pair->run.sent->len; i++) {
		const struct policy_action *action =
			&g_array_index(pair->run.sent, struct policy_action, i);

		if (!strcmp(action->upstream->id, "s0-1"))
			return "s0-2";
	}
	return "s0-1";
}

static void check_pair(enum fault first, enum event event, enum fault second)
{
	struct pair pair = {
		.run = run_start(2, 3, 0),
		.event = event,
		.all_proven_not_run = true,
		.answered =
			g_array_new(FALSE, FALSE, sizeof(struct policy_action)),
	};
	const struct policy_answer *answer;
	guint before;

	end_oldest(&pair, first, G_MAXUINT);
	before = pair.run.n_sent;
	pair.target = find_target(&pair);
	apply_event(&pair.run.fixture, event, pair.target);
	pair.event_applied = true;
	/* One per shard, so that shard 0 has to use its last replica. */
	end_oldest(&pair, second, before);
	end_oldest(&pair, second, before);
	for (guint i = 0; i < 20 && !pair.run.finished; i++) {
		end_oldest(&pair, FAULT_NONE, before);
		if (!pair.run.finished && !pair.run.sent->len)
			run_advance(&pair.run, 50 * MS);
	}
	answer = run_result(&pair.run);
	ck_assert_msg(answer->documents_answered == expected_documents(&pair),
		      "faults %d %d, event %d: %d", first, second, event,
		      (int)answer->documents_answered);
	if (answer->outcome == CS_NOT_RUN)
		ck_assert(pair.all_proven_not_run);
	if (answer->outcome == CS_ANSWERED)
		ck_assert_int_gt(answer->documents_answered, 0);
	g_array_unref(pair.answered);
	run_end(&pair.run);
}

START_TEST(every_pair_of_faults_around_every_event)
{
	for (int first = 0; first < FAULT_COUNT; first++) {
		for (int event = 0; event < EVENT_COUNT; event++) {
			for (int second = 0; second < FAULT_COUNT; second++)
				check_pair(first, event, second);
		}
	}
}
END_TEST

UNIT_MAIN("pairs", every_pair_of_faults_around_every_event)
