/**
 * policy_revision.h - which offered configuration is taken up
 *
 * The highest revision wins, always; a lower one is dropped. One revision with
 * two contents is a conflict: the content held stays in force.
 */
#ifndef CUMINSAIL_POLICY_REVISION_H
#define CUMINSAIL_POLICY_REVISION_H

#include <glib.h>

/** Revision and content digest of what is in force; zero and NULL at first. */
struct policy_revision {
	gint64 number;
	char *digest;
};

/**
 * policy_revision_check - whether an offer may replace what is held
 * @held: what is in force
 * @number: revision offered
 * @digest: digest of its content
 *
 * Return: 0 to check and take it, 1 if it is the one held, CS_E_STALE or
 * CS_E_CONFLICT.
 */
int policy_revision_check(const struct policy_revision *held, gint64 number,
			  const char *digest);

/**
 * policy_revision_take - an offer passed all checks
 * @held: what is in force
 * @number: its revision
 * @digest: its digest, copied
 */
void policy_revision_take(struct policy_revision *held, gint64 number,
			  const char *digest);

/**
 * policy_revision_clear - free the digest
 * @held: what is in force
 */
void policy_revision_clear(struct policy_revision *held);

#endif
