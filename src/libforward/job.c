/* One request of a caller: its parts, their attempts, and when it ends. */
#include "internal.h"

#include "cuminsail/error.h"
#include "cuminsail/log.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* The answer leaves this long before the time that it is meant for: the
 * caller's new connection and request and the answer, 3 ms a way on the largest
 * deployments, and a turn of the loop. */
#define ANSWER_MARGIN_US (14 * CS_US_PER_MS)

/* A connection that takes longer than this is given up for another replica:
 * 40 ms between regions and 6 ms to open, twice over. */
#define CONNECT_US (100 * CS_US_PER_MS)

/* When the budget or the replicas have no room for a hedge, the next look: the
 * time in which a connection comes about. */
#define HEDGE_AGAIN_US (8 * CS_US_PER_MS)

/* Answers that nobody waits for are read until then, to keep the connection:
 * the longest pause of a replica and its work. */
#define DRAIN_US (700 * CS_US_PER_MS)

/* Work for a caller that left ends by then, well inside half a second. */
#define GONE_DRAIN_US (300 * CS_US_PER_MS)

/* A request that no replica has room for waits this share of its objective. */
#define WAIT_SHARE 0.25

#define job_of(pointer, member)                                                \
	((struct forward_job *)((char *)(pointer)-offsetof(struct forward_job, \
							   member)))

/* ---- ending ---- */

static void leave_waiting(struct forward_part *part)
{
	if (part->state != PART_WAITING)
		return;
	TAILQ_REMOVE(&part->job->engine->waiting, part, waiting);
	part->state = PART_OPEN;
}

static void release_part(struct forward_part *part, gint64 drain_us)
{
	leave_waiting(part);
	while (!TAILQ_EMPTY(&part->attempts))
		forward_attempt_drain(TAILQ_FIRST(&part->attempts), drain_us);
	for (guint i = 0; i < part->n_tried; i++)
		route_replica_unref(part->tried[i]);
	part->n_tried = 0;
	forward_answer_free(part->answer);
	forward_answer_free(part->failure);
}

static void free_job(struct forward_job *job, gint64 drain_us)
{
	struct forward_engine *engine = job->engine;

	job->closing = true;
	for (guint i = 0; i < job->n_parts; i++)
		release_part(&job->parts[i], drain_us);
	cs_timer_disarm(engine->clock, &job->timer);
	TAILQ_REMOVE(&engine->jobs, job, link);
	route_table_unref(job->table);
	g_free(job);
}

/* One line for each decision about a part, with what decided it. */
static void log_part(const struct forward_part *part, const char *event,
		     const char *reason, const struct route_replica *replica,
		     gint64 us)
{
	struct forward_engine *engine = part->job->engine;
	gint64 now = forward_now(engine);
	char after[FIGURE_TEXT];
	char ms[FIGURE_TEXT];
	char sent[FIGURE_TEXT];
	char budget[FIGURE_TEXT];
	char age[FIGURE_TEXT];

	g_snprintf(sent, sizeof(sent), "%u/%u", part->n_sent,
		   part->job->route->attempts_max);
	g_snprintf(budget, sizeof(budget), "%.1f",
		   route_pool_budget(part->pool, now));
	cs_log(LOG_INFO, event, "id", part->job->request_id, "service",
	       route_pool_name(part->pool), "reason", reason, "replica",
	       replica ? replica->id : NULL, "after_ms",
	       forward_ms(after, now - part->job->started_us), "limit_ms",
	       forward_ms(ms, us), "sent", sent, "budget", budget,
	       "picture_age_ms", forward_ms(age, forward_picture_age(engine)),
	       NULL);
}

/* What an answer goes without, and where it was asked for. */
static void log_missing(const struct forward_job *job)
{
	gint64 now = forward_now(job->engine);

	for (guint i = 0; i < job->n_parts; i++) {
		const struct forward_part *part = &job->parts[i];
		const struct forward_attempt *first =
			TAILQ_FIRST(&part->attempts);

		if (part->state == PART_DONE || part->state == PART_FAILED)
			continue;
		log_part(part, "part-missing",
			 first ? "no-answer-yet" : "no-room",
			 first ? first->route.replica : NULL,
			 first ? now - first->route.sent_us : 0);
	}
}

static void finish(struct forward_job *job)
{
	job->closing = true;
	log_missing(job);
	forward_reply(job);
	free_job(job, DRAIN_US);
}

static void refuse(struct forward_job *job, int code)
{
	job->closing = true;
	log_missing(job);
	forward_refuse(job, code);
	free_job(job, DRAIN_US);
}

