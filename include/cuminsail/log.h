/**
 * log.h - structured logging, one line of key=value pairs per event
 *
 * Lines go to standard output and begin with a syslog priority,
 * "<6>at=1764825600000 event=...". The time is in Unix milliseconds, for
 * display only. Empty values and values that contain a space, a quote, a
 * backslash, an equals sign, a control byte or a byte above 127 are quoted and
 * escaped, so that input cannot forge a line.
 *
 * After cs_log_start(), writing never blocks: lines that the reader has not yet
 * taken are kept in a backlog of CS_LOG_BACKLOG_MAX bytes, and lines that do
 * not fit are dropped. Each event is limited to CS_LOG_LINES_PER_S lines per
 * second. A line event=log-left-out reports how many lines were dropped.
 */
#ifndef CUMINSAIL_LOG_H
#define CUMINSAIL_LOG_H

#include "cuminsail/clock.h"

#include <syslog.h>

/** Size limit of the lines that the reader has not yet taken, in bytes. */
#define CS_LOG_BACKLOG_MAX 65536

/** Most lines of one event per second; errors are exempt from the limit. */
#define CS_LOG_LINES_PER_S 100

/**
 * cs_log_set_level - set the least severe priority that is written
 * @priority: LOG_EMERG to LOG_DEBUG; initially LOG_INFO
 */
void cs_log_set_level(int priority);

/**
 * cs_log_start - limit the rate of lines and switch to non-blocking writes
 * @fd: the file descriptor for all further lines; set to non-blocking mode
 *	unless @clock is NULL
 * @clock: the clock for the limit per second; NULL removes the limit
 */
void cs_log_start(int fd, const struct cs_clock *clock);

/**
 * cs_log_flush - try to write the backlog
 */
void cs_log_flush(void);

/**
 * cs_log - write one event
 * @priority: LOG_EMERG to LOG_DEBUG
 * @event: name of the event, letters and dashes; a static string
 *
 * The further arguments are pairs of strings, key and value, ended by NULL.
 * A NULL value is written as "-". May be called at any time from the thread of
 * the event loop.
 */
void cs_log(int priority, const char *event, ...) __attribute__((sentinel));

/**
 * cs_log_quote - quote a value as in a log line, if it needs quotes
 * @value: any bytes up to the NUL, or NULL
 *
 * Return: a new string for g_free().
 */
char *cs_log_quote(const char *value);

#endif
