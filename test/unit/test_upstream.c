/* The contract with an upstream: what each ending of a call proves. */
#include "net.h"
#include "unit.h"

#include "cuminsail/endpoint.h"

#include <gio/gio.h>
#include <string.h>

/* Where the scripted upstream ends a connection. */
enum ending {
	END_AT_ONCE, /* closed before anything is read */
	END_IN_HEADERS, /* some of the request's headers were read */
	END_AFTER_REQUEST, /* all of it was read */
	END_AFTER_REPLY, /* the reply was written, then closed */
	END_ON_SECOND, /* kept alive; closed after the second request */
};

static struct {
	GSocketListener *listener;
	GThread *thread;
	guint16 port;
	enum ending ending;
	const char *reply;
	gint requests; /* whole requests read, over all connections */
	gint connections;
} server;

/* Read one request; false at the end of the connection. */
static bool read_request(GIOStream *stream)
{
	GInputStream *input = g_io_stream_get_input_stream(stream);
	GString *text = g_string_new(NULL);
	char buffer[4096];
	bool whole = false;

	while (!whole) {
		gssize n = g_input_stream_read(input, buffer, sizeof(buffer),
					       NULL, NULL);
		const char *body;
		const char *length;

		if (n <= 0)
			break;
		g_string_append_len(text, buffer, n);
		body = strstr(text->str, "\r\n\r\n");
		length = strstr(text->str, "Content-Length: ");
		whole = body && length &&
			strlen(body + 4) >=
				g_ascii_strtoull(length + 16, NULL, 10);
	}
	g_string_free(text, TRUE);
	return whole;
}

static void write_reply(GIOStream *stream)
{
	g_output_stream_write_all(g_io_stream_get_output_stream(stream),
				  server.reply, strlen(server.reply), NULL,
				  NULL, NULL);
}

static void serve(GIOStream *stream)
{
	char byte;

	switch (server.ending) {
	case END_AT_ONCE:
		return;
	case END_IN_HEADERS:
		g_input_stream_read(g_io_stream_get_input_stream(stream), &byte,
				    1, NULL, NULL);
		return;
	case END_AFTER_REQUEST:
		if (read_request(stream))
			g_atomic_int_inc(&server.requests);
		return;
	case END_AFTER_REPLY:
		if (!read_request(stream))
			return;
		g_atomic_int_inc(&server.requests);
		write_reply(stream);
		return;
	case END_ON_SECOND:
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
			serve(G_IO_STREAM(connection));
		}
		g_io_stream_close(G_IO_STREAM(connection), NULL, NULL);
		g_object_unref(connection);
		if (last)
			break;
	}
	return NULL;
}

static void start_server(enum ending ending, const char *reply)
{
	memset(&server, 0, sizeof(server));
	server.ending = ending;
	server.reply = reply;
	server.listener = g_socket_listener_new();
	server.port = g_socket_listener_add_any_inet_port(server.listener, NULL,
							  NULL);
	server.thread = g_thread_new("upstream", run_server, server.listener);
}

/* The server's accept ends by a last connection of our own. */
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

struct outcome {
	enum policy_result result;
	bool done;
	bool draining;
	bool cold;
	char *incarnation;
};

static void on_done(struct upstream_call *call, struct upstream_reply *reply,
		    void *user)
{
	struct outcome *outcome = user;

	outcome->result = reply->result;
	outcome->draining = reply->draining;
	outcome->cold = reply->cold;
	outcome->incarnation = g_strdup(reply->incarnation);
	outcome->done = true;
}

static struct outcome call_port(struct http1_loop *loop,
				struct upstream_client *client, guint16 port,
				bool order, gint64 attempt)
{
	g_autofree char *address = g_strdup_printf("127.0.0.1:%u", port);
	json_t *body = json_pack("{s:s}", "text", "x");
	struct outcome outcome = {0};
	struct upstream_request request = {
		.service = "s",
		.address = address,
		.request_id = "r",
		.attempt = attempt,
		.incarnation = "i1",
		.deadline_us = 1000 * MS,
		.connections = 2,
		.shard = order ? NULL : "0",
		.snapshot = "s1",
		.map = 1,
		.limit = 10,
		.body = body,
	};

	upstream_call_create(client, &request, on_done, &outcome);
	while (!outcome.done)
		http1_loop_turn(loop, true);
	/* Let the library take the connection back. */
	while (http1_loop_turn(loop, false))
		continue;
	json_decref(body);
	return outcome;
}

