/**
 * clock.h - the runtime's clock and its timers
 *
 * All times are microseconds. The system clock is CLOCK_BOOTTIME, so that a
 * suspended machine sees the time it slept. Tests create a manual clock and
 * advance it. Nothing else in the tree reads a system clock.
 */
#ifndef CUMINSAIL_CLOCK_H
#define CUMINSAIL_CLOCK_H

#include <glib.h>
#include <stdbool.h>

#define CS_US_PER_MS 1000
#define CS_US_PER_S  1000000

struct cs_clock;

/**
 * cs_clock_create - a clock that follows CLOCK_BOOTTIME
 *
 * Timers of this clock fire from the default main context.
 *
 * Return: a new clock, owned by the caller.
 */
struct cs_clock *cs_clock_create(void);

/**
 * cs_clock_create_manual - a clock that stands until it is advanced
 * @start_us: first reading, 0 or more
 *
 * Return: a new clock, owned by the caller.
 */
struct cs_clock *cs_clock_create_manual(gint64 start_us);

/**
 * cs_clock_destroy - free a clock
 * @clock: a clock without armed timers, or NULL
 */
void cs_clock_destroy(struct cs_clock *clock);

/**
 * cs_clock_now - read a clock
 * @clock: any clock
 *
 * Return: microseconds since an arbitrary start; never falls.
 */
gint64 cs_clock_now(const struct cs_clock *clock);

/**
 * cs_clock_wall_ms - wall time for people and for ticket expiry texts
 *
 * Return: milliseconds since 1970. Never used for decisions.
 */
gint64 cs_clock_wall_ms(void);

/**
 * cs_clock_advance - move a manual clock and fire what is due, in order
 * @clock: a manual clock
 * @delta_us: 0 or more
 */
void cs_clock_advance(struct cs_clock *clock, gint64 delta_us);

/** A timer; embed it in its owner. Zero-initialised means idle. */
struct cs_timer {
	gint64 due_us;
	GSequenceIter *iter;
	void (*fire)(struct cs_timer *timer);
};

/**
 * cs_timer_arm - set or move a timer
 * @clock: the clock to follow
 * @timer: idle or armed; @timer->fire is set
 * @due_us: when to fire; a past time fires at the next turn of the loop
 */
void cs_timer_arm(struct cs_clock *clock, struct cs_timer *timer,
		  gint64 due_us);

/**
 * cs_timer_disarm - stop a timer
 * @clock: the clock it was armed on
 * @timer: idle or armed
 */
void cs_timer_disarm(struct cs_clock *clock, struct cs_timer *timer);

#endif
