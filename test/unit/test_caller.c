/* Callers' connections over loopback, under a clock that only tests advance. */
#include "net.h"
#include "unit.h"

#include "cuminsail/endpoint.h"

#include <string.h>

#define QUERY_HEAD  "POST /v1/services/s/query HTTP/1.1\r\nHost: h\r\n"
#define QUERY_TEXT  "{\"query\":{\"text\":\"x\"}}"
#define QUERY	    QUERY_HEAD "Content-Length: 22\r\n\r\n" QUERY_TEXT
#define BODY_MAX    200
#define RECEIVE_MS  300
#define IDLE_MS	    1000
#define MANY_LINES  2000
#define SERVER_PORT 120

struct served {
	struct net net;
	struct settings settings;
	struct cs_counters *counters;
	struct caller_server *server;
	struct caller_exchange *open; /* the last that was begun */
	struct sockaddr_in at;
	guint begun;
	guint gone;
	bool hold; /* does not reply by itself */
};

static void on_begin(struct caller_exchange *exchange,
		     const struct caller_request *request, void *user)
{
	struct served *served = user;

	served->begun++;
	served->open = exchange;
	if (!served->hold)
		caller_exchange_reply(
			exchange, json_pack("{s:s}", "outcome", "answered"));
}

static void on_gone(struct caller_exchange *exchange, void *user)
{
	struct served *served = user;

	ck_assert_ptr_eq(exchange, served->open);
	served->gone++;
}

static struct served *serve(void)
{
	struct served *served = g_new0(struct served, 1);
	struct caller_hooks hooks = {on_begin, on_gone, served};
	char text[CS_ENDPOINT_TEXT];
	g_autofree char *why = NULL;

	served->net = net_create();
	served->at = net_address(SERVER_PORT);
	cs_endpoint_print(&served->at, text);
	*strchr(text, ':') = '\0';
	served->settings.caller.address = g_strdup(text);
	served->settings.caller.port = ntohs(served->at.sin_port);
	served->settings.body_max = BODY_MAX;
	served->settings.receive_ms = RECEIVE_MS;
	served->settings.idle_ms = IDLE_MS;
	served->counters = cs_counters_create();
	served->server =
		caller_server_create(served->net.loop, &served->settings,
				     served->counters, &hooks, &why);
	ck_assert_msg(served->server, "%s", why);
	return served;
}

static void stop(struct served *served)
{
	caller_server_destroy(served->server);
	net_destroy(&served->net);
	cs_counters_destroy(served->counters);
	g_free(served->settings.caller.address);
	g_free(served);
}

/* What a new connection gets for some bytes, after a time. */
static char *get(struct served *served, const char *text, gint64 ms)
{
	struct net_client *client = net_connect(&served->net, &served->at);
	char *got;

	net_send(client, text);
	net_pass(&served->net, ms);
	net_read(client);
	got = g_strdup(client->got->str);
	net_close(client);
	net_settle(&served->net);
	return got;
}

