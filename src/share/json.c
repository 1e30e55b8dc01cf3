/* Strict JSON parsing, and reading of objects into structs by field tables. */
#include "cuminsail/json.h"

#include "cuminsail/error.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

void cs_set_cause(char **why, const char *format, ...)
{
	va_list args;

	if (!why || *why)
		return;
	va_start(args, format);
	*why = g_strdup_vprintf(format, args);
	va_end(args);
}

/*
 * Returns the deepest nesting of arrays and objects. Works without recursion,
 * so that deeply nested input cannot exhaust the stack.
 */
static size_t nesting_depth(const char *bytes, size_t length)
{
	size_t depth = 0;
	size_t deepest = 0;
	bool in_string = false;

	for (size_t i = 0; i < length; i++) {
		char c = bytes[i];

		if (in_string) {
			if (c == '\\')
				i++;
			else if (c == '"')
				in_string = false;
		} else if (c == '"') {
			in_string = true;
		} else if (c == '{' || c == '[') {
			depth++;
			deepest = MAX(deepest, depth);
		} else if ((c == '}' || c == ']') && depth > 0) {
			depth--;
		}
	}
	return deepest;
}

int cs_json_error(const char *bytes, size_t length)
{
	if (nesting_depth(bytes, length) > CS_JSON_DEPTH_MAX)
		return CS_E_DEPTH;
	return CS_E_JSON;
}

json_t *cs_json_parse(const char *bytes, size_t length, char **why)
{
	json_error_t error;
	json_t *value;

	if (nesting_depth(bytes, length) > CS_JSON_DEPTH_MAX) {
		cs_set_cause(why, "nested deeper than %d levels",
			     CS_JSON_DEPTH_MAX);
		return NULL;
	}
	value = json_loadb(bytes, length, JSON_REJECT_DUPLICATES, &error);
	if (!value)
		cs_set_cause(why, "line %d column %d: %s", error.line,
			     error.column, error.text);
	return value;
}

char *cs_json_print(const json_t *value)
{
	char *text = json_dumps(value, JSON_SORT_KEYS | JSON_COMPACT |
					       JSON_ENCODE_ANY |
					       JSON_REAL_PRECISION(15));
	char *copy = g_strdup(text);

	free(text);
	return copy;
}

static const struct cs_field *find_field(const struct cs_field *fields,
					 size_t n_fields, const char *key)
{
	for (size_t i = 0; i < n_fields; i++) {
		if (!strcmp(fields[i].key, key))
			return &fields[i];
	}
	return NULL;
}

static int fail_type(const struct cs_field *field, const char *path,
		     const char *expected, char **why)
{
	cs_set_cause(why, "%s.%s: must be %s", path, field->key, expected);
	return CS_E_TYPE;
}

static int check_range(const struct cs_field *field, const char *path,
		       double value, const char *quantity, char **why)
{
	if (value >= field->min && value <= field->max)
		return 0;
	cs_set_cause(why, "%s.%s: %s %g is outside %g to %g", path, field->key,
		     quantity, value, field->min, field->max);
	return CS_E_RANGE;
}

static int read_string(const struct cs_field *field, const char *path,
		       json_t *value, void *target, char **why)
{
	int error;

	if (!json_is_string(value))
		return fail_type(field, path, "a string", why);
	error = check_range(field, path, (double)json_string_length(value),
			    "length", why);
	if (error)
		return error;
	g_free(*(char **)target);
	*(char **)target = g_strdup(json_string_value(value));
	return 0;
}

static int read_value(const struct cs_field *field, const char *path,
		      json_t *value, void *target, char **why)
{
	switch (field->type) {
	case CS_FIELD_INT:
		if (!json_is_integer(value))
			return fail_type(field, path, "an integer", why);
		*(gint64 *)target = json_integer_value(value);
		return check_range(field, path,
				   (double)json_integer_value(value), "value",
				   why);
	case CS_FIELD_REAL:
		if (!json_is_number(value))
			return fail_type(field, path, "a number", why);
		*(double *)target = json_number_value(value);
		return check_range(field, path, json_number_value(value),
				   "value", why);
	case CS_FIELD_BOOL:
		if (!json_is_boolean(value))
			return fail_type(field, path, "true or false", why);
		*(bool *)target = json_is_true(value);
		return 0;
	case CS_FIELD_STRING:
		return read_string(field, path, value, target, why);
	case CS_FIELD_OBJECT:
		if (!json_is_object(value))
			return fail_type(field, path, "an object", why);
		*(json_t **)target = value;
		return 0;
	case CS_FIELD_ARRAY:
		if (!json_is_array(value))
			return fail_type(field, path, "an array", why);
		*(json_t **)target = value;
		return 0;
	}
	return CS_E_TYPE;
}

static int check_keys(json_t *object, const char *path,
		      const struct cs_field *fields, size_t n_fields,
		      char **why)
{
	const char *key;
	json_t *value;

	json_object_foreach (object, key, value) {
		if (!find_field(fields, n_fields, key)) {
			cs_set_cause(why, "%s.%s: unknown key", path, key);
			return CS_E_KEY;
		}
	}
	return 0;
}

int cs_json_read(json_t *object, const char *path,
		 const struct cs_field *fields, size_t n_fields,
		 enum cs_unknown_keys unknown_keys, void *out, char **why)
{
	int error = 0;

	if (!json_is_object(object)) {
		cs_set_cause(why, "%s: must be an object", path);
		return CS_E_TYPE;
	}
	if (unknown_keys == CS_UNKNOWN_KEYS_REFUSE)
		error = check_keys(object, path, fields, n_fields, why);
	for (size_t i = 0; i < n_fields && !error; i++) {
		const struct cs_field *field = &fields[i];
		json_t *value = json_object_get(object, field->key);

		if (value) {
			error = read_value(field, path, value,
					   (char *)out + field->offset, why);
		} else if (field->required) {
			cs_set_cause(why, "%s.%s: missing", path, field->key);
			error = CS_E_MISSING;
		}
	}
	return error;
}