#define PART                                                                   \
	"{\"request_id\":\"r\",\"attempt\":1,\"shard\":\"0\",\"snapshot\":"    \
	"\"s1\",\"map\":1,\"documents\":9,\"searched\":9,\"hits\":[]}"
#define PART_LENGTH "103"
#define ORDER	    "{\"request_id\":\"r\",\"attempt\":1,\"result\":{}}"
#define OK_HEAD	    "HTTP/1.1 200 OK\r\nContent-Length: "
#define PROOF	    "Cuminsail-Not-Run: r/1\r\n"
#define EMPTY	    "Content-Length: 0\r\n\r\n"

static const struct {
	const char *name;
	enum ending ending;
	const char *reply;
	enum policy_result part;
	enum policy_result order;
} cases[] = {
	{"closed before reading", END_AT_ONCE, "", POLICY_LOST, POLICY_LOST},
	{"closed in headers", END_IN_HEADERS, "", POLICY_LOST, POLICY_LOST},
	{"closed after request", END_AFTER_REQUEST, "", POLICY_LOST,
	 POLICY_LOST},
	{"closed in the status line", END_AFTER_REPLY, "HTTP/1.1 20",
	 POLICY_LOST, POLICY_LOST},
	{"closed in the reply's headers", END_AFTER_REPLY,
	 "HTTP/1.1 200 OK\r\nContent-Le", POLICY_LOST, POLICY_LOST},
	{"closed before the body", END_AFTER_REPLY,
	 OK_HEAD PART_LENGTH "\r\n\r\n", POLICY_LOST, POLICY_LOST},
	{"closed in the body", END_AFTER_REPLY,
	 OK_HEAD PART_LENGTH "\r\n\r\n{\"request_id\":", POLICY_LOST,
	 POLICY_LOST},
	{"chunks without an end", END_AFTER_REPLY,
	 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{\"a",
	 POLICY_LOST, POLICY_LOST},
	/* The text is whole, the body is not. */
	{"a part in chunks without an end", END_AFTER_REPLY,
	 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n67\r\n" PART
	 "\r\n",
	 POLICY_LOST, POLICY_LOST},
	{"a body cut at the end of the connection", END_AFTER_REPLY,
	 "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"request_id\":",
	 POLICY_BAD, POLICY_BAD},
	{"a good part", END_AFTER_REPLY, OK_HEAD PART_LENGTH "\r\n\r\n" PART,
	 POLICY_DONE, POLICY_BAD},
	{"a good order", END_AFTER_REPLY, OK_HEAD "42\r\n\r\n" ORDER,
	 POLICY_BAD, POLICY_DONE},
	{"an order of another attempt", END_AFTER_REPLY,
	 OK_HEAD "42\r\n\r\n"
		 "{\"request_id\":\"r\",\"attempt\":2,\"result\":{}}",
	 POLICY_BAD, POLICY_BAD},
	{"not HTTP", END_AFTER_REPLY, "hello\r\n\r\n", POLICY_LOST,
	 POLICY_LOST},
	{"refused with proof", END_AFTER_REPLY,
	 "HTTP/1.1 503 No\r\n" PROOF EMPTY, POLICY_REFUSED, POLICY_REFUSED},
	{"refused without proof", END_AFTER_REPLY, "HTTP/1.1 503 No\r\n" EMPTY,
	 POLICY_LOST, POLICY_LOST},
	{"proof of another attempt", END_AFTER_REPLY,
	 "HTTP/1.1 503 No\r\nCuminsail-Not-Run: r/2\r\n" EMPTY, POLICY_LOST,
	 POLICY_LOST},
	{"proof of another request", END_AFTER_REPLY,
	 "HTTP/1.1 503 No\r\nCuminsail-Not-Run: q/1\r\n" EMPTY, POLICY_LOST,
	 POLICY_LOST},
	{"an error with proof", END_AFTER_REPLY,
	 "HTTP/1.1 500 No\r\n" PROOF EMPTY, POLICY_LOST, POLICY_LOST},
	{"lacks the snapshot", END_AFTER_REPLY,
	 "HTTP/1.1 409 No\r\nCuminsail-Lacks-Snapshot: true\r\n" PROOF EMPTY,
	 POLICY_LACKS, POLICY_LACKS},
	{"lacks the snapshot, no proof", END_AFTER_REPLY,
	 "HTTP/1.1 409 No\r\nCuminsail-Lacks-Snapshot: true\r\n" EMPTY,
	 POLICY_LOST, POLICY_LOST},
	{"another incarnation", END_AFTER_REPLY,
	 "HTTP/1.1 409 No\r\nCuminsail-Other-Incarnation: true\r\n" PROOF EMPTY,
	 POLICY_MOVED, POLICY_MOVED},
	{"another incarnation, no proof", END_AFTER_REPLY,
	 "HTTP/1.1 409 No\r\nCuminsail-Other-Incarnation: true\r\n" EMPTY,
	 POLICY_LOST, POLICY_LOST},
	{"a redirect is not followed", END_AFTER_REPLY,
	 "HTTP/1.1 307 Go\r\nLocation: /v1/other\r\n" EMPTY, POLICY_LOST,
	 POLICY_LOST},
	{"a body over the limit", END_AFTER_REPLY,
	 OK_HEAD
	 "300\r\n\r\n"
	 "[\"xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
	 "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
	 "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
	 "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
	 "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\"]",
	 POLICY_BAD, POLICY_BAD},
};

START_TEST(each_ending_proves_what_it_proves)
{
	struct cs_clock *clock = cs_clock_create_manual(0);
	struct http1_loop *loop = http1_loop_create(clock);

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (guint order = 0; order < 2; order++) {
			struct upstream_client *client =
				upstream_client_create(loop, 256);
			struct outcome outcome;

			start_server(cases[i].ending, cases[i].reply);
			outcome =
				call_port(loop, client, server.port, order, 1);
			ck_assert_msg(outcome.result == (order ? cases[i].order
							       : cases[i].part),
				      "%s, order %u: %s", cases[i].name, order,
				      policy_result_name(outcome.result));
			g_free(outcome.incarnation);
			upstream_client_destroy(client);
			stop_server();
			ck_assert_int_le(server.requests, 1);
		}
	}
	http1_loop_destroy(loop);
	cs_clock_destroy(clock);
}
END_TEST

