/* HTTP server connections. */
#include "socket.h"

#include "cuminsail/error.h"
#include "cuminsail/log.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

/* Maximum number of established connections that the kernel queues until they
 * are accepted. */
#define LISTEN_BACKLOG 1024

/* Maximum number of connections accepted per loop iteration, so that a burst of
 * new connections does not delay open requests. */
#define ACCEPTS_PER_ITERATION 32

/* Buffered bytes of pipelined requests at which reading from the socket pauses
 * until the request in progress is answered. */
#define PIPELINED_MAX 65536

/* After the last answer on a connection, maximum wait for the caller to close
 * it. */
#define LINGER_TIMEOUT_US (1 * CS_US_PER_S)

/* A connection of a caller and the state of its current request. */
struct http1_exchange {
	struct http1_watch watch;
	TAILQ_ENTRY(http1_exchange) link;
	struct http1_server *server;
	struct http1_reader *reader;
	GByteArray *pipelined; /* bytes received after the current request */
	GByteArray *output; /* bytes still to be written */
	gsize counted; /* bytes of it that count as used memory */
	struct cs_timer timer;
	void *data; /* of the owner */
	enum {
		EXCHANGE_READING, /* waits for a request or receives it */
		EXCHANGE_PROCESSING, /* waits for the owner's reply */
		EXCHANGE_WRITING, /* sends the reply */
		EXCHANGE_LINGERING, /* discards input until it is closed */
		EXCHANGE_CLOSED, /* freed by http1_loop_defer() */
	} state;
	bool close_after_reply;
	bool parsing_pipelined; /* prevents recursion */
};

struct http1_server {
	struct http1_loop *loop;
	struct cs_clock *clock;
	const struct http1_server_limits *limits;
	struct http1_server_hooks hooks;
	struct http1_watch listener;
	TAILQ_HEAD(, http1_exchange) exchanges;
	guint connections;
	guint open_exchanges; /* PROCESSING or WRITING */
	bool draining; /* close each connection after its answer */
};

#define exchange_of(pointer, member)                                           \
	((struct http1_exchange *)((char *)(pointer)-offsetof(                 \
		struct http1_exchange, member)))

static void free_exchange(void *user)
{
	struct http1_exchange *exchange = user;

	http1_reader_destroy(exchange->reader);
	g_byte_array_unref(exchange->pipelined);
	g_byte_array_unref(exchange->output);
	g_free(exchange);
}

static bool is_open(const struct http1_exchange *exchange)
{
	return exchange->state == EXCHANGE_PROCESSING ||
	       exchange->state == EXCHANGE_WRITING;
}

static void set_state(struct http1_exchange *exchange, int state)
{
	struct http1_server *server = exchange->server;

	server->open_exchanges -= is_open(exchange);
	exchange->state = state;
	server->open_exchanges += is_open(exchange);
}

/* Counts size bytes of the output as used memory. A large buffer keeps its
 * memory until it is small, see http1_buffer_remove(). */
static void count_output(struct http1_exchange *exchange, gsize size)
{
	struct http1_memory *memory = exchange->server->limits->replies;

	if (!memory)
		return;
	if (size > HTTP1_BODY_ALWAYS)
		size = MAX(size, exchange->counted);
	memory->used += size - exchange->counted;
	exchange->counted = size;
}

static void close_exchange(struct http1_exchange *exchange)
{
	struct http1_server *server = exchange->server;

	if (exchange->state == EXCHANGE_CLOSED)
		return;
	set_state(exchange, EXCHANGE_CLOSED);
	count_output(exchange, 0);
	cs_timer_disarm(server->clock, &exchange->timer);
	http1_loop_remove(server->loop, &exchange->watch);
	TAILQ_REMOVE(&server->exchanges, exchange, link);
	server->connections--;
	http1_loop_defer(server->loop, free_exchange, exchange);
}

