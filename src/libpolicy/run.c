/*
 * Execution of one order. One attempt is open at a time; another follows only
 * on proof that the last one did not run.
 */
#include "service.h"

#include "cuminsail/clock.h"
#include "cuminsail/policy_orders.h"

/* Most attempts per order, each retry on proof that the last did not run. */
#define ATTEMPTS_MAX 4

/* A run that found no free slot looks for one again at this interval. */
#define CAPACITY_POLL_US (2 * CS_US_PER_MS)

struct policy_run {
	struct policy_fleet *fleet;
	struct policy_service *service;
	struct cs_counters *counters;
	GPtrArray *tried;
	struct policy_upstream *upstream; /* of the open attempt, or NULL */
	gint64 attempt; /* number of the last attempt; 0 before the first */
	gint64 sent_us; /* of the last attempt */
	gint64 deadline_us; /* no attempt is sent after this time */
	gint64 timeout_us; /* of the last attempt */
	gint64 last_choice_us; /* time of the last choice, successful or not */
	int last_code; /* why the last attempt did not run */
	bool finished;
	bool send_due;
	bool finish_due;
	int code;
	enum cs_outcome outcome;
};

static void finish(struct policy_run *run, int code, enum cs_outcome outcome)
{
	run->finished = true;
	run->finish_due = true;
	run->code = code;
	run->outcome = outcome;
}

static void start_attempt(struct policy_run *run,
			  struct policy_upstream *upstream, gint64 now_us)
{
	const struct config_service *config = run->service->config;

	run->upstream = upstream;
	run->attempt++;
	run->sent_us = now_us;
	run->timeout_us = now_us + config->part_timeout_ms * CS_US_PER_MS;
	run->send_due = true;
	g_ptr_array_add(run->tried, upstream);
	policy_upstream_begin(upstream);
	if (run->attempt == 1) {
		cs_counters_add(run->counters, CS_N_PARTS, 1);
		policy_service_deposit(run->service, now_us);
	} else {
		cs_counters_add(run->counters, CS_N_RETRIES, 1);
	}
}

static void advance(struct policy_run *run, gint64 now_us)
{
	struct policy_upstream *upstream;
	enum policy_unavailable reason;

	if (run->finished || run->upstream)
		return;
	run->last_choice_us = now_us;
	if (now_us >= run->deadline_us) {
		finish(run, run->last_code ? run->last_code : CS_E_DEADLINE,
		       CS_NOT_RUN);
		return;
	}
	upstream = policy_fleet_choose(run->fleet, run->service, NULL, NULL,
				       run->tried, now_us, &reason);
	if (upstream)
		start_attempt(run, upstream, now_us);
	else if (reason == POLICY_NO_HOLDER)
		finish(run, run->last_code ? run->last_code : CS_E_OVERLOAD,
		       CS_NOT_RUN);
}

struct policy_run *policy_run_create(struct policy_fleet *fleet,
				     struct policy_service *service,
				     struct cs_counters *counters,
				     gint64 deadline_us, gint64 now_us,
				     int *error)
{
	struct policy_run *run;

	*error = now_us >= deadline_us ? CS_E_DEADLINE
				       : policy_service_admit(service);
	if (*error)
		return NULL;
	run = g_new0(struct policy_run, 1);
	run->fleet = fleet;
	run->service = service;
	run->counters = counters;
	run->deadline_us = deadline_us;
	run->tried = g_ptr_array_new();
	advance(run, now_us);
	return run;
}

void policy_run_destroy(struct policy_run *run, gint64 now_us)
{
	if (!run)
		return;
	if (run->upstream)
		policy_upstream_end(run->fleet, run->upstream, POLICY_CANCELLED,
				    run->sent_us, now_us);
	policy_service_release(run->service, run->code == CS_E_OVERLOAD,
			       now_us);
	g_ptr_array_unref(run->tried);
	g_free(run);
}

bool policy_run_next(struct policy_run *run, struct policy_action *action)
{
	if (run->send_due) {
		run->send_due = false;
		*action = (struct policy_action){
			.kind = POLICY_SEND,
			.attempt = run->attempt,
			.upstream = run->upstream,
			.deadline_us = run->timeout_us,
		};
		return true;
	}
	if (run->finish_due) {
		run->finish_due = false;
		*action = (struct policy_action){.kind = POLICY_FINISH};
		return true;
	}
	return false;
}

/*
 * The attempt provably did not run. Leaves the run open for another attempt if
 * ATTEMPTS_MAX and the budget allow it. An attempt that was not sent, or was
 * addressed to another incarnation, put no load on an upstream: its retry needs
 * no budget.
 */
static void retry_or_finish(struct policy_run *run, enum policy_result result)
{
	bool sent =
		result != POLICY_UNSENT && result != POLICY_OTHER_INCARNATION;

	run->last_code = sent ? CS_E_REFUSED : CS_E_IO;
	cs_counters_add(run->counters,
			sent ? CS_N_RETRY_REFUSED : CS_N_RETRY_UNSENT, 1);
	if (run->attempt >= ATTEMPTS_MAX) {
		finish(run, run->last_code, CS_NOT_RUN);
	} else if (sent && !policy_service_withdraw(run->service)) {
		cs_counters_add(run->counters, CS_N_NO_BUDGET, 1);
		finish(run, run->last_code, CS_NOT_RUN);
	}
}

void policy_run_closed(struct policy_run *run, gint64 attempt,
		       enum policy_result result, gint64 now_us)
{
	struct policy_upstream *upstream = run->upstream;

	if (!upstream || attempt != run->attempt)
		return;
	run->upstream = NULL;
	policy_upstream_end(run->fleet, upstream, result, run->sent_us, now_us);
	switch (result) {
	case POLICY_DONE:
		finish(run, 0, CS_ANSWERED);
		break;
	case POLICY_UNSENT:
	case POLICY_REFUSED:
	case POLICY_LACKS_SNAPSHOT:
	case POLICY_OTHER_INCARNATION:
		retry_or_finish(run, result);
		break;
	case POLICY_BAD_ANSWER:
		finish(run, CS_E_BAD_ANSWER, CS_UNKNOWN);
		break;
	case POLICY_LOST:
	case POLICY_TIMEOUT:
	case POLICY_CANCELLED:
	case POLICY_WITHDRAWN:
		finish(run, CS_E_LOST, CS_UNKNOWN);
		break;
	}
	advance(run, now_us);
}

void policy_run_tick(struct policy_run *run, gint64 now_us)
{
	if (run->upstream && now_us >= run->timeout_us)
		policy_run_closed(run, run->attempt, POLICY_TIMEOUT, now_us);
	else
		advance(run, now_us);
}

gint64 policy_run_next_tick_us(const struct policy_run *run)
{
	if (run->upstream)
		return run->timeout_us;
	return MIN(run->deadline_us, run->last_choice_us + CAPACITY_POLL_US);
}

struct policy_upstream *policy_run_upstream(const struct policy_run *run)
{
	return run->upstream;
}

gint64 policy_run_attempt(const struct policy_run *run)
{
	return run->attempt;
}

int policy_run_result(const struct policy_run *run, enum cs_outcome *outcome)
{
	*outcome = run->outcome;
	return run->code;
}
