/*
 * Where this daemon's picture comes from: a seed that reads the platform, or
 * the platform itself.
 *
 * A seed reads the platform. Any other daemon follows one seed; when that one
 * is silent or its own picture is late, the next; when none will do, it reads
 * the platform itself until one does. A daemon that reads the platform and
 * does not reach it follows too: a peer may know more.
 */
#include "internal.h"

#include "cuminsail/endpoint.h"
#include "cuminsail/log.h"
#include "cuminsail/pack.h"

#include <string.h>

/* A seed's answer is due after its longest hold and the longest way. */
#define ANSWER_US (1500 * CS_US_PER_MS)

/* The same for the first call, which waits for a picture at most 0.3 s. */
#define FIRST_ANSWER_US (500 * CS_US_PER_MS)

/* A connection comes about in 40 ms between regions, or the seed is down. */
#define CONNECT_US (200 * CS_US_PER_MS)

/* One that reads the platform says every so often that it is up. */
#define ROUND_US (1500 * CS_US_PER_MS)

/* Pause after an answer that came at once, and after a failure. */
#define AGAIN_US (150 * CS_US_PER_MS)

/* The platform is read when no seed will do and the picture is this old. When
 * all seeds are late it is mostly the platform that is, and a call of each
 * daemon would not help it; a change is due in force after 3 s. */
#define DIRECT_AGE_US (2400 * CS_US_PER_MS)

/* It is then read for at least this long. */
#define DIRECT_US (3 * CS_US_PER_S)

/* All daemons may start within 300 ms: seeds get this long to be up. */
#define START_GRACE_US (350 * CS_US_PER_MS)

/* The first call goes to the seed that connects first, at most so much later.
 */
#define PROBE_US (60 * CS_US_PER_MS)

/* A nearer seed that was left is tried again after this time. */
#define HOME_AGAIN_US (5 * CS_US_PER_S)

/* Largest picture that is taken: 16 times a value of the store. */
#define PICTURE_BYTES_MAX 16777216

/* A count is believed for this long. */
#define COUNT_US (7 * CS_US_PER_S)

/* What one seed last said of the fleet. */
struct seed_word {
	guint all;
	guint in_zone;
	gint64 at_us; /* 0: nothing yet */
	gint64 round_trip_us; /* of a connection to it; 0: not known */
};

/* A connection that only shows how far a seed is. */
struct probe {
	struct forward_follow *follow;
	struct http1_call *call;
	gint64 begun_us;
	guint seed;
};

struct forward_follow {
	struct forward_engine *engine;
	struct forward_source source;
	struct http1_limits limits;
	struct http1_call *call;
	struct cs_timer timer; /* the next call, or the end of this one */
	struct seed_word *words; /* one for each seed */
	struct probe *probes; /* one for each seed */
	gint64 left_us; /* when a seed was last left */
	guint n_seeds;
	guint seed; /* whom the call goes to */
	guint failures; /* seeds in a row that would not do */
	gint64 started_us;
	gint64 direct_until_us;
	bool is_seed;
	bool direct; /* the platform is read */
	bool calling;
	bool words_heard; /* some seed has answered */
};

#define follow_of(pointer)                                                     \
	((struct forward_follow *)((char *)(pointer)-offsetof(                 \
		struct forward_follow, timer)))

static const struct sockaddr_in *seed_at(const struct forward_follow *follow,
					 guint i)
{
	return &g_array_index(follow->engine->settings->seeds,
			      struct sockaddr_in, i);
}

static bool is_self(const struct forward_follow *follow, guint i)
{
	const struct sockaddr_in *own = &follow->engine->settings->control;
	const struct sockaddr_in *at = seed_at(follow, i);

	return at->sin_port == own->sin_port &&
	       at->sin_addr.s_addr == own->sin_addr.s_addr;
}

static void set_direct(struct forward_follow *follow, bool direct,
		       const char *reason)
{
	if (follow->direct == direct)
		return;
	follow->direct = direct;
	cs_log(LOG_NOTICE, direct ? "platform-read-directly" : "following-seed",
	       "reason", reason, NULL);
	follow->source.read(direct, follow->source.user);
}

