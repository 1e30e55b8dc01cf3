/* Daemons that are cut off from all replicas, and not from their peers. */
#include "answers.h"
#include "cluster.h"
#include "unit.h"

#include "cuminsail/route_contact.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

START_TEST(a_daemon_cut_off_from_all_replicas_refuses_its_callers)
{
	static const enum cut cuts[] = {CUT_HANG, CUT_REFUSE};
	static const char *const targets[] = {"/once/x", "/one/x", "/all/x"};

	for (gsize i = 0; i < G_N_ELEMENTS(cuts); i++) {
		struct cluster cluster;
		guint served = 0;

		cluster_create(&cluster);
		cluster_run(&cluster, 8000);
		/* Most daemons are, the seeds too. */
		for (guint k = 0; k < 4; k++)
			cluster_cut(&cluster, k, cuts[i]);
		/* contactMs, with requests that may fail. */
		for (guint k = 0; k < 40; k++) {
			cluster_ask(&cluster, k % 4, targets[k % 3]);
			cluster_run(&cluster, 100);
		}
		for (guint k = 0; k < 60; k++)
			served += cluster_ask(&cluster, k % 4,
					      targets[k % 3]) == 200;
		ck_assert_msg(served >= 40, "cut %d: %u of 60 served", cuts[i],
			      served);
		cluster_destroy(&cluster);
	}
}
END_TEST

/* Daemon 5 is cut off, and knows it; the others have contact. */
static void create_with_one_cut_off(struct cluster *cluster)
{
	cluster_create(cluster);
	cluster_run(cluster, 8000);
	cluster_cut(cluster, 5, CUT_REFUSE);
	for (guint i = 0; i < 5; i++) {
		cluster_ask(cluster, 5, "/one/x");
		cluster_run(cluster, 200);
	}
	cluster_run(cluster, 2000);
	ck_assert_uint_eq(cluster_ask(cluster, 5, "/one/x"), 200);
}

static void forget_requests(struct cluster *cluster)
{
	for (guint i = 0; i < REPLICAS; i++)
		g_string_truncate(cluster->replicas[i].server->received, 0);
}

/* Return: new text: all that the replicas received since they answered. */
static char *received(const struct cluster *cluster)
{
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < REPLICAS; i++)
		g_string_append(text,
				cluster->replicas[i].server->received->str);
	return g_string_free(text, FALSE);
}

static guint occurrences(const char *text, const char *word)
{
	guint n = 0;

	for (const char *at = strstr(text, word); at;
	     at = strstr(at + strlen(word), word))
		n++;
	return n;
}

static void silence(struct cluster *cluster, bool silent)
{
	for (guint i = 0; i < REPLICAS; i++)
		cluster->replicas[i].silent = silent;
}

/* Sends a request to daemon 5 and lets a replica, which is silent, receive it.
 * Return: the caller's connection. */
static struct net_client *send_through_peer(struct cluster *cluster,
					    const char *request)
{
	struct net_client *caller = net_connect(
		&cluster->net, &cluster->daemons[5].settings.caller);

	forget_requests(cluster);
	silence(cluster, true);
	net_send(caller, request);
	net_advance(&cluster->net, 10);
	return caller;
}

#define POST                                                                   \
	"POST /once/x?q=1 HTTP/1.1\r\nHost: h\r\nId: r7\r\nWait: 800\r\n"      \
	"X-Own: 1\r\nContent-Length: 5\r\n\r\nhello"

