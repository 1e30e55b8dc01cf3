/* The side that callers connect to. */
#include "socket.h"

#include "cuminsail/error.h"
#include "cuminsail/log.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

/* Connections that the kernel holds until they are accepted. */
#define BACKLOG 1024

/* Connections accepted in one turn, so that open requests get theirs too. */
#define ACCEPTS_PER_TURN 32

/* Bytes of further requests kept while one is in progress. */
#define AHEAD_MAX 65536

/* After a refusal, longest wait for the caller's own close. */
#define LINGER_US (1 * CS_US_PER_S)

struct http1_exchange {
	struct http1_watch watch;
	TAILQ_ENTRY(http1_exchange) link;
	struct http1_server *server;
	struct http1_reader *reader;
	GByteArray *ahead; /* bytes that came after the request in progress */
	GByteArray *out;
	struct cs_timer timer;
	void *data;
	enum {
		EXCHANGE_READING, /* waits for a request or reads one */
		EXCHANGE_WORKING, /* the owner has it */
		EXCHANGE_WRITING,
		EXCHANGE_LINGERING, /* reads and drops until the caller ends */
		EXCHANGE_DEAD,
	} state;
	bool close; /* after the answer */
	bool in_feed;
};

struct http1_server {
	struct http1_loop *loop;
	struct cs_clock *clock;
	const struct http1_server_limits *limits;
	struct http1_server_hooks hooks;
	struct http1_watch listener;
	TAILQ_HEAD(, http1_exchange) exchanges;
	guint connections;
	guint open;
	bool draining;
};

#define exchange_of(pointer, member)                                           \
	((struct http1_exchange *)((char *)(pointer)-offsetof(                 \
		struct http1_exchange, member)))

static void free_exchange(void *user)
{
	struct http1_exchange *exchange = user;

	http1_reader_destroy(exchange->reader);
	g_byte_array_unref(exchange->ahead);
	g_byte_array_unref(exchange->out);
	g_free(exchange);
}

static bool is_open(const struct http1_exchange *exchange)
{
	return exchange->state == EXCHANGE_WORKING ||
	       exchange->state == EXCHANGE_WRITING;
}

static void set_state(struct http1_exchange *exchange, int state)
{
	struct http1_server *server = exchange->server;

	server->open -= is_open(exchange);
	exchange->state = state;
	server->open += is_open(exchange);
}

static void end_exchange(struct http1_exchange *exchange)
{
	struct http1_server *server = exchange->server;

	if (exchange->state == EXCHANGE_DEAD)
		return;
	set_state(exchange, EXCHANGE_DEAD);
	cs_timer_disarm(server->clock, &exchange->timer);
	http1_loop_remove(server->loop, &exchange->watch);
	TAILQ_REMOVE(&server->exchanges, exchange, link);
	server->connections--;
	http1_loop_defer(server->loop, free_exchange, exchange);
}

static void lose_caller(struct http1_exchange *exchange)
{
	struct http1_server *server = exchange->server;

	if (exchange->state == EXCHANGE_WORKING)
		server->hooks.gone(exchange, server->hooks.user);
	end_exchange(exchange);
}

static void arm(struct http1_exchange *exchange, gint64 delay_us)
{
	struct cs_clock *clock = exchange->server->clock;

	cs_timer_arm(clock, &exchange->timer, cs_clock_now(clock) + delay_us);
}

static void wait_for_request(struct http1_exchange *exchange)
{
	set_state(exchange, EXCHANGE_READING);
	http1_reader_reset(exchange->reader, false);
	arm(exchange, exchange->server->limits->idle_us);
}

int http1_refusal_code(guint status)
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

static void refuse(struct http1_exchange *exchange, guint status)
{
	struct http1_server *server = exchange->server;
	struct http1_reply reply = {.status = status, .close = true};

	if (server->hooks.refused)
		server->hooks.refused(&reply, server->hooks.user);
	set_state(exchange, EXCHANGE_WORKING);
	http1_exchange_reply(exchange, &reply);
}

static void take_state(struct http1_exchange *exchange, enum http1_state state)
{
	struct http1_server *server = exchange->server;

	switch (state) {
	case HTTP1_MORE:
		break;
	case HTTP1_COMPLETE:
		cs_timer_disarm(server->clock, &exchange->timer);
		set_state(exchange, EXCHANGE_WORKING);
		server->hooks.request(exchange,
				      http1_reader_message(exchange->reader),
				      server->hooks.user);
		break;
	case HTTP1_BAD:
		refuse(exchange, 400);
		break;
	case HTTP1_HEAD_TOO_LARGE:
		refuse(exchange, 431);
		break;
	case HTTP1_BODY_TOO_LARGE:
		refuse(exchange, 413);
		break;
	}
}

