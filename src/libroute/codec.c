/*
 * Serialization of route tables for other daemons, which then need not parse
 * the operators' document again.
 *
 * Routes are stored by column, as arrays that are read in place without a
 * GVariant for each number. Each list of services or regions is stored once and
 * shared by the routes that use it, since most routes of a deployment go to the
 * same shards.
 */
#include "cuminsail/route.h"

#include <string.h>

/* Version; limits; services with connection limit and cold rate; lists of
 * strings. */
#define HEAD_TYPE "x(xxxx)a(sxd)aas"

/* Columns of routes: name, host, prefix, service; idempotent, target; timeout,
 * objective, priority; attempts, index of the list of regions, index of the
 * list of services, top_k; minimum success share. */
#define COLUMNS_TYPE "asasasasayayaxaxaxauauauauad"

/* Shares of splits, in order of their routes: index of the route, service,
 * weight. */
#define SHARES_TYPE "a(usd)"

#define TABLE_TYPE "(" HEAD_TYPE COLUMNS_TYPE SHARES_TYPE ")"

enum {
	CHILD_VERSION,
	CHILD_LIMITS,
	CHILD_SERVICES,
	CHILD_LISTS,
	CHILD_NAMES,
	CHILD_HOSTS,
	CHILD_PREFIXES,
	CHILD_TARGET_SERVICES,
	CHILD_IDEMPOTENT,
	CHILD_TARGETS,
	CHILD_TIMEOUTS,
	CHILD_OBJECTIVES,
	CHILD_PRIORITIES,
	CHILD_ATTEMPTS,
	CHILD_REGIONS,
	CHILD_FANOUTS,
	CHILD_TOP_KS,
	CHILD_MIN_SUCCESS_SHARES,
	CHILD_SHARES,
};

/* ---- writing ---- */

struct lists {
	GVariantBuilder builder;
	GHashTable *indexes; /* unique key of a list to its index */
};

/* Add a list of strings if it is new. Return: its index. */
static guint add_list(struct lists *lists, const GPtrArray *strings)
{
	GString *key = g_string_new(NULL);
	gpointer known;
	guint index;

	for (guint i = 0; i < strings->len; i++)
		g_string_append_printf(key, "%zu:%s", strlen(strings->pdata[i]),
				       (const char *)strings->pdata[i]);
	if (g_hash_table_lookup_extended(lists->indexes, key->str, NULL,
					 &known)) {
		g_string_free(key, TRUE);
		return GPOINTER_TO_UINT(known);
	}
	index = g_hash_table_size(lists->indexes);
	g_hash_table_insert(lists->indexes, g_string_free(key, FALSE),
			    GUINT_TO_POINTER(index));
	g_variant_builder_add_value(
		&lists->builder,
		g_variant_new_strv((const char *const *)strings->pdata,
				   strings->len));
	return index;
}

/* The columns of a table that is being encoded. */
struct columns {
	struct lists lists;
	const char **names;
	const char **hosts;
	const char **prefixes;
	const char **services;
	guint8 *idempotent;
	guint8 *targets;
	gint64 *timeouts;
	gint64 *objectives;
	gint64 *priorities;
	guint32 *attempts;
	guint32 *regions;
	guint32 *fanouts;
	guint32 *top_ks;
	double *min_success_shares;
	GVariantBuilder shares;
};

static struct columns columns_create(gsize n)
{
	struct columns columns = {
		.names = g_new0(const char *, n + 1),
		.hosts = g_new0(const char *, n + 1),
		.prefixes = g_new0(const char *, n + 1),
		.services = g_new0(const char *, n + 1),
		.idempotent = g_new0(guint8, n),
		.targets = g_new0(guint8, n),
		.timeouts = g_new0(gint64, n),
		.objectives = g_new0(gint64, n),
		.priorities = g_new0(gint64, n),
		.attempts = g_new0(guint32, n),
		.regions = g_new0(guint32, n),
		.fanouts = g_new0(guint32, n),
		.top_ks = g_new0(guint32, n),
		.min_success_shares = g_new0(double, n),
	};

	g_variant_builder_init(&columns.lists.builder, G_VARIANT_TYPE("aas"));
	columns.lists.indexes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_variant_builder_init(&columns.shares, G_VARIANT_TYPE(SHARES_TYPE));
	return columns;
}

