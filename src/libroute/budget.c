/* Extra load: retries and hedges, bounded over a sliding window. */
#include "fleet.h"

/* Shares of the allowance that are left to what is needed more. A half stopped
 * the hedges of large deployments while one replica in five was slow. */
#define BETTER_RESERVE 0.125
#define HEDGE_RESERVE  0.25

/* Share of the allowed ratio that is used: the rest covers requests that reach
 * a replica in another window than the one they are counted in here. */
#define RATIO_USE 0.9

/* Moves the window to now. A step holds what began in one span of time. */
static void advance(struct route_pool *pool, gint64 now_us)
{
	gint64 span_us =
		pool->fleet->bounds.budget_window_us / (ROUTE_BUDGET_STEPS - 1);
	gint64 step = now_us / MAX(span_us, 1);
	gint64 passed = MIN(step - pool->budget_step, ROUTE_BUDGET_STEPS);

	for (gint64 i = 0; i < passed; i++) {
		guint at = (guint)((step - i) % ROUTE_BUDGET_STEPS);

		pool->asked[at] = 0;
		pool->extra[at] = 0;
	}
	pool->budget_step = step;
}

void route_pool_earn(struct route_pool *pool, gint64 now_us)
{
	advance(pool, now_us);
	pool->asked[pool->budget_step % ROUTE_BUDGET_STEPS]++;
}

double route_pool_budget(struct route_pool *pool, gint64 now_us)
{
	const struct route_bounds *bounds = &pool->fleet->bounds;
	guint asked = 0;
	guint extra = 0;
	guint oldest;

	advance(pool, now_us);
	/* The oldest step lies partly outside: it counts against, not for. */
	oldest = (guint)((pool->budget_step + 1) % ROUTE_BUDGET_STEPS);
	for (guint i = 0; i < ROUTE_BUDGET_STEPS; i++) {
		asked += i == oldest ? 0 : pool->asked[i];
		extra += pool->extra[i];
	}
	return bounds->budget_ratio * RATIO_USE * asked +
	       bounds->budget_slack / bounds->daemons - extra;
}

static double reserve_for(enum route_extra extra)
{
	switch (extra) {
	case ROUTE_RETRY_NEEDED:
		break;
	case ROUTE_RETRY_BETTER:
		return BETTER_RESERVE;
	case ROUTE_HEDGE:
		return HEDGE_RESERVE;
	}
	return 0;
}

bool route_pool_spend(struct route_pool *pool, enum route_extra extra,
		      gint64 now_us)
{
	double left = route_pool_budget(pool, now_us);
	guint at = (guint)(pool->budget_step % ROUTE_BUDGET_STEPS);
	double spent = 0;

	for (guint i = 0; i < ROUTE_BUDGET_STEPS; i++)
		spent += pool->extra[i];
	left -= reserve_for(extra) * (left + spent);
	if (left < 1)
		return false;
	pool->extra[at]++;
	return true;
}

void route_pool_refund(struct route_pool *pool, gint64 now_us)
{
	guint at;

	advance(pool, now_us);
	at = (guint)(pool->budget_step % ROUTE_BUDGET_STEPS);
	if (pool->extra[at])
		pool->extra[at]--;
}
