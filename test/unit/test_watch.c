/* The calls that wait for the platform's documents. */
#include "answers.h"
#include "net.h"
#include "unit.h"

#include "cuminsail/endpoint.h"
#include "cuminsail/platform.h"

#include <string.h>

enum { PLATFORM = 60 };

struct fixture {
	struct net net;
	struct net_server *server;
	struct settings settings;
	char **fields; /* address and port of the platform */
	struct cs_counters *counters;
	struct platform *platform;
	guint documents; /* accepted */
	guint unchanged; /* answers that there is no newer list */
};

static bool on_config(gint64 revision, GPtrArray *files, void *user)
{
	((struct fixture *)user)->documents++;
	return true;
}

static bool on_list(json_t *document, gint64 read_sent_us, void *user)
{
	((struct fixture *)user)->documents++;
	return true;
}

static void on_list_unchanged(gint64 read_sent_us, void *user)
{
	((struct fixture *)user)->unchanged++;
}

static void fixture_open(struct fixture *fixture)
{
	struct platform_hooks hooks = {on_config, on_list, on_list_unchanged,
				       fixture};
	struct sockaddr_in address = net_address(PLATFORM);
	char endpoint[CS_ENDPOINT_TEXT_SIZE];

	memset(fixture, 0, sizeof(*fixture));
	fixture->net = net_create();
	fixture->server =
		net_server_create(&fixture->net, PLATFORM, NULL, false);
	fixture->server->hold = true;
	cs_endpoint_print(&address, endpoint);
	fixture->fields = g_strsplit(endpoint, ":", 2);
	fixture->settings.platform.address = fixture->fields[0];
	fixture->settings.platform.port = ntohs(address.sin_port);
	fixture->counters = cs_counters_create();
	fixture->platform =
		platform_create(fixture->net.loop, &fixture->settings,
				fixture->counters, &hooks);
}

static void fixture_close(struct fixture *fixture)
{
	platform_destroy(fixture->platform);
	cs_counters_destroy(fixture->counters);
	net_server_destroy(fixture->server);
	g_strfreev(fixture->fields);
	net_destroy(&fixture->net);
}

/* Guards against a list that counts as out of date between two calls: the
 * platform closes kept connections instead of answering the next call. */
START_TEST(a_kept_connection_that_was_closed_is_opened_again_at_once)
{
	struct fixture fixture;

	fixture_open(&fixture);
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
	fixture_close(&fixture);
}
END_TEST

/* Guards against a configuration or a list that is read from a broken answer.
 */
START_TEST(a_broken_answer_of_the_platform_changes_nothing)
{
	static const char body[] = "{\"revision\":3,\"files\":{}}";

	for (gsize i = 0; i < answers_broken.n; i++) {
		const char *template = answers_broken.templates[i];
		g_autofree char *broken = answers_print(template, "", body);
		g_autofree char *sound =
			answers_print(answers_sound.templates[0], "", body);
		struct fixture fixture;

		fixture_open(&fixture);
		fixture.server->reply = broken;
		fixture.server->close_after = true;
		net_advance(&fixture.net, 1);
		net_server_reply_held(fixture.server);
		net_run_until_idle(&fixture.net);
		ck_assert_msg(!fixture.documents && !fixture.unchanged, "%s",
			      template);
		ck_assert_uint_eq(
			cs_counters_get(fixture.counters, CS_N_PLATFORM_ERRORS),
			2);
		fixture.server->reply = sound;
		net_advance(&fixture.net, 700);
		net_server_reply_held(fixture.server);
		net_run_until_idle(&fixture.net);
		ck_assert_uint_eq(fixture.documents, 2);
		fixture_close(&fixture);
	}
}
END_TEST

UNIT_MAIN("watch", a_kept_connection_that_was_closed_is_opened_again_at_once,
	  a_broken_answer_of_the_platform_changes_nothing)
