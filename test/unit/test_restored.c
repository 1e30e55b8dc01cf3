/* What a daemon keeps and takes after the store came back from an older copy.
 */
#include "daemon.h"
#include "fake_store.h"
#include "unit.h"

#include "cuminsail/compress.h"
#include "cuminsail/endpoint.h"
#include "platform_adapter.h"

#include <string.h>

enum { STORE = 60, REPLICA_X = 61, REPLICA_Y = 62, REPLICA_OTHER = 63 };

#define GOOD                                                                   \
	"HTTP/1.1 200 OK\r\nId: r1\r\nSigned: s\r\nContent-Length: "           \
	"2\r\n\r\nok"

/* A daemon that reads the store, and replicas "x1" and "y1" of the services "x"
 * and "y" in its zone "a"; "x2" of "x" is listed in zone "b", but not up. */
struct fixture {
	struct net net;
	struct fake_store store;
	struct daemon daemon;
	struct platform_feed *feed;
	struct net_server *x;
	struct net_server *y;
};

/* Writes version @version of the configuration, which routes "/" to @service.
 */
static void write_version(struct fixture *fixture, int version,
			  const char *service)
{
	g_autofree char *text = g_strdup_printf(
		"{\"version\":%d,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
		"\"prefix\":\"/\",\"routeType\":\"idempotent\","
		"\"timeoutMs\":1500,\"service\":\"%s\"}],\"services\":["
		"{\"name\":\"x\",\"maxConnections\":9},"
		"{\"name\":\"y\",\"maxConnections\":9}]}",
		version, service);

	fake_store_write(&fixture->store, "op/config", text);
	net_advance(&fixture->net, 300);
}

static void write_replica(struct fixture *fixture, const char *id,
			  const char *service, const char *zone,
			  const char *state, int sequence)
{
	g_autofree char *key = g_strdup_printf("servers/%s", id);
	struct sockaddr_in address =
		net_address(!strcmp(id, "x1")	? REPLICA_X
			    : !strcmp(id, "y1") ? REPLICA_Y
						: REPLICA_OTHER);
	char endpoint[CS_ENDPOINT_TEXT_SIZE];
	g_autofree char *text = NULL;

	cs_endpoint_print(&address, endpoint);
	text = g_strdup_printf("{\"service\":\"%s\",\"address\":\"%s\","
			       "\"zone\":\"%s\",\"version\":\"v\","
			       "\"slots\":3,\"state\":\"%s\","
			       "\"warmupLeftMs\":0,\"sequence\":%d}",
			       service, endpoint, zone, state, sequence);
	fake_store_write(&fixture->store, key, text);
	net_advance(&fixture->net, 300);
}

static void fixture_open(struct fixture *fixture)
{
	memset(fixture, 0, sizeof(*fixture));
	fixture->net = net_create();
	cs_clock_advance(fixture->net.clock, 100 * CS_US_PER_S);
	fake_store_open(&fixture->store, &fixture->net, STORE);
	fixture->x = net_server_create(&fixture->net, REPLICA_X, GOOD, false);
	fixture->y = net_server_create(&fixture->net, REPLICA_Y, GOOD, false);
	daemon_start_alone(&fixture->net, &fixture->daemon, "a");
	fixture->daemon.settings.bounds.drain_us = 3 * CS_US_PER_S;
	forward_engine_reload(fixture->daemon.engine,
			      &fixture->daemon.settings);
	write_replica(fixture, "x1", "x", "a", "ready", 1);
	write_replica(fixture, "x2", "x", "b", "ready", 1);
	write_replica(fixture, "y1", "y", "a", "ready", 1);
	write_version(fixture, 4, "x");
	fixture->daemon.settings.platform = net_address(STORE);
	fixture->feed = platform_feed_create(fixture->net.loop,
					     &fixture->daemon.settings.platform,
					     fixture->daemon.engine);
	net_advance(&fixture->net, 300);
}

static void fixture_close(struct fixture *fixture)
{
	daemon_stop(&fixture->daemon);
	platform_feed_destroy(fixture->feed);
	fake_store_close(&fixture->store);
	net_server_destroy(fixture->x);
	net_server_destroy(fixture->y);
	net_destroy(&fixture->net);
}

