/* Merges the hits of all shards into one totally ordered list. */
#include "query.h"

#include <string.h>

void policy_hit_destroy(struct policy_hit *hit)
{
	if (!hit)
		return;
	g_free(hit->id);
	json_decref(hit->fields);
	g_free(hit);
}

/*
 * Orders by descending score, then by ascending id, so that the same parts
 * always give the same answer.
 */
static gint compare_hits(gconstpointer a, gconstpointer b)
{
	const struct policy_hit *x = *(const struct policy_hit *const *)a;
	const struct policy_hit *y = *(const struct policy_hit *const *)b;

	if (x->score != y->score)
		return x->score > y->score ? -1 : 1;
	return strcmp(x->id, y->id);
}

/* Transfers the ownership of a shard's hits to @all. */
static void move_hits(GPtrArray *all, struct shard *shard)
{
	guint count = shard->hits->len;
	gpointer *moved = g_ptr_array_steal(shard->hits, NULL);

	for (guint i = 0; i < count; i++)
		g_ptr_array_add(all, moved[i]);
	g_free(moved);
}

/*
 * Keeps the best hits up to the query's limit and frees the others. A document
 * that two shards return is kept once.
 */
static GPtrArray *keep_top_unique(struct policy_query *query, GPtrArray *sorted)
{
	GPtrArray *kept = g_ptr_array_new_with_free_func(
		(GDestroyNotify)policy_hit_destroy);
	g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < sorted->len; i++) {
		struct policy_hit *hit = sorted->pdata[i];

		if (kept->len < query->params.hits_max &&
		    g_hash_table_add(seen, hit->id))
			g_ptr_array_add(kept, hit);
		else
			policy_hit_destroy(hit);
	}
	return kept;
}

GPtrArray *merge_hits(struct policy_query *query)
{
	g_autoptr(GPtrArray) all = g_ptr_array_new();

	for (guint i = 0; i < query->shards->len; i++) {
		struct shard *shard =
			&g_array_index(query->shards, struct shard, i);

		if (shard->hits)
			move_hits(all, shard);
	}
	g_ptr_array_sort(all, compare_hits);
	return keep_top_unique(query, all);
}
