/* Parts that are late against the other parts of their query. */
#include "unit.h"

#include "cuminsail/route_pace.h"

#include <math.h>

enum { SHARDS = 90 };

/* Return: share of the parts that are hedged, of queries of @n_parts with
 * log-normal work. @paused: the share that pauses. @n_missed: set to the
 * number of these that are never hedged within 40 ms. */
static double hedged_share(guint n_parts, double paused, guint *n_missed)
{
	GRand *random = g_rand_new_with_seed(11);
	guint n_hedged = 0;
	enum { QUERIES = 400 };

	*n_missed = 0;
	for (int query = 0; query < QUERIES; query++) {
		struct route_pace pace = {0};
		gint64 times[SHARDS];
		guint n_done = 0;

		for (guint i = 0; i < n_parts; i++) {
			double u = g_rand_double(random) + 1e-9;
			double v = g_rand_double(random);
			double normal = sqrt(-2 * log(u)) * cos(2 * G_PI * v);

			times[i] = (gint64)(5000 * exp(0.35 * normal));
			if (g_rand_double(random) < paused)
				times[i] = 200 * MS;
		}
		for (gint64 now = 0; now < 40 * MS; now += 100) {
			for (guint i = 0; i < n_parts; i++) {
				if (times[i] >= now && times[i] < now + 100)
					route_pace_answered(&pace, ++n_done,
							    n_parts, now);
			}
			for (guint i = 0; i < n_parts; i++) {
				if (times[i] <= now ||
				    now < route_pace_late_us(&pace))
					continue;
				n_hedged++;
				times[i] = 0;
			}
		}
		for (guint i = 0; i < n_parts; i++)
			*n_missed += times[i] == 200 * MS;
	}
	g_rand_free(random);
	return (double)n_hedged / (QUERIES * n_parts);
}

/* Guards against hedges that come too late on fleets on which a daemon has no
 * earlier answers to learn from, and against hedging what is not late. */
START_TEST(the_first_query_of_a_route_hedges_what_is_late)
{
	guint n_missed;

	ck_assert_double_le(hedged_share(90, 0, &n_missed), 0.07);
	ck_assert_double_le(hedged_share(10, 0, &n_missed), 0.07);
	ck_assert_double_le(hedged_share(90, 0.044, &n_missed), 0.13);
	ck_assert_uint_le(n_missed, 400 * 90 * 0.044 / 50);
	/* Too few parts to compare. */
	ck_assert_double_eq(hedged_share(3, 0.1, &n_missed), 0);
}
END_TEST

UNIT_MAIN("pace", the_first_query_of_a_route_hedges_what_is_late)
