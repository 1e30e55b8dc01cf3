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

struct policy_views;

/**
 * policy_views_create - create an empty ownership history
 * @self: id of this daemon
 *
 * Return: a new history, owned by the caller.
 */
struct policy_views *policy_views_create(const char *self);

/**
 * policy_views_destroy - free an ownership history
 * @history: a history or NULL
 */
void policy_views_destroy(struct policy_views *history);

/**
 * policy_views_set_bounds - set the two bounds that the proof depends on
 * @history: a history
 * @lag_us: bound on the age of the list, in microseconds: the platform's own
 *	lag plus the time since the read that confirmed the list
 * @in_flight_us: longest time, in microseconds, that a request stays in flight
 *	at an upstream
 */
void policy_views_set_bounds(struct policy_views *history, gint64 lag_us,
			     gint64 in_flight_us);

/**
 * policy_views_take - add a list to the history
 * @history: a history
 * @revision: revision of the list; unless it is the last revision plus one,
 *	the window starts again
 * @daemons: array of struct list_daemon, copied
 * @now_us: current time, from which on the list is in force
 */
void policy_views_take(struct policy_views *history, gint64 revision,
		       const GPtrArray *daemons, gint64 now_us);

/**
 * policy_views_confirm - record that a read found the last list unchanged
 * @history: a history
 * @read_sent_us: when the read was sent
 */
void policy_views_confirm(struct policy_views *history, gint64 read_sent_us);

/**
 * policy_views_owns - test whether this daemon owns a cold upstream
 * @history: a history
 * @upstream: id of the upstream
 * @zone: availability zone of the upstream; if it has daemons, only these can
 *	be owners
 * @now_us: current time
 *
 * Return: true if this daemon is the only one that may send to the upstream.
 */
bool policy_views_owns(const struct policy_views *history, const char *upstream,
		       const char *zone, gint64 now_us);

/**
 * policy_views_fresh - test whether the list is within its lag bound
 * @history: a history
 * @now_us: current time
 *
 * Return: true if the list is fresh enough for decisions that are unsafe on an
 * outdated list, such as ownership.
 */
bool policy_views_fresh(const struct policy_views *history, gint64 now_us);

#endif
