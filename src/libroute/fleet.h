/* What the files of the package share. */
#ifndef ROUTE_FLEET_H
#define ROUTE_FLEET_H

#include "cuminsail/route.h"

/* Steps of a budget's window, one of them for what leaves it. */
#define ROUTE_BUDGET_STEPS 21

struct route_pool {
	struct route_fleet *fleet;
	char *name;
	TAILQ_HEAD(, route_replica) replicas;
	gint64 connections_max;
	double cold_per_s;
	gint64 budget_step; /* number of the current step of the window */
	guint asked[ROUTE_BUDGET_STEPS]; /* requests of callers */
	guint extra[ROUTE_BUDGET_STEPS]; /* retries and hedges */
};

struct route_fleet {
	char *zone;
	const char *region;
	GHashTable *regions;
	GHashTable *pools; /* name to struct route_pool */
	GHashTable *replicas; /* id to struct route_replica, listed or lapsed */
	GHashTable *evacuated; /* set of zone names */
	GHashTable *works; /* name of a route to struct route_work */
	GHashTable *round_trips; /* zone name to double, microseconds */
	struct route_table *table;
	struct route_bounds bounds;
	guint lapsed;
};

/**
 * route_expected_us - time until an idle replica's answer
 * @work: of the route
 * @replica: a replica in a pool
 * @now_us: the clock
 *
 * Return: microseconds.
 */
double route_expected_us(const struct route_work *work,
			 const struct route_replica *replica, gint64 now_us);

/**
 * route_round_trip_us - the way to a replica and back
 * @replica: a replica in a pool
 *
 * Return: microseconds.
 */
double route_round_trip_us(const struct route_replica *replica);

/**
 * route_is_overdue - whether an attempt is open so long that its replica must
 * stand still
 * @attempt: an attempt that has begun
 * @now_us: the clock
 *
 * Return: true if it is.
 */
bool route_is_overdue(const struct route_attempt *attempt, gint64 now_us);

/**
 * route_failure_rate - how often a replica fails just now
 * @replica: a replica
 * @now_us: the clock
 *
 * Return: 0 to 1.
 */
double route_failure_rate(const struct route_replica *replica, gint64 now_us);

#endif
