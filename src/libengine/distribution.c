/*
 * Configurations, instance lists and heartbeats. A document comes from the
 * platform, a directory or a peer; a peer with an older revision is sent the
 * one in force here.
 */
#include "internal.h"

#include <string.h>

/*
 * A watch call for the instance list waits for at most list_lag_ms divided by
 * this. The list is then at most half of list_lag_ms old, and a quarter of
 * list_lag_ms is left for an answer that arrives late.
 */
#define LIST_WAIT_DIVISOR 4

/* Shortest interval between two pushes of documents to the same peer. */
#define PUSH_INTERVAL_US (1 * CS_US_PER_S)

/*
 * Assumed upper bound of the network delay of a peer's frame. It is added to
 * the age of a list received from a peer, so that the list is not considered
 * newer than it is.
 */
#define TRANSIT_MAX_US (100 * CS_US_PER_MS)

static void update_platform_revisions(struct engine *engine)
{
	const struct instance_list *list = policy_fleet_list(engine->fleet);

	platform_set_revisions(engine->platform, engine->config_revision.number,
			       list ? list->revision : 0);
}

/* ---- configurations ---- */

static void log_config(int priority, const char *event, gint64 revision,
		       const char *digest, const char *why)
{
	g_autofree char *number =
		g_strdup_printf("%" G_GINT64_FORMAT, revision);

	cs_log(priority, event, "revision", number, "digest", digest, "why",
	       why, NULL);
}

static bool refuse_config(struct engine *engine, enum cs_counter counter,
			  const char *event, gint64 revision,
			  const char *digest, const char *why)
{
	cs_counters_add(engine->counters, counter, 1);
	log_config(LOG_ERR, event, revision, digest, why);
	return false;
}

static bool accept_config(struct engine *engine, gint64 revision,
			  const char *digest, json_t *document)
{
	g_autofree char *why = NULL;
	int error;
	struct config *config = config_create(document, &error, &why);

	if (!config)
		return refuse_config(engine, CS_N_CONFIG_INVALID,
				     "config-invalid", revision, digest, why);
	policy_fleet_set_config(engine->fleet, config);
	platform_set_list_wait(engine->platform,
			       MAX(config->list_lag_ms / LIST_WAIT_DIVISOR, 1));
	policy_revision_accept(&engine->config_revision, revision, digest);
	g_free(engine->config_text);
	engine->config_text = cs_json_print(document);
	cs_counters_add(engine->counters, CS_N_CONFIG_ACCEPTED, 1);
	log_config(LOG_INFO, "config-accepted", revision, digest, NULL);
	return true;
}

static bool apply_config(struct engine *engine, gint64 revision,
			 json_t *document)
{
	g_autofree char *digest = config_digest(document);

	switch (policy_revision_check(&engine->config_revision, revision,
				      digest)) {
	case 0:
		return accept_config(engine, revision, digest, document);
	case CS_E_STALE:
		cs_counters_add(engine->counters, CS_N_CONFIG_STALE, 1);
		return false;
	case CS_E_CONFLICT:
		return refuse_config(
			engine, CS_N_CONFIG_CONFLICT, "config-conflict",
			revision, digest,
			"this revision is in force with another digest");
	default:
		return true;
	}
}

bool engine_apply_files(gint64 revision, GPtrArray *files, void *user)
{
	struct engine *engine = user;
	g_autofree char *why = NULL;
	json_t *document;
	bool accepted;
	int error;

	if (revision <= 0)
		return refuse_config(engine, CS_N_CONFIG_INVALID,
				     "config-invalid", revision, NULL,
				     "the revision is not above 0");
	document = config_merge(files, &error, &why);
	if (!document)
		return refuse_config(engine, CS_N_CONFIG_INVALID,
				     "config-invalid", revision, NULL, why);
	accepted = apply_config(engine, revision, document);
	json_decref(document);
	update_platform_revisions(engine);
	return accepted;
}

/* ---- lists ---- */

static enum cs_counter list_counter(int error)
{
	switch (error) {
	case 0:
		return CS_N_LIST_ACCEPTED;
	case CS_E_STALE:
		return CS_N_LIST_STALE;
	case CS_E_RANGE:
		return CS_N_LIST_HELD_BACK;
	default:
		return CS_N_LIST_INVALID;
	}
}

