/* Validation of an upstream's answer against the attempt it is for. */
#include "query.h"

#include <math.h>
#include <string.h>

void policy_part_destroy(struct policy_part *part)
{
	if (!part)
		return;
	g_free(part->request_id);
	g_free(part->shard);
	g_free(part->snapshot);
	if (part->hits)
		g_ptr_array_unref(part->hits);
	g_free(part);
}

static enum policy_result reject(struct policy_query *query,
				 enum cs_counter counter)
{
	cs_counters_add(query->counters, counter, 1);
	return POLICY_BAD_ANSWER;
}

/*
 * Whether the hits are no more than the query's limit and than the documents
 * searched, all scores are finite and no id occurs twice.
 */
static bool hits_are_valid(const struct policy_query *query,
			   const struct policy_part *part)
{
	g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);

	if (part->hits->len > query->params.hits_max ||
	    part->hits->len > part->searched)
		return false;
	for (guint i = 0; i < part->hits->len; i++) {
		const struct policy_hit *hit = part->hits->pdata[i];

		if (!isfinite(hit->score) || !g_hash_table_add(seen, hit->id))
			return false;
	}
	return true;
}

static bool form_is_valid(const struct policy_query *query,
			  const struct shard *shard,
			  const struct policy_part *part)
{
	if (part->documents != shard->listed->documents)
		return false;
	if (part->searched < 0 || part->searched > part->documents)
		return false;
	return hits_are_valid(query, part);
}

enum policy_result check_part(struct policy_query *query,
			      const struct attempt *attempt,
			      const struct policy_part *part)
{
	if (strcmp(part->request_id, query->request_id) != 0)
		return reject(query, CS_N_REJ_ID);
	if (part->attempt != attempt->number)
		return reject(query, CS_N_REJ_ATTEMPT);
	if (strcmp(part->shard, attempt->shard->listed->id) != 0)
		return reject(query, CS_N_REJ_SHARD);
	if (strcmp(part->snapshot, query->pin->snapshot) != 0) {
		reject(query, CS_N_REJ_SNAPSHOT);
		return POLICY_LACKS_SNAPSHOT;
	}
	if (part->map != query->pin->map) {
		reject(query, CS_N_REJ_MAP);
		return POLICY_LACKS_SNAPSHOT;
	}
	if (!form_is_valid(query, attempt->shard, part))
		return reject(query, CS_N_REJ_FORM);
	return POLICY_DONE;
}
