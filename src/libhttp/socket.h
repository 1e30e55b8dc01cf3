/* Socket functions of both the server and the client. */
#ifndef HTTP1_SOCKET_H
#define HTTP1_SOCKET_H

#include "cuminsail/http1.h"

/** Result of one read. */
enum http1_read_result {
	HTTP1_READ_BYTES,
	HTTP1_READ_AGAIN, /* try again when the socket is readable */
	HTTP1_READ_EOF, /* the other end closed in an orderly way */
	HTTP1_READ_ERROR,
};

/**
 * http1_socket_read - read once into a buffer shared by all sockets
 * @fd: a non-blocking socket
 * @bytes: set to the bytes that were read; valid until the next call
 * @length: set to their number
 * @drained: set to whether the socket has no more bytes at present
 *
 * Sets @bytes and @length only if it returns HTTP1_READ_BYTES.
 *
 * Return: the result of the read.
 */
enum http1_read_result http1_socket_read(int fd, const char **bytes,
					 gsize *length, bool *drained);

/**
 * http1_socket_write - write as many bytes as the socket accepts
 * @fd: a non-blocking socket
 * @out: bytes to write; written bytes are removed from its front, and the
 *	buffer may be replaced
 *
 * Return: 0, also if the socket accepts no bytes at present, or CS_E_IO.
 */
int http1_socket_write(int fd, GByteArray **out);

/**
 * http1_buffer_remove - remove bytes from the front of a buffer
 * @buffer: the buffer; replaced if it was large and no longer is
 * @n: number of bytes, at most the length of the buffer
 *
 * So a kept connection does not hold the memory of its largest message.
 */
void http1_buffer_remove(GByteArray **buffer, guint n);

/**
 * http1_socket_set_options - set the TCP options of a connection
 * @fd: a TCP socket
 */
void http1_socket_set_options(int fd);

#endif
