/**
 * route_pace.h - when the open parts of a query are late
 *
 * The parts of one query share its daemon's link and processor, so their
 * answers arrive one after the other, and the time of the first half tells
 * little of a part's own work. Once most parts have answered, one that is still
 * open is compared with them: this needs no earlier query, so it holds for the
 * first query of a route as well, and on fleets on which a daemon sees a query
 * every few seconds.
 */
#ifndef CUMINSAIL_ROUTE_PACE_H
#define CUMINSAIL_ROUTE_PACE_H

#include <glib.h>

/** Times of a query's answers; zero-initialised means none yet. */
struct route_pace {
	gint64 half_us; /* from its begin until half of the parts had one */
	gint64 most_us; /* the same for nine in ten; 0: not yet */
};

/**
 * route_pace_answered - record that a part has its answer
 * @pace: of the query
 * @n_done: number of parts with an answer, this one included
 * @n_parts: number of parts of the query
 * @elapsed_us: time since the query began
 */
void route_pace_answered(struct route_pace *pace, guint n_done, guint n_parts,
			 gint64 elapsed_us);

/**
 * route_pace_late_us - time after which an open part is late
 * @pace: of the query
 *
 * Return: microseconds from the begin of its attempt, without the network round
 * trip; G_MAXINT64 if too few parts have an answer, or the query has too few
 * parts to compare.
 */
gint64 route_pace_late_us(const struct route_pace *pace);

#endif
