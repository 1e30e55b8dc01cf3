/* Requests to replicas, and the connections that carry them. */
#include "internal.h"

#include "cuminsail/error.h"
#include "cuminsail/log.h"

#include <stdlib.h>
#include <string.h>

/* Longest life of the one unused connection that is kept to a replica, and of
 * further ones. Replicas count the connections of a machine without power until
 * they time out, so spare ones cost its successor its place. */
#define IDLE_MAX_US  (12 * CS_US_PER_S)
#define SPARE_MAX_US (2 * CS_US_PER_S)

/* The same in another region, where mostly hedges go. */
#define IDLE_FAR_US (3 * CS_US_PER_S)

/* A connection is left this long before the time that the replica names. */
#define IDLE_MARGIN_US (700 * CS_US_PER_MS)

/* A request that must not run twice goes out on a connection used at most this
 * long ago: a replica may close an idle one just as the request arrives. */
#define FRESH_US (1 * CS_US_PER_S)

#define attempt_of(pointer, member)                                            \
	((struct forward_attempt *)((char *)(pointer)-offsetof(                \
		struct forward_attempt, member)))

static struct forward_link *link_to(struct forward_engine *engine,
				    struct route_replica *replica)
{
	struct forward_link *carrier = replica->owner_data;

	if (carrier)
		return carrier;
	carrier = g_new0(struct forward_link, 1);
	carrier->engine = engine;
	carrier->replica = route_replica_ref(replica);
	TAILQ_INIT(&carrier->idle);
	TAILQ_INSERT_TAIL(&engine->links, carrier, entry);
	replica->owner_data = carrier;
	return carrier;
}

/* Forgets a connection whose call is closed. */
static void free_connection(struct forward_connection *connection)
{
	connection->carrier->replica->connections--;
	connection->carrier->replica->connecting -= connection->connecting;
	g_free(connection);
}

static void close_idle(struct forward_connection *connection)
{
	TAILQ_REMOVE(&connection->carrier->idle, connection, link);
	http1_call_close(connection->call);
	free_connection(connection);
}

/* ---- the end of an attempt ---- */

static void end_attempt(struct forward_attempt *attempt,
			enum route_result result)
{
	struct forward_engine *engine = attempt->connection->carrier->engine;

	cs_timer_disarm(engine->clock, &attempt->drain);
	if (result != ROUTE_DROPPED)
		cs_counters_time(engine->counters,
				 result == ROUTE_GOOD ? CS_H_PART
						      : CS_H_PART_FAILED,
				 forward_now(engine) - attempt->route.sent_us);
	if (attempt->part)
		TAILQ_REMOVE(&attempt->part->attempts, attempt, link);
	else
		TAILQ_REMOVE(&engine->drained, attempt, link);
	route_attempt_end(&attempt->route, result, forward_now(engine));
	g_free(attempt->request_id);
	g_free(attempt);
	forward_room(engine);
}

void forward_attempt_cut(struct forward_attempt *attempt)
{
	struct forward_connection *connection = attempt->connection;

	end_attempt(attempt,
		    attempt->connected ? ROUTE_DROPPED : ROUTE_UNREACHED);
	http1_call_close(connection->call);
	free_connection(connection);
}

static void on_drain_limit(struct cs_timer *timer)
{
	struct forward_attempt *attempt = attempt_of(timer, drain);
	struct forward_engine *engine = attempt->connection->carrier->engine;

	cs_counters_add(engine->counters, CS_N_CANCELS, 1);
	forward_attempt_cut(attempt);
}

void forward_attempt_drain(struct forward_attempt *attempt, gint64 limit_us)
{
	struct forward_engine *engine = attempt->connection->carrier->engine;

	if (!attempt->connected) {
		forward_attempt_cut(attempt);
		return;
	}
	TAILQ_REMOVE(&attempt->part->attempts, attempt, link);
	attempt->part = NULL;
	TAILQ_INSERT_TAIL(&engine->drained, attempt, link);
	cs_timer_arm(engine->clock, &attempt->drain,
		     forward_now(engine) + limit_us);
}

/* ---- answers ---- */

static void log_attempt(const struct forward_attempt *attempt,
			const char *event, const char *reason, guint status)
{
	struct forward_engine *engine = attempt->connection->carrier->engine;
	char after[FIGURE_TEXT];
	char code[FIGURE_TEXT];

	forward_ms(after, forward_now(engine) - attempt->route.sent_us);
	g_snprintf(code, sizeof(code), "%u", status);
	cs_log(LOG_INFO, event, "id", attempt->request_id, "replica",
	       attempt->route.replica->id, "zone", attempt->route.replica->zone,
	       "after_ms", after, "wanted", attempt->part ? "yes" : "no",
	       "status", code, "reason", reason, NULL);
}

