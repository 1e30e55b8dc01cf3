/* Tests of the query state machine: faults, pins, budget and deadlines. */
#include "query_run.h"

#include <string.h>

/* ---- every fault at every step of one shard ---- */

/*
 * A query of one shard with three replicas. Each step ends one attempt by the
 * fault given for it. No upstream may be tried twice, only a valid answer may
 * count, and the outcome is not-run only if every attempt is proven not run.
 */
static void check_case(enum fault first, enum fault second, enum fault third)
{
	const enum fault faults[] = {first, second, third};
	struct query_run run = run_start(1, 3, 0);
	bool all_proven_not_run = true;
	bool done = false;
	guint step = 0;
	GPtrArray *tried = g_ptr_array_new();

	while (!run.finished && step < 3) {
		struct policy_action action = run_pop(&run);

		ck_assert_msg(!g_ptr_array_find(tried, action.upstream, NULL),
			      "one upstream tried twice");
		g_ptr_array_add(tried, action.upstream);
		done = faults[step] == FAULT_NONE;
		all_proven_not_run = all_proven_not_run &&
				     fault_proves_not_run(faults[step]);
		run_inject(&run, &action, faults[step]);
		step++;
	}
	ck_assert_uint_eq(run.n_sent, step);
	ck_assert_int_eq(run_result(&run)->documents_answered, done ? 100 : 0);
	ck_assert_uint_eq(run_result(&run)->shards_answered, done);
	if (done)
		ck_assert_int_eq(run_result(&run)->outcome, CS_ANSWERED);
	else
		ck_assert_int_eq(run_result(&run)->outcome,
				 all_proven_not_run ? CS_NOT_RUN : CS_UNKNOWN);
	ck_assert_int_eq(run_result(&run)->code == 0, done);
	g_ptr_array_unref(tried);
	run_end(&run);
}

START_TEST(every_fault_at_every_step)
{
	for (int first = 0; first < FAULT_COUNT; first++) {
		for (int second = 0; second < FAULT_COUNT; second++) {
			for (int third = 0; third < FAULT_COUNT; third++)
				check_case(first, second, third);
		}
	}
}
END_TEST

START_TEST(each_rejection_is_counted_by_its_reason)
{
	static const struct {
		enum fault fault;
		enum cs_counter counter;
	} cases[] = {
		{FAULT_WRONG_ID, CS_N_REJ_ID},
		{FAULT_WRONG_ATTEMPT, CS_N_REJ_ATTEMPT},
		{FAULT_WRONG_SHARD, CS_N_REJ_SHARD},
		{FAULT_WRONG_SNAPSHOT, CS_N_REJ_SNAPSHOT},
		{FAULT_WRONG_MAP, CS_N_REJ_MAP},
		{FAULT_SEARCHED_TOO_MANY, CS_N_REJ_FORM},
		{FAULT_SEARCHED_NEGATIVE, CS_N_REJ_FORM},
		{FAULT_WRONG_DOCUMENTS, CS_N_REJ_FORM},
		{FAULT_DUPLICATE_HIT, CS_N_REJ_FORM},
		{FAULT_TOO_MANY_HITS, CS_N_REJ_FORM},
		{FAULT_NAN_SCORE, CS_N_REJ_FORM},
		{FAULT_LOST, CS_N_RETRY_LOST},
		{FAULT_REFUSED, CS_N_RETRY_REFUSED},
		{FAULT_UNSENT, CS_N_RETRY_UNSENT},
		{FAULT_OTHER_INCARNATION, CS_N_RETRY_INCARNATION},
		{FAULT_TIMEOUT, CS_N_RETRY_TIMEOUT},
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct query_run run = run_start(1, 2, 0);
		struct policy_action action = run_pop(&run);

		run_inject(&run, &action, cases[i].fault);
		ck_assert_uint_eq(
			cs_counters_get(run.fixture.counters, cases[i].counter),
			1);
		run_end(&run);
	}
}
END_TEST

/* ---- coverage ---- */

/* An attempt that was sent during the test. */
struct known_attempt {
	struct policy_action action;
	bool open;
};

