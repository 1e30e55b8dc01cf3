/**
 * route_blocklist.h - requests under which replicas crash
 *
 * A request under which three replicas have crashed, with no good answer since,
 * is blocked. Daemons exchange what they know of such requests; the crashes
 * that several daemons saw add up. The package does no I/O and reads no clock;
 * callers pass the time in.
 */
#ifndef CUMINSAIL_ROUTE_BLOCKLIST_H
#define CUMINSAIL_ROUTE_BLOCKLIST_H

#include "cuminsail/clock.h"

#include <glib.h>
#include <stdbool.h>

/** Bytes of a digest. */
#define ROUTE_DIGEST_BYTES 16

/** Size of a buffer for a digest in hexadecimal digits. */
#define ROUTE_DIGEST_TEXT_SIZE (2 * ROUTE_DIGEST_BYTES + 1)

/** Identifies all copies of a request: a collision-resistant hash of its
 * content. */
struct route_digest {
	guint8 bytes[ROUTE_DIGEST_BYTES];
};

/**
 * route_digest_print - format a digest
 * @digest: a digest
 * @text: buffer of ROUTE_DIGEST_TEXT_SIZE bytes
 *
 * Return: @text.
 */
const char *route_digest_print(const struct route_digest *digest, char *text);

/**
 * route_digest_parse - parse the text form of a digest
 * @text: hexadecimal digits
 * @digest: where to put the digest
 *
 * Return: false if @text is not a digest.
 */
bool route_digest_parse(const char *text, struct route_digest *digest);

/** Crashes after which a request is blocked. */
#define ROUTE_CRASHES_TO_BLOCK 3

/** Crashes that count of one copy of a request: a copy that is sent to many
 * replicas may be hit by many crashes that it did not cause. */
#define ROUTE_CRASHES_OF_COPY 2

/** Requests that a list holds at most. */
#define ROUTE_BLOCKLIST_MAX 256

/** A crash of a replica while it ran a request. */
struct route_crash {
	guint32 replica; /* hash of the replica's id and incarnation */
	gint64 at_us;
};

/** What is known of one request. */
struct route_block {
	struct route_digest digest;
	gint64 cleared_us; /* crashes up to then do not count; 0: never */
	gint64 came_us; /* when a copy of the request last arrived */
	guint probes; /* bit i: probe i was sent */
	guint n_crashes; /* since it was cleared */
	struct route_crash crashes[ROUTE_CRASHES_TO_BLOCK];
	/* The last copy that this daemon saw crash replicas; not exchanged. */
	guint32 copy;
	guint n_of_copy;
	/* The probe that this daemon is about to send; not exchanged. */
	guint pending_probe; /* its bit in @probes; 0: none */
	guint32 pending_copy;
};

struct route_blocklist;

/**
 * route_blocklist_create - create an empty list
 *
 * Return: a new list.
 */
struct route_blocklist *route_blocklist_create(void);

/**
 * route_blocklist_destroy - free a list
 * @list: a list or NULL
 */
void route_blocklist_destroy(struct route_blocklist *list);

/**
 * route_blocklist_crashed - record a crash
 * @list: a list
 * @digest: the request
 * @crash: the crash; one replica's crash counts once
 * @copy: number of the copy at this daemon
 * @now_us: current time
 *
 * Return: whether the crash was not known before, and counts.
 */
bool route_blocklist_crashed(struct route_blocklist *list,
			     const struct route_digest *digest,
			     const struct route_crash *crash, guint32 copy,
			     gint64 now_us);

/**
 * route_blocklist_clear - forget the crashes of a request
 * @list: a list
 * @digest: the request; ignored if the list has no crashes of it
 * @now_us: current time
 *
 * For a good answer to the request, and for an operator's command.
 *
 * Return: whether there were crashes.
 */
bool route_blocklist_clear(struct route_blocklist *list,
			   const struct route_digest *digest, gint64 now_us);

/**
 * route_blocklist_copy_counted - whether no more crashes of a copy count
 * @list: a list
 * @digest: the request
 * @copy: number of the copy, as in route_blocklist_crashed()
 *
 * Return: true if ROUTE_CRASHES_OF_COPY of its crashes were counted.
 */
