/* Ownership of cold upstreams, decided from all lists of a time window. */
#include "cuminsail/policy_owner.h"

#include <string.h>
#include <sys/queue.h>
#include <xxhash.h>

/*
 * One quarter of the lag bound is left for the platform's own lag. The other
 * three quarters bound the time since the read that confirmed the list.
 */
#define PLATFORM_LAG_DIVISOR 4

/* One daemon of a list. */
struct member {
	char *id;
	char *zone;
};

/* The daemons of one list, in force from since_us to the next since_us. */
struct membership {
	TAILQ_ENTRY(membership) link;
	gint64 since_us;
	GArray *members; /* struct member, leaving daemons left out */
};

struct policy_ownership {
	char *self;
	gint64 lag_us;
	gint64 in_flight_us;
	gint64 revision; /* of the newest list */
	gint64 confirmed_us; /* when the last confirming read was sent */
	TAILQ_HEAD(, membership) memberships; /* oldest first */
};

static void clear_member(struct member *member)
{
	g_free(member->id);
	g_free(member->zone);
}

static void remove_membership(struct policy_ownership *ownership,
			      struct membership *membership)
{
	TAILQ_REMOVE(&ownership->memberships, membership, link);
	g_array_unref(membership->members);
	g_free(membership);
}

struct policy_ownership *policy_ownership_create(const char *self)
{
	struct policy_ownership *ownership = g_new0(struct policy_ownership, 1);

	ownership->self = g_strdup(self);
	ownership->confirmed_us = G_MININT64;
	TAILQ_INIT(&ownership->memberships);
	return ownership;
}

static void remove_all(struct policy_ownership *ownership)
{
	while (!TAILQ_EMPTY(&ownership->memberships))
		/* The analyzer does not follow the removal from the list. */
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
		remove_membership(ownership,
				  TAILQ_FIRST(&ownership->memberships));
}

void policy_ownership_destroy(struct policy_ownership *ownership)
{
	if (!ownership)
		return;
	remove_all(ownership);
	g_free(ownership->self);
	g_free(ownership);
}

void policy_ownership_set_bounds(struct policy_ownership *ownership,
				 gint64 lag_us, gint64 in_flight_us)
{
	ownership->lag_us = lag_us;
	ownership->in_flight_us = in_flight_us;
}

static gint64 window_start(const struct policy_ownership *ownership,
			   gint64 now_us)
{
	return now_us - ownership->lag_us - ownership->in_flight_us;
}

/* Whether the list was in force at some time since start_us. */
static bool in_window(const struct membership *membership, gint64 start_us)
{
	const struct membership *next = TAILQ_NEXT(membership, link);

	return !next || next->since_us >= start_us;
}

static void remove_outdated(struct policy_ownership *ownership, gint64 now_us)
{
	gint64 start_us = window_start(ownership, now_us);
	struct membership *oldest = TAILQ_FIRST(&ownership->memberships);

	while (oldest && !in_window(oldest, start_us)) {
		struct membership *next = TAILQ_NEXT(oldest, link);

		remove_membership(ownership, oldest);
		oldest = next;
	}
}

static struct membership *create_membership(const GPtrArray *daemons,
					    gint64 now_us)
{
	struct membership *membership = g_new0(struct membership, 1);

	membership->since_us = now_us;
	membership->members = g_array_new(FALSE, FALSE, sizeof(struct member));
	g_array_set_clear_func(membership->members,
			       (GDestroyNotify)clear_member);
	for (guint i = 0; i < daemons->len; i++) {
		const struct list_daemon *daemon = daemons->pdata[i];
		struct member member = {
			.id = g_strdup(daemon->id),
			.zone = g_strdup(daemon->zone),
		};

		if (daemon->leaving)
			clear_member(&member);
		else
			g_array_append_val(membership->members, member);
	}
	return membership;
}

void policy_ownership_add_list(struct policy_ownership *ownership,
			       gint64 revision, const GPtrArray *daemons,
			       gint64 now_us)
{
	struct membership *membership;

	if (!TAILQ_EMPTY(&ownership->memberships) &&
	    revision != ownership->revision + 1)
		remove_all(ownership);
	ownership->revision = revision;
	membership = create_membership(daemons, now_us);
	TAILQ_INSERT_TAIL(&ownership->memberships, membership, link);
	remove_outdated(ownership, now_us);
}

void policy_ownership_confirm(struct policy_ownership *ownership,
			      gint64 read_sent_us)
{
	ownership->confirmed_us = MAX(ownership->confirmed_us, read_sent_us);
}

bool policy_ownership_is_fresh(const struct policy_ownership *ownership,
			       gint64 now_us)
{
	if (ownership->confirmed_us == G_MININT64)
		return false;
	return now_us - ownership->confirmed_us <=
	       ownership->lag_us - ownership->lag_us / PLATFORM_LAG_DIVISOR;
}

/* Rank of a daemon for an upstream; every daemon computes the same value. */
static guint64 rendezvous_rank(const char *upstream, const char *daemon)
{
	XXH64_hash_t seed = XXH64(upstream, strlen(upstream), 0);

	return XXH64(daemon, strlen(daemon), seed);
}

static bool zone_has_member(const struct membership *membership,
			    const char *zone)
{
	for (guint i = 0; i < membership->members->len; i++) {
		if (!strcmp(g_array_index(membership->members, struct member, i)
				    .zone,
			    zone))
			return true;
	}
	return false;
}

/*
 * Id of the highest ranked daemon; NULL if there is none. Daemons of other
 * zones count only if the upstream's zone has no daemon.
 */
static const char *highest_ranked(const struct membership *membership,
				  const char *upstream, const char *zone)
{
	bool in_zone_only = zone_has_member(membership, zone);
	const char *best = NULL;
	guint64 best_rank = 0;

	for (guint i = 0; i < membership->members->len; i++) {
		const struct member *member =
			&g_array_index(membership->members, struct member, i);
		guint64 value;

		if (in_zone_only && strcmp(member->zone, zone) != 0)
			continue;
		value = rendezvous_rank(upstream, member->id);
		if (!best || value > best_rank ||
		    (value == best_rank && strcmp(member->id, best) > 0)) {
			best = member->id;
			best_rank = value;
		}
	}
	return best;
}

bool policy_ownership_owns(const struct policy_ownership *ownership,
			   const char *upstream, const char *zone,
			   gint64 now_us)
{
	gint64 start_us = window_start(ownership, now_us);
	const struct membership *membership =
		TAILQ_FIRST(&ownership->memberships);

	if (!policy_ownership_is_fresh(ownership, now_us))
		return false;
	if (!membership || membership->since_us > start_us)
		return false;
	TAILQ_FOREACH (membership, &ownership->memberships, link) {
		const char *first;

		if (!in_window(membership, start_us))
			continue;
		first = highest_ranked(membership, upstream, zone);
		if (!first || strcmp(first, ownership->self) != 0)
			return false;
	}
	return true;
}
