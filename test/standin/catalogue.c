/* Generates the example catalogue and searches it by a linear scan. */
#include "catalogue.h"

#include <string.h>

#define DOCUMENTS_PER_KIND 250

static const char *const part_kinds[] = {"hinge",    "clamp",	  "wheel",
					 "seatpost", "pedal",	  "bracket",
					 "spoke",    "handlepost"};
static const char *const part_attributes[] = {"alloy", "steel", "carbon",
					      "black", "silver"};
static const char *const form_kinds[] = {"mannequin",  "torso",	    "bust",
					 "child form", "stand",	    "head",
					 "hand",       "dress form"};
static const char *const form_attributes[] = {"standing", "seated", "walking",
					      "matte", "gloss"};

static void free_document(struct document *document)
{
	g_free(document->id);
	g_free(document->title);
	json_decref(document->fields);
	g_free(document);
}

static struct document *make_document(const char *snapshot, bool parts,
				      guint kind, guint number)
{
	struct document *document = g_new0(struct document, 1);
	const char *name = parts ? part_kinds[kind] : form_kinds[kind];
	const char *attribute = parts ? part_attributes[number % 5]
				      : form_attributes[number % 5];
	guint size = 10 + (number * 7 + kind * 3) % 40;

	document->id = g_strdup_printf("%c%u-%04u", name[0], kind, number);
	document->title =
		g_strdup_printf("%s %s %u %s", attribute, name, size, snapshot);
	document->fields = json_pack("{s:s,s:i,s:s}", "title", document->title,
				     "size", (int)size, "snapshot", snapshot);
	return document;
}

GPtrArray *catalogue_create(const char *snapshot)
{
	GPtrArray *documents =
		g_ptr_array_new_with_free_func((GDestroyNotify)free_document);
	bool parts = g_str_has_prefix(snapshot, "parts");

	for (guint kind = 0; kind < G_N_ELEMENTS(part_kinds); kind++) {
		for (guint number = 0; number < DOCUMENTS_PER_KIND; number++)
			g_ptr_array_add(
				documents,
				make_document(snapshot, parts, kind, number));
	}
	return documents;
}

guint catalogue_shard(const struct document *document, guint n_shards)
{
	return g_str_hash(document->id) % n_shards;
}

static double score_document(const struct document *document,
			     char *const *words)
{
	double score = 0;

	for (guint i = 0; words[i]; i++) {
		if (*words[i] && strstr(document->title, words[i]))
			score += 1;
	}
	if (score > 0)
		score += (double)(g_str_hash(document->id) % 97) / 100;
	return score;
}

static gint compare_hits(gconstpointer a, gconstpointer b)
{
	const struct hit *x = a;
	const struct hit *y = b;

	if (x->score != y->score)
		return x->score > y->score ? -1 : 1;
	return strcmp(x->document->id, y->document->id);
}

GArray *catalogue_search(const GPtrArray *documents, guint shard,
			 guint n_shards, const char *text, guint limit,
			 guint *searched)
{
	GArray *hits = g_array_new(FALSE, FALSE, sizeof(struct hit));
	g_auto(GStrv) words = g_strsplit(text, " ", -1);

	*searched = 0;
	for (guint i = 0; i < documents->len; i++) {
		struct hit hit = {.document = documents->pdata[i]};

		if (catalogue_shard(hit.document, n_shards) != shard)
			continue;
		(*searched)++;
		hit.score = score_document(hit.document, words);
		if (hit.score > 0)
			g_array_append_val(hits, hit);
	}
	g_array_sort(hits, compare_hits);
	if (hits->len > limit)
		g_array_set_size(hits, limit);
	return hits;
}

json_t *catalogue_print_hits(const GArray *hits)
{
	json_t *array = json_array();

	for (guint i = 0; i < hits->len; i++) {
		const struct hit *hit = &g_array_index(hits, struct hit, i);

		json_array_append_new(
			array, json_pack("{s:s,s:f,s:O}", "id",
					 hit->document->id, "score", hit->score,
					 "fields", hit->document->fields));
	}
	return array;
}
