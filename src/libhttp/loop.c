/*
 * An event loop that serves an epoll set, which holds all sockets, and the GLib
 * main context.
 *
 * Each iteration waits once, for the sockets, GLib's wake-up descriptor and the
 * next timer together. Sockets are handled before timers, so that an answer
 * that has already arrived is read before its timeout fires.
 */
#include "cuminsail/http1.h"

#include "cuminsail/error.h"
#include "cuminsail/log.h"

#include <errno.h>
#include <sys/epoll.h>
#include <unistd.h>

/* Maximum number of epoll events handled per iteration. */
#define EVENTS_PER_ITERATION 64

/* Maximum number of descriptors that GLib polls: its wake-up descriptor and one
 * for each source of a ZeroMQ socket. */
#define GLIB_FDS_MAX 64

struct deferred {
	void (*call)(void *user);
	void *user;
};

struct http1_loop {
	struct cs_clock *clock;
	GMainContext *context;
	int epoll_fd;
	int wakeup_fd; /* GLib's wake-up descriptor in the epoll set, or -1 */
	GArray *deferred; /* struct deferred */
	struct epoll_event events[EVENTS_PER_ITERATION];
	int n_events;
	int next_event; /* index of the first event not handled yet */
};

/* Runs the deferred calls. Returns whether there were any. */
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

static void collect_events(struct http1_loop *loop, int timeout_ms)
{
	int n = epoll_wait(loop->epoll_fd, loop->events, EVENTS_PER_ITERATION,
			   timeout_ms);

	/* A signal ends the wait without events (EINTR). GLib then makes its
	 * wake-up descriptor readable. */
	loop->n_events = MAX(n, 0);
}

/* Adds GLib's wake-up descriptor to the epoll set. It can stay there, because
 * it is open as long as the main context exists. */
static bool register_wakeup(struct http1_loop *loop, int fd)
{
	struct epoll_event event = {.events = EPOLLIN, .data.ptr = loop};

	if (loop->wakeup_fd == fd)
		return true;
	if (epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, fd, &event))
		return false;
	loop->wakeup_fd = fd;
	return true;
}

/* Waits for the epoll set and the descriptors of the GLib sources, at most
 * timeout_ms milliseconds, or without limit if it is -1. */
static void wait_for_events(struct http1_loop *loop, GPollFD *glib_fds,
			    gint n_glib_fds, int timeout_ms)
{
	if (n_glib_fds == 1 && register_wakeup(loop, glib_fds->fd)) {
		collect_events(loop, timeout_ms);
		return;
	}
	/* The owners of other descriptors may close and reopen them at any
	 * time, so they are not added to the epoll set but polled together with
	 * it. */
	glib_fds[n_glib_fds].fd = loop->epoll_fd;
	glib_fds[n_glib_fds].events = G_IO_IN;
	glib_fds[n_glib_fds].revents = 0;
	if (g_poll(glib_fds, (guint)n_glib_fds + 1, timeout_ms) > 0 &&
	    glib_fds[n_glib_fds].revents)
		collect_events(loop, 0);
}

/* Calls the callbacks of the ready sockets and marks GLib's wake-up descriptor
 * as readable if it is. Returns whether a socket was ready. */
static bool dispatch_events(struct http1_loop *loop, GPollFD *wakeup_poll)
{
	bool any = false;

	for (loop->next_event = 0; loop->next_event < loop->n_events;) {
		struct epoll_event *event = &loop->events[loop->next_event++];
		struct http1_watch *watch = event->data.ptr;

		if (event->data.ptr == loop) {
			wakeup_poll->revents = G_IO_IN;
		} else if (watch) {
			any = true;
			watch->ready(watch, event->events);
		}
	}
	loop->n_events = 0;
	return any;
}

bool http1_loop_iterate(struct http1_loop *loop, bool may_wait)
{
	GPollFD glib_fds[GLIB_FDS_MAX + 1];
	gint priority;
	gint timeout_ms;
	gint n_glib_fds;
	bool any = run_deferred(loop);
	bool dispatched;

	g_main_context_prepare(loop->context, &priority);
	n_glib_fds = g_main_context_query(loop->context, priority, &timeout_ms,
					  glib_fds, GLIB_FDS_MAX);
	n_glib_fds = MIN(n_glib_fds, GLIB_FDS_MAX);
	wait_for_events(loop, glib_fds, n_glib_fds,
			may_wait && !any ? timeout_ms : 0);
	any = dispatch_events(loop, &glib_fds[0]) || any;
	any = run_deferred(loop) || any;
	dispatched = g_main_context_check(loop->context, priority, glib_fds,
					  n_glib_fds);
	if (dispatched)
		g_main_context_dispatch(loop->context);
	return run_deferred(loop) || any || dispatched;
}

struct http1_loop *http1_loop_create(struct cs_clock *clock)
{
	int epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	struct http1_loop *loop;

	if (epoll_fd < 0)
		return NULL;
	loop = g_new0(struct http1_loop, 1);
	loop->clock = clock;
	loop->epoll_fd = epoll_fd;
	loop->wakeup_fd = -1;
	loop->deferred = g_array_new(FALSE, FALSE, sizeof(struct deferred));
	loop->context = g_main_context_default();
	/* Only this thread may run iterations of the main context. */
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
	close(loop->epoll_fd);
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
	if (!epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, watch->fd, &event))
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
	epoll_ctl(loop->epoll_fd, EPOLL_CTL_MOD, watch->fd, &event);
}

/* Discards the events collected in this iteration that are not handled yet, so
 * that none is delivered to a removed watch. */
static void discard_events(struct http1_loop *loop, struct http1_watch *watch)
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
	discard_events(loop, watch);
	close(watch->fd);
	watch->fd = -1;
}

void http1_loop_defer(struct http1_loop *loop, void (*call)(void *user),
		      void *user)
{
	struct deferred item = {call, user};

	g_array_append_val(loop->deferred, item);
}
