/* Orders at most once: every sequence of small cases, and the single rules. */
#include "unit.h"

#include <string.h>

#define DEPTH 5

/* What may happen next, in the exhaustive walk. */
enum event {
	EV_PUT, /* the order comes, first or again, direct or forwarded */
	EV_PUT_OTHER, /* the same ticket with another body */
	EV_DONE, /* the open attempt is answered */
	EV_UNSENT, /* ... could not be sent */
	EV_REFUSED, /* ... was refused with proof */
	EV_LOST, /* ... was reset; it may have run */
	EV_BAD, /* ... was answered with garbage; it ran */
	EV_SLEEP, /* time passes, beyond every attempt's timeout */
	EV_EXPIRE, /* time passes, beyond the ticket's life */
	EV_FORGET, /* time passes, beyond the record's life */
	EV_CRASH, /* the issuer restarts */
	EV_COUNT,
};

struct walk {
	struct world world;
	struct policy_orders *orders;
	struct policy_ticket ticket;
	struct policy_run *run;
	struct policy_order *order;
	struct policy_action sent;
	bool open;
	guint may_have_run; /* attempts that ran or may have run */
	guint known_runs; /* attempts that were answered */
	bool said_not_run;
	bool said_answered;
	guint restarts;
	const char *first_body; /* that this issuer began with */
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

static void close_run(struct walk *walk)
{
	policy_run_destroy(walk->run, walk->world.now_us);
	walk->run = NULL;
	walk->open = false;
}

/* A result goes to a caller: it must be true, now and for ever. */
static void say(struct walk *walk, const struct policy_order_result *result)
{
	switch (result->outcome) {
	case CS_ANSWERED:
		ck_assert_uint_eq(walk->known_runs, 1);
		walk->said_answered = true;
		break;
	case CS_NOT_RUN:
		ck_assert_uint_eq(walk->may_have_run, 0);
		walk->said_not_run = true;
		break;
	case CS_UNKNOWN:
		break;
	}
}

static void drain(struct walk *walk)
{
	struct policy_action action;

	while (walk->run && policy_run_next(walk->run, &action)) {
		struct policy_order_result result = {0};

		if (action.kind == POLICY_SEND) {
			ck_assert(!walk->said_not_run);
			ck_assert_uint_eq(walk->may_have_run, 0);
			walk->sent = action;
			walk->open = true;
			continue;
		}
		result.code = policy_run_result(walk->run, &result.outcome);
		policy_order_finish(walk->order, &result);
		say(walk, &result);
		close_run(walk);
	}
}

static void put(struct walk *walk, const char *body)
{
	struct policy_order_result refusal = {0};
	struct policy_order *order = NULL;
	int error = 0;

	enum policy_order_verdict verdict;

	verdict = policy_orders_begin(walk->orders, &walk->ticket, "o", body,
				      walk->world.now_us, &order, &refusal);
	if (walk->first_body && walk->first_body != body)
		ck_assert_int_eq(verdict, POLICY_ORDER_REFUSE);
	switch (verdict) {
	case POLICY_ORDER_RUN:
		walk->first_body = body;
		ck_assert_ptr_null(walk->run);
		walk->order = order;
		walk->run = policy_run_create(
			walk->world.fleet, walk->world.orders,
			walk->world.counters, walk->world.now_us + 1000 * MS,
			walk->world.now_us, &error);
		ck_assert_int_eq(error, 0);
		drain(walk);
		break;
	case POLICY_ORDER_JOIN:
		ck_assert_ptr_nonnull(walk->run);
		break;
	case POLICY_ORDER_REPLAY:
		say(walk, policy_order_result(order));
		break;
	case POLICY_ORDER_REFUSE:
		/* Another body never runs; that says nothing of the first. */
		if (refusal.code != CS_E_TICKET_BODY)
			say(walk, &refusal);
		break;
	}
}

static void close_attempt(struct walk *walk, enum policy_result result)
{
	if (!walk->open)
		return;
	walk->open = false;
	if (result == POLICY_DONE)
		walk->known_runs++;
	if (result != POLICY_UNSENT && result != POLICY_REFUSED)
		walk->may_have_run++;
	policy_run_closed(walk->run, walk->sent.attempt, result,
			  walk->world.now_us);
	drain(walk);
}

static void let_pass(struct walk *walk, gint64 delta_us)
{
	bool was_open = walk->open;

	world_pass(&walk->world, delta_us);
	if (!walk->run)
		return;
	if (was_open)
		walk->may_have_run++;
	walk->open = false;
	policy_run_tick(walk->run, walk->world.now_us);
	drain(walk);
}

/* All that the issuer knew is gone; its open attempt may still run. */
static void crash(struct walk *walk)
{
	if (walk->open)
		walk->may_have_run++;
	if (walk->run)
		close_run(walk);
	policy_orders_destroy(walk->orders);
	walk->restarts++;
	walk->first_body = NULL;
	walk->orders = create_orders(walk->restarts);
}

static const char *const body_sent = "{\"pieces\":2}";
static const char *const body_other = "{\"pieces\":3}";

static void step(struct walk *walk, enum event event)
{
	switch (event) {
	case EV_PUT:
		put(walk, body_sent);
		break;
	case EV_PUT_OTHER:
		put(walk, body_other);
		break;
	case EV_DONE:
		close_attempt(walk, POLICY_DONE);
		break;
	case EV_UNSENT:
		close_attempt(walk, POLICY_UNSENT);
		break;
	case EV_REFUSED:
		close_attempt(walk, POLICY_REFUSED);
		break;
	case EV_LOST:
		close_attempt(walk, POLICY_LOST);
		break;
	case EV_BAD:
		close_attempt(walk, POLICY_BAD);
		break;
	case EV_SLEEP:
		let_pass(walk, 200 * MS);
		break;
	case EV_EXPIRE:
		let_pass(walk, 60001 * MS);
		break;
	case EV_FORGET:
		let_pass(walk, 120002 * MS);
		break;
	case EV_CRASH:
		crash(walk);
		break;
	case EV_COUNT:
		break;
	}
	ck_assert_uint_le(walk->may_have_run, 1);
	if (walk->said_not_run)
		ck_assert_uint_eq(walk->may_have_run, 0);
}

static void check_sequence(const enum event *events, guint n)
{
	struct walk walk = {.world = world_create(1, 2)};
	g_autofree char *text = NULL;

	world_warm(&walk.world);
	walk.orders = create_orders(0);
	policy_orders_issue(walk.orders, "o", "n1", walk.world.now_us, &text);
	ck_assert_int_eq(policy_ticket_parse(text, &walk.ticket), 0);
	for (guint i = 0; i < n; i++)
		step(&walk, events[i]);
	/* At the end the order is sent once more: the answer must be true. */
	step(&walk, EV_PUT);
	if (walk.run)
		close_run(&walk);
	policy_orders_destroy(walk.orders);
	policy_ticket_clear(&walk.ticket);
	world_destroy(&walk.world);
}

START_TEST(at_most_once_in_every_sequence)
{
	enum event events[DEPTH] = {0};
	guint total = 1;

	for (guint i = 0; i < DEPTH; i++)
		total *= EV_COUNT;
	for (guint code = 0; code < total; code++) {
		guint rest = code;

		for (guint i = 0; i < DEPTH; i++) {
			events[i] = rest % EV_COUNT;
			rest /= EV_COUNT;
		}
		check_sequence(events, DEPTH);
	}
}
END_TEST

/* ---- tickets ---- */

struct desk {
	struct policy_orders *orders;
	char *text;
};

static struct desk open_desk(void)
{
	struct desk desk = {.orders = create_orders(7)};

