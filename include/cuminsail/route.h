/**
 * route.h - routing: which replicas a forwarded request may use, and the best
 *
 * The package does no I/O and reads no clock; callers pass the time in. Its
 * input is a route table (one version of the operators' routes), the list of
 * replicas and the results of attempts. Its output is the choice of a replica,
 * the delay before a hedge and the permission to send extra requests.
 */
#ifndef CUMINSAIL_ROUTE_H
#define CUMINSAIL_ROUTE_H

#include "cuminsail/clock.h"
#include "cuminsail/route_blocklist.h"
#include "cuminsail/route_limit.h"
#include "cuminsail/route_pause.h"

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <sys/queue.h>

/* ---- the table ---- */

/** Limits on the requests and connections of callers. */
struct route_limits {
	gint64 header_bytes;
	gint64 body_bytes;
	gint64 header_timeout_ms; /* longest time to receive a request */
	gint64 idle_timeout_ms; /* longest wait for the next request */
};

/** Limits on the use of each replica of a service. */
struct route_service {
	char *name;
	gint64 connections_max; /* of one replica, from all daemons together */
	double cold_per_s; /* requests/s to one cold replica; 0: no limit */
};

/** One service of a weighted split. */
struct route_share {
	char *service;
	double weight;
	double current_weight; /* state of the smooth weighted round robin */
};

/** The kinds of target of a route. */
enum route_target {
	ROUTE_SERVICE, /* one replica of one service */
	ROUTE_SPLIT, /* one replica of a service selected by weight */
	ROUTE_FANOUT, /* one replica of each of several services */
};

/** A rule for requests of one host and path prefix. */
struct route {
	char *name;
	char *host;
	char *prefix;
	bool idempotent; /* the request may run more than once */
	gint64 timeout_us; /* time limit for the final answer */
	gint64 objective_us; /* later answers are worth less; 0: none */
	gint64 priority; /* 0 is the most urgent */
	guint attempts_max; /* replicas one request, or part, may be sent to */
	GPtrArray *regions; /* char *: allowed regions; empty: all */
	enum route_target target;
	union {
		char *service;
		GArray *shares; /* struct route_share */
		struct {
			GPtrArray *services; /* char * */
			guint top_k; /* records in an answer */
			double min_success_share; /* of the parts, 0 to 1 */
		} fanout;
	};
};

/** One version of the operators' routes. Shared by reference. */
struct route_table {
	grefcount refs;
	gint64 version;
	struct route_limits limits;
	GPtrArray *routes; /* struct route */
	GHashTable *services; /* name to struct route_service */
	GHashTable *hosts; /* host to GPtrArray of struct route, by prefix */
};

/**
 * route_create - create a route with no fields set other than the target kind
 * @target: kind of the target
 *
 * Return: a new route for route_table_add().
 */
struct route *route_create(enum route_target target);

/**
 * route_destroy - free a route
 * @route: a route that was not added to a table, or NULL
 */
void route_destroy(struct route *route);

/**
 * route_table_create - create an empty table
 * @version: version of the operators' configuration
 *
 * Return: a new reference.
 */
struct route_table *route_table_create(gint64 version);

/**
 * route_table_add - add a route
 * @table: a table not yet in use
 * @route: the table becomes its owner
 */
void route_table_add(struct route_table *table, struct route *route);

/**
 * route_table_add_service - add or replace a service
 * @table: a table not yet in use
 * @name: name of the service
 * @connections_max: connections that one replica accepts from all daemons
 * @cold_per_s: requests a second that a cold replica accepts; 0: no limit
 */
void route_table_add_service(struct route_table *table, const char *name,
			     gint64 connections_max, double cold_per_s);

/**
 * route_table_seal - prepare a table for route_table_find()
 * @table: a complete table
 *
 * Sorts the routes of each host by length of prefix. No route is added later.
 */
void route_table_seal(struct route_table *table);

