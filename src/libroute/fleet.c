/* The routing view: replicas, their pools, and the evacuated zones. */
#include "fleet.h"

#include <string.h>

/* How long replicas whose entries have lapsed are kept once the list can be
 * read again. The entry of a replica that is alive is back within 2 s after the
 * platform's store recovers; the rest is for the notification to arrive. */
#define LAPSE_HOLD_US (2200 * CS_US_PER_MS)

/* How long a replica that was known to be gone is not used although an older
 * copy of the list has it: the entry of one that is gone lapses after three
 * heartbeats, and these are some 1.2 s apart. */
#define COPIED_HOLD_US (6 * CS_US_PER_S)

/* Return: the hold time, kept below drain_us, the time for which a replica
 * still serves after its entry is gone. */
static gint64 lapse_hold(const struct route_fleet *fleet)
{
	return MIN(LAPSE_HOLD_US, fleet->bounds.drain_us * 3 / 4);
}

void route_fleet_list_failed(struct route_fleet *fleet)
{
	fleet->hold_until_us = G_MAXINT64;
}

void route_fleet_list_read(struct route_fleet *fleet, gint64 now_us)
{
	if (fleet->hold_until_us == G_MAXINT64)
		fleet->hold_until_us = now_us + lapse_hold(fleet);
}

gint64 route_fleet_set_hold(struct route_fleet *fleet, gint64 until_us)
{
	gint64 before_us = fleet->hold_until_us;

	fleet->hold_until_us = until_us;
	return before_us;
}

gint64 route_fleet_longest_hold_us(const struct route_fleet *fleet,
				   gint64 now_us)
{
	gint64 until_us = now_us;
	GHashTableIter iter;
	gpointer value;

	if (!fleet->n_lapsed)
		return 0;
	g_hash_table_iter_init(&iter, fleet->replicas);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct route_replica *replica = value;

		until_us = MAX(until_us, replica->lapsed_until_us);
	}
	return until_us - now_us;
}

static void free_pool(void *data)
{
	struct route_pool *pool = data;

	g_free(pool->name);
	g_free(pool);
}

struct route_fleet *route_fleet_create(const char *zone, GHashTable *regions)
{
	struct route_fleet *fleet = g_new0(struct route_fleet, 1);

	fleet->zone = g_strdup(zone);
	fleet->regions = g_hash_table_ref(regions);
	fleet->region = g_hash_table_lookup(regions, zone);
	fleet->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_pool);
	fleet->replicas = g_hash_table_new(g_str_hash, g_str_equal);
	fleet->evacuated =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->work_by_route =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fleet->round_trips =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	TAILQ_INIT(&fleet->limited);
	fleet->notices =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fleet->places =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return fleet;
}

static void remove_replica(struct route_fleet *fleet,
			   struct route_replica *replica, gint64 now_us)
{
	route_notice_keep(replica, now_us);
	g_hash_table_remove(fleet->replicas, replica->id);
	if (replica->lapsed_until_us)
		fleet->n_lapsed--;
	if (replica->limit.observed_us)
		TAILQ_REMOVE(&fleet->limited, replica, limited);
	TAILQ_REMOVE(&replica->pool->replicas, replica, link);
	replica->pool = NULL;
	route_replica_unref(replica);
}

void route_fleet_destroy(struct route_fleet *fleet)
{
	GHashTableIter iter;
	gpointer value;

	if (!fleet)
		return;
	g_hash_table_iter_init(&iter, fleet->replicas);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct route_replica *replica = value;

		g_hash_table_iter_remove(&iter);
		TAILQ_REMOVE(&replica->pool->replicas, replica, link);
		replica->pool = NULL;
		route_replica_unref(replica);
	}
	g_hash_table_unref(fleet->replicas);
	g_hash_table_unref(fleet->pools);
	g_hash_table_unref(fleet->evacuated);
	g_hash_table_unref(fleet->work_by_route);
	g_hash_table_unref(fleet->round_trips);
	g_hash_table_unref(fleet->places);
	g_hash_table_unref(fleet->notices);
	g_hash_table_unref(fleet->regions);
	route_table_unref(fleet->table);
	g_free(fleet->zone);
	g_free(fleet);
}

void route_fleet_set_bounds(struct route_fleet *fleet,
			    const struct route_bounds *bounds)
{
	fleet->bounds = *bounds;
}

static void apply_service_limits(const struct route_fleet *fleet,
				 struct route_pool *pool)
{
	const struct route_service *service = NULL;

	if (fleet->table)
		service =
			g_hash_table_lookup(fleet->table->services, pool->name);
	if (!service)
		return;
	pool->connections_max = service->connections_max;
	pool->cold_per_s = service->cold_per_s;
}