START_TEST(a_relayed_request_reaches_one_replica_unchanged)
{
	struct cluster cluster;
	struct net_client *caller;
	g_autofree char *text = NULL;
	const char *wait;

	create_with_one_cut_off(&cluster);
	caller = send_through_peer(&cluster, POST);
	text = received(&cluster);
	ck_assert_uint_eq(occurrences(text, "POST /once/x?q=1 HTTP/1.1"), 1);
	ck_assert_uint_eq(occurrences(text, "Id: r7"), 1);
	ck_assert_uint_eq(occurrences(text, "X-Own: 1"), 1);
	ck_assert(g_str_has_suffix(text, "\r\n\r\nhello"));
	ck_assert_ptr_null(strstr(text, "Relay"));
	wait = strstr(text, "Wait: ");
	ck_assert_ptr_nonnull(wait);
	/* The time of the way back is kept. */
	ck_assert_int_le(atoi(wait + strlen("Wait: ")), 750);
	for (guint i = 0; i < REPLICAS; i++) {
		cluster.replicas[i].server->reply =
			"HTTP/1.1 201 Made\r\nId: r7\r\nSigned: s\r\nX-Its: "
			"2\r\nContent-Length: 3\r\n\r\nbye";
		net_server_reply_held(cluster.replicas[i].server);
	}
	net_advance(&cluster.net, 5);
	net_read(caller);
	ck_assert(g_str_has_prefix(caller->received->str, "HTTP/1.1 201"));
	ck_assert_ptr_nonnull(strstr(caller->received->str, "X-Its: 2"));
	ck_assert_ptr_nonnull(strstr(caller->received->str, "Signed: s"));
	ck_assert_ptr_null(strstr(caller->received->str, "Relay"));
	ck_assert(g_str_has_suffix(caller->received->str, "\r\n\r\nbye"));
	net_close(caller);
	cluster_destroy(&cluster);
}
END_TEST

START_TEST(an_order_whose_peer_is_lost_is_not_sent_again)
{
	struct cluster cluster;
	struct net_client *caller;
	guint n_running = 0;

	create_with_one_cut_off(&cluster);
	caller = send_through_peer(&cluster, POST);
	for (guint i = 0; i < 5; i++) {
		daemon_stop(&cluster.daemons[i]);
		cluster.daemons[i].engine = NULL;
	}
	net_advance(&cluster.net, 50);
	net_read(caller);
	ck_assert_msg(g_str_has_prefix(caller->received->str, "HTTP/1.1 502"),
		      "%s", caller->received->str);
	for (guint i = 0; i < REPLICAS; i++)
		n_running += strstr(cluster.replicas[i].server->received->str,
				    "Id: r7") != NULL;
	ck_assert_uint_eq(n_running, 1);
	net_close(caller);
	for (guint i = 0; i < 5; i++)
		cluster_start_daemon(&cluster, i);
	cluster_destroy(&cluster);
}
END_TEST

START_TEST(a_caller_that_leaves_ends_the_request_at_the_replica)
{
	struct cluster cluster;
	struct net_client *caller;
	guint before = 0;
	guint after = 0;

	create_with_one_cut_off(&cluster);
	caller = send_through_peer(
		&cluster, "GET /one/x HTTP/1.1\r\nHost: h\r\nId: r7\r\n"
			  "Wait: 5000\r\n\r\n");
	for (guint i = 0; i < REPLICAS; i++)
		before += cluster.replicas[i].server->n_open;
	net_close(caller);
	net_advance(&cluster.net, 450);
	for (guint i = 0; i < REPLICAS; i++)
		after += cluster.replicas[i].server->n_open;
	ck_assert_uint_lt(after, before);
	cluster_destroy(&cluster);
}
END_TEST

/* Requests that no daemon can serve are refused at once, however many peers
 * there are, and say truly that they did not run. */
START_TEST(daemons_that_are_all_cut_off_refuse_at_once)
{
	static const enum cut cuts[] = {CUT_REFUSE, CUT_HANG};

	for (gsize k = 0; k < G_N_ELEMENTS(cuts); k++) {
		struct cluster cluster;
		g_autofree char *text = NULL;

		cluster_create(&cluster);
		cluster_run(&cluster, 8000);
		for (guint i = 0; i < DAEMONS; i++)
			cluster_cut(&cluster, i, cuts[k]);
		for (guint i = 0; i < 3 * DAEMONS; i++) {
			cluster_ask(&cluster, i % DAEMONS, "/one/x");
			cluster_run(&cluster, 400);
		}
		forget_requests(&cluster);
		silence(&cluster, true);
		for (guint i = 0; i < DAEMONS; i++) {
			gint64 begun = cs_clock_now(cluster.net.clock);

			ck_assert_uint_eq(cluster_ask(&cluster, i, "/once/x"),
					  503);
			ck_assert_msg(cs_clock_now(cluster.net.clock) - begun <=
					      2 * STEP_MS * MS,
				      "cut %d, daemon %u", cuts[k], i);
		}
		text = received(&cluster);
		ck_assert_str_eq(text, "");
		cluster_destroy(&cluster);
	}
}
END_TEST

