/* Links between daemons: admission, hostile frames, lost peers. */
#include "unit.h"

#include <gio/gio.h>
#include <string.h>
#include <zmq.h>

/* Turns of the loop, 10 ms each at most, before a wait is given up. */
#define TURNS_MAX 2000

struct end {
	struct settings settings;
	struct cs_counters *counters;
	struct peer_links *links;
	guint frames;
	enum peer_kind last;
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
	struct end *end = user;

	end->frames++;
	end->last = frame->kind;
}

static void open_end(struct end *end, const char *id, guint16 port,
		     struct keys *keys, struct settings_peer *peer)
{
	struct peer_hooks hooks = {on_frame, end};
	g_autofree char *why = NULL;

	memset(end, 0, sizeof(*end));
	end->settings.instance = (char *)id;
	end->settings.peer.address = (char *)"127.0.0.1";
	end->settings.peer.port = port;
	end->settings.peer_plain = !keys;
	if (keys) {
		end->settings.peer_public_key = keys->public_key;
		end->settings.peer_secret_key = keys->secret_key;
	}
	end->settings.peers = g_ptr_array_new();
	g_ptr_array_add(end->settings.peers, peer);
	end->counters = cs_counters_create();
	end->links =
		peer_links_create(&end->settings, end->counters, &hooks, &why);
	ck_assert_msg(end->links != NULL, "%s", why);
}

static void close_end(struct end *end)
{
	peer_links_destroy(end->links);
	cs_counters_destroy(end->counters);
	g_ptr_array_unref(end->settings.peers);
}

static gboolean on_turn(gpointer user)
{
	return G_SOURCE_CONTINUE;
}

/* Send beats from one end until a frame or a refusal shows at the other. */
static bool beat_until_seen(struct end *from, struct end *to)
{
	guint turn = g_timeout_add(10, on_turn, NULL);
	bool seen = false;

	for (guint i = 0; i < TURNS_MAX && !seen; i++) {
		struct peer_frame frame = {.kind = PEER_BEAT};

		peer_links_send_all(from->links, &frame);
		g_main_context_iteration(NULL, TRUE);
		seen = to->frames ||
		       cs_counters_get(to->counters, CS_N_PEER_UNLISTED);
	}
	g_source_remove(turn);
	return seen;
}

static struct settings_peer peer_at(const char *id, guint16 port)
{
	return (struct settings_peer){
		.id = (char *)id,
		.at = {(char *)"127.0.0.1", port},
	};
}

static struct keys make_keys(void)
{
	struct keys keys;

	ck_assert_int_eq(zmq_curve_keypair(keys.public_key, keys.secret_key),
			 0);
	return keys;
}

START_TEST(daemons_with_the_fleets_keys_are_linked)
{
	for (guint plain = 0; plain < 2; plain++) {
		struct keys keys = make_keys();
		guint16 ports[2] = {free_port(), free_port()};
		struct settings_peer peers[2] = {peer_at("b", ports[1]),
						 peer_at("a", ports[0])};
		struct end a;
		struct end b;

		open_end(&a, "a", ports[0], plain ? NULL : &keys, &peers[0]);
		open_end(&b, "b", ports[1], plain ? NULL : &keys, &peers[1]);
		ck_assert(beat_until_seen(&a, &b));
		ck_assert_uint_ge(b.frames, 1);
		ck_assert_int_eq(b.last, PEER_BEAT);
		close_end(&a);
		close_end(&b);
	}
}
END_TEST

/* Another key pair, even with the server's public key, is not admitted. */
START_TEST(another_key_is_not_admitted)
{
	struct keys keys = make_keys();
	struct keys other = make_keys();
	guint16 ports[2] = {free_port(), free_port()};
	struct settings_peer to_b = peer_at("b", ports[1]);
	struct settings_peer to_a = peer_at("a", ports[0]);
	struct end a;
	struct end b;

	to_b.public_key = keys.public_key;
	open_end(&a, "a", ports[0], &other, &to_b);
	open_end(&b, "b", ports[1], &keys, &to_a);
	ck_assert(beat_until_seen(&a, &b));
	ck_assert_uint_eq(b.frames, 0);
	close_end(&a);
	close_end(&b);
}
END_TEST

START_TEST(a_sender_that_nobody_listed_is_dropped)
{
	guint16 ports[2] = {free_port(), free_port()};
	struct settings_peer to_b = peer_at("b", ports[1]);
	struct settings_peer to_c = peer_at("c", ports[0]);
	struct end a;
	struct end b;

	open_end(&a, "a", ports[0], NULL, &to_b);
	open_end(&b, "b", ports[1], NULL, &to_c);
	ck_assert(beat_until_seen(&a, &b));
	ck_assert_uint_eq(b.frames, 0);
	close_end(&a);
	close_end(&b);
}
END_TEST

/* Bytes that are no frame, and messages of the wrong number of parts. */
START_TEST(hostile_messages_are_counted_and_dropped)
{
	guint16 port = free_port();
	struct settings_peer nobody = peer_at("x", free_port());
	g_autofree char *endpoint = g_strdup_printf("tcp://127.0.0.1:%u", port);
	void *context = zmq_ctx_new();
	void *dealer = zmq_socket(context, ZMQ_DEALER);
	struct end end;
	int linger = 0;
	guint turn = g_timeout_add(10, on_turn, NULL);

	open_end(&end, "a", port, NULL, &nobody);
	zmq_setsockopt(dealer, ZMQ_LINGER, &linger, sizeof(linger));
	zmq_connect(dealer, endpoint);
	zmq_send(dealer, "", 0, 0);
	zmq_send(dealer, "garbage", 7, 0);
	zmq_send(dealer, "two", 3, ZMQ_SNDMORE);
	zmq_send(dealer, "parts", 5, 0);
	for (guint i = 0;
	     i < TURNS_MAX && cs_counters_get(end.counters, CS_N_PEER_BAD) < 3;
	     i++)
		g_main_context_iteration(NULL, TRUE);
	g_source_remove(turn);
	ck_assert_uint_eq(cs_counters_get(end.counters, CS_N_PEER_BAD), 3);
	ck_assert_uint_eq(end.frames, 0);
	zmq_close(dealer);
	zmq_ctx_term(context);
	close_end(&end);
}
END_TEST

START_TEST(nothing_is_sent_to_a_peer_that_is_not_there)
{
	guint16 port = free_port();
	struct settings_peer gone = peer_at("b", free_port());
	struct peer_frame frame = {.kind = PEER_BEAT};
	struct end end;

	open_end(&end, "a", port, NULL, &gone);
	ck_assert_int_eq(peer_links_send(end.links, "b", &frame), CS_E_ISSUER);
	ck_assert_int_eq(peer_links_send(end.links, "c", &frame), CS_E_ISSUER);
	ck_assert_uint_eq(cs_counters_get(end.counters, CS_N_PEER_DROPPED), 1);
	close_end(&end);
}
END_TEST

UNIT_MAIN("peer", daemons_with_the_fleets_keys_are_linked,
	  another_key_is_not_admitted, a_sender_that_nobody_listed_is_dropped,
	  hostile_messages_are_counted_and_dropped,
	  nothing_is_sent_to_a_peer_that_is_not_there)
