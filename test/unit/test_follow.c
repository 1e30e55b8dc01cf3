/* Tests how a daemon gets its routing view from a seed or the platform, how it
 * counts daemons, and how seeds share outliers. */
#include "answers.h"
#include "daemon.h"
#include "unit.h"

#include <string.h>

/* Only the seeds read the platform; a change reaches a follower at once. */
START_TEST(a_daemon_follows_a_seed_and_does_not_read_the_platform)
{
	struct net net = net_create();
	struct daemon seeds[SEEDS];
	struct daemon follower;

	daemon_start(&net, &seeds[0], 0, "a");
	daemon_start(&net, &seeds[1], 1, "b");
	daemon_confirm_view(&net, &seeds[0], 5);
	daemon_confirm_view(&net, &seeds[1], 5);
	daemon_start(&net, &follower, 2, "a");
	net_advance(&net, 300);
	ck_assert(seeds[0].direct && seeds[1].direct);
	ck_assert(!follower.direct);
	ck_assert_int_eq(follower.revision, 5);
	/* Both seeds get the change, since the follower may use either. */
	daemon_confirm_view(&net, &seeds[0], 6);
	daemon_confirm_view(&net, &seeds[1], 6);
	net_run_until_idle(&net);
	ck_assert_int_eq(follower.revision, 6);
	for (guint i = 0; i < SEEDS; i++)
		daemon_stop(&seeds[i]);
	daemon_stop(&follower);
	net_destroy(&net);
}
END_TEST

/* A follower must not stay with a seed whose routing view is outdated. */
START_TEST(a_follower_switches_from_a_late_seed_to_a_current_one)
{
	struct net net = net_create();
	struct daemon seeds[SEEDS];
	struct daemon follower;

	daemon_start(&net, &seeds[0], 0, "a");
	daemon_start(&net, &seeds[1], 1, "b");
	daemon_confirm_view(&net, &seeds[0], 5);
	daemon_confirm_view(&net, &seeds[1], 5);
	daemon_start(&net, &follower, 2, "a");
	/* Only the second seed still reaches the platform. */
	for (int i = 0; i < 40; i++) {
		net_advance(&net, 100);
		daemon_confirm_view(&net, &seeds[1], 5 + i / 20);
	}
	ck_assert(!follower.direct);
	ck_assert_int_eq(follower.revision, 6);
	/* The first seed gets the change from the second one. */
	ck_assert_int_eq(seeds[0].revision, 6);
	for (guint i = 0; i < SEEDS; i++)
		daemon_stop(&seeds[i]);
	daemon_stop(&follower);
	net_destroy(&net);
}
END_TEST

/* Guards against a follower keeping, or going back to, a history that is lost:
 * the store came back from an older copy, with lower revisions, and one seed
 * does not know of it. */
START_TEST(a_follower_leaves_a_seed_of_an_earlier_history)
{
	for (guint current = 0; current < SEEDS; current++) {
		struct net net = net_create();
		struct daemon seeds[SEEDS];
		struct daemon follower;

		for (guint i = 0; i < SEEDS; i++) {
			daemon_start(&net, &seeds[i], i, i ? "b" : "a");
			seeds[i].history = 1;
			daemon_confirm_view(&net, &seeds[i], 63);
		}
		daemon_start(&net, &follower, 2, "a");
		net_advance(&net, 300);
		ck_assert_int_eq(follower.revision, 63);
		seeds[current].history = 2;
		seeds[current].revision = 0;
		daemon_confirm_view(&net, &seeds[current], 40);
		net_advance(&net, 2500);
		ck_assert_int_eq(follower.history, 2);
		ck_assert_int_eq(follower.revision, 40);
		/* The seeds tell each other. */
		ck_assert_int_eq(seeds[!current].history, 2);
		for (guint i = 0; i < SEEDS; i++)
			daemon_stop(&seeds[i]);
		daemon_stop(&follower);
		net_destroy(&net);
	}
}
END_TEST

/* Guards against a view of a lost history counting as current: all seeds have
 * it, are cut off from the store's return, and look up to date. */
