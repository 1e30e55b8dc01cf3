/**
 * engine.h - one daemon: the policy between its four kinds of peers
 *
 * The engine owns the servers, the clients and the policy, and carries events
 * and actions between them. Decisions are the policy's.
 */
#ifndef CUMINSAIL_ENGINE_H
#define CUMINSAIL_ENGINE_H

#include "cuminsail/http1.h"
#include "cuminsail/config.h"

struct engine;

/**
 * engine_create - start a daemon's work
 * @loop: the loop
 * @settings: checked settings; must outlive the engine
 * @stopped: called once when a shutdown has ended
 * @user: passed to @stopped
 * @why: where to put a new string with the cause
 *
 * Return: a new engine, or NULL with @why set.
 */
struct engine *engine_create(struct http1_loop *loop,
			     const struct settings *settings,
			     void (*stopped)(void *user), void *user,
			     char **why);

/**
 * engine_destroy - free an engine, cutting what is still open
 * @engine: an engine or NULL
 */
void engine_destroy(struct engine *engine);

/**
 * engine_stop - begin a graceful shutdown, or end it at once
 * @engine: an engine
 *
 * The first call makes the daemon not ready and tells its peers; after the
 * drain time it refuses new requests as not run, and when no request is open,
 * or at the stop limit, @stopped is called. The second call ends it at once.
 * What was cut is logged.
 */
void engine_stop(struct engine *engine);

#endif
