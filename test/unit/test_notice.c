/* Replicas that say in their answers that they leave, or ask for rest. */
#include "daemon.h"
#include "unit.h"
#include "view.h"

#include <string.h>

enum { REPLICAS = 2, REPLICA = 61 };

#define ANSWER(status, lines)                                                  \
	"HTTP/1.1 " status "\r\nId: r1\r\nSigned: s\r\n" lines                 \
	"Content-Length: 16\r\n\r\n0123456789abcdef"

#define GOOD	  ANSWER("200 OK", "")
#define LEAVES	  ANSWER("200 OK", "Leaves: 1\r\n")
#define ASKS(end) ANSWER("503 Busy", "Not-Run: 1\r\nRest: " end "\r\n")

/* A daemon with replicas of service "s" ("/one/", two attempts) in its zone. */
struct fixture {
	struct net net;
	struct daemon daemon;
	struct net_server *replicas[REPLICAS];
};

static struct route_entry entry_of(guint i)
{
	static const char *const ids[REPLICAS] = {"u0", "u1"};

	return (struct route_entry){
		.id = ids[i],
		.service = "s",
		/* The first one is preferred. */
		.zone = i ? "b" : "a",
		.address = net_address(REPLICA + i),
		.incarnation = 1,
		.sequence = 1,
		.slots = 10,
	};
}

static void put(struct fixture *fixture, const struct route_entry *entry)
{
	route_fleet_put(forward_engine_fleet(fixture->daemon.engine), entry,
			cs_clock_now(fixture->net.clock));
}

static struct route_table *create_table(void)
{
	struct route_table *table = route_table_create(1);

	table->limits = (struct route_limits){16384, 65536, 3000, 60000};
	view_add_route(table, "/one/", "h", "/one/", ROUTE_SERVICE);
	view_add_route(table, "/once/", "h", "/once/", ROUTE_SERVICE)
		->idempotent = false;
	route_table_add_service(table, "s", 100, 0);
	route_table_seal(table);
	return table;
}

static void fixture_open(struct fixture *fixture)
{
	struct route_table *table = create_table();

	memset(fixture, 0, sizeof(*fixture));
	fixture->net = net_create();
	cs_clock_advance(fixture->net.clock, 100 * CS_US_PER_S);
	daemon_start_alone(&fixture->net, &fixture->daemon, "a");
	fixture->daemon.settings.bounds.drain_us = 3 * CS_US_PER_S;
	fixture->daemon.settings.bounds.budget_ratio = 0.2;
	fixture->daemon.settings.bounds.budget_slack = 10000;
	fixture->daemon.settings.bounds.budget_window_us = 10 * CS_US_PER_S;
	forward_engine_reload(fixture->daemon.engine,
			      &fixture->daemon.settings);
	forward_engine_set_table(fixture->daemon.engine, table);
	route_table_unref(table);
	for (guint i = 0; i < REPLICAS; i++) {
		struct route_entry entry = entry_of(i);

		fixture->replicas[i] = net_server_create(
			&fixture->net, REPLICA + i, GOOD, false);
		put(fixture, &entry);
	}
}

static void fixture_close(struct fixture *fixture)
{
	daemon_stop(&fixture->daemon);
	for (guint i = 0; i < REPLICAS; i++)
		net_server_destroy(fixture->replicas[i]);
	net_destroy(&fixture->net);
}

/* Sends a request and waits for the answer. Return: its status; 0: none. */
static guint ask_for(struct fixture *fixture, const char *target)
{
	struct net_client *caller =
		net_connect(&fixture->net, &fixture->daemon.settings.caller);
	g_autofree char *text =
		g_strdup_printf("GET %s HTTP/1.1\r\nHost: h\r\nId: r1\r\n"
				"Wait: 900\r\n\r\n",
				target);
	guint status = 0;

	net_send(caller, text);
	for (int i = 0; i < 1000 && !caller->received->len; i++) {
		net_advance(&fixture->net, 1);
		net_read(caller);
	}
	(void)sscanf(caller->received->str, "HTTP/1.1 %u", &status);
	net_close(caller);
	return status;
}

