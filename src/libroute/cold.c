/*
 * Limits the requests to a cold replica to this daemon's part of what all may
 * send in any second: a token bucket for the rate, as a part may be less than a
 * request a second, and a sliding window, as a full bucket and its refill would
 * give twice the part in one second.
 */
#include "fleet.h"

#define INTERVAL_US (CS_US_PER_S / (ROUTE_COLD_INTERVALS - 1))

/* Requests per second that this daemon may send to a cold replica. */
static double part_per_s(const struct route_pool *pool)
{
	const struct route_bounds *bounds = &pool->fleet->bounds;

	return pool->cold_per_s * bounds->cold_overrun / bounds->daemons;
}

/* Clears the counts of the intervals that began since the last call. */
static void advance_window(struct route_cold *cold, gint64 now_us)
{
	gint64 current = now_us / INTERVAL_US;
	gint64 elapsed = MIN(current - cold->interval, ROUTE_COLD_INTERVALS);

	for (gint64 i = 0; i < elapsed; i++)
		cold->sent[(current - i) % ROUTE_COLD_INTERVALS] = 0;
	cold->interval = current;
}

/* The oldest interval is partly outside the last second and counts as well. */
static guint sent_in_last_second(struct route_cold *cold, gint64 now_us)
{
	guint n = 0;

	advance_window(cold, now_us);
	for (guint i = 0; i < ROUTE_COLD_INTERVALS; i++)
		n += cold->sent[i];
	return n;
}

bool route_cold_allows(const struct route_pool *pool,
		       struct route_replica *replica, gint64 now_us)
{
	struct route_cold *cold = &replica->cold;
	struct route_bucket_rate rate = {part_per_s(pool), 0};

	if (pool->cold_per_s <= 0 || replica->cold_until_us <= now_us)
		return true;
	rate.capacity = MAX(rate.per_s, 1);
	route_bucket_refill(&cold->bucket, &rate, now_us);
	return route_bucket_ready(&cold->bucket) &&
	       sent_in_last_second(cold, now_us) < (guint)rate.capacity;
}

void route_cold_take(struct route_replica *replica, gint64 now_us)
{
	struct route_cold *cold = &replica->cold;

	if (replica->cold_until_us <= now_us)
		return;
	advance_window(cold, now_us);
	cold->sent[cold->interval % ROUTE_COLD_INTERVALS]++;
	route_bucket_take(&cold->bucket);
}
