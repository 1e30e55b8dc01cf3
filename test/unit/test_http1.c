/* Tests of HTTP/1.1 messages, server and client connections. */
#include "net.h"
#include "unit.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static const struct http1_limits small_limits = {.header_bytes = 400,
						 .body_bytes = 64};

/* ---- messages ---- */

struct message_case {
	const char *bytes;
	enum http1_reader_state state;
	const char *body; /* of a complete message, or NULL */
};

/* Parses bytes in pieces of step bytes. The state must not depend on how the
 * bytes are split. */
static enum http1_reader_state feed_in_steps(struct http1_reader *reader,
					     const char *bytes, gsize step)
{
	enum http1_reader_state state = HTTP1_INCOMPLETE;
	gsize length = strlen(bytes);
	gsize used;

	for (gsize at = 0; at < length && state == HTTP1_INCOMPLETE; at += step)
		state = http1_reader_feed(reader, bytes + at,
					  MIN(step, length - at), &used);
	return state;
}

static void check_cases(bool requests, const struct message_case *cases,
			gsize n)
{
	static const gsize steps[] = {1, 7, 4096};

	for (gsize i = 0; i < n * G_N_ELEMENTS(steps); i++) {
		const struct message_case *c = &cases[i / 3];
		struct http1_reader *reader =
			http1_reader_create(requests, &small_limits);
		enum http1_reader_state state =
			feed_in_steps(reader, c->bytes, steps[i % 3]);
		const GByteArray *body = http1_reader_message(reader)->body;

		ck_assert_msg(state == c->state, "case %zu step %zu: %d", i / 3,
			      steps[i % 3], state);
		if (c->body)
			ck_assert_mem_eq(body->data, c->body, strlen(c->body));
		http1_reader_destroy(reader);
	}
}

#define HEADERS_3 "A: 0123456789\r\nA: 0123456789\r\nA: 0123456789\r\n"
#define HEADERS_9 HEADERS_3 HEADERS_3 HEADERS_3
#define BODY_64                                                                \
	"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

START_TEST(parses_or_rejects_requests)
{
	static const struct message_case cases[] = {
		{"GET /a/b?c=d HTTP/1.1\r\nHost: x\r\n\r\n", HTTP1_COMPLETE,
		 NULL},
		{"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc",
		 HTTP1_COMPLETE, "abc"},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
		 "2\r\nab\r\n1;x=y\r\nc\r\n0\r\nTrailer: t\r\n\r\n",
		 HTTP1_COMPLETE, "abc"},
		{"GET / HTTP/1.1\r\nUpgrade: h2c\r\nConnection: upgrade\r\n"
		 "\r\n",
		 HTTP1_COMPLETE, NULL},
		{"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab",
		 HTTP1_INCOMPLETE, NULL},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab",
		 HTTP1_INCOMPLETE, NULL},
		/* Two lengths, or a length and chunks: the end of the body is
		 * ambiguous. */
		{"POST / HTTP/1.1\r\nContent-Length: 3\r\n"
		 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		 HTTP1_INVALID, NULL},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
		 "Content-Length: 3\r\n\r\n0\r\n\r\n",
		 HTTP1_INVALID, NULL},
		{"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n"
		 "\r\nabcd",
		 HTTP1_INVALID, NULL},
		{"POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\nabc",
		 HTTP1_INVALID, NULL},
		{"POST / HTTP/1.1\r\nContent-Length: 3x\r\n\r\nabc",
		 HTTP1_INVALID, NULL},
		{"POST / HTTP/1.1\r\nContent-Length: "
		 "99999999999999999999999\r\n\r\n",
		 HTTP1_INVALID, NULL},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\nab",
		 HTTP1_INVALID, NULL},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
		 "zz\r\nab\r\n",
		 HTTP1_INVALID, NULL},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
		 "fffffffffffffffff\r\n",
		 HTTP1_INVALID, NULL},
		{"GET / HTTP/1.1\r\nA\001: b\r\n\r\n", HTTP1_INVALID, NULL},
		{"GET / HTTP/1.1\r\nA b: c\r\n\r\n", HTTP1_INVALID, NULL},
		{"GET / HTTP/1.1\r\nA: \001\r\n\r\n", HTTP1_INVALID, NULL},
		{"GET / HTTP/1.1\r\nA:\177b\r\n\r\n", HTTP1_INVALID, NULL},
		{"GET / HTTP/1.1\r\nA: b\001\r\n\r\n", HTTP1_INVALID, NULL},
		{"GET / HTTP/1.1\r\nA:\tb\377\r\n\r\n", HTTP1_COMPLETE, NULL},
		{"GET  HTTP/1.1\r\n\r\n", HTTP1_INVALID, NULL},
		{"BREW / HTTP/1.1\r\n\r\n", HTTP1_INVALID, NULL},
		{"GET / HTTP/9.9.9\r\n\r\n", HTTP1_INVALID, NULL},
		{"CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n", HTTP1_INVALID,
		 NULL},
		{"GET / HTTP/1.1\r\n" HEADERS_9 HEADERS_9 HEADERS_9 HEADERS_9
		 "\r\n",
		 HTTP1_HEAD_TOO_LARGE, NULL},
		{"POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n" BODY_64 "x",
		 HTTP1_BODY_TOO_LARGE, NULL},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
		 "40\r\n" BODY_64 "\r\n1\r\nx\r\n0\r\n\r\n",
		 HTTP1_BODY_TOO_LARGE, NULL},
	};

	check_cases(true, cases, G_N_ELEMENTS(cases));
}
END_TEST