START_TEST(nothing_is_sent_where_nobody_listens)
{
	struct cs_clock *clock = cs_clock_create_manual(0);
	struct http1_loop *loop = http1_loop_create(clock);
	struct upstream_client *client = upstream_client_create(loop, 256);
	guint16 port;

	start_server(END_AT_ONCE, "");
	port = server.port;
	stop_server();
	for (guint order = 0; order < 2; order++) {
		struct outcome outcome =
			call_port(loop, client, port, order, 1);

		ck_assert_int_eq(outcome.result, POLICY_UNSENT);
	}
	upstream_client_destroy(client);
	http1_loop_destroy(loop);
	cs_clock_destroy(clock);
}
END_TEST

/*
 * The library sends some requests again by itself when a kept connection is
 * closed after the request was read. Parts and orders must never be.
 */
START_TEST(no_request_is_sent_twice_by_the_library)
{
	struct cs_clock *clock = cs_clock_create_manual(0);
	struct http1_loop *loop = http1_loop_create(clock);

	for (guint order = 0; order < 2; order++) {
		struct upstream_client *client =
			upstream_client_create(loop, 4096);
		struct outcome first;
		struct outcome second;

		start_server(END_ON_SECOND, order ? OK_HEAD "42\r\n\r\n" ORDER
						  : OK_HEAD PART_LENGTH
						    "\r\n\r\n" PART);
		first = call_port(loop, client, server.port, order, 1);
		ck_assert_int_eq(first.result, POLICY_DONE);
		if (order) {
			/* An order never shares a connection. */
			upstream_client_destroy(client);
			stop_server();
			ck_assert_int_eq(server.requests, 1);
			continue;
		}
		second = call_port(loop, client, server.port, order, 2);
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

START_TEST(an_upstreams_own_words_are_heard)
{
	struct cs_clock *clock = cs_clock_create_manual(0);
	struct http1_loop *loop = http1_loop_create(clock);
	struct upstream_client *client = upstream_client_create(loop, 4096);
	struct outcome outcome;

	start_server(END_AFTER_REPLY,
		     "HTTP/1.1 503 No\r\nCuminsail-State: draining\r\n"
		     "Cuminsail-Incarnation: i9\r\n" PROOF EMPTY);
	outcome = call_port(loop, client, server.port, false, 1);
	ck_assert(outcome.draining);
	ck_assert(!outcome.cold);
	ck_assert_str_eq(outcome.incarnation, "i9");
	g_free(outcome.incarnation);
	upstream_client_destroy(client);
	stop_server();
	http1_loop_destroy(loop);
	cs_clock_destroy(clock);
}
END_TEST

/* The third of three calls waits for a connection, or is cancelled there. */
START_TEST(calls_above_the_cap_wait_for_a_connection)
{
	struct cs_clock *clock = cs_clock_create_manual(0);
	struct http1_loop *loop = http1_loop_create(clock);
	struct upstream_client *client = upstream_client_create(loop, 4096);
	g_autofree char *address = NULL;
	json_t *body = json_object();
	struct outcome outcomes[3] = {0};
	struct upstream_call *calls[3];

	start_server(END_AFTER_REPLY,
		     "HTTP/1.1 200 OK\r\nConnection: close\r\n"
		     "Content-Length: " PART_LENGTH "\r\n\r\n" PART);
	address = g_strdup_printf("127.0.0.1:%u", server.port);
	for (guint i = 0; i < 3; i++) {
		struct upstream_request request = {
			.service = "s",
			.address = address,
			.request_id = "r",
			.attempt = 1,
			.incarnation = "i1",
			.deadline_us = 1000 * MS,
			.connections = 1,
			.shard = "0",
			.snapshot = "s1",
			.body = body,
		};

		calls[i] = upstream_call_create(client, &request, on_done,
						&outcomes[i]);
	}
	upstream_call_destroy(calls[1]);
	while (!outcomes[2].done)
		http1_loop_turn(loop, true);
	ck_assert(outcomes[0].done);
	ck_assert(!outcomes[1].done);
	ck_assert_int_eq(outcomes[0].result, POLICY_DONE);
	ck_assert_int_eq(outcomes[2].result, POLICY_DONE);
	json_decref(body);
	upstream_client_destroy(client);
	stop_server();
	ck_assert_int_eq(server.requests, 2);
	/* The one that was cancelled never got a connection. */
	ck_assert_int_eq(server.connections, 2);
	http1_loop_destroy(loop);
	cs_clock_destroy(clock);
}
END_TEST

START_TEST(an_order_never_takes_a_kept_connection)
{
	struct net net = net_create();
	struct upstream_client *client = upstream_client_create(net.loop, 4096);
	struct net_script *script = net_script_create(
		&net, 130, OK_HEAD PART_LENGTH "\r\n\r\n" PART, false);
	struct sockaddr_in at = net_address(130);
	char address[CS_ENDPOINT_TEXT];
	json_t *body = json_object();
	struct outcome outcomes[3] = {0};

	cs_endpoint_print(&at, address);
	for (guint i = 0; i < 3; i++) {
		struct upstream_request request = {
			.service = "s",
			.address = address,
			.request_id = "r",
			.attempt = 1,
			.incarnation = "i1",
			.deadline_us = 1000 * MS,
			.connections = 5,
			.shard = i < 2 ? "0" : NULL,
			.snapshot = "s1",
			.body = body,
		};

		upstream_call_create(client, &request, on_done, &outcomes[i]);
		net_settle(&net);
		ck_assert(outcomes[i].done);
		/* Two parts share one, the order has its own. */
		ck_assert_uint_eq(script->connections, i < 2 ? 1 : 2);
	}
	json_decref(body);
	upstream_client_destroy(client);
	net_script_destroy(script);
	net_destroy(&net);
}
END_TEST

/* A cancelled call is freed and never calls back. */
START_TEST(a_cancelled_call_is_silent)
{
	struct cs_clock *clock = cs_clock_create_manual(0);
	struct http1_loop *loop = http1_loop_create(clock);
	struct upstream_client *client = upstream_client_create(loop, 4096);
	g_autofree char *address = NULL;
	json_t *body = json_object();
	struct outcome outcome = {0};
	struct upstream_request request = {.service = "s",
					   .request_id = "r",
					   .attempt = 1,
					   .incarnation = "i1",
					   .connections = 1,
					   .shard = "0",
					   .snapshot = "s1",
					   .body = body};

	start_server(END_AFTER_REPLY, OK_HEAD PART_LENGTH "\r\n\r\n" PART);
	address = g_strdup_printf("127.0.0.1:%u", server.port);
	request.address = address;
	upstream_call_destroy(
		upstream_call_create(client, &request, on_done, &outcome));
	while (http1_loop_turn(loop, false))
		continue;
	ck_assert(!outcome.done);
	json_decref(body);
	upstream_client_destroy(client);
	stop_server();
	http1_loop_destroy(loop);
	cs_clock_destroy(clock);
}
END_TEST

UNIT_MAIN("upstream", each_ending_proves_what_it_proves,
	  nothing_is_sent_where_nobody_listens,
	  no_request_is_sent_twice_by_the_library,
	  an_upstreams_own_words_are_heard,
	  calls_above_the_cap_wait_for_a_connection,
	  an_order_never_takes_a_kept_connection, a_cancelled_call_is_silent)