void route_fleet_set_table(struct route_fleet *fleet, struct route_table *table)
{
	GHashTableIter iter;
	gpointer pool;

	route_table_unref(fleet->table);
	fleet->table = route_table_ref(table);
	g_hash_table_iter_init(&iter, fleet->pools);
	while (g_hash_table_iter_next(&iter, NULL, &pool))
		apply_service_limits(fleet, pool);
}

struct route_pool *route_fleet_pool(struct route_fleet *fleet,
				    const char *service)
{
	struct route_pool *pool = g_hash_table_lookup(fleet->pools, service);

	if (pool)
		return pool;
	pool = g_new0(struct route_pool, 1);
	pool->fleet = fleet;
	pool->name = g_strdup(service);
	pool->connections_max = 1;
	TAILQ_INIT(&pool->replicas);
	g_hash_table_insert(fleet->pools, pool->name, pool);
	apply_service_limits(fleet, pool);
	return pool;
}

static enum route_distance distance_to(const struct route_fleet *fleet,
				       const char *zone, const char *region)
{
	if (!strcmp(zone, fleet->zone))
		return ROUTE_SAME_ZONE;
	if (region && fleet->region && !strcmp(region, fleet->region))
		return ROUTE_SAME_REGION;
	return ROUTE_FAR;
}

static struct route_replica *create_replica(struct route_fleet *fleet,
					    const struct route_entry *entry)
{
	struct route_replica *replica = g_new0(struct route_replica, 1);

	g_ref_count_init(&replica->refs);
	replica->id = g_strdup(entry->id);
	replica->zone = g_strdup(entry->zone);
	replica->region = g_hash_table_lookup(fleet->regions, entry->zone);
	replica->distance = distance_to(fleet, entry->zone, replica->region);
	replica->address = entry->address;
	replica->incarnation = entry->incarnation;
	replica->sequence = entry->sequence;
	replica->evacuated =
		g_hash_table_contains(fleet->evacuated, entry->zone);
	TAILQ_INIT(&replica->open_attempts);
	replica->pool = route_fleet_pool(fleet, entry->service);
	TAILQ_INSERT_TAIL(&replica->pool->replicas, replica, link);
	g_hash_table_insert(fleet->replicas, replica->id, replica);
	route_notice_restore(replica);
	return replica;
}

static bool is_same_replica(const struct route_replica *replica,
			    const struct route_entry *entry)
{
	return replica->incarnation == entry->incarnation &&
	       replica->address.sin_port == entry->address.sin_port &&
	       replica->address.sin_addr.s_addr ==
		       entry->address.sin_addr.s_addr &&
	       !strcmp(replica->pool->name, entry->service) &&
	       !strcmp(replica->zone, entry->zone);
}

bool route_fleet_put(struct route_fleet *fleet, const struct route_entry *entry,
		     gint64 now_us)
{
	struct route_replica *replica =
		g_hash_table_lookup(fleet->replicas, entry->id);
	bool changed = false;

	if (replica && !is_same_replica(replica, entry)) {
		remove_replica(fleet, replica, now_us);
		replica = NULL;
	}
	if (!replica) {
		replica = create_replica(fleet, entry);
		changed = true;
	}
	if (replica->lapsed_until_us) {
		replica->lapsed_until_us = 0;
		fleet->n_lapsed--;
		changed = true;
	}
	route_notice_check_start(replica, entry);
	changed = changed || replica->leaving != entry->leaving;
	replica->leaving = entry->leaving;
	replica->sequence = entry->sequence;
	replica->held_until_us = 0;
	replica->slots = MAX(entry->slots, 1);
	/* The bucket of an earlier cold time is full by now. */
	if (entry->cold_us > 0 && replica->cold_until_us <= now_us)
		replica->cold.bucket = (struct route_bucket){0};
	replica->cold_until_us =
		entry->cold_us > 0 ? now_us + entry->cold_us : 0;
	return changed;
}

/* Return: whether the entry is of a later start than the replica. */
static bool is_later_start(const struct route_replica *replica,
			   const struct route_entry *entry)
{
	return replica->incarnation &&
	       entry->incarnation > replica->incarnation;
}

static void put_held(struct route_fleet *fleet, const struct route_entry *entry,
		     gint64 now_us)
{
	struct route_replica *replica;

	route_fleet_put(fleet, entry, now_us);
	replica = g_hash_table_lookup(fleet->replicas, entry->id);
	replica->held_until_us = now_us + COPIED_HOLD_US;
}

/* Applies a later state of a listed replica; what it said before still holds.
 */
