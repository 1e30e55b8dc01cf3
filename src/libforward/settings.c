/* Reads and checks the settings of a forwarding daemon. */
#include "cuminsail/forward.h"

#include "cuminsail/endpoint.h"
#include "cuminsail/error.h"
#include "cuminsail/json.h"

#include <string.h>

/* Largest duration accepted, in seconds. */
#define SECONDS_MAX 600
#define DAEMONS_MAX 10000

/* The settings as read from JSON, in the units of the setting keys. */
struct raw_settings {
	char *instance;
	char *zone;
	char *caller;
	char *ready;
	char *control;
	char *metrics;
	char *relay;
	char *platform;
	json_t *zones;
	json_t *seeds;
	double budget_ratio;
	double budget_slack;
	double budget_window_s;
	double cold_overrun;
	double drain_ms;
	double stop_s;
	gint64 daemons;
	gint64 daemons_in_zone;
	gint64 connections;
};

#define OFFSET(member) offsetof(struct raw_settings, member)

static const struct cs_field fields[] = {
	{"instance", CS_FIELD_STRING, OFFSET(instance), true, 1, CS_NAME_MAX},
	{"zone", CS_FIELD_STRING, OFFSET(zone), true, 1, CS_NAME_MAX},
	{"zones", CS_FIELD_OBJECT, OFFSET(zones), true, 0, 0},
	{"caller", CS_FIELD_STRING, OFFSET(caller), true, 1, 64},
	{"ready", CS_FIELD_STRING, OFFSET(ready), true, 1, 64},
	{"control", CS_FIELD_STRING, OFFSET(control), false, 1, 64},
	{"metrics", CS_FIELD_STRING, OFFSET(metrics), true, 1, 64},
	{"relay", CS_FIELD_STRING, OFFSET(relay), false, 1, 64},
	{"platform", CS_FIELD_STRING, OFFSET(platform), true, 1, 64},
	{"seeds", CS_FIELD_ARRAY, OFFSET(seeds), false, 0, 0},
	{"budget_ratio", CS_FIELD_REAL, OFFSET(budget_ratio), false, 0, 1},
	{"budget_slack", CS_FIELD_REAL, OFFSET(budget_slack), false, 0,
	 1000000},
	{"budget_window_s", CS_FIELD_REAL, OFFSET(budget_window_s), false, 0.1,
	 SECONDS_MAX},
	{"cold_overrun", CS_FIELD_REAL, OFFSET(cold_overrun), false, 0, 100},
	{"drain_ms", CS_FIELD_REAL, OFFSET(drain_ms), false, 0,
	 SECONDS_MAX * 1000.0},
	{"stop_s", CS_FIELD_REAL, OFFSET(stop_s), false, 0.001, SECONDS_MAX},
	{"daemons", CS_FIELD_INT, OFFSET(daemons), false, 1, DAEMONS_MAX},
	{"daemons_in_zone", CS_FIELD_INT, OFFSET(daemons_in_zone), false, 1,
	 DAEMONS_MAX},
	{"connections", CS_FIELD_INT, OFFSET(connections), false, 1, 1000000},
};

static const struct raw_settings defaults = {
	.budget_ratio = 0.1,
	.budget_slack = 10,
	.budget_window_s = 10,
	.cold_overrun = 1,
	.drain_ms = 3000,
	.stop_s = 6,
	.daemons = 10,
	.daemons_in_zone = 4,
	.connections = 1024,
};

static int read_endpoint(const char *key, const char *text,
			 struct sockaddr_in *address, char **why)
{
	int error = text ? cs_endpoint_parse(text, address) : 0;

	if (error)
		cs_set_cause(why,
			     "settings.%s: %s is not an IP address and port",
			     key, text);
	return error;
}

static int read_zones(const struct raw_settings *raw,
		      struct forward_settings *out, char **why)
{
	const char *zone;
	json_t *region;

