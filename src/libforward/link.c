/* Links: attempts at a replica and the connections that they use. */
#include "internal.h"

#include "cuminsail/error.h"
#include "cuminsail/log.h"

#include <stdlib.h>
#include <string.h>

/* How long one idle connection to a replica is kept (IDLE_MAX_US), and any
 * further ones (SPARE_MAX_US). If this machine loses power, the replica counts
 * its connections until they time out. Too many idle ones would then use up the
 * connections that the machine's successor needs. */
#define IDLE_MAX_US  (12 * CS_US_PER_S)
#define SPARE_MAX_US (2 * CS_US_PER_S)

/* IDLE_MAX_US for a replica in another region, which receives mostly hedges. */
#define IDLE_FAR_US (3 * CS_US_PER_S)

/* An idle connection is no longer used this long before the replica's
 * Keep-Alive timeout. */
#define IDLE_MARGIN_US (700 * CS_US_PER_MS)

/* A request that is not idempotent uses an idle connection only if that was
 * used at most this long ago: a replica may close an older one just as the
 * request arrives, and the request could not be retried. */
#define FRESH_US (1 * CS_US_PER_S)

#define attempt_of(pointer, member)                                            \
	((struct forward_attempt *)((char *)(pointer)-offsetof(                \
		struct forward_attempt, member)))

static struct forward_link *get_link(struct forward_engine *engine,
				     struct route_replica *replica,
				     bool to_peer)
{
	struct forward_link *link = replica->owner_data;

	if (link)
		return link;
	link = g_new0(struct forward_link, 1);
	link->engine = engine;
	link->to_peer = to_peer;
	link->replica = route_replica_ref(replica);
	TAILQ_INIT(&link->idle);
	TAILQ_INSERT_TAIL(&engine->links, link, entry);
	replica->owner_data = link;
	return link;
}

/* Frees a connection whose client is closed. */
static void free_connection(struct forward_connection *connection)
{
	connection->link->replica->connections--;
	connection->link->replica->connecting -= connection->connecting;
	g_free(connection);
}

static void close_idle(struct forward_connection *connection)
{
	TAILQ_REMOVE(&connection->link->idle, connection, entry);
	http1_client_close(connection->client);
	free_connection(connection);
}

/* ---- end of an attempt ---- */

static void end_attempt(struct forward_attempt *attempt,
			enum route_result result)
{
	struct forward_engine *engine = attempt->connection->link->engine;

	cs_timer_disarm(engine->clock, &attempt->drain);
	if (result != ROUTE_ABORTED)
		cs_counters_observe(
			engine->counters,
			result == ROUTE_ANSWERED ? CS_H_PART : CS_H_PART_FAILED,
			forward_now(engine) - attempt->route.sent_us);
	if (attempt->part)
		TAILQ_REMOVE(&attempt->part->attempts, attempt, link);
	else
		TAILQ_REMOVE(&engine->draining, attempt, link);
	route_attempt_end(&attempt->route, result, forward_now(engine));
	g_free(attempt->request_id);
	g_free(attempt);
	forward_capacity_freed(engine);
}

void forward_attempt_abort(struct forward_attempt *attempt)
{
	struct forward_connection *connection = attempt->connection;

	end_attempt(attempt,
		    attempt->connected ? ROUTE_ABORTED : ROUTE_CONNECT_FAILED);
	http1_client_close(connection->client);
	free_connection(connection);
}

static void on_drain_limit(struct cs_timer *timer)
{
	struct forward_attempt *attempt = attempt_of(timer, drain);
	struct forward_engine *engine = attempt->connection->link->engine;

	cs_counters_add(engine->counters, CS_N_CANCELS, 1);
	forward_attempt_abort(attempt);
}

void forward_attempt_drain(struct forward_attempt *attempt, gint64 limit_us)
{
	struct forward_engine *engine = attempt->connection->link->engine;

	if (!attempt->connected) {
		forward_attempt_abort(attempt);
		return;
	}
	TAILQ_REMOVE(&attempt->part->attempts, attempt, link);
	attempt->has_digest =
		!attempt->part->job->n_done && attempt->part->job->has_digest;
	attempt->digest = attempt->part->job->digest;
	attempt->part = NULL;
	TAILQ_INSERT_TAIL(&engine->draining, attempt, link);
	cs_timer_arm(engine->clock, &attempt->drain,
		     forward_now(engine) + limit_us);
}

/* ---- answers ---- */

