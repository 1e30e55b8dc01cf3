/* Callers and peers that wait for the result of an order. */
#include "order_waits.h"

#define wait_of(ptr)                                                           \
	((struct order_wait *)((char *)(ptr)-offsetof(struct order_wait,       \
						      timer)))

void order_wait_destroy(struct order_wait *wait)
{
	cs_timer_disarm(wait->engine->clock, &wait->timer);
	TAILQ_REMOVE(&wait->engine->order_waits, wait, link);
	g_free(wait->peer);
	g_free(wait);
}

void engine_drop_order_wait(struct order_wait *wait)
{
	order_wait_destroy(wait);
}

static void reply_caller(struct caller_exchange *exchange,
			 const struct policy_order_result *result)
{
	json_t *answer;

	caller_exchange_set_data(exchange, NULL);
	if (result->outcome != CS_ANSWERED) {
		caller_exchange_refuse(exchange, result->code, result->outcome,
				       NULL);
		return;
	}
	answer = json_loads(result->body ? result->body : "null",
			    JSON_DECODE_ANY, NULL);
	caller_exchange_reply(
		exchange, json_pack("{s:s,s:O?}", "outcome",
				    cs_outcome_name(result->outcome), "result",
				    json_object_get(answer, "result")));
	json_decref(answer);
}

void order_reply_peer(struct engine *engine, const char *peer, guint64 tag,
		      const struct policy_order_result *result)
{
	struct peer_frame frame = {
		.kind = PEER_RESULT,
		.result =
			{
				.tag = tag,
				.code = result->code,
				.outcome = (gint32)result->outcome,
				.body = result->body ? result->body : "",
			},
	};

	peer_links_send(engine->links, peer, &frame);
}

void order_wait_finish(struct order_wait *wait,
		       const struct policy_order_result *result)
{
	switch (wait->kind) {
	case WAIT_CALLER:
	case WAIT_ISSUER:
		reply_caller(wait->exchange, result);
		break;
	case WAIT_PEER:
		order_reply_peer(wait->engine, wait->peer, wait->tag, result);
		break;
	}
	order_wait_destroy(wait);
}

/*
 * The wait timed out while the run may continue, so nothing proves whether the
 * order was executed.
 */
static void on_wait_timeout(struct cs_timer *timer)
{
	struct order_wait *wait = wait_of(timer);
	struct policy_order_result result = {
		.code = wait->kind == WAIT_ISSUER ? CS_E_ISSUER : CS_E_DEADLINE,
		.outcome = CS_UNKNOWN,
	};

	order_wait_finish(wait, &result);
}

struct order_wait *order_wait_create(struct engine *engine, enum wait_kind kind,
				     gint64 wait_ms)
{
	struct order_wait *wait = g_new0(struct order_wait, 1);

	wait->base.kind = JOB_ORDER;
	wait->timer.fire = on_wait_timeout;
	wait->engine = engine;
	wait->kind = kind;
	TAILQ_INSERT_TAIL(&engine->order_waits, wait, link);
	cs_timer_arm(engine->clock, &wait->timer,
		     engine_now(engine) + wait_ms * CS_US_PER_MS);
	return wait;
}

void order_wait_finish_all(struct engine *engine,
			   const struct policy_order *order,
			   const struct policy_order_result *result)
{
	struct order_wait *wait = TAILQ_FIRST(&engine->order_waits);

	while (wait) {
		struct order_wait *next = TAILQ_NEXT(wait, link);

		if (wait->order == order && wait->kind != WAIT_ISSUER)
			order_wait_finish(wait, result);
		wait = next;
	}
}
