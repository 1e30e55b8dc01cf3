/* Clock, readiness, pause detection and request deadlines. */
#include "internal.h"

/* A longer delay of the heartbeat timer means that the process was paused. */
#define PAUSE_MIN_US (1 * CS_US_PER_S)

/*
 * Longest wait for heartbeats of the peers after the first instance list. Then
 * the daemon is ready without them.
 */
#define PEERS_WAIT_US (2 * CS_US_PER_S)

gint64 engine_now(const struct engine *engine)
{
	return cs_clock_now(engine->clock);
}

gint64 engine_heartbeat_delay(const struct engine *engine)
{
	return engine_now(engine) - engine->heartbeat_timer.due_us;
}

bool engine_was_paused(const struct engine *engine)
{
	return engine_heartbeat_delay(engine) > PAUSE_MIN_US;
}

gint64 engine_deadline_ms(const struct config_service *service,
			  gint64 requested_ms)
{
	if (requested_ms <= 0)
		return service->deadline_ms;
	return MIN(requested_ms, service->deadline_max_ms);
}

bool engine_ready(struct engine *engine)
{
	if (engine->phase != ENGINE_SERVING ||
	    !policy_fleet_config(engine->fleet) ||
	    !policy_fleet_list(engine->fleet))
		return false;
	if (engine->heartbeats_received >= engine->settings->ready_peers)
		return true;
	return engine_now(engine) - engine->first_list_us >= PEERS_WAIT_US;
}
