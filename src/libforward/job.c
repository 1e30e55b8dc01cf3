/* Jobs: one request of a caller, from the first attempt to the reply. */
#include "internal.h"

#include "cuminsail/error.h"
#include "cuminsail/log.h"

#include <stdlib.h>
#include <string.h>

/* Attempts of idempotent routes are aborted this long after the caller
 * disconnects, well within half a second. */
#define GONE_DRAIN_US (300 * CS_US_PER_MS)

#define job_of(pointer, member)                                                \
	((struct forward_job *)((char *)(pointer)-offsetof(struct forward_job, \
							   member)))

const struct route_digest *forward_job_digest(struct forward_job *job)
{
	if (!job->has_digest)
		forward_digest_request(job->engine->dialect, job->request,
				       &job->digest);
	job->has_digest = true;
	return &job->digest;
}

bool forward_job_may_have_run(const struct forward_job *job)
{
	if (job->n_used)
		return true;
	for (guint i = 0; i < job->n_parts; i++) {
		if (job->parts[i].n_may_have_run)
			return true;
	}
	return false;
}

/* ---- end of a job ---- */

/* The attempts of a job without any answer are still checked for a crash after
 * the request is freed. */
static void keep_digest(struct forward_job *job)
{
	if (job->n_done)
		return;
	for (guint i = 0; i < job->n_parts; i++) {
		if (TAILQ_EMPTY(&job->parts[i].attempts))
			continue;
		forward_job_digest(job);
		return;
	}
}

static void free_job(struct forward_job *job, gint64 drain_us)
{
	struct forward_engine *engine = job->engine;

	job->closing = true;
	forward_blocklist_ended(job);
	for (guint i = 0; i < job->n_parts; i++)
		forward_part_release(&job->parts[i], drain_us);
	cs_timer_disarm(engine->clock, &job->timer);
	TAILQ_REMOVE(&engine->jobs, job, link);
	route_destroy(job->relay_route);
	route_table_unref(job->table);
	g_free(job);
}

