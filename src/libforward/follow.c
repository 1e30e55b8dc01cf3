/*
 * Keeps this daemon's routing view up to date, either from a seed or directly
 * from the platform.
 *
 * A seed reads the platform. Every other daemon follows one seed. It switches
 * to the next seed when that one does not answer or has an outdated view. When
 * no seed is usable, it reads the platform directly until one is. A daemon that
 * reads the platform also calls the seeds, because a peer may have a newer view
 * when this daemon cannot reach the platform.
 */
#include "internal.h"

#include "cuminsail/compress.h"
#include "cuminsail/endpoint.h"
#include "cuminsail/log.h"

#include <string.h>

/* Longest time without an answer of a seed that is called: the longest time a
 * seed holds a call, plus the longest network delay. */
#define ANSWER_TIMEOUT_US (1500 * CS_US_PER_MS)

/* The same while this daemon has no routing view: a seed without one holds the
 * call for at most 0.3 s. */
#define FIRST_ANSWER_TIMEOUT_US (500 * CS_US_PER_MS)

/* The same after another seed has failed: this one is asked to answer at once.
 * News must arrive within 3 s although all seeds are silent one after the
 * other, so that the platform is read in the end. */
#define FAILOVER_TIMEOUT_US (300 * CS_US_PER_MS)

/* Connect timeout. A connection between regions is established in 40 ms, so a
 * seed that takes longer than this is treated as down. */
#define CONNECT_TIMEOUT_US (200 * CS_US_PER_MS)

/* Interval at which a daemon that reads the platform calls a seed, so that it
 * is counted as up. */
#define REPORT_INTERVAL_US (1500 * CS_US_PER_MS)

/* The same for a seed shortly after its blocklist has changed. */
#define SPREAD_INTERVAL_US (200 * CS_US_PER_MS)

/* Shortest time between two calls that do not wait for their turn. */
#define CALL_NOW_INTERVAL_US (20 * CS_US_PER_MS)

/* Delay before the next call once all seeds have failed, and between the calls
 * of a seed whose own routing view is outdated: these may be answered at once.
 */
#define RETRY_DELAY_US (150 * CS_US_PER_MS)

/* Age of the routing view at which the platform is read directly if no seed is
 * usable. When all seeds have an outdated view, the cause is usually the
 * platform itself, and a call from every daemon would not help it. The age
 * stays below 3 s, the time within which a change must be in force. */
#define DIRECT_READ_AGE_US (2400 * CS_US_PER_MS)

/* Minimum time for which the platform is then read directly. */
#define DIRECT_READ_MIN_US (3 * CS_US_PER_S)

/* Time after the start before a daemon without a routing view reads the
 * platform directly: all daemons may start within 300 ms of each other, and the
 * seeds must be up first. */
#define START_GRACE_US (350 * CS_US_PER_MS)

/* The first call goes to the seed whose probe connects first. If none connects
 * within this time, it goes to a random seed. */
#define PROBE_WAIT_US (60 * CS_US_PER_MS)

/* Time after a switch before a nearer seed is tried again. */
#define NEAREST_RETRY_US (5 * CS_US_PER_S)

/* Largest routing view accepted: 16 times the size limit of a store value. */
#define VIEW_BYTES_MAX 16777216

/* Longest hold of a replica that a seed may name. */
#define HOLD_MS_MAX 10000

/* Time for which the daemon counts of a seed's answer are used. */
#define COUNT_LIFETIME_US (7 * CS_US_PER_S)

/* The last daemon counts received from a seed, and the round trip to it. */
struct seed_status {
	guint daemons;
	guint in_zone; /* daemons in the zone of this daemon */
	gint64 received_us; /* 0: no answer yet */
	gint64 round_trip_us; /* time to connect; 0: not known */
};

/* A connection that only measures the round trip to a seed. */
struct probe {
	struct forward_follow *follow;
	struct http1_client *client;
	gint64 begun_us;
	guint seed; /* index of the seed */
};

