/* The HTTP core: messages, the server's side, the client's side. */
#include "net.h"
#include "unit.h"

#include <string.h>

static const struct http1_limits small = {.header_bytes = 400,
					  .body_bytes = 64};

/* ---- messages ---- */

struct message_case {
	const char *bytes;
	enum http1_state state;
	const char *body; /* of a complete one */
};

/* Feed one byte at a time: no state depends on how bytes are cut. */
static enum http1_state feed(struct http1_reader *reader, const char *bytes,
			     gsize step)
{
	enum http1_state state = HTTP1_MORE;
	gsize length = strlen(bytes);
	gsize used;

	for (gsize at = 0; at < length && state == HTTP1_MORE; at += step)
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
			http1_reader_create(requests, &small);
		enum http1_state state = feed(reader, c->bytes, steps[i % 3]);
		const GByteArray *body = http1_reader_message(reader)->body;

		ck_assert_msg(state == c->state, "case %zu step %zu: %d", i / 3,
			      steps[i % 3], state);
		if (c->body)
			ck_assert_mem_eq(body->data, c->body, strlen(c->body));
		http1_reader_destroy(reader);
	}
}

#define LINES_10 "A: 0123456789\r\nA: 0123456789\r\nA: 0123456789\r\n"
#define LINES_30 LINES_10 LINES_10 LINES_10
#define BODY_64                                                                \
	"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

START_TEST(requests_are_whole_or_refused)
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
		{"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", HTTP1_MORE,
		 NULL},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab",
		 HTTP1_MORE, NULL},
		/* Two lengths, or a length and chunks: whose end is it? */
		{"POST / HTTP/1.1\r\nContent-Length: 3\r\n"
		 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		 HTTP1_BAD, NULL},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
		 "Content-Length: 3\r\n\r\n0\r\n\r\n",
		 HTTP1_BAD, NULL},
		{"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n"
		 "\r\nabcd",
		 HTTP1_BAD, NULL},
		{"POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\nabc", HTTP1_BAD,
		 NULL},
		{"POST / HTTP/1.1\r\nContent-Length: 3x\r\n\r\nabc", HTTP1_BAD,
		 NULL},
		{"POST / HTTP/1.1\r\nContent-Length: "
		 "99999999999999999999999\r\n\r\n",
		 HTTP1_BAD, NULL},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\nab",
		 HTTP1_BAD, NULL},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
		 "zz\r\nab\r\n",
		 HTTP1_BAD, NULL},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
		 "fffffffffffffffff\r\n",
		 HTTP1_BAD, NULL},
		{"GET / HTTP/1.1\r\nA\001: b\r\n\r\n", HTTP1_BAD, NULL},
		{"GET / HTTP/1.1\r\nA b: c\r\n\r\n", HTTP1_BAD, NULL},
		{"GET  HTTP/1.1\r\n\r\n", HTTP1_BAD, NULL},
		{"BREW / HTTP/1.1\r\n\r\n", HTTP1_BAD, NULL},
		{"GET / HTTP/9.9.9\r\n\r\n", HTTP1_BAD, NULL},
		{"CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n", HTTP1_BAD, NULL},
		{"GET / HTTP/1.1\r\n" LINES_30 LINES_30 LINES_30 LINES_30
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

START_TEST(answers_are_whole_or_refused)
{
	static const struct message_case cases[] = {
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		 HTTP1_COMPLETE, "ok"},
		{"HTTP/1.1 100 Continue\r\n\r\n"
		 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		 HTTP1_COMPLETE, "ok"},
		{"HTTP/1.1 204 No Content\r\n\r\n", HTTP1_COMPLETE, NULL},
		{"HTTP/1.1 200 OK\r\n\r\nok", HTTP1_MORE, NULL},
		{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", HTTP1_MORE,
		 NULL},
		{"nonsense", HTTP1_BAD, NULL},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
		 "Transfer-Encoding: chunked\r\n\r\nok",
		 HTTP1_BAD, NULL},
	};

	check_cases(false, cases, G_N_ELEMENTS(cases));
}
END_TEST

