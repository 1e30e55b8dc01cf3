/* The engine of a forwarding daemon: start, changes of routes and settings,
 * periodic upkeep. */
#include "internal.h"

#include "cuminsail/error.h"
#include "cuminsail/log.h"

#include <string.h>

/* Period of the upkeep: lapsed replicas, idle connections, waiting parts. */
#define TICK_US (50 * CS_US_PER_MS)

/* A tick that is later than this shows that events were handled late. */
#define LAG_MIN_US (50 * CS_US_PER_MS)

/* A tick that is later than this shows that the process was suspended. */
#define PAUSE_MIN_US (1 * CS_US_PER_S)

/* Largest accepted answer of a replica. */
#define ANSWER_BYTES_MAX (8 * 1024 * 1024)
#define ANSWER_HEAD_MAX	 65536

/* Memory for answers until the callers have taken them, in a daemon of 160 MB
 * or more. */
#define ANSWERS_BYTES_MAX (64 * 1024 * 1024)

/* Limits for callers until the first route table sets them. */
#define HEAD_BYTES_DEFAULT	  16384
#define BODY_BYTES_DEFAULT	  262144
#define HEADER_TIMEOUT_MS_DEFAULT 3000
#define IDLE_TIMEOUT_MS_DEFAULT	  15000

/* Largest request head on the ready, metrics and control addresses. A seed
 * lists the daemons that call it, 25 bytes each, in its call to another seed.
 * This holds 2,600 daemons. The parser accepts at most 80 KB. */
#define PAGE_HEAD_MAX 65536

#define engine_of(timer, member)                                               \
	((struct forward_engine *)((char *)(timer)-offsetof(                   \
		struct forward_engine, member)))

/* ---- requests ---- */

static void refuse_without_job(struct forward_engine *engine,
			       struct http1_exchange *exchange,
			       const struct http1_message *request, int code)
{
	const char *id =
		http1_message_header(request, engine->dialect->request_id);
	const char *host = http1_message_header(request, "Host");
	struct http1_reply reply = {.status = cs_error_http_status(code)};
	char version[32];

	if (reply.status == 503)
		reply.header_lines = "Retry-After: 0.5\r\n";
	cs_counters_add_refusal(engine->counters, code);
	g_snprintf(version, sizeof(version), "%" G_GINT64_FORMAT,
		   engine->table ? engine->table->version : 0);
	cs_log(LOG_INFO, "refused", "id", id, "host", host, "path",
	       request->target->str, "version", version, "current",
	       engine->view_current ? "yes" : "no", "reason",
	       cs_error_name(code), NULL);
	http1_exchange_reply(exchange, &reply);
}

static void on_request(struct http1_exchange *exchange,
		       const struct http1_message *request, void *user)
{
	struct forward_engine *engine = user;
	const char *host = http1_message_header(request, "Host");
	struct route *route = NULL;
	int code = 0;

	cs_counters_add(engine->counters, CS_N_QUERIES, 1);
	if (engine->table)
		route = route_table_find(engine->table, host ? host : "",
					 request->target->str);
	if (!http1_message_header(request, engine->dialect->request_id))
		code = CS_E_HEADER;
	else if (!engine->table)
		code = CS_E_NOT_READY;
	else if (!route)
		code = engine->view_current ? CS_E_ROUTE : CS_E_NOT_READY;
	if (code)
		refuse_without_job(engine, exchange, request, code);
	else
		forward_job_begin(engine, exchange, request, route);
}

static void on_caller_disconnected(struct http1_exchange *exchange, void *user)
{
	struct forward_job *job = http1_exchange_data(exchange);

	if (job)
		forward_job_abandon(job);
}

static void on_rejected(struct http1_reply *reply, void *user)
{
	struct forward_engine *engine = user;
	int code = http1_rejection_code(reply->status);

	cs_counters_add_refusal(engine->counters, code);
	cs_log(LOG_NOTICE, "refused", "reason", cs_error_name(code), NULL);
}

/* ---- routing view ---- */

static void apply_limits(struct forward_engine *engine,
			 const struct route_limits *limits)
{
	struct http1_server_limits *active = &engine->caller_limits;

	active->message.header_bytes = (gsize)limits->header_bytes;
	active->message.body_bytes = (gsize)limits->body_bytes;
	active->request_timeout_us = limits->header_timeout_ms * CS_US_PER_MS;
	active->idle_timeout_us = limits->idle_timeout_ms * CS_US_PER_MS;
}