static void columns_clear(struct columns *columns)
{
	g_hash_table_unref(columns->lists.indexes);
	g_free(columns->names);
	g_free(columns->hosts);
	g_free(columns->prefixes);
	g_free(columns->services);
	g_free(columns->idempotent);
	g_free(columns->targets);
	g_free(columns->timeouts);
	g_free(columns->objectives);
	g_free(columns->priorities);
	g_free(columns->attempts);
	g_free(columns->regions);
	g_free(columns->fanouts);
	g_free(columns->top_ks);
	g_free(columns->min_success_shares);
}

static void add_shares(struct columns *columns, guint i,
		       const struct route *route)
{
	for (guint k = 0; k < route->shares->len; k++) {
		const struct route_share *share =
			&g_array_index(route->shares, struct route_share, k);

		g_variant_builder_add(&columns->shares, "(usd)", i,
				      share->service, share->weight);
	}
}

static void fill_row(struct columns *columns, guint i,
		     const struct route *route)
{
	columns->names[i] = route->name;
	columns->hosts[i] = route->host;
	columns->prefixes[i] = route->prefix;
	columns->services[i] = "";
	columns->idempotent[i] = route->idempotent;
	columns->targets[i] = (guint8)route->target;
	columns->timeouts[i] = route->timeout_us;
	columns->objectives[i] = route->objective_us;
	columns->priorities[i] = route->priority;
	columns->attempts[i] = route->attempts_max;
	columns->regions[i] = add_list(&columns->lists, route->regions);
	switch (route->target) {
	case ROUTE_SERVICE:
		columns->services[i] = route->service;
		break;
	case ROUTE_SPLIT:
		add_shares(columns, i, route);
		break;
	case ROUTE_FANOUT:
		columns->fanouts[i] =
			add_list(&columns->lists, route->fanout.services);
		columns->top_ks[i] = route->fanout.top_k;
		columns->min_success_shares[i] =
			route->fanout.min_success_share;
		break;
	}
}

static GVariant *encode_services(const struct route_table *table)
{
	GVariantBuilder services;
	GHashTableIter iter;
	gpointer value;

	g_variant_builder_init(&services, G_VARIANT_TYPE("a(sxd)"));
	g_hash_table_iter_init(&iter, table->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct route_service *service = value;

		g_variant_builder_add(&services, "(sxd)", service->name,
				      service->connections_max,
				      service->cold_per_s);
	}
	return g_variant_builder_end(&services);
}

static GVariant *fixed_array(const char *type, const void *values, gsize n,
			     gsize size)
{
	return g_variant_new_fixed_array(G_VARIANT_TYPE(type), values, n, size);
}

GBytes *route_table_encode(const struct route_table *table)
{
	const struct route_limits *limits = &table->limits;
	gsize n = table->routes->len;
	struct columns columns = columns_create(n);
	g_autoptr(GVariant) encoded = NULL;

	for (guint i = 0; i < n; i++)
		fill_row(&columns, i, table->routes->pdata[i]);
	encoded = g_variant_ref_sink(g_variant_new(
		"(x(xxxx)@a(sxd)@aas^as^as^as^as@ay@ay@ax@ax@ax@au@au@au@au@ad"
		"@a(usd))",
		table->version, limits->header_bytes, limits->body_bytes,
		limits->header_timeout_ms, limits->idle_timeout_ms,
		encode_services(table),
		g_variant_builder_end(&columns.lists.builder), columns.names,
		columns.hosts, columns.prefixes, columns.services,
		fixed_array("y", columns.idempotent, n, sizeof(guint8)),
		fixed_array("y", columns.targets, n, sizeof(guint8)),
		fixed_array("x", columns.timeouts, n, sizeof(gint64)),
		fixed_array("x", columns.objectives, n, sizeof(gint64)),
		fixed_array("x", columns.priorities, n, sizeof(gint64)),
		fixed_array("u", columns.attempts, n, sizeof(guint32)),
		fixed_array("u", columns.regions, n, sizeof(guint32)),
		fixed_array("u", columns.fanouts, n, sizeof(guint32)),
		fixed_array("u", columns.top_ks, n, sizeof(guint32)),
		fixed_array("d", columns.min_success_shares, n, sizeof(double)),
		g_variant_builder_end(&columns.shares)));
	columns_clear(&columns);
	return g_variant_get_data_as_bytes(encoded);
}

/* ---- reading ---- */

