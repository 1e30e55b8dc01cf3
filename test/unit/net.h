/* Real sockets on loopback with a clock that only the test advances. */
#ifndef NET_H
#define NET_H

#include "cuminsail/cuminsail.h"
#include "cuminsail/forward.h"
#include "cuminsail/http1.h"

/* Header names and ready path for the tests; no platform uses these names. */
extern const struct forward_dialect net_dialect;

struct net {
	struct cs_clock *clock;
	struct http1_loop *loop;
};

struct net net_create(void);
void net_destroy(struct net *net);

/* Runs the loop without advancing the clock until no events are left. */
void net_settle(struct net *net);

/*
 * Advances the clock by ms milliseconds in steps of one millisecond and handles
 * all events after each step.
 */
void net_pass(struct net *net, gint64 ms);

/*
 * Returns the loopback address for a number. The IP address depends on the
 * process id, so that test programs that run at the same time do not collide;
 * the port is 20000 + number.
 */
struct sockaddr_in net_address(guint number);

/* A TCP client that sends raw text. */
struct net_client {
	int fd;
	GString *got; /* all bytes received so far */
	bool closed; /* by the other end, as seen by net_read() */
};

/* Connects to an address. The test fails if it cannot. */
struct net_client *net_connect(struct net *net, const struct sockaddr_in *to);

/* Sends text. The test fails if the socket does not take all of it. */
void net_send(struct net_client *client, const char *text);

/* Appends the bytes that have arrived to client->got, without blocking. */
void net_read(struct net_client *client);

/* Closes the connection and frees the client. */
void net_close(struct net_client *client);

/*
 * A server that writes a fixed reply after each request head. It does not parse
 * bodies.
 */
struct net_script {
	struct http1_watch listener;
	struct net *net;
	const char *reply; /* after each request head; NULL: no reply */
	bool close; /* whether to close the connection after a reply */
	guint requests; /* request heads received */
	guint connections; /* accepted so far */
	guint open_now; /* connections open at present */
	GString *got; /* all bytes received on all connections */
	GPtrArray *open; /* all connections accepted, also closed ones */
};

/* Listens on net_address(number). close: see struct net_script. */
struct net_script *net_script_create(struct net *net, guint number,
				     const char *reply, bool close);

/* Closes all connections and frees the server. */
void net_script_destroy(struct net_script *script);

#endif
