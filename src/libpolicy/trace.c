/* The trace of a query: a record of each closed attempt, for operators. */
#include "query.h"

#include "cuminsail/clock.h"

static const char *cause_name(enum policy_cause cause)
{
	switch (cause) {
	case POLICY_FIRST:
		return "first";
	case POLICY_RETRY:
		return "retry";
	case POLICY_HEDGE:
		return "hedge";
	}
	return "first";
}

void record_attempt(struct policy_query *query, const struct attempt *attempt,
		    enum policy_result result, gint64 now_us)
{
	struct attempt_record record = {
		.number = attempt->number,
		.shard = g_strdup(attempt->shard->listed->id),
		.upstream = g_strdup(attempt->upstream->id),
		.cause = attempt->cause,
		.result = result,
		.sent_us = attempt->sent_us,
		.took_us = now_us - attempt->sent_us,
	};

	g_array_append_val(query->attempt_records, record);
}

void clear_attempt_record(struct attempt_record *record)
{
	g_free(record->shard);
	g_free(record->upstream);
}

static json_t *pack_attempt_record(const struct policy_query *query,
				   const struct attempt_record *record)
{
	gint64 after_us = record->sent_us - query->started_us;

	return json_pack("{s:I,s:s,s:s,s:s,s:s,s:f,s:f}", "attempt",
			 (json_int_t)record->number, "shard", record->shard,
			 "upstream", record->upstream, "cause",
			 cause_name(record->cause), "result",
			 policy_result_name(record->result), "sent_after_ms",
			 (double)after_us / CS_US_PER_MS, "took_ms",
			 (double)record->took_us / CS_US_PER_MS);
}

json_t *policy_query_trace(const struct policy_query *query, gint64 now_us)
{
	const struct policy_answer *answer = &query->answer;
	json_t *attempts = json_array();

	for (guint i = 0; i < query->attempt_records->len; i++)
		json_array_append_new(
			attempts,
			pack_attempt_record(
				query,
				&g_array_index(query->attempt_records,
					       struct attempt_record, i)));
	return json_pack(
		"{s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:b,s:f,s:o}", "request_id",
		query->request_id, "service", query->service->name, "outcome",
		cs_outcome_name(answer->outcome), "result",
		cs_error_name(answer->code), "snapshot", query->pin->snapshot,
		"map", (json_int_t)query->pin->map, "documents",
		(json_int_t)answer->documents, "documents_answered",
		(json_int_t)answer->documents_answered, "restarted",
		query->restarted, "took_ms",
		(double)(now_us - query->started_us) / CS_US_PER_MS, "attempts",
		attempts);
}
