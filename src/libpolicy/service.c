/* Per service: admission and the budget of extra load. */
#include "service.h"

#include "cuminsail/clock.h"
#include "cuminsail/error.h"

/* How the window of work in progress is cut, how often, and its floor. */
#define WINDOW_CUT	    0.9
#define WINDOW_CUT_EVERY_US (100 * CS_US_PER_MS)
#define WINDOW_MIN	    2.0

/* How long after a cut the service counts as pressed. */
#define PRESSED_US CS_US_PER_S

/* Retries and hedges that may come at once, before the share limits them. */
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

/* Extra load never feeds an overload. */
void policy_service_earn(struct policy_service *service, gint64 now_us)
{
	if (service->cut_us && now_us - service->cut_us < PRESSED_US) {
		service->tokens = 0;
		return;
	}
	service->tokens =
		MIN(service->tokens + service->config->extra_load, TOKENS_MAX);
}

bool policy_service_spend(struct policy_service *service)
{
	if (service->tokens < 1)
		return false;
	service->tokens -= 1;
	return true;
}

static double window_of(const struct policy_service *service)
{
	double most = (double)service->config->queue_max;

	return service->window > 0 ? MIN(service->window, most) : most;
}

int policy_service_enter(struct policy_service *service)
{
	if (service->in_progress >= (guint)window_of(service))
		return CS_E_OVERLOAD;
	service->in_progress++;
	return 0;
}

/*
 * Work that ends late shrinks the window, at most once in a while; work that
 * ends in good time while the window is full widens it.
 */
void policy_service_leave(struct policy_service *service, bool pressed,
			  gint64 now_us)
{
	double window = service->config ? window_of(service) : WINDOW_MIN;
	guint before = service->in_progress;

	service->in_progress--;
	if (pressed && now_us - service->cut_us >= WINDOW_CUT_EVERY_US) {
		service->window = MIN(window, before) * WINDOW_CUT;
		service->window = MAX(service->window, WINDOW_MIN);
		service->cut_us = now_us;
	} else if (!pressed && before + 1 >= (guint)window) {
		service->window = window + 1 / window;
	}
}
