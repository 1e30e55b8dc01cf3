/* Tests the client of the upstreams over loopback: the result of each way in
 * which a call can end, and the use of connections. In most tests a thread is
 * the upstream.
 */
#include "answers.h"
#include "net.h"
#include "unit.h"

#include "cuminsail/endpoint.h"

#include <gio/gio.h>
#include <string.h>

/* When the test's upstream closes a connection. */
enum close_point {
	CLOSE_ON_ACCEPT, /* before reading anything */
	CLOSE_IN_HEADERS, /* after reading a part of the request's headers */
	CLOSE_AFTER_REQUEST, /* after reading the request */
	CLOSE_AFTER_REPLY, /* after writing the reply */
	CLOSE_AFTER_SECOND, /* kept alive; after reading the second request */
};

static struct {
	GSocketListener *listener;
	GThread *thread;
	guint16 port;
	enum close_point close_point;
	const char *reply;
	gint requests; /* complete requests read, on all connections */
	gint connections;
} server;

/* Reads one request. Returns false if the connection ends before it is
 * complete. */
static bool read_request(GIOStream *stream)
{
	GInputStream *input = g_io_stream_get_input_stream(stream);
	GString *text = g_string_new(NULL);
	char buffer[4096];
	bool complete = false;

	while (!complete) {
		gssize n = g_input_stream_read(input, buffer, sizeof(buffer),
					       NULL, NULL);
		const char *body;
		const char *length;

		if (n <= 0)
			break;
		g_string_append_len(text, buffer, n);
		body = strstr(text->str, "\r\n\r\n");
		length = strstr(text->str, "Content-Length: ");
		complete = body && length &&
			   strlen(body + 4) >=
				   g_ascii_strtoull(length + 16, NULL, 10);
	}
	g_string_free(text, TRUE);
	return complete;
}

static void write_reply(GIOStream *stream)
{
	g_output_stream_write_all(g_io_stream_get_output_stream(stream),
				  server.reply, strlen(server.reply), NULL,
				  NULL, NULL);
}

static void serve_connection(GIOStream *stream)
{
	char byte;

	switch (server.close_point) {
	case CLOSE_ON_ACCEPT:
		return;
	case CLOSE_IN_HEADERS:
		g_input_stream_read(g_io_stream_get_input_stream(stream), &byte,
				    1, NULL, NULL);
		return;
	case CLOSE_AFTER_REQUEST:
		if (read_request(stream))
			g_atomic_int_inc(&server.requests);
		return;
	case CLOSE_AFTER_REPLY:
		if (!read_request(stream))
			return;
		g_atomic_int_inc(&server.requests);
		write_reply(stream);
		return;
	case CLOSE_AFTER_SECOND:
		for (int i = 0; i < 2 && read_request(stream); i++) {
			g_atomic_int_inc(&server.requests);
			if (i == 0)
				write_reply(stream);
		}
		return;
	}
}

static gpointer run_server(gpointer user)
{
	GSocketListener *listener = user;
	GSocketConnection *connection;

	while ((connection =
			g_socket_listener_accept(listener, NULL, NULL, NULL))) {
		bool last = server.port == 0;

		if (!last) {
			g_atomic_int_inc(&server.connections);
			serve_connection(G_IO_STREAM(connection));
		}
		g_io_stream_close(G_IO_STREAM(connection), NULL, NULL);
		g_object_unref(connection);
		if (last)
			break;
	}
	return NULL;
}

static void start_server(enum close_point close_point, const char *reply)
{
	memset(&server, 0, sizeof(server));
	server.close_point = close_point;
	server.reply = reply;
	server.listener = g_socket_listener_new();
	server.port = g_socket_listener_add_any_inet_port(server.listener, NULL,
							  NULL);
	server.thread = g_thread_new("upstream", run_server, server.listener);
}

/* Ends the accept loop of the server with a last connection, which port 0
 * marks as the last. */
static void stop_server(void)
{
	g_autoptr(GSocketClient) client = g_socket_client_new();
	GSocketConnection *last;
	guint16 port = server.port;

	server.port = 0;
	last = g_socket_client_connect_to_host(client, "127.0.0.1", port, NULL,
					       NULL);
	g_object_unref(last);
	g_thread_join(server.thread);
	g_socket_listener_close(server.listener);
	g_object_unref(server.listener);
}

struct recorded_reply {
	enum policy_result result;
	bool done;
	bool draining;
	bool cold;
	char *incarnation;
};

