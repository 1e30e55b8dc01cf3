/*
 * Requests under which replicas crash: whether a job may be sent, and the
 * exchange of what the daemons know through the seeds.
 *
 * A call and its answer carry the fingerprint of the sender's list, and the
 * list itself, up to BLOCKS_MAX requests, if the receiver's fingerprint is
 * another one.
 */
#include "internal.h"

#include "cuminsail/error.h"
#include "cuminsail/log.h"

#include <stdlib.h>
#include <string.h>

/* Largest number of requests in one message, about 100 bytes each. */
#define BLOCKS_MAX 30

/* Crashes after which this daemon does not send a request again by itself. The
 * caller may still repeat it until it is blocked. */
#define CRASHES_TO_STOP_REPEATS 2

/* For how long after a change the seeds call each other more often. */
#define SPREAD_US (1 * CS_US_PER_S)

/* Fields of one request in a message. */
enum {
	FIELD_DIGEST,
	FIELD_CLEARED_MS,
	FIELD_CAME_MS,
	FIELD_PROBES,
	FIELD_CRASHES,
	N_FIELDS
};

static void log_change(const char *event, const struct route_digest *digest,
		       const char *source)
{
	char text[ROUTE_DIGEST_TEXT_SIZE];

	cs_log(LOG_WARNING, event, "request", route_digest_print(digest, text),
	       "source", source, NULL);
}

/* Return: whether a request with so many crashes is blocked. */
static bool is_blocked(guint n_crashes)
{
	return n_crashes >= ROUTE_CRASHES_TO_BLOCK;
}

/* Logs that a request was blocked or cleared. source: "crash", "answer",
 * "daemon" or "operator" */
static void log_transition(struct forward_engine *engine,
			   const struct route_digest *digest, guint before,
			   const char *source)
{
	guint after = route_blocklist_crashes(engine->blocklist, digest);

	if (!is_blocked(before) && is_blocked(after)) {
		cs_counters_add(engine->counters, CS_N_BLOCKED, 1);
		log_change("request-blocked", digest, source);
	} else if (is_blocked(before) && !is_blocked(after)) {
		cs_counters_add(engine->counters, CS_N_UNBLOCKED, 1);
		log_change("request-unblocked", digest, source);
	}
}

static void list_changed(struct forward_engine *engine)
{
	engine->blocklist_changed_us = forward_now(engine);
	forward_peers_blocklist_changed(engine->peers);
	if (engine->follow && forward_follow_is_seed(engine->follow))
		forward_follow_call_now(engine->follow);
}

/* The list has changed by what this daemon saw itself: the seeds lack it. */
static void own_list_changed(struct forward_engine *engine, bool urgent)
{
	engine->blocklist_untold = true;
	list_changed(engine);
	if (urgent && engine->follow && !forward_follow_is_seed(engine->follow))
		forward_follow_call_now(engine->follow);
}

bool forward_blocklist_spreads(const struct forward_engine *engine)
{
	return engine->blocklist_changed_us &&
	       forward_now(engine) - engine->blocklist_changed_us < SPREAD_US;
}

void forward_blocklist_append_report(struct forward_engine *engine,
				     GString *query)
{
	bool is_seed = forward_follow_is_seed(engine->follow);

	g_string_append(query, "&blocked=");
	forward_blocklist_print(
		engine,
		engine->blocklist_untold ||
			(is_seed && forward_blocklist_spreads(engine)),
		query);
}

/* ---- evidence ---- */

static guint32 hash_replica(const struct route_replica *replica)
{
	g_autofree char *text = g_strdup_printf(
		"%s:%" G_GINT64_FORMAT, replica->id, replica->incarnation);

	return g_str_hash(text);
}