/**
 * route_table_encode - serialize a table for another daemon
 * @table: a table
 *
 * Return: new bytes.
 */
GBytes *route_table_encode(const struct route_table *table);

/**
 * route_table_decode - parse and validate a serialized table
 * @bytes: untrusted input
 *
 * Return: a new sealed table, or NULL if the bytes are not a valid table.
 */
struct route_table *route_table_decode(GBytes *bytes);

/**
 * route_table_ref - take a reference
 * @table: a table
 *
 * Return: @table.
 */
struct route_table *route_table_ref(struct route_table *table);

/**
 * route_table_unref - release a reference
 * @table: a table or NULL
 */
void route_table_unref(struct route_table *table);

/**
 * route_table_find - find the route of a request
 * @table: a table
 * @host: Host of the request, with or without a port; case-insensitive
 * @target: path and query
 *
 * Return: the route with the longest matching prefix, or NULL.
 */
struct route *route_table_find(const struct route_table *table,
			       const char *host, const char *target);

/**
 * route_next_service - select the service for the next request of a split
 * @route: a route of target ROUTE_SPLIT with at least one share
 *
 * Uses smooth weighted round robin: every sequence of consecutive
 * requests is divided in proportion to the weights.
 *
 * Return: the service's name.
 */
const char *route_next_service(struct route *route);

/* ---- replicas ---- */

/** A replica as the platform lists it. */
struct route_entry {
	const char *id;
	const char *service;
	const char *zone;
	struct sockaddr_in address;
	gint64 incarnation; /* differs at each start of the same id */
	gint64 sequence; /* rises with each state of one incarnation */
	gint64 slots; /* requests the replica runs at once */
	gint64 cold_us; /* remaining time as cold: slow, and of low capacity */
	bool leaving;
};

/** Network distance of a replica from this daemon, nearest first. */
enum route_distance {
	ROUTE_SAME_ZONE,
	ROUTE_SAME_REGION,
	ROUTE_FAR,
	ROUTE_DISTANCES,
};

struct route_replica;

/** Processing time of a route's requests at a typical replica. */
struct route_work {
	double mean_us; /* moving average, without the network delay */
	double mean_deviation; /* absolute, as a share of mean_us */
	guint n_samples; /* while few, each has more weight */
};

/** One request sent to a replica. Embed it; zero-initialised means idle. */
struct route_attempt {
	TAILQ_ENTRY(route_attempt) link;
	struct route_replica *replica;
	struct route_work *work;
	gint64 sent_us;
};

/** Sums over a number of attempts at one replica. */
struct route_stats {
	guint answers;
	guint failures;
	double slowness; /* sum over the answers; 1 is typical for the route */
};

/** Estimated condition of a replica at a given time. */
struct route_health {
	double slowness; /* processing time relative to a typical replica's */
	double failure_rate; /* 0 to 1 */
	gint64 at_us; /* time of the estimate; 0: there is none */
};

/** What a replica said of itself in its answers to this daemon. */
struct route_notice {
	bool leaving; /* for good */
	gint64 rest_until_us; /* end of the rest it asked for; 0: it never did
			       */
	bool on_trial; /* no answer since the rest: one request at a time */
	gint64 logged_us; /* time of the last log line about a rest */
};

/** Intervals in which the requests to a cold replica are counted: ten cover a
 * second, and one is partly outside. */
#define ROUTE_COLD_INTERVALS 11

/** The requests that this daemon has sent to a cold replica. */
struct route_cold {
	struct route_bucket bucket;
	gint64 interval; /* number of the current interval */
	guint sent[ROUTE_COLD_INTERVALS]; /* at its number modulo the size */
};