/* ---- counts ---- */

/* The greatest count of the seeds: one that has just started knows few. */
static void set_counts(struct forward_follow *follow)
{
	struct forward_engine *engine = follow->engine;
	struct route_bounds bounds = engine->settings->bounds;
	gint64 now = forward_now(engine);
	guint all = 0;
	guint in_zone = 0;

	for (guint i = 0; i < follow->n_seeds; i++) {
		const struct seed_word *word = &follow->words[i];

		if (!word->at_us || now - word->at_us > COUNT_US)
			continue;
		all = MAX(all, word->all);
		in_zone = MAX(in_zone, word->in_zone);
	}
	if (!all ||
	    (all == engine->daemons && in_zone == engine->daemons_in_zone))
		return;
	engine->daemons = bounds.daemons = all;
	engine->daemons_in_zone = bounds.daemons_in_zone = MAX(in_zone, 1);
	route_fleet_set_bounds(engine->fleet, &bounds);
	{
		char text[2][FIGURE_TEXT];

		g_snprintf(text[0], FIGURE_TEXT, "%u", all);
		g_snprintf(text[1], FIGURE_TEXT, "%u", in_zone);
		cs_log(LOG_NOTICE, "daemons", "all", text[0], "in_zone",
		       text[1], NULL);
	}
}

/* ---- calls ---- */

static void wait_for(struct forward_follow *follow, gint64 us)
{
	cs_timer_arm(follow->engine->clock, &follow->timer,
		     forward_now(follow->engine) + us);
}

static void hang_up(struct forward_follow *follow)
{
	follow->calling = false;
	if (follow->call)
		http1_call_close(follow->call);
	follow->call = NULL;
}

static void next_seed(struct forward_follow *follow)
{
	hang_up(follow);
	follow->seed = (follow->seed + 1) % follow->n_seeds;
	if (is_self(follow, follow->seed))
		follow->seed = (follow->seed + 1) % follow->n_seeds;
}

/* What a seed says goes to many daemons: the nearest one is followed, as far as
 * it will do. */
static void go_home(struct forward_follow *follow)
{
	guint nearest = follow->seed;

	for (guint i = 0; i < follow->n_seeds; i++) {
		gint64 known = follow->words[i].round_trip_us;

		if (known && known < follow->words[nearest].round_trip_us)
			nearest = i;
	}
	if (nearest == follow->seed)
		return;
	hang_up(follow);
	follow->seed = nearest;
	follow->left_us = forward_now(follow->engine);
}

static bool needs_platform(const struct forward_follow *follow)
{
	gint64 now = forward_now(follow->engine);

	if (!follow->source.revision(follow->source.user))
		return now - follow->started_us >= START_GRACE_US;
	return forward_picture_age(follow->engine) >= DIRECT_AGE_US;
}

static void fail(struct forward_follow *follow, const char *reason)
{
	gint64 now = forward_now(follow->engine);
	char at[CS_ENDPOINT_TEXT];

	cs_endpoint_print(seed_at(follow, follow->seed), at);
	cs_log(LOG_INFO, "seed-left", "seed", at, "reason", reason, NULL);
	next_seed(follow);
	follow->left_us = now;
	follow->failures++;
	if (!follow->is_seed && follow->failures >= follow->n_seeds &&
	    needs_platform(follow)) {
		set_direct(follow, true, "no-seed");
		follow->direct_until_us = now + DIRECT_US;
	}
	wait_for(follow, follow->failures < follow->n_seeds ? 0
			 : follow->direct		    ? ROUND_US
							    : AGAIN_US);
}

/* Return: false if there is a picture that cannot be read. */
static bool take_picture(struct forward_follow *follow, json_t *document,
			 gint64 age_us)
{
	const char *packed =
		json_string_value(json_object_get(document, "picture"));
	g_autofree char *text = NULL;
	g_autofree char *why = NULL;
	json_t *picture = NULL;

	/* A seed that has just started has none. */
	if (!packed)
		return true;
	text = cs_unpack(packed, PICTURE_BYTES_MAX, &why);
	if (text)
		picture = cs_json_parse(text, strlen(text), &why);
	if (!picture) {
		cs_log(LOG_WARNING, "picture-invalid", "why", why, NULL);
		return false;
	}
	follow->source.offer(picture, follow->source.user);
	json_decref(picture);
	forward_engine_confirm(follow->engine,
			       forward_now(follow->engine) - age_us);
	return true;
}