static void send_continue(struct http1_exchange *exchange)
{
	static const char line[] = "HTTP/1.1 100 Continue\r\n\r\n";
	const char *expect = http1_message_get(
		http1_reader_message(exchange->reader), "Expect");

	if (!expect || g_ascii_strcasecmp(expect, "100-continue") != 0)
		return;
	g_byte_array_append(exchange->out, (const guint8 *)line,
			    sizeof(line) - 1);
	if (http1_socket_write(exchange->watch.fd, exchange->out))
		lose_caller(exchange);
}

/* Bytes for the request being read; the rest is kept. */
static void feed(struct http1_exchange *exchange, const char *bytes,
		 gsize length)
{
	struct http1_reader *reader = exchange->reader;
	bool had_started = http1_reader_started(reader);
	bool had_head = http1_reader_head_done(reader);
	gsize used = 0;
	enum http1_state state =
		http1_reader_feed(reader, bytes, length, &used);

	if (!had_started)
		arm(exchange, exchange->server->limits->head_us);
	if (state == HTTP1_COMPLETE && used < length)
		g_byte_array_append(exchange->ahead,
				    (const guint8 *)bytes + used,
				    (guint)(length - used));
	if (state == HTTP1_MORE && !had_head && http1_reader_head_done(reader))
		send_continue(exchange);
	if (exchange->state == EXCHANGE_READING)
		take_state(exchange, state);
}

/* Requests that came while an earlier one was answered. */
static void feed_ahead(struct http1_exchange *exchange)
{
	if (exchange->in_feed)
		return;
	exchange->in_feed = true;
	while (exchange->state == EXCHANGE_READING && exchange->ahead->len) {
		GByteArray *bytes = exchange->ahead;

		exchange->ahead = g_byte_array_new();
		feed(exchange, (const char *)bytes->data, bytes->len);
		g_byte_array_unref(bytes);
	}
	exchange->in_feed = false;
}

static guint32 wanted_events(const struct http1_exchange *exchange)
{
	guint32 events = EPOLLRDHUP;

	if (exchange->out->len)
		events |= EPOLLOUT;
	if (exchange->ahead->len < AHEAD_MAX)
		events |= EPOLLIN;
	return events;
}

static void update_events(struct http1_exchange *exchange)
{
	if (exchange->state != EXCHANGE_DEAD)
		http1_loop_modify(exchange->server->loop, &exchange->watch,
				  wanted_events(exchange));
}

static void after_write(struct http1_exchange *exchange)
{
	if (exchange->out->len || exchange->state != EXCHANGE_WRITING)
		return;
	if (!exchange->close) {
		wait_for_request(exchange);
		return;
	}
	/* A close with unread bytes would reset the answer away. */
	shutdown(exchange->watch.fd, SHUT_WR);
	set_state(exchange, EXCHANGE_LINGERING);
	g_byte_array_set_size(exchange->ahead, 0);
	arm(exchange, LINGER_US);
}

static void write_out(struct http1_exchange *exchange)
{
	if (exchange->out->len &&
	    http1_socket_write(exchange->watch.fd, exchange->out)) {
		lose_caller(exchange);
		return;
	}
	after_write(exchange);
}

static void take_bytes(struct http1_exchange *exchange, const char *bytes,
		       gsize length)
{
	switch (exchange->state) {
	case EXCHANGE_READING:
		feed(exchange, bytes, length);
		break;
	case EXCHANGE_WORKING:
	case EXCHANGE_WRITING:
		g_byte_array_append(exchange->ahead, (const guint8 *)bytes,
				    (guint)length);
		break;
	case EXCHANGE_LINGERING:
	case EXCHANGE_DEAD:
		break;
	}
}

static void read_in(struct http1_exchange *exchange)
{
	const char *bytes;
	gsize length;
	bool drained;

	switch (http1_socket_read(exchange->watch.fd, &bytes, &length,
				  &drained)) {
	case HTTP1_READ_NOTHING:
		break;
	case HTTP1_READ_BYTES:
		take_bytes(exchange, bytes, length);
		feed_ahead(exchange);
		break;
	case HTTP1_READ_END:
	case HTTP1_READ_ERROR:
		lose_caller(exchange);
		break;
	}
}