struct forward_follow {
	struct forward_engine *engine;
	struct forward_source source;
	struct http1_limits limits;
	struct http1_client *client;
	struct cs_timer timer; /* next call, or timeout of this one */
	struct seed_status *seeds; /* n_seeds entries */
	struct probe *probes; /* n_seeds entries */
	gint64 switched_us; /* when the followed seed last changed */
	guint n_seeds;
	guint seed; /* index of the seed being called */
	guint failures; /* consecutive calls that failed */
	gint64 started_us;
	gint64 called_us; /* when the last call began */
	/* The same of the first call that the seed has not answered; 0: none.
	 * A further call does not give it more time. */
	gint64 unanswered_us;
	gint64 direct_until_us;
	bool is_seed; /* this daemon is a seed */
	bool direct; /* this daemon reads the platform directly */
	bool calling; /* a call has no answer yet */
	bool seed_answered; /* at least one seed has answered */
};

#define follow_of_timer(pointer)                                               \
	((struct forward_follow *)((char *)(pointer)-offsetof(                 \
		struct forward_follow, timer)))

static const struct sockaddr_in *seed_address(
	const struct forward_follow *follow, guint i)
{
	return &g_array_index(follow->engine->settings->seeds,
			      struct sockaddr_in, i);
}

static bool is_self(const struct forward_follow *follow, guint i)
{
	const struct sockaddr_in *self = &follow->engine->settings->control;
	const struct sockaddr_in *seed = seed_address(follow, i);

	return seed->sin_port == self->sin_port &&
	       seed->sin_addr.s_addr == self->sin_addr.s_addr;
}

/* Starts or stops reading the platform directly; @reason goes to the log. */
static void set_direct_reading(struct forward_follow *follow, bool direct,
			       const char *reason)
{
	if (follow->direct == direct)
		return;
	follow->direct = direct;
	cs_log(LOG_NOTICE, direct ? "platform-read-directly" : "following-seed",
	       "reason", reason, NULL);
	follow->source.set_direct_reading(direct, follow->source.user);
}

/* ---- daemon counts ---- */

/* Uses the greatest counts of all seeds, because a seed that has just started
 * has received calls of only a few daemons. */
static void update_daemon_counts(struct forward_follow *follow)
{
	struct forward_engine *engine = follow->engine;
	struct route_bounds bounds = engine->settings->bounds;
	gint64 now = forward_now(engine);
	guint daemons = 0;
	guint in_zone = 0;

	for (guint i = 0; i < follow->n_seeds; i++) {
		const struct seed_status *status = &follow->seeds[i];

		if (!status->received_us ||
		    now - status->received_us > COUNT_LIFETIME_US)
			continue;
		daemons = MAX(daemons, status->daemons);
		in_zone = MAX(in_zone, status->in_zone);
	}
	if (!daemons ||
	    (daemons == engine->daemons && in_zone == engine->daemons_in_zone))
		return;
	engine->daemons = bounds.daemons = daemons;
	engine->daemons_in_zone = bounds.daemons_in_zone = MAX(in_zone, 1);
	route_fleet_set_bounds(engine->fleet, &bounds);
	{
		char text[2][FORWARD_NUMBER_TEXT_MAX];

		g_snprintf(text[0], FORWARD_NUMBER_TEXT_MAX, "%u", daemons);
		g_snprintf(text[1], FORWARD_NUMBER_TEXT_MAX, "%u", in_zone);
		cs_log(LOG_NOTICE, "daemons", "all", text[0], "in_zone",
		       text[1], NULL);
	}
}

/* ---- calls ---- */

static void arm_timer(struct forward_follow *follow, gint64 us)
{
	cs_timer_arm(follow->engine->clock, &follow->timer,
		     forward_now(follow->engine) + us);
}

static void close_call(struct forward_follow *follow)
{
	follow->calling = false;
	if (follow->client)
		http1_client_close(follow->client);
	follow->client = NULL;
}

static void select_next_seed(struct forward_follow *follow)
{
	close_call(follow);
	follow->unanswered_us = 0;
	follow->seed = (follow->seed + 1) % follow->n_seeds;
	if (is_self(follow, follow->seed))
		follow->seed = (follow->seed + 1) % follow->n_seeds;
}

