/**
 * caller.h - HTTP towards the callers
 *
 * docs/CALLER-INTERFACE.md gives the paths, bodies and answers. The server
 * reads and checks a request, hands it to the owner and writes the reply.
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

/** A checked request. */
struct caller_request {
	enum caller_kind {
		CALLER_QUERY,
		CALLER_TICKET,
		CALLER_ORDER,
	} kind;
	char *service;
	char *ticket; /* of an order */
	char *caller_id; /* the caller's own id, echoed; or NULL */
	json_t *body; /* the query or the order */
	gint64 limit; /* hits wanted */
	gint64 deadline_ms; /* 0 if the caller names none */
	double least_coverage; /* below 0 if the caller names none */
};

/** What the owner of a server does. */
struct caller_hooks {
	/* A request came. The owner replies once, now or later. */
	void (*begin)(struct caller_exchange *exchange,
		      const struct caller_request *request, void *user);
	/* The caller went away before the reply; no reply is due. */
	void (*gone)(struct caller_exchange *exchange, void *user);
	void *user;
};

/**
 * caller_server_create - listen
 * @loop: the loop
 * @settings: addresses and limits; must outlive the server
 * @counters: where to count
 * @hooks: what to do; copied
 * @why: where to put a new string with the cause
 *
 * Return: a new server, or NULL with @why set.
 */
struct caller_server *caller_server_create(struct http1_loop *loop,
					   const struct settings *settings,
					   struct cs_counters *counters,
					   const struct caller_hooks *hooks,
					   char **why);

/**
 * caller_server_drain - tell callers to close their connections after a reply
 * @server: a server
 */
void caller_server_drain(struct caller_server *server);

/**
 * caller_server_open - requests being read, worked on or replied to
 * @server: a server
 *
 * Return: their number.
 */
guint caller_server_open(const struct caller_server *server);

/**
 * caller_server_destroy - close everything
 * @server: a server or NULL
 */
void caller_server_destroy(struct caller_server *server);

/**
 * caller_exchange_set_data - attach the owner's pointer
 * @exchange: an exchange
 * @data: any pointer
 */
void caller_exchange_set_data(struct caller_exchange *exchange, void *data);

/**
 * caller_exchange_data - the owner's pointer
 * @exchange: an exchange
 *
 * Return: as set, or NULL.
 */
void *caller_exchange_data(const struct caller_exchange *exchange);

/**
 * caller_exchange_id - the request id made at entry
 * @exchange: an exchange
 *
 * Return: 32 hexadecimal digits.
 */
const char *caller_exchange_id(const struct caller_exchange *exchange);

/**
 * caller_exchange_reply - answer
 * @exchange: an exchange not yet replied to; not to be used afterwards
 * @body: JSON object; the exchange becomes its owner and adds the ids
 */
void caller_exchange_reply(struct caller_exchange *exchange, json_t *body);

/**
 * caller_exchange_refuse - answer with a refusal
 * @exchange: an exchange not yet replied to; not to be used afterwards
 * @code: negative result code
 * @outcome: what is known of the run
 * @text: what is wrong, or NULL for the code's own text
 */
void caller_exchange_refuse(struct caller_exchange *exchange, int code,
			    enum cs_outcome outcome, const char *text);

/**
 * caller_request_parse - check a request's method, path and body
 * @method: HTTP method
 * @path: decoded path
 * @body: bytes of the body
 * @length: their number
 * @request: where to put it; for caller_request_clear()
 * @why: where to put a new string with the cause
 *
 * Return: 0 or a negative code.
 */
int caller_request_parse(const char *method, const char *path, const char *body,
			 size_t length, struct caller_request *request,
			 char **why);

/**
 * caller_request_clear - free the parts of a request
 * @request: as filled by caller_request_parse()
 */
void caller_request_clear(struct caller_request *request);

#endif