/* Closes an exchange and notifies the owner if a reply is outstanding. */
static void abort_exchange(struct http1_exchange *exchange)
{
	struct http1_server *server = exchange->server;

	if (exchange->state == EXCHANGE_PROCESSING)
		server->hooks.disconnected(exchange, server->hooks.user);
	close_exchange(exchange);
}

static void arm_timer(struct http1_exchange *exchange, gint64 delay_us)
{
	struct cs_clock *clock = exchange->server->clock;

	cs_timer_arm(clock, &exchange->timer, cs_clock_now(clock) + delay_us);
}

static void wait_for_request(struct http1_exchange *exchange)
{
	set_state(exchange, EXCHANGE_READING);
	http1_reader_reset(exchange->reader, false);
	arm_timer(exchange, exchange->server->limits->idle_timeout_us);
}

int http1_rejection_code(guint status)
{
	switch (status) {
	case 408:
		return CS_E_SLOW;
	case 400:
		return CS_E_HEADER;
	default:
		return CS_E_TOO_LARGE;
	}
}

/* Replies to a request that is not complete. */
static void reject(struct http1_exchange *exchange, guint status)
{
	struct http1_server *server = exchange->server;
	struct http1_reply reply = {.status = status, .close_after = true};

	if (server->hooks.rejected)
		server->hooks.rejected(&reply, server->hooks.user);
	set_state(exchange, EXCHANGE_PROCESSING);
	http1_exchange_reply(exchange, &reply);
}

static void handle_reader_state(struct http1_exchange *exchange,
				enum http1_reader_state state)
{
	struct http1_server *server = exchange->server;

	switch (state) {
	case HTTP1_INCOMPLETE:
		break;
	case HTTP1_COMPLETE:
		cs_timer_disarm(server->clock, &exchange->timer);
		set_state(exchange, EXCHANGE_PROCESSING);
		server->hooks.request(exchange,
				      http1_reader_message(exchange->reader),
				      server->hooks.user);
		break;
	case HTTP1_INVALID:
		reject(exchange, 400);
		break;
	case HTTP1_HEAD_TOO_LARGE:
		reject(exchange, 431);
		break;
	case HTTP1_BODY_TOO_LARGE:
		reject(exchange, 413);
		break;
	}
}

/* Sends the interim answer that an Expect header asks for. */
static void send_continue(struct http1_exchange *exchange)
{
	static const char line[] = "HTTP/1.1 100 Continue\r\n\r\n";
	const char *expect = http1_message_header(
		http1_reader_message(exchange->reader), "Expect");

	if (!expect || g_ascii_strcasecmp(expect, "100-continue") != 0)
		return;
	g_byte_array_append(exchange->output, (const guint8 *)line,
			    sizeof(line) - 1);
	if (http1_socket_write(exchange->watch.fd, &exchange->output))
		abort_exchange(exchange);
}

/* Parses bytes of the current request. Bytes after its end are kept for the
 * next request. */
static void parse_bytes(struct http1_exchange *exchange, const char *bytes,
			gsize length)
{
	struct http1_reader *reader = exchange->reader;
	bool was_started = http1_reader_started(reader);
	bool head_was_complete = http1_reader_head_complete(reader);
	gsize used = 0;
	enum http1_reader_state state =
		http1_reader_feed(reader, bytes, length, &used);

	if (!was_started)
		arm_timer(exchange,
			  exchange->server->limits->request_timeout_us);
	if (state == HTTP1_COMPLETE && used < length)
		g_byte_array_append(exchange->pipelined,
				    (const guint8 *)bytes + used,
				    (guint)(length - used));
	if (state == HTTP1_INCOMPLETE && !head_was_complete &&
	    http1_reader_head_complete(reader))
		send_continue(exchange);
	if (exchange->state == EXCHANGE_READING)
		handle_reader_state(exchange, state);
}