START_TEST(parses_or_rejects_answers)
{
	static const struct message_case cases[] = {
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		 HTTP1_COMPLETE, "ok"},
		{"HTTP/1.1 100 Continue\r\n\r\n"
		 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		 HTTP1_COMPLETE, "ok"},
		{"HTTP/1.1 204 No Content\r\n\r\n", HTTP1_COMPLETE, NULL},
		{"HTTP/1.1 200 OK\r\n\r\nok", HTTP1_INCOMPLETE, NULL},
		{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok",
		 HTTP1_INCOMPLETE, NULL},
		{"nonsense", HTTP1_INVALID, NULL},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
		 "Transfer-Encoding: chunked\r\n\r\nok",
		 HTTP1_INVALID, NULL},
	};

	check_cases(false, cases, G_N_ELEMENTS(cases));
}
END_TEST

START_TEST(eof_completes_only_a_body_without_length)
{
	static const struct {
		const char *bytes;
		enum http1_reader_state state;
	} cases[] = {
		{"HTTP/1.1 200 OK\r\n\r\nok", HTTP1_COMPLETE},
		{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok",
		 HTTP1_INVALID},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok",
		 HTTP1_INVALID},
		{"HTTP/1.1 200 OK\r\nServer", HTTP1_INVALID},
		{"", HTTP1_INVALID},
	};

	for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct http1_reader *reader =
			http1_reader_create(false, &small_limits);

		ck_assert_int_eq(feed_in_steps(reader, cases[i].bytes, 4096),
				 HTTP1_INCOMPLETE);
		ck_assert_int_eq(http1_reader_eof(reader), cases[i].state);
		http1_reader_destroy(reader);
	}
}
END_TEST

static void collect(const char *name, const char *value, void *user)
{
	g_string_append_printf(user, "%s=%s;", name, value);
}

START_TEST(skips_hop_by_hop_headers)
{
	struct http1_reader *reader = http1_reader_create(true, &small_limits);
	g_autoptr(GString) seen = g_string_new(NULL);

	feed_in_steps(
		reader,
		"GET / HTTP/1.1\r\nHost: x\r\nConnection: close, x-Hop\r\n"
		"X-Hop: 1\r\nKeep-Alive: 2\r\nTE: t\r\nEmpty:\r\n"
		"X-End: 3\r\n\r\n",
		4096);
	http1_message_foreach_end_to_end(http1_reader_message(reader), collect,
					 seen);
	ck_assert_str_eq(seen->str, "Host=x;Empty=;X-End=3;");
	http1_reader_destroy(reader);
}
END_TEST

/* Random damage to a message (fixed seed) must not make the reader use more
 * bytes than it was given or exceed the body limit. */
