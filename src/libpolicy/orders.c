/* Tickets and the record table of orders. */
#include "cuminsail/policy_orders.h"

#include <string.h>

/* A ticket is issuer~incarnation~service~nonce~mac. */
#define TICKET_FIELDS	  5
#define TICKET_SEPARATOR  "~"
#define TICKET_LENGTH_MAX 1024

enum order_state {
	ORDER_ISSUED,
	ORDER_RUNNING,
	ORDER_FINISHED,
};

struct policy_order {
	char *nonce;
	char *service;
	char *digest; /* of the body that was run, NULL before the run */
	enum order_state state;
	gint64 expires_us;
	struct policy_order_result result;
};

struct policy_orders {
	char *issuer;
	char *incarnation;
	char *key;
	struct policy_orders_limits limits;
	GHashTable *records; /* nonce to struct policy_order */
	GQueue *by_age; /* the same records, oldest first */
};

static void destroy_order(struct policy_order *order)
{
	g_free(order->nonce);
	g_free(order->service);
	g_free(order->digest);
	g_free(order->result.body);
	g_free(order);
}

struct policy_orders *policy_orders_create(
	const char *issuer, const char *incarnation, const char *key,
	const struct policy_orders_limits *limits)
{
	struct policy_orders *orders = g_new0(struct policy_orders, 1);

	orders->issuer = g_strdup(issuer);
	orders->incarnation = g_strdup(incarnation);
	orders->key = g_strdup(key);
	orders->limits = *limits;
	orders->records = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						(GDestroyNotify)destroy_order);
	orders->by_age = g_queue_new();
	return orders;
}

void policy_orders_destroy(struct policy_orders *orders)
{
	if (!orders)
		return;
	g_queue_free(orders->by_age);
	g_hash_table_unref(orders->records);
	g_free(orders->issuer);
	g_free(orders->incarnation);
	g_free(orders->key);
	g_free(orders);
}

static char *compute_mac(const struct policy_orders *orders,
			 const char *service, const char *nonce)
{
	g_autofree char *text =
		g_strjoin(TICKET_SEPARATOR, orders->issuer, orders->incarnation,
			  service, nonce, NULL);

	return g_compute_hmac_for_string(G_CHECKSUM_SHA256,
					 (const guchar *)orders->key,
					 strlen(orders->key), text, -1);
}

int policy_orders_issue(struct policy_orders *orders, const char *service,
			const char *nonce, gint64 now_us, char **text)
{
	struct policy_order *order;
	g_autofree char *mac = NULL;

	policy_orders_expire(orders, now_us);
	if (policy_orders_count(orders) >= orders->limits.records_max)
		return CS_E_TICKET_FULL;
	order = g_new0(struct policy_order, 1);
	order->nonce = g_strdup(nonce);
	order->service = g_strdup(service);
	order->expires_us = now_us + orders->limits.ticket_us;
	g_hash_table_insert(orders->records, order->nonce, order);
	g_queue_push_tail(orders->by_age, order);
	mac = compute_mac(orders, service, nonce);
	*text = g_strjoin(TICKET_SEPARATOR, orders->issuer, orders->incarnation,
			  service, nonce, mac, NULL);
	return 0;
}

int policy_ticket_parse(const char *text, struct policy_ticket *ticket)
{
	char **fields;

	memset(ticket, 0, sizeof(*ticket));
	if (strlen(text) > TICKET_LENGTH_MAX)
		return CS_E_TICKET;
	fields = g_strsplit(text, TICKET_SEPARATOR, -1);
	if (g_strv_length(fields) != TICKET_FIELDS) {
		g_strfreev(fields);
		return CS_E_TICKET;
	}
	ticket->issuer = fields[0];
	ticket->incarnation = fields[1];
	ticket->service = fields[2];
	ticket->nonce = fields[3];
	ticket->mac = fields[4];
	g_free(fields);
	return 0;
}

void policy_ticket_clear(struct policy_ticket *ticket)
{
	g_free(ticket->issuer);
	g_free(ticket->incarnation);
	g_free(ticket->service);
	g_free(ticket->nonce);
	g_free(ticket->mac);
	memset(ticket, 0, sizeof(*ticket));
}

