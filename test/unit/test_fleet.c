/*
 * Phases and limits of upstreams, zones, lists, the choice of an upstream,
 * admission, and which configurations and heartbeats are accepted.
 */
#include "unit.h"

#include <string.h>

/* Chooses an upstream for shard 0 of snapshot s1. */
static struct policy_upstream *choose(struct fleet_fixture *fixture)
{
	enum policy_unavailable unavailable;

	return policy_fleet_choose(fixture->fleet, fixture->service, "0", "s1",
				   NULL, fixture->now_us, &unavailable);
}

/* Ends an attempt that took 1 ms. */
static void end_attempt(struct fleet_fixture *fixture,
			struct policy_upstream *upstream,
			enum policy_result result)
{
	policy_upstream_end(fixture->fleet, upstream, result,
			    fixture->now_us - MS, fixture->now_us);
}

static void one_attempt(struct fleet_fixture *fixture,
			struct policy_upstream *upstream,
			enum policy_result result)
{
	policy_upstream_begin(upstream);
	end_attempt(fixture, upstream, result);
}

/* ---- cold upstreams ---- */

START_TEST(an_unknown_upstream_gets_no_work_before_it_is_owned)
{
	struct fleet_fixture fixture = fleet_fixture_create(1, 1);

	ck_assert_ptr_null(choose(&fixture));
	fleet_fixture_pass_ownership_window(&fixture);
	ck_assert_ptr_nonnull(choose(&fixture));
	fleet_fixture_destroy(&fixture);
}
END_TEST

START_TEST(a_cold_upstream_gets_no_more_than_its_limit)
{
	struct fleet_fixture fixture = fleet_fixture_create(1, 1);
	struct policy_upstream *upstream;

	fleet_fixture_pass_ownership_window(&fixture);
	upstream = choose(&fixture);
	policy_upstream_begin(upstream);
	ck_assert_ptr_null(choose(&fixture));
	end_attempt(&fixture, upstream, POLICY_DONE);
	ck_assert_ptr_eq(choose(&fixture), upstream);
	fleet_fixture_destroy(&fixture);
}
END_TEST

/*
 * A cold upstream would exceed its limit if it got new work while cancelled
 * work still runs. The slot is free again when the timeout of 100 ms has
 * passed.
 */
START_TEST(cancelled_work_occupies_a_cold_upstream_until_its_timeout)
{
	struct fleet_fixture fixture = fleet_fixture_create(1, 1);
	struct policy_upstream *upstream;

	fleet_fixture_pass_ownership_window(&fixture);
	upstream = choose(&fixture);
	policy_upstream_begin(upstream);
	fleet_fixture_advance(&fixture, 10 * MS);
	policy_upstream_end(fixture.fleet, upstream, POLICY_CANCELLED,
			    fixture.now_us - 10 * MS, fixture.now_us);
	ck_assert_ptr_null(choose(&fixture));
	fleet_fixture_advance(&fixture, 89 * MS);
	ck_assert_ptr_null(choose(&fixture));
	fleet_fixture_advance(&fixture, 1 * MS);
	ck_assert_ptr_eq(choose(&fixture), upstream);
	fleet_fixture_destroy(&fixture);
}
END_TEST

/*
 * warm_after is 2 and slots is 4: after every two answers the limit goes from 1
 * to 2 and then to 4, at which the upstream is warm and gets its full limit.
 */
START_TEST(good_answers_raise_the_limit_in_steps)
{
	static const struct {
		enum policy_phase phase;
		double limit;
	} steps[] = {
		{POLICY_UNKNOWN, 1},
		{POLICY_WARMING, 2},
		{POLICY_WARMING, 2},
		{POLICY_WARM, 8},
	};
	struct fleet_fixture fixture = fleet_fixture_create(1, 1);
	struct policy_upstream *upstream =
		fleet_fixture_upstream(&fixture, "s0-0");

	fleet_fixture_pass_ownership_window(&fixture);
	for (guint i = 0; i < G_N_ELEMENTS(steps); i++) {
		one_attempt(&fixture, upstream, POLICY_DONE);
		ck_assert_int_eq(upstream->phase, steps[i].phase);
		ck_assert_double_eq(upstream->limit, steps[i].limit);
	}
	ck_assert_uint_eq(cs_counters_get(fixture.counters, CS_N_WARMED), 1);
	fleet_fixture_destroy(&fixture);
}
END_TEST

