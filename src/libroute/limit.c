/* The rate limits that replicas name in their answers. */
#include "fleet.h"

/* Part of a limit that daemons use whose place is not up to date, all together.
 * The others may use the whole limit meanwhile, and the sum has to stay below
 * one and a half times the limit. */
#define UNTOLD_PART 0.5

/* Part of a limit for the daemons in the replica's region. */
#define NEAR_PART 0.9

/* Capacity of a bucket that fills slowly. With one token it would lose what it
 * gets between a full bucket and the next request, half of it if requests come
 * at the rate of the tokens. */
#define CAPACITY_MIN 1.5

/* Time in which a bucket that holds more than one token fills up. */
#define BURST_US (250 * CS_US_PER_MS)

/* How long a place is up to date after it was told: three calls to a seed. */
#define PLACE_LIFETIME_US (3 * CS_US_PER_S)

/* If no answer tells about a limit for this long, the daemons with a fraction
 * may have no requests for the replica. Then all daemons may send this part of
 * it together, so that one of them learns when it ends. */
#define STALE_US   (10 * CS_US_PER_S)
#define PROBE_PART 0.1

/* A higher limit counts as this one, which no load reaches. */
#define LIMIT_MAX 1e9

/* Allows for the rounding of a limit's parts. */
#define ROUNDING 1e-9

double route_place_fraction(const struct route_place *place, double per_s)
{
	guint n = place->near ? place->n_near : place->n_far;
	double part = place->near ? NEAR_PART : 1 - NEAR_PART;
	guint holders;

	if (!place->n_near || !place->n_far)
		part = 1;
	holders = (guint)CLAMP(part * per_s + ROUNDING, 1, MAX(n, 1));
	return place->position < holders ? part / holders : 0;
}

void route_fleet_each_place(struct route_fleet *fleet,
			    void (*visit)(const char *region,
					  const struct route_place *place,
					  void *user),
			    void *user)
{
	GHashTableIter iter;
	gpointer region;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->places);
	while (g_hash_table_iter_next(&iter, &region, &value))
		visit(region, &((const struct route_told_place *)value)->place,
		      user);
}

void route_fleet_set_place(struct route_fleet *fleet, const char *region,
			   const struct route_place *place, gint64 now_us)
{
	struct route_told_place *told =
		g_hash_table_lookup(fleet->places, region);

	if (!told) {
		told = g_new(struct route_told_place, 1);
		g_hash_table_insert(fleet->places, g_strdup(region), told);
	}
	*told = (struct route_told_place){*place, now_us};
}

/* Return: this daemon's fraction of a replica's limit. */
static double own_fraction(const struct route_replica *replica, gint64 now_us)
{
	const struct route_fleet *fleet = replica->pool->fleet;
	const struct route_limit *limit = &replica->limit;
	const struct route_told_place *told = g_hash_table_lookup(
		fleet->places, replica->region ? replica->region : "");
	guint daemons = MAX(fleet->bounds.daemons, 1);
	double fraction = 0;

	if (told) {
		daemons = MAX(daemons, told->place.n_near + told->place.n_far);
		fraction = route_place_fraction(&told->place, limit->per_s);
	}
	if (told && now_us - told->told_us > PLACE_LIFETIME_US)
		fraction *= UNTOLD_PART;
	if (!told)
		fraction = UNTOLD_PART / daemons;
	else if (now_us - limit->observed_us > STALE_US)
		fraction = MAX(fraction, PROBE_PART / daemons);
	return fraction;
}

static struct route_bucket_rate refill(struct route_replica *replica,
				       gint64 now_us)
{
	struct route_limit *limit = &replica->limit;
	struct route_bucket_rate rate;

	rate.per_s = limit->per_s * own_fraction(replica, now_us);
	rate.capacity = MAX(rate.per_s * BURST_US / CS_US_PER_S, CAPACITY_MIN);
	route_bucket_refill(&limit->bucket, &rate, now_us);
	return rate;
}

bool route_limit_allows(struct route_replica *replica, gint64 now_us)
{
	return !route_limit_wait_us(replica, now_us);
}

gint64 route_limit_wait_us(struct route_replica *replica, gint64 now_us)
{
	const struct route_bucket *bucket = &replica->limit.bucket;
	struct route_bucket_rate rate;

	if (replica->limit.per_s <= 0)
		return 0;
	rate = refill(replica, now_us);
	if (route_bucket_ready(bucket))
		return 0;
	if (rate.per_s <= 0)
		return G_MAXINT64;
	return MAX(route_bucket_fill_time_us(&rate, 1 - bucket->tokens), 1);
}

gint64 route_pool_wait_us(struct route_pool *pool, gint64 now_us)
{
	gint64 wait_us = G_MAXINT64;
	struct route_replica *replica;

	TAILQ_FOREACH (replica, &pool->replicas, link) {
		if (!route_replica_usable(replica, now_us))
			continue;
		wait_us =
			MIN(wait_us, MAX(route_limit_wait_us(replica, now_us),
					 route_rest_wait_us(replica, now_us)));
	}
	return wait_us;
}

/* Sets a newer rate and returns the change. */
static enum route_limit_change set_limit(struct route_replica *replica,
					 double per_s, gint64 observed_us,
					 gint64 now_us)
{
	struct route_limit *limit = &replica->limit;
	double before = limit->per_s;

	if (!limit->observed_us && replica->pool)
		TAILQ_INSERT_TAIL(&replica->pool->fleet->limited, replica,
				  limited);
	if (before <= 0)
		route_bucket_start(&limit->bucket, now_us);
	limit->per_s = MIN(per_s, LIMIT_MAX);
	limit->observed_us = observed_us;
	if (before == per_s)
		return ROUTE_LIMIT_SAME;
	if (per_s <= 0)
		return ROUTE_LIMIT_ENDED;
	return before > 0 ? ROUTE_LIMIT_CHANGED : ROUTE_LIMIT_NAMED;
}

enum route_limit_change route_replica_observe_limit(
	struct route_replica *replica, double per_s, gint64 sent_us,
	gint64 now_us)
{
	struct route_limit *limit = &replica->limit;

	if (per_s <= 0 && (limit->per_s <= 0 || sent_us < limit->observed_us))
		return ROUTE_LIMIT_SAME;
	limit->unreported = true;
	return set_limit(replica, per_s, now_us, now_us);
}

struct route_replica *route_fleet_learn_limit(struct route_fleet *fleet,
					      const char *id,
					      gint64 incarnation,
					      const struct route_limit *limit,
					      enum route_limit_change *change,
					      gint64 now_us)
{
	struct route_replica *replica =
		g_hash_table_lookup(fleet->replicas, id);

	if (!replica || replica->incarnation != incarnation ||
	    limit->observed_us <= replica->limit.observed_us)
		return NULL;
	*change = set_limit(replica, limit->per_s, limit->observed_us, now_us);
	return replica;
}

void route_fleet_each_limit(struct route_fleet *fleet,
			    void (*visit)(struct route_replica *replica,
					  void *user),
			    void *user)
{
	struct route_replica *replica;

	TAILQ_FOREACH (replica, &fleet->limited, limited)
		visit(replica, user);
}
