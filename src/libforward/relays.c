/*
 * Relays: a daemon that reaches no replica sends the requests of its callers to
 * a peer that does, over the peer's relay address, in one hop.
 *
 * The seeds tell every daemon the peers and whether they have contact. Peers
 * are kept as the replicas of one service, so that they are chosen by zone,
 * response time and free connections, and are suspect after failures, as
 * replicas are. Limits, budgets and suspicion are applied once, by the peer.
 *
 * A relayed request has FORWARD_RELAY_FIELD with the version of the sender's
 * routes, the time the request has been held, and the attempts that may have
 * run; the answer has it with the
 * result code (0: the answer of replicas) and the version that served it.
 */
#include "internal.h"

#include "cuminsail/endpoint.h"
#include "cuminsail/error.h"
#include "cuminsail/log.h"

#include <stdio.h>
#include <string.h>

/* Name of the service that the peers are the replicas of. */
#define RELAY_SERVICE "relay"

/* Connections to one peer, and requests that it runs at once for the choice of
 * the next. */
#define PEER_CONNECTIONS 100
#define PEER_SLOTS	 16

/* Peers to which one request is sent at most. */
#define ATTEMPTS_MAX 4

/* How long a peer is kept that the seeds do not name any more: they may have
 * restarted. */
#define PEER_LIFETIME_US (60 * CS_US_PER_S)

/* How long a peer without contact is avoided; the seeds tell by then. */
#define AVOID_US (1 * CS_US_PER_S)

/* Fields of a peer in a list. */
enum { FIELD_IP, FIELD_PORT, FIELD_ZONE, FIELD_CONTACT, N_FIELDS };

/* A peer's last mention by a seed. */
struct relay_peer {
	gint64 told_us;
};

struct forward_relays {
	struct forward_engine *engine;
	struct http1_server *server; /* NULL: this daemon relays nothing */
	struct route_fleet *fleet;
	struct route_pool *pool;
	GHashTable *peers; /* relay address to struct relay_peer */
	guint32 fingerprint; /* of the last list received */
	gint64 version; /* highest that a peer has served for this daemon */
};

/* ---- peers ---- */

static void set_pool_limits(struct route_fleet *fleet)
{
	struct route_bounds bounds = {.budget_ratio = 1,
				      .budget_slack = 100,
				      .budget_window_us = 10 * CS_US_PER_S,
				      .daemons = 1,
				      .daemons_in_zone = 1};
	struct route_table *table = route_table_create(1);

	route_table_add_service(table, RELAY_SERVICE, PEER_CONNECTIONS, 0);
	route_table_seal(table);
	route_fleet_set_table(fleet, table);
	route_table_unref(table);
	route_fleet_set_bounds(fleet, &bounds);
}

static bool is_self(const struct forward_relays *relays,
		    const struct sockaddr_in *address)
{
	const struct sockaddr_in *own = &relays->engine->settings->relay;

	return address->sin_port == own->sin_port &&
	       address->sin_addr.s_addr == own->sin_addr.s_addr;
}

static void put_peer(struct forward_relays *relays, const char *id,
		     const struct sockaddr_in *address, const char *zone,
		     bool has_contact)
{
	struct relay_peer *peer = g_hash_table_lookup(relays->peers, id);
	gint64 now = forward_now(relays->engine);
	struct route_entry entry = {
		.id = id,
		.service = RELAY_SERVICE,
		.zone = zone,
		.address = *address,
		.slots = PEER_SLOTS,
		/* No new request is sent to one that leaves. */
		.leaving = !has_contact,
	};

	if (!peer) {
		peer = g_new0(struct relay_peer, 1);
		g_hash_table_insert(relays->peers, g_strdup(id), peer);
	}
	peer->told_us = now;
	route_fleet_put(relays->fleet, &entry, now);
}

/* Applies a peer "IP:PORT:ZONE:CONTACT".
 * Return: false if it is malformed. */
static bool apply_peer(struct forward_relays *relays, const char *text)
{
	g_auto(GStrv) fields = g_strsplit(text, ":", -1);
	g_autofree char *id = NULL;
	g_autofree char *zone = NULL;
	struct sockaddr_in address;

	if (g_strv_length(fields) != N_FIELDS)
		return false;
	id = g_strdup_printf("%s:%s", fields[FIELD_IP], fields[FIELD_PORT]);
	zone = g_uri_unescape_string(fields[FIELD_ZONE], NULL);
	if (!zone || cs_endpoint_parse(id, &address))
		return false;
	if (!is_self(relays, &address))
		put_peer(relays, id, &address, zone,
			 !strcmp(fields[FIELD_CONTACT], "1"));
	return true;
}

