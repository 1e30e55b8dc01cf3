/*
 * standin-brute SNAPSHOT TEXT LIMIT: search the whole catalogue without shards
 * and compare with the answer on standard input. Exit 0 if they are the same.
 */
#include "catalogue.h"

#include <stdio.h>
#include <stdlib.h>

int main(int argc, char **argv)
{
	g_autoptr(GPtrArray) documents = NULL;
	g_autoptr(GArray) hits = NULL;
	json_t *answer;
	json_t *expected;
	guint searched;
	bool same;

	if (argc != 4)
		return 2;
	documents = catalogue_create(argv[1]);
	hits = catalogue_search(documents, 0, 1, argv[2],
				(guint)strtoul(argv[3], NULL, 10), &searched);
	expected = catalogue_print_hits(hits);
	answer = json_loadf(stdin, 0, NULL);
	same = json_equal(expected, json_object_get(answer, "hits"));
	printf("brute force over %u documents: %s\n", searched,
	       same ? "the same hits" : "OTHER HITS");
	json_decref(expected);
	json_decref(answer);
	return same ? 0 : 1;
}
