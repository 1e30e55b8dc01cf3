/* Requests that crash the replicas that run them: what several daemons send. */
#include "cluster.h"
#include "unit.h"

#include "cuminsail/forward.h"

#include <string.h>

#define CONTACT_STEPS (5000 / STEP_MS)

/* Return: crashes later than 5 s after the third. */
static guint late_crashes(const struct cluster *cluster)
{
	guint n = 0;

	for (guint i = 3; i < cluster->crashes->len; i++)
		n += g_array_index(cluster->crashes, guint, i) >
		     g_array_index(cluster->crashes, guint, 2) + CONTACT_STEPS;
	return n;
}

START_TEST(several_daemons_send_on_a_request_that_has_crashed_three_replicas)
{
	static const char *const targets[] = {"/once" DEADLY, "/one" DEADLY,
					      "/all" DEADLY};

	for (gsize i = 0; i < G_N_ELEMENTS(targets); i++) {
		struct cluster cluster;

		cluster_create(&cluster);
		cluster_run(&cluster, 1000);
		for (guint k = 0; k < 40; k++) {
			/* Other requests run beside it. */
			cluster_ask(&cluster, (k + 1) % DAEMONS, "/one/other");
			cluster_ask(&cluster, k % DAEMONS, targets[i]);
			cluster_run(&cluster, 300);
		}
		ck_assert_uint_ge(cluster.crashes->len, 3);
		ck_assert_msg(late_crashes(&cluster) <= 3,
			      "%s: %u crashes later than 5 s after the third",
			      targets[i], late_crashes(&cluster));
		cluster_destroy(&cluster);
	}
}
END_TEST

/* Sends DEADLY to different daemons until three replicas have crashed. */
static void crash_three(struct cluster *cluster)
{
	for (guint i = 0; i < 3; i++) {
		ck_assert_uint_eq(cluster_ask(cluster, 2 + i, "/once" DEADLY),
				  502);
		cluster_run(cluster, 400);
	}
	ck_assert_uint_eq(cluster->crashes->len, 3);
}

static void check_refused_by_all(struct cluster *cluster)
{
	guint n_crashes = cluster->crashes->len;

	for (guint i = 0; i < DAEMONS; i++)
		ck_assert_msg(cluster_ask(cluster, i, "/once" DEADLY) == 503,
			      "daemon %u", i);
	ck_assert_uint_eq(cluster->crashes->len, n_crashes);
}

/* Sends DEADLY to different daemons until it is blocked everywhere, and the
 * first probe by a seed. All replicas are up again then. */
static void block(struct cluster *cluster)
{
	crash_three(cluster);
	check_refused_by_all(cluster);
	cluster_run(cluster, 2500);
	ck_assert_uint_eq(cluster_ask(cluster, 5, "/once" DEADLY), 503);
	ck_assert_uint_eq(cluster->crashes->len, 3);
	ck_assert_uint_eq(cluster_ask(cluster, 0, "/once" DEADLY), 502);
	cluster_run(cluster, 3000);
	ck_assert_uint_eq(cluster->crashes->len, 4);
}

START_TEST(a_blocked_request_is_refused_at_once_and_sent_to_no_replica)
{
	struct cluster cluster;

	cluster_create(&cluster);
	cluster_run(&cluster, 1000);
	block(&cluster);
	check_refused_by_all(&cluster);
	cluster_destroy(&cluster);
}
END_TEST

/* Guards against further copies after the first probe, which every daemon
 * counts. */
START_TEST(the_first_probe_crashes_one_more_replica)
{
	struct cluster cluster;

	cluster_create(&cluster);
	cluster_run(&cluster, 1000);
	block(&cluster);
	for (guint i = 0; i < 20; i++) {
		check_refused_by_all(&cluster);
		cluster_run(&cluster, 1000);
	}
	ck_assert_uint_eq(cluster.crashes->len, 4);
	cluster_destroy(&cluster);
}
END_TEST

/* Guards against a probe of a query that goes on to the next shard after it has
 * crashed a replica of the first one. */
START_TEST(a_probe_of_a_query_is_sent_to_one_shard_only)
{
	struct cluster cluster;
	guint n_crashes;

	cluster_create(&cluster);
	cluster_run(&cluster, 1000);
	for (guint i = 2; i < DAEMONS; i++) {
		cluster_ask(&cluster, i, "/all" DEADLY);
		cluster_run(&cluster, 400);
	}
	n_crashes = cluster.crashes->len;
	ck_assert_uint_ge(n_crashes, 3);
	cluster_run(&cluster, 5000);
	ck_assert_uint_eq(cluster.crashes->len, n_crashes);
	ck_assert_uint_eq(cluster_ask(&cluster, 0, "/all" DEADLY), 502);
	cluster_run(&cluster, 1000);
	ck_assert_uint_eq(cluster.crashes->len, n_crashes + 1);
	cluster_destroy(&cluster);
}
END_TEST

/* Guards against a request that stays blocked after a probe of each seed, where
 * there are fewer seeds than probes. */
START_TEST(two_seeds_send_three_probes)
{
	struct cluster cluster;

	cluster_create(&cluster);
	cluster_run(&cluster, 1000);
	block(&cluster);
	for (guint s = 0; s < 1000; s++) {
		cluster_ask(&cluster, s % SEEDS, "/once" DEADLY);
		cluster_run(&cluster, 1000);
	}
	ck_assert_uint_eq(cluster.crashes->len, 3 + 3);
	cluster_destroy(&cluster);
}
END_TEST

