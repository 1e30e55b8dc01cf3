/* Parts: the attempts, hedges, retries and waiting for one service of a job. */
#include "internal.h"

#include "cuminsail/error.h"
#include "cuminsail/log.h"

#include <math.h>
#include <string.h>

/* A connection that takes longer than this is abandoned for another replica:
 * about twice the sum of 40 ms between regions and 6 ms to open it. */
#define CONNECT_TIMEOUT_US (100 * CS_US_PER_MS)

/* Delay before a hedge is tried again if the budget or the replicas have no
 * capacity for it: the time in which a connection is established. */
#define HEDGE_RETRY_US (8 * CS_US_PER_MS)

/* Share of the requests that are sent without regard to predicted pauses: they
 * show whether the replicas still pause then, and hedges make up for them. */
#define TRY_PAUSES_SHARE 0.04

/* Longest wait of a part, as a share of the job's objective: for a free slot,
 * and for another part of a suspected query, which may be innocent. */
#define WAIT_MAX_SHARE 0.25
#define HOLD_MAX_SHARE 1.0

void forward_part_log(const struct forward_part *part, const char *event,
		      const char *reason, const struct route_replica *replica,
		      gint64 us)
{
	struct forward_engine *engine = part->job->engine;
	gint64 now = forward_now(engine);
	char after[FORWARD_NUMBER_TEXT_MAX];
	char ms[FORWARD_NUMBER_TEXT_MAX];
	char sent[FORWARD_NUMBER_TEXT_MAX];
	char budget[FORWARD_NUMBER_TEXT_MAX];
	char age[FORWARD_NUMBER_TEXT_MAX];

	g_snprintf(sent, sizeof(sent), "%u/%u", part->n_sent,
		   part->job->route->attempts_max);
	g_snprintf(budget, sizeof(budget), "%.1f",
		   route_pool_budget(part->pool, now));
	cs_log(LOG_INFO, event, "id", part->job->request_id, "service",
	       route_pool_name(part->pool), "reason", reason, "replica",
	       replica ? replica->id : NULL, "after_ms",
	       forward_print_ms(after, now - part->job->started_us), "limit_ms",
	       forward_print_ms(ms, us), "sent", sent, "budget", budget,
	       "picture_age_ms",
	       forward_print_ms(age, forward_view_age(engine)), NULL);
}

static void dequeue_waiting(struct forward_part *part)
{
	if (part->state != PART_WAITING)
		return;
	TAILQ_REMOVE(&part->job->engine->waiting, part, waiting);
	part->state = PART_OPEN;
}

void forward_part_release(struct forward_part *part, gint64 drain_us)
{
	dequeue_waiting(part);
	while (!TAILQ_EMPTY(&part->attempts))
		forward_attempt_drain(TAILQ_FIRST(&part->attempts), drain_us);
	for (guint i = 0; i < part->n_tried; i++)
		route_replica_unref(part->tried[i]);
	part->n_tried = 0;
	forward_answer_free(part->answer);
	forward_answer_free(part->failure);
}

static bool has_tried(const struct forward_part *part,
		      const struct route_replica *replica)
{
	for (guint i = 0; i < part->n_tried; i++) {
		if (part->tried[i] == replica)
			return true;
	}
	return false;
}

/* Return: longest wait of a part. */
static gint64 wait_max(const struct forward_part *part)
{
	const struct forward_job *job = part->job;

	return (gint64)((part->held ? HOLD_MAX_SHARE : WAIT_MAX_SHARE) *
			(double)(job->objective_us - job->started_us));
}

/* Return: time at which a part that waits fails. */
static gint64 wait_end(const struct forward_part *part)
{
	gint64 since_us = part->waiting_since_us;

	if (!since_us)
		since_us = forward_now(part->job->engine);
	return since_us + wait_max(part);
}

struct route_replica *forward_part_choose(struct forward_part *part,
					  enum route_unavailable *unavailable)
{
	gint64 now = forward_now(part->job->engine);
	struct route_criteria criteria = {part->route,
					  part->work,
					  part->tried,
					  part->n_tried,
					  MAX(wait_end(part) - now, 0),
					  part->job->route->idempotent &&
						  g_random_double() <
							  TRY_PAUSES_SHARE};

	return route_pool_choose(part->pool, &criteria, now, unavailable);
}

/* Return: false if no connection could be opened; the replica is suspect then,
 * so that the next choice is another one. */
static bool send_to(struct forward_part *part, struct route_replica *replica)
{
	if (!forward_send(part, replica)) {
		forward_part_log(part, "not-sent", "no-connection", replica, 0);
		route_replica_unreachable(replica,
					  forward_now(part->job->engine));
		return false;
	}
	if (!has_tried(part, replica))
		part->tried[part->n_tried++] = route_replica_ref(replica);
	part->n_sent++;
	return true;
}

