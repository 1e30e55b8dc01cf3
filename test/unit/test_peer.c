/* Links between daemons: key check, malformed frames, unreachable peers. */
#include "unit.h"

#include <gio/gio.h>
#include <string.h>
#include <zmq.h>

/* Iterations of the main loop, 10 ms each at most, before a wait fails. */
#define ITERATIONS_MAX 2000

/* The links of one daemon, and what it has received. */
struct daemon {
	struct settings settings;
	struct cs_counters *counters;
	struct peer_links *links;
	guint frames;
	enum peer_kind last_kind;
};

struct keys {
	char public_key[41];
	char secret_key[41];
};

static guint16 free_port(void)
{
	g_autoptr(GSocketListener) listener = g_socket_listener_new();
	guint16 port =
		g_socket_listener_add_any_inet_port(listener, NULL, NULL);

	g_socket_listener_close(listener);
	return port;
}

static void on_frame(const struct peer_frame *frame, void *user)
{
	struct daemon *daemon = user;

	daemon->frames++;
	daemon->last_kind = frame->kind;
}

static void open_daemon(struct daemon *daemon, const char *id, guint16 port,
			struct keys *keys, struct settings_peer *peer)
{
	struct peer_hooks hooks = {on_frame, daemon};
	g_autofree char *why = NULL;

	memset(daemon, 0, sizeof(*daemon));
	daemon->settings.instance = (char *)id;
	daemon->settings.peer.address = (char *)"127.0.0.1";
	daemon->settings.peer.port = port;
	daemon->settings.peer_plain = !keys;
	if (keys) {
		daemon->settings.peer_public_key = keys->public_key;
		daemon->settings.peer_secret_key = keys->secret_key;
	}
	daemon->settings.peers = g_ptr_array_new();
	g_ptr_array_add(daemon->settings.peers, peer);
	daemon->counters = cs_counters_create();
	daemon->links = peer_links_create(&daemon->settings, daemon->counters,
					  &hooks, &why);
	ck_assert_msg(daemon->links != NULL, "%s", why);
}

static void close_daemon(struct daemon *daemon)
{
	peer_links_destroy(daemon->links);
	cs_counters_destroy(daemon->counters);
	g_ptr_array_unref(daemon->settings.peers);
}

/* Bounds the time that one iteration of the main loop waits. */
static gboolean on_tick(gpointer user)
{
	return G_SOURCE_CONTINUE;
}

/*
 * Sends heartbeats until the other daemon receives a frame or rejects a sender.
 * Return: false if neither happens.
 */
static bool send_until_received(struct daemon *from, struct daemon *to)
{
	guint tick = g_timeout_add(10, on_tick, NULL);
	bool received = false;

	for (guint i = 0; i < ITERATIONS_MAX && !received; i++) {
		struct peer_frame frame = {.kind = PEER_HEARTBEAT};

		peer_links_send_all(from->links, &frame);
		g_main_context_iteration(NULL, TRUE);
		received = to->frames ||
			   cs_counters_get(to->counters, CS_N_PEER_UNLISTED);
	}
	g_source_remove(tick);
	return received;
}

static struct settings_peer peer_at(const char *id, guint16 port)
{
	return (struct settings_peer){
		.id = (char *)id,
		.endpoint = {(char *)"127.0.0.1", port},
	};
}

static struct keys make_keys(void)
{
	struct keys keys;

	ck_assert_int_eq(zmq_curve_keypair(keys.public_key, keys.secret_key),
			 0);
	return keys;
}

/* With the same key pair, or without keys on both sides, frames arrive. */
START_TEST(daemons_with_the_fleet_keys_exchange_frames)
{
	for (guint plain = 0; plain < 2; plain++) {
		struct keys keys = make_keys();
		guint16 ports[2] = {free_port(), free_port()};
		struct settings_peer peers[2] = {peer_at("b", ports[1]),
						 peer_at("a", ports[0])};
		struct daemon a;
		struct daemon b;

		open_daemon(&a, "a", ports[0], plain ? NULL : &keys, &peers[0]);
		open_daemon(&b, "b", ports[1], plain ? NULL : &keys, &peers[1]);
		ck_assert(send_until_received(&a, &b));
		ck_assert_uint_ge(b.frames, 1);
		ck_assert_int_eq(b.last_kind, PEER_HEARTBEAT);
		close_daemon(&a);
		close_daemon(&b);
	}
}
END_TEST