/* Parses requests that were received while an earlier one was in progress. */
static void parse_pipelined(struct http1_exchange *exchange)
{
	if (exchange->parsing_pipelined)
		return;
	exchange->parsing_pipelined = true;
	while (exchange->state == EXCHANGE_READING &&
	       exchange->pipelined->len) {
		GByteArray *bytes = exchange->pipelined;

		exchange->pipelined = g_byte_array_new();
		parse_bytes(exchange, (const char *)bytes->data, bytes->len);
		g_byte_array_unref(bytes);
	}
	exchange->parsing_pipelined = false;
}

static guint32 wanted_events(const struct http1_exchange *exchange)
{
	guint32 events = EPOLLRDHUP;

	if (exchange->output->len)
		events |= EPOLLOUT;
	if (exchange->pipelined->len < PIPELINED_MAX)
		events |= EPOLLIN;
	return events;
}

static void update_events(struct http1_exchange *exchange)
{
	if (exchange->state != EXCHANGE_CLOSED)
		http1_loop_modify(exchange->server->loop, &exchange->watch,
				  wanted_events(exchange));
}

/* If the answer is written completely, waits for the next request or begins to
 * close the connection. */
static void finish_write(struct http1_exchange *exchange)
{
	if (exchange->output->len || exchange->state != EXCHANGE_WRITING)
		return;
	if (!exchange->close_after_reply) {
		wait_for_request(exchange);
		return;
	}
	/* Closing a socket with unread bytes resets the connection, and the
	 * reset can discard the answer before the caller reads it. So shut down
	 * only the sending side and wait for the caller to close. */
	shutdown(exchange->watch.fd, SHUT_WR);
	set_state(exchange, EXCHANGE_LINGERING);
	g_byte_array_set_size(exchange->pipelined, 0);
	arm_timer(exchange, LINGER_TIMEOUT_US);
}

static void flush_output(struct http1_exchange *exchange)
{
	if (exchange->output->len &&
	    http1_socket_write(exchange->watch.fd, &exchange->output)) {
		abort_exchange(exchange);
		return;
	}
	count_output(exchange, exchange->output->len);
	finish_write(exchange);
}

static void handle_bytes(struct http1_exchange *exchange, const char *bytes,
			 gsize length)
{
	switch (exchange->state) {
	case EXCHANGE_READING:
		parse_bytes(exchange, bytes, length);
		break;
	case EXCHANGE_PROCESSING:
	case EXCHANGE_WRITING:
		g_byte_array_append(exchange->pipelined, (const guint8 *)bytes,
				    (guint)length);
		break;
	case EXCHANGE_LINGERING:
	case EXCHANGE_CLOSED:
		break;
	}
}

static void read_socket(struct http1_exchange *exchange)
{
	const char *bytes;
	gsize length;
	bool drained;

	switch (http1_socket_read(exchange->watch.fd, &bytes, &length,
				  &drained)) {
	case HTTP1_READ_AGAIN:
		break;
	case HTTP1_READ_BYTES:
		handle_bytes(exchange, bytes, length);
		parse_pipelined(exchange);
		break;
	case HTTP1_READ_EOF:
	case HTTP1_READ_ERROR:
		abort_exchange(exchange);
		break;
	}
}

static void on_ready(struct http1_watch *watch, guint32 events)
{
	struct http1_exchange *exchange = exchange_of(watch, watch);

	if (events & EPOLLOUT) {
		flush_output(exchange);
		parse_pipelined(exchange);
	}
	if (exchange->state != EXCHANGE_CLOSED && (events & EPOLLIN))
		read_socket(exchange);
	else if (exchange->state != EXCHANGE_CLOSED &&
		 (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)))
		abort_exchange(exchange);
	update_events(exchange);
}

static void on_timer(struct cs_timer *timer)
{
	struct http1_exchange *exchange = exchange_of(timer, timer);

	if (exchange->state == EXCHANGE_READING &&
	    http1_reader_started(exchange->reader)) {
		reject(exchange, 408);
		update_events(exchange);
	} else {
		close_exchange(exchange);
	}
}