START_TEST(any_failure_while_warming_resets_to_cold)
{
	static const enum policy_result failures[] = {
		POLICY_REFUSED, POLICY_TIMEOUT, POLICY_LOST, POLICY_UNSENT};

	for (guint i = 0; i < G_N_ELEMENTS(failures); i++) {
		struct fleet_fixture fixture = fleet_fixture_create(1, 1);
		struct policy_upstream *upstream =
			fleet_fixture_upstream(&fixture, "s0-0");

		one_attempt(&fixture, upstream, POLICY_DONE);
		one_attempt(&fixture, upstream, POLICY_DONE);
		ck_assert_int_eq(upstream->phase, POLICY_WARMING);
		one_attempt(&fixture, upstream, failures[i]);
		ck_assert_int_eq(upstream->phase, POLICY_COLD);
		ck_assert_double_eq(upstream->limit, 1);
		fleet_fixture_destroy(&fixture);
	}
}
END_TEST

/* Which results make a warm upstream cold, and after how many in a row. */
START_TEST(failures_make_a_warm_upstream_cold)
{
	static const struct {
		enum policy_result result;
		guint times;
		enum policy_phase phase;
	} cases[] = {
		{POLICY_UNSENT, 1, POLICY_COLD},
		{POLICY_LOST, 1, POLICY_COLD},
		{POLICY_REFUSED, 4, POLICY_WARM},
		{POLICY_REFUSED, 5, POLICY_COLD},
		{POLICY_TIMEOUT, 4, POLICY_WARM},
		{POLICY_TIMEOUT, 5, POLICY_COLD},
		{POLICY_CANCELLED, 9, POLICY_WARM},
		{POLICY_LACKS_SNAPSHOT, 9, POLICY_WARM},
		{POLICY_OTHER_INCARNATION, 9, POLICY_WARM},
		{POLICY_BAD_ANSWER, 9, POLICY_WARM},
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fleet_fixture fixture = fleet_fixture_create(1, 1);
		struct policy_upstream *upstream =
			fleet_fixture_upstream(&fixture, "s0-0");

		fleet_fixture_make_warm(&fixture);
		for (guint n = 0; n < cases[i].times; n++)
			one_attempt(&fixture, upstream, cases[i].result);
		ck_assert_msg(upstream->phase == cases[i].phase, "case %u", i);
		fleet_fixture_destroy(&fixture);
	}
}
END_TEST

START_TEST(a_new_incarnation_in_list_or_answer_is_cold)
{
	for (guint by_answer = 0; by_answer < 2; by_answer++) {
		struct fleet_fixture fixture = fleet_fixture_create(1, 1);
		struct policy_upstream *upstream =
			fleet_fixture_upstream(&fixture, "s0-0");
		struct policy_upstream_report report = {.incarnation = "i2"};

		fleet_fixture_make_warm(&fixture);
		if (by_answer) {
			policy_upstream_apply_report(fixture.fleet, upstream,
						     &report);
		} else {
			json_object_set_new(
				fleet_fixture_list_entry(&fixture, "s0-0"),
				"incarnation", json_string("i2"));
			ck_assert_int_eq(fleet_fixture_publish_list(&fixture),
					 0);
		}
		ck_assert_int_eq(upstream->phase, POLICY_COLD);
		ck_assert_double_eq(upstream->limit, 1);
		fleet_fixture_destroy(&fixture);
	}
}
END_TEST

/*
 * A list that was read after the upstream reported a new incarnation may still
 * have the old one. It must not bring the old incarnation back.
 */
START_TEST(a_lagging_list_does_not_undo_the_upstreams_report)
{
	struct fleet_fixture fixture = fleet_fixture_create(1, 1);
	struct policy_upstream *upstream =
		fleet_fixture_upstream(&fixture, "s0-0");
	struct policy_upstream_report report = {.incarnation = "i2"};

	policy_upstream_apply_report(fixture.fleet, upstream, &report);
	fleet_fixture_make_warm(&fixture);
	ck_assert_int_eq(fleet_fixture_publish_list(&fixture), 0);
	ck_assert_str_eq(upstream->incarnation, "i2");
	ck_assert_int_eq(upstream->phase, POLICY_WARM);
	fleet_fixture_destroy(&fixture);
}
END_TEST