static guint relays_of_zone_a(const struct cluster *cluster)
{
	guint n = 0;

	for (guint i = 0; i < 3; i++)
		n += (guint)cs_counters_get(
			forward_engine_counters(cluster->daemons[i].engine),
			CS_N_RELAYED_IN);
	return n;
}

START_TEST(a_request_stays_in_the_regions_of_its_route)
{
	struct cluster cluster;
	guint before;

	create_with_one_cut_off(&cluster);
	before = relays_of_zone_a(&cluster);
	for (guint i = 3; i < 5; i++)
		cluster_cut(&cluster, i, CUT_REFUSE);
	for (guint i = 0; i < 20; i++) {
		cluster_ask(&cluster, 3 + i % 3, "/west/x");
		cluster_run(&cluster, 200);
	}
	/* Peers in the region east are left, and may not get it. */
	ck_assert_uint_eq(cluster_ask(&cluster, 5, "/west/x"), 503);
	ck_assert_uint_eq(relays_of_zone_a(&cluster), before);
	ck_assert_uint_eq(cluster_ask(&cluster, 5, "/one/x"), 200);
	cluster_destroy(&cluster);
}
END_TEST

/* Sends a request whose replicas are silent, cuts daemon 5 off, and counts how
 * often the request is sent in all. */
START_TEST(a_request_sent_before_a_cut_exceeds_the_attempts_of_its_route)
{
	static const gint64 before_ms[] = {20, 200};

	for (gsize i = 0; i < G_N_ELEMENTS(before_ms); i++) {
		struct cluster cluster;
		struct net_client *caller;
		g_autofree char *text = NULL;

		cluster_create(&cluster);
		cluster_run(&cluster, 8000);
		caller = send_through_peer(
			&cluster, "GET /two/x HTTP/1.1\r\nHost: h\r\nId: r1\r\n"
				  "Wait: 5000\r\n\r\n");
		cluster_run(&cluster, before_ms[i]);
		cluster_cut(&cluster, 5, CUT_HANG);
		cluster_run(&cluster, 960);
		text = received(&cluster);
		ck_assert_msg(occurrences(text, "Id: r1") <= 2,
			      "case %zu: sent %u times", i,
			      occurrences(text, "Id: r1"));
		net_close(caller);
		cluster_destroy(&cluster);
	}
}
END_TEST

START_TEST(a_stranger_gets_nothing_from_the_relay_address)
{
	struct cluster cluster;
	struct net_client *stranger;
	g_autofree char *text = NULL;

	cluster_create(&cluster);
	cluster_run(&cluster, 8000);
	silence(&cluster, true);
	stranger = net_connect_only(&cluster.daemons[0].settings.relay);
	net_send(stranger, "GET /one/x HTTP/1.1\r\nHost: h\r\nId: r7\r\n"
			   "Cuminsail-Relay: 3 0 0\r\n\r\n");
	net_advance(&cluster.net, 50);
	net_read(stranger);
	ck_assert(stranger->closed);
	ck_assert_str_eq(stranger->received->str, "");
	text = received(&cluster);
	ck_assert_str_eq(text, "");
	net_close(stranger);
	cluster_destroy(&cluster);
}
END_TEST

static void list_id(const char *id, void *user)
{
	g_ptr_array_add(user, g_strdup(id));
}

static void remove_replicas(struct cluster *cluster, guint daemon)
{
	struct route_fleet *fleet =
		forward_engine_fleet(cluster->daemons[daemon].engine);
	g_autoptr(GPtrArray) ids = g_ptr_array_new_with_free_func(g_free);

	route_fleet_each(fleet, list_id, ids);
	for (guint i = 0; i < ids->len; i++)
		route_fleet_remove(fleet, ids->pdata[i], false,
				   cs_clock_now(cluster->net.clock));
}

/* Guards against a peer whose refusals are fast, and which is chosen for that.
 */
