/* Startup, dispatch of requests and frames, heartbeats and shutdown. */
#include "internal.h"

#include <string.h>

/* Interval between heartbeats to the peers. */
#define HEARTBEAT_US (500 * CS_US_PER_MS)

/* A peer is suspect when no heartbeat was received from it for this time. */
#define SUSPECT_US (2 * CS_US_PER_S)

/* Interval at which a stopping daemon checks for open requests. */
#define STOP_POLL_US (20 * CS_US_PER_MS)

#define engine_of(timer, member)                                               \
	((struct engine *)((char *)(timer)-offsetof(struct engine, member)))

static bool is_ready(void *user)
{
	return engine_ready(user);
}

/* ---- callers ---- */

/* Return: 0 if the request may begin, else the code of the refusal. */
static int check_request(struct engine *engine,
			 const struct caller_request *request)
{
	struct policy_service *service;
	enum config_kind wanted;

	if (engine->phase >= ENGINE_STOPPING)
		return CS_E_STOPPING;
	if (!policy_fleet_config(engine->fleet) ||
	    !policy_fleet_list(engine->fleet))
		return CS_E_NOT_READY;
	service = policy_fleet_service(engine->fleet, request->service);
	if (!service)
		return CS_E_SERVICE;
	wanted = request->kind == CALLER_QUERY ? CONFIG_QUERY : CONFIG_ORDER;
	if (policy_service_config(service)->kind != wanted)
		return CS_E_KIND;
	return 0;
}

/*
 * A query or a request for a ticket that is refused here did not run. An order
 * may have been run by its issuer for an earlier request with the same ticket,
 * so its outcome is unknown.
 */
static enum cs_outcome refusal_outcome(const struct caller_request *request)
{
	return request->kind == CALLER_ORDER ? CS_UNKNOWN : CS_NOT_RUN;
}

static void on_request(struct caller_exchange *exchange,
		       const struct caller_request *request, void *user)
{
	struct engine *engine = user;
	int error = check_request(engine, request);

	if (error) {
		caller_exchange_refuse(exchange, error,
				       refusal_outcome(request), NULL);
		return;
	}
	switch (request->kind) {
	case CALLER_QUERY:
		engine_begin_query(engine, exchange, request);
		break;
	case CALLER_TICKET:
		engine_begin_ticket(engine, exchange, request);
		break;
	case CALLER_ORDER:
		engine_begin_order(engine, exchange, request);
		break;
	}
}

/* Cancels the caller's query. An order that has begun continues. */
static void on_caller_disconnected(struct caller_exchange *exchange, void *user)
{
	struct engine_job *job = caller_exchange_data(exchange);

	if (!job)
		return;
	switch (job->kind) {
	case JOB_QUERY:
		engine_cancel_query((struct query_job *)job);
		break;
	case JOB_ORDER:
		engine_drop_order_wait((struct order_wait *)job);
		break;
	}
}

/* ---- peers ---- */

static void on_frame(const struct peer_frame *frame, void *user)
{
	struct engine *engine = user;

	switch (frame->kind) {
	case PEER_HEARTBEAT:
		engine_receive_heartbeat(engine, frame);
		break;
	case PEER_CONFIG:
		engine_receive_config(engine, frame);
		break;
	case PEER_LIST:
		engine_receive_list(engine, frame);
		break;
	case PEER_ORDER:
		engine_receive_order(engine, frame);
		break;
	case PEER_RESULT:
		engine_receive_result(engine, frame);
		break;
	}
}

static void on_heartbeat_timer(struct cs_timer *timer)
{
	struct engine *engine = engine_of(timer, heartbeat_timer);
	gint64 now = engine_now(engine);

	if (engine_was_paused(engine)) {
		g_autofree char *late = g_strdup_printf(
			"%" G_GINT64_FORMAT,
			engine_heartbeat_delay(engine) / CS_US_PER_MS);

		cs_counters_add(engine->counters, CS_N_PAUSES, 1);
		cs_log(LOG_WARNING, "woke-late", "late_ms", late, NULL);
	}
	policy_members_remove_silent(engine->members, now);
	policy_orders_expire(engine->orders, now);
	engine_send_heartbeat(engine);
	cs_timer_arm(engine->clock, timer, now + HEARTBEAT_US);
}

/* ---- stopping ---- */

static guint count_open_requests(const struct engine *engine)
{
	return caller_server_open_requests(engine->caller);
}

static void finish_stop(struct engine *engine)
{
	g_autofree char *aborted =
		g_strdup_printf("%u", count_open_requests(engine));

	engine->phase = ENGINE_STOPPED;
	cs_log(LOG_NOTICE, "stopped", "requests_cut", aborted, NULL);
	engine->stopped(engine->user);
}

static void on_stop_timer(struct cs_timer *timer)
{
	struct engine *engine = engine_of(timer, stop_timer);
	gint64 now = engine_now(engine);
	bool busy = count_open_requests(engine) || engine_has_orders(engine);

	if (engine->phase == ENGINE_DRAINING)
		engine->phase = ENGINE_STOPPING;
	if (busy && now < engine->stop_deadline_us)
		cs_timer_arm(engine->clock, timer, now + STOP_POLL_US);
	else
		finish_stop(engine);
}

