/* An example catalogue of two businesses, made the same way every time. */
#ifndef STANDIN_CATALOGUE_H
#define STANDIN_CATALOGUE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

struct document {
	char *id;
	char *title;
	json_t *fields;
};

struct hit {
	const struct document *document;
	double score;
};

/* All documents of a snapshot: "parts-1", "forms-1" and so on. */
GPtrArray *catalogue_create(const char *snapshot);

/* The shard of a document among n_shards. */
guint catalogue_shard(const struct document *document, guint n_shards);

/*
 * Search the documents of one shard, or all when n_shards is 1. Returns an
 * array of struct hit, best first, at most limit.
 */
GArray *catalogue_search(const GPtrArray *documents, guint shard,
			 guint n_shards, const char *text, guint limit,
			 guint *searched);

json_t *catalogue_print_hits(const GArray *hits);

#endif
