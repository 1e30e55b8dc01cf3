/**
 * log.h - one line of key=value pairs for each event
 *
 * Lines go to standard output with a syslog priority in front,
 * "<6>at=1764825600000 event=...", the time in Unix milliseconds, for people.
 * Values that hold a space, a quote, an equals sign or a control byte are
 * quoted and escaped, so that input never starts a second line.
 *
 * Writing never waits: what the reader does not take is kept up to
 * CS_LOG_BACKLOG bytes and then left out. Each event has CS_LOG_PER_S lines a
 * second; an event=log-left-out line counts what went over.
 */
#ifndef CUMINSAIL_LOG_H
#define CUMINSAIL_LOG_H

#include "cuminsail/clock.h"

#include <syslog.h>

/** Bytes kept for a reader that stands still. */
#define CS_LOG_BACKLOG 65536

/** Lines of one event in one second; errors are not bounded by it. */
#define CS_LOG_PER_S 100

/**
 * cs_log_set_level - drop events above a priority
 * @priority: LOG_EMERG to LOG_DEBUG; LOG_INFO at start
 */
void cs_log_set_level(int priority);

/**
 * cs_log_start - bound the lines of each event and stop waiting for the reader
 * @fd: where lines go from now on; made non-blocking
 * @clock: what counts the seconds; NULL ends the bound
 */
void cs_log_start(int fd, const struct cs_clock *clock);

/**
 * cs_log_flush - offer the kept lines to the reader again
 */
void cs_log_flush(void);

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
