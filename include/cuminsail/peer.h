/**
 * peer.h - links between the daemons
 *
 * The transport is ZeroMQ: a daemon receives on one ROUTER socket and sends on
 * one DEALER socket for each peer. Frames are serialised GVariants and are
 * validated as untrusted input. Links are encrypted and authenticated by CURVE
 * with the key pair of the fleet, unless the settings contain "plain".
 * docs/PEER-PROTOCOL.md specifies the frames.
 */
#ifndef CUMINSAIL_PEER_H
#define CUMINSAIL_PEER_H

#include "cuminsail/config.h"
#include "cuminsail/counters.h"

/** Type of a frame; the numbers are sent in the frame. */
enum peer_kind {
	PEER_HEARTBEAT = 1, /* state of the sender and its upstreams */
	PEER_CONFIG = 2, /* configuration, for a peer with an older one */
	PEER_LIST = 3, /* instance list, for a peer with an older one */
	PEER_ORDER = 4, /* order forwarded to the issuer of its ticket */
	PEER_RESULT = 5, /* result of a PEER_ORDER */
};

/** An upstream reported in a heartbeat. */
struct peer_upstream {
	const char *id;
	const char *incarnation;
};

/**
 * One frame. A frame does not own its strings and arrays; those of a received
 * frame are valid only during the call that passes it.
 */
struct peer_frame {
	enum peer_kind kind;
	const char *sender; /* instance id of the daemon */
	guint64 incarnation; /* of the sender */
	guint64 sequence; /* higher in each frame of an incarnation */
	union {
		struct {
			bool leaving; /* the sender is shutting down */
			gint64 config_revision; /* in force; 0 for none */
			gint64 list_revision; /* in force; 0 for none */
			/* Warm upstreams that recently answered the sender. */
			const struct peer_upstream *warm;
			gsize n_warm;
			/* Upstreams that the sender knows to be leaving. */
			const struct peer_upstream *leaving_upstreams;
			gsize n_leaving;
		} heartbeat;
		struct {
			gint64 revision;
			const char *text; /* JSON, the merged document */
		} config;
		struct {
			gint64 age_us; /* since a read confirmed the list */
			const char *text; /* JSON */
		} list;
		struct {
			guint64 tag; /* returned in the result */
			const char *service;
			const char *ticket;
			const char *body; /* JSON */
			gint64 wait_ms; /* the sender waits this long */
		} order;
		struct {
			guint64 tag; /* of the order */
			gint32 code; /* 0 or a CS_E_* code, unchecked */
			gint32 outcome; /* enum cs_outcome, unchecked */
			const char *body; /* the upstream's answer, or "" */
		} result;
	};
};

/**
 * peer_frame_encode - serialise a frame
 * @frame: a complete frame
 *
 * Return: a new reference to the bytes.
 */
GBytes *peer_frame_encode(const struct peer_frame *frame);

/**
 * peer_frame_decode - validate and decode the bytes of a frame
 * @bytes: any bytes received from a peer
 * @visit: called once with the decoded frame if the bytes are valid
 * @user: passed to @visit
 *
 * Return: 0, or CS_E_FRAME if the bytes are not a valid frame.
 */
int peer_frame_decode(GBytes *bytes,
		      void (*visit)(const struct peer_frame *frame, void *user),
		      void *user);

struct peer_links;

/** Callbacks of the links. */
struct peer_hooks {
	/* A frame was received from a daemon of the settings or the list. */
	void (*receive)(const struct peer_frame *frame, void *user);
	void *user;
};

/**
 * peer_links_create - bind the ROUTER and link the peers of the settings
 * @settings: addresses and keys; must outlive the links
 * @counters: counters of frames sent, received and rejected; must outlive the
 *	links
 * @hooks: callbacks; copied
 * @why: on failure, set to a new string with the cause
 *
 * Return: new links, owned by the caller, or NULL with @why set if the address
 * could not be bound.
 */
struct peer_links *peer_links_create(const struct settings *settings,
				     struct cs_counters *counters,
				     const struct peer_hooks *hooks,
				     char **why);

/**
 * peer_links_destroy - close all sockets and free the links
 * @links: links or NULL
 */
void peer_links_destroy(struct peer_links *links);

/**
 * peer_links_set_daemons - open links to the daemons of an instance list
 * @links: links
 * @daemons: array of struct list_daemon
 *
 * A daemon with another address than before gets a new link. Links to daemons
 * that are neither in the list nor in the settings are closed.
 */
void peer_links_set_daemons(struct peer_links *links, const GPtrArray *daemons);

/**
 * peer_links_send - send a frame to one peer
 * @links: links
 * @id: instance id of the peer
 * @frame: the frame; sender, incarnation and sequence are filled in
 *
 * Return: 0, or CS_E_ISSUER if there is no link to the peer, or if the link is
 * not connected or its queue is full; then nothing was sent.
 */
int peer_links_send(struct peer_links *links, const char *id,
		    struct peer_frame *frame);

/**
 * peer_links_send_all - send a frame to every peer
 * @links: links
 * @frame: the frame; sender, incarnation and sequence are filled in
 *
 * Peers whose link is not connected or whose queue is full are skipped.
 */
void peer_links_send_all(struct peer_links *links, struct peer_frame *frame);

/**
 * peer_links_contains - test whether a daemon is in the settings or the list
 * @links: links
 * @id: instance id of the daemon
 *
 * Return: true if it is; then there is a link to it.
 */
bool peer_links_contains(const struct peer_links *links, const char *id);

/**
 * peer_links_incarnation - get this daemon's incarnation
 * @links: links
 *
 * Return: the wall time of its start in milliseconds, so a number that is
 * higher at each start unless the wall clock was set back.
 */
guint64 peer_links_incarnation(const struct peer_links *links);

#endif