static void record_reply(struct upstream_call *call,
			 struct upstream_reply *reply, void *user)
{
	struct recorded_reply *recorded = user;

	recorded->result = reply->result;
	recorded->draining = reply->draining;
	recorded->cold = reply->cold;
	recorded->incarnation = g_strdup(reply->incarnation);
	recorded->done = true;
}

/* Sends an attempt to @port on loopback and waits for the result. */
static struct recorded_reply send_attempt(struct http1_loop *loop,
					  struct upstream_client *client,
					  guint16 port, bool is_order,
					  gint64 attempt)
{
	g_autofree char *address = g_strdup_printf("127.0.0.1:%u", port);
	json_t *body = json_pack("{s:s}", "text", "x");
	struct recorded_reply recorded = {0};
	struct upstream_request request = {
		.service = "s",
		.address = address,
		.request_id = "r",
		.attempt = attempt,
		.incarnation = "i1",
		.deadline_us = 1000 * MS,
		.connections_max = 2,
		.shard = is_order ? NULL : "0",
		.snapshot = "s1",
		.map = 1,
		.hits_max = 10,
		.body = body,
	};

	upstream_call_create(client, &request, record_reply, &recorded);
	while (!recorded.done)
		http1_loop_iterate(loop, true);
	/* Processes the remaining events, so that the client keeps or closes
	 * the connection. */
	while (http1_loop_iterate(loop, false))
		continue;
	json_decref(body);
	return recorded;
}

#define PART_BODY                                                              \
	"{\"request_id\":\"r\",\"attempt\":1,\"shard\":\"0\",\"snapshot\":"    \
	"\"s1\",\"map\":1,\"documents\":9,\"searched\":9,\"hits\":[]}"
#define PART_BODY_LENGTH "103"
#define ORDER_BODY	 "{\"request_id\":\"r\",\"attempt\":1,\"result\":{}}"
#define OK_HEADERS	 "HTTP/1.1 200 OK\r\nContent-Length: "
#define NOT_RUN_HEADER	 "Cuminsail-Not-Run: r/1\r\n"
#define NO_BODY		 "Content-Length: 0\r\n\r\n"

