/**
 * operator.h - HTTP server for operators and the load balancer's health check
 *
 * All endpoints are read-only. docs/OPERATIONS.md describes them.
 */
#ifndef CUMINSAIL_OPERATOR_H
#define CUMINSAIL_OPERATOR_H

#include "cuminsail/config.h"
#include "cuminsail/counters.h"
#include "cuminsail/http1.h"

struct operator_server;

/** Endpoints with a JSON body. */
enum operator_page {
	OPERATOR_STATUS, /* /v1/status */
	OPERATOR_UPSTREAMS, /* /v1/upstreams */
	OPERATOR_ZONES, /* /v1/zones */
	OPERATOR_CONFIG, /* /v1/config */
	OPERATOR_TRACE, /* /v1/why/REQUEST-ID: recorded events of one request */
};

/** Callbacks of a server. */
struct operator_hooks {
	/* Creates the body of @page, which the server frees, or returns NULL if
	 * not found. @name is the request id of OPERATOR_TRACE, otherwise NULL.
	 */
	json_t *(*read)(enum operator_page page, const char *name, void *user);
	/* Returns whether the load balancer may send requests to this daemon.
	 */
	bool (*ready)(void *user);
	void *user; /* last argument of each callback */
};

/**
 * operator_server_create - create a server and listen
 * @loop: the event loop
 * @address: listen address
 * @counters: printed by /metrics
 * @hooks: callbacks; copied
 * @why: receives a new string with the cause of a failure
 *
 * Return: a new server, or NULL with @why set if the address is
 * not valid or cannot be bound.
 */
struct operator_server *operator_server_create(
	struct http1_loop *loop, const struct settings_address *address,
	struct cs_counters *counters, const struct operator_hooks *hooks,
	char **why);

/**
 * operator_server_destroy - close all connections and free a server
 * @server: a server or NULL
 */
void operator_server_destroy(struct operator_server *server);

#endif