/** A replica, its limits and its statistics. Read-only outside the package. */
struct route_replica {
	TAILQ_ENTRY(route_replica) link;
	grefcount refs;
	struct route_pool *pool; /* NULL once the replica is removed */
	char *id;
	char *zone;
	const char *region; /* of its zone; NULL if the zone is unknown */
	struct sockaddr_in address;
	enum route_distance distance;
	gint64 incarnation;
	gint64 sequence; /* of its entry */
	gint64 slots;
	gint64 cold_until_us;
	gint64 held_until_us; /* not used before: it may be gone; 0: no */
	gint64 lapsed_until_us; /* end of its hold; 0 while listed */
	bool leaving;
	bool evacuated;
	bool wrong_instance; /* another replica answers at its address */
	TAILQ_HEAD(, route_attempt) open_attempts;
	guint n_open;
	guint connections; /* with those in setup; updated by their owner */
	guint connecting; /* of these, the ones not yet established */
	gint64 saturated_until_us; /* no new connections, as it reset one */
	double slowness; /* moving average: 1 is typical for the route */
	gint64 slowness_at_us; /* when slowness was last updated */
	double failure_rate; /* moving average, 0 to 1 */
	gint64 failure_rate_at_us; /* when failure_rate was last updated */
	guint consecutive_failures; /* failed attempts since the last answer */
	gint64 suspect_until_us;
	struct route_stats unreported; /* attempts since the last report */
	struct route_health pooled; /* from the reports of many daemons */
	gint64 outlier_since_us; /* by the pooled estimates; 0: no outlier */
	struct route_health received; /* from a daemon that pools reports */
	struct route_cold cold; /* this daemon's part while it is cold */
	struct route_limit limit;
	struct route_notice notice;
	struct route_pause pause;
	struct route_stall unreported_stall; /* the longest of the last pause
					      * since the last report */
	TAILQ_ENTRY(route_replica)
	limited; /* in the fleet, once it named one */
	void *owner_data; /* of the connections' owner; set before use */
};

struct route_pool;
struct route_fleet;

/** Results of an attempt, for the statistics of its replica. */
enum route_result {
	ROUTE_ANSWERED, /* a complete answer */
	ROUTE_SHED, /* proved not run: the replica is full */
	ROUTE_WRONG_INSTANCE, /* proved not run: another replica is there */
	ROUTE_FAILED, /* an error, or a lost or invalid answer */
	ROUTE_CONNECT_FAILED, /* no connection was established */
	ROUTE_ABORTED, /* by this daemon; a sample only if overdue */
};

/** Settings of the deployment. */
struct route_bounds {
	double budget_ratio; /* extra requests per request of callers */
	double budget_slack; /* extra requests of all daemons in a window */
	gint64 budget_window_us;
	gint64 drain_us; /* shortest time a leaving replica still serves */
	guint daemons; /* upper bound on running daemons, all zones */
	guint daemons_in_zone; /* of these, in this daemon's zone */
	double cold_overrun; /* all daemons may send cold_per_s times this */
};

/**
 * route_fleet_create - create an empty routing view
 * @zone: zone of this daemon
 * @regions: zone name to region name; the fleet takes a reference
 *
 * Return: a new fleet.
 */
struct route_fleet *route_fleet_create(const char *zone, GHashTable *regions);

/**
 * route_fleet_destroy - free a routing view
 * @fleet: a fleet or NULL
 */
void route_fleet_destroy(struct route_fleet *fleet);

/**
 * route_fleet_set_bounds - change the settings of the deployment
 * @fleet: a fleet
 * @bounds: copied
 */
void route_fleet_set_bounds(struct route_fleet *fleet,
			    const struct route_bounds *bounds);

/**
 * route_fleet_set_table - replace the table and apply its limits to the pools
 * @fleet: a fleet
 * @table: the fleet takes a reference
 */
void route_fleet_set_table(struct route_fleet *fleet,
			   struct route_table *table);

/**
 * route_fleet_put - add or update a replica
 * @fleet: a fleet
 * @entry: copied
 * @now_us: current time
 *
 * An entry with another incarnation, service, zone or address than before
 * replaces the replica by a new one.
 *
 * Return: true if a replica was added, replaced or listed again, or if
 * "leaving" changed.
 */
