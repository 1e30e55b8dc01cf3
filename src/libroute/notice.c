/* What replicas say of themselves in their answers: that they leave, or that
 * they want no requests for some time. */
#include "fleet.h"

/* Longest rest that is granted. A replica that names more is tried again then,
 * and can ask again. */
#define REST_MAX_US (300 * CS_US_PER_S)

bool route_replica_observe_leaving(struct route_replica *replica)
{
	if (replica->notice.leaving)
		return false;
	replica->notice.leaving = true;
	return true;
}

void route_replica_observe_rest(struct route_replica *replica, gint64 rest_us,
				gint64 now_us)
{
	gint64 until_us = now_us + CLAMP(rest_us, 0, REST_MAX_US);

	replica->notice.rest_until_us =
		MAX(replica->notice.rest_until_us, until_us);
}
