/*
 * Usage: standin-sizes SNAPSHOT SHARDS
 *
 * Prints the id and the number of documents of each shard of a snapshot as a
 * JSON array, in the form of the instance list.
 */
#include "catalogue.h"

#include <stdio.h>
#include <stdlib.h>

int main(int argc, char **argv)
{
	g_autoptr(GPtrArray) documents = NULL;
	guint shards;

	if (argc != 3)
		return 2;
	documents = catalogue_create(argv[1]);
	shards = (guint)strtoul(argv[2], NULL, 10);
	for (guint i = 0; i < shards; i++) {
		guint searched;
		GArray *hits = catalogue_search(documents, i, shards, "", 0,
						&searched);

		g_array_unref(hits);
		printf("%c{\"id\":\"%u\",\"documents\":%u}", i ? ',' : '[', i,
		       searched);
	}
	puts("]");
	return 0;
}
