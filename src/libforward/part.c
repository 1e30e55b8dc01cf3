/* One service's part of a request: attempts, hedges, retries, waits. */
#include "internal.h"

#include "cuminsail/error.h"
#include "cuminsail/log.h"

#include <math.h>
#include <string.h>

/* A connection that takes longer than this is given up for another replica:
 * 40 ms between regions and 6 ms to open, twice over. */
#define CONNECT_US (100 * CS_US_PER_MS)

/* When the budget or the replicas have no room for a hedge, the next look: the
 * time in which a connection comes about. */
#define HEDGE_AGAIN_US (8 * CS_US_PER_MS)

/* A request that no replica has room for waits this share of its objective. */
#define WAIT_SHARE 0.25

/* One line for each decision about a part, with what decided it. */
void forward_part_log(const struct forward_part *part, const char *event,
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

static void leave_waiting(struct forward_part *part)
{
	if (part->state != PART_WAITING)
		return;
	TAILQ_REMOVE(&part->job->engine->waiting, part, waiting);
	part->state = PART_OPEN;
}

void forward_part_release(struct forward_part *part, gint64 drain_us)
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

static bool has_tried(const struct forward_part *part,
		      const struct route_replica *replica)
{
	for (guint i = 0; i < part->n_tried; i++) {
		if (part->tried[i] == replica)
			return true;
	}
	return false;
}

struct route_replica *forward_part_choose(struct forward_part *part,
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
	forward_part_log(part, "part-failed", cs_error_name(reason), NULL, 0);
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
	forward_part_log(part, "part-waits", "no-room", NULL, 0);
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

	replica = forward_part_choose(part, &lack);
	if (replica && send_to(part, replica))
		leave_waiting(part);
	else if (lack == ROUTE_LACK_REPLICA)
		fail_part(part, part->reason ? part->reason : CS_E_NO_REPLICA);
	else if (part->state != PART_WAITING)
		join_waiting(part);
}

void forward_parts_poke(struct forward_engine *engine)
{
	struct forward_part *part;
	struct forward_part *next;

	if (engine->poking)
		return;
	engine->poking = true;
	for (part = TAILQ_FIRST(&engine->waiting); part; part = next) {
		next = TAILQ_NEXT(part, waiting);
		forward_part_try(part);
		/* The job looks at the outcome in a turn of its own. */
		if (part->state != PART_WAITING)
			cs_timer_arm(engine->clock, &part->job->timer,
				     forward_now(engine));
	}
	engine->poking = false;
}

static void poke_later(void *user)
{
	struct forward_engine *engine = user;

	engine->poke_due = false;
	forward_parts_poke(engine);
}

void forward_room(struct forward_engine *engine)
{
	if (engine->poke_due || TAILQ_EMPTY(&engine->waiting))
		return;
	engine->poke_due = true;
	http1_loop_defer(engine->loop, poke_later, engine);
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
		forward_attempt_drain(TAILQ_FIRST(&part->attempts),
				      FORWARD_DRAIN_US);
	forward_job_look(job);
}

/* Parts without which there is no answer. */
guint forward_parts_needed(const struct forward_job *job)
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
	bool can_miss =
		job->n_failed + 1 <= job->n_parts - forward_parts_needed(job);

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
	forward_part_log(part, "no-budget", cs_error_name(part->reason), NULL,
			 0);
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
		forward_part_log(part, "retry", cs_error_name(reason), NULL, 0);
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
	replica = forward_part_choose(part, &lack);
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
	forward_part_log(part, "hedge", attempt->route.replica->id, replica,
			 now - attempt->route.sent_us);
	cs_counters_add(job->engine->counters, CS_N_HEDGES, 1);
	job->n_hedges++;
}

/* A connection that does not come about: nothing was sent, ask another. */
static void leave_connecting(struct forward_part *part,
			     struct forward_attempt *attempt)
{
	forward_part_log(part, "attempt-moved", "connect-timeout",
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
gint64 forward_part_look(struct forward_part *part, gint64 now)
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
