/* Token buckets. */
#include "cuminsail/route_limit.h"

/* Highest level of a bucket that starts. */
#define START_MAX 0.99

/* Allows for the rounding of the refills. */
#define TOKEN_EPSILON 1e-6

void route_bucket_start(struct route_bucket *bucket, gint64 now_us)
{
	*bucket = (struct route_bucket){.tokens = START_MAX * g_random_double(),
					.refilled_us = now_us};
}

gint64 route_bucket_fill_time_us(const struct route_bucket_rate *rate,
				 double tokens)
{
	double us = tokens / rate->per_s * CS_US_PER_S;

	return (gint64)MIN(us, ROUTE_FILL_TIME_MAX_US);
}

/* An unused bucket is full for its lifetime, fills again, and so on. */
static void expire(struct route_bucket *bucket,
		   const struct route_bucket_rate *rate, gint64 now_us)
{
	gint64 cycle_us = ROUTE_BUCKET_LIFETIME_US +
			  route_bucket_fill_time_us(rate, rate->capacity);
	gint64 phase_us = (now_us - bucket->full_us) % cycle_us;

	if (phase_us <= ROUTE_BUCKET_LIFETIME_US) {
		bucket->full_us = now_us - phase_us;
		return;
	}
	bucket->tokens = (double)(phase_us - ROUTE_BUCKET_LIFETIME_US) /
			 CS_US_PER_S * rate->per_s;
	bucket->full_us = 0;
}

void route_bucket_refill(struct route_bucket *bucket,
			 const struct route_bucket_rate *rate, gint64 now_us)
{
	gint64 elapsed_us =
		bucket->refilled_us ? now_us - bucket->refilled_us : 0;

	if (rate->per_s <= 0) {
		route_bucket_start(bucket, now_us);
		return;
	}
	bucket->refilled_us = now_us;
	if (!bucket->full_us) {
		bucket->tokens +=
			rate->per_s * (double)elapsed_us / CS_US_PER_S;
		if (bucket->tokens >= rate->capacity)
			bucket->full_us =
				now_us -
				route_bucket_fill_time_us(
					rate, bucket->tokens - rate->capacity);
	}
	bucket->tokens = MIN(bucket->tokens, rate->capacity);
	if (bucket->full_us &&
	    route_bucket_fill_time_us(rate, 1) > ROUTE_BUCKET_LIFETIME_US)
		expire(bucket, rate, now_us);
}

bool route_bucket_ready(const struct route_bucket *bucket)
{
	return bucket->tokens >= 1 - TOKEN_EPSILON;
}

void route_bucket_take(struct route_bucket *bucket)
{
	bucket->tokens = MAX(bucket->tokens - 1, 0);
	bucket->full_us = 0;
}
