/* A fleet of one service "s" to choose replicas from, without a network. */
#ifndef PICTURE_H
#define PICTURE_H

#include "cuminsail/route.h"

struct picture {
	struct route_fleet *fleet;
	struct route_table *table;
	struct route *route;
	struct route_work *work;
	GHashTable *regions;
	gint64 now;
};

/* This daemon is in zone "a" of region "east"; "b" is in "west". */
struct picture picture_create(void);
void picture_destroy(struct picture *p);

/* A route of one table, idempotent, two attempts, 100 ms of 1000 ms. */
struct route *picture_route(struct route_table *table, const char *name,
			    const char *host, const char *prefix,
			    enum route_target target);

struct route_entry picture_entry(const char *id, const char *zone);
void picture_put(struct picture *p, const char *id, const char *zone);

/* The replica for a request, and its id or "" for none. */
struct route_replica *picture_choose(struct picture *p,
				     struct route_replica *tried);
const char *picture_chosen(struct picture *p);

/* One request with the given outcome after the given time. */
void picture_ask(struct picture *p, struct route_replica *replica,
		 enum route_result result, gint64 us);

#endif
