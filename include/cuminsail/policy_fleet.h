/**
 * policy_fleet.h - state of the upstreams, and choice of one for an attempt
 *
 * The functions do no input or output and read no clock: the caller passes in
 * the configuration, the list of upstreams, the results of attempts and the
 * current time. All times are in microseconds on the daemon's clock.
 */
#ifndef CUMINSAIL_POLICY_FLEET_H
#define CUMINSAIL_POLICY_FLEET_H

#include "cuminsail/config.h"
#include "cuminsail/counters.h"
#include "cuminsail/policy_owner.h"

#include <sys/queue.h>

/** How much load an upstream may get, and from which daemons. */
enum policy_phase {
	POLICY_UNKNOWN, /* newly listed: treated as cold */
	POLICY_COLD, /* just started: only its owner sends, up to the limit */
	POLICY_WARMING, /* only its owner sends, and the limit grows */
	POLICY_WARM, /* every daemon sends */
};

/** Result of one attempt at one upstream. */
enum policy_result {
	POLICY_DONE, /* a valid answer in time */
	POLICY_UNSENT, /* not run: no byte of the request was sent */
	POLICY_REFUSED, /* not run: refused by the upstream, with proof */
	POLICY_LACKS_SNAPSHOT, /* not run: the upstream does not hold the
				  snapshot */
	POLICY_OTHER_INCARNATION, /* not run: the upstream is another
				     incarnation */
	POLICY_LOST, /* sent, then reset, truncated or refused without proof */
	POLICY_TIMEOUT, /* sent, no answer before the timeout */
	POLICY_BAD_ANSWER, /* the answer is malformed or for another request */
	POLICY_CANCELLED, /* cancelled here: may have run, is no failure */
	POLICY_WITHDRAWN, /* cancelled before its POLICY_SEND was fetched */
};

struct policy_fleet;
struct policy_service;

/** One upstream replica. Only libpolicy changes it. */
struct policy_upstream {
	TAILQ_ENTRY(policy_upstream) link;
	struct policy_service *service;
	char *id;
	char *shard;
	char *zone;
	char *address;
	char *incarnation; /* last reported by the list or by an answer */
	char *listed_incarnation; /* incarnation in the last list */
	enum policy_phase phase;
	bool leaving; /* reported by the list or by an answer */
	bool listed_leaving; /* in the last list */
	bool unlisted; /* not in the last list; freed when idle */
	guint64 choice_sequence; /* of its last choice by round-robin */
	guint inflight; /* attempts open from this daemon */
	double limit; /* most attempts this daemon may have open */
	guint answers_since_raise; /* good ones, while not warm */
	guint consecutive_failures;
	gint64 occupied_until_us; /* cancelled work may run there until then */
	gint64 suspended_until_us; /* no attempt until then */
	gint64 last_answer_us; /* of the last good answer, or 0 */
	gint64 peer_leaving_until_us; /* as a peer reported */
	gint64 became_cold_us; /* when a failure last made it cold, or 0 */
	double latency_us; /* moving average of the latency */
	gint64 sampled_us; /* time of its last sample */
	GHashTable *snapshots; /* ids of those that it holds, as listed */
	/* Snapshot id to the gint64 time until which it counts as not held. */
	GHashTable *denied_snapshots;
};

/** The snapshot and the shard map that all parts of one query use. */
struct policy_pin {
	char *snapshot;
	gint64 map;
	gint64 documents; /* of all shards */
	GPtrArray *shards; /* struct list_shard, owned by the pin */
	grefcount refs;
};

/**
 * policy_fleet_create - create a fleet without configuration and list
 * @self: id of this daemon
 * @zone: its availability zone
 * @counters: counters to add to
 * @seed: seed of the random number generator for choices
 *
 * Return: a new fleet, owned by the caller.
 */
struct policy_fleet *policy_fleet_create(const char *self, const char *zone,
					 struct cs_counters *counters,
					 guint32 seed);

/**
 * policy_fleet_destroy - free a fleet and its upstreams
 * @fleet: a fleet without open attempts, or NULL
 */
void policy_fleet_destroy(struct policy_fleet *fleet);

/**
 * policy_fleet_set_config - replace the configuration
 * @fleet: a fleet
 * @config: a checked configuration; the fleet takes ownership
 */
void policy_fleet_set_config(struct policy_fleet *fleet, struct config *config);