START_TEST(damaged_messages_stay_within_the_limits)
{
	static const char good[] =
		"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
		"\r\n4\r\nabcd\r\n0\r\n\r\n";
	GRand *random = g_rand_new_with_seed(20261204);

	for (int i = 0; i < 20000; i++) {
		struct http1_reader *reader =
			http1_reader_create(i % 2, &small_limits);
		char bytes[sizeof(good)];
		gsize used = 0;

		memcpy(bytes, good, sizeof(good));
		for (int k = g_rand_int_range(random, 0, 6); k > 0; k--)
			bytes[g_rand_int_range(random, 0, sizeof(good) - 1)] =
				(char)g_rand_int_range(random, 0, 256);
		http1_reader_feed(reader, bytes, sizeof(good) - 1, &used);
		ck_assert_uint_le(used, sizeof(good) - 1);
		ck_assert_uint_le(http1_reader_message(reader)->body->len,
				  small_limits.body_bytes);
		http1_reader_destroy(reader);
	}
	g_rand_free(random);
}
END_TEST

/* ---- server ---- */

/* A server that replies with the target of each request. */
struct test_server {
	struct net net;
	struct http1_server_limits limits;
	struct http1_server *server;
	struct sockaddr_in address;
	guint n_disconnected; /* calls of the disconnected callback */
	struct http1_exchange *last; /* of the last request */
	bool delay_replies; /* do not reply in the request callback */
};

static void on_request(struct http1_exchange *exchange,
		       const struct http1_message *request, void *user)
{
	struct test_server *test = user;
	struct http1_reply reply = {
		.status = 200,
		.body = request->target->str,
		.body_length = request->target->len,
	};

	test->last = exchange;
	if (!test->delay_replies)
		http1_exchange_reply(exchange, &reply);
}

static void on_disconnected(struct http1_exchange *exchange, void *user)
{
	((struct test_server *)user)->n_disconnected++;
}

static void start_server(struct test_server *test)
{
	struct http1_server_hooks hooks = {on_request, on_disconnected, NULL,
					   test};

	memset(test, 0, sizeof(*test));
	test->net = net_create();
	test->limits.message = small_limits;
	test->limits.request_timeout_us = 3000 * MS;
	test->limits.idle_timeout_us = 15000 * MS;
	test->limits.connections_max = 4;
	test->address = net_address(1);
	test->server = http1_server_create(test->net.loop, &test->address,
					   &test->limits, &hooks);
	ck_assert_ptr_nonnull(test->server);
}

static void stop_server(struct test_server *test)
{
	http1_server_destroy(test->server);
	net_destroy(&test->net);
}

START_TEST(server_answers_in_order_and_rejects_invalid_requests)
{
	static const struct {
		const char *bytes;
		const char *status[3]; /* of the answers, in order */
		bool closed;
	} cases[] = {
		{"GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n",
		 {"200 OK", "200 OK"},
		 false},
		{"GET /1 HTTP/1.1\r\nConnection: close\r\n\r\n"
		 "GET /2 HTTP/1.1\r\n\r\n",
		 {"200 OK"},
		 true},
		{"GET /1 HTTP/1.1\r\n\r\nnonsense\r\n\r\n"
		 "GET /2 HTTP/1.1\r\n\r\n",
		 {"200 OK", "400 Bad"},
		 true},
		{"GET / HTTP/1.1\r\n" HEADERS_9 HEADERS_9 HEADERS_9 HEADERS_9
		 "\r\n",
		 {"431 Request"},
		 true},
		{"POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\n",
		 {"413 Payload"},
		 true},
		{"POST / HTTP/1.1\r\nContent-Length: 1\r\n"
		 "Expect: 100-continue\r\n\r\n",
		 {"100 Continue"},
		 false},
	};

	for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct test_server test;
		struct net_client *client;
		const char *at;

		start_server(&test);
		client = net_connect(&test.net, &test.address);
		net_send(client, cases[i].bytes);
		net_run_until_idle(&test.net);
		net_read(client);
		at = client->received->str;
		for (int k = 0; k < 3 && cases[i].status[k]; k++) {
			at = strstr(at, cases[i].status[k]);
			ck_assert_msg(at != NULL, "case %zu: %s", i,
				      client->received->str);
		}
		ck_assert_msg(client->closed == cases[i].closed, "case %zu", i);
		net_close(client);
		stop_server(&test);
	}
}
END_TEST