static void remove_old_peers(struct forward_relays *relays)
{
	gint64 now = forward_now(relays->engine);
	GHashTableIter iter;
	gpointer id;
	gpointer value;

	g_hash_table_iter_init(&iter, relays->peers);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		const struct relay_peer *peer = value;

		if (now - peer->told_us <= PEER_LIFETIME_US)
			continue;
		route_fleet_remove(relays->fleet, id, false, now);
		g_hash_table_iter_remove(&iter);
	}
}

void forward_relays_apply(struct forward_relays *relays, const char *text)
{
	g_auto(GStrv) items = g_strsplit(text ? text : "", ",", -1);
	guint64 fingerprint;

	if (!items[0])
		return;
	if (!g_ascii_string_to_unsigned(items[0], 16, 0, G_MAXUINT32,
					&fingerprint, NULL)) {
		cs_log(LOG_WARNING, "relays-invalid", "text", text, NULL);
		return;
	}
	/* Without a list, the one received last still holds. */
	if (!items[1])
		return;
	relays->fingerprint = (guint32)fingerprint;
	for (char **item = items + 1; *item; item++) {
		if (**item && !apply_peer(relays, *item))
			cs_log(LOG_WARNING, "relays-invalid", "text", *item,
			       NULL);
	}
	remove_old_peers(relays);
}

void forward_relays_append_report(const struct forward_relays *relays,
				  GString *query)
{
	const struct forward_settings *settings = relays->engine->settings;
	char address[CS_ENDPOINT_TEXT_SIZE];

	if (!settings->relay.sin_port)
		return;
	cs_endpoint_print(&settings->relay, address);
	g_string_append_printf(query, "&relay=%s&contact=%d&relays=%x", address,
			       forward_contact_exists(relays->engine->contact),
			       relays->fingerprint);
}

/* ---- whether to relay ---- */

static bool has_usable_peer(const struct forward_relays *relays)
{
	return route_fleet_random_other(relays->fleet, NULL,
					forward_now(relays->engine)) != NULL;
}

bool forward_relays_wanted(const struct forward_relays *relays)
{
	const struct forward_engine *engine = relays->engine;
	double share = forward_contact_share(engine->contact);
	/* A caller must not see an older version after a newer one. */
	bool is_older = engine->table->version < relays->version;

	if (!is_older && share >= 1)
		return false;
	return has_usable_peer(relays) &&
	       (is_older || g_random_double() >= share);
}

/* Return: attempts of one part that may have run, the most of all parts. */
static guint count_used(const struct forward_job *job)
{
	guint n_used = job->n_used;

	for (guint i = 0; i < job->n_parts; i++)
		n_used = MAX(n_used, job->parts[i].n_may_have_run);
	return n_used;
}

bool forward_job_may_relay(const struct forward_job *job)
{
	guint n_used = count_used(job);

	if (job->relaying || job->closing)
		return false;
	return !n_used ||
	       (job->route->idempotent && n_used < job->route->attempts_max);
}

/* The regions of the route, and this one: the caller is here. */
static struct route *create_relay_route(const struct forward_job *job)
{
	const struct forward_settings *settings = job->engine->settings;
	const char *own =
		g_hash_table_lookup(settings->regions, settings->zone);
	struct route *route = route_create(ROUTE_SERVICE);

	route->name = g_strdup(job->route->name);
	route->service = g_strdup(RELAY_SERVICE);
	route->idempotent = job->route->idempotent;
	route->objective_us = job->route->objective_us;
	route->attempts_max = ATTEMPTS_MAX;
	if (!job->route->regions->len)
		return route;
	if (own)
		g_ptr_array_add(route->regions, g_strdup(own));
	for (guint i = 0; i < job->route->regions->len; i++)
		g_ptr_array_add(route->regions,
				g_strdup(job->route->regions->pdata[i]));
	return route;
}

