/* Where a daemon's picture comes from, and how many daemons it counts. */
#include "net.h"
#include "unit.h"

#include "cuminsail/forward.h"

#include <string.h>

/* A source whose picture is only its revision. */
struct daemon2 {
	struct forward_settings settings;
	struct forward_engine *engine;
	gint64 revision;
	bool direct;
};

static void read_directly(bool directly, void *user)
{
	((struct daemon2 *)user)->direct = directly;
}

static gint64 revision(void *user)
{
	return ((struct daemon2 *)user)->revision;
}

static json_t *export(gint64 after, void *user)
{
	struct daemon2 *daemon = user;

	return daemon->revision ? json_pack("{s:I, s:I}", "revision",
					    (json_int_t)daemon->revision,
					    "after", (json_int_t)after)
				: NULL;
}

static void offer(json_t *document, void *user)
{
	struct daemon2 *daemon = user;
	gint64 offered =
		json_integer_value(json_object_get(document, "revision"));

	daemon->revision = MAX(daemon->revision, offered);
}

static void on_stopped(void *user)
{
}

enum { SEEDS = 2 };

static void start(struct net *net, struct daemon2 *daemon, guint number,
		  const char *zone)
{
	struct forward_source source = {read_directly, revision, export, offer,
					daemon};
	struct forward_settings *settings = &daemon->settings;

	memset(daemon, 0, sizeof(*daemon));
	settings->instance = (char *)"d";
	settings->zone = (char *)zone;
	settings->regions = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_insert(settings->regions, "a", "east");
	g_hash_table_insert(settings->regions, "b", "west");
	settings->caller = net_address(70 + number * 4);
	settings->ready = net_address(71 + number * 4);
	settings->control = net_address(72 + number * 4);
	settings->metrics = net_address(73 + number * 4);
	settings->connections = 10;
	settings->bounds.daemons = 10;
	settings->bounds.daemons_in_zone = 4;
	settings->seeds = g_array_new(FALSE, FALSE, sizeof(struct sockaddr_in));
	for (guint i = 0; i < SEEDS; i++) {
		struct sockaddr_in at = net_address(72 + i * 4);

		g_array_append_val(settings->seeds, at);
	}
	daemon->engine = forward_engine_create(
		net->loop, settings, &net_dialect, on_stopped, daemon);
	ck_assert_ptr_nonnull(daemon->engine);
	forward_engine_set_source(daemon->engine, &source);
}

static void end(struct daemon2 *daemon)
{
	forward_engine_destroy(daemon->engine);
	g_hash_table_unref(daemon->settings.regions);
	g_array_unref(daemon->settings.seeds);
}

/* The seeds' own watch of the platform: revision and time of the last answer.
 */
static void confirm(struct net *net, struct daemon2 *seed, gint64 to)
{
	if (to > seed->revision) {
		seed->revision = to;
		forward_engine_changed(seed->engine);
	}
	forward_engine_confirm(seed->engine, cs_clock_now(net->clock));
}

START_TEST(a_daemon_follows_the_seeds_and_leaves_the_platform_alone)
{
	struct net net = net_create();
	struct daemon2 seeds[SEEDS];
	struct daemon2 follower;

	start(&net, &seeds[0], 0, "a");
	start(&net, &seeds[1], 1, "b");
	confirm(&net, &seeds[0], 5);
	confirm(&net, &seeds[1], 5);
	start(&net, &follower, 2, "a");
	net_pass(&net, 300);
	ck_assert(seeds[0].direct && seeds[1].direct);
	ck_assert(!follower.direct);
	ck_assert_int_eq(follower.revision, 5);
	/* A change reaches it at once, by whichever seed it follows. */
	confirm(&net, &seeds[0], 6);
	confirm(&net, &seeds[1], 6);
	net_settle(&net);
	ck_assert_int_eq(follower.revision, 6);
	for (guint i = 0; i < SEEDS; i++)
		end(&seeds[i]);
	end(&follower);
	net_destroy(&net);
}
END_TEST