START_TEST(server_closes_slow_and_idle_connections)
{
	struct test_server test;
	struct net_client *slow;
	struct net_client *idle;

	start_server(&test);
	slow = net_connect(&test.net, &test.address);
	idle = net_connect(&test.net, &test.address);
	net_send(slow, "GET / HT");
	net_advance(&test.net, 2999);
	net_read(slow);
	ck_assert_str_eq(slow->received->str, "");
	net_advance(&test.net, 2);
	net_read(slow);
	ck_assert_ptr_nonnull(
		strstr(slow->received->str, "408 Request Timeout"));
	net_advance(&test.net, 11997);
	net_read(idle);
	ck_assert(!idle->closed);
	net_advance(&test.net, 5);
	net_read(idle);
	ck_assert(idle->closed);
	net_close(slow);
	net_close(idle);
	stop_server(&test);
}
END_TEST

START_TEST(server_reports_a_disconnected_caller)
{
	struct test_server test;
	struct net_client *client;

	start_server(&test);
	test.delay_replies = true;
	client = net_connect(&test.net, &test.address);
	net_send(client, "GET / HTTP/1.1\r\n\r\n");
	net_run_until_idle(&test.net);
	ck_assert_uint_eq(http1_server_open_exchanges(test.server), 1);
	net_close(client);
	net_run_until_idle(&test.net);
	ck_assert_uint_eq(test.n_disconnected, 1);
	ck_assert_uint_eq(http1_server_connection_count(test.server), 0);
	stop_server(&test);
}
END_TEST

/*
 * A server that is shutting down must not process a new request. In a
 * randomized run (hunt, pliega-busca scale-1, seed 343623404747), a request
 * arrived on a keep-alive connection in the loop iteration in which the daemon
 * exited: it was forwarded and then aborted.
 */
START_TEST(stopping_server_finishes_only_the_open_request)
{
	struct test_server test;
	struct net_client *keep_alive;
	struct net_client *busy;
	struct http1_reply reply = {.status = 200};

	start_server(&test);
	keep_alive = net_connect(&test.net, &test.address);
	net_send(keep_alive, "GET /1 HTTP/1.1\r\n\r\n");
	net_run_until_idle(&test.net);
	test.delay_replies = true;
	busy = net_connect(&test.net, &test.address);
	net_send(busy, "GET /2 HTTP/1.1\r\n\r\n");
	net_run_until_idle(&test.net);
	net_send(keep_alive, "GET /3 HTTP/1.1\r\n\r\n");
	http1_server_stop_accepting(test.server);
	net_run_until_idle(&test.net);
	ck_assert_uint_eq(http1_server_connection_count(test.server), 1);
	http1_exchange_reply(test.last, &reply);
	net_run_until_idle(&test.net);
	net_read(busy);
	ck_assert_ptr_nonnull(strstr(busy->received->str, "Connection: close"));
	net_read(keep_alive);
	ck_assert(keep_alive->closed);
	ck_assert_ptr_null(strstr(keep_alive->received->str, "/3"));
	net_close(keep_alive);
	net_close(busy);
	stop_server(&test);
}
END_TEST

/* Guards against requests that are cut off at a planned stop although their
 * connections are established: the kernel has not passed them on yet. */
START_TEST(stopping_server_answers_the_connections_in_its_queue)
{
	enum { CONNECTIONS = 50 };
	struct net_client *clients[CONNECTIONS];
	struct test_server test;

	start_server(&test);
	test.limits.connections_max = CONNECTIONS;
	for (int i = 0; i < CONNECTIONS; i++) {
		clients[i] = net_connect_only(&test.address);
		net_send(clients[i], "GET /1 HTTP/1.1\r\n\r\n");
	}
	http1_server_stop_accepting(test.server);
	net_run_until_idle(&test.net);
	for (int i = 0; i < CONNECTIONS; i++) {
		net_read(clients[i]);
		ck_assert_msg(strstr(clients[i]->received->str, "/1") != NULL,
			      "connection %d", i);
		net_close(clients[i]);
	}
	net_run_until_idle(&test.net);
	ck_assert_uint_eq(http1_server_connection_count(test.server), 0);
	stop_server(&test);
}
END_TEST

