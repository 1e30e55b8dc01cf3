/* Whether this daemon reaches any replica. */
#include "cuminsail/route_contact.h"

/* Different replicas whose failures raise a doubt: more than a shard has, as
 * all replicas of one shard may be down. */
#define DOUBT_REPLICAS 4

/* Silence that raises a doubt: the longest pause of a single replica. */
#define DOUBT_SILENCE_US (300 * CS_US_PER_MS)

/* Time after a round that found contact before the next doubt. */
#define REST_US (1 * CS_US_PER_S)

/* Time between two rounds without contact. */
#define ROUND_INTERVAL_US (300 * CS_US_PER_MS)

/* Time in which the direct share rises to 1. */
#define RETURN_US (1 * CS_US_PER_S)

struct route_contact {
	guint32 failed[DOUBT_REPLICAS]; /* since the last new connection */
	guint n_failed;
	gint64 heard_us; /* last answer, new connection or lag; 0: never */
	gint64 connected_us; /* last new connection, or lag; 0: never */
	gint64 begun_us; /* begin of the last round */
	gint64 round_us; /* its end; 0: none yet */
	gint64 regained_us; /* 0: never lost */
	bool lost;
};

struct route_contact *route_contact_create(void)
{
	return g_new0(struct route_contact, 1);
}

void route_contact_destroy(struct route_contact *contact)
{
	g_free(contact);
}

void route_contact_answered(struct route_contact *contact, gint64 now_us)
{
	contact->heard_us = now_us;
}

void route_contact_connected(struct route_contact *contact, gint64 now_us)
{
	contact->heard_us = now_us;
	contact->connected_us = now_us;
	contact->n_failed = 0;
}

void route_contact_lagged(struct route_contact *contact, gint64 now_us)
{
	contact->heard_us = now_us;
	contact->connected_us = now_us;
}

void route_contact_failed(struct route_contact *contact, guint32 replica)
{
	for (guint i = 0; i < contact->n_failed; i++) {
		if (contact->failed[i] == replica)
			return;
	}
	if (contact->n_failed < DOUBT_REPLICAS)
		contact->failed[contact->n_failed++] = replica;
}

bool route_contact_silent(const struct route_contact *contact, gint64 now_us)
{
	return now_us - contact->heard_us >= DOUBT_SILENCE_US;
}

static bool is_silent(const struct route_contact *contact, gint64 oldest_us,
		      gint64 now_us)
{
	return oldest_us && now_us - oldest_us >= DOUBT_SILENCE_US &&
	       route_contact_silent(contact, now_us);
}

bool route_contact_wants_round(const struct route_contact *contact,
			       gint64 oldest_us, guint n_replicas,
			       gint64 now_us)
{
	if (contact->lost)
		return now_us - contact->round_us >= ROUND_INTERVAL_US;
	if (contact->round_us && now_us - contact->round_us < REST_US)
		return false;
	return is_silent(contact, oldest_us, now_us) ||
	       (n_replicas &&
		contact->n_failed >= MIN(n_replicas, DOUBT_REPLICAS));
}

void route_contact_begin_round(struct route_contact *contact, gint64 now_us)
{
	contact->begun_us = now_us;
}

enum route_contact_change route_contact_end_round(struct route_contact *contact,
						  guint n_tried,
						  guint n_connected,
						  gint64 now_us)
{
	bool was_lost = contact->lost;

	contact->round_us = now_us;
	if (!n_tried)
		return ROUTE_CONTACT_SAME;
	if (n_connected)
		route_contact_connected(contact, now_us);
	contact->lost = was_lost ? 2 * n_connected <= n_tried
				 : contact->connected_us < contact->begun_us;
	if (contact->lost == was_lost)
		return ROUTE_CONTACT_SAME;
	if (contact->lost)
		return ROUTE_CONTACT_LOST;
	contact->regained_us = now_us;
	return ROUTE_CONTACT_REGAINED;
}

bool route_contact_exists(const struct route_contact *contact)
{
	return !contact->lost;
}

double route_contact_share(const struct route_contact *contact, gint64 now_us)
{
	if (contact->lost)
		return 0;
	if (!contact->regained_us)
		return 1;
	return MIN((double)(now_us - contact->regained_us) / RETURN_US, 1);
}
