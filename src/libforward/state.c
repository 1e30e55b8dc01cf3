/* Accessors of the engine's state that several files of the package use. */
#include "internal.h"

#include "cuminsail/log.h"

/* Age from which the routing view may lack a change that must already be in
 * force: the longest watch of the platform, its margin, and the time in which a
 * seed passes the change on. */
#define VIEW_CURRENT_US (2900 * CS_US_PER_MS)

gint64 forward_now(const struct forward_engine *engine)
{
	return cs_clock_now(engine->clock);
}

const char *forward_print_ms(char *text, gint64 us)
{
	g_snprintf(text, FORWARD_NUMBER_TEXT_MAX, "%.1f",
		   (double)us / CS_US_PER_MS);
	return text;
}

static int compare(gint64 a, gint64 b)
{
	return a < b ? -1 : a > b;
}

int forward_position_compare(const struct forward_position *a,
			     const struct forward_position *b)
{
	return a->history != b->history ? compare(a->history, b->history)
					: compare(a->revision, b->revision);
}

gint64 forward_view_age(const struct forward_engine *engine)
{
	return forward_now(engine) - engine->view_confirmed_us;
}

struct route_fleet *forward_engine_fleet(struct forward_engine *engine)
{
	return engine->fleet;
}

struct cs_counters *forward_engine_counters(struct forward_engine *engine)
{
	return engine->counters;
}

void forward_update_view_current(struct forward_engine *engine)
{
	bool current = engine->view_confirmed_us &&
		       forward_view_age(engine) < VIEW_CURRENT_US;

	if (engine->view_current == current)
		return;
	engine->view_current = current;
	cs_log(LOG_NOTICE, current ? "platform-regained" : "platform-lost",
	       NULL);
}

void forward_engine_confirm_view(struct forward_engine *engine, gint64 at_us)
{
	engine->view_confirmed_us = MAX(engine->view_confirmed_us, at_us);
	forward_update_view_current(engine);
}