START_TEST(bad_requests_get_a_status_a_code_and_a_counter)
{
	GString *flood = g_string_new(QUERY_HEAD);
	static const char *const by_length =
		QUERY_HEAD "Content-Length: 201\r\n\r\n";
	g_autofree char *part = g_strnfill(150, 'x');
	g_autofree char *by_chunks =
		g_strdup_printf(QUERY_HEAD "Transfer-Encoding: chunked\r\n\r\n"
					   "96\r\n%s\r\n96\r\n%s\r\n0\r\n\r\n",
				part, part);
	struct {
		const char *text;
		gint64 ms;
		const char *status;
		int code;
	} cases[] = {
		{NULL, 1, "431", CS_E_TOO_LARGE},
		{by_length, 1, "413", CS_E_TOO_LARGE},
		{by_chunks, 1, "413", CS_E_TOO_LARGE},
		{"hello\r\n\r\n", 1, "400", CS_E_HEADER},
		{QUERY_HEAD, RECEIVE_MS + 1, "408", CS_E_SLOW},
		{QUERY_HEAD "Content-Length: 22\r\n\r\n{", RECEIVE_MS + 1,
		 "408", CS_E_SLOW},
		{"POST /v1/services/s%2 HTTP/1.1\r\nHost: h\r\n"
		 "Content-Length: 0\r\n\r\n",
		 1, "404", CS_E_PATH},
		{"GET /v1/services/s/query HTTP/1.1\r\nHost: h\r\n\r\n", 1,
		 "405", CS_E_METHOD},
		{QUERY_HEAD "Content-Length: 1\r\n\r\n{", 1, "400", CS_E_JSON},
	};
	struct served *served = serve();

	for (int i = 0; i < MANY_LINES; i++)
		g_string_append(flood, "X: yyyyyyyyyyyyyyyy\r\n");
	cases[0].text = flood->str;
	for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *got = get(served, cases[i].text, cases[i].ms);
		g_autofree char *status =
			g_strconcat("HTTP/1.1 ", cases[i].status, NULL);

		ck_assert_msg(g_str_has_prefix(got, status), "case %zu: %s", i,
			      got);
		ck_assert_ptr_nonnull(strstr(got, "\"outcome\":\"not-run\""));
		ck_assert_msg(strstr(got, cs_error_name(cases[i].code)) != NULL,
			      "case %zu: %s", i, got);
		ck_assert_ptr_nonnull(strstr(got, "\"request_id\":\""));
	}
	ck_assert_uint_eq(served->begun, 0);
	g_string_free(flood, TRUE);
	stop(served);
}
END_TEST

START_TEST(each_request_on_a_connection_gets_its_own_answer)
{
	struct served *served = serve();
	g_autofree char *got = get(served, QUERY QUERY QUERY, 1);
	guint answers = 0;

	for (const char *p = got; (p = strstr(p, "HTTP/1.1 200")); p++)
		answers++;
	ck_assert_uint_eq(answers, 3);
	ck_assert_uint_eq(served->begun, 3);
	stop(served);
}
END_TEST

START_TEST(a_caller_that_leaves_is_noticed_once)
{
	struct served *served = serve();
	struct net_client *client = net_connect(&served->net, &served->at);

	served->hold = true;
	net_send(client, QUERY);
	net_settle(&served->net);
	ck_assert_uint_eq(served->begun, 1);
	ck_assert_uint_eq(caller_server_open(served->server), 1);
	net_close(client);
	net_settle(&served->net);
	ck_assert_uint_eq(served->gone, 1);
	ck_assert_uint_eq(caller_server_open(served->server), 0);
	stop(served);
}
END_TEST

/* A request that has begun counts as open, so that a stop waits for it. */
START_TEST(a_request_being_read_is_open_and_a_drain_lets_it_end)
{
	struct served *served = serve();
	struct net_client *client = net_connect(&served->net, &served->at);

	net_send(client, QUERY_HEAD "Content-Length: 22\r\n");
	net_settle(&served->net);
	ck_assert_uint_eq(caller_server_open(served->server), 1);
	caller_server_drain(served->server);
	net_send(client, "\r\n" QUERY_TEXT);
	net_settle(&served->net);
	net_read(client);
	ck_assert(g_str_has_prefix(client->got->str, "HTTP/1.1 200"));
	ck_assert_ptr_nonnull(strstr(client->got->str, "Connection: close"));
	net_close(client);
	stop(served);
}
END_TEST

START_TEST(an_idle_connection_is_closed)
{
	struct served *served = serve();
	struct net_client *client = net_connect(&served->net, &served->at);

	net_pass(&served->net, IDLE_MS - 10);
	net_read(client);
	ck_assert(!client->closed);
	net_pass(&served->net, 20);
	net_read(client);
	ck_assert(client->closed);
	net_close(client);
	stop(served);
}
END_TEST

UNIT_MAIN("caller", bad_requests_get_a_status_a_code_and_a_counter,
	  each_request_on_a_connection_gets_its_own_answer,
	  a_caller_that_leaves_is_noticed_once,
	  a_request_being_read_is_open_and_a_drain_lets_it_end,
	  an_idle_connection_is_closed)