/* The expected coverage, computed independently of the query. */
struct model {
	struct query_run run;
	GArray *known; /* struct known_attempt, all attempts sent */
	gint64 covered[5]; /* documents searched per shard */
	bool done[5];
};

/* Moves newly sent attempts to model->known. */
static void collect_sent(struct model *model)
{
	for (guint i = 0; i < model->run.sent->len; i++) {
		struct known_attempt known = {
			g_array_index(model->run.sent, struct policy_action, i),
			true};

		g_array_append_val(model->known, known);
	}
	g_array_set_size(model->run.sent, 0);
}

/* Whether the query still waits for the attempt. */
static bool is_open(struct model *model, const struct known_attempt *known)
{
	return !model->run.finished &&
	       policy_query_upstream(model->run.query, known->action.attempt);
}

/* Applies a random event to a random attempt, open or closed. */
static void random_event(struct model *model, GRand *random)
{
	guint index =
		(guint)g_rand_int_range(random, 0, (gint32)model->known->len);
	struct known_attempt *known =
		&g_array_index(model->known, struct known_attempt, index);
	guint shard = (guint)g_ascii_strtoull(known->action.shard, NULL, 10);
	gint64 searched = g_rand_int_range(random, 0, 101);
	bool open = is_open(model, known);

	switch (g_rand_int_range(random, 0, 8)) {
	case 0:
		run_fail(&model->run, &known->action, POLICY_LOST);
		break;
	case 1:
		run_fail(&model->run, &known->action, POLICY_REFUSED);
		break;
	case 2:
		run_advance(&model->run, g_rand_int_range(random, 0, 60) * MS);
		break;
	case 3: /* the first attempt's answer, returned for this attempt */
		policy_query_answered(
			model->run.query, known->action.attempt,
			fleet_fixture_part_answer(
				&g_array_index(model->known,
					       struct known_attempt, 0)
					 .action,
				searched),
			model->run.fixture.now_us);
		if (index == 0 && open && !model->done[shard]) {
			model->done[shard] = true;
			model->covered[shard] = searched;
		}
		run_drain(&model->run);
		break;
	case 4:
		run_inject(
			&model->run, &known->action,
			g_rand_int_range(random, FAULT_WRONG_ID, FAULT_COUNT));
		break;
	default: /* a valid answer: in time, late or duplicate */
		run_answer(&model->run, &known->action, searched);
		if (open && !model->done[shard]) {
			model->done[shard] = true;
			model->covered[shard] = searched;
		}
	}
	collect_sent(model);
}

/*
 * Guards against documents counted twice, or counted from late, duplicate or
 * mixed-up answers: random events on 5 shards against the model.
 */
START_TEST(coverage_equals_brute_force)
{
	for (guint seed = 0; seed < 3000; seed++) {
		GRand *random = g_rand_new_with_seed(seed);
		struct model model = {.run = run_start(5, 3, 0)};
		gint64 expected = 0;
		guint shards = 0;

		model.known =
			g_array_new(FALSE, FALSE, sizeof(struct known_attempt));
		collect_sent(&model);
		while (!model.run.finished)
			random_event(&model, random);
		for (guint i = 0; i < 5; i++) {
			expected += model.covered[i];
			shards += model.done[i];
		}
		ck_assert_int_eq(run_result(&model.run)->documents, 500);
		ck_assert_msg(run_result(&model.run)->documents_answered ==
					      expected &&
				      run_result(&model.run)->shards_answered ==
					      shards,
			      "seed %u: %d of %d", seed,
			      (int)run_result(&model.run)->documents_answered,
			      (int)expected);
		g_array_unref(model.known);
		run_end(&model.run);
		g_rand_free(random);
	}
}
END_TEST

START_TEST(coverage_below_the_minimum_is_refused)
{
	struct query_run run = run_start(2, 1, 0.75);
	struct policy_action first = run_pop(&run);
	struct policy_action second = run_pop(&run);

	run_answer(&run, &first, 100);
	run_fail(&run, &second, POLICY_LOST);
	ck_assert_int_eq(run_result(&run)->code, CS_E_COVERAGE);
	ck_assert_int_eq(run_result(&run)->outcome, CS_UNKNOWN);
	run_end(&run);
}
END_TEST