static void open_exchange(struct http1_server *server, int fd)
{
	struct http1_exchange *exchange = g_new0(struct http1_exchange, 1);

	http1_socket_set_options(fd);
	exchange->server = server;
	exchange->watch.fd = fd;
	exchange->watch.ready = on_ready;
	exchange->timer.fire = on_timer;
	exchange->reader = http1_reader_create(true, &server->limits->message);
	exchange->pipelined = g_byte_array_new();
	exchange->output = g_byte_array_new();
	TAILQ_INSERT_TAIL(&server->exchanges, exchange, link);
	server->connections++;
	exchange->state = EXCHANGE_READING;
	if (http1_loop_add(server->loop, &exchange->watch,
			   EPOLLIN | EPOLLRDHUP)) {
		close_exchange(exchange);
		return;
	}
	wait_for_request(exchange);
	read_socket(exchange);
	update_events(exchange);
}

static void refuse_connection(struct http1_server *server, int fd,
			      const char *why)
{
	/* Not in the epoll set: removal only closes it. */
	struct http1_watch rejected = {.fd = fd};

	cs_log(LOG_WARNING, "connection-refused", "why", why, NULL);
	http1_loop_remove(server->loop, &rejected);
}

/* Accepts one connection. Returns false if none is waiting. */
static bool accept_connection(struct http1_server *server)
{
	struct sockaddr_in from = {0};
	socklen_t size = sizeof(from);
	int fd = accept4(server->listener.fd, (struct sockaddr *)&from, &size,
			 SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd < 0) {
		if (errno != EAGAIN)
			cs_log(LOG_WARNING, "accept-failed", "why",
			       g_strerror(errno), NULL);
		return false;
	}
	if (server->connections >= server->limits->connections_max)
		refuse_connection(server, fd, "limit");
	else if (server->hooks.admit &&
		 !server->hooks.admit(&from, server->hooks.user))
		refuse_connection(server, fd, "not-admitted");
	else
		open_exchange(server, fd);
	return true;
}

static void on_accept(struct http1_watch *watch, guint32 events)
{
	struct http1_server *server =
		(struct http1_server *)((char *)watch -
					offsetof(struct http1_server,
						 listener));

	for (int i = 0; i < ACCEPTS_PER_ITERATION; i++) {
		if (!accept_connection(server))
			return;
	}
}

static int listen_at(const struct sockaddr_in *at)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int on = 1;

	if (fd < 0)
		return -1;
	(void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (!bind(fd, (const struct sockaddr *)at, sizeof(*at)) &&
	    !listen(fd, LISTEN_BACKLOG))
		return fd;
	cs_log(LOG_ERR, "listen-failed", "why", g_strerror(errno), NULL);
	close(fd);
	return -1;
}

struct http1_server *http1_server_create(
	struct http1_loop *loop, const struct sockaddr_in *at,
	const struct http1_server_limits *limits,
	const struct http1_server_hooks *hooks)
{
	int fd = listen_at(at);
	struct http1_server *server;

	if (fd < 0)
		return NULL;
	server = g_new0(struct http1_server, 1);
	server->loop = loop;
	server->clock = http1_loop_clock(loop);
	server->limits = limits;
	server->hooks = *hooks;
	TAILQ_INIT(&server->exchanges);
	server->listener.fd = fd;
	server->listener.ready = on_accept;
	if (!http1_loop_add(loop, &server->listener, EPOLLIN))
		return server;
	http1_server_destroy(server);
	return NULL;
}

void http1_server_drain(struct http1_server *server)
{
	server->draining = true;
}

