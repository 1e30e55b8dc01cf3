/* Rate limits that replicas name: what a replica gets from several daemons. */
#include "daemon.h"
#include "unit.h"
#include "view.h"

#include "cuminsail/forward.h"

#include <string.h>

enum { DAEMONS = 6, REPLICAS = 3 };

#define LIMIT_PER_S   8.0
#define CALLERS_PER_S 10 /* of each daemon */
#define WORK_MS	      15 /* processing time of replica 0; the others take 19 */
#define STEP_MS	      20
#define WINDOW_STEPS  (4000 / STEP_MS)
#define CONTACT_STEPS (5000 / STEP_MS)
#define ANSWER(lines)                                                          \
	"HTTP/1.1 200 OK\r\nId: r1\r\nSigned: s\r\n" lines                     \
	"Content-Length: 2\r\n\r\nok"

/* Daemons 0 to 2 are in zone "a" like replica 0, the others in zone "b". */
struct cluster {
	struct net net;
	struct daemon daemons[DAEMONS];
	struct net_server *replicas[REPLICAS];
	struct net_client *callers[DAEMONS];
	guint answered; /* answers to callers with status 200 */
	GArray *counts; /* guint: requests at replica 0 after each step */
};

static struct route_table *create_table(void)
{
	struct route_table *table = route_table_create(3);
	struct route *route =
		view_add_route(table, "r", "h", "/", ROUTE_SERVICE);

	table->limits = (struct route_limits){16384, 65536, 3000, 60000};
	route->objective_us = 200 * MS;
	route_table_add_service(table, "s", 1200, 0);
	route_table_seal(table);
	return table;
}

static void list_replicas(struct cluster *cluster, struct daemon *daemon)
{
	struct route_table *table = create_table();

	forward_engine_set_table(daemon->engine, table);
	route_table_unref(table);
	for (guint i = 0; i < REPLICAS; i++) {
		g_autofree char *id = g_strdup_printf("u%u", i);
		struct route_entry entry = {
			.id = id,
			.service = "s",
			.zone = i ? "b" : "a",
			.address = net_address(40 + i),
			.slots = 100,
		};

		route_fleet_put(forward_engine_fleet(daemon->engine), &entry,
				cs_clock_now(cluster->net.clock));
	}
}

static void cluster_create(struct cluster *cluster)
{
	memset(cluster, 0, sizeof(*cluster));
	cluster->net = net_create();
	cluster->counts = g_array_new(FALSE, FALSE, sizeof(guint));
	for (guint i = 0; i < REPLICAS; i++) {
		cluster->replicas[i] = net_server_create(&cluster->net, 40 + i,
							 ANSWER(""), false);
		cluster->replicas[i]->hold = true;
	}
	for (guint i = 0; i < DAEMONS; i++) {
		daemon_start(&cluster->net, &cluster->daemons[i], i,
			     i < 3 ? "a" : "b");
		list_replicas(cluster, &cluster->daemons[i]);
		cluster->callers[i] = net_connect(
			&cluster->net, &cluster->daemons[i].settings.caller);
	}
}

static void cluster_destroy(struct cluster *cluster)
{
	for (guint i = 0; i < DAEMONS; i++) {
		net_close(cluster->callers[i]);
		daemon_stop(&cluster->daemons[i]);
	}
	for (guint i = 0; i < REPLICAS; i++)
		net_server_destroy(cluster->replicas[i]);
	g_array_unref(cluster->counts);
	net_destroy(&cluster->net);
}

static void count_answers(struct cluster *cluster, struct net_client *caller)
{
	net_read(caller);
	cluster->answered +=
		g_str_has_prefix(caller->received->str, "HTTP/1.1 200");
	g_string_truncate(caller->received, 0);
}

/* Runs for @ms; each daemon gets CALLERS_PER_S requests a second in turn. */
static void cluster_run(struct cluster *cluster, gint64 ms)
{
	for (gint64 i = 0; i < ms / STEP_MS; i++) {
		guint step = cluster->counts->len;

		for (guint k = 0; k < SEEDS; k++)
			daemon_confirm_view(&cluster->net, &cluster->daemons[k],
					    5);
		for (guint k = 0; k < DAEMONS; k++) {
			if ((step + k) % (1000 / CALLERS_PER_S / STEP_MS))
				continue;
			net_send(cluster->callers[k],
				 "GET /x HTTP/1.1\r\nHost: h\r\nId: r1\r\n"
				 "Wait: 900\r\n\r\n");
		}
		net_advance(&cluster->net, WORK_MS);
		net_server_reply_held(cluster->replicas[0]);
		net_advance(&cluster->net, STEP_MS - WORK_MS - 1);
		for (guint k = 1; k < REPLICAS; k++)
			net_server_reply_held(cluster->replicas[k]);
		net_advance(&cluster->net, 1);
		for (guint k = 0; k < DAEMONS; k++)
			count_answers(cluster, cluster->callers[k]);
		g_array_append_val(cluster->counts,
				   cluster->replicas[0]->requests);
	}
}