/* Switches to the nearest seed. Each seed sends its routing view to many
 * daemons, so every daemon follows the nearest seed as long as that one is
 * usable. */
static void select_nearest_seed(struct forward_follow *follow)
{
	guint nearest = follow->seed;

	for (guint i = 0; i < follow->n_seeds; i++) {
		gint64 round_trip_us = follow->seeds[i].round_trip_us;

		if (round_trip_us &&
		    round_trip_us < follow->seeds[nearest].round_trip_us)
			nearest = i;
	}
	if (nearest == follow->seed)
		return;
	close_call(follow);
	follow->unanswered_us = 0;
	follow->seed = nearest;
	follow->switched_us = forward_now(follow->engine);
}

/* The position up to which this daemon knows all changes; the call asks for
 * later ones. Revision 0: no routing view yet. */
static struct forward_position known_position(
	const struct forward_follow *follow)
{
	return follow->source.position(follow->source.user);
}

/* Return: whether this daemon must read the platform if no seed is usable. */
static bool needs_platform(const struct forward_follow *follow)
{
	gint64 now = forward_now(follow->engine);

	if (!known_position(follow).revision)
		return now - follow->started_us >= START_GRACE_US;
	return forward_view_age(follow->engine) >= DIRECT_READ_AGE_US;
}

/* Switches to the next seed after a failed call. If every seed has failed in a
 * row, reads the platform directly where needed. */
static void abandon_seed(struct forward_follow *follow, const char *reason)
{
	gint64 now = forward_now(follow->engine);
	char address[CS_ENDPOINT_TEXT_SIZE];

	cs_endpoint_print(seed_address(follow, follow->seed), address);
	cs_log(LOG_INFO, "seed-left", "seed", address, "reason", reason, NULL);
	select_next_seed(follow);
	follow->switched_us = now;
	follow->failures++;
	if (!follow->is_seed && follow->failures >= follow->n_seeds &&
	    needs_platform(follow)) {
		set_direct_reading(follow, true, "no-seed");
		follow->direct_until_us = now + DIRECT_READ_MIN_US;
	}
	arm_timer(follow, follow->failures < follow->n_seeds ? 0
			  : follow->direct ? REPORT_INTERVAL_US
					   : RETRY_DELAY_US);
}

/* Return: end of the longest hold of a replica at a seed. An older seed names
 * none. */
static gint64 read_hold(const struct forward_follow *follow, json_t *document)
{
	json_int_t hold_ms =
		json_integer_value(json_object_get(document, "hold_ms"));

	return forward_now(follow->engine) +
	       CLAMP(hold_ms, 0, HOLD_MS_MAX) * CS_US_PER_MS;
}

/* Applies a seed's view. Removed replicas are held as at the seed, whatever
 * this daemon itself could read. */
static bool apply_with_hold(struct forward_follow *follow, json_t *view,
			    gint64 hold_until_us)
{
	struct route_fleet *fleet = follow->engine->fleet;
	gint64 own_us = route_fleet_set_hold(fleet, hold_until_us);
	bool applied = follow->source.apply(view, follow->source.user);

	route_fleet_set_hold(fleet, own_us);
	return applied;
}

/* Applies the routing view of a seed's answer.
 * Return: NULL, or why the answer's view is not usable. */
static const char *apply_view(struct forward_follow *follow, json_t *document,
			      gint64 age_us)
{
	const char *compressed =
		json_string_value(json_object_get(document, "picture"));
	g_autofree char *text = NULL;
	g_autofree char *why = NULL;
	json_t *view = NULL;
	bool applied;

	/* A seed that has just started has no routing view. */
	if (!compressed)
		return NULL;
	text = cs_decompress_text(compressed, VIEW_BYTES_MAX, &why);
	if (text)
		view = cs_json_parse(text, strlen(text), &why);
	if (!view) {
		cs_log(LOG_WARNING, "picture-invalid", "why", why, NULL);
		return "bad-answer";
	}
	applied = apply_with_hold(follow, view, read_hold(follow, document));
	json_decref(view);
	if (!applied)
		return "not-applied";
	forward_engine_confirm_view(follow->engine,
				    forward_now(follow->engine) - age_us);
	return NULL;
}