/* ---- client ---- */

/* A client connection and what its callbacks reported. */
struct test_client {
	struct net net;
	struct net_server *server;
	struct http1_client *client;
	guint answers;
	guint skip; /* number of answers to skip */
	bool reusable; /* http1_client_idle() in the answer callback */
	int failure; /* enum http1_failure, or -1 while open */
};

static void on_connected(struct http1_client *client, void *user)
{
}

static bool on_answer(struct http1_client *client,
		      const struct http1_message *answer, void *user)
{
	struct test_client *test = user;

	if (test->skip) {
		test->skip--;
		return false;
	}
	test->answers++;
	test->reusable = http1_client_idle(client);
	return true;
}

static void on_closed(struct http1_client *client, enum http1_failure failure,
		      void *user)
{
	struct test_client *test = user;

	test->failure = (int)failure;
	test->client = NULL;
}

#define OK_2 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

START_TEST(client_reports_answers_and_failures)
{
	static const struct {
		const char *reply;
		bool close;
		guint skip;
		guint answers;
		int failure;
		bool idle; /* another request can be sent */
	} cases[] = {
		{OK_2, false, 0, 1, -1, true},
		{OK_2, true, 0, 1, HTTP1_CLOSED, false},
		{OK_2 OK_2, false, 0, 1, HTTP1_CLOSED, false},
		{OK_2 OK_2, false, 1, 1, -1, true},
		{OK_2, false, 1, 0, -1, false},
		{OK_2 "junk", false, 0, 1, HTTP1_CLOSED, false},
		{"", true, 0, 0, HTTP1_CLOSED, false},
		{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", true, 0, 0,
		 HTTP1_BROKEN, false},
		{"HTTP/1.1 200 OK\r\n\r\nok", true, 0, 1, HTTP1_CLOSED, false},
		{"HTTP/1.1 200 OK\r\nConnection: close\r\n"
		 "Content-Length: 2\r\n\r\nok",
		 false, 0, 1, -1, false},
		{"junk", false, 0, 0, HTTP1_BROKEN, false},
	};

	for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct test_client test = {.skip = cases[i].skip,
					   .failure = -1};
		struct http1_client_hooks hooks = {on_connected, on_answer,
						   on_closed, &test};
		GString *head = g_string_new("GET / HTTP/1.1\r\n\r\n");
		const char *reply = *cases[i].reply ? cases[i].reply : NULL;
		struct sockaddr_in address = net_address(2);

		test.net = net_create();
		test.server =
			net_server_create(&test.net, 2, reply, cases[i].close);
		test.client = http1_client_open(test.net.loop, &address,
						&small_limits, &hooks);
		http1_client_send(test.client, head, NULL, 0, false);
		net_run_until_idle(&test.net);
		ck_assert_msg(test.answers == cases[i].answers, "case %zu", i);
		ck_assert_msg(test.failure == cases[i].failure, "case %zu: %d",
			      i, test.failure);
		/* If bytes follow the answer, the connection must not be
		 * reused. */
		if (strlen(cases[i].reply) > strlen(OK_2) && !cases[i].skip)
			ck_assert_msg(!test.reusable, "case %zu", i);
		if (test.client) {
			ck_assert_msg(http1_client_idle(test.client) ==
					      cases[i].idle,
				      "case %zu", i);
			http1_client_close(test.client);
		}
		ck_assert_uint_eq(test.server->requests, 1);
		net_server_destroy(test.server);
		net_destroy(&test.net);
		g_string_free(head, TRUE);
	}
}
END_TEST

/* How the other end ends a connection whose request it does not read. */
enum connection_end {
	END_ORDERLY, /* closes its sending side */
	END_ORDERLY_THEN_RESET,
	END_RESET,
};

static void end_connection(int fd, enum connection_end end)
{
	struct linger discard = {.l_onoff = 1, .l_linger = 0};

	if (end != END_RESET)
		shutdown(fd, SHUT_WR);
	if (end == END_ORDERLY)
		return;
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
	close(fd);
}

