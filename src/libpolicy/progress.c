/* How a query goes on: shards asked, asked again, hedged, given up. */
#include "query.h"

#include "cuminsail/clock.h"

#include <string.h>

/* Most attempts for one shard, first one included. */
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

static bool is_free(enum policy_result result)
{
	return result == POLICY_UNSENT || result == POLICY_LACKS ||
	       result == POLICY_MOVED;
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
	case POLICY_MOVED:
		return CS_N_RETRY_MOVED;
	case POLICY_DONE:
	case POLICY_LACKS:
	case POLICY_BAD:
	case POLICY_DROPPED:
	case POLICY_WITHDRAWN:
		break;
	}
	return CS_N_RETRY_BAD;
}

/* After a failure: ask again, or give the shard up. */
void query_ask_again(struct policy_query *query, struct shard *shard,
		     enum policy_result result)
{
	if (shard->state != SHARD_ASKED || shard->open)
		return;
	cs_counters_add(query->counters, retry_counter(result), 1);
	shard->next_cause = POLICY_RETRY;
	shard->state = SHARD_WAITING;
	if (shard->tried->len >= ATTEMPTS_MAX) {
		shard->state = SHARD_FAILED;
		return;
	}
	if (is_free(result) || policy_service_spend(query->service))
		return;
	cs_counters_add(query->counters, CS_N_NO_BUDGET, 1);
	shard->state = SHARD_FAILED;
}

/* Send what a waiting shard needs; true if it still waits for room. */
static bool ask_shard(struct policy_query *query, struct shard *shard,
		      gint64 now_us)
{
	enum policy_lack lack;
	struct policy_upstream *upstream = policy_fleet_choose(
		query->fleet, query->service, shard->listed->id,
		query->pin->snapshot, shard->tried, now_us, &lack);

	switch (lack) {
	case POLICY_LACK_NONE:
		attempt_send(query, shard, upstream, shard->next_cause, now_us);
		return false;
	case POLICY_LACK_ROOM:
		query->room_lacked = true;
		return true;
	case POLICY_LACK_HOLDER:
		shard->state = SHARD_FAILED;
		return false;
	}
	return false;
}

static bool ask_waiting(struct policy_query *query, gint64 now_us)
{
	bool waits = false;

	for (guint i = 0; i < query->shards->len; i++) {
		struct shard *shard = query_shard(query, i);

		if (shard->state == SHARD_WAITING)
			waits = ask_shard(query, shard, now_us) || waits;
	}
	return waits;
}

static void hedge_shard(struct policy_query *query, struct shard *shard,
			gint64 now_us)
{
	enum policy_lack lack;
	struct policy_upstream *upstream;

	shard->hedged = true;
	shard->hedge_us = G_MAXINT64;
	upstream = policy_fleet_choose(query->fleet, query->service,
				       shard->listed->id, query->pin->snapshot,
				       shard->tried, now_us, &lack);
	if (!upstream)
		return;
	if (policy_service_spend(query->service))
		attempt_send(query, shard, upstream, POLICY_HEDGE, now_us);
	else
		cs_counters_add(query->counters, CS_N_NO_BUDGET, 1);
}

void query_hedge_slow(struct policy_query *query, gint64 now_us)
{
	for (guint i = 0; i < query->shards->len; i++) {
		struct shard *shard = query_shard(query, i);

		if (shard->state == SHARD_ASKED && now_us >= shard->hedge_us)
			hedge_shard(query, shard, now_us);
	}
}

void query_time_out(struct policy_query *query, gint64 now_us)
{
	struct attempt *attempt = TAILQ_FIRST(&query->open);

	while (attempt) {
		struct attempt *next = TAILQ_NEXT(attempt, link);
		struct shard *shard = attempt->shard;

		if (now_us >= attempt->timeout_us) {
			attempt_cancel(query, attempt, POLICY_TIMEOUT, now_us);
			query_ask_again(query, shard, POLICY_TIMEOUT);
		}
		attempt = next;
	}
}

/* A query whose snapshot has gone may start once more on a newer one. */
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

static guint count_state(const struct policy_query *query,
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
	bool waits;

	if (query->finished)
		return;
	if (now_us >= query_latest_reply(query)) {
		query_finish(query, now_us);
		return;
	}
	waits = ask_waiting(query, now_us);
	if (count_state(query, SHARD_FAILED) && restart(query, now_us))
		waits = ask_waiting(query, now_us);
	query_set_waiter(query, waits, now_us);
	if (!waits && TAILQ_EMPTY(&query->open))
		query_finish(query, now_us);
}
