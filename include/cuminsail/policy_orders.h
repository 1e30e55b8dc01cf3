/**
 * policy_orders.h - orders that run at most once, without persistent storage
 *
 * A ticket names the daemon that issued it, the incarnation of that daemon, the
 * service and a random number, and carries a keyed hash (MAC) of them. Only the
 * issuer, in the same incarnation, runs the order of a ticket. The issuer keeps
 * a record of each ticket, in memory, from the issue until the ticket has been
 * expired for the record time; it never removes a record earlier. A result that
 * was reported as not-run is final: the order never runs afterwards.
 */
#ifndef CUMINSAIL_POLICY_ORDERS_H
#define CUMINSAIL_POLICY_ORDERS_H

#include "cuminsail/error.h"
#include "cuminsail/policy_query.h"

/** The fields of a ticket. */
struct policy_ticket {
	char *issuer;
	char *incarnation;
	char *service;
	char *nonce;
	char *mac;
};

/**
 * policy_ticket_parse - split the text of a ticket into its fields
 * @text: any text
 * @ticket: set to the fields; free them with policy_ticket_clear()
 *
 * The MAC is not verified, because only the issuer has the key.
 *
 * Return: 0, or CS_E_TICKET if the text does not have the form of a ticket.
 */
int policy_ticket_parse(const char *text, struct policy_ticket *ticket);

/**
 * policy_ticket_clear - free the fields of a ticket
 * @ticket: as filled by policy_ticket_parse()
 */
void policy_ticket_clear(struct policy_ticket *ticket);

struct policy_orders;
struct policy_order;

/** Settings of the record table. */
struct policy_orders_limits {
	gint64 records_max; /* most records at once */
	gint64 ticket_us; /* time from the issue to the expiry of a ticket */
	gint64 record_us; /* how long a record is kept after the expiry */
};

/**
 * policy_orders_create - create an empty record table
 * @issuer: id of this daemon
 * @incarnation: incarnation of this daemon, different at each start
 * @key: secret key of the MAC, NUL-terminated, different at each start
 * @limits: settings, copied
 *
 * Return: a new table, owned by the caller.
 */
struct policy_orders *policy_orders_create(
	const char *issuer, const char *incarnation, const char *key,
	const struct policy_orders_limits *limits);

/**
 * policy_orders_destroy - free a record table
 * @orders: a table or NULL
 */
void policy_orders_destroy(struct policy_orders *orders);

/**
 * policy_orders_issue - issue a ticket and reserve its record
 * @orders: a table
 * @service: name of the service the order is for
 * @nonce: random string of hexadecimal digits, never used before
 * @now_us: current time
 * @text: set to a new string with the ticket; the caller frees it
 *
 * Return: 0, or CS_E_TICKET_FULL if the table holds records_max records.
 */
int policy_orders_issue(struct policy_orders *orders, const char *service,
			const char *nonce, gint64 now_us, char **text);

/** How to handle an order that was received with a ticket. */
enum policy_order_decision {
	POLICY_ORDER_RUN, /* run it, then call policy_order_finish() */
	POLICY_ORDER_JOIN, /* it is running: wait for the result */
	POLICY_ORDER_REPLAY, /* it is finished: report the recorded result */
	POLICY_ORDER_REFUSE, /* report the code and outcome in @refusal */
};

/** Result of an order. */
struct policy_order_result {
	int code;
	enum cs_outcome outcome;
	char *body; /* the upstream's answer, or NULL */
};

/**
 * policy_orders_begin - decide how to handle an order received with a ticket
 * @orders: a table
 * @ticket: fields of the ticket
 * @service: the service that the order was sent to
 * @body: body of the order
 * @now_us: current time
 * @order: set to the record of the ticket; not valid if the order is refused
 * @refusal: set to code and outcome if the order is refused
 *
 * An order is refused with CS_E_ISSUER and unknown outcome if the ticket is of
 * another daemon or incarnation; with CS_E_TICKET and not-run if the MAC or the
 * service does not match; with CS_E_TICKET_EXPIRED and unknown outcome if the
 * ticket has no record any more; with CS_E_TICKET_EXPIRED and not-run if the
 * record shows that it never ran; with CS_E_TICKET_BODY and not-run if the
 * ticket was used with another body.
 *
 * Return: how to handle the order.
 */
