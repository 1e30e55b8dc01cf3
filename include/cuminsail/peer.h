/**
 * peer.h - links between the daemons
 *
 * ZeroMQ: each daemon receives on one ROUTER and sends on one DEALER for each
 * peer. Frames are GVariants, checked as hostile input. Links are encrypted
 * and admitted by CURVE with the fleet's key pair unless the settings say
 * "plain". docs/PEER-PROTOCOL.md gives the frames.
 */
#ifndef CUMINSAIL_PEER_H
#define CUMINSAIL_PEER_H

#include "cuminsail/config.h"
#include "cuminsail/counters.h"

enum peer_kind {
	PEER_BEAT = 1,
	PEER_CONFIG = 2,
	PEER_LIST = 3,
	PEER_ORDER = 4,
	PEER_RESULT = 5,
};

/** An upstream that a beat tells of. */
struct peer_upstream {
	const char *id;
	const char *incarnation;
};

/** One frame. Strings are borrowed for the time of the call. */
struct peer_frame {
	enum peer_kind kind;
	const char *sender;
	guint64 incarnation;
	guint64 sequence;
	union {
		struct {
			bool leaving;
			gint64 config_revision;
			gint64 list_revision;
			/* Those that answered the sender as warm. */
			const struct peer_upstream *warm;
			gsize n_warm;
			/* Those that the sender knows to be leaving. */
			const struct peer_upstream *leaving_upstreams;
			gsize n_leaving;
		} beat;
		struct {
			gint64 revision;
			const char *text; /* the merged document */
		} config;
		struct {
			gint64 age_us; /* since a read confirmed it */
			const char *text;
		} list;
		struct {
			guint64 tag; /* given back in the result */
			const char *service;
			const char *ticket;
			const char *body;
			gint64 wait_ms;
		} order;
		struct {
			guint64 tag;
			gint32 code;
			gint32 outcome;
			const char *body;
		} result;
	};
};

/**
 * peer_frame_encode - the bytes of a frame
 * @frame: a frame
 *
 * Return: new bytes.
 */
GBytes *peer_frame_encode(const struct peer_frame *frame);

/**
 * peer_frame_decode - check bytes and read them as a frame
 * @bytes: from a peer
 * @visit: called with the frame if the bytes are one
 * @user: passed on
 *
 * Return: 0 or CS_E_FRAME.
 */
int peer_frame_decode(GBytes *bytes,
		      void (*visit)(const struct peer_frame *frame, void *user),
		      void *user);

struct peer_links;

/** What the owner does with a frame. */
struct peer_hooks {
	void (*frame)(const struct peer_frame *frame, void *user);
	void *user;
};

/**
 * peer_links_create - bind, and link the peers of the settings
 * @settings: addresses and keys; must outlive the links
 * @counters: where to count
 * @hooks: what to do; copied
 * @why: where to put a new string with the cause
 *
 * Return: new links, or NULL with @why set.
 */
struct peer_links *peer_links_create(const struct settings *settings,
				     struct cs_counters *counters,
				     const struct peer_hooks *hooks,
				     char **why);

/**
 * peer_links_destroy - close all
 * @links: links or NULL
 */
void peer_links_destroy(struct peer_links *links);

/**
 * peer_links_set_daemons - link the daemons of a list too, drop others
 * @links: links
 * @daemons: array of struct list_daemon
 */
void peer_links_set_daemons(struct peer_links *links, const GPtrArray *daemons);

/**
 * peer_links_send - send to one peer
 * @links: links
 * @id: whom
 * @frame: what; sender, incarnation and sequence are filled in
 *
 * Return: 0, or CS_E_ISSUER if there is no link or it takes nothing now; then
 * nothing was sent.
 */
int peer_links_send(struct peer_links *links, const char *id,
		    struct peer_frame *frame);

/**
 * peer_links_send_all - send to every peer that takes it
 * @links: links
 * @frame: what; sender, incarnation and sequence are filled in
 */
void peer_links_send_all(struct peer_links *links, struct peer_frame *frame);

/**
 * peer_links_knows - whether a daemon is in the settings or the list
 * @links: links
 * @id: its id
 *
 * Return: true if it is.
 */
bool peer_links_knows(const struct peer_links *links, const char *id);

/**
 * peer_links_incarnation - this daemon's incarnation
 * @links: links
 *
 * Return: a number that is higher at each start.
 */
guint64 peer_links_incarnation(const struct peer_links *links);

#endif
