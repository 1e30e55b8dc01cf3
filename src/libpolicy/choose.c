/* Selection of a pin for a query and of an upstream for an attempt. */
#include "fleet.h"

#include "cuminsail/clock.h"

#include <string.h>

/*
 * One choice in WARMING_ONE_IN goes to an upstream that this daemon warms up,
 * so that it receives requests although warm upstreams are available.
 */
#define WARMING_ONE_IN 4

/* Cost in microseconds of a network round trip to another zone. */
#define CROSS_ZONE_COST_US (1.0 * CS_US_PER_MS)

/*
 * An upstream in another zone is chosen only if its cost, round trip included,
 * times this factor is below the cost of the local one.
 */
#define CROSS_ZONE_FACTOR 2

static bool in_evacuated_zone(const struct policy_fleet *fleet,
			      const struct policy_upstream *upstream)
{
	const struct config_zone *zone =
		config_find_zone(fleet->config, upstream->zone);

	return zone && zone->out;
}

/*
 * Whether this daemon may send new attempts to the upstream at all. Every
 * daemon sends to a warm upstream, only its owner to one that is not warm.
 */
static bool is_eligible(const struct policy_fleet *fleet,
			const struct policy_upstream *upstream, gint64 now_us)
{
	if (upstream->leaving || upstream->unlisted ||
	    in_evacuated_zone(fleet, upstream))
		return false;
	if (now_us < upstream->peer_leaving_until_us)
		return false;
	if (upstream->phase == POLICY_WARM)
		return true;
	return policy_ownership_owns(fleet->ownership, upstream->id,
				     upstream->zone, now_us);
}

/* Whether the upstream can take one more attempt now. */
static bool has_free_slot(const struct policy_upstream *upstream, gint64 now_us)
{
	/* A cancelled attempt may still occupy an upstream that is not warm. */
	if (upstream->phase != POLICY_WARM &&
	    now_us < upstream->occupied_until_us)
		return false;
	/*
	 * Consecutive failures suspend an upstream. After the suspension it
	 * gets one attempt at a time.
	 */
	if (now_us < upstream->suspended_until_us)
		return false;
	if (upstream->suspended_until_us && upstream->inflight)
		return false;
	return upstream->inflight + 1 <= (guint)upstream->limit;
}

static bool was_tried(const GPtrArray *tried,
		      const struct policy_upstream *upstream)
{
	return tried && g_ptr_array_find((GPtrArray *)tried, upstream, NULL);
}

/* The upstreams to choose from, of this daemon's zone or of all others. */
struct candidates {
	/* A random sample, or the least recently chosen upstream in warm[0]. */
	struct policy_upstream *warm[2];
	guint n_warm; /* warm upstreams with a free slot, sampled or not */
	struct policy_upstream *warming;
	bool any_eligible; /* with or without a free slot */
};

/* Reservoir sampling: keeps two upstreams; every pair is equally likely. */
static void sample_warm(struct policy_fleet *fleet, struct candidates *set,
			struct policy_upstream *upstream)
{
	guint index = set->n_warm++;

	if (index >= 2)
		index = (guint)g_rand_int_range(fleet->random, 0,
						(gint32)set->n_warm);
	if (index < 2)
		set->warm[index] = upstream;
}

static void add_candidate(struct policy_fleet *fleet, struct candidates *set,
			  struct policy_upstream *upstream, gint64 now_us)
{
	set->any_eligible = true;
	if (!has_free_slot(upstream, now_us))
		return;
	if (upstream->phase == POLICY_WARM)
		sample_warm(fleet, set, upstream);
	else
		set->warming = upstream;
}

/* Estimated time in microseconds until one more attempt is answered. */
static double cost(const struct policy_upstream *upstream, gint64 now_us)
{
	return (upstream->inflight + 1) *
	       (upstream_latency_us(upstream, now_us) + 1);
}

static struct policy_upstream *cheaper(struct policy_upstream *a,
				       struct policy_upstream *b, gint64 now_us)
{
	return cost(b, now_us) < cost(a, now_us) ? b : a;
}

/* The cheaper of the two sampled upstreams, or at times the warming one. */
static struct policy_upstream *pick_candidate(struct policy_fleet *fleet,
					      const struct candidates *set,
					      gint64 now_us)
{
	if (!set->n_warm)
		return set->warming;
	if (set->warming &&
	    g_rand_int_range(fleet->random, 0, WARMING_ONE_IN) == 0)
		return set->warming;
	if (set->n_warm == 1)
		return set->warm[0];
	return cheaper(set->warm[0], set->warm[1], now_us);
}

