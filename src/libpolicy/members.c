/* The other daemons, as known from their heartbeats. */
#include "cuminsail/policy_members.h"

/* Suspicion timeouts without a heartbeat after which a member is removed. */
#define REMOVE_FACTOR 20

struct policy_members {
	gint64 suspect_us;
	GHashTable *by_id; /* id to struct policy_member */
};

static void destroy_member(struct policy_member *member)
{
	g_free(member->id);
	g_free(member);
}

struct policy_members *policy_members_create(gint64 suspect_us)
{
	struct policy_members *members = g_new0(struct policy_members, 1);

	members->suspect_us = suspect_us;
	members->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       (GDestroyNotify)destroy_member);
	return members;
}

void policy_members_destroy(struct policy_members *members)
{
	if (!members)
		return;
	g_hash_table_unref(members->by_id);
	g_free(members);
}

static bool is_silent(const struct policy_members *members,
		      const struct policy_member *member, gint64 now_us)
{
	return now_us - member->last_heartbeat_us > members->suspect_us;
}

/*
 * The incarnation of a restarted daemon is lower than before if its wall clock
 * was set back. It is therefore accepted once the old incarnation is silent;
 * otherwise the daemon's heartbeats would be dropped as replays.
 */
static bool is_replay(const struct policy_members *members,
		      const struct policy_member *member,
		      const struct policy_heartbeat *heartbeat, gint64 now_us)
{
	if (heartbeat->incarnation == member->incarnation)
		return heartbeat->sequence <= member->sequence;
	if (heartbeat->incarnation > member->incarnation)
		return false;
	return !is_silent(members, member, now_us);
}

const struct policy_member *policy_members_receive(
	struct policy_members *members,
	const struct policy_heartbeat *heartbeat, gint64 now_us)
{
	struct policy_member *member =
		g_hash_table_lookup(members->by_id, heartbeat->id);

	if (member && is_replay(members, member, heartbeat, now_us))
		return NULL;
	if (!member) {
		member = g_new0(struct policy_member, 1);
		member->id = g_strdup(heartbeat->id);
		g_hash_table_insert(members->by_id, member->id, member);
	}
	member->incarnation = heartbeat->incarnation;
	member->sequence = heartbeat->sequence;
	member->last_heartbeat_us = now_us;
	member->is_leaving = heartbeat->leaving;
	member->config_revision = heartbeat->config_revision;
	member->list_revision = heartbeat->list_revision;
	return member;
}

enum policy_member_state policy_members_state(
	const struct policy_members *members,
	const struct policy_member *member, gint64 now_us)
{
	if (member->is_leaving)
		return POLICY_MEMBER_LEFT;
	if (is_silent(members, member, now_us))
		return POLICY_MEMBER_SUSPECT;
	return POLICY_MEMBER_ALIVE;
}

void policy_members_each(const struct policy_members *members,
			 void (*visit)(const struct policy_member *member,
				       void *user),
			 void *user)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, members->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		visit(value, user);
}

guint policy_members_alive(const struct policy_members *members, gint64 now_us)
{
	GHashTableIter iter;
	gpointer value;
	guint alive = 0;

	g_hash_table_iter_init(&iter, members->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (policy_members_state(members, value, now_us) ==
		    POLICY_MEMBER_ALIVE)
			alive++;
	}
	return alive;
}

void policy_members_remove_silent(struct policy_members *members, gint64 now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, members->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct policy_member *member = value;

		if (now_us - member->last_heartbeat_us >
		    REMOVE_FACTOR * members->suspect_us)
			g_hash_table_iter_remove(&iter);
	}
}