START_TEST(a_daemon_that_starts_learns_what_is_blocked)
{
	static const guint numbers[] = {0, 5}; /* a seed, a follower */

	for (gsize i = 0; i < G_N_ELEMENTS(numbers); i++) {
		struct cluster cluster;

		cluster_create(&cluster);
		cluster_run(&cluster, 1000);
		block(&cluster);
		daemon_stop(&cluster.daemons[numbers[i]]);
		cluster_start_daemon(&cluster, numbers[i]);
		cluster_run(&cluster, 1000);
		ck_assert_uint_eq(
			cluster_ask(&cluster, numbers[i], "/once" DEADLY), 503);
		ck_assert_uint_eq(cluster.crashes->len, 4);
		cluster_destroy(&cluster);
	}
}
END_TEST

/* The daemons on the other side of a cut know nothing of the crashes. */
START_TEST(a_daemon_without_seeds_blocks_by_its_own_crashes)
{
	struct cluster cluster;

	cluster_create(&cluster);
	cluster_run(&cluster, 1000);
	for (guint i = 0; i < SEEDS; i++) {
		daemon_stop(&cluster.daemons[i]);
		cluster.daemons[i].engine = NULL;
	}
	for (guint i = 0; i < 6; i++) {
		cluster_ask(&cluster, 4, "/once" DEADLY);
		net_advance(&cluster.net, 100);
	}
	ck_assert_uint_eq(cluster.crashes->len, 3);
	for (guint i = 0; i < SEEDS; i++)
		cluster_start_daemon(&cluster, i);
	cluster_destroy(&cluster);
}
END_TEST

#define GET(target, fields)                                                    \
	"GET " target " HTTP/1.1\r\nHost: h\r\nId: r1\r\nWait: 900\r\n" fields \
	"\r\n"
#define POST(fields, body)                                                     \
	"POST /once/p HTTP/1.1\r\nHost: h\r\nId: r1\r\nWait: 900\r\n" fields   \
	"\r\n" body

/* The replicas crash by the body, which stands in the same bytes. */
START_TEST(a_request_is_the_same_however_its_body_is_sent)
{
	static const char *const copies[] = {
		POST("Content-Length: 7\r\n", DEADLY),
		POST("Transfer-Encoding: chunked\r\n",
		     "3\r\n/de\r\n4\r\nadly\r\n0\r\n\r\n"),
		POST("Content-Length: 7\r\nX-Trace: 5\r\n", DEADLY),
	};
	struct cluster cluster;

	cluster_create(&cluster);
	cluster_run(&cluster, 1000);
	for (gsize i = 0; i < G_N_ELEMENTS(copies); i++) {
		ck_assert_uint_eq(cluster_ask_text(&cluster, 3, copies[i]),
				  502);
		cluster_run(&cluster, 200);
	}
	for (gsize i = 0; i < G_N_ELEMENTS(copies); i++)
		ck_assert_uint_eq(cluster_ask_text(&cluster, 3, copies[i]),
				  503);
	cluster_destroy(&cluster);
}
END_TEST

/* The replicas crash by the caller or by the body. */
START_TEST(what_differs_from_a_blocked_request_is_served)
{
	static const struct {
		const char *deadly;
		const char *others[2];
	} rows[] = {
		{GET("/once/x", "Caller: " DEADLY "\r\n"),
		 {GET("/once/x", "Caller: /b\r\n"), GET("/once/x", "")}},
		{POST("Content-Length: 7\r\n", DEADLY),
		 {POST("Content-Length: 7\r\n", "/deadlz"),
		  POST("Content-Length: 0\r\n", "")}},
		{GET("/once" DEADLY, ""),
		 {GET("/once/dead", ""), GET("/once/x?" DEADLY, "")}},
	};

	for (gsize i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct cluster cluster;

		cluster_create(&cluster);
		cluster_run(&cluster, 1000);
		for (guint k = 0; k < 3; k++) {
			cluster_ask_text(&cluster, 3, rows[i].deadly);
			cluster_run(&cluster, 200);
		}
		ck_assert_uint_eq(cluster_ask_text(&cluster, 3, rows[i].deadly),
				  503);
		ck_assert_uint_eq(
			cluster_ask_text(&cluster, 3, rows[i].others[0]), 200);
		/* It is sent, so the last one crashes a replica. */
		ck_assert_uint_eq(
			cluster_ask_text(&cluster, 3, rows[i].others[1]),
			i < 2 ? 200 : 502);
		cluster_destroy(&cluster);
	}
}
END_TEST

START_TEST(a_daemon_alone_ends_two_replicas_with_one_request)
{
	struct cluster cluster;

	cluster_create(&cluster);
	cluster_run(&cluster, 1000);
	ck_assert_uint_eq(cluster_ask(&cluster, 3, "/one" DEADLY), 502);
	cluster_run(&cluster, 1000);
	ck_assert_uint_eq(cluster.crashes->len, 2);
	cluster_destroy(&cluster);
}
END_TEST

/* Return: requests that reached the replicas of all shards but the first. */
static guint requests_of_other_shards(const struct cluster *cluster)
{
	guint n = 0;

	for (guint i = 2; i < 2 * SHARDS; i++)
		n += cluster->replicas[i].server->received->len > 0;
	return n;
}

/* The replicas of shard f0 crash under the first copy, the others are silent;
 * nothing crashes under the second. */
