/* Private: services and upstreams as the modules of libpolicy share them. */
#ifndef LIBPOLICY_SERVICE_H
#define LIBPOLICY_SERVICE_H

#include "cuminsail/policy_fleet.h"

TAILQ_HEAD(upstream_head, policy_upstream);

/* Number of recent answers over which the hedge quantile is computed. */
#define LATENCY_RING 256

struct policy_service {
	char *name;
	const struct config_service *config; /* NULL when not configured */
	struct upstream_head upstreams;
	guint in_progress; /* admitted queries and orders */
	double window; /* limit of in_progress; 0 for queue_max */
	gint64 decreased_us; /* last decrease of the window, or 0 */
	guint64 choice_sequence; /* number of round-robin choices */
	double tokens; /* budget: retries and hedges allowed now */
	guint latency_count; /* latencies recorded so far */
	gint64 latencies_us[LATENCY_RING]; /* ring buffer */
	gint64 hedge_us; /* hedge delay; 0 until the first quantile */
	GPtrArray *pins; /* struct policy_pin, oldest first */
	/* Queries that wait for a free slot of an upstream, oldest first. */
	TAILQ_HEAD(, policy_query) waiters;
};

struct policy_service *service_create(const char *name);
void service_destroy(struct policy_service *service);

/* latency.c: add the latency of a valid answer to the hedge quantile. */
void service_record_latency(struct policy_service *service, gint64 latency_us);

/* upstream.c: phases and limits of one upstream. */
struct policy_upstream *upstream_create(struct policy_service *service,
					const struct list_upstream *listed);
void upstream_destroy(struct policy_upstream *upstream);
void upstream_update(struct policy_upstream *upstream,
		     const struct list_upstream *listed);
void upstream_set_phase(struct policy_upstream *upstream,
			enum policy_phase phase, guint daemons_max);
/* Moving average of the latency; decays while there are no new samples. */
double upstream_latency_us(const struct policy_upstream *upstream,
			   gint64 now_us);
bool upstream_holds(const struct policy_upstream *upstream,
		    const char *snapshot, gint64 now_us);
void upstream_record_result(struct policy_upstream *upstream,
			    enum policy_result result, gint64 latency_us,
			    gint64 now_us, guint daemons_max,
			    struct cs_counters *counters);

#endif