static GPtrArray *read_lists(GVariant *encoded)
{
	g_autoptr(GVariant) lists =
		g_variant_get_child_value(encoded, CHILD_LISTS);
	GPtrArray *arrays = g_ptr_array_new_with_free_func(
		(GDestroyNotify)g_ptr_array_unref);

	for (gsize i = 0; i < g_variant_n_children(lists); i++) {
		g_autoptr(GVariant) list = g_variant_get_child_value(lists, i);
		GPtrArray *array = g_ptr_array_new_with_free_func(g_free);
		gsize n;
		g_autofree const char **strings = g_variant_get_strv(list, &n);

		for (gsize k = 0; k < n; k++)
			g_ptr_array_add(array, g_strdup(strings[k]));
		g_ptr_array_add(arrays, array);
	}
	return arrays;
}

/* A column of a table that is being decoded, with its number of rows. */
struct column {
	GVariant *child;
	const void *fixed; /* rows of a column of numbers, of a fixed size */
	const char **strings; /* rows of a column of strings */
	gsize n;
};

static const gsize element_sizes[] = {
	[CHILD_IDEMPOTENT] = sizeof(guint8),
	[CHILD_TARGETS] = sizeof(guint8),
	[CHILD_TIMEOUTS] = sizeof(gint64),
	[CHILD_OBJECTIVES] = sizeof(gint64),
	[CHILD_PRIORITIES] = sizeof(gint64),
	[CHILD_ATTEMPTS] = sizeof(guint32),
	[CHILD_REGIONS] = sizeof(guint32),
	[CHILD_FANOUTS] = sizeof(guint32),
	[CHILD_TOP_KS] = sizeof(guint32),
	[CHILD_MIN_SUCCESS_SHARES] = sizeof(double),
};

static struct column read_column(GVariant *encoded, guint child)
{
	struct column column = {
		.child = g_variant_get_child_value(encoded, child)};

	if (child <= CHILD_TARGET_SERVICES)
		column.strings = g_variant_get_strv(column.child, &column.n);
	else
		column.fixed = g_variant_get_fixed_array(
			column.child, &column.n, element_sizes[child]);
	return column;
}

static void clear_columns(struct column *columns)
{
	for (guint i = CHILD_NAMES; i <= CHILD_MIN_SUCCESS_SHARES; i++) {
		g_free(columns[i].strings);
		g_clear_pointer(&columns[i].child, g_variant_unref);
	}
}

/* Return: whether all columns have the same length. */
static bool read_columns(GVariant *encoded, struct column *columns)
{
	bool same = true;

	for (guint i = CHILD_NAMES; i <= CHILD_MIN_SUCCESS_SHARES; i++) {
		columns[i] = read_column(encoded, i);
		same = same && columns[i].n == columns[CHILD_NAMES].n;
	}
	return same;
}

#define COLUMN_VALUE(type, column, i) (((const type *)columns[column].fixed)[i])

/* Read the fields that depend on the kind of target. Return: false if one is
 * not valid. */
static bool read_target(struct route *route, const struct column *columns,
			const GPtrArray *lists, gsize i)
{
	const char *service = columns[CHILD_TARGET_SERVICES].strings[i];
	guint list = COLUMN_VALUE(guint32, CHILD_FANOUTS, i);
	double min_success_share =
		COLUMN_VALUE(double, CHILD_MIN_SUCCESS_SHARES, i);

	switch (route->target) {
	case ROUTE_SERVICE:
		route->service = g_strdup(service);
		return *service;
	case ROUTE_SPLIT:
		return true;
	case ROUTE_FANOUT:
		if (list >= lists->len || !(min_success_share >= 0) ||
		    min_success_share > 1)
			return false;
		g_ptr_array_unref(route->fanout.services);
		route->fanout.services = g_ptr_array_ref(lists->pdata[list]);
		route->fanout.top_k = COLUMN_VALUE(guint32, CHILD_TOP_KS, i);
		route->fanout.min_success_share = min_success_share;
		return route->fanout.services->len > 0;
	}
	return false;
}

