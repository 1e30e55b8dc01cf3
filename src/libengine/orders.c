/*
 * Tickets and orders. The daemon that issued a ticket runs its order; any other
 * daemon forwards the order to the issuer.
 */
#include "order_waits.h"

#include <string.h>

/*
 * The run of one order at the upstreams. The waits for its result are in the
 * engine's order_waits, with the same order.
 */
struct order_job {
	TAILQ_ENTRY(order_job) link;
	struct cs_timer timer;
	struct engine *engine;
	struct policy_service *service;
	struct policy_order *order;
	struct policy_run *run;
	struct upstream_call *call;
	char *request_id;
	json_t *body;
	char *answer; /* the upstream's, or NULL */
};

#define job_of(ptr)                                                            \
	((struct order_job *)((char *)(ptr)-offsetof(struct order_job, timer)))

/* ---- the run ---- */

static void free_order_job(struct order_job *job)
{
	struct engine *engine = job->engine;

	cs_timer_disarm(engine->clock, &job->timer);
	if (job->call)
		upstream_call_destroy(job->call);
	TAILQ_REMOVE(&engine->order_jobs, job, link);
	policy_run_destroy(job->run, engine_now(engine));
	json_decref(job->body);
	g_free(job->request_id);
	g_free(job->answer);
	g_free(job);
}

static void count_result(struct engine *engine, enum cs_outcome outcome)
{
	switch (outcome) {
	case CS_ANSWERED:
		cs_counters_add(engine->counters, CS_N_ORDERS, 1);
		break;
	case CS_NOT_RUN:
		cs_counters_add(engine->counters, CS_N_ORDERS_NOT_RUN, 1);
		break;
	case CS_UNKNOWN:
		cs_counters_add(engine->counters, CS_N_ORDERS_UNKNOWN, 1);
		break;
	}
}

static void finish_run(struct order_job *job)
{
	struct engine *engine = job->engine;
	struct policy_order *order = job->order;
	struct policy_order_result result = {.body = job->answer};

	result.code = policy_run_result(job->run, &result.outcome);
	count_result(engine, result.outcome);
	cs_log(LOG_INFO, "order", "request", job->request_id, "service",
	       policy_service_config(job->service)->name, "outcome",
	       cs_outcome_name(result.outcome), "reason",
	       cs_error_name(result.code), NULL);
	policy_order_finish(order, &result);
	order_wait_finish_all(engine, order, policy_order_result(order));
	free_order_job(job);
}

static void run_actions(struct order_job *job);

static void on_reply(struct upstream_call *call, struct upstream_reply *reply,
		     void *user)
{
	struct order_job *job = user;
	struct engine *engine = job->engine;
	struct policy_service *service = job->service;
	struct policy_upstream *upstream = policy_run_upstream(job->run);
	struct policy_upstream_report report = {
		.incarnation = reply->incarnation,
		.draining = reply->draining,
		.cold = reply->cold,
	};

	job->call = NULL;
	if (upstream)
		policy_upstream_apply_report(engine->fleet, upstream, &report);
	job->answer = g_steal_pointer(&reply->body);
	policy_run_closed(job->run, policy_run_attempt(job->run), reply->result,
			  engine_now(engine));
	run_actions(job);
	engine_wake_waiters(engine, service);
}

static void send_order(struct order_job *job,
		       const struct policy_action *action)
{
	struct upstream_request request = {
		.service = policy_service_config(job->service)->name,
		.address = action->upstream->address,
		.request_id = job->request_id,
		.attempt = action->attempt,
		.incarnation = action->upstream->incarnation,
		.deadline_us = action->deadline_us,
		.connections_max = (gint64)action->upstream->limit + 1,
		.body = job->body,
	};

	job->call = upstream_call_create(job->engine->upstreams, &request,
					 on_reply, job);
}

static void cancel_call(struct order_job *job)
{
	if (job->call)
		upstream_call_destroy(job->call);
	job->call = NULL;
}

/*
 * Carries out the pending actions of the policy and arms the timer for the next
 * tick. Frees the job when the run has finished.
 */
static void run_actions(struct order_job *job)
{
	struct policy_action action;

	while (policy_run_next(job->run, &action)) {
		switch (action.kind) {
		case POLICY_SEND:
			send_order(job, &action);
			break;
		case POLICY_CANCEL:
			cancel_call(job);
			break;
		case POLICY_FINISH:
			cancel_call(job);
			finish_run(job);
			return;
		}
	}
	cs_timer_arm(job->engine->clock, &job->timer,
		     policy_run_next_tick_us(job->run));
}