/**
 * policy_fleet_config - get the configuration in force
 * @fleet: a fleet
 *
 * Return: owned by the fleet; NULL before the first.
 */
const struct config *policy_fleet_config(const struct policy_fleet *fleet);

/**
 * policy_fleet_set_list - replace the list, if it is acceptable
 * @fleet: a fleet with a configuration
 * @list: a checked list; the fleet takes ownership, also on error
 * @read_sent_us: when the read that returned the list was sent
 * @now_us: current time
 *
 * Return: 0, CS_E_STALE for a revision not above the last one, CS_E_RANGE for a
 * list that loses a larger share of the upstreams than the configuration's
 * list_shrink_max, not counting those of evacuated zones, CS_E_NOT_READY
 * without a configuration.
 */
int policy_fleet_set_list(struct policy_fleet *fleet,
			  struct instance_list *list, gint64 read_sent_us,
			  gint64 now_us);

/**
 * policy_fleet_confirm_list - record that a read found no newer list
 * @fleet: a fleet
 * @read_sent_us: when the read was sent
 */
void policy_fleet_confirm_list(struct policy_fleet *fleet, gint64 read_sent_us);

/**
 * policy_fleet_list - get the list in force
 * @fleet: a fleet
 *
 * Return: owned by the fleet; NULL before the first.
 */
const struct instance_list *policy_fleet_list(const struct policy_fleet *fleet);

/**
 * policy_fleet_fresh - test whether the list is within its lag bound
 * @fleet: a fleet
 * @now_us: current time
 *
 * Return: true if it is; see policy_ownership_is_fresh().
 */
bool policy_fleet_fresh(const struct policy_fleet *fleet, gint64 now_us);

/**
 * policy_fleet_service - look up a service of the configuration
 * @fleet: a fleet
 * @name: its name
 *
 * Return: owned by the fleet; NULL if the configuration has no such service.
 */
struct policy_service *policy_fleet_service(struct policy_fleet *fleet,
					    const char *name);

/**
 * policy_fleet_each - visit every upstream
 * @fleet: a fleet
 * @visit: called with each upstream and @user
 * @user: passed to @visit
 */
void policy_fleet_each(struct policy_fleet *fleet,
		       void (*visit)(struct policy_upstream *upstream,
				     void *user),
		       void *user);

/**
 * policy_fleet_pin - choose the snapshot and map of a new query
 * @fleet: a fleet
 * @service: one of its services
 * @now_us: current time
 *
 * Chooses the newest snapshot of which every shard has a usable upstream. If
 * none is complete, it chooses the snapshot with the largest share of such
 * shards.
 *
 * Return: a new reference for policy_pin_unref(), or NULL if no shard of any
 * snapshot has a usable upstream.
 */
struct policy_pin *policy_fleet_pin(struct policy_fleet *fleet,
				    struct policy_service *service,
				    gint64 now_us);

/**
 * policy_pin_unref - drop a reference to a pin
 * @pin: a pin or NULL
 */
void policy_pin_unref(struct policy_pin *pin);

/** Why no upstream is available for a shard. */
enum policy_unavailable {
	POLICY_AVAILABLE, /* one is available */
	POLICY_NO_CAPACITY, /* those with the snapshot have no free slot */
	POLICY_NO_HOLDER, /* no usable upstream holds the snapshot */
};

/**
 * policy_fleet_choose - choose the upstream for one attempt
 * @fleet: a fleet
 * @service: one of its services
 * @shard: the shard to query; NULL for any, as for orders
 * @snapshot: the pinned snapshot; NULL for any, as for orders
 * @tried: array of struct policy_upstream to leave out, or NULL
 * @now_us: current time
 * @unavailable: set to the reason why none is available, or to POLICY_AVAILABLE
 *
 * Return: an upstream, or NULL if none is available.
 */
struct policy_upstream *policy_fleet_choose(
	struct policy_fleet *fleet, struct policy_service *service,
	const char *shard, const char *snapshot, const GPtrArray *tried,
	gint64 now_us, enum policy_unavailable *unavailable);

/**
 * policy_upstream_begin - count an attempt that is about to be sent
 * @upstream: the upstream, from policy_fleet_choose()
 */
void policy_upstream_begin(struct policy_upstream *upstream);

/**
 * policy_upstream_end - record the result of an attempt
 * @fleet: the fleet of the upstream
 * @upstream: the upstream; freed by the call if it is no longer listed and has
 *	no other open attempt
 * @result: result of the attempt
 * @sent_us: when the attempt was sent
 * @now_us: current time
 */
