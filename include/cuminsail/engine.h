/**
 * engine.h - one daemon of the query tier
 *
 * The engine owns the servers for callers and operators, the clients of the
 * upstreams and the platform, the links to the peers, and the policy. It passes
 * events from the network to the policy and carries out the actions that the
 * policy returns. All decisions are made by the policy.
 */
#ifndef CUMINSAIL_ENGINE_H
#define CUMINSAIL_ENGINE_H

#include "cuminsail/http1.h"
#include "cuminsail/config.h"

struct engine;

/**
 * engine_create - open the sockets of a daemon and start serving
 * @loop: event loop that runs the engine; must outlive it
 * @settings: validated settings; must outlive the engine
 * @stopped: called once when a shutdown is complete
 * @user: passed to @stopped
 * @why: on failure, set to a new string with the cause
 *
 * Return: a new engine, owned by the caller, or NULL with @why set if a socket
 * could not be opened.
 */
struct engine *engine_create(struct http1_loop *loop,
			     const struct settings *settings,
			     void (*stopped)(void *user), void *user,
			     char **why);

/**
 * engine_destroy - close all sockets, abort open requests and free an engine
 * @engine: an engine or NULL
 */
void engine_destroy(struct engine *engine);

/**
 * engine_stop - start a graceful shutdown, or complete it immediately
 * @engine: an engine
 *
 * The first call makes the daemon not ready and sends the peers a heartbeat
 * that marks it as leaving. From then on it issues no tickets, and after the
 * drain time (setting drain_ms) it refuses all new requests. A refused query or
 * ticket request has the outcome not-run, a caller's refused order the outcome
 * unknown. The @stopped callback of engine_create() is called when no request
 * and no order is open, or stop_ms after the end of the drain time. A second
 * call completes the shutdown immediately. The number of aborted requests is
 * logged.
 */
void engine_stop(struct engine *engine);

#endif
