/*
 * The control server: answers calls from other daemons with the number of
 * daemons that are up and the changes of the routing view.
 *
 * A seed receives about one call a second from every daemon that follows it.
 * The call is held here until the routing view changes, for at most a second.
 * The traffic is therefore one small call per daemon and second, whatever the
 * size of the fleet, and only the seeds read the platform.
 */
#include "internal.h"

#include "cuminsail/compress.h"
#include "cuminsail/endpoint.h"
#include "cuminsail/log.h"

#include <stdlib.h>
#include <string.h>

/* Interval between two updates of the outliers among the replicas: a quarter of
 * the time between two calls of a daemon. */
#define OUTLIERS_INTERVAL_US (250 * CS_US_PER_MS)

/* Compressed views kept of one position: one for each older position that a
 * caller may still have. */
#define COMPRESSED_VIEWS_MAX 8

/* Longest time for which a call is held. The caller relies on it to detect a
 * seed that does not answer. */
#define HOLD_MAX_US (1 * CS_US_PER_S)

/* The same while this daemon has no routing view: all daemons may have started
 * together, and a seed reads the platform in about 0.1 s. */
#define HOLD_EMPTY_US (300 * CS_US_PER_MS)

/* The same while the caller has another blocklist. Lists may differ for long if
 * they are too large for a message. */
#define HOLD_BLOCKLIST_US (500 * CS_US_PER_MS)

/* How long changes of the blocklist are collected before callers are told. */
#define BLOCKLIST_DELAY_US (10 * CS_US_PER_MS)

/* What a call says of its caller. */
struct follower {
	const char *zone;
	guint32 hash; /* of the control address */
	struct forward_position after; /* of the routing view */
	guint64 blocklist; /* fingerprint */
	guint32 relays; /* fingerprint of the last list */
	gint64 wait_us; /* longest time for which the call may be held */
};

/* A call that is held until there is something to tell. */
struct held_call {
	TAILQ_ENTRY(held_call) link;
	struct forward_peers *peers;
	struct http1_exchange *exchange;
	struct follower follower;
	char *zone;
	struct cs_timer timer;
};

struct forward_peers {
	struct forward_engine *engine;
	struct http1_server *server;
	struct forward_registry *registry;
	TAILQ_HEAD(, held_call) held_calls;
	struct cs_timer blocklist_timer; /* answers the held calls */
	bool blocklist_changed; /* the timer is armed */
	struct forward_source source;
	/* Position of the caller, as text, to compressed changes. Cached,
	 * because most callers have one of a few positions. */
	GHashTable *compressed_views;
	struct forward_position compressed_views_position;
	/* The outliers among the replicas, cached for OUTLIERS_INTERVAL_US. */
	char *outliers;
	gint64 outliers_updated_us;
};

/* ---- answers ---- */

static struct forward_position local_position(const struct forward_peers *peers)
{
	const struct forward_source *source = &peers->source;

	return source->position ? source->position(source->user)
				: (struct forward_position){0};
}

/* Return: the position after which a caller lacks changes. A daemon of an older
 * version names no history: it is taken to have the same. */
static struct forward_position callers_position(
	const struct forward_peers *peers, const struct follower *follower)
{
	struct forward_position after = follower->after;

	if (after.history < 0)
		after.history = local_position(peers).history;
	return after;
}

/* Return: the compressed changes after the caller's position, owned by @peers;
 * NULL without a routing view. */