bool route_fleet_put(struct route_fleet *fleet, const struct route_entry *entry,
		     gint64 now_us);

/**
 * route_fleet_put_copied - apply an entry that may be older than what is known
 * @fleet: a fleet
 * @entry: copied
 * @now_us: current time
 *
 * For entries of a list that was restored from an older copy. Only a later
 * state of a listed replica is applied, or that it is leaving; a replica that
 * was known to be gone is not used for 6 s, unless it is put by
 * route_fleet_put().
 *
 * Return: false if what is known of the replica stays.
 */
bool route_fleet_put_copied(struct route_fleet *fleet,
			    const struct route_entry *entry, gint64 now_us);

/**
 * route_fleet_remove - handle the removal of a replica's entry
 * @fleet: a fleet
 * @id: the replica
 * @hold: keep it as a last choice if the list could not be read lately, unless
 *	it was leaving: its entry may have lapsed while it is alive
 * @now_us: current time
 *
 * Otherwise no request is sent to it from now on.
 *
 * Return: true if the list of replicas changed.
 */
bool route_fleet_remove(struct route_fleet *fleet, const char *id, bool hold,
			gint64 now_us);

/**
 * route_fleet_list_failed - record that the list of replicas cannot be read
 * @fleet: a fleet
 *
 * Replicas cannot renew their entries either, so that the entries of live ones
 * lapse. Until 2.2 s after the next route_fleet_list_read(),
 * route_fleet_remove() holds replicas, each for 2.2 s at most.
 */
void route_fleet_list_failed(struct route_fleet *fleet);

/**
 * route_fleet_list_read - record that the list of replicas was read
 * @fleet: a fleet
 * @now_us: current time
 */
void route_fleet_list_read(struct route_fleet *fleet, gint64 now_us);

/**
 * route_fleet_set_hold - set until when route_fleet_remove() holds replicas
 * @fleet: a fleet
 * @until_us: end of the longest hold of the daemon that has read the list; in
 *	the past if there is none
 *
 * Return: the time that it replaces.
 */
gint64 route_fleet_set_hold(struct route_fleet *fleet, gint64 until_us);

/**
 * route_fleet_longest_hold_us - time until the last hold ends
 * @fleet: a fleet
 * @now_us: current time
 *
 * Return: microseconds; 0 if no replica is held.
 */
gint64 route_fleet_longest_hold_us(const struct route_fleet *fleet,
				   gint64 now_us);

/**
 * route_fleet_expire - drop lapsed replicas whose hold time has passed
 * @fleet: a fleet
 * @now_us: current time
 */
void route_fleet_expire(struct route_fleet *fleet, gint64 now_us);

/**
 * route_fleet_evacuate - take an availability zone out of service, or put it
 * back
 * @fleet: a fleet
 * @zone: its name
 * @out: true while no requests may be sent to its replicas
 */
void route_fleet_evacuate(struct route_fleet *fleet, const char *zone,
			  bool out);

/**
 * route_fleet_count - count the listed replicas
 * @fleet: a fleet
 *
 * Return: their number, without lapsed ones.
 */
guint route_fleet_count(const struct route_fleet *fleet);

/**
 * route_fleet_random_other - choose any other replica
 * @fleet: a fleet
 * @replica: the one not to choose
 * @now_us: current time
 *
 * Return: a random usable replica, or NULL if there is none.
 */
struct route_replica *route_fleet_random_other(
	struct route_fleet *fleet, const struct route_replica *replica,
	gint64 now_us);

/**
 * route_fleet_each - visit the ids of all listed replicas
 * @fleet: a fleet
 * @visit: called with each id and @user; must not change the fleet
 * @user: passed to @visit
 */
void route_fleet_each(struct route_fleet *fleet,
		      void (*visit)(const char *id, void *user), void *user);