void forward_blocklist_crashed(struct forward_engine *engine,
			       const struct route_replica *replica,
			       const struct route_digest *digest, guint32 copy,
			       gint64 at_us)
{
	struct route_crash crash = {hash_replica(replica), at_us};
	guint before = route_blocklist_crashes(engine->blocklist, digest);
	guint after;

	if (!route_blocklist_crashed(engine->blocklist, digest, &crash, copy,
				     forward_now(engine)))
		return;
	after = route_blocklist_crashes(engine->blocklist, digest);
	log_transition(engine, digest, before, "crash");
	own_list_changed(engine, after > before);
}

static bool clear(struct forward_engine *engine,
		  const struct route_digest *digest, const char *source)
{
	guint before = route_blocklist_crashes(engine->blocklist, digest);

	if (!route_blocklist_clear(engine->blocklist, digest,
				   forward_now(engine)))
		return false;
	log_transition(engine, digest, before, source);
	own_list_changed(engine, is_blocked(before));
	return true;
}

void forward_blocklist_answered(struct forward_job *job)
{
	struct forward_engine *engine = job->engine;

	if (job->n_lost)
		forward_crashes_forget(engine, forward_job_digest(job));
	if (route_blocklist_active(engine->blocklist))
		clear(engine, forward_job_digest(job), "answer");
}

bool forward_blocklist_clear(struct forward_engine *engine, const char *text)
{
	struct route_digest digest;

	return route_digest_parse(text, &digest) &&
	       clear(engine, &digest, "operator");
}

/* ---- decisions ---- */

static guint own_probes(const struct forward_engine *engine)
{
	return engine->follow ? forward_follow_probes(engine->follow) : 0;
}

static void log_refusal(const struct forward_job *job,
			const struct route_digest *digest)
{
	char text[ROUTE_DIGEST_TEXT_SIZE];

	cs_log(LOG_INFO, "blocked", "id", job->request_id, "request",
	       route_digest_print(digest, text), "route", job->route->name,
	       NULL);
}

bool forward_blocklist_admits(struct forward_job *job)
{
	struct forward_engine *engine = job->engine;
	const struct route_digest *digest;
	guint n_crashes;

	if (!route_blocklist_active(engine->blocklist))
		return true;
	digest = forward_job_digest(job);
	n_crashes = route_blocklist_crashes(engine->blocklist, digest);
	job->suspected = n_crashes > 0;
	if (!route_blocklist_admits(engine->blocklist, digest, job->number,
				    own_probes(engine), forward_now(engine))) {
		log_refusal(job, digest);
		return false;
	}
	job->probe = is_blocked(n_crashes);
	return true;
}

void forward_blocklist_received(struct forward_job *job)
{
	struct forward_engine *engine = job->engine;
	const struct route_digest *digest;

	if (!job->probe)
		return;
	job->probe_received = true;
	digest = forward_job_digest(job);
	if (!route_blocklist_probe_sent(engine->blocklist, digest, job->number))
		return;
	log_change("request-probed", digest, "caller");
	own_list_changed(engine, true);
}

void forward_blocklist_ended(struct forward_job *job)
{
	if (!job->probe)
		return;
	/* What a peer has sent counts there. */
	if (job->relaying ? job->n_used > 0 : forward_job_may_have_run(job))
		forward_blocklist_received(job);
	route_blocklist_probe_ended(job->engine->blocklist,
				    forward_job_digest(job), job->number);
}

gint64 forward_blocklist_wait_us(struct forward_job *job)
{
	struct forward_engine *engine = job->engine;
	gint64 due_us = route_blocklist_next_probe_us(engine->blocklist,
						      forward_job_digest(job));

	return MAX(due_us - forward_now(engine), 0);
}

bool forward_blocklist_condemns(struct forward_job *job)
{
	return job->n_lost && !job->n_done && job->route->idempotent &&
	       route_blocklist_copy_counted(job->engine->blocklist,
					    forward_job_digest(job),
					    job->number);
}