START_TEST(a_suspected_query_is_sent_to_one_shard_first)
{
	struct cluster cluster;
	struct net_client *caller;

	cluster_create(&cluster);
	for (guint i = 2; i < 2 * SHARDS; i++)
		cluster.replicas[i].silent = true;
	cluster_run(&cluster, 1000);
	cluster_ask(&cluster, 4, "/all" DEADLY);
	cluster_run(&cluster, 5000);
	ck_assert_uint_eq(cluster.crashes->len, 2);
	for (guint i = 0; i < 2 * SHARDS; i++) {
		g_string_truncate(cluster.replicas[i].server->received, 0);
		cluster.replicas[i].silent = true;
	}
	caller = net_connect(&cluster.net, &cluster.daemons[5].settings.caller);
	net_send(caller, GET("/all" DEADLY, ""));
	net_advance(&cluster.net, 20);
	ck_assert_uint_eq(requests_of_other_shards(&cluster), 0);
	for (guint i = 0; i < 2; i++)
		net_server_reply_held(cluster.replicas[i].server);
	net_advance(&cluster.net, 20);
	ck_assert_uint_ge(requests_of_other_shards(&cluster), 2);
	for (guint i = 2; i < 2 * SHARDS; i++)
		net_server_reply_held(cluster.replicas[i].server);
	net_advance(&cluster.net, 20);
	net_read(caller);
	ck_assert(g_str_has_prefix(caller->received->str, "HTTP/1.1 200"));
	net_close(caller);
	cluster_destroy(&cluster);
}
END_TEST

/* Guards against a suspected query being sent to all shards because its first
 * shard has no replica. */
START_TEST(a_suspected_query_is_sent_to_one_shard_also_without_the_first)
{
	struct cluster cluster;
	struct net_client *caller;

	cluster_create(&cluster);
	for (guint i = 2; i < 2 * SHARDS; i++)
		cluster.replicas[i].silent = true;
	cluster_run(&cluster, 1000);
	cluster_ask(&cluster, 4, "/all" DEADLY);
	cluster_run(&cluster, 1000);
	/* The replicas of f0 are down. */
	ck_assert_uint_eq(cluster.crashes->len, 2);
	for (guint i = 2; i < 2 * SHARDS; i++)
		g_string_truncate(cluster.replicas[i].server->received, 0);
	caller = net_connect(&cluster.net, &cluster.daemons[5].settings.caller);
	net_send(caller, GET("/all" DEADLY, ""));
	net_advance(&cluster.net, 40);
	ck_assert_uint_eq(requests_of_other_shards(&cluster), 1);
	net_close(caller);
	cluster_destroy(&cluster);
}
END_TEST

/* Return: requests that reached the replicas of the shards. */
static guint requests_of_shards(const struct cluster *cluster)
{
	guint n = 0;

	for (guint i = 0; i < 2 * SHARDS; i++)
		n += cluster->replicas[i].server->received->len > 0;
	return n;
}

/* Guards against the loss of twice as many replicas: a query that takes long
 * everywhere before it crashes them is hedged at every shard. */
START_TEST(a_query_without_any_answer_is_not_hedged)
{
	for (guint answering = 0; answering < 2; answering++) {
		struct cluster cluster;
		struct net_client *caller;

		cluster_create(&cluster);
		cluster_run(&cluster, 1000);
		for (guint i = 0; i < 2 * SHARDS; i++)
			cluster.replicas[i].silent = true;
		caller = net_connect(&cluster.net,
				     &cluster.daemons[4].settings.caller);
		net_send(caller, GET("/all/", ""));
		net_advance(&cluster.net, 20);
		ck_assert_uint_eq(requests_of_shards(&cluster), SHARDS);
		for (guint i = 0; i < 2 && answering; i++)
			net_server_reply_held(cluster.replicas[i].server);
		net_advance(&cluster.net, 150);
		/* With one answer, the others are late. */
		ck_assert_uint_eq(requests_of_shards(&cluster),
				  answering ? 2 * SHARDS - 1 : SHARDS);
		net_close(caller);
		cluster_destroy(&cluster);
	}
}
END_TEST

/* Return: new text: what a daemon's operators' address answers. */
static char *ask_operators(struct cluster *cluster, guint daemon,
			   const char *line)
{
	struct net_client *client = net_connect(
		&cluster->net, &cluster->daemons[daemon].settings.metrics);
	g_autofree char *text =
		g_strdup_printf("%s HTTP/1.1\r\nHost: h\r\n\r\n", line);
	char *answer;

	net_send(client, text);
	net_run_until_idle(&cluster->net);
	net_read(client);
	answer = g_strdup(client->received->str);
	net_close(client);
	return answer;
}

/* Guards against crashes that go on counting although the request has run well,
 * at any daemon. */
START_TEST(a_good_answer_clears_the_crashes_at_all_daemons)
{
	struct cluster cluster;
	struct net_client *caller;

	cluster_create(&cluster);
	cluster_run(&cluster, 1000);
	ck_assert_uint_eq(cluster_ask(&cluster, 3, "/one" DEADLY), 502);
	cluster_run(&cluster, 4000);
	for (guint i = 0; i < REPLICAS; i++)
		cluster.replicas[i].silent = true;
	caller = net_connect(&cluster.net, &cluster.daemons[4].settings.caller);
	net_send(caller, GET("/one" DEADLY, ""));
	net_advance(&cluster.net, 20);
	for (guint i = 0; i < REPLICAS; i++) {
		net_server_reply_held(cluster.replicas[i].server);
		g_string_truncate(cluster.replicas[i].server->received, 0);
	}
	cluster_run(&cluster, 1500);
	net_read(caller);
	ck_assert(g_str_has_prefix(caller->received->str, "HTTP/1.1 200"));
	for (guint i = 0; i < DAEMONS; i++) {
		g_autofree char *page =
			ask_operators(&cluster, i, "GET /v1/blocked");

		ck_assert_msg(strstr(page, "\"blocked\":[]") != NULL,
			      "daemon %u: %s", i, page);
	}
	net_close(caller);
	cluster_destroy(&cluster);
}
END_TEST