static void put_later(struct route_fleet *fleet, struct route_replica *replica,
		      const struct route_entry *entry, gint64 now_us)
{
	bool leaving = replica->leaving;
	gint64 cold_until_us = replica->cold_until_us;

	route_fleet_put(fleet, entry, now_us);
	replica->leaving = replica->leaving || leaving;
	replica->cold_until_us = MAX(replica->cold_until_us, cold_until_us);
}

bool route_fleet_put_copied(struct route_fleet *fleet,
			    const struct route_entry *entry, gint64 now_us)
{
	struct route_replica *replica =
		g_hash_table_lookup(fleet->replicas, entry->id);

	if (!replica || replica->lapsed_until_us) {
		put_held(fleet, entry, now_us);
		return true;
	}
	if (!is_same_replica(replica, entry)) {
		if (!is_later_start(replica, entry))
			return false;
		route_fleet_put(fleet, entry, now_us);
		return true;
	}
	if (entry->sequence > replica->sequence) {
		put_later(fleet, replica, entry, now_us);
		return true;
	}
	replica->leaving = replica->leaving || entry->leaving;
	return entry->sequence == replica->sequence;
}

static bool is_held(const struct route_replica *replica, gint64 now_us)
{
	return now_us < replica->held_until_us;
}

bool route_fleet_remove(struct route_fleet *fleet, const char *id, bool hold,
			gint64 now_us)
{
	struct route_replica *replica =
		g_hash_table_lookup(fleet->replicas, id);

	if (!replica || (replica->lapsed_until_us && hold))
		return false;
	if (route_replica_leaves(replica) || is_held(replica, now_us) ||
	    !hold || now_us >= fleet->hold_until_us) {
		remove_replica(fleet, replica, now_us);
		return true;
	}
	replica->lapsed_until_us =
		MIN(fleet->hold_until_us, now_us + lapse_hold(fleet));
	fleet->n_lapsed++;
	return true;
}

void route_fleet_expire(struct route_fleet *fleet, gint64 now_us)
{
	GHashTableIter iter;
	gpointer value;

	if (!fleet->n_lapsed)
		return;
	g_hash_table_iter_init(&iter, fleet->replicas);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct route_replica *replica = value;

		if (!replica->lapsed_until_us ||
		    now_us < replica->lapsed_until_us)
			continue;
		g_hash_table_iter_remove(&iter);
		remove_replica(fleet, replica, now_us);
	}
}

void route_fleet_evacuate(struct route_fleet *fleet, const char *zone, bool out)
{
	GHashTableIter iter;
	gpointer value;

	if (out)
		g_hash_table_add(fleet->evacuated, g_strdup(zone));
	else
		g_hash_table_remove(fleet->evacuated, zone);
	g_hash_table_iter_init(&iter, fleet->replicas);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct route_replica *replica = value;

		if (!strcmp(replica->zone, zone))
			replica->evacuated = out;
	}
}

guint route_fleet_count(const struct route_fleet *fleet)
{
	return g_hash_table_size(fleet->replicas) - fleet->n_lapsed;
}

struct route_replica *route_fleet_random_other(
	struct route_fleet *fleet, const struct route_replica *replica,
	gint64 now_us)
{
	struct route_replica *chosen = NULL;
	guint n = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->replicas);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (value == replica || !route_replica_usable(value, now_us))
			continue;
		/* Each of the n usable ones so far is equally likely. */
		if (!g_random_int_range(0, (gint)++n))
			chosen = value;
	}
	return chosen;
}

void route_fleet_each(struct route_fleet *fleet,
		      void (*visit)(const char *id, void *user), void *user)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->replicas);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct route_replica *replica = value;

		if (!replica->lapsed_until_us)
			visit(replica->id, user);
	}
}

struct route_replica *route_replica_ref(struct route_replica *replica)
{
	g_ref_count_inc(&replica->refs);
	return replica;
}

void route_replica_unref(struct route_replica *replica)
{
	if (!replica || !g_ref_count_dec(&replica->refs))
		return;
	g_free(replica->id);
	g_free(replica->zone);
	g_free(replica);
}

bool route_replica_leaves(const struct route_replica *replica)
{
	return replica->leaving || replica->notice.leaving;
}

bool route_replica_usable(const struct route_replica *replica, gint64 now_us)
{
	if (!replica->pool || route_replica_leaves(replica) ||
	    replica->evacuated || replica->wrong_instance ||
	    is_held(replica, now_us))
		return false;
	return !replica->lapsed_until_us || now_us < replica->lapsed_until_us;
}

const char *route_pool_name(const struct route_pool *pool)
{
	return pool->name;
}
