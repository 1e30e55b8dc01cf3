/* Example catalogues of two shops: bicycle parts and display mannequins. */
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

/* A document that matches a search. */
struct hit {
	const struct document *document;
	double score;
};

/*
 * Creates all documents of an index snapshot. A name that starts with "parts",
 * such as "parts-1", selects the bicycle parts, any other name the mannequins.
 * One name always gives the same documents.
 */
GPtrArray *catalogue_create(const char *snapshot);

/* Returns the number of the shard that holds a document. */
guint catalogue_shard(const struct document *document, guint n_shards);

/*
 * Searches the documents of one shard, or all documents if shard is 0 and
 * n_shards is 1. Returns an array of at most limit elements of struct hit, best
 * first; searched receives the number of documents in the shard.
 */
GArray *catalogue_search(const GPtrArray *documents, guint shard,
			 guint n_shards, const char *text, guint limit,
			 guint *searched);

/* Returns the hits as the JSON array of a part answer. */
json_t *catalogue_print_hits(const GArray *hits);

#endif
