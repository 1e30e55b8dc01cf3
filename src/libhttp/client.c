/* The side that connects to others. */
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
	GByteArray *out;
	bool connected;
	bool busy; /* a request was sent and not yet answered */
	bool keep; /* the last answer leaves the connection open */
	bool bodiless;
	bool surplus; /* bytes stand behind the answer being given */
	bool dead;
};

static void free_call(void *user)
{
	struct http1_call *call = user;

	http1_reader_destroy(call->reader);
	g_byte_array_unref(call->out);
	g_free(call);
}

void http1_call_close(struct http1_call *call)
{
	if (call->dead)
		return;
	call->dead = true;
	http1_loop_remove(call->loop, &call->watch);
	http1_loop_defer(call->loop, free_call, call);
}

static void end_as(struct http1_call *call, enum http1_failure why)
{
	if (call->dead)
		return;
	http1_call_close(call);
	call->hooks.ended(call, why, call->hooks.user);
}

static void end(struct http1_call *call)
{
	if (!call->connected)
		end_as(call, HTTP1_NOT_CONNECTED);
	else if (http1_reader_started(call->reader))
		end_as(call, HTTP1_BROKEN);
	else
		end_as(call, HTTP1_CLOSED);
}

/* Passes a complete answer on. Return: whether the connection goes on. */
static bool give_answer(struct http1_call *call)
{
	struct http1_message *answer = http1_reader_message(call->reader);

	call->keep = answer->keep_alive && answer->framed && !call->out->len;
	call->busy = false;
	if (!call->hooks.answer(call, answer, call->hooks.user)) {
		call->busy = true;
		if (!call->keep) {
			/* The awaited answer cannot come any more. */
			http1_reader_reset(call->reader, call->bodiless);
			end(call);
			return false;
		}
	}
	if (call->dead)
		return false;
	http1_reader_reset(call->reader, call->bodiless);
	return true;
}

static void take_bytes(struct http1_call *call, const char *bytes, gsize length)
{
	while (length && !call->dead) {
		gsize used = 0;
		enum http1_state state;

		/* Bytes that answer nothing belong to no request. */
		if (!call->busy) {
			end(call);
			return;
		}
		state = http1_reader_feed(call->reader, bytes, length, &used);
		if (state == HTTP1_MORE)
			return;
		if (state != HTTP1_COMPLETE) {
			end_as(call, state == HTTP1_BAD ? HTTP1_BROKEN
							: HTTP1_OVERSIZE);
			return;
		}
		bytes += used;
		length -= used;
		call->surplus = length > 0;
		if (!give_answer(call))
			return;
		call->surplus = false;
	}
}

static void take_end(struct http1_call *call)
{
	if (call->busy && http1_reader_eof(call->reader) == HTTP1_COMPLETE &&
	    !give_answer(call))
		return;
	end(call);
}

static void read_in(struct http1_call *call)
{
	const char *bytes;
	gsize length;
	bool drained = false;

	while (!call->dead && !drained) {
		switch (http1_socket_read(call->watch.fd, &bytes, &length,
					  &drained)) {
		case HTTP1_READ_NOTHING:
			break;
		case HTTP1_READ_BYTES:
			take_bytes(call, bytes, length);
			break;
		case HTTP1_READ_END:
			take_end(call);
			return;
		case HTTP1_READ_ERROR:
			end(call);
			return;
		}
	}
}

static guint32 wanted_events(const struct http1_call *call)
{
	return EPOLLIN | (call->out->len || !call->connected ? EPOLLOUT : 0);
}

static void write_out(struct http1_call *call)
{
	if (call->out->len && http1_socket_write(call->watch.fd, call->out)) {
		/* An answer may stand before the reset; read it first. */
		read_in(call);
		end(call);
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
		end(call);
		return;
	}
	call->connected = true;
	call->hooks.connected(call, call->hooks.user);
	if (!call->dead)
		write_out(call);
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
		write_out(call);
	if (!call->dead && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)))
		read_in(call);
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
	http1_socket_tune(fd);
	call = g_new0(struct http1_call, 1);
	call->loop = loop;
	call->hooks = *hooks;
	call->watch.fd = fd;
	call->watch.ready = on_ready;
	call->reader = http1_reader_create(false, limits);
	call->out = g_byte_array_new();
	call->keep = true;
	if ((!connect(fd, (const struct sockaddr *)to, sizeof(*to)) ||
	     errno == EINPROGRESS) &&
	    !http1_loop_add(loop, &call->watch, EPOLLIN | EPOLLOUT))
		return call;
	http1_call_close(call);
	return NULL;
}

void http1_call_send(struct http1_call *call, const GString *head,
		     const void *body, gsize length, bool bodiless)
{
	call->busy = true;
	call->bodiless = bodiless;
	http1_reader_reset(call->reader, bodiless);
	g_byte_array_append(call->out, (const guint8 *)head->str,
			    (guint)head->len);
	if (length)
		g_byte_array_append(call->out, body, (guint)length);
	if (!call->connected)
		return;
	/* A write that fails shows again as an event, outside the caller. */
	(void)http1_socket_write(call->watch.fd, call->out);
	http1_loop_modify(call->loop, &call->watch, wanted_events(call));
}

bool http1_call_idle(const struct http1_call *call)
{
	return call->connected && !call->busy && call->keep && !call->surplus &&
	       !call->dead;
}
