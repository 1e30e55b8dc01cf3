/**
 * policy_revision.h - whether an offered configuration is accepted
 *
 * The highest revision wins; a lower one is rejected. Two different contents
 * with the same revision are a conflict: the configuration in force stays.
 */
#ifndef CUMINSAIL_POLICY_REVISION_H
#define CUMINSAIL_POLICY_REVISION_H

#include <glib.h>

/** Revision and content digest in force; zero and NULL before the first. */
struct policy_revision {
	gint64 number;
	char *digest;
};

/**
 * policy_revision_check - compare an offered revision with the one in force
 * @held: the revision in force
 * @number: the offered revision
 * @digest: digest of the offered content
 *
 * Return: 0 if the offer is newer, or none is in force yet, and it may be
 * accepted once its content is checked; 1 if it is the revision in force;
 * CS_E_STALE if it is older; CS_E_CONFLICT if it has the same revision but
 * different content.
 */
int policy_revision_check(const struct policy_revision *held, gint64 number,
			  const char *digest);

/**
 * policy_revision_accept - put an offered revision in force
 * @held: the revision in force, replaced
 * @number: the new revision, after its content passed all checks
 * @digest: digest of its content, copied
 */
void policy_revision_accept(struct policy_revision *held, gint64 number,
			    const char *digest);

/**
 * policy_revision_clear - free the digest
 * @held: the revision in force
 */
void policy_revision_clear(struct policy_revision *held);

#endif
