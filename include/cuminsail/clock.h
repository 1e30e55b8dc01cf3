/**
 * clock.h - the clock of a daemon and its timers
 *
 * All times are in microseconds. The system clock is CLOCK_BOOTTIME, which also
 * counts the time during which the machine is suspended. Tests create a manual
 * clock and advance it themselves. No other module reads a system clock.
 */
#ifndef CUMINSAIL_CLOCK_H
#define CUMINSAIL_CLOCK_H

#include <glib.h>
#include <stdbool.h>

#define CS_US_PER_MS 1000
#define CS_US_PER_S  1000000

struct cs_clock;

/**
 * cs_clock_create - create a clock that follows CLOCK_BOOTTIME
 *
 * The timers of this clock fire from GLib's default main context.
 *
 * Return: a new clock, owned by the caller.
 */
struct cs_clock *cs_clock_create(void);

/**
 * cs_clock_create_manual - create a clock that only cs_clock_advance() moves
 * @start_us: initial time, 0 or more
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
 * cs_clock_now - return the current time of a clock
 * @clock: any clock
 *
 * Return: microseconds since an arbitrary start; never decreases.
 */
gint64 cs_clock_now(const struct cs_clock *clock);

/**
 * cs_clock_wall_ms - return the wall-clock time
 *
 * For the times in log lines and for the incarnation number of a daemon. Timers
 * and deadlines never use it, because the wall clock may be set.
 *
 * Return: milliseconds since 1970.
 */
gint64 cs_clock_wall_ms(void);

/**
 * cs_clock_advance - advance a manual clock and fire its due timers in order
 * @clock: a manual clock
 * @delta_us: how far to advance, 0 or more
 *
 * While a timer fires, the clock shows the time at which it was due.
 */
void cs_clock_advance(struct cs_clock *clock, gint64 delta_us);

/** A one-shot timer, embedded in its owner. Zero-initialised means idle. */
struct cs_timer {
	gint64 due_us;
	GSequenceIter *iter; /* position among the armed timers; NULL if idle */
	void (*fire)(struct cs_timer *timer);
};

/**
 * cs_timer_arm - arm a timer or move it to another time
 * @clock: the clock that fires the timer
 * @timer: idle or armed; @timer->fire must be set
 * @due_us: when to fire; with a time in the past the timer fires in the next
 *	iteration of the main loop
 */
void cs_timer_arm(struct cs_clock *clock, struct cs_timer *timer,
		  gint64 due_us);

/**
 * cs_timer_disarm - disarm a timer
 * @clock: the clock on which it was armed
 * @timer: idle or armed
 */
void cs_timer_disarm(struct cs_clock *clock, struct cs_timer *timer);

#endif
