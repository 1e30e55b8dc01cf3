/* Replicas that say in their answers that they leave, or ask for rest. */
#include "daemon.h"
#include "unit.h"
#include "view.h"

#include <string.h>

enum { REPLICAS = 2, REPLICA = 61 };

#define ANSWER(status, lines)                                                  \
	"HTTP/1.1 " status "\r\nId: r1\r\nSigned: s\r\n" lines                 \
	"Content-Length: 16\r\n\r\n0123456789abcdef"

#define GOOD	  ANSWER("200 OK", "")
#define LEAVES	  ANSWER("200 OK", "Leaves: 1\r\n")
#define ASKS(end) ANSWER("503 Busy", "Not-Run: 1\r\nRest: " end "\r\n")

/* A daemon with replicas of service "s" ("/one/", two attempts) in its zone. */
struct fixture {
	struct net net;
	struct daemon daemon;
	struct net_server *replicas[REPLICAS];
};

static struct route_entry entry_of(guint i)
{
	static const char *const ids[REPLICAS] = {"u0", "u1"};

	return (struct route_entry){
		.id = ids[i],
		.service = "s",
		.zone = "a",
		.address = net_address(REPLICA + i),
		.incarnation = 1,
		.sequence = 1,
		.slots = 10,
	};
}

static void put(struct fixture *fixture, const struct route_entry *entry)
{
	route_fleet_put(forward_engine_fleet(fixture->daemon.engine), entry,
			cs_clock_now(fixture->net.clock));
}

static struct route_table *create_table(void)
{
	struct route_table *table = route_table_create(1);

	table->limits = (struct route_limits){16384, 65536, 3000, 60000};
	view_add_route(table, "/one/", "h", "/one/", ROUTE_SERVICE);
	view_add_route(table, "/once/", "h", "/once/", ROUTE_SERVICE)
		->idempotent = false;
	route_table_add_service(table, "s", 100, 0);
	route_table_seal(table);
	return table;
}

static void fixture_open(struct fixture *fixture)
{
	struct route_table *table = create_table();

	memset(fixture, 0, sizeof(*fixture));
	fixture->net = net_create();
	cs_clock_advance(fixture->net.clock, 100 * CS_US_PER_S);
	daemon_start_alone(&fixture->net, &fixture->daemon, "a");
	fixture->daemon.settings.bounds.drain_us = 3 * CS_US_PER_S;
	fixture->daemon.settings.bounds.budget_ratio = 0.2;
	fixture->daemon.settings.bounds.budget_slack = 10000;
	fixture->daemon.settings.bounds.budget_window_us = 10 * CS_US_PER_S;
	forward_engine_reload(fixture->daemon.engine,
			      &fixture->daemon.settings);
	forward_engine_set_table(fixture->daemon.engine, table);
	route_table_unref(table);
	for (guint i = 0; i < REPLICAS; i++) {
		struct route_entry entry = entry_of(i);

		fixture->replicas[i] = net_server_create(
			&fixture->net, REPLICA + i, GOOD, false);
		put(fixture, &entry);
	}
}

static void fixture_close(struct fixture *fixture)
{
	daemon_stop(&fixture->daemon);
	for (guint i = 0; i < REPLICAS; i++)
		net_server_destroy(fixture->replicas[i]);
	net_destroy(&fixture->net);
}

/* Sends a request and waits for the answer. Return: its status; 0: none. */
static guint ask_for(struct fixture *fixture, const char *target)
{
	struct net_client *caller =
		net_connect(&fixture->net, &fixture->daemon.settings.caller);
	g_autofree char *text =
		g_strdup_printf("GET %s HTTP/1.1\r\nHost: h\r\nId: r1\r\n"
				"Wait: 900\r\n\r\n",
				target);
	guint status = 0;

	net_send(caller, text);
	for (int i = 0; i < 1000 && !caller->received->len; i++) {
		net_advance(&fixture->net, 1);
		net_read(caller);
	}
	(void)sscanf(caller->received->str, "HTTP/1.1 %u", &status);
	net_close(caller);
	return status;
}

static guint ask(struct fixture *fixture)
{
	return ask_for(fixture, "/one/");
}

/* Sends requests for a time, one each 20 ms.
 * Return: the number that a replica gets. */
static guint count_for(struct fixture *fixture, guint i, gint64 ms)
{
	guint before = fixture->replicas[i]->requests;

	for (gint64 k = 0; k < ms / 20; k++) {
		ask(fixture);
		net_advance(&fixture->net, 19);
	}
	return fixture->replicas[i]->requests - before;
}

/* Sends requests until a replica has got one more. */
static void reach(struct fixture *fixture, guint i)
{
	guint before = fixture->replicas[i]->requests;

	for (int k = 0; k < 200 && fixture->replicas[i]->requests == before;
	     k++) {
		/* The other one looks worse. */
		fixture->replicas[!i]->reply = NULL;
		ask(fixture);
		fixture->replicas[!i]->reply = GOOD;
	}
	ck_assert_uint_gt(fixture->replicas[i]->requests, before);
	net_advance(&fixture->net, 1000);
}

/* Guards against requests to a replica that has said that it leaves, while the
 * list has it as ready. */
START_TEST(a_replica_that_says_it_leaves_gets_no_more_requests)
{
	struct fixture fixture;

	fixture_open(&fixture);
	fixture.replicas[0]->reply = LEAVES;
	reach(&fixture, 0);
	ck_assert_uint_eq(count_for(&fixture, 0, 5000), 0);
	fixture_close(&fixture);
}
END_TEST

/* Guards against requests to a replica that has turned one away and asked for
 * rest, before the end of the time. */
START_TEST(a_replica_that_asks_for_rest_gets_no_requests_until_its_end)
{
	struct fixture fixture;

	fixture_open(&fixture);
	fixture.replicas[0]->reply = ASKS("3");
	reach(&fixture, 0);
	/* One second has passed. */
	ck_assert_uint_eq(count_for(&fixture, 0, 1900), 0);
	fixture_close(&fixture);
}
END_TEST

UNIT_MAIN("notice", a_replica_that_says_it_leaves_gets_no_more_requests,
	  a_replica_that_asks_for_rest_gets_no_requests_until_its_end)
