/* Applies configurations, lists and the state that upstreams report. */
#include "fleet.h"

#include "cuminsail/clock.h"
#include "cuminsail/error.h"

#include <string.h>

/* How long a peer's report that an upstream is leaving is valid. */
#define PEER_LEAVING_TTL_US (2 * CS_US_PER_S)

/*
 * When a failed attempt of this daemon has made an upstream cold, peers'
 * reports that it is warm are ignored for this time: they may be older than the
 * failure.
 */
#define IGNORE_PEER_WARM_US CS_US_PER_S

struct policy_fleet *policy_fleet_create(const char *self, const char *zone,
					 struct cs_counters *counters,
					 guint32 seed)
{
	struct policy_fleet *fleet = g_new0(struct policy_fleet, 1);

	fleet->zone = g_strdup(zone);
	fleet->counters = counters;
	fleet->daemons_max = 1;
	fleet->services = g_hash_table_new_full(
		g_str_hash, g_str_equal, NULL, (GDestroyNotify)service_destroy);
	fleet->upstreams = g_hash_table_new(g_str_hash, g_str_equal);
	fleet->ownership = policy_ownership_create(self);
	fleet->random = g_rand_new_with_seed(seed);
	return fleet;
}

void policy_fleet_destroy(struct policy_fleet *fleet)
{
	if (!fleet)
		return;
	g_hash_table_unref(fleet->upstreams);
	g_hash_table_unref(fleet->services);
	policy_ownership_destroy(fleet->ownership);
	g_rand_free(fleet->random);
	config_destroy(fleet->config);
	instance_list_destroy(fleet->list);
	g_free(fleet->zone);
	g_free(fleet);
}

/* Looks up a service, or creates it without a configuration. */
static struct policy_service *get_or_create_service(struct policy_fleet *fleet,
						    const char *name)
{
	struct policy_service *service =
		g_hash_table_lookup(fleet->services, name);

	if (service)
		return service;
	service = service_create(name);
	g_hash_table_insert(fleet->services, service->name, service);
	return service;
}

/* The longest time that a request of any service stays in flight. */
static gint64 longest_part_us(const struct config *config)
{
	gint64 longest = 0;

	for (guint i = 0; i < config->services->len; i++) {
		const struct config_service *service =
			config->services->pdata[i];

		longest = MAX(longest, service->part_timeout_ms);
	}
	return longest * CS_US_PER_MS;
}

/* Points each service at its configuration, which may be missing. */
static void attach_configs(struct policy_fleet *fleet)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct policy_service *service = value;

		service->config =
			config_find_service(fleet->config, service->name);
	}
}

/* Applies new caps at once; a limit that was lowered before is not raised. */
static void clamp_limit(struct policy_upstream *upstream, void *user)
{
	struct policy_fleet *fleet = user;
	double before = upstream->limit;
	guint answers_since_raise = upstream->answers_since_raise;

	if (upstream->phase == POLICY_WARMING)
		return;
	upstream_set_phase(upstream, upstream->phase, fleet->daemons_max);
	upstream->limit = MIN(before, upstream->limit);
	upstream->answers_since_raise = answers_since_raise;
}

void policy_fleet_set_config(struct policy_fleet *fleet, struct config *config)
{
	struct config *old = fleet->config;

	fleet->config = config;
	fleet->daemons_max = (guint)config->daemons_max;
	for (guint i = 0; i < config->services->len; i++) {
		const struct config_service *service =
			config->services->pdata[i];

		get_or_create_service(fleet, service->name);
	}
	attach_configs(fleet);
	policy_ownership_set_bounds(fleet->ownership,
				    config->list_lag_ms * CS_US_PER_MS,
				    longest_part_us(config));
	policy_fleet_each(fleet, clamp_limit, fleet);
	config_destroy(old);
}

const struct config *policy_fleet_config(const struct policy_fleet *fleet)
{
	return fleet->config;
}

const struct instance_list *policy_fleet_list(const struct policy_fleet *fleet)
{
	return fleet->list;
}

static bool zone_is_evacuated(const struct policy_fleet *fleet,
			      const char *zone)
{
	const struct config_zone *found = config_find_zone(fleet->config, zone);

	return found && found->out;
}