static void log_attempt(const struct forward_attempt *attempt,
			const char *event, const char *reason, guint status)
{
	struct forward_engine *engine = attempt->connection->link->engine;
	char after[FORWARD_NUMBER_TEXT_MAX];
	char code[FORWARD_NUMBER_TEXT_MAX];
	char number[FORWARD_NUMBER_TEXT_MAX];

	forward_print_ms(after, forward_now(engine) - attempt->route.sent_us);
	g_snprintf(code, sizeof(code), "%u", status);
	g_snprintf(number, sizeof(number), "%u", attempt->number);
	cs_log(LOG_INFO, event, "id", attempt->request_id, "replica",
	       attempt->route.replica->id, "zone", attempt->route.replica->zone,
	       "after_ms", after, "attempt", number, "wanted",
	       attempt->part ? "yes" : "no", "status", code, "reason", reason,
	       NULL);
}

static gint64 idle_until(const struct route_replica *replica, gint64 now_us,
			 const struct http1_message *answer)
{
	gint64 max_us =
		replica->distance == ROUTE_FAR ? IDLE_FAR_US : IDLE_MAX_US;
	const char *keep = http1_message_header(answer, "Keep-Alive");
	const char *timeout = keep ? strstr(keep, "timeout=") : NULL;
	gint64 timeout_s;

	if (!timeout)
		return now_us + max_us;
	timeout_s = strtol(timeout + strlen("timeout="), NULL, 10);
	timeout_s = CLAMP(timeout_s, 0, IDLE_MAX_US / CS_US_PER_S + 1);
	return now_us +
	       CLAMP(timeout_s * CS_US_PER_S - IDLE_MARGIN_US, 0, max_us);
}

/* Keeps a connection for reuse after an answer, or closes it if it cannot be
 * reused or the replica was removed. */
static void release_connection(struct forward_connection *connection,
			       gint64 expires_us)
{
	struct forward_link *link = connection->link;

	connection->attempt = NULL;
	if (!http1_client_idle(connection->client) || !link->replica->pool) {
		http1_client_close(connection->client);
		free_connection(connection);
		return;
	}
	connection->last_used_us = forward_now(link->engine);
	connection->expires_us = expires_us;
	TAILQ_INSERT_HEAD(&link->idle, connection, entry);
}

static struct forward_classification classify(
	const struct forward_link *link, const struct http1_message *message)
{
	return link->to_peer ? forward_relays_classify(link->engine,
						       link->replica, message)
			     : forward_classify_answer(link->engine->dialect,
						       message);
}

static bool on_answer(struct http1_client *client,
		      const struct http1_message *message, void *user)
{
	struct forward_connection *connection = user;
	struct forward_attempt *attempt = connection->attempt;
	struct forward_engine *engine = connection->link->engine;
	const char *id =
		http1_message_header(message, engine->dialect->request_id);
	struct forward_part *part = attempt->part;
	bool to_peer = connection->link->to_peer;
	struct forward_answer *answer = NULL;
	struct forward_classification classification;

	if (id && strcmp(id, attempt->request_id) != 0) {
		log_attempt(attempt, "answer-skipped", "other-request",
			    message->status);
		cs_counters_add(engine->counters, CS_N_REJ_ID, 1);
		return false;
	}
	classification = classify(connection->link, message);
	if (!to_peer) {
		forward_contact_answered(engine->contact);
		forward_limits_observe(engine, &attempt->route, message,
				       classification.result);
		forward_notices_observe(engine, attempt->route.replica, message,
					classification.result);
	}
	if (classification.reason)
		log_attempt(attempt, "attempt-failed",
			    cs_error_name(classification.reason),
			    message->status);
	if (part && !classification.not_run &&
	    classification.reason != CS_E_BAD_ANSWER)
		answer = forward_copy_answer(engine, message,
					     !forward_job_merges(part->job));
	end_attempt(attempt, classification.result);
	/* Without an id, the answer to this request may still arrive. */
	release_connection(connection,
			   id ? idle_until(connection->link->replica,
					   forward_now(engine), message)
			      : 0);
	if (!part)
		return true;
	if (classification.not_run)
		part->n_may_have_run--;
	if (!to_peer && classification.result != ROUTE_WRONG_INSTANCE)
		forward_blocklist_received(part->job);
	if (!classification.reason) {
		forward_part_answered(part, answer);
		return true;
	}
	if (answer) {
		forward_answer_free(part->failure);
		part->failure = answer;
	}
	forward_part_attempt_failed(part, classification.reason,
				    classification.not_run
					    ? FORWARD_NOT_RUN
					    : FORWARD_MAY_HAVE_RUN);
	return true;
}

