/*
 * The other daemons: how many there are in each zone, and the picture of one
 * that still reaches the platform.
 *
 * Each daemon tells one seed after the other that it is up and gets the counts
 * that this seed has heard of: one small call per daemon and round, whatever
 * the size of the fleet.
 */
#include "internal.h"

#include "cuminsail/endpoint.h"
#include "cuminsail/json.h"
#include "cuminsail/log.h"

#include <string.h>

/* One seed is told each round. */
#define ROUND_US (1 * CS_US_PER_S)

/* Before the first answer the rounds are shorter. */
#define FIRST_ROUND_US (100 * CS_US_PER_MS)

/* A daemon that three seeds in turn have not heard of for two full turns and a
 * round is down. */
#define SILENT_US (7 * CS_US_PER_S)

/* The longest way between regions, twice, and a slow turn of the peer. */
#define CALL_US (400 * CS_US_PER_MS)

/* The platform is given this long before a peer is asked for its picture. */
#define PICTURE_AFTER_US (600 * CS_US_PER_MS)

#define JOIN_PATH    "/v1/join?"
#define PICTURE_PATH "/v1/picture"

/* A daemon that told this one that it is up. */
struct heard {
	char *zone;
	gint64 at_us;
};

/* What one seed last said. */
struct seed_word {
	guint all;
	guint in_zone;
	gint64 at_us; /* 0: nothing yet */
};

struct forward_peers {
	struct forward_engine *engine;
	struct http1_server *server;
	GHashTable *heard; /* control address to struct heard */
	struct seed_word *words; /* one for each seed */
	guint next_seed;
	struct http1_fetch *join;
	guint join_seed; /* whom the join in progress went to */
	struct http1_fetch *picture;
	struct cs_timer timer;
	struct forward_source source;
};

#define peers_of(pointer)                                                      \
	((struct forward_peers *)((char *)(pointer)-offsetof(                  \
		struct forward_peers, timer)))

static void free_heard(void *data)
{
	struct heard *heard = data;

	g_free(heard->zone);
	g_free(heard);
}

/* ---- as a seed ---- */

static void count_heard(struct forward_peers *peers, const char *zone,
			guint *all, guint *in_zone)
{
	gint64 now = forward_now(peers->engine);
	GHashTableIter iter;
	gpointer value;

	*all = 1;
	*in_zone = !strcmp(zone, peers->engine->settings->zone);
	g_hash_table_iter_init(&iter, peers->heard);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct heard *heard = value;

		if (now - heard->at_us > SILENT_US) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		*all += 1;
		*in_zone += !strcmp(zone, heard->zone);
	}
}

static void hear(struct forward_peers *peers, const char *control,
		 const char *zone)
{
	struct heard *heard = g_new0(struct heard, 1);
	char own[CS_ENDPOINT_TEXT];

	cs_endpoint_print(&peers->engine->settings->control, own);
	if (!strcmp(control, own)) {
		g_free(heard);
		return;
	}
	heard->zone = g_strdup(zone);
	heard->at_us = forward_now(peers->engine);
	g_hash_table_replace(peers->heard, g_strdup(control), heard);
}

static void serve_join(struct forward_peers *peers,
		       struct http1_exchange *exchange, const char *query)
{
	g_autoptr(GHashTable) words =
		g_uri_parse_params(query, -1, "&", G_URI_PARAMS_NONE, NULL);
	const char *control =
		words ? g_hash_table_lookup(words, "control") : NULL;
	const char *zone = words ? g_hash_table_lookup(words, "zone") : NULL;
	struct http1_reply reply = {.status = 400};
	struct sockaddr_in at;
	char body[128];
	guint all;
	guint in_zone;

	if (control && zone && !cs_endpoint_parse(control, &at)) {
		hear(peers, control, zone);
		count_heard(peers, zone, &all, &in_zone);
		reply.status = 200;
		reply.body = body;
		reply.length = (gsize)g_snprintf(
			body, sizeof(body),
			"{\"daemons\": %u, \"daemons_in_zone\": %u}", all,
			in_zone);
	}
	http1_exchange_reply(exchange, &reply);
}

static void serve_picture(struct forward_peers *peers,
			  struct http1_exchange *exchange)
{
	g_autofree char *picture =
		peers->source.export ? peers->source.export(peers->source.user)
				     : NULL;
	struct http1_reply reply = {.status = picture ? 200 : 503};

	reply.body = picture;
	reply.length = picture ? strlen(picture) : 0;
	http1_exchange_reply(exchange, &reply);
}

static void on_request(struct http1_exchange *exchange,
		       const struct http1_message *request, void *user)
{
	struct forward_peers *peers = user;
	const char *target = request->target->str;
	struct http1_reply none = {.status = 404};

	if (g_str_has_prefix(target, JOIN_PATH))
		serve_join(peers, exchange, target + strlen(JOIN_PATH));
	else if (!strcmp(target, PICTURE_PATH))
		serve_picture(peers, exchange);
	else
		http1_exchange_reply(exchange, &none);
}

static void on_gone(struct http1_exchange *exchange, void *user)
{
}

/* ---- as one that joins ---- */