static const struct {
	const char *name;
	enum close_point close_point;
	const char *reply;
	enum policy_result part_result;
	enum policy_result order_result;
} cases[] = {
	{"closed before reading", CLOSE_ON_ACCEPT, "", POLICY_LOST,
	 POLICY_LOST},
	{"closed in headers", CLOSE_IN_HEADERS, "", POLICY_LOST, POLICY_LOST},
	{"closed after request", CLOSE_AFTER_REQUEST, "", POLICY_LOST,
	 POLICY_LOST},
	{"closed in the status line", CLOSE_AFTER_REPLY, "HTTP/1.1 20",
	 POLICY_LOST, POLICY_LOST},
	{"closed in the reply's headers", CLOSE_AFTER_REPLY,
	 "HTTP/1.1 200 OK\r\nContent-Le", POLICY_LOST, POLICY_LOST},
	{"closed before the body", CLOSE_AFTER_REPLY,
	 OK_HEADERS PART_BODY_LENGTH "\r\n\r\n", POLICY_LOST, POLICY_LOST},
	{"closed in the body", CLOSE_AFTER_REPLY,
	 OK_HEADERS PART_BODY_LENGTH "\r\n\r\n{\"request_id\":", POLICY_LOST,
	 POLICY_LOST},
	{"a chunked body without the last chunk", CLOSE_AFTER_REPLY,
	 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{\"a",
	 POLICY_LOST, POLICY_LOST},
	/* The JSON is complete, the chunked body is not. */
	{"a complete part without the last chunk", CLOSE_AFTER_REPLY,
	 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n67\r\n" PART_BODY
	 "\r\n",
	 POLICY_LOST, POLICY_LOST},
	{"a body truncated by the end of the connection", CLOSE_AFTER_REPLY,
	 "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"request_id\":",
	 POLICY_BAD_ANSWER, POLICY_BAD_ANSWER},
	{"a valid part", CLOSE_AFTER_REPLY,
	 OK_HEADERS PART_BODY_LENGTH "\r\n\r\n" PART_BODY, POLICY_DONE,
	 POLICY_BAD_ANSWER},
	{"a valid answer to an order", CLOSE_AFTER_REPLY,
	 OK_HEADERS "42\r\n\r\n" ORDER_BODY, POLICY_BAD_ANSWER, POLICY_DONE},
	{"an answer to an order for another attempt", CLOSE_AFTER_REPLY,
	 OK_HEADERS "42\r\n\r\n"
		    "{\"request_id\":\"r\",\"attempt\":2,\"result\":{}}",
	 POLICY_BAD_ANSWER, POLICY_BAD_ANSWER},
	{"not HTTP", CLOSE_AFTER_REPLY, "hello\r\n\r\n", POLICY_LOST,
	 POLICY_LOST},
	{"refused with proof", CLOSE_AFTER_REPLY,
	 "HTTP/1.1 503 No\r\n" NOT_RUN_HEADER NO_BODY, POLICY_REFUSED,
	 POLICY_REFUSED},
	{"refused without proof", CLOSE_AFTER_REPLY,
	 "HTTP/1.1 503 No\r\n" NO_BODY, POLICY_LOST, POLICY_LOST},
	{"proof for another attempt", CLOSE_AFTER_REPLY,
	 "HTTP/1.1 503 No\r\nCuminsail-Not-Run: r/2\r\n" NO_BODY, POLICY_LOST,
	 POLICY_LOST},
	{"proof for another request", CLOSE_AFTER_REPLY,
	 "HTTP/1.1 503 No\r\nCuminsail-Not-Run: q/1\r\n" NO_BODY, POLICY_LOST,
	 POLICY_LOST},
	{"an error with proof", CLOSE_AFTER_REPLY,
	 "HTTP/1.1 500 No\r\n" NOT_RUN_HEADER NO_BODY, POLICY_LOST,
	 POLICY_LOST},
	{"lacks the snapshot", CLOSE_AFTER_REPLY,
	 "HTTP/1.1 409 No\r\nCuminsail-Lacks-Snapshot: true\r\n" NOT_RUN_HEADER
		 NO_BODY,
	 POLICY_LACKS_SNAPSHOT, POLICY_LACKS_SNAPSHOT},
	{"lacks the snapshot, no proof", CLOSE_AFTER_REPLY,
	 "HTTP/1.1 409 No\r\nCuminsail-Lacks-Snapshot: true\r\n" NO_BODY,
	 POLICY_LOST, POLICY_LOST},
	{"another incarnation", CLOSE_AFTER_REPLY,
	 "HTTP/1.1 409 No\r\nCuminsail-Other-Incarnation: "
	 "true\r\n" NOT_RUN_HEADER NO_BODY,
	 POLICY_OTHER_INCARNATION, POLICY_OTHER_INCARNATION},
	{"another incarnation, no proof", CLOSE_AFTER_REPLY,
	 "HTTP/1.1 409 No\r\nCuminsail-Other-Incarnation: true\r\n" NO_BODY,
	 POLICY_LOST, POLICY_LOST},
	{"a redirect is not followed", CLOSE_AFTER_REPLY,
	 "HTTP/1.1 307 Go\r\nLocation: /v1/other\r\n" NO_BODY, POLICY_LOST,
	 POLICY_LOST},
	{"a body over the limit", CLOSE_AFTER_REPLY,
	 OK_HEADERS
	 "300\r\n\r\n"
	 "[\"xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
	 "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
	 "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
	 "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
	 "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\"]",
	 POLICY_BAD_ANSWER, POLICY_BAD_ANSWER},
};

/*
 * Guards against an attempt that may have run but is taken as not run, so that
 * it is sent again: the result is POLICY_REFUSED, POLICY_LACKS_SNAPSHOT or
 * POLICY_OTHER_INCARNATION only with a proof for exactly this attempt. Each end
 * of a call is tested for parts and for orders, and no request may be sent
 * twice.
 */
START_TEST(each_end_of_a_call_gives_the_right_result)
{
	struct cs_clock *clock = cs_clock_create_manual(0);
	struct http1_loop *loop = http1_loop_create(clock);

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (guint is_order = 0; is_order < 2; is_order++) {
			struct upstream_client *client =
				upstream_client_create(loop, 256);
			struct recorded_reply recorded;

			start_server(cases[i].close_point, cases[i].reply);
			recorded = send_attempt(loop, client, server.port,
						is_order, 1);
			ck_assert_msg(recorded.result ==
					      (is_order ? cases[i].order_result
							: cases[i].part_result),
				      "%s, order %u: %s", cases[i].name,
				      is_order,
				      policy_result_name(recorded.result));
			g_free(recorded.incarnation);
			upstream_client_destroy(client);
			stop_server();
			ck_assert_int_le(server.requests, 1);
		}
	}
	http1_loop_destroy(loop);
	cs_clock_destroy(clock);
}
END_TEST

