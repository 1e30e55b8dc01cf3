/* Private: a ZeroMQ socket as a source of the loop. */
#ifndef LIBPEER_SOURCE_H
#define LIBPEER_SOURCE_H

#include <glib.h>

/*
 * @receive is called while the socket can be read. The socket's descriptor is
 * edge-triggered, so the events are looked at before each sleep of the loop.
 */
GSource *peer_source_create(void *socket, void (*receive)(void *user),
			    void *user);

#endif