/* Prefers this daemon's zone unless an upstream elsewhere is much cheaper. */
static struct policy_upstream *pick_by_zone(
	struct policy_fleet *fleet, const struct policy_service *service,
	const struct candidates *local, const struct candidates *remote,
	gint64 now_us)
{
	struct policy_upstream *local_pick =
		pick_candidate(fleet, local, now_us);
	struct policy_upstream *remote_pick;

	if (!service->config->spill && local->any_eligible)
		return local_pick;
	remote_pick = pick_candidate(fleet, remote, now_us);
	if (!local_pick || !remote_pick)
		return local_pick ? local_pick : remote_pick;
	if (local_pick->phase != POLICY_WARM ||
	    remote_pick->phase != POLICY_WARM)
		return local_pick;
	if ((cost(remote_pick, now_us) + CROSS_ZONE_COST_US) *
		    CROSS_ZONE_FACTOR <
	    cost(local_pick, now_us))
		return remote_pick;
	return local_pick;
}

/* Keeps the least recently chosen upstream of those with a free slot. */
static void add_round_robin(struct candidates *set,
			    struct policy_upstream *upstream, gint64 now_us)
{
	set->any_eligible = true;
	if (!has_free_slot(upstream, now_us))
		return;
	if (!set->n_warm ||
	    upstream->choice_sequence < set->warm[0]->choice_sequence)
		set->warm[0] = upstream;
	set->n_warm = 1;
}

static struct policy_upstream *pick_round_robin(struct policy_service *service,
						const struct candidates *set)
{
	if (!set->n_warm)
		return NULL;
	set->warm[0]->choice_sequence = ++service->choice_sequence;
	return set->warm[0];
}

static struct policy_upstream *pick_by_policy(struct policy_fleet *fleet,
					      struct policy_service *service,
					      const struct candidates *local,
					      const struct candidates *remote,
					      gint64 now_us)
{
	switch (service->config->choice) {
	case CONFIG_BETTER_OF_TWO:
		return pick_by_zone(fleet, service, local, remote, now_us);
	case CONFIG_ROUND_ROBIN:
		return pick_round_robin(service, local);
	}
	return NULL;
}

struct policy_upstream *policy_fleet_choose(
	struct policy_fleet *fleet, struct policy_service *service,
	const char *shard, const char *snapshot, const GPtrArray *tried,
	gint64 now_us, enum policy_unavailable *unavailable)
{
	struct candidates local = {0};
	struct candidates remote = {0};
	struct policy_upstream *upstream;
	struct policy_upstream *found;

	TAILQ_FOREACH (upstream, &service->upstreams, link) {
		bool same_zone = !strcmp(upstream->zone, fleet->zone);

		if (shard && strcmp(upstream->shard, shard) != 0)
			continue;
		if (was_tried(tried, upstream) ||
		    !upstream_holds(upstream, snapshot, now_us) ||
		    !is_eligible(fleet, upstream, now_us))
			continue;
		switch (service->config->choice) {
		case CONFIG_BETTER_OF_TWO:
			add_candidate(fleet, same_zone ? &local : &remote,
				      upstream, now_us);
			break;
		case CONFIG_ROUND_ROBIN:
			add_round_robin(&local, upstream, now_us);
			break;
		}
	}
	found = pick_by_policy(fleet, service, &local, &remote, now_us);
	*unavailable = POLICY_AVAILABLE;
	if (!found)
		*unavailable = local.any_eligible || remote.any_eligible
				       ? POLICY_NO_CAPACITY
				       : POLICY_NO_HOLDER;
	return found;
}

/* Whether an eligible upstream holds the shard's snapshot. */
static bool shard_is_available(struct policy_fleet *fleet,
			       struct policy_service *service,
			       const char *shard, const char *snapshot,
			       gint64 now_us)
{
	struct policy_upstream *upstream;

	TAILQ_FOREACH (upstream, &service->upstreams, link) {
		if (!strcmp(upstream->shard, shard) &&
		    upstream_holds(upstream, snapshot, now_us) &&
		    is_eligible(fleet, upstream, now_us))
			return true;
	}
	return false;
}

static guint count_available_shards(struct policy_fleet *fleet,
				    struct policy_service *service,
				    const struct policy_pin *pin, gint64 now_us)
{
	guint count = 0;

	for (guint i = 0; i < pin->shards->len; i++) {
		const struct list_shard *shard = pin->shards->pdata[i];

		if (shard_is_available(fleet, service, shard->id, pin->snapshot,
				       now_us))
			count++;
	}
	return count;
}

struct policy_pin *policy_fleet_pin(struct policy_fleet *fleet,
				    struct policy_service *service,
				    gint64 now_us)
{
	struct policy_pin *best = NULL;
	double best_share = 0;

	for (guint i = service->pins->len; i > 0; i--) {
		struct policy_pin *pin = service->pins->pdata[i - 1];
		guint count =
			count_available_shards(fleet, service, pin, now_us);
		double share = (double)count / pin->shards->len;

		if (share > best_share) {
			best = pin;
			best_share = share;
		}
	}
	if (best)
		g_ref_count_inc(&best->refs);
	return best;
}