START_TEST(an_end_completes_only_a_body_without_length)
{
	static const struct {
		const char *bytes;
		enum http1_state state;
	} cases[] = {
		{"HTTP/1.1 200 OK\r\n\r\nok", HTTP1_COMPLETE},
		{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", HTTP1_BAD},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok",
		 HTTP1_BAD},
		{"HTTP/1.1 200 OK\r\nServer", HTTP1_BAD},
		{"", HTTP1_BAD},
	};

	for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct http1_reader *reader =
			http1_reader_create(false, &small);

		ck_assert_int_eq(feed(reader, cases[i].bytes, 4096),
				 HTTP1_MORE);
		ck_assert_int_eq(http1_reader_eof(reader), cases[i].state);
		http1_reader_destroy(reader);
	}
}
END_TEST

static void collect(const char *name, const char *value, void *user)
{
	g_string_append_printf(user, "%s=%s;", name, value);
}

START_TEST(lines_of_one_connection_are_not_passed_on)
{
	struct http1_reader *reader = http1_reader_create(true, &small);
	g_autoptr(GString) seen = g_string_new(NULL);

	feed(reader,
	     "GET / HTTP/1.1\r\nHost: x\r\nConnection: close, x-Hop\r\n"
	     "X-Hop: 1\r\nKeep-Alive: 2\r\nTE: t\r\nEmpty:\r\nX-End: 3\r\n\r\n",
	     4096);
	http1_message_each(http1_reader_message(reader), collect, seen);
	ck_assert_str_eq(seen->str, "Host=x;Empty=;X-End=3;");
	http1_reader_destroy(reader);
}
END_TEST

/* Random bytes and damaged requests never confuse the reader. */
START_TEST(damaged_bytes_never_pass_the_limits)
{
	static const char good[] =
		"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
		"\r\n4\r\nabcd\r\n0\r\n\r\n";
	GRand *random = g_rand_new_with_seed(20261204);

	for (int i = 0; i < 20000; i++) {
		struct http1_reader *reader =
			http1_reader_create(i % 2, &small);
		char bytes[sizeof(good)];
		gsize used = 0;

		memcpy(bytes, good, sizeof(good));
		for (int k = g_rand_int_range(random, 0, 6); k > 0; k--)
			bytes[g_rand_int_range(random, 0, sizeof(good) - 1)] =
				(char)g_rand_int_range(random, 0, 256);
		http1_reader_feed(reader, bytes, sizeof(good) - 1, &used);
		ck_assert_uint_le(used, sizeof(good) - 1);
		ck_assert_uint_le(http1_reader_message(reader)->body->len,
				  small.body_bytes);
		http1_reader_destroy(reader);
	}
	g_rand_free(random);
}
END_TEST

/* ---- the server's side ---- */

struct echo {
	struct net net;
	struct http1_server_limits limits;
	struct http1_server *server;
	struct sockaddr_in at;
	guint gone;
	struct http1_exchange *held; /* the last one, when holding */
	bool hold;
};

static void on_request(struct http1_exchange *exchange,
		       const struct http1_message *request, void *user)
{
	struct echo *echo = user;
	struct http1_reply reply = {
		.status = 200,
		.body = request->target->str,
		.length = request->target->len,
	};

	echo->held = exchange;
	if (!echo->hold)
		http1_exchange_reply(exchange, &reply);
}

static void on_gone(struct http1_exchange *exchange, void *user)
{
	((struct echo *)user)->gone++;
}

static void echo_start(struct echo *echo)
{
	struct http1_server_hooks hooks = {on_request, on_gone, NULL, echo};

	memset(echo, 0, sizeof(*echo));
	echo->net = net_create();
	echo->limits.message = small;
	echo->limits.head_us = 3000 * MS;
	echo->limits.idle_us = 15000 * MS;
	echo->limits.connections = 4;
	echo->at = net_address(1);
	echo->server = http1_server_create(echo->net.loop, &echo->at,
					   &echo->limits, &hooks);
	ck_assert_ptr_nonnull(echo->server);
}