START_TEST(with_seeds_of_an_earlier_history_the_platform_is_read)
{
	struct net net = net_create();
	struct daemon seeds[SEEDS];
	struct daemon follower;

	for (guint i = 0; i < SEEDS; i++) {
		daemon_start(&net, &seeds[i], i, "a");
		seeds[i].history = 1;
		daemon_confirm_view(&net, &seeds[i], 63);
	}
	daemon_start(&net, &follower, 2, "a");
	net_advance(&net, 300);
	follower.history = 2;
	follower.revision = 40;
	for (int i = 0; i < 30; i++) {
		for (guint k = 0; k < SEEDS; k++)
			daemon_confirm_view(&net, &seeds[k], 63);
		net_advance(&net, 100);
	}
	ck_assert_int_eq(follower.history, 2);
	ck_assert(follower.direct);
	for (guint i = 0; i < SEEDS; i++)
		daemon_stop(&seeds[i]);
	daemon_stop(&follower);
	net_destroy(&net);
}
END_TEST

/* If all seeds are down or late, a follower reads the platform directly, early
 * enough for a change to be in force within 3 s. */
START_TEST(without_a_usable_seed_the_platform_is_read_in_time)
{
	static const struct {
		bool up; /* the seeds run, but their routing view is late */
		gint64 ms; /* time since the last confirmation */
		bool direct;
	} cases[] = {
		{true, 2200, false},
		/* A change must be in force within 3 s. */
		{true, 2900, true},
		{false, 2900, true},
	};

	for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct net net = net_create();
		struct daemon seeds[SEEDS];
		struct daemon follower;

		daemon_start(&net, &seeds[0], 0, "a");
		daemon_start(&net, &seeds[1], 1, "b");
		daemon_start(&net, &follower, 2, "a");
		daemon_confirm_view(&net, &seeds[0], 5);
		daemon_confirm_view(&net, &seeds[1], 5);
		net_advance(&net, 200);
		ck_assert_int_eq(follower.revision, 5);
		for (guint k = 0; k < SEEDS && !cases[i].up; k++)
			daemon_stop(&seeds[k]);
		net_advance(&net, cases[i].ms - 200);
		ck_assert_msg(follower.direct == cases[i].direct, "case %zu",
			      i);
		for (guint k = 0; k < SEEDS && cases[i].up; k++)
			daemon_stop(&seeds[k]);
		daemon_stop(&follower);
		net_destroy(&net);
	}
}
END_TEST

/* Seeds get time to start; then a daemon that finds none reads the platform. */
START_TEST(a_daemon_without_a_view_soon_reads_the_platform)
{
	struct net net = net_create();
	struct daemon follower;

	daemon_start(&net, &follower, 2, "a");
	net_advance(&net, 300);
	ck_assert(!follower.direct);
	net_advance(&net, 400);
	ck_assert(follower.direct);
	daemon_stop(&follower);
	net_destroy(&net);
}
END_TEST

/* Guards against a fault seen in pliega-busca-grown trouble-1: after a power
 * loss of all machines the seeds had no routing view at the first calls, and
 * small daemons read the platform directly half a second later. */
START_TEST(a_seed_holds_calls_until_its_first_view)
{
	struct net net = net_create();
	struct daemon seeds[SEEDS];
	struct daemon follower;

	/* The clock is beyond the greatest age of a current view, so that the
	 * confirmation time 0 of a new daemon counts as late. */
	cs_clock_advance(net.clock, 10 * CS_US_PER_S);
	daemon_start(&net, &seeds[0], 0, "a");
	daemon_start(&net, &seeds[1], 1, "b");
	daemon_start(&net, &follower, 2, "a");
	net_advance(&net, 500);
	ck_assert_int_eq(follower.revision, 0);
	ck_assert(!follower.direct);
	daemon_confirm_view(&net, &seeds[0], 5);
	daemon_confirm_view(&net, &seeds[1], 5);
	net_advance(&net, 5);
	ck_assert_int_eq(follower.revision, 5);
	/* The wait is bounded: only the seeds may have lost the platform. */
	daemon_stop(&follower);
	for (guint i = 0; i < SEEDS; i++) {
		daemon_stop(&seeds[i]);
		daemon_start(&net, &seeds[i], i, "a");
	}
	daemon_start(&net, &follower, 2, "a");
	net_advance(&net, 1000);
	ck_assert(follower.direct);
	for (guint i = 0; i < SEEDS; i++)
		daemon_stop(&seeds[i]);
	daemon_stop(&follower);
	net_destroy(&net);
}
END_TEST