/**
 * route_fleet_pool - get the pool of a service's replicas
 * @fleet: a fleet
 * @service: name of the service
 *
 * Return: the pool, created if there is none; owned by the fleet and valid as
 * long as the fleet exists.
 */
struct route_pool *route_fleet_pool(struct route_fleet *fleet,
				    const char *service);

/**
 * route_replica_ref - take a reference
 * @replica: a replica
 *
 * Return: @replica.
 */
struct route_replica *route_replica_ref(struct route_replica *replica);

/**
 * route_replica_unref - release a reference
 * @replica: a replica or NULL
 */
void route_replica_unref(struct route_replica *replica);

/**
 * route_replica_usable - whether a request may be sent to a replica now
 * @replica: a replica
 * @now_us: current time
 *
 * Return: false if it is removed, evacuated or leaving, also by its own word,
 * if another replica answers at its address, if it may be gone, or if it lapsed
 * and its hold time has passed.
 */
bool route_replica_usable(const struct route_replica *replica, gint64 now_us);

/**
 * route_replica_leaves - whether a replica leaves
 * @replica: a replica
 *
 * Return: true if its entry says so, or it has said so itself.
 */
bool route_replica_leaves(const struct route_replica *replica);

/**
 * route_replica_connections - connections this daemon may have to a replica
 * @replica: a replica in a pool
 *
 * The daemons of the replica's own zone get the larger part of the replica's
 * limit.
 *
 * Return: 1 or more.
 */
guint route_replica_connections(const struct route_replica *replica);

/**
 * route_replica_saturated - handle a connection reset before its first answer
 * @replica: the replica; it has reached its connection limit over all daemons
 * @now_us: current time
 *
 * For some time a connection to it is opened only if this daemon has none.
 */
void route_replica_saturated(struct route_replica *replica, gint64 now_us);

/**
 * route_replica_observe_leaving - record that a replica says that it leaves
 * @replica: the replica
 *
 * Holds for this start of the replica, whatever it is listed as.
 *
 * Return: false if it was known.
 */
bool route_replica_observe_leaving(struct route_replica *replica);

/**
 * route_replica_observe_rest - record that a replica asks for rest
 * @replica: the replica
 * @rest_us: for how long; five minutes at most are granted
 * @now_us: current time
 *
 * The latest end of all that it asked for holds.
 */
void route_replica_observe_rest(struct route_replica *replica, gint64 rest_us,
				gint64 now_us);

/** A change of a replica's rate limit. */
enum route_limit_change {
	ROUTE_LIMIT_SAME,
	ROUTE_LIMIT_NAMED, /* there was none before */
	ROUTE_LIMIT_CHANGED, /* another rate */
	ROUTE_LIMIT_ENDED,
};

/**
 * route_replica_observe_limit - record the rate limit that an answer names
 * @replica: the replica
 * @per_s: requests/s from all daemons together; 0: the answer names none
 * @sent_us: when the request of the answer was sent
 * @now_us: when the answer was received
 *
 * An answer to a request that was sent before the newest known answer was
 * received may be the older one, so it does not end a limit.
 *
 * Return: the change, for the log.
 */
enum route_limit_change route_replica_observe_limit(
	struct route_replica *replica, double per_s, gint64 sent_us,
	gint64 now_us);

/**
 * route_fleet_learn_limit - record what another daemon knows of a rate limit
 * @fleet: a fleet
 * @id: the replica
 * @incarnation: of the replica that named it; ignored for another one
 * @limit: rate, and when it was observed; ignored if not newer than known
 * @change: set to the change, for the log
 * @now_us: current time
 *
 * Return: the replica, or NULL if the information was ignored.
 */
struct route_replica *route_fleet_learn_limit(struct route_fleet *fleet,
					      const char *id,
					      gint64 incarnation,
					      const struct route_limit *limit,
					      enum route_limit_change *change,
					      gint64 now_us);

