/* Signals that end the daemon or have it read its settings. */
#include "signals.h"

#include <signal.h>
#include <stddef.h>

void signals_hold(bool hold)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	/* Fails only for an unknown operation. */
	(void)sigprocmask(hold ? SIG_BLOCK : SIG_UNBLOCK, &set, NULL);
}