static void on_interim(const struct http1_message *message, void *user)
{
	struct forward_connection *connection = user;

	forward_notices_observe(connection->link->engine,
				connection->link->replica, message,
				ROUTE_ANSWERED);
}

/* Return: time for a hedge of an attempt that is sent now; 0: never. */
static gint64 hedge_due(const struct forward_part *part,
			const struct forward_attempt *attempt)
{
	gint64 now = forward_now(part->job->engine);

	if (part->job->relaying)
		return 0;
	return now +
	       route_hedge_delay_us(part->work, attempt->route.replica, now);
}

static void on_connected(struct http1_client *client, void *user)
{
	struct forward_connection *connection = user;
	struct forward_attempt *attempt = connection->attempt;
	struct forward_engine *engine = connection->link->engine;

	connection->link->replica->connecting--;
	connection->connecting = false;
	if (!attempt)
		return;
	forward_capacity_freed(engine);
	if (!connection->link->to_peer)
		forward_contact_connected(engine->contact);
	route_replica_connected(connection->link->replica,
				forward_now(engine) - attempt->route.sent_us);
	attempt->connected = true;
	attempt->route.sent_us = forward_now(engine);
	if (attempt->part) {
		attempt->part->n_may_have_run++;
		attempt->hedge_due_us = hedge_due(attempt->part, attempt);
		forward_job_update(attempt->part->job);
	}
}

/* A request that has a good answer from any replica is not one that crashes
 * replicas. */
static void check_for_crash(struct forward_attempt *attempt)
{
	struct forward_job *job = attempt->part ? attempt->part->job : NULL;
	const struct route_digest *digest = NULL;

	if (job && !job->n_done)
		digest = forward_job_digest(job);
	else if (!job && attempt->has_digest)
		digest = &attempt->digest;
	if (digest)
		forward_crashes_lost(attempt->connection->link->engine, attempt,
				     digest);
}

static void replica_failed(struct forward_attempt *attempt, bool not_run)
{
	if (!not_run)
		check_for_crash(attempt);
	if (!not_run && attempt->part) {
		attempt->part->job->n_lost++;
		forward_blocklist_received(attempt->part->job);
	}
	forward_contact_failed(attempt->connection->link->engine->contact,
			       attempt->route.replica);
}

/* Return: a word for the log. */
static const char *failure_reason(const struct http1_client *client,
				  enum http1_failure failure)
{
	const char *fault = http1_client_fault(client);

	switch (failure) {
	case HTTP1_NOT_CONNECTED:
		return "not-connected";
	case HTTP1_CLOSED:
		return "closed";
	case HTTP1_BROKEN:
	case HTTP1_TOO_LARGE:
		break;
	}
	return fault ? fault : "broken";
}

static void on_closed(struct http1_client *client, enum http1_failure failure,
		      void *user)
{
	struct forward_connection *connection = user;
	struct forward_attempt *attempt = connection->attempt;
	bool not_run = failure == HTTP1_NOT_CONNECTED;
	struct forward_part *part;

	if (!attempt) {
		TAILQ_REMOVE(&connection->link->idle, connection, entry);
		free_connection(connection);
		return;
	}
	part = attempt->part;
	if (!not_run && !connection->last_used_us)
		route_replica_saturated(connection->link->replica,
					forward_now(connection->link->engine));
	log_attempt(attempt, "attempt-lost", failure_reason(client, failure),
		    0);
	if (!connection->link->to_peer)
		replica_failed(attempt, not_run);
	end_attempt(attempt, not_run ? ROUTE_CONNECT_FAILED : ROUTE_FAILED);
	free_connection(connection);
	if (part)
		forward_part_attempt_failed(part, CS_E_LOST,
					    not_run ? FORWARD_UNSENT
						    : FORWARD_MAY_HAVE_RUN);
}

/* ---- sending ---- */

static struct forward_connection *take_idle(struct forward_link *link,
					    bool fresh)
{
	gint64 now = forward_now(link->engine);
	struct forward_connection *connection = TAILQ_FIRST(&link->idle);

	if (!connection || now >= connection->expires_us ||
	    (fresh && now - connection->last_used_us > FRESH_US))
		return NULL;
	TAILQ_REMOVE(&link->idle, connection, entry);
	return connection;
}

static struct forward_connection *open_connection(struct forward_link *link)
{
	struct forward_connection *connection =
		g_new0(struct forward_connection, 1);
	struct http1_client_hooks hooks = {on_connected, on_answer, on_closed,
					   connection};

