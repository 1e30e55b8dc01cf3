/*
 * Usage: standin-brute [--print] SNAPSHOT TEXT LIMIT
 *
 * Searches the whole catalogue without shards and compares the hits with those
 * of the query answer on standard input. Exits with 0 if they are equal, with 1
 * if not, and with 2 on a usage error. With --print, prints the ids of the best
 * LIMIT hits as a JSON array instead.
 */
#include "catalogue.h"

#include <stdio.h>
#include <stdlib.h>

static int print_ids(const GArray *hits)
{
	for (guint i = 0; i < hits->len; i++)
		printf("%c\"%s\"", i ? ',' : '[',
		       g_array_index(hits, struct hit, i).document->id);
	puts("]");
	return 0;
}

static int compare(const GArray *hits, guint searched)
{
	json_t *answer = json_loadf(stdin, 0, NULL);
	json_t *expected = catalogue_print_hits(hits);
	bool same = json_equal(expected, json_object_get(answer, "hits"));

	printf("brute force over %u documents: %s\n", searched,
	       same ? "the same hits" : "OTHER HITS");
	json_decref(expected);
	json_decref(answer);
	return same ? 0 : 1;
}

int main(int argc, char **argv)
{
	g_autoptr(GPtrArray) documents = NULL;
	g_autoptr(GArray) hits = NULL;
	bool print = argc > 1 && !g_strcmp0(argv[1], "--print");
	guint searched;

	argv += print;
	if (argc - print != 4)
		return 2;
	documents = catalogue_create(argv[1]);
	hits = catalogue_search(documents, 0, 1, argv[2],
				(guint)strtoul(argv[3], NULL, 10), &searched);
	return print ? print_ids(hits) : compare(hits, searched);
}