START_TEST(an_upstream_that_reports_cold_is_cold)
{
	struct fleet_fixture fixture = fleet_fixture_create(1, 1);
	struct policy_upstream *upstream =
		fleet_fixture_upstream(&fixture, "s0-0");
	struct policy_upstream_report report = {.cold = true};

	fleet_fixture_make_warm(&fixture);
	policy_upstream_apply_report(fixture.fleet, upstream, &report);
	ck_assert_int_eq(upstream->phase, POLICY_COLD);
	/* While it reports cold, good answers do not raise the limit. */
	for (guint i = 0; i < 20; i++) {
		policy_upstream_apply_report(fixture.fleet, upstream, &report);
		one_attempt(&fixture, upstream, POLICY_DONE);
		ck_assert_double_eq(upstream->limit, 1);
	}
	fleet_fixture_destroy(&fixture);
}
END_TEST

START_TEST(peers_report_warm_upstreams)
{
	struct fleet_fixture fixture = fleet_fixture_create(1, 2);
	struct policy_upstream *upstream =
		fleet_fixture_upstream(&fixture, "s0-0");

	policy_fleet_peer_warm(fixture.fleet, "s0-0", "i0", fixture.now_us);
	ck_assert_int_eq(upstream->phase, POLICY_UNKNOWN);
	policy_fleet_peer_warm(fixture.fleet, "s0-0", "i1", fixture.now_us);
	ck_assert_int_eq(upstream->phase, POLICY_WARM);
	ck_assert_double_eq(upstream->limit, 1);
	ck_assert(!policy_upstream_is_recently_warm(upstream, fixture.now_us));
	one_attempt(&fixture, upstream, POLICY_DONE);
	ck_assert(policy_upstream_is_recently_warm(upstream, fixture.now_us));
	fleet_fixture_advance(&fixture, 31000 * MS);
	ck_assert(!policy_upstream_is_recently_warm(upstream, fixture.now_us));
	fleet_fixture_destroy(&fixture);
}
END_TEST

/* The peer's report may be older than the failure that this daemon found. */
START_TEST(a_peers_report_does_not_undo_a_recent_relapse)
{
	struct fleet_fixture fixture = fleet_fixture_create(1, 1);
	struct policy_upstream *upstream =
		fleet_fixture_upstream(&fixture, "s0-0");

	fleet_fixture_make_warm(&fixture);
	one_attempt(&fixture, upstream, POLICY_LOST);
	policy_fleet_peer_warm(fixture.fleet, "s0-0", "i1", fixture.now_us);
	ck_assert_int_eq(upstream->phase, POLICY_COLD);
	fleet_fixture_advance(&fixture, 1001 * MS);
	policy_fleet_peer_warm(fixture.fleet, "s0-0", "i1", fixture.now_us);
	ck_assert_int_eq(upstream->phase, POLICY_WARM);
	fleet_fixture_destroy(&fixture);
}
END_TEST

/* ---- limits ---- */

START_TEST(refusals_lower_the_limit_and_answers_raise_it)
{
	struct fleet_fixture fixture = fleet_fixture_create(1, 1);
	struct policy_upstream *upstream =
		fleet_fixture_upstream(&fixture, "s0-0");
	double lowered;

	fleet_fixture_make_warm(&fixture);
	one_attempt(&fixture, upstream, POLICY_REFUSED);
	lowered = upstream->limit;
	ck_assert_double_lt(lowered, 6);
	one_attempt(&fixture, upstream, POLICY_DONE);
	ck_assert_double_gt(upstream->limit, lowered);
	for (guint i = 0; i < 100; i++)
		one_attempt(&fixture, upstream, POLICY_DONE);
	ck_assert_double_eq(upstream->limit, 8);
	fleet_fixture_destroy(&fixture);
}
END_TEST