static void on_ready(struct http1_watch *watch, guint32 events)
{
	struct http1_exchange *exchange = exchange_of(watch, watch);

	if (events & EPOLLOUT) {
		write_out(exchange);
		feed_ahead(exchange);
	}
	if (exchange->state != EXCHANGE_DEAD && (events & EPOLLIN))
		read_in(exchange);
	else if (exchange->state != EXCHANGE_DEAD &&
		 (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)))
		lose_caller(exchange);
	update_events(exchange);
}

static void on_timer(struct cs_timer *timer)
{
	struct http1_exchange *exchange = exchange_of(timer, timer);

	if (exchange->state == EXCHANGE_READING &&
	    http1_reader_started(exchange->reader)) {
		refuse(exchange, 408);
		update_events(exchange);
	} else {
		end_exchange(exchange);
	}
}

static void open_exchange(struct http1_server *server, int fd)
{
	struct http1_exchange *exchange = g_new0(struct http1_exchange, 1);

	http1_socket_tune(fd);
	exchange->server = server;
	exchange->watch.fd = fd;
	exchange->watch.ready = on_ready;
	exchange->timer.fire = on_timer;
	exchange->reader = http1_reader_create(true, &server->limits->message);
	exchange->ahead = g_byte_array_new();
	exchange->out = g_byte_array_new();
	TAILQ_INSERT_TAIL(&server->exchanges, exchange, link);
	server->connections++;
	exchange->state = EXCHANGE_READING;
	if (http1_loop_add(server->loop, &exchange->watch,
			   EPOLLIN | EPOLLRDHUP)) {
		end_exchange(exchange);
		return;
	}
	wait_for_request(exchange);
	read_in(exchange);
	update_events(exchange);
}

static void on_accept(struct http1_watch *watch, guint32 events)
{
	struct http1_server *server =
		(struct http1_server *)((char *)watch -
					offsetof(struct http1_server,
						 listener));

	for (int i = 0; i < ACCEPTS_PER_TURN; i++) {
		int fd = accept4(watch->fd, NULL, NULL,
				 SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0) {
			if (errno != EAGAIN)
				cs_log(LOG_WARNING, "accept-failed", "why",
				       g_strerror(errno), NULL);
			return;
		}
		if (server->connections >= server->limits->connections) {
			struct http1_watch none = {.fd = fd};

			cs_log(LOG_WARNING, "connection-refused", "why",
			       "limit", NULL);
			http1_loop_remove(server->loop, &none);
			continue;
		}
		open_exchange(server, fd);
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
	    !listen(fd, BACKLOG))
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

void http1_server_retire(struct http1_server *server)
{
	struct http1_exchange *exchange;
	struct http1_exchange *next;

	server->draining = true;
	http1_loop_remove(server->loop, &server->listener);
	for (exchange = TAILQ_FIRST(&server->exchanges); exchange;
	     exchange = next) {
		next = TAILQ_NEXT(exchange, link);
		if (exchange->state == EXCHANGE_READING &&
		    !http1_reader_started(exchange->reader))
			end_exchange(exchange);
	}
}

guint http1_server_connections(const struct http1_server *server)
{
	return server->connections;
}

guint http1_server_open(const struct http1_server *server)
{
	return server->open;
}

guint http1_server_reading(const struct http1_server *server)
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
		lose_caller(TAILQ_FIRST(&server->exchanges));
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

static const char *reason_of(guint status)
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
	GByteArray *out = exchange->out;
	char line[128];

	exchange->close = reply->close || exchange->server->draining ||
			  !http1_reader_message(exchange->reader)->keep_alive;
	g_snprintf(line, sizeof(line), "HTTP/1.1 %u %s\r\n", reply->status,
		   reason_of(reply->status));
	append_text(out, line);
	if (reply->lines)
		append_text(out, reply->lines);
	if (reply->status != 204 && reply->status != 304) {
		g_snprintf(line, sizeof(line),
			   "Content-Length: %" G_GSIZE_FORMAT "\r\n",
			   reply->length);
		append_text(out, line);
	}
	append_text(out,
		    exchange->close ? "Connection: close\r\n\r\n" : "\r\n");
	if (reply->length && !has_no_body(exchange, reply->status))
		g_byte_array_append(out, reply->body, (guint)reply->length);
	exchange->data = NULL;
	set_state(exchange, EXCHANGE_WRITING);
	write_out(exchange);
	feed_ahead(exchange);
	update_events(exchange);
}