/*
 * A daemon with another key pair must not get a frame through, even if it knows
 * the public key of the receiver and can therefore start a CURVE handshake.
 */
START_TEST(a_daemon_with_another_key_is_rejected)
{
	struct keys keys = make_keys();
	struct keys other = make_keys();
	guint16 ports[2] = {free_port(), free_port()};
	struct settings_peer to_b = peer_at("b", ports[1]);
	struct settings_peer to_a = peer_at("a", ports[0]);
	struct daemon a;
	struct daemon b;

	to_b.public_key = keys.public_key;
	open_daemon(&a, "a", ports[0], &other, &to_b);
	open_daemon(&b, "b", ports[1], &keys, &to_a);
	ck_assert(send_until_received(&a, &b));
	ck_assert_uint_eq(b.frames, 0);
	close_daemon(&a);
	close_daemon(&b);
}
END_TEST

/* The sender is neither in the settings nor in the list of the receiver. */
START_TEST(frames_of_an_unlisted_sender_are_dropped)
{
	guint16 ports[2] = {free_port(), free_port()};
	struct settings_peer to_b = peer_at("b", ports[1]);
	struct settings_peer to_c = peer_at("c", ports[0]);
	struct daemon a;
	struct daemon b;

	open_daemon(&a, "a", ports[0], NULL, &to_b);
	open_daemon(&b, "b", ports[1], NULL, &to_c);
	ck_assert(send_until_received(&a, &b));
	ck_assert_uint_eq(b.frames, 0);
	close_daemon(&a);
	close_daemon(&b);
}
END_TEST

/*
 * An empty message, bytes that are not a frame, and a message with too many
 * parts must each be counted and must not reach the callback.
 */
START_TEST(malformed_messages_are_counted_and_dropped)
{
	guint16 port = free_port();
	struct settings_peer unused_peer = peer_at("x", free_port());
	g_autofree char *endpoint = g_strdup_printf("tcp://127.0.0.1:%u", port);
	void *context = zmq_ctx_new();
	void *dealer = zmq_socket(context, ZMQ_DEALER);
	struct daemon daemon;
	int linger = 0;
	guint tick = g_timeout_add(10, on_tick, NULL);

	open_daemon(&daemon, "a", port, NULL, &unused_peer);
	zmq_setsockopt(dealer, ZMQ_LINGER, &linger, sizeof(linger));
	zmq_connect(dealer, endpoint);
	zmq_send(dealer, "", 0, 0);
	zmq_send(dealer, "garbage", 7, 0);
	zmq_send(dealer, "two", 3, ZMQ_SNDMORE);
	zmq_send(dealer, "parts", 5, 0);
	for (guint i = 0; i < ITERATIONS_MAX &&
			  cs_counters_get(daemon.counters, CS_N_PEER_BAD) < 3;
	     i++)
		g_main_context_iteration(NULL, TRUE);
	g_source_remove(tick);
	ck_assert_uint_eq(cs_counters_get(daemon.counters, CS_N_PEER_BAD), 3);
	ck_assert_uint_eq(daemon.frames, 0);
	zmq_close(dealer);
	zmq_ctx_term(context);
	close_daemon(&daemon);
}
END_TEST

/*
 * A send must fail at once, instead of being queued, when the peer is not
 * connected ("b") or there is no link to it ("c").
 */
START_TEST(sending_to_an_unreachable_peer_fails)
{
	guint16 port = free_port();
	struct settings_peer unreachable = peer_at("b", free_port());
	struct peer_frame frame = {.kind = PEER_HEARTBEAT};
	struct daemon daemon;

	open_daemon(&daemon, "a", port, NULL, &unreachable);
	ck_assert_int_eq(peer_links_send(daemon.links, "b", &frame),
			 CS_E_ISSUER);
	ck_assert_int_eq(peer_links_send(daemon.links, "c", &frame),
			 CS_E_ISSUER);
	ck_assert_uint_eq(cs_counters_get(daemon.counters, CS_N_PEER_DROPPED),
			  1);
	close_daemon(&daemon);
}
END_TEST

UNIT_MAIN("peer", daemons_with_the_fleet_keys_exchange_frames,
	  a_daemon_with_another_key_is_rejected,
	  frames_of_an_unlisted_sender_are_dropped,
	  malformed_messages_are_counted_and_dropped,
	  sending_to_an_unreachable_peer_fails)
