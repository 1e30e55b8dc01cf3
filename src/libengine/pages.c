/* JSON of the operators' pages: status, upstreams, zones, config and why. */
#include "internal.h"

static const char *phase_name(enum engine_phase phase)
{
	switch (phase) {
	case ENGINE_SERVING:
		return "serving";
	case ENGINE_DRAINING:
		return "draining";
	case ENGINE_STOPPING:
		return "stopping";
	case ENGINE_STOPPED:
		return "stopped";
	}
	return "stopped";
}

static const char *member_state_name(enum policy_member_state state)
{
	switch (state) {
	case POLICY_MEMBER_ALIVE:
		return "alive";
	case POLICY_MEMBER_SUSPECT:
		return "suspect";
	case POLICY_MEMBER_LEFT:
		return "left";
	}
	return "suspect";
}

static gint64 list_revision(const struct engine *engine)
{
	const struct instance_list *list = policy_fleet_list(engine->fleet);

	return list ? list->revision : 0;
}

static json_t *read_status(struct engine *engine)
{
	gint64 now = engine_now(engine);
	const struct config *config = policy_fleet_config(engine->fleet);

	return json_pack(
		"{s:s,s:s,s:s?,s:s,s:b,s:I,s:I,s:b,s:i,s:i,s:i}", "instance",
		engine->settings->instance, "zone", engine->settings->zone,
		"customer", config ? config->customer : NULL, "phase",
		phase_name(engine->phase), "ready", engine_ready(engine),
		"config_revision", (json_int_t)engine->config_revision.number,
		"list_revision", (json_int_t)list_revision(engine),
		"list_fresh", policy_fleet_fresh(engine->fleet, now),
		"peers_alive", (int)policy_members_alive(engine->members, now),
		"open_requests",
		(int)caller_server_open_requests(engine->caller),
		"order_records", (int)policy_orders_count(engine->orders));
}

static void add_upstream(struct policy_upstream *upstream, void *user)
{
	json_array_append_new(
		user,
		json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:b,s:i,s:f,s:f}", "id",
			  upstream->id, "shard", upstream->shard, "zone",
			  upstream->zone, "address", upstream->address,
			  "incarnation", upstream->incarnation, "phase",
			  policy_phase_name(upstream->phase), "leaving",
			  upstream->leaving, "inflight",
			  (int)upstream->inflight, "limit", upstream->limit,
			  "latency_ms", upstream->latency_us / CS_US_PER_MS));
}

static json_t *read_upstreams(struct engine *engine)
{
	json_t *array = json_array();

	policy_fleet_each(engine->fleet, add_upstream, array);
	return json_pack("{s:o}", "upstreams", array);
}

struct zone_count {
	const char *name;
	int upstreams;
	int warm;
	int leaving;
};

static void count_upstream(struct policy_upstream *upstream, void *user)
{
	struct zone_count *count = user;

	if (g_strcmp0(upstream->zone, count->name) != 0)
		return;
	count->upstreams++;
	count->warm += upstream->phase == POLICY_WARM;
	count->leaving += upstream->leaving;
}

static json_t *read_zones(struct engine *engine)
{
	const struct config *config = policy_fleet_config(engine->fleet);
	json_t *array = json_array();

	for (guint i = 0; config && i < config->zones->len; i++) {
		const struct config_zone *zone = config->zones->pdata[i];
		struct zone_count count = {.name = zone->name};

		policy_fleet_each(engine->fleet, count_upstream, &count);
		json_array_append_new(
			array, json_pack("{s:s,s:s?,s:b,s:i,s:i,s:i}", "zone",
					 zone->name, "region", zone->region,
					 "out", zone->out, "upstreams",
					 count.upstreams, "warm", count.warm,
					 "leaving", count.leaving));
	}
	return json_pack("{s:o}", "zones", array);
}

struct member_scan {
	const struct engine *engine;
	json_t *array;
};

static void add_member(const struct policy_member *member, void *user)
{
	struct member_scan *scan = user;
	const struct engine *engine = scan->engine;
	gint64 now = engine_now(engine);

	json_array_append_new(
		scan->array,
		json_pack("{s:s,s:s,s:I,s:I,s:b,s:f}", "id", member->id,
			  "state",
			  member_state_name(policy_members_state(
				  engine->members, member, now)),
			  "config_revision",
			  (json_int_t)member->config_revision, "list_revision",
			  (json_int_t)member->list_revision, "lags",
			  member->config_revision <
				  engine->config_revision.number,
			  "heard_ms_ago",
			  (double)(now - member->last_heartbeat_us) /
				  CS_US_PER_MS));
}

static json_t *read_config(struct engine *engine)
{
	struct member_scan scan = {
		.engine = engine,
		.array = json_array(),
	};

	policy_members_each(engine->members, add_member, &scan);
	return json_pack("{s:s,s:I,s:s?,s:I,s:o}", "instance",
			 engine->settings->instance, "revision",
			 (json_int_t)engine->config_revision.number, "digest",
			 engine->config_revision.digest, "list_revision",
			 (json_int_t)list_revision(engine), "peers",
			 scan.array);
}

json_t *engine_read_page(enum operator_page page, const char *name, void *user)
{
	struct engine *engine = user;

	switch (page) {
	case OPERATOR_STATUS:
		return read_status(engine);
	case OPERATOR_UPSTREAMS:
		return read_upstreams(engine);
	case OPERATOR_ZONES:
		return read_zones(engine);
	case OPERATOR_CONFIG:
		return read_config(engine);
	case OPERATOR_TRACE:
		return history_find(engine->history, name);
	}
	return NULL;
}