START_TEST(a_peer_that_refuses_does_not_attract_requests)
{
	struct cluster cluster;
	guint served = 0;

	create_with_one_cut_off(&cluster);
	remove_replicas(&cluster, 3);
	for (guint i = 0; i < 20; i++) {
		served += cluster_ask(&cluster, 5, "/one/x") == 200;
		cluster_run(&cluster, 40);
	}
	ck_assert_msg(served >= 17, "%u of 20 served", served);
	cluster_destroy(&cluster);
}
END_TEST

/* What daemon 4 answers to daemon 5 on its relay address.
 * Return: new text. */
static char *ask_peer(struct cluster *cluster, const char *field)
{
	struct net_client *peer =
		net_connect_from(&cluster->daemons[5].settings.relay,
				 &cluster->daemons[4].settings.relay);
	g_autofree char *text =
		g_strdup_printf("GET /one/x HTTP/1.1\r\nHost: h\r\nId: r1\r\n"
				"Wait: 900\r\n%s\r\n",
				field);
	char *answer;

	net_send(peer, text);
	cluster_run(cluster, 100);
	net_read(peer);
	answer = g_strdup(peer->received->str);
	net_close(peer);
	return answer;
}

START_TEST(a_peer_refuses_what_it_cannot_serve_now)
{
	static const struct {
		const char *field;
		const char *status;
		const char *result;
	} rows[] = {
		{"Cuminsail-Relay: 3 0 0\r\n", "HTTP/1.1 200", "Relay: 0 3"},
		{"Cuminsail-Relay: 9 0 0\r\n", "HTTP/1.1 503", "Relay: -16 3"},
		{"Cuminsail-Relay: 3 0\r\n", "HTTP/1.1 400", "Relay: -36 3"},
		{"Cuminsail-Relay: 3 -5 0\r\n", "HTTP/1.1 400", "Relay: -36 3"},
		{"", "HTTP/1.1 400", "Relay: -36 3"},
	};
	struct cluster cluster;
	g_autofree char *last = NULL;

	cluster_create(&cluster);
	cluster_run(&cluster, 8000);
	for (gsize i = 0; i < G_N_ELEMENTS(rows); i++) {
		g_autofree char *answer = ask_peer(&cluster, rows[i].field);

		ck_assert_msg(g_str_has_prefix(answer, rows[i].status),
			      "case %zu: %s", i, answer);
		ck_assert_msg(strstr(answer, rows[i].result) != NULL,
			      "case %zu: %s", i, answer);
	}
	cluster_cut(&cluster, 4, CUT_HANG);
	cluster_ask(&cluster, 4, "/one/x");
	cluster_run(&cluster, 1000);
	last = ask_peer(&cluster, rows[0].field);
	ck_assert_ptr_nonnull(strstr(last, "Cuminsail-Relay: -39 3"));
	ck_assert(g_str_has_prefix(last, "HTTP/1.1 503"));
	cluster_destroy(&cluster);
}
END_TEST

/* Number of a daemon's relay address. */
static guint relay_number(const struct daemon *daemon)
{
	return ntohs(daemon->settings.relay.sin_port) -
	       ntohs(net_address(0).sin_port);
}

/* Puts servers that answer with @start in the place of daemons 0 to n - 1. */
static void replace_peers(struct cluster *cluster, struct net_server **peers,
			  guint n, const char *start)
{
	for (guint i = 0; i < n; i++) {
		guint number = relay_number(&cluster->daemons[i]);

		daemon_stop(&cluster->daemons[i]);
		cluster->daemons[i].engine = NULL;
		peers[i] =
			net_server_create(&cluster->net, number, start, false);
	}
}

static void restore_peers(struct cluster *cluster, struct net_server **peers,
			  guint n)
{
	for (guint i = 0; i < n; i++) {
		net_server_destroy(peers[i]);
		cluster_start_daemon(cluster, i);
	}
}

/* Guards against an order that the caller repeats after it has run: an older
 * daemon passes on a replica's 429 without proof as the replica's answer. */
START_TEST(a_peers_answer_without_proof_promises_nothing)
{
	struct net_server *peers[5];
	struct cluster cluster;

	create_with_one_cut_off(&cluster);
	replace_peers(&cluster, peers, 5,
		      "HTTP/1.1 429 Full\r\nId: r7\r\nSigned: s\r\n"
		      "Cuminsail-Relay: 0 3\r\nContent-Length: 0\r\n\r\n");
	ck_assert_uint_eq(cluster_ask_text(&cluster, 5, POST), 502);
	restore_peers(&cluster, peers, 5);
	cluster_destroy(&cluster);
}
END_TEST

