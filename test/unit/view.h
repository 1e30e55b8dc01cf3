/* A routing view with one service "s", for tests that use no network. */
#ifndef VIEW_H
#define VIEW_H

#include "cuminsail/route.h"

struct view {
	struct route_fleet *fleet;
	struct route_table *table;
	struct route *route;
	struct route_work *work;
	GHashTable *regions;
	gint64 now;
};

/* Create a view without replicas, for a daemon in zone "a" of region "east".
 * Zone "b" is in region "west". */
struct view view_create(void);
void view_destroy(struct view *view);

/* Add an idempotent route with two attempts, an objective of 100 ms and a
 * timeout of 1000 ms. */
struct route *view_add_route(struct route_table *table, const char *name,
			     const char *host, const char *prefix,
			     enum route_target target);

/* Return: an entry of service "s" with 3 slots. */
struct route_entry view_entry(const char *id, const char *zone);
void view_put(struct view *view, const char *id, const char *zone);

/* Return: the replica chosen for a request, other than @tried, or NULL. */
struct route_replica *view_choose(struct view *view,
				  struct route_replica *tried);

/* Return: the id of the replica chosen for a request, or "". */
const char *view_chosen_id(struct view *view);

/* Run an attempt with the given result that takes @us, and advance the time. */
void view_run_attempt(struct view *view, struct route_replica *replica,
		      enum route_result result, gint64 us);

#endif
