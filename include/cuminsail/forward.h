/**
 * forward.h - requests forwarded to replicas, and queries over many shards
 *
 * Takes whole HTTP requests from callers, finds their route, asks replicas
 * and answers. The names on the wire come from a dialect; who may be asked
 * comes from a source through the calls below; the choices are libroute's.
 */
#ifndef CUMINSAIL_FORWARD_H
#define CUMINSAIL_FORWARD_H

#include "cuminsail/counters.h"
#include "cuminsail/http1.h"
#include "cuminsail/json.h"
#include "cuminsail/route.h"

/** Names of header lines and calls on the wire. */
struct forward_dialect {
	const char *request_id; /* of one attempt of a caller; echoed */
	const char *deadline_ms; /* how long the sender still waits */
	const char *instance; /* only this replica may run the request */
	const char *not_run; /* the replica proves that it did not run */
	const char *signature; /* of a replica's answer */
	const char *part_signatures; /* of the parts in a merged answer */
	const char *parts_missing; /* number of shards left out */
	const char *ready_path; /* where the balancer asks */
	guint wrong_instance; /* status of a replica that was not meant */
};

/** What one daemon is started with, and what may change while it runs. */
struct forward_settings {
	char *instance;
	char *zone;
	GHashTable *regions; /* zone name to region name */
	struct sockaddr_in caller;
	struct sockaddr_in ready;
	struct sockaddr_in control; /* port 0: not served */
	struct sockaddr_in metrics;
	struct sockaddr_in platform;
	GArray *seeds; /* struct sockaddr_in: control addresses of peers */
	struct route_bounds bounds;
	gint64 stop_us; /* from SIGTERM to the kill */
	guint connections; /* descriptors for callers */
};

/**
 * forward_settings_create - check a settings text
 * @text: JSON; docs/OPERATIONS.md lists the keys
 * @error: where to put the result code
 * @why: where to put a new string with path and cause
 *
 * Return: new settings, or NULL with @error and @why set.
 */
struct forward_settings *forward_settings_create(const char *text, int *error,
						 char **why);

/**
 * forward_settings_destroy - free settings
 * @settings: settings or NULL
 */
void forward_settings_destroy(struct forward_settings *settings);

struct forward_engine;

/**
 * forward_engine_create - start serving, not ready
 * @loop: the loop
 * @settings: must outlive the engine
 * @dialect: must outlive the engine
 * @stopped: called once when a shutdown has ended
 * @user: passed to @stopped
 *
 * Return: a new engine, or NULL if an address cannot be bound.
 */
struct forward_engine *forward_engine_create(
	struct http1_loop *loop, const struct forward_settings *settings,
	const struct forward_dialect *dialect, void (*stopped)(void *user),
	void *user);

/**
 * forward_engine_destroy - cut everything and free
 * @engine: an engine or NULL
 */
void forward_engine_destroy(struct forward_engine *engine);

/**
 * forward_engine_reload - take up changed settings; cuts nothing
 * @engine: an engine
 * @settings: must outlive the engine or the next reload
 *
 * Bounds, seeds, stop time and the connection limit change at once. Addresses
 * and names need a restart; a log line says which differ.
 */
void forward_engine_reload(struct forward_engine *engine,
			   const struct forward_settings *settings);

/**
 * forward_engine_stop - begin a graceful shutdown; a second call ends it
 * @engine: an engine
 *
 * Not ready at once; goes on serving until the balancer has noticed and all
 * requests are answered, at most until shortly before the kill.
 */
void forward_engine_stop(struct forward_engine *engine);

/**
 * forward_engine_fleet - the picture of the replicas
 * @engine: an engine
 *
 * Return: owned by the engine. After a change call forward_engine_changed().
 */
struct route_fleet *forward_engine_fleet(struct forward_engine *engine);

/**
 * forward_engine_set_table - take up a version of the routes
 * @engine: an engine
 * @table: the engine takes a reference; a lower version is left aside
 */
void forward_engine_set_table(struct forward_engine *engine,
			      struct route_table *table);

/**
 * forward_engine_confirm - the picture was known to be current at a time
 * @engine: an engine
 * @at_us: on the clock; an earlier time than the last one is left aside
 */
void forward_engine_confirm(struct forward_engine *engine, gint64 at_us);

/**
 * forward_engine_changed - the picture changed
 * @engine: an engine
 *
 * Waiting requests are looked at again and following daemons are told.
 */
void forward_engine_changed(struct forward_engine *engine);

/** Where the picture comes from; only the source reads its documents. */
struct forward_source {
	/* Read the platform directly, or leave it to a peer. */
	void (*read)(bool directly, void *user);
	/* Return: the revision up to which everything is known; 0 at first. */
	gint64 (*revision)(void *user);
	/* Return: a new document of what changed after a revision, all of it
	 * for 0; NULL before the first reading. */
	json_t *(*export)(gint64 after, void *user);
	/* A peer's document: taken where it is newer. */
	void (*offer)(json_t *document, void *user);
	void *user;
};

/**
 * forward_engine_set_source - begin to read, directly or through a peer
 * @engine: an engine
 * @source: copied
 */
void forward_engine_set_source(struct forward_engine *engine,
			       const struct forward_source *source);

/**
 * forward_engine_counters - the counters
 * @engine: an engine
 *
 * Return: owned by the engine.
 */
struct cs_counters *forward_engine_counters(struct forward_engine *engine);

#endif
