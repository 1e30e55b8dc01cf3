/* The daemon as a forwarder on the users' platform. */
#ifndef CUMINSAILD_FORWARD_H
#define CUMINSAILD_FORWARD_H

#include <stdbool.h>

/**
 * forward_run - serve until a signal ends it
 * @path: the settings file
 * @check: only check the settings
 *
 * Return: an exit status.
 */
int forward_run(const char *path, bool check);

#endif
