/* Converts the merged configuration document to structs and validates it. */
#include "cuminsail/config.h"

#include "cuminsail/endpoint.h"
#include "cuminsail/error.h"

#include <gio/gio.h>
#include <string.h>

/* Upper bound of all durations in milliseconds: 10 minutes. */
#define MS_MAX 600000

/* Upper bound of numbers of connections, answers and queries. */
#define COUNT_MAX 100000

#define OFFSET(type, member) offsetof(struct type, member)

static void destroy_zone(struct config_zone *zone)
{
	g_free(zone->name);
	g_free(zone->region);
	g_free(zone);
}

static void destroy_service(struct config_service *service)
{
	g_free(service->name);
	g_free(service);
}

static const struct cs_field zone_fields[] = {
	{"region", CS_FIELD_STRING, OFFSET(config_zone, region), false, 1,
	 CS_NAME_MAX},
	{"out", CS_FIELD_BOOL, OFFSET(config_zone, out), false, 0, 0},
};

static int read_zone(struct config *config, const char *name, json_t *value,
		     char **why)
{
	g_autofree char *path = g_strdup_printf("zones.%s", name);
	struct config_zone *zone = g_new0(struct config_zone, 1);

	zone->name = g_strdup(name);
	g_ptr_array_add(config->zones, zone);
	return cs_json_read(value, path, zone_fields, G_N_ELEMENTS(zone_fields),
			    CS_UNKNOWN_KEYS_REFUSE, zone, why);
}

/* A service as read from JSON, before kind and choice become enums. */
struct raw_service {
	struct config_service base;
	char *kind;
	char *choice;
};

#define SERVICE_OFFSET(member) offsetof(struct raw_service, base.member)

static const struct cs_field service_fields[] = {
	{"kind", CS_FIELD_STRING, OFFSET(raw_service, kind), true, 1, 16},
	{"choice", CS_FIELD_STRING, OFFSET(raw_service, choice), false, 1, 32},
	{"slots", CS_FIELD_INT, SERVICE_OFFSET(slots), true, 1, 10000},
	{"connections", CS_FIELD_INT, SERVICE_OFFSET(connections), true, 1,
	 COUNT_MAX},
	{"cold_limit", CS_FIELD_INT, SERVICE_OFFSET(cold_limit), false, 1,
	 10000},
	{"warm_after", CS_FIELD_INT, SERVICE_OFFSET(warm_after), false, 1,
	 COUNT_MAX},
	{"deadline_ms", CS_FIELD_INT, SERVICE_OFFSET(deadline_ms), false, 1,
	 MS_MAX},
	{"deadline_max_ms", CS_FIELD_INT, SERVICE_OFFSET(deadline_max_ms),
	 false, 1, MS_MAX},
	{"part_timeout_ms", CS_FIELD_INT, SERVICE_OFFSET(part_timeout_ms),
	 false, 1, MS_MAX},
	{"queue_max", CS_FIELD_INT, SERVICE_OFFSET(queue_max), false, 1,
	 COUNT_MAX},
	{"hedge_min_ms", CS_FIELD_INT, SERVICE_OFFSET(hedge_min_ms), false, 0,
	 MS_MAX},
	{"hedge_quantile", CS_FIELD_REAL, SERVICE_OFFSET(hedge_quantile), false,
	 0, 0.999},
	{"extra_load", CS_FIELD_REAL, SERVICE_OFFSET(extra_load), false, 0, 1},
	{"least_coverage", CS_FIELD_REAL, SERVICE_OFFSET(least_coverage), false,
	 0, 1},
	{"spill", CS_FIELD_BOOL, SERVICE_OFFSET(spill), false, 0, 0},
};

static const struct config_service service_defaults = {
	.cold_limit = 1,
	.warm_after = 8,
	.deadline_ms = 1000,
	.deadline_max_ms = 10000,
	.part_timeout_ms = 500,
	.queue_max = 256,
	.hedge_min_ms = 2,
	.hedge_quantile = 0.95,
	.extra_load = 0.045,
	.least_coverage = 0,
	.spill = true,
};

static int check_service(struct raw_service *raw, const char *path, char **why)
{
	struct config_service *service = &raw->base;

	if (!strcmp(raw->kind, "query")) {
		service->kind = CONFIG_QUERY;
	} else if (!strcmp(raw->kind, "order")) {
		service->kind = CONFIG_ORDER;
	} else {
		cs_set_cause(why, "%s.kind: must be \"query\" or \"order\"",
			     path);
		return CS_E_RANGE;
	}
	if (!raw->choice || !strcmp(raw->choice, "better-of-two")) {
		service->choice = CONFIG_BETTER_OF_TWO;
	} else if (!strcmp(raw->choice, "round-robin")) {
		service->choice = CONFIG_ROUND_ROBIN;
	} else {
		cs_set_cause(why,
			     "%s.choice: must be \"better-of-two\" or "
			     "\"round-robin\"",
			     path);
		return CS_E_RANGE;
	}
	if (service->cold_limit > service->slots) {
		cs_set_cause(why, "%s.cold_limit: above slots", path);
		return CS_E_RANGE;
	}
	if (service->deadline_ms > service->deadline_max_ms) {
		cs_set_cause(why, "%s.deadline_ms: above deadline_max_ms",
			     path);
		return CS_E_RANGE;
	}
	return 0;
}

