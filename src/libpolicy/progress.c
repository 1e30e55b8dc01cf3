/* Progress of a query: dispatch, retry, hedge and failure of its shards. */
#include "query.h"

#include "cuminsail/clock.h"

#include <string.h>

/* After this many attempts at a shard, hedges included, it is not retried. */
#define ATTEMPTS_MAX 4

void query_set_pin(struct policy_query *query, struct policy_pin *pin)
{
	query->pin = pin;
	g_array_set_size(query->shards, 0);
	for (guint i = 0; i < pin->shards->len; i++) {
		struct shard shard = {
			.listed = pin->shards->pdata[i],
			.tried = g_ptr_array_new(),
			.hedge_us = G_MAXINT64,
		};

		g_array_append_val(query->shards, shard);
	}
}

/*
 * An attempt that was not sent, or was rejected for its snapshot or its
 * incarnation, put no load on an upstream: its retry needs no budget.
 */
static bool is_budget_exempt(enum policy_result result)
{
	return result == POLICY_UNSENT || result == POLICY_LACKS_SNAPSHOT ||
	       result == POLICY_OTHER_INCARNATION;
}

static enum cs_counter retry_counter(enum policy_result result)
{
	switch (result) {
	case POLICY_UNSENT:
		return CS_N_RETRY_UNSENT;
	case POLICY_REFUSED:
		return CS_N_RETRY_REFUSED;
	case POLICY_LOST:
		return CS_N_RETRY_LOST;
	case POLICY_TIMEOUT:
		return CS_N_RETRY_TIMEOUT;
	case POLICY_OTHER_INCARNATION:
		return CS_N_RETRY_INCARNATION;
	case POLICY_DONE:
	case POLICY_LACKS_SNAPSHOT:
	case POLICY_BAD_ANSWER:
	case POLICY_CANCELLED:
	case POLICY_WITHDRAWN:
		break;
	}
	return CS_N_RETRY_BAD;
}

/* Does nothing while another attempt at the shard is open. */
void query_retry_or_fail(struct policy_query *query, struct shard *shard,
			 enum policy_result result)
{
	if (shard->state != SHARD_IN_FLIGHT || shard->n_open)
		return;
	cs_counters_add(query->counters, retry_counter(result), 1);
	shard->next_cause = POLICY_RETRY;
	shard->state = SHARD_WAITING;
	if (shard->tried->len >= ATTEMPTS_MAX) {
		shard->state = SHARD_FAILED;
		return;
	}
	if (is_budget_exempt(result) || policy_service_withdraw(query->service))
		return;
	cs_counters_add(query->counters, CS_N_NO_BUDGET, 1);
	shard->state = SHARD_FAILED;
}

/* Sends the next attempt of a shard; true if it has to wait for a free slot. */
static bool dispatch_shard(struct policy_query *query, struct shard *shard,
			   gint64 now_us)
{
	enum policy_unavailable reason;
	struct policy_upstream *upstream = policy_fleet_choose(
		query->fleet, query->service, shard->listed->id,
		query->pin->snapshot, shard->tried, now_us, &reason);

	switch (reason) {
	case POLICY_AVAILABLE:
		attempt_send(query, shard, upstream, shard->next_cause, now_us);
		return false;
	case POLICY_NO_CAPACITY:
		query->lacked_capacity = true;
		return true;
	case POLICY_NO_HOLDER:
		shard->state = SHARD_FAILED;
		return false;
	}
	return false;
}

/* Dispatches all waiting shards; true if any has to go on waiting. */
static bool dispatch_waiting(struct policy_query *query, gint64 now_us)
{
	bool waiting = false;

	for (guint i = 0; i < query->shards->len; i++) {
		struct shard *shard = query_shard(query, i);

		if (shard->state == SHARD_WAITING)
			waiting =
				dispatch_shard(query, shard, now_us) || waiting;
	}
	return waiting;
}

/* Tries once per shard and pin; needs an untried upstream and budget. */
static void hedge_shard(struct policy_query *query, struct shard *shard,
			gint64 now_us)
{
	enum policy_unavailable reason;
	struct policy_upstream *upstream;

	shard->hedged = true;
	shard->hedge_us = G_MAXINT64;
	upstream = policy_fleet_choose(query->fleet, query->service,
				       shard->listed->id, query->pin->snapshot,
				       shard->tried, now_us, &reason);
	if (!upstream)
		return;
	if (policy_service_withdraw(query->service))
		attempt_send(query, shard, upstream, POLICY_HEDGE, now_us);
	else
		cs_counters_add(query->counters, CS_N_NO_BUDGET, 1);
}

void query_hedge_slow(struct policy_query *query, gint64 now_us)
{
	for (guint i = 0; i < query->shards->len; i++) {
		struct shard *shard = query_shard(query, i);

		if (shard->state == SHARD_IN_FLIGHT &&
		    now_us >= shard->hedge_us)
			hedge_shard(query, shard, now_us);
	}
}

void query_expire_attempts(struct policy_query *query, gint64 now_us)
{
	struct attempt *attempt = TAILQ_FIRST(&query->open_attempts);

	while (attempt) {
		struct attempt *next = TAILQ_NEXT(attempt, link);
		struct shard *shard = attempt->shard;

		if (now_us >= attempt->timeout_us) {
			attempt_cancel(query, attempt, POLICY_TIMEOUT, now_us);
			query_retry_or_fail(query, shard, POLICY_TIMEOUT);
		}
		attempt = next;
	}
}

/*
 * Restarts a query that has a failed shard, at most once, on the pin that a new
 * query would get. Returns false if that is the same pin. The typical cause is
 * that upstreams have replaced the pinned snapshot by a newer one.
 */
static bool restart(struct policy_query *query, gint64 now_us)
{
	struct policy_pin *pin;

	if (query->restarted)
		return false;
	pin = policy_fleet_pin(query->fleet, query->service, now_us);
	if (!pin)
		return false;
	if (pin->map == query->pin->map &&
	    !strcmp(pin->snapshot, query->pin->snapshot)) {
		policy_pin_unref(pin);
		return false;
	}
	query->restarted = true;
	cs_counters_add(query->counters, CS_N_RESTARTS, 1);
	query_cancel_open(query, NULL, now_us);
	query->old_pin = g_steal_pointer(&query->pin);
	query_set_pin(query, pin);
	return true;
}

static guint count_in_state(const struct policy_query *query,
			    enum shard_state state)
{
	guint count = 0;

	for (guint i = 0; i < query->shards->len; i++) {
		if (query_shard(query, i)->state == state)
			count++;
	}
	return count;
}

void query_advance(struct policy_query *query, gint64 now_us)
{
	bool waiting;

	if (query->finished)
		return;
	if (now_us >= query_reply_deadline(query)) {
		query_finish(query, now_us);
		return;
	}
	waiting = dispatch_waiting(query, now_us);
	if (count_in_state(query, SHARD_FAILED) && restart(query, now_us))
		waiting = dispatch_waiting(query, now_us);
	query_set_waiting(query, waiting, now_us);
	if (!waiting && TAILQ_EMPTY(&query->open_attempts))
		query_finish(query, now_us);
}