/* Return: the daemon's share of the 1,200 connections of a replica in @zone. It
 * depends on the daemon counts, which have no accessor. */
static guint connection_share(struct daemon *daemon, const char *zone)
{
	struct route_fleet *fleet = forward_engine_fleet(daemon->engine);
	struct route_table *table = route_table_create(1);
	struct route *route = route_create(ROUTE_SERVICE);
	struct route_criteria criteria = {0};
	struct route_entry entry = {.id = "u",
				    .service = "s",
				    .zone = zone,
				    .address = net_address(99),
				    .slots = 1};
	enum route_unavailable unavailable;
	guint share;

	route->name = g_strdup("r");
	route->host = g_strdup("h");
	route->prefix = g_strdup("/");
	route_table_add(table, route);
	route_table_add_service(table, "s", 1200, 0);
	route_table_seal(table);
	route_fleet_set_table(fleet, table);
	route_fleet_put(fleet, &entry, 0);
	criteria.route = route;
	criteria.work = route_fleet_work(fleet, route);
	share = route_replica_connections(route_pool_choose(
		route_fleet_pool(fleet, "s"), &criteria, 0, &unavailable));
	route_table_unref(table);
	return share;
}

/* Guards against a fault seen in putul-search scale-1: the counts of the seeds
 * were added up, a daemon that had changed its seed counted twice, and the
 * shares of connections became too small. */
START_TEST(a_daemon_that_changes_its_seed_counts_once)
{
	struct net net = net_create();
	struct daemon seeds[SEEDS];
	struct daemon followers[4];

	daemon_start(&net, &seeds[0], 0, "a");
	daemon_start(&net, &seeds[1], 1, "b");
	for (guint i = 0; i < 4; i++)
		daemon_start(&net, &followers[i], 2 + i, i < 3 ? "a" : "b");
	for (int i = 0; i < 60; i++) {
		/* The seeds are late in turn, so that followers switch. */
		if (i % 20 < 10)
			daemon_confirm_view(&net, &seeds[i / 20 % 2], 5);
		net_advance(&net, 100);
	}
	/* Six daemons, four of them in zone a: 1200 x 0.55 / 4 each. */
	ck_assert_uint_eq(connection_share(&followers[0], "a"), 165);
	ck_assert_uint_eq(connection_share(&followers[3], "b"), 330);
	for (guint i = 0; i < SEEDS; i++)
		daemon_stop(&seeds[i]);
	for (guint i = 0; i < 4; i++)
		daemon_stop(&followers[i]);
	net_destroy(&net);
}
END_TEST

static void list_replica(struct daemon *daemon)
{
	struct route_entry entry = {.id = "u:1",
				    .service = "s",
				    .zone = "a",
				    .address = net_address(99),
				    .slots = 4};

	route_fleet_put(forward_engine_fleet(daemon->engine), &entry, 0);
}

/* Return: the replica of list_replica() in a daemon's fleet. */
static struct route_replica *replica_of(struct daemon *daemon)
{
	struct route_fleet *fleet = forward_engine_fleet(daemon->engine);
	struct route route = {.name = (char *)"r"};
	struct route_criteria criteria = {.route = &route};
	enum route_unavailable unavailable;
	struct route_replica *replica;

	route.regions = g_ptr_array_new();
	criteria.work = route_fleet_work(fleet, &route);
	replica = route_pool_choose(route_fleet_pool(fleet, "s"), &criteria, 0,
				    &unavailable);
	g_ptr_array_unref(route.regions);
	ck_assert_ptr_nonnull(replica);
	return replica;
}

/* Records a good answer of the replica that took @ms. */
static void record_answer(struct net *net, struct daemon *daemon, gint64 ms)
{
	struct route route = {.name = (char *)"r"};
	struct route_fleet *fleet = forward_engine_fleet(daemon->engine);
	struct route_attempt attempt = {0};
	gint64 now = cs_clock_now(net->clock);

	route_attempt_begin(&attempt, replica_of(daemon),
			    route_fleet_work(fleet, &route), now - ms * MS);
	route_attempt_end(&attempt, ROUTE_ANSWERED, now);
}

