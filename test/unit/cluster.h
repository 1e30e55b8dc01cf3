/* Forwarding daemons and replicas on loopback: replicas that crash, and daemons
 * that are cut off from all replicas. */
#ifndef CLUSTER_H
#define CLUSTER_H

#include "daemon.h"

enum { DAEMONS = 6, REPLICAS = 12, SHARDS = 3 };

/* The replicas answer, or crash, once in this time. */
#define STEP_MS 20

/* A request with these bytes crashes the replica that runs it. */
#define DEADLY "/deadly"

/* The answer of all replicas. */
#define CLUSTER_GOOD                                                           \
	"HTTP/1.1 200 OK\r\nId: r1\r\nSigned: s\r\nContent-Length: "           \
	"16\r\n\r\n0123456789abcdef"

/* The answer to a request for a replica that had the address before. */
#define CLUSTER_OTHER_INSTANCE                                                 \
	"HTTP/1.1 421 Other\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: "       \
	"0\r\n\r\n"

/* A replica, which starts again 3 s after a crash under another id. */
struct replica {
	struct net_server *server; /* NULL while it is down */
	guint started; /* how often */
	guint down_at; /* step of the crash */
	bool silent; /* it neither answers nor crashes */
};

/* How a daemon is cut off from all replicas. */
enum cut {
	CUT_NONE,
	CUT_REFUSE, /* new connections are refused */
	CUT_HANG, /* they are neither established nor refused */
};

/* Daemons 0 to 2 and the even replicas are in zone "a", the others in "b". The
 * first replicas belong to the shards "f0" to "f2", two each, the others to
 * service "s". */
struct cluster {
	struct net net;
	struct daemon daemons[DAEMONS];
	enum cut cuts[DAEMONS];
	struct replica replicas[REPLICAS];
	GPtrArray *full; /* struct net_full *, where connections hang */
	guint step;
	GArray *crashes; /* guint: steps */
};

/* The routes are "/once/" (not idempotent), "/one/" and "/two/" of service "s",
 * and "/all/" of the shards, all of host "h" with four attempts; "/two/" has
 * two, and "/west/" of "s" is allowed in the region of zone "b" only. */
void cluster_create(struct cluster *cluster);
void cluster_destroy(struct cluster *cluster);

/* Starts a daemon that was stopped. */
void cluster_start_daemon(struct cluster *cluster, guint i);

/* Cuts a daemon off from all replicas, or ends that. */
void cluster_cut(struct cluster *cluster, guint daemon, enum cut cut);

/* Runs for @ms. */
void cluster_run(struct cluster *cluster, gint64 ms);

/* Sends a request to a daemon and waits for the answer, up to a second.
 * Return: its status; 0: none. */
guint cluster_ask_text(struct cluster *cluster, guint daemon, const char *text);
guint cluster_ask(struct cluster *cluster, guint daemon, const char *target);

#endif
