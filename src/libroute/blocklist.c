/* Requests under which replicas crash. */
#include "cuminsail/route_blocklist.h"

#include <string.h>
#include <xxhash.h>

/* A request that has not come for this long is removed. */
#define EXPIRY_US (600 * CS_US_PER_S)

/* Time from the last crash to each probe. The first one clears a request that
 * was only lost with its replicas; one that does crash them ends one more. The
 * others are for a first one without an answer, or replicas that are repaired.
 */
static const gint64 probe_delays_us[ROUTE_PROBES_MAX] = {
	3 * CS_US_PER_S,
	60 * CS_US_PER_S,
	900 * CS_US_PER_S,
};

/* How long a daemon waits for each probe before its own, whose daemon may be
 * down or receive no copy. */
#define PROBE_TURN_US (2 * CS_US_PER_S)

struct route_blocklist {
	GHashTable *blocks; /* digest to struct route_block */
	guint n_active; /* with crashes */
};

/* ---- digests ---- */

const char *route_digest_print(const struct route_digest *digest, char *text)
{
	for (guint i = 0; i < ROUTE_DIGEST_BYTES; i++)
		g_snprintf(text + 2 * i, 3, "%02x", digest->bytes[i]);
	return text;
}

bool route_digest_parse(const char *text, struct route_digest *digest)
{
	if (strlen(text) != 2 * ROUTE_DIGEST_BYTES)
		return false;
	for (guint i = 0; i < ROUTE_DIGEST_BYTES; i++) {
		int high = g_ascii_xdigit_value(text[2 * i]);
		int low = g_ascii_xdigit_value(text[2 * i + 1]);

		if (high < 0 || low < 0)
			return false;
		digest->bytes[i] = (guint8)(high << 4 | low);
	}
	return true;
}

static guint hash_digest(gconstpointer digest)
{
	guint hash;

	/* Any bytes of a digest are a good hash. */
	memcpy(&hash, digest, sizeof(hash));
	return hash;
}

static gboolean equal_digests(gconstpointer a, gconstpointer b)
{
	return !memcmp(a, b, sizeof(struct route_digest));
}

/* ---- entries ---- */

struct route_blocklist *route_blocklist_create(void)
{
	struct route_blocklist *list = g_new0(struct route_blocklist, 1);

	list->blocks =
		g_hash_table_new_full(hash_digest, equal_digests, NULL, g_free);
	return list;
}

void route_blocklist_destroy(struct route_blocklist *list)
{
	if (!list)
		return;
	g_hash_table_unref(list->blocks);
	g_free(list);
}

static struct route_block *find_block(const struct route_blocklist *list,
				      const struct route_digest *digest)
{
	return g_hash_table_lookup(list->blocks, digest);
}

static void remove_block(struct route_blocklist *list,
			 struct route_block *block)
{
	list->n_active -= block->n_crashes > 0;
	g_hash_table_remove(list->blocks, &block->digest);
}

/* Return: whether @a is dropped before @b when the list is full. */
static bool matters_less(const struct route_block *a,
			 const struct route_block *b)
{
	if (a->n_crashes != b->n_crashes)
		return a->n_crashes < b->n_crashes;
	return a->came_us < b->came_us;
}

static void make_room(struct route_blocklist *list)
{
	struct route_block *least = NULL;
	GHashTableIter iter;
	gpointer value;

	if (g_hash_table_size(list->blocks) < ROUTE_BLOCKLIST_MAX)
		return;
	g_hash_table_iter_init(&iter, list->blocks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!least || matters_less(value, least))
			least = value;
	}
	if (least)
		remove_block(list, least);
}

static struct route_block *get_block(struct route_blocklist *list,
				     const struct route_digest *digest)
{
	struct route_block *block = find_block(list, digest);

	if (block)
		return block;
	make_room(list);
	block = g_new0(struct route_block, 1);
	block->digest = *digest;
	g_hash_table_insert(list->blocks, &block->digest, block);
	return block;
}

static void reset_probes(struct route_block *block)
{
	block->probes = 0;
	block->pending_probe = 0;
}

static void drop_cleared_crashes(struct route_block *block)
{
	guint n = 0;

	for (guint i = 0; i < block->n_crashes; i++) {
		if (block->crashes[i].at_us > block->cleared_us)
			block->crashes[n++] = block->crashes[i];
	}
	block->n_crashes = n;
}

/* Adds a crash. Of more than three, all daemons keep the same ones: those with
 * the lowest hashes.
 * Return: whether the block has changed. */
