/* Replicas that say in their answers that they leave, or ask for rest. Both
 * hold for this daemon only: every daemon gets answers of its own. */
#include "internal.h"

#include "cuminsail/log.h"

/* Shortest time between two log lines about a replica that asks for rest, or
 * says what cannot be read. */
#define LOG_INTERVAL_US (1 * CS_US_PER_S)

static void log_notice(struct forward_engine *engine,
		       struct route_replica *replica, const char *state,
		       gint64 rest_us)
{
	char rest[FORWARD_NUMBER_TEXT_MAX];

	cs_log(LOG_NOTICE, "replica-says", "replica", replica->id, "service",
	       replica->pool ? route_pool_name(replica->pool) : NULL, "state",
	       state, "rest_ms", forward_print_ms(rest, rest_us), NULL);
}

static void log_seldom(struct forward_engine *engine,
		       struct route_replica *replica, const char *state,
		       gint64 rest_us)
{
	gint64 now = forward_now(engine);

	if (replica->notice.logged_us &&
	    now - replica->notice.logged_us < LOG_INTERVAL_US)
		return;
	replica->notice.logged_us = now;
	log_notice(engine, replica, state, rest_us);
}

void forward_notices_observe(struct forward_engine *engine,
			     struct route_replica *replica,
			     const struct http1_message *message,
			     enum route_result result)
{
	struct forward_notice notice =
		forward_read_notice(engine->dialect, message);

	/* Another replica speaks there, of itself. */
	if (result == ROUTE_WRONG_INSTANCE)
		return;
	if (notice.leaving && route_replica_observe_leaving(replica)) {
		cs_counters_add(engine->counters, CS_N_NOTICE_LEAVING, 1);
		log_notice(engine, replica, "leaving", 0);
	}
	if (notice.rest_us) {
		cs_counters_add(engine->counters, CS_N_NOTICE_REST, 1);
		route_replica_observe_rest(replica, notice.rest_us,
					   forward_now(engine));
		log_seldom(engine, replica, "resting", notice.rest_us);
	}
	if (notice.invalid) {
		cs_counters_add(engine->counters, CS_N_NOTICE_INVALID, 1);
		log_seldom(engine, replica, "invalid", 0);
	}
}