static gint64 idle_until(const struct route_replica *replica, gint64 now_us,
			 const struct http1_message *answer)
{
	gint64 most_us =
		replica->distance == ROUTE_FAR ? IDLE_FAR_US : IDLE_MAX_US;
	const char *keep = http1_message_get(answer, "Keep-Alive");
	const char *timeout = keep ? strstr(keep, "timeout=") : NULL;
	gint64 named_us;

	if (!timeout)
		return now_us + most_us;
	named_us = strtol(timeout + strlen("timeout="), NULL, 10) * CS_US_PER_S;
	return now_us + CLAMP(named_us - IDLE_MARGIN_US, 0, most_us);
}

/* The connection has given its answer: keep it, or close it. */
static void release(struct forward_connection *connection, gint64 until_us)
{
	struct forward_link *carrier = connection->carrier;

	connection->attempt = NULL;
	if (!http1_call_idle(connection->call) || !carrier->replica->pool) {
		http1_call_close(connection->call);
		free_connection(connection);
		return;
	}
	connection->used_us = forward_now(carrier->engine);
	connection->until_us = until_us;
	TAILQ_INSERT_HEAD(&carrier->idle, connection, link);
}

static bool on_answer(struct http1_call *call,
		      const struct http1_message *message, void *user)
{
	struct forward_connection *connection = user;
	struct forward_attempt *attempt = connection->attempt;
	struct forward_engine *engine = connection->carrier->engine;
	const char *id =
		http1_message_get(message, engine->dialect->request_id);
	struct forward_part *part = attempt->part;
	struct forward_answer *answer = NULL;
	struct forward_verdict verdict;

	if (id && strcmp(id, attempt->request_id) != 0) {
		log_attempt(attempt, "answer-skipped", "other-request",
			    message->status);
		cs_counters_add(engine->counters, CS_N_REJ_ID, 1);
		return false;
	}
	verdict = forward_judge(engine->dialect, message);
	if (verdict.result != ROUTE_GOOD)
		log_attempt(attempt, "attempt-failed",
			    cs_error_name(verdict.reason), message->status);
	if (part && !verdict.not_run && verdict.reason != CS_E_BAD_ANSWER)
		answer = forward_copy_answer(engine->dialect, message,
					     part->job->n_parts == 1);
	end_attempt(attempt, verdict.result);
	release(connection, idle_until(connection->carrier->replica,
				       forward_now(engine), message));
	if (!part)
		return true;
	if (verdict.not_run)
		part->n_unproven--;
	if (!verdict.reason) {
		forward_part_answered(part, answer);
		return true;
	}
	if (answer) {
		forward_answer_free(part->failure);
		part->failure = answer;
	}
	forward_part_lost(part, verdict.reason,
			  verdict.not_run ? FORWARD_NOT_RUN : FORWARD_UNKNOWN);
	return true;
}

static void on_connected(struct http1_call *call, void *user)
{
	struct forward_connection *connection = user;
	struct forward_attempt *attempt = connection->attempt;
	struct forward_engine *engine = connection->carrier->engine;

	connection->carrier->replica->connecting--;
	connection->connecting = false;
	if (!attempt)
		return;
	forward_room(engine);
	route_replica_connected(connection->carrier->replica,
				forward_now(engine) - attempt->route.sent_us);
	attempt->connected = true;
	attempt->route.sent_us = forward_now(engine);
	if (attempt->part) {
		attempt->part->n_unproven++;
		attempt->hedge_us = attempt->route.sent_us +
				    route_hedge_us(attempt->route.work,
						   attempt->route.replica,
						   attempt->route.sent_us);
		forward_job_look(attempt->part->job);
	}
}

static void on_ended(struct http1_call *call, enum http1_failure why,
		     void *user)
{
	struct forward_connection *connection = user;
	struct forward_attempt *attempt = connection->attempt;
	bool not_run = why == HTTP1_NOT_CONNECTED;
	struct forward_part *part;

	if (!attempt) {
		TAILQ_REMOVE(&connection->carrier->idle, connection, link);
		free_connection(connection);
		return;
	}
	part = attempt->part;
	if (!not_run && !connection->used_us)
		route_replica_crowded(connection->carrier->replica,
				      forward_now(connection->carrier->engine));
	log_attempt(attempt, "attempt-lost",
		    not_run		  ? "not-connected"
		    : why == HTTP1_CLOSED ? "closed"
					  : "broken",
		    0);
	end_attempt(attempt, not_run ? ROUTE_UNREACHED : ROUTE_FAILED);
	free_connection(connection);
	if (part)
		forward_part_lost(part, CS_E_LOST,
				  not_run ? FORWARD_UNSENT : FORWARD_UNKNOWN);
}

/* ---- sending ---- */