/* Reads the daemon counts, the outliers and the age of the routing view, in
 * microseconds, from a seed's answer.
 * Return: false if the document is not a valid answer. */
static bool read_status(struct forward_follow *follow, json_t *document,
			gint64 *age_us)
{
	struct seed_status *status = &follow->seeds[follow->seed];
	json_int_t daemons =
		json_integer_value(json_object_get(document, "daemons"));
	json_int_t in_zone = json_integer_value(
		json_object_get(document, "daemons_in_zone"));
	json_t *age = json_object_get(document, "age_ms");

	if (daemons < 1 || daemons > G_MAXINT || in_zone < 0 ||
	    in_zone > daemons || !json_is_integer(age) ||
	    json_integer_value(age) < 0)
		return false;
	*age_us = json_integer_value(age) * CS_US_PER_MS;
	status->daemons = (guint)daemons;
	status->in_zone = (guint)in_zone;
	status->received_us = forward_now(follow->engine);
	follow->seed_answered = true;
	/* A seed computes the outliers from the reports of its followers. */
	if (!follow->is_seed)
		forward_outliers_apply(follow->engine,
				       json_object_get(document, "outliers"));
	forward_limits_apply(
		follow->engine, json_object_get(document, "limits"),
		follow->is_seed ? NULL : json_object_get(document, "places"));
	forward_blocklist_apply(
		follow->engine,
		json_string_value(json_object_get(document, "blocked")));
	if (!follow->is_seed)
		forward_relays_apply(
			follow->engine->relays,
			json_string_value(json_object_get(document, "relays")));
	forward_pauses_apply(follow->engine, json_string_value(json_object_get(
						     document, "pauses")));
	update_daemon_counts(follow);
	return true;
}

static gint64 seed_call_interval(const struct forward_follow *follow)
{
	if (!follow->engine->view_current)
		return RETRY_DELAY_US;
	return forward_blocklist_spreads(follow->engine) ? SPREAD_INTERVAL_US
							 : REPORT_INTERVAL_US;
}

static void schedule_next_call(struct forward_follow *follow, gint64 age_us)
{
	gint64 now = forward_now(follow->engine);

	if (follow->is_seed) {
		follow->failures = 0;
		select_next_seed(follow);
		arm_timer(follow, seed_call_interval(follow));
	} else if (age_us >= FORWARD_VIEW_LATE_US) {
		abandon_seed(follow, "late-picture");
	} else {
		follow->failures = 0;
		if (now >= follow->direct_until_us)
			set_direct_reading(follow, false, "seed-current");
		if (now - follow->switched_us >= NEAREST_RETRY_US)
			select_nearest_seed(follow);
		arm_timer(follow, follow->direct ? REPORT_INTERVAL_US : 0);
	}
}

static bool on_answer(struct http1_client *client,
		      const struct http1_message *message, void *user)
{
	struct forward_follow *follow = user;
	json_t *document = NULL;
	const char *unusable = "bad-answer";
	gint64 age_us = 0;

	follow->calling = false;
	follow->unanswered_us = 0;
	cs_timer_disarm(follow->engine->clock, &follow->timer);
	if (message->status == 200)
		document = cs_json_parse((const char *)message->body->data,
					 message->body->len, NULL);
	if (!http1_client_idle(client)) {
		http1_client_close(client);
		follow->client = NULL;
	}
	if (document && read_status(follow, document, &age_us))
		unusable = apply_view(follow, document, age_us);
	if (unusable)
		abandon_seed(follow, unusable);
	else
		schedule_next_call(follow, age_us);
	json_decref(document);
	return true;
}

/* Return: whether the seed is asked to answer at once. A seed of an older build
 * may hold the call all the same, and is given the time for it once the
 * platform is read. */
