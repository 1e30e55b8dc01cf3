/**
 * policy_owner.h - ownership of cold upstreams
 *
 * Only the owner of a cold upstream sends requests to it. Daemons receive the
 * platform's list late and at different times. A daemon owns an upstream only
 * if it ranks first by rendezvous hash in every list that was in force during
 * a window, if it has received every revision of that window, and if its list
 * is fresh. docs/design/cold-owners.md proves that two daemons are then never
 * owners at the same time; test/unit/test_owner.c checks all small cases.
 */
#ifndef CUMINSAIL_POLICY_OWNER_H
#define CUMINSAIL_POLICY_OWNER_H

#include "cuminsail/config.h"

struct policy_ownership;

/**
 * policy_ownership_create - create the ownership state of this daemon
 * @self: id of this daemon
 *
 * Return: a new state without any list, owned by the caller.
 */
struct policy_ownership *policy_ownership_create(const char *self);

/**
 * policy_ownership_destroy - free an ownership state
 * @ownership: an ownership state or NULL
 */
void policy_ownership_destroy(struct policy_ownership *ownership);

/**
 * policy_ownership_set_bounds - set the two bounds that the proof depends on
 * @ownership: an ownership state
 * @lag_us: bound on the age of the list, in microseconds: the platform's own
 *	lag plus the time since the read that confirmed the list
 * @in_flight_us: longest time, in microseconds, that a request stays in flight
 *	at an upstream
 */
void policy_ownership_set_bounds(struct policy_ownership *ownership,
				 gint64 lag_us, gint64 in_flight_us);

/**
 * policy_ownership_add_list - add a list to the window
 * @ownership: an ownership state
 * @revision: revision of the list; unless it is the last revision plus one,
 *	the window starts again
 * @daemons: array of struct list_daemon, copied
 * @now_us: current time, from which on the list is in force
 */
void policy_ownership_add_list(struct policy_ownership *ownership,
			       gint64 revision, const GPtrArray *daemons,
			       gint64 now_us);

/**
 * policy_ownership_confirm - record that a read found the last list unchanged
 * @ownership: an ownership state
 * @read_sent_us: when the read was sent
 */
void policy_ownership_confirm(struct policy_ownership *ownership,
			      gint64 read_sent_us);

/**
 * policy_ownership_owns - test whether this daemon owns a cold upstream
 * @ownership: an ownership state
 * @upstream: id of the upstream
 * @zone: availability zone of the upstream; if it has daemons, only these can
 *	be owners
 * @now_us: current time
 *
 * Return: true if this daemon is the only one that may send to the upstream.
 */
bool policy_ownership_owns(const struct policy_ownership *ownership,
			   const char *upstream, const char *zone,
			   gint64 now_us);

/**
 * policy_ownership_is_fresh - test whether the list is within its lag bound
 * @ownership: an ownership state
 * @now_us: current time
 *
 * Return: true if the list is fresh enough for decisions that are unsafe on an
 * outdated list, such as ownership.
 */
bool policy_ownership_is_fresh(const struct policy_ownership *ownership,
			       gint64 now_us);

#endif