/* Return: the configuration of an exported item. */
static struct route_table *decode_item(const struct platform_item *item)
{
	const char *base64 =
		item->encoded_table ? item->encoded_table : item->value;
	gsize length;
	guchar *raw = g_base64_decode(base64, &length);
	g_autoptr(GBytes) bytes = g_bytes_new_take(raw, length);
	struct route_table *table;
	json_t *document;
	int error;

	if (item->encoded_table)
		return route_table_decode(bytes);
	document = platform_decode_value(item->value, NULL);
	table = platform_decode_table(document, &error, NULL);
	json_decref(document);
	return table;
}

/* Return: the answer of one of the daemon's addresses. */
static char *ask(struct fixture *fixture, const struct sockaddr_in *address,
		 const char *target)
{
	struct net_client *client = net_connect(&fixture->net, address);
	g_autofree char *text = g_strdup_printf(
		"GET %s HTTP/1.1\r\nHost: h\r\nId: r1\r\n\r\n", target);
	char *answer;

	net_send(client, text);
	net_run_until_idle(&fixture->net);
	net_read(client);
	answer = g_strdup(client->received->str);
	net_close(client);
	return answer;
}

/* Return: the version in force. */
static gint64 version(struct fixture *fixture)
{
	g_autofree char *metrics =
		ask(fixture, &fixture->daemon.settings.metrics, "/metrics");
	const char *line = strstr(metrics, "\ncuminsail_table_version ");

	ck_assert_ptr_nonnull(line);
	return g_ascii_strtoll(strchr(line + 1, ' '), NULL, 10);
}

/* Return: the routing view that the daemon gives to a peer that has none. */
static struct platform_page *view(struct fixture *fixture)
{
	g_autofree char *answer =
		ask(fixture, &fixture->daemon.settings.control,
		    "/v1/follow?control=127.0.0.1:9&zone=a&after=0&history=0");
	const char *body = strstr(answer, "\r\n\r\n");
	json_t *document = cs_json_parse(body + 4, strlen(body + 4), NULL);
	const char *compressed =
		json_string_value(json_object_get(document, "picture"));
	g_autofree char *text = NULL;
	struct platform_page *page;
	json_t *json;

	ck_assert_ptr_nonnull(compressed);
	text = cs_decompress_text(compressed, 1000000, NULL);
	json_decref(document);
	json = cs_json_parse(text, strlen(text), NULL);
	page = platform_decode_page(json, NULL);
	json_decref(json);
	ck_assert_ptr_nonnull(page);
	return page;
}

static const struct platform_item *find_item(const struct platform_page *page,
					     const char *key)
{
	for (guint i = 0; i < page->items->len; i++) {
		const struct platform_item *item = page->items->pdata[i];

		if (!strcmp(item->key, key))
			return item;
	}
	return NULL;
}

/* Checks where a request is sent. */
static void check_route(struct fixture *fixture, const char *service)
{
	struct net_server *server =
		!strcmp(service, "x") ? fixture->x : fixture->y;
	guint before = server->requests;
	g_autofree char *answer =
		ask(fixture, &fixture->daemon.settings.caller, "/1");

	ck_assert_msg(server->requests == before + 1, "not sent to %s: %s",
		      service, answer);
}

/* Checks the version in force, the one that peers get, and where they route to.
 */
static void check_version(struct fixture *fixture, gint64 expected,
			  const char *service)
{
	struct platform_page *page = view(fixture);
	const struct platform_item *item = find_item(page, "op/config");
	struct route_table *table;
	const struct route *route;

	ck_assert_int_eq(version(fixture), expected);
	check_route(fixture, service);
	ck_assert_ptr_nonnull(item);
	table = decode_item(item);
	ck_assert_ptr_nonnull(table);
	ck_assert_int_eq(table->version, expected);
	route = route_table_find(table, "h", "/1");
	ck_assert_str_eq(route->service, service);
	route_table_unref(table);
	platform_page_destroy(page);
}

/* Return: whether a request may be sent to a replica now. */
static bool is_usable(struct fixture *fixture, const char *id)
{
	struct route_fleet *fleet =
		forward_engine_fleet(fixture->daemon.engine);
	gint64 now = cs_clock_now(fixture->net.clock);

	/* Each of at most five is found with near certainty. */
	for (int i = 0; i < 200; i++) {
		const struct route_replica *replica =
			route_fleet_random_other(fleet, NULL, now);

		if (replica && !strcmp(replica->id, id))
			return true;
	}
	return false;
}

