/*
 * Finds out whether a replica has crashed when a request to it is lost: its
 * address then refuses connections. A replica that only reset one connection
 * accepts a new one.
 *
 * A daemon that is cut off may be refused by every address. A crash therefore
 * counts only once another replica has accepted a connection after it.
 */
#include "internal.h"

#include "cuminsail/log.h"

#include <string.h>

/* How long a check may take. */
#define CHECK_TIMEOUT_US (3 * CS_US_PER_S)

/* Other replicas that are tried for the proof of contact. */
#define OTHERS_MAX 8

/* Checks at the same time; each takes a descriptor. */
#define CHECKS_MAX 64

/* Requests recorded for one check: more than a replica runs at once. */
#define LOSSES_MAX 64

/* A request that was lost with its replica. */
struct loss {
	TAILQ_ENTRY(loss) link;
	struct route_digest digest;
	char *request_id;
	guint32 copy; /* number of its job */
};

struct forward_crash_check {
	TAILQ_ENTRY(forward_crash_check) entry;
	struct forward_engine *engine;
	struct route_replica *replica;
	struct http1_client *client;
	bool refused; /* by the replica; the client now tries another one */
	guint n_others; /* tried so far */
	struct cs_timer timer;
	gint64 begun_us;
	guint n_losses;
	TAILQ_HEAD(, loss) losses;
};

#define check_of(pointer)                                                      \
	((struct forward_crash_check *)((char *)(pointer)-offsetof(            \
		struct forward_crash_check, timer)))

static void remove_loss(struct forward_crash_check *check, struct loss *loss)
{
	TAILQ_REMOVE(&check->losses, loss, link);
	check->n_losses--;
	g_free(loss->request_id);
	g_free(loss);
}

static void free_check(struct forward_crash_check *check)
{
	struct loss *loss = TAILQ_FIRST(&check->losses);

	cs_timer_disarm(check->engine->clock, &check->timer);
	if (check->client)
		http1_client_close(check->client);
	TAILQ_REMOVE(&check->engine->crash_checks, check, entry);
	while (loss) {
		struct loss *next = TAILQ_NEXT(loss, link);

		remove_loss(check, loss);
		loss = next;
	}
	route_replica_unref(check->replica);
	g_free(check);
}

static void end_check(struct forward_crash_check *check, const char *result,
		      enum cs_counter counter)
{
	char losses[FORWARD_NUMBER_TEXT_MAX];
	char after[FORWARD_NUMBER_TEXT_MAX];

	g_snprintf(losses, sizeof(losses), "%u", check->n_losses);
	cs_counters_add(check->engine->counters, counter, 1);
	cs_log(LOG_NOTICE, "replica-checked", "replica", check->replica->id,
	       "result", result, "lost", losses, "after_ms",
	       forward_print_ms(after,
				forward_now(check->engine) - check->begun_us),
	       NULL);
	/* Parts may wait for the result. */
	forward_capacity_freed(check->engine);
	free_check(check);
}

static void confirm_crash(struct forward_crash_check *check)
{
	struct loss *loss;
	char text[ROUTE_DIGEST_TEXT_SIZE];

	TAILQ_FOREACH (loss, &check->losses, link) {
		cs_log(LOG_NOTICE, "lost-in-crash", "id", loss->request_id,
		       "request", route_digest_print(&loss->digest, text),
		       "replica", check->replica->id, NULL);
		forward_blocklist_crashed(check->engine, check->replica,
					  &loss->digest, loss->copy,
					  check->begun_us);
	}
	end_check(check, "crashed", CS_N_CHECK_CRASHED);
}

static void on_timeout(struct cs_timer *timer)
{
	struct forward_crash_check *check = check_of(timer);

	end_check(check, check->refused ? "no-contact" : "no-answer",
		  CS_N_CHECK_UNKNOWN);
}

static void on_connected(struct http1_client *client, void *user)
{
	struct forward_crash_check *check = user;

	if (check->refused)
		confirm_crash(check);
	else
		end_check(check, "alive", CS_N_CHECK_ALIVE);
}

static bool on_answer(struct http1_client *client,
		      const struct http1_message *answer, void *user)
{
	return false;
}

static void on_refused(struct http1_client *client, enum http1_failure failure,
		       void *user);