static bool asks_at_once(const struct forward_follow *follow)
{
	return follow->failures && !follow->direct &&
	       known_position(follow).revision;
}

/* Return: how long the seed may leave the calls to it unanswered. */
static gint64 answer_timeout(const struct forward_follow *follow)
{
	if (!known_position(follow).revision)
		return FIRST_ANSWER_TIMEOUT_US;
	return asks_at_once(follow) ? FAILOVER_TIMEOUT_US : ANSWER_TIMEOUT_US;
}

static void arm_answer_timeout(struct forward_follow *follow)
{
	cs_timer_arm(follow->engine->clock, &follow->timer,
		     follow->unanswered_us + answer_timeout(follow));
}

static void on_connected(struct http1_client *client, void *user)
{
	arm_answer_timeout(user);
}

static void on_closed(struct http1_client *client, enum http1_failure failure,
		      void *user)
{
	struct forward_follow *follow = user;

	follow->client = NULL;
	if (follow->calling)
		abandon_seed(follow, failure == HTTP1_NOT_CONNECTED
					     ? "not-connected"
					     : "closed");
}

static void append_followers(const struct forward_follow *follow, GString *head)
{
	struct forward_registry *registry = follow->engine->registry;

	forward_registry_append_callers(registry, head);
	forward_registry_append_relays(registry, head);
	forward_registry_append_silent(registry, head);
}

static void send_call(struct forward_follow *follow)
{
	const struct forward_settings *settings = follow->engine->settings;
	g_autofree char *zone =
		g_uri_escape_string(settings->zone, NULL, FALSE);
	char control[CS_ENDPOINT_TEXT_SIZE];
	struct forward_position known = known_position(follow);
	GString *head = g_string_new(NULL);

	cs_endpoint_print(&settings->control, control);
	g_string_printf(head,
			"GET " FORWARD_FOLLOW_PATH
			"control=%s&zone=%s&after=%" G_GINT64_FORMAT
			"&history=%" G_GINT64_FORMAT,
			control, zone, known.revision, known.history);
	if (asks_at_once(follow))
		g_string_append(head, "&wait_ms=0");
	if (follow->is_seed)
		append_followers(follow, head);
	else
		forward_outliers_append_report(follow->engine, head);
	forward_pauses_append_report(follow->engine, head);
	forward_limits_append_report(follow->engine, follow->is_seed, head);
	forward_limits_append_sizes(follow->engine, head);
	forward_blocklist_append_report(follow->engine, head);
	forward_relays_append_report(follow->engine->relays, head);
	g_string_append(head, " HTTP/1.1\r\nHost: seed\r\n\r\n");
	http1_client_send(follow->client, head, NULL, 0, false);
	g_string_free(head, TRUE);
}

static void begin_call(struct forward_follow *follow)
{
	struct http1_client_hooks hooks = {on_connected, on_answer, on_closed,
					   follow};

	bool connected = follow->client != NULL;

	if (follow->unanswered_us &&
	    forward_now(follow->engine) - follow->unanswered_us >=
		    answer_timeout(follow)) {
		abandon_seed(follow, "timeout");
		return;
	}
	if (!connected)
		follow->client =
			http1_client_open(follow->engine->loop,
					  seed_address(follow, follow->seed),
					  &follow->limits, &hooks);
	if (!follow->client) {
		abandon_seed(follow, "no-socket");
		return;
	}
	follow->calling = true;
	follow->called_us = forward_now(follow->engine);
	if (!follow->unanswered_us)
		follow->unanswered_us = follow->called_us;
	send_call(follow);
	if (connected)
		arm_answer_timeout(follow);
	else
		arm_timer(follow, CONNECT_TIMEOUT_US);
}

static void on_timer(struct cs_timer *timer)
{
	struct forward_follow *follow = follow_of_timer(timer);

	if (follow->engine->phase != FORWARD_SERVING) {
		close_call(follow);
		set_direct_reading(follow, true, "draining");
	} else if (follow->calling) {
		abandon_seed(follow, "timeout");
	} else {
		begin_call(follow);
	}
}

/* ---- probes ---- */