/* Return: most requests of replica 0 in a window of 4 s from @first on. */
static guint most_in_window(const struct cluster *cluster, guint first)
{
	guint most = 0;

	for (guint i = first + WINDOW_STEPS; i < cluster->counts->len; i++)
		most = MAX(most, g_array_index(cluster->counts, guint, i) -
					 g_array_index(cluster->counts, guint,
						       i - WINDOW_STEPS));
	return most;
}

/* Return: requests at replica 0 after step @first. */
static guint requests_since(const struct cluster *cluster, guint first)
{
	return g_array_index(cluster->counts, guint, cluster->counts->len - 1) -
	       g_array_index(cluster->counts, guint, first);
}

static void read_limit(struct route_replica *replica, void *user)
{
	if (!strcmp(replica->id, "u0"))
		*(double *)user = replica->limit.per_s;
}

/* Return: the limit of replica 0 that a daemon knows. */
static double known_limit(struct cluster *cluster, guint daemon)
{
	struct route_fleet *fleet =
		forward_engine_fleet(cluster->daemons[daemon].engine);
	double per_s = 0;

	route_fleet_each_limit(fleet, read_limit, &per_s);
	return per_s;
}

START_TEST(several_daemons_together_exceed_the_rate_limit_of_a_replica)
{
	struct cluster cluster;
	guint named;

	cluster_create(&cluster);
	cluster_run(&cluster, 2000);
	named = cluster.counts->len;
	cluster.replicas[0]->reply = ANSWER("Takes: 8\r\n");
	cluster.answered = 0;
	cluster_run(&cluster, 20000);
	ck_assert_uint_le(most_in_window(&cluster, named + CONTACT_STEPS),
			  1.5 * 4 * LIMIT_PER_S + 5);
	/* Daemons far away leave the limit to those that need it. */
	ck_assert_uint_ge(requests_since(&cluster, cluster.counts->len - 501),
			  0.7 * LIMIT_PER_S * 10);
	/* The other replicas serve what the limited one does not take. */
	ck_assert_uint_ge(cluster.answered, DAEMONS * CALLERS_PER_S * 20 - 6);
	cluster_destroy(&cluster);
}
END_TEST

/* The daemons in zone "b" send no requests to replica 0. */
START_TEST(a_daemon_without_answers_learns_of_a_limit_and_its_end)
{
	struct cluster cluster;

	cluster_create(&cluster);
	cluster_run(&cluster, 10000);
	cluster.replicas[0]->reply = ANSWER("Takes: 8\r\n");
	cluster_run(&cluster, 4000);
	for (guint i = 0; i < DAEMONS; i++)
		ck_assert_msg(known_limit(&cluster, i) == LIMIT_PER_S,
			      "daemon %u", i);
	cluster.replicas[0]->reply = ANSWER("Takes: 6\r\n");
	cluster_run(&cluster, 4000);
	for (guint i = 0; i < DAEMONS; i++)
		ck_assert_msg(known_limit(&cluster, i) == 6, "daemon %u", i);
	cluster.replicas[0]->reply = ANSWER("");
	cluster_run(&cluster, 4000);
	for (guint i = 0; i < DAEMONS; i++)
		ck_assert_msg(known_limit(&cluster, i) == 0, "daemon %u", i);
	/* It gets all requests of its zone again. */
	cluster_run(&cluster, 2000);
	ck_assert_uint_ge(requests_since(&cluster, cluster.counts->len - 101),
			  2 * 3 * CALLERS_PER_S - 6);
	cluster_destroy(&cluster);
}
END_TEST

UNIT_MAIN("limit", a_daemon_without_answers_learns_of_a_limit_and_its_end,
	  several_daemons_together_exceed_the_rate_limit_of_a_replica)
