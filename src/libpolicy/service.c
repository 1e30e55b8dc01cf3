/* Admission control and the budget for retries and hedges of one service. */
#include "service.h"

#include "cuminsail/clock.h"
#include "cuminsail/error.h"

/*
 * On overload the admission window (requests in progress) is multiplied by
 * WINDOW_DECREASE, at most once per interval and not below WINDOW_MIN.
 */
#define WINDOW_DECREASE		    0.9
#define WINDOW_DECREASE_INTERVAL_US (100 * CS_US_PER_MS)
#define WINDOW_MIN		    2.0

/* For this time after a decrease the service counts as overloaded. */
#define OVERLOAD_HOLD_US CS_US_PER_S

/*
 * Size of the budget's token bucket: the largest burst of retries and hedges
 * beyond the configured share. TOKENS_START is the level at start.
 */
#define TOKENS_MAX   20.0
#define TOKENS_START 5.0

struct policy_service *service_create(const char *name)
{
	struct policy_service *service = g_new0(struct policy_service, 1);

	service->name = g_strdup(name);
	service->tokens = TOKENS_START;
	service->pins = g_ptr_array_new_with_free_func(
		(GDestroyNotify)policy_pin_unref);
	TAILQ_INIT(&service->upstreams);
	TAILQ_INIT(&service->waiters);
	return service;
}

void service_destroy(struct policy_service *service)
{
	while (!TAILQ_EMPTY(&service->upstreams)) {
		struct policy_upstream *upstream =
			TAILQ_FIRST(&service->upstreams);

		TAILQ_REMOVE(&service->upstreams, upstream, link);
		upstream_destroy(upstream);
	}
	g_ptr_array_unref(service->pins);
	g_free(service->name);
	g_free(service);
}

const struct config_service *policy_service_config(
	const struct policy_service *service)
{
	return service->config;
}

/* Empties the budget under overload: retries and hedges would worsen it. */
void policy_service_deposit(struct policy_service *service, gint64 now_us)
{
	if (service->decreased_us &&
	    now_us - service->decreased_us < OVERLOAD_HOLD_US) {
		service->tokens = 0;
		return;
	}
	service->tokens =
		MIN(service->tokens + service->config->extra_load, TOKENS_MAX);
}

bool policy_service_withdraw(struct policy_service *service)
{
	if (service->tokens < 1)
		return false;
	service->tokens -= 1;
	return true;
}

/* The admission window; queue_max until the first decrease. */
static double current_window(const struct policy_service *service)
{
	double most = (double)service->config->queue_max;

	return service->window > 0 ? MIN(service->window, most) : most;
}

int policy_service_admit(struct policy_service *service)
{
	if (service->in_progress >= (guint)current_window(service))
		return CS_E_OVERLOAD;
	service->in_progress++;
	return 0;
}

/*
 * Additive increase, multiplicative decrease: overload shrinks the window, at
 * most once per WINDOW_DECREASE_INTERVAL_US. Work that ends without overload
 * widens it, but only while the window is nearly full.
 */
void policy_service_release(struct policy_service *service, bool overloaded,
			    gint64 now_us)
{
	double window = service->config ? current_window(service) : WINDOW_MIN;
	guint before = service->in_progress;

	service->in_progress--;
	if (overloaded &&
	    now_us - service->decreased_us >= WINDOW_DECREASE_INTERVAL_US) {
		service->window = MIN(window, before) * WINDOW_DECREASE;
		service->window = MAX(service->window, WINDOW_MIN);
		service->decreased_us = now_us;
	} else if (!overloaded && before + 1 >= (guint)window) {
		service->window = window + 1 / window;
	}
}
