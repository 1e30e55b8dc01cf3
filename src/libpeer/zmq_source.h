/* Private: a ZeroMQ socket as an event source of the GLib main loop. */
#ifndef LIBPEER_ZMQ_SOURCE_H
#define LIBPEER_ZMQ_SOURCE_H

#include <glib.h>

/*
 * Calls @receive as long as the socket is readable. ZeroMQ's file descriptor is
 * edge-triggered, so the source also reads the socket's events each time before
 * the main loop polls. The source is attached to the default main context.
 */
GSource *peer_source_create(void *socket, void (*receive)(void *user),
			    void *user);

#endif