/* Guards against a cut answer that is passed on as complete: while the rest of
 * the request was written, the write met the reset, and the next read reported
 * the end of the connection in place of an error. */
START_TEST(an_answer_without_length_is_complete_only_without_a_reset)
{
	enum { LONG_BODY = 8 * 1024 * 1024 };
	static const struct {
		gsize body; /* of the request, in bytes */
		bool read_first; /* the answer is read before the end comes */
		enum connection_end end;
		guint answers;
		int failure;
	} cases[] = {
		{LONG_BODY, true, END_RESET, 0, HTTP1_BROKEN},
		{LONG_BODY, false, END_RESET, 0, HTTP1_BROKEN},
		{2, true, END_RESET, 0, HTTP1_BROKEN},
		{2, false, END_RESET, 0, HTTP1_BROKEN},
		{LONG_BODY, true, END_ORDERLY, 1, HTTP1_CLOSED},
		{LONG_BODY, false, END_ORDERLY, 1, HTTP1_CLOSED},
		{2, true, END_ORDERLY, 1, HTTP1_CLOSED},
		{2, false, END_ORDERLY, 1, HTTP1_CLOSED},
		{LONG_BODY, false, END_ORDERLY_THEN_RESET, 1, HTTP1_CLOSED},
		{2, false, END_ORDERLY_THEN_RESET, 1, HTTP1_CLOSED},
	};
	static const char part[] = "HTTP/1.1 200 OK\r\n\r\npart";

	for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct test_client test = {.failure = -1, .net = net_create()};
		struct http1_client_hooks hooks = {on_connected, on_answer,
						   on_closed, &test};
		g_autofree char *body = g_strnfill(cases[i].body, 'x');
		g_autoptr(GString) head = g_string_new(NULL);
		struct sockaddr_in address = net_address(2);
		int listener = net_listen(2, 1);
		int fd;

		g_string_printf(
			head, "POST / HTTP/1.1\r\nContent-Length: %zu\r\n\r\n",
			cases[i].body);
		test.client = http1_client_open(test.net.loop, &address,
						&small_limits, &hooks);
		http1_client_send(test.client, head, body, cases[i].body,
				  false);
		net_run_until_idle(&test.net);
		fd = accept(listener, NULL, NULL);
		ck_assert_int_ge(fd, 0);
		ck_assert_int_gt(send(fd, part, strlen(part), 0), 0);
		if (cases[i].read_first)
			net_run_until_idle(&test.net);
		end_connection(fd, cases[i].end);
		net_run_until_idle(&test.net);
		ck_assert_msg(test.answers == cases[i].answers,
			      "case %zu: %u answers", i, test.answers);
		ck_assert_msg(test.failure == cases[i].failure, "case %zu: %d",
			      i, test.failure);
		if (cases[i].end == END_ORDERLY)
			close(fd);
		close(listener);
		net_destroy(&test.net);
	}
}
END_TEST

START_TEST(connecting_without_a_listener_fails)
{
	struct test_client test = {.failure = -1, .net = net_create()};
	struct http1_client_hooks hooks = {on_connected, on_answer, on_closed,
					   &test};
	struct sockaddr_in address = net_address(3);

	test.client = http1_client_open(test.net.loop, &address, &small_limits,
					&hooks);
	net_run_until_idle(&test.net);
	ck_assert(test.failure == HTTP1_NOT_CONNECTED || !test.client);
	net_destroy(&test.net);
}
END_TEST

UNIT_MAIN("http1", parses_or_rejects_requests, parses_or_rejects_answers,
	  eof_completes_only_a_body_without_length, skips_hop_by_hop_headers,
	  damaged_messages_stay_within_the_limits,
	  server_answers_in_order_and_rejects_invalid_requests,
	  server_closes_slow_and_idle_connections,
	  server_reports_a_disconnected_caller,
	  stopping_server_finishes_only_the_open_request,
	  stopping_server_answers_the_connections_in_its_queue,
	  client_reports_answers_and_failures,
	  an_answer_without_length_is_complete_only_without_a_reset,
	  connecting_without_a_listener_fails)
