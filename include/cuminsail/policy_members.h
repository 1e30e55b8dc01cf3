/**
 * policy_members.h - the other daemons, as known from their heartbeats
 *
 * A heartbeat carries the sender's incarnation and a sequence number. A
 * heartbeat of an older incarnation, or with a sequence number not above the
 * last one, is a replay and is dropped.
 */
#ifndef CUMINSAIL_POLICY_MEMBERS_H
#define CUMINSAIL_POLICY_MEMBERS_H

#include <glib.h>
#include <stdbool.h>

enum policy_member_state {
	POLICY_MEMBER_ALIVE,
	POLICY_MEMBER_SUSPECT, /* no heartbeat for the suspicion timeout */
	POLICY_MEMBER_LEFT, /* its last heartbeat said that it is leaving */
};

/** One other daemon; the values are those of its last heartbeat. */
struct policy_member {
	char *id;
	guint64 incarnation;
	guint64 sequence;
	gint64 last_heartbeat_us; /* when it was received */
	bool is_leaving;
	gint64 config_revision;
	gint64 list_revision;
};

struct policy_members;

/**
 * policy_members_create - create an empty set of members
 * @suspect_us: suspicion timeout: time without a heartbeat, in microseconds,
 *	after which a member is suspect
 *
 * Return: a new set, owned by the caller.
 */
struct policy_members *policy_members_create(gint64 suspect_us);

/**
 * policy_members_destroy - free a set of members
 * @members: a set or NULL
 */
void policy_members_destroy(struct policy_members *members);

/** Contents of a heartbeat. */
struct policy_heartbeat {
	const char *id;
	guint64 incarnation;
	guint64 sequence;
	bool leaving;
	gint64 config_revision;
	gint64 list_revision;
};

/**
 * policy_members_receive - add or update a member from a heartbeat
 * @members: a set
 * @heartbeat: contents of the heartbeat
 * @now_us: current time
 *
 * A heartbeat of an older incarnation is not a replay if the member is
 * suspect: the incarnation of a restarted daemon is lower if its wall clock was
 * set back.
 *
 * Return: the member, or NULL if the heartbeat is a replay.
 */
const struct policy_member *policy_members_receive(
	struct policy_members *members,
	const struct policy_heartbeat *heartbeat, gint64 now_us);

/**
 * policy_members_state - get the state of a member
 * @members: a set
 * @member: one of its members
 * @now_us: current time
 *
 * Return: its state.
 */
enum policy_member_state policy_members_state(
	const struct policy_members *members,
	const struct policy_member *member, gint64 now_us);

/**
 * policy_members_each - visit every member of the set
 * @members: a set
 * @visit: called with each member, whatever its state, and @user
 * @user: passed to @visit
 */
void policy_members_each(const struct policy_members *members,
			 void (*visit)(const struct policy_member *member,
				       void *user),
			 void *user);

/**
 * policy_members_alive - count the members in state POLICY_MEMBER_ALIVE
 * @members: a set
 * @now_us: current time
 *
 * Return: their number.
 */
guint policy_members_alive(const struct policy_members *members, gint64 now_us);

/**
 * policy_members_remove_silent - remove members that have long been silent
 * @members: a set
 * @now_us: current time
 *
 * Removes each member whose last heartbeat was received more than 20 suspicion
 * timeouts ago.
 */
void policy_members_remove_silent(struct policy_members *members,
				  gint64 now_us);

#endif