/* Return: whether peers get a key. */
static bool is_exported(struct fixture *fixture, const char *key)
{
	struct platform_page *page = view(fixture);
	const struct platform_item *item = find_item(page, key);
	bool exported = item && !platform_item_removed(item);

	platform_page_destroy(page);
	return exported;
}

/* Guards against a confirmed version being followed by an older one: the copy
 * has version 4, and the lost versions are written again one after the other.
 */
START_TEST(the_copys_older_version_does_not_replace_a_confirmed_one)
{
	struct fixture fixture;

	fixture_open(&fixture);
	fake_store_copy(&fixture.store);
	write_version(&fixture, 6, "x");
	write_version(&fixture, 9, "y");
	fake_store_restore(&fixture.store);
	net_advance(&fixture.net, 500);
	check_version(&fixture, 9, "y");
	write_version(&fixture, 6, "x");
	check_version(&fixture, 9, "y");
	write_version(&fixture, 9, "y");
	net_advance(&fixture.net, 70000);
	check_version(&fixture, 9, "y");
	write_version(&fixture, 11, "x");
	check_version(&fixture, 11, "x");
	fixture_close(&fixture);
}
END_TEST

/* Guards against a version that was given out again being ignored because a
 * lost one had its number. */
START_TEST(a_number_of_a_lost_version_may_name_other_content)
{
	struct fixture fixture;

	fixture_open(&fixture);
	fake_store_copy(&fixture.store);
	write_version(&fixture, 9, "x");
	fake_store_restore(&fixture.store);
	write_version(&fixture, 9, "y");
	check_version(&fixture, 9, "y");
	fixture_close(&fixture);
}
END_TEST

/* Guards against a lost version staying in force for ever although the operator
 * gave it up. */
START_TEST(a_lost_version_that_is_not_written_again_ends)
{
	struct fixture fixture;

	fixture_open(&fixture);
	fake_store_copy(&fixture.store);
	write_version(&fixture, 9, "y");
	fake_store_restore(&fixture.store);
	write_version(&fixture, 5, "x");
	net_advance(&fixture.net, 20000);
	check_version(&fixture, 9, "y");
	net_advance(&fixture.net, 50000);
	check_version(&fixture, 5, "x");
	write_version(&fixture, 6, "y");
	check_version(&fixture, 6, "y");
	fixture_close(&fixture);
}
END_TEST

/* Guards against a lost version that never ends because the range that was to
 * end it was interrupted. */
START_TEST(a_lost_version_ends_although_the_last_range_is_interrupted)
{
	struct fixture fixture;

	fixture_open(&fixture);
	fake_store_copy(&fixture.store);
	write_version(&fixture, 9, "y");
	fake_store_restore(&fixture.store);
	write_version(&fixture, 5, "x");
	net_advance(&fixture.net, 50000);
	/* The store does not answer the range. */
	fixture.store.silent_ranges = true;
	net_advance(&fixture.net, 15000);
	ck_assert_int_eq(version(&fixture), 9);
	fixture.store.silent_ranges = false;
	net_advance(&fixture.net, 5000);
	check_version(&fixture, 5, "x");
	fixture_close(&fixture);
}
END_TEST

/* Guards against an invalid version being taken, or the last good one being
 * dropped, when the invalid one is written again. */
START_TEST(an_invalid_version_that_is_written_again_is_refused_again)
{
	struct fixture fixture;

	fixture_open(&fixture);
	fake_store_copy(&fixture.store);
	write_version(&fixture, 9, "y");
	fake_store_write(&fixture.store, "op/config", "{\"version\":10}");
	net_advance(&fixture.net, 300);
	fake_store_restore(&fixture.store);
	net_advance(&fixture.net, 300);
	fake_store_write(&fixture.store, "op/config", "{\"version\":10}");
	net_advance(&fixture.net, 300);
	check_version(&fixture, 9, "y");
	write_version(&fixture, 10, "x");
	check_version(&fixture, 10, "x");
	fixture_close(&fixture);
}
END_TEST

/* Guards against requests to a zone that was taken out: the copy lacks the
 * operator's confirmed evacuation. */
