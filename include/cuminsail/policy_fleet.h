/**
 * policy_fleet.h - what a daemon knows of upstreams, and whom it may ask
 *
 * Pure: no input or output, no clock of its own. The configuration, the list
 * and the upstreams' own answers go in; the choice of an upstream comes out.
 */
#ifndef CUMINSAIL_POLICY_FLEET_H
#define CUMINSAIL_POLICY_FLEET_H

#include "cuminsail/config.h"
#include "cuminsail/counters.h"
#include "cuminsail/policy_owner.h"

#include <sys/queue.h>

/** How much load an upstream may be given. */
enum policy_phase {
	POLICY_UNKNOWN, /* never seen: treated as cold */
	POLICY_COLD, /* just started: only its owner sends, to the limit */
	POLICY_WARMING, /* only its owner sends, the limit grows */
	POLICY_WARM, /* every daemon sends */
};

/** What became of one attempt at one upstream. */
enum policy_result {
	POLICY_DONE, /* a valid answer in time */
	POLICY_UNSENT, /* no byte of the request left this daemon */
	POLICY_REFUSED, /* the upstream proved that it did not run */
	POLICY_LACKS, /* the same, for it does not hold the snapshot */
	POLICY_MOVED, /* the same, for it is another incarnation than asked */
	POLICY_LOST, /* sent, then reset, truncated or refused unproven */
	POLICY_TIMEOUT, /* sent, no answer inside the time */
	POLICY_BAD, /* an answer that does not belong or is malformed */
	POLICY_DROPPED, /* cancelled by this daemon: says nothing */
	POLICY_WITHDRAWN, /* the same, before anyone was told to send it */
};

struct policy_fleet;
struct policy_service;

/** One upstream replica. Read-only outside the policy. */
struct policy_upstream {
	TAILQ_ENTRY(policy_upstream) link;
	struct policy_service *service;
	char *id;
	char *shard;
	char *zone;
	char *address;
	char *incarnation; /* by the list or by its own word */
	char *listed; /* incarnation in the last list */
	enum policy_phase phase;
	bool leaving; /* by the list or by its own word */
	bool listed_leaving; /* in the last list */
	bool gone; /* no longer listed; freed when idle */
	guint64 turn; /* of the last choice by turns */
	guint inflight; /* attempts open from this daemon */
	double limit; /* attempts this daemon may have open */
	guint good_run; /* good answers since the last step */
	guint fail_run; /* failures in a row */
	gint64 occupied_us; /* until then cancelled work may still run there */
	gint64 suspended_us; /* no attempt before this time */
	gint64 good_us; /* last good answer while warm, or 0 */
	gint64 peer_leaving_us; /* until then a peer's word says leaving */
	gint64 relapsed_us; /* last turn to cold, or 0 */
	double latency_us; /* moving average */
	gint64 sampled_us; /* when it last moved */
	GHashTable *snapshots; /* char * held, by the list or its answers */
	GHashTable *denied; /* char * to gint64: not held until then */
};

/** A pair of snapshot and shard map that one query keeps to. */
struct policy_pin {
	char *snapshot;
	gint64 map;
	gint64 documents;
	GPtrArray *shards; /* struct list_shard, shared with the fleet's list */
	grefcount refs;
};

/**
 * policy_fleet_create - an empty picture
 * @self: id of this daemon
 * @zone: its availability zone
 * @counters: where to count
 * @seed: seed of the random choices
 *
 * Return: a new fleet, owned by the caller.
 */
struct policy_fleet *policy_fleet_create(const char *self, const char *zone,
					 struct cs_counters *counters,
					 guint32 seed);

/**
 * policy_fleet_destroy - free a picture
 * @fleet: a fleet without open attempts, or NULL
 */
void policy_fleet_destroy(struct policy_fleet *fleet);

/**
 * policy_fleet_set_config - take up a checked configuration
 * @fleet: a fleet
 * @config: the configuration; the fleet becomes its owner
 */
void policy_fleet_set_config(struct policy_fleet *fleet, struct config *config);