/* A daemon reports a slow replica to its seed, and the seed passes it on. */
START_TEST(outliers_seen_by_one_daemon_reach_the_others)
{
	struct net net = net_create();
	struct daemon seeds[SEEDS];
	struct daemon followers[2];

	daemon_start(&net, &seeds[0], 0, "a");
	daemon_start(&net, &seeds[1], 1, "b");
	for (guint i = 0; i < 2; i++)
		daemon_start(&net, &followers[i], 2 + i, "a");
	for (guint i = 0; i < 2; i++) {
		list_replica(&seeds[i]);
		list_replica(&followers[i]);
	}
	for (int i = 0; i < 60; i++) {
		daemon_confirm_view(&net, &seeds[0], 5);
		daemon_confirm_view(&net, &seeds[1], 5);
		if (i % 2)
			record_answer(&net, &followers[0], 400);
		net_advance(&net, 100);
	}
	/* Neither the other follower nor the seeds have sent it a request. */
	ck_assert_int_eq(replica_of(&followers[1])->slowness_at_us, 0);
	ck_assert(replica_of(&followers[1])->received.slowness > 2);
	ck_assert(replica_of(&seeds[0])->received.slowness > 2 ||
		  replica_of(&seeds[1])->received.slowness > 2);
	for (guint i = 0; i < SEEDS; i++)
		daemon_stop(&seeds[i]);
	for (guint i = 0; i < 2; i++)
		daemon_stop(&followers[i]);
	net_destroy(&net);
}
END_TEST

/* Regular pauses that the daemons meet by turns are predicted by all of them.
 */
START_TEST(pauses_met_by_several_daemons_are_predicted_by_all)
{
	struct net net = net_create();
	struct daemon seeds[SEEDS];
	struct daemon followers[3];
	gint64 now;

	daemon_start(&net, &seeds[0], 0, "a");
	daemon_start(&net, &seeds[1], 1, "b");
	for (guint i = 0; i < 3; i++)
		daemon_start(&net, &followers[i], 2 + i, "a");
	for (guint i = 0; i < SEEDS; i++)
		list_replica(&seeds[i]);
	for (guint i = 0; i < 3; i++)
		list_replica(&followers[i]);
	for (int i = 0; i < 120; i++) {
		daemon_confirm_view(&net, &seeds[0], 5);
		daemon_confirm_view(&net, &seeds[1], 5);
		/* A pause each 2 s; the third follower meets none. */
		if (i % 20 == 10)
			record_answer(&net, &followers[i / 20 % 2], 180);
		net_advance(&net, 100);
	}
	/* 0.9 s after the last pause. */
	now = cs_clock_now(net.clock);
	for (guint i = 0; i < 3; i++) {
		const struct route_pause *pause =
			&replica_of(&followers[i])->pause;

		ck_assert_int_ge(pause->period_us, 1950 * MS);
		ck_assert_int_le(pause->period_us, 2050 * MS);
		ck_assert_int_gt(
			route_pause_delay_us(pause, now + 1000 * MS, 5 * MS),
			0);
		ck_assert_int_eq(
			route_pause_delay_us(pause, now + 300 * MS, 5 * MS), 0);
	}
	for (guint i = 0; i < SEEDS; i++)
		daemon_stop(&seeds[i]);
	for (guint i = 0; i < 3; i++)
		daemon_stop(&followers[i]);
	net_destroy(&net);
}
END_TEST

/* Sends a call with a further parameter to a seed. */
static bool follow_call_is_answered(struct net *net, struct daemon *seed,
				    const char *parameter)
{
	struct net_client *client = net_connect(net, &seed->settings.control);
	g_autofree char *head = g_strdup_printf(
		"GET /v1/follow?control=127.0.0.1:9&zone=a&after=0%s "
		"HTTP/1.1\r\nHost: s\r\n\r\n",
		parameter);
	bool answered;

	net_send(client, head);
	net_advance(net, 5);
	net_read(client);
	answered = g_str_has_prefix(client->received->str, "HTTP/1.1 200 ");
	net_close(client);
	return answered;
}

static void read_limit(struct route_replica *replica, void *user)
{
	*(double *)user = replica->limit.per_s;
}

static double limit_of(struct daemon *daemon)
{
	double per_s = 0;

	route_fleet_each_limit(forward_engine_fleet(daemon->engine), read_limit,
			       &per_s);
	return per_s;
}

/* Starts a daemon that gets an answer with further members from the first seed.
 * Returns the server in the seed's place. */
