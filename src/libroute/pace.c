/* Compares the open parts of a query with those that have answered. */
#include "cuminsail/route_pace.h"

/* Fewest parts of which the last tenth can be told from the others. */
#define PARTS_MIN 10

/* An open part is late by this share of the time between the answer of half and
 * of nine tenths of the parts, after the latter: 4 % of log-normal times with a
 * spread of 0.35 are later, and none of times that are spread evenly. */
#define LATE_SHARE 0.5

void route_pace_answered(struct route_pace *pace, guint n_done, guint n_parts,
			 gint64 elapsed_us)
{
	if (n_parts < PARTS_MIN)
		return;
	if (n_done == (n_parts + 1) / 2)
		pace->half_us = elapsed_us;
	if (n_done == (n_parts * 9 + 9) / 10)
		pace->most_us = MAX(elapsed_us, 1);
}

gint64 route_pace_late_us(const struct route_pace *pace)
{
	if (!pace->most_us)
		return G_MAXINT64;
	return pace->most_us +
	       (gint64)(LATE_SHARE * (double)(pace->most_us - pace->half_us));
}
