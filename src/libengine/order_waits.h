/* Private: callers and peers that wait for the result of an order. */
#ifndef LIBENGINE_ORDER_WAITS_H
#define LIBENGINE_ORDER_WAITS_H

#include "internal.h"

enum wait_kind {
	WAIT_CALLER, /* a caller, for a run in this daemon */
	WAIT_PEER, /* a peer, for a run in this daemon */
	WAIT_ISSUER, /* a caller, for a run in the issuer of the ticket */
};

/* A caller or a peer that waits for the result of an order. */
struct order_wait {
	struct engine_job base;
	TAILQ_ENTRY(order_wait) link;
	struct cs_timer timer;
	struct engine *engine;
	enum wait_kind kind;
	struct policy_order *order; /* WAIT_CALLER, WAIT_PEER */
	struct caller_exchange *exchange; /* WAIT_CALLER, WAIT_ISSUER */
	char *peer; /* WAIT_PEER: who waits; WAIT_ISSUER: the issuer */
	guint64 tag; /* of the peer frames of this order and its result */
};

/*
 * Adds a wait to the engine's order_waits. If it is not finished after
 * @wait_ms, it finishes with the outcome unknown.
 */
struct order_wait *order_wait_create(struct engine *engine, enum wait_kind kind,
				     gint64 wait_ms);
void order_wait_destroy(struct order_wait *wait);

/*
 * order_wait_finish() sends a result to one waiting caller or peer and frees
 * the wait. order_wait_finish_all() does so for all that wait for a run of
 * @order in this daemon.
 */
void order_wait_finish(struct order_wait *wait,
		       const struct policy_order_result *result);
void order_wait_finish_all(struct engine *engine,
			   const struct policy_order *order,
			   const struct policy_order_result *result);

/* Sends a result to a peer; dropped if the link refuses it. */
void order_reply_peer(struct engine *engine, const char *peer, guint64 tag,
		      const struct policy_order_result *result);

#endif