/* Guards against each daemon finding out by a crash of its own: the first one
 * is told at once. */
START_TEST(all_daemons_know_of_a_crash_within_a_fifth_of_a_second)
{
	struct cluster cluster;

	cluster_create(&cluster);
	cluster_run(&cluster, 1000);
	ck_assert_uint_eq(cluster_ask(&cluster, 3, "/once" DEADLY), 502);
	cluster_run(&cluster, 200);
	ck_assert_uint_eq(cluster.crashes->len, 1);
	for (guint i = 0; i < DAEMONS; i++) {
		g_autofree char *page =
			ask_operators(&cluster, i, "GET /v1/blocked");

		ck_assert_msg(strstr(page, "\"crashes\":1") != NULL,
			      "daemon %u: %s", i, page);
	}
	cluster_destroy(&cluster);
}
END_TEST

/* Guards against the loss of the other shards' replicas: the attempts of a
 * query that has failed by crashes are not needed any more. */
START_TEST(a_query_that_fails_by_crashes_is_not_left_running)
{
	struct cluster cluster;
	guint n = 0;

	cluster_create(&cluster);
	cluster_run(&cluster, 1000);
	for (guint i = 4; i < 2 * SHARDS; i++)
		cluster.replicas[i].silent = true;
	ck_assert_uint_eq(cluster_ask(&cluster, 4, "/all" DEADLY), 502);
	net_advance(&cluster.net, 20);
	for (guint i = 4; i < 2 * SHARDS; i++)
		n += cluster.replicas[i].server->n_open;
	ck_assert_uint_eq(n, 0);
	cluster_destroy(&cluster);
}
END_TEST

/* Return: Retry-After in milliseconds of a request that is refused. */
static guint ask_retry_after(struct cluster *cluster, guint daemon,
			     const char *target)
{
	g_autofree char *text = g_strdup_printf(
		"GET %s HTTP/1.1\r\nHost: h\r\nId: r1\r\nWait: 900\r\n\r\n",
		target);
	struct net_client *caller = net_connect(
		&cluster->net, &cluster->daemons[daemon].settings.caller);
	const char *field;
	guint s = 0;
	guint ms = 0;

	net_send(caller, text);
	net_run_until_idle(&cluster->net);
	net_read(caller);
	ck_assert(g_str_has_prefix(caller->received->str, "HTTP/1.1 503"));
	field = strstr(caller->received->str, "Retry-After: ");
	ck_assert_ptr_nonnull(field);
	ck_assert_int_eq(sscanf(field, "Retry-After: %u.%3u", &s, &ms), 2);
	net_close(caller);
	return s * 1000 + ms;
}

/* Guards against callers that are told to come back long after the probe, and
 * against all coming back at the same moment. */
START_TEST(callers_of_a_blocked_request_return_after_the_next_probe)
{
	struct cluster cluster;
	guint wait_ms[2] = {0};

	cluster_create(&cluster);
	cluster_run(&cluster, 1000);
	/* The last crash is 0.4 s old, the first probe due after 3 s. */
	crash_three(&cluster);
	for (guint i = 0; i < 20; i++) {
		guint ms = ask_retry_after(&cluster, 5, "/once" DEADLY);

		ck_assert_uint_ge(ms, 2600);
		ck_assert_uint_le(ms, 3600);
		wait_ms[0] = i ? MIN(wait_ms[0], ms) : ms;
		wait_ms[1] = MAX(wait_ms[1], ms);
	}
	ck_assert_uint_gt(wait_ms[1], wait_ms[0]);
	/* It is due. */
	cluster_run(&cluster, 3000);
	ck_assert_uint_ge(ask_retry_after(&cluster, 5, "/once" DEADLY), 500);
	ck_assert_uint_le(ask_retry_after(&cluster, 5, "/once" DEADLY), 1000);
	/* The second one is due a minute after the last crash. */
	ck_assert_uint_eq(cluster_ask(&cluster, 0, "/once" DEADLY), 502);
	cluster_run(&cluster, 1000);
	ck_assert_uint_ge(ask_retry_after(&cluster, 5, "/once" DEADLY), 50000);
	ck_assert_uint_le(ask_retry_after(&cluster, 5, "/once" DEADLY), 61000);
	cluster_destroy(&cluster);
}
END_TEST

/* Copies of a request that all replicas of a service run at a time. */
enum { COPIES = 4 * DAEMONS };

static void crash_replica(struct cluster *cluster, guint i)
{
	cluster->replicas[i].silent = false;
	net_server_destroy(cluster->replicas[i].server);
	cluster->replicas[i].server = NULL;
	cluster->replicas[i].down_at = cluster->step;
}

/* The replicas from @first up to @end crash while the daemons have sent copies
 * of a request. */
static void crash_replicas_under(struct cluster *cluster, const char *target,
				 guint first, guint end)
{
	g_autofree char *text = g_strdup_printf(
		"GET %s HTTP/1.1\r\nHost: h\r\nId: r1\r\nWait: 900\r\n\r\n",
		target);
	struct net_client *callers[COPIES];

	for (guint i = first; i < end; i++)
		cluster->replicas[i].silent = true;
	for (guint i = 0; i < COPIES; i++) {
		callers[i] = net_connect(
			&cluster->net,
			&cluster->daemons[i % DAEMONS].settings.caller);
		net_send(callers[i], text);
	}
	net_advance(&cluster->net, 20);
	for (guint i = first; i < end; i++)
		crash_replica(cluster, i);
	cluster_run(cluster, 500);
	for (guint i = 0; i < COPIES; i++)
		net_close(callers[i]);
}