	ck_assert_int_eq(
		policy_orders_issue(desk.orders, "o", "n1", 0, &desk.text), 0);
	return desk;
}

static void close_desk(struct desk *desk)
{
	policy_orders_destroy(desk->orders);
	g_free(desk->text);
}

static enum policy_order_verdict use(const struct desk *desk, const char *text,
				     const char *service, gint64 now_us,
				     struct policy_order_result *refusal)
{
	struct policy_ticket ticket;
	struct policy_order *order;
	enum policy_order_verdict verdict;

	memset(refusal, 0, sizeof(*refusal));
	if (policy_ticket_parse(text, &ticket) != 0) {
		refusal->code = CS_E_TICKET;
		return POLICY_ORDER_REFUSE;
	}
	verdict = policy_orders_begin(desk->orders, &ticket, service, "{}",
				      now_us, &order, refusal);
	policy_ticket_clear(&ticket);
	return verdict;
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
		struct desk desk = open_desk();
		GString *text = g_string_new(desk.text);
		struct policy_order_result refusal;

		g_string_replace(text, cases[i].from, cases[i].to, 1);
		ck_assert_int_eq(use(&desk, text->str, "o", 0, &refusal),
				 POLICY_ORDER_REFUSE);
		ck_assert_msg(refusal.code == cases[i].code, "case %u", i);
		g_string_free(text, TRUE);
		close_desk(&desk);
	}
}
END_TEST

