/**
 * log.h - one line of key=value pairs for each event
 *
 * Lines go to standard error with a syslog priority in front, "<6>event=...".
 * Values that hold a space, a quote, an equals sign or a control byte are
 * quoted and escaped, so that input never starts a second line.
 */
#ifndef CUMINSAIL_LOG_H
#define CUMINSAIL_LOG_H

#include <syslog.h>

/**
 * cs_log_set_level - drop events above a priority
 * @priority: LOG_EMERG to LOG_DEBUG; LOG_INFO at start
 */
void cs_log_set_level(int priority);

/**
 * cs_log - write one event
 * @priority: LOG_EMERG to LOG_DEBUG
 * @event: name of the event, letters and dashes
 *
 * The further arguments are pairs of strings, key then value, ended by NULL.
 * A NULL value is written as "-". Legal at any time, from the loop's thread.
 */
void cs_log(int priority, const char *event, ...) __attribute__((sentinel));

/**
 * cs_log_quote - quote a value as in a log line
 * @value: any bytes up to the NUL, or NULL
 *
 * Return: a new string for g_free().
 */
char *cs_log_quote(const char *value);

#endif