START_TEST(a_partial_part_counts_its_searched_documents)
{
	struct query_run run = run_start(2, 1, 0);
	struct policy_action first = run_pop(&run);
	struct policy_action second = run_pop(&run);

	run_answer(&run, &first, 30);
	run_answer(&run, &second, 100);
	ck_assert_int_eq(run_result(&run)->documents_answered, 130);
	ck_assert_int_eq(run_result(&run)->documents, 200);
	ck_assert_uint_eq(cs_counters_get(run.fixture.counters, CS_N_PARTIAL),
			  1);
	run_end(&run);
}
END_TEST

/* ---- hits ---- */

static void answer_hits(struct query_run *run,
			const struct policy_action *action, const char *ids)
{
	struct policy_part *part = fleet_fixture_part_answer(action, 100);

	for (const char *p = ids; *p; p++) {
		char id[2] = {*p, 0};

		run_add_hit(part, id, *p == 'a' ? 2 : 1);
	}
	policy_query_answered(run->query, action->attempt, part,
			      run->fixture.now_us);
	run_drain(run);
}

static char *hit_ids(const struct query_run *run)
{
	GString *ids = g_string_new(NULL);

	for (guint i = 0; i < run_result(run)->hits->len; i++)
		g_string_append(
			ids,
			((struct policy_hit *)run_result(run)->hits->pdata[i])
				->id);
	return g_string_free(ids, FALSE);
}

START_TEST(hit_order_does_not_depend_on_arrival_order)
{
	for (guint order = 0; order < 2; order++) {
		struct query_run run = run_start(2, 1, 0);
		struct policy_action action[2] = {run_pop(&run), run_pop(&run)};
		g_autofree char *ids = NULL;

		for (guint i = 0; i < 2; i++) {
			guint shard = i ^ order;

			answer_hits(&run, &action[shard], shard ? "dba" : "ec");
		}
		ids = hit_ids(&run);
		ck_assert_str_eq(ids, "abcde");
		run_end(&run);
	}
}
END_TEST

START_TEST(a_document_of_two_shards_is_returned_once)
{
	struct query_run run = run_start(2, 1, 0);
	struct policy_action first = run_pop(&run);
	struct policy_action second = run_pop(&run);
	g_autofree char *ids = NULL;

	answer_hits(&run, &first, "bc");
	answer_hits(&run, &second, "cd");
	ids = hit_ids(&run);
	ck_assert_str_eq(ids, "bcd");
	run_end(&run);
}
END_TEST

/* ---- pins ---- */

/* Publishes a copy of the first snapshot as @name, held by the upstreams whose
 * ids are in @holder_ids. */
static void publish_snapshot(struct fleet_fixture *fixture, const char *name,
			     const char *holder_ids)
{
	json_t *snapshots = json_object_get(fixture->list, "snapshots");
	json_t *copy = json_deep_copy(json_array_get(snapshots, 0));
	size_t index;
	json_t *upstream;

	json_object_set_new(copy, "id", json_string(name));
	json_array_append_new(snapshots, copy);
	json_array_foreach (json_object_get(fixture->list, "upstreams"), index,
			    upstream) {
		const char *id =
			json_string_value(json_object_get(upstream, "id"));

		if (strstr(holder_ids, id))
			json_array_append_new(
				json_object_get(upstream, "snapshots"),
				json_string(name));
	}
	ck_assert_int_eq(fleet_fixture_publish_list(fixture), 0);
}

static char *pinned(struct fleet_fixture *fixture)
{
	struct policy_pin *pin = policy_fleet_pin(
		fixture->fleet, fixture->service, fixture->now_us);
	char *name = g_strdup(pin ? pin->snapshot : "none");

	policy_pin_unref(pin);
	return name;
}