static bool may_send(const struct forward_part *part)
{
	guint n_used = part->job->relaying ? 0 : part->job->n_used;

	return part->n_sent + n_used < part->route->attempts_max &&
	       part->n_tried < ROUTE_TRIED_MAX;
}

static void fail_part(struct forward_part *part, int reason)
{
	forward_part_log(part, "part-failed", cs_error_name(reason), NULL, 0);
	dequeue_waiting(part);
	part->state = PART_FAILED;
	part->reason = reason;
	part->job->n_failed++;
}

/* By priority of the route, then this daemon's own callers before those of
 * peers, then by deadline. */
static bool goes_before(const struct forward_job *a,
			const struct forward_job *b)
{
	if (a->route->priority != b->route->priority)
		return a->route->priority < b->route->priority;
	if (a->relayed != b->relayed)
		return !a->relayed;
	return a->deadline_us < b->deadline_us;
}

/* Keeps the queue sorted. */
static void enqueue_waiting(struct forward_part *part, const char *reason)
{
	struct forward_engine *engine = part->job->engine;
	struct forward_part *other;

	part->state = PART_WAITING;
	cs_counters_add(engine->counters, CS_N_WAITED, 1);
	forward_part_log(part, "part-waits", reason, NULL, 0);
	if (!part->waiting_since_us)
		part->waiting_since_us = forward_now(engine);
	TAILQ_FOREACH (other, &engine->waiting, waiting) {
		const struct forward_job *job = part->job;
		const struct forward_job *other_job = other->job;

		if (goes_before(job, other_job))
			break;
	}
	if (other)
		TAILQ_INSERT_BEFORE(other, part, waiting);
	else
		TAILQ_INSERT_TAIL(&engine->waiting, part, waiting);
}

void forward_part_try(struct forward_part *part)
{
	enum route_unavailable unavailable;
	struct route_replica *replica;
	bool sent = false;

	switch (forward_blocklist_judge(part)) {
	case FORWARD_GO:
		break;
	case FORWARD_HOLD:
		part->held = true;
		if (part->state != PART_WAITING)
			enqueue_waiting(part, "crash-check");
		return;
	case FORWARD_STOP:
		fail_part(part, part->reason ? part->reason : CS_E_BLOCKED);
		return;
	}
	part->held = false;
	for (int i = 0; i < ROUTE_TRIED_MAX && !sent; i++) {
		replica = forward_part_choose(part, &unavailable);
		if (!replica)
			break;
		sent = send_to(part, replica);
	}
	if (sent)
		dequeue_waiting(part);
	else if (unavailable == ROUTE_NO_REPLICA)
		fail_part(part, part->reason ? part->reason : CS_E_NO_REPLICA);
	else if (unavailable == ROUTE_RATE_LIMITED)
		fail_part(part, part->reason ? part->reason : CS_E_RATE_LIMIT);
	else if (unavailable == ROUTE_RESTING)
		fail_part(part, part->reason ? part->reason : CS_E_REST);
	else if (part->state != PART_WAITING)
		enqueue_waiting(part, "no-room");
}

void forward_parts_retry_waiting(struct forward_engine *engine)
{
	struct forward_part *part;
	struct forward_part *next;

	if (engine->retrying_waiting)
		return;
	engine->retrying_waiting = true;
	for (part = TAILQ_FIRST(&engine->waiting); part; part = next) {
		next = TAILQ_NEXT(part, waiting);
		forward_part_try(part);
		/* The job handles the result in its own timer callback. */
		if (part->state != PART_WAITING)
			cs_timer_arm(engine->clock, &part->job->timer,
				     forward_now(engine));
	}
	engine->retrying_waiting = false;
}

static void on_deferred_retry(void *user)
{
	struct forward_engine *engine = user;

	engine->retry_scheduled = false;
	forward_parts_retry_waiting(engine);
}

void forward_capacity_freed(struct forward_engine *engine)
{
	if (engine->retry_scheduled || TAILQ_EMPTY(&engine->waiting))
		return;
	engine->retry_scheduled = true;
	http1_loop_defer(engine->loop, on_deferred_retry, engine);
}

/* Return: whether an answer can be merged. A replica's failure has a signature
 * too, and is no part. */
static bool is_part(const struct forward_answer *answer)
{
	return answer->status >= 200 && answer->status < 300 &&
	       answer->signature;
}

void forward_part_answered(struct forward_part *part,
			   struct forward_answer *answer)
{
	struct forward_job *job = part->job;