/* Logs each part without an answer and the replica that it was sent to. */
static void log_missing(const struct forward_job *job)
{
	gint64 now = forward_now(job->engine);

	for (guint i = 0; i < job->n_parts; i++) {
		const struct forward_part *part = &job->parts[i];
		const struct forward_attempt *first =
			TAILQ_FIRST(&part->attempts);

		if (part->state == PART_DONE || part->state == PART_FAILED)
			continue;
		forward_part_log(part, "part-missing",
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
	free_job(job, FORWARD_DRAIN_US);
}

void forward_job_fail(struct forward_job *job, int code)
{
	job->closing = true;
	log_missing(job);
	keep_digest(job);
	forward_refuse(job, code);
	free_job(job, forward_blocklist_condemns(job) ? 0 : FORWARD_DRAIN_US);
}

void forward_job_end(struct forward_job *job, int code)
{
	if (job->n_done >= forward_parts_needed(job))
		finish(job);
	else
		forward_job_fail(job, code);
}

void forward_job_abandon(struct forward_job *job)
{
	struct forward_engine *engine = job->engine;

	cs_counters_add(engine->counters, CS_N_CALLER_GONE, 1);
	cs_log(LOG_INFO, "caller-gone", "id", job->request_id, "route",
	       job->route->name, NULL);
	keep_digest(job);
	/* A peer waits for late answers itself. */
	free_job(job, job->relaying	       ? 0
		      : job->route->idempotent ? GONE_DRAIN_US
					       : FORWARD_DRAIN_US);
}

/* ---- progress ---- */

static int first_failure_reason(const struct forward_job *job)
{
	for (guint i = 0; i < job->n_parts; i++) {
		if (job->parts[i].state == PART_FAILED)
			return job->parts[i].reason;
	}
	return CS_E_DEADLINE;
}

void forward_job_update(struct forward_job *job)
{
	gint64 now = forward_now(job->engine);
	gint64 due = job->deadline_us - FORWARD_ANSWER_MARGIN_US;
	gint64 partial_us = job->objective_us - FORWARD_ANSWER_MARGIN_US;

	if (job->closing)
		return;
	for (guint i = 0; i < job->n_parts; i++) {
		if (job->parts[i].state == PART_OPEN ||
		    job->parts[i].state == PART_WAITING)
			due = MIN(due,
				  forward_part_run_timers(&job->parts[i], now));
	}
	if (job->n_done + job->n_failed == job->n_parts &&
	    job->n_done >= forward_parts_needed(job)) {
		if (job->n_failed)
			cs_counters_add(job->engine->counters,
					CS_N_PARTIAL_FAILED, 1);
		finish(job);
		return;
	}
	if (job->n_failed > job->n_parts - forward_parts_needed(job)) {
		forward_job_fail(job, first_failure_reason(job));
		return;
	}
	if (now >= partial_us && job->n_done >= forward_parts_needed(job)) {
		cs_counters_add(job->engine->counters, CS_N_PARTIAL_OBJECTIVE,
				1);
		finish(job);
		return;
	}
	if (now >= job->deadline_us - FORWARD_ANSWER_MARGIN_US) {
		forward_job_fail(job, CS_E_DEADLINE);
		return;
	}
	if (now < partial_us)
		due = MIN(due, partial_us);
	cs_timer_arm(job->engine->clock, &job->timer, due);
}

static void on_timer(struct cs_timer *timer)
{
	forward_job_update(job_of(timer, timer));
}

static gint64 deadline_of(const struct forward_engine *engine,
			  const struct http1_message *request,
			  const struct route *route)
{
	const char *text =
		http1_message_header(request, engine->dialect->deadline_ms);
	gint64 left_us = route->timeout_us;
	gint64 requested_ms = text ? strtoll(text, NULL, 10) : 0;

	if (requested_ms > 0)
		left_us = MIN(left_us, requested_ms * CS_US_PER_MS);
	return forward_now(engine) + left_us;
}

static const char *service_of(struct route *route, guint part)
{
	switch (route->target) {
	case ROUTE_SERVICE:
		return route->service;
	case ROUTE_SPLIT:
		return route_next_service(route);
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
	struct route_work *work = route_fleet_work(engine->fleet, route);

	job->engine = engine;
	job->exchange = exchange;
	job->table = route_table_ref(engine->table);
	job->route = route;
	job->request = request;
	job->request_id =
		http1_message_header(request, engine->dialect->request_id);
	job->number = ++engine->n_jobs;
	job->started_us = forward_now(engine);
	job->deadline_us = deadline_of(engine, request, route);
	job->objective_us =
		MIN(job->started_us + route->objective_us, job->deadline_us);
	job->timer.fire = on_timer;
	job->n_parts = n;
	job->parts = job->own_parts;
	for (guint i = 0; i < n; i++) {
		struct forward_part *part = &job->parts[i];

		part->job = job;
		part->route = route;
		part->work = work;
		part->pool =
			route_fleet_pool(engine->fleet, service_of(route, i));
		TAILQ_INIT(&part->attempts);
	}
	TAILQ_INSERT_TAIL(&engine->jobs, job, link);
	http1_exchange_set_data(exchange, job);
	return job;
}

/* Return: a result code if so many parts can be sent to no replica in time that
 * the job fails, else 0. */
static int too_few_replicas(struct forward_job *job)
{
	guint n[ROUTE_UNAVAILABLE_N] = {0};

	for (guint i = 0; i < job->n_parts; i++) {
		enum route_unavailable unavailable;

		forward_part_choose(&job->parts[i], &unavailable);
		n[unavailable]++;
	}
	if (n[ROUTE_NO_REPLICA] + n[ROUTE_RATE_LIMITED] + n[ROUTE_RESTING] <=
	    job->n_parts - forward_parts_needed(job))
		return 0;
	if (n[ROUTE_NO_REPLICA])
		return CS_E_NO_REPLICA;
	return n[ROUTE_RESTING] ? CS_E_REST : CS_E_RATE_LIMIT;
}

static void begin_at_replicas(struct forward_job *job)
{
	int code;

	for (guint i = 0; i < job->n_parts; i++)
		route_pool_deposit(job->parts[i].pool, job->started_us);
	code = too_few_replicas(job);
	if (code) {
		forward_job_fail(job, code);
		return;
	}
	for (guint i = 0; i < job->n_parts; i++)
		forward_part_try(&job->parts[i]);
	forward_job_update(job);
}

void forward_job_begin(struct forward_engine *engine,
		       struct http1_exchange *exchange,
		       const struct http1_message *request, struct route *route)
{
	struct forward_job *job = create_job(engine, exchange, request, route);

	if (!forward_stop_admits(job)) {
		forward_job_fail(job, CS_E_STOPPING);
	} else if (!forward_blocklist_admits(job)) {
		forward_job_fail(job, CS_E_BLOCKED);
	} else if (forward_relays_wanted(engine->relays)) {
		forward_job_relay(job);
		forward_job_update(job);
	} else if (!forward_contact_exists(engine->contact) &&
		   forward_contact_silent(engine->contact)) {
		forward_job_fail(job, CS_E_NO_CONTACT);
	} else {
		begin_at_replicas(job);
	}
}

void forward_job_begin_relayed(struct forward_engine *engine,
			       struct http1_exchange *exchange,
			       const struct http1_message *request,
			       struct route *route, gint64 held_us,
			       guint n_used)
{
	struct forward_job *job = create_job(engine, exchange, request, route);

	job->relayed = true;
	job->n_used = n_used;
	job->objective_us = MAX(job->objective_us - held_us, job->started_us);
	if (!forward_stop_admits(job))
		forward_job_fail(job, CS_E_STOPPING);
	else if (!forward_blocklist_admits(job))
		forward_job_fail(job, CS_E_BLOCKED);
	else
		begin_at_replicas(job);
}

bool forward_job_merges(const struct forward_job *job)
{
	return job->route->target == ROUTE_FANOUT && !job->relaying;
}