START_TEST(a_new_snapshot_is_pinned_when_every_shard_holds_it)
{
	static const struct {
		const char *held;
		const char *pin;
	} cases[] = {
		{"", "s1"},
		{"s0-0", "s1"},
		{"s0-0 s0-1", "s1"},
		{"s0-1 s1-0", "s2"},
		{"s0-0 s0-1 s1-0 s1-1", "s2"},
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fleet_fixture fixture = fleet_fixture_create(2, 2);
		g_autofree char *pin = NULL;

		fleet_fixture_make_warm(&fixture);
		publish_snapshot(&fixture, "s2", cases[i].held);
		pin = pinned(&fixture);
		ck_assert_str_eq(pin, cases[i].pin);
		fleet_fixture_destroy(&fixture);
	}
}
END_TEST

/*
 * A new snapshot is published while a part is outstanding. The retry has to use
 * the old one, or one answer would mix two snapshots.
 */
START_TEST(a_query_keeps_its_pin_while_snapshots_change)
{
	struct query_run run = run_start(2, 2, 0);
	struct policy_action first = run_pop(&run);
	struct policy_action second = run_pop(&run);
	struct policy_action again;

	run_answer(&run, &first, 100);
	publish_snapshot(&run.fixture, "s2", "s0-0 s0-1 s1-0 s1-1");
	run_fail(&run, &second, POLICY_LOST);
	again = run_pop(&run);
	ck_assert_str_eq(again.snapshot, "s1");
	run_answer(&run, &again, 100);
	ck_assert_str_eq(run_result(&run)->pin->snapshot, "s1");
	ck_assert_int_eq(run_result(&run)->documents_answered, 200);
	run_end(&run);
}
END_TEST

/*
 * No replica of a shard holds the pinned snapshot any more. The query restarts
 * once on the new snapshot, without the hits and documents of the old one.
 */
START_TEST(a_lost_pin_restarts_the_query_once)
{
	struct query_run run = run_start(2, 2, 0);
	struct policy_action first = run_pop(&run);
	struct policy_action second = run_pop(&run);
	struct policy_action again;

	answer_hits(&run, &first, "z");
	publish_snapshot(&run.fixture, "s2", "s0-0 s0-1 s1-0 s1-1");
	run_fail(&run, &second, POLICY_LACKS_SNAPSHOT);
	again = run_pop(&run);
	run_fail(&run, &again, POLICY_LACKS_SNAPSHOT);
	ck_assert_uint_eq(cs_counters_get(run.fixture.counters, CS_N_RESTARTS),
			  1);
	ck_assert_uint_eq(run.sent->len, 2);
	while (run.sent->len) {
		again = run_pop(&run);
		ck_assert_str_eq(again.snapshot, "s2");
		run_answer(&run, &again, 100);
	}
	ck_assert_str_eq(run_result(&run)->pin->snapshot, "s2");
	ck_assert_uint_eq(run_result(&run)->hits->len, 0);
	ck_assert_int_eq(run_result(&run)->documents_answered, 200);
	run_end(&run);
}
END_TEST

START_TEST(a_restarted_query_does_not_restart_again)
{
	struct query_run run = run_start(1, 1, 0);
	struct policy_action action = run_pop(&run);

	publish_snapshot(&run.fixture, "s2", "s0-0");
	run_fail(&run, &action, POLICY_LACKS_SNAPSHOT);
	action = run_pop(&run);
	ck_assert_str_eq(action.snapshot, "s2");
	publish_snapshot(&run.fixture, "s3", "s0-0");
	run_fail(&run, &action, POLICY_LACKS_SNAPSHOT);
	ck_assert_int_eq(run_result(&run)->outcome, CS_NOT_RUN);
	ck_assert_uint_eq(run.n_sent, 2);
	run_end(&run);
}
END_TEST

/* An answer that arrives after a restart, for the pin before it, is ignored. */
START_TEST(a_late_part_of_the_old_pin_is_dropped)
{
	struct query_run run = run_start(2, 1, 0);
	struct policy_action first = run_pop(&run);
	struct policy_action second = run_pop(&run);

	publish_snapshot(&run.fixture, "s2", "s0-0 s1-0");
	run_fail(&run, &second, POLICY_LACKS_SNAPSHOT);
	run_answer(&run, &first, 100);
	ck_assert_uint_eq(cs_counters_get(run.fixture.counters, CS_N_LATE), 1);
	ck_assert(!run.finished);
	ck_assert_uint_eq(run.sent->len, 2);
	run_end(&run);
}
END_TEST