/**
 * policy_fleet_config - the configuration in force
 * @fleet: a fleet
 *
 * Return: owned by the fleet; NULL before the first.
 */
const struct config *policy_fleet_config(const struct policy_fleet *fleet);

/**
 * policy_fleet_set_list - take up a list, or hold it back
 * @fleet: a fleet with a configuration
 * @list: a checked list; the fleet becomes its owner
 * @asked_us: when the read that brought it was sent
 * @now_us: the clock
 *
 * Return: 0, CS_E_STALE for a revision not above the last, CS_E_RANGE for a
 * list that lost more upstreams at once than the configuration allows,
 * CS_E_NOT_READY without a configuration.
 */
int policy_fleet_set_list(struct policy_fleet *fleet, struct list *list,
			  gint64 asked_us, gint64 now_us);

/**
 * policy_fleet_confirm_list - a read found no list newer than the last
 * @fleet: a fleet
 * @asked_us: when the read was sent
 */
void policy_fleet_confirm_list(struct policy_fleet *fleet, gint64 asked_us);

/**
 * policy_fleet_list - the list in force
 * @fleet: a fleet
 *
 * Return: owned by the fleet; NULL before the first.
 */
const struct list *policy_fleet_list(const struct policy_fleet *fleet);

/**
 * policy_fleet_fresh - whether the list is inside its lag bound
 * @fleet: a fleet
 * @now_us: the clock
 *
 * Return: true if it is.
 */
bool policy_fleet_fresh(const struct policy_fleet *fleet, gint64 now_us);

/**
 * policy_fleet_service - look up a service that has a configuration
 * @fleet: a fleet
 * @name: its name
 *
 * Return: owned by the fleet; NULL if there is none.
 */
struct policy_service *policy_fleet_service(struct policy_fleet *fleet,
					    const char *name);

/**
 * policy_fleet_each - visit every upstream
 * @fleet: a fleet
 * @visit: called with each upstream and @user
 * @user: passed on
 */
void policy_fleet_each(struct policy_fleet *fleet,
		       void (*visit)(struct policy_upstream *upstream,
				     void *user),
		       void *user);

/**
 * policy_fleet_pin - the pair that a new query is pinned to
 * @fleet: a fleet
 * @service: one of its services
 * @now_us: the clock
 *
 * The newest snapshot of which every shard has an upstream that may be asked;
 * if none is complete, the one that covers most.
 *
 * Return: a new reference for policy_pin_unref(), or NULL if no snapshot has
 * any shard to ask.
 */
struct policy_pin *policy_fleet_pin(struct policy_fleet *fleet,
				    struct policy_service *service,
				    gint64 now_us);

/**
 * policy_pin_unref - give a pin back
 * @pin: a pin or NULL
 */
void policy_pin_unref(struct policy_pin *pin);

/** Why no upstream can be given for a shard. */
enum policy_lack {
	POLICY_LACK_NONE, /* one was given */
	POLICY_LACK_ROOM, /* some hold the snapshot, all are full */
	POLICY_LACK_HOLDER, /* none that may be asked holds the snapshot */
};

/**
 * policy_fleet_choose - choose the upstream for one attempt
 * @fleet: a fleet
 * @service: one of its services
 * @shard: the shard to ask; NULL for any, as orders do
 * @snapshot: the pinned snapshot; NULL for any, as orders do
 * @tried: array of struct policy_upstream not to be asked again, or NULL
 * @now_us: the clock
 * @lack: where to put why there is none
 *
 * Return: an upstream, or NULL with @lack set.
 */
struct policy_upstream *policy_fleet_choose(
	struct policy_fleet *fleet, struct policy_service *service,
	const char *shard, const char *snapshot, const GPtrArray *tried,
	gint64 now_us, enum policy_lack *lack);

/**
 * policy_upstream_begin - an attempt is about to be sent
 * @upstream: as chosen
 */
void policy_upstream_begin(struct policy_upstream *upstream);

