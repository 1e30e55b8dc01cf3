/* Writes log lines without blocking and limits their rate. */
#include "cuminsail/log.h"

#include <glib.h>
#include <stdarg.h>
#include <stdbool.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

/*
 * Size of the table of line counts per event. Events that find the table full
 * share its last entry.
 */
#define EVENTS_MAX 64

/* The lines of one event in one second. */
struct event_count {
	const char *event;
	gint64 second; /* of the clock; the counts belong to it */
	guint lines; /* in that second, including the dropped ones */
	guint dropped; /* those above the limit */
};

static int max_priority = LOG_INFO;
static int out_fd = STDOUT_FILENO;
static const struct cs_clock *out_clock;
static GString *backlog;
static guint backlog_dropped; /* lines that did not fit into the backlog */
static struct event_count event_counts[EVENTS_MAX];

void cs_log_set_level(int priority)
{
	max_priority = priority;
}

/* Whether a value can be written without quotes. */
static bool is_plain(const char *value)
{
	if (!*value)
		return false;
	for (const char *p = value; *p; p++) {
		if (!g_ascii_isgraph(*p) || strchr("\"=\\", *p))
			return false;
	}
	return true;
}

char *cs_log_quote(const char *value)
{
	GString *out;

	if (!value)
		return g_strdup("-");
	if (is_plain(value))
		return g_strdup(value);
	out = g_string_new("\"");
	for (const char *p = value; *p; p++) {
		if (*p == '"' || *p == '\\')
			g_string_append_printf(out, "\\%c", *p);
		else if (g_ascii_isprint(*p))
			g_string_append_c(out, *p);
		else
			g_string_append_printf(out, "\\x%02x",
					       (unsigned char)*p);
	}
	g_string_append_c(out, '"');
	return g_string_free(out, FALSE);
}

void cs_log_start(int fd, const struct cs_clock *clock)
{
	int flags = fcntl(fd, F_GETFL);

	out_fd = fd;
	out_clock = clock;
	if (clock && flags >= 0)
		(void)fcntl(fd, F_SETFL, flags | O_NONBLOCK);
}

void cs_log_flush(void)
{
	ssize_t n;

	if (!backlog || !backlog->len)
		return;
	n = write(out_fd, backlog->str, backlog->len);
	if (n > 0)
		g_string_erase(backlog, 0, n);
}

/* Appends a line to the backlog, or drops it if it does not fit. */
static void append_line(const GString *line)
{
	if (!backlog)
		backlog = g_string_new(NULL);
	if (backlog->len + line->len > CS_LOG_BACKLOG_MAX) {
		backlog_dropped++;
		cs_log_flush();
		return;
	}
	g_string_append_len(backlog, line->str, (gssize)line->len);
	cs_log_flush();
}

/* Reports dropped lines. @event is "all" for lines that did not fit into the
 * backlog, whatever their event. */
static void report_dropped(const char *event, guint lines)
{
	GString *line = g_string_new(NULL);

	g_string_printf(line,
			"<%d>at=%" G_GINT64_FORMAT
			" event=log-left-out of=%s lines=%u\n",
			LOG_NOTICE, cs_clock_wall_ms(), event, lines);
	append_line(line);
	g_string_free(line, TRUE);
}

static struct event_count *find_event_count(const char *event)
{
	for (guint i = 0; i < EVENTS_MAX - 1; i++) {
		if (!event_counts[i].event)
			event_counts[i].event = event;
		if (event_counts[i].event == event ||
		    !strcmp(event_counts[i].event, event))
			return &event_counts[i];
	}
	event_counts[EVENTS_MAX - 1].event = "others";
	return &event_counts[EVENTS_MAX - 1];
}

/*
 * Counts a line of an event. Also reports the lines dropped earlier: those of
 * the event that were above the limit, once a later second has begun, and those
 * that did not fit into the backlog, once half of it is free.
 *
 * Return: whether the line may be written, which errors always may.
 */
static bool admit_line(int priority, const char *event)
{
	struct event_count *count;
	gint64 second;

	if (!out_clock)
		return true;
	count = find_event_count(event);
	second = cs_clock_now(out_clock) / CS_US_PER_S;
	if (second != count->second) {
		if (count->dropped)
			report_dropped(event, count->dropped);
		count->second = second;
		count->lines = 0;
		count->dropped = 0;
	}
	if (backlog_dropped && backlog->len < CS_LOG_BACKLOG_MAX / 2) {
		report_dropped("all", backlog_dropped);
		backlog_dropped = 0;
	}
	if (count->lines++ < CS_LOG_LINES_PER_S || priority <= LOG_ERR)
		return true;
	count->dropped++;
	return false;
}

static void append_value(GString *line, const char *value)
{
	char *quoted;

	if (value && is_plain(value)) {
		g_string_append(line, value);
		return;
	}
	quoted = cs_log_quote(value);
	g_string_append(line, quoted);
	g_free(quoted);
}

void cs_log(int priority, const char *event, ...)
{
	GString *line;
	const char *key;
	va_list args;

	if (priority > max_priority || !admit_line(priority, event))
		return;
	line = g_string_sized_new(256);
	g_string_printf(line, "<%d>at=%" G_GINT64_FORMAT " event=%s", priority,
			cs_clock_wall_ms(), event);
	va_start(args, event);
	key = va_arg(args, const char *);
	while (key) {
		g_string_append_c(line, ' ');
		g_string_append(line, key);
		g_string_append_c(line, '=');
		append_value(line, va_arg(args, const char *));
		key = va_arg(args, const char *);
	}
	va_end(args);
	g_string_append_c(line, '\n');
	append_line(line);
	g_string_free(line, TRUE);
}
