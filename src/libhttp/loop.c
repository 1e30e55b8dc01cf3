/* The epoll set behind all sockets: one source of the GLib loop. */
#include "cuminsail/http1.h"

#include "cuminsail/error.h"
#include "cuminsail/log.h"

#include <errno.h>
#include <sys/epoll.h>
#include <unistd.h>

/* Events taken from the kernel in one turn. */
#define EVENTS_PER_TURN 64

struct deferred {
	void (*call)(void *user);
	void *user;
};

struct http1_loop {
	struct cs_clock *clock;
	GSource *source;
	int epoll;
	GArray *deferred; /* struct deferred */
	struct epoll_event events[EVENTS_PER_TURN];
	int n_events;
	int next_event;
};

struct loop_source {
	GSource base;
	struct http1_loop *loop;
};

static void run_deferred(struct http1_loop *loop)
{
	for (guint i = 0; i < loop->deferred->len; i++) {
		struct deferred item =
			g_array_index(loop->deferred, struct deferred, i);

		item.call(item.user);
	}
	g_array_set_size(loop->deferred, 0);
}

static void turn(struct http1_loop *loop)
{
	loop->n_events =
		epoll_wait(loop->epoll, loop->events, EVENTS_PER_TURN, 0);
	for (loop->next_event = 0; loop->next_event < loop->n_events;) {
		struct epoll_event *event = &loop->events[loop->next_event++];
		struct http1_watch *watch = event->data.ptr;

		if (watch)
			watch->ready(watch, event->events);
	}
	loop->n_events = 0;
	run_deferred(loop);
}

static gboolean source_prepare(GSource *base, gint *timeout_ms)
{
	struct http1_loop *loop = ((struct loop_source *)base)->loop;

	*timeout_ms = -1;
	return loop->deferred->len > 0;
}

static gboolean source_dispatch(GSource *base, GSourceFunc func, gpointer user)
{
	turn(((struct loop_source *)base)->loop);
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs source_funcs = {
	.prepare = source_prepare,
	.dispatch = source_dispatch,
};

struct http1_loop *http1_loop_create(struct cs_clock *clock)
{
	int epoll = epoll_create1(EPOLL_CLOEXEC);
	struct http1_loop *loop;

	if (epoll < 0)
		return NULL;
	loop = g_new0(struct http1_loop, 1);
	loop->clock = clock;
	loop->epoll = epoll;
	loop->deferred = g_array_new(FALSE, FALSE, sizeof(struct deferred));
	loop->source = g_source_new(&source_funcs, sizeof(struct loop_source));
	((struct loop_source *)loop->source)->loop = loop;
	g_source_add_unix_fd(loop->source, epoll, G_IO_IN);
	g_source_attach(loop->source, NULL);
	return loop;
}

void http1_loop_destroy(struct http1_loop *loop)
{
	if (!loop)
		return;
	run_deferred(loop);
	g_source_destroy(loop->source);
	g_source_unref(loop->source);
	g_array_unref(loop->deferred);
	close(loop->epoll);
	g_free(loop);
}

struct cs_clock *http1_loop_clock(const struct http1_loop *loop)
{
	return loop->clock;
}

int http1_loop_add(struct http1_loop *loop, struct http1_watch *watch,
		   guint32 events)
{
	struct epoll_event event = {.events = events, .data.ptr = watch};

	watch->events = events;
	if (!epoll_ctl(loop->epoll, EPOLL_CTL_ADD, watch->fd, &event))
		return 0;
	cs_log(LOG_ERR, "epoll-refused", "why", g_strerror(errno), NULL);
	return CS_E_IO;
}

void http1_loop_modify(struct http1_loop *loop, struct http1_watch *watch,
		       guint32 events)
{
	struct epoll_event event = {.events = events, .data.ptr = watch};

	if (watch->events == events)
		return;
	watch->events = events;
	epoll_ctl(loop->epoll, EPOLL_CTL_MOD, watch->fd, &event);
}

/* Events already taken in this turn must not reach a removed watch. */
static void forget_events(struct http1_loop *loop, struct http1_watch *watch)
{
	for (int i = loop->next_event; i < loop->n_events; i++) {
		if (loop->events[i].data.ptr == watch)
			loop->events[i].data.ptr = NULL;
	}
}

void http1_loop_remove(struct http1_loop *loop, struct http1_watch *watch)
{
	if (watch->fd < 0)
		return;
	forget_events(loop, watch);
	close(watch->fd);
	watch->fd = -1;
}

void http1_loop_defer(struct http1_loop *loop, void (*call)(void *user),
		      void *user)
{
	struct deferred item = {call, user};

	g_array_append_val(loop->deferred, item);
}