/*
 * One tick queues an attempt for one shard, then fails the other and restarts.
 * The queued POLICY_SEND has to be withdrawn, or a part of the old pin is sent.
 */
START_TEST(a_restart_withdraws_queued_sends)
{
	struct query_run run = {.fixture = fleet_fixture_create(2, 1)};
	struct policy_upstream *upstreams[2];

	fleet_fixture_make_warm(&run.fixture);
	upstreams[0] = fleet_fixture_upstream(&run.fixture, "s0-0");
	upstreams[1] = fleet_fixture_upstream(&run.fixture, "s1-0");
	upstreams[0]->inflight = 8;
	upstreams[1]->inflight = 8;
	run_begin(&run, 0);
	ck_assert_uint_eq(run.n_sent, 0);
	publish_snapshot(&run.fixture, "s2", "s0-0 s1-0");
	policy_upstream_deny_snapshot(upstreams[1], "s1", run.fixture.now_us);
	upstreams[0]->inflight = 0;
	run_advance(&run, MS);
	ck_assert_uint_eq(run.n_sent, 1);
	ck_assert_str_eq(
		g_array_index(run.sent, struct policy_action, 0).snapshot,
		"s2");
	ck_assert_uint_eq(upstreams[0]->inflight, 1);
	upstreams[1]->inflight = 0;
	run_end(&run);
}
END_TEST

/*
 * A repartition changes the map of a snapshot that keeps its name. An open
 * query has to count by the map that it started with.
 */
START_TEST(a_query_keeps_its_map_across_a_repartition)
{
	struct query_run run = run_start(2, 1, 0);
	struct policy_action first = run_pop(&run);
	struct policy_action second = run_pop(&run);
	json_t *snapshot = json_array_get(
		json_object_get(run.fixture.list, "snapshots"), 0);
	json_t *shards = json_object_get(snapshot, "shards");

	json_object_set_new(snapshot, "map", json_integer(2));
	json_array_remove(shards, 1);
	json_object_set_new(json_array_get(shards, 0), "documents",
			    json_integer(200));
	ck_assert_int_eq(fleet_fixture_publish_list(&run.fixture), 0);
	run_answer(&run, &first, 100);
	run_answer(&run, &second, 50);
	ck_assert_int_eq(run_result(&run)->pin->map, 1);
	ck_assert_int_eq(run_result(&run)->documents, 200);
	ck_assert_int_eq(run_result(&run)->documents_answered, 150);
	run_end(&run);
}
END_TEST

/* ---- hedges, retries, budget ---- */

/* Runs queries answered after 10 ms each, to fill the latency samples. */
static void record_latencies(struct query_run *run, guint answers)
{
	for (guint i = 0; i < answers; i++) {
		struct policy_action action;

		run_begin(run, 0);
		fleet_fixture_advance(&run->fixture, 10 * MS);
		action = run_pop(run);
		run_answer(run, &action, 100);
		ck_assert(run->finished);
		policy_query_destroy(run->query, run->fixture.now_us);
		g_array_unref(run->sent);
		run->finished = false;
		run->n_sent = 0;
	}
}

static struct query_run run_after_answers(guint answers)
{
	struct query_run run = {.fixture = fleet_fixture_create(1, 3)};

	fleet_fixture_make_warm(&run.fixture);
	record_latencies(&run, answers);
	run_begin(&run, 0);
	return run;
}