static void check_got_502(struct net_client *caller, gsize number)
{
	net_read(caller);
	ck_assert_msg(g_str_has_prefix(caller->received->str, "HTTP/1.1 502"),
		      "case %zu: %s", number, caller->received->str);
}

static guint count_requests(struct net_server **peers, guint n)
{
	guint requests = 0;

	for (guint i = 0; i < n; i++)
		requests += peers[i]->requests;
	return requests;
}

/* Guards against a peer's broken answer that reaches a caller, or that counts
 * as proof that an order did not run. */
START_TEST(a_peers_broken_answer_reaches_no_caller)
{
	static const char *const fields[] = {
		"Id: r7\r\nSigned: s\r\nCuminsail-Relay: 0 3\r\n",
		"Id: r7\r\nNot-Run: 1\r\nCuminsail-Relay: -39 3\r\n",
	};
	struct net_server *peers[5];
	struct cluster cluster;

	create_with_one_cut_off(&cluster);
	replace_peers(&cluster, peers, 5, NULL);
	for (gsize i = 0; i < 2 * answers_broken.n; i++) {
		const char *template = answers_broken.templates[i / 2];
		g_autofree char *answer = answers_print(template, fields[i % 2],
							"0123456789abcdef");
		struct net_client *caller = net_connect(
			&cluster.net, &cluster.daemons[5].settings.caller);

		for (guint k = 0; k < 5; k++) {
			peers[k]->reply = answer;
			peers[k]->close_after = true;
		}
		net_send(caller, POST);
		net_run_until_idle(&cluster.net);
		check_got_502(caller, i);
		ck_assert_uint_eq(count_requests(peers, 5), i + 1);
		net_close(caller);
		net_advance(&cluster.net, 10);
	}
	restore_peers(&cluster, peers, 5);
	cluster_destroy(&cluster);
}
END_TEST

/* Begins of a peer's answer, within its head and within its body. */
static const char *const endless_starts[] = {
	"HTTP/1.1 200 OK\r\nX: ",
	"HTTP/1.1 200 OK\r\nId: r7\r\nSigned: s\r\n"
	"Cuminsail-Relay: 0 3\r\n\r\n",
};

/* Sends 32 KB on all connections to the peers.
 * Return: the number of connections that were open. */
static guint send_from_peers(struct cluster *cluster, struct net_server **peers,
			     guint n)
{
	g_autofree char *bytes = g_strnfill(32768, 'a');
	guint n_open = 0;

	for (guint i = 0; i < n; i++) {
		net_server_send(peers[i], bytes, 32768);
		n_open += peers[i]->n_open;
	}
	net_run_until_idle(&cluster->net);
	return n_open;
}

/* Guards against memory that a peer's answer without end uses up. */
START_TEST(a_peers_answer_without_end_is_cut_off)
{
	for (gsize k = 0; k < G_N_ELEMENTS(endless_starts); k++) {
		struct net_server *peers[5];
		struct cluster cluster;
		struct net_client *caller;
		guint n_open = 1;

		create_with_one_cut_off(&cluster);
		replace_peers(&cluster, peers, 5, endless_starts[k]);
		caller = net_connect(&cluster.net,
				     &cluster.daemons[5].settings.caller);
		net_send(caller, POST);
		net_run_until_idle(&cluster.net);
		for (guint sent = 0; n_open && sent < 64 * 1024; sent += 32)
			n_open = send_from_peers(&cluster, peers, 5);
		ck_assert_msg(!n_open, "case %zu", k);
		check_got_502(caller, k);
		net_close(caller);
		restore_peers(&cluster, peers, 5);
		cluster_destroy(&cluster);
	}
}
END_TEST

/* Sends an order to daemon 5 again and again until a peer leaves it unanswered.
 * Return: the caller's connection. */