void forward_job_abandon(struct forward_job *job)
{
	struct forward_engine *engine = job->engine;

	cs_counters_add(engine->counters, CS_N_CALLER_GONE, 1);
	cs_log(LOG_INFO, "caller-gone", "id", job->request_id, "route",
	       job->route->name, NULL);
	free_job(job, job->route->idempotent ? GONE_DRAIN_US : DRAIN_US);
}

/* ---- parts ---- */

static bool has_tried(const struct forward_part *part,
		      const struct route_replica *replica)
{
	for (guint i = 0; i < part->n_tried; i++) {
		if (part->tried[i] == replica)
			return true;
	}
	return false;
}

static struct route_replica *choose(struct forward_part *part,
				    enum route_lack *lack)
{
	struct route_ask ask = {part->job->route, part->job->work, part->tried,
				part->n_tried};

	return route_pool_choose(part->pool, &ask,
				 forward_now(part->job->engine), lack);
}

static bool send_to(struct forward_part *part, struct route_replica *replica)
{
	if (!forward_send(part, replica))
		return false;
	if (!has_tried(part, replica))
		part->tried[part->n_tried++] = route_replica_ref(replica);
	part->n_sent++;
	return true;
}

static bool may_send(const struct forward_part *part)
{
	return part->n_sent < part->job->route->attempts_max &&
	       part->n_tried < ROUTE_TRIED_MAX;
}

static void fail_part(struct forward_part *part, int reason)
{
	log_part(part, "part-failed", cs_error_name(reason), NULL, 0);
	leave_waiting(part);
	part->state = PART_FAILED;
	part->reason = reason;
	part->job->n_failed++;
}

/* More urgent routes first, then by what is left of the time. */
static void join_waiting(struct forward_part *part)
{
	struct forward_engine *engine = part->job->engine;
	struct forward_part *other;

	part->state = PART_WAITING;
	cs_counters_add(engine->counters, CS_N_WAITED, 1);
	log_part(part, "part-waits", "no-room", NULL, 0);
	if (!part->waiting_since_us)
		part->waiting_since_us = forward_now(engine);
	TAILQ_FOREACH (other, &engine->waiting, waiting) {
		const struct forward_job *mine = part->job;
		const struct forward_job *its = other->job;

		if (mine->route->priority < its->route->priority ||
		    (mine->route->priority == its->route->priority &&
		     mine->deadline_us < its->deadline_us))
			break;
	}
	if (other)
		TAILQ_INSERT_BEFORE(other, part, waiting);
	else
		TAILQ_INSERT_TAIL(&engine->waiting, part, waiting);
}

void forward_part_try(struct forward_part *part)
{
	enum route_lack lack;
	struct route_replica *replica;

	replica = choose(part, &lack);
	if (replica && send_to(part, replica))
		leave_waiting(part);
	else if (lack == ROUTE_LACK_REPLICA)
		fail_part(part, part->reason ? part->reason : CS_E_NO_REPLICA);
	else if (part->state != PART_WAITING)
		join_waiting(part);
}

void forward_part_answered(struct forward_part *part,
			   struct forward_answer *answer)
{
	struct forward_job *job = part->job;

	if (job->n_parts > 1 && (answer->status < 200 || answer->status > 299 ||
				 !answer->signature)) {
		part->failure = answer;
		forward_part_lost(part, CS_E_BAD_ANSWER, FORWARD_UNKNOWN);
		return;
	}
	part->answer = answer;
	part->state = PART_DONE;
	job->n_done++;
	while (!TAILQ_EMPTY(&part->attempts))
		forward_attempt_drain(TAILQ_FIRST(&part->attempts), DRAIN_US);
	forward_job_look(job);
}

/* Parts without which there is no answer. */
static guint parts_needed(const struct forward_job *job)
{
	if (job->route->target != ROUTE_FANOUT)
		return 1;
	return MAX((guint)ceil(job->route->fanout.least_share * job->n_parts -
			       1e-9),
		   1);
}

/* What a further attempt at the part is worth. */
static enum route_extra worth_of(const struct forward_job *job)
{
	bool can_miss = job->n_failed + 1 <= job->n_parts - parts_needed(job);

	return can_miss ? ROUTE_RETRY_BETTER : ROUTE_RETRY_NEEDED;
}

/* Whether the part may go to one more replica, paid from the budget. */
static bool may_repeat(struct forward_part *part, enum forward_fate fate)
{
	struct forward_engine *engine = part->job->engine;

	if (fate == FORWARD_UNKNOWN && !part->job->route->idempotent)
		return false;
	if (!may_send(part))
		return false;
	/* What was never sent is no load. */
	if (fate == FORWARD_UNSENT ||
	    route_pool_spend(part->pool, worth_of(part->job),
			     forward_now(engine)))
		return true;
	cs_counters_add(engine->counters, CS_N_NO_BUDGET, 1);
	log_part(part, "no-budget", cs_error_name(part->reason), NULL, 0);
	return false;
}