START_TEST(an_evacuation_that_the_copy_lacks_stays_until_it_is_ended)
{
	struct fixture fixture;

	fixture_open(&fixture);
	fake_store_copy(&fixture.store);
	fake_store_write(&fixture.store, "op/evacuate/b", "{}");
	net_advance(&fixture.net, 300);
	ck_assert(!is_usable(&fixture, "x2"));
	fake_store_restore(&fixture.store);
	net_advance(&fixture.net, 20000);
	ck_assert(!is_usable(&fixture, "x2"));
	ck_assert(is_exported(&fixture, "op/evacuate/b"));
	/* Written again, and ended by the operator. */
	fake_store_write(&fixture.store, "op/evacuate/b", "{}");
	net_advance(&fixture.net, 60000);
	ck_assert(!is_usable(&fixture, "x2"));
	fake_store_write(&fixture.store, "op/evacuate/b", NULL);
	net_advance(&fixture.net, 300);
	ck_assert(is_usable(&fixture, "x2"));
	ck_assert(!is_exported(&fixture, "op/evacuate/b"));
	fixture_close(&fixture);
}
END_TEST

/* Guards against a zone staying out for ever although the operator gave its
 * lost evacuation up. */
START_TEST(an_evacuation_that_is_not_written_again_ends)
{
	struct fixture fixture;

	fixture_open(&fixture);
	fake_store_copy(&fixture.store);
	fake_store_write(&fixture.store, "op/evacuate/b", "{}");
	net_advance(&fixture.net, 300);
	fake_store_restore(&fixture.store);
	net_advance(&fixture.net, 50000);
	ck_assert(!is_usable(&fixture, "x2"));
	net_advance(&fixture.net, 20000);
	ck_assert(is_usable(&fixture, "x2"));
	fixture_close(&fixture);
}
END_TEST

/* Guards against requests to a zone that the store lists as taken out: the end
 * of the evacuation is lost. */
START_TEST(an_evacuation_in_the_copy_counts_until_it_is_ended_again)
{
	struct fixture fixture;

	fixture_open(&fixture);
	fake_store_write(&fixture.store, "op/evacuate/b", "{}");
	net_advance(&fixture.net, 300);
	fake_store_copy(&fixture.store);
	fake_store_write(&fixture.store, "op/evacuate/b", NULL);
	net_advance(&fixture.net, 300);
	ck_assert(is_usable(&fixture, "x2"));
	fake_store_restore(&fixture.store);
	net_advance(&fixture.net, 300);
	ck_assert(!is_usable(&fixture, "x2"));
	fake_store_write(&fixture.store, "op/evacuate/b", NULL);
	net_advance(&fixture.net, 300);
	ck_assert(is_usable(&fixture, "x2"));
	fixture_close(&fixture);
}
END_TEST

/* Guards against requests to a replica that leaves: the copy lists it as ready,
 * as it was before it said so. */
START_TEST(a_leaving_replica_that_the_copy_lists_as_ready_gets_no_requests)
{
	struct fixture fixture;

	fixture_open(&fixture);
	fake_store_copy(&fixture.store);
	write_replica(&fixture, "x2", "x", "b", "draining", 7);
	fake_store_restore(&fixture.store);
	net_advance(&fixture.net, 10000);
	ck_assert(!is_usable(&fixture, "x2"));
	/* It is written again, and leaves. */
	write_replica(&fixture, "x2", "x", "b", "draining", 9);
	ck_assert(!is_usable(&fixture, "x2"));
	fake_store_write(&fixture.store, "servers/x2", NULL);
	net_advance(&fixture.net, 300);
	/* Another one starts under its id. */
	write_replica(&fixture, "x2", "x", "b", "ready", 1);
	ck_assert(is_usable(&fixture, "x2"));
	fixture_close(&fixture);
}
END_TEST

/* Guards against requests to a replica that has gone: the copy still lists it,
 * until its entry lapses. */
START_TEST(a_gone_replica_that_the_copy_lists_gets_no_requests)
{
	struct fixture fixture;

	fixture_open(&fixture);
	fake_store_copy(&fixture.store);
	fake_store_write(&fixture.store, "servers/x2", NULL);
	net_advance(&fixture.net, 3000);
	ck_assert(!is_usable(&fixture, "x2"));
	fake_store_restore(&fixture.store);
	for (int i = 0; i < 40; i++) {
		net_advance(&fixture.net, 100);
		ck_assert(!is_usable(&fixture, "x2"));
	}
	fake_store_write(&fixture.store, "servers/x2", NULL);
	for (int i = 0; i < 60; i++) {
		net_advance(&fixture.net, 100);
		ck_assert(!is_usable(&fixture, "x2"));
	}
	fixture_close(&fixture);
}
END_TEST