static const char *compress_view(struct forward_peers *peers,
				 const struct follower *follower)
{
	const struct forward_source *source = &peers->source;
	struct forward_position local = local_position(peers);
	struct forward_position after = callers_position(peers, follower);
	g_autofree char *key =
		g_strdup_printf("%" G_GINT64_FORMAT ":%" G_GINT64_FORMAT,
				after.history, after.revision);
	g_autofree char *text = NULL;
	char *compressed;
	json_t *view;

	if (forward_position_compare(&peers->compressed_views_position,
				     &local) != 0 ||
	    g_hash_table_size(peers->compressed_views) >= COMPRESSED_VIEWS_MAX)
		g_hash_table_remove_all(peers->compressed_views);
	peers->compressed_views_position = local;
	compressed = g_hash_table_lookup(peers->compressed_views, key);
	if (compressed)
		return compressed;
	view = source->export_changes
		       ? source->export_changes(&after, source->user)
		       : NULL;
	if (!view)
		return NULL;
	text = cs_json_print(view);
	json_decref(view);
	compressed = cs_compress_text(text);
	g_hash_table_insert(peers->compressed_views, g_steal_pointer(&key),
			    compressed);
	return compressed;
}

/* Return: the outliers as JSON text, owned by @peers. */
static const char *print_outliers(struct forward_peers *peers)
{
	gint64 now = forward_now(peers->engine);
	json_t *outliers;

	if (peers->outliers &&
	    now - peers->outliers_updated_us < OUTLIERS_INTERVAL_US)
		return peers->outliers;
	outliers = forward_outliers_update(peers->engine);
	g_free(peers->outliers);
	peers->outliers = cs_json_print(outliers);
	peers->outliers_updated_us = now;
	json_decref(outliers);
	return peers->outliers;
}

static bool has_other_blocklist(const struct forward_peers *peers,
				const struct follower *follower)
{
	return follower->blocklist !=
	       route_blocklist_fingerprint(peers->engine->blocklist);
}

static void send_answer(struct forward_peers *peers,
			struct http1_exchange *exchange,
			const struct follower *follower)
{
	const char *view = compress_view(peers, follower);
	guint in_zone =
		forward_registry_count_in_zone(peers->registry, follower->zone);
	GString *body = g_string_sized_new(view ? strlen(view) + 256 : 256);
	json_t *limits = forward_limits_export(peers->engine);
	json_t *places = forward_limits_places(
		peers->engine, forward_registry_members(peers->registry),
		follower->hash);
	g_autofree char *limits_text = cs_json_print(limits);
	g_autofree char *places_text = cs_json_print(places);
	gint64 hold_us = route_fleet_longest_hold_us(
		peers->engine->fleet, forward_now(peers->engine));
	struct http1_reply reply = {.status = 200};

	g_string_printf(body,
			"{\"daemons\": %u, \"daemons_in_zone\": %u, "
			"\"age_ms\": %" G_GINT64_FORMAT ", "
			"\"hold_ms\": %" G_GINT64_FORMAT ", \"outliers\": %s, "
			"\"limits\": %s, \"places\": %s, \"blocked\": \"",
			forward_registry_count(peers->registry), in_zone,
			forward_view_age(peers->engine) / CS_US_PER_MS,
			hold_us / CS_US_PER_MS, print_outliers(peers),
			limits_text, places_text);
	json_decref(limits);
	json_decref(places);
	forward_blocklist_print(peers->engine,
				has_other_blocklist(peers, follower), body);
	g_string_append_c(body, '"');
	forward_registry_append_known_relays(peers->registry, follower->relays,
					     body);
	forward_pauses_append(peers->engine, body);
	if (view)
		g_string_append_printf(body, ", \"picture\": \"%s\"", view);
	g_string_append_c(body, '}');
	reply.body = body->str;
	reply.body_length = body->len;
	http1_exchange_reply(exchange, &reply);
	g_string_free(body, TRUE);
}

static void free_held_call(struct held_call *call)
{
	cs_timer_disarm(call->peers->engine->clock, &call->timer);
	TAILQ_REMOVE(&call->peers->held_calls, call, link);
	g_free(call->zone);
	g_free(call);
}

static void answer_held_call(struct held_call *call)
{
	http1_exchange_set_data(call->exchange, NULL);
	send_answer(call->peers, call->exchange, &call->follower);
	free_held_call(call);
}