/* The hedge was never sent: the first attempt is as late as before. */
static void hedge_again(struct forward_part *part)
{
	struct forward_engine *engine = part->job->engine;

	route_pool_refund(part->pool, forward_now(engine));
	TAILQ_FIRST(&part->attempts)->hedge_us = forward_now(engine);
	forward_job_look(part->job);
}

void forward_part_lost(struct forward_part *part, int reason,
		       enum forward_fate fate)
{
	struct forward_job *job = part->job;

	if (job->closing || part->state != PART_OPEN)
		return;
	part->reason = reason;
	if (fate == FORWARD_UNSENT)
		part->n_sent--;
	if (!TAILQ_EMPTY(&part->attempts)) {
		if (fate == FORWARD_UNSENT)
			hedge_again(part);
		return;
	}
	if (may_repeat(part, fate)) {
		log_part(part, "retry", cs_error_name(reason), NULL, 0);
		cs_counters_add(job->engine->counters, CS_N_RETRIES, 1);
		job->n_retries++;
		forward_part_try(part);
	} else {
		fail_part(part, reason);
	}
	forward_job_look(job);
}

static void hedge(struct forward_part *part, struct forward_attempt *attempt,
		  gint64 now)
{
	struct forward_job *job = part->job;
	enum route_lack lack;
	struct route_replica *replica;

	attempt->hedge_us = 0;
	if (!job->route->idempotent || !may_send(part) ||
	    TAILQ_NEXT(TAILQ_FIRST(&part->attempts), link))
		return;
	replica = choose(part, &lack);
	if (!replica) {
		if (lack == ROUTE_LACK_ROOM)
			attempt->hedge_us = now + HEDGE_AGAIN_US;
		return;
	}
	if (!route_pool_spend(part->pool, ROUTE_HEDGE, now)) {
		cs_counters_add(job->engine->counters, CS_N_NO_BUDGET, 1);
		attempt->hedge_us = now + HEDGE_AGAIN_US;
		return;
	}
	if (!send_to(part, replica))
		return;
	log_part(part, "hedge", attempt->route.replica->id, replica,
		 now - attempt->route.sent_us);
	cs_counters_add(job->engine->counters, CS_N_HEDGES, 1);
	job->n_hedges++;
}

/* A connection that does not come about: nothing was sent, ask another. */
static void leave_connecting(struct forward_part *part,
			     struct forward_attempt *attempt)
{
	log_part(part, "attempt-moved", "connect-timeout",
		 attempt->route.replica, CONNECT_US);
	cs_counters_add(part->job->engine->counters, CS_N_MOVED, 1);
	forward_attempt_cut(attempt);
	part->n_sent--;
	part->reason = CS_E_LOST;
	if (!TAILQ_EMPTY(&part->attempts)) {
		route_pool_refund(part->pool, forward_now(part->job->engine));
		TAILQ_FIRST(&part->attempts)->hedge_us =
			forward_now(part->job->engine);
	}
	if (TAILQ_EMPTY(&part->attempts) && part->n_tried < ROUTE_TRIED_MAX)
		forward_part_try(part);
	else if (TAILQ_EMPTY(&part->attempts))
		fail_part(part, CS_E_LOST);
}

/* Return: when the part needs the next look. */
static gint64 look_at_part(struct forward_part *part, gint64 now)
{
	struct forward_job *job = part->job;
	struct forward_attempt *attempt;
	struct forward_attempt *next;
	gint64 due = G_MAXINT64;

	if (part->state == PART_WAITING) {
		due = part->waiting_since_us +
		      (gint64)(WAIT_SHARE *
			       (double)(job->objective_us - job->started_us));
		if (now < due)
			return due;
		fail_part(part, part->reason ? part->reason : CS_E_OVERLOAD);
		return G_MAXINT64;
	}
	for (attempt = TAILQ_FIRST(&part->attempts);
	     attempt && part->state == PART_OPEN; attempt = next) {
		if (!attempt->connected) {
			gint64 limit = attempt->route.sent_us + CONNECT_US;

			if (now < limit) {
				due = MIN(due, limit);
				next = TAILQ_NEXT(attempt, link);
			} else {
				leave_connecting(part, attempt);
				next = TAILQ_FIRST(&part->attempts);
			}
			continue;
		}
		next = TAILQ_NEXT(attempt, link);
		if (attempt->hedge_us && now >= attempt->hedge_us)
			hedge(part, attempt, now);
		if (attempt->hedge_us)
			due = MIN(due, attempt->hedge_us);
	}
	return due;
}

/* ---- the whole ---- */