/* Counts the upstreams of all zones that are not evacuated. */
static guint count_upstreams(const struct policy_fleet *fleet,
			     const struct instance_list *list)
{
	guint count = 0;

	for (guint i = 0; i < list->upstreams->len; i++) {
		const struct list_upstream *upstream =
			list->upstreams->pdata[i];

		if (!zone_is_evacuated(fleet, upstream->zone))
			count++;
	}
	return count;
}

static bool shrank_too_much(const struct policy_fleet *fleet,
			    const struct instance_list *list)
{
	guint before;
	guint after;

	if (!fleet->list)
		return false;
	before = count_upstreams(fleet, fleet->list);
	after = count_upstreams(fleet, list);
	return after < before * (1 - fleet->config->list_shrink_max);
}

static void mark_unlisted(struct policy_upstream *upstream, void *user)
{
	upstream->unlisted = true;
}

static void remove_upstream(struct policy_fleet *fleet,
			    struct policy_upstream *upstream)
{
	g_hash_table_remove(fleet->upstreams, upstream->id);
	TAILQ_REMOVE(&upstream->service->upstreams, upstream, link);
	upstream_destroy(upstream);
}

static void collect_idle(struct policy_upstream *upstream, void *user)
{
	GPtrArray *idle = user;

	if (upstream->unlisted && !upstream->inflight)
		g_ptr_array_add(idle, upstream);
}

/* Removes unlisted upstreams; those with open attempts stay until these end. */
static void remove_unlisted(struct policy_fleet *fleet)
{
	g_autoptr(GPtrArray) idle = g_ptr_array_new();

	policy_fleet_each(fleet, collect_idle, idle);
	for (guint i = 0; i < idle->len; i++)
		remove_upstream(fleet, idle->pdata[i]);
}

/* A new incarnation is a new process: it starts cold and without failures. */
static void set_incarnation(struct policy_fleet *fleet,
			    struct policy_upstream *upstream,
			    const char *incarnation)
{
	if (!strcmp(upstream->incarnation, incarnation))
		return;
	g_free(upstream->incarnation);
	upstream->incarnation = g_strdup(incarnation);
	upstream->leaving = false;
	upstream->peer_leaving_until_us = 0;
	upstream->suspended_until_us = 0;
	upstream->consecutive_failures = 0;
	upstream->last_answer_us = 0;
	g_hash_table_remove_all(upstream->denied_snapshots);
	upstream_set_phase(upstream, POLICY_COLD, fleet->daemons_max);
}

static void apply_listed(struct policy_fleet *fleet,
			 const struct list_upstream *listed)
{
	struct policy_upstream *upstream =
		g_hash_table_lookup(fleet->upstreams, listed->id);

	/* Moved to another service: removed first, created by a later list. */
	if (upstream && strcmp(upstream->service->name, listed->service) != 0)
		return;
	if (!upstream) {
		struct policy_service *service =
			get_or_create_service(fleet, listed->service);

		upstream = upstream_create(service, listed);
		TAILQ_INSERT_TAIL(&service->upstreams, upstream, link);
		g_hash_table_insert(fleet->upstreams, upstream->id, upstream);
	}
	/* A list that lags must not undo what the upstream itself reported. */
	if (strcmp(upstream->listed_incarnation, listed->incarnation) != 0)
		set_incarnation(fleet, upstream, listed->incarnation);
	upstream_update(upstream, listed);
}

static struct policy_pin *create_pin(const struct list_snapshot *snapshot)
{
	struct policy_pin *pin = g_new0(struct policy_pin, 1);

	g_ref_count_init(&pin->refs);
	pin->snapshot = g_strdup(snapshot->id);
	pin->map = snapshot->map;
	pin->shards = g_ptr_array_new();
	for (guint i = 0; i < snapshot->shards->len; i++) {
		const struct list_shard *listed = snapshot->shards->pdata[i];
		struct list_shard *shard = g_new0(struct list_shard, 1);

		shard->id = g_strdup(listed->id);
		shard->documents = listed->documents;
		pin->documents += listed->documents;
		g_ptr_array_add(pin->shards, shard);
	}
	return pin;
}

void policy_pin_unref(struct policy_pin *pin)
{
	if (!pin || !g_ref_count_dec(&pin->refs))
		return;
	for (guint i = 0; i < pin->shards->len; i++) {
		struct list_shard *shard = pin->shards->pdata[i];

		g_free(shard->id);
		g_free(shard);
	}
	g_ptr_array_unref(pin->shards);
	g_free(pin->snapshot);
	g_free(pin);
}

