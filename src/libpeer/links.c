/* Links between daemons: a ROUTER to receive, a DEALER to send to each peer. */
#include "cuminsail/peer.h"

#include "admission.h"
#include "zmq_source.h"

#include "cuminsail/clock.h"
#include "cuminsail/error.h"
#include "cuminsail/log.h"

#include <errno.h>
#include <string.h>
#include <zmq.h>

/* Most frames queued for one peer. A full queue refuses further frames. */
#define SEND_QUEUE_MAX 64

/* Most messages received in one iteration of the main loop. */
#define RECEIVE_MAX 64

/* First and longest delay before a lost link is connected again, in ms. */
#define RECONNECT_MS	 100
#define RECONNECT_MAX_MS 2000

/* Largest message in bytes; a peer that sends a larger one is disconnected. */
#define TRANSPORT_MAX (4 * CONFIG_DOCUMENT_MAX)

/* A link on which this daemon sends to one peer. */
struct link {
	char *id; /* of the peer */
	char *endpoint; /* ZeroMQ address of the peer */
	void *dealer;
	bool from_settings;
	bool listed; /* in the last instance list */
};

struct peer_links {
	const struct settings *settings;
	struct cs_counters *counters;
	struct peer_hooks hooks;
	void *context;
	void *router;
	GSource *source;
	struct peer_admission *admission;
	GHashTable *links; /* id to struct link */
	guint64 incarnation;
	guint64 sequence; /* of the last frame sent */
};

static void set_int(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void set_common_options(void *socket)
{
	set_int(socket, ZMQ_LINGER, 0);
	set_int(socket, ZMQ_SNDHWM, SEND_QUEUE_MAX);
	set_int(socket, ZMQ_RCVHWM, SEND_QUEUE_MAX * 16);
}

/* ---- sending links ---- */

static void destroy_link(struct link *link)
{
	zmq_close(link->dealer);
	g_free(link->id);
	g_free(link->endpoint);
	g_free(link);
}

static void set_client_keys(const struct settings *settings, void *dealer,
			    const char *server_key)
{
	if (settings->peer_plain)
		return;
	if (!server_key)
		server_key = settings->peer_public_key;
	zmq_setsockopt(dealer, ZMQ_CURVE_SERVERKEY, server_key,
		       strlen(server_key) + 1);
	zmq_setsockopt(dealer, ZMQ_CURVE_PUBLICKEY, settings->peer_public_key,
		       strlen(settings->peer_public_key) + 1);
	zmq_setsockopt(dealer, ZMQ_CURVE_SECRETKEY, settings->peer_secret_key,
		       strlen(settings->peer_secret_key) + 1);
}

static struct link *create_link(struct peer_links *links, const char *id,
				const char *endpoint, const char *server_key)
{
	struct link *link = g_new0(struct link, 1);

	link->id = g_strdup(id);
	link->endpoint = g_strdup_printf("tcp://%s", endpoint);
	link->dealer = zmq_socket(links->context, ZMQ_DEALER);
	set_common_options(link->dealer);
	/* Refuses frames while the link is not connected. */
	set_int(link->dealer, ZMQ_IMMEDIATE, 1);
	set_int(link->dealer, ZMQ_RECONNECT_IVL, RECONNECT_MS);
	set_int(link->dealer, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	set_client_keys(links->settings, link->dealer, server_key);
	if (zmq_connect(link->dealer, link->endpoint) != 0)
		cs_log(LOG_ERR, "peer-link-failed", "peer", id, "endpoint",
		       link->endpoint, "why", zmq_strerror(errno), NULL);
	g_hash_table_insert(links->links, link->id, link);
	return link;
}

/* Marks the link to a peer as listed; opens it if the address is new. */
static void ensure_link(struct peer_links *links, const char *id,
			const char *endpoint)
{
	g_autofree char *wanted = g_strdup_printf("tcp://%s", endpoint);
	struct link *link = g_hash_table_lookup(links->links, id);

	if (link && strcmp(link->endpoint, wanted) != 0) {
		g_hash_table_remove(links->links, id);
		link = NULL;
	}
	if (!link)
		link = create_link(links, id, endpoint, NULL);
	link->listed = true;
}

static gboolean is_obsolete(gpointer key, gpointer value, gpointer user)
{
	const struct link *link = value;

	return !link->listed && !link->from_settings;
}

void peer_links_set_daemons(struct peer_links *links, const GPtrArray *daemons)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, links->links);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct link *)value)->listed = false;
	for (guint i = 0; i < daemons->len; i++) {
		const struct list_daemon *daemon = daemons->pdata[i];

		if (strcmp(daemon->id, links->settings->instance) != 0)
			ensure_link(links, daemon->id, daemon->address);
	}
	g_hash_table_foreach_remove(links->links, is_obsolete, NULL);
}

static int send_bytes(struct peer_links *links, struct link *link,
		      GBytes *bytes)
{
	gsize size;
	const void *data = g_bytes_get_data(bytes, &size);

	if (zmq_send(link->dealer, data, size, ZMQ_DONTWAIT) < 0) {
		cs_counters_add(links->counters, CS_N_PEER_DROPPED, 1);
		return CS_E_ISSUER;
	}
	cs_counters_add(links->counters, CS_N_PEER_SENT, 1);
	return 0;
}

static GBytes *encode(struct peer_links *links, struct peer_frame *frame)
{
	frame->sender = links->settings->instance;
	frame->incarnation = links->incarnation;
	frame->sequence = ++links->sequence;
	return peer_frame_encode(frame);
}

