/* The result of a query, and its place in the queue for a free slot. */
#include "query.h"

void query_set_waiting(struct policy_query *query, bool waiting, gint64 now_us)
{
	if (waiting == query->is_waiting)
		return;
	query->is_waiting = waiting;
	if (waiting) {
		query->waiting_since_us = now_us;
		TAILQ_INSERT_TAIL(&query->service->waiters, query, waiter_link);
	} else {
		TAILQ_REMOVE(&query->service->waiters, query, waiter_link);
	}
}

void *policy_service_first_waiter(const struct policy_service *service)
{
	const struct policy_query *query = TAILQ_FIRST(&service->waiters);

	return query ? query->user : NULL;
}

/* Adds up the documents and shards that were answered. */
static void sum_coverage(struct policy_query *query)
{
	struct policy_answer *answer = &query->answer;

	answer->pin = query->pin;
	answer->documents = query->pin->documents;
	answer->shards = query->shards->len;
	answer->documents_answered = 0;
	answer->shards_answered = 0;
	for (guint i = 0; i < query->shards->len; i++) {
		const struct shard *shard = query_shard(query, i);

		if (shard->state != SHARD_DONE)
			continue;
		answer->documents_answered += shard->searched;
		answer->shards_answered++;
	}
}

/* Share of the map's documents that were searched; of shards if it is empty. */
static double coverage(const struct policy_answer *answer)
{
	if (answer->documents > 0)
		return (double)answer->documents_answered /
		       (double)answer->documents;
	return (double)answer->shards_answered / answer->shards;
}

static bool is_complete(const struct policy_answer *answer)
{
	return answer->documents_answered == answer->documents &&
	       answer->shards_answered == answer->shards;
}

/* The reason to refuse the query, or 0 if its coverage is sufficient. */
static int refusal_code(const struct policy_query *query, gint64 now_us)
{
	const struct policy_answer *answer = &query->answer;

	if (answer->shards_answered &&
	    coverage(answer) >= query->params.min_coverage)
		return 0;
	if (query->lacked_capacity)
		return CS_E_OVERLOAD;
	if (now_us >= query_reply_deadline(query))
		return CS_E_DEADLINE;
	return CS_E_COVERAGE;
}

void query_finish(struct policy_query *query, gint64 now_us)
{
	struct policy_answer *answer = &query->answer;

	query_cancel_open(query, NULL, now_us);
	query_set_waiting(query, false, now_us);
	sum_coverage(query);
	answer->code = refusal_code(query, now_us);
	if (!answer->code)
		answer->outcome = CS_ANSWERED;
	else
		answer->outcome = query->may_have_run ? CS_UNKNOWN : CS_NOT_RUN;
	answer->hits = merge_hits(query);
	if (!answer->code)
		cs_counters_add(
			query->counters,
			is_complete(answer) ? CS_N_ANSWERED : CS_N_PARTIAL, 1);
	query->finished = true;
	query_push_action(query, (struct policy_action){.kind = POLICY_FINISH});
}