static guint ask(struct fixture *fixture)
{
	return ask_for(fixture, "/one/");
}

/* Sends requests for a time, one each 20 ms.
 * Return: the number that a replica gets. */
static guint count_for(struct fixture *fixture, guint i, gint64 ms)
{
	guint before = fixture->replicas[i]->requests;

	for (gint64 k = 0; k < ms / 20; k++) {
		ask(fixture);
		net_advance(&fixture->net, 19);
	}
	return fixture->replicas[i]->requests - before;
}

/* Sends requests until a replica has got one more. */
static void reach(struct fixture *fixture, guint i)
{
	guint before = fixture->replicas[i]->requests;

	for (int k = 0; k < 200 && fixture->replicas[i]->requests == before;
	     k++) {
		/* The other one looks worse. */
		fixture->replicas[!i]->reply = NULL;
		ask(fixture);
		fixture->replicas[!i]->reply = GOOD;
	}
	ck_assert_uint_gt(fixture->replicas[i]->requests, before);
	net_advance(&fixture->net, 1000);
}

/* Leaves replica 0 as the only one. */
static void remove_other(struct fixture *fixture)
{
	route_fleet_remove(forward_engine_fleet(fixture->daemon.engine), "u1",
			   false, cs_clock_now(fixture->net.clock));
}

/* Guards against requests to a replica that has said that it leaves, while the
 * list has it as ready. */
START_TEST(a_replica_that_says_it_leaves_gets_no_more_requests)
{
	struct fixture fixture;

	fixture_open(&fixture);
	fixture.replicas[0]->reply = LEAVES;
	reach(&fixture, 0);
	ck_assert_uint_eq(count_for(&fixture, 0, 5000), 0);
	fixture_close(&fixture);
}
END_TEST

/* Guards against answers that tell of a replica's leaving without effect, and
 * against a replica being left out because of what is not its own word. */
START_TEST(each_answer_of_a_leaving_replica_counts)
{
	static const struct {
		const char *answer;
		bool leaves;
	} cases[] = {
		{GOOD, false},
		{LEAVES, true},
		{ANSWER("404 None", "Leaves: 1\r\n"), true},
		{ANSWER("500 Error", "Leaves: 1\r\n"), true},
		{ANSWER("503 Busy", "Not-Run: 1\r\nLeaves: 1\r\n"), true},
		{ANSWER("503 Busy", "Leaves: 1\r\n"), true},
		{ANSWER("200 OK", "leaves: 1\r\n"), true},
		{ANSWER("200 OK", "Leaves: 1\r\nLeaves: 1\r\n"), true},
		{"HTTP/1.1 103 Early\r\nLeaves: 1\r\n\r\n" GOOD, true},
		{ANSWER("200 OK", "Leaves: 0\r\n"), false},
		{ANSWER("200 OK", "Leaves:\r\n"), false},
		{ANSWER("200 OK", "Leaves: 11\r\n"), false},
		{ANSWER("200 OK", "Leaves: true\r\n"), false},
		/* Another replica answers there. */
		{ANSWER("421 Other", "Leaves: 1\r\n"), false},
		/* The answer to another request. */
		{"HTTP/1.1 200 OK\r\nId: r0\r\nSigned: s\r\nLeaves: "
		 "1\r\nContent-Length: 0\r\n\r\n" GOOD,
		 false},
	};

	for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture fixture;
		struct cs_counters *counters;

		fixture_open(&fixture);
		remove_other(&fixture);
		counters = forward_engine_counters(fixture.daemon.engine);
		fixture.replicas[0]->reply = cases[i].answer;
		ask(&fixture);
		ck_assert_msg(cs_counters_get(counters, CS_N_NOTICE_LEAVING) ==
				      cases[i].leaves,
			      "case %zu", i);
		fixture.replicas[0]->reply = GOOD;
		net_advance(&fixture.net, 1000);
		ck_assert_msg(!count_for(&fixture, 0, 100) == cases[i].leaves ||
				      strstr(cases[i].answer, " 421 "),
			      "case %zu", i);
		fixture_close(&fixture);
	}
}
END_TEST

/* Guards against a replica's word being lost that comes after its answer is no
 * longer needed: a hedge was quicker, or the caller has gone. */
