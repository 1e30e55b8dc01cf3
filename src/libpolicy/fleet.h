/* Private: the picture that fleet.c keeps and choose.c reads. */
#ifndef LIBPOLICY_FLEET_H
#define LIBPOLICY_FLEET_H

#include "service.h"

struct policy_fleet {
	char *zone;
	struct cs_counters *counters;
	struct config *config;
	struct list *list;
	GHashTable *services; /* name to struct policy_service */
	GHashTable *upstreams; /* id to struct policy_upstream */
	struct policy_views *views;
	GRand *random;
	guint daemons_max;
};

#endif