static struct net_client *send_to_silent_peer(struct cluster *cluster)
{
	for (guint i = 0; i < 100; i++) {
		struct net_client *caller = net_connect(
			&cluster->net, &cluster->daemons[5].settings.caller);

		net_send(caller, POST);
		net_run_until_idle(&cluster->net);
		net_read(caller);
		if (!caller->received->len)
			return caller;
		net_close(caller);
	}
	ck_abort_msg("no peer leaves an order unanswered");
	return NULL;
}

/* Return: how many of 40 requests to daemon 5 at the same time are served. */
static guint ask_many(struct cluster *cluster)
{
	struct net_client *callers[40];
	guint served = 0;

	for (gsize i = 0; i < G_N_ELEMENTS(callers); i++) {
		callers[i] = net_connect(&cluster->net,
					 &cluster->daemons[5].settings.caller);
		net_send(callers[i], "GET /one/x HTTP/1.1\r\nHost: h\r\nId: "
				     "r1\r\nWait: 900\r\n\r\n");
		net_run_until_idle(&cluster->net);
	}
	cluster_run(cluster, 100);
	for (gsize i = 0; i < G_N_ELEMENTS(callers); i++) {
		net_read(callers[i]);
		served += g_str_has_prefix(callers[i]->received->str,
					   "HTTP/1.1 200");
		net_close(callers[i]);
	}
	return served;
}

/* Guards against callers that lose their requests while a peer sends without
 * end to another one. */
START_TEST(requests_are_served_beside_a_peers_answer_without_end)
{
	for (gsize k = 0; k < G_N_ELEMENTS(endless_starts); k++) {
		struct net_server *peers[4];
		struct cluster cluster;
		struct net_client *caller;
		guint n_open = 1;

		create_with_one_cut_off(&cluster);
		replace_peers(&cluster, peers, 4, endless_starts[k]);
		caller = send_to_silent_peer(&cluster);
		ck_assert_uint_gt(send_from_peers(&cluster, peers, 4), 0);
		ck_assert_msg(ask_many(&cluster), "case %zu", k);
		for (guint sent = 0; n_open && sent < 64 * 1024; sent += 32)
			n_open = send_from_peers(&cluster, peers, 4);
		ck_assert_msg(!n_open, "case %zu", k);
		check_got_502(caller, k);
		net_close(caller);
		restore_peers(&cluster, peers, 4);
		cluster_destroy(&cluster);
	}
}
END_TEST

START_TEST(a_daemon_returns_to_the_replicas_after_the_cut)
{
	struct cluster cluster;
	guint relayed = 0;

	create_with_one_cut_off(&cluster);
	cluster_cut(&cluster, 5, CUT_NONE);
	for (guint i = 0; i < 20; i++) {
		ck_assert_uint_eq(cluster_ask(&cluster, 5, "/one/x"), 200);
		cluster_run(&cluster, 100);
	}
	for (guint i = 0; i < 5; i++)
		relayed -= (guint)cs_counters_get(
			forward_engine_counters(cluster.daemons[i].engine),
			CS_N_RELAYED_IN);
	for (guint i = 0; i < 10; i++)
		ck_assert_uint_eq(cluster_ask(&cluster, 5, "/all/x"), 200);
	for (guint i = 0; i < 5; i++)
		relayed += (guint)cs_counters_get(
			forward_engine_counters(cluster.daemons[i].engine),
			CS_N_RELAYED_IN);
	ck_assert_uint_eq(relayed, 0);
	cluster_destroy(&cluster);
}
END_TEST

/* It crashes the replicas of the peers, and counts there as it does at home. */
START_TEST(a_request_that_crashes_replicas_is_blocked_over_peers_too)
{
	struct cluster cluster;

	create_with_one_cut_off(&cluster);
	for (guint i = 0; i < 12; i++) {
		cluster_ask(&cluster, 5, "/once" DEADLY);
		cluster_run(&cluster, 400);
	}
	ck_assert_uint_le(cluster.crashes->len, 4);
	ck_assert_uint_eq(cluster_ask(&cluster, 5, "/once" DEADLY), 503);
	ck_assert_uint_eq(cluster_ask(&cluster, 5, "/once/x"), 200);
	cluster_destroy(&cluster);
}
END_TEST