static int read_service(struct config *config, const char *name, json_t *value,
			char **why)
{
	g_autofree char *path = g_strdup_printf("services.%s", name);
	struct raw_service raw = {.base = service_defaults};
	int error;

	error = cs_json_read(value, path, service_fields,
			     G_N_ELEMENTS(service_fields),
			     CS_UNKNOWN_KEYS_REFUSE, &raw, why);
	if (!error)
		error = check_service(&raw, path, why);
	g_free(raw.kind);
	g_free(raw.choice);
	if (error)
		return error;
	raw.base.name = g_strdup(name);
	g_ptr_array_add(config->services,
			g_memdup2(&raw.base, sizeof(raw.base)));
	return 0;
}

int config_check_name(const char *where, const char *name, char **why)
{
	size_t length = strlen(name);
	bool valid = length > 0 && length <= CS_NAME_MAX;

	for (const char *p = name; valid && *p; p++)
		valid = g_ascii_isalnum(*p) || strchr("-_.", *p);
	if (valid)
		return 0;
	cs_set_cause(why, "%s: \"%s\" is not a name of letters, digits, - _ .",
		     where, name);
	return CS_E_RANGE;
}

int config_check_endpoint(const char *where, const char *text, char **why)
{
	struct sockaddr_in sockaddr;

	if (!cs_endpoint_parse(text, &sockaddr))
		return 0;
	cs_set_cause(why, "%s: \"%s\" is not an IPv4 address and port", where,
		     text);
	return CS_E_RANGE;
}

/* The top level of the document, before its zones and services are read. */
struct raw_config {
	struct config *config;
	json_t *zones;
	json_t *services;
	char *customer;
	gint64 list_lag_ms;
	gint64 daemons_max;
	double list_shrink_max;
};

static const struct cs_field config_fields[] = {
	{"customer", CS_FIELD_STRING, OFFSET(raw_config, customer), true, 1,
	 CS_NAME_MAX},
	{"list_lag_ms", CS_FIELD_INT, OFFSET(raw_config, list_lag_ms), false, 1,
	 60000},
	{"daemons_max", CS_FIELD_INT, OFFSET(raw_config, daemons_max), false, 1,
	 10000},
	{"list_shrink_max", CS_FIELD_REAL, OFFSET(raw_config, list_shrink_max),
	 false, 0, 1},
	{"zones", CS_FIELD_OBJECT, OFFSET(raw_config, zones), true, 0, 0},
	{"services", CS_FIELD_OBJECT, OFFSET(raw_config, services), true, 0, 0},
};

/*
 * Checks the name of each member of an object and passes the member to @read.
 *
 * Return: 0 or the first error.
 */
static int read_members(struct config *config, json_t *object,
			const char *where,
			int (*read)(struct config *config, const char *name,
				    json_t *value, char **why),
			char **why)
{
	const char *key;
	json_t *value;
	int error = 0;

	json_object_foreach (object, key, value) {
		error = config_check_name(where, key, why);
		if (!error)
			error = read(config, key, value, why);
		if (error)
			break;
	}
	return error;
}

static int read_config(struct config *config, json_t *document, char **why)
{
	struct raw_config raw = {
		.list_lag_ms = 2000,
		.daemons_max = 8,
		.list_shrink_max = 0.5,
	};
	int error;

	error = cs_json_read(document, "config", config_fields,
			     G_N_ELEMENTS(config_fields),
			     CS_UNKNOWN_KEYS_REFUSE, &raw, why);
	config->customer = raw.customer;
	config->list_lag_ms = raw.list_lag_ms;
	config->daemons_max = raw.daemons_max;
	config->list_shrink_max = raw.list_shrink_max;
	if (!error)
		error = read_members(config, raw.zones, "zones", read_zone,
				     why);
	if (!error)
		error = read_members(config, raw.services, "services",
				     read_service, why);
	return error;
}

struct config *config_create(json_t *document, int *error, char **why)
{
	struct config *config = g_new0(struct config, 1);

	config->zones =
		g_ptr_array_new_with_free_func((GDestroyNotify)destroy_zone);
	config->services =
		g_ptr_array_new_with_free_func((GDestroyNotify)destroy_service);
	*error = read_config(config, document, why);
	if (!*error)
		return config;
	config_destroy(config);
	return NULL;
}

void config_destroy(struct config *config)
{
	if (!config)
		return;
	g_free(config->customer);
	g_ptr_array_unref(config->zones);
	g_ptr_array_unref(config->services);
	g_free(config);
}

const struct config_service *config_find_service(const struct config *config,
						 const char *name)
{
	for (guint i = 0; i < config->services->len; i++) {
		const struct config_service *service =
			config->services->pdata[i];

		if (!strcmp(service->name, name))
			return service;
	}
	return NULL;
}

const struct config_zone *config_find_zone(const struct config *config,
					   const char *name)
{
	for (guint i = 0; i < config->zones->len; i++) {
		const struct config_zone *zone = config->zones->pdata[i];

		if (!strcmp(zone->name, name))
			return zone;
	}
	return NULL;
}
