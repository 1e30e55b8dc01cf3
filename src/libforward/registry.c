/*
 * The daemons that this one knows of, from their calls and from the lists of
 * other seeds: how many there are in each zone, which of them divide rate
 * limits, and which relay requests.
 */
#include "internal.h"

#include "cuminsail/endpoint.h"
#include "cuminsail/log.h"

#include <string.h>

/* A daemon from which no call was received for this long is down or follows
 * another seed: three calls of a second each. */
#define PEER_LIFETIME_US (3 * CS_US_PER_S)

/* The same for another seed and the callers it has reported: a seed calls the
 * other seeds in turn, one every 1.5 to 2.5 s. */
#define SEED_LIFETIME_US (7 * CS_US_PER_S)

/* Interval between two counts of the daemons. The shares of connections that
 * follow from the counts may lag by this much. */
#define COUNT_INTERVAL_US (200 * CS_US_PER_MS)

/* No more silent daemons are added to a list of this size: with the callers it
 * has to fit into the head of a call. */
#define SILENT_BYTES_MAX 16384

/* The same for relay addresses. */
#define RELAYS_BYTES_MAX 24576

/* A daemon that has called this one. */
struct known_peer {
	char *zone;
	GHashTable *callers; /* of a seed: the members it reported; else NULL */
	char *relay; /* relay address, or NULL */
	bool has_contact; /* with replicas */
	GHashTable *relays; /* of a seed: those that it reported; else NULL */
	gint64 last_seen_us;
};

struct forward_registry {
	struct forward_engine *engine;
	GHashTable *known_peers; /* control address to struct known_peer */
	/* Number of daemons in each zone, cached for COUNT_INTERVAL_US. */
	GHashTable *zone_counts;
	guint n_daemons;
	gint64 counted_us;
	char *relays; /* list of all relay addresses, of the same age */
	struct route_members *members; /* divide the rate limits of replicas */
};

static void free_known_peer(void *data)
{
	struct known_peer *peer = data;

	g_free(peer->zone);
	g_clear_pointer(&peer->callers, g_hash_table_unref);
	g_clear_pointer(&peer->relays, g_hash_table_unref);
	g_free(peer->relay);
	g_free(peer);
}

static void remove_expired(struct forward_registry *registry)
{
	gint64 now = forward_now(registry->engine);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, registry->known_peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct known_peer *peer = value;

		if (now - peer->last_seen_us >
		    (peer->callers ? SEED_LIFETIME_US : PEER_LIFETIME_US))
			g_hash_table_iter_remove(&iter);
	}
}

/* Creates a set of daemons: hash of the control address to the zone. */
static GHashTable *new_members(void)
{
	return g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
				     g_free);
}

static void add_member(GHashTable *members, guint32 hash, const char *zone)
{
	g_hash_table_replace(members, GUINT_TO_POINTER(hash), g_strdup(zone));
}

static guint32 own_hash(const struct forward_registry *registry)
{
	char address[CS_ENDPOINT_TEXT_SIZE];

	cs_endpoint_print(&registry->engine->settings->control, address);
	return g_str_hash(address);
}

/* Return: a new set of this daemon and the daemons that call it. */
static GHashTable *direct_members(struct forward_registry *registry)
{
	const struct forward_settings *settings = registry->engine->settings;
	GHashTable *members = new_members();
	GHashTableIter iter;
	gpointer control;
	gpointer value;

	remove_expired(registry);
	add_member(members, own_hash(registry), settings->zone);
	g_hash_table_iter_init(&iter, registry->known_peers);
	while (g_hash_table_iter_next(&iter, &control, &value))
		add_member(members, g_str_hash(control),
			   ((const struct known_peer *)value)->zone);
	return members;
}

static void add_members(GHashTable *members, GHashTable *more)
{
	GHashTableIter iter;
	gpointer hash;
	gpointer zone;

	g_hash_table_iter_init(&iter, more);
	while (g_hash_table_iter_next(&iter, &hash, &zone))
		add_member(members, GPOINTER_TO_UINT(hash), zone);
}

/* Return: a new set of all daemons that are up: direct_members() and the
 * callers that other seeds have reported. A daemon in several lists counts
 * once. */
