/*
 * The epoll set behind all sockets, and the turns that it and the GLib loop
 * take together.
 *
 * One epoll_wait a turn waits for the sockets, for GLib's own wake-up and for
 * the next timer. Sockets come before timers: an answer that is already here is
 * read before a timer takes it for late.
 */
#include "cuminsail/http1.h"

#include "cuminsail/error.h"
#include "cuminsail/log.h"

#include <errno.h>
#include <sys/epoll.h>
#include <unistd.h>

/* Events taken from the kernel in one turn. */
#define EVENTS_PER_TURN 64

/* Descriptors of GLib sources: its wake-up, and one for each ZeroMQ socket. */
#define FOREIGN_MAX 64

struct deferred {
	void (*call)(void *user);
	void *user;
};

struct http1_loop {
	struct cs_clock *clock;
	GMainContext *context;
	int epoll;
	int wakeup; /* GLib's descriptor in the epoll set; -1: none */
	GArray *deferred; /* struct deferred */
	struct epoll_event events[EVENTS_PER_TURN];
	int n_events;
	int next_event;
};

/* Return: whether there were any. */
static bool run_deferred(struct http1_loop *loop)
{
	bool any = loop->deferred->len > 0;

	for (guint i = 0; i < loop->deferred->len; i++) {
		struct deferred item =
			g_array_index(loop->deferred, struct deferred, i);

		item.call(item.user);
	}
	g_array_set_size(loop->deferred, 0);
	return any;
}

/* ---- waiting ---- */

static void take_events(struct http1_loop *loop, int timeout_ms)
{
	int n = epoll_wait(loop->epoll, loop->events, EVENTS_PER_TURN,
			   timeout_ms);

	/* A signal ends the wait; GLib's wake-up tells of it. */
	loop->n_events = MAX(n, 0);
}

/* Puts GLib's wake-up into the epoll set; it lives as long as the context. */
static bool keep_wakeup(struct http1_loop *loop, int fd)
{
	struct epoll_event event = {.events = EPOLLIN, .data.ptr = loop};

	if (loop->wakeup == fd)
		return true;
	if (epoll_ctl(loop->epoll, EPOLL_CTL_ADD, fd, &event))
		return false;
	loop->wakeup = fd;
	return true;
}

/* Waits for the epoll set and for what GLib's sources wait for. */
static void wait_for_events(struct http1_loop *loop, GPollFD *foreign,
			    gint n_foreign, int timeout_ms)
{
	if (n_foreign == 1 && keep_wakeup(loop, foreign->fd)) {
		take_events(loop, timeout_ms);
		return;
	}
	/* Other descriptors may be closed and opened again by their owners, so
	 * they are not kept in the set. */
	foreign[n_foreign].fd = loop->epoll;
	foreign[n_foreign].events = G_IO_IN;
	foreign[n_foreign].revents = 0;
	if (g_poll(foreign, (guint)n_foreign + 1, timeout_ms) > 0 &&
	    foreign[n_foreign].revents)
		take_events(loop, 0);
}

/* Return: whether a socket was ready. */
static bool serve_events(struct http1_loop *loop, GPollFD *wakeup)
{
	bool any = false;

	for (loop->next_event = 0; loop->next_event < loop->n_events;) {
		struct epoll_event *event = &loop->events[loop->next_event++];
		struct http1_watch *watch = event->data.ptr;

		if (event->data.ptr == loop) {
			wakeup->revents = G_IO_IN;
		} else if (watch) {
			any = true;
			watch->ready(watch, event->events);
		}
	}
	loop->n_events = 0;
	return any;
}

bool http1_loop_turn(struct http1_loop *loop, bool may_wait)
{
	GPollFD foreign[FOREIGN_MAX + 1];
	gint priority;
	gint timeout_ms;
	gint n_foreign;
	bool any = run_deferred(loop);
	bool dispatched;

	g_main_context_prepare(loop->context, &priority);
	n_foreign = g_main_context_query(loop->context, priority, &timeout_ms,
					 foreign, FOREIGN_MAX);
	n_foreign = MIN(n_foreign, FOREIGN_MAX);
	wait_for_events(loop, foreign, n_foreign,
			may_wait && !any ? timeout_ms : 0);
	any = serve_events(loop, &foreign[0]) || any;
	any = run_deferred(loop) || any;
	dispatched = g_main_context_check(loop->context, priority, foreign,
					  n_foreign);
	if (dispatched)
		g_main_context_dispatch(loop->context);
	return run_deferred(loop) || any || dispatched;
}

struct http1_loop *http1_loop_create(struct cs_clock *clock)
{
	int epoll = epoll_create1(EPOLL_CLOEXEC);
	struct http1_loop *loop;

	if (epoll < 0)
		return NULL;
	loop = g_new0(struct http1_loop, 1);
	loop->clock = clock;
	loop->epoll = epoll;
	loop->wakeup = -1;
	loop->deferred = g_array_new(FALSE, FALSE, sizeof(struct deferred));
	loop->context = g_main_context_default();
	/* Only this thread takes turns. */
	if (!g_main_context_acquire(loop->context))
		cs_log(LOG_ERR, "loop-not-acquired", NULL);
	return loop;
}

void http1_loop_destroy(struct http1_loop *loop)
{
	if (!loop)
		return;
	run_deferred(loop);
	g_main_context_release(loop->context);
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
