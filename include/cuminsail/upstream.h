/**
 * upstream.h - HTTP client for the upstreams
 *
 * docs/UPSTREAM-PROTOCOL.md describes the messages. Each attempt is one POST.
 * An upstream proves that an attempt did not run by status 503 or 409 and the
 * header "Cuminsail-Not-Run: REQUEST-ID/ATTEMPT" with the ids of this attempt.
 * Every other failure after the first byte of the request was written proves
 * nothing: the result is POLICY_BAD_ANSWER if the answer is too large, or has
 * status 200 and a body that is not valid, otherwise POLICY_LOST.
 */
#ifndef CUMINSAIL_UPSTREAM_H
#define CUMINSAIL_UPSTREAM_H

#include "cuminsail/http1.h"
#include "cuminsail/policy_orders.h"

struct upstream_client;
struct upstream_call;

/** Result of one attempt. */
struct upstream_reply {
	enum policy_result result; /* never POLICY_TIMEOUT or _DROPPED */
	struct policy_part *part; /* answer to a query if POLICY_DONE */
	char *body; /* answer to an order if POLICY_DONE */
	char *incarnation; /* as reported by the upstream, or NULL */
	bool draining; /* the upstream reported this state */
	bool cold; /* the upstream reported this state */
};

/**
 * upstream_client_create - create a client
 * @loop: the event loop; its clock is the one of the deadlines
 * @answer_max: maximum size of the body of an answer, in bytes
 *
 * Return: a new client, owned by the caller.
 */
struct upstream_client *upstream_client_create(struct http1_loop *loop,
					       gint64 answer_max);

/**
 * upstream_client_destroy - close all connections and free a client
 * @client: a client without open calls, or NULL
 */
void upstream_client_destroy(struct upstream_client *client);

/** One attempt to send. */
struct upstream_request {
	const char *service; /* only calls of one service share connections */
	const char *address; /* "IP:port" */
	const char *request_id;
	gint64 attempt; /* number of the attempt within the request */
	const char *incarnation; /* the one that the attempt is meant for */
	gint64 deadline_us; /* sent as the time left when the call is made */
	gint64 connections_max; /* connection limit of service and address */
	const char *shard; /* NULL for an order */
	const char *snapshot; /* this and the next two are for a query only */
	gint64 map;
	gint64 hits_max; /* maximum number of hits */
	json_t *body; /* the query or the order; borrowed */
};

/**
 * upstream_call_create - send an attempt, or queue it for a free connection
 * @client: a client
 * @request: the attempt; used only during this function
 * @done: called once from the event loop, unless the call is destroyed before;
 *	may take over members of the reply by setting them to NULL; the call and
 *	the remaining members of the reply are freed when it returns
 * @user: last argument of @done
 *
 * Return: a new call.
 */
struct upstream_call *upstream_call_create(
	struct upstream_client *client, const struct upstream_request *request,
	void (*done)(struct upstream_call *call, struct upstream_reply *reply,
		     void *user),
	void *user);

/**
 * upstream_call_destroy - cancel and free an open call
 * @call: a call whose @done has not been called
 */
void upstream_call_destroy(struct upstream_call *call);

/**
 * upstream_part_parse - parse an upstream's answer to a query
 * @bytes: the body
 * @length: of the body, in bytes
 *
 * Return: a new answer for policy_part_destroy(), or NULL if it is not valid.
 */
struct policy_part *upstream_part_parse(const char *bytes, size_t length);

#endif