static GHashTable *all_members(struct forward_registry *registry)
{
	GHashTable *members = direct_members(registry);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, registry->known_peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct known_peer *peer = value;

		if (peer->callers)
			add_members(members, peer->callers);
	}
	return members;
}

static void update_members(struct forward_registry *registry, GHashTable *up)
{
	GHashTable *regions = registry->engine->settings->regions;
	GHashTableIter iter;
	gpointer hash;
	gpointer zone;

	g_hash_table_iter_init(&iter, up);
	while (g_hash_table_iter_next(&iter, &hash, &zone)) {
		const char *region = g_hash_table_lookup(regions, zone);

		route_members_seen(registry->members, GPOINTER_TO_UINT(hash),
				   region ? region : "", registry->counted_us);
	}
	route_members_expire(registry->members, registry->counted_us);
}

static void update_contact(struct forward_registry *registry)
{
	guint n_up = 1;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, registry->known_peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n_up += ((const struct known_peer *)value)->callers != NULL;
	route_members_set_contact(registry->members, n_up,
				  registry->engine->settings->seeds->len,
				  registry->counted_us);
}

/* ---- silent daemons ---- */

static void print_silent(const struct route_silent *silent, const char *region,
			 void *user)
{
	GString *text = user;
	g_autofree char *name = g_uri_escape_string(region, NULL, FALSE);

	if (text->len < SILENT_BYTES_MAX)
		g_string_append_printf(text, "%08x:%s:%" G_GINT64_FORMAT ":%d,",
				       silent->hash, name,
				       silent->silent_us / CS_US_PER_S,
				       silent->displaced);
}

void forward_registry_append_silent(struct forward_registry *registry,
				    GString *query)
{
	GString *text = g_string_new(NULL);

	route_members_each_silent(registry->members,
				  forward_now(registry->engine), print_silent,
				  text);
	if (text->len) {
		g_string_append(query, "&silent=");
		g_string_append_uri_escaped(query, text->str, ":,", FALSE);
	}
	g_string_free(text, TRUE);
}

static bool add_silent(struct forward_registry *registry, const char *text)
{
	g_auto(GStrv) fields = g_strsplit(text, ":", -1);
	g_autofree char *region = NULL;
	struct route_silent silent = {0};
	guint64 hash;
	gint64 seconds;

	if (g_strv_length(fields) != 4 ||
	    !g_ascii_string_to_unsigned(fields[0], 16, 0, G_MAXUINT32, &hash,
					NULL) ||
	    !g_ascii_string_to_signed(fields[2], 10, 0, G_MAXINT, &seconds,
				      NULL))
		return false;
	region = g_uri_unescape_string(fields[1], NULL);
	if (!region)
		return false;
	silent.hash = (guint32)hash;
	silent.silent_us = seconds * CS_US_PER_S;
	silent.displaced = !strcmp(fields[3], "1");
	route_members_told_silent(registry->members, &silent, region,
				  forward_now(registry->engine));
	return true;
}

void forward_registry_add_silent(struct forward_registry *registry,
				 const char *list)
{
	g_auto(GStrv) items = g_strsplit(list, ",", -1);

	for (char **item = items; *item; item++) {
		if (**item && !add_silent(registry, *item))
			cs_log(LOG_WARNING, "silent-invalid", "text", *item,
			       NULL);
	}
}

/* ---- relay addresses ---- */

