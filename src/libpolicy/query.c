/* The state machine of one query. */
#include "query.h"

#include "cuminsail/clock.h"

#include <string.h>

/* Most attempts for one shard, first one included. */
#define ATTEMPTS_MAX 4

/* ---- the pin ---- */

static void clear_shard(struct shard *shard)
{
	g_ptr_array_unref(shard->tried);
	if (shard->hits)
		g_ptr_array_unref(shard->hits);
}

static void set_pin(struct policy_query *query, struct policy_pin *pin)
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

/* ---- admission ---- */

/* New work that would only wait past its deadline is refused at once. */
static bool queue_is_stale(const struct policy_service *service,
			   gint64 deadline_us, gint64 now_us)
{
	const struct policy_query *oldest = TAILQ_FIRST(&service->waiters);

	if (!oldest)
		return false;
	return now_us - oldest->waiting_since_us > (deadline_us - now_us) / 2;
}

/* ---- progress ---- */

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
static void after_failure(struct policy_query *query, struct shard *shard,
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

static void hedge_slow(struct policy_query *query, gint64 now_us)
{
	for (guint i = 0; i < query->shards->len; i++) {
		struct shard *shard = query_shard(query, i);

		if (shard->state == SHARD_ASKED && now_us >= shard->hedge_us)
			hedge_shard(query, shard, now_us);
	}
}

static void time_out(struct policy_query *query, gint64 now_us)
{
	struct attempt *attempt = TAILQ_FIRST(&query->open);

	while (attempt) {
		struct attempt *next = TAILQ_NEXT(attempt, link);
		struct shard *shard = attempt->shard;

		if (now_us >= attempt->timeout_us) {
			attempt_cancel(query, attempt, POLICY_TIMEOUT, now_us);
			after_failure(query, shard, POLICY_TIMEOUT);
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
	set_pin(query, pin);
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

static void advance(struct policy_query *query, gint64 now_us)
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

/* ---- the interface ---- */

static void init_query(struct policy_query *query, const struct policy_ask *ask,
		       gint64 now_us)
{
	query->ask = *ask;
	query->request_id = g_strdup(ask->request_id);
	query->ask.request_id = query->request_id;
	query->begun_us = now_us;
	query->shards = g_array_new(FALSE, TRUE, sizeof(struct shard));
	g_array_set_clear_func(query->shards, (GDestroyNotify)clear_shard);
	query->notes = g_array_new(FALSE, TRUE, sizeof(struct note));
	g_array_set_clear_func(query->notes, (GDestroyNotify)clear_note);
	TAILQ_INIT(&query->open);
	TAILQ_INIT(&query->actions);
}

struct policy_query *policy_query_create(struct policy_fleet *fleet,
					 struct policy_service *service,
					 struct cs_counters *counters,
					 const struct policy_ask *ask,
					 gint64 now_us, int *error)
{
	struct policy_query *query;
	struct policy_pin *pin;

	*error = 0;
	if (now_us + REPLY_RESERVE_US >= ask->deadline_us)
		*error = CS_E_DEADLINE;
	else if (queue_is_stale(service, ask->deadline_us, now_us))
		*error = CS_E_OVERLOAD;
	if (*error)
		return NULL;
	pin = policy_fleet_pin(fleet, service, now_us);
	if (!pin) {
		*error = CS_E_NO_SNAPSHOT;
		return NULL;
	}
	*error = policy_service_enter(service);
	if (*error) {
		policy_pin_unref(pin);
		return NULL;
	}
	query = g_new0(struct policy_query, 1);
	query->fleet = fleet;
	query->service = service;
	query->counters = counters;
	init_query(query, ask, now_us);
	set_pin(query, pin);
	advance(query, now_us);
	return query;
}

/* Shards that took more than a quarter of the query's time. */
static guint count_late(const struct policy_query *query)
{
	gint64 time_us = query->ask.deadline_us - query->begun_us;
	guint late = 0;

	for (guint i = 0; i < query->shards->len; i++) {
		const struct shard *shard = query_shard(query, i);

		if (shard->state != SHARD_DONE ||
		    shard->done_us - query->begun_us > time_us / 4)
			late++;
	}
	return late;
}

/*
 * A query that lacked room, or took more than half of its time. One slow shard
 * is a straggler; where half of them are late there is too much work.
 */
static bool was_pressed(const struct policy_query *query, gint64 now_us)
{
	gint64 time_us = query->ask.deadline_us - query->begun_us;

	if (query->finished && query->answer.code == CS_E_OVERLOAD)
		return true;
	if (now_us - query->begun_us <= time_us / 2)
		return false;
	return 2 * count_late(query) >= query->shards->len;
}

void policy_query_destroy(struct policy_query *query, gint64 now_us)
{
	struct policy_action action;

	if (!query)
		return;
	query_cancel_open(query, NULL, now_us);
	query_set_waiter(query, false, now_us);
	policy_service_leave(query->service, was_pressed(query, now_us),
			     now_us);
	while (policy_query_next(query, &action))
		continue;
	g_array_unref(query->shards);
	g_array_unref(query->notes);
	if (query->answer.hits)
		g_ptr_array_unref(query->answer.hits);
	policy_pin_unref(query->pin);
	policy_pin_unref(query->old_pin);
	g_free(query->request_id);
	g_free(query);
}

static void take_part(struct shard *shard, struct policy_part *part,
		      gint64 now_us)
{
	shard->state = SHARD_DONE;
	shard->done_us = now_us;
	shard->covered = part->searched;
	shard->hits = g_steal_pointer(&part->hits);
}

void policy_query_answered(struct policy_query *query, gint64 attempt,
			   struct policy_part *part, gint64 now_us)
{
	struct attempt *found = attempt_find(query, attempt);
	enum policy_result result;
	struct shard *shard;

	if (!found) {
		cs_counters_add(query->counters, CS_N_LATE, 1);
		policy_part_destroy(part);
		return;
	}
	query->may_have_run = true;
	shard = found->shard;
	result = check_part(query, found, part);
	if (result == POLICY_LACKS)
		policy_upstream_deny(found->upstream, query->pin->snapshot,
				     now_us);
	if (result == POLICY_DONE && found->cause == POLICY_HEDGE)
		cs_counters_add(query->counters, CS_N_HEDGE_WINS, 1);
	attempt_close(query, found, result, now_us);
	if (result == POLICY_DONE) {
		take_part(shard, part, now_us);
		query_cancel_open(query, shard, now_us);
	} else {
		after_failure(query, shard, result);
	}
	policy_part_destroy(part);
	advance(query, now_us);
}

void policy_query_failed(struct policy_query *query, gint64 attempt,
			 enum policy_result result, gint64 now_us)
{
	struct attempt *found = attempt_find(query, attempt);
	struct shard *shard;

	if (!found)
		return;
	shard = found->shard;
	if (result == POLICY_LACKS)
		policy_upstream_deny(found->upstream, query->pin->snapshot,
				     now_us);
	attempt_close(query, found, result, now_us);
	after_failure(query, shard, result);
	advance(query, now_us);
}

void policy_query_tick(struct policy_query *query, gint64 now_us)
{
	if (query->finished)
		return;
	if (now_us < query_latest_reply(query)) {
		time_out(query, now_us);
		hedge_slow(query, now_us);
	}
	advance(query, now_us);
}

gint64 policy_query_wake(const struct policy_query *query)
{
	gint64 wake = query_latest_reply(query);
	const struct attempt *attempt;

	TAILQ_FOREACH (attempt, &query->open, link)
		wake = MIN(wake, attempt->timeout_us);
	for (guint i = 0; i < query->shards->len; i++) {
		const struct shard *shard = query_shard(query, i);

		if (shard->state == SHARD_ASKED)
			wake = MIN(wake, shard->hedge_us);
	}
	return wake;
}

const struct policy_answer *policy_query_result(
	const struct policy_query *query)
{
	return &query->answer;
}

void policy_query_set_user(struct policy_query *query, void *user)
{
	query->user = user;
}
