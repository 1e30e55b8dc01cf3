/* The action queue of a query; sending, closing and cancelling attempts. */
#include "query.h"

void query_push_action(struct policy_query *query, struct policy_action action)
{
	struct queued_action *queued = g_new0(struct queued_action, 1);

	queued->action = action;
	TAILQ_INSERT_TAIL(&query->actions, queued, link);
}

bool policy_query_next(struct policy_query *query, struct policy_action *action)
{
	struct queued_action *queued = TAILQ_FIRST(&query->actions);

	if (!queued)
		return false;
	TAILQ_REMOVE(&query->actions, queued, link);
	*action = queued->action;
	g_free(queued);
	return true;
}

struct shard *query_shard(const struct policy_query *query, guint index)
{
	return &g_array_index(query->shards, struct shard, index);
}

static void count_attempt(struct policy_query *query, enum policy_cause cause,
			  gint64 now_us)
{
	switch (cause) {
	case POLICY_FIRST:
		cs_counters_add(query->counters, CS_N_PARTS, 1);
		policy_service_deposit(query->service, now_us);
		break;
	case POLICY_RETRY:
		cs_counters_add(query->counters, CS_N_RETRIES, 1);
		break;
	case POLICY_HEDGE:
		cs_counters_add(query->counters, CS_N_HEDGES, 1);
		break;
	}
}

gint64 query_reply_deadline(const struct policy_query *query)
{
	return query->params.deadline_us - REPLY_RESERVE_US;
}

static void set_hedge_time(struct policy_query *query, struct shard *shard,
			   gint64 now_us)
{
	gint64 after_us = policy_service_hedge_us(query->service);

	if (after_us > 0 && !shard->hedged)
		shard->hedge_us = now_us + after_us;
	else
		shard->hedge_us = G_MAXINT64;
}

void attempt_send(struct policy_query *query, struct shard *shard,
		  struct policy_upstream *upstream, enum policy_cause cause,
		  gint64 now_us)
{
	const struct config_service *config = query->service->config;
	struct attempt *attempt = g_new0(struct attempt, 1);

	attempt->number = ++query->last_attempt;
	attempt->shard = shard;
	attempt->upstream = upstream;
	attempt->cause = cause;
	attempt->sent_us = now_us;
	attempt->timeout_us =
		MIN(now_us + config->part_timeout_ms * CS_US_PER_MS,
		    query_reply_deadline(query));
	TAILQ_INSERT_TAIL(&query->open_attempts, attempt, link);
	g_ptr_array_add(shard->tried, upstream);
	shard->state = SHARD_IN_FLIGHT;
	shard->n_open++;
	set_hedge_time(query, shard, now_us);
	policy_upstream_begin(upstream);
	count_attempt(query, cause, now_us);
	query_push_action(query, (struct policy_action){
					 .kind = POLICY_SEND,
					 .attempt = attempt->number,
					 .upstream = upstream,
					 .shard = shard->listed->id,
					 .snapshot = query->pin->snapshot,
					 .map = query->pin->map,
					 .deadline_us = attempt->timeout_us,
				 });
}

struct attempt *attempt_find(const struct policy_query *query, gint64 number)
{
	struct attempt *attempt;

	TAILQ_FOREACH (attempt, &query->open_attempts, link) {
		if (attempt->number == number)
			return attempt;
	}
	return NULL;
}

struct policy_upstream *policy_query_upstream(struct policy_query *query,
					      gint64 attempt)
{
	struct attempt *found = attempt_find(query, attempt);

	return found ? found->upstream : NULL;
}

void attempt_close(struct policy_query *query, struct attempt *attempt,
		   enum policy_result result, gint64 now_us)
{
	/* Only some results prove that the upstream did not run the attempt. */
	switch (result) {
	case POLICY_UNSENT:
	case POLICY_REFUSED:
	case POLICY_LACKS_SNAPSHOT:
	case POLICY_OTHER_INCARNATION:
	case POLICY_WITHDRAWN:
		break;
	case POLICY_DONE:
	case POLICY_LOST:
	case POLICY_TIMEOUT:
	case POLICY_BAD_ANSWER:
	case POLICY_CANCELLED:
		query->may_have_run = true;
		break;
	}
	record_attempt(query, attempt, result, now_us);
	TAILQ_REMOVE(&query->open_attempts, attempt, link);
	attempt->shard->n_open--;
	policy_upstream_end(query->fleet, attempt->upstream, result,
			    attempt->sent_us, now_us);
	g_free(attempt);
}

/* Removes the attempt's POLICY_SEND from the queue; false if it was fetched. */
static bool unqueue_send(struct policy_query *query, gint64 number)
{
	struct queued_action *queued;

	TAILQ_FOREACH (queued, &query->actions, link) {
		if (queued->action.kind == POLICY_SEND &&
		    queued->action.attempt == number)
			break;
	}
	if (!queued)
		return false;
	TAILQ_REMOVE(&query->actions, queued, link);
	g_free(queued);
	return true;
}

void attempt_cancel(struct policy_query *query, struct attempt *attempt,
		    enum policy_result result, gint64 now_us)
{
	if (unqueue_send(query, attempt->number)) {
		attempt_close(query, attempt, POLICY_WITHDRAWN, now_us);
		return;
	}
	query_push_action(query, (struct policy_action){
					 .kind = POLICY_CANCEL,
					 .attempt = attempt->number,
				 });
	cs_counters_add(query->counters, CS_N_CANCELS, 1);
	attempt_close(query, attempt, result, now_us);
}

/* Cancels the open attempts of one shard, or of all if @shard is NULL. */
void query_cancel_open(struct policy_query *query, const struct shard *shard,
		       gint64 now_us)
{
	struct attempt *attempt = TAILQ_FIRST(&query->open_attempts);

	while (attempt) {
		struct attempt *next = TAILQ_NEXT(attempt, link);

		if (!shard || attempt->shard == shard)
			attempt_cancel(query, attempt, POLICY_CANCELLED,
				       now_us);
		attempt = next;
	}
}
