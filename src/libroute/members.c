/*
 * The daemons that divide the rate limits of replicas.
 *
 * A daemon that falls silent may be cut off and still send, so its place stays
 * reserved. If the daemons of a region are split, only the side with most of
 * them divides the places of the others again; the other side keeps its own. A
 * new daemon gets no place until all sides know it and the daemons that it
 * displaces were told.
 */
#include "cuminsail/clock.h"
#include "cuminsail/route_limit.h"

#include <string.h>

/* How long the place of a silent daemon is reserved if most daemons of its
 * region are up: longer than it uses a place without being told again. */
#define SILENT_US (60 * CS_US_PER_S)

/* The same if most of them are silent. For this long, a daemon without a place
 * still counts as one of its region. */
#define SILENT_MAX_US (600 * CS_US_PER_S)

struct member {
	char *region;
	gint64 first_seen_us;
	gint64 last_seen_us;
	bool displaced; /* silent, and its place was given to others */
};

/* The members of one region. */
struct group {
	GArray *hashes; /* guint32, ascending; without displaced ones */
	guint n; /* with displaced ones */
	guint n_up;
};

/* Least numbers of daemons that divide the limits of a region's replicas. */
struct sizes {
	guint n_near;
	guint n_far;
};

struct route_members {
	GHashTable *set; /* hash of the control address to struct member */
	gint64 created_us;
	gint64 contact_since_us; /* with most seeds, without a gap; 0: no */
	bool changed; /* the order below is out of date */
	GArray *all; /* guint32: the hashes, ascending */
	GHashTable *groups; /* region name to struct group */
	GHashTable *sizes; /* region name to struct sizes, as daemons were told
			    */
};

static void free_member(void *data)
{
	struct member *member = data;

	g_free(member->region);
	g_free(member);
}

static void free_group(void *data)
{
	struct group *group = data;

	g_array_unref(group->hashes);
	g_free(group);
}

struct route_members *route_members_create(gint64 now_us)
{
	struct route_members *members = g_new0(struct route_members, 1);

	members->created_us = now_us;
	members->set = g_hash_table_new_full(g_direct_hash, g_direct_equal,
					     NULL, free_member);
	members->all = g_array_new(FALSE, FALSE, sizeof(guint32));
	members->groups = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						free_group);
	members->sizes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return members;
}

void route_members_destroy(struct route_members *members)
{
	if (!members)
		return;
	g_hash_table_unref(members->set);
	g_hash_table_unref(members->groups);
	g_hash_table_unref(members->sizes);
	g_array_unref(members->all);
	g_free(members);
}

void route_members_seen(struct route_members *members, guint32 hash,
			const char *region, gint64 now_us)
{
	gpointer key = GUINT_TO_POINTER(hash);
	struct member *member = g_hash_table_lookup(members->set, key);

	if (!member) {
		member = g_new0(struct member, 1);
		member->first_seen_us = now_us;
		g_hash_table_insert(members->set, key, member);
	}
	if (member->displaced) {
		member->displaced = false;
		member->first_seen_us = now_us;
		members->changed = true;
	}
	if (g_strcmp0(member->region, region) != 0) {
		g_free(member->region);
		member->region = g_strdup(region);
		members->changed = true;
	}
	member->last_seen_us = now_us;
}

void route_members_each_silent(struct route_members *members, gint64 now_us,
			       void (*visit)(const struct route_silent *silent,
					     const char *region, void *user),
			       void *user)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, members->set);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct member *member = value;
		struct route_silent silent = {GPOINTER_TO_UINT(key),
					      now_us - member->last_seen_us,
					      member->displaced};

		if (silent.silent_us > ROUTE_MEMBERS_SETTLE_US)
			visit(&silent, member->region, user);
	}
}

void route_members_told_silent(struct route_members *members,
			       const struct route_silent *silent,
			       const char *region, gint64 now_us)
{
	gpointer key = GUINT_TO_POINTER(silent->hash);
	gint64 seen_us = now_us - silent->silent_us;
	struct member *member = g_hash_table_lookup(members->set, key);

	if (silent->silent_us > SILENT_MAX_US)
		return;
	if (member) {
		member->last_seen_us = MAX(member->last_seen_us, seen_us);
		return;
	}
	member = g_new0(struct member, 1);
	member->region = g_strdup(region);
	member->first_seen_us = seen_us;
	member->last_seen_us = seen_us;
	member->displaced = silent->displaced;
	g_hash_table_insert(members->set, key, member);
	members->changed = true;
}

/* ---- order ---- */

static struct group *get_group(struct route_members *members,
			       const char *region)
{
	struct group *group = g_hash_table_lookup(members->groups, region);

	if (group)
		return group;
	group = g_new0(struct group, 1);
	group->hashes = g_array_new(FALSE, FALSE, sizeof(guint32));
	g_hash_table_insert(members->groups, g_strdup(region), group);
	return group;
}

