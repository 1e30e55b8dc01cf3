/**
 * route_limit.h - division of a rate limit over daemons that share no state
 *
 * A limit holds for all daemons together. Each daemon sends at most its own
 * fraction of it, which it enforces with a token bucket. The package does no
 * I/O and reads no clock.
 */
#ifndef CUMINSAIL_ROUTE_LIMIT_H
#define CUMINSAIL_ROUTE_LIMIT_H

#include "cuminsail/clock.h"

#include <glib.h>
#include <stdbool.h>

/** Token bucket; zero-initialised it is empty. */
struct route_bucket {
	double tokens; /* requests that may be sent now */
	gint64 refilled_us; /* 0: never */
	gint64 full_us; /* when it became full; 0: it is not */
};

/** How a token bucket fills. */
struct route_bucket_rate {
	double per_s;
	double capacity; /* tokens that it holds at most */
};

/** How long a bucket that fills more slowly keeps its token. It then starts
 * empty again, so that of many such buckets only some are full at any moment.
 */
#define ROUTE_BUCKET_LIFETIME_US (2 * CS_US_PER_S)

/**
 * route_bucket_start - set a bucket to a random level below one token
 * @bucket: a bucket
 * @now_us: current time
 *
 * The buckets of daemons that start at the same moment are then not full at the
 * same moment.
 */
void route_bucket_start(struct route_bucket *bucket, gint64 now_us);

/**
 * route_bucket_refill - add the tokens since the last refill
 * @bucket: a bucket
 * @rate: rate since then; its capacity is at least 1. With a rate of 0 the
 *	bucket starts again.
 * @now_us: current time
 */
void route_bucket_refill(struct route_bucket *bucket,
			 const struct route_bucket_rate *rate, gint64 now_us);

/** Longest fill time, 31 years: sums with a clock time do not overflow. */
#define ROUTE_FILL_TIME_MAX_US 1e15

/**
 * route_bucket_fill_time_us - time in which a bucket gets a number of tokens
 * @rate: a rate above 0
 * @tokens: the number
 *
 * Return: microseconds, up to ROUTE_FILL_TIME_MAX_US.
 */
gint64 route_bucket_fill_time_us(const struct route_bucket_rate *rate,
				 double tokens);

/**
 * route_bucket_ready - whether a request may be sent
 * @bucket: a bucket that was refilled
 *
 * Return: true if it holds a token.
 */
bool route_bucket_ready(const struct route_bucket *bucket);

/**
 * route_bucket_take - remove one token
 * @bucket: a bucket; one that holds no token stays empty
 */
void route_bucket_take(struct route_bucket *bucket);

/** Position of a daemon among those that divide the limits of a region's
 * replicas. Daemons in the region are near, all others are far. */
struct route_place {
	bool near;
	guint position; /* in its group; 0 is the first */
	guint n_near; /* size of the groups, this daemon included */
	guint n_far;
};

/**
 * route_place_fraction - a daemon's fraction of a rate limit
 * @place: position of the daemon
 * @per_s: the limit, requests/s
 *
 * The near daemons divide most of the limit, the far ones the rest. In each
 * group only the first daemons get a fraction, so many that each may send one
 * request a second or more: a bucket holds at least one request, and with more
 * buckets the sum of a short burst would exceed the limit.
 *
 * Return: 0 to 1; the fractions of all positions add up to 1.
 */
double route_place_fraction(const struct route_place *place, double per_s);

/** The daemons that divide the limits, as one daemon knows them. */
struct route_members;

/** Time in which each seed has called every other one. A new daemon has no
 * place before, and a daemon that was not seen for longer counts as silent. */
#define ROUTE_MEMBERS_SETTLE_US (7 * CS_US_PER_S)

/**
 * route_members_create - create an empty set
 * @now_us: current time
 *
 * Return: a new set.
 */
struct route_members *route_members_create(gint64 now_us);

/**
 * route_members_destroy - free a set
 * @members: a set or NULL
 */
void route_members_destroy(struct route_members *members);

/**
 * route_members_seen - record that a daemon is up
 * @members: a set
 * @hash: hash of the daemon's address
 * @region: region of the daemon; "" if its zone has none
 * @now_us: current time
 */
void route_members_seen(struct route_members *members, guint32 hash,
			const char *region, gint64 now_us);

/** A daemon that is silent, as one seed tells another. */
struct route_silent {
	guint32 hash;
	gint64 silent_us; /* since when, before now */
	bool displaced; /* its place was given to others */
};

/**
 * route_members_each_silent - visit the daemons that were not seen lately
 * @members: a set
 * @now_us: current time
 * @visit: called with each daemon, its region and @user
 * @user: passed to @visit
 */
void route_members_each_silent(struct route_members *members, gint64 now_us,
			       void (*visit)(const struct route_silent *silent,
					     const char *region, void *user),
			       void *user);

/**
 * route_members_told_silent - record a silent daemon that another seed knows
 * @members: a set
 * @silent: the daemon
 * @region: region of the daemon; "" if its zone has none
 * @now_us: current time
 *
 * A seed that has started during a cut would otherwise know the daemons of its
 * own side only, and give them the places of all.
 */
void route_members_told_silent(struct route_members *members,
			       const struct route_silent *silent,
			       const char *region, gint64 now_us);

/**
 * route_members_told_sizes - record how many daemons divided a region's limits
 * @members: a set
 * @region: region of the replicas
 * @n_near: near daemons that a daemon was told of when it got its last place
 * @n_far: far daemons
 *
 * In the first ten minutes of a set it may not know the daemons on the other
 * side of a cut. Places then are those among this many daemons at least.
 */
void route_members_told_sizes(struct route_members *members, const char *region,
			      guint n_near, guint n_far);

/**
 * route_members_expire - remove daemons that have been silent for long
 * @members: a set
 * @now_us: current time
 *
 * A silent daemon is kept for 60 s if most daemons of its region are up, else
 * for 10 minutes: its region may be split, and it may still send.
 */
void route_members_expire(struct route_members *members, gint64 now_us);

/**
 * route_members_set_contact - record how many seeds are up
 * @members: the set of a seed
 * @n_up: seeds that have called this one lately, and this one
 * @n_seeds: all seeds
 * @now_us: current time
 *
 * A seed without contact with most seeds may be on the smaller side of a cut
 * and not know of all daemons on the other side. It assigns no places then, nor
 * for 7 s afterwards.
 */
void route_members_set_contact(struct route_members *members, guint n_up,
			       guint n_seeds, gint64 now_us);

/**
 * route_members_place - a daemon's place for the replicas of a region
 * @members: a set
 * @hash: hash of the daemon's address
 * @region: region of the replicas; "" for zones without one
 * @now_us: current time
 * @place: where to put the place
 *
 * Return: false without contact, for the first 7 s of the set or of the daemon
 * in it, and for an unknown daemon; @place is not set then.
 */
bool route_members_place(struct route_members *members, guint32 hash,
			 const char *region, gint64 now_us,
			 struct route_place *place);

/** Rate limit that a replica names in its answers. */
struct route_limit {
	double per_s; /* requests/s from all daemons together; 0: none */
	gint64 observed_us; /* receipt of the newest answer that tells; 0: never
			     */
	struct route_bucket bucket; /* for this daemon's fraction */
	bool unreported; /* observed by this daemon since its last report */
	gint64 logged_us; /* last log line; kept by the owner */
};

#endif
