/* What the engine's modules ask of its state. */
#include "internal.h"

/* A beat this late means that the process slept. */
#define ASLEEP_US (1 * CS_US_PER_S)

/* Longest wait for peers after the first list; then ready without them. */
#define HEAR_PEERS_US (2 * CS_US_PER_S)

gint64 engine_now(const struct engine *engine)
{
	return cs_clock_now(engine->clock);
}

gint64 engine_beat_late(const struct engine *engine)
{
	return engine_now(engine) - engine->beat.due_us;
}

bool engine_was_asleep(const struct engine *engine)
{
	return engine_beat_late(engine) > ASLEEP_US;
}

gint64 engine_deadline_ms(const struct config_service *service, gint64 asked_ms)
{
	if (asked_ms <= 0)
		return service->deadline_ms;
	return MIN(asked_ms, service->deadline_max_ms);
}

bool engine_ready(struct engine *engine)
{
	if (engine->phase != ENGINE_SERVING ||
	    !policy_fleet_config(engine->fleet) ||
	    !policy_fleet_list(engine->fleet))
		return false;
	if (engine->beats_heard >= engine->settings->ready_peers)
		return true;
	return engine_now(engine) - engine->list_taken_us >= HEAR_PEERS_US;
}