START_TEST(an_answer_that_nobody_waits_for_counts_too)
{
	for (int gone = 0; gone < 2; gone++) {
		struct fixture fixture;
		struct net_client *caller;

		fixture_open(&fixture);
		fixture.replicas[0]->reply = LEAVES;
		fixture.replicas[0]->hold = true;
		fixture.replicas[1]->hold = gone;
		caller = net_connect(&fixture.net,
				     &fixture.daemon.settings.caller);
		net_send(caller, "GET /one/ HTTP/1.1\r\nHost: h\r\nId: r1\r\n"
				 "Wait: 900\r\n\r\n");
		net_advance(&fixture.net, gone ? 20 : 300);
		ck_assert_uint_gt(fixture.replicas[0]->received->len, 0);
		net_close(caller);
		net_run_until_idle(&fixture.net);
		net_server_reply_held(fixture.replicas[0]);
		fixture.replicas[0]->hold = fixture.replicas[1]->hold = false;
		net_run_until_idle(&fixture.net);
		net_advance(&fixture.net, 1000);
		ck_assert_msg(count_for(&fixture, 0, 1000) == 0, "case %d",
			      gone);
		fixture_close(&fixture);
	}
}
END_TEST

/* Guards against requests to a leaving replica because of what the list says
 * later, and against a new start being left out. */
START_TEST(a_leaving_replica_stays_so_until_it_starts_again)
{
	static const struct {
		gint64 incarnations[2];
		gint64 sequences[2];
		bool removed; /* in between, for longer than a lapse */
		bool moved; /* to another address */
		bool leaves;
	} cases[] = {
		{{1, 1}, {5, 9}, false, false, true},
		{{1, 1}, {5, 9}, true, false, true},
		{{0, 0}, {5, 9}, false, false, true},
		{{0, 0}, {5, 9}, true, false, true},
		{{1, 2}, {5, 9}, false, false, false},
		{{1, 2}, {5, 9}, true, false, false},
		{{0, 0}, {5, 1}, false, false, false},
		{{0, 0}, {5, 1}, true, false, false},
		{{1, 1}, {5, 9}, true, true, false},
	};

	for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture fixture;
		struct route_entry entry = entry_of(0);
		struct route_fleet *fleet;

		fixture_open(&fixture);
		fleet = forward_engine_fleet(fixture.daemon.engine);
		remove_other(&fixture);
		entry.incarnation = cases[i].incarnations[0];
		entry.sequence = cases[i].sequences[0];
		put(&fixture, &entry);
		fixture.replicas[0]->reply = LEAVES;
		ask(&fixture);
		fixture.replicas[0]->reply = GOOD;
		if (cases[i].removed) {
			route_fleet_remove(fleet, "u0", true,
					   cs_clock_now(fixture.net.clock));
			net_advance(&fixture.net, 3000);
		}
		entry.incarnation = cases[i].incarnations[1];
		entry.sequence = cases[i].sequences[1];
		if (cases[i].moved)
			entry.address = net_address(REPLICA + 1);
		put(&fixture, &entry);
		ck_assert_msg((ask(&fixture) != 200) == cases[i].leaves,
			      "case %zu", i);
		fixture_close(&fixture);
	}
}
END_TEST

/* Guards against callers that wait for their deadline when all replicas leave.
 */
START_TEST(with_leaving_replicas_only_a_request_is_refused_at_once)
{
	struct fixture fixture;
	struct net_client *caller;

	fixture_open(&fixture);
	remove_other(&fixture);
	fixture.replicas[0]->reply = LEAVES;
	ck_assert_uint_eq(ask(&fixture), 200);
	caller = net_connect(&fixture.net, &fixture.daemon.settings.caller);
	net_send(caller, "GET /once/ HTTP/1.1\r\nHost: h\r\nId: r1\r\n\r\n");
	net_run_until_idle(&fixture.net);
	net_read(caller);
	ck_assert_msg(g_str_has_prefix(caller->received->str, "HTTP/1.1 503"),
		      "%s", caller->received->str);
	ck_assert_ptr_nonnull(strstr(caller->received->str, "Retry-After: "));
	ck_assert_uint_eq(fixture.replicas[0]->requests, 1);
	net_close(caller);
	fixture_close(&fixture);
}
END_TEST