/* The second failure suspends it for 100 ms; each further one doubles that. */
START_TEST(an_unreachable_upstream_is_suspended)
{
	struct fleet_fixture fixture = fleet_fixture_create(1, 1);
	struct policy_upstream *upstream =
		fleet_fixture_upstream(&fixture, "s0-0");

	fleet_fixture_pass_ownership_window(&fixture);
	one_attempt(&fixture, upstream, POLICY_UNSENT);
	ck_assert_ptr_nonnull(choose(&fixture));
	one_attempt(&fixture, upstream, POLICY_UNSENT);
	ck_assert_ptr_null(choose(&fixture));
	fleet_fixture_advance(&fixture, 101 * MS);
	ck_assert_ptr_eq(choose(&fixture), upstream);
	one_attempt(&fixture, upstream, POLICY_UNSENT);
	fleet_fixture_advance(&fixture, 101 * MS);
	ck_assert_ptr_null(choose(&fixture));
	fleet_fixture_advance(&fixture, 101 * MS);
	ck_assert_ptr_eq(choose(&fixture), upstream);
	fleet_fixture_destroy(&fixture);
}
END_TEST

/* ---- leaving, zones ---- */

START_TEST(a_leaving_upstream_gets_no_new_work)
{
	for (guint by_answer = 0; by_answer < 2; by_answer++) {
		struct fleet_fixture fixture = fleet_fixture_create(1, 1);
		struct policy_upstream_report report = {.draining = true};

		fleet_fixture_make_warm(&fixture);
		ck_assert_ptr_nonnull(choose(&fixture));
		if (by_answer) {
			policy_upstream_apply_report(
				fixture.fleet,
				fleet_fixture_upstream(&fixture, "s0-0"),
				&report);
			/* The list does not mark it as leaving yet. */
			ck_assert_int_eq(fleet_fixture_publish_list(&fixture),
					 0);
		} else {
			json_object_set_new(
				fleet_fixture_list_entry(&fixture, "s0-0"),
				"leaving", json_true());
			ck_assert_int_eq(fleet_fixture_publish_list(&fixture),
					 0);
		}
		ck_assert_ptr_null(choose(&fixture));
		fleet_fixture_destroy(&fixture);
	}
}
END_TEST

START_TEST(peers_report_leaving_upstreams)
{
	struct fleet_fixture fixture = fleet_fixture_create(1, 1);

	fleet_fixture_make_warm(&fixture);
	policy_fleet_peer_leaving(fixture.fleet, "s0-0", "i0", fixture.now_us);
	policy_fleet_peer_leaving(fixture.fleet, "no such", "i1",
				  fixture.now_us);
	ck_assert_ptr_nonnull(choose(&fixture));
	policy_fleet_peer_leaving(fixture.fleet, "s0-0", "i1", fixture.now_us);
	ck_assert_ptr_null(choose(&fixture));
	/*
	 * A peer's report is not sent on to other peers, and it expires
	 * unless it is repeated.
	 */
	ck_assert(!fleet_fixture_upstream(&fixture, "s0-0")->leaving);
	fleet_fixture_advance(&fixture, 2001 * MS);
	ck_assert_ptr_nonnull(choose(&fixture));
	fleet_fixture_destroy(&fixture);
}
END_TEST

START_TEST(the_list_may_withdraw_leaving)
{
	struct fleet_fixture fixture = fleet_fixture_create(1, 1);
	json_t *listed = fleet_fixture_list_entry(&fixture, "s0-0");

	fleet_fixture_make_warm(&fixture);
	json_object_set_new(listed, "leaving", json_true());
	ck_assert_int_eq(fleet_fixture_publish_list(&fixture), 0);
	ck_assert_ptr_null(choose(&fixture));
	json_object_set_new(listed, "leaving", json_false());
	ck_assert_int_eq(fleet_fixture_publish_list(&fixture), 0);
	ck_assert_ptr_nonnull(choose(&fixture));
	fleet_fixture_destroy(&fixture);
}
END_TEST

/* The list still has the previous incarnation, which was leaving. */
START_TEST(a_new_incarnation_is_not_leaving)
{
	struct fleet_fixture fixture = fleet_fixture_create(1, 1);
	struct policy_upstream_report report = {.incarnation = "i2"};
	struct policy_upstream *upstream =
		fleet_fixture_upstream(&fixture, "s0-0");

	json_object_set_new(fleet_fixture_list_entry(&fixture, "s0-0"),
			    "leaving", json_true());
	ck_assert_int_eq(fleet_fixture_publish_list(&fixture), 0);
	policy_upstream_apply_report(fixture.fleet, upstream, &report);
	ck_assert_int_eq(fleet_fixture_publish_list(&fixture), 0);
	ck_assert(!upstream->leaving);
	fleet_fixture_destroy(&fixture);
}
END_TEST