void policy_upstream_end(struct policy_fleet *fleet,
			 struct policy_upstream *upstream,
			 enum policy_result result, gint64 sent_us,
			 gint64 now_us);

/** State that an upstream reports in an answer; incarnation may be NULL. */
struct policy_upstream_report {
	const char *incarnation;
	bool draining;
	bool cold;
};

/**
 * policy_upstream_apply_report - apply the state that an upstream reports in an
 * answer
 * @fleet: the fleet of the upstream
 * @upstream: the upstream that sent the answer
 * @report: the reported state; it takes precedence over the list
 */
void policy_upstream_apply_report(struct policy_fleet *fleet,
				  struct policy_upstream *upstream,
				  const struct policy_upstream_report *report);

/**
 * policy_upstream_deny_snapshot - record that an upstream does not hold a
 * snapshot
 * @upstream: the upstream, which reported this in an answer
 * @snapshot: id of the snapshot
 * @now_us: current time; one second later the list is used again
 */
void policy_upstream_deny_snapshot(struct policy_upstream *upstream,
				   const char *snapshot, gint64 now_us);

/**
 * policy_fleet_peer_warm - apply a peer's report that an upstream is warm
 * @fleet: a fleet
 * @id: id of the upstream
 * @incarnation: incarnation that answered the peer
 * @now_us: current time
 *
 * The report is ignored for any other incarnation than the one known to this
 * daemon, and for one second after a failed attempt of this daemon made the
 * upstream cold.
 */
void policy_fleet_peer_warm(struct policy_fleet *fleet, const char *id,
			    const char *incarnation, gint64 now_us);

/**
 * policy_fleet_peer_leaving - apply a peer's report that an upstream is leaving
 * @fleet: a fleet
 * @id: id of the upstream
 * @incarnation: incarnation that is leaving; the report is ignored for another
 * @now_us: current time; the report expires after 2 s unless it is repeated
 */
void policy_fleet_peer_leaving(struct policy_fleet *fleet, const char *id,
			       const char *incarnation, gint64 now_us);

/**
 * policy_upstream_is_recently_warm - test whether an upstream recently was warm
 * @upstream: an upstream
 * @now_us: current time
 *
 * This daemon reports such upstreams to its peers.
 *
 * Return: true if it is warm and its last good answer is at most 30 s old.
 */
bool policy_upstream_is_recently_warm(const struct policy_upstream *upstream,
				      gint64 now_us);

/**
 * policy_phase_name - get the name of a phase
 * @phase: one of enum policy_phase
 *
 * Return: a static string.
 */
const char *policy_phase_name(enum policy_phase phase);

/* ---- per service ---- */

/**
 * policy_service_config - get the configuration of a service
 * @service: a service
 *
 * Return: owned by the fleet, until the next policy_fleet_set_config().
 */
const struct config_service *policy_service_config(
	const struct policy_service *service);

/**
 * policy_service_hedge_us - get the delay before a hedge is sent
 * @service: a service
 *
 * Return: microseconds after the first attempt; 0 if hedging is off or there
 * are too few answers yet.
 */
gint64 policy_service_hedge_us(const struct policy_service *service);

/**
 * policy_service_deposit - add a first attempt's share to the retry budget
 * @service: a service
 * @now_us: current time
 *
 * The budget covers retries and hedges. While the service is overloaded, the
 * budget is emptied instead, so that extra load does not add to the overload.
 */
void policy_service_deposit(struct policy_service *service, gint64 now_us);

/**
 * policy_service_withdraw - withdraw one retry or hedge from the budget
 * @service: a service
 *
 * Return: false if the budget does not allow one.
 */
bool policy_service_withdraw(struct policy_service *service);

/**
 * policy_service_admit - admit a query or order
 * @service: a service
 *
 * Return: 0, or CS_E_OVERLOAD if the number in progress has reached queue_max
 * or the service's admission window. The window shrinks when work ends under
 * overload and grows again when work ends in time.
 */
int policy_service_admit(struct policy_service *service);

/**
 * policy_service_release - end an admitted query or order
 * @service: a service
 * @overloaded: true if it shows overload: it found no upstream with a free
 *	slot, or at least half of its shards took too large a share of its time
 * @now_us: current time
 */
void policy_service_release(struct policy_service *service, bool overloaded,
			    gint64 now_us);

#endif
