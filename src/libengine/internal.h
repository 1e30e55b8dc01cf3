/* Private: state and functions shared by the files of libengine. */
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
	ENGINE_DRAINING, /* not ready, still accepts queries and orders */
	ENGINE_STOPPING, /* new requests are refused */
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
	char *config_text; /* canonical JSON, sent to peers; or NULL */
	char *list_text; /* canonical JSON, sent to peers; or NULL */
	/* When the last read that returned or confirmed the list was sent. */
	gint64 list_confirmed_us;
	/* Peer id to gint64: time of the last push of documents to it. */
	GHashTable *push_times;
	struct caller_server *caller;
	struct operator_server *operators;
	struct platform *platform;
	struct peer_links *links;
	struct upstream_client *upstreams;
	struct history *history;
	TAILQ_HEAD(, query_job) queries;
	TAILQ_HEAD(, order_job) order_jobs;
	TAILQ_HEAD(, order_wait) order_waits;
	guint64 last_tag; /* of the orders forwarded to their issuers */
	bool waking_waiters; /* engine_wake_waiters() is running */
	enum engine_phase phase;
	gint64 first_list_us; /* when the first list was accepted, or 0 */
	guint heartbeats_received; /* since first_list_us */
	struct cs_timer heartbeat_timer;
	struct cs_timer stop_timer;
	gint64 stop_deadline_us;
	void (*stopped)(void *user);
	void *user;
};

/* state.c: the clock, readiness and deadlines. */
gint64 engine_now(const struct engine *engine);

/*
 * Whether the load balancer may send requests to this daemon: it is not
 * stopping, has a configuration and an instance list, and has received enough
 * heartbeats or has waited long enough for them.
 */
bool engine_ready(struct engine *engine);

/* Delay of the heartbeat timer, in microseconds; negative before it is due. */
gint64 engine_heartbeat_delay(const struct engine *engine);

/*
 * Whether the heartbeat timer is overdue by so much that the process must have
 * been paused.
 */
bool engine_was_paused(const struct engine *engine);

/*
 * Time limit of a request in milliseconds: @requested_ms, limited to the
 * maximum of the service, or the default of the service if @requested_ms is not
 * above 0.
 */
gint64 engine_deadline_ms(const struct config_service *service,
			  gint64 requested_ms);

/*
 * distribution.c: configurations, instance lists and heartbeats.
 *
 * engine_apply_files() and engine_apply_list() return whether the document was
 * accepted or is already in force. @read_sent_us is when the read of the
 * platform was sent that returned or confirmed the list.
 */
bool engine_apply_files(gint64 revision, GPtrArray *files, void *user);
bool engine_apply_list(json_t *document, gint64 read_sent_us, void *user);
void engine_confirm_list(gint64 read_sent_us, void *user);
void engine_send_heartbeat(struct engine *engine);
void engine_receive_heartbeat(struct engine *engine,
			      const struct peer_frame *frame);
void engine_receive_config(struct engine *engine,
			   const struct peer_frame *frame);
void engine_receive_list(struct engine *engine, const struct peer_frame *frame);

/* queries.c: queries of callers. */
void engine_begin_query(struct engine *engine, struct caller_exchange *exchange,
			const struct caller_request *request);
void engine_cancel_query(struct query_job *job);

/*
 * Lets the queries of a service that wait for a free slot try again, the
 * longest waiting one first. Does nothing when called while it is running.
 */
void engine_wake_waiters(struct engine *engine, struct policy_service *service);

/* orders.c: tickets and orders, of callers and forwarded by peers. */
void engine_begin_ticket(struct engine *engine,
			 struct caller_exchange *exchange,
			 const struct caller_request *request);
void engine_begin_order(struct engine *engine, struct caller_exchange *exchange,
			const struct caller_request *request);
void engine_receive_order(struct engine *engine,
			  const struct peer_frame *frame);
void engine_receive_result(struct engine *engine,
			   const struct peer_frame *frame);

/* Ends a wait whose caller has disconnected. The run of the order continues. */
void engine_drop_order_wait(struct order_wait *wait);

/* Frees all runs and waits without sending a result. */
void engine_free_orders(struct engine *engine);

/* Whether an order is running or a result is waited for. */
bool engine_has_orders(const struct engine *engine);

/*
 * First member of the object attached to a caller's exchange: struct query_job
 * or, for JOB_ORDER, struct order_wait.
 */
struct engine_job {
	enum { JOB_QUERY, JOB_ORDER } kind;
};

/*
 * history.c: traces of the last @size queries, by request id.
 *
 * history_add() takes ownership of @trace. history_find() returns a new
 * reference, or NULL.
 */
struct history *history_create(gint64 size);
void history_destroy(struct history *history);
void history_add(struct history *history, const char *request_id,
		 json_t *trace);
json_t *history_find(const struct history *history, const char *request_id);

/* pages.c: a new reference to a page's JSON, or NULL if there is none. */
json_t *engine_read_page(enum operator_page page, const char *name, void *user);

#endif