static void set_evacuated(struct fleet_fixture *fixture, const char *zone,
			  bool out)
{
	json_t *zones = json_object_get(fixture->config, "zones");

	json_object_set_new(json_object_get(zones, zone), "out",
			    json_boolean(out));
	fleet_fixture_publish_config(fixture);
}

START_TEST(an_evacuated_zone_gets_no_new_work)
{
	struct fleet_fixture fixture = fleet_fixture_create(1, 2);
	struct policy_upstream *chosen;

	fleet_fixture_make_warm(&fixture);
	ck_assert_str_eq(choose(&fixture)->zone, "a");
	set_evacuated(&fixture, "a", true);
	chosen = choose(&fixture);
	ck_assert_str_eq(chosen->zone, "b");
	set_evacuated(&fixture, "b", true);
	ck_assert_ptr_null(choose(&fixture));
	set_evacuated(&fixture, "a", false);
	ck_assert_str_eq(choose(&fixture)->zone, "a");
	fleet_fixture_destroy(&fixture);
}
END_TEST

START_TEST(attempts_in_flight_finish_in_an_evacuated_zone)
{
	struct fleet_fixture fixture = fleet_fixture_create(1, 1);
	struct policy_upstream *upstream;

	fleet_fixture_make_warm(&fixture);
	upstream = choose(&fixture);
	policy_upstream_begin(upstream);
	set_evacuated(&fixture, "a", true);
	end_attempt(&fixture, upstream, POLICY_DONE);
	ck_assert_uint_eq(upstream->inflight, 0);
	ck_assert_ptr_null(choose(&fixture));
	fleet_fixture_destroy(&fixture);
}
END_TEST

START_TEST(the_local_zone_is_preferred_and_spills_as_configured)
{
	struct fleet_fixture fixture = fleet_fixture_create(1, 2);
	struct policy_upstream *local;
	enum policy_unavailable unavailable;

	fleet_fixture_make_warm(&fixture);
	local = fleet_fixture_upstream(&fixture, "s0-0");
	for (guint i = 0; i < 50; i++)
		ck_assert_ptr_eq(choose(&fixture), local);
	/*
	 * Another zone is chosen while the local one is much slower. Later the
	 * local one is tried again.
	 */
	local->sampled_us = fixture.now_us;
	local->latency_us = 80.0 * MS;
	ck_assert_str_eq(choose(&fixture)->zone, "b");
	fleet_fixture_advance(&fixture, 30000 * MS);
	ck_assert_ptr_eq(choose(&fixture), local);
	local->inflight = 8;
	ck_assert_str_eq(choose(&fixture)->zone, "b");
	json_object_set_new(fleet_fixture_service_config(&fixture, "s"),
			    "spill", json_false());
	fleet_fixture_publish_config(&fixture);
	ck_assert_ptr_null(policy_fleet_choose(fixture.fleet, fixture.service,
					       "0", "s1", NULL, fixture.now_us,
					       &unavailable));
	ck_assert_int_eq(unavailable, POLICY_NO_CAPACITY);
	local->inflight = 0;
	fleet_fixture_destroy(&fixture);
}
END_TEST

/* ---- lists ---- */

/* A list that lost many upstreams at once is probably faulty. */
START_TEST(an_implausibly_shrunk_list_is_rejected)
{
	struct fleet_fixture fixture = fleet_fixture_create(4, 2);
	json_t *all = json_incref(json_object_get(fixture.list, "upstreams"));

	json_object_set_new(fixture.list, "upstreams", json_array());
	ck_assert_int_eq(fleet_fixture_publish_list(&fixture), CS_E_RANGE);
	ck_assert_ptr_nonnull(fleet_fixture_upstream(&fixture, "s3-1"));
	json_object_set_new(fixture.config, "list_shrink_max", json_integer(1));
	fleet_fixture_publish_config(&fixture);
	ck_assert_int_eq(fleet_fixture_publish_list(&fixture), 0);
	ck_assert_ptr_null(fleet_fixture_upstream(&fixture, "s3-1"));
	json_decref(all);
	fleet_fixture_destroy(&fixture);
}
END_TEST