static int failure_of(const struct forward_job *job)
{
	for (guint i = 0; i < job->n_parts; i++) {
		if (job->parts[i].state == PART_FAILED)
			return job->parts[i].reason;
	}
	return CS_E_DEADLINE;
}

void forward_job_look(struct forward_job *job)
{
	gint64 now = forward_now(job->engine);
	gint64 due = job->deadline_us - ANSWER_MARGIN_US;
	gint64 partial_us = job->objective_us - ANSWER_MARGIN_US;

	if (job->closing)
		return;
	for (guint i = 0; i < job->n_parts; i++) {
		if (job->parts[i].state == PART_OPEN ||
		    job->parts[i].state == PART_WAITING)
			due = MIN(due, look_at_part(&job->parts[i], now));
	}
	if (job->n_done + job->n_failed == job->n_parts &&
	    job->n_done >= parts_needed(job)) {
		if (job->n_failed)
			cs_counters_add(job->engine->counters,
					CS_N_PARTIAL_FAILED, 1);
		finish(job);
		return;
	}
	if (job->n_failed > job->n_parts - parts_needed(job)) {
		refuse(job, failure_of(job));
		return;
	}
	if (now >= partial_us && job->n_done >= parts_needed(job)) {
		cs_counters_add(job->engine->counters, CS_N_PARTIAL_AT, 1);
		finish(job);
		return;
	}
	if (now >= job->deadline_us - ANSWER_MARGIN_US) {
		refuse(job, CS_E_DEADLINE);
		return;
	}
	if (now < partial_us)
		due = MIN(due, partial_us);
	cs_timer_arm(job->engine->clock, &job->timer, due);
}

static void on_timer(struct cs_timer *timer)
{
	forward_job_look(job_of(timer, timer));
}

static gint64 deadline_of(const struct forward_engine *engine,
			  const struct http1_message *request,
			  const struct route *route)
{
	const char *text =
		http1_message_get(request, engine->dialect->deadline_ms);
	gint64 left_us = route->timeout_us;
	gint64 named = text ? strtoll(text, NULL, 10) : 0;

	if (named > 0)
		left_us = MIN(left_us, named * CS_US_PER_MS);
	return forward_now(engine) + left_us;
}

static const char *service_of(struct route *route, guint part)
{
	switch (route->target) {
	case ROUTE_SERVICE:
		return route->service;
	case ROUTE_SPLIT:
		return route_turn(route);
	case ROUTE_FANOUT:
		break;
	}
	return route->fanout.services->pdata[part];
}

static struct forward_job *create_job(struct forward_engine *engine,
				      struct http1_exchange *exchange,
				      const struct http1_message *request,
				      struct route *route)
{
	guint n =
		route->target == ROUTE_FANOUT ? route->fanout.services->len : 1;
	struct forward_job *job = g_malloc0(sizeof(struct forward_job) +
					    n * sizeof(struct forward_part));

	job->engine = engine;
	job->exchange = exchange;
	job->table = route_table_ref(engine->table);
	job->route = route;
	job->work = route_fleet_work(engine->fleet, route);
	job->request = request;
	job->request_id =
		http1_message_get(request, engine->dialect->request_id);
	job->started_us = forward_now(engine);
	job->deadline_us = deadline_of(engine, request, route);
	job->objective_us =
		MIN(job->started_us + route->objective_us, job->deadline_us);
	job->timer.fire = on_timer;
	job->n_parts = n;
	for (guint i = 0; i < n; i++) {
		struct forward_part *part = &job->parts[i];

		part->job = job;
		part->pool =
			route_fleet_pool(engine->fleet, service_of(route, i));
		TAILQ_INIT(&part->attempts);
		route_pool_earn(part->pool, job->started_us);
	}
	TAILQ_INSERT_TAIL(&engine->jobs, job, link);
	http1_exchange_set_data(exchange, job);
	return job;
}

/* Whether too many shards have no replica at all. */
static bool is_hopeless(struct forward_job *job)
{
	guint without = 0;

	for (guint i = 0; i < job->n_parts; i++) {
		enum route_lack lack;

		choose(&job->parts[i], &lack);
		without += lack == ROUTE_LACK_REPLICA;
	}
	return without > job->n_parts - parts_needed(job);
}

void forward_job_begin(struct forward_engine *engine,
		       struct http1_exchange *exchange,
		       const struct http1_message *request, struct route *route)
{
	struct forward_job *job = create_job(engine, exchange, request, route);

	if (is_hopeless(job)) {
		refuse(job, CS_E_NO_REPLICA);
		return;
	}
	for (guint i = 0; i < job->n_parts; i++)
		forward_part_try(&job->parts[i]);
	forward_job_look(job);
}
