/**
 * policy_orders.h - orders that run at most once, with nothing stored
 *
 * A ticket names the daemon that issued it, that daemon's incarnation and a
 * random number, and carries a keyed hash. Only the issuer, in the same
 * incarnation, runs a ticket; it keeps a record from the issue until the
 * ticket has been expired for the record time, and never drops one early. A
 * result once reported as not-run is final: the ticket never runs afterwards.
 */
#ifndef CUMINSAIL_POLICY_ORDERS_H
#define CUMINSAIL_POLICY_ORDERS_H

#include "cuminsail/error.h"
#include "cuminsail/policy_query.h"

/** What a ticket's text says. */
struct policy_ticket {
	char *issuer;
	char *incarnation;
	char *service;
	char *nonce;
	char *mac;
};

/**
 * policy_ticket_parse - take a ticket's text apart
 * @text: any text
 * @ticket: where to put the parts; for policy_ticket_clear()
 *
 * Return: 0 or CS_E_TICKET. The keyed hash is not checked: only the issuer
 * can.
 */
int policy_ticket_parse(const char *text, struct policy_ticket *ticket);

/**
 * policy_ticket_clear - free the parts of a ticket
 * @ticket: as filled by policy_ticket_parse()
 */
void policy_ticket_clear(struct policy_ticket *ticket);

struct policy_orders;
struct policy_order;

/** Settings of the record table. */
struct policy_orders_limits {
	gint64 records_max;
	gint64 ticket_us; /* life of a ticket */
	gint64 record_us; /* how long its record outlives it */
};

/**
 * policy_orders_create - an empty record table
 * @issuer: id of this daemon
 * @incarnation: its incarnation, another at each start
 * @key: secret of the keyed hash, NUL-ended, another at each start
 * @limits: settings, copied
 *
 * Return: a new table, owned by the caller.
 */
struct policy_orders *policy_orders_create(
	const char *issuer, const char *incarnation, const char *key,
	const struct policy_orders_limits *limits);

/**
 * policy_orders_destroy - free a table
 * @orders: a table or NULL
 */
void policy_orders_destroy(struct policy_orders *orders);

/**
 * policy_orders_issue - issue a ticket and reserve its record
 * @orders: a table
 * @service: name of the service the order is for
 * @nonce: random text of hexadecimal digits, never used before
 * @now_us: the clock
 * @text: where to put a new string with the ticket
 *
 * Return: 0, or CS_E_TICKET_FULL.
 */
int policy_orders_issue(struct policy_orders *orders, const char *service,
			const char *nonce, gint64 now_us, char **text);

/** What to do with an order that came with a ticket. */
enum policy_order_verdict {
	POLICY_ORDER_RUN, /* run it now, then policy_order_finish() */
	POLICY_ORDER_JOIN, /* it runs: wait for the result */
	POLICY_ORDER_REPLAY, /* it ran: give the recorded result */
	POLICY_ORDER_REFUSE, /* give the code and outcome put in @refusal */
};

/** A result of an order, as recorded and as reported. */
struct policy_order_result {
	int code;
	enum cs_outcome outcome;
	char *body; /* the upstream's answer, or NULL */
};

/**
 * policy_orders_begin - an order came with a ticket of this daemon
 * @orders: a table
 * @ticket: the ticket's parts
 * @service: the service it was sent to
 * @body: the order
 * @now_us: the clock
 * @order: where to put the record, unless refused
 * @refusal: where to put code and outcome when refused
 *
 * Return: what to do.
 */
enum policy_order_verdict policy_orders_begin(
	struct policy_orders *orders, const struct policy_ticket *ticket,
	const char *service, const char *body, gint64 now_us,
	struct policy_order **order, struct policy_order_result *refusal);

/**
 * policy_order_finish - record the result of a run; once for each run
 * @order: a record that was begun with POLICY_ORDER_RUN
 * @result: copied
 */
void policy_order_finish(struct policy_order *order,
			 const struct policy_order_result *result);

/**
 * policy_order_result - the recorded result
 * @order: a record
 *
 * Return: owned by the record; NULL while it runs or has not begun.
 */
const struct policy_order_result *policy_order_result(
	const struct policy_order *order);

/**
 * policy_orders_expire - drop records whose time has passed
 * @orders: a table
 * @now_us: the clock
 */
void policy_orders_expire(struct policy_orders *orders, gint64 now_us);

/**
 * policy_orders_count - records held
 * @orders: a table
 *
 * Return: their number.
 */
guint policy_orders_count(const struct policy_orders *orders);

/* ---- the run of one order at the upstreams ---- */

struct policy_run;

/**
 * policy_run_create - admit one run of an order
 * @fleet: a fleet with a configuration and a list
 * @service: one of its services, of kind CONFIG_ORDER
 * @deadline_us: when it must have been sent; the answer may come later, up to
 *	the service's part_timeout_ms after the sending
 * @now_us: the clock
 * @error: where to put the refusal
 *
 * Actions come out of policy_run_next(): POLICY_SEND and POLICY_FINISH. There
 * is never more than one attempt open, and another is sent only on proof that
 * the last did not run.
 *
 * Return: a new run, or NULL with CS_E_OVERLOAD or CS_E_DEADLINE.
 */
struct policy_run *policy_run_create(struct policy_fleet *fleet,
				     struct policy_service *service,
				     struct cs_counters *counters,
				     gint64 deadline_us, gint64 now_us,
				     int *error);

/**
 * policy_run_destroy - free a run
 * @run: a run or NULL
 * @now_us: the clock
 */
void policy_run_destroy(struct policy_run *run, gint64 now_us);

/**
 * policy_run_next - take the next action
 * @run: a run
 * @action: where to put it
 *
 * Return: false when there is none.
 */
bool policy_run_next(struct policy_run *run, struct policy_action *action);

/**
 * policy_run_closed - the open attempt is over
 * @run: a run
 * @attempt: its number; another number than the open one's is ignored
 * @result: POLICY_DONE, or how it failed
 * @now_us: the clock
 */
void policy_run_closed(struct policy_run *run, gint64 attempt,
		       enum policy_result result, gint64 now_us);

/**
 * policy_run_tick - look at the clock
 * @run: a run
 * @now_us: the clock
 */
void policy_run_tick(struct policy_run *run, gint64 now_us);

/**
 * policy_run_wake - when the next tick is due
 * @run: a run
 *
 * Return: a time on the clock.
 */
gint64 policy_run_wake(const struct policy_run *run);

/**
 * policy_run_upstream - whom the open attempt asks
 * @run: a run
 *
 * Return: the upstream, or NULL.
 */
struct policy_upstream *policy_run_upstream(const struct policy_run *run);

/**
 * policy_run_attempt - number of the last attempt
 * @run: a run
 *
 * Return: 0 if none was sent yet.
 */
gint64 policy_run_attempt(const struct policy_run *run);

/**
 * policy_run_result - what the run came to, after POLICY_FINISH
 * @run: a run
 * @outcome: where to put the outcome
 *
 * Return: 0 or a negative code.
 */
int policy_run_result(const struct policy_run *run, enum cs_outcome *outcome);

#endif