/* Upstreams of an evacuated zone do not count as a loss. */
START_TEST(an_evacuated_zone_may_vanish_from_the_list)
{
	struct fleet_fixture fixture = fleet_fixture_create(4, 2);
	json_t *upstreams = json_object_get(fixture.list, "upstreams");

	set_evacuated(&fixture, "b", true);
	for (size_t i = json_array_size(upstreams); i > 0; i--) {
		json_t *zone = json_object_get(json_array_get(upstreams, i - 1),
					       "zone");

		if (!strcmp(json_string_value(zone), "b"))
			json_array_remove(upstreams, i - 1);
	}
	ck_assert_int_eq(fleet_fixture_publish_list(&fixture), 0);
	fleet_fixture_destroy(&fixture);
}
END_TEST

START_TEST(an_older_list_is_rejected)
{
	struct fleet_fixture fixture = fleet_fixture_create(1, 1);

	ck_assert_int_eq(fleet_fixture_publish_list(&fixture), 0);
	json_object_set_new(fixture.list, "revision", json_integer(1));
	ck_assert_int_eq(fleet_fixture_publish_list(&fixture), CS_E_STALE);
	json_object_set_new(fixture.list, "revision", json_integer(0));
	ck_assert_int_eq(fleet_fixture_publish_list(&fixture), CS_E_STALE);
	fleet_fixture_destroy(&fixture);
}
END_TEST

/* An unlisted upstream is freed only when its last open attempt has ended. */
START_TEST(an_upstream_may_vanish_with_attempts_in_flight)
{
	struct fleet_fixture fixture = fleet_fixture_create(1, 2);
	struct policy_upstream *upstream;

	fleet_fixture_make_warm(&fixture);
	upstream = choose(&fixture);
	policy_upstream_begin(upstream);
	json_array_remove(json_object_get(fixture.list, "upstreams"), 0);
	ck_assert_int_eq(fleet_fixture_publish_list(&fixture), 0);
	ck_assert(upstream->unlisted);
	ck_assert_ptr_ne(choose(&fixture), upstream);
	end_attempt(&fixture, upstream, POLICY_DONE);
	ck_assert_ptr_null(fleet_fixture_upstream(&fixture, "s0-0"));
	fleet_fixture_destroy(&fixture);
}
END_TEST

/* ---- choosing an upstream ---- */

/* The cost is the latency times one more than the number of open attempts. */
START_TEST(the_faster_or_less_loaded_of_two_is_chosen)
{
	struct fleet_fixture fixture = fleet_fixture_create(1, 2);
	struct policy_upstream *a;
	struct policy_upstream *b;

	json_object_set_new(fleet_fixture_list_entry(&fixture, "s0-1"), "zone",
			    json_string("a"));
	ck_assert_int_eq(fleet_fixture_publish_list(&fixture), 0);
	fleet_fixture_make_warm(&fixture);
	a = fleet_fixture_upstream(&fixture, "s0-0");
	b = fleet_fixture_upstream(&fixture, "s0-1");
	a->latency_us = 1000;
	b->latency_us = 5000;
	a->sampled_us = fixture.now_us;
	b->sampled_us = fixture.now_us;
	ck_assert_ptr_eq(choose(&fixture), a);
	a->inflight = 7;
	ck_assert_ptr_eq(choose(&fixture), b);
	a->inflight = 0;
	fleet_fixture_destroy(&fixture);
}
END_TEST

START_TEST(round_robin_covers_all_zones)
{
	struct fleet_fixture fixture = fleet_fixture_create(1, 3);
	struct policy_upstream *first[3];

	json_object_set_new(fleet_fixture_service_config(&fixture, "s"),
			    "choice", json_string("round-robin"));
	fleet_fixture_publish_config(&fixture);
	fleet_fixture_make_warm(&fixture);
	for (guint i = 0; i < 3; i++)
		first[i] = choose(&fixture);
	ck_assert_ptr_ne(first[0], first[1]);
	ck_assert_ptr_ne(first[1], first[2]);
	ck_assert_ptr_ne(first[0], first[2]);
	for (guint i = 0; i < 9; i++)
		ck_assert_ptr_eq(choose(&fixture), first[i % 3]);
	fleet_fixture_destroy(&fixture);
}
END_TEST