enum policy_order_decision policy_orders_begin(
	struct policy_orders *orders, const struct policy_ticket *ticket,
	const char *service, const char *body, gint64 now_us,
	struct policy_order **order, struct policy_order_result *refusal);

/**
 * policy_order_finish - record the result of an order; once for each run
 * @order: a record for which policy_orders_begin() returned POLICY_ORDER_RUN
 * @result: the result, copied
 */
void policy_order_finish(struct policy_order *order,
			 const struct policy_order_result *result);

/**
 * policy_order_result - get the recorded result
 * @order: a record
 *
 * Return: owned by the record; NULL unless the order is finished.
 */
const struct policy_order_result *policy_order_result(
	const struct policy_order *order);

/**
 * policy_orders_expire - remove records whose record time has passed
 * @orders: a table
 * @now_us: current time
 */
void policy_orders_expire(struct policy_orders *orders, gint64 now_us);

/**
 * policy_orders_count - count the records
 * @orders: a table
 *
 * Return: their number.
 */
guint policy_orders_count(const struct policy_orders *orders);

/* ---- runs: sending one order to upstreams ---- */

struct policy_run;

/**
 * policy_run_create - admit and start one run of an order
 * @fleet: a fleet with a configuration and a list
 * @service: one of its services, of kind CONFIG_ORDER
 * @counters: counters to add to
 * @deadline_us: no attempt is sent from this time on; the answer may be
 *	received later, up to the service's part_timeout_ms after the sending
 * @now_us: current time
 * @error: set to 0, CS_E_OVERLOAD or CS_E_DEADLINE
 *
 * policy_run_next() returns the actions to take: POLICY_SEND and POLICY_FINISH.
 * At most one attempt is open at any time, and another is sent only on proof
 * that the last one did not run.
 *
 * Return: a new run, or NULL if @error is not 0.
 */
struct policy_run *policy_run_create(struct policy_fleet *fleet,
				     struct policy_service *service,
				     struct cs_counters *counters,
				     gint64 deadline_us, gint64 now_us,
				     int *error);

/**
 * policy_run_destroy - free a run
 * @run: a run or NULL
 * @now_us: current time
 */
void policy_run_destroy(struct policy_run *run, gint64 now_us);

/**
 * policy_run_next - get the next action
 * @run: a run
 * @action: set to the action
 *
 * Return: false if there is none.
 */
bool policy_run_next(struct policy_run *run, struct policy_action *action);

/**
 * policy_run_closed - record the result of the open attempt
 * @run: a run
 * @attempt: number of the attempt; the call is ignored for any other attempt
 *	than the open one
 * @result: POLICY_DONE, or how the attempt failed
 * @now_us: current time
 */
void policy_run_closed(struct policy_run *run, gint64 attempt,
		       enum policy_result result, gint64 now_us);

/**
 * policy_run_tick - apply the timeout and the deadline, or try to send again
 * @run: a run
 * @now_us: current time
 */
void policy_run_tick(struct policy_run *run, gint64 now_us);

/**
 * policy_run_next_tick_us - get the time of the next policy_run_tick()
 * @run: a run
 *
 * Return: the time on the daemon's clock, in microseconds.
 */
gint64 policy_run_next_tick_us(const struct policy_run *run);

/**
 * policy_run_upstream - get the upstream of the open attempt
 * @run: a run
 *
 * Return: the upstream, or NULL if no attempt is open.
 */
struct policy_upstream *policy_run_upstream(const struct policy_run *run);

/**
 * policy_run_attempt - get the number of the last attempt
 * @run: a run
 *
 * Return: 0 if none was sent yet.
 */
gint64 policy_run_attempt(const struct policy_run *run);

/**
 * policy_run_result - get the result of a run, after POLICY_FINISH
 * @run: a run
 * @outcome: set to the outcome
 *
 * Return: 0 or a negative error code.
 */
int policy_run_result(const struct policy_run *run, enum cs_outcome *outcome);

#endif