static bool add_crash(struct route_block *block,
		      const struct route_crash *crash)
{
	guint i = 0;

	if (crash->at_us <= block->cleared_us)
		return false;
	while (i < block->n_crashes &&
	       block->crashes[i].replica < crash->replica)
		i++;
	if (i == ROUTE_CRASHES_TO_BLOCK)
		return false;
	if (i < block->n_crashes &&
	    block->crashes[i].replica == crash->replica) {
		/* Other daemons saw it later. */
		block->crashes[i].at_us =
			MIN(block->crashes[i].at_us, crash->at_us);
		return false;
	}
	block->n_crashes = MIN(block->n_crashes + 1, ROUTE_CRASHES_TO_BLOCK);
	memmove(&block->crashes[i + 1], &block->crashes[i],
		(block->n_crashes - 1 - i) * sizeof(*crash));
	block->crashes[i] = *crash;
	return true;
}

/* ---- evidence ---- */

bool route_blocklist_crashed(struct route_blocklist *list,
			     const struct route_digest *digest,
			     const struct route_crash *crash, guint32 copy,
			     gint64 now_us)
{
	struct route_block *block = get_block(list, digest);
	guint before = block->n_crashes;

	block->came_us = now_us;
	if (block->copy != copy)
		block->n_of_copy = 0;
	block->copy = copy;
	if (block->n_of_copy >= ROUTE_CRASHES_OF_COPY ||
	    !add_crash(block, crash))
		return false;
	block->n_of_copy++;
	list->n_active += !before && block->n_crashes;
	return true;
}

bool route_blocklist_clear(struct route_blocklist *list,
			   const struct route_digest *digest, gint64 now_us)
{
	struct route_block *block = find_block(list, digest);

	if (!block || !block->n_crashes)
		return false;
	block->cleared_us = now_us;
	reset_probes(block);
	drop_cleared_crashes(block);
	list->n_active -= !block->n_crashes;
	return true;
}

bool route_blocklist_copy_counted(const struct route_blocklist *list,
				  const struct route_digest *digest,
				  guint32 copy)
{
	const struct route_block *block = find_block(list, digest);

	return block && block->copy == copy &&
	       block->n_of_copy >= ROUTE_CRASHES_OF_COPY;
}

guint route_blocklist_crashes(const struct route_blocklist *list,
			      const struct route_digest *digest)
{
	const struct route_block *block = find_block(list, digest);

	return block ? block->n_crashes : 0;
}

static gint64 last_crash_us(const struct route_block *block)
{
	gint64 last_us = 0;

	for (guint i = 0; i < block->n_crashes; i++)
		last_us = MAX(last_us, block->crashes[i].at_us);
	return last_us;
}

/* Return: number of the lowest @n bits that are not set. */
static guint count_unset(guint bits, guint n)
{
	return n - (guint)__builtin_popcount(bits & ((1U << n) - 1));
}

static gint64 next_probe_us(const struct route_block *block)
{
	guint n_left = count_unset(block->probes, ROUTE_PROBES_MAX);

	if (!n_left)
		return G_MAXINT64;
	return last_crash_us(block) +
	       probe_delays_us[ROUTE_PROBES_MAX - n_left];
}

/* Return: bit of the probe that a daemon may send now, of @probes; 0: none. */
static guint due_probe(const struct route_block *block, guint probes,
		       gint64 now_us)
{
	int number = g_bit_nth_lsf(probes & ~block->probes, -1);
	guint n_before;

	if (number < 0 || number >= ROUTE_PROBES_MAX || block->pending_probe)
		return 0;
	n_before = count_unset(block->probes, (guint)number);
	if (now_us - n_before * PROBE_TURN_US < next_probe_us(block))
		return 0;
	return 1U << number;
}

gint64 route_blocklist_next_probe_us(const struct route_blocklist *list,
				     const struct route_digest *digest)
{
	const struct route_block *block = find_block(list, digest);

	if (!block || block->n_crashes < ROUTE_CRASHES_TO_BLOCK)
		return 0;
	return next_probe_us(block);
}

bool route_blocklist_admits(struct route_blocklist *list,
			    const struct route_digest *digest, guint32 copy,
			    guint probes, gint64 now_us)
{
	struct route_block *block = find_block(list, digest);
	guint probe;

	if (!block || !block->n_crashes)
		return true;
	block->came_us = now_us;
	if (block->n_crashes < ROUTE_CRASHES_TO_BLOCK)
		return true;
	probe = due_probe(block, probes, now_us);
	if (!probe)
		return false;
	block->pending_probe = probe;
	block->pending_copy = copy;
	return true;
}

