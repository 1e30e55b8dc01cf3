/* Replies to callers: a replica's answer, a merged answer or a refusal. */
#include "internal.h"

#include "cuminsail/error.h"
#include "cuminsail/log.h"

#include <string.h>

/* Retry-After if all replicas are busy: about the time until a running request
 * finishes. */
#define RETRY_OVERLOAD_MS 100

/* Retry-After if there is no replica or no configuration: the time until the
 * platform's list changes. */
#define RETRY_CONFIG_MS 500

/* Retry-After of a daemon that stops: another one serves the request at once.
 */
#define RETRY_STOPPING_MS 0

/* Callers that were refused during a rest or a block return over this time
 * after its end, so that the replica does not meet all of them at once. */
#define RETRY_SPREAD_MS 200

/* Longest Retry-After for rate limits: a call to a seed then has told this
 * daemon of a limit that ended. */
#define RETRY_LIMIT_MAX_MS 1000

/* Longest wait for the next probe of a blocked request, or for the end of a
 * rest. */
#define RETRY_BLOCKED_MS 60000

/* Time in which a copy comes to the daemon that sends the next probe of a
 * blocked request, and its result reaches all daemons. */
#define RETRY_PROBE_MS 500

static void log_outcome(const struct forward_job *job, const char *outcome,
			guint status)
{
	struct forward_engine *engine = job->engine;
	gint64 elapsed_us = forward_now(engine) - job->started_us;
	char code[FORWARD_NUMBER_TEXT_MAX];
	char version[FORWARD_NUMBER_TEXT_MAX];
	char parts[FORWARD_NUMBER_TEXT_MAX];
	char hedges[FORWARD_NUMBER_TEXT_MAX];
	char retries[FORWARD_NUMBER_TEXT_MAX];
	char ms[FORWARD_NUMBER_TEXT_MAX];
	char deadline[FORWARD_NUMBER_TEXT_MAX];
	char age[FORWARD_NUMBER_TEXT_MAX];

	cs_counters_observe(engine->counters,
			    job->route->target == ROUTE_FANOUT ? CS_H_FANOUT
							       : CS_H_SINGLE,
			    elapsed_us);
	g_snprintf(code, sizeof(code), "%u", status);
	g_snprintf(version, sizeof(version), "%" G_GINT64_FORMAT,
		   job->table->version);
	g_snprintf(parts, sizeof(parts), "%u/%u", job->n_done, job->n_parts);
	g_snprintf(hedges, sizeof(hedges), "%u", job->n_hedges);
	g_snprintf(retries, sizeof(retries), "%u", job->n_retries);
	cs_log(LOG_INFO, "request", "id", job->request_id, "route",
	       job->route->name, "outcome", outcome, "status", code, "parts",
	       parts, "hedges", hedges, "retries", retries, "elapsed_ms",
	       forward_print_ms(ms, elapsed_us), "deadline_ms",
	       forward_print_ms(deadline, job->deadline_us - job->started_us),
	       "version", version, "picture_age_ms",
	       forward_print_ms(age, forward_view_age(engine)), NULL);
}

/* lines: header lines, changed for a peer. code: as in
 * forward_relays_append_answer_field() */
static void send_reply(struct forward_job *job, guint status, GString *lines,
		       const GByteArray *body, int code)
{
	struct http1_reply reply = {.status = status};

	if (job->relayed)
		forward_relays_append_answer_field(job->engine, code, lines);
	reply.header_lines = lines->str;
	if (body) {
		reply.body = body->data;
		reply.body_length = body->len;
	}
	http1_exchange_reply(job->exchange, &reply);
}

static void send_replica_answer(struct forward_job *job,
				struct forward_answer *answer)
{
	send_reply(job, answer->status, answer->lines, answer->body, 0);
}

/* Return: whether an answer can be kept until the caller has taken it. */
static bool has_room(const struct forward_job *job,
		     const struct forward_answer *answer)
{
	return http1_memory_has_room(&job->engine->answer_memory,
				     answer->body->len);
}

static void reply_merged(struct forward_job *job)
{
	const struct forward_dialect *dialect = job->engine->dialect;
	struct route_merge *merge =
		route_merge_create(job->route->fanout.top_k);
	GString *lines = g_string_sized_new(1024);
	const char *separator = "";
	GByteArray *body;

	g_string_printf(lines, "%s: %s\r\n%s: ", dialect->request_id,
			job->request_id, dialect->part_signatures);
	for (guint i = 0; i < job->n_parts; i++) {
		const struct forward_answer *answer = job->parts[i].answer;

		if (job->parts[i].state != PART_DONE)
			continue;
		route_merge_add(merge, answer->body->data, answer->body->len);
		g_string_append(lines, separator);
		g_string_append(lines, answer->signature);
		separator = ", ";
	}
	g_string_append_printf(lines, "\r\n%s: %u\r\n", dialect->parts_missing,
			       job->n_parts - job->n_done);
	g_string_append(lines, "Content-Type: application/octet-stream\r\n");
	body = route_merge_finish(merge);
	send_reply(job, 200, lines, body, 0);
	g_byte_array_unref(body);
	g_string_free(lines, TRUE);
}