static struct net_server *start_follower(struct net *net,
					 struct daemon *follower,
					 const char *members)
{
	g_autofree char *body = g_strdup_printf(
		"{\"daemons\": 2, \"daemons_in_zone\": 1, \"age_ms\": 0, %s}",
		members);
	g_autofree char *reply = g_strdup_printf(
		"HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
		strlen(body), body);
	struct net_server *server = net_server_create(net, 72, reply, true);

	daemon_start(net, follower, 2, "a");
	list_replica(follower);
	net_advance(net, 200);
	ck_assert_uint_gt(server->requests, 0);
	server->reply = NULL;
	return server;
}

/* A report is read up to its first malformed entry; a malformed outlier is left
 * out. Neither makes the call fail. */
START_TEST(malformed_reports_and_outliers_are_ignored)
{
	static const char *const reports[] = {
		"u%253A1:1:0", "u%253A1:1:0:x",	    "u%253A1:-1:0:900", ":::",
		":",	       "u%253A1:1:0:900:1", "nobody:5:5:900",	"",
	};
	static const char *const outliers[] = {
		"[[\"u:1\", 9]]",     "[[\"u:1\", \"9\", 0]]", "[[7, 9, 0]]",
		"[[\"u:1\", -1, 0]]", "[[\"u:1\", 9, 2]]",     "[7]",
		"{\"u:1\": 9}",	      "[[\"u:1\", 1e9, 0]]",
	};
	struct net net = net_create();
	struct daemon seed;

	daemon_start(&net, &seed, 0, "a");
	list_replica(&seed);
	daemon_confirm_view(&net, &seed, 5);
	for (gsize i = 0; i < G_N_ELEMENTS(reports); i++) {
		g_autofree char *parameter =
			g_strdup_printf("&seen=%s", reports[i]);

		ck_assert_msg(follow_call_is_answered(&net, &seed, parameter),
			      "report %zu", i);
	}
	ck_assert_int_eq(replica_of(&seed)->pooled.at_us, 0);
	daemon_stop(&seed);
	for (gsize i = 0; i < G_N_ELEMENTS(outliers); i++) {
		g_autofree char *extra =
			g_strdup_printf("\"outliers\": %s", outliers[i]);
		struct daemon follower;
		struct net_server *server =
			start_follower(&net, &follower, extra);

		ck_assert_int_eq(replica_of(&follower)->received.at_us, 0);
		daemon_stop(&follower);
		net_server_destroy(server);
	}
	net_destroy(&net);
}
END_TEST

/* Guards against a malformed stall or pause being used, or ending a call. */
START_TEST(malformed_stalls_and_pauses_are_ignored)
{
	static const char *const stalls[] = {
		"u%253A1:1",
		"u%253A1:x:1",
		"u%253A1:-1:1",
		"u%253A1:1:-1",
		":::",
		"nobody:1:1",
		"u%253A1:99999999999:1",
		"u%253A1:1:1:1",
	};
	static const char *const pauses[] = {
		"u%3A1:4500:100",	 "u%3A1:0:100:190",
		"u%3A1:-1:100:190",	 "u%3A1:4500:x:190",
		"u%3A1:4500:100:-1",	 "u%3A1:4500:100:190:1",
		"u%3A1:99999999999:1:1", "nobody:4500:100:190",
	};
	struct net net = net_create();
	struct daemon seed;

	cs_clock_advance(net.clock, 100 * CS_US_PER_S);
	daemon_start(&net, &seed, 0, "a");
	list_replica(&seed);
	daemon_confirm_view(&net, &seed, 5);
	for (gsize i = 0; i < G_N_ELEMENTS(stalls); i++) {
		g_autofree char *parameter =
			g_strdup_printf("&stalls=%s", stalls[i]);

		ck_assert_msg(follow_call_is_answered(&net, &seed, parameter),
			      "report %zu", i);
	}
	ck_assert_int_eq(replica_of(&seed)->pause.ends_us[0], 0);
	daemon_stop(&seed);
	for (gsize i = 0; i < G_N_ELEMENTS(pauses); i++) {
		g_autofree char *extra =
			g_strdup_printf("\"pauses\": \"%s\"", pauses[i]);
		struct daemon follower;
		struct net_server *server =
			start_follower(&net, &follower, extra);

		ck_assert_int_eq(replica_of(&follower)->pause.period_us, 0);
		daemon_stop(&follower);
		net_server_destroy(server);
	}
	net_destroy(&net);
}
END_TEST

