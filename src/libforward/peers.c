/*
 * What other daemons ask of this one: how many daemons are up, and what has
 * changed in the picture.
 *
 * A daemon that is a seed hears from every other about once a second, by a
 * call that waits here until the picture changes. So the volume is one small
 * call per daemon and second, whatever the size of the fleet, and the platform
 * is read by the seeds alone.
 */
#include "internal.h"

#include "cuminsail/endpoint.h"
#include "cuminsail/log.h"
#include "cuminsail/pack.h"

#include <stdlib.h>
#include <string.h>

/* A daemon that was not heard of for this long is down, or calls another seed:
 * three calls of a second each. */
#define SILENT_US (3 * CS_US_PER_S)

/* A seed's word of its own callers holds for this long: it calls one other seed
 * after the other, each 1.5 to 2.5 s. */
#define WORD_US (7 * CS_US_PER_S)

/* The counts are made anew after this time: shares may lag a little. */
#define COUNT_US (200 * CS_US_PER_MS)

/* So are the outliers among the replicas: a quarter of the time between two
 * calls of a daemon. */
#define OUTLIERS_AGAIN_US (250 * CS_US_PER_MS)

/* Texts kept of one revision: one for each that a caller may still have. */
#define TEXTS_MAX 8

/* Longest wait of a call; the caller finds a silent seed by it. */
#define HOLD_MAX_US (1 * CS_US_PER_S)

/* The same while this daemon has no picture yet: all may have started together,
 * and a seed reads the platform in about 0.1 s. */
#define HOLD_EMPTY_US (300 * CS_US_PER_MS)

/* A daemon that told this one that it is up. */
struct heard {
	char *zone;
	GHashTable *callers; /* of a seed: members that call it; else NULL */
	gint64 at_us;
};

/* A call that waits for a change. */
struct held {
	TAILQ_ENTRY(held) link;
	struct forward_peers *peers;
	struct http1_exchange *exchange;
	gint64 after;
	char *zone;
	struct cs_timer timer;
};

struct forward_peers {
	struct forward_engine *engine;
	struct http1_server *server;
	GHashTable *heard; /* control address to struct heard */
	TAILQ_HEAD(, held) held;
	struct forward_source source;
	/* Most callers ask after a few revisions: their texts are made once. */
	GHashTable *texts; /* revision asked after to packed text */
	gint64 texts_revision;
	/* The outliers among the replicas, made anew once in a while. */
	char *outliers;
	gint64 outliers_us;
	/* How many daemons each zone has, counted once in a while. */
	GHashTable *counts;
	guint total;
	gint64 counted_us;
};

static void free_heard(void *data)
{
	struct heard *heard = data;

	g_free(heard->zone);
	g_clear_pointer(&heard->callers, g_hash_table_unref);
	g_free(heard);
}

static void forget_silent(struct forward_peers *peers)
{
	gint64 now = forward_now(peers->engine);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->heard);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct heard *heard = value;

		if (now - heard->at_us > (heard->callers ? WORD_US : SILENT_US))
			g_hash_table_iter_remove(&iter);
	}
}

/* A set of daemons: hash of the control address to the zone. */
static GHashTable *new_members(void)
{
	return g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
				     g_free);
}

static void add_member(GHashTable *members, guint32 hash, const char *zone)
{
	g_hash_table_replace(members, GUINT_TO_POINTER(hash), g_strdup(zone));
}

/* This daemon and those that call it. */
static GHashTable *own_members(struct forward_peers *peers)
{
	const struct forward_settings *settings = peers->engine->settings;
	GHashTable *members = new_members();
	char own[CS_ENDPOINT_TEXT];
	GHashTableIter iter;
	gpointer control;
	gpointer value;

	forget_silent(peers);
	cs_endpoint_print(&settings->control, own);
	add_member(members, g_str_hash(own), settings->zone);
	g_hash_table_iter_init(&iter, peers->heard);
	while (g_hash_table_iter_next(&iter, &control, &value))
		add_member(members, g_str_hash(control),
			   ((const struct heard *)value)->zone);
	return members;
}

static void add_all(GHashTable *members, GHashTable *more)
{
	GHashTableIter iter;
	gpointer hash;
	gpointer zone;

	g_hash_table_iter_init(&iter, more);
	while (g_hash_table_iter_next(&iter, &hash, &zone))
		add_member(members, GPOINTER_TO_UINT(hash), zone);
}

static GHashTable *all_members(struct forward_peers *peers)
{
	GHashTable *members = own_members(peers);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, peers->heard);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct heard *heard = value;

		if (heard->callers)
			add_all(members, heard->callers);
	}
	return members;
}

