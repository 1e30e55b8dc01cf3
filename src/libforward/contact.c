/* Opens the connections that show whether this daemon reaches any replica. */
#include "internal.h"

#include "cuminsail/log.h"

struct forward_contact;

/* One connection of a round. */
struct contact_probe {
	struct forward_contact *contact;
	struct http1_client *client;
};

struct forward_contact {
	struct forward_engine *engine;
	struct route_contact *state;
	struct contact_probe probes[ROUTE_CONTACT_PROBES];
	struct cs_timer timer; /* end of the round */
	bool in_round;
	bool timed_out; /* the round ends in the next turn of the loop */
	guint n_tried;
	guint n_connected;
	guint n_open;
};

#define contact_of(pointer)                                                    \
	((struct forward_contact *)((char *)(pointer)-offsetof(                \
		struct forward_contact, timer)))

static void log_change(const struct forward_contact *contact, const char *event)
{
	char tried[FORWARD_NUMBER_TEXT_MAX];
	char connected[FORWARD_NUMBER_TEXT_MAX];

	g_snprintf(tried, sizeof(tried), "%u", contact->n_tried);
	g_snprintf(connected, sizeof(connected), "%u", contact->n_connected);
	cs_log(LOG_WARNING, event, "tried", tried, "connected", connected,
	       NULL);
}

static void end_round(struct forward_contact *contact)
{
	struct forward_engine *engine = contact->engine;

	contact->in_round = false;
	cs_timer_disarm(engine->clock, &contact->timer);
	for (guint i = 0; i < ROUTE_CONTACT_PROBES; i++) {
		if (contact->probes[i].client)
			http1_client_close(contact->probes[i].client);
		contact->probes[i].client = NULL;
	}
	switch (route_contact_end_round(contact->state, contact->n_tried,
					contact->n_connected,
					forward_now(engine))) {
	case ROUTE_CONTACT_SAME:
		break;
	case ROUTE_CONTACT_LOST:
		cs_counters_add(engine->counters, CS_N_CONTACT_LOST, 1);
		log_change(contact, "contact-lost");
		forward_relays_contact_lost(engine->relays);
		break;
	case ROUTE_CONTACT_REGAINED:
		cs_counters_add(engine->counters, CS_N_CONTACT_REGAINED, 1);
		log_change(contact, "contact-regained");
		break;
	}
}

static void end_probe(struct contact_probe *probe, bool connected)
{
	struct forward_contact *contact = probe->contact;

	probe->client = NULL;
	contact->n_connected += connected;
	if (!--contact->n_open)
		end_round(contact);
}

static void on_connected(struct http1_client *client, void *user)
{
	http1_client_close(client);
	end_probe(user, true);
}

static bool on_answer(struct http1_client *client,
		      const struct http1_message *answer, void *user)
{
	return false;
}

static void on_closed(struct http1_client *client, enum http1_failure failure,
		      void *user)
{
	end_probe(user, false);
}

/* A busy daemon may have connections that it has not handled yet. The loop
 * handles them before the timer fires once more. */
static void on_timeout(struct cs_timer *timer)
{
	struct forward_contact *contact = contact_of(timer);

	if (contact->timed_out) {
		end_round(contact);
		return;
	}
	contact->timed_out = true;
	cs_timer_arm(contact->engine->clock, timer,
		     forward_now(contact->engine));
}

static void open_probe(struct forward_contact *contact,
		       struct contact_probe *probe)
{
	struct forward_engine *engine = contact->engine;
	struct http1_client_hooks hooks = {on_connected, on_answer, on_closed,
					   probe};
	const struct route_replica *replica = route_fleet_random_other(
		engine->fleet, NULL, forward_now(engine));

	if (!replica)
		return;
	contact->n_tried++;
	cs_counters_add(engine->counters, CS_N_CONNECTIONS, 1);
	probe->contact = contact;
	probe->client = http1_client_open(engine->loop, &replica->address,
					  &engine->answer_limits, &hooks);
	contact->n_open += probe->client != NULL;
}

static void begin_round(struct forward_contact *contact)
{
	contact->in_round = true;
	contact->timed_out = false;
	route_contact_begin_round(contact->state, forward_now(contact->engine));
	contact->n_tried = contact->n_connected = contact->n_open = 0;
	for (guint i = 0; i < ROUTE_CONTACT_PROBES; i++)
		open_probe(contact, &contact->probes[i]);
	cs_timer_arm(contact->engine->clock, &contact->timer,
		     forward_now(contact->engine) +
			     (contact->n_open ? ROUTE_CONTACT_ROUND_US : 0));
}

/* Return: when the oldest open attempt at a replica was sent; 0: none. */
static gint64 oldest_attempt_us(const struct forward_engine *engine)
{
	const struct forward_link *link;
	gint64 oldest_us = 0;

	TAILQ_FOREACH (link, &engine->links, entry) {
		/* Peers are no replicas. */
		const struct route_attempt *first =
			TAILQ_FIRST(&link->replica->open_attempts);

		if (first && !link->to_peer &&
		    (!oldest_us || first->sent_us < oldest_us))
			oldest_us = first->sent_us;
	}
	return oldest_us;
}

void forward_contact_check(struct forward_contact *contact)
{
	struct forward_engine *engine = contact->engine;

	if (!contact->in_round &&
	    route_contact_wants_round(contact->state, oldest_attempt_us(engine),
				      route_fleet_count(engine->fleet),
				      forward_now(engine)))
		begin_round(contact);
}

void forward_contact_lagged(struct forward_contact *contact)
{
	route_contact_lagged(contact->state, forward_now(contact->engine));
}

void forward_contact_answered(struct forward_contact *contact)
{
	route_contact_answered(contact->state, forward_now(contact->engine));
}

void forward_contact_connected(struct forward_contact *contact)
{
	route_contact_connected(contact->state, forward_now(contact->engine));
}

void forward_contact_failed(struct forward_contact *contact,
			    const struct route_replica *replica)
{
	route_contact_failed(contact->state, replica->address.sin_addr.s_addr ^
						     replica->address.sin_port);
	forward_contact_check(contact);
}

bool forward_contact_exists(const struct forward_contact *contact)
{
	return route_contact_exists(contact->state);
}

bool forward_contact_silent(const struct forward_contact *contact)
{
	return route_contact_silent(contact->state,
				    forward_now(contact->engine));
}

double forward_contact_share(const struct forward_contact *contact)
{
	return route_contact_share(contact->state,
				   forward_now(contact->engine));
}

struct forward_contact *forward_contact_create(struct forward_engine *engine)
{
	struct forward_contact *contact = g_new0(struct forward_contact, 1);

	contact->engine = engine;
	contact->state = route_contact_create();
	contact->timer.fire = on_timeout;
	return contact;
}

void forward_contact_destroy(struct forward_contact *contact)
{
	if (!contact)
		return;
	cs_timer_disarm(contact->engine->clock, &contact->timer);
	for (guint i = 0; i < ROUTE_CONTACT_PROBES; i++) {
		if (contact->probes[i].client)
			http1_client_close(contact->probes[i].client);
	}
	route_contact_destroy(contact->state);
	g_free(contact);
}