/* Creates a set of relay addresses: "IP:PORT" to "ZONE:CONTACT". */
static GHashTable *new_relays(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static void add_relay(GHashTable *relays, const char *address, const char *zone,
		      bool has_contact)
{
	g_autofree char *name = g_uri_escape_string(zone, NULL, FALSE);

	g_hash_table_replace(relays, g_strdup(address),
			     g_strdup_printf("%s:%d", name, has_contact));
}

/* Return: a new set of this daemon and the daemons that call it. */
static GHashTable *direct_relays(struct forward_registry *registry)
{
	const struct forward_engine *engine = registry->engine;
	GHashTable *relays = new_relays();
	char address[CS_ENDPOINT_TEXT_SIZE];
	GHashTableIter iter;
	gpointer value;

	cs_endpoint_print(&engine->settings->relay, address);
	if (engine->settings->relay.sin_port)
		add_relay(relays, address, engine->settings->zone,
			  forward_contact_exists(engine->contact));
	g_hash_table_iter_init(&iter, registry->known_peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct known_peer *peer = value;

		if (peer->relay)
			add_relay(relays, peer->relay, peer->zone,
				  peer->has_contact);
	}
	return relays;
}

/* Adds what is not in the set yet. */
static void add_reported_relays(GHashTable *relays, GHashTable *reported)
{
	GHashTableIter iter;
	gpointer address;
	gpointer value;

	g_hash_table_iter_init(&iter, reported);
	while (g_hash_table_iter_next(&iter, &address, &value)) {
		if (!g_hash_table_contains(relays, address))
			g_hash_table_insert(relays, g_strdup(address),
					    g_strdup(value));
	}
}

/* Return: new text "IP:PORT:ZONE:CONTACT,...", sorted, of about bytes_max at
 * most. */
static char *print_relays(GHashTable *relays, gsize bytes_max)
{
	GString *text = g_string_new(NULL);
	GList *addresses = g_list_sort(g_hash_table_get_keys(relays),
				       (GCompareFunc)g_strcmp0);

	for (GList *at = addresses; at && text->len < bytes_max; at = at->next)
		g_string_append_printf(
			text, "%s%s:%s", text->len ? "," : "",
			(const char *)at->data,
			(const char *)g_hash_table_lookup(relays, at->data));
	g_list_free(addresses);
	return g_string_free(text, FALSE);
}

static void update_relays(struct forward_registry *registry)
{
	g_autoptr(GHashTable) relays = direct_relays(registry);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, registry->known_peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct known_peer *peer = value;

		if (peer->relays)
			add_reported_relays(relays, peer->relays);
	}
	g_free(registry->relays);
	registry->relays = print_relays(relays, G_MAXSIZE);
}

void forward_registry_append_relays(struct forward_registry *registry,
				    GString *query)
{
	g_autoptr(GHashTable) relays = direct_relays(registry);
	g_autofree char *text = print_relays(relays, RELAYS_BYTES_MAX);

	g_string_append(query, "&relay_list=");
	g_string_append_uri_escaped(query, text, ":,", FALSE);
}

/* Return: the relay addresses in a seed's list, without malformed ones. */
static GHashTable *parse_relays(const char *text)
{
	g_auto(GStrv) items = g_strsplit(text, ",", -1);
	GHashTable *relays = new_relays();

	for (char **item = items; *item; item++) {
		g_auto(GStrv) fields = g_strsplit(*item, ":", 3);

		if (g_strv_length(fields) == 3)
			g_hash_table_replace(
				relays,
				g_strdup_printf("%s:%s", fields[0], fields[1]),
				g_strdup(fields[2]));
	}
	return relays;
}

void forward_registry_append_known_relays(
	const struct forward_registry *registry, guint32 known, GString *body)
{
	guint32 fingerprint = g_str_hash(registry->relays);

	g_string_append_printf(body, ", \"relays\": \"%x", fingerprint);
	if (fingerprint != known)
		g_string_append_printf(body, ",%s", registry->relays);
	g_string_append_c(body, '"');
}

/* Other daemons are told of the peers by a seed. */
static void apply_own_relays(struct forward_registry *registry)
{
	struct forward_engine *engine = registry->engine;
	g_autofree char *text = NULL;

	if (!engine->follow || !forward_follow_is_seed(engine->follow))
		return;
	text = g_strdup_printf("%x,%s", g_str_hash(registry->relays),
			       registry->relays);
	forward_relays_apply(engine->relays, text);
}

/* Other daemons are told their places by a seed; a seed has to do it itself. */
static void apply_own_places(struct forward_registry *registry)
{
	struct forward_engine *engine = registry->engine;
	json_t *places;

	if (!engine->follow || !forward_follow_is_seed(engine->follow))
		return;
	places = forward_limits_places(engine, registry->members,
				       own_hash(registry));
	forward_limits_apply(engine, NULL, places);
	json_decref(places);
}

static void count_daemons(struct forward_registry *registry)
{
	g_autoptr(GHashTable) members = all_members(registry);
	GHashTableIter iter;
	gpointer zone;

	g_hash_table_remove_all(registry->zone_counts);
	registry->n_daemons = g_hash_table_size(members);
	g_hash_table_iter_init(&iter, members);
	while (g_hash_table_iter_next(&iter, NULL, &zone)) {
		guint n = GPOINTER_TO_UINT(
			g_hash_table_lookup(registry->zone_counts, zone));

		g_hash_table_replace(registry->zone_counts, g_strdup(zone),
				     GUINT_TO_POINTER(n + 1));
	}
	registry->counted_us = forward_now(registry->engine);
	update_members(registry, members);
	update_contact(registry);
	apply_own_places(registry);
	update_relays(registry);
	apply_own_relays(registry);
}