void forward_engine_replace_table(struct forward_engine *engine,
				  struct route_table *table)
{
	char version[32];

	g_snprintf(version, sizeof(version), "%" G_GINT64_FORMAT,
		   table->version);
	route_table_unref(engine->table);
	engine->table = route_table_ref(table);
	route_fleet_set_table(engine->fleet, table);
	apply_limits(engine, &table->limits);
	cs_counters_add(engine->counters, CS_N_CONFIG_ACCEPTED, 1);
	cs_log(LOG_NOTICE, "table-taken", "version", version, NULL);
}

void forward_engine_set_table(struct forward_engine *engine,
			      struct route_table *table)
{
	char version[32];

	g_snprintf(version, sizeof(version), "%" G_GINT64_FORMAT,
		   table->version);
	if (engine->table && table->version <= engine->table->version) {
		cs_counters_add(engine->counters, CS_N_CONFIG_STALE, 1);
		cs_log(LOG_INFO, "table-left", "version", version, "reason",
		       "not-newer", NULL);
		return;
	}
	forward_engine_replace_table(engine, table);
}

void forward_engine_set_source(struct forward_engine *engine,
			       const struct forward_source *source)
{
	engine->source = *source;
	forward_peers_set_source(engine->peers, source);
	engine->follow = forward_follow_create(engine, source);
}

void forward_engine_view_changed(struct forward_engine *engine)
{
	forward_parts_retry_waiting(engine);
	forward_peers_view_changed(engine->peers);
}

/* ---- settings ---- */

static bool same_address(const struct sockaddr_in *a,
			 const struct sockaddr_in *b)
{
	return a->sin_port == b->sin_port &&
	       a->sin_addr.s_addr == b->sin_addr.s_addr;
}

static bool same_seeds(const GArray *a, const GArray *b)
{
	if (a->len != b->len)
		return false;
	for (guint i = 0; i < a->len; i++) {
		if (!same_address(&g_array_index(a, struct sockaddr_in, i),
				  &g_array_index(b, struct sockaddr_in, i)))
			return false;
	}
	return true;
}

static void log_restart_needed(const struct forward_settings *old,
			       const struct forward_settings *new)
{
	const struct {
		const char *key;
		bool same;
	} startup_keys[] = {
		{"instance", !strcmp(old->instance, new->instance)},
		{"zone", !strcmp(old->zone, new->zone)},
		{"caller", same_address(&old->caller, &new->caller)},
		{"ready", same_address(&old->ready, &new->ready)},
		{"control", same_address(&old->control, &new->control)},
		{"metrics", same_address(&old->metrics, &new->metrics)},
		{"relay", same_address(&old->relay, &new->relay)},
		{"platform", same_address(&old->platform, &new->platform)},
	};

	for (gsize i = 0; i < G_N_ELEMENTS(startup_keys); i++) {
		if (!startup_keys[i].same)
			cs_log(LOG_WARNING, "setting-needs-restart", "key",
			       startup_keys[i].key, NULL);
	}
}

void forward_engine_reload(struct forward_engine *engine,
			   const struct forward_settings *settings)
{
	const struct forward_settings *old = engine->settings;
	struct route_bounds bounds = settings->bounds;
	bool seeds_changed = !same_seeds(old->seeds, settings->seeds);

	log_restart_needed(old, settings);
	if (engine->daemons) {
		bounds.daemons = engine->daemons;
		bounds.daemons_in_zone = MAX(engine->daemons_in_zone, 1);
	}
	route_fleet_set_bounds(engine->fleet, &bounds);
	engine->caller_limits.connections_max = settings->connections;
	if (seeds_changed && engine->follow)
		forward_follow_destroy(engine->follow);
	engine->settings = settings;
	if (seeds_changed && engine->follow)
		engine->follow = forward_follow_create(engine, &engine->source);
	cs_log(LOG_NOTICE, "reload", "seeds", seeds_changed ? "new" : "same",
	       NULL);
}

/* ---- upkeep ---- */