START_TEST(open_requests_go_to_a_peer_when_contact_is_lost)
{
	struct cluster cluster;
	struct net_client *caller;

	cluster_create(&cluster);
	cluster_run(&cluster, 8000);
	caller = send_through_peer(
		&cluster, "GET /one/x HTTP/1.1\r\nHost: h\r\nId: r1\r\n"
			  "Wait: 900\r\n\r\n");
	cluster_cut(&cluster, 5, CUT_HANG);
	/* Silence of 0.3 s, and a round of 0.25 s. */
	cluster_run(&cluster, 660);
	net_read(caller);
	ck_assert_str_eq(caller->received->str, "");
	silence(&cluster, false);
	cluster_run(&cluster, 100);
	net_read(caller);
	ck_assert_msg(g_str_has_prefix(caller->received->str, "HTTP/1.1 200"),
		      "%s", caller->received->str);
	ck_assert_uint_eq(cs_counters_get(forward_engine_counters(
						  cluster.daemons[5].engine),
					  CS_N_RELAYED_OUT),
			  1);
	net_close(caller);
	cluster_destroy(&cluster);
}
END_TEST

static guint n_stopped(const struct cluster *cluster)
{
	guint n = 0;

	for (guint i = 0; i < DAEMONS; i++)
		n += cluster->daemons[i].stopped;
	return n;
}

START_TEST(a_stopping_peer_answers_the_requests_that_it_has_taken)
{
	struct cluster cluster;
	struct net_client *caller;

	create_with_one_cut_off(&cluster);
	for (guint i = 0; i < 5; i++)
		forward_engine_stop(cluster.daemons[i].engine);
	/* They stop to accept 2.5 s later. */
	net_advance(&cluster.net, 2300);
	caller = send_through_peer(&cluster, POST);
	net_advance(&cluster.net, 400);
	for (guint i = 0; i < REPLICAS; i++) {
		cluster.replicas[i].server->reply =
			"HTTP/1.1 200 OK\r\nId: r7\r\nSigned: s\r\n"
			"Content-Length: 0\r\n\r\n";
		net_server_reply_held(cluster.replicas[i].server);
	}
	net_advance(&cluster.net, 5);
	net_read(caller);
	ck_assert_msg(g_str_has_prefix(caller->received->str, "HTTP/1.1 200"),
		      "%s", caller->received->str);
	ck_assert_uint_eq(n_stopped(&cluster), 4);
	net_advance(&cluster.net, 100);
	ck_assert_uint_eq(n_stopped(&cluster), 5);
	net_close(caller);
	cluster_destroy(&cluster);
}
END_TEST

/* ---- contact, without a network ---- */

START_TEST(contact_is_doubted_after_failures_at_several_replicas)
{
	struct route_contact *contact = route_contact_create();
	gint64 now = CS_US_PER_S;

	route_contact_connected(contact, now);
	for (guint32 i = 0; i < 20; i++)
		route_contact_failed(contact, i % 3);
	ck_assert(!route_contact_wants_round(contact, 0, 30, now));
	route_contact_failed(contact, 3);
	ck_assert(route_contact_wants_round(contact, 0, 30, now));
	/* Answers on connections that live on do not end the doubt, a new
	 * connection does. */
	route_contact_answered(contact, now);
	ck_assert(route_contact_wants_round(contact, 0, 30, now));
	route_contact_connected(contact, now);
	ck_assert(!route_contact_wants_round(contact, 0, 30, now));
	/* Two replicas are all there is. */
	route_contact_failed(contact, 1);
	route_contact_failed(contact, 2);
	ck_assert(route_contact_wants_round(contact, 0, 2, now));
	ck_assert(!route_contact_wants_round(contact, 0, 0, now));
	route_contact_destroy(contact);
}
END_TEST

START_TEST(contact_is_doubted_after_silence_of_all_replicas)
{
	struct route_contact *contact = route_contact_create();
	gint64 now = 10 * CS_US_PER_S;

	route_contact_answered(contact, now);
	ck_assert(!route_contact_wants_round(contact, 0, 30, now + 900 * MS));
	ck_assert(!route_contact_wants_round(contact, now + 800 * MS, 30,
					     now + 900 * MS));
	ck_assert(route_contact_wants_round(contact, now + 100 * MS, 30,
					    now + 400 * MS));
	route_contact_answered(contact, now + 350 * MS);
	ck_assert(!route_contact_wants_round(contact, now + 100 * MS, 30,
					     now + 400 * MS));
	route_contact_destroy(contact);
}
END_TEST