	if (!job->relaying)
		forward_blocklist_answered(job);
	if (forward_job_merges(job) && !is_part(answer)) {
		forward_answer_free(part->failure);
		part->failure = answer;
		forward_part_attempt_failed(part, CS_E_BAD_ANSWER,
					    FORWARD_MAY_HAVE_RUN);
		return;
	}
	part->answer = answer;
	part->state = PART_DONE;
	job->n_done++;
	route_pace_answered(&job->pace, job->n_done, job->n_parts,
			    forward_now(job->engine) - job->started_us);
	while (!TAILQ_EMPTY(&part->attempts))
		forward_attempt_drain(TAILQ_FIRST(&part->attempts),
				      FORWARD_DRAIN_US);
	forward_job_update(job);
}

guint forward_parts_needed(const struct forward_job *job)
{
	if (!forward_job_merges(job))
		return 1;
	return MAX((guint)ceil(job->route->fanout.min_success_share *
				       job->n_parts -
			       1e-9),
		   1);
}

/* Return: the purpose of another attempt, for the budget. A retry is required
 * only if the job has no answer without this part. */
static enum route_extra extra_kind(const struct forward_job *job)
{
	bool is_optional =
		job->n_failed + 1 <= job->n_parts - forward_parts_needed(job);

	return is_optional ? ROUTE_RETRY_OPTIONAL : ROUTE_RETRY_REQUIRED;
}

/* Return: whether the part may be sent to another replica. Withdraws from the
 * retry budget. */
static bool may_retry(struct forward_part *part,
		      enum forward_execution execution)
{
	struct forward_engine *engine = part->job->engine;

	if (execution == FORWARD_MAY_HAVE_RUN && !part->job->route->idempotent)
		return false;
	if (!may_send(part))
		return false;
	if (part->job->relaying)
		return execution != FORWARD_MAY_HAVE_RUN;
	if (forward_blocklist_judge(part) == FORWARD_STOP) {
		cs_counters_add(engine->counters, CS_N_NO_REPEAT, 1);
		forward_part_log(part, "no-repeat", cs_error_name(CS_E_BLOCKED),
				 NULL, 0);
		return false;
	}
	/* An unsent request adds no load, so it needs no budget. */
	if (execution == FORWARD_UNSENT ||
	    route_pool_withdraw(part->pool, extra_kind(part->job),
				forward_now(engine)))
		return true;
	cs_counters_add(engine->counters, CS_N_NO_BUDGET, 1);
	forward_part_log(part, "no-budget", cs_error_name(part->reason), NULL,
			 0);
	return false;
}

/* The hedge was never sent, so it is refunded and due again at once: the first
 * attempt is still late. */
static void retry_unsent_hedge(struct forward_part *part)
{
	struct forward_engine *engine = part->job->engine;

	route_pool_refund(part->pool, forward_now(engine));
	TAILQ_FIRST(&part->attempts)->hedge_due_us = forward_now(engine);
	forward_job_update(part->job);
}

void forward_part_attempt_failed(struct forward_part *part, int reason,
				 enum forward_execution execution)
{
	struct forward_job *job = part->job;

	if (job->closing || part->state != PART_OPEN)
		return;
	part->reason = reason;
	if (execution == FORWARD_UNSENT)
		part->n_sent--;
	if (!TAILQ_EMPTY(&part->attempts)) {
		if (execution == FORWARD_UNSENT)
			retry_unsent_hedge(part);
		return;
	}
	if (may_retry(part, execution)) {
		forward_part_log(part, "retry", cs_error_name(reason), NULL, 0);
		cs_counters_add(job->engine->counters, CS_N_RETRIES, 1);
		job->n_retries++;
		forward_part_try(part);
	} else {
		fail_part(part, reason);
	}
	forward_job_update(job);
}

/* Return: whether a query has no answer from any shard yet. Replicas are slow
 * independently of each other, so the query itself takes long: a second copy
 * would take as long, or crash as many replicas. */
static bool all_parts_late(const struct forward_job *job)
{
	return job->n_parts > 1 && !job->n_done;
}

/* Return: time from which an open attempt is late against the other parts. A
 * new connection to another region takes longer than theirs. */
static gint64 pace_due(const struct forward_attempt *attempt)
{
	const struct route_replica *replica = attempt->route.replica;
	gint64 late_us = route_pace_late_us(&attempt->part->job->pace);
	gint64 begun_us = replica->distance == ROUTE_FAR
				  ? attempt->route.sent_us
				  : attempt->begun_us;

	if (late_us == G_MAXINT64)
		return G_MAXINT64;
	return begun_us + late_us + route_replica_round_trip_us(replica);
}