/* A malformed limit or place is left out, and the others are used. */
START_TEST(malformed_limits_and_places_are_ignored)
{
	static const char *const reports[] = {
		"u%253A1:0:9",
		"u%253A1:0:x:0",
		"u%253A1:x:9:0",
		"u%253A1:0:-9:0",
		"u%253A1:0:nan:0",
		"u%253A1:0:inf:0",
		"u%253A1:0:9:-1",
		"u%253A1:0:1e400:0",
		"u%253A1:1:9:0",
		"u%253A1:0:9:0:1",
		":::",
		":",
		"nobody:0:9:0",
		"",
	};
	static const char *const bodies[] = {
		"\"limits\": [[\"u:1\", 0, 9]]",
		"\"limits\": [[\"u:1\", 0, \"9\", 0]]",
		"\"limits\": [[\"u:1\", 0, -9, 0]]",
		"\"limits\": [[\"u:1\", 0, 9, -1]]",
		"\"limits\": [[\"u:1\", 1, 9, 0]]",
		"\"limits\": [7]",
		"\"limits\": {\"u:1\": 9}",
		"\"places\": {\"east\": [true, 0, 0, 0]}",
		"\"places\": {\"east\": [true, 3, 3, 9]}",
		"\"places\": {\"east\": [true, -1, 3, 9]}",
		"\"places\": {\"east\": [true, 0, 3]}",
		"\"places\": {\"east\": 7}",
		"\"places\": [7]",
	};
	struct net net = net_create();
	struct daemon seed;

	/* Limits are ignored that were observed before the clock started. */
	cs_clock_advance(net.clock, 10 * CS_US_PER_S);
	daemon_start(&net, &seed, 0, "a");
	list_replica(&seed);
	daemon_confirm_view(&net, &seed, 5);
	for (gsize i = 0; i < G_N_ELEMENTS(reports); i++) {
		g_autofree char *parameter =
			g_strdup_printf("&limits=%s", reports[i]);

		ck_assert_msg(follow_call_is_answered(&net, &seed, parameter),
			      "report %zu", i);
		ck_assert_msg(replica_of(&seed)->limit.observed_us == 0,
			      "report %zu", i);
	}
	ck_assert(follow_call_is_answered(&net, &seed,
					  "&limits=x,u%253A1:0:9:0,"));
	ck_assert_double_eq(limit_of(&seed), 9);
	daemon_stop(&seed);
	for (gsize i = 0; i < G_N_ELEMENTS(bodies); i++) {
		struct daemon follower;
		struct net_server *server =
			start_follower(&net, &follower, bodies[i]);

		ck_assert_msg(limit_of(&follower) == 0, "body %zu", i);
		daemon_stop(&follower);
		net_server_destroy(server);
	}
	net_destroy(&net);
}
END_TEST

/* Replaces, removes or doubles up to 6 bytes after @start. */
static void damage(GRand *random, GString *text, gsize start)
{
	for (int k = g_rand_int_range(random, 1, 7); k > 0 && text->len > start;
	     k--) {
		gsize at = (gsize)g_rand_int_range(random, (gint)start,
						   (gint)text->len);

		switch (g_rand_int_range(random, 0, 3)) {
		case 0:
			text->str[at] = (char)g_rand_int_range(random, 33, 127);
			break;
		case 1:
			g_string_erase(text, (gssize)at, 1);
			break;
		case 2:
			g_string_insert_c(text, (gssize)at, text->str[at]);
			break;
		}
	}
}

