/* Reading, writing and options of TCP sockets. */
#include "socket.h"

#include "cuminsail/error.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

/* Bytes per read. The answer of a part has a few KB, so that one read usually
 * returns a complete answer. */
#define READ_BUFFER_SIZE 65536

/* TCP_USER_TIMEOUT: closes a connection whose bytes stay unacknowledged for
 * this time, because a host that has lost its network sends no reset.
 * Longer than three retransmissions on the path with the longest round trip. */
#define USER_TIMEOUT_MS 3000

/* TCP keep-alive probes: detect that the other end of an idle connection does
 * not respond any more. As TCP_USER_TIMEOUT is set, it decides when they give
 * up, not their count. */
#define PROBE_IDLE_S	 5
#define PROBE_INTERVAL_S 1
#define PROBE_COUNT	 3

enum http1_read_result http1_socket_read(int fd, const char **bytes,
					 gsize *length, bool *drained)
{
	static char buffer[READ_BUFFER_SIZE];
	ssize_t n = read(fd, buffer, sizeof(buffer));

	*drained = true;
	if (n < 0)
		return errno == EAGAIN || errno == EINTR ? HTTP1_READ_AGAIN
							 : HTTP1_READ_ERROR;
	if (n == 0)
		return HTTP1_READ_EOF;
	*bytes = buffer;
	*length = (gsize)n;
	*drained = (gsize)n < sizeof(buffer);
	return HTTP1_READ_BYTES;
}

void http1_buffer_remove(GByteArray **buffer, guint n)
{
	guint left = (*buffer)->len - n;
	GByteArray *rest;

	if ((*buffer)->len <= HTTP1_BODY_ALWAYS || left > HTTP1_BODY_ALWAYS) {
		g_byte_array_remove_range(*buffer, 0, n);
		return;
	}
	rest = g_byte_array_sized_new(left);
	g_byte_array_append(rest, (*buffer)->data + n, left);
	g_byte_array_unref(*buffer);
	*buffer = rest;
}

int http1_socket_write(int fd, GByteArray **out)
{
	ssize_t n = send(fd, (*out)->data, (*out)->len, MSG_NOSIGNAL);

	if (n < 0)
		return errno == EAGAIN || errno == EINTR ? 0 : CS_E_IO;
	http1_buffer_remove(out, (guint)n);
	return 0;
}

static void set_option(int fd, int level, int option, int value)
{
	/* If the kernel rejects an option, its default applies. */
	(void)setsockopt(fd, level, option, &value, sizeof(value));
}

void http1_socket_set_options(int fd)
{
	set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS);
	set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, PROBE_IDLE_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, PROBE_INTERVAL_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, PROBE_COUNT);
}
