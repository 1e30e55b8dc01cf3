/**
 * route.h - where a forwarded request may go, and where it goes best
 *
 * Pure: no input or output, no clock of its own. A route table (one version of
 * the operators' routes), the replicas and the outcome of attempts go in; the
 * choice of a replica, the time of a hedge and the permission for extra load
 * come out.
 */
#ifndef CUMINSAIL_ROUTE_H
#define CUMINSAIL_ROUTE_H

#include "cuminsail/clock.h"

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <sys/queue.h>

/* ---- the table ---- */

/** Bounds on what callers may send. */
struct route_limits {
	gint64 header_bytes;
	gint64 body_bytes;
	gint64 head_ms; /* longest time for a request to arrive */
	gint64 idle_ms; /* longest wait for the next request */
};

/** How the replicas of a service may be used. */
struct route_service {
	char *name;
	gint64 connections_max; /* that one replica takes from all daemons */
	double cold_per_s; /* requests a cold replica bears; 0: no bound */
};

/** One service of a weighted split. */
struct route_share {
	char *service;
	double weight;
	double credit; /* of the smooth weighted turn */
};

/** Where the requests of a route go. */
enum route_target {
	ROUTE_SERVICE, /* one replica of one service */
	ROUTE_SPLIT, /* one replica of a service drawn by weight */
	ROUTE_FANOUT, /* one replica of each of several services */
};