void forward_job_relay(struct forward_job *job)
{
	struct forward_engine *engine = job->engine;
	struct forward_relays *relays = engine->relays;
	struct forward_part *part = &job->relay_part;

	job->n_used = count_used(job);
	for (guint i = 0; i < job->n_parts; i++)
		forward_part_release(&job->parts[i], 0);
	job->relay_route = create_relay_route(job);
	job->relaying = true;
	job->parts = part;
	job->n_parts = 1;
	job->n_done = job->n_failed = 0;
	part->job = job;
	part->pool = relays->pool;
	part->route = job->relay_route;
	part->work = route_fleet_work(relays->fleet, job->relay_route);
	part->reason = CS_E_NO_CONTACT;
	TAILQ_INIT(&part->attempts);
	route_pool_deposit(part->pool, forward_now(engine));
	cs_counters_add(engine->counters, CS_N_RELAYED_OUT, 1);
	forward_part_try(part);
}

static void relay_or_fail(struct forward_relays *relays,
			  struct forward_job *job)
{
	/* A partial answer is due, or an order may still be answered. */
	if (job->relaying || job->closing ||
	    job->n_done >= forward_parts_needed(job) ||
	    (count_used(job) && !job->route->idempotent))
		return;
	if (!job->relayed && forward_job_may_relay(job) &&
	    has_usable_peer(relays)) {
		forward_job_relay(job);
		forward_job_update(job);
	} else {
		forward_job_fail(job, CS_E_NO_CONTACT);
	}
}

void forward_relays_contact_lost(struct forward_relays *relays)
{
	struct forward_engine *engine = relays->engine;
	struct forward_job *job;
	struct forward_job *next;

	if (!forward_contact_silent(engine->contact))
		return;
	for (job = TAILQ_FIRST(&engine->jobs); job; job = next) {
		next = TAILQ_NEXT(job, link);
		relay_or_fail(relays, job);
	}
}

/* ---- messages between the daemons ---- */

void forward_relays_append_request_field(const struct forward_job *job,
					 GString *head)
{
	gint64 held_us = forward_now(job->engine) - job->started_us;

	g_string_append_printf(head,
			       FORWARD_RELAY_FIELD ": %" G_GINT64_FORMAT
						   " %" G_GINT64_FORMAT
						   " %u\r\n",
			       job->table->version, held_us, job->n_used);
}

void forward_relays_append_answer_field(const struct forward_engine *engine,
					int code, GString *lines)
{
	g_string_append_printf(
		lines, FORWARD_RELAY_FIELD ": %d %" G_GINT64_FORMAT "\r\n",
		code, engine->table ? engine->table->version : 0);
}

static bool another_peer_may_serve(int code)
{
	return code == CS_E_NO_CONTACT || code == CS_E_NOT_READY ||
	       code == CS_E_STOPPING;
}

struct forward_classification forward_relays_classify(
	struct forward_engine *engine, struct route_replica *peer,
	const struct http1_message *message)
{
	const struct forward_dialect *dialect = engine->dialect;
	const char *field = http1_message_header(message, FORWARD_RELAY_FIELD);
	bool success = message->status >= 200 && message->status < 300;
	gint64 version;
	int code;

	if (!field || !http1_message_header(message, dialect->request_id) ||
	    sscanf(field, "%d %" G_GINT64_FORMAT, &code, &version) != 2 ||
	    (success && !http1_message_header(message, dialect->signature) &&
	     !http1_message_header(message, dialect->part_signatures)))
		return (struct forward_classification){ROUTE_FAILED,
						       CS_E_BAD_ANSWER, false};
	if (another_peer_may_serve(code)) {
		peer->suspect_until_us = forward_now(engine) + AVOID_US;
		return (struct forward_classification){ROUTE_SHED, code,
						       message->status == 503};
	}
	engine->relays->version = MAX(engine->relays->version, version);
	/* A daemon of an older version passes on a replica's status without
	 * proof. */
	if (!code && forward_status_promises_not_run(message->status))
		return (struct forward_classification){ROUTE_SHED, CS_E_LOST,
						       false};
	/* A refusal goes to the caller, but is no reason to choose this peer.
	 */
	return (struct forward_classification){
		code ? ROUTE_SHED : ROUTE_ANSWERED, 0, false};
}

/* ---- server ---- */