/* Return: time for a hedge of an open attempt, or 0 for never. */
static gint64 hedge_due(const struct forward_attempt *attempt)
{
	if (!attempt->hedge_due_us)
		return 0;
	return MAX(MIN(attempt->hedge_due_us, pace_due(attempt)),
		   attempt->hedge_retry_us);
}

static void defer_hedge(struct forward_attempt *attempt, gint64 now)
{
	attempt->hedge_due_us = attempt->hedge_retry_us = now + HEDGE_RETRY_US;
}

/* Return: whether a hedge at a replica is too late to change the answer: by
 * then the query is answered without this part. */
static bool is_hopeless(const struct forward_part *part,
			const struct route_replica *replica, gint64 now)
{
	const struct forward_job *job = part->job;
	gint64 answer_us = now + route_replica_soonest_us(replica);

	return job->n_parts > 1 && job->n_done >= forward_parts_needed(job) &&
	       answer_us >= job->objective_us - FORWARD_ANSWER_MARGIN_US;
}

static void send_hedge(struct forward_part *part,
		       struct forward_attempt *attempt, gint64 now)
{
	struct forward_job *job = part->job;
	enum route_unavailable unavailable;
	struct route_replica *replica;

	attempt->hedge_due_us = 0;
	if (!job->route->idempotent || job->relaying || !may_send(part) ||
	    TAILQ_NEXT(TAILQ_FIRST(&part->attempts), link))
		return;
	if (forward_blocklist_suspects(job) || all_parts_late(job)) {
		defer_hedge(attempt, now);
		return;
	}
	replica = forward_part_choose(part, &unavailable);
	if (!replica) {
		if (unavailable != ROUTE_NO_REPLICA)
			defer_hedge(attempt, now);
		return;
	}
	if (is_hopeless(part, replica, now))
		return;
	if (!route_pool_withdraw(part->pool, ROUTE_HEDGE, now)) {
		cs_counters_add(job->engine->counters, CS_N_NO_BUDGET, 1);
		defer_hedge(attempt, now);
		return;
	}
	if (!send_to(part, replica)) {
		route_pool_refund(part->pool, now);
		defer_hedge(attempt, now);
		return;
	}
	forward_part_log(part, "hedge", attempt->route.replica->id, replica,
			 now - attempt->route.sent_us);
	cs_counters_add(job->engine->counters, CS_N_HEDGES, 1);
	job->n_hedges++;
}

/* Abandons an attempt whose connection takes too long. Nothing was sent, so the
 * part is sent to another replica. */
static void abandon_connecting(struct forward_part *part,
			       struct forward_attempt *attempt)
{
	forward_part_log(part, "attempt-moved", "connect-timeout",
			 attempt->route.replica, CONNECT_TIMEOUT_US);
	cs_counters_add(part->job->engine->counters, CS_N_MOVED_ATTEMPTS, 1);
	if (!part->job->relaying)
		forward_contact_failed(part->job->engine->contact,
				       attempt->route.replica);
	forward_attempt_abort(attempt);
	part->n_sent--;
	part->reason = CS_E_LOST;
	if (!TAILQ_EMPTY(&part->attempts)) {
		route_pool_refund(part->pool, forward_now(part->job->engine));
		TAILQ_FIRST(&part->attempts)->hedge_due_us =
			forward_now(part->job->engine);
	}
	if (TAILQ_EMPTY(&part->attempts) && part->n_tried < ROUTE_TRIED_MAX)
		forward_part_try(part);
	else if (TAILQ_EMPTY(&part->attempts))
		fail_part(part, CS_E_LOST);
}

gint64 forward_part_run_timers(struct forward_part *part, gint64 now)
{
	struct forward_attempt *attempt;
	struct forward_attempt *next;
	gint64 due = G_MAXINT64;
	gint64 hedge;

	if (part->state == PART_WAITING) {
		due = wait_end(part);
		if (now < due)
			return due;
		fail_part(part, part->reason ? part->reason : CS_E_OVERLOAD);
		return G_MAXINT64;
	}
	for (attempt = TAILQ_FIRST(&part->attempts);
	     attempt && part->state == PART_OPEN; attempt = next) {
		if (!attempt->connected) {
			gint64 limit =
				attempt->route.sent_us + CONNECT_TIMEOUT_US;

			if (now < limit) {
				due = MIN(due, limit);
				next = TAILQ_NEXT(attempt, link);
			} else {
				abandon_connecting(part, attempt);
				next = TAILQ_FIRST(&part->attempts);
			}
			continue;
		}
		next = TAILQ_NEXT(attempt, link);
		hedge = hedge_due(attempt);
		if (hedge && now >= hedge)
			send_hedge(part, attempt, now);
		hedge = hedge_due(attempt);
		if (hedge)
			due = MIN(due, hedge);
	}
	return due;
}
