/**
 * route_pause.h - replicas that pause at regular intervals
 *
 * Garbage collection, compaction and scheduled work stop a replica for a moment
 * at regular intervals, and all requests that are there get their answers at
 * the end of it. From the ends of such stalls a daemon learns the interval, and
 * then sends to another replica what would arrive during the next pause. A
 * prediction holds for some intervals after the last stall that agreed with it,
 * and ends early if stalls at other times, or answers during a pause,
 * contradict it.
 *
 * All times are microseconds of the same clock.
 */
#ifndef CUMINSAIL_ROUTE_PAUSE_H
#define CUMINSAIL_ROUTE_PAUSE_H

#include <glib.h>
#include <stdbool.h>

/** Number of stalls among which a regular interval is sought. */
#define ROUTE_PAUSE_STALLS 6

/** A request that waited for a replica that had stopped. */
struct route_stall {
	gint64 end_us; /* when the replica continued; 0: none */
	gint64 length_us;
};

/** What is known of one replica's pauses; zero-initialised means nothing. */
struct route_pause {
	gint64 ends_us[ROUTE_PAUSE_STALLS]; /* of the last stalls, newest first;
					     * 0: none */
	gint64 stall_us; /* longest time in the newest stall */
	gint64 period_us; /* 0: not known */
	gint64 end_us; /* of the last stall that agreed with the period */
	gint64 before_us; /* the same of the one before it, and the period as
			   * it was known then */
	gint64 period_before_us;
	gint64 length_us; /* of a pause */
	guint n_against; /* contradictions since that stall */
};

/**
 * route_pause_is_stall - whether an answer shows that its replica had stopped
 * @took_us: time from the request to the answer
 * @expected_us: expected time, with the round trip
 *
 * Return: true if it took far longer.
 */
bool route_pause_is_stall(gint64 took_us, gint64 expected_us);

/**
 * route_pause_observe - record a stall
 * @pause: of the replica
 * @end_us: when the replica continued
 * @length_us: how long the request had waited there by then
 *
 * Stalls that end at nearly the same time are one.
 */
void route_pause_observe(struct route_pause *pause, gint64 end_us,
			 gint64 length_us);

/**
 * route_pause_answered - record an answer that came without a stall
 * @pause: of the replica
 * @arrived_us: when the request reached the replica
 * @done_us: when the replica had its answer
 */
void route_pause_answered(struct route_pause *pause, gint64 arrived_us,
			  gint64 done_us);

/**
 * route_pause_learn - take another daemon's knowledge
 * @pause: of the replica
 * @other: ignored if its period or length is none that is learned here, or if
 *	the own knowledge is of a later pause
 */
void route_pause_learn(struct route_pause *pause,
		       const struct route_pause *other);

/**
 * route_pause_delay_us - how long a pause would delay a request
 * @pause: of the replica
 * @arrive_us: when the request will reach the replica
 * @work_us: how long the replica will work on it
 *
 * Return: time from its arrival to the end of the pause; 0 if no pause is
 * predicted while the replica works on it.
 */
gint64 route_pause_delay_us(const struct route_pause *pause, gint64 arrive_us,
			    gint64 work_us);

#endif
