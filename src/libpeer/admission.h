/* Private: which keys may link, asked by ZeroMQ for each new link. */
#ifndef LIBPEER_ADMISSION_H
#define LIBPEER_ADMISSION_H

#include "cuminsail/config.h"
#include "cuminsail/counters.h"

struct peer_admission;

/* Only the fleet's own public key is admitted. */
struct peer_admission *peer_admission_create(void *context,
					     const struct settings *settings,
					     struct cs_counters *counters);
void peer_admission_destroy(struct peer_admission *admission);

#endif