static void check_served_by_all(struct cluster *cluster, const char *target)
{
	for (guint i = 0; i < DAEMONS; i++)
		ck_assert_msg(cluster_ask(cluster, i, target) == 200,
			      "%s, daemon %u", target, i);
}

static bool is_any_blocked(struct cluster *cluster, guint daemon)
{
	g_autofree char *page =
		ask_operators(cluster, daemon, "GET /v1/blocked");

	return strstr(page, "\"blocked\":true") != NULL;
}

/* A probe would clear a request that was blocked for a while. */
static void check_blocked_nowhere(struct cluster *cluster)
{
	for (guint i = 0; i < DAEMONS; i++)
		ck_assert_msg(!is_any_blocked(cluster, i), "daemon %u", i);
}

/* Guards against a request that stays blocked although its replicas are back:
 * they crashed together, under several copies of it, by another cause. */
START_TEST(a_frequent_request_is_served_again_after_its_replicas_crash_together)
{
	static const struct {
		const char *target;
		guint first, end;
	} rows[] = {
		{"/once/popular", 2 * SHARDS, REPLICAS},
		{"/one/popular", 2 * SHARDS, REPLICAS},
		{"/all/popular", 0, 2 * SHARDS},
	};

	for (gsize i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct cluster cluster;

		cluster_create(&cluster);
		cluster_run(&cluster, 1000);
		/* The same happens once more. */
		for (guint round = 0; round < 2; round++) {
			crash_replicas_under(&cluster, rows[i].target,
					     rows[i].first, rows[i].end);
			/* In the second round few replicas may run it. */
			ck_assert(round || is_any_blocked(&cluster, 5));
			cluster_run(&cluster, 5000);
			for (guint k = 0; k < DAEMONS; k++)
				cluster_ask(&cluster, k, rows[i].target);
			cluster_run(&cluster, 500);
			check_served_by_all(&cluster, rows[i].target);
		}
		cluster_destroy(&cluster);
	}
}
END_TEST

/* Guards against a request that stays blocked because its first probe was used
 * up while no replica was up. */
START_TEST(a_probe_without_a_replica_is_sent_when_one_is_back)
{
	struct cluster cluster;

	cluster_create(&cluster);
	cluster_run(&cluster, 1000);
	crash_replicas_under(&cluster, "/one/popular", 2 * SHARDS, REPLICAS);
	ck_assert(is_any_blocked(&cluster, 5));
	cluster_run(&cluster, 2000);
	/* They take 5.5 s in all. */
	for (guint i = 2 * SHARDS; i < REPLICAS; i++)
		cluster.replicas[i].down_at = cluster.step;
	for (guint i = 0; i < 50; i++) {
		cluster_ask(&cluster, i % DAEMONS, "/one/popular");
		cluster_run(&cluster, 3 * STEP_MS);
	}
	check_served_by_all(&cluster, "/one/popular");
	cluster_destroy(&cluster);
}
END_TEST

/* Guards against a request that stays blocked because its probe came to the
 * address of a replica that has another id since it was started again. */
START_TEST(a_probe_at_another_instance_does_not_count)
{
	struct cluster cluster;

	cluster_create(&cluster);
	cluster_run(&cluster, 1000);
	crash_replicas_under(&cluster, "/one/popular", 2 * SHARDS, REPLICAS);
	ck_assert(is_any_blocked(&cluster, 5));
	cluster_run(&cluster, 2600);
	for (guint i = 2 * SHARDS; i < REPLICAS; i++)
		cluster.replicas[i].server->reply = CLUSTER_OTHER_INSTANCE;
	for (guint i = 0; i < DAEMONS; i++)
		ck_assert_uint_eq(cluster_ask(&cluster, i, "/one/popular"),
				  503);
	/* The platform's list has the new ids. */
	for (guint i = 2 * SHARDS; i < REPLICAS; i++)
		crash_replica(&cluster, i);
	cluster_run(&cluster, 3200);
	for (guint i = 0; i < DAEMONS; i++)
		cluster_ask(&cluster, i, "/one/popular");
	cluster_run(&cluster, 500);
	check_served_by_all(&cluster, "/one/popular");
	cluster_destroy(&cluster);
}
END_TEST

START_TEST(an_operator_lists_and_clears_a_blocked_request)
{
	struct cluster cluster;
	g_autofree char *page = NULL;
	g_autofree char *line = NULL;
	char digest[ROUTE_DIGEST_TEXT_SIZE] = "";
	const char *at;

	cluster_create(&cluster);
	cluster_run(&cluster, 1000);
	block(&cluster);
	page = ask_operators(&cluster, 5, "GET /v1/blocked");
	at = strstr(page, "\"request\"");
	ck_assert_ptr_nonnull(at);
	ck_assert_int_eq(sscanf(at, "\"request\": \"%32[0-9a-f]", digest), 1);
	line = g_strdup_printf("GET /v1/unblock/%s", digest);
	g_free(ask_operators(&cluster, 5, line));
	ck_assert_uint_eq(cluster_ask(&cluster, 2, "/once" DEADLY), 503);
	g_free(line);
	line = g_strdup_printf("POST /v1/unblock/%s", digest);
	g_free(ask_operators(&cluster, 5, line));
	cluster_run(&cluster, 2000);
	/* Every daemon sends it again. */
	ck_assert_uint_eq(cluster_ask(&cluster, 2, "/once" DEADLY), 502);
	g_free(page);
	page = ask_operators(&cluster, 5, "POST /v1/unblock/xyz");
	ck_assert(g_str_has_prefix(page, "HTTP/1.1 404"));
	cluster_destroy(&cluster);
}
END_TEST

/* Sends a popular request, and the deadly one beside it, by the same daemon to
 * the same replicas. */
