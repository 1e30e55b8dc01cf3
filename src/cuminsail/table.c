/* Prints results as a table for people or as JSON for programs. */
#include "client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static char *format_cell(const json_t *object, const char *column)
{
	const json_t *value = json_object_get(object, column);

	if (json_is_string(value))
		return g_strdup(json_string_value(value));
	if (json_is_real(value))
		return g_strdup_printf("%.1f", json_real_value(value));
	if (!value || json_is_null(value))
		return g_strdup("-");
	return cs_json_print(value);
}

static int column_width(const json_t *array, const char *column)
{
	size_t width = strlen(column);
	size_t index;
	json_t *object;

	json_array_foreach (array, index, object) {
		g_autofree char *text = format_cell(object, column);

		width = MAX(width, strlen(text));
	}
	return (int)width;
}

static void print_row(const json_t *array, const json_t *object,
		      const char *const *columns)
{
	for (guint i = 0; columns[i]; i++) {
		g_autofree char *text = object ? format_cell(object, columns[i])
					       : g_strdup(columns[i]);
		int width =
			columns[i + 1] ? column_width(array, columns[i]) : 0;

		printf("%s%-*s", i ? "  " : "", width, text);
	}
	putchar('\n');
}

void client_print_table(const json_t *array, const char *const *columns)
{
	size_t index;
	json_t *object;

	print_row(array, NULL, columns);
	json_array_foreach (array, index, object)
		print_row(array, object, columns);
}

void client_print_json(const json_t *value)
{
	char *text = json_dumps(value, JSON_INDENT(2) | JSON_SORT_KEYS |
					       JSON_ENCODE_ANY);

	puts(text);
	free(text);
}