static gint compare_hashes(gconstpointer a, gconstpointer b)
{
	guint32 left = *(const guint32 *)a;
	guint32 right = *(const guint32 *)b;

	return left < right ? -1 : left > right;
}

static void sort_group(gpointer region, gpointer group, gpointer user)
{
	g_array_sort(((struct group *)group)->hashes, compare_hashes);
}

static void update_order(struct route_members *members)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	if (!members->changed)
		return;
	members->changed = false;
	g_array_set_size(members->all, 0);
	g_hash_table_remove_all(members->groups);
	g_hash_table_iter_init(&iter, members->set);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct member *member = value;
		struct group *group = get_group(members, member->region);
		guint32 hash = GPOINTER_TO_UINT(key);

		group->n++;
		if (member->displaced)
			continue;
		g_array_append_val(group->hashes, hash);
		g_array_append_val(members->all, hash);
	}
	g_array_sort(members->all, compare_hashes);
	g_hash_table_foreach(members->groups, sort_group, NULL);
}

/* ---- silent members ---- */

static void count_up(struct route_members *members, gint64 now_us)
{
	GHashTableIter iter;
	gpointer value;

	update_order(members);
	g_hash_table_iter_init(&iter, members->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct group *)value)->n_up = 0;
	g_hash_table_iter_init(&iter, members->set);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct member *member = value;

		get_group(members, member->region)->n_up +=
			now_us - member->last_seen_us <=
			ROUTE_MEMBERS_SETTLE_US;
	}
}

static bool most_are_up(const struct group *group)
{
	return 2 * group->n_up > group->n;
}

void route_members_expire(struct route_members *members, gint64 now_us)
{
	GHashTableIter iter;
	gpointer value;

	count_up(members, now_us);
	g_hash_table_iter_init(&iter, members->set);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct member *member = value;
		gint64 silent_us = now_us - member->last_seen_us;

		if (silent_us > SILENT_MAX_US) {
			g_hash_table_iter_remove(&iter);
			members->changed = true;
		} else if (silent_us > SILENT_US && !member->displaced &&
			   most_are_up(get_group(members, member->region))) {
			member->displaced = true;
			members->changed = true;
		}
	}
}

/* ---- places ---- */

void route_members_told_sizes(struct route_members *members, const char *region,
			      guint n_near, guint n_far)
{
	struct sizes *sizes = g_hash_table_lookup(members->sizes, region);

	if (!sizes) {
		sizes = g_new0(struct sizes, 1);
		g_hash_table_insert(members->sizes, g_strdup(region), sizes);
	}
	sizes->n_near = MAX(sizes->n_near, n_near);
	sizes->n_far = MAX(sizes->n_far, n_far);
}

static void apply_sizes(const struct route_members *members, const char *region,
			gint64 now_us, struct route_place *place)
{
	const struct sizes *sizes = g_hash_table_lookup(members->sizes, region);

	if (!sizes || now_us - members->created_us > SILENT_MAX_US)
		return;
	place->n_near = MAX(place->n_near, sizes->n_near);
	place->n_far = MAX(place->n_far, sizes->n_far);
}

void route_members_set_contact(struct route_members *members, guint n_up,
			       guint n_seeds, gint64 now_us)
{
	if (2 * n_up <= n_seeds)
		members->contact_since_us = 0;
	else if (!members->contact_since_us)
		members->contact_since_us = MAX(now_us, 1);
}

/* Return: whether the set has had the time to learn of all daemons. */
static bool is_settled(const struct route_members *members, gint64 now_us)
{
	return now_us - members->created_us >= ROUTE_MEMBERS_SETTLE_US &&
	       members->contact_since_us &&
	       now_us - members->contact_since_us >= ROUTE_MEMBERS_SETTLE_US;
}

/* Return: number of hashes below the given one. */
static guint rank_of(const GArray *hashes, guint32 hash)
{
	guint low = 0;
	guint high = hashes->len;

	while (low < high) {
		guint middle = low + (high - low) / 2;

		if (g_array_index(hashes, guint32, middle) < hash)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

bool route_members_place(struct route_members *members, guint32 hash,
			 const char *region, gint64 now_us,
			 struct route_place *place)
{
	const struct member *self =
		g_hash_table_lookup(members->set, GUINT_TO_POINTER(hash));
	const struct group *near;

	if (!self || !is_settled(members, now_us) ||
	    now_us - self->first_seen_us < ROUTE_MEMBERS_SETTLE_US)
		return false;
	update_order(members);
	near = get_group(members, region);
	place->near = !strcmp(self->region, region);
	place->n_near = near->hashes->len;
	place->n_far = members->all->len - place->n_near;
	place->position = rank_of(near->hashes, hash);
	/* The far members are all others, in the same order. */
	if (!place->near)
		place->position = rank_of(members->all, hash) - place->position;
	apply_sizes(members, region, now_us, place);
	return true;
}