START_TEST(a_ticket_is_for_its_service_only)
{
	struct desk desk = open_desk();
	struct policy_order_result refusal;

	ck_assert_int_eq(use(&desk, desk.text, "other", 0, &refusal),
			 POLICY_ORDER_REFUSE);
	ck_assert_int_eq(refusal.code, CS_E_TICKET);
	ck_assert_int_eq(use(&desk, desk.text, "o", 0, &refusal),
			 POLICY_ORDER_RUN);
	close_desk(&desk);
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
		struct desk desk = open_desk();
		struct policy_order_result refusal;

		ck_assert_int_eq(
			use(&desk, desk.text, "o", cases[i].at_us, &refusal),
			POLICY_ORDER_REFUSE);
		ck_assert_int_eq(refusal.code, CS_E_TICKET_EXPIRED);
		ck_assert_int_eq(refusal.outcome, cases[i].outcome);
		close_desk(&desk);
	}
}
END_TEST

START_TEST(a_full_table_refuses_tickets_and_drops_no_record)
{
	struct desk desk = open_desk();
	struct policy_order_result refusal;
	char *more;

	for (guint i = 1; i < 4; i++) {
		g_autofree char *nonce = g_strdup_printf("m%u", i);

		ck_assert_int_eq(
			policy_orders_issue(desk.orders, "o", nonce, 0, &more),
			0);
		g_free(more);
	}
	ck_assert_int_eq(policy_orders_issue(desk.orders, "o", "m4", 0, &more),
			 CS_E_TICKET_FULL);
	ck_assert_int_eq(use(&desk, desk.text, "o", 0, &refusal),
			 POLICY_ORDER_RUN);
	ck_assert_uint_eq(policy_orders_count(desk.orders), 4);
	policy_orders_expire(desk.orders, 120000 * MS);
	/* The oldest still runs: it is kept, and so are those behind it. */
	ck_assert_uint_eq(policy_orders_count(desk.orders), 4);
	close_desk(&desk);
}
END_TEST

/* ---- runs ---- */

START_TEST(an_order_is_never_hedged_and_waits_for_its_answer)
{
	struct world world = world_create(1, 2);
	struct policy_action action;
	struct policy_run *run;
	int error;

	world_warm(&world);
	run = policy_run_create(world.fleet, world.orders, world.counters,
				world.now_us + 50 * MS, world.now_us, &error);
	ck_assert(policy_run_next(run, &action));
	ck_assert_int_eq(action.kind, POLICY_SEND);
	/* The caller's deadline passes; the attempt stays open. */
	world_pass(&world, 99 * MS);
	policy_run_tick(run, world.now_us);
	ck_assert(!policy_run_next(run, &action));
	policy_run_closed(run, 1, POLICY_DONE, world.now_us);
	ck_assert(policy_run_next(run, &action));
	ck_assert_int_eq(action.kind, POLICY_FINISH);
	policy_run_destroy(run, world.now_us);
	world_destroy(&world);
}
END_TEST

START_TEST(a_run_without_room_is_not_run_at_its_deadline)
{
	struct world world = world_create(1, 1);
	struct policy_upstream *upstream;
	struct policy_action action;
	enum cs_outcome outcome;
	struct policy_run *run;
	int error;

	world_warm(&world);
	upstream = world_upstream(&world, "o0-0");
	upstream->inflight = 8;
	run = policy_run_create(world.fleet, world.orders, world.counters,
				world.now_us + 50 * MS, world.now_us, &error);
	ck_assert(!policy_run_next(run, &action));
	world.now_us += 5000 * MS; /* asleep, then room at once */
	upstream->inflight = 0;
	policy_run_tick(run, world.now_us);
	ck_assert(policy_run_next(run, &action));
	ck_assert_int_eq(action.kind, POLICY_FINISH);
	ck_assert_int_eq(policy_run_result(run, &outcome), CS_E_DEADLINE);
	ck_assert_int_eq(outcome, CS_NOT_RUN);
	policy_run_destroy(run, world.now_us);
	world_destroy(&world);
}
END_TEST

UNIT_MAIN("orders", at_most_once_in_every_sequence,
	  forged_and_foreign_tickets_are_refused,
	  a_ticket_is_for_its_service_only, an_expired_ticket_never_runs,
	  a_full_table_refuses_tickets_and_drops_no_record,
	  an_order_is_never_hedged_and_waits_for_its_answer,
	  a_run_without_room_is_not_run_at_its_deadline)