START_TEST(a_request_that_runs_beside_a_crash_is_not_blocked)
{
	struct cluster cluster;

	cluster_create(&cluster);
	cluster_run(&cluster, 1000);
	for (guint i = 0; i < 12; i++) {
		struct net_client *beside = net_connect(
			&cluster.net, &cluster.daemons[4].settings.caller);

		net_send(beside, "GET /once/popular HTTP/1.1\r\nHost: h\r\n"
				 "Id: r1\r\nWait: 900\r\n\r\n");
		net_run_until_idle(&cluster.net);
		cluster_ask(&cluster, 4, "/once" DEADLY);
		net_close(beside);
		/* In between it is served. */
		cluster_run(&cluster, 600);
		ck_assert_uint_eq(
			cluster_ask(&cluster, i % DAEMONS, "/once/popular"),
			200);
	}
	ck_assert_uint_eq(cluster.crashes->len, 3);
	cluster_destroy(&cluster);
}
END_TEST

/* All replicas of all shards end at the same moment, as with a power loss,
 * while they run a query. */
START_TEST(a_query_that_many_crashes_hit_at_once_is_not_blocked)
{
	struct cluster cluster;
	struct net_client *caller;

	cluster_create(&cluster);
	cluster_run(&cluster, 1000);
	for (guint i = 0; i < 2 * SHARDS; i++)
		cluster.replicas[i].silent = true;
	caller = net_connect(&cluster.net, &cluster.daemons[4].settings.caller);
	net_send(caller, GET("/all/x", ""));
	/* With hedges every shard has two attempts. */
	net_advance(&cluster.net, 150);
	for (guint i = 0; i < 2 * SHARDS; i++)
		crash_replica(&cluster, i);
	cluster_run(&cluster, 1000);
	check_blocked_nowhere(&cluster);
	cluster_run(&cluster, 3000);
	net_close(caller);
	check_blocked_nowhere(&cluster);
	check_served_by_all(&cluster, "/all/x");
	cluster_destroy(&cluster);
}
END_TEST

/* Replicas that close connections with requests, and accept new ones. */
START_TEST(connections_that_are_reset_block_nothing)
{
	struct cluster cluster;

	cluster_create(&cluster);
	cluster_run(&cluster, 1000);
	for (guint i = 0; i < REPLICAS; i++) {
		cluster.replicas[i].server->reply = NULL;
		cluster.replicas[i].server->close_after = true;
	}
	for (guint i = 0; i < 10; i++)
		ck_assert_uint_eq(cluster_ask(&cluster, 3, "/once/x"), 502);
	for (guint i = 0; i < REPLICAS; i++) {
		cluster.replicas[i].server->reply = CLUSTER_GOOD;
		cluster.replicas[i].server->close_after = false;
	}
	check_blocked_nowhere(&cluster);
	ck_assert_uint_eq(cluster_ask(&cluster, 3, "/once/x"), 200);
	cluster_destroy(&cluster);
}
END_TEST

/* The first replica resets the connection, the second is silent. */
START_TEST(a_request_is_hedged_after_a_reset_connection)
{
	struct cluster cluster;

	cluster_create(&cluster);
	cluster_run(&cluster, 1000);
	cluster.replicas[6].server->reply = NULL;
	cluster.replicas[6].server->close_after = true;
	cluster.replicas[8].silent = true;
	ck_assert_uint_eq(cluster_ask(&cluster, 0, "/one/x"), 200);
	ck_assert_uint_ge(cluster.replicas[8].server->received->len, 1);
	cluster_destroy(&cluster);
}
END_TEST

/* All connections of a daemon are reset and all addresses refuse, as on a
 * machine that is cut off. */
START_TEST(a_cut_off_daemon_blocks_nothing)
{
	struct cluster cluster;

	cluster_create(&cluster);
	cluster_run(&cluster, 1000);
	for (guint i = 0; i < 3; i++) {
		struct net_client *caller = net_connect(
			&cluster.net, &cluster.daemons[3].settings.caller);

		net_send(caller, "GET /all/x HTTP/1.1\r\nHost: h\r\nId: r1\r\n"
				 "Wait: 900\r\n\r\n");
		net_run_until_idle(&cluster.net);
		for (guint k = 0; k < REPLICAS; k++) {
			net_server_destroy(cluster.replicas[k].server);
			cluster.replicas[k].server = NULL;
			cluster.replicas[k].down_at = cluster.step;
		}
		cluster_run(&cluster, 1000);
		check_blocked_nowhere(&cluster);
		cluster_run(&cluster, 3000);
		check_blocked_nowhere(&cluster);
		net_close(caller);
	}
	for (guint i = 0; i < DAEMONS; i++)
		ck_assert_uint_eq(cluster_ask(&cluster, i, "/all/x"), 200);
	cluster_destroy(&cluster);
}
END_TEST

/* ---- the list, without a network ---- */

static struct route_digest digest_of(guint number)
{
	struct route_digest digest = {{0}};

	memcpy(digest.bytes, &number, sizeof(number));
	return digest;
}

static void crash(struct route_blocklist *list, guint request, guint32 replica,
		  gint64 now)
{
	struct route_digest digest = digest_of(request);
	struct route_crash one = {replica, now};

	/* Each of another copy. */
	route_blocklist_crashed(list, &digest, &one, (guint32)now + replica,
				now);
}

#define NO_PROBER (-1)

/* prober: number of the only probe that the daemon may send, or NO_PROBER */
static bool admits(struct route_blocklist *list, guint request, int prober,
		   gint64 now)
{
	struct route_digest digest = digest_of(request);
	guint probes = prober < 0 ? 0 : 1U << prober;
	bool admitted = route_blocklist_admits(list, &digest, 1, probes, now);

	/* A copy that is admitted is sent. */
	route_blocklist_probe_sent(list, &digest, 1);
	return admitted;
}