/* Guards against a broken answer that is taken as a result, or as proof that an
 * attempt did not run. */
START_TEST(a_broken_answer_is_neither_a_result_nor_a_proof)
{
	static const char *const fields[] = {
		"", "Cuminsail-Lacks-Snapshot: true\r\n" NOT_RUN_HEADER};
	struct cs_clock *clock = cs_clock_create_manual(0);
	struct http1_loop *loop = http1_loop_create(clock);

	for (guint i = 0; i < 4 * answers_broken.n; i++) {
		const char *template = answers_broken.templates[i / 4];
		bool is_order = i % 2;
		g_autofree char *reply =
			answers_print(template, fields[i / 2 % 2],
				      is_order ? ORDER_BODY : PART_BODY);
		struct upstream_client *client =
			upstream_client_create(loop, 256);
		struct recorded_reply recorded;

		start_server(CLOSE_AFTER_REPLY, reply);
		recorded = send_attempt(loop, client, server.port, is_order, 1);
		ck_assert_msg(recorded.result == POLICY_LOST,
			      "%s, order %d: %s", template, is_order,
			      policy_result_name(recorded.result));
		ck_assert(!recorded.incarnation);
		upstream_client_destroy(client);
		stop_server();
		ck_assert_int_eq(server.requests, 1);
	}
	http1_loop_destroy(loop);
	cs_clock_destroy(clock);
}
END_TEST

START_TEST(a_sound_answer_that_looks_odd_is_a_result)
{
	struct cs_clock *clock = cs_clock_create_manual(0);
	struct http1_loop *loop = http1_loop_create(clock);

	for (guint i = 0; i < answers_sound.n; i++) {
		const char *template = answers_sound.templates[i];
		g_autofree char *reply =
			answers_print(template, "", ORDER_BODY);
		struct upstream_client *client;
		struct recorded_reply recorded;

		/* A result has status 200. */
		if (strstr(template, "HTTP/1.1 299"))
			continue;
		client = upstream_client_create(loop, 256);
		start_server(CLOSE_AFTER_REPLY, reply);
		recorded = send_attempt(loop, client, server.port, true, 1);
		ck_assert_msg(recorded.result == POLICY_DONE, "%s: %s",
			      template, policy_result_name(recorded.result));
		upstream_client_destroy(client);
		stop_server();
	}
	http1_loop_destroy(loop);
	cs_clock_destroy(clock);
}
END_TEST

/* Nothing listens on the port, so no byte was sent. */
START_TEST(a_refused_connection_is_reported_as_unsent)
{
	struct cs_clock *clock = cs_clock_create_manual(0);
	struct http1_loop *loop = http1_loop_create(clock);
	struct upstream_client *client = upstream_client_create(loop, 256);
	guint16 port;

	start_server(CLOSE_ON_ACCEPT, "");
	port = server.port;
	stop_server();
	for (guint is_order = 0; is_order < 2; is_order++) {
		struct recorded_reply recorded =
			send_attempt(loop, client, port, is_order, 1);

		ck_assert_int_eq(recorded.result, POLICY_UNSENT);
	}
	upstream_client_destroy(client);
	http1_loop_destroy(loop);
	cs_clock_destroy(clock);
}
END_TEST

/*
 * Guards against an HTTP client that resends a request by itself when a
 * kept-alive connection is closed after the request was read. Parts and orders
 * must never be resent: the first one may have run.
 */
START_TEST(the_client_never_resends_a_request)
{
	struct cs_clock *clock = cs_clock_create_manual(0);
	struct http1_loop *loop = http1_loop_create(clock);

	for (guint is_order = 0; is_order < 2; is_order++) {
		struct upstream_client *client =
			upstream_client_create(loop, 4096);
		struct recorded_reply first;
		struct recorded_reply second;

		start_server(CLOSE_AFTER_SECOND,
			     is_order ? OK_HEADERS "42\r\n\r\n" ORDER_BODY
				      : OK_HEADERS PART_BODY_LENGTH
				     "\r\n\r\n" PART_BODY);
		first = send_attempt(loop, client, server.port, is_order, 1);
		ck_assert_int_eq(first.result, POLICY_DONE);
		if (is_order) {
			/* The connection of an order is not reused. */
			upstream_client_destroy(client);
			stop_server();
			ck_assert_int_eq(server.requests, 1);
			continue;
		}
		second = send_attempt(loop, client, server.port, is_order, 2);
		ck_assert_int_eq(second.result, POLICY_LOST);
		upstream_client_destroy(client);
		stop_server();
		ck_assert_int_eq(server.requests, 2);
		ck_assert_int_eq(server.connections, 1);
	}
	http1_loop_destroy(loop);
	cs_clock_destroy(clock);
}
END_TEST