static void on_timer(struct cs_timer *timer)
{
	struct order_job *job = job_of(timer);

	policy_run_tick(job->run, engine_now(job->engine));
	run_actions(job);
}

/* Return: 0 if the run of an order may start now, else the code why not. */
static int start_error(const struct engine *engine)
{
	if (engine->phase >= ENGINE_STOPPING)
		return CS_E_STOPPING;
	if (engine_was_paused(engine))
		return CS_E_PAUSED;
	return 0;
}

/* Starts the run of an order, or finishes the order as not run. */
static void start_run(struct engine *engine, struct policy_service *service,
		      struct policy_order *order, const char *request_id,
		      json_t *body, gint64 wait_ms)
{
	gint64 now = engine_now(engine);
	int error = start_error(engine);
	struct policy_run *run = NULL;
	struct order_job *job;

	if (!error)
		run = policy_run_create(
			engine->fleet, service, engine->counters,
			now + wait_ms * CS_US_PER_MS, now, &error);
	if (!run) {
		struct policy_order_result result = {
			.code = error,
			.outcome = CS_NOT_RUN,
		};

		count_result(engine, CS_NOT_RUN);
		policy_order_finish(order, &result);
		order_wait_finish_all(engine, order,
				      policy_order_result(order));
		return;
	}
	job = g_new0(struct order_job, 1);
	job->timer.fire = on_timer;
	job->engine = engine;
	job->service = service;
	job->order = order;
	job->run = run;
	job->request_id = g_strdup(request_id);
	job->body = json_incref(body);
	TAILQ_INSERT_TAIL(&engine->order_jobs, job, link);
	run_actions(job);
}

/* ---- at the issuer ---- */

/*
 * Handles an order as the issuer of its ticket: starts the run, waits for the
 * run in progress, replies with the recorded result, or refuses the order.
 */
static void handle_order(struct order_wait *wait,
			 const struct policy_ticket *ticket,
			 struct policy_service *service, json_t *body,
			 gint64 wait_ms)
{
	struct engine *engine = wait->engine;
	const struct config_service *config = policy_service_config(service);
	g_autofree char *text = cs_json_print(body);
	struct policy_order_result refusal = {0};
	struct policy_order *order = NULL;

	switch (policy_orders_begin(engine->orders, ticket, config->name, text,
				    engine_now(engine), &order, &refusal)) {
	case POLICY_ORDER_RUN:
		wait->order = order;
		start_run(engine, service, order, ticket->nonce, body, wait_ms);
		break;
	case POLICY_ORDER_JOIN:
		wait->order = order;
		break;
	case POLICY_ORDER_REPLAY:
		cs_counters_add(engine->counters, CS_N_ORDER_REPLAYS, 1);
		order_wait_finish(wait, policy_order_result(order));
		break;
	case POLICY_ORDER_REFUSE:
		order_wait_finish(wait, &refusal);
		break;
	}
}

/* ---- callers ---- */

void engine_begin_ticket(struct engine *engine,
			 struct caller_exchange *exchange,
			 const struct caller_request *request)
{
	g_autofree char *text = NULL;
	int error;

	/* Only this process could run the order, and it is shutting down. */
	if (engine->phase != ENGINE_SERVING) {
		caller_exchange_refuse(exchange, CS_E_STOPPING, CS_NOT_RUN,
				       NULL);
		return;
	}
	error = policy_orders_issue(engine->orders, request->service,
				    caller_exchange_id(exchange),
				    engine_now(engine), &text);
	if (error) {
		caller_exchange_refuse(exchange, error, CS_NOT_RUN, NULL);
		return;
	}
	cs_counters_add(engine->counters, CS_N_TICKETS, 1);
	caller_exchange_reply(
		exchange, json_pack("{s:s,s:s,s:I}", "outcome", "answered",
				    "ticket", text, "expires_in_ms",
				    (json_int_t)engine->settings->ticket_ms));
}

/* Sends an order to the daemon that issued its ticket. */
static void forward_order(struct order_wait *wait,
			  const struct policy_ticket *ticket,
			  const struct caller_request *request, gint64 wait_ms)
{
	struct engine *engine = wait->engine;
	g_autofree char *text = cs_json_print(request->body);
	struct peer_frame frame = {
		.kind = PEER_ORDER,
		.order =
			{
				.tag = ++engine->last_tag,
				.service = request->service,
				.ticket = request->ticket,
				.body = text,
				.wait_ms = wait_ms,
			},
	};

	wait->peer = g_strdup(ticket->issuer);
	wait->tag = frame.order.tag;
	cs_counters_add(engine->counters, CS_N_FORWARDS, 1);
	if (peer_links_send(engine->links, ticket->issuer, &frame) != 0) {
		struct policy_order_result result = {
			.code = CS_E_ISSUER,
			.outcome = CS_UNKNOWN,
		};

		order_wait_finish(wait, &result);
	}
}

