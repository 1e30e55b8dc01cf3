/* A fault, an event of the world, and a second fault, in every combination. */
#include "query_run.h"

#include <string.h>

/* What happens around a query between its two faults. */
enum event {
	E_NONE,
	E_ZONE_OUT, /* operators take zone "b" out */
	E_LEAVING, /* the list says that the target leaves */
	E_WORD, /* the target says so itself */
	E_VANISH, /* the list lacks the target */
	E_SNAPSHOT, /* every upstream holds s2 beside s1 */
	E_SNAPSHOT_ONLY, /* every upstream holds s2, none s1 */
	E_REPARTITION, /* s1 has another map */
	E_INCARNATION, /* the target was restarted */
	E_CONFIG, /* another cap of connections */
	E_PAUSE, /* this daemon sleeps for a while */
	E_SLEEP, /* this daemon sleeps past the deadline */
	E_COUNT,
};

struct pair {
	struct run run;
	enum event event;
	const char *target; /* replica of shard 0 that was not asked before */
	bool happened;
	bool proofs_only;
	GArray *good; /* struct policy_action of attempts answered well */
};

static void set_snapshots(struct world *world, bool keep_old)
{
	json_t *snapshots = json_object_get(world->list, "snapshots");
	json_t *copy = json_deep_copy(json_array_get(snapshots, 0));
	size_t index;
	json_t *upstream;

	json_object_set_new(copy, "id", json_string("s2"));
	json_array_append_new(snapshots, copy);
	json_array_foreach (json_object_get(world->list, "upstreams"), index,
			    upstream) {
		json_t *held = json_object_get(upstream, "snapshots");

		if (!keep_old)
			json_array_clear(held);
		json_array_append_new(held, json_string("s2"));
	}
	ck_assert_int_eq(world_publish_list(world), 0);
}

static void remove_listed(struct world *world, const char *id)
{
	json_t *upstreams = json_object_get(world->list, "upstreams");
	json_t *wanted = world_listed(world, id);

	for (size_t i = 0; i < json_array_size(upstreams); i++) {
		if (json_array_get(upstreams, i) == wanted) {
			json_array_remove(upstreams, i);
			break;
		}
	}
	ck_assert_int_eq(world_publish_list(world), 0);
}

static void happen(struct world *world, enum event event, const char *target)
{
	struct policy_upstream *upstream = world_upstream(world, target);
	struct policy_word draining = {.draining = true};
	struct policy_word restarted = {.incarnation = "i2"};
	json_t *zones = json_object_get(world->config, "zones");

	switch (event) {
	case E_ZONE_OUT:
		json_object_set_new(json_object_get(zones, "b"), "out",
				    json_true());
		world_publish_config(world);
		break;
	case E_LEAVING:
		json_object_set_new(world_listed(world, target), "leaving",
				    json_true());
		ck_assert_int_eq(world_publish_list(world), 0);
		break;
	case E_WORD:
		policy_upstream_heard(world->fleet, upstream, &draining);
		break;
	case E_VANISH:
		remove_listed(world, target);
		break;
	case E_SNAPSHOT:
		set_snapshots(world, true);
		break;
	case E_SNAPSHOT_ONLY:
		set_snapshots(world, false);
		break;
	case E_REPARTITION:
		json_object_set_new(
			json_array_get(
				json_object_get(world->list, "snapshots"), 0),
			"map", json_integer(2));
		ck_assert_int_eq(world_publish_list(world), 0);
		break;
	case E_INCARNATION:
		policy_upstream_heard(world->fleet, upstream, &restarted);
		break;
	case E_CONFIG:
		json_object_set_new(world_service_json(world, "s"),
				    "connections", json_integer(2));
		world_publish_config(world);
		break;
	case E_PAUSE:
		world->now_us += 120 * MS;
		break;
	case E_SLEEP:
		world->now_us += 2 * DEADLINE;
		break;
	case E_NONE:
	case E_COUNT:
		break;
	}
}

/* What no attempt may do after the event. */
static void check_sent(const struct pair *pair,
		       const struct policy_action *action)
{
	const struct policy_upstream *upstream = action->upstream;

	ck_assert_uint_le(upstream->inflight, (guint)upstream->limit + 1);
	if (!pair->happened)
		return;
	switch (pair->event) {
	case E_ZONE_OUT:
		ck_assert_str_ne(upstream->zone, "b");
		break;
	case E_LEAVING:
	case E_WORD:
	case E_VANISH:
		ck_assert_str_ne(upstream->id, pair->target);
		break;
	case E_SLEEP:
		ck_abort_msg("sent after the deadline");
		break;
	default:
		break;
	}
}

/* Take the oldest open attempt and let it end by the fault. */
static void end_one(struct pair *pair, enum fault fault, guint checked_from)
{
	struct policy_action action;

	if (pair->run.finished || !pair->run.sent->len)
		return;
	action = run_pop(&pair->run);
	if (action.attempt > checked_from)
		check_sent(pair, &action);
	pair->proofs_only = pair->proofs_only && run_is_proof(fault);
	if (fault == F_NONE &&
	    policy_query_upstream(pair->run.query, action.attempt))
		g_array_append_val(pair->good, action);
	if (fault == F_NONE)
		run_answer(&pair->run, &action, 100);
	else
		run_inject(&pair->run, &action, fault);
}

static gint64 expected_documents(const struct pair *pair)
{
	const struct policy_pin *pin = run_result(&pair->run)->pin;
	bool done[2] = {false, false};

	for (guint i = 0; i < pair->good->len; i++) {
		const struct policy_action *action =
			&g_array_index(pair->good, struct policy_action, i);

		if (action->map == pin->map &&
		    !strcmp(action->snapshot, pin->snapshot))
			done[*action->shard - '0'] = true;
	}
	return 100 * (done[0] + done[1]);
}

/* The replica of shard 0 in zone "b" that the query has not asked yet. */
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
		.proofs_only = true,
		.good = g_array_new(FALSE, FALSE, sizeof(struct policy_action)),
	};
	const struct policy_answer *answer;
	guint before;

	end_one(&pair, first, G_MAXUINT);
	before = pair.run.n_sent;
	pair.target = find_target(&pair);
	happen(&pair.run.world, event, pair.target);
	pair.happened = true;
	/* One for each shard, so that shard 0 has to ask its last replica. */
	end_one(&pair, second, before);
	end_one(&pair, second, before);
	for (guint i = 0; i < 20 && !pair.run.finished; i++) {
		end_one(&pair, F_NONE, before);
		if (!pair.run.finished && !pair.run.sent->len)
			run_pass(&pair.run, 50 * MS);
	}
	answer = run_result(&pair.run);
	ck_assert_msg(answer->documents_answered == expected_documents(&pair),
		      "faults %d %d, event %d: %d", first, second, event,
		      (int)answer->documents_answered);
	if (answer->outcome == CS_NOT_RUN)
		ck_assert(pair.proofs_only);
	if (answer->outcome == CS_ANSWERED)
		ck_assert_int_gt(answer->documents_answered, 0);
	g_array_unref(pair.good);
	run_end(&pair.run);
}

START_TEST(every_fault_event_and_fault)
{
	for (int first = 0; first < F_COUNT; first++) {
		for (int event = 0; event < E_COUNT; event++) {
			for (int second = 0; second < F_COUNT; second++)
				check_pair(first, event, second);
		}
	}
}
END_TEST

UNIT_MAIN("pairs", every_fault_event_and_fault)