static void end_probe(struct probe *probe)
{
	if (probe->client)
		http1_client_close(probe->client);
	probe->client = NULL;
}

static void on_probe_connected(struct http1_client *client, void *user)
{
	struct probe *probe = user;
	struct forward_follow *follow = probe->follow;
	gint64 round_trip_us = forward_now(follow->engine) - probe->begun_us;

	follow->seeds[probe->seed].round_trip_us = MAX(round_trip_us, 1);
	end_probe(probe);
	if (follow->is_seed || follow->calling || follow->seed_answered)
		return;
	follow->seed = probe->seed;
	begin_call(follow);
}

static bool on_probe_answer(struct http1_client *client,
			    const struct http1_message *answer, void *user)
{
	return false;
}

static void on_probe_closed(struct http1_client *client,
			    enum http1_failure failure, void *user)
{
	((struct probe *)user)->client = NULL;
}

static void begin_probes(struct forward_follow *follow)
{
	for (guint i = 0; i < follow->n_seeds; i++) {
		struct probe *probe = &follow->probes[i];
		struct http1_client_hooks hooks = {on_probe_connected,
						   on_probe_answer,
						   on_probe_closed, probe};

		probe->follow = follow;
		probe->seed = i;
		probe->begun_us = forward_now(follow->engine);
		if (!is_self(follow, i))
			probe->client = http1_client_open(
				follow->engine->loop, seed_address(follow, i),
				&follow->limits, &hooks);
	}
}

struct forward_follow *forward_follow_create(
	struct forward_engine *engine, const struct forward_source *source)
{
	struct forward_follow *follow = g_new0(struct forward_follow, 1);

	follow->engine = engine;
	follow->started_us = forward_now(engine);
	follow->source = *source;
	follow->limits.header_bytes = 65536;
	follow->limits.body_bytes = VIEW_BYTES_MAX;
	follow->n_seeds = engine->settings->seeds->len;
	follow->seeds = g_new0(struct seed_status, MAX(follow->n_seeds, 1));
	follow->probes = g_new0(struct probe, MAX(follow->n_seeds, 1));
	follow->timer.fire = on_timer;
	for (guint i = 0; i < follow->n_seeds; i++)
		follow->is_seed = follow->is_seed || is_self(follow, i);
	if (!follow->n_seeds || !engine->settings->control.sin_port ||
	    (follow->is_seed && follow->n_seeds == 1)) {
		set_direct_reading(follow, true, "no-seeds");
		return follow;
	}
	if (follow->is_seed)
		set_direct_reading(follow, true, "seed");
	follow->seed = (guint)g_random_int_range(0, (gint)follow->n_seeds);
	if (is_self(follow, follow->seed))
		follow->seed = (follow->seed + 1) % follow->n_seeds;
	begin_probes(follow);
	arm_timer(follow, PROBE_WAIT_US);
	return follow;
}

void forward_follow_call_now(struct forward_follow *follow)
{
	gint64 due_us = follow->called_us + CALL_NOW_INTERVAL_US;

	if (!follow->n_seeds || !follow->called_us)
		return;
	if (follow->calling)
		close_call(follow);
	arm_timer(follow, MAX(due_us - forward_now(follow->engine), 0));
}

guint forward_follow_probes(const struct forward_follow *follow)
{
	guint n = MIN(follow->n_seeds, ROUTE_PROBES_MAX);
	guint probes = 0;

	for (guint i = 0; i < ROUTE_PROBES_MAX; i++) {
		if (!n || is_self(follow, i % n))
			probes |= 1U << i;
	}
	return probes;
}

bool forward_follow_is_seed(const struct forward_follow *follow)
{
	return follow->is_seed;
}

void forward_follow_destroy(struct forward_follow *follow)
{
	if (!follow)
		return;
	cs_timer_disarm(follow->engine->clock, &follow->timer);
	close_call(follow);
	for (guint i = 0; i < follow->n_seeds; i++)
		end_probe(&follow->probes[i]);
	g_free(follow->probes);
	g_free(follow->seeds);
	g_free(follow);
}
