/* Declarations shared by the files of the package. */
#ifndef ROUTE_FLEET_H
#define ROUTE_FLEET_H

#include "cuminsail/route.h"

/*
 * Intervals that a budget's sliding window is counted in: 20 that cover the
 * window, and one for the oldest, which is partly outside.
 */
#define ROUTE_BUDGET_INTERVALS 21

/* Limit on the slowness of one answer in reports to other daemons. */
#define ROUTE_REPORTED_SLOWNESS_MAX 20.0

struct route_pool {
	struct route_fleet *fleet;
	char *name;
	TAILQ_HEAD(, route_replica) replicas;
	gint64 connections_max;
	double cold_per_s;
	gint64 budget_interval; /* number of the current interval */
	/* Counts of each interval, at its number modulo the array size. */
	guint requests[ROUTE_BUDGET_INTERVALS]; /* requests of callers */
	guint extra[ROUTE_BUDGET_INTERVALS]; /* retries and hedges */
};

/* This daemon's place for the replicas of a region. */
struct route_told_place {
	struct route_place place;
	gint64 told_us;
};

/* What a replica that is no longer listed said of itself: it may be listed
 * again without a new start. */
struct route_kept_notice {
	struct sockaddr_in address;
	gint64 incarnation;
	gint64 sequence; /* of its last entry */
	struct route_notice notice;
	gint64 kept_us; /* since when */
};

struct route_fleet {
	char *zone;
	const char *region;
	GHashTable *regions;
	GHashTable *pools; /* name to struct route_pool */
	GHashTable *replicas; /* id to struct route_replica, listed or lapsed */
	GHashTable *evacuated; /* set of zone names */
	GHashTable *work_by_route; /* name of a route to struct route_work */
	GHashTable *round_trips; /* zone name to double, microseconds */
	TAILQ_HEAD(, route_replica) limited; /* have named a rate limit */
	GHashTable *places; /* region name to struct route_told_place */
	struct route_table *table;
	struct route_bounds bounds;
	guint n_lapsed; /* replicas kept although no longer listed */
	/* Replicas whose entries lapse before this are held: the list could not
	 * be read lately. G_MAXINT64 while it cannot. */
	gint64 hold_until_us;
	GHashTable *notices; /* id to struct route_kept_notice */
};

/**
 * route_expected_us - expected time to the answer of an idle replica
 * @work: processing time of the route
 * @replica: a replica in a pool
 * @now_us: current time
 *
 * Return: microseconds, including the round trip.
 */
double route_expected_us(const struct route_work *work,
			 const struct route_replica *replica, gint64 now_us);

/**
 * route_round_trip_us - network round trip time to a replica
 * @replica: a replica in a pool
 *
 * Return: microseconds; a default for the distance until it was measured.
 */
double route_round_trip_us(const struct route_replica *replica);

/**
 * route_is_overdue - whether an attempt is open for so much longer than
 * expected that its replica counts as stalled
 * @attempt: an attempt that has begun
 * @now_us: current time
 *
 * Return: true if it is overdue.
 */
bool route_is_overdue(const struct route_attempt *attempt, gint64 now_us);

/**
 * route_failure_rate - estimated share of a replica's attempts that fail
 * @replica: a replica
 * @now_us: current time
 *
 * Return: 0 to 1; the last estimate, decayed by its age.
 */
double route_failure_rate(const struct route_replica *replica, gint64 now_us);

/**
 * route_cold_allows - whether a replica may get a request from this daemon now,
 * as far as it is cold
 * @pool: its pool
 * @replica: a replica
 * @now_us: current time
 *
 * Return: true also if the replica is not cold, or its service has no bound.
 */
bool route_cold_allows(const struct route_pool *pool,
		       struct route_replica *replica, gint64 now_us);

/**
 * route_cold_take - count a request to a replica if it is cold
 * @replica: a replica
 * @now_us: current time
 */
void route_cold_take(struct route_replica *replica, gint64 now_us);

/**
 * route_limit_allows - whether a replica's rate limit allows a request from
 * this daemon now
 * @replica: a replica in a pool
 * @now_us: current time
 *
 * Return: true also if the replica has no rate limit.
 */
bool route_limit_allows(struct route_replica *replica, gint64 now_us);

/**
 * route_limit_wait_us - time until a replica's rate limit allows a request
 * @replica: a replica in a pool
 * @now_us: current time
 *
 * Return: microseconds; 0 if it allows one now, G_MAXINT64 if this daemon has
 * no part of the limit.
 */
gint64 route_limit_wait_us(struct route_replica *replica, gint64 now_us);

/**
 * route_rest_wait_us - time until a replica's rest ends
 * @replica: a replica
 * @now_us: current time
 *
 * Return: microseconds; 0 if it does not rest.
 */
gint64 route_rest_wait_us(const struct route_replica *replica, gint64 now_us);

/**
 * route_notice_answered - handle a good answer of a replica
 * @replica: a replica
 * @sent_us: when its request was sent
 */
void route_notice_answered(struct route_replica *replica, gint64 sent_us);

/**
 * route_notice_keep - keep what a replica said while it is not listed
 * @replica: a replica that is removed from its fleet
 * @now_us: current time
 */
void route_notice_keep(struct route_replica *replica, gint64 now_us);

/**
 * route_notice_restore - take up what a replica said before it was removed
 * @replica: a replica that is listed again
 *
 * Nothing is taken up if the entry is of a new start.
 */
void route_notice_restore(struct route_replica *replica);

/**
 * route_notice_check_start - forget what a replica said if it has started again
 * @replica: a listed replica
 * @entry: its new entry, of the same incarnation as far as it names one
 */
void route_notice_check_start(struct route_replica *replica,
			      const struct route_entry *entry);

#endif
