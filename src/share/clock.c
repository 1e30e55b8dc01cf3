/* The system clock, the manual clock of tests, and their timers. */
#include "cuminsail/clock.h"

#include <time.h>

struct cs_clock {
	bool manual;
	gint64 now_us;
	GSequence *timers;
	GSource *source;
};

/* Event source of the main loop that fires the timers of a system clock. */
struct clock_source {
	GSource base;
	struct cs_clock *clock;
};

static gint compare_due(gconstpointer a, gconstpointer b, gpointer user)
{
	const struct cs_timer *x = a;
	const struct cs_timer *y = b;

	if (x->due_us != y->due_us)
		return x->due_us < y->due_us ? -1 : 1;
	return 0;
}

static struct cs_timer *first_timer(struct cs_clock *clock)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(clock->timers);

	if (g_sequence_iter_is_end(iter))
		return NULL;
	return g_sequence_get(iter);
}

static void fire_due(struct cs_clock *clock, gint64 now)
{
	struct cs_timer *timer = first_timer(clock);

	while (timer && timer->due_us <= now) {
		cs_timer_disarm(clock, timer);
		timer->fire(timer);
		timer = first_timer(clock);
	}
}

static gboolean source_prepare(GSource *base, gint *timeout_ms)
{
	struct cs_clock *clock = ((struct clock_source *)base)->clock;
	struct cs_timer *timer = first_timer(clock);
	gint64 remaining;

	*timeout_ms = -1;
	if (!timer)
		return FALSE;
	remaining = timer->due_us - cs_clock_now(clock);
	if (remaining <= 0)
		return TRUE;
	/* Rounded up: the loop must not wake before the timer is due. */
	remaining = (remaining + CS_US_PER_MS - 1) / CS_US_PER_MS;
	*timeout_ms = (gint)MIN(remaining, G_MAXINT);
	return FALSE;
}

static gboolean source_check(GSource *base)
{
	struct cs_clock *clock = ((struct clock_source *)base)->clock;
	struct cs_timer *timer = first_timer(clock);

	return timer && timer->due_us <= cs_clock_now(clock);
}

static gboolean source_dispatch(GSource *base, GSourceFunc func, gpointer user)
{
	struct cs_clock *clock = ((struct clock_source *)base)->clock;

	fire_due(clock, cs_clock_now(clock));
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs source_funcs = {
	.prepare = source_prepare,
	.check = source_check,
	.dispatch = source_dispatch,
};

struct cs_clock *cs_clock_create(void)
{
	struct cs_clock *clock = cs_clock_create_manual(0);

	clock->manual = false;
	clock->source =
		g_source_new(&source_funcs, sizeof(struct clock_source));
	((struct clock_source *)clock->source)->clock = clock;
	g_source_attach(clock->source, NULL);
	return clock;
}

struct cs_clock *cs_clock_create_manual(gint64 start_us)
{
	struct cs_clock *clock = g_new0(struct cs_clock, 1);

	clock->manual = true;
	clock->now_us = start_us;
	clock->timers = g_sequence_new(NULL);
	return clock;
}

void cs_clock_destroy(struct cs_clock *clock)
{
	if (!clock)
		return;
	if (clock->source) {
		g_source_destroy(clock->source);
		g_source_unref(clock->source);
	}
	g_sequence_free(clock->timers);
	g_free(clock);
}

gint64 cs_clock_now(const struct cs_clock *clock)
{
	struct timespec ts;

	if (clock->manual)
		return clock->now_us;
	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (gint64)ts.tv_sec * CS_US_PER_S + ts.tv_nsec / 1000;
}

gint64 cs_clock_wall_ms(void)
{
	return g_get_real_time() / CS_US_PER_MS;
}

void cs_clock_advance(struct cs_clock *clock, gint64 delta_us)
{
	gint64 target = clock->now_us + delta_us;
	struct cs_timer *timer = first_timer(clock);

	while (timer && timer->due_us <= target) {
		clock->now_us = MAX(clock->now_us, timer->due_us);
		cs_timer_disarm(clock, timer);
		timer->fire(timer);
		timer = first_timer(clock);
	}
	clock->now_us = target;
}

void cs_timer_arm(struct cs_clock *clock, struct cs_timer *timer, gint64 due_us)
{
	cs_timer_disarm(clock, timer);
	timer->due_us = due_us;
	timer->iter = g_sequence_insert_sorted(clock->timers, timer,
					       compare_due, NULL);
}

void cs_timer_disarm(struct cs_clock *clock, struct cs_timer *timer)
{
	if (!timer->iter)
		return;
	g_sequence_remove(timer->iter);
	timer->iter = NULL;
}