/* Guards against a daemon that ends because of one damaged message. */
START_TEST(damaged_messages_between_daemons_end_no_process)
{
	static const char call[] =
		"&callers=0000abcd:a,0000abce:b,&seen=u%253A1:3:1:90,"
		"&limits=u%253A1:0:9.5:310,&stalls=u%253A1:310:190,";
	static const char answer[] =
		"{\"daemons\": 7, \"daemons_in_zone\": 3, \"age_ms\": 120, "
		"\"outliers\": [[\"u:1\", 4.2, 0.0]], "
		"\"limits\": [[\"u:1\", 0, 9.5, 310]], "
		"\"places\": {\"east\": [true, 0, 3, 4]}, "
		"\"pauses\": \"u%3A1:4500:310:190,\", "
		"\"picture\": \"H4sIAAAAAAAAA6uuBQBDv6ajAgAAAA==\"}";
	GRand *random = g_rand_new_with_seed(17);
	struct net net = net_create();
	struct daemon seed;
	struct daemon follower;
	struct net_server *server;

	cs_clock_advance(net.clock, 10 * CS_US_PER_S);
	daemon_start(&net, &seed, 0, "a");
	list_replica(&seed);
	daemon_confirm_view(&net, &seed, 5);
	for (int i = 0; i < 1000; i++) {
		GString *text = g_string_new(call);

		damage(random, text, 0);
		follow_call_is_answered(&net, &seed, text->str);
		g_string_free(text, TRUE);
	}
	ck_assert(follow_call_is_answered(&net, &seed, call));
	daemon_stop(&seed);
	/* The address of the first seed. */
	server = net_server_create(&net, 72, NULL, true);
	daemon_start(&net, &follower, 2, "a");
	list_replica(&follower);
	for (int i = 0; i < 100; i++) {
		GString *text = g_string_new(answer);
		g_autofree char *reply = NULL;

		if (i < 99)
			damage(random, text, 1);
		reply = g_strdup_printf(
			"HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
			text->len, text->str);
		server->reply = reply;
		net_advance(&net, 1600);
		server->reply = NULL;
		g_string_free(text, TRUE);
	}
	ck_assert_uint_gt(server->requests, 50);
	ck_assert_double_gt(limit_of(&follower), 0);
	daemon_stop(&follower);
	net_server_destroy(server);
	net_destroy(&net);
	g_rand_free(random);
}
END_TEST

/* A call that lists many callers must not exceed the size limit of a request.
 * At the target of 2,000 daemons a seed has 667 callers. The answer counts the
 * seed, the daemon that calls and the callers it lists. */
START_TEST(a_seed_accepts_a_call_with_2000_callers)
{
	struct net net = net_create();
	struct daemon seed;
	GString *head = g_string_new(
		"GET /v1/follow?control=127.0.0.1:9&zone=a&after=0&callers=");
	struct net_client *client;

	daemon_start(&net, &seed, 0, "a");
	daemon_confirm_view(&net, &seed, 5);
	for (guint i = 0; i < 2000; i++)
		g_string_append_printf(head, "%08x:a-long-zone-name,", i);
	g_string_append(head, " HTTP/1.1\r\nHost: s\r\n\r\n");
	client = net_connect(&net, &seed.settings.control);
	net_send(client, head->str);
	net_advance(&net, 5);
	net_read(client);
	ck_assert(g_str_has_prefix(client->received->str, "HTTP/1.1 200 "));
	ck_assert_ptr_nonnull(
		strstr(client->received->str, "\"daemons\": 2002,"));
	net_close(client);
	g_string_free(head, TRUE);
	daemon_stop(&seed);
	net_destroy(&net);
}
END_TEST

/* Calls the first seed once a second as a daemon in zone "a".
 * Return: new text: the last answer. */
static char *call_first_seed(struct net *net, struct daemon *seeds,
			     const char *more, guint seconds)
{
	struct sockaddr_in address = net_address(72);
	char *answer = NULL;

	for (guint i = 0; i < seconds; i++) {
		struct net_client *client = net_connect(net, &address);
		g_autofree char *call = g_strdup_printf(
			"GET /v1/follow?control=127.0.0.1:9&zone=a&after=0%s "
			"HTTP/1.1\r\nHost: s\r\n\r\n",
			more);

		net_send(client, call);
		for (guint k = 0; k < 10; k++) {
			net_advance(net, 100);
			for (guint n = 0; n < SEEDS; n++)
				daemon_confirm_view(net, &seeds[n], 5);
		}
		net_read(client);
		g_free(answer);
		answer = g_strdup(client->received->str);
		net_close(client);
	}
	return answer;
}

/* Guards against a seed that has started during a cut and gives the places of
 * all daemons to those of its side. */
