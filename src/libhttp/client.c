/* HTTP client connections. */
#include "socket.h"

#include "cuminsail/endpoint.h"
#include "cuminsail/error.h"
#include "cuminsail/log.h"

#include <errno.h>
#include <sys/epoll.h>
#include <sys/socket.h>

/* Most answers that the owner may skip before the awaited one: a few late
 * answers can be underway, more show that the other end does not answer
 * requests. */
#define SKIPPED_MAX 8

struct http1_client {
	struct http1_watch watch;
	struct http1_loop *loop;
	struct sockaddr_in to;
	struct http1_client_hooks hooks;
	struct http1_reader *reader;
	GByteArray *output; /* bytes still to be written */
	bool connected;
	/* A write has failed, and has taken the error of the socket with it:
	 * the end of the connection that a read reports is not an orderly one.
	 */
	bool write_failed;
	bool awaiting_answer; /* a request has no answer yet */
	/* The last answer keeps the connection open and marks its own end, and
	 * the request had been written completely when it arrived. */
	bool reusable;
	bool no_body; /* the answer has no body, as for HEAD */
	guint n_skipped; /* answers skipped since the last request */
	bool trailing_bytes; /* unparsed bytes follow the current answer */
	bool closed;
};

static void free_client(void *user)
{
	struct http1_client *client = user;

	http1_reader_destroy(client->reader);
	g_byte_array_unref(client->output);
	g_free(client);
}

void http1_client_close(struct http1_client *client)
{
	if (client->closed)
		return;
	client->closed = true;
	http1_reader_release_memory(client->reader);
	http1_loop_remove(client->loop, &client->watch);
	http1_loop_defer(client->loop, free_client, client);
}

static void close_with_failure(struct http1_client *client,
			       enum http1_failure failure)
{
	if (client->closed)
		return;
	http1_client_close(client);
	client->hooks.closed(client, failure, client->hooks.user);
}

/* Closes a connection that failed or was closed by the other end. The failure
 * reported depends on how much was received before. */
static void close_interrupted(struct http1_client *client)
{
	if (!client->connected)
		close_with_failure(client, HTTP1_NOT_CONNECTED);
	else if (http1_reader_started(client->reader))
		close_with_failure(client, HTTP1_BROKEN);
	else
		close_with_failure(client, HTTP1_CLOSED);
}

/* Passes a complete answer to the owner. Returns whether the connection is
 * still open. */
static bool deliver_answer(struct http1_client *client)
{
	struct http1_message *answer = http1_reader_message(client->reader);

	client->reusable = answer->keep_alive && answer->self_delimited &&
			   !client->output->len;
	client->awaiting_answer = false;
	if (!client->hooks.answer(client, answer, client->hooks.user)) {
		client->awaiting_answer = true;
		if (!client->reusable || ++client->n_skipped > SKIPPED_MAX) {
			/* If the connection ends with the skipped answer, the
			 * awaited one cannot arrive. */
			http1_reader_reset(client->reader, client->no_body);
			close_interrupted(client);
			return false;
		}
	}
	if (client->closed)
		return false;
	http1_reader_reset(client->reader, client->no_body);
	return true;
}

const char *http1_client_fault(const struct http1_client *client)
{
	return http1_reader_fault(client->reader);
}

static void log_fault(const struct http1_client *client)
{
	char from[CS_ENDPOINT_TEXT_SIZE];

	cs_endpoint_print(&client->to, from);
	cs_log(LOG_NOTICE, "answer-invalid", "from", from, "reason",
	       http1_client_fault(client), NULL);
}

static void parse_bytes(struct http1_client *client, const char *bytes,
			gsize length)
{
	while (length && !client->closed) {
		gsize used = 0;
		enum http1_reader_state state;

		/* No request awaits an answer: the bytes are unexpected. */
		if (!client->awaiting_answer) {
			close_interrupted(client);
			return;
		}
		state = http1_reader_feed(client->reader, bytes, length, &used);
		if (state == HTTP1_INCOMPLETE)
			return;
		if (state != HTTP1_COMPLETE) {
			log_fault(client);
			close_with_failure(client, state == HTTP1_INVALID
							   ? HTTP1_BROKEN
							   : HTTP1_TOO_LARGE);
			return;
		}
		bytes += used;
		length -= used;
		client->trailing_bytes = length > 0;
		if (!deliver_answer(client))
			return;
		client->trailing_bytes = false;
	}
}

static void handle_eof(struct http1_client *client)
{
	if (client->awaiting_answer && !client->write_failed &&
	    http1_reader_eof(client->reader) == HTTP1_COMPLETE &&
	    !deliver_answer(client))
		return;
	close_interrupted(client);
}

