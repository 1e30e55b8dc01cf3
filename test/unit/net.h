/* Real sockets on loopback under a clock that only the test advances. */
#ifndef NET_H
#define NET_H

#include "cuminsail/cuminsail.h"
#include "cuminsail/forward.h"
#include "cuminsail/http1.h"

/* Names on the wire that no platform has. */
extern const struct forward_dialect net_dialect;

struct net {
	struct cs_clock *clock;
	struct http1_loop *loop;
};

struct net net_create(void);
void net_destroy(struct net *net);

/* Turn the loop until nothing more happens at the present time. */
void net_settle(struct net *net);

/* Let time pass in steps of a millisecond, with all that happens in it. */
void net_pass(struct net *net, gint64 ms);

/* Address of this process's own on loopback, with a port for each number. */
struct sockaddr_in net_address(guint number);

/* A plain client: what it sends and all that it got. */
struct net_client {
	int fd;
	GString *got;
	bool closed;
};

struct net_client *net_connect(struct net *net, const struct sockaddr_in *to);
void net_send(struct net_client *client, const char *text);
void net_read(struct net_client *client);
void net_close(struct net_client *client);

/* A server that reads whole heads and writes scripted bytes. */
struct net_script {
	struct http1_watch listener;
	struct net *net;
	const char *reply; /* written after each blank line; NULL: nothing */
	bool close; /* after the reply */
	guint requests;
	guint connections;
	guint open_now;
	GString *got; /* all that was read */
	GPtrArray *open;
};

struct net_script *net_script_create(struct net *net, guint number,
				     const char *reply, bool close);
void net_script_destroy(struct net_script *script);

#endif