START_TEST(a_late_seed_is_left_for_one_that_is_current)
{
	struct net net = net_create();
	struct daemon2 seeds[SEEDS];
	struct daemon2 follower;

	start(&net, &seeds[0], 0, "a");
	start(&net, &seeds[1], 1, "b");
	confirm(&net, &seeds[0], 5);
	confirm(&net, &seeds[1], 5);
	start(&net, &follower, 2, "a");
	/* One seed is cut off from the platform; the other goes on. */
	for (int i = 0; i < 40; i++) {
		net_pass(&net, 100);
		confirm(&net, &seeds[1], 5 + i / 20);
	}
	ck_assert(!follower.direct);
	ck_assert_int_eq(follower.revision, 6);
	/* The seed that is cut off follows the other one. */
	ck_assert_int_eq(seeds[0].revision, 6);
	for (guint i = 0; i < SEEDS; i++)
		end(&seeds[i]);
	end(&follower);
	net_destroy(&net);
}
END_TEST

START_TEST(without_a_seed_the_platform_is_read_in_time)
{
	static const struct {
		bool up; /* the seeds run, and are late */
		gint64 ms; /* since the last news */
		bool direct;
	} cases[] = {
		{true, 2200, false},
		/* A change is due after 3 s. */
		{true, 2900, true},
		{false, 2900, true},
	};

	for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct net net = net_create();
		struct daemon2 seeds[SEEDS];
		struct daemon2 follower;

		start(&net, &seeds[0], 0, "a");
		start(&net, &seeds[1], 1, "b");
		start(&net, &follower, 2, "a");
		confirm(&net, &seeds[0], 5);
		confirm(&net, &seeds[1], 5);
		net_pass(&net, 200);
		ck_assert_int_eq(follower.revision, 5);
		for (guint k = 0; k < SEEDS && !cases[i].up; k++)
			end(&seeds[k]);
		net_pass(&net, cases[i].ms - 200);
		ck_assert_msg(follower.direct == cases[i].direct, "case %zu",
			      i);
		for (guint k = 0; k < SEEDS && cases[i].up; k++)
			end(&seeds[k]);
		end(&follower);
		net_destroy(&net);
	}
}
END_TEST

START_TEST(a_daemon_without_any_picture_soon_reads_the_platform)
{
	struct net net = net_create();
	struct daemon2 follower;

	start(&net, &follower, 2, "a");
	net_pass(&net, 300);
	ck_assert(!follower.direct);
	net_pass(&net, 400);
	ck_assert(follower.direct);
	end(&follower);
	net_destroy(&net);
}
END_TEST

/* pliega-busca-grown trouble-1: after a power loss of all machines the seeds
 * had no picture when they were first asked, and small daemons read the
 * platform themselves, half a second later. */
START_TEST(a_seed_lets_callers_wait_for_its_first_picture)
{
	struct net net = net_create();
	struct daemon2 seeds[SEEDS];
	struct daemon2 follower;

	/* The machine has been up for longer than a picture may be old. */
	cs_clock_advance(net.clock, 10 * CS_US_PER_S);
	start(&net, &seeds[0], 0, "a");
	start(&net, &seeds[1], 1, "b");
	start(&net, &follower, 2, "a");
	net_pass(&net, 500);
	ck_assert_int_eq(follower.revision, 0);
	ck_assert(!follower.direct);
	confirm(&net, &seeds[0], 5);
	confirm(&net, &seeds[1], 5);
	net_pass(&net, 5);
	ck_assert_int_eq(follower.revision, 5);
	/* And not for ever: the platform may be away from the seeds only. */
	end(&follower);
	for (guint i = 0; i < SEEDS; i++) {
		end(&seeds[i]);
		start(&net, &seeds[i], i, "a");
	}
	start(&net, &follower, 2, "a");
	net_pass(&net, 1000);
	ck_assert(follower.direct);
	for (guint i = 0; i < SEEDS; i++)
		end(&seeds[i]);
	end(&follower);
	net_destroy(&net);
}
END_TEST

/* The counts as the daemon itself has them, by its shares of connections. */
static guint share_of(struct daemon2 *daemon, const char *zone)
{
	struct route_fleet *fleet = forward_engine_fleet(daemon->engine);
	struct route_table *table = route_table_create(1);
	struct route *route = route_create(ROUTE_SERVICE);
	struct route_ask asked = {0};
	struct route_entry entry = {.id = "u",
				    .service = "s",
				    .zone = zone,
				    .address = net_address(99),
				    .slots = 1};
	enum route_lack lack;
	guint share;

	route->name = g_strdup("r");
	route->host = g_strdup("h");
	route->prefix = g_strdup("/");
	route_table_add(table, route);
	route_table_add_service(table, "s", 1200, 0);
	route_table_seal(table);
	route_fleet_set_table(fleet, table);
	route_fleet_put(fleet, &entry, 0);
	asked.route = route;
	asked.work = route_fleet_work(fleet, route);
	share = route_replica_connections(route_pool_choose(
		route_fleet_pool(fleet, "s"), &asked, 0, &lack));
	route_table_unref(table);
	return share;
}