/**
 * policy_upstream_end - an attempt is over
 * @fleet: the fleet of the upstream
 * @upstream: may be freed by the call
 * @result: what became of it
 * @sent_us: when it was sent
 * @now_us: the clock
 */
void policy_upstream_end(struct policy_fleet *fleet,
			 struct policy_upstream *upstream,
			 enum policy_result result, gint64 sent_us,
			 gint64 now_us);

/** What an upstream says of itself in an answer; members may be NULL. */
struct policy_word {
	const char *incarnation;
	bool draining;
	bool cold;
};

/**
 * policy_upstream_heard - take an upstream's own word, which outranks the list
 * @fleet: the fleet of the upstream
 * @upstream: who said it
 * @word: what it said
 */
void policy_upstream_heard(struct policy_fleet *fleet,
			   struct policy_upstream *upstream,
			   const struct policy_word *word);

/**
 * policy_upstream_deny - an upstream showed that it lacks a snapshot
 * @upstream: who
 * @snapshot: which
 * @now_us: the clock; the list is believed again a second later
 */
void policy_upstream_deny(struct policy_upstream *upstream,
			  const char *snapshot, gint64 now_us);

/**
 * policy_fleet_peer_warm - a peer saw an upstream answer warm
 * @fleet: a fleet
 * @id: the upstream's id
 * @incarnation: the incarnation that the peer saw
 * @now_us: the clock
 *
 * Ignored for another incarnation than the one known here, and shortly after
 * this daemon itself found the upstream cold.
 */
void policy_fleet_peer_warm(struct policy_fleet *fleet, const char *id,
			    const char *incarnation, gint64 now_us);

/**
 * policy_fleet_peer_leaving - a peer knows an upstream to be leaving
 * @fleet: a fleet
 * @id: the upstream's id
 * @incarnation: the incarnation that leaves; another one is not touched
 * @now_us: the clock; the word holds for 2 s unless it is repeated
 */
void policy_fleet_peer_leaving(struct policy_fleet *fleet, const char *id,
			       const char *incarnation, gint64 now_us);

/**
 * policy_upstream_warm_lately - whether peers should be told that it is warm
 * @upstream: an upstream
 * @now_us: the clock
 *
 * Return: true if it is warm and gave a good answer in the last 30 s.
 */
bool policy_upstream_warm_lately(const struct policy_upstream *upstream,
				 gint64 now_us);

/**
 * policy_phase_name - printable name of a phase
 * @phase: one of enum policy_phase
 *
 * Return: a static string.
 */
const char *policy_phase_name(enum policy_phase phase);

/* ---- per service ---- */

/**
 * policy_service_config - how the service may be asked
 * @service: a service
 *
 * Return: owned by the fleet, until the next policy_fleet_set_config().
 */
const struct config_service *policy_service_config(
	const struct policy_service *service);

/**
 * policy_service_hedge_us - when a second upstream is worth asking
 * @service: a service
 *
 * Return: microseconds after the first attempt; 0 if hedging is off or there
 * are too few answers yet.
 */
gint64 policy_service_hedge_us(const struct policy_service *service);

/**
 * policy_service_earn - a first attempt earns its share of extra load
 * @service: a service
 * @now_us: the clock; nothing is earned while the service is pressed
 */
void policy_service_earn(struct policy_service *service, gint64 now_us);

/**
 * policy_service_spend - ask for one retry or hedge
 * @service: a service
 *
 * Return: true if the budget had one.
 */
bool policy_service_spend(struct policy_service *service);

/**
 * policy_service_enter - a query or order asks to begin
 * @service: a service
 *
 * Return: 0, or CS_E_OVERLOAD when the service's queue_max, or as many as have
 * lately ended in good time, are in progress.
 */
int policy_service_enter(struct policy_service *service);

/**
 * policy_service_leave - a query or order that had entered is over
 * @service: a service
 * @pressed: it lacked room, or most of it took too much of its time
 * @now_us: the clock
 */
void policy_service_leave(struct policy_service *service, bool pressed,
			  gint64 now_us);

#endif