START_TEST(a_slow_part_is_hedged_once_and_the_loser_cancelled)
{
	struct query_run run = run_after_answers(64);
	struct policy_action first = run_pop(&run);
	struct policy_action hedge;

	ck_assert_int_eq(policy_query_next_tick_us(run.query),
			 run.fixture.now_us + 10 * MS);
	run_advance(&run, 10 * MS);
	hedge = run_pop(&run);
	ck_assert_ptr_ne(hedge.upstream, first.upstream);
	run_advance(&run, 15 * MS);
	ck_assert_uint_eq(run.sent->len, 0);
	run_answer(&run, &hedge, 100);
	ck_assert(run.cancelled);
	ck_assert_int_eq(run_result(&run)->documents_answered, 100);
	ck_assert_uint_eq(
		cs_counters_get(run.fixture.counters, CS_N_HEDGE_WINS), 1);
	run_answer(&run, &first, 100);
	ck_assert_uint_eq(cs_counters_get(run.fixture.counters, CS_N_LATE), 1);
	ck_assert_int_eq(run_result(&run)->documents_answered, 100);
	run_end(&run);
}
END_TEST

START_TEST(hedges_and_retries_share_one_budget)
{
	struct query_run run = run_after_answers(64);
	guint extra = 0;

	while (policy_service_withdraw(run.fixture.service))
		extra++;
	ck_assert_uint_ge(extra, 1);
	run_advance(&run, 20 * MS);
	ck_assert_uint_eq(run.n_sent, 1);
	ck_assert_uint_eq(cs_counters_get(run.fixture.counters, CS_N_NO_BUDGET),
			  1);
	run_end(&run);
}
END_TEST

/*
 * Over many queries, retries stay within the budget's share even if every
 * attempt is refused.
 */
START_TEST(extra_load_stays_within_the_share)
{
	struct fleet_fixture fixture = fleet_fixture_create(1, 3);
	guint64 first;
	guint64 extra;

	fleet_fixture_make_warm(&fixture);
	for (guint i = 0; i < 2000; i++) {
		struct query_run run = {.fixture = fixture};

		fleet_fixture_make_warm(&run.fixture);
		run_begin(&run, 0);
		while (run.sent->len) {
			struct policy_action action = run_pop(&run);

			run_fail(&run, &action, POLICY_REFUSED);
		}
		policy_query_destroy(run.query, run.fixture.now_us);
		g_array_unref(run.sent);
		fixture.now_us = run.fixture.now_us;
	}
	first = cs_counters_get(fixture.counters, CS_N_PARTS);
	extra = cs_counters_get(fixture.counters, CS_N_RETRIES);
	ck_assert_uint_eq(first, 2000);
	ck_assert_uint_le(extra, first / 20 + 5);
	fleet_fixture_destroy(&fixture);
}
END_TEST

/* A failed connection puts no load on an upstream: no budget is needed. */
START_TEST(an_unsent_attempt_is_retried_without_budget)
{
	struct query_run run = run_start(1, 2, 0);
	struct policy_action action = run_pop(&run);

	while (policy_service_withdraw(run.fixture.service))
		continue;
	run_fail(&run, &action, POLICY_UNSENT);
	action = run_pop(&run);
	run_answer(&run, &action, 100);
	ck_assert_int_eq(run_result(&run)->documents_answered, 100);
	run_end(&run);
}
END_TEST

/* ---- deadlines, pauses, admission ---- */

START_TEST(the_answer_is_sent_before_the_deadline)
{
	struct query_run run = run_start(2, 1, 0);
	struct policy_action first = run_pop(&run);

	run_answer(&run, &first, 100);
	run_advance(&run, 99 * MS);
	ck_assert(!run.finished);
	while (!run.finished)
		run_advance(&run, policy_query_next_tick_us(run.query) -
					  run.fixture.now_us);
	ck_assert_int_lt(run.fixture.now_us, 3000 * MS + DEADLINE);
	ck_assert_int_eq(run_result(&run)->documents_answered, 100);
	run_end(&run);
}
END_TEST

/* A process suspended past the deadline must not send when it resumes. */
START_TEST(a_paused_query_ends_without_sending)
{
	struct query_run run = run_start(1, 3, 0);
	struct policy_action action = run_pop(&run);

	run.fixture.now_us += DEADLINE * 10;
	run_fail(&run, &action, POLICY_UNSENT);
	ck_assert_uint_eq(run.n_sent, 1);
	ck_assert_int_eq(run_result(&run)->code, CS_E_DEADLINE);
	ck_assert_int_eq(run_result(&run)->outcome, CS_NOT_RUN);
	run_end(&run);
}
END_TEST

