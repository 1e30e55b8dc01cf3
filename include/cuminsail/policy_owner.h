/**
 * policy_owner.h - which daemon alone may send to a cold upstream
 *
 * Daemons see the platform's list late and at different times. A daemon owns
 * an upstream only if it comes first by rendezvous hash in every list it has
 * held during a window, if it saw every revision of that window, and if its
 * picture is fresh. docs/design/cold-owners.md proves that two daemons are
 * then never owners at once, and a test walks all small cases.
 */
#ifndef CUMINSAIL_POLICY_OWNER_H
#define CUMINSAIL_POLICY_OWNER_H

#include "cuminsail/config.h"

struct policy_views;

/**
 * policy_views_create - an empty history of lists
 * @self: id of this daemon
 *
 * Return: a new history, owned by the caller.
 */
struct policy_views *policy_views_create(const char *self);

/**
 * policy_views_destroy - free a history
 * @views: a history or NULL
 */
void policy_views_destroy(struct policy_views *views);

/**
 * policy_views_set_bounds - set the two times that the proof needs
 * @views: a history
 * @lag_us: bound on the age of the picture: the platform's lag plus the time
 *	since the read that confirmed it
 * @hold_us: longest time a request stays in flight at an upstream
 */
void policy_views_set_bounds(struct policy_views *views, gint64 lag_us,
			     gint64 hold_us);

/**
 * policy_views_take - take up a list
 * @views: a history
 * @revision: revision of the list; one that does not follow the last by one
 *	starts the window anew
 * @daemons: array of struct list_daemon, copied
 * @now_us: the clock
 */
void policy_views_take(struct policy_views *views, gint64 revision,
		       const GPtrArray *daemons, gint64 now_us);

/**
 * policy_views_confirm - a read showed that the last list still stands
 * @views: a history
 * @asked_us: when that read was sent
 */
void policy_views_confirm(struct policy_views *views, gint64 asked_us);

/**
 * policy_views_owns - whether this daemon may send to a cold upstream
 * @views: a history
 * @upstream: id of the upstream
 * @zone: its availability zone; daemons of that zone go first
 * @now_us: the clock
 *
 * Return: true if this daemon is the only one that may.
 */
bool policy_views_owns(const struct policy_views *views, const char *upstream,
		       const char *zone, gint64 now_us);

/**
 * policy_views_fresh - whether the picture is young enough for risky moves
 * @views: a history
 * @now_us: the clock
 *
 * Return: true inside the lag bound.
 */
bool policy_views_fresh(const struct policy_views *views, gint64 now_us);

#endif