/*
 * The slower attempt of a hedged pair is cancelled. If it gave no sample, a
 * slow upstream would keep its low latency and be chosen again.
 */
START_TEST(an_aborted_attempt_is_a_lower_bound_of_latency)
{
	static const enum policy_result aborted[] = {POLICY_CANCELLED,
						     POLICY_TIMEOUT};

	for (guint i = 0; i < G_N_ELEMENTS(aborted); i++) {
		struct fleet_fixture fixture = fleet_fixture_create(1, 1);
		struct policy_upstream *upstream =
			fleet_fixture_upstream(&fixture, "s0-0");

		fleet_fixture_make_warm(&fixture);
		policy_upstream_begin(upstream);
		policy_upstream_end(fixture.fleet, upstream, aborted[i],
				    fixture.now_us - 50 * MS, fixture.now_us);
		ck_assert_double_gt(upstream->latency_us, 5.0 * MS);
		upstream->latency_us = 90.0 * MS;
		policy_upstream_begin(upstream);
		policy_upstream_end(fixture.fleet, upstream, aborted[i],
				    fixture.now_us - 50 * MS, fixture.now_us);
		ck_assert_double_eq(upstream->latency_us, 90.0 * MS);
		fleet_fixture_destroy(&fixture);
	}
}
END_TEST

/* Admits work until it is refused, then ends all of it. Returns its amount. */
static guint admit_until_refused(struct fleet_fixture *fixture, bool overloaded)
{
	guint admitted = 0;

	while (policy_service_admit(fixture->service) == 0)
		admitted++;
	for (guint i = 0; i < admitted; i++)
		policy_service_release(fixture->service, overloaded,
				       fixture->now_us);
	return admitted;
}

/*
 * A service that admits more than it can finish in time answers all of it
 * late. The window of admitted work shrinks then and must grow again
 * afterwards.
 */
START_TEST(late_work_shrinks_admission_and_timely_work_grows_it)
{
	struct fleet_fixture fixture = fleet_fixture_create(1, 1);
	guint before = admit_until_refused(&fixture, false);
	guint smallest;

	ck_assert_uint_eq(before, 256);
	for (guint i = 0; i < 60; i++) {
		admit_until_refused(&fixture, true);
		fleet_fixture_advance(&fixture, 100 * MS);
	}
	smallest = admit_until_refused(&fixture, false);
	ck_assert_uint_eq(smallest, 2);
	/* Late work that all ends at the same time shrinks the window once. */
	for (guint i = 0; i < 2000; i++)
		admit_until_refused(&fixture, false);
	ck_assert_uint_gt(admit_until_refused(&fixture, true), 20);
	ck_assert_uint_gt(admit_until_refused(&fixture, true), 16);
	for (guint i = 0; i < 100000; i++)
		admit_until_refused(&fixture, false);
	ck_assert_uint_eq(admit_until_refused(&fixture, false), 256);
	fleet_fixture_destroy(&fixture);
}
END_TEST

/* Retries and hedges must not add to an overload. */
START_TEST(an_overloaded_service_gets_no_extra_load)
{
	struct fleet_fixture fixture = fleet_fixture_create(1, 1);

	policy_service_admit(fixture.service);
	policy_service_release(fixture.service, true, fixture.now_us);
	for (guint i = 0; i < 1000; i++)
		policy_service_deposit(fixture.service, fixture.now_us);
	ck_assert(!policy_service_withdraw(fixture.service));
	fleet_fixture_advance(&fixture, 1001 * MS);
	for (guint i = 0; i < 30; i++)
		policy_service_deposit(fixture.service, fixture.now_us);
	ck_assert(policy_service_withdraw(fixture.service));
	fleet_fixture_destroy(&fixture);
}
END_TEST

START_TEST(admission_is_bounded)
{
	struct fleet_fixture fixture = fleet_fixture_create(1, 1);

	json_object_set_new(fleet_fixture_service_config(&fixture, "s"),
			    "queue_max", json_integer(2));
	fleet_fixture_publish_config(&fixture);
	ck_assert_int_eq(policy_service_admit(fixture.service), 0);
	ck_assert_int_eq(policy_service_admit(fixture.service), 0);
	ck_assert_int_eq(policy_service_admit(fixture.service), CS_E_OVERLOAD);
	policy_service_release(fixture.service, false, fixture.now_us);
	ck_assert_int_eq(policy_service_admit(fixture.service), 0);
	fleet_fixture_destroy(&fixture);
}
END_TEST