/*
 * putul-search scale-1: sums of the seeds counted a daemon that changed its
 * seed twice, and the shares starved.
 */
START_TEST(each_daemon_counts_once_whatever_seed_it_calls)
{
	struct net net = net_create();
	struct daemon2 seeds[SEEDS];
	struct daemon2 followers[4];

	start(&net, &seeds[0], 0, "a");
	start(&net, &seeds[1], 1, "b");
	for (guint i = 0; i < 4; i++)
		start(&net, &followers[i], 2 + i, i < 3 ? "a" : "b");
	for (int i = 0; i < 60; i++) {
		/* Both seeds are late by turns, so that followers change. */
		if (i % 20 < 10)
			confirm(&net, &seeds[i / 20 % 2], 5);
		net_pass(&net, 100);
	}
	/* Six daemons, four of them in zone a: 1200 x 0.55 / 4 each. */
	ck_assert_uint_eq(share_of(&followers[0], "a"), 165);
	ck_assert_uint_eq(share_of(&followers[3], "b"), 330);
	for (guint i = 0; i < SEEDS; i++)
		end(&seeds[i]);
	for (guint i = 0; i < 4; i++)
		end(&followers[i]);
	net_destroy(&net);
}
END_TEST

static void list_replica(struct daemon2 *daemon)
{
	struct route_entry entry = {.id = "u:1",
				    .service = "s",
				    .zone = "a",
				    .address = net_address(99),
				    .slots = 4};

	route_fleet_put(forward_engine_fleet(daemon->engine), &entry, 0);
}

/* The replica as a daemon knows it. */
static struct route_replica *replica_of(struct daemon2 *daemon)
{
	struct route_fleet *fleet = forward_engine_fleet(daemon->engine);
	struct route route = {.name = (char *)"r"};
	struct route_ask ask = {.route = &route};
	enum route_lack lack;
	struct route_replica *replica;

	route.regions = g_ptr_array_new();
	ask.work = route_fleet_work(fleet, &route);
	replica =
		route_pool_choose(route_fleet_pool(fleet, "s"), &ask, 0, &lack);
	g_ptr_array_unref(route.regions);
	ck_assert_ptr_nonnull(replica);
	return replica;
}

/* An answer of the replica that took so long. */
static void see(struct net *net, struct daemon2 *daemon, gint64 ms)
{
	struct route route = {.name = (char *)"r"};
	struct route_fleet *fleet = forward_engine_fleet(daemon->engine);
	struct route_attempt attempt = {0};
	gint64 now = cs_clock_now(net->clock);

	route_attempt_begin(&attempt, replica_of(daemon),
			    route_fleet_work(fleet, &route), now - ms * MS);
	route_attempt_end(&attempt, ROUTE_GOOD, now);
}

START_TEST(what_one_daemon_sees_reaches_the_others_by_the_seed)
{
	struct net net = net_create();
	struct daemon2 seeds[SEEDS];
	struct daemon2 followers[2];

	start(&net, &seeds[0], 0, "a");
	start(&net, &seeds[1], 1, "b");
	for (guint i = 0; i < 2; i++)
		start(&net, &followers[i], 2 + i, "a");
	for (guint i = 0; i < 2; i++) {
		list_replica(&seeds[i]);
		list_replica(&followers[i]);
	}
	for (int i = 0; i < 60; i++) {
		confirm(&net, &seeds[0], 5);
		confirm(&net, &seeds[1], 5);
		if (i % 2)
			see(&net, &followers[0], 400);
		net_pass(&net, 100);
	}
	/* The other has never asked it, and neither have the seeds. */
	ck_assert_int_eq(replica_of(&followers[1])->sampled_us, 0);
	ck_assert(replica_of(&followers[1])->shared.slowness > 2);
	ck_assert(replica_of(&seeds[0])->shared.slowness > 2 ||
		  replica_of(&seeds[1])->shared.slowness > 2);
	for (guint i = 0; i < SEEDS; i++)
		end(&seeds[i]);
	for (guint i = 0; i < 2; i++)
		end(&followers[i]);
	net_destroy(&net);
}
END_TEST