/* Guards against a replica that lives staying unused: its entry had lapsed
 * before the store came back, and the copy lists it. */
START_TEST(a_live_replica_that_the_copy_lists_is_used_again)
{
	static const struct {
		bool rewritten;
		gint64 ms;
	} cases[] = {{true, 300}, {false, 8000}};

	for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture fixture;

		fixture_open(&fixture);
		fake_store_copy(&fixture.store);
		fake_store_write(&fixture.store, "servers/x2", NULL);
		net_advance(&fixture.net, 3000);
		fake_store_restore(&fixture.store);
		net_advance(&fixture.net, 300);
		if (cases[i].rewritten)
			write_replica(&fixture, "x2", "x", "b", "ready", 9);
		net_advance(&fixture.net, cases[i].ms);
		ck_assert_msg(is_usable(&fixture, "x2"), "case %zu", i);
		fixture_close(&fixture);
	}
}
END_TEST

/* Guards against live replicas that stay unused after the second of two
 * returns: they were missing from the first copy for longer than a lapse. */
START_TEST(replicas_that_one_copy_lacked_are_used_after_the_next)
{
	struct fixture fixture;

	fixture_open(&fixture);
	fake_store_copy(&fixture.store);
	write_replica(&fixture, "x3", "x", "a", "ready", 1);
	fake_store_restore(&fixture.store);
	net_advance(&fixture.net, 3000);
	ck_assert(!is_usable(&fixture, "x3"));
	/* It is written again in the third era, before the range is read. */
	fixture.store.era++;
	write_replica(&fixture, "x3", "x", "a", "ready", 5);
	ck_assert(is_usable(&fixture, "x3"));
	fixture_close(&fixture);
}
END_TEST

/* Guards against the loss of replicas that started after the copy was made, and
 * against requests to those that do not come back. */
START_TEST(replicas_that_the_copy_lacks_are_kept_for_two_seconds)
{
	struct fixture fixture;

	fixture_open(&fixture);
	fake_store_copy(&fixture.store);
	write_replica(&fixture, "x3", "x", "a", "ready", 1);
	write_replica(&fixture, "x4", "x", "a", "ready", 1);
	fake_store_restore(&fixture.store);
	for (int i = 0; i < 18; i++) {
		net_advance(&fixture.net, 100);
		ck_assert(is_usable(&fixture, "x3"));
		ck_assert(is_usable(&fixture, "x4"));
	}
	write_replica(&fixture, "x3", "x", "a", "ready", 5);
	net_advance(&fixture.net, 1500);
	ck_assert(is_usable(&fixture, "x3"));
	ck_assert(!is_usable(&fixture, "x4"));
	fixture_close(&fixture);
}
END_TEST

/* Guards against a change that was made after the store's return being taken
 * for the copy's, as it is read in the first range. */
START_TEST(a_replica_that_leaves_before_the_first_range_gets_no_requests)
{
	struct fixture fixture;

	fixture_open(&fixture);
	write_replica(&fixture, "x2", "x", "b", "ready", 4);
	fake_store_copy(&fixture.store);
	write_version(&fixture, 9, "x");
	/* Both in one turn, without a range in between. */
	fixture.store.era++;
	write_replica(&fixture, "x2", "x", "b", "draining", 6);
	ck_assert(!is_usable(&fixture, "x2"));
	fixture_close(&fixture);
}
END_TEST

UNIT_MAIN("restored", the_copys_older_version_does_not_replace_a_confirmed_one,
	  a_number_of_a_lost_version_may_name_other_content,
	  a_lost_version_that_is_not_written_again_ends,
	  a_lost_version_ends_although_the_last_range_is_interrupted,
	  an_invalid_version_that_is_written_again_is_refused_again,
	  an_evacuation_that_the_copy_lacks_stays_until_it_is_ended,
	  an_evacuation_that_is_not_written_again_ends,
	  an_evacuation_in_the_copy_counts_until_it_is_ended_again,
	  a_leaving_replica_that_the_copy_lists_as_ready_gets_no_requests,
	  a_gone_replica_that_the_copy_lists_gets_no_requests,
	  a_live_replica_that_the_copy_lists_is_used_again,
	  replicas_that_one_copy_lacked_are_used_after_the_next,
	  replicas_that_the_copy_lacks_are_kept_for_two_seconds,
	  a_replica_that_leaves_before_the_first_range_gets_no_requests)