START_TEST(a_slow_daemon_does_not_take_its_delay_for_a_cut)
{
	struct route_contact *contact = route_contact_create();
	gint64 now = 10 * CS_US_PER_S;

	route_contact_answered(contact, now);
	route_contact_lagged(contact, now + 350 * MS);
	ck_assert(!route_contact_wants_round(contact, now + 10 * MS, 30,
					     now + 400 * MS));
	route_contact_begin_round(contact, now + 400 * MS);
	route_contact_lagged(contact, now + 500 * MS);
	ck_assert_int_eq(route_contact_end_round(contact, 8, 0, now + 700 * MS),
			 ROUTE_CONTACT_SAME);
	ck_assert(route_contact_exists(contact));
	route_contact_destroy(contact);
}
END_TEST

START_TEST(contact_is_lost_and_regained_by_rounds)
{
	struct route_contact *contact = route_contact_create();
	gint64 now = 10 * CS_US_PER_S;

	/* A connection for a request during the round keeps it. */
	route_contact_begin_round(contact, now);
	route_contact_connected(contact, now + 1);
	ck_assert_int_eq(route_contact_end_round(contact, 8, 0, now + 2),
			 ROUTE_CONTACT_SAME);
	route_contact_begin_round(contact, now + 3);
	ck_assert_int_eq(route_contact_end_round(contact, 0, 0, now + 4),
			 ROUTE_CONTACT_SAME);
	ck_assert(route_contact_exists(contact));
	ck_assert_int_eq(route_contact_end_round(contact, 8, 0, now + 5),
			 ROUTE_CONTACT_LOST);
	ck_assert(!route_contact_exists(contact));
	ck_assert(route_contact_share(contact, now + 6) == 0);
	ck_assert(!route_contact_wants_round(contact, 0, 30, now + 200 * MS));
	ck_assert(route_contact_wants_round(contact, 0, 30, now + 400 * MS));
	/* Less than most of them is not enough. */
	route_contact_begin_round(contact, now + 400 * MS);
	ck_assert_int_eq(route_contact_end_round(contact, 8, 4, now + 401 * MS),
			 ROUTE_CONTACT_SAME);
	ck_assert_int_eq(route_contact_end_round(contact, 8, 5, now + 701 * MS),
			 ROUTE_CONTACT_REGAINED);
	ck_assert(route_contact_share(contact, now + 1201 * MS) == 0.5);
	ck_assert(route_contact_share(contact, now + 9000 * MS) == 1);
	route_contact_destroy(contact);
}
END_TEST

UNIT_MAIN("relay", a_caller_that_leaves_ends_the_request_at_the_replica,
	  a_daemon_cut_off_from_all_replicas_refuses_its_callers,
	  a_daemon_returns_to_the_replicas_after_the_cut,
	  a_peer_refuses_what_it_cannot_serve_now,
	  a_peers_broken_answer_reaches_no_caller,
	  a_peers_answer_without_end_is_cut_off,
	  requests_are_served_beside_a_peers_answer_without_end,
	  a_peers_answer_without_proof_promises_nothing,
	  a_peer_that_refuses_does_not_attract_requests,
	  a_relayed_request_reaches_one_replica_unchanged,
	  a_request_that_crashes_replicas_is_blocked_over_peers_too,
	  a_request_sent_before_a_cut_exceeds_the_attempts_of_its_route,
	  a_request_stays_in_the_regions_of_its_route,
	  a_slow_daemon_does_not_take_its_delay_for_a_cut,
	  a_stopping_peer_answers_the_requests_that_it_has_taken,
	  a_stranger_gets_nothing_from_the_relay_address,
	  an_order_whose_peer_is_lost_is_not_sent_again,
	  contact_is_doubted_after_failures_at_several_replicas,
	  contact_is_doubted_after_silence_of_all_replicas,
	  contact_is_lost_and_regained_by_rounds,
	  daemons_that_are_all_cut_off_refuse_at_once,
	  open_requests_go_to_a_peer_when_contact_is_lost)
