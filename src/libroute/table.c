/* Route tables: immutable once sealed, except for the state of the weighted
 * round robin of splits. */
#include "cuminsail/route.h"

#include <string.h>

static void free_share(void *data)
{
	g_free(((struct route_share *)data)->service);
}

struct route *route_create(enum route_target target)
{
	struct route *route = g_new0(struct route, 1);

	route->target = target;
	route->regions = g_ptr_array_new_with_free_func(g_free);
	switch (target) {
	case ROUTE_SERVICE:
		break;
	case ROUTE_SPLIT:
		route->shares =
			g_array_new(FALSE, TRUE, sizeof(struct route_share));
		g_array_set_clear_func(route->shares, free_share);
		break;
	case ROUTE_FANOUT:
		route->fanout.services = g_ptr_array_new_with_free_func(g_free);
		break;
	}
	return route;
}

void route_destroy(struct route *route)
{
	if (!route)
		return;
	switch (route->target) {
	case ROUTE_SERVICE:
		g_free(route->service);
		break;
	case ROUTE_SPLIT:
		g_array_unref(route->shares);
		break;
	case ROUTE_FANOUT:
		g_ptr_array_unref(route->fanout.services);
		break;
	}
	g_ptr_array_unref(route->regions);
	g_free(route->name);
	g_free(route->host);
	g_free(route->prefix);
	g_free(route);
}

static void free_service(void *data)
{
	struct route_service *service = data;

	g_free(service->name);
	g_free(service);
}

struct route_table *route_table_create(gint64 version)
{
	struct route_table *table = g_new0(struct route_table, 1);

	g_ref_count_init(&table->refs);
	table->version = version;
	table->routes =
		g_ptr_array_new_with_free_func((GDestroyNotify)route_destroy);
	table->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						free_service);
	table->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     (GDestroyNotify)g_ptr_array_unref);
	return table;
}

static gint compare_prefix_length(gconstpointer a, gconstpointer b)
{
	const struct route *route_a = *(const struct route *const *)a;
	const struct route *route_b = *(const struct route *const *)b;
	gsize length_a = strlen(route_a->prefix);
	gsize length_b = strlen(route_b->prefix);

	return (length_a < length_b) - (length_a > length_b);
}

void route_table_add(struct route_table *table, struct route *route)
{
	g_autofree char *host = g_ascii_strdown(route->host, -1);
	GPtrArray *routes = g_hash_table_lookup(table->hosts, host);

	if (!routes) {
		routes = g_ptr_array_new();
		g_hash_table_insert(table->hosts, g_steal_pointer(&host),
				    routes);
	}
	g_ptr_array_add(routes, route);
	g_ptr_array_add(table->routes, route);
}

void route_table_seal(struct route_table *table)
{
	GHashTableIter iter;
	gpointer routes;

	g_hash_table_iter_init(&iter, table->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &routes))
		g_ptr_array_sort(routes, compare_prefix_length);
}

void route_table_add_service(struct route_table *table, const char *name,
			     gint64 connections_max, double cold_per_s)
{
	struct route_service *service = g_new0(struct route_service, 1);

	service->name = g_strdup(name);
	service->connections_max = connections_max;
	service->cold_per_s = cold_per_s;
	g_hash_table_replace(table->services, service->name, service);
}

struct route_table *route_table_ref(struct route_table *table)
{
	g_ref_count_inc(&table->refs);
	return table;
}

void route_table_unref(struct route_table *table)
{
	if (!table || !g_ref_count_dec(&table->refs))
		return;
	g_hash_table_unref(table->hosts);
	g_hash_table_unref(table->services);
	g_ptr_array_unref(table->routes);
	g_free(table);
}

struct route *route_table_find(const struct route_table *table,
			       const char *host, const char *target)
{
	const char *colon = strchr(host, ':');
	g_autofree char *name =
		g_ascii_strdown(host, colon ? colon - host : -1);
	const GPtrArray *routes = g_hash_table_lookup(table->hosts, name);

	for (guint i = 0; routes && i < routes->len; i++) {
		struct route *route = routes->pdata[i];

		if (g_str_has_prefix(target, route->prefix))
			return route;
	}
	return NULL;
}

const char *route_next_service(struct route *route)
{
	struct route_share *shares =
		(struct route_share *)(void *)route->shares->data;
	struct route_share *best = &shares[0];
	double total = 0;

	for (guint i = 0; i < route->shares->len; i++) {
		total += shares[i].weight;
		shares[i].current_weight += shares[i].weight;
		if (shares[i].current_weight > best->current_weight)
			best = &shares[i];
	}
	best->current_weight -= total;
	return best->service;
}
