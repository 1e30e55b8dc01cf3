/* Odd entries among those of the replicas: each costs itself only. */
#include "daemon.h"
#include "fake_store.h"
#include "unit.h"

#include "cuminsail/endpoint.h"
#include "platform_adapter.h"

#include <string.h>

enum { STORE = 60, REPLICA_1 = 61, REPLICA_2 = 62 };

#define GOOD                                                                   \
	"HTTP/1.1 200 OK\r\nId: r1\r\nSigned: s\r\nContent-Length: "           \
	"2\r\n\r\nok"

/* A daemon that reads the store, and two replicas of service "x" that are up,
 * the first of which is listed. */
struct fixture {
	struct net net;
	struct fake_store store;
	struct daemon daemon;
	struct platform_feed *feed;
	struct net_server *replicas[2];
};

static char *entry_text(guint number, const char *more)
{
	struct sockaddr_in address = net_address(number);
	char endpoint[CS_ENDPOINT_TEXT_SIZE];

	cs_endpoint_print(&address, endpoint);
	return g_strdup_printf("{\"service\":\"x\",\"address\":\"%s\","
			       "\"zone\":\"a\",\"version\":\"v\",\"slots\":3,"
			       "\"state\":\"ready\",\"warmupLeftMs\":0,"
			       "\"sequence\":1%s}",
			       endpoint, more);
}

static void list_replica(struct fixture *fixture, const char *key, guint number)
{
	g_autofree char *text = entry_text(number, "");

	fake_store_write(&fixture->store, key, text);
}

static void start_daemon(struct fixture *fixture)
{
	daemon_start_alone(&fixture->net, &fixture->daemon, "a");
	fixture->daemon.settings.platform = net_address(STORE);
	fixture->feed = platform_feed_create(fixture->net.loop,
					     &fixture->daemon.settings.platform,
					     fixture->daemon.engine);
	net_advance(&fixture->net, 300);
}

static void fixture_open(struct fixture *fixture)
{
	memset(fixture, 0, sizeof(*fixture));
	fixture->net = net_create();
	cs_clock_advance(fixture->net.clock, 100 * CS_US_PER_S);
	fake_store_open(&fixture->store, &fixture->net, STORE);
	for (guint i = 0; i < 2; i++)
		fixture->replicas[i] = net_server_create(
			&fixture->net, REPLICA_1 + i, GOOD, false);
	list_replica(fixture, "servers/i-1", REPLICA_1);
	fake_store_write(&fixture->store, "op/config",
			 "{\"version\":4,\"routes\":[{\"name\":\"r\","
			 "\"host\":\"h\",\"prefix\":\"/\","
			 "\"routeType\":\"idempotent\",\"timeoutMs\":1500,"
			 "\"service\":\"x\"}],\"services\":["
			 "{\"name\":\"x\",\"maxConnections\":9}]}");
}

static void fixture_close(struct fixture *fixture)
{
	daemon_stop(&fixture->daemon);
	platform_feed_destroy(fixture->feed);
	fake_store_close(&fixture->store);
	for (guint i = 0; i < 2; i++)
		net_server_destroy(fixture->replicas[i]);
	net_destroy(&fixture->net);
}

static guint ask(struct fixture *fixture)
{
	struct net_client *client =
		net_connect(&fixture->net, &fixture->daemon.settings.caller);
	guint status = 0;

	net_send(client, "GET / HTTP/1.1\r\nHost: h\r\nId: r1\r\n\r\n");
	net_run_until_idle(&fixture->net);
	net_read(client);
	(void)sscanf(client->received->str, "HTTP/1.1 %u", &status);
	net_close(client);
	return status;
}

static guint64 n_invalid(struct fixture *fixture)
{
	return cs_counters_get(forward_engine_counters(fixture->daemon.engine),
			       CS_N_LIST_INVALID);
}

/* Return: @depth nested arrays. */
static char *nested(gsize depth)
{
	GString *text = g_string_new(NULL);

	for (gsize i = 0; i < depth; i++)
		g_string_append_c(text, '[');
	for (gsize i = 0; i < depth; i++)
		g_string_append_c(text, ']');
	return g_string_free(text, FALSE);
}

