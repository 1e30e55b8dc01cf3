/*
 * Limits the extra load, which is retries and hedges, to a share of the
 * callers' requests in a sliding window.
 */
#include "fleet.h"

/* Shares of the budget that are reserved for more important purposes. A reserve
 * of a half stopped the hedges of large deployments while one replica in five
 * was slow. */
#define RETRY_OPTIONAL_RESERVE 0.125
#define HEDGE_RESERVE	       0.25

/* Share of the allowed ratio that is used. The rest is a margin for requests
 * that reach a replica in another window than the one they are counted in. */
#define RATIO_USE 0.9

/* Move the window to the current time: clear the counts of each interval that
 * began since the last call. */
static void advance_window(struct route_pool *pool, gint64 now_us)
{
	gint64 interval_us = pool->fleet->bounds.budget_window_us /
			     (ROUTE_BUDGET_INTERVALS - 1);
	gint64 current = now_us / MAX(interval_us, 1);
	gint64 elapsed =
		MIN(current - pool->budget_interval, ROUTE_BUDGET_INTERVALS);

	for (gint64 i = 0; i < elapsed; i++) {
		guint at = (guint)((current - i) % ROUTE_BUDGET_INTERVALS);

		pool->requests[at] = 0;
		pool->extra[at] = 0;
	}
	pool->budget_interval = current;
}

void route_pool_deposit(struct route_pool *pool, gint64 now_us)
{
	advance_window(pool, now_us);
	pool->requests[pool->budget_interval % ROUTE_BUDGET_INTERVALS]++;
}

double route_pool_budget(struct route_pool *pool, gint64 now_us)
{
	const struct route_bounds *bounds = &pool->fleet->bounds;
	guint requests = 0;
	guint extra = 0;
	guint oldest;

	advance_window(pool, now_us);
	/* The oldest interval is partly outside the window. Its extra requests
	 * count, its callers' requests do not, so that the limit holds. */
	oldest = (guint)((pool->budget_interval + 1) % ROUTE_BUDGET_INTERVALS);
	for (guint i = 0; i < ROUTE_BUDGET_INTERVALS; i++) {
		requests += i == oldest ? 0 : pool->requests[i];
		extra += pool->extra[i];
	}
	return bounds->budget_ratio * RATIO_USE * requests +
	       bounds->budget_slack / bounds->daemons - extra;
}

static double reserve_for(enum route_extra extra)
{
	switch (extra) {
	case ROUTE_RETRY_REQUIRED:
		break;
	case ROUTE_RETRY_OPTIONAL:
		return RETRY_OPTIONAL_RESERVE;
	case ROUTE_HEDGE:
		return HEDGE_RESERVE;
	}
	return 0;
}

bool route_pool_withdraw(struct route_pool *pool, enum route_extra extra,
			 gint64 now_us)
{
	double available = route_pool_budget(pool, now_us);
	guint at = (guint)(pool->budget_interval % ROUTE_BUDGET_INTERVALS);
	double used = 0;

	for (guint i = 0; i < ROUTE_BUDGET_INTERVALS; i++)
		used += pool->extra[i];
	available -= reserve_for(extra) * (available + used);
	if (available < 1)
		return false;
	pool->extra[at]++;
	return true;
}

void route_pool_refund(struct route_pool *pool, gint64 now_us)
{
	guint at;

	advance_window(pool, now_us);
	at = (guint)(pool->budget_interval % ROUTE_BUDGET_INTERVALS);
	if (pool->extra[at])
		pool->extra[at]--;
}