	json_object_foreach (raw->zones, zone, region) {
		if (!json_is_string(region)) {
			cs_set_cause(why,
				     "settings.zones.%s: expected the name "
				     "of a region",
				     zone);
			return CS_E_TYPE;
		}
		g_hash_table_insert(out->regions, g_strdup(zone),
				    g_strdup(json_string_value(region)));
	}
	if (g_hash_table_contains(out->regions, raw->zone))
		return 0;
	cs_set_cause(why,
		     "settings.zones: the zone of this daemon, %s, is missing",
		     raw->zone);
	return CS_E_MISSING;
}

static int read_seeds(const struct raw_settings *raw,
		      struct forward_settings *out, char **why)
{
	size_t index;
	json_t *value;

	json_array_foreach (raw->seeds, index, value) {
		const char *text = json_string_value(value);
		struct sockaddr_in address;
		int error =
			read_endpoint("seeds", text ? text : "", &address, why);

		if (error)
			return error;
		g_array_append_val(out->seeds, address);
	}
	return 0;
}

static int read_addresses_and_zones(const struct raw_settings *raw,
				    struct forward_settings *out, char **why)
{
	int error = read_endpoint("caller", raw->caller, &out->caller, why);

	if (!error)
		error = read_endpoint("ready", raw->ready, &out->ready, why);
	if (!error)
		error = read_endpoint("control", raw->control, &out->control,
				      why);
	if (!error)
		error = read_endpoint("metrics", raw->metrics, &out->metrics,
				      why);
	if (!error)
		error = read_endpoint("relay", raw->relay, &out->relay, why);
	if (!error)
		error = read_endpoint("platform", raw->platform, &out->platform,
				      why);
	if (!error)
		error = read_zones(raw, out, why);
	if (!error)
		error = read_seeds(raw, out, why);
	return error;
}

static void copy_scalars(const struct raw_settings *raw,
			 struct forward_settings *out)
{
	out->instance = g_strdup(raw->instance);
	out->zone = g_strdup(raw->zone);
	out->stop_us = (gint64)(raw->stop_s * CS_US_PER_S);
	out->connections = (guint)raw->connections;
	out->bounds.budget_ratio = raw->budget_ratio;
	out->bounds.budget_slack = raw->budget_slack;
	out->bounds.budget_window_us =
		(gint64)(raw->budget_window_s * CS_US_PER_S);
	out->bounds.drain_us = (gint64)(raw->drain_ms * CS_US_PER_MS);
	out->bounds.daemons = (guint)raw->daemons;
	out->bounds.daemons_in_zone = (guint)raw->daemons_in_zone;
	out->bounds.cold_overrun = raw->cold_overrun;
}

static void free_raw(struct raw_settings *raw)
{
	g_free(raw->instance);
	g_free(raw->zone);
	g_free(raw->caller);
	g_free(raw->ready);
	g_free(raw->control);
	g_free(raw->metrics);
	g_free(raw->relay);
	g_free(raw->platform);
}

struct forward_settings *forward_settings_create(const char *text, int *error,
						 char **why)
{
	gsize length = strlen(text);
	json_t *document = cs_json_parse(text, length, why);
	struct raw_settings raw = defaults;
	struct forward_settings *out;

	if (!document) {
		*error = cs_json_error(text, length);
		return NULL;
	}
	out = g_new0(struct forward_settings, 1);
	out->regions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	out->seeds = g_array_new(FALSE, FALSE, sizeof(struct sockaddr_in));
	*error =
		cs_json_read(document, "settings", fields, G_N_ELEMENTS(fields),
			     CS_UNKNOWN_KEYS_REFUSE, &raw, why);
	if (!*error)
		*error = read_addresses_and_zones(&raw, out, why);
	if (!*error)
		copy_scalars(&raw, out);
	free_raw(&raw);
	json_decref(document);
	if (!*error)
		return out;
	forward_settings_destroy(out);
	return NULL;
}

void forward_settings_destroy(struct forward_settings *settings)
{
	if (!settings)
		return;
	g_free(settings->instance);
	g_free(settings->zone);
	g_hash_table_unref(settings->regions);
	g_array_unref(settings->seeds);
	g_free(settings);
}
