/* The end of a query: what it came to, and its place among the waiting. */
#include "query.h"

void query_set_waiter(struct policy_query *query, bool waits, gint64 now_us)
{
	if (waits == query->is_waiter)
		return;
	query->is_waiter = waits;
	if (waits) {
		query->waiting_since_us = now_us;
		TAILQ_INSERT_TAIL(&query->service->waiters, query, waiter);
	} else {
		TAILQ_REMOVE(&query->service->waiters, query, waiter);
	}
}

void *policy_service_first_waiter(const struct policy_service *service)
{
	const struct policy_query *query = TAILQ_FIRST(&service->waiters);

	return query ? query->user : NULL;
}

static void sum_up(struct policy_query *query)
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
		answer->documents_answered += shard->covered;
		answer->shards_answered++;
	}
}

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

static int refusal(const struct policy_query *query, gint64 now_us)
{
	const struct policy_answer *answer = &query->answer;

	if (answer->shards_answered &&
	    coverage(answer) >= query->ask.least_coverage)
		return 0;
	if (query->room_lacked)
		return CS_E_OVERLOAD;
	if (now_us >= query_latest_reply(query))
		return CS_E_DEADLINE;
	return CS_E_COVERAGE;
}

void query_finish(struct policy_query *query, gint64 now_us)
{
	struct policy_answer *answer = &query->answer;

	query_cancel_open(query, NULL, now_us);
	query_set_waiter(query, false, now_us);
	sum_up(query);
	answer->code = refusal(query, now_us);
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
	query_push(query, (struct policy_action){.kind = POLICY_FINISH});
}