	/* At the connection limit, the least recently used idle connection is
	 * closed first. */
	if (link->replica->connections >=
		    route_replica_connections(link->replica) &&
	    !TAILQ_EMPTY(&link->idle))
		close_idle(TAILQ_LAST(&link->idle, idle_connections));
	connection->link = link;
	/* Peers admit this daemon by its address. */
	connection->client = http1_client_open_from(
		link->engine->loop,
		link->to_peer ? &link->engine->settings->relay : NULL,
		&link->replica->address, &link->engine->answer_limits, &hooks);
	if (!connection->client) {
		g_free(connection);
		return NULL;
	}
	if (!link->to_peer)
		http1_client_set_interim(connection->client, on_interim);
	link->replica->connections++;
	link->replica->connecting++;
	connection->connecting = true;
	cs_counters_add(link->engine->counters, CS_N_CONNECTIONS, 1);
	return connection;
}

bool forward_send(struct forward_part *part, struct route_replica *replica)
{
	struct forward_job *job = part->job;
	struct forward_engine *engine = job->engine;
	const struct http1_message *request = job->request;
	struct forward_link *link = get_link(engine, replica, job->relaying);
	struct forward_connection *connection =
		take_idle(link, !job->route->idempotent);
	struct forward_attempt *attempt;
	gint64 now = forward_now(engine);

	if (connection) {
		attempt = g_new0(struct forward_attempt, 1);
		attempt->connected = true;
		part->n_may_have_run++;
	} else {
		connection = open_connection(link);
		if (!connection)
			return false;
		attempt = g_new0(struct forward_attempt, 1);
	}
	attempt->part = part;
	attempt->connection = connection;
	attempt->drain.fire = on_drain_limit;
	attempt->request_id = g_strdup(job->request_id);
	attempt->copy = job->number;
	attempt->number = part->n_sent + 1;
	attempt->begun_us = now;
	connection->attempt = attempt;
	TAILQ_INSERT_TAIL(&part->attempts, attempt, link);
	route_attempt_begin(&attempt->route, replica, part->work, now);
	attempt->hedge_due_us = hedge_due(part, attempt);
	cs_counters_add(engine->counters, CS_N_PARTS, 1);
	if (replica->limit.per_s > 0)
		cs_counters_add(engine->counters,
				part->n_sent ? CS_N_LIMITED_EXTRA
					     : CS_N_LIMITED_FIRST,
				1);
	forward_write_request_head(job, replica);
	http1_client_send(connection->client, engine->request_head,
			  request->body->data, request->body->len,
			  !strcmp(request->method, "HEAD"));
	return true;
}

/* ---- upkeep ---- */

static void close_expired(struct forward_link *link)
{
	gint64 now = forward_now(link->engine);
	struct forward_connection *connection;
	struct forward_connection *next;

	for (connection = TAILQ_FIRST(&link->idle); connection;
	     connection = next) {
		next = TAILQ_NEXT(connection, entry);
		if (now >= connection->expires_us || !link->replica->pool ||
		    (connection != TAILQ_FIRST(&link->idle) &&
		     now - connection->last_used_us > SPARE_MAX_US))
			close_idle(connection);
	}
}

static void free_link(struct forward_link *link)
{
	TAILQ_REMOVE(&link->engine->links, link, entry);
	link->replica->owner_data = NULL;
	route_replica_unref(link->replica);
	g_free(link);
}

void forward_links_close_expired(struct forward_engine *engine)
{
	struct forward_link *link;
	struct forward_link *next;

	for (link = TAILQ_FIRST(&engine->links); link; link = next) {
		next = TAILQ_NEXT(link, entry);
		close_expired(link);
		if (!link->replica->pool && !link->replica->connections)
			free_link(link);
	}
}

static void close_all_idle(struct forward_link *link)
{
	struct forward_connection *connection = TAILQ_FIRST(&link->idle);

	while (connection) {
		struct forward_connection *next = TAILQ_NEXT(connection, entry);

		close_idle(connection);
		connection = next;
	}
}

void forward_links_free(struct forward_engine *engine)
{
	struct forward_attempt *attempt = TAILQ_FIRST(&engine->draining);
	struct forward_link *link = TAILQ_FIRST(&engine->links);

	while (attempt) {
		struct forward_attempt *next = TAILQ_NEXT(attempt, link);

		forward_attempt_abort(attempt);
		attempt = next;
	}
	while (link) {
		struct forward_link *next = TAILQ_NEXT(link, entry);

		close_all_idle(link);
		free_link(link);
		link = next;
	}
}