/* The greatest count of the seeds: one that has just started knows few. */
static void set_counts(struct forward_peers *peers)
{
	struct forward_engine *engine = peers->engine;
	struct route_bounds bounds = engine->settings->bounds;
	gint64 now = forward_now(engine);
	guint all = 0;
	guint in_zone = 0;

	for (guint i = 0; i < engine->settings->seeds->len; i++) {
		const struct seed_word *word = &peers->words[i];

		if (!word->at_us || now - word->at_us > SILENT_US)
			continue;
		all = MAX(all, word->all);
		in_zone = MAX(in_zone, word->in_zone);
	}
	if (!all)
		return;
	bounds.daemons = MAX(all, 1);
	bounds.daemons_in_zone = MAX(in_zone, 1);
	if (bounds.daemons != engine->daemons ||
	    bounds.daemons_in_zone != engine->daemons_in_zone) {
		char text[2][FIGURE_TEXT];

		g_snprintf(text[0], FIGURE_TEXT, "%u", bounds.daemons);
		g_snprintf(text[1], FIGURE_TEXT, "%u", bounds.daemons_in_zone);
		cs_log(LOG_NOTICE, "daemons", "all", text[0], "in_zone",
		       text[1], NULL);
	}
	engine->daemons = bounds.daemons;
	engine->daemons_in_zone = bounds.daemons_in_zone;
	route_fleet_set_bounds(engine->fleet, &bounds);
}

static void on_joined(const struct http1_message *answer, void *user)
{
	struct forward_peers *peers = user;
	struct seed_word *word = &peers->words[peers->join_seed];
	json_t *document = NULL;
	json_int_t all = 0;
	json_int_t in_zone = 0;

	peers->join = NULL;
	if (answer && answer->status == 200)
		document = cs_json_parse((const char *)answer->body->data,
					 answer->body->len, NULL);
	all = json_integer_value(json_object_get(document, "daemons"));
	in_zone = json_integer_value(
		json_object_get(document, "daemons_in_zone"));
	json_decref(document);
	if (all < 1 || all > G_MAXINT || in_zone < 1 || in_zone > all) {
		cs_log(LOG_INFO, "seed-silent", NULL);
		return;
	}
	word->all = (guint)all;
	word->in_zone = (guint)in_zone;
	word->at_us = forward_now(peers->engine);
	set_counts(peers);
}

static const struct sockaddr_in *seed_at(const struct forward_peers *peers,
					 guint i)
{
	return &g_array_index(peers->engine->settings->seeds,
			      struct sockaddr_in, i);
}

static void join_next(struct forward_peers *peers)
{
	const struct forward_settings *settings = peers->engine->settings;
	char own[CS_ENDPOINT_TEXT];
	g_autofree char *zone =
		g_uri_escape_string(settings->zone, NULL, FALSE);
	g_autofree char *target = NULL;

	if (peers->join || !settings->seeds->len ||
	    peers->engine->phase != FORWARD_SERVING)
		return;
	cs_endpoint_print(&settings->control, own);
	target = g_strdup_printf(JOIN_PATH "control=%s&zone=%s", own, zone);
	peers->join_seed = peers->next_seed;
	peers->next_seed = (peers->next_seed + 1) % settings->seeds->len;
	peers->join = http1_fetch_begin(peers->engine->loop,
					seed_at(peers, peers->join_seed),
					target, CALL_US, on_joined, peers);
}

static void on_picture(const struct http1_message *answer, void *user)
{
	struct forward_peers *peers = user;

	peers->picture = NULL;
	if (!answer || answer->status != 200 || !peers->source.offer)
		return;
	peers->source.offer((const char *)answer->body->data, answer->body->len,
			    peers->source.user);
}

/* While the platform is away, a peer may know more. */
static void ask_picture(struct forward_peers *peers)
{
	struct forward_engine *engine = peers->engine;
	guint n = engine->settings->seeds->len;

	if (engine->current || peers->picture || !n ||
	    engine->phase != FORWARD_SERVING ||
	    forward_picture_age(engine) < PICTURE_AFTER_US)
		return;
	peers->picture = http1_fetch_begin(
		engine->loop, seed_at(peers, g_random_int_range(0, (gint)n)),
		PICTURE_PATH, CALL_US, on_picture, peers);
}

static bool knows_counts(const struct forward_peers *peers)
{
	for (guint i = 0; i < peers->engine->settings->seeds->len; i++) {
		if (peers->words[i].at_us)
			return true;
	}
	return false;
}

static void on_timer(struct cs_timer *timer)
{
	struct forward_peers *peers = peers_of(timer);
	gint64 round_us = knows_counts(peers) ? ROUND_US : FIRST_ROUND_US;

	join_next(peers);
	ask_picture(peers);
	cs_timer_arm(peers->engine->clock, timer,
		     forward_now(peers->engine) + round_us);
}

struct forward_peers *forward_peers_create(struct forward_engine *engine)
{
	struct http1_server_hooks hooks = {on_request, on_gone, NULL, NULL};
	struct forward_peers *peers = g_new0(struct forward_peers, 1);

	hooks.user = peers;
	peers->engine = engine;
	peers->heard = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     free_heard);
	peers->words = g_new0(struct seed_word, engine->settings->seeds->len);
	peers->timer.fire = on_timer;
	if (engine->settings->control.sin_port)
		peers->server = http1_server_create(
			engine->loop, &engine->settings->control,
			&engine->page_limits, &hooks);
	cs_timer_arm(engine->clock, &peers->timer, forward_now(engine));
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
	cs_timer_disarm(peers->engine->clock, &peers->timer);
	http1_fetch_cancel(peers->join);
	http1_fetch_cancel(peers->picture);
	http1_server_destroy(peers->server);
	g_hash_table_unref(peers->heard);
	g_free(peers->words);
	g_free(peers);
}
