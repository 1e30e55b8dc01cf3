#include "cuminsail/log.h"

#include <glib.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

static int max_priority = LOG_INFO;

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

void cs_log(int priority, const char *event, ...)
{
	GString *line;
	const char *key;
	va_list args;

	if (priority > max_priority)
		return;
	line = g_string_new(NULL);
	g_string_printf(line, "<%d>event=%s", priority, event);
	va_start(args, event);
	key = va_arg(args, const char *);
	while (key) {
		char *value = cs_log_quote(va_arg(args, const char *));

		g_string_append_printf(line, " %s=%s", key, value);
		g_free(value);
		key = va_arg(args, const char *);
	}
	va_end(args);
	g_string_append_c(line, '\n');
	fputs(line->str, stderr);
	g_string_free(line, TRUE);
}