/**
 * route_fleet_set_place - set this daemon's place for the replicas of a region
 * @fleet: a fleet
 * @region: name of the region; "" for zones without one
 * @place: copied; half of its fraction is used if it is older than 3 s
 * @now_us: current time
 */
void route_fleet_set_place(struct route_fleet *fleet, const char *region,
			   const struct route_place *place, gint64 now_us);

/**
 * route_fleet_each_place - visit the places that this daemon was told
 * @fleet: a fleet
 * @visit: called with each region and the last place for its replicas
 * @user: passed to @visit
 */
void route_fleet_each_place(struct route_fleet *fleet,
			    void (*visit)(const char *region,
					  const struct route_place *place,
					  void *user),
			    void *user);

/**
 * route_fleet_each_limit - visit the replicas with a rate limit, or with one
 * that has ended
 * @fleet: a fleet
 * @visit: called with each replica and @user; must not change the fleet
 * @user: passed to @visit
 */
void route_fleet_each_limit(struct route_fleet *fleet,
			    void (*visit)(struct route_replica *replica,
					  void *user),
			    void *user);

/* ---- choosing ---- */

/** Most replicas that one part of a request is sent to. */
#define ROUTE_TRIED_MAX 8

/** Criteria for the choice of a replica for one part of a request. */
struct route_criteria {
	const struct route *route;
	const struct route_work *work;
	struct route_replica *const *tried; /* replicas to exclude */
	guint n_tried;
	gint64 wait_us; /* longest time that the request may wait */
	bool try_pauses; /* ignore predicted pauses */
};

/** Why no replica is available. */
enum route_unavailable {
	ROUTE_AVAILABLE, /* a replica was chosen */
	ROUTE_NO_CAPACITY, /* all usable replicas are at their limits */
	ROUTE_RATE_LIMITED, /* so are their rate limits, for longer than wait_us
			     */
	ROUTE_RESTING, /* they have asked for rest, for longer than wait_us */
	ROUTE_NO_REPLICA, /* no replica is usable for the request */
	ROUTE_UNAVAILABLE_N,
};

/**
 * route_pool_choose - choose the replica with the lowest expected cost
 * @pool: a pool
 * @criteria: what the request needs
 * @now_us: current time
 * @reason: set to the reason if there is no replica, else ROUTE_AVAILABLE
 *
 * The cost is the expected time to an answer, including queueing, a new
 * connection if one is needed, and the risk of a failure. Suspect and lapsed
 * replicas are chosen only if there is no better one.
 *
 * Return: a replica, or NULL with @reason set.
 */
struct route_replica *route_pool_choose(struct route_pool *pool,
					const struct route_criteria *criteria,
					gint64 now_us,
					enum route_unavailable *reason);

/**
 * route_pool_wait_us - time until rate limits and rests allow a request
 * @pool: a pool
 * @now_us: current time
 *
 * Return: the shortest time of its usable replicas, in microseconds; 0 if one
 * has neither, G_MAXINT64 if this daemon may send to none of them.
 */
gint64 route_pool_wait_us(struct route_pool *pool, gint64 now_us);

/**
 * route_fleet_work - get the estimated processing time of a route
 * @fleet: a fleet
 * @route: one of its routes; identified by its name across versions
 *
 * Return: the estimate, created if there is none; owned by the fleet.
 */
struct route_work *route_fleet_work(struct route_fleet *fleet,
				    const struct route *route);

/**
 * route_hedge_delay_us - delay after which a slow attempt is hedged
 * @work: processing time of the route
 * @replica: the replica of the first attempt
 * @now_us: current time
 *
 * Return: microseconds after the first attempt was sent.
 */
gint64 route_hedge_delay_us(const struct route_work *work,
			    const struct route_replica *replica, gint64 now_us);

/**
 * route_replica_round_trip_us - network round trip time to a replica
 * @replica: a replica
 *
 * Return: microseconds; a default for the distance until it was measured.
 */
gint64 route_replica_round_trip_us(const struct route_replica *replica);