/** A rule for requests of one host and path prefix. */
struct route {
	char *name;
	char *host;
	char *prefix;
	bool idempotent; /* may run more than once */
	gint64 timeout_us; /* a final answer is due by then */
	gint64 objective_us; /* an answer is worth most until then */
	gint64 priority; /* 0 is the most urgent */
	guint attempts_max; /* replicas one request, or part, may be sent to */
	GPtrArray *regions; /* char *: the only ones allowed; empty: all */
	enum route_target target;
	union {
		char *service;
		GArray *shares; /* struct route_share */
		struct {
			GPtrArray *services; /* char * */
			guint top_k; /* records in an answer */
			double least_share; /* of the parts, 0 to 1 */
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
 * route_create - a route with nothing set
 * @target: where it goes
 *
 * Return: a new route for route_table_add().
 */
struct route *route_create(enum route_target target);

/**
 * route_destroy - free a route
 * @route: a route that no table has, or NULL
 */
void route_destroy(struct route *route);

/**
 * route_table_create - an empty table
 * @version: of the operators' configuration
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
 * @name: its name
 * @connections_max: of one replica
 * @cold_per_s: requests a second that a cold replica bears; 0: no bound
 */
void route_table_add_service(struct route_table *table, const char *name,
			     gint64 connections_max, double cold_per_s);

/**
 * route_table_seal - make a table ready for route_table_find()
 * @table: a table to which nothing more is added
 */
void route_table_seal(struct route_table *table);

/**
 * route_table_encode - a table as bytes for another daemon
 * @table: a table
 *
 * Return: new bytes.
 */
GBytes *route_table_encode(const struct route_table *table);

/**
 * route_table_decode - the table in another daemon's bytes
 * @bytes: from anywhere
 *
 * Return: a new sealed table, or NULL if they hold none.
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
 * route_table_unref - give a reference back
 * @table: a table or NULL
 */
void route_table_unref(struct route_table *table);

/**
 * route_table_find - the route of a request
 * @table: a table
 * @host: Host of the request, with or without a port; compared without case
 * @target: path and query
 *
 * Return: the route of the longest prefix that begins the path, or NULL.
 */
struct route *route_table_find(const struct route_table *table,
			       const char *host, const char *target);

/**
 * route_turn - the service of the next request of a split
 * @route: a route of target ROUTE_SPLIT with a share at least
 *
 * Smooth weighted round robin: every run of requests keeps to the weights.
 *
 * Return: the service's name.
 */
const char *route_turn(struct route *route);

/* ---- replicas ---- */

/** A replica as the platform lists it. */
struct route_entry {
	const char *id;
	const char *service;
	const char *zone;
	struct sockaddr_in address;
	gint64 incarnation; /* differs at each start of the same id */
	gint64 slots; /* requests it runs at once */
	gint64 cold_us; /* how much longer it is slow and weak */
	bool leaving;
};

/** How far a replica is, cheapest first. */
enum route_distance {
	ROUTE_SAME_ZONE,
	ROUTE_SAME_REGION,
	ROUTE_FAR,
	ROUTE_DISTANCES,
};

struct route_replica;

/** How long the requests of a route take at a usual replica. */
struct route_work {
	double us; /* moving average, without the way */
	double deviation; /* mean, as a share of it */
};

/** One request sent to a replica. Embed it; zero-initialised means idle. */
struct route_attempt {
	TAILQ_ENTRY(route_attempt) link;
	struct route_replica *replica;
	struct route_work *work;
	gint64 sent_us;
};

/** Attempts at one replica, summed up. */
struct route_tally {
	guint answers;
	guint failures;
	double slowness; /* sum over the answers: 1 is usual for the work */
};

/** What is thought of a replica, and since when. */
struct route_evidence {
	double slowness; /* 1: usual */
	double failure_rate; /* 0 to 1 */
	gint64 at_us; /* 0: nothing is known */
};

/** A replica and what is known of it. Read-only outside. */
struct route_replica {
	TAILQ_ENTRY(route_replica) link;
	grefcount refs;
	struct route_pool *pool; /* NULL once it is gone */
	char *id;
	char *zone;
	const char *region; /* of its zone; NULL if the zone is unknown */
	struct sockaddr_in address;
	enum route_distance distance;
	gint64 incarnation;
	gint64 slots;
	gint64 cold_until_us;
	gint64 lapsed_us; /* when its entry vanished; 0 while listed */
	bool leaving;
	bool evacuated;
	bool misplaced; /* its address answers as another replica */
	TAILQ_HEAD(, route_attempt) open;
	guint n_open;
	guint connections; /* open ones, kept by the owner */
	guint connecting; /* of these, the ones not yet there */
	gint64 crowded_until_us; /* it resets new connections */
	double slowness; /* moving average: 1 is usual for its route's work */
	gint64 sampled_us;
	double failure_rate; /* moving average, 0 to 1 */
	gint64 failed_us; /* when it last moved */
	guint failure_run;
	gint64 suspect_until_us;
	struct route_tally unreported; /* since the last report */
	struct route_evidence pooled; /* from the reports of many daemons */
	gint64 outlier_us; /* since when they show an outlier; 0: they do not */
	struct route_evidence shared; /* by a daemon that pools them */
	double cold_tokens;
	gint64 cold_filled_us;
	void *owner_data; /* the owner's; set before the first use */
};

struct route_pool;
struct route_fleet;

/** What becomes of an attempt, for the statistics of its replica. */
enum route_result {
	ROUTE_GOOD, /* a whole answer */
	ROUTE_SHED, /* proved not run: full */
	ROUTE_MISPLACED, /* proved not run: another replica is there */
	ROUTE_FAILED, /* an error, a lost or spoiled answer */
	ROUTE_UNREACHED, /* no connection came about */
	ROUTE_DROPPED, /* given up here: says nothing */
};

/** Figures that the deployment sets. */
struct route_bounds {
	double budget_ratio; /* extra requests per request of callers */
	double budget_slack; /* extra requests of all daemons in a window */
	gint64 budget_window_us;
	gint64 drain_us; /* a leaving replica serves on at least so long */
	guint daemons; /* that may be up at once, all zones */
	guint daemons_in_zone; /* of these, in the own zone */
	double cold_overrun; /* share of cold_per_s that may be reached */
};

/**
 * route_fleet_create - an empty picture
 * @zone: zone of this daemon
 * @regions: zone name to region name; the fleet takes a reference
 *
 * Return: a new fleet.
 */
struct route_fleet *route_fleet_create(const char *zone, GHashTable *regions);

/**
 * route_fleet_destroy - free a picture
 * @fleet: a fleet or NULL
 */
void route_fleet_destroy(struct route_fleet *fleet);

/**
 * route_fleet_set_bounds - change the figures of the deployment
 * @fleet: a fleet
 * @bounds: copied
 */
void route_fleet_set_bounds(struct route_fleet *fleet,
			    const struct route_bounds *bounds);

/**
 * route_fleet_set_table - take up a version; pools learn their limits
 * @fleet: a fleet
 * @table: the fleet takes a reference
 */
void route_fleet_set_table(struct route_fleet *fleet,
			   struct route_table *table);

/**
 * route_fleet_put - a replica's entry appeared or changed
 * @fleet: a fleet
 * @entry: copied
 * @now_us: the clock
 *
 * Another incarnation, service or address makes it a new replica.
 *
 * Return: true if anything but the age of the entry changed.
 */
bool route_fleet_put(struct route_fleet *fleet, const struct route_entry *entry,
		     gint64 now_us);

/**
 * route_fleet_remove - a replica's entry vanished
 * @fleet: a fleet
 * @id: the replica
 * @hold: keep it for 2.2 s as a last choice, unless it was leaving: an entry
 *	can lapse while its replica lives
 * @now_us: the clock
 *
 * Return: true if it was known.
 */
bool route_fleet_remove(struct route_fleet *fleet, const char *id, bool hold,
			gint64 now_us);

/**
 * route_fleet_expire - drop lapsed replicas whose hold is over
 * @fleet: a fleet
 * @now_us: the clock
 */
void route_fleet_expire(struct route_fleet *fleet, gint64 now_us);

/**
 * route_fleet_evacuate - an availability zone is taken out or back
 * @fleet: a fleet
 * @zone: its name
 * @out: true while nothing may be sent there
 */
void route_fleet_evacuate(struct route_fleet *fleet, const char *zone,
			  bool out);

/**
 * route_fleet_count - replicas that are listed
 * @fleet: a fleet
 *
 * Return: their number.
 */
guint route_fleet_count(const struct route_fleet *fleet);

/**
 * route_fleet_each - visit the ids of all replicas that are listed
 * @fleet: a fleet
 * @visit: called with each id and @user; must not change the fleet
 * @user: passed on
 */
void route_fleet_each(struct route_fleet *fleet,
		      void (*visit)(const char *id, void *user), void *user);

/**
 * route_fleet_pool - the replicas of a service
 * @fleet: a fleet
 * @service: its name
 *
 * Return: owned by the fleet as long as it lives; made if there is none.
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
 * route_replica_unref - give a reference back
 * @replica: a replica or NULL
 */
void route_replica_unref(struct route_replica *replica);

/**
 * route_replica_usable - whether a request may be sent to it now
 * @replica: a replica
 * @now_us: the clock
 *
 * Return: false if it is gone, leaving, evacuated or at a wrong address.
 */
bool route_replica_usable(const struct route_replica *replica, gint64 now_us);

/**
 * route_replica_connections - connections this daemon may have to a replica
 * @replica: a replica in a pool
 *
 * The daemons of the replica's own zone get the greater part of its limit.
 *
 * Return: 1 or more.
 */
guint route_replica_connections(const struct route_replica *replica);

/**
 * route_replica_crowded - a replica reset a connection before its first answer
 * @replica: it takes no further connections from all daemons together
 * @now_us: the clock
 */
void route_replica_crowded(struct route_replica *replica, gint64 now_us);

/* ---- choosing ---- */

/** Most replicas that one part of a request is sent to. */
#define ROUTE_TRIED_MAX 8

/** What a part of a request needs. */
struct route_ask {
	const struct route *route;
	const struct route_work *work;
	struct route_replica *const *tried; /* not to be asked again */
	guint n_tried;
};

/** Why no replica can be given. */
enum route_lack {
	ROUTE_LACK_NONE,
	ROUTE_LACK_ROOM, /* all that may be asked are full */
	ROUTE_LACK_REPLICA, /* none may be asked */
};

/**
 * route_pool_choose - the replica from which an answer is expected first
 * @pool: a pool
 * @ask: what is needed
 * @now_us: the clock
 * @lack: where to put why there is none
 *
 * Return: a replica, or NULL with @lack set.
 */
struct route_replica *route_pool_choose(struct route_pool *pool,
					const struct route_ask *ask,
					gint64 now_us, enum route_lack *lack);

/**
 * route_fleet_work - what is known of a route's work
 * @fleet: a fleet
 * @route: one of its routes; known by its name across versions
 *
 * Return: owned by the fleet.
 */
struct route_work *route_fleet_work(struct route_fleet *fleet,
				    const struct route *route);

/**
 * route_hedge_us - how long an attempt may take before a second one pays
 * @work: of the route
 * @replica: whom the first attempt went to
 * @now_us: the clock
 *
 * Return: microseconds after it was sent.
 */
gint64 route_hedge_us(const struct route_work *work,
		      const struct route_replica *replica, gint64 now_us);

/**
 * route_replica_connected - a connection came about
 * @replica: to whom
 * @us: how long it took
 */
void route_replica_connected(struct route_replica *replica, gint64 us);

/**
 * route_pool_earn - a request of a caller arrived for this service
 * @pool: a pool
 * @now_us: the clock
 */
void route_pool_earn(struct route_pool *pool, gint64 now_us);

/** What extra load is wanted for. */
enum route_extra {
	ROUTE_RETRY_NEEDED, /* without it there is no answer */
	ROUTE_RETRY_BETTER, /* without it an answer lacks a part */
	ROUTE_HEDGE, /* an attempt is slow */
};

/**
 * route_pool_spend - ask for one extra request
 * @pool: a pool
 * @extra: what for; what is needed less leaves a reserve to the rest
 * @now_us: the clock
 *
 * In every window the extra requests stay below the ratio of the callers'
 * requests plus this daemon's part of the slack.
 *
 * Return: true if the budget had it.
 */
bool route_pool_spend(struct route_pool *pool, enum route_extra extra,
		      gint64 now_us);

/**
 * route_pool_refund - an extra request was never sent
 * @pool: a pool
 * @now_us: the clock
 */
void route_pool_refund(struct route_pool *pool, gint64 now_us);

/**
 * route_pool_budget - what is left of the budget
 * @pool: a pool
 * @now_us: the clock
 *
 * Return: extra requests.
 */
double route_pool_budget(struct route_pool *pool, gint64 now_us);

/**
 * route_pool_name - the service
 * @pool: a pool
 *
 * Return: owned by the pool.
 */
const char *route_pool_name(const struct route_pool *pool);

/**
 * route_attempt_begin - an attempt is sent
 * @attempt: idle; the replica is referenced until route_attempt_end()
 * @replica: as chosen
 * @work: of the route
 * @now_us: the clock
 */
void route_attempt_begin(struct route_attempt *attempt,
			 struct route_replica *replica, struct route_work *work,
			 gint64 now_us);

/**
 * route_attempt_end - an attempt is over
 * @attempt: as begun
 * @result: what became of it
 * @now_us: the clock
 */
void route_attempt_end(struct route_attempt *attempt, enum route_result result,
		       gint64 now_us);

/* ---- evidence shared among daemons ---- */

/**
 * route_fleet_report - what this daemon saw since its last report
 * @fleet: a fleet
 * @most: replicas to report; slow and failing ones come first
 * @now_us: the clock
 * @visit: called with each replica's id and its attempts
 * @user: passed on
 */
void route_fleet_report(struct route_fleet *fleet, guint most, gint64 now_us,
			void (*visit)(const char *id,
				      const struct route_tally *tally,
				      void *user),
			void *user);

/**
 * route_fleet_pool_report - add a daemon's report to what is pooled here
 * @fleet: a fleet
 * @id: a replica; an unknown one is left aside
 * @tally: its attempts
 * @now_us: the clock
 *
 * The pooled figures follow the reports within a third of a second, so that a
 * pause of a replica is over before it counts in full.
 */
void route_fleet_pool_report(struct route_fleet *fleet, const char *id,
			     const struct route_tally *tally, gint64 now_us);

/**
 * route_fleet_outliers - replicas that the pooled reports show slow or failing
 * @fleet: a fleet
 * @most: replicas to visit
 * @now_us: the clock
 * @visit: called with each
 * @user: passed on
 */
void route_fleet_outliers(struct route_fleet *fleet, guint most, gint64 now_us,
			  void (*visit)(const char *id,
					const struct route_evidence *evidence,
					void *user),
			  void *user);

/**
 * route_fleet_take_outlier - take what a daemon that pools reports found
 * @fleet: a fleet
 * @id: a replica; an unknown one is left aside
 * @evidence: what it is said to be like, and when that was said
 *
 * It holds until this daemon sees the replica's next answer itself, and is
 * forgotten like any older sample.
 *
 * Return: true if the replica was thought usual before.
 */
bool route_fleet_take_outlier(struct route_fleet *fleet, const char *id,
			      const struct route_evidence *evidence);

/**
 * route_fleet_end_outliers - all outliers have been taken
 * @fleet: a fleet
 * @now_us: as in the calls of route_fleet_take_outlier() before
 * @visit: called with each replica that was an outlier earlier, and is not
 *	this time: it is usual again
 * @user: passed on
 */
void route_fleet_end_outliers(struct route_fleet *fleet, gint64 now_us,
			      void (*visit)(const char *id, void *user),
			      void *user);

/* ---- merging ---- */

/** Bytes of one record of a part. */
#define ROUTE_RECORD_BYTES 16

struct route_merge;

/**
 * route_merge_create - an empty set of records
 * @top_k: records to keep
 *
 * Return: a new set.
 */
struct route_merge *route_merge_create(guint top_k);

/**
 * route_merge_add - add a part's records
 * @merge: a set
 * @bytes: the part's body; a remainder shorter than a record is dropped
 * @length: its bytes
 */
void route_merge_add(struct route_merge *merge, const void *bytes,
		     gsize length);

/**
 * route_merge_finish - the greatest records, greatest first, and free the set
 * @merge: a set
 *
 * Return: new bytes for g_byte_array_unref().
 */
GByteArray *route_merge_finish(struct route_merge *merge);

#endif