START_TEST(a_query_that_cannot_be_sent_in_time_is_not_run)
{
	struct fleet_fixture fixture = fleet_fixture_create(1, 1);
	struct policy_query_params params = {"r", 1, fixture.now_us, 0};
	int error;

	ck_assert_ptr_null(policy_query_create(fixture.fleet, fixture.service,
					       fixture.counters, &params,
					       fixture.now_us, &error));
	ck_assert_int_eq(error, CS_E_DEADLINE);
	params.deadline_us += DEADLINE;
	ck_assert_ptr_null(policy_query_create(fixture.fleet, fixture.service,
					       fixture.counters, &params,
					       fixture.now_us, &error));
	ck_assert_int_eq(error, CS_E_NO_SNAPSHOT);
	fleet_fixture_destroy(&fixture);
}
END_TEST

START_TEST(a_query_without_capacity_is_not_run_at_its_deadline)
{
	struct query_run run = {.fixture = fleet_fixture_create(1, 1)};
	struct policy_upstream *upstream;

	fleet_fixture_make_warm(&run.fixture);
	upstream = fleet_fixture_upstream(&run.fixture, "s0-0");
	upstream->inflight = 8;
	run_begin(&run, 0);
	ck_assert_uint_eq(run.n_sent, 0);
	policy_query_set_user(run.query, &run);
	ck_assert_ptr_eq(policy_service_first_waiter(run.fixture.service),
			 &run);
	run_advance(&run, DEADLINE);
	ck_assert_int_eq(run_result(&run)->code, CS_E_OVERLOAD);
	ck_assert_int_eq(run_result(&run)->outcome, CS_NOT_RUN);
	ck_assert_ptr_null(policy_service_first_waiter(run.fixture.service));
	upstream->inflight = 0;
	run_end(&run);
}
END_TEST

/*
 * If the oldest waiting query has waited for more than half of the time that a
 * new query has, the new one is refused at once instead of after its deadline.
 */
START_TEST(a_slow_queue_refuses_new_queries)
{
	struct query_run run = {.fixture = fleet_fixture_create(1, 1)};
	struct policy_query_params params = {"r", 1, 0, 0};
	struct policy_upstream *upstream;
	int error;

	fleet_fixture_make_warm(&run.fixture);
	upstream = fleet_fixture_upstream(&run.fixture, "s0-0");
	upstream->inflight = 8;
	run_begin(&run, 0);
	run_advance(&run, 101 * MS);
	params.deadline_us = run.fixture.now_us + 200 * MS;
	ck_assert_ptr_null(policy_query_create(
		run.fixture.fleet, run.fixture.service, run.fixture.counters,
		&params, run.fixture.now_us, &error));
	ck_assert_int_eq(error, CS_E_OVERLOAD);
	upstream->inflight = 0;
	run_end(&run);
}
END_TEST

UNIT_MAIN("query", every_fault_at_every_step,
	  each_rejection_is_counted_by_its_reason, coverage_equals_brute_force,
	  coverage_below_the_minimum_is_refused,
	  a_partial_part_counts_its_searched_documents,
	  hit_order_does_not_depend_on_arrival_order,
	  a_document_of_two_shards_is_returned_once,
	  a_new_snapshot_is_pinned_when_every_shard_holds_it,
	  a_query_keeps_its_pin_while_snapshots_change,
	  a_lost_pin_restarts_the_query_once,
	  a_restarted_query_does_not_restart_again,
	  a_late_part_of_the_old_pin_is_dropped,
	  a_restart_withdraws_queued_sends,
	  a_query_keeps_its_map_across_a_repartition,
	  a_slow_part_is_hedged_once_and_the_loser_cancelled,
	  hedges_and_retries_share_one_budget,
	  extra_load_stays_within_the_share,
	  an_unsent_attempt_is_retried_without_budget,
	  the_answer_is_sent_before_the_deadline,
	  a_paused_query_ends_without_sending,
	  a_query_that_cannot_be_sent_in_time_is_not_run,
	  a_query_without_capacity_is_not_run_at_its_deadline,
	  a_slow_queue_refuses_new_queries)
