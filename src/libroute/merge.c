/* Selects the greatest records of several parts, with a min-heap of top_k. */
#include "cuminsail/route.h"

#include <string.h>

struct record {
	guint8 bytes[ROUTE_RECORD_BYTES];
};

struct route_merge {
	guint top_k;
	GArray *heap; /* struct record, each no greater than its children */
};

static bool is_less(const struct record *a, const struct record *b)
{
	return memcmp(a->bytes, b->bytes, ROUTE_RECORD_BYTES) < 0;
}

static void swap(struct record *a, struct record *b)
{
	struct record copy = *a;

	*a = *b;
	*b = copy;
}

static void sift_down(struct record *heap, guint n, guint at)
{
	for (;;) {
		guint least = at;
		guint child = 2 * at + 1;

		if (child < n && is_less(&heap[child], &heap[least]))
			least = child;
		if (child + 1 < n && is_less(&heap[child + 1], &heap[least]))
			least = child + 1;
		if (least == at)
			return;
		swap(&heap[at], &heap[least]);
		at = least;
	}
}

static void sift_up(struct record *heap, guint at)
{
	while (at && is_less(&heap[at], &heap[(at - 1) / 2])) {
		swap(&heap[at], &heap[(at - 1) / 2]);
		at = (at - 1) / 2;
	}
}

struct route_merge *route_merge_create(guint top_k)
{
	struct route_merge *merge = g_new0(struct route_merge, 1);

	merge->top_k = top_k;
	merge->heap = g_array_sized_new(FALSE, FALSE, sizeof(struct record),
					MIN(top_k, 1024));
	return merge;
}

void route_merge_add(struct route_merge *merge, const void *bytes, gsize length)
{
	const guint8 *at = bytes;

	for (; length >= ROUTE_RECORD_BYTES;
	     length -= ROUTE_RECORD_BYTES, at += ROUTE_RECORD_BYTES) {
		struct record *heap =
			(struct record *)(void *)merge->heap->data;
		struct record record;

		memcpy(record.bytes, at, ROUTE_RECORD_BYTES);
		if (merge->heap->len < merge->top_k) {
			g_array_append_val(merge->heap, record);
			heap = (struct record *)(void *)merge->heap->data;
			sift_up(heap, merge->heap->len - 1);
		} else if (merge->top_k && is_less(&heap[0], &record)) {
			heap[0] = record;
			sift_down(heap, merge->top_k, 0);
		}
	}
}

GByteArray *route_merge_finish(struct route_merge *merge)
{
	struct record *heap = (struct record *)(void *)merge->heap->data;
	GByteArray *out = g_byte_array_new();

	for (guint n = merge->heap->len; n > 1; n--) {
		swap(&heap[0], &heap[n - 1]);
		sift_down(heap, n - 1, 0);
	}
	if (merge->heap->len)
		g_byte_array_append(out, (const guint8 *)heap,
				    merge->heap->len * ROUTE_RECORD_BYTES);
	g_array_unref(merge->heap);
	g_free(merge);
	return out;
}