void engine_begin_order(struct engine *engine, struct caller_exchange *exchange,
			const struct caller_request *request)
{
	struct policy_service *service =
		policy_fleet_service(engine->fleet, request->service);
	const struct config_service *config = policy_service_config(service);
	gint64 wait_ms = engine_deadline_ms(config, request->deadline_ms);
	struct policy_ticket ticket;
	struct order_wait *wait;
	bool issued_here;

	if (policy_ticket_parse(request->ticket, &ticket) != 0) {
		caller_exchange_refuse(exchange, CS_E_TICKET, CS_NOT_RUN, NULL);
		return;
	}
	issued_here = !strcmp(ticket.issuer, engine->settings->instance);
	wait = order_wait_create(
		engine, issued_here ? WAIT_CALLER : WAIT_ISSUER, wait_ms);
	wait->exchange = exchange;
	caller_exchange_set_data(exchange, wait);
	if (issued_here)
		handle_order(wait, &ticket, service, request->body, wait_ms);
	else
		forward_order(wait, &ticket, request, wait_ms);
	policy_ticket_clear(&ticket);
}

/* ---- peers ---- */

static void refuse_forwarded_order(struct engine *engine,
				   const struct peer_frame *frame, int code)
{
	struct policy_order_result result = {
		.code = code,
		.outcome = CS_UNKNOWN,
	};

	order_reply_peer(engine, frame->sender, frame->order.tag, &result);
}

void engine_receive_order(struct engine *engine, const struct peer_frame *frame)
{
	struct policy_service *service =
		policy_fleet_service(engine->fleet, frame->order.service);
	json_t *body = cs_json_parse(frame->order.body,
				     strlen(frame->order.body), NULL);
	struct policy_ticket ticket = {0};
	gint64 wait_ms;

	if (!service || !body ||
	    policy_ticket_parse(frame->order.ticket, &ticket) != 0) {
		refuse_forwarded_order(engine, frame, CS_E_FRAME);
	} else {
		struct order_wait *wait;

		wait_ms = engine_deadline_ms(policy_service_config(service),
					     frame->order.wait_ms);
		wait = order_wait_create(engine, WAIT_PEER, wait_ms);
		wait->peer = g_strdup(frame->sender);
		wait->tag = frame->order.tag;
		handle_order(wait, &ticket, service, body, wait_ms);
	}
	policy_ticket_clear(&ticket);
	json_decref(body);
}

/* Whether the outcome is one of enum cs_outcome and the code agrees with it. */
static bool is_valid_result(const struct peer_frame *frame)
{
	switch ((enum cs_outcome)frame->result.outcome) {
	case CS_ANSWERED:
		return frame->result.code == 0;
	case CS_NOT_RUN:
	case CS_UNKNOWN:
		return frame->result.code < 0;
	}
	return false;
}

void engine_receive_result(struct engine *engine,
			   const struct peer_frame *frame)
{
	struct policy_order_result result = {
		.code = frame->result.code,
		.outcome = (enum cs_outcome)frame->result.outcome,
		.body = (char *)frame->result.body,
	};
	struct order_wait *wait;

	if (!is_valid_result(frame)) {
		cs_counters_add(engine->counters, CS_N_PEER_BAD, 1);
		return;
	}
	TAILQ_FOREACH (wait, &engine->order_waits, link) {
		if (wait->kind == WAIT_ISSUER &&
		    wait->tag == frame->result.tag &&
		    !strcmp(wait->peer, frame->sender))
			break;
	}
	if (wait)
		order_wait_finish(wait, &result);
}

/* ---- shutdown ---- */

bool engine_has_orders(const struct engine *engine)
{
	return !TAILQ_EMPTY(&engine->order_jobs) ||
	       !TAILQ_EMPTY(&engine->order_waits);
}

void engine_free_orders(struct engine *engine)
{
	while (!TAILQ_EMPTY(&engine->order_waits))
		/* The analyzer does not follow the removal from the list. */
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
		order_wait_destroy(TAILQ_FIRST(&engine->order_waits));
	while (!TAILQ_EMPTY(&engine->order_jobs))
		/* The analyzer does not follow the removal from the list. */
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
		free_order_job(TAILQ_FIRST(&engine->order_jobs));
}