/* Only daemons that the seeds have named, and the seeds, may use it. */
static bool admit(const struct sockaddr_in *from, void *user)
{
	struct forward_relays *relays = user;
	const GArray *seeds = relays->engine->settings->seeds;
	GHashTableIter iter;
	gpointer id;

	for (guint i = 0; i < seeds->len; i++) {
		if (g_array_index(seeds, struct sockaddr_in, i)
			    .sin_addr.s_addr == from->sin_addr.s_addr)
			return true;
	}
	g_hash_table_iter_init(&iter, relays->peers);
	while (g_hash_table_iter_next(&iter, &id, NULL)) {
		struct sockaddr_in address;

		if (!cs_endpoint_parse(id, &address) &&
		    address.sin_addr.s_addr == from->sin_addr.s_addr)
			return true;
	}
	return false;
}

static void refuse(struct forward_engine *engine,
		   struct http1_exchange *exchange,
		   const struct http1_message *request, int code)
{
	const char *id =
		http1_message_header(request, engine->dialect->request_id);
	GString *lines = g_string_new(NULL);
	struct http1_reply reply = {.status = cs_error_http_status(code)};

	if (id)
		g_string_append_printf(lines, "%s: %s\r\n",
				       engine->dialect->request_id, id);
	forward_relays_append_answer_field(engine, code, lines);
	reply.header_lines = lines->str;
	cs_counters_add_refusal(engine->counters, code);
	cs_log(LOG_INFO, "relay-refused", "id", id, "reason",
	       cs_error_name(code), NULL);
	http1_exchange_reply(exchange, &reply);
	g_string_free(lines, TRUE);
}

static void on_request(struct http1_exchange *exchange,
		       const struct http1_message *request, void *user)
{
	struct forward_relays *relays = user;
	struct forward_engine *engine = relays->engine;
	const char *field = http1_message_header(request, FORWARD_RELAY_FIELD);
	const char *host = http1_message_header(request, "Host");
	struct route *route = NULL;
	gint64 version = 0;
	gint64 held_us = 0;
	guint n_used = 0;
	int code = 0;

	cs_counters_add(engine->counters, CS_N_RELAYED_IN, 1);
	if (engine->table)
		route = route_table_find(engine->table, host ? host : "",
					 request->target->str);
	if (!field ||
	    !http1_message_header(request, engine->dialect->request_id) ||
	    sscanf(field, "%" G_GINT64_FORMAT " %" G_GINT64_FORMAT " %u",
		   &version, &held_us, &n_used) != 3 ||
	    held_us < 0)
		code = CS_E_HEADER;
	else if (!route || engine->table->version < version)
		code = CS_E_NOT_READY;
	else if (!forward_contact_exists(engine->contact))
		code = CS_E_NO_CONTACT;
	if (code)
		refuse(engine, exchange, request, code);
	else
		forward_job_begin_relayed(engine, exchange, request, route,
					  held_us, n_used);
}

static void on_disconnected(struct http1_exchange *exchange, void *user)
{
	struct forward_job *job = http1_exchange_data(exchange);

	if (job)
		forward_job_abandon(job);
}

void forward_relays_drain(struct forward_relays *relays)
{
	if (relays->server)
		http1_server_drain(relays->server);
}

guint forward_relays_stop_accepting(struct forward_relays *relays)
{
	if (!relays->server)
		return 0;
	http1_server_stop_accepting(relays->server);
	return http1_server_connection_count(relays->server);
}

struct forward_relays *forward_relays_create(struct forward_engine *engine)
{
	const struct forward_settings *settings = engine->settings;
	struct http1_server_hooks hooks = {on_request, on_disconnected, NULL,
					   NULL, admit};
	struct forward_relays *relays = g_new0(struct forward_relays, 1);

	hooks.user = relays;
	relays->engine = engine;
	relays->fleet = route_fleet_create(settings->zone, settings->regions);
	set_pool_limits(relays->fleet);
	relays->pool = route_fleet_pool(relays->fleet, RELAY_SERVICE);
	relays->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	if (!settings->relay.sin_port)
		return relays;
	relays->server = http1_server_create(engine->loop, &settings->relay,
					     &engine->caller_limits, &hooks);
	if (relays->server)
		return relays;
	forward_relays_destroy(relays);
	return NULL;
}

void forward_relays_close(struct forward_relays *relays)
{
	if (relays)
		http1_server_destroy(relays->server);
	if (relays)
		relays->server = NULL;
}

void forward_relays_destroy(struct forward_relays *relays)
{
	if (!relays)
		return;
	http1_server_destroy(relays->server);
	route_fleet_destroy(relays->fleet);
	g_hash_table_unref(relays->peers);
	g_free(relays);
}
