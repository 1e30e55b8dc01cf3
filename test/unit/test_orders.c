/*
 * Orders run at most once: an exhaustive check of short sequences of events,
 * and a test for each rule of tickets and runs.
 */
#include "unit.h"

#include <string.h>

#define SEQUENCE_LENGTH 5

/* Events of the exhaustive check. */
enum event {
	EV_SUBMIT, /* the order, first or repeated, direct or forwarded */
	EV_SUBMIT_OTHER, /* another body with the same ticket */
	EV_DONE, /* the open attempt is answered validly */
	EV_UNSENT, /* ... cannot be sent */
	EV_REFUSED, /* ... is refused with proof that it did not run */
	EV_LOST, /* ... is reset; it may have run */
	EV_BAD, /* ... gets a malformed answer; it ran */
	EV_TIMEOUT, /* time passes beyond the timeout of an attempt */
	EV_TICKET_EXPIRES, /* time passes beyond the expiry of the ticket */
	EV_RECORD_EXPIRES, /* time passes beyond the expiry of the record */
	EV_RESTART, /* the issuer restarts */
	EV_COUNT,
};

struct scenario {
	struct fleet_fixture fixture;
	struct policy_orders *orders;
	struct policy_ticket ticket;
	struct policy_run *run;
	struct policy_order *order;
	struct policy_action sent; /* the last attempt */
	bool open; /* the last attempt has no result yet */
	guint may_have_run; /* attempts that ran or may have run */
	guint known_runs; /* attempts that were answered */
	bool reported_not_run;
	bool reported_answered;
	guint restarts;
	const char *first_body; /* that this incarnation ran, or NULL */
};

static const struct policy_orders_limits limits = {
	.records_max = 4,
	.ticket_us = 60000 * MS,
	.record_us = 60000 * MS,
};

static struct policy_orders *create_orders(guint incarnation)
{
	g_autofree char *text = g_strdup_printf("%u", incarnation);

	return policy_orders_create("d1", text, text, &limits);
}

static void close_run(struct scenario *scenario)
{
	policy_run_destroy(scenario->run, scenario->fixture.now_us);
	scenario->run = NULL;
	scenario->open = false;
}

/* Checks that a result reported to a caller is correct and stays so. */
static void report(struct scenario *scenario,
		   const struct policy_order_result *result)
{
	switch (result->outcome) {
	case CS_ANSWERED:
		ck_assert_uint_eq(scenario->known_runs, 1);
		scenario->reported_answered = true;
		break;
	case CS_NOT_RUN:
		ck_assert_uint_eq(scenario->may_have_run, 0);
		scenario->reported_not_run = true;
		break;
	case CS_UNKNOWN:
		break;
	}
}

static void run_actions(struct scenario *scenario)
{
	struct policy_action action;

	while (scenario->run && policy_run_next(scenario->run, &action)) {
		struct policy_order_result result = {0};

		if (action.kind == POLICY_SEND) {
			ck_assert(!scenario->reported_not_run);
			ck_assert_uint_eq(scenario->may_have_run, 0);
			scenario->sent = action;
			scenario->open = true;
			continue;
		}
		result.code = policy_run_result(scenario->run, &result.outcome);
		policy_order_finish(scenario->order, &result);
		report(scenario, &result);
		close_run(scenario);
	}
}

static void submit(struct scenario *scenario, const char *body)
{
	struct policy_order_result refusal = {0};
	struct policy_order *order = NULL;
	int error = 0;

	enum policy_order_decision decision;

	decision = policy_orders_begin(scenario->orders, &scenario->ticket, "o",
				       body, scenario->fixture.now_us, &order,
				       &refusal);
	if (scenario->first_body && scenario->first_body != body)
		ck_assert_int_eq(decision, POLICY_ORDER_REFUSE);
	switch (decision) {
	case POLICY_ORDER_RUN:
		scenario->first_body = body;
		ck_assert_ptr_null(scenario->run);
		scenario->order = order;
		scenario->run = policy_run_create(
			scenario->fixture.fleet, scenario->fixture.orders,
			scenario->fixture.counters,
			scenario->fixture.now_us + 1000 * MS,
			scenario->fixture.now_us, &error);
		ck_assert_int_eq(error, 0);
		run_actions(scenario);
		break;
	case POLICY_ORDER_JOIN:
		ck_assert_ptr_nonnull(scenario->run);
		break;
	case POLICY_ORDER_REPLAY:
		report(scenario, policy_order_result(order));
		break;
	case POLICY_ORDER_REFUSE:
		/* This refusal concerns the other body, not the first one. */
		if (refusal.code != CS_E_TICKET_BODY)
			report(scenario, &refusal);
		break;
	}
}

