/* The readiness server for the load balancer and the metrics server for
 * operators. */
#include "internal.h"

#include <string.h>

bool forward_is_ready(const struct forward_engine *engine)
{
	return engine->phase == FORWARD_SERVING && engine->table &&
	       route_fleet_count(engine->fleet) > 0;
}

static void on_ready_request(struct http1_exchange *exchange,
			     const struct http1_message *request, void *user)
{
	struct forward_engine *engine = user;
	struct http1_reply reply = {.status = 404};

	if (!strcmp(request->target->str, engine->dialect->ready_path))
		reply.status = forward_is_ready(engine) ? 200 : 503;
	http1_exchange_reply(exchange, &reply);
}

static char *print_metrics(const struct forward_engine *engine,
			   const char *counters)
{
	return g_strdup_printf("%s"
			       "# TYPE cuminsail_ready gauge\n"
			       "cuminsail_ready %d\n"
			       "# TYPE cuminsail_table_version gauge\n"
			       "cuminsail_table_version %" G_GINT64_FORMAT "\n"
			       "# TYPE cuminsail_picture_age_seconds gauge\n"
			       "cuminsail_picture_age_seconds %.3f\n"
			       "# TYPE cuminsail_replicas_listed gauge\n"
			       "cuminsail_replicas_listed %u\n"
			       "# TYPE cuminsail_requests_open gauge\n"
			       "cuminsail_requests_open %u\n",
			       counters, forward_is_ready(engine),
			       engine->table ? engine->table->version : 0,
			       (double)forward_view_age(engine) / CS_US_PER_S,
			       route_fleet_count(engine->fleet),
			       http1_server_open_exchanges(engine->callers));
}

#define BLOCKED_PATH "/v1/blocked"
#define UNBLOCK_PATH "/v1/unblock/"

static void reply_json(struct http1_exchange *exchange, guint status,
		       json_t *document)
{
	g_autofree char *text = cs_json_print(document);
	struct http1_reply reply = {
		.status = status,
		.header_lines = "Content-Type: application/json\r\n",
		.body = text,
		.body_length = strlen(text),
	};

	json_decref(document);
	http1_exchange_reply(exchange, &reply);
}

static void unblock(struct forward_engine *engine,
		    struct http1_exchange *exchange,
		    const struct http1_message *request)
{
	const char *digest = request->target->str + strlen(UNBLOCK_PATH);
	bool cleared;

	if (strcmp(request->method, "POST") != 0) {
		http1_exchange_reply(exchange,
				     &(struct http1_reply){.status = 405});
		return;
	}
	cleared = forward_blocklist_clear(engine, digest);
	reply_json(exchange, cleared ? 200 : 404,
		   json_pack("{s:s, s:b}", "instance",
			     engine->settings->instance, "cleared", cleared));
}

static void reply_metrics(struct forward_engine *engine,
			  struct http1_exchange *exchange)
{
	g_autofree char *counters = cs_counters_print(engine->counters);
	g_autofree char *text = print_metrics(engine, counters);
	struct http1_reply reply = {
		.status = 200,
		.header_lines = "Content-Type: text/plain; version=0.0.4\r\n",
		.body = text,
		.body_length = strlen(text),
	};

	http1_exchange_reply(exchange, &reply);
}

static void on_operator_request(struct http1_exchange *exchange,
				const struct http1_message *request, void *user)
{
	struct forward_engine *engine = user;

	if (!strcmp(request->target->str, BLOCKED_PATH))
		reply_json(exchange, 200, forward_blocklist_page(engine));
	else if (g_str_has_prefix(request->target->str, UNBLOCK_PATH))
		unblock(engine, exchange, request);
	else
		reply_metrics(engine, exchange);
}

static void on_page_disconnected(struct http1_exchange *exchange, void *user)
{
}

bool forward_pages_open(struct forward_engine *engine)
{
	const struct forward_settings *settings = engine->settings;
	struct http1_server_hooks ready = {on_ready_request,
					   on_page_disconnected, NULL, engine};
	struct http1_server_hooks metrics = {
		on_operator_request, on_page_disconnected, NULL, engine};

	engine->ready = http1_server_create(engine->loop, &settings->ready,
					    &engine->page_limits, &ready);
	engine->metrics = http1_server_create(engine->loop, &settings->metrics,
					      &engine->page_limits, &metrics);
	return engine->ready && engine->metrics;
}