/* A refusal, too, reports the upstream's state and incarnation. */
START_TEST(state_and_incarnation_headers_are_reported)
{
	struct cs_clock *clock = cs_clock_create_manual(0);
	struct http1_loop *loop = http1_loop_create(clock);
	struct upstream_client *client = upstream_client_create(loop, 4096);
	struct recorded_reply recorded;

	start_server(CLOSE_AFTER_REPLY,
		     "HTTP/1.1 503 No\r\nCuminsail-State: draining\r\n"
		     "Cuminsail-Incarnation: i9\r\n" NOT_RUN_HEADER NO_BODY);
	recorded = send_attempt(loop, client, server.port, false, 1);
	ck_assert(recorded.draining);
	ck_assert(!recorded.cold);
	ck_assert_str_eq(recorded.incarnation, "i9");
	g_free(recorded.incarnation);
	upstream_client_destroy(client);
	stop_server();
	http1_loop_destroy(loop);
	cs_clock_destroy(clock);
}
END_TEST

/* The limit is one connection. Of three calls, the second is cancelled while it
 * is queued, and the third is sent when the first is answered. */
START_TEST(calls_above_the_connection_limit_are_queued)
{
	struct cs_clock *clock = cs_clock_create_manual(0);
	struct http1_loop *loop = http1_loop_create(clock);
	struct upstream_client *client = upstream_client_create(loop, 4096);
	g_autofree char *address = NULL;
	json_t *body = json_object();
	struct recorded_reply recorded_replies[3] = {0};
	struct upstream_call *calls[3];

	start_server(CLOSE_AFTER_REPLY,
		     "HTTP/1.1 200 OK\r\nConnection: close\r\n"
		     "Content-Length: " PART_BODY_LENGTH "\r\n\r\n" PART_BODY);
	address = g_strdup_printf("127.0.0.1:%u", server.port);
	for (guint i = 0; i < 3; i++) {
		struct upstream_request request = {
			.service = "s",
			.address = address,
			.request_id = "r",
			.attempt = 1,
			.incarnation = "i1",
			.deadline_us = 1000 * MS,
			.connections_max = 1,
			.shard = "0",
			.snapshot = "s1",
			.body = body,
		};

		calls[i] = upstream_call_create(client, &request, record_reply,
						&recorded_replies[i]);
	}
	upstream_call_destroy(calls[1]);
	while (!recorded_replies[2].done)
		http1_loop_iterate(loop, true);
	ck_assert(recorded_replies[0].done);
	ck_assert(!recorded_replies[1].done);
	ck_assert_int_eq(recorded_replies[0].result, POLICY_DONE);
	ck_assert_int_eq(recorded_replies[2].result, POLICY_DONE);
	json_decref(body);
	upstream_client_destroy(client);
	stop_server();
	ck_assert_int_eq(server.requests, 2);
	/* The cancelled call never got a connection. */
	ck_assert_int_eq(server.connections, 2);
	http1_loop_destroy(loop);
	cs_clock_destroy(clock);
}
END_TEST

/* An upstream may close an idle connection just as an order arrives on it.
 * Whether the order ran would then be unknown. */
START_TEST(an_order_never_uses_an_idle_connection)
{
	struct net net = net_create();
	struct upstream_client *client = upstream_client_create(net.loop, 4096);
	struct net_server *upstream_server = net_server_create(
		&net, 130, OK_HEADERS PART_BODY_LENGTH "\r\n\r\n" PART_BODY,
		false);
	struct sockaddr_in server_address = net_address(130);
	char address[CS_ENDPOINT_TEXT_SIZE];
	json_t *body = json_object();
	struct recorded_reply recorded_replies[3] = {0};

	cs_endpoint_print(&server_address, address);
	for (guint i = 0; i < 3; i++) {
		struct upstream_request request = {
			.service = "s",
			.address = address,
			.request_id = "r",
			.attempt = 1,
			.incarnation = "i1",
			.deadline_us = 1000 * MS,
			.connections_max = 5,
			.shard = i < 2 ? "0" : NULL,
			.snapshot = "s1",
			.body = body,
		};

		upstream_call_create(client, &request, record_reply,
				     &recorded_replies[i]);
		net_run_until_idle(&net);
		ck_assert(recorded_replies[i].done);
		/* Both parts use one connection, the order a second one. */
		ck_assert_uint_eq(upstream_server->connections, i < 2 ? 1 : 2);
	}
	json_decref(body);
	upstream_client_destroy(client);
	net_server_destroy(upstream_server);
	net_destroy(&net);
}
END_TEST

