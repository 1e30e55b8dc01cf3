/* Private: the parts of a service that the policy's modules share. */
#ifndef LIBPOLICY_SERVICE_H
#define LIBPOLICY_SERVICE_H

#include "cuminsail/policy_fleet.h"

TAILQ_HEAD(upstream_head, policy_upstream);

/* Answers that the hedge quantile is taken over. */
#define LATENCY_RING 256

struct policy_service {
	char *name;
	const struct config_service *config; /* NULL when not configured */
	struct upstream_head upstreams;
	guint in_progress;
	double window; /* how many may be in progress; 0 for queue_max */
	gint64 cut_us; /* when the window was last cut */
	guint64 turns; /* choices by turns so far */
	double tokens;
	guint samples;
	gint64 ring_us[LATENCY_RING];
	gint64 hedge_us;
	GPtrArray *pins; /* struct policy_pin, oldest first */
	TAILQ_HEAD(, policy_query) waiters; /* for room, oldest first */
};

struct policy_service *service_create(const char *name);
void service_destroy(struct policy_service *service);

/* latency.c: take one good answer's latency into the hedge quantile. */
void service_note_latency(struct policy_service *service, gint64 latency_us);

/* upstream.c: phases and limits of one upstream. */
struct policy_upstream *upstream_create(struct policy_service *service,
					const struct list_upstream *listed);
void upstream_destroy(struct policy_upstream *upstream);
void upstream_update(struct policy_upstream *upstream,
		     const struct list_upstream *listed);
void upstream_set_phase(struct policy_upstream *upstream,
			enum policy_phase phase, guint daemons_max);
/* The moving average, less as it ages. */
double upstream_latency_us(const struct policy_upstream *upstream,
			   gint64 now_us);
bool upstream_holds(const struct policy_upstream *upstream,
		    const char *snapshot, gint64 now_us);
void upstream_note(struct policy_upstream *upstream, enum policy_result result,
		   gint64 latency_us, gint64 now_us, guint daemons_max,
		   struct cs_counters *counters);

#endif