/**
 * route_replica_soonest_us - shortest time to an answer of a replica
 * @replica: a replica
 *
 * Return: microseconds for the round trip, and for a new connection if none is
 * idle.
 */
gint64 route_replica_soonest_us(const struct route_replica *replica);

/**
 * route_replica_connected - update the round trip time after a connect
 * @replica: the replica connected to
 * @us: how long the connection took to establish
 */
void route_replica_connected(struct route_replica *replica, gint64 us);

/**
 * route_replica_unreachable - record that no connection could be made
 * @replica: a replica
 * @now_us: current time
 *
 * It is used only as a last choice for some time, longer after each failure in
 * a row.
 */
void route_replica_unreachable(struct route_replica *replica, gint64 now_us);

/**
 * route_pool_deposit - raise the budget for a request of a caller
 * @pool: pool of the requested service
 * @now_us: current time
 */
void route_pool_deposit(struct route_pool *pool, gint64 now_us);

/** Purposes of an extra request. */
enum route_extra {
	ROUTE_RETRY_REQUIRED, /* without it there is no answer */
	ROUTE_RETRY_OPTIONAL, /* without it a part of the answer is missing */
	ROUTE_HEDGE, /* an attempt is slow */
};

/**
 * route_pool_withdraw - withdraw one extra request from the budget
 * @pool: a pool
 * @extra: purpose; less important ones leave a reserve for the others
 * @now_us: current time
 *
 * In every window the extra requests stay below the ratio of the callers'
 * requests plus this daemon's part of the slack.
 *
 * Return: true if the request may be sent.
 */
bool route_pool_withdraw(struct route_pool *pool, enum route_extra extra,
			 gint64 now_us);

/**
 * route_pool_refund - return an extra request that was not sent
 * @pool: a pool
 * @now_us: current time
 */
void route_pool_refund(struct route_pool *pool, gint64 now_us);

/**
 * route_pool_budget - remaining budget for extra requests
 * @pool: a pool
 * @now_us: current time
 *
 * Return: number of requests; negative if the window is overdrawn.
 */
double route_pool_budget(struct route_pool *pool, gint64 now_us);

/**
 * route_pool_name - name of the service
 * @pool: a pool
 *
 * Return: owned by the pool.
 */
const char *route_pool_name(const struct route_pool *pool);

/**
 * route_attempt_begin - record that an attempt is sent
 * @attempt: idle; holds a reference to the replica until route_attempt_end()
 * @replica: the chosen replica
 * @work: processing time of the route
 * @now_us: current time
 */
void route_attempt_begin(struct route_attempt *attempt,
			 struct route_replica *replica, struct route_work *work,
			 gint64 now_us);

/**
 * route_attempt_end - record the result of an attempt
 * @attempt: an attempt that has begun; it is idle afterwards
 * @result: its result, which updates the estimates
 * @now_us: current time
 */
void route_attempt_end(struct route_attempt *attempt, enum route_result result,
		       gint64 now_us);

/* ---- outlier detection across daemons ---- */

/**
 * route_fleet_report - report the attempts since the last report
 * @fleet: a fleet
 * @limit: upper bound on the replicas to report; slow and failing ones come
 *	first
 * @now_us: current time
 * @visit: called with each replica's id and the sums of its attempts
 * @user: passed to @visit
 *
 * A replica's sums are reset when they are reported.
 */
void route_fleet_report(struct route_fleet *fleet, guint limit, gint64 now_us,
			void (*visit)(const char *id,
				      const struct route_stats *stats,
				      void *user),
			void *user);

/**
 * route_fleet_pool_report - add one daemon's report to the pooled estimates
 * @fleet: a fleet
 * @id: a replica; an unknown one is ignored
 * @stats: sums of the daemon's attempts at it
 * @now_us: current time
 *
 * The pooled estimates follow the reports within a third of a second, so that
 * a pause of a replica is over before it counts in full.
 */