struct copy {
	struct route_blocklist *to;
	gint64 now;
};

static void copy_block(const struct route_block *block, void *user)
{
	const struct copy *copy = user;

	route_blocklist_merge(copy->to, block, copy->now);
}

static void tell(const struct route_blocklist *from, struct route_blocklist *to,
		 gint64 now)
{
	struct copy copy = {to, now};

	route_blocklist_each(from, ROUTE_BLOCKLIST_MAX, copy_block, &copy);
}

START_TEST(crashes_that_three_daemons_saw_add_up)
{
	struct route_blocklist *lists[3];

	for (guint i = 0; i < 3; i++) {
		lists[i] = route_blocklist_create();
		crash(lists[i], 1, 10 + i, 1000 + i);
		/* All three saw the same replica crash under request 2. */
		crash(lists[i], 2, 20, 1000 + i);
	}
	for (guint i = 1; i < 3; i++) {
		ck_assert(admits(lists[0], 1, NO_PROBER, 2000));
		tell(lists[i], lists[0], 2000);
		tell(lists[i], lists[0], 2000);
	}
	ck_assert(!admits(lists[0], 1, NO_PROBER, 2000));
	ck_assert(admits(lists[0], 2, NO_PROBER, 2000));
	for (guint i = 0; i < 3; i++)
		route_blocklist_destroy(lists[i]);
}
END_TEST

START_TEST(a_clear_wins_over_crashes_before_it_in_any_order)
{
	struct route_digest digest = digest_of(1);

	for (guint order = 0; order < 2; order++) {
		struct route_blocklist *a = route_blocklist_create();
		struct route_blocklist *b = route_blocklist_create();

		for (guint i = 0; i < 3; i++) {
			crash(a, 1, i, 1000);
			crash(b, 1, i, 1010);
		}
		ck_assert(route_blocklist_clear(a, &digest, 5000));
		ck_assert(!route_blocklist_clear(a, &digest, 5000));
		tell(order ? a : b, order ? b : a, 6000);
		tell(order ? b : a, order ? a : b, 6000);
		ck_assert(admits(a, 1, NO_PROBER, 6000));
		ck_assert(admits(b, 1, NO_PROBER, 6000));
		ck_assert(!route_blocklist_active(a));
		ck_assert(!route_blocklist_active(b));
		/* A crash after it counts. */
		crash(b, 1, 0, 7000);
		tell(b, a, 7000);
		ck_assert_uint_eq(route_blocklist_crashes(a, &digest), 1);
		route_blocklist_destroy(a);
		route_blocklist_destroy(b);
	}
}
END_TEST

START_TEST(each_prober_sends_one_copy_and_all_know_of_it)
{
	static const int due_s[] = {3, 60, 900};
	struct route_blocklist *a = route_blocklist_create();
	struct route_blocklist *b = route_blocklist_create();
	gint64 start = 60 * CS_US_PER_S;

	for (guint i = 0; i < 3; i++)
		crash(a, 1, i, start);
	tell(a, b, start);
	for (int s = 0; s < 3600; s++) {
		gint64 now = start + s * (gint64)CS_US_PER_S;

		for (int prober = 0; prober < 3; prober++) {
			ck_assert_msg(admits(prober ? b : a, 1, prober, now) ==
					      (s == due_s[prober]),
				      "prober %d at %d s", prober, s);
			tell(a, b, now);
			tell(b, a, now);
		}
		/* A seed that has restarted learns that it has sent one. */
		ck_assert(!(s >= due_s[0] && admits(b, 1, 0, now)));
		ck_assert(!admits(b, 1, NO_PROBER, now));
		ck_assert(!admits(b, 1, ROUTE_PROBES_MAX, now));
	}
	route_blocklist_destroy(a);
	route_blocklist_destroy(b);
}
END_TEST

/* Guards against a request that stays blocked because the first prober is down
 * or receives no copy. */
START_TEST(the_next_prober_takes_over_the_first_probe)
{
	static const int due_ms[] = {3000, 5000, 7000};
	gint64 start = 60 * CS_US_PER_S;

	for (int prober = 0; prober < 3; prober++) {
		struct route_blocklist *list = route_blocklist_create();
		gint64 due = start + due_ms[prober] * (gint64)CS_US_PER_MS;

		for (guint i = 0; i < 3; i++)
			crash(list, 1, i, start);
		ck_assert(!admits(list, 1, prober, due - 1));
		ck_assert(admits(list, 1, prober, due));
		ck_assert(!admits(list, 1, prober, due + start));
		route_blocklist_destroy(list);
	}
}
END_TEST

/* Guards against two probes at a time, and against one that is given back after
 * it was sent. */
START_TEST(a_pending_probe_is_sent_or_given_back_once)
{
	struct route_blocklist *list = route_blocklist_create();
	struct route_digest digest = digest_of(1);
	gint64 now = 30 * CS_US_PER_S;

	for (guint i = 0; i < 3; i++)
		crash(list, 1, i, 1000);
	for (guint32 copy = 1; copy < 9; copy++) {
		ck_assert(route_blocklist_admits(list, &digest, copy, 1, now));
		ck_assert(!route_blocklist_admits(list, &digest, 9, 1, now));
		ck_assert(!route_blocklist_probe_sent(list, &digest, 9));
		route_blocklist_probe_ended(list, &digest, 9);
		ck_assert(!route_blocklist_admits(list, &digest, 9, 1, now));
		route_blocklist_probe_ended(list, &digest, copy);
	}
	ck_assert(route_blocklist_admits(list, &digest, 9, 1, now));
	ck_assert(route_blocklist_probe_sent(list, &digest, 9));
	ck_assert(!route_blocklist_probe_sent(list, &digest, 9));
	route_blocklist_probe_ended(list, &digest, 9);
	ck_assert(!route_blocklist_admits(list, &digest, 10, 1, now));
	/* A good answer meanwhile leaves nothing pending. */
	ck_assert(route_blocklist_admits(list, &digest, 11, 2, 3 * now));
	ck_assert(route_blocklist_clear(list, &digest, 3 * now));
	ck_assert(!route_blocklist_probe_sent(list, &digest, 11));
	for (guint i = 0; i < 3; i++)
		crash(list, 1, i, 4 * now);
	ck_assert(route_blocklist_admits(list, &digest, 12, 1, 5 * now));
	route_blocklist_destroy(list);
}
END_TEST

