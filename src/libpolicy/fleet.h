/* Private: the state of the fleet, kept by fleet.c and read by choose.c. */
#ifndef LIBPOLICY_FLEET_H
#define LIBPOLICY_FLEET_H

#include "service.h"

struct policy_fleet {
	char *zone; /* of this daemon */
	struct cs_counters *counters;
	struct config *config; /* NULL before the first */
	struct instance_list *list; /* NULL before the first */
	GHashTable *services; /* name to struct policy_service */
	GHashTable *upstreams; /* id to struct policy_upstream */
	struct policy_ownership *ownership; /* of cold upstreams */
	GRand *random;
	guint daemons_max; /* daemons that share an upstream's connections */
};

#endif
