/* The hedge delay of a service: a quantile of its recent latencies. */
#include "service.h"

#include "cuminsail/clock.h"

#include <stdlib.h>
#include <string.h>

/* The quantile is recomputed after this many answers. */
#define QUANTILE_INTERVAL 32

static int compare_times(const void *a, const void *b)
{
	gint64 x = *(const gint64 *)a;
	gint64 y = *(const gint64 *)b;

	return (x > y) - (x < y);
}

static void compute_quantile(struct policy_service *service)
{
	gint64 sorted[LATENCY_RING];
	guint n = MIN(service->latency_count, LATENCY_RING);
	guint index = (guint)(service->config->hedge_quantile * n);

	memcpy(sorted, service->latencies_us, n * sizeof(sorted[0]));
	qsort(sorted, n, sizeof(sorted[0]), compare_times);
	service->hedge_us = MAX(sorted[MIN(index, n - 1)],
				service->config->hedge_min_ms * CS_US_PER_MS);
}

void service_record_latency(struct policy_service *service, gint64 latency_us)
{
	service->latencies_us[service->latency_count % LATENCY_RING] =
		latency_us;
	service->latency_count++;
	if (service->latency_count % QUANTILE_INTERVAL == 0 && service->config)
		compute_quantile(service);
}

gint64 policy_service_hedge_us(const struct policy_service *service)
{
	if (service->config->hedge_quantile <= 0)
		return 0;
	return service->hedge_us;
}
