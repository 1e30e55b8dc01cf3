/* Whether an offered configuration is accepted. */
#include "cuminsail/policy_revision.h"

#include "cuminsail/error.h"

#include <string.h>

int policy_revision_check(const struct policy_revision *held, gint64 number,
			  const char *digest)
{
	if (number < held->number)
		return CS_E_STALE;
	if (number > held->number || !held->digest)
		return 0;
	return strcmp(held->digest, digest) ? CS_E_CONFLICT : 1;
}

void policy_revision_accept(struct policy_revision *held, gint64 number,
			    const char *digest)
{
	held->number = number;
	g_free(held->digest);
	held->digest = g_strdup(digest);
}

void policy_revision_clear(struct policy_revision *held)
{
	g_free(held->digest);
	held->digest = NULL;
}
