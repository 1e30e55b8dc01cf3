/* Private: the forwarding mode of the daemon (--forward), which forwards HTTP
 * requests by the routes of the platform. */
#ifndef CUMINSAILD_FORWARD_H
#define CUMINSAILD_FORWARD_H

#include <stdbool.h>

/**
 * forward_run - forward requests until a signal ends the process
 * @path: the settings file
 * @check: only check the settings and exit
 *
 * SIGTERM and SIGINT begin a graceful shutdown; SIGHUP reads the settings
 * again.
 *
 * Return: an exit status; 2 if the settings are unreadable or invalid.
 */
int forward_run(const char *path, bool check);

#endif
