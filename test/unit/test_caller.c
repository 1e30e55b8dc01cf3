/* Tests the callers' HTTP server over loopback with a manual clock. */
#include "net.h"
#include "unit.h"

#include "cuminsail/endpoint.h"

#include <string.h>

#define QUERY_HEADERS "POST /v1/services/s/query HTTP/1.1\r\nHost: h\r\n"
#define QUERY_BODY    "{\"query\":{\"text\":\"x\"}}"
#define QUERY	      QUERY_HEADERS "Content-Length: 22\r\n\r\n" QUERY_BODY
#define BODY_MAX      200
#define RECEIVE_MS    300
#define IDLE_MS	      1000
#define HEADER_LINES  2000
#define SERVER_PORT   120

struct fixture {
	struct net net;
	struct settings settings;
	struct cs_counters *counters;
	struct caller_server *server;
	struct caller_exchange *exchange; /* of the last request */
	struct sockaddr_in address;
	guint requests; /* calls of on_request() */
	guint disconnects; /* calls of on_disconnected() */
	bool defer_reply; /* on_request() sends no reply */
};

static void on_request(struct caller_exchange *exchange,
		       const struct caller_request *request, void *user)
{
	struct fixture *fixture = user;

	fixture->requests++;
	fixture->exchange = exchange;
	if (!fixture->defer_reply)
		caller_exchange_reply(
			exchange, json_pack("{s:s}", "outcome", "answered"));
}

static void on_disconnected(struct caller_exchange *exchange, void *user)
{
	struct fixture *fixture = user;

	ck_assert_ptr_eq(exchange, fixture->exchange);
	fixture->disconnects++;
}

static struct fixture *create_fixture(void)
{
	struct fixture *fixture = g_new0(struct fixture, 1);
	struct caller_hooks hooks = {on_request, on_disconnected, fixture};
	char text[CS_ENDPOINT_TEXT_SIZE];
	g_autofree char *why = NULL;

	fixture->net = net_create();
	fixture->address = net_address(SERVER_PORT);
	cs_endpoint_print(&fixture->address, text);
	*strchr(text, ':') = '\0';
	fixture->settings.caller.address = g_strdup(text);
	fixture->settings.caller.port = ntohs(fixture->address.sin_port);
	fixture->settings.body_max = BODY_MAX;
	fixture->settings.receive_ms = RECEIVE_MS;
	fixture->settings.idle_ms = IDLE_MS;
	fixture->counters = cs_counters_create();
	fixture->server =
		caller_server_create(fixture->net.loop, &fixture->settings,
				     fixture->counters, &hooks, &why);
	ck_assert_msg(fixture->server, "%s", why);
	return fixture;
}

static void destroy_fixture(struct fixture *fixture)
{
	caller_server_destroy(fixture->server);
	net_destroy(&fixture->net);
	cs_counters_destroy(fixture->counters);
	g_free(fixture->settings.caller.address);
	g_free(fixture);
}

/* Sends @text on a new connection, advances the clock by @ms milliseconds and
 * returns what was received. */
static char *send_and_read(struct fixture *fixture, const char *text, gint64 ms)
{
	struct net_client *client =
		net_connect(&fixture->net, &fixture->address);
	char *received;

	net_send(client, text);
	net_advance(&fixture->net, ms);
	net_read(client);
	received = g_strdup(client->received->str);
	net_close(client);
	net_run_until_idle(&fixture->net);
	return received;
}

/*
 * Guards against requests that are too large, too slow or malformed but reach
 * on_request() or get no reply. Each must get a refusal with the outcome
 * "not-run", since it did not reach an upstream.
 */
