/* Token buckets. */
#include "cuminsail/clock.h"
#include "cuminsail/route_limit.h"

/* Allows for the rounding of the refills. */
#define TOKEN_EPSILON 1e-6

void route_bucket_refill(struct route_bucket *bucket, double per_s,
			 double capacity, gint64 now_us)
{
	if (bucket->refilled_us)
		bucket->tokens += per_s *
				  (double)(now_us - bucket->refilled_us) /
				  CS_US_PER_S;
	bucket->tokens = MIN(bucket->tokens, capacity);
	bucket->refilled_us = now_us;
}

bool route_bucket_ready(const struct route_bucket *bucket)
{
	return bucket->tokens >= 1 - TOKEN_EPSILON;
}

void route_bucket_take(struct route_bucket *bucket)
{
	bucket->tokens = MAX(bucket->tokens - 1, 0);
}
