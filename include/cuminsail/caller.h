/**
 * caller.h - HTTP server for the callers
 *
 * docs/CALLER-INTERFACE.md describes the paths, bodies and answers. The server
 * reads and validates a request, passes it to its owner and writes the reply.
 */
#ifndef CUMINSAIL_CALLER_H
#define CUMINSAIL_CALLER_H

#include "cuminsail/clock.h"
#include "cuminsail/config.h"
#include "cuminsail/counters.h"
#include "cuminsail/error.h"
#include "cuminsail/http1.h"

struct caller_server;
struct caller_exchange;

/** A validated request. */
struct caller_request {
	enum caller_kind {
		CALLER_QUERY, /* run a query */
		CALLER_TICKET, /* issue a ticket for an order */
		CALLER_ORDER, /* run an order under a ticket */
	} kind;
	char *service;
	char *ticket; /* for CALLER_ORDER, otherwise NULL */
	char *caller_id; /* id chosen by the caller, echoed; or NULL */
	json_t *body; /* the query or the order; NULL for CALLER_TICKET */
	gint64 hits_max; /* maximum number of hits; for CALLER_QUERY */
	gint64 deadline_ms; /* time allowed for the request; 0 if not given */
	double min_coverage; /* 0 to 1; below 0 if not given */
};

/** Callbacks of a server. */
struct caller_hooks {
	/* A valid request was received; @request is freed when the callback
	 * returns. The callee calls caller_exchange_reply() or
	 * caller_exchange_refuse() once, now or later. */
	void (*request)(struct caller_exchange *exchange,
			const struct caller_request *request, void *user);
	/* The caller disconnected before the reply. The exchange must not be
	 * replied to any more and is freed when the callback returns. */
	void (*disconnected)(struct caller_exchange *exchange, void *user);
	void *user; /* last argument of each callback */
};

/**
 * caller_server_create - create a server and listen
 * @loop: the event loop
 * @settings: listen address, size limit and timeouts; must outlive the server
 * @counters: counters to update
 * @hooks: callbacks; copied
 * @why: receives a new string with the cause of a failure
 *
 * Return: a new server, or NULL with @why set if the address is
 * not valid or cannot be bound.
 */
struct caller_server *caller_server_create(struct http1_loop *loop,
					   const struct settings *settings,
					   struct cs_counters *counters,
					   const struct caller_hooks *hooks,
					   char **why);

/**
 * caller_server_drain - close each connection after its next reply
 * @server: a server
 *
 * The server continues to accept connections, each for one request.
 */
void caller_server_drain(struct caller_server *server);

/**
 * caller_server_open_requests - count the open requests
 * @server: a server
 *
 * Return: the number of requests that are being received, are being processed
 * or have a reply that is not completely sent.
 */
guint caller_server_open_requests(const struct caller_server *server);

/**
 * caller_server_destroy - close all connections and free a server
 * @server: a server or NULL
 */
void caller_server_destroy(struct caller_server *server);

/**
 * caller_exchange_set_data - attach a pointer of the owner
 * @exchange: an exchange
 * @data: any pointer; not freed by the exchange
 */
void caller_exchange_set_data(struct caller_exchange *exchange, void *data);

/**
 * caller_exchange_data - get the pointer of the owner
 * @exchange: an exchange
 *
 * Return: the pointer set by caller_exchange_set_data(), or NULL.
 */
void *caller_exchange_data(const struct caller_exchange *exchange);

/**
 * caller_exchange_id - get the request id, which is generated on receipt
 * @exchange: an exchange
 *
 * Return: 32 hexadecimal digits; owned by the exchange.
 */
const char *caller_exchange_id(const struct caller_exchange *exchange);

/**
 * caller_exchange_reply - send a reply with status 200 and free the exchange
 * @exchange: an exchange that has no reply yet
 * @body: JSON object; the function takes ownership and adds the request id and
 *	the id chosen by the caller
 */
void caller_exchange_reply(struct caller_exchange *exchange, json_t *body);

/**
 * caller_exchange_refuse - send a refusal and free the exchange
 * @exchange: an exchange that has no reply yet
 * @code: negative result code; determines the HTTP status
 * @outcome: whether the request did not run or may have run
 * @text: description for the caller, or NULL for the text of @code
 */
void caller_exchange_refuse(struct caller_exchange *exchange, int code,
			    enum cs_outcome outcome, const char *text);

/**
 * caller_request_parse - parse and validate the method, path and body
 * @method: HTTP method
 * @path: percent-decoded path without the query component
 * @body: the body
 * @length: of the body, in bytes
 * @request: receives the request; free it with caller_request_clear(), also
 *	after an error
 * @why: receives a new string with the cause of a failure
 *
 * Return: 0, CS_E_PATH, CS_E_METHOD or the negative code of an invalid body.
 */
int caller_request_parse(const char *method, const char *path, const char *body,
			 size_t length, struct caller_request *request,
			 char **why);

/**
 * caller_request_clear - free the members of a request and set them to 0
 * @request: filled by caller_request_parse()
 */
void caller_request_clear(struct caller_request *request);

#endif