static void replace_pins(struct policy_fleet *fleet,
			 const struct instance_list *list)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_set_size(((struct policy_service *)value)->pins, 0);
	for (guint i = 0; i < list->snapshots->len; i++) {
		const struct list_snapshot *snapshot =
			list->snapshots->pdata[i];
		struct policy_service *service =
			get_or_create_service(fleet, snapshot->service);

		g_ptr_array_add(service->pins, create_pin(snapshot));
	}
}

static int check_list(const struct policy_fleet *fleet,
		      const struct instance_list *list)
{
	if (!fleet->config)
		return CS_E_NOT_READY;
	if (fleet->list && list->revision <= fleet->list->revision)
		return CS_E_STALE;
	if (shrank_too_much(fleet, list))
		return CS_E_RANGE;
	return 0;
}

int policy_fleet_set_list(struct policy_fleet *fleet,
			  struct instance_list *list, gint64 read_sent_us,
			  gint64 now_us)
{
	int error = check_list(fleet, list);

	if (error) {
		instance_list_destroy(list);
		return error;
	}
	policy_fleet_each(fleet, mark_unlisted, NULL);
	for (guint i = 0; i < list->upstreams->len; i++)
		apply_listed(fleet, list->upstreams->pdata[i]);
	remove_unlisted(fleet);
	replace_pins(fleet, list);
	attach_configs(fleet);
	policy_ownership_add_list(fleet->ownership, list->revision,
				  list->daemons, now_us);
	policy_ownership_confirm(fleet->ownership, read_sent_us);
	instance_list_destroy(fleet->list);
	fleet->list = list;
	return 0;
}

void policy_fleet_confirm_list(struct policy_fleet *fleet, gint64 read_sent_us)
{
	policy_ownership_confirm(fleet->ownership, read_sent_us);
}

bool policy_fleet_fresh(const struct policy_fleet *fleet, gint64 now_us)
{
	return policy_ownership_is_fresh(fleet->ownership, now_us);
}

struct policy_service *policy_fleet_service(struct policy_fleet *fleet,
					    const char *name)
{
	struct policy_service *service =
		g_hash_table_lookup(fleet->services, name);

	return service && service->config ? service : NULL;
}

void policy_fleet_each(struct policy_fleet *fleet,
		       void (*visit)(struct policy_upstream *upstream,
				     void *user),
		       void *user)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		visit(value, user);
}

void policy_upstream_begin(struct policy_upstream *upstream)
{
	upstream->inflight++;
}

void policy_upstream_end(struct policy_fleet *fleet,
			 struct policy_upstream *upstream,
			 enum policy_result result, gint64 sent_us,
			 gint64 now_us)
{
	upstream->inflight--;
	upstream_record_result(upstream, result, now_us - sent_us, now_us,
			       fleet->daemons_max, fleet->counters);
	if (upstream->unlisted && !upstream->inflight)
		remove_upstream(fleet, upstream);
}

void policy_upstream_apply_report(struct policy_fleet *fleet,
				  struct policy_upstream *upstream,
				  const struct policy_upstream_report *report)
{
	if (report->incarnation)
		set_incarnation(fleet, upstream, report->incarnation);
	if (report->draining)
		upstream->leaving = true;
	if (report->cold)
		upstream_set_phase(upstream, POLICY_COLD, fleet->daemons_max);
}

void policy_fleet_peer_warm(struct policy_fleet *fleet, const char *id,
			    const char *incarnation, gint64 now_us)
{
	struct policy_upstream *upstream =
		g_hash_table_lookup(fleet->upstreams, id);

	if (!upstream || upstream->phase == POLICY_WARM)
		return;
	if (strcmp(upstream->incarnation, incarnation) != 0)
		return;
	if (upstream->became_cold_us &&
	    now_us - upstream->became_cold_us < IGNORE_PEER_WARM_US)
		return;
	upstream_set_phase(upstream, POLICY_WARM, fleet->daemons_max);
	upstream->limit = 1;
}

void policy_fleet_peer_leaving(struct policy_fleet *fleet, const char *id,
			       const char *incarnation, gint64 now_us)
{
	struct policy_upstream *upstream =
		g_hash_table_lookup(fleet->upstreams, id);

	if (upstream && !strcmp(upstream->incarnation, incarnation))
		upstream->peer_leaving_until_us = now_us + PEER_LEAVING_TTL_US;
}