START_TEST(invalid_requests_get_a_status_and_a_result_code)
{
	GString *oversized_headers = g_string_new(QUERY_HEADERS);
	static const char *const over_limit_by_length =
		QUERY_HEADERS "Content-Length: 201\r\n\r\n";
	g_autofree char *chunk = g_strnfill(150, 'x');
	g_autofree char *over_limit_by_chunks = g_strdup_printf(
		QUERY_HEADERS "Transfer-Encoding: chunked\r\n\r\n"
			      "96\r\n%s\r\n96\r\n%s\r\n0\r\n\r\n",
		chunk, chunk);
	struct {
		const char *text;
		gint64 ms;
		const char *status;
		int code;
	} cases[] = {
		{NULL, 1, "431", CS_E_TOO_LARGE},
		{over_limit_by_length, 1, "413", CS_E_TOO_LARGE},
		{over_limit_by_chunks, 1, "413", CS_E_TOO_LARGE},
		{"hello\r\n\r\n", 1, "400", CS_E_HEADER},
		{QUERY_HEADERS, RECEIVE_MS + 1, "408", CS_E_SLOW},
		{QUERY_HEADERS "Content-Length: 22\r\n\r\n{", RECEIVE_MS + 1,
		 "408", CS_E_SLOW},
		{"POST /v1/services/s%2 HTTP/1.1\r\nHost: h\r\n"
		 "Content-Length: 0\r\n\r\n",
		 1, "404", CS_E_PATH},
		{"GET /v1/services/s/query HTTP/1.1\r\nHost: h\r\n\r\n", 1,
		 "405", CS_E_METHOD},
		{QUERY_HEADERS "Content-Length: 1\r\n\r\n{", 1, "400",
		 CS_E_JSON},
	};
	struct fixture *fixture = create_fixture();

	for (int i = 0; i < HEADER_LINES; i++)
		g_string_append(oversized_headers, "X: yyyyyyyyyyyyyyyy\r\n");
	cases[0].text = oversized_headers->str;
	for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *received =
			send_and_read(fixture, cases[i].text, cases[i].ms);
		g_autofree char *status =
			g_strconcat("HTTP/1.1 ", cases[i].status, NULL);

		ck_assert_msg(g_str_has_prefix(received, status),
			      "case %zu: %s", i, received);
		ck_assert_ptr_nonnull(
			strstr(received, "\"outcome\":\"not-run\""));
		ck_assert_msg(strstr(received, cs_error_name(cases[i].code)) !=
				      NULL,
			      "case %zu: %s", i, received);
		ck_assert_ptr_nonnull(strstr(received, "\"request_id\":\""));
	}
	ck_assert_uint_eq(fixture->requests, 0);
	g_string_free(oversized_headers, TRUE);
	destroy_fixture(fixture);
}
END_TEST

/* Three requests arrive in one write. None may be lost or merged. */
START_TEST(each_pipelined_request_is_answered)
{
	struct fixture *fixture = create_fixture();
	g_autofree char *received =
		send_and_read(fixture, QUERY QUERY QUERY, 1);
	guint answers = 0;

	for (const char *p = received; (p = strstr(p, "HTTP/1.1 200")); p++)
		answers++;
	ck_assert_uint_eq(answers, 3);
	ck_assert_uint_eq(fixture->requests, 3);
	destroy_fixture(fixture);
}
END_TEST

/* A caller disconnects before the reply. on_disconnected() must be called
 * once, and the request must no longer count as open. */
START_TEST(a_disconnect_is_reported_once)
{
	struct fixture *fixture = create_fixture();
	struct net_client *client =
		net_connect(&fixture->net, &fixture->address);

	fixture->defer_reply = true;
	net_send(client, QUERY);
	net_run_until_idle(&fixture->net);
	ck_assert_uint_eq(fixture->requests, 1);
	ck_assert_uint_eq(caller_server_open_requests(fixture->server), 1);
	net_close(client);
	net_run_until_idle(&fixture->net);
	ck_assert_uint_eq(fixture->disconnects, 1);
	ck_assert_uint_eq(caller_server_open_requests(fixture->server), 0);
	destroy_fixture(fixture);
}
END_TEST

/* A partly received request counts as open, so that a shutdown waits for it. */
START_TEST(a_partly_received_request_completes_during_a_drain)
{
	struct fixture *fixture = create_fixture();
	struct net_client *client =
		net_connect(&fixture->net, &fixture->address);

	net_send(client, QUERY_HEADERS "Content-Length: 22\r\n");
	net_run_until_idle(&fixture->net);
	ck_assert_uint_eq(caller_server_open_requests(fixture->server), 1);
	caller_server_drain(fixture->server);
	net_send(client, "\r\n" QUERY_BODY);
	net_run_until_idle(&fixture->net);
	net_read(client);
	ck_assert(g_str_has_prefix(client->received->str, "HTTP/1.1 200"));
	ck_assert_ptr_nonnull(
		strstr(client->received->str, "Connection: close"));
	net_close(client);
	destroy_fixture(fixture);
}
END_TEST

START_TEST(an_idle_connection_is_closed)
{
	struct fixture *fixture = create_fixture();
	struct net_client *client =
		net_connect(&fixture->net, &fixture->address);

	net_advance(&fixture->net, IDLE_MS - 10);
	net_read(client);
	ck_assert(!client->closed);
	net_advance(&fixture->net, 20);
	net_read(client);
	ck_assert(client->closed);
	net_close(client);
	destroy_fixture(fixture);
}
END_TEST

UNIT_MAIN("caller", invalid_requests_get_a_status_and_a_result_code,
	  each_pipelined_request_is_answered, a_disconnect_is_reported_once,
	  a_partly_received_request_completes_during_a_drain,
	  an_idle_connection_is_closed)
