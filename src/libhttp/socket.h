/* What both sides do with a socket. */
#ifndef HTTP1_SOCKET_H
#define HTTP1_SOCKET_H

#include "cuminsail/http1.h"

/** What came of one read. */
enum http1_read {
	HTTP1_READ_BYTES,
	HTTP1_READ_NOTHING, /* try again when the socket is readable */
	HTTP1_READ_END, /* the other end closed in order */
	HTTP1_READ_ERROR,
};

/**
 * http1_socket_read - read once into the buffer that all sockets share
 * @fd: a non-blocking socket
 * @bytes: where to put the start; valid until the next call
 * @length: where to put the number of bytes
 * @drained: where to put whether the socket has no more for now
 *
 * Return: one of enum http1_read.
 */
enum http1_read http1_socket_read(int fd, const char **bytes, gsize *length,
				  bool *drained);

/**
 * http1_socket_write - write as much as the socket takes
 * @fd: a non-blocking socket
 * @out: what to write; what was taken is removed from its front
 *
 * Return: 0 (also when it takes nothing now) or CS_E_IO.
 */
int http1_socket_write(int fd, GByteArray *out);

/**
 * http1_socket_tune - set the options that every connection has
 * @fd: a TCP socket
 */
void http1_socket_tune(int fd);

#endif
