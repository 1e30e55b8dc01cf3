/**
 * forward.h - forwards requests to replicas and merges fan-out queries
 *
 * Accepts complete HTTP requests from callers, finds their route, sends them
 * to replicas and returns the answer. struct forward_dialect holds the header
 * names on the wire. struct forward_source supplies the routes, the replicas
 * and the evacuated zones (the routing view). libroute chooses the replicas.
 */
#ifndef CUMINSAIL_FORWARD_H
#define CUMINSAIL_FORWARD_H

#include "cuminsail/counters.h"
#include "cuminsail/http1.h"
#include "cuminsail/json.h"
#include "cuminsail/route.h"

/** Header names, paths and status codes on the wire. */
struct forward_dialect {
	const char *request_id; /* of one attempt of a caller; echoed */
	const char *caller; /* names the caller; part of what is asked */
	const char *deadline_ms; /* time the sender still waits, in ms */
	const char *instance; /* the only replica that may run it */
	const char *not_run; /* proof that the request did not run */
	const char *signature; /* of a replica's answer */
	const char
		*rate_limit; /* requests/s a replica takes from all daemons */
	const char *leaving; /* "1": the replica leaves, in all its answers */
	const char *rest; /* seconds a replica that refuses wants no request */
	const char *part_signatures; /* of the parts of a merged answer */
	const char *parts_missing; /* number of shards left out */
	const char *ready_path; /* readiness check of the load balancer */
	guint wrong_instance; /* status if the request was for another one */
};

/** Settings of one daemon. forward_engine_reload() can change some of them. */
struct forward_settings {
	char *instance;
	char *zone;
	GHashTable *regions; /* zone name to region name */
	struct sockaddr_in caller;
	struct sockaddr_in ready;
	struct sockaddr_in control; /* port 0: not served */
	struct sockaddr_in metrics;
	struct sockaddr_in relay; /* for peers; port 0: no relays */
	struct sockaddr_in platform;
	GArray *seeds; /* struct sockaddr_in: control addresses of peers */
	struct route_bounds bounds;
	gint64 stop_us; /* time from SIGTERM to SIGKILL */
	guint connections; /* most connections from callers */
};

/**
 * forward_settings_create - parse and validate settings
 * @text: JSON; docs/OPERATIONS.md lists the keys
 * @error: receives the result code
 * @why: receives a new string that names the key and the cause
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
 * forward_engine_create - bind the addresses and start serving
 * @loop: event loop that runs the engine
 * @settings: must outlive the engine
 * @dialect: must outlive the engine
 * @stopped: called once when a shutdown has finished
 * @user: passed to @stopped
 *
 * The daemon is not ready until it has a route table and at least one replica.
 *
 * Return: a new engine, or NULL if an address cannot be bound.
 */
struct forward_engine *forward_engine_create(
	struct http1_loop *loop, const struct forward_settings *settings,
	const struct forward_dialect *dialect, void (*stopped)(void *user),
	void *user);

/**
 * forward_engine_destroy - close all connections and free the engine
 * @engine: an engine or NULL
 */
void forward_engine_destroy(struct forward_engine *engine);

/**
 * forward_engine_reload - apply changed settings; aborts no request
 * @engine: an engine
 * @settings: must outlive the engine or the next reload
 *
 * Bounds, seeds, stop time and the connection limit change at once. Addresses
 * and names need a restart; a log line is written for each that differs.
 */
void forward_engine_reload(struct forward_engine *engine,
			   const struct forward_settings *settings);

/**
 * forward_engine_stop - start a graceful shutdown; a second call ends it
 * @engine: an engine
 *
 * Readiness is withdrawn at once. The engine keeps serving until the load
 * balancer has had time to react and all requests are answered, but not longer
 * than shortly before the SIGKILL.
 */
void forward_engine_stop(struct forward_engine *engine);

/**
 * forward_engine_fleet - get the known replicas
 * @engine: an engine
 *
 * Return: owned by the engine. Call forward_engine_view_changed() after a
 * change.
 */
struct route_fleet *forward_engine_fleet(struct forward_engine *engine);

/**
 * forward_engine_set_table - install a version of the routes
 * @engine: an engine
 * @table: the engine takes a reference; ignored unless its version is higher
 *	than the installed one
 */
void forward_engine_set_table(struct forward_engine *engine,
			      struct route_table *table);

/**
 * forward_engine_replace_table - install routes whatever their version
 * @engine: an engine
 * @table: the engine takes a reference
 *
 * For a version that takes the place of one that its source has lost.
 */
void forward_engine_replace_table(struct forward_engine *engine,
				  struct route_table *table);

/**
 * forward_engine_confirm_view - record that the routing view was current at a
 * time
 * @engine: an engine
 * @at_us: clock time, microseconds; ignored if earlier than the last one
 */
void forward_engine_confirm_view(struct forward_engine *engine, gint64 at_us);

/**
 * forward_engine_view_changed - notify the engine that the routing view changed
 * @engine: an engine
 *
 * Retries the waiting requests and notifies the daemons that follow this one.
 */
void forward_engine_view_changed(struct forward_engine *engine);

/** A point in the source's sequence of changes. */
struct forward_position {
	gint64 history; /* rises when the source continues from an older copy:
			 * revisions are then given out again; 0: it named none
			 */
	gint64 revision; /* of the last change; 0: none yet */
};

/**
 * forward_position_compare - order two positions
 * @a: a position
 * @b: a position
 *
 * Return: negative, 0 or positive if @a is before, at or after @b. Any position
 * of a later history is after all positions of an earlier one.
 */
int forward_position_compare(const struct forward_position *a,
			     const struct forward_position *b);

/** Supplies the routing view; only the source parses its documents. */
struct forward_source {
	/* direct: true to read the platform directly, false if a peer supplies
	 * the updates. */
	void (*set_direct_reading)(bool direct, void *user);
	/* Return: the position up to which all changes are known; its revision
	 * is 0 before the first read. */
	struct forward_position (*position)(void *user);
	/* Return: a new document with the changes after a position, or with the
	 * whole view for revision 0 or another history; NULL before the first
	 * read. */
	json_t *(*export_changes)(const struct forward_position *after,
				  void *user);
	/* Applies the newer entries of a peer's document.
	 * Return: false if it is of an earlier history. */
	bool (*apply)(json_t *document, void *user);
	void *user;
};

/**
 * forward_engine_set_source - set the source and start to obtain updates
 * @engine: an engine
 * @source: copied
 */
void forward_engine_set_source(struct forward_engine *engine,
			       const struct forward_source *source);

/**
 * forward_engine_counters - get the counters
 * @engine: an engine
 *
 * Return: owned by the engine.
 */
struct cs_counters *forward_engine_counters(struct forward_engine *engine);

#endif