static bool has_revision_in_force(const struct engine *engine,
				  const struct instance_list *list)
{
	const struct instance_list *in_force = policy_fleet_list(engine->fleet);

	return in_force && in_force->revision == list->revision;
}

static void record_list_result(struct engine *engine, gint64 revision,
			       int error, const char *why)
{
	g_autofree char *number =
		g_strdup_printf("%" G_GINT64_FORMAT, revision);

	cs_counters_add(engine->counters, list_counter(error), 1);
	if (error)
		cs_log(LOG_WARNING, "list-refused", "revision", number,
		       "reason", cs_error_name(error), "why", why, NULL);
	else
		cs_log(LOG_INFO, "list-accepted", "revision", number, NULL);
}

bool engine_apply_list(json_t *document, gint64 read_sent_us, void *user)
{
	struct engine *engine = user;
	g_autofree char *why = NULL;
	struct instance_list *list;
	gint64 revision;
	int error;

	list = instance_list_create(document, &error, &why);
	if (!list) {
		record_list_result(engine, 0, CS_E_JSON, why);
		return false;
	}
	if (has_revision_in_force(engine, list)) {
		engine_confirm_list(read_sent_us, engine);
		instance_list_destroy(list);
		return true;
	}
	revision = list->revision;
	error = policy_fleet_set_list(engine->fleet, list, read_sent_us,
				      engine_now(engine));
	record_list_result(engine, revision, error, NULL);
	if (error)
		return false;
	engine->list_confirmed_us = read_sent_us;
	if (!engine->first_list_us)
		engine->first_list_us = engine_now(engine);
	g_free(engine->list_text);
	engine->list_text = cs_json_print(document);
	peer_links_set_daemons(engine->links,
			       policy_fleet_list(engine->fleet)->daemons);
	update_platform_revisions(engine);
	return true;
}

void engine_confirm_list(gint64 read_sent_us, void *user)
{
	struct engine *engine = user;

	engine->list_confirmed_us =
		MAX(engine->list_confirmed_us, read_sent_us);
	policy_fleet_confirm_list(engine->fleet, read_sent_us);
}

/* ---- peers ---- */

/* The upstreams that a heartbeat reports. */
struct heartbeat_upstreams {
	GArray *warm; /* struct peer_upstream */
	GArray *leaving; /* struct peer_upstream */
	gint64 now_us;
};

static void add_upstream(struct policy_upstream *upstream, void *user)
{
	struct heartbeat_upstreams *reported = user;
	struct peer_upstream entry = {
		.id = upstream->id,
		.incarnation = upstream->incarnation,
	};

	if (upstream->leaving)
		g_array_append_val(reported->leaving, entry);
	else if (policy_upstream_is_recently_warm(upstream, reported->now_us))
		g_array_append_val(reported->warm, entry);
}

void engine_send_heartbeat(struct engine *engine)
{
	const struct instance_list *list = policy_fleet_list(engine->fleet);
	struct heartbeat_upstreams reported = {
		.warm = g_array_new(FALSE, FALSE, sizeof(struct peer_upstream)),
		.leaving =
			g_array_new(FALSE, FALSE, sizeof(struct peer_upstream)),
		.now_us = engine_now(engine),
	};
	struct peer_frame frame = {
		.kind = PEER_HEARTBEAT,
		.heartbeat =
			{
				.leaving = engine->phase != ENGINE_SERVING,
				.config_revision =
					engine->config_revision.number,
				.list_revision = list ? list->revision : 0,
			},
	};

	policy_fleet_each(engine->fleet, add_upstream, &reported);
	frame.heartbeat.warm =
		(const struct peer_upstream *)reported.warm->data;
	frame.heartbeat.n_warm = reported.warm->len;
	frame.heartbeat.leaving_upstreams =
		(const struct peer_upstream *)reported.leaving->data;
	frame.heartbeat.n_leaving = reported.leaving->len;
	peer_links_send_all(engine->links, &frame);
	g_array_unref(reported.leaving);
	g_array_unref(reported.warm);
}

