/* Private: what the engine's modules share. */
#ifndef LIBENGINE_INTERNAL_H
#define LIBENGINE_INTERNAL_H

#include "cuminsail/caller.h"
#include "cuminsail/engine.h"
#include "cuminsail/log.h"
#include "cuminsail/operator.h"
#include "cuminsail/peer.h"
#include "cuminsail/platform.h"
#include "cuminsail/policy_members.h"
#include "cuminsail/policy_orders.h"
#include "cuminsail/policy_revision.h"
#include "cuminsail/upstream.h"

enum engine_phase {
	ENGINE_SERVING,
	ENGINE_DRAINING, /* not ready, still serving */
	ENGINE_STOPPING, /* new requests are refused as not run */
	ENGINE_STOPPED,
};

struct query_job;
struct order_job;
struct order_wait;
struct history;

struct engine {
	struct http1_loop *loop;
	struct cs_clock *clock;
	const struct settings *settings;
	struct cs_counters *counters;
	struct policy_fleet *fleet;
	struct policy_members *members;
	struct policy_orders *orders;
	struct policy_revision config_revision;
	char *config_text; /* canonical, to tell peers */
	char *list_text;
	gint64 list_asked_us;
	GHashTable *pushed; /* peer id to when documents were last sent */
	struct caller_server *caller;
	struct operator_server *operators;
	struct platform *platform;
	struct peer_links *links;
	struct upstream_client *upstreams;
	struct history *history;
	TAILQ_HEAD(, query_job) queries;
	TAILQ_HEAD(, order_job) order_jobs;
	TAILQ_HEAD(, order_wait) order_waits;
	guint64 last_tag;
	bool poking;
	enum engine_phase phase;
	gint64 list_taken_us; /* when the first list was taken; 0 before */
	guint beats_heard; /* since then */
	struct cs_timer beat;
	struct cs_timer stop;
	gint64 stop_by_us;
	void (*stopped)(void *user);
	void *user;
};

/* state.c */
gint64 engine_now(const struct engine *engine);
bool engine_ready(struct engine *engine);

/* How late the beat is, microseconds. */
gint64 engine_beat_late(const struct engine *engine);

/* Whether the loop ran so late that the process must have slept. */
bool engine_was_asleep(const struct engine *engine);

/* Deadline of a request: the caller's within bounds, else the service's. */
gint64 engine_deadline_ms(const struct config_service *service,
			  gint64 asked_ms);

/* spread.c: configurations, lists and beats. */
bool engine_offer_files(gint64 revision, GPtrArray *files, void *user);
bool engine_offer_list(json_t *document, gint64 asked_us, void *user);
void engine_list_same(gint64 asked_us, void *user);
void engine_send_beat(struct engine *engine);
void engine_take_beat(struct engine *engine, const struct peer_frame *frame);
void engine_take_config(struct engine *engine, const struct peer_frame *frame);
void engine_take_list(struct engine *engine, const struct peer_frame *frame);

/* queries.c */
void engine_begin_query(struct engine *engine, struct caller_exchange *exchange,
			const struct caller_request *request);
void engine_drop_query(struct query_job *job);
void engine_poke_waiters(struct engine *engine, struct policy_service *service);

/* orders.c */
void engine_begin_ticket(struct engine *engine,
			 struct caller_exchange *exchange,
			 const struct caller_request *request);
void engine_begin_order(struct engine *engine, struct caller_exchange *exchange,
			const struct caller_request *request);
void engine_take_order(struct engine *engine, const struct peer_frame *frame);
void engine_take_result(struct engine *engine, const struct peer_frame *frame);
void engine_drop_order_wait(struct order_wait *wait);
void engine_free_orders(struct engine *engine);
bool engine_has_orders(const struct engine *engine);

/* What a caller's exchange is attached to. */
struct engine_job {
	enum { JOB_QUERY, JOB_ORDER } kind;
};

/* history.c: traces of recent queries, by request id. */
struct history *history_create(gint64 size);
void history_destroy(struct history *history);
void history_add(struct history *history, const char *request_id,
		 json_t *trace);
json_t *history_find(const struct history *history, const char *request_id);

/* pages.c */
json_t *engine_read_page(enum operator_page page, const char *name, void *user);

#endif
