#include "view.h"

#include "unit.h"

#include "cuminsail/endpoint.h"

struct route *view_add_route(struct route_table *table, const char *name,
			     const char *host, const char *prefix,
			     enum route_target target)
{
	struct route *route = route_create(target);

	route->name = g_strdup(name);
	route->host = g_strdup(host);
	route->prefix = g_strdup(prefix);
	if (target == ROUTE_SERVICE)
		route->service = g_strdup("s");
	route->idempotent = true;
	route->attempts_max = 2;
	route->objective_us = 100 * MS;
	route->timeout_us = 1000 * MS;
	route_table_add(table, route);
	return route;
}

struct view view_create(void)
{
	struct view view = {.now = 1000 * CS_US_PER_S};
	struct route_bounds bounds = {
		.budget_ratio = 0.2,
		.budget_slack = 50,
		.budget_window_us = 10 * CS_US_PER_S,
		.daemons = 10,
		.daemons_in_zone = 4,
		.cold_overrun = 1.5,
		.drain_us = 3 * CS_US_PER_S,
	};

	view.regions = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_insert(view.regions, "a", "east");
	g_hash_table_insert(view.regions, "b", "west");
	view.fleet = route_fleet_create("a", view.regions);
	route_fleet_set_bounds(view.fleet, &bounds);
	view.table = route_table_create(1);
	view.route = view_add_route(view.table, "r", "h", "/", ROUTE_SERVICE);
	route_table_add_service(view.table, "s", 30, 0);
	route_table_seal(view.table);
	route_fleet_set_table(view.fleet, view.table);
	view.work = route_fleet_work(view.fleet, view.route);
	return view;
}

void view_destroy(struct view *view)
{
	route_fleet_destroy(view->fleet);
	route_table_unref(view->table);
	g_hash_table_unref(view->regions);
}

struct route_entry view_entry(const char *id, const char *zone)
{
	struct route_entry entry = {
		.id = id, .service = "s", .zone = zone, .slots = 3};
	g_autofree char *address =
		g_strdup_printf("10.0.0.%u:80", g_str_hash(id) % 250);

	ck_assert_int_eq(cs_endpoint_parse(address, &entry.address), 0);
	return entry;
}

void view_put(struct view *view, const char *id, const char *zone)
{
	struct route_entry entry = view_entry(id, zone);

	route_fleet_put(view->fleet, &entry, view->now);
}

struct route_replica *view_choose(struct view *view,
				  struct route_replica *tried)
{
	struct route_criteria criteria = {view->route, view->work, &tried,
					  tried ? 1 : 0};
	enum route_unavailable reason;

	return route_pool_choose(route_fleet_pool(view->fleet, "s"), &criteria,
				 view->now, &reason);
}

const char *view_chosen_id(struct view *view)
{
	struct route_replica *replica = view_choose(view, NULL);

	return replica ? replica->id : "";
}

void view_run_attempt(struct view *view, struct route_replica *replica,
		      enum route_result result, gint64 us)
{
	struct route_attempt attempt = {0};

	replica->connections = 1;
	route_attempt_begin(&attempt, replica, view->work, view->now);
	view->now += us;
	route_attempt_end(&attempt, result, view->now);
}