/* Return: whether the document is an answer of a seed. */
static bool take_word(struct forward_follow *follow, json_t *document,
		      gint64 *age_us)
{
	struct seed_word *word = &follow->words[follow->seed];
	json_int_t all =
		json_integer_value(json_object_get(document, "daemons"));
	json_int_t in_zone = json_integer_value(
		json_object_get(document, "daemons_in_zone"));
	json_t *age = json_object_get(document, "age_ms");

	if (all < 1 || all > G_MAXINT || in_zone < 0 || in_zone > all ||
	    !json_is_integer(age) || json_integer_value(age) < 0)
		return false;
	*age_us = json_integer_value(age) * CS_US_PER_MS;
	word->all = (guint)all;
	word->in_zone = (guint)in_zone;
	word->at_us = forward_now(follow->engine);
	follow->words_heard = true;
	/* A seed pools what its own followers see. */
	if (!follow->is_seed)
		forward_evidence_take(follow->engine,
				      json_object_get(document, "outliers"));
	set_counts(follow);
	return true;
}

static void after_answer(struct forward_follow *follow, gint64 age_us)
{
	gint64 now = forward_now(follow->engine);

	if (follow->is_seed) {
		follow->failures = 0;
		next_seed(follow);
		wait_for(follow, follow->engine->current ? ROUND_US : AGAIN_US);
	} else if (age_us >= FORWARD_LATE_US) {
		fail(follow, "late-picture");
	} else {
		follow->failures = 0;
		if (now >= follow->direct_until_us)
			set_direct(follow, false, "seed-current");
		if (now - follow->left_us >= HOME_AGAIN_US)
			go_home(follow);
		wait_for(follow, follow->direct ? ROUND_US : 0);
	}
}

static bool on_answer(struct http1_call *call,
		      const struct http1_message *message, void *user)
{
	struct forward_follow *follow = user;
	json_t *document = NULL;
	gint64 age_us = 0;

	follow->calling = false;
	cs_timer_disarm(follow->engine->clock, &follow->timer);
	if (message->status == 200)
		document = cs_json_parse((const char *)message->body->data,
					 message->body->len, NULL);
	if (!http1_call_idle(call)) {
		http1_call_close(call);
		follow->call = NULL;
	}
	if (document && take_word(follow, document, &age_us) &&
	    take_picture(follow, document, age_us)) {
		after_answer(follow, age_us);
	} else {
		fail(follow, "bad-answer");
	}
	json_decref(document);
	return true;
}

/* A seed that is current only says that it is up: its call comes back at once
 * with nothing new. */
static gint64 asked_after(const struct forward_follow *follow)
{
	return follow->source.revision(follow->source.user);
}

static void wait_for_answer(struct forward_follow *follow)
{
	wait_for(follow, asked_after(follow) ? ANSWER_US : FIRST_ANSWER_US);
}

static void on_connected(struct http1_call *call, void *user)
{
	wait_for_answer(user);
}

static void on_ended(struct http1_call *call, enum http1_failure why,
		     void *user)
{
	struct forward_follow *follow = user;

	follow->call = NULL;
	if (follow->calling)
		fail(follow,
		     why == HTTP1_NOT_CONNECTED ? "not-connected" : "closed");
}

static void send_call(struct forward_follow *follow)
{
	const struct forward_settings *settings = follow->engine->settings;
	g_autofree char *zone =
		g_uri_escape_string(settings->zone, NULL, FALSE);
	char own[CS_ENDPOINT_TEXT];
	GString *head = g_string_new(NULL);

	cs_endpoint_print(&settings->control, own);
	g_string_printf(head,
			"GET " FORWARD_FOLLOW_PATH
			"control=%s&zone=%s&after=%" G_GINT64_FORMAT,
			own, zone, asked_after(follow));
	if (follow->is_seed)
		forward_peers_print_members(follow->engine->peers, head);
	else
		forward_evidence_print(follow->engine, head);
	g_string_append(head, " HTTP/1.1\r\nHost: seed\r\n\r\n");
	http1_call_send(follow->call, head, NULL, 0, false);
	g_string_free(head, TRUE);
}