void forward_reply(struct forward_job *job)
{
	struct cs_counters *counters = job->engine->counters;
	bool full = job->n_done == job->n_parts;
	guint status = 200;

	if (!forward_job_merges(job) && !has_room(job, job->parts[0].answer)) {
		forward_refuse(job, CS_E_TOO_LARGE);
		return;
	}
	/* A peer counts the answers that it gives. */
	if (!job->relaying)
		cs_counters_add(counters, full ? CS_N_ANSWERED : CS_N_PARTIAL,
				1);
	if (!forward_job_merges(job))
		status = job->parts[0].answer->status;
	log_outcome(job,
		    job->relaying ? "relayed"
		    : full	  ? "answered"
				  : "partial",
		    status);
	if (forward_job_merges(job))
		reply_merged(job);
	else
		send_replica_answer(job, job->parts[0].answer);
}

/* Return: the replica's failure if it can be returned to the caller unchanged,
 * else NULL. A status that promises "not run" is held back, because the replica
 * gave no proof. */
static struct forward_answer *replica_failure(const struct forward_job *job)
{
	struct forward_answer *failure = job->parts[0].failure;

	if (forward_job_merges(job) || !failure || !has_room(job, failure) ||
	    (failure->status >= 200 && failure->status < 300) ||
	    forward_status_promises_not_run(failure->status))
		return NULL;
	return failure;
}

/* Return: time until this daemon may send all parts of the job, or G_MAXINT64
 * if it may not send one. */
static gint64 wait_ms_of(const struct forward_job *job)
{
	gint64 now = forward_now(job->engine);
	gint64 wait_ms = RETRY_OVERLOAD_MS;

	for (guint i = 0; i < job->n_parts; i++)
		wait_ms = MAX(wait_ms,
			      route_pool_wait_us(job->parts[i].pool, now) /
				      CS_US_PER_MS);
	return wait_ms;
}

/* Return: time until the rests of the job's replicas end. */
static gint64 rest_wait_ms(const struct forward_job *job)
{
	return MIN(wait_ms_of(job), RETRY_BLOCKED_MS) +
	       g_random_int_range(0, RETRY_SPREAD_MS);
}

/* Return: time until the result of the next probe is known. */
static gint64 blocked_wait_ms(struct forward_job *job)
{
	gint64 wait_ms = forward_blocklist_wait_us(job) / CS_US_PER_MS;

	return MIN(wait_ms, RETRY_BLOCKED_MS) + RETRY_PROBE_MS +
	       g_random_int_range(0, RETRY_SPREAD_MS);
}

static gint64 retry_after_ms(struct forward_job *job, int code)
{
	switch (code) {
	case CS_E_STOPPING:
		return RETRY_STOPPING_MS;
	case CS_E_NO_CONTACT:
	case CS_E_NO_REPLICA:
	case CS_E_NOT_READY:
		return RETRY_CONFIG_MS;
	case CS_E_BLOCKED:
		return blocked_wait_ms(job);
	case CS_E_RATE_LIMIT:
		return MIN(wait_ms_of(job), RETRY_LIMIT_MAX_MS);
	case CS_E_REST:
		return rest_wait_ms(job);
	default:
		return RETRY_OVERLOAD_MS;
	}
}

static guint status_of(const struct forward_job *job, int code)
{
	if (!forward_job_may_have_run(job))
		return code == CS_E_DEADLINE ? 504 : 503;
	return code == CS_E_DEADLINE ? 504 : 502;
}

void forward_refuse(struct forward_job *job, int code)
{
	struct forward_answer *failure = replica_failure(job);
	guint status = status_of(job, code);
	GString *lines;

	cs_counters_add_refusal(job->engine->counters, code);
	log_outcome(job, cs_error_name(code),
		    failure ? failure->status : status);
	if (failure) {
		send_replica_answer(job, failure);
		return;
	}
	lines = g_string_new(NULL);
	g_string_append_printf(lines, "%s: %s\r\n",
			       job->engine->dialect->request_id,
			       job->request_id);
	if (status == 503)
		g_string_append_printf(lines, "Retry-After: %.3f\r\n",
				       (double)retry_after_ms(job, code) /
					       1000);
	send_reply(job, status, lines, NULL, code);
	g_string_free(lines, TRUE);
}