/* Return: false if no socket could be opened. */
static bool connect_to(struct forward_crash_check *check,
		       const struct route_replica *replica)
{
	struct http1_client_hooks hooks = {on_connected, on_answer, on_refused,
					   check};

	check->client =
		http1_client_open(check->engine->loop, &replica->address,
				  &check->engine->answer_limits, &hooks);
	if (!check->client)
		return false;
	cs_counters_add(check->engine->counters, CS_N_CONNECTIONS, 1);
	return true;
}

static void on_refused(struct http1_client *client, enum http1_failure failure,
		       void *user)
{
	struct forward_crash_check *check = user;
	struct route_replica *other =
		route_fleet_random_other(check->engine->fleet, check->replica,
					 forward_now(check->engine));

	check->client = NULL;
	check->refused = true;
	if (!other || check->n_others++ >= OTHERS_MAX ||
	    !connect_to(check, other))
		end_check(check, "no-contact", CS_N_CHECK_UNKNOWN);
}

static struct forward_crash_check *find_check(
	struct forward_engine *engine, const struct route_replica *replica,
	guint *n_checks)
{
	struct forward_crash_check *check;

	*n_checks = 0;
	TAILQ_FOREACH (check, &engine->crash_checks, entry) {
		if (check->replica == replica)
			return check;
		(*n_checks)++;
	}
	return NULL;
}

static struct forward_crash_check *begin_check(struct forward_engine *engine,
					       struct route_replica *replica)
{
	struct forward_crash_check *check =
		g_new0(struct forward_crash_check, 1);

	check->engine = engine;
	if (!connect_to(check, replica)) {
		g_free(check);
		return NULL;
	}
	check->replica = route_replica_ref(replica);
	check->timer.fire = on_timeout;
	check->begun_us = forward_now(engine);
	TAILQ_INIT(&check->losses);
	TAILQ_INSERT_TAIL(&engine->crash_checks, check, entry);
	cs_timer_arm(engine->clock, &check->timer,
		     check->begun_us + CHECK_TIMEOUT_US);
	return check;
}

void forward_crashes_lost(struct forward_engine *engine,
			  const struct forward_attempt *attempt,
			  const struct route_digest *digest)
{
	struct route_replica *replica = attempt->route.replica;
	guint n_checks;
	struct forward_crash_check *check =
		find_check(engine, replica, &n_checks);
	struct loss *loss;

	/* A replica that leaves cuts what is left when it exits; without
	 * contact nothing can be found out. */
	if (route_replica_leaves(replica) || !replica->pool ||
	    !forward_contact_exists(engine->contact))
		return;
	if (!check && n_checks < CHECKS_MAX)
		check = begin_check(engine, replica);
	if (!check || check->n_losses >= LOSSES_MAX) {
		cs_log(LOG_INFO, "loss-not-checked", "id", attempt->request_id,
		       "replica", replica->id, NULL);
		return;
	}
	loss = g_new0(struct loss, 1);
	loss->digest = *digest;
	loss->request_id = g_strdup(attempt->request_id);
	loss->copy = attempt->copy;
	TAILQ_INSERT_TAIL(&check->losses, loss, link);
	check->n_losses++;
}

static bool is_of(const struct loss *loss, const struct route_digest *digest)
{
	return !memcmp(&loss->digest, digest, sizeof(*digest));
}

static bool has_lost(const struct forward_crash_check *check,
		     const struct route_digest *digest)
{
	const struct loss *loss;

	TAILQ_FOREACH (loss, &check->losses, link) {
		if (is_of(loss, digest))
			return true;
	}
	return false;
}

guint forward_crashes_pending(struct forward_engine *engine,
			      const struct route_digest *digest)
{
	struct forward_crash_check *check;
	guint n = 0;

	TAILQ_FOREACH (check, &engine->crash_checks, entry)
		n += has_lost(check, digest);
	return n;
}

void forward_crashes_forget(struct forward_engine *engine,
			    const struct route_digest *digest)
{
	struct forward_crash_check *check;

	TAILQ_FOREACH (check, &engine->crash_checks, entry) {
		struct loss *loss = TAILQ_FIRST(&check->losses);

		while (loss) {
			struct loss *next = TAILQ_NEXT(loss, link);

			if (is_of(loss, digest))
				remove_loss(check, loss);
			loss = next;
		}
	}
}

void forward_crashes_free(struct forward_engine *engine)
{
	struct forward_crash_check *check = TAILQ_FIRST(&engine->crash_checks);

	while (check) {
		struct forward_crash_check *next = TAILQ_NEXT(check, entry);

		free_check(check);
		check = next;
	}
}
