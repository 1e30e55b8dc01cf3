/* Private: signals that end the daemon or have it read its settings. */
#ifndef CUMINSAILD_SIGNALS_H
#define CUMINSAILD_SIGNALS_H

#include <stdbool.h>

/**
 * signals_hold - hold SIGTERM, SIGINT and SIGHUP back, or let them through
 * @hold: true while the daemon has no handlers for them
 *
 * Without a handler each of them would kill the process: while it starts, or
 * after its stop, before it has exited. One that was held back is handled once
 * it is let through.
 */
void signals_hold(bool hold);

#endif