/*
 * Compares all bytes, so that the time taken does not show how many leading
 * bytes of a forged MAC are right.
 */
static bool mac_is_valid(const struct policy_orders *orders,
			 const struct policy_ticket *ticket)
{
	g_autofree char *mac =
		compute_mac(orders, ticket->service, ticket->nonce);
	size_t length = strlen(mac);
	unsigned char differs = 0;

	if (strlen(ticket->mac) != length)
		return false;
	for (size_t i = 0; i < length; i++)
		differs |= (unsigned char)(mac[i] ^ ticket->mac[i]);
	return !differs;
}

static enum policy_order_decision refuse(struct policy_order_result *refusal,
					 int code, enum cs_outcome outcome)
{
	refusal->code = code;
	refusal->outcome = outcome;
	refusal->body = NULL;
	return POLICY_ORDER_REFUSE;
}

/*
 * Handles a ticket that was used before. An order with another body is refused
 * as not run; that outcome is about the other body only, the first may have
 * run.
 */
static enum policy_order_decision begin_repeated(
	struct policy_order *order, const char *digest,
	struct policy_order_result *refusal)
{
	if (strcmp(order->digest, digest) != 0)
		return refuse(refusal, CS_E_TICKET_BODY, CS_NOT_RUN);
	return order->state == ORDER_RUNNING ? POLICY_ORDER_JOIN
					     : POLICY_ORDER_REPLAY;
}

enum policy_order_decision policy_orders_begin(
	struct policy_orders *orders, const struct policy_ticket *ticket,
	const char *service, const char *body, gint64 now_us,
	struct policy_order **order, struct policy_order_result *refusal)
{
	g_autofree char *digest =
		g_compute_checksum_for_string(G_CHECKSUM_SHA256, body, -1);
	struct policy_order *found;

	policy_orders_expire(orders, now_us);
	if (strcmp(ticket->issuer, orders->issuer) != 0 ||
	    strcmp(ticket->incarnation, orders->incarnation) != 0)
		return refuse(refusal, CS_E_ISSUER, CS_UNKNOWN);
	if (!mac_is_valid(orders, ticket) ||
	    strcmp(ticket->service, service) != 0)
		return refuse(refusal, CS_E_TICKET, CS_NOT_RUN);
	found = g_hash_table_lookup(orders->records, ticket->nonce);
	if (!found)
		return refuse(refusal, CS_E_TICKET_EXPIRED, CS_UNKNOWN);
	*order = found;
	if (found->state != ORDER_ISSUED)
		return begin_repeated(found, digest, refusal);
	if (now_us >= found->expires_us)
		return refuse(refusal, CS_E_TICKET_EXPIRED, CS_NOT_RUN);
	found->state = ORDER_RUNNING;
	found->digest = g_steal_pointer(&digest);
	return POLICY_ORDER_RUN;
}

void policy_order_finish(struct policy_order *order,
			 const struct policy_order_result *result)
{
	order->state = ORDER_FINISHED;
	order->result.code = result->code;
	order->result.outcome = result->outcome;
	order->result.body = g_strdup(result->body);
}

const struct policy_order_result *policy_order_result(
	const struct policy_order *order)
{
	return order->state == ORDER_FINISHED ? &order->result : NULL;
}

/*
 * All tickets have the same lifetime, so the oldest expires first. The record
 * of a running order is kept, and so are the newer ones behind it.
 */
void policy_orders_expire(struct policy_orders *orders, gint64 now_us)
{
	struct policy_order *oldest = g_queue_peek_head(orders->by_age);

	while (oldest && oldest->state != ORDER_RUNNING &&
	       now_us >= oldest->expires_us + orders->limits.record_us) {
		g_queue_pop_head(orders->by_age);
		g_hash_table_remove(orders->records, oldest->nonce);
		oldest = g_queue_peek_head(orders->by_age);
	}
}

guint policy_orders_count(const struct policy_orders *orders)
{
	return g_hash_table_size(orders->records);
}