/* A report is left at the first item that is none; the rest goes on. */
START_TEST(damaged_reports_and_outliers_change_nothing)
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
	struct daemon2 seed;

	start(&net, &seed, 0, "a");
	list_replica(&seed);
	confirm(&net, &seed, 5);
	for (gsize i = 0; i < G_N_ELEMENTS(reports); i++) {
		struct net_client *client =
			net_connect(&net, &seed.settings.control);
		g_autofree char *head = g_strdup_printf(
			"GET /v1/follow?control=127.0.0.1:9&zone=a&after=0"
			"&seen=%s HTTP/1.1\r\nHost: s\r\n\r\n",
			reports[i]);

		net_send(client, head);
		net_pass(&net, 5);
		net_read(client);
		ck_assert_msg(
			g_str_has_prefix(client->got->str, "HTTP/1.1 200 "),
			"report %zu", i);
		net_close(client);
	}
	ck_assert_int_eq(replica_of(&seed)->pooled.at_us, 0);
	end(&seed);
	for (gsize i = 0; i < G_N_ELEMENTS(outliers); i++) {
		g_autofree char *body = g_strdup_printf(
			"{\"daemons\": 2, \"daemons_in_zone\": 1, "
			"\"age_ms\": 0, \"outliers\": %s}",
			outliers[i]);
		g_autofree char *reply = g_strdup_printf(
			"HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
			strlen(body), body);
		/* The address of the first seed. */
		struct net_script *script =
			net_script_create(&net, 72, reply, true);
		struct daemon2 follower;

		start(&net, &follower, 2, "a");
		list_replica(&follower);
		net_pass(&net, 200);
		ck_assert_uint_gt(script->requests, 0);
		ck_assert_int_eq(replica_of(&follower)->shared.at_us, 0);
		end(&follower);
		net_script_destroy(script);
	}
	net_destroy(&net);
}
END_TEST

/* At the target of 2,000 daemons a seed has 667 callers. The seed, the one that
 * asks and those it names count. */
START_TEST(a_seed_may_name_very_many_callers)
{
	struct net net = net_create();
	struct daemon2 seed;
	GString *head = g_string_new(
		"GET /v1/follow?control=127.0.0.1:9&zone=a&after=0&callers=");
	struct net_client *client;

	start(&net, &seed, 0, "a");
	confirm(&net, &seed, 5);
	for (guint i = 0; i < 2000; i++)
		g_string_append_printf(head, "%08x:a-long-zone-name,", i);
	g_string_append(head, " HTTP/1.1\r\nHost: s\r\n\r\n");
	client = net_connect(&net, &seed.settings.control);
	net_send(client, head->str);
	net_pass(&net, 5);
	net_read(client);
	ck_assert(g_str_has_prefix(client->got->str, "HTTP/1.1 200 "));
	ck_assert_ptr_nonnull(strstr(client->got->str, "\"daemons\": 2002,"));
	net_close(client);
	g_string_free(head, TRUE);
	end(&seed);
	net_destroy(&net);
}
END_TEST

START_TEST(a_seed_with_a_damaged_picture_is_left)
{
	static const char body[] = "{\"daemons\": 3, \"daemons_in_zone\": 1, "
				   "\"age_ms\": 0, \"picture\": \"H4sI\"}";
	g_autofree char *reply = g_strdup_printf(
		"HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
		strlen(body), body);
	struct net net = net_create();
	/* The address of the first seed. */
	struct net_script *script = net_script_create(&net, 72, reply, false);
	struct daemon2 seed;
	struct daemon2 follower;

	start(&net, &seed, 1, "b");
	confirm(&net, &seed, 5);
	start(&net, &follower, 2, "a");
	for (int i = 0; i < 20; i++) {
		net_pass(&net, 100);
		confirm(&net, &seed, 5);
	}
	ck_assert_int_eq(follower.revision, 5);
	ck_assert(!follower.direct);
	end(&seed);
	end(&follower);
	net_script_destroy(script);
	net_destroy(&net);
}
END_TEST

UNIT_MAIN("follow", a_daemon_follows_the_seeds_and_leaves_the_platform_alone,
	  a_late_seed_is_left_for_one_that_is_current,
	  without_a_seed_the_platform_is_read_in_time,
	  a_daemon_without_any_picture_soon_reads_the_platform,
	  a_seed_lets_callers_wait_for_its_first_picture,
	  each_daemon_counts_once_whatever_seed_it_calls,
	  what_one_daemon_sees_reaches_the_others_by_the_seed,
	  damaged_reports_and_outliers_change_nothing,
	  a_seed_may_name_very_many_callers,
	  a_seed_with_a_damaged_picture_is_left)