static void on_hold_timeout(struct cs_timer *timer)
{
	answer_held_call(
		(struct held_call *)((char *)timer -
				     offsetof(struct held_call, timer)));
}

static bool has_update(const struct forward_peers *peers,
		       const struct follower *follower)
{
	struct forward_position local = local_position(peers);
	struct forward_position after = callers_position(peers, follower);

	return local.revision && (after.revision <= 0 ||
				  forward_position_compare(&after, &local) < 0);
}

/* Return: how long a call may be held, in microseconds; 0 if the caller lacks a
 * change, or the routing view is outdated or of an earlier history than the
 * caller's. */
static gint64 hold_period(const struct forward_peers *peers,
			  const struct follower *follower)
{
	gint64 until_late_us =
		FORWARD_VIEW_LATE_US - forward_view_age(peers->engine);

	struct forward_position local = local_position(peers);

	if (!local.revision)
		return MIN(HOLD_EMPTY_US, follower->wait_us);
	if (has_update(peers, follower) ||
	    follower->after.history > local.history)
		return 0;
	if (has_other_blocklist(peers, follower))
		until_late_us = MIN(until_late_us, HOLD_BLOCKLIST_US);
	return CLAMP(until_late_us, 0, follower->wait_us);
}

/* told: the call has changed what is known here */
static void answer_or_hold(struct forward_peers *peers,
			   struct http1_exchange *exchange,
			   const struct follower *follower, bool told)
{
	gint64 wait_us = hold_period(peers, follower);
	struct held_call *call;

	if (!wait_us || told) {
		send_answer(peers, exchange, follower);
		return;
	}
	call = g_new0(struct held_call, 1);
	call->peers = peers;
	call->exchange = exchange;
	call->follower = *follower;
	call->zone = g_strdup(follower->zone);
	call->follower.zone = call->zone;
	call->timer.fire = on_hold_timeout;
	TAILQ_INSERT_TAIL(&peers->held_calls, call, link);
	http1_exchange_set_data(exchange, call);
	cs_timer_arm(peers->engine->clock, &call->timer,
		     forward_now(peers->engine) + wait_us);
}

void forward_peers_view_changed(struct forward_peers *peers)
{
	struct held_call *call;
	struct held_call *next;

	for (call = TAILQ_FIRST(&peers->held_calls); call; call = next) {
		next = TAILQ_NEXT(call, link);
		if (has_update(peers, &call->follower))
			answer_held_call(call);
	}
}

static void on_blocklist_delay(struct cs_timer *timer)
{
	struct forward_peers *peers =
		(struct forward_peers *)((char *)timer -
					 offsetof(struct forward_peers,
						  blocklist_timer));
	struct held_call *call;
	struct held_call *next;

	peers->blocklist_changed = false;
	for (call = TAILQ_FIRST(&peers->held_calls); call; call = next) {
		next = TAILQ_NEXT(call, link);
		if (has_other_blocklist(peers, &call->follower))
			answer_held_call(call);
	}
}

void forward_peers_blocklist_changed(struct forward_peers *peers)
{
	if (peers->blocklist_changed)
		return;
	peers->blocklist_changed = true;
	cs_timer_arm(peers->engine->clock, &peers->blocklist_timer,
		     forward_now(peers->engine) + BLOCKLIST_DELAY_US);
}