/* Guards against requests to a replica that has turned one away and asked for
 * rest, before the end of the time. */
START_TEST(a_replica_that_asks_for_rest_gets_no_requests_until_its_end)
{
	struct fixture fixture;

	fixture_open(&fixture);
	remove_other(&fixture);
	fixture.replicas[0]->reply = ASKS("3");
	ask(&fixture);
	fixture.replicas[0]->reply = GOOD;
	ck_assert_uint_eq(count_for(&fixture, 0, 2900), 0);
	net_advance(&fixture.net, 200);
	ck_assert_uint_gt(count_for(&fixture, 0, 1000), 40);
	fixture_close(&fixture);
}
END_TEST

/* Guards against a rest that is not granted, and against one that has no end.
 */
START_TEST(each_time_of_rest_is_granted_as_it_is_named)
{
	static const struct {
		const char *answer;
		gint64 ms; /* 0: none; else how long no request is sent */
	} cases[] = {
		{ASKS("3"), 3000},
		{ASKS("0.7"), 700},
		{ASKS("0"), 0},
		{ASKS(".5"), 500},
		{ASKS("-3"), 0},
		{ASKS("+3"), 0},
		{ASKS("1e9"), 0},
		{ASKS("soon"), 0},
		{ASKS("Wed, 21 Oct 2026 07:28:00 GMT"), 0},
		{ASKS("2, 3"), 0},
		{ASKS("2\r\nRest: 3"), 0},
		{ASKS("1000000000"), 300000},
		{ASKS("99999999999999999999"), 300000},
		{ASKS("3\r\nTakes: 900"), 3000},
		/* Without proof that it did not run. */
		{ANSWER("503 Busy", "Rest: 3\r\n"), 3000},
		{ANSWER("429 Busy", "Not-Run: 1\r\nRest: 3\r\n"), 0},
		{ANSWER("200 OK", "Rest: 3\r\n"), 0},
		{ANSWER("421 Other", "Rest: 3\r\n"), 0},
	};

	for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture fixture;

		fixture_open(&fixture);
		remove_other(&fixture);
		fixture.replicas[0]->reply = cases[i].answer;
		ask_for(&fixture, "/once/");
		fixture.replicas[0]->reply = GOOD;
		if (strstr(cases[i].answer, " 421 ")) {
			/* It is left out for another reason. */
			ck_assert_uint_eq(
				cs_counters_get(forward_engine_counters(
							fixture.daemon.engine),
						CS_N_NOTICE_REST),
				0);
			fixture_close(&fixture);
			continue;
		}
		if (cases[i].ms) {
			cs_clock_advance(fixture.net.clock,
					 (cases[i].ms - 400) * CS_US_PER_MS);
			ck_assert_msg(ask(&fixture) == 503, "case %zu", i);
		}
		net_advance(&fixture.net, 500);
		ck_assert_msg(ask(&fixture) == 200, "case %zu", i);
		fixture_close(&fixture);
	}
}
END_TEST

/* Guards against requests before the end of an earlier, longer rest, and after
 * a good answer that was on its way. */
START_TEST(the_latest_end_of_several_rests_holds)
{
	struct fixture fixture;
	struct net_client *callers[3];

	fixture_open(&fixture);
	remove_other(&fixture);
	fixture.replicas[0]->hold = true;
	for (int i = 0; i < 3; i++) {
		callers[i] = net_connect(&fixture.net,
					 &fixture.daemon.settings.caller);
		net_send(callers[i], "GET /once/ HTTP/1.1\r\nHost: h\r\n"
				     "Id: r1\r\nWait: 900\r\n\r\n");
		net_advance(&fixture.net, 20);
	}
	/* Three requests run; the first asks for longer than the second. */
	net_server_reply_one(fixture.replicas[0], ASKS("3"));
	net_server_reply_one(fixture.replicas[0], ASKS("1"));
	net_server_reply_one(fixture.replicas[0], GOOD);
	fixture.replicas[0]->hold = false;
	net_run_until_idle(&fixture.net);
	ck_assert_uint_eq(count_for(&fixture, 0, 2800), 0);
	net_advance(&fixture.net, 200);
	ck_assert_uint_gt(count_for(&fixture, 0, 200), 0);
	for (int i = 0; i < 3; i++)
		net_close(callers[i]);
	fixture_close(&fixture);
}
END_TEST