bool forward_blocklist_suspects(struct forward_job *job)
{
	const struct route_digest *digest;

	if (job->n_done || job->relaying || !(job->suspected || job->n_lost))
		return false;
	digest = forward_job_digest(job);
	return route_blocklist_crashes(job->engine->blocklist, digest) ||
	       forward_crashes_pending(job->engine, digest);
}

/* Return: the part of a suspected query that is sent before the others: the
 * first one that has not failed. */
static const struct forward_part *first_part(const struct forward_job *job)
{
	for (guint i = 0; i < job->n_parts; i++) {
		if (job->parts[i].state != PART_FAILED)
			return &job->parts[i];
	}
	return NULL;
}

enum forward_verdict forward_blocklist_judge(struct forward_part *part)
{
	struct forward_job *job = part->job;
	struct forward_engine *engine = job->engine;
	const struct route_digest *digest;
	guint n_crashes;
	guint limit =
		part->n_sent ? CRASHES_TO_STOP_REPEATS : ROUTE_CRASHES_TO_BLOCK;

	if (job->n_done || job->relaying ||
	    (!job->n_lost && !route_blocklist_active(engine->blocklist)))
		return FORWARD_GO;
	if (job->suspected && part != first_part(job))
		return FORWARD_HOLD;
	if (job->probe)
		return job->probe_received ? FORWARD_STOP : FORWARD_GO;
	digest = forward_job_digest(job);
	n_crashes = route_blocklist_crashes(engine->blocklist, digest);
	if (n_crashes >= limit)
		return FORWARD_STOP;
	return n_crashes + forward_crashes_pending(engine, digest) >= limit
		       ? FORWARD_HOLD
		       : FORWARD_GO;
}

/* ---- exchange ---- */

static gint64 age_ms(const struct forward_engine *engine, gint64 at_us)
{
	return (forward_now(engine) - at_us) / CS_US_PER_MS;
}

struct printer {
	const struct forward_engine *engine;
	GString *text;
};

static void print_block(const struct route_block *block, void *user)
{
	struct printer *printer = user;
	char digest[ROUTE_DIGEST_TEXT_SIZE];

	g_string_append_printf(
		printer->text,
		",%s:%" G_GINT64_FORMAT ":%" G_GINT64_FORMAT ":%u:",
		route_digest_print(&block->digest, digest),
		block->cleared_us ? age_ms(printer->engine, block->cleared_us)
				  : -1,
		age_ms(printer->engine, block->came_us), block->probes);
	for (guint i = 0; i < block->n_crashes; i++)
		g_string_append_printf(
			printer->text, "%s%08x~%" G_GINT64_FORMAT, i ? "." : "",
			block->crashes[i].replica,
			age_ms(printer->engine, block->crashes[i].at_us));
}

void forward_blocklist_print(const struct forward_engine *engine, bool all,
			     GString *text)
{
	struct printer printer = {engine, text};

	g_string_append_printf(text, "%" G_GINT64_MODIFIER "x",
			       route_blocklist_fingerprint(engine->blocklist));
	if (all)
		route_blocklist_each(engine->blocklist, BLOCKS_MAX, print_block,
				     &printer);
}

static bool parse_age(const struct forward_engine *engine, const char *text,
		      gint64 *at_us)
{
	gint64 age;

	if (!g_ascii_string_to_signed(text, 10, 0, G_MAXINT, &age, NULL))
		return false;
	*at_us = forward_now(engine) - age * CS_US_PER_MS;
	return true;
}

static bool parse_crash(const struct forward_engine *engine, char *text,
			struct route_crash *crash)
{
	char *age = strchr(text, '~');
	guint64 replica;

	if (!age)
		return false;
	*age++ = '\0';
	if (!g_ascii_string_to_unsigned(text, 16, 0, G_MAXUINT32, &replica,
					NULL))
		return false;
	crash->replica = (guint32)replica;
	return parse_age(engine, age, &crash->at_us);
}