static void close_attempt(struct scenario *scenario, enum policy_result result)
{
	if (!scenario->open)
		return;
	scenario->open = false;
	if (result == POLICY_DONE)
		scenario->known_runs++;
	if (result != POLICY_UNSENT && result != POLICY_REFUSED)
		scenario->may_have_run++;
	policy_run_closed(scenario->run, scenario->sent.attempt, result,
			  scenario->fixture.now_us);
	run_actions(scenario);
}

static void advance_clock(struct scenario *scenario, gint64 delta_us)
{
	bool was_open = scenario->open;

	fleet_fixture_advance(&scenario->fixture, delta_us);
	if (!scenario->run)
		return;
	if (was_open)
		scenario->may_have_run++;
	scenario->open = false;
	policy_run_tick(scenario->run, scenario->fixture.now_us);
	run_actions(scenario);
}

/* The issuer loses its records; its open attempt may still run. */
static void restart_issuer(struct scenario *scenario)
{
	if (scenario->open)
		scenario->may_have_run++;
	if (scenario->run)
		close_run(scenario);
	policy_orders_destroy(scenario->orders);
	scenario->restarts++;
	scenario->first_body = NULL;
	scenario->orders = create_orders(scenario->restarts);
}

static const char *const body_sent = "{\"pieces\":2}";
static const char *const body_other = "{\"pieces\":3}";

static void step(struct scenario *scenario, enum event event)
{
	switch (event) {
	case EV_SUBMIT:
		submit(scenario, body_sent);
		break;
	case EV_SUBMIT_OTHER:
		submit(scenario, body_other);
		break;
	case EV_DONE:
		close_attempt(scenario, POLICY_DONE);
		break;
	case EV_UNSENT:
		close_attempt(scenario, POLICY_UNSENT);
		break;
	case EV_REFUSED:
		close_attempt(scenario, POLICY_REFUSED);
		break;
	case EV_LOST:
		close_attempt(scenario, POLICY_LOST);
		break;
	case EV_BAD:
		close_attempt(scenario, POLICY_BAD_ANSWER);
		break;
	case EV_TIMEOUT:
		advance_clock(scenario, 200 * MS);
		break;
	case EV_TICKET_EXPIRES:
		advance_clock(scenario, 60001 * MS);
		break;
	case EV_RECORD_EXPIRES:
		advance_clock(scenario, 120002 * MS);
		break;
	case EV_RESTART:
		restart_issuer(scenario);
		break;
	case EV_COUNT:
		break;
	}
	ck_assert_uint_le(scenario->may_have_run, 1);
	if (scenario->reported_not_run)
		ck_assert_uint_eq(scenario->may_have_run, 0);
}

static void check_sequence(const enum event *events, guint n)
{
	struct scenario scenario = {.fixture = fleet_fixture_create(1, 2)};
	g_autofree char *text = NULL;

	fleet_fixture_make_warm(&scenario.fixture);
	scenario.orders = create_orders(0);
	policy_orders_issue(scenario.orders, "o", "n1", scenario.fixture.now_us,
			    &text);
	ck_assert_int_eq(policy_ticket_parse(text, &scenario.ticket), 0);
	for (guint i = 0; i < n; i++)
		step(&scenario, events[i]);
	/* The result of a last submission must be correct as well. */
	step(&scenario, EV_SUBMIT);
	if (scenario.run)
		close_run(&scenario);
	policy_orders_destroy(scenario.orders);
	policy_ticket_clear(&scenario.ticket);
	fleet_fixture_destroy(&scenario.fixture);
}

/*
 * An order that runs twice, or runs after a caller got the result not-run,
 * breaks the guarantee of tickets. Retries, repeated submissions, expiry and a
 * restart of the issuer must not cause it, in whatever sequence they occur.
 */
