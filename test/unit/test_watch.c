/* The calls that wait for the platform's documents. */
#include "net.h"
#include "unit.h"

#include "cuminsail/endpoint.h"
#include "cuminsail/platform.h"

enum { PLATFORM = 60 };

struct fixture {
	struct net net;
	struct net_server *server;
	struct settings settings;
	struct cs_counters *counters;
	struct platform *platform;
	guint unchanged; /* answers that there is no newer list */
};

static bool on_config(gint64 revision, GPtrArray *files, void *user)
{
	return true;
}

static bool on_list(json_t *document, gint64 read_sent_us, void *user)
{
	return true;
}

static void on_list_unchanged(gint64 read_sent_us, void *user)
{
	((struct fixture *)user)->unchanged++;
}

/* Guards against a list that counts as out of date between two calls: the
 * platform closes kept connections instead of answering the next call. */
START_TEST(a_kept_connection_that_was_closed_is_opened_again_at_once)
{
	struct fixture fixture = {0};
	struct platform_hooks hooks = {on_config, on_list, on_list_unchanged,
				       &fixture};
	struct sockaddr_in address = net_address(PLATFORM);
	char endpoint[CS_ENDPOINT_TEXT_SIZE];
	g_auto(GStrv) fields = NULL;

	fixture.net = net_create();
	fixture.server = net_server_create(&fixture.net, PLATFORM, NULL, false);
	fixture.server->hold = true;
	cs_endpoint_print(&address, endpoint);
	fields = g_strsplit(endpoint, ":", 2);
	fixture.settings.platform.address = fields[0];
	fixture.settings.platform.port = ntohs(address.sin_port);
	fixture.counters = cs_counters_create();
	fixture.platform = platform_create(fixture.net.loop, &fixture.settings,
					   fixture.counters, &hooks);
	for (int i = 0; i < 20; i++) {
		bool answer = i % 2 == 0;

		net_advance(&fixture.net, 100);
		fixture.server->reply =
			answer ? "HTTP/1.1 204 No Content\r\n\r\n" : NULL;
		fixture.server->close_after = !answer;
		net_server_reply_held(fixture.server);
	}
	net_run_until_idle(&fixture.net);
	ck_assert_uint_eq(fixture.unchanged, 10);
	ck_assert_uint_eq(
		cs_counters_get(fixture.counters, CS_N_PLATFORM_ERRORS), 0);
	platform_destroy(fixture.platform);
	cs_counters_destroy(fixture.counters);
	net_server_destroy(fixture.server);
	net_destroy(&fixture.net);
}
END_TEST

UNIT_MAIN("watch", a_kept_connection_that_was_closed_is_opened_again_at_once)