bool route_blocklist_copy_counted(const struct route_blocklist *list,
				  const struct route_digest *digest,
				  guint32 copy);

/**
 * route_blocklist_crashes - number of crashes that count for a request
 * @list: a list
 * @digest: the request
 *
 * Return: 0 to ROUTE_CRASHES_TO_BLOCK.
 */
guint route_blocklist_crashes(const struct route_blocklist *list,
			      const struct route_digest *digest);

/** Probes of a request while it is blocked, over all daemons. */
#define ROUTE_PROBES_MAX 3

/**
 * route_blocklist_admits - decide whether a request that arrives may be sent
 * @list: a list
 * @digest: the request
 * @copy: number of the copy, as in route_blocklist_crashed()
 * @probes: those that only this daemon sends; bit i: probe i
 * @now_us: current time
 *
 * A blocked request may be sent once as each probe: the first one is due
 * three seconds after the last crash, the others a minute and a quarter of an
 * hour after it. A daemon waits two seconds for each lower probe that was not
 * sent. A good answer to a probe clears a request that was blocked wrongly. A
 * copy that is admitted as a probe is pending until
 * route_blocklist_probe_sent() or route_blocklist_probe_ended() is called for
 * it; meanwhile no other copy is admitted.
 *
 * Return: false if the request is blocked.
 */
bool route_blocklist_admits(struct route_blocklist *list,
			    const struct route_digest *digest, guint32 copy,
			    guint probes, gint64 now_us);

/**
 * route_blocklist_next_probe_us - when the next probe of a request is due
 * @list: a list
 * @digest: the request
 *
 * Return: time from which it may be sent, in microseconds; G_MAXINT64 if all
 * probes were sent, 0 if the request is not blocked.
 */
gint64 route_blocklist_next_probe_us(const struct route_blocklist *list,
				     const struct route_digest *digest);

/**
 * route_blocklist_probe_sent - record that a probe was sent to a replica
 * @list: a list
 * @digest: the request
 * @copy: number of the copy
 *
 * Return: false if @copy is not a pending probe, and nothing has changed.
 */
bool route_blocklist_probe_sent(struct route_blocklist *list,
				const struct route_digest *digest,
				guint32 copy);

/**
 * route_blocklist_probe_ended - give back a probe that was not sent
 * @list: a list
 * @digest: the request
 * @copy: number of the copy; ignored if it is not a pending probe
 */
void route_blocklist_probe_ended(struct route_blocklist *list,
				 const struct route_digest *digest,
				 guint32 copy);

/**
 * route_blocklist_active - check whether any request has crashes
 * @list: a list
 *
 * Return: false if every request is admitted.
 */
bool route_blocklist_active(const struct route_blocklist *list);

/**
 * route_blocklist_merge - add what another daemon knows of a request
 * @list: a list
 * @block: what it knows
 * @now_us: current time
 *
 * Return: whether the list has changed.
 */
bool route_blocklist_merge(struct route_blocklist *list,
			   const struct route_block *block, gint64 now_us);

/**
 * route_blocklist_expire - remove requests that came last ten minutes ago
 * @list: a list
 * @now_us: current time
 */
void route_blocklist_expire(struct route_blocklist *list, gint64 now_us);

/**
 * route_blocklist_fingerprint - hash of what the list knows
 * @list: a list
 *
 * Two daemons with the same fingerprint have nothing to tell each other. Times
 * are not part of it.
 *
 * Return: the hash; 0 for an empty list.
 */
guint64 route_blocklist_fingerprint(const struct route_blocklist *list);

/**
 * route_blocklist_each - visit the requests, those with most crashes first
 * @list: a list
 * @limit: upper bound on the requests to visit; of more, half are those with
 *	most crashes and the others are chosen at random
 * @visit: called with each request and @user; must not change the list
 * @user: passed to @visit
 */
void route_blocklist_each(const struct route_blocklist *list, guint limit,
			  void (*visit)(const struct route_block *block,
					void *user),
			  void *user);

#endif