START_TEST(at_most_once_in_every_sequence)
{
	enum event events[SEQUENCE_LENGTH] = {0};
	guint total = 1;

	for (guint i = 0; i < SEQUENCE_LENGTH; i++)
		total *= EV_COUNT;
	for (guint code = 0; code < total; code++) {
		guint remainder = code;

		for (guint i = 0; i < SEQUENCE_LENGTH; i++) {
			events[i] = remainder % EV_COUNT;
			remainder /= EV_COUNT;
		}
		check_sequence(events, SEQUENCE_LENGTH);
	}
}
END_TEST

/* ---- tickets ---- */

/* A record table and a ticket "n1" that it issued for service "o". */
struct issuer {
	struct policy_orders *orders;
	char *ticket;
};

static struct issuer create_issuer(void)
{
	struct issuer issuer = {.orders = create_orders(7)};

	ck_assert_int_eq(policy_orders_issue(issuer.orders, "o", "n1", 0,
					     &issuer.ticket),
			 0);
	return issuer;
}

static void destroy_issuer(struct issuer *issuer)
{
	policy_orders_destroy(issuer->orders);
	g_free(issuer->ticket);
}

/* Submits an order with a ticket's text; @refusal is set if it is refused. */
static enum policy_order_decision submit_ticket(
	const struct issuer *issuer, const char *text, const char *service,
	gint64 now_us, struct policy_order_result *refusal)
{
	struct policy_ticket ticket;
	struct policy_order *order;
	enum policy_order_decision decision;

	memset(refusal, 0, sizeof(*refusal));
	if (policy_ticket_parse(text, &ticket) != 0) {
		refusal->code = CS_E_TICKET;
		return POLICY_ORDER_REFUSE;
	}
	decision = policy_orders_begin(issuer->orders, &ticket, service, "{}",
				       now_us, &order, refusal);
	policy_ticket_clear(&ticket);
	return decision;
}

START_TEST(forged_and_foreign_tickets_are_refused)
{
	static const struct {
		const char *from;
		const char *to;
		int code;
	} cases[] = {
		{"d1", "d2", CS_E_ISSUER},   {"~7~", "~8~", CS_E_ISSUER},
		{"~o~", "~p~", CS_E_TICKET}, {"n1", "n2", CS_E_TICKET},
		{"~", "", CS_E_TICKET},	     {"n1~", "n1~0", CS_E_TICKET},
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct issuer issuer = create_issuer();
		GString *text = g_string_new(issuer.ticket);
		struct policy_order_result refusal;

		g_string_replace(text, cases[i].from, cases[i].to, 1);
		ck_assert_int_eq(
			submit_ticket(&issuer, text->str, "o", 0, &refusal),
			POLICY_ORDER_REFUSE);
		ck_assert_msg(refusal.code == cases[i].code, "case %u", i);
		g_string_free(text, TRUE);
		destroy_issuer(&issuer);
	}
}
END_TEST

/* The refused attempt must not use up the ticket. */
START_TEST(a_ticket_is_for_its_service_only)
{
	struct issuer issuer = create_issuer();
	struct policy_order_result refusal;

	ck_assert_int_eq(
		submit_ticket(&issuer, issuer.ticket, "other", 0, &refusal),
		POLICY_ORDER_REFUSE);
	ck_assert_int_eq(refusal.code, CS_E_TICKET);
	ck_assert_int_eq(
		submit_ticket(&issuer, issuer.ticket, "o", 0, &refusal),
		POLICY_ORDER_RUN);
	destroy_issuer(&issuer);
}
END_TEST

START_TEST(an_expired_ticket_never_runs)
{
	static const struct {
		gint64 at_us;
		enum cs_outcome outcome;
	} cases[] = {
		{60000 * MS, CS_NOT_RUN}, /* the record proves it */
		{120000 * MS, CS_UNKNOWN}, /* the record is gone */
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct issuer issuer = create_issuer();
		struct policy_order_result refusal;

		ck_assert_int_eq(submit_ticket(&issuer, issuer.ticket, "o",
					       cases[i].at_us, &refusal),
				 POLICY_ORDER_REFUSE);
		ck_assert_int_eq(refusal.code, CS_E_TICKET_EXPIRED);
		ck_assert_int_eq(refusal.outcome, cases[i].outcome);
		destroy_issuer(&issuer);
	}
}
END_TEST

