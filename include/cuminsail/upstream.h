/**
 * upstream.h - HTTP towards the upstreams
 *
 * docs/UPSTREAM-PROTOCOL.md gives the messages. One POST for each attempt. An
 * upstream proves that an attempt did not run by a 503 or 409 that carries
 * "Cuminsail-Not-Run: REQUEST-ID/ATTEMPT" of that very attempt; every other
 * failure after the first byte was written counts as lost.
 */
#ifndef CUMINSAIL_UPSTREAM_H
#define CUMINSAIL_UPSTREAM_H

#include "cuminsail/http1.h"
#include "cuminsail/policy_orders.h"

struct upstream_client;
struct upstream_call;

/** What one attempt came to. */
struct upstream_reply {
	enum policy_result result; /* never POLICY_TIMEOUT or _DROPPED */
	struct policy_part *part; /* for a query that was answered */
	char *body; /* for an order that was answered */
	char *incarnation; /* the upstream's word, or NULL */
	bool draining;
	bool cold;
};

/**
 * upstream_client_create - a client
 * @loop: the loop, with the clock that deadlines are on
 * @answer_max: longest body of an answer, in bytes
 *
 * Return: a new client, owned by the caller.
 */
struct upstream_client *upstream_client_create(struct http1_loop *loop,
					       gint64 answer_max);

/**
 * upstream_client_destroy - free a client
 * @client: a client without open calls, or NULL
 */
void upstream_client_destroy(struct upstream_client *client);

/** One attempt to be sent. */
struct upstream_request {
	const char *service; /* calls of one service share connections */
	const char *address; /* "IP:port" */
	const char *request_id;
	gint64 attempt;
	const char *incarnation; /* the one that it is meant for */
	gint64 deadline_us;
	gint64 connections; /* most connections to the address */
	const char *shard; /* NULL for an order */
	const char *snapshot;
	gint64 map;
	gint64 limit;
	json_t *body; /* the query or the order; borrowed */
};

/**
 * upstream_call_create - send an attempt
 * @client: a client
 * @request: what to send; copied
 * @done: called once from the loop, unless the call is destroyed before; the
 *	call is gone when it returns
 * @user: passed to @done
 *
 * Return: a new call.
 */
struct upstream_call *upstream_call_create(
	struct upstream_client *client, const struct upstream_request *request,
	void (*done)(struct upstream_call *call, struct upstream_reply *reply,
		     void *user),
	void *user);

/**
 * upstream_call_destroy - cancel an open call
 * @call: a call whose @done has not been called
 */
void upstream_call_destroy(struct upstream_call *call);

/**
 * upstream_part_parse - parse an upstream's answer to a query
 * @bytes: the body
 * @length: its bytes
 *
 * Return: a new answer, or NULL if it is not valid.
 */
struct policy_part *upstream_part_parse(const char *bytes, size_t length);

#endif
