/**
 * route_limit.h - division of a rate limit over daemons that share no state
 *
 * A limit holds for all daemons together. Each daemon sends at most its own
 * fraction of it, which it enforces with a token bucket. The package does no
 * I/O and reads no clock.
 */
#ifndef CUMINSAIL_ROUTE_LIMIT_H
#define CUMINSAIL_ROUTE_LIMIT_H

#include <glib.h>
#include <stdbool.h>

/** Token bucket; zero-initialised it is empty. */
struct route_bucket {
	double tokens; /* requests that may be sent now */
	gint64 refilled_us; /* 0: never */
};

/**
 * route_bucket_refill - add the tokens since the last refill
 * @bucket: a bucket
 * @per_s: tokens a second
 * @capacity: tokens that it holds at most
 * @now_us: current time
 */
void route_bucket_refill(struct route_bucket *bucket, double per_s,
			 double capacity, gint64 now_us);

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

/** Rate limit that a replica names in its answers. */
struct route_limit {
	double per_s; /* requests/s from all daemons together; 0: none */
	gint64 observed_us; /* receipt of the newest answer that tells; 0: never
			     */
	struct route_bucket bucket; /* for this daemon's fraction */
};

#endif