static void echo_stop(struct echo *echo)
{
	http1_server_destroy(echo->server);
	net_destroy(&echo->net);
}

START_TEST(the_server_answers_in_order_and_refuses_what_is_bad)
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
		{"GET / HTTP/1.1\r\n" LINES_30 LINES_30 LINES_30 LINES_30
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
		struct echo echo;
		struct net_client *client;
		const char *at;

		echo_start(&echo);
		client = net_connect(&echo.net, &echo.at);
		net_send(client, cases[i].bytes);
		net_settle(&echo.net);
		net_read(client);
		at = client->got->str;
		for (int k = 0; k < 3 && cases[i].status[k]; k++) {
			at = strstr(at, cases[i].status[k]);
			ck_assert_msg(at != NULL, "case %zu: %s", i,
				      client->got->str);
		}
		ck_assert_msg(client->closed == cases[i].closed, "case %zu", i);
		net_close(client);
		echo_stop(&echo);
	}
}
END_TEST

START_TEST(slow_and_idle_callers_are_ended_by_the_clock)
{
	struct echo echo;
	struct net_client *slow;
	struct net_client *idle;

	echo_start(&echo);
	slow = net_connect(&echo.net, &echo.at);
	idle = net_connect(&echo.net, &echo.at);
	net_send(slow, "GET / HT");
	net_pass(&echo.net, 2999);
	net_read(slow);
	ck_assert_str_eq(slow->got->str, "");
	net_pass(&echo.net, 2);
	net_read(slow);
	ck_assert_ptr_nonnull(strstr(slow->got->str, "408 Request Timeout"));
	net_pass(&echo.net, 11997);
	net_read(idle);
	ck_assert(!idle->closed);
	net_pass(&echo.net, 5);
	net_read(idle);
	ck_assert(idle->closed);
	net_close(slow);
	net_close(idle);
	echo_stop(&echo);
}
END_TEST

START_TEST(a_caller_that_leaves_is_noticed_at_once)
{
	struct echo echo;
	struct net_client *client;

	echo_start(&echo);
	echo.hold = true;
	client = net_connect(&echo.net, &echo.at);
	net_send(client, "GET / HTTP/1.1\r\n\r\n");
	net_settle(&echo.net);
	ck_assert_uint_eq(http1_server_open(echo.server), 1);
	net_close(client);
	net_settle(&echo.net);
	ck_assert_uint_eq(echo.gone, 1);
	ck_assert_uint_eq(http1_server_connections(echo.server), 0);
	echo_stop(&echo);
}
END_TEST

/*
 * hunt, pliega-busca scale-1 seed 343623404747: a request came on a kept
 * connection in the turn in which the daemon ended, was sent on and cut.
 */
START_TEST(a_retired_server_takes_no_request_and_finishes_the_open_one)
{
	struct echo echo;
	struct net_client *kept;
	struct net_client *busy;
	struct http1_reply reply = {.status = 200};

	echo_start(&echo);
	kept = net_connect(&echo.net, &echo.at);
	net_send(kept, "GET /1 HTTP/1.1\r\n\r\n");
	net_settle(&echo.net);
	echo.hold = true;
	busy = net_connect(&echo.net, &echo.at);
	net_send(busy, "GET /2 HTTP/1.1\r\n\r\n");
	net_settle(&echo.net);
	net_send(kept, "GET /3 HTTP/1.1\r\n\r\n");
	http1_server_retire(echo.server);
	net_settle(&echo.net);
	ck_assert_uint_eq(http1_server_connections(echo.server), 1);
	http1_exchange_reply(echo.held, &reply);
	net_settle(&echo.net);
	net_read(busy);
	ck_assert_ptr_nonnull(strstr(busy->got->str, "Connection: close"));
	net_read(kept);
	ck_assert(kept->closed);
	ck_assert_ptr_null(strstr(kept->got->str, "/3"));
	net_close(kept);
	net_close(busy);
	echo_stop(&echo);
}
END_TEST