START_TEST(a_seed_that_has_started_counts_the_daemons_that_others_know)
{
	struct net net = net_create();
	struct daemon seeds[SEEDS];
	g_autofree char *told = NULL;

	daemon_start(&net, &seeds[0], 0, "a");
	daemon_start(&net, &seeds[1], 1, "b");
	told = call_first_seed(&net, seeds,
			       "&sizes=east:9:20,x,east:1:z,west:70000:1"
			       "&silent=00000005:west:30:0,00000006:west:900:0,"
			       "zz:west:1:0,7:west:1",
			       10);
	ck_assert_msg(strstr(told, "\"east\":[true,") != NULL, "%s", told);
	ck_assert_msg(strstr(told, ",9,20]") != NULL, "%s", told);
	/* One seed and the silent daemon; the other is silent for too long. */
	ck_assert_msg(strstr(told, "\"west\":[false,") != NULL, "%s", told);
	ck_assert_msg(strstr(told, ",2,2]") != NULL, "%s", told);
	for (guint i = 0; i < SEEDS; i++)
		daemon_stop(&seeds[i]);
	net_destroy(&net);
}
END_TEST

/* A routing view that cannot be decompressed counts as a failed call. */
START_TEST(a_follower_switches_from_a_seed_with_a_malformed_view)
{
	static const char body[] = "{\"daemons\": 3, \"daemons_in_zone\": 1, "
				   "\"age_ms\": 0, \"picture\": \"H4sI\"}";
	g_autofree char *reply = g_strdup_printf(
		"HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
		strlen(body), body);
	struct net net = net_create();
	/* The address of the first seed. */
	struct net_server *server = net_server_create(&net, 72, reply, false);
	struct daemon seed;
	struct daemon follower;

	daemon_start(&net, &seed, 1, "b");
	daemon_confirm_view(&net, &seed, 5);
	daemon_start(&net, &follower, 2, "a");
	for (int i = 0; i < 20; i++) {
		net_advance(&net, 100);
		daemon_confirm_view(&net, &seed, 5);
	}
	ck_assert_int_eq(follower.revision, 5);
	ck_assert(!follower.direct);
	daemon_stop(&seed);
	daemon_stop(&follower);
	net_server_destroy(server);
	net_destroy(&net);
}
END_TEST

/* Guards against counts and routes that are read from a broken answer of a
 * seed. */
START_TEST(a_follower_leaves_a_seed_with_a_broken_answer)
{
	static const char body[] = "{\"daemons\": 70, \"daemons_in_zone\": 30, "
				   "\"age_ms\": 0}";

	for (gsize i = 0; i < answers_broken.n; i++) {
		const char *template = answers_broken.templates[i];
		g_autofree char *reply = answers_print(template, "", body);
		struct net net = net_create();
		/* The address of the first seed. */
		struct net_server *server =
			net_server_create(&net, 72, reply, true);
		struct daemon seed;
		struct daemon follower;

		daemon_start(&net, &seed, 1, "b");
		daemon_confirm_view(&net, &seed, 5);
		daemon_start(&net, &follower, 2, "a");
		for (int k = 0; k < 20; k++) {
			net_advance(&net, 20);
			daemon_confirm_view(&net, &seed, 5);
		}
		ck_assert_uint_ge(server->requests, 1);
		ck_assert_msg(follower.revision == 5, "%s", template);
		/* At most four daemons in the zone, not 30. */
		ck_assert_msg(connection_share(&follower, "a") >= 165, "%s",
			      template);
		daemon_stop(&seed);
		daemon_stop(&follower);
		net_server_destroy(server);
		net_destroy(&net);
	}
}
END_TEST

UNIT_MAIN("follow", a_daemon_follows_a_seed_and_does_not_read_the_platform,
	  a_follower_switches_from_a_late_seed_to_a_current_one,
	  a_follower_leaves_a_seed_of_an_earlier_history,
	  with_seeds_of_an_earlier_history_the_platform_is_read,
	  without_a_usable_seed_the_platform_is_read_in_time,
	  a_daemon_without_a_view_soon_reads_the_platform,
	  a_seed_holds_calls_until_its_first_view,
	  a_daemon_that_changes_its_seed_counts_once,
	  outliers_seen_by_one_daemon_reach_the_others,
	  pauses_met_by_several_daemons_are_predicted_by_all,
	  malformed_stalls_and_pauses_are_ignored,
	  malformed_reports_and_outliers_are_ignored,
	  malformed_limits_and_places_are_ignored,
	  damaged_messages_between_daemons_end_no_process,
	  a_seed_accepts_a_call_with_2000_callers,
	  a_seed_that_has_started_counts_the_daemons_that_others_know,
	  a_follower_switches_from_a_seed_with_a_malformed_view,
	  a_follower_leaves_a_seed_with_a_broken_answer)