static bool parse_block(const struct forward_engine *engine, const char *text,
			struct route_block *block)
{
	g_auto(GStrv) fields = g_strsplit(text, ":", -1);
	g_auto(GStrv) crashes = NULL;
	guint64 probes;

	memset(block, 0, sizeof(*block));
	if (g_strv_length(fields) != N_FIELDS ||
	    !route_digest_parse(fields[FIELD_DIGEST], &block->digest) ||
	    !parse_age(engine, fields[FIELD_CAME_MS], &block->came_us) ||
	    !g_ascii_string_to_unsigned(fields[FIELD_PROBES], 10, 0,
					(1U << ROUTE_PROBES_MAX) - 1, &probes,
					NULL))
		return false;
	block->probes = (guint)probes;
	if (strcmp(fields[FIELD_CLEARED_MS], "-1") != 0 &&
	    !parse_age(engine, fields[FIELD_CLEARED_MS], &block->cleared_us))
		return false;
	crashes = g_strsplit(fields[FIELD_CRASHES], ".", -1);
	block->n_crashes = g_strv_length(crashes);
	if (block->n_crashes > ROUTE_CRASHES_TO_BLOCK)
		return false;
	for (guint i = 0; i < block->n_crashes; i++) {
		if (!parse_crash(engine, crashes[i], &block->crashes[i]))
			return false;
	}
	return true;
}

static bool merge_block(struct forward_engine *engine, const char *text)
{
	struct route_block block;
	guint before;

	if (!parse_block(engine, text, &block)) {
		cs_log(LOG_WARNING, "block-invalid", "text", text, NULL);
		return false;
	}
	before = route_blocklist_crashes(engine->blocklist, &block.digest);
	if (!route_blocklist_merge(engine->blocklist, &block,
				   forward_now(engine)))
		return false;
	log_transition(engine, &block.digest, before, "daemon");
	return true;
}

guint64 forward_blocklist_merge(struct forward_engine *engine, const char *text)
{
	g_auto(GStrv) items = g_strsplit(text, ",", -1);
	guint64 fingerprint;
	bool changed = false;

	if (!items[0] ||
	    !g_ascii_string_to_unsigned(items[0], 16, 0, G_MAXUINT64,
					&fingerprint, NULL)) {
		cs_log(LOG_WARNING, "block-invalid", "text", text, NULL);
		return 0;
	}
	for (char **item = items + 1; *item; item++)
		changed |= merge_block(engine, *item);
	if (changed)
		list_changed(engine);
	return fingerprint;
}

void forward_blocklist_apply(struct forward_engine *engine, const char *text)
{
	engine->blocklist_untold =
		text && forward_blocklist_merge(engine, text) !=
				route_blocklist_fingerprint(engine->blocklist);
}

/* ---- operators' page ---- */

struct page {
	const struct forward_engine *engine;
	json_t *rows;
};

static void add_row(const struct route_block *block, void *user)
{
	struct page *page = user;
	char digest[ROUTE_DIGEST_TEXT_SIZE];

	if (!block->n_crashes)
		return;
	json_array_append_new(
		page->rows,
		json_pack("{s:s, s:i, s:b, s:I, s:I, s:i}", "request",
			  route_digest_print(&block->digest, digest), "crashes",
			  (int)block->n_crashes, "blocked",
			  is_blocked(block->n_crashes), "came_ms_ago",
			  (json_int_t)age_ms(page->engine, block->came_us),
			  "crashed_ms_ago",
			  (json_int_t)age_ms(page->engine,
					     block->crashes[0].at_us),
			  "probes", (int)block->probes));
}

json_t *forward_blocklist_page(const struct forward_engine *engine)
{
	struct page page = {engine, json_array()};

	route_blocklist_each(engine->blocklist, ROUTE_BLOCKLIST_MAX, add_row,
			     &page);
	return json_pack("{s:s, s:o}", "instance", engine->settings->instance,
			 "blocked", page.rows);
}
