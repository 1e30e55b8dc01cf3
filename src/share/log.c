#include "cuminsail/log.h"

#include <glib.h>
#include <stdarg.h>
#include <stdbool.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

/* Events that are bounded one by one; further ones share the last place. */
#define EVENTS_MAX 64

struct event_count {
	const char *event;
	gint64 second;
	guint lines;
	guint left_out;
};

static int max_priority = LOG_INFO;
static int out_fd = STDOUT_FILENO;
static const struct cs_clock *out_clock;
static GString *backlog;
static guint lost; /* lines for which the backlog had no room */
static struct event_count counts[EVENTS_MAX];

void cs_log_set_level(int priority)
{
	max_priority = priority;
}

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

static void put(const GString *line)
{
	if (!backlog)
		backlog = g_string_new(NULL);
	if (backlog->len + line->len > CS_LOG_BACKLOG) {
		lost++;
		cs_log_flush();
		return;
	}
	g_string_append_len(backlog, line->str, (gssize)line->len);
	cs_log_flush();
}

static void put_left_out(const char *event, guint lines)
{
	GString *line = g_string_new(NULL);

	g_string_printf(line,
			"<%d>at=%" G_GINT64_FORMAT
			" event=log-left-out of=%s lines=%u\n",
			LOG_NOTICE, cs_clock_wall_ms(), event, lines);
	put(line);
	g_string_free(line, TRUE);
}

static struct event_count *count_of(const char *event)
{
	for (guint i = 0; i < EVENTS_MAX - 1; i++) {
		if (!counts[i].event)
			counts[i].event = event;
		if (counts[i].event == event || !strcmp(counts[i].event, event))
			return &counts[i];
	}
	counts[EVENTS_MAX - 1].event = "others";
	return &counts[EVENTS_MAX - 1];
}

/* Whether this second still has room for a line of the event. */
static bool has_room(int priority, const char *event)
{
	struct event_count *count;
	gint64 second;

	if (!out_clock)
		return true;
	count = count_of(event);
	second = cs_clock_now(out_clock) / CS_US_PER_S;
	if (second != count->second) {
		if (count->left_out)
			put_left_out(event, count->left_out);
		count->second = second;
		count->lines = 0;
		count->left_out = 0;
	}
	if (lost && backlog->len < CS_LOG_BACKLOG / 2) {
		put_left_out("all", lost);
		lost = 0;
	}
	if (count->lines++ < CS_LOG_PER_S || priority <= LOG_ERR)
		return true;
	count->left_out++;
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

	if (priority > max_priority || !has_room(priority, event))
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
	put(line);
	g_string_free(line, TRUE);
}