/* Guards against a callback with freed data after upstream_call_destroy(). */
START_TEST(a_cancelled_call_never_calls_back)
{
	struct cs_clock *clock = cs_clock_create_manual(0);
	struct http1_loop *loop = http1_loop_create(clock);
	struct upstream_client *client = upstream_client_create(loop, 4096);
	g_autofree char *address = NULL;
	json_t *body = json_object();
	struct recorded_reply recorded = {0};
	struct upstream_request request = {.service = "s",
					   .request_id = "r",
					   .attempt = 1,
					   .incarnation = "i1",
					   .connections_max = 1,
					   .shard = "0",
					   .snapshot = "s1",
					   .body = body};

	start_server(CLOSE_AFTER_REPLY,
		     OK_HEADERS PART_BODY_LENGTH "\r\n\r\n" PART_BODY);
	address = g_strdup_printf("127.0.0.1:%u", server.port);
	request.address = address;
	upstream_call_destroy(upstream_call_create(client, &request,
						   record_reply, &recorded));
	while (http1_loop_iterate(loop, false))
		continue;
	ck_assert(!recorded.done);
	json_decref(body);
	upstream_client_destroy(client);
	stop_server();
	http1_loop_destroy(loop);
	cs_clock_destroy(clock);
}
END_TEST

/* Guards against a daemon that exceeds its memory: each answer stays below the
 * limit of one answer. */
START_TEST(many_answers_without_end_are_bounded_together)
{
	enum { CALLS = 16, NUMBER = 30, MB = 1024 * 1024 };
	struct recorded_reply recorded[CALLS] = {0};
	struct net net = net_create();
	struct sockaddr_in at = net_address(NUMBER);
	struct net_server *upstream_server = net_server_create(
		&net, NUMBER, "HTTP/1.1 200 OK\r\n\r\n", false);
	struct upstream_client *client =
		upstream_client_create(net.loop, 8 * MB);
	g_autofree char *bytes = g_strnfill(MB / 16, 'a');
	char address[CS_ENDPOINT_TEXT_SIZE];
	json_t *body = json_object();
	struct upstream_request request = {.service = "s",
					   .address = address,
					   .request_id = "r",
					   .attempt = 1,
					   .incarnation = "i1",
					   .connections_max = CALLS,
					   .shard = "0",
					   .snapshot = "s1",
					   .body = body};
	guint cut = 0;

	cs_endpoint_print(&at, address);
	for (guint i = 0; i < CALLS; i++)
		upstream_call_create(client, &request, record_reply,
				     &recorded[i]);
	net_run_until_idle(&net);
	ck_assert_uint_eq(upstream_server->n_open, CALLS);
	for (guint i = 0; i < 6 * 16; i++) {
		net_server_send(upstream_server, bytes, MB / 16);
		net_run_until_idle(&net);
	}
	ck_assert_uint_le(upstream_server->n_open, 64 / 6);
	for (guint i = 0; i < CALLS; i++)
		cut += recorded[i].done &&
		       recorded[i].result == POLICY_BAD_ANSWER;
	ck_assert_uint_eq(cut, CALLS - upstream_server->n_open);
	/* The others end with their connections, and are no parts. */
	net_server_destroy(upstream_server);
	net_run_until_idle(&net);
	for (guint i = 0; i < CALLS; i++)
		ck_assert(recorded[i].done &&
			  recorded[i].result == POLICY_BAD_ANSWER);
	json_decref(body);
	upstream_client_destroy(client);
	net_destroy(&net);
}
END_TEST

UNIT_MAIN("upstream", each_end_of_a_call_gives_the_right_result,
	  a_broken_answer_is_neither_a_result_nor_a_proof,
	  a_sound_answer_that_looks_odd_is_a_result,
	  a_refused_connection_is_reported_as_unsent,
	  the_client_never_resends_a_request,
	  state_and_incarnation_headers_are_reported,
	  calls_above_the_connection_limit_are_queued,
	  an_order_never_uses_an_idle_connection,
	  a_cancelled_call_never_calls_back,
	  many_answers_without_end_are_bounded_together)
