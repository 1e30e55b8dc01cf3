/* The state machine of one query: admission, events and destruction. */
#include "query.h"

#include "cuminsail/clock.h"

/* ---- shards ---- */

static void clear_shard(struct shard *shard)
{
	g_ptr_array_unref(shard->tried);
	if (shard->hits)
		g_ptr_array_unref(shard->hits);
}

/* ---- admission ---- */

/*
 * Whether the oldest waiting query has waited for more than half of the time
 * that a new query has. The new one would probably wait past its deadline, so
 * it is refused at once.
 */
static bool queue_wait_is_too_long(const struct policy_service *service,
				   gint64 deadline_us, gint64 now_us)
{
	const struct policy_query *oldest = TAILQ_FIRST(&service->waiters);

	if (!oldest)
		return false;
	return now_us - oldest->waiting_since_us > (deadline_us - now_us) / 2;
}

/* ---- public functions ---- */

static void init_query(struct policy_query *query,
		       const struct policy_query_params *params, gint64 now_us)
{
	query->params = *params;
	query->request_id = g_strdup(params->request_id);
	query->params.request_id = query->request_id;
	query->started_us = now_us;
	query->shards = g_array_new(FALSE, TRUE, sizeof(struct shard));
	g_array_set_clear_func(query->shards, (GDestroyNotify)clear_shard);
	query->attempt_records =
		g_array_new(FALSE, TRUE, sizeof(struct attempt_record));
	g_array_set_clear_func(query->attempt_records,
			       (GDestroyNotify)clear_attempt_record);
	TAILQ_INIT(&query->open_attempts);
	TAILQ_INIT(&query->actions);
}

struct policy_query *policy_query_create(
	struct policy_fleet *fleet, struct policy_service *service,
	struct cs_counters *counters, const struct policy_query_params *params,
	gint64 now_us, int *error)
{
	struct policy_query *query;
	struct policy_pin *pin;

	*error = 0;
	if (now_us + REPLY_RESERVE_US >= params->deadline_us)
		*error = CS_E_DEADLINE;
	else if (queue_wait_is_too_long(service, params->deadline_us, now_us))
		*error = CS_E_OVERLOAD;
	if (*error)
		return NULL;
	pin = policy_fleet_pin(fleet, service, now_us);
	if (!pin) {
		*error = CS_E_NO_SNAPSHOT;
		return NULL;
	}
	*error = policy_service_admit(service);
	if (*error) {
		policy_pin_unref(pin);
		return NULL;
	}
	query = g_new0(struct policy_query, 1);
	query->fleet = fleet;
	query->service = service;
	query->counters = counters;
	init_query(query, params, now_us);
	query_set_pin(query, pin);
	query_advance(query, now_us);
	return query;
}

/* Shards unanswered, or answered after a quarter of the query's time. */
static guint count_late_shards(const struct policy_query *query)
{
	gint64 time_us = query->params.deadline_us - query->started_us;
	guint late = 0;

	for (guint i = 0; i < query->shards->len; i++) {
		const struct shard *shard = query_shard(query, i);

		if (shard->state != SHARD_DONE ||
		    shard->done_us - query->started_us > time_us / 4)
			late++;
	}
	return late;
}

/*
 * Whether the end of the query indicates an overload: it was refused
 * because no slot was free, or it took more than half of its time and at least
 * half of its shards were late. A single late shard is a straggler and does not
 * indicate an overload.
 */
static bool was_overloaded(const struct policy_query *query, gint64 now_us)
{
	gint64 time_us = query->params.deadline_us - query->started_us;

	if (query->finished && query->answer.code == CS_E_OVERLOAD)
		return true;
	if (now_us - query->started_us <= time_us / 2)
		return false;
	return 2 * count_late_shards(query) >= query->shards->len;
}

void policy_query_destroy(struct policy_query *query, gint64 now_us)
{
	struct policy_action action;

	if (!query)
		return;
	query_cancel_open(query, NULL, now_us);
	query_set_waiting(query, false, now_us);
	policy_service_release(query->service, was_overloaded(query, now_us),
			       now_us);
	while (policy_query_next(query, &action))
		continue;
	g_array_unref(query->shards);
	g_array_unref(query->attempt_records);
	if (query->answer.hits)
		g_ptr_array_unref(query->answer.hits);
	policy_pin_unref(query->pin);
	policy_pin_unref(query->old_pin);
	g_free(query->request_id);
	g_free(query);
}

static void accept_part(struct shard *shard, struct policy_part *part,
			gint64 now_us)
{
	shard->state = SHARD_DONE;
	shard->done_us = now_us;
	shard->searched = part->searched;
	shard->hits = g_steal_pointer(&part->hits);
}

void policy_query_answered(struct policy_query *query, gint64 attempt,
			   struct policy_part *part, gint64 now_us)
{
	struct attempt *found = attempt_find(query, attempt);
	enum policy_result result;
	struct shard *shard;

	/* The attempt was closed before: cancelled, timed out or answered. */
	if (!found) {
		cs_counters_add(query->counters, CS_N_LATE, 1);
		policy_part_destroy(part);
		return;
	}
	query->may_have_run = true;
	shard = found->shard;
	result = check_part(query, found, part);
	if (result == POLICY_LACKS_SNAPSHOT)
		policy_upstream_deny_snapshot(found->upstream,
					      query->pin->snapshot, now_us);
	if (result == POLICY_DONE && found->cause == POLICY_HEDGE)
		cs_counters_add(query->counters, CS_N_HEDGE_WINS, 1);
	attempt_close(query, found, result, now_us);
	if (result == POLICY_DONE) {
		accept_part(shard, part, now_us);
		query_cancel_open(query, shard, now_us);
	} else {
		query_retry_or_fail(query, shard, result);
	}
	policy_part_destroy(part);
	query_advance(query, now_us);
}

void policy_query_failed(struct policy_query *query, gint64 attempt,
			 enum policy_result result, gint64 now_us)
{
	struct attempt *found = attempt_find(query, attempt);
	struct shard *shard;

	if (!found)
		return;
	shard = found->shard;
	if (result == POLICY_LACKS_SNAPSHOT)
		policy_upstream_deny_snapshot(found->upstream,
					      query->pin->snapshot, now_us);
	attempt_close(query, found, result, now_us);
	query_retry_or_fail(query, shard, result);
	query_advance(query, now_us);
}

void policy_query_tick(struct policy_query *query, gint64 now_us)
{
	if (query->finished)
		return;
	if (now_us < query_reply_deadline(query)) {
		query_expire_attempts(query, now_us);
		query_hedge_slow(query, now_us);
	}
	query_advance(query, now_us);
}

gint64 policy_query_next_tick_us(const struct policy_query *query)
{
	gint64 next_us = query_reply_deadline(query);
	const struct attempt *attempt;

	TAILQ_FOREACH (attempt, &query->open_attempts, link)
		next_us = MIN(next_us, attempt->timeout_us);
	for (guint i = 0; i < query->shards->len; i++) {
		const struct shard *shard = query_shard(query, i);

		if (shard->state == SHARD_IN_FLIGHT)
			next_us = MIN(next_us, shard->hedge_us);
	}
	return next_us;
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