static void count(struct forward_peers *peers)
{
	g_autoptr(GHashTable) members = all_members(peers);
	GHashTableIter iter;
	gpointer zone;

	g_hash_table_remove_all(peers->counts);
	peers->total = g_hash_table_size(members);
	g_hash_table_iter_init(&iter, members);
	while (g_hash_table_iter_next(&iter, NULL, &zone)) {
		guint n = GPOINTER_TO_UINT(
			g_hash_table_lookup(peers->counts, zone));

		g_hash_table_replace(peers->counts, g_strdup(zone),
				     GUINT_TO_POINTER(n + 1));
	}
	peers->counted_us = forward_now(peers->engine);
}

static guint count_zone(struct forward_peers *peers, const char *zone)
{
	if (forward_now(peers->engine) - peers->counted_us >= COUNT_US)
		count(peers);
	return GPOINTER_TO_UINT(g_hash_table_lookup(peers->counts, zone));
}

void forward_peers_print_members(struct forward_peers *peers, GString *query)
{
	g_autoptr(GHashTable) members = own_members(peers);
	GHashTableIter iter;
	gpointer hash;
	gpointer zone;

	g_string_append(query, "&callers=");
	g_hash_table_iter_init(&iter, members);
	while (g_hash_table_iter_next(&iter, &hash, &zone)) {
		g_autofree char *name = g_uri_escape_string(zone, NULL, FALSE);

		g_string_append_printf(query, "%08x:%s,",
				       GPOINTER_TO_UINT(hash), name);
	}
}

/* Return: the members of a seed's word, or NULL if it is not one. */
static GHashTable *read_members(const char *text)
{
	g_auto(GStrv) words = g_strsplit(text, ",", -1);
	GHashTable *members = new_members();

	for (char **word = words; *word; word++) {
		char *colon = strchr(*word, ':');
		guint64 hash;

		if (!**word)
			continue;
		if (colon)
			*colon = '\0';
		if (!colon || !g_ascii_string_to_unsigned(
				      *word, 16, 0, G_MAXUINT32, &hash, NULL)) {
			g_hash_table_unref(members);
			return NULL;
		}
		add_member(members, (guint32)hash, colon + 1);
	}
	return members;
}

static void hear(struct forward_peers *peers, const char *control,
		 const char *zone, const char *callers)
{
	char own[CS_ENDPOINT_TEXT];
	struct heard *heard;

	cs_endpoint_print(&peers->engine->settings->control, own);
	if (!strcmp(control, own))
		return;
	heard = g_new0(struct heard, 1);
	heard->zone = g_strdup(zone);
	heard->callers = callers ? read_members(callers) : NULL;
	heard->at_us = forward_now(peers->engine);
	g_hash_table_replace(peers->heard, g_strdup(control), heard);
}

/* ---- answers ---- */

static gint64 own_revision(const struct forward_peers *peers)
{
	const struct forward_source *source = &peers->source;

	return source->revision ? source->revision(source->user) : 0;
}

/* Return: the changes after a revision, packed, or NULL; owned by @peers. */
static const char *picture_text(struct forward_peers *peers, gint64 after)
{
	const struct forward_source *source = &peers->source;
	gint64 revision = own_revision(peers);
	g_autofree char *text = NULL;
	char *packed;
	json_t *picture;

	if (peers->texts_revision != revision ||
	    g_hash_table_size(peers->texts) >= TEXTS_MAX)
		g_hash_table_remove_all(peers->texts);
	peers->texts_revision = revision;
	packed = g_hash_table_lookup(peers->texts, &after);
	if (packed)
		return packed;
	picture = source->export ? source->export(after, source->user) : NULL;
	if (!picture)
		return NULL;
	text = cs_json_print(picture);
	json_decref(picture);
	packed = cs_pack(text);
	g_hash_table_insert(peers->texts, g_memdup2(&after, sizeof(after)),
			    packed);
	return packed;
}

/* Return: the outliers as text; owned by @peers. */
static const char *outliers_text(struct forward_peers *peers)
{
	gint64 now = forward_now(peers->engine);
	json_t *outliers;

	if (peers->outliers && now - peers->outliers_us < OUTLIERS_AGAIN_US)
		return peers->outliers;
	outliers = forward_evidence_outliers(peers->engine);
	g_free(peers->outliers);
	peers->outliers = cs_json_print(outliers);
	peers->outliers_us = now;
	json_decref(outliers);
	return peers->outliers;
}

static void answer(struct forward_peers *peers, struct http1_exchange *exchange,
		   const char *zone, gint64 after)
{
	const char *picture = picture_text(peers, after);
	guint in_zone = count_zone(peers, zone);
	GString *body =
		g_string_sized_new(picture ? strlen(picture) + 128 : 128);
	struct http1_reply reply = {.status = 200};

	g_string_printf(body,
			"{\"daemons\": %u, \"daemons_in_zone\": %u, "
			"\"age_ms\": %" G_GINT64_FORMAT ", \"outliers\": %s",
			peers->total, in_zone,
			forward_picture_age(peers->engine) / CS_US_PER_MS,
			outliers_text(peers));
	if (picture)
		g_string_append_printf(body, ", \"picture\": \"%s\"", picture);
	g_string_append_c(body, '}');
	reply.body = body->str;
	reply.length = body->len;
	http1_exchange_reply(exchange, &reply);
	g_string_free(body, TRUE);
}