static void on_request(struct http1_exchange *exchange,
		       const struct http1_message *request, void *user)
{
	struct forward_peers *peers = user;
	const char *target = request->target->str;
	struct http1_reply refusal = {.status = 404};
	g_autoptr(GHashTable) parameters = NULL;
	const char *control = NULL;
	const char *zone = NULL;
	const char *after = NULL;
	const char *history = NULL;
	const char *seen = NULL;
	const char *limits = NULL;
	const char *blocked = NULL;
	const char *relays;
	const char *stalls;
	const char *wait;
	struct follower follower = {0};
	guint64 known = route_blocklist_fingerprint(peers->engine->blocklist);
	struct sockaddr_in address;

	if (g_str_has_prefix(target, FORWARD_FOLLOW_PATH))
		parameters =
			g_uri_parse_params(target + strlen(FORWARD_FOLLOW_PATH),
					   -1, "&", G_URI_PARAMS_NONE, NULL);
	if (parameters) {
		control = g_hash_table_lookup(parameters, "control");
		zone = g_hash_table_lookup(parameters, "zone");
		after = g_hash_table_lookup(parameters, "after");
		history = g_hash_table_lookup(parameters, "history");
		seen = g_hash_table_lookup(parameters, "seen");
		limits = g_hash_table_lookup(parameters, "limits");
		blocked = g_hash_table_lookup(parameters, "blocked");
		refusal.status = 400;
	}
	if (!control || !zone || !after ||
	    cs_endpoint_parse(control, &address)) {
		http1_exchange_reply(exchange, &refusal);
		return;
	}
	forward_registry_record(peers->registry, control, zone, parameters);
	relays = g_hash_table_lookup(parameters, "relays");
	if (relays)
		follower.relays = (guint32)strtoul(relays, NULL, 16);
	if (g_hash_table_lookup(parameters, "silent"))
		forward_registry_add_silent(
			peers->registry,
			g_hash_table_lookup(parameters, "silent"));
	if (g_hash_table_lookup(parameters, "sizes"))
		forward_limits_add_sizes(
			forward_registry_members(peers->registry),
			g_hash_table_lookup(parameters, "sizes"));
	if (seen)
		forward_outliers_add_report(peers->engine, seen);
	if (limits)
		forward_limits_add_report(peers->engine, limits);
	stalls = g_hash_table_lookup(parameters, "stalls");
	if (stalls)
		forward_pauses_add_report(peers->engine, stalls);
	if (blocked)
		follower.blocklist =
			forward_blocklist_merge(peers->engine, blocked);
	wait = g_hash_table_lookup(parameters, "wait_ms");
	follower.wait_us = HOLD_MAX_US;
	if (wait)
		follower.wait_us = CLAMP(g_ascii_strtoll(wait, NULL, 10), 0,
					 HOLD_MAX_US / CS_US_PER_MS) *
				   CS_US_PER_MS;
	follower.zone = zone;
	follower.hash = g_str_hash(control);
	follower.after.revision = strtoll(after, NULL, 10);
	follower.after.history = history ? strtoll(history, NULL, 10) : -1;
	answer_or_hold(
		peers, exchange, &follower,
		known != route_blocklist_fingerprint(peers->engine->blocklist));
}

static void on_caller_disconnected(struct http1_exchange *exchange, void *user)
{
	struct held_call *call = http1_exchange_data(exchange);

	if (call)
		free_held_call(call);
}

struct forward_peers *forward_peers_create(struct forward_engine *engine)
{
	struct http1_server_hooks hooks = {on_request, on_caller_disconnected,
					   NULL, NULL};
	struct forward_peers *peers = g_new0(struct forward_peers, 1);

	hooks.user = peers;
	peers->engine = engine;
	peers->registry = engine->registry;
	peers->compressed_views =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	TAILQ_INIT(&peers->held_calls);
	peers->blocklist_timer.fire = on_blocklist_delay;
	if (engine->settings->control.sin_port)
		peers->server = http1_server_create(
			engine->loop, &engine->settings->control,
			&engine->page_limits, &hooks);
	return peers;
}

void forward_peers_set_source(struct forward_peers *peers,
			      const struct forward_source *source)
{
	peers->source = *source;
}

void forward_peers_destroy(struct forward_peers *peers)
{
	if (!peers)
		return;
	cs_timer_disarm(peers->engine->clock, &peers->blocklist_timer);
	http1_server_destroy(peers->server);
	g_hash_table_unref(peers->compressed_views);
	g_free(peers->outliers);
	g_free(peers);
}