START_TEST(many_crashing_requests_do_not_displace_a_blocked_one)
{
	struct route_blocklist *list = route_blocklist_create();
	gint64 now = 1000;

	for (guint i = 0; i < 3; i++)
		crash(list, 1, i, now);
	for (guint i = 2; i < 2000; i++)
		crash(list, i, i, ++now);
	ck_assert(!admits(list, 1, NO_PROBER, now));
	route_blocklist_expire(list, now + 599 * CS_US_PER_S);
	ck_assert(route_blocklist_active(list));
	route_blocklist_expire(list, now + 601 * CS_US_PER_S);
	ck_assert(!route_blocklist_active(list));
	ck_assert(route_blocklist_fingerprint(list) == 0);
	route_blocklist_destroy(list);
}
END_TEST

enum { LISTS = 5 };

/* Random daemons see crashes and good answers, and tell others. */
static void change_lists(struct route_blocklist **lists, GRand *random,
			 gint64 now)
{
	guint a = (guint)g_rand_int_range(random, 0, LISTS);
	guint b = (guint)g_rand_int_range(random, 0, LISTS);
	guint request = (guint)g_rand_int_range(random, 0, 8);
	struct route_digest digest = digest_of(request);

	switch (g_rand_int_range(random, 0, 4)) {
	case 0:
		crash(lists[a], request,
		      (guint32)g_rand_int_range(random, 0, 30), now);
		break;
	case 1:
		if (request < 4)
			route_blocklist_clear(lists[a], &digest, now);
		break;
	default:
		tell(lists[a], lists[b], now);
	}
}

static void exchange_lists(guint32 seed)
{
	GRand *random = g_rand_new_with_seed(seed);
	struct route_blocklist *lists[LISTS];
	gint64 now = CS_US_PER_S;

	for (guint i = 0; i < LISTS; i++)
		lists[i] = route_blocklist_create();
	for (guint i = 0; i < 300; i++) {
		now += 1000;
		change_lists(lists, random, now);
	}
	for (guint i = 0; i < 2 * LISTS * LISTS; i++)
		tell(lists[i / LISTS % LISTS], lists[i % LISTS], now);
	for (guint i = 1; i < LISTS; i++)
		ck_assert_msg(route_blocklist_fingerprint(lists[0]) ==
				      route_blocklist_fingerprint(lists[i]),
			      "seed %u", seed);
	for (guint i = 0; i < LISTS; i++)
		route_blocklist_destroy(lists[i]);
	g_rand_free(random);
}

START_TEST(lists_that_are_exchanged_in_any_order_become_equal)
{
	for (guint32 seed = 1; seed <= 100; seed++)
		exchange_lists(seed);
}
END_TEST

UNIT_MAIN("blocklist",
	  a_blocked_request_is_refused_at_once_and_sent_to_no_replica,
	  a_clear_wins_over_crashes_before_it_in_any_order,
	  a_cut_off_daemon_blocks_nothing,
	  a_daemon_alone_ends_two_replicas_with_one_request,
	  a_daemon_that_starts_learns_what_is_blocked,
	  a_daemon_without_seeds_blocks_by_its_own_crashes,
	  a_pending_probe_is_sent_or_given_back_once,
	  a_probe_at_another_instance_does_not_count,
	  a_probe_of_a_query_is_sent_to_one_shard_only,
	  a_probe_without_a_replica_is_sent_when_one_is_back,
	  a_query_that_many_crashes_hit_at_once_is_not_blocked,
	  a_request_is_hedged_after_a_reset_connection,
	  a_request_is_the_same_however_its_body_is_sent,
	  a_request_that_runs_beside_a_crash_is_not_blocked,
	  a_suspected_query_is_sent_to_one_shard_first,
	  a_suspected_query_is_sent_to_one_shard_also_without_the_first,
	  a_query_without_any_answer_is_not_hedged,
	  a_frequent_request_is_served_again_after_its_replicas_crash_together,
	  a_good_answer_clears_the_crashes_at_all_daemons,
	  a_query_that_fails_by_crashes_is_not_left_running,
	  all_daemons_know_of_a_crash_within_a_fifth_of_a_second,
	  callers_of_a_blocked_request_return_after_the_next_probe,
	  an_operator_lists_and_clears_a_blocked_request,
	  connections_that_are_reset_block_nothing,
	  crashes_that_three_daemons_saw_add_up,
	  each_prober_sends_one_copy_and_all_know_of_it,
	  lists_that_are_exchanged_in_any_order_become_equal,
	  many_crashing_requests_do_not_displace_a_blocked_one,
	  several_daemons_send_on_a_request_that_has_crashed_three_replicas,
	  the_first_probe_crashes_one_more_replica,
	  the_next_prober_takes_over_the_first_probe,
	  two_seeds_send_three_probes,
	  what_differs_from_a_blocked_request_is_served)