/* ---- the client's side ---- */

struct caller {
	struct net net;
	struct net_script *script;
	struct http1_call *call;
	guint answers;
	guint skip; /* answers to pass over */
	bool reusable; /* by the word of the call, during the answer */
	int ended; /* -1, or why */
};

static void on_connected(struct http1_call *call, void *user)
{
}

static bool on_answer(struct http1_call *call,
		      const struct http1_message *answer, void *user)
{
	struct caller *caller = user;

	if (caller->skip) {
		caller->skip--;
		return false;
	}
	caller->answers++;
	caller->reusable = http1_call_idle(call);
	return true;
}

static void on_ended(struct http1_call *call, enum http1_failure why,
		     void *user)
{
	struct caller *caller = user;

	caller->ended = (int)why;
	caller->call = NULL;
}

#define OK_2 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

START_TEST(what_the_end_of_a_call_proves)
{
	static const struct {
		const char *reply;
		bool close;
		guint skip;
		guint answers;
		int ended;
		bool idle; /* another request may follow */
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
		struct caller caller = {.skip = cases[i].skip, .ended = -1};
		struct http1_call_hooks hooks = {on_connected, on_answer,
						 on_ended, &caller};
		GString *head = g_string_new("GET / HTTP/1.1\r\n\r\n");
		const char *reply = *cases[i].reply ? cases[i].reply : NULL;
		struct sockaddr_in at = net_address(2);

		caller.net = net_create();
		caller.script = net_script_create(&caller.net, 2, reply,
						  cases[i].close);
		caller.call =
			http1_call_open(caller.net.loop, &at, &small, &hooks);
		http1_call_send(caller.call, head, NULL, 0, false);
		net_settle(&caller.net);
		ck_assert_msg(caller.answers == cases[i].answers, "case %zu",
			      i);
		ck_assert_msg(caller.ended == cases[i].ended, "case %zu: %d", i,
			      caller.ended);
		/* Bytes behind an answer: no request may follow there. */
		if (strlen(cases[i].reply) > strlen(OK_2) && !cases[i].skip)
			ck_assert_msg(!caller.reusable, "case %zu", i);
		if (caller.call) {
			ck_assert_msg(http1_call_idle(caller.call) ==
					      cases[i].idle,
				      "case %zu", i);
			http1_call_close(caller.call);
		}
		ck_assert_uint_eq(caller.script->requests, 1);
		net_script_destroy(caller.script);
		net_destroy(&caller.net);
		g_string_free(head, TRUE);
	}
}
END_TEST

START_TEST(no_listener_means_not_connected)
{
	struct caller caller = {.ended = -1, .net = net_create()};
	struct http1_call_hooks hooks = {on_connected, on_answer, on_ended,
					 &caller};
	struct sockaddr_in at = net_address(3);

	caller.call = http1_call_open(caller.net.loop, &at, &small, &hooks);
	net_settle(&caller.net);
	ck_assert(caller.ended == HTTP1_NOT_CONNECTED || !caller.call);
	net_destroy(&caller.net);
}
END_TEST

UNIT_MAIN("http1", requests_are_whole_or_refused, answers_are_whole_or_refused,
	  an_end_completes_only_a_body_without_length,
	  lines_of_one_connection_are_not_passed_on,
	  damaged_bytes_never_pass_the_limits,
	  the_server_answers_in_order_and_refuses_what_is_bad,
	  slow_and_idle_callers_are_ended_by_the_clock,
	  a_caller_that_leaves_is_noticed_at_once,
	  a_retired_server_takes_no_request_and_finishes_the_open_one,
	  what_the_end_of_a_call_proves, no_listener_means_not_connected)
