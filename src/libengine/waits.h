/* Private: those who wait for the result of an order. */
#ifndef LIBENGINE_WAITS_H
#define LIBENGINE_WAITS_H

#include "internal.h"

enum wait_kind {
	WAIT_CALLER, /* a caller waits for a run here */
	WAIT_PEER, /* a peer waits for a run here */
	WAIT_ISSUER, /* a caller waits for a run at the issuer */
};

/* One that waits for a result. */
struct order_wait {
	struct engine_job base;
	TAILQ_ENTRY(order_wait) link;
	struct cs_timer timer;
	struct engine *engine;
	enum wait_kind kind;
	struct policy_order *order; /* WAIT_CALLER, WAIT_PEER */
	struct caller_exchange *exchange; /* WAIT_CALLER, WAIT_ISSUER */
	char *peer; /* WAIT_PEER, WAIT_ISSUER */
	guint64 tag;
};

/* The wait is in the engine's list; when it ends the outcome is unknown. */
struct order_wait *order_wait_create(struct engine *engine, enum wait_kind kind,
				     gint64 wait_ms);
void order_wait_destroy(struct order_wait *wait);

/* Give a result to one who waited, or to all who wait for a run here. */
void order_wait_settle(struct order_wait *wait,
		       const struct policy_order_result *result);
void order_wait_settle_all(struct engine *engine,
			   const struct policy_order *order,
			   const struct policy_order_result *result);

void order_reply_peer(struct engine *engine, const char *peer, guint64 tag,
		      const struct policy_order_result *result);

#endif