START_TEST(a_full_table_refuses_tickets_and_drops_no_record)
{
	struct issuer issuer = create_issuer();
	struct policy_order_result refusal;
	char *more;

	for (guint i = 1; i < 4; i++) {
		g_autofree char *nonce = g_strdup_printf("m%u", i);

		ck_assert_int_eq(policy_orders_issue(issuer.orders, "o", nonce,
						     0, &more),
				 0);
		g_free(more);
	}
	ck_assert_int_eq(
		policy_orders_issue(issuer.orders, "o", "m4", 0, &more),
		CS_E_TICKET_FULL);
	ck_assert_int_eq(
		submit_ticket(&issuer, issuer.ticket, "o", 0, &refusal),
		POLICY_ORDER_RUN);
	ck_assert_uint_eq(policy_orders_count(issuer.orders), 4);
	policy_orders_expire(issuer.orders, 120000 * MS);
	/* The oldest order is running: it is kept, and so are newer ones. */
	ck_assert_uint_eq(policy_orders_count(issuer.orders), 4);
	destroy_issuer(&issuer);
}
END_TEST

/* ---- runs ---- */

/*
 * A hedge could run the order twice. Ending the run at the caller's deadline
 * would report an unknown outcome although the answer may still be received.
 */
START_TEST(an_order_is_never_hedged_and_waits_for_its_answer)
{
	struct fleet_fixture fixture = fleet_fixture_create(1, 2);
	struct policy_action action;
	struct policy_run *run;
	int error;

	fleet_fixture_make_warm(&fixture);
	run = policy_run_create(fixture.fleet, fixture.orders, fixture.counters,
				fixture.now_us + 50 * MS, fixture.now_us,
				&error);
	ck_assert(policy_run_next(run, &action));
	ck_assert_int_eq(action.kind, POLICY_SEND);
	/* The caller's deadline passes; the attempt stays open. */
	fleet_fixture_advance(&fixture, 99 * MS);
	policy_run_tick(run, fixture.now_us);
	ck_assert(!policy_run_next(run, &action));
	policy_run_closed(run, 1, POLICY_DONE, fixture.now_us);
	ck_assert(policy_run_next(run, &action));
	ck_assert_int_eq(action.kind, POLICY_FINISH);
	policy_run_destroy(run, fixture.now_us);
	fleet_fixture_destroy(&fixture);
}
END_TEST

/*
 * A daemon that wakes up late finds a free slot and the deadline passed at the
 * same time: it must not send the order then.
 */
START_TEST(a_run_without_capacity_is_not_run_at_its_deadline)
{
	struct fleet_fixture fixture = fleet_fixture_create(1, 1);
	struct policy_upstream *upstream;
	struct policy_action action;
	enum cs_outcome outcome;
	struct policy_run *run;
	int error;

	fleet_fixture_make_warm(&fixture);
	upstream = fleet_fixture_upstream(&fixture, "o0-0");
	upstream->inflight = 8;
	run = policy_run_create(fixture.fleet, fixture.orders, fixture.counters,
				fixture.now_us + 50 * MS, fixture.now_us,
				&error);
	ck_assert(!policy_run_next(run, &action));
	fixture.now_us += 5000 * MS; /* the daemon was suspended */
	upstream->inflight = 0;
	policy_run_tick(run, fixture.now_us);
	ck_assert(policy_run_next(run, &action));
	ck_assert_int_eq(action.kind, POLICY_FINISH);
	ck_assert_int_eq(policy_run_result(run, &outcome), CS_E_DEADLINE);
	ck_assert_int_eq(outcome, CS_NOT_RUN);
	policy_run_destroy(run, fixture.now_us);
	fleet_fixture_destroy(&fixture);
}
END_TEST

UNIT_MAIN("orders", at_most_once_in_every_sequence,
	  forged_and_foreign_tickets_are_refused,
	  a_ticket_is_for_its_service_only, an_expired_ticket_never_runs,
	  a_full_table_refuses_tickets_and_drops_no_record,
	  an_order_is_never_hedged_and_waits_for_its_answer,
	  a_run_without_capacity_is_not_run_at_its_deadline)
