/* Graceful stop: serves until the load balancer has noticed it, then ends every
 * open request with an answer before the process is killed. */
#include "internal.h"

#include "cuminsail/error.h"
#include "cuminsail/log.h"

/* How long a stopping daemon keeps accepting connections. The load balancer
 * checks readiness every second and sends new connections until two checks have
 * failed. */
#define BALANCER_NOTICE_US (2500 * CS_US_PER_MS)

/* Requests that are still open are answered this long before the SIGKILL. */
#define KILL_MARGIN_US (500 * CS_US_PER_MS)

/* Time in which the last answers are written, before the process ends. */
#define FLUSH_US (250 * CS_US_PER_MS)

/* A new request is taken only if this many times its objective are left: few
 * answers take longer, and another daemon can serve the request at once. */
#define TAKE_OBJECTIVES 4

/* Return: time at which the open requests are ended. */
static gint64 end_us(const struct forward_engine *engine)
{
	return engine->stop_begun_us + engine->settings->stop_us -
	       KILL_MARGIN_US;
}

bool forward_stop_admits(const struct forward_job *job)
{
	const struct forward_engine *engine = job->engine;
	gint64 needed_us = TAKE_OBJECTIVES * job->route->objective_us;

	if (engine->phase == FORWARD_SERVING)
		return true;
	return job->started_us +
		       MIN(needed_us, job->deadline_us - job->started_us) <=
	       end_us(engine);
}

static void finish(struct forward_engine *engine)
{
	g_autofree char *ended = g_strdup_printf("%u", engine->stop_ended);

	engine->phase = FORWARD_STOPPED;
	cs_log(LOG_NOTICE, "stopped", "requests_cut", ended, NULL);
	engine->stopped(engine->user);
}

static void end_jobs(struct forward_engine *engine)
{
	while (!TAILQ_EMPTY(&engine->jobs)) {
		engine->stop_ended++;
		forward_job_end(TAILQ_FIRST(&engine->jobs), CS_E_STOPPING);
	}
}

void forward_stop_check(struct forward_engine *engine)
{
	gint64 now = forward_now(engine);
	guint n_connections;

	if (engine->phase != FORWARD_DRAINING ||
	    now - engine->stop_begun_us < BALANCER_NOTICE_US)
		return;
	/* Without this, a request that arrives after the decision to stop
	 * would be aborted. */
	http1_server_stop_accepting(engine->callers);
	n_connections = forward_relays_stop_accepting(engine->relays) +
			http1_server_connection_count(engine->callers);
	if (now >= end_us(engine))
		end_jobs(engine);
	if (!n_connections || now >= end_us(engine) + FLUSH_US)
		finish(engine);
}

void forward_engine_stop(struct forward_engine *engine)
{
	if (engine->phase != FORWARD_SERVING) {
		end_jobs(engine);
		finish(engine);
		return;
	}
	engine->phase = FORWARD_DRAINING;
	engine->stop_begun_us = forward_now(engine);
	http1_server_drain(engine->callers);
	forward_relays_drain(engine->relays);
	cs_log(LOG_NOTICE, "draining", NULL);
}