static struct forward_connection *take_idle(struct forward_link *carrier,
					    bool fresh)
{
	gint64 now = forward_now(carrier->engine);
	struct forward_connection *connection = TAILQ_FIRST(&carrier->idle);

	if (!connection || now >= connection->until_us ||
	    (fresh && now - connection->used_us > FRESH_US))
		return NULL;
	TAILQ_REMOVE(&carrier->idle, connection, link);
	return connection;
}

static struct forward_connection *open_connection(struct forward_link *carrier)
{
	struct forward_connection *connection =
		g_new0(struct forward_connection, 1);
	struct http1_call_hooks hooks = {on_connected, on_answer, on_ended,
					 connection};

	/* The oldest idle one makes room. */
	if (carrier->replica->connections >=
		    route_replica_connections(carrier->replica) &&
	    !TAILQ_EMPTY(&carrier->idle))
		close_idle(TAILQ_LAST(&carrier->idle, idle_connections));
	connection->carrier = carrier;
	connection->call = http1_call_open(
		carrier->engine->loop, &carrier->replica->address,
		&carrier->engine->answer_limits, &hooks);
	if (!connection->call) {
		g_free(connection);
		return NULL;
	}
	carrier->replica->connections++;
	carrier->replica->connecting++;
	connection->connecting = true;
	cs_counters_add(carrier->engine->counters, CS_N_CONNECTIONS, 1);
	return connection;
}

bool forward_send(struct forward_part *part, struct route_replica *replica)
{
	struct forward_job *job = part->job;
	struct forward_engine *engine = job->engine;
	const struct http1_message *request = job->request;
	struct forward_link *carrier = link_to(engine, replica);
	struct forward_connection *connection =
		take_idle(carrier, !job->route->idempotent);
	struct forward_attempt *attempt;
	gint64 now = forward_now(engine);

	if (connection) {
		attempt = g_new0(struct forward_attempt, 1);
		attempt->connected = true;
		part->n_unproven++;
	} else {
		connection = open_connection(carrier);
		if (!connection)
			return false;
		attempt = g_new0(struct forward_attempt, 1);
	}
	attempt->part = part;
	attempt->connection = connection;
	attempt->drain.fire = on_drain_limit;
	attempt->request_id = g_strdup(job->request_id);
	attempt->hedge_us = now + route_hedge_us(job->work, replica, now);
	connection->attempt = attempt;
	TAILQ_INSERT_TAIL(&part->attempts, attempt, link);
	route_attempt_begin(&attempt->route, replica, job->work, now);
	cs_counters_add(engine->counters, CS_N_PARTS, 1);
	forward_write_head(job, replica);
	http1_call_send(connection->call, engine->head, request->body->data,
			request->body->len, !strcmp(request->method, "HEAD"));
	return true;
}

/* ---- upkeep ---- */

static void sweep(struct forward_link *carrier)
{
	gint64 now = forward_now(carrier->engine);
	struct forward_connection *connection;
	struct forward_connection *next;

	for (connection = TAILQ_FIRST(&carrier->idle); connection;
	     connection = next) {
		next = TAILQ_NEXT(connection, link);
		if (now >= connection->until_us || !carrier->replica->pool ||
		    (connection != TAILQ_FIRST(&carrier->idle) &&
		     now - connection->used_us > SPARE_MAX_US))
			close_idle(connection);
	}
}

static void free_link(struct forward_link *carrier)
{
	TAILQ_REMOVE(&carrier->engine->links, carrier, entry);
	carrier->replica->owner_data = NULL;
	route_replica_unref(carrier->replica);
	g_free(carrier);
}

void forward_links_sweep(struct forward_engine *engine)
{
	struct forward_link *carrier;
	struct forward_link *next;

	for (carrier = TAILQ_FIRST(&engine->links); carrier; carrier = next) {
		next = TAILQ_NEXT(carrier, entry);
		sweep(carrier);
		if (!carrier->replica->pool && !carrier->replica->connections)
			free_link(carrier);
	}
}

static void close_all_idle(struct forward_link *carrier)
{
	struct forward_connection *connection = TAILQ_FIRST(&carrier->idle);

	while (connection) {
		struct forward_connection *next = TAILQ_NEXT(connection, link);

		close_idle(connection);
		connection = next;
	}
}

void forward_links_free(struct forward_engine *engine)
{
	struct forward_attempt *attempt = TAILQ_FIRST(&engine->drained);
	struct forward_link *carrier = TAILQ_FIRST(&engine->links);

	while (attempt) {
		struct forward_attempt *next = TAILQ_NEXT(attempt, link);

		forward_attempt_cut(attempt);
		attempt = next;
	}
	while (carrier) {
		struct forward_link *next = TAILQ_NEXT(carrier, entry);

		close_all_idle(carrier);
		free_link(carrier);
		carrier = next;
	}
}