/* Guards against a burst at a replica whose rest has just ended: until it has
 * answered, it gets one request at a time. */
START_TEST(a_rested_replica_is_tried_with_one_request)
{
	struct fixture fixture;
	struct net_client *callers[5];
	const char *at;
	guint n = 0;

	fixture_open(&fixture);
	remove_other(&fixture);
	fixture.replicas[0]->reply = ASKS("1");
	ask(&fixture);
	fixture.replicas[0]->reply = GOOD;
	net_advance(&fixture.net, 1000);
	fixture.replicas[0]->hold = true;
	g_string_truncate(fixture.replicas[0]->received, 0);
	for (int i = 0; i < 5; i++) {
		callers[i] = net_connect(&fixture.net,
					 &fixture.daemon.settings.caller);
		net_send(callers[i], "GET /one/ HTTP/1.1\r\nHost: h\r\n"
				     "Id: r1\r\nWait: 900\r\n\r\n");
	}
	net_advance(&fixture.net, 10);
	for (at = fixture.replicas[0]->received->str; (at = strstr(at, "GET "));
	     at++)
		n++;
	ck_assert_uint_eq(n, 1);
	fixture.replicas[0]->hold = false;
	net_server_reply_held(fixture.replicas[0]);
	net_advance(&fixture.net, 100);
	for (int i = 0; i < 5; i++) {
		net_read(callers[i]);
		ck_assert(g_str_has_prefix(callers[i]->received->str,
					   "HTTP/1.1 200"));
		net_close(callers[i]);
	}
	fixture_close(&fixture);
}
END_TEST

/* Guards against callers that wait in vain, or return before the rest ends, or
 * all at its end. */
START_TEST(with_resting_replicas_only_a_request_is_refused_until_their_end)
{
	struct fixture fixture;
	double least = 1e9;
	double most = 0;

	fixture_open(&fixture);
	remove_other(&fixture);
	fixture.replicas[0]->reply = ASKS("3");
	ask(&fixture);
	for (int i = 0; i < 20; i++) {
		struct net_client *caller = net_connect(
			&fixture.net, &fixture.daemon.settings.caller);
		const char *after;
		double s;

		net_send(caller, "GET /one/ HTTP/1.1\r\nHost: h\r\nId: r1\r\n"
				 "Wait: 900\r\n\r\n");
		net_run_until_idle(&fixture.net);
		net_read(caller);
		ck_assert(g_str_has_prefix(caller->received->str,
					   "HTTP/1.1 503"));
		after = strstr(caller->received->str, "Retry-After: ");
		ck_assert_ptr_nonnull(after);
		s = g_ascii_strtod(after + strlen("Retry-After: "), NULL);
		least = MIN(least, s);
		most = MAX(most, s);
		net_close(caller);
	}
	ck_assert_double_ge(least, 2.9);
	ck_assert_double_le(most, 3.5);
	ck_assert_double_gt(most, least);
	ck_assert_uint_eq(
		cs_counters_get(forward_engine_counters(fixture.daemon.engine),
				CS_N_NOTICE_REST),
		1);
	fixture_close(&fixture);
}
END_TEST

UNIT_MAIN("notice", a_replica_that_says_it_leaves_gets_no_more_requests,
	  each_answer_of_a_leaving_replica_counts,
	  an_answer_that_nobody_waits_for_counts_too,
	  a_leaving_replica_stays_so_until_it_starts_again,
	  with_leaving_replicas_only_a_request_is_refused_at_once,
	  a_replica_that_asks_for_rest_gets_no_requests_until_its_end,
	  each_time_of_rest_is_granted_as_it_is_named,
	  the_latest_end_of_several_rests_holds,
	  a_rested_replica_is_tried_with_one_request,
	  with_resting_replicas_only_a_request_is_refused_until_their_end)
