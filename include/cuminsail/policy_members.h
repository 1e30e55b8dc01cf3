/**
 * policy_members.h - the other daemons, as their beats show them
 *
 * A beat carries the sender's incarnation and a sequence number. A beat of an
 * older incarnation, or not above the last number, is a replay and is dropped.
 */
#ifndef CUMINSAIL_POLICY_MEMBERS_H
#define CUMINSAIL_POLICY_MEMBERS_H

#include <glib.h>
#include <stdbool.h>

enum policy_member_state {
	POLICY_MEMBER_ALIVE,
	POLICY_MEMBER_SUSPECT, /* silent for the suspicion time */
	POLICY_MEMBER_LEFT, /* said that it leaves */
};

/** One other daemon. */
struct policy_member {
	char *id;
	guint64 incarnation;
	guint64 sequence;
	gint64 heard_us;
	bool left;
	gint64 config_revision;
	gint64 list_revision;
};

struct policy_members;

/**
 * policy_members_create - nobody heard yet
 * @suspect_us: silence after which a member is suspect
 *
 * Return: a new set, owned by the caller.
 */
struct policy_members *policy_members_create(gint64 suspect_us);

/**
 * policy_members_destroy - free a set
 * @members: a set or NULL
 */
void policy_members_destroy(struct policy_members *members);

/** What a beat says. */
struct policy_beat {
	const char *id;
	guint64 incarnation;
	guint64 sequence;
	bool leaving;
	gint64 config_revision;
	gint64 list_revision;
};

/**
 * policy_members_heard - take a beat
 * @members: a set
 * @beat: what it says
 * @now_us: the clock
 *
 * Return: the member, or NULL if the beat is a replay.
 */
const struct policy_member *policy_members_heard(struct policy_members *members,
						 const struct policy_beat *beat,
						 gint64 now_us);

/**
 * policy_members_state - what to think of a member
 * @members: a set
 * @member: one of it
 * @now_us: the clock
 *
 * Return: its state.
 */
enum policy_member_state policy_members_state(
	const struct policy_members *members,
	const struct policy_member *member, gint64 now_us);

/**
 * policy_members_each - visit every member that was ever heard
 * @members: a set
 * @visit: called with each and @user
 * @user: passed on
 */
void policy_members_each(const struct policy_members *members,
			 void (*visit)(const struct policy_member *member,
				       void *user),
			 void *user);

/**
 * policy_members_alive - members heard lately that did not leave
 * @members: a set
 * @now_us: the clock
 *
 * Return: their number.
 */
guint policy_members_alive(const struct policy_members *members, gint64 now_us);

/**
 * policy_members_forget - drop members that have been silent long
 * @members: a set
 * @now_us: the clock
 */
void policy_members_forget(struct policy_members *members, gint64 now_us);

#endif