void engine_stop(struct engine *engine)
{
	gint64 now = engine_now(engine);
	const struct settings *settings = engine->settings;

	if (engine->phase != ENGINE_SERVING) {
		cs_timer_disarm(engine->clock, &engine->stop_timer);
		finish_stop(engine);
		return;
	}
	engine->phase = ENGINE_DRAINING;
	engine->stop_deadline_us =
		now + (settings->drain_ms + settings->stop_ms) * CS_US_PER_MS;
	caller_server_drain(engine->caller);
	engine_send_heartbeat(engine);
	cs_log(LOG_NOTICE, "draining", NULL);
	cs_timer_arm(engine->clock, &engine->stop_timer,
		     now + settings->drain_ms * CS_US_PER_MS);
}

/* ---- starting ---- */

static char *random_key(void)
{
	g_autofree char *a = g_uuid_string_random();
	g_autofree char *b = g_uuid_string_random();

	return g_strconcat(a, b, NULL);
}

static struct policy_orders *create_orders(const struct engine *engine)
{
	const struct settings *settings = engine->settings;
	g_autofree char *key = random_key();
	g_autofree char *incarnation = g_strdup_printf(
		"%" G_GUINT64_FORMAT, peer_links_incarnation(engine->links));
	struct policy_orders_limits limits = {
		.records_max = settings->tickets_max,
		.ticket_us = settings->ticket_ms * CS_US_PER_MS,
		.record_us = settings->record_ms * CS_US_PER_MS,
	};

	return policy_orders_create(settings->instance, incarnation, key,
				    &limits);
}

static bool open_sockets(struct engine *engine, char **why)
{
	const struct settings *settings = engine->settings;
	struct peer_hooks peer_hooks = {on_frame, engine};
	struct caller_hooks caller_hooks = {on_request, on_caller_disconnected,
					    engine};
	struct operator_hooks operator_hooks = {engine_read_page, is_ready,
						engine};

	engine->links =
		peer_links_create(settings, engine->counters, &peer_hooks, why);
	if (!engine->links)
		return false;
	engine->caller = caller_server_create(
		engine->loop, settings, engine->counters, &caller_hooks, why);
	if (!engine->caller)
		return false;
	engine->operators =
		operator_server_create(engine->loop, &settings->operators,
				       engine->counters, &operator_hooks, why);
	return engine->operators;
}

static void init_state(struct engine *engine)
{
	const struct settings *settings = engine->settings;

	engine->counters = cs_counters_create();
	engine->fleet = policy_fleet_create(settings->instance, settings->zone,
					    engine->counters, g_random_int());
	engine->members = policy_members_create(SUSPECT_US);
	engine->upstreams =
		upstream_client_create(engine->loop, settings->answer_max);
	engine->history = history_create(settings->history);
	engine->push_times =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	engine->heartbeat_timer.fire = on_heartbeat_timer;
	engine->stop_timer.fire = on_stop_timer;
	TAILQ_INIT(&engine->queries);
	TAILQ_INIT(&engine->order_jobs);
	TAILQ_INIT(&engine->order_waits);
}

struct engine *engine_create(struct http1_loop *loop,
			     const struct settings *settings,
			     void (*stopped)(void *user), void *user,
			     char **why)
{
	struct engine *engine = g_new0(struct engine, 1);
	struct platform_hooks platform_hooks = {engine_apply_files,
						engine_apply_list,
						engine_confirm_list, engine};

	engine->loop = loop;
	engine->clock = http1_loop_clock(loop);
	engine->settings = settings;
	engine->stopped = stopped;
	engine->user = user;
	init_state(engine);
	if (!open_sockets(engine, why)) {
		engine_destroy(engine);
		return NULL;
	}
	engine->orders = create_orders(engine);
	engine->platform = platform_create(engine->loop, settings,
					   engine->counters, &platform_hooks);
	cs_timer_arm(engine->clock, &engine->heartbeat_timer,
		     engine_now(engine) + HEARTBEAT_US);
	cs_log(LOG_NOTICE, "started", "instance", settings->instance, "zone",
	       settings->zone, NULL);
	return engine;
}

void engine_destroy(struct engine *engine)
{
	if (!engine)
		return;
	cs_timer_disarm(engine->clock, &engine->heartbeat_timer);
	cs_timer_disarm(engine->clock, &engine->stop_timer);
	platform_destroy(engine->platform);
	/*
	 * Closes the callers' connections, which ends their queries and their
	 * waits for orders.
	 */
	caller_server_destroy(engine->caller);
	while (!TAILQ_EMPTY(&engine->queries))
		engine_cancel_query(TAILQ_FIRST(&engine->queries));
	engine_free_orders(engine);
	operator_server_destroy(engine->operators);
	peer_links_destroy(engine->links);
	upstream_client_destroy(engine->upstreams);
	policy_orders_destroy(engine->orders);
	policy_members_destroy(engine->members);
	policy_fleet_destroy(engine->fleet);
	policy_revision_clear(&engine->config_revision);
	history_destroy(engine->history);
	g_hash_table_unref(engine->push_times);
	cs_counters_destroy(engine->counters);
	g_free(engine->config_text);
	g_free(engine->list_text);
	g_free(engine);
}