/* ---- configurations and members ---- */

START_TEST(the_highest_revision_wins)
{
	static const struct {
		gint64 number;
		const char *digest;
		int expected;
	} cases[] = {
		{6, "x", 0},
		{5, "a", 1},
		{5, "b", CS_E_CONFLICT},
		{4, "a", CS_E_STALE},
		{4, "b", CS_E_STALE},
		{0, "a", CS_E_STALE},
	};
	struct policy_revision held = {0};

	ck_assert_int_eq(policy_revision_check(&held, 5, "a"), 0);
	policy_revision_accept(&held, 5, "a");
	for (guint i = 0; i < G_N_ELEMENTS(cases); i++)
		ck_assert_int_eq(policy_revision_check(&held, cases[i].number,
						       cases[i].digest),
				 cases[i].expected);
	policy_revision_clear(&held);
}
END_TEST

START_TEST(replayed_heartbeats_are_dropped)
{
	static const struct {
		guint64 incarnation;
		guint64 sequence;
		gint64 after_us;
		bool accepted;
	} cases[] = {
		{10, 1, 0, true},
		{10, 1, 0, false},
		{10, 3, 0, true},
		{10, 2, 0, false},
		{9, 9, 0, false},
		{11, 1, 0, true},
		{10, 9, 0, false},
		/* silent, then restarted with the wall clock set back */
		{9, 1, 2001, true},
	};
	struct policy_members *members = policy_members_create(2000);
	gint64 now = 0;

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct policy_heartbeat heartbeat = {
			"p", cases[i].incarnation, cases[i].sequence, false, 1,
			1};

		now += cases[i].after_us;
		ck_assert_msg(
			(policy_members_receive(members, &heartbeat, now) !=
			 NULL) == cases[i].accepted,
			"case %u", i);
	}
	ck_assert_uint_eq(policy_members_alive(members, now), 1);
	ck_assert_uint_eq(policy_members_alive(members, now + 2001), 0);
	policy_members_remove_silent(members, now + 50000);
	ck_assert_uint_eq(policy_members_alive(members, now), 0);
	policy_members_destroy(members);
}
END_TEST

UNIT_MAIN("fleet", an_unknown_upstream_gets_no_work_before_it_is_owned,
	  a_cold_upstream_gets_no_more_than_its_limit,
	  cancelled_work_occupies_a_cold_upstream_until_its_timeout,
	  good_answers_raise_the_limit_in_steps,
	  any_failure_while_warming_resets_to_cold,
	  failures_make_a_warm_upstream_cold,
	  a_new_incarnation_in_list_or_answer_is_cold,
	  a_lagging_list_does_not_undo_the_upstreams_report,
	  an_upstream_that_reports_cold_is_cold, peers_report_warm_upstreams,
	  a_peers_report_does_not_undo_a_recent_relapse,
	  refusals_lower_the_limit_and_answers_raise_it,
	  an_unreachable_upstream_is_suspended,
	  a_leaving_upstream_gets_no_new_work, peers_report_leaving_upstreams,
	  the_list_may_withdraw_leaving, a_new_incarnation_is_not_leaving,
	  an_evacuated_zone_gets_no_new_work,
	  attempts_in_flight_finish_in_an_evacuated_zone,
	  the_local_zone_is_preferred_and_spills_as_configured,
	  an_implausibly_shrunk_list_is_rejected,
	  an_evacuated_zone_may_vanish_from_the_list, an_older_list_is_rejected,
	  an_upstream_may_vanish_with_attempts_in_flight,
	  the_faster_or_less_loaded_of_two_is_chosen,
	  round_robin_covers_all_zones,
	  an_aborted_attempt_is_a_lower_bound_of_latency,
	  late_work_shrinks_admission_and_timely_work_grows_it,
	  an_overloaded_service_gets_no_extra_load, admission_is_bounded,
	  the_highest_revision_wins, replayed_heartbeats_are_dropped)