static void free_held(struct held *held)
{
	cs_timer_disarm(held->peers->engine->clock, &held->timer);
	TAILQ_REMOVE(&held->peers->held, held, link);
	g_free(held->zone);
	g_free(held);
}

static void answer_held(struct held *held)
{
	http1_exchange_set_data(held->exchange, NULL);
	answer(held->peers, held->exchange, held->zone, held->after);
	free_held(held);
}

static void on_hold_end(struct cs_timer *timer)
{
	answer_held(
		(struct held *)((char *)timer - offsetof(struct held, timer)));
}

static bool has_news(const struct forward_peers *peers, gint64 after)
{
	gint64 revision = own_revision(peers);

	return revision && (after <= 0 || after < revision);
}

/* How long a call may wait: not at all if something is new, or the picture is
 * late. */
static gint64 hold_time(const struct forward_peers *peers, gint64 after)
{
	gint64 late_us = FORWARD_LATE_US - forward_picture_age(peers->engine);

	if (!own_revision(peers))
		return HOLD_EMPTY_US;
	if (has_news(peers, after))
		return 0;
	return CLAMP(late_us, 0, HOLD_MAX_US);
}

static void hold(struct forward_peers *peers, struct http1_exchange *exchange,
		 const char *zone, gint64 after)
{
	gint64 wait_us = hold_time(peers, after);
	struct held *held;

	if (!wait_us) {
		answer(peers, exchange, zone, after);
		return;
	}
	held = g_new0(struct held, 1);
	held->peers = peers;
	held->exchange = exchange;
	held->after = after;
	held->zone = g_strdup(zone);
	held->timer.fire = on_hold_end;
	TAILQ_INSERT_TAIL(&peers->held, held, link);
	http1_exchange_set_data(exchange, held);
	cs_timer_arm(peers->engine->clock, &held->timer,
		     forward_now(peers->engine) + wait_us);
}

void forward_peers_changed(struct forward_peers *peers)
{
	struct held *held;
	struct held *next;

	for (held = TAILQ_FIRST(&peers->held); held; held = next) {
		next = TAILQ_NEXT(held, link);
		if (has_news(peers, held->after))
			answer_held(held);
	}
}

static void on_request(struct http1_exchange *exchange,
		       const struct http1_message *request, void *user)
{
	struct forward_peers *peers = user;
	const char *target = request->target->str;
	struct http1_reply refusal = {.status = 404};
	g_autoptr(GHashTable) words = NULL;
	const char *control = NULL;
	const char *zone = NULL;
	const char *after = NULL;
	const char *seen = NULL;
	struct sockaddr_in at;

	if (g_str_has_prefix(target, FORWARD_FOLLOW_PATH))
		words = g_uri_parse_params(target + strlen(FORWARD_FOLLOW_PATH),
					   -1, "&", G_URI_PARAMS_NONE, NULL);
	if (words) {
		control = g_hash_table_lookup(words, "control");
		zone = g_hash_table_lookup(words, "zone");
		after = g_hash_table_lookup(words, "after");
		seen = g_hash_table_lookup(words, "seen");
		refusal.status = 400;
	}
	if (!control || !zone || !after || cs_endpoint_parse(control, &at)) {
		http1_exchange_reply(exchange, &refusal);
		return;
	}
	hear(peers, control, zone, g_hash_table_lookup(words, "callers"));
	if (seen)
		forward_evidence_pool(peers->engine, seen);
	hold(peers, exchange, zone, strtoll(after, NULL, 10));
}

static void on_gone(struct http1_exchange *exchange, void *user)
{
	struct held *held = http1_exchange_data(exchange);

	if (held)
		free_held(held);
}

struct forward_peers *forward_peers_create(struct forward_engine *engine)
{
	struct http1_server_hooks hooks = {on_request, on_gone, NULL, NULL};
	struct forward_peers *peers = g_new0(struct forward_peers, 1);

	hooks.user = peers;
	peers->engine = engine;
	peers->heard = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     free_heard);
	peers->counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	peers->texts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, g_free);
	TAILQ_INIT(&peers->held);
	if (engine->settings->control.sin_port)
		peers->server = http1_server_create(
			engine->loop, &engine->settings->control,
			&engine->page_limits, &hooks);
	return peers;
}

void forward_peers_set_source(struct forward_peers *peers,
			      const struct forward_source *source)
{
	peers->source = *source;
}

void forward_peers_destroy(struct forward_peers *peers)
{
	if (!peers)
		return;
	http1_server_destroy(peers->server);
	g_hash_table_unref(peers->heard);
	g_hash_table_unref(peers->counts);
	g_hash_table_unref(peers->texts);
	g_free(peers->outliers);
	g_free(peers);
}