/* Whether a push to the peer is due; if so, records its time. */
static bool may_push(struct engine *engine, const char *peer)
{
	gint64 now = engine_now(engine);
	const gint64 *last = g_hash_table_lookup(engine->push_times, peer);

	if (last && now - *last < PUSH_INTERVAL_US)
		return false;
	g_hash_table_replace(engine->push_times, g_strdup(peer),
			     g_memdup2(&now, sizeof(now)));
	return true;
}

static void push_config(struct engine *engine, const char *peer)
{
	struct peer_frame frame = {
		.kind = PEER_CONFIG,
		.config =
			{
				.revision = engine->config_revision.number,
				.text = engine->config_text,
			},
	};

	peer_links_send(engine->links, peer, &frame);
}

static void push_list(struct engine *engine, const char *peer)
{
	struct peer_frame frame = {
		.kind = PEER_LIST,
		.list =
			{
				.age_us = engine_now(engine) -
					  engine->list_confirmed_us,
				.text = engine->list_text,
			},
	};

	peer_links_send(engine->links, peer, &frame);
}

/*
 * Sends the configuration and the list to a peer whose heartbeat reports an
 * older revision. In standalone mode (settings->directory) nothing is sent.
 */
static void push_newer_documents(struct engine *engine,
				 const struct peer_frame *frame)
{
	const struct instance_list *list = policy_fleet_list(engine->fleet);
	bool config_newer = engine->config_revision.number >
			    frame->heartbeat.config_revision;
	bool list_newer =
		list && list->revision > frame->heartbeat.list_revision;

	if (engine->settings->directory || (!config_newer && !list_newer) ||
	    !may_push(engine, frame->sender))
		return;
	if (config_newer)
		push_config(engine, frame->sender);
	if (list_newer)
		push_list(engine, frame->sender);
}

void engine_receive_heartbeat(struct engine *engine,
			      const struct peer_frame *frame)
{
	struct policy_heartbeat heartbeat = {
		.id = frame->sender,
		.incarnation = frame->incarnation,
		.sequence = frame->sequence,
		.leaving = frame->heartbeat.leaving,
		.config_revision = frame->heartbeat.config_revision,
		.list_revision = frame->heartbeat.list_revision,
	};
	gint64 now = engine_now(engine);

	if (!policy_members_receive(engine->members, &heartbeat, now)) {
		cs_counters_add(engine->counters, CS_N_PEER_REPLAY, 1);
		return;
	}
	for (gsize i = 0; i < frame->heartbeat.n_warm; i++)
		policy_fleet_peer_warm(
			engine->fleet, frame->heartbeat.warm[i].id,
			frame->heartbeat.warm[i].incarnation, now);
	for (gsize i = 0; i < frame->heartbeat.n_leaving; i++)
		policy_fleet_peer_leaving(
			engine->fleet, frame->heartbeat.leaving_upstreams[i].id,
			frame->heartbeat.leaving_upstreams[i].incarnation, now);
	if (engine->first_list_us)
		engine->heartbeats_received++;
	push_newer_documents(engine, frame);
}

void engine_receive_config(struct engine *engine,
			   const struct peer_frame *frame)
{
	json_t *document = cs_json_parse(frame->config.text,
					 strlen(frame->config.text), NULL);

	if (!document || engine->settings->directory)
		cs_counters_add(engine->counters, CS_N_PEER_BAD, 1);
	else
		apply_config(engine, frame->config.revision, document);
	json_decref(document);
	update_platform_revisions(engine);
}

void engine_receive_list(struct engine *engine, const struct peer_frame *frame)
{
	json_t *document =
		cs_json_parse(frame->list.text, strlen(frame->list.text), NULL);
	gint64 read_sent_us =
		engine_now(engine) - frame->list.age_us - TRANSIT_MAX_US;

	if (!document || engine->settings->directory || frame->list.age_us < 0)
		cs_counters_add(engine->counters, CS_N_PEER_BAD, 1);
	else
		engine_apply_list(document, read_sent_us, engine);
	json_decref(document);
}