void forward_registry_update_counts(struct forward_registry *registry)
{
	if (forward_now(registry->engine) - registry->counted_us >=
	    COUNT_INTERVAL_US)
		count_daemons(registry);
}

guint forward_registry_count_in_zone(struct forward_registry *registry,
				     const char *zone)
{
	forward_registry_update_counts(registry);
	return GPOINTER_TO_UINT(
		g_hash_table_lookup(registry->zone_counts, zone));
}

void forward_registry_append_callers(struct forward_registry *registry,
				     GString *query)
{
	g_autoptr(GHashTable) members = direct_members(registry);
	GHashTableIter iter;
	gpointer hash;
	gpointer zone;

	g_string_append(query, "&callers=");
	g_hash_table_iter_init(&iter, members);
	while (g_hash_table_iter_next(&iter, &hash, &zone)) {
		g_autofree char *name = g_uri_escape_string(zone, NULL, FALSE);

		g_string_append_printf(query, "%08x:%s,",
				       GPOINTER_TO_UINT(hash), name);
	}
}

/* Return: the members in a seed's list "HASH:ZONE,...", or NULL if it is
 * malformed. */
static GHashTable *parse_members(const char *text)
{
	g_auto(GStrv) items = g_strsplit(text, ",", -1);
	GHashTable *members = new_members();

	for (char **item = items; *item; item++) {
		char *colon = strchr(*item, ':');
		guint64 hash;

		if (!**item)
			continue;
		if (colon)
			*colon = '\0';
		if (!colon || !g_ascii_string_to_unsigned(
				      *item, 16, 0, G_MAXUINT32, &hash, NULL)) {
			g_hash_table_unref(members);
			return NULL;
		}
		add_member(members, (guint32)hash, colon + 1);
	}
	return members;
}

void forward_registry_record(struct forward_registry *registry,
			     const char *control, const char *zone,
			     GHashTable *parameters)
{
	const char *callers = g_hash_table_lookup(parameters, "callers");
	const char *relays = g_hash_table_lookup(parameters, "relay_list");
	struct sockaddr_in relay;
	char own_address[CS_ENDPOINT_TEXT_SIZE];
	struct known_peer *peer;

	cs_endpoint_print(&registry->engine->settings->control, own_address);
	if (!strcmp(control, own_address))
		return;
	peer = g_new0(struct known_peer, 1);
	peer->last_seen_us = forward_now(registry->engine);
	peer->zone = g_strdup(zone);
	peer->callers = callers ? parse_members(callers) : NULL;
	peer->relays = relays ? parse_relays(relays) : NULL;
	peer->relay = g_strdup(g_hash_table_lookup(parameters, "relay"));
	if (peer->relay && cs_endpoint_parse(peer->relay, &relay))
		g_clear_pointer(&peer->relay, g_free);
	peer->has_contact =
		!g_strcmp0(g_hash_table_lookup(parameters, "contact"), "1");
	g_hash_table_replace(registry->known_peers, g_strdup(control), peer);
}

guint forward_registry_count(struct forward_registry *registry)
{
	forward_registry_update_counts(registry);
	return registry->n_daemons;
}

struct route_members *forward_registry_members(
	struct forward_registry *registry)
{
	return registry->members;
}

struct forward_registry *forward_registry_create(struct forward_engine *engine)
{
	struct forward_registry *registry = g_new0(struct forward_registry, 1);

	registry->engine = engine;
	registry->known_peers = g_hash_table_new_full(g_str_hash, g_str_equal,
						      g_free, free_known_peer);
	registry->zone_counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	registry->members = route_members_create(forward_now(engine));
	return registry;
}

void forward_registry_destroy(struct forward_registry *registry)
{
	if (!registry)
		return;
	g_hash_table_unref(registry->known_peers);
	g_hash_table_unref(registry->zone_counts);
	route_members_destroy(registry->members);
	g_free(registry->relays);
	g_free(registry);
}