/* ended: the connection has ended, so that it is read up to its end. */
static void read_socket(struct http1_client *client, bool ended)
{
	const char *bytes;
	gsize length;
	bool drained = false;

	while (!client->closed && (ended || !drained)) {
		switch (http1_socket_read(client->watch.fd, &bytes, &length,
					  &drained)) {
		case HTTP1_READ_AGAIN:
			return;
		case HTTP1_READ_BYTES:
			parse_bytes(client, bytes, length);
			break;
		case HTTP1_READ_EOF:
			handle_eof(client);
			return;
		case HTTP1_READ_ERROR:
			close_interrupted(client);
			return;
		}
	}
}

static guint32 wanted_events(const struct http1_client *client)
{
	return EPOLLIN |
	       (client->output->len || !client->connected ? EPOLLOUT : 0);
}

/* Writes as much of the output as the socket takes. */
static void write_output(struct http1_client *client)
{
	if (http1_socket_write(client->watch.fd, &client->output))
		client->write_failed = true;
}

static void flush_output(struct http1_client *client)
{
	if (client->output->len)
		write_output(client);
	if (client->write_failed) {
		/* An answer may have arrived before the connection was reset;
		 * read it first. */
		read_socket(client, true);
		close_interrupted(client);
		return;
	}
	http1_loop_modify(client->loop, &client->watch, wanted_events(client));
}

static void finish_connect(struct http1_client *client)
{
	int error = 0;
	socklen_t size = sizeof(error);

	getsockopt(client->watch.fd, SOL_SOCKET, SO_ERROR, &error, &size);
	if (error) {
		close_interrupted(client);
		return;
	}
	client->connected = true;
	client->hooks.connected(client, client->hooks.user);
	if (!client->closed)
		flush_output(client);
}

static void on_ready(struct http1_watch *watch, guint32 events)
{
	struct http1_client *client =
		(struct http1_client *)((char *)watch -
					offsetof(struct http1_client, watch));

	if (!client->connected) {
		finish_connect(client);
		return;
	}
	/* A write after a reset fails and clears the socket's error, so the
	 * answer is read first, up to its end or the error. */
	if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
		read_socket(client, events & (EPOLLHUP | EPOLLERR));
	if (!client->closed && (events & EPOLLOUT))
		flush_output(client);
}

static bool bind_to(int fd, const struct sockaddr_in *from)
{
	struct sockaddr_in address = {.sin_family = AF_INET};

	if (!from)
		return true;
	address.sin_addr = from->sin_addr;
	return !bind(fd, (const struct sockaddr *)&address, sizeof(address));
}

struct http1_client *http1_client_open(struct http1_loop *loop,
				       const struct sockaddr_in *to,
				       const struct http1_limits *limits,
				       const struct http1_client_hooks *hooks)
{
	return http1_client_open_from(loop, NULL, to, limits, hooks);
}

struct http1_client *http1_client_open_from(
	struct http1_loop *loop, const struct sockaddr_in *from,
	const struct sockaddr_in *to, const struct http1_limits *limits,
	const struct http1_client_hooks *hooks)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	struct http1_client *client;

	if (fd < 0)
		return NULL;
	http1_socket_set_options(fd);
	client = g_new0(struct http1_client, 1);
	client->loop = loop;
	client->to = *to;
	client->hooks = *hooks;
	client->watch.fd = fd;
	client->watch.ready = on_ready;
	client->reader = http1_reader_create(false, limits);
	client->output = g_byte_array_new();
	client->reusable = true;
	if (bind_to(fd, from) &&
	    (!connect(fd, (const struct sockaddr *)to, sizeof(*to)) ||
	     errno == EINPROGRESS) &&
	    !http1_loop_add(loop, &client->watch, EPOLLIN | EPOLLOUT))
		return client;
	http1_client_close(client);
	return NULL;
}

void http1_client_set_interim(
	struct http1_client *client,
	void (*interim)(const struct http1_message *message, void *user))
{
	http1_reader_set_interim(client->reader, interim, client->hooks.user);
}

void http1_client_send(struct http1_client *client, const GString *head,
		       const void *body, gsize length, bool no_body)
{
	client->awaiting_answer = true;
	client->n_skipped = 0;
	client->no_body = no_body;
	http1_reader_reset(client->reader, no_body);
	g_byte_array_append(client->output, (const guint8 *)head->str,
			    (guint)head->len);
	if (length)
		g_byte_array_append(client->output, body, (guint)length);
	if (!client->connected)
		return;
	/* epoll reports the end of the connection after a failed write, so that
	 * the closed callback does not run inside the caller of this function.
	 */
	write_output(client);
	http1_loop_modify(client->loop, &client->watch, wanted_events(client));
}

bool http1_client_idle(const struct http1_client *client)
{
	return client->connected && !client->awaiting_answer &&
	       client->reusable && !client->trailing_bytes && !client->closed;
}