static void on_tick(struct cs_timer *timer)
{
	struct forward_engine *engine = engine_of(timer, tick);
	gint64 now = forward_now(engine);

	if (now - timer->due_us > PAUSE_MIN_US) {
		g_autofree char *late =
			g_strdup_printf("%" G_GINT64_FORMAT,
					(now - timer->due_us) / CS_US_PER_MS);

		cs_counters_add(engine->counters, CS_N_PAUSES, 1);
		cs_log(LOG_WARNING, "woke-late", "late_ms", late, NULL);
	}
	if (now - timer->due_us > LAG_MIN_US)
		forward_contact_lagged(engine->contact);
	cs_log_flush();
	forward_update_view_current(engine);
	route_fleet_expire(engine->fleet, now);
	route_blocklist_expire(engine->blocklist, now);
	forward_links_close_expired(engine);
	forward_contact_check(engine->contact);
	forward_registry_update_counts(engine->registry);
	forward_parts_retry_waiting(engine);
	cs_timer_arm(engine->clock, timer, now + TICK_US);
	forward_stop_check(engine);
}

/* ---- start ---- */

static bool open_servers(struct forward_engine *engine)
{
	struct http1_server_hooks callers = {on_request, on_caller_disconnected,
					     on_rejected, engine};

	engine->callers =
		http1_server_create(engine->loop, &engine->settings->caller,
				    &engine->caller_limits, &callers);
	return engine->callers && forward_pages_open(engine);
}

static void init_limits(struct forward_engine *engine)
{
	static const struct route_limits defaults = {
		.header_bytes = HEAD_BYTES_DEFAULT,
		.body_bytes = BODY_BYTES_DEFAULT,
		.header_timeout_ms = HEADER_TIMEOUT_MS_DEFAULT,
		.idle_timeout_ms = IDLE_TIMEOUT_MS_DEFAULT,
	};

	apply_limits(engine, &defaults);
	engine->caller_limits.connections_max = engine->settings->connections;
	engine->page_limits = engine->caller_limits;
	engine->page_limits.message.header_bytes = PAGE_HEAD_MAX;
	engine->answer_limits.header_bytes = ANSWER_HEAD_MAX;
	engine->answer_limits.body_bytes = ANSWER_BYTES_MAX;
	engine->answer_limits.memory = &engine->answer_memory;
	engine->answer_memory.max = ANSWERS_BYTES_MAX;
	engine->caller_limits.replies = &engine->answer_memory;
}

struct forward_engine *forward_engine_create(
	struct http1_loop *loop, const struct forward_settings *settings,
	const struct forward_dialect *dialect, void (*stopped)(void *user),
	void *user)
{
	struct forward_engine *engine = g_new0(struct forward_engine, 1);

	engine->loop = loop;
	engine->clock = http1_loop_clock(loop);
	engine->settings = settings;
	engine->dialect = dialect;
	engine->stopped = stopped;
	engine->user = user;
	engine->counters = cs_counters_create();
	engine->fleet = route_fleet_create(settings->zone, settings->regions);
	route_fleet_set_bounds(engine->fleet, &settings->bounds);
	engine->blocklist = route_blocklist_create();
	engine->request_head = g_string_sized_new(1024);
	engine->tick.fire = on_tick;
	TAILQ_INIT(&engine->jobs);
	TAILQ_INIT(&engine->waiting);
	TAILQ_INIT(&engine->links);
	TAILQ_INIT(&engine->draining);
	TAILQ_INIT(&engine->crash_checks);
	init_limits(engine);
	if (!open_servers(engine)) {
		forward_engine_destroy(engine);
		return NULL;
	}
	engine->contact = forward_contact_create(engine);
	engine->relays = forward_relays_create(engine);
	if (!engine->relays) {
		forward_engine_destroy(engine);
		return NULL;
	}
	engine->registry = forward_registry_create(engine);
	engine->peers = forward_peers_create(engine);
	cs_timer_arm(engine->clock, &engine->tick,
		     forward_now(engine) + TICK_US);
	cs_log(LOG_NOTICE, "started", "instance", settings->instance, "zone",
	       settings->zone, NULL);
	return engine;
}

void forward_engine_destroy(struct forward_engine *engine)
{
	if (!engine)
		return;
	cs_timer_disarm(engine->clock, &engine->tick);
	forward_follow_destroy(engine->follow);
	forward_peers_destroy(engine->peers);
	forward_registry_destroy(engine->registry);
	http1_server_destroy(engine->callers);
	forward_relays_close(engine->relays);
	http1_server_destroy(engine->ready);
	http1_server_destroy(engine->metrics);
	forward_contact_destroy(engine->contact);
	forward_crashes_free(engine);
	route_blocklist_destroy(engine->blocklist);
	forward_links_free(engine);
	forward_relays_destroy(engine->relays);
	route_table_unref(engine->table);
	route_fleet_destroy(engine->fleet);
	g_string_free(engine->request_head, TRUE);
	cs_counters_destroy(engine->counters);
	g_free(engine);
}