void http1_server_stop_accepting(struct http1_server *server)
{
	struct http1_exchange *exchange;
	struct http1_exchange *next;

	server->draining = true;
	/* Closing the listener resets the connections that are still queued. */
	if (server->listener.fd >= 0) {
		while (accept_connection(server))
			;
	}
	http1_loop_remove(server->loop, &server->listener);
	for (exchange = TAILQ_FIRST(&server->exchanges); exchange;
	     exchange = next) {
		next = TAILQ_NEXT(exchange, link);
		if (exchange->state == EXCHANGE_READING &&
		    !http1_reader_started(exchange->reader))
			close_exchange(exchange);
	}
}

guint http1_server_connection_count(const struct http1_server *server)
{
	return server->connections;
}

guint http1_server_open_exchanges(const struct http1_server *server)
{
	return server->open_exchanges;
}

guint http1_server_partial_requests(const struct http1_server *server)
{
	const struct http1_exchange *exchange;
	guint n = 0;

	TAILQ_FOREACH (exchange, &server->exchanges, link)
		n += exchange->state == EXCHANGE_READING &&
		     http1_reader_started(exchange->reader);
	return n;
}

void http1_server_destroy(struct http1_server *server)
{
	if (!server)
		return;
	while (!TAILQ_EMPTY(&server->exchanges))
		abort_exchange(TAILQ_FIRST(&server->exchanges));
	http1_loop_remove(server->loop, &server->listener);
	g_free(server);
}

void http1_exchange_set_data(struct http1_exchange *exchange, void *data)
{
	exchange->data = data;
}

void *http1_exchange_data(const struct http1_exchange *exchange)
{
	return exchange->data;
}

const struct http1_message *http1_exchange_request(
	const struct http1_exchange *exchange)
{
	return http1_reader_message(exchange->reader);
}

static const char *reason_phrase(guint status)
{
	switch (status) {
#define REASON(code, text)                                                     \
	case code:                                                             \
		return text;
		REASON(200, "OK")
		REASON(400, "Bad Request")
		REASON(404, "Not Found")
		REASON(405, "Method Not Allowed")
		REASON(408, "Request Timeout")
		REASON(409, "Conflict")
		REASON(413, "Payload Too Large")
		REASON(429, "Too Many Requests")
		REASON(431, "Request Header Fields Too Large")
		REASON(502, "Bad Gateway")
		REASON(503, "Service Unavailable")
		REASON(504, "Gateway Timeout")
#undef REASON
	default:
		return "Status";
	}
}

static bool has_no_body(const struct http1_exchange *exchange, guint status)
{
	const char *method = http1_reader_message(exchange->reader)->method;

	return status == 204 || status == 304 ||
	       (method && !strcmp(method, "HEAD"));
}

static void append_text(GByteArray *out, const char *text)
{
	g_byte_array_append(out, (const guint8 *)text, (guint)strlen(text));
}

void http1_exchange_reply(struct http1_exchange *exchange,
			  const struct http1_reply *reply)
{
	GByteArray *out = exchange->output;
	char line[128];

	exchange->close_after_reply =
		reply->close_after || exchange->server->draining ||
		!http1_reader_message(exchange->reader)->keep_alive;
	g_snprintf(line, sizeof(line), "HTTP/1.1 %u %s\r\n", reply->status,
		   reason_phrase(reply->status));
	append_text(out, line);
	if (reply->header_lines)
		append_text(out, reply->header_lines);
	if (reply->status != 204 && reply->status != 304) {
		g_snprintf(line, sizeof(line),
			   "Content-Length: %" G_GSIZE_FORMAT "\r\n",
			   reply->body_length);
		append_text(out, line);
	}
	append_text(out, exchange->close_after_reply
				 ? "Connection: close\r\n\r\n"
				 : "\r\n");
	if (reply->body_length && !has_no_body(exchange, reply->status))
		g_byte_array_append(out, reply->body,
				    (guint)reply->body_length);
	exchange->data = NULL;
	set_state(exchange, EXCHANGE_WRITING);
	count_output(exchange, out->len);
	flush_output(exchange);
	parse_pipelined(exchange);
	update_events(exchange);
}
