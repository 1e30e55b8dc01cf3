/* HTTP client connections. */
#include "socket.h"

#include "cuminsail/error.h"

#include <errno.h>
#include <sys/epoll.h>
#include <sys/socket.h>

struct http1_call {
	struct http1_watch watch;
	struct http1_loop *loop;
	struct http1_call_hooks hooks;
	struct http1_reader *reader;
	GByteArray *output; /* bytes still to be written */
	bool connected;
	bool awaiting_answer; /* a request has no answer yet */
	/* The last answer keeps the connection open and marks its own end, and
	 * the request had been written completely when it arrived. */
	bool reusable;
	bool no_body; /* the answer has no body, as for HEAD */
	bool trailing_bytes; /* unparsed bytes follow the current answer */
	bool closed;
};

static void free_call(void *user)
{
	struct http1_call *call = user;

	http1_reader_destroy(call->reader);
	g_byte_array_unref(call->output);
	g_free(call);
}

void http1_call_close(struct http1_call *call)
{
	if (call->closed)
		return;
	call->closed = true;
	http1_loop_remove(call->loop, &call->watch);
	http1_loop_defer(call->loop, free_call, call);
}

static void close_with_failure(struct http1_call *call,
			       enum http1_failure failure)
{
	if (call->closed)
		return;
	http1_call_close(call);
	call->hooks.ended(call, failure, call->hooks.user);
}

/* Closes a connection that failed or was closed by the other end. The failure
 * reported depends on how much was received before. */
static void close_interrupted(struct http1_call *call)
{
	if (!call->connected)
		close_with_failure(call, HTTP1_NOT_CONNECTED);
	else if (http1_reader_started(call->reader))
		close_with_failure(call, HTTP1_BROKEN);
	else
		close_with_failure(call, HTTP1_CLOSED);
}

/* Passes a complete answer to the owner. Returns whether the connection is
 * still open. */
static bool deliver_answer(struct http1_call *call)
{
	struct http1_message *answer = http1_reader_message(call->reader);

	call->reusable =
		answer->keep_alive && answer->framed && !call->output->len;
	call->awaiting_answer = false;
	if (!call->hooks.answer(call, answer, call->hooks.user)) {
		call->awaiting_answer = true;
		if (!call->reusable) {
			/* The connection ends with the skipped answer, so that
			 * the awaited one cannot arrive. */
			http1_reader_reset(call->reader, call->no_body);
			close_interrupted(call);
			return false;
		}
	}
	if (call->closed)
		return false;
	http1_reader_reset(call->reader, call->no_body);
	return true;
}

static void parse_bytes(struct http1_call *call, const char *bytes,
			gsize length)
{
	while (length && !call->closed) {
		gsize used = 0;
		enum http1_state state;

		/* No request awaits an answer: the bytes are unexpected. */
		if (!call->awaiting_answer) {
			close_interrupted(call);
			return;
		}
		state = http1_reader_feed(call->reader, bytes, length, &used);
		if (state == HTTP1_MORE)
			return;
		if (state != HTTP1_COMPLETE) {
			close_with_failure(call, state == HTTP1_BAD
							 ? HTTP1_BROKEN
							 : HTTP1_OVERSIZE);
			return;
		}
		bytes += used;
		length -= used;
		call->trailing_bytes = length > 0;
		if (!deliver_answer(call))
			return;
		call->trailing_bytes = false;
	}
}

static void handle_eof(struct http1_call *call)
{
	if (call->awaiting_answer &&
	    http1_reader_eof(call->reader) == HTTP1_COMPLETE &&
	    !deliver_answer(call))
		return;
	close_interrupted(call);
}

static void read_socket(struct http1_call *call)
{
	const char *bytes;
	gsize length;
	bool drained = false;

	while (!call->closed && !drained) {
		switch (http1_socket_read(call->watch.fd, &bytes, &length,
					  &drained)) {
		case HTTP1_READ_AGAIN:
			break;
		case HTTP1_READ_BYTES:
			parse_bytes(call, bytes, length);
			break;
		case HTTP1_READ_EOF:
			handle_eof(call);
			return;
		case HTTP1_READ_ERROR:
			close_interrupted(call);
			return;
		}
	}
}

static guint32 wanted_events(const struct http1_call *call)
{
	return EPOLLIN | (call->output->len || !call->connected ? EPOLLOUT : 0);
}

static void flush_output(struct http1_call *call)
{
	if (call->output->len &&
	    http1_socket_write(call->watch.fd, call->output)) {
		/* An answer may have arrived before the connection was reset;
		 * read it first. */
		read_socket(call);
		close_interrupted(call);
		return;
	}
	http1_loop_modify(call->loop, &call->watch, wanted_events(call));
}

static void finish_connect(struct http1_call *call)
{
	int error = 0;
	socklen_t size = sizeof(error);

	getsockopt(call->watch.fd, SOL_SOCKET, SO_ERROR, &error, &size);
	if (error) {
		close_interrupted(call);
		return;
	}
	call->connected = true;
	call->hooks.connected(call, call->hooks.user);
	if (!call->closed)
		flush_output(call);
}

static void on_ready(struct http1_watch *watch, guint32 events)
{
	struct http1_call *call =
		(struct http1_call *)((char *)watch -
				      offsetof(struct http1_call, watch));

	if (!call->connected) {
		finish_connect(call);
		return;
	}
	if (events & EPOLLOUT)
		flush_output(call);
	if (!call->closed && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)))
		read_socket(call);
}

struct http1_call *http1_call_open(struct http1_loop *loop,
				   const struct sockaddr_in *to,
				   const struct http1_limits *limits,
				   const struct http1_call_hooks *hooks)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	struct http1_call *call;

	if (fd < 0)
		return NULL;
	http1_socket_set_options(fd);
	call = g_new0(struct http1_call, 1);
	call->loop = loop;
	call->hooks = *hooks;
	call->watch.fd = fd;
	call->watch.ready = on_ready;
	call->reader = http1_reader_create(false, limits);
	call->output = g_byte_array_new();
	call->reusable = true;
	if ((!connect(fd, (const struct sockaddr *)to, sizeof(*to)) ||
	     errno == EINPROGRESS) &&
	    !http1_loop_add(loop, &call->watch, EPOLLIN | EPOLLOUT))
		return call;
	http1_call_close(call);
	return NULL;
}

void http1_call_send(struct http1_call *call, const GString *head,
		     const void *body, gsize length, bool no_body)
{
	call->awaiting_answer = true;
	call->no_body = no_body;
	http1_reader_reset(call->reader, no_body);
	g_byte_array_append(call->output, (const guint8 *)head->str,
			    (guint)head->len);
	if (length)
		g_byte_array_append(call->output, body, (guint)length);
	if (!call->connected)
		return;
	/* A failed write is reported again by epoll, so that the ended callback
	 * does not run inside the caller of this function. */
	(void)http1_socket_write(call->watch.fd, call->output);
	http1_loop_modify(call->loop, &call->watch, wanted_events(call));
}

bool http1_call_idle(const struct http1_call *call)
{
	return call->connected && !call->awaiting_answer && call->reusable &&
	       !call->trailing_bytes && !call->closed;
}