static void begin_call(struct forward_follow *follow)
{
	struct http1_call_hooks hooks = {on_connected, on_answer, on_ended,
					 follow};

	bool connected = follow->call != NULL;

	if (!connected)
		follow->call = http1_call_open(follow->engine->loop,
					       seed_at(follow, follow->seed),
					       &follow->limits, &hooks);
	if (!follow->call) {
		fail(follow, "no-socket");
		return;
	}
	follow->calling = true;
	send_call(follow);
	if (connected)
		wait_for_answer(follow);
	else
		wait_for(follow, CONNECT_US);
}

static void on_timer(struct cs_timer *timer)
{
	struct forward_follow *follow = follow_of(timer);

	if (follow->engine->phase != FORWARD_SERVING) {
		hang_up(follow);
		set_direct(follow, true, "draining");
	} else if (follow->calling) {
		fail(follow, "timeout");
	} else {
		begin_call(follow);
	}
}

/* ---- probes ---- */

static void end_probe(struct probe *probe)
{
	if (probe->call)
		http1_call_close(probe->call);
	probe->call = NULL;
}

static void on_probe_connected(struct http1_call *call, void *user)
{
	struct probe *probe = user;
	struct forward_follow *follow = probe->follow;
	gint64 spent = forward_now(follow->engine) - probe->begun_us;

	follow->words[probe->seed].round_trip_us = MAX(spent, 1);
	end_probe(probe);
	if (follow->is_seed || follow->calling || follow->words_heard)
		return;
	follow->seed = probe->seed;
	begin_call(follow);
}

static bool on_probe_answer(struct http1_call *call,
			    const struct http1_message *answer, void *user)
{
	return false;
}

static void on_probe_ended(struct http1_call *call, enum http1_failure why,
			   void *user)
{
	((struct probe *)user)->call = NULL;
}

static void begin_probes(struct forward_follow *follow)
{
	for (guint i = 0; i < follow->n_seeds; i++) {
		struct probe *probe = &follow->probes[i];
		struct http1_call_hooks hooks = {on_probe_connected,
						 on_probe_answer,
						 on_probe_ended, probe};

		probe->follow = follow;
		probe->seed = i;
		probe->begun_us = forward_now(follow->engine);
		if (!is_self(follow, i))
			probe->call = http1_call_open(follow->engine->loop,
						      seed_at(follow, i),
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
	follow->limits.body_bytes = PICTURE_BYTES_MAX;
	follow->n_seeds = engine->settings->seeds->len;
	follow->words = g_new0(struct seed_word, MAX(follow->n_seeds, 1));
	follow->probes = g_new0(struct probe, MAX(follow->n_seeds, 1));
	follow->timer.fire = on_timer;
	for (guint i = 0; i < follow->n_seeds; i++)
		follow->is_seed = follow->is_seed || is_self(follow, i);
	if (!follow->n_seeds || !engine->settings->control.sin_port ||
	    (follow->is_seed && follow->n_seeds == 1)) {
		set_direct(follow, true, "no-seeds");
		return follow;
	}
	if (follow->is_seed)
		set_direct(follow, true, "seed");
	follow->seed = (guint)g_random_int_range(0, (gint)follow->n_seeds);
	if (is_self(follow, follow->seed))
		follow->seed = (follow->seed + 1) % follow->n_seeds;
	begin_probes(follow);
	wait_for(follow, PROBE_US);
	return follow;
}

void forward_follow_destroy(struct forward_follow *follow)
{
	if (!follow)
		return;
	cs_timer_disarm(follow->engine->clock, &follow->timer);
	hang_up(follow);
	for (guint i = 0; i < follow->n_seeds; i++)
		end_probe(&follow->probes[i]);
	g_free(follow->probes);
	g_free(follow->words);
	g_free(follow);
}