int peer_links_send(struct peer_links *links, const char *id,
		    struct peer_frame *frame)
{
	struct link *link = g_hash_table_lookup(links->links, id);
	g_autoptr(GBytes) bytes = NULL;

	if (!link)
		return CS_E_ISSUER;
	bytes = encode(links, frame);
	return send_bytes(links, link, bytes);
}

void peer_links_send_all(struct peer_links *links, struct peer_frame *frame)
{
	g_autoptr(GBytes) bytes = encode(links, frame);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, links->links);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		send_bytes(links, value, bytes);
}

bool peer_links_contains(const struct peer_links *links, const char *id)
{
	return g_hash_table_contains(links->links, id);
}

guint64 peer_links_incarnation(const struct peer_links *links)
{
	return links->incarnation;
}

/* ---- receiving ---- */

static void on_frame(const struct peer_frame *frame, void *user)
{
	struct peer_links *links = user;

	if (!peer_links_contains(links, frame->sender)) {
		cs_counters_add(links->counters, CS_N_PEER_UNLISTED, 1);
		return;
	}
	cs_counters_add(links->counters, CS_N_PEER_RECEIVED, 1);
	links->hooks.receive(frame, links->hooks.user);
}

static void dispatch_message(struct peer_links *links, zmq_msg_t *message)
{
	g_autoptr(GBytes) bytes =
		g_bytes_new(zmq_msg_data(message), zmq_msg_size(message));

	if (peer_frame_decode(bytes, on_frame, links) != 0)
		cs_counters_add(links->counters, CS_N_PEER_BAD, 1);
}

/*
 * Receives one message. It must have two parts: the routing id that the ROUTER
 * adds for the sender's connection, and one frame. Return: false if no message
 * is waiting.
 */
static bool receive_message(struct peer_links *links)
{
	int count = 0;
	int more = 1;

	while (more) {
		zmq_msg_t part;

		zmq_msg_init(&part);
		if (zmq_msg_recv(&part, links->router, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(&part);
			return false;
		}
		more = zmq_msg_more(&part);
		count++;
		if (count == 2 && !more)
			dispatch_message(links, &part);
		else if (count == 2 || (count == 1 && !more))
			cs_counters_add(links->counters, CS_N_PEER_BAD, 1);
		zmq_msg_close(&part);
	}
	return true;
}

static void on_readable(void *user)
{
	struct peer_links *links = user;

	for (int i = 0; i < RECEIVE_MAX; i++) {
		if (!receive_message(links))
			return;
	}
}

/* ---- all links ---- */

static void set_server_keys(struct peer_links *links)
{
	const struct settings *settings = links->settings;

	if (settings->peer_plain)
		return;
	links->admission = peer_admission_create(links->context, settings,
						 links->counters);
	set_int(links->router, ZMQ_CURVE_SERVER, 1);
	zmq_setsockopt(links->router, ZMQ_CURVE_SECRETKEY,
		       settings->peer_secret_key,
		       strlen(settings->peer_secret_key) + 1);
}

static bool bind_router(struct peer_links *links, char **why)
{
	const struct settings_address *at = &links->settings->peer;
	g_autofree char *endpoint = g_strdup_printf(
		"tcp://%s:%" G_GINT64_FORMAT, at->address, at->port);
	gint64 max_bytes = TRANSPORT_MAX;

	links->router = zmq_socket(links->context, ZMQ_ROUTER);
	set_common_options(links->router);
	zmq_setsockopt(links->router, ZMQ_MAXMSGSIZE, &max_bytes,
		       sizeof(max_bytes));
	set_server_keys(links);
	if (zmq_bind(links->router, endpoint) == 0)
		return true;
	cs_set_cause(why, "peer: %s: %s", endpoint, zmq_strerror(errno));
	return false;
}

static void link_configured_peers(struct peer_links *links)
{
	const GPtrArray *peers = links->settings->peers;

	for (guint i = 0; i < peers->len; i++) {
		const struct settings_peer *peer = peers->pdata[i];
		g_autofree char *endpoint = g_strdup_printf(
			"%s:%" G_GINT64_FORMAT, peer->endpoint.address,
			peer->endpoint.port);
		struct link *link;

		if (!strcmp(peer->id, links->settings->instance) ||
		    peer_links_contains(links, peer->id))
			continue;
		link = create_link(links, peer->id, endpoint, peer->public_key);
		link->from_settings = true;
	}
}

struct peer_links *peer_links_create(const struct settings *settings,
				     struct cs_counters *counters,
				     const struct peer_hooks *hooks, char **why)
{
	struct peer_links *links = g_new0(struct peer_links, 1);

	links->settings = settings;
	links->counters = counters;
	links->hooks = *hooks;
	links->incarnation = (guint64)cs_clock_wall_ms();
	links->context = zmq_ctx_new();
	links->links = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     (GDestroyNotify)destroy_link);
	if (!bind_router(links, why)) {
		peer_links_destroy(links);
		return NULL;
	}
	links->source = peer_source_create(links->router, on_readable, links);
	link_configured_peers(links);
	return links;
}

void peer_links_destroy(struct peer_links *links)
{
	if (!links)
		return;
	if (links->source) {
		g_source_destroy(links->source);
		g_source_unref(links->source);
	}
	g_hash_table_unref(links->links);
	zmq_close(links->router);
	peer_admission_destroy(links->admission);
	zmq_ctx_term(links->context);
	g_free(links);
}
