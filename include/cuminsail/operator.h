/**
 * operator.h - HTTP towards the operators and the balancer's health check
 *
 * Read-only. docs/OPERATIONS.md lists the pages.
 */
#ifndef CUMINSAIL_OPERATOR_H
#define CUMINSAIL_OPERATOR_H

#include "cuminsail/config.h"
#include "cuminsail/counters.h"
#include "cuminsail/http1.h"

struct operator_server;

/** Pages with a JSON body. */
enum operator_page {
	OPERATOR_STATUS,
	OPERATOR_UPSTREAMS,
	OPERATOR_ZONES,
	OPERATOR_CONFIG,
	OPERATOR_WHY,
};

/** Where the pages come from. */
struct operator_hooks {
	/* A page; @name is the request id of OPERATOR_WHY. NULL: not found. */
	json_t *(*read)(enum operator_page page, const char *name, void *user);
	/* Whether the balancer may send callers here. */
	bool (*ready)(void *user);
	void *user;
};

/**
 * operator_server_create - listen
 * @loop: the loop
 * @at: address
 * @counters: what /metrics prints
 * @hooks: where the pages come from; copied
 * @why: where to put a new string with the cause
 *
 * Return: a new server, or NULL with @why set.
 */
struct operator_server *operator_server_create(
	struct http1_loop *loop, const struct settings_address *at,
	struct cs_counters *counters, const struct operator_hooks *hooks,
	char **why);

/**
 * operator_server_destroy - close it
 * @server: a server or NULL
 */
void operator_server_destroy(struct operator_server *server);

#endif
