/* What happened to a query, for operators who ask why. */
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

void note_attempt(struct policy_query *query, const struct attempt *attempt,
		  enum policy_result result, gint64 now_us)
{
	struct note note = {
		.number = attempt->number,
		.shard = g_strdup(attempt->shard->listed->id),
		.upstream = g_strdup(attempt->upstream->id),
		.cause = attempt->cause,
		.result = result,
		.sent_us = attempt->sent_us,
		.took_us = now_us - attempt->sent_us,
	};

	g_array_append_val(query->notes, note);
}

void clear_note(struct note *note)
{
	g_free(note->shard);
	g_free(note->upstream);
}

static json_t *print_note(const struct policy_query *query,
			  const struct note *note)
{
	gint64 after_us = note->sent_us - query->begun_us;

	return json_pack("{s:I,s:s,s:s,s:s,s:s,s:f,s:f}", "attempt",
			 (json_int_t)note->number, "shard", note->shard,
			 "upstream", note->upstream, "cause",
			 cause_name(note->cause), "result",
			 policy_result_name(note->result), "sent_after_ms",
			 (double)after_us / CS_US_PER_MS, "took_ms",
			 (double)note->took_us / CS_US_PER_MS);
}

json_t *policy_query_trace(const struct policy_query *query, gint64 now_us)
{
	const struct policy_answer *answer = &query->answer;
	json_t *attempts = json_array();

	for (guint i = 0; i < query->notes->len; i++)
		json_array_append_new(
			attempts,
			print_note(query, &g_array_index(query->notes,
							 struct note, i)));
	return json_pack(
		"{s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:b,s:f,s:o}", "request_id",
		query->request_id, "service", query->service->name, "outcome",
		cs_outcome_name(answer->outcome), "result",
		cs_error_name(answer->code), "snapshot", query->pin->snapshot,
		"map", (json_int_t)query->pin->map, "documents",
		(json_int_t)answer->documents, "documents_answered",
		(json_int_t)answer->documents_answered, "restarted",
		query->restarted, "took_ms",
		(double)(now_us - query->begun_us) / CS_US_PER_MS, "attempts",
		attempts);
}