static struct route *read_route(const struct column *columns,
				const GPtrArray *lists, gsize i)
{
	guint target = COLUMN_VALUE(guint8, CHILD_TARGETS, i);
	guint regions = COLUMN_VALUE(guint32, CHILD_REGIONS, i);
	struct route *route;

	if (target > ROUTE_FANOUT || regions >= lists->len)
		return NULL;
	route = route_create((enum route_target)target);
	route->name = g_strdup(columns[CHILD_NAMES].strings[i]);
	route->host = g_strdup(columns[CHILD_HOSTS].strings[i]);
	route->prefix = g_strdup(columns[CHILD_PREFIXES].strings[i]);
	route->idempotent = COLUMN_VALUE(guint8, CHILD_IDEMPOTENT, i);
	route->timeout_us = COLUMN_VALUE(gint64, CHILD_TIMEOUTS, i);
	route->objective_us = COLUMN_VALUE(gint64, CHILD_OBJECTIVES, i);
	route->priority = COLUMN_VALUE(gint64, CHILD_PRIORITIES, i);
	route->attempts_max = COLUMN_VALUE(guint32, CHILD_ATTEMPTS, i);
	g_ptr_array_unref(route->regions);
	route->regions = g_ptr_array_ref(lists->pdata[regions]);
	if (route->attempts_max && route->timeout_us >= 0 &&
	    route->objective_us >= 0 && read_target(route, columns, lists, i))
		return route;
	route_destroy(route);
	return NULL;
}

static bool read_routes(struct route_table *table, GVariant *encoded)
{
	g_autoptr(GPtrArray) lists = read_lists(encoded);
	struct column columns[CHILD_MIN_SUCCESS_SHARES + 1] = {0};
	bool valid = read_columns(encoded, columns);

	for (gsize i = 0; valid && i < columns[CHILD_NAMES].n; i++) {
		struct route *route = read_route(columns, lists, i);

		valid = route != NULL;
		if (route)
			route_table_add(table, route);
	}
	clear_columns(columns);
	return valid;
}

static bool has_positive_weight(const struct route *route)
{
	double total = 0;

	if (route->target != ROUTE_SPLIT)
		return true;
	for (guint i = 0; i < route->shares->len; i++)
		total += g_array_index(route->shares, struct route_share, i)
				 .weight;
	return total > 0;
}

/* Return: false if a share belongs to no split or has an invalid weight, or if
 * a split has no share with a weight above 0. */
static bool read_shares(struct route_table *table, GVariant *encoded)
{
	g_autoptr(GVariant) shares =
		g_variant_get_child_value(encoded, CHILD_SHARES);
	GVariantIter iter;
	const char *service;
	guint route_index;
	double weight;

	g_variant_iter_init(&iter, shares);
	while (g_variant_iter_next(&iter, "(u&sd)", &route_index, &service,
				   &weight)) {
		struct route_share share = {.weight = weight};
		struct route *route;

		if (route_index >= table->routes->len || !(weight >= 0))
			return false;
		route = table->routes->pdata[route_index];
		if (route->target != ROUTE_SPLIT)
			return false;
		share.service = g_strdup(service);
		g_array_append_val(route->shares, share);
	}
	for (guint i = 0; i < table->routes->len; i++) {
		if (!has_positive_weight(table->routes->pdata[i]))
			return false;
	}
	return true;
}

static void read_services(struct route_table *table, GVariant *encoded)
{
	g_autoptr(GVariant) services =
		g_variant_get_child_value(encoded, CHILD_SERVICES);
	GVariantIter iter;
	const char *name;
	gint64 connections;
	double cold_per_s;

	g_variant_iter_init(&iter, services);
	while (g_variant_iter_next(&iter, "(&sxd)", &name, &connections,
				   &cold_per_s))
		route_table_add_service(table, name, connections, cold_per_s);
}

static bool read_limits(struct route_limits *limits, GVariant *encoded)
{
	g_autoptr(GVariant) child =
		g_variant_get_child_value(encoded, CHILD_LIMITS);

	g_variant_get(child, "(xxxx)", &limits->header_bytes,
		      &limits->body_bytes, &limits->header_timeout_ms,
		      &limits->idle_timeout_ms);
	return limits->header_bytes > 0 && limits->body_bytes >= 0 &&
	       limits->header_timeout_ms > 0 && limits->idle_timeout_ms > 0;
}

struct route_table *route_table_decode(GBytes *bytes)
{
	g_autoptr(GVariant) encoded =
		g_variant_ref_sink(g_variant_new_from_bytes(
			G_VARIANT_TYPE(TABLE_TYPE), bytes, FALSE));
	struct route_table *table;
	gint64 version;

	if (!g_variant_is_normal_form(encoded))
		return NULL;
	g_variant_get_child(encoded, CHILD_VERSION, "x", &version);
	table = route_table_create(version);
	read_services(table, encoded);
	if (read_limits(&table->limits, encoded) &&
	    read_routes(table, encoded) && read_shares(table, encoded)) {
		route_table_seal(table);
		return table;
	}
	route_table_unref(table);
	return NULL;
}
