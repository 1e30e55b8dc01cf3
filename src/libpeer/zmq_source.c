/* A ZeroMQ socket as an event source of the GLib main loop. */
#include "zmq_source.h"

#include <stdbool.h>
#include <zmq.h>

struct peer_source {
	GSource base;
	void *socket;
	void (*receive)(void *user);
	void *user;
};

static bool can_read(void *socket)
{
	int events = 0;
	size_t size = sizeof(events);

	if (zmq_getsockopt(socket, ZMQ_EVENTS, &events, &size) != 0)
		return false;
	return events & ZMQ_POLLIN;
}

static gboolean source_prepare(GSource *base, gint *timeout_ms)
{
	*timeout_ms = -1;
	return can_read(((struct peer_source *)base)->socket);
}

static gboolean source_check(GSource *base)
{
	return can_read(((struct peer_source *)base)->socket);
}

static gboolean source_dispatch(GSource *base, GSourceFunc func, gpointer user)
{
	struct peer_source *source = (struct peer_source *)base;

	source->receive(source->user);
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs source_funcs = {
	.prepare = source_prepare,
	.check = source_check,
	.dispatch = source_dispatch,
};

GSource *peer_source_create(void *socket, void (*receive)(void *user),
			    void *user)
{
	GSource *base = g_source_new(&source_funcs, sizeof(struct peer_source));
	struct peer_source *source = (struct peer_source *)base;
	int fd = -1;
	size_t size = sizeof(fd);

	source->socket = socket;
	source->receive = receive;
	source->user = user;
	zmq_getsockopt(socket, ZMQ_FD, &fd, &size);
	g_source_add_unix_fd(base, fd, G_IO_IN);
	g_source_attach(base, NULL);
	return base;
}
