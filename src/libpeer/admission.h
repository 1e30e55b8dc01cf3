/* Private: authentication of the peers that connect, by their public key. */
#ifndef LIBPEER_ADMISSION_H
#define LIBPEER_ADMISSION_H

#include "cuminsail/config.h"
#include "cuminsail/counters.h"

struct peer_admission;

/*
 * Answers the authentication requests that ZeroMQ sends for each new connection
 * to a socket of @context. Only the public key of the fleet is accepted; others
 * are counted and logged.
 */
struct peer_admission *peer_admission_create(void *context,
					     const struct settings *settings,
					     struct cs_counters *counters);
void peer_admission_destroy(struct peer_admission *admission);

#endif