void route_fleet_pool_report(struct route_fleet *fleet, const char *id,
			     const struct route_stats *stats, gint64 now_us);

/**
 * route_fleet_outliers - visit the replicas that the pooled reports show to be
 * slow or failing
 * @fleet: a fleet
 * @limit: upper bound on the replicas to visit
 * @now_us: current time
 * @visit: called with each replica's id and pooled estimates
 * @user: passed to @visit
 */
void route_fleet_outliers(struct route_fleet *fleet, guint limit, gint64 now_us,
			  void (*visit)(const char *id,
					const struct route_health *health,
					void *user),
			  void *user);

/**
 * route_fleet_set_outlier - apply an outlier found by a daemon that pools
 * reports
 * @fleet: a fleet
 * @id: a replica; an unknown one is ignored
 * @health: its pooled estimates, and when they were received
 *
 * The estimates apply until this daemon's next own sample of the replica, and
 * decay with age as own samples do.
 *
 * Return: true if no outlier was known for the replica before.
 */
bool route_fleet_set_outlier(struct route_fleet *fleet, const char *id,
			     const struct route_health *health);

/**
 * route_fleet_clear_outliers - clear outliers that are no longer listed
 * @fleet: a fleet
 * @now_us: as at_us in the preceding calls of route_fleet_set_outlier() for
 *	the list
 * @visit: called with the id of each replica that was an outlier before and
 *	is not in this list; it counts as typical again
 * @user: passed to @visit
 */
void route_fleet_clear_outliers(struct route_fleet *fleet, gint64 now_us,
				void (*visit)(const char *id, void *user),
				void *user);

/* ---- pauses, see route_pause.h ---- */

/**
 * route_fleet_each_stall - visit the stalls since the last call
 * @fleet: a fleet
 * @visit: called with each replica's id and its last stall
 * @user: passed to @visit
 */
void route_fleet_each_stall(struct route_fleet *fleet,
			    void (*visit)(const char *id,
					  const struct route_stall *stall,
					  void *user),
			    void *user);

/**
 * route_fleet_add_stall - record a stall that another daemon observed
 * @fleet: a fleet
 * @id: the replica; an unknown one is ignored
 * @stall: in this daemon's time
 *
 * Return: what is known of the replica's pauses if they are predicted from now
 * on, else NULL.
 */
const struct route_pause *route_fleet_add_stall(
	struct route_fleet *fleet, const char *id,
	const struct route_stall *stall);

/**
 * route_fleet_each_pause - visit the replicas whose pauses are predicted
 * @fleet: a fleet
 * @visit: called with each replica's id and what is known
 * @user: passed to @visit
 */
void route_fleet_each_pause(struct route_fleet *fleet,
			    void (*visit)(const char *id,
					  const struct route_pause *pause,
					  void *user),
			    void *user);

/**
 * route_fleet_learn_pause - take what another daemon knows of a replica's
 * pauses
 * @fleet: a fleet
 * @id: the replica; an unknown one is ignored
 * @pause: in this daemon's time
 */
void route_fleet_learn_pause(struct route_fleet *fleet, const char *id,
			     const struct route_pause *pause);

/* ---- merging ---- */

/** Bytes of one record of a part. */
#define ROUTE_RECORD_BYTES 16

struct route_merge;

/**
 * route_merge_create - create an empty set of records
 * @top_k: number of records to keep
 *
 * Return: a new set.
 */
struct route_merge *route_merge_create(guint top_k);

/**
 * route_merge_add - add a part's records
 * @merge: a set
 * @bytes: the part's body; a remainder shorter than a record is ignored
 * @length: its length in bytes
 */
void route_merge_add(struct route_merge *merge, const void *bytes,
		     gsize length);

/**
 * route_merge_finish - return the greatest records in descending order and
 * free the set
 * @merge: a set
 *
 * Return: new bytes for g_byte_array_unref().
 */
GByteArray *route_merge_finish(struct route_merge *merge);

#endif
