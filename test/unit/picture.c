#include "picture.h"

#include "unit.h"

#include "cuminsail/endpoint.h"

struct route *picture_route(struct route_table *table, const char *name,
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

struct picture picture_create(void)
{
	struct picture p = {.now = 1000 * CS_US_PER_S};
	struct route_bounds bounds = {
		.budget_ratio = 0.2,
		.budget_slack = 50,
		.budget_window_us = 10 * CS_US_PER_S,
		.daemons = 10,
		.daemons_in_zone = 4,
		.cold_overrun = 1.5,
		.drain_us = 3 * CS_US_PER_S,
	};

	p.regions = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_insert(p.regions, "a", "east");
	g_hash_table_insert(p.regions, "b", "west");
	p.fleet = route_fleet_create("a", p.regions);
	route_fleet_set_bounds(p.fleet, &bounds);
	p.table = route_table_create(1);
	p.route = picture_route(p.table, "r", "h", "/", ROUTE_SERVICE);
	route_table_add_service(p.table, "s", 30, 0);
	route_table_seal(p.table);
	route_fleet_set_table(p.fleet, p.table);
	p.work = route_fleet_work(p.fleet, p.route);
	return p;
}

void picture_destroy(struct picture *p)
{
	route_fleet_destroy(p->fleet);
	route_table_unref(p->table);
	g_hash_table_unref(p->regions);
}

struct route_entry picture_entry(const char *id, const char *zone)
{
	struct route_entry entry = {
		.id = id, .service = "s", .zone = zone, .slots = 3};
	g_autofree char *address =
		g_strdup_printf("10.0.0.%u:80", g_str_hash(id) % 250);

	ck_assert_int_eq(cs_endpoint_parse(address, &entry.address), 0);
	return entry;
}

void picture_put(struct picture *p, const char *id, const char *zone)
{
	struct route_entry entry = picture_entry(id, zone);

	route_fleet_put(p->fleet, &entry, p->now);
}

struct route_replica *picture_choose(struct picture *p,
				     struct route_replica *tried)
{
	struct route_ask ask = {p->route, p->work, &tried, tried ? 1 : 0};
	enum route_lack lack;

	return route_pool_choose(route_fleet_pool(p->fleet, "s"), &ask, p->now,
				 &lack);
}

/* The id chosen, or "" for none. */
const char *picture_chosen(struct picture *p)
{
	struct route_replica *replica = picture_choose(p, NULL);

	return replica ? replica->id : "";
}

/* One request with the given outcome after the given time. */
void picture_ask(struct picture *p, struct route_replica *replica,
		 enum route_result result, gint64 us)
{
	struct route_attempt attempt = {0};

	replica->connections = 1;
	route_attempt_begin(&attempt, replica, p->work, p->now);
	p->now += us;
	route_attempt_end(&attempt, result, p->now);
}
