/* The choice of a pin for a query and of an upstream for an attempt. */
#include "fleet.h"

#include "cuminsail/clock.h"

#include <string.h>

/* One choice in this many goes to an upstream that this daemon warms. */
#define WARMING_SHARE 4

/* What the way to another zone and back costs. */
#define CROSS_ZONE_US (1.0 * CS_US_PER_MS)

/* How much better another zone must be to be asked. */
#define FAR_FACTOR 2

static bool is_out(const struct policy_fleet *fleet,
		   const struct policy_upstream *upstream)
{
	const struct config_zone *zone =
		config_find_zone(fleet->config, upstream->zone);

	return zone && zone->out;
}

/* Whether any new work may go there at all. */
static bool may_ask(const struct policy_fleet *fleet,
		    const struct policy_upstream *upstream, gint64 now_us)
{
	if (upstream->leaving || upstream->gone || is_out(fleet, upstream))
		return false;
	if (now_us < upstream->peer_leaving_us)
		return false;
	if (upstream->phase == POLICY_WARM)
		return true;
	return policy_views_owns(fleet->views, upstream->id, upstream->zone,
				 now_us);
}

static bool has_room(const struct policy_upstream *upstream, gint64 now_us)
{
	if (upstream->phase != POLICY_WARM && now_us < upstream->occupied_us)
		return false;
	/* After a run of failures one attempt at a time tries it again. */
	if (now_us < upstream->suspended_us)
		return false;
	if (upstream->suspended_us && upstream->inflight)
		return false;
	return upstream->inflight + 1 <= (guint)upstream->limit;
}

static bool was_tried(const GPtrArray *tried,
		      const struct policy_upstream *upstream)
{
	return tried && g_ptr_array_find((GPtrArray *)tried, upstream, NULL);
}

/* What choose() gathers for one zone tier. */
struct candidates {
	struct policy_upstream *warm[2]; /* drawn at random */
	guint n_warm;
	struct policy_upstream *warming;
	bool holder;
};

/* Keep two of all offered, each pair as likely as any other. */
static void draw(struct policy_fleet *fleet, struct candidates *set,
		 struct policy_upstream *upstream)
{
	guint index = set->n_warm++;

	if (index >= 2)
		index = (guint)g_rand_int_range(fleet->random, 0,
						(gint32)set->n_warm);
	if (index < 2)
		set->warm[index] = upstream;
}

static void offer(struct policy_fleet *fleet, struct candidates *set,
		  struct policy_upstream *upstream, gint64 now_us)
{
	set->holder = true;
	if (!has_room(upstream, now_us))
		return;
	if (upstream->phase == POLICY_WARM)
		draw(fleet, set, upstream);
	else
		set->warming = upstream;
}

static double cost(const struct policy_upstream *upstream, gint64 now_us)
{
	return (upstream->inflight + 1) *
	       (upstream_latency_us(upstream, now_us) + 1);
}

static struct policy_upstream *better(struct policy_upstream *a,
				      struct policy_upstream *b, gint64 now_us)
{
	return cost(b, now_us) < cost(a, now_us) ? b : a;
}

static struct policy_upstream *pick(struct policy_fleet *fleet,
				    const struct candidates *set, gint64 now_us)
{
	if (!set->n_warm)
		return set->warming;
	if (set->warming &&
	    g_rand_int_range(fleet->random, 0, WARMING_SHARE) == 0)
		return set->warming;
	if (set->n_warm == 1)
		return set->warm[0];
	return better(set->warm[0], set->warm[1], now_us);
}

/* The own zone goes first, unless another is much better. */
static struct policy_upstream *pick_near(struct policy_fleet *fleet,
					 const struct policy_service *service,
					 const struct candidates *own,
					 const struct candidates *other,
					 gint64 now_us)
{
	struct policy_upstream *near = pick(fleet, own, now_us);
	struct policy_upstream *far;

	if (!service->config->spill && own->holder)
		return near;
	far = pick(fleet, other, now_us);
	if (!near || !far)
		return near ? near : far;
	if (near->phase != POLICY_WARM || far->phase != POLICY_WARM)
		return near;
	if ((cost(far, now_us) + CROSS_ZONE_US) * FAR_FACTOR <
	    cost(near, now_us))
		return far;
	return near;
}

/* The least recently chosen of all that have room. */
static void offer_turn(struct candidates *set, struct policy_upstream *upstream,
		       gint64 now_us)
{
	set->holder = true;
	if (!has_room(upstream, now_us))
		return;
	if (!set->n_warm || upstream->turn < set->warm[0]->turn)
		set->warm[0] = upstream;
	set->n_warm = 1;
}

static struct policy_upstream *take_turn(struct policy_service *service,
					 const struct candidates *set)
{
	if (!set->n_warm)
		return NULL;
	set->warm[0]->turn = ++service->turns;
	return set->warm[0];
}

static struct policy_upstream *pick_by(struct policy_fleet *fleet,
				       struct policy_service *service,
				       const struct candidates *own,
				       const struct candidates *other,
				       gint64 now_us)
{
	switch (service->config->choice) {
	case CONFIG_BETTER_OF_TWO:
		return pick_near(fleet, service, own, other, now_us);
	case CONFIG_ROUND_ROBIN:
		return take_turn(service, own);
	}
	return NULL;
}

struct policy_upstream *policy_fleet_choose(
	struct policy_fleet *fleet, struct policy_service *service,
	const char *shard, const char *snapshot, const GPtrArray *tried,
	gint64 now_us, enum policy_lack *lack)
{
	struct candidates own = {0};
	struct candidates other = {0};
	struct policy_upstream *upstream;
	struct policy_upstream *found;

	TAILQ_FOREACH (upstream, &service->upstreams, link) {
		bool near = !strcmp(upstream->zone, fleet->zone);

		if (shard && strcmp(upstream->shard, shard) != 0)
			continue;
		if (was_tried(tried, upstream) ||
		    !upstream_holds(upstream, snapshot, now_us) ||
		    !may_ask(fleet, upstream, now_us))
			continue;
		switch (service->config->choice) {
		case CONFIG_BETTER_OF_TWO:
			offer(fleet, near ? &own : &other, upstream, now_us);
			break;
		case CONFIG_ROUND_ROBIN:
			offer_turn(&own, upstream, now_us);
			break;
		}
	}
	found = pick_by(fleet, service, &own, &other, now_us);
	*lack = POLICY_LACK_NONE;
	if (!found)
		*lack = own.holder || other.holder ? POLICY_LACK_ROOM
						   : POLICY_LACK_HOLDER;
	return found;
}

static bool shard_can_be_asked(struct policy_fleet *fleet,
			       struct policy_service *service,
			       const char *shard, const char *snapshot,
			       gint64 now_us)
{
	struct policy_upstream *upstream;

	TAILQ_FOREACH (upstream, &service->upstreams, link) {
		if (!strcmp(upstream->shard, shard) &&
		    upstream_holds(upstream, snapshot, now_us) &&
		    may_ask(fleet, upstream, now_us))
			return true;
	}
	return false;
}

static guint count_shards(struct policy_fleet *fleet,
			  struct policy_service *service,
			  const struct policy_pin *pin, gint64 now_us)
{
	guint count = 0;

	for (guint i = 0; i < pin->shards->len; i++) {
		const struct list_shard *shard = pin->shards->pdata[i];

		if (shard_can_be_asked(fleet, service, shard->id, pin->snapshot,
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
		guint count = count_shards(fleet, service, pin, now_us);
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