/* Return: the request whose pending probe is a copy, or NULL. */
static struct route_block *find_pending(const struct route_blocklist *list,
					const struct route_digest *digest,
					guint32 copy)
{
	struct route_block *block = find_block(list, digest);

	if (!block || !block->pending_probe || block->pending_copy != copy)
		return NULL;
	return block;
}

bool route_blocklist_probe_sent(struct route_blocklist *list,
				const struct route_digest *digest, guint32 copy)
{
	struct route_block *block = find_pending(list, digest, copy);

	if (!block)
		return false;
	block->probes |= block->pending_probe;
	block->pending_probe = 0;
	return true;
}

void route_blocklist_probe_ended(struct route_blocklist *list,
				 const struct route_digest *digest,
				 guint32 copy)
{
	struct route_block *block = find_pending(list, digest, copy);

	if (block)
		block->pending_probe = 0;
}

bool route_blocklist_active(const struct route_blocklist *list)
{
	return list->n_active > 0;
}

void route_blocklist_expire(struct route_blocklist *list, gint64 now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, list->blocks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct route_block *block = value;

		if (now_us - MAX(block->came_us, block->cleared_us) <=
		    EXPIRY_US)
			continue;
		list->n_active -= block->n_crashes > 0;
		g_hash_table_iter_remove(&iter);
	}
}

/* ---- exchange ---- */

/* The time of one clear differs between daemons by the time that messages take.
 * A later one is adopted only if it makes a difference. */
static bool adopt_clear(struct route_block *block, gint64 cleared_us)
{
	bool matters = cleared_us && !block->cleared_us;

	for (guint i = 0; i < block->n_crashes; i++)
		matters |= block->crashes[i].at_us <= cleared_us;
	if (!matters)
		return false;
	block->cleared_us = MAX(block->cleared_us, cleared_us);
	reset_probes(block);
	drop_cleared_crashes(block);
	return true;
}

bool route_blocklist_merge(struct route_blocklist *list,
			   const struct route_block *other, gint64 now_us)
{
	struct route_block *block = get_block(list, &other->digest);
	guint before = block->n_crashes;
	bool changed;

	block->came_us = MAX(block->came_us, other->came_us);
	changed = adopt_clear(block, other->cleared_us);
	if (other->n_crashes &&
	    (block->probes | other->probes) != block->probes) {
		block->probes |= other->probes;
		changed = true;
	}
	for (guint i = 0; i < other->n_crashes; i++)
		changed |= add_crash(block, &other->crashes[i]);
	list->n_active += (block->n_crashes > 0);
	list->n_active -= (before > 0);
	return changed;
}

static guint64 hash_block(const struct route_block *block)
{
	struct {
		struct route_digest digest;
		guint32 cleared;
		guint32 probes;
		guint32 replicas[ROUTE_CRASHES_TO_BLOCK];
	} content = {.digest = block->digest,
		     .cleared = block->cleared_us != 0,
		     .probes = block->probes};

	for (guint i = 0; i < block->n_crashes; i++)
		content.replicas[i] = block->crashes[i].replica;
	return XXH64(&content, sizeof(content), 0);
}

guint64 route_blocklist_fingerprint(const struct route_blocklist *list)
{
	GHashTableIter iter;
	gpointer value;
	guint64 sum = 0;

	g_hash_table_iter_init(&iter, list->blocks);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		sum += hash_block(value);
	return sum;
}

static int by_importance(const void *a, const void *b)
{
	const struct route_block *const *left = a;
	const struct route_block *const *right = b;

	return (int)matters_less(*left, *right) -
	       (int)matters_less(*right, *left);
}

/* Replaces the blocks from @first up to @end by random ones from there on, so
 * that each has its turn. */
static void shuffle_tail(GPtrArray *blocks, guint first, guint end)
{
	for (guint i = first; i < end; i++) {
		guint j = (guint)g_random_int_range((gint)i, (gint)blocks->len);
		gpointer other = blocks->pdata[j];

		blocks->pdata[j] = blocks->pdata[i];
		blocks->pdata[i] = other;
	}
}

void route_blocklist_each(const struct route_blocklist *list, guint limit,
			  void (*visit)(const struct route_block *block,
					void *user),
			  void *user)
{
	g_autoptr(GPtrArray) blocks = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, list->blocks);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(blocks, value);
	g_ptr_array_sort(blocks, by_importance);
	if (blocks->len > limit)
		shuffle_tail(blocks, limit / 2, limit);
	for (guint i = 0; i < MIN(limit, blocks->len); i++)
		visit(blocks->pdata[i], user);
}