/* Return: a new text of odd entry @i, or NULL after the last one. */
static char *odd_entry(gsize i)
{
	static const char *const replaced[][2] = {
		{"\"slots\":3", "\"slots\":99999999999999999999999999"},
		{"\"slots\":3", "\"slots\":1e999"},
		{"\"slots\":3", "\"slots\":-3"},
		{"\"slots\":3", "\"slots\":3.5"},
		{"\"sequence\":1", "\"sequence\":18446744073709551616"},
		{"\"sequence\":1", "\"sequence\":-9223372036854775809"},
		{"\"warmupLeftMs\":0", "\"warmupLeftMs\":1e308"},
		{":20062\"", ":0\""},
		{":20062\"", ":65536\""},
		{":20062\"", ":-1\""},
		{":20062\"", ":80.5\""},
		{":20062\"", ":18446744073709551617\""},
		{":20062\"", ":\""},
		{"\"ready\"", "[[[[\"ready\"]]]]"},
		{"\"x\"", "\"x\",\"service\":\"x\""},
		{"}", ""},
	};
	g_autofree char *good = entry_text(REPLICA_2, "");
	g_autofree char *deep = nested(100000);
	g_autofree char *member = g_strdup_printf(",\"tags\":%s", deep);
	const char *at;

	if (i == G_N_ELEMENTS(replaced))
		return g_steal_pointer(&deep);
	if (i == G_N_ELEMENTS(replaced) + 1)
		return entry_text(REPLICA_2, member);
	if (i == G_N_ELEMENTS(replaced) + 2)
		return g_strdup("\xff\xfe\x01");
	if (i > G_N_ELEMENTS(replaced) + 2)
		return NULL;
	at = strstr(good, replaced[i][0]);
	ck_assert_msg(at != NULL, "case %zu", i);
	return g_strdup_printf("%.*s%s%s", (int)(at - good), good,
			       replaced[i][1], at + strlen(replaced[i][0]));
}

/* Guards against a daemon that ends, or stops following the list, because of
 * one entry that another writer left: at its start, while it runs, and both
 * times the others go on being used and later changes are taken. */
START_TEST(an_odd_entry_of_the_store_costs_only_itself)
{
	g_autofree char *text = NULL;

	for (gsize i = 0; (text = odd_entry(i / 2)); i++) {
		bool by_watch = i % 2;
		struct fixture fixture;
		guint requests;

		fixture_open(&fixture);
		if (by_watch)
			start_daemon(&fixture);
		fake_store_write(&fixture.store, "servers/i-0", text);
		fake_store_write(&fixture.store, "servers/i-2", text);
		if (!by_watch)
			start_daemon(&fixture);
		net_advance(&fixture.net, 600);
		ck_assert_msg(ask(&fixture) == 200, "case %zu", i);
		ck_assert_msg(n_invalid(&fixture) == 2, "case %zu: %u", i,
			      (guint)n_invalid(&fixture));
		ck_assert_uint_eq(fixture.replicas[1]->connections, 0);
		/* The writer's next entry is good; the first replica leaves. */
		list_replica(&fixture, "servers/i-2", REPLICA_2);
		fake_store_write(&fixture.store, "servers/i-1", NULL);
		net_advance(&fixture.net, 4000);
		requests = fixture.replicas[1]->requests;
		ck_assert_msg(ask(&fixture) == 200, "case %zu", i);
		ck_assert_uint_eq(fixture.replicas[1]->requests, requests + 1);
		fixture_close(&fixture);
		g_clear_pointer(&text, g_free);
	}
}
END_TEST

/* Guards against a header line of the entry's writer in the requests to a
 * replica: the id of an entry is sent in one. */
START_TEST(an_id_that_is_no_header_value_names_no_replica)
{
	static const char *const ids[] = {"i\r\nX: y", "i\n2",	"i\t2", " i",
					  "i 2",       "i\x7f", "i\x01"};
	g_autofree char *text = entry_text(REPLICA_2, "");
	json_t *document = cs_json_parse(text, strlen(text), NULL);

	for (gsize i = 0; i < G_N_ELEMENTS(ids); i++) {
		g_autofree char *why = NULL;
		struct route_entry entry;

		ck_assert_msg(platform_decode_entry(ids[i], document, &entry,
						    &why) != 0,
			      "case %zu", i);
	}
	json_decref(document);
}
END_TEST

UNIT_MAIN("entries", an_odd_entry_of_the_store_costs_only_itself,
	  an_id_that_is_no_header_value_names_no_replica)
