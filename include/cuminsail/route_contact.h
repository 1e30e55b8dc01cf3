/**
 * route_contact.h - whether this daemon reaches any replica at all
 *
 * Failures at several replicas, or silence of all of them, raise a doubt. A
 * round of new connections to random replicas settles it. The package does no
 * I/O and reads no clock; callers pass the time in.
 */
#ifndef CUMINSAIL_ROUTE_CONTACT_H
#define CUMINSAIL_ROUTE_CONTACT_H

#include "cuminsail/clock.h"

#include <glib.h>
#include <stdbool.h>

/** Replicas to which connections are opened in one round: one of them is up,
 * most probably, even if half of all replicas are down. */
#define ROUTE_CONTACT_PROBES 8

/** How long a round waits for the connections: five round trips between
 * regions. */
#define ROUTE_CONTACT_ROUND_US (250 * CS_US_PER_MS)

struct route_contact;

/**
 * route_contact_create - create a state with contact
 *
 * Return: a new state.
 */
struct route_contact *route_contact_create(void);

/**
 * route_contact_destroy - free a state
 * @contact: a state or NULL
 */
void route_contact_destroy(struct route_contact *contact);

/**
 * route_contact_answered - a replica answered on any connection
 * @contact: a state
 * @now_us: current time
 *
 * Ends silence, but not the doubt after refused connections: established ones
 * may go on while new ones are refused.
 */
void route_contact_answered(struct route_contact *contact, gint64 now_us);

/**
 * route_contact_connected - a new connection to a replica was established
 * @contact: a state
 * @now_us: current time
 */
void route_contact_connected(struct route_contact *contact, gint64 now_us);

/**
 * route_contact_lagged - this daemon was too busy to notice answers in time
 * @contact: a state
 * @now_us: current time
 *
 * Silence before does not count, and neither does an open round without
 * connections.
 */
void route_contact_lagged(struct route_contact *contact, gint64 now_us);

/**
 * route_contact_failed - a connection failed, or was closed with a request
 * @contact: a state
 * @replica: hash of the replica's address; several failures of one replica
 *	count once
 */
void route_contact_failed(struct route_contact *contact, guint32 replica);

/**
 * route_contact_wants_round - whether a round of connections should begin
 * @contact: a state without an open round
 * @oldest_us: when the oldest open attempt at a replica was sent; 0: none
 * @n_replicas: usable replicas
 * @now_us: current time
 *
 * Return: true if there is a doubt, or no contact and the next round is due.
 */
bool route_contact_wants_round(const struct route_contact *contact,
			       gint64 oldest_us, guint n_replicas,
			       gint64 now_us);

/**
 * route_contact_begin_round - record that a round begins
 * @contact: a state without an open round
 * @now_us: current time
 */
void route_contact_begin_round(struct route_contact *contact, gint64 now_us);

/** Changes of the state. */
enum route_contact_change {
	ROUTE_CONTACT_SAME,
	ROUTE_CONTACT_LOST,
	ROUTE_CONTACT_REGAINED,
};

/**
 * route_contact_end_round - record the result of a round
 * @contact: a state
 * @n_tried: connections that were opened
 * @n_connected: of these, the established ones
 * @now_us: current time
 *
 * One established connection keeps the contact, also one that was opened for a
 * request meanwhile; most of the round regain it. Without a connection tried
 * nothing changes.
 *
 * Return: the change of the state.
 */
enum route_contact_change route_contact_end_round(struct route_contact *contact,
						  guint n_tried,
						  guint n_connected,
						  gint64 now_us);

/**
 * route_contact_exists - whether replicas are in reach
 * @contact: a state
 *
 * Return: false after a round without any connection.
 */
bool route_contact_exists(const struct route_contact *contact);

/**
 * route_contact_silent - whether nothing was heard of any replica lately
 * @contact: a state
 * @now_us: current time
 *
 * Return: false if established connections live on without contact.
 */
bool route_contact_silent(const struct route_contact *contact, gint64 now_us);

/**
 * route_contact_share - share of the requests to send to replicas directly
 * @contact: a state
 * @now_us: current time
 *
 * Return: 0 without contact, then rising to 1 within a second after it is
 * regained, as all connections have to be opened again.
 */
double route_contact_share(const struct route_contact *contact, gint64 now_us);

#endif
