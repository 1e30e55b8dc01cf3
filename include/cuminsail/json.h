/**
 * json.h - strict reading of JSON from outside
 *
 * A thin layer over jansson: duplicate keys, numbers out of range, invalid
 * UTF-8 and deep nesting are refused, and objects are read through tables of
 * fields with a type and a range each.
 */
#ifndef CUMINSAIL_JSON_H
#define CUMINSAIL_JSON_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

/** Deepest nesting taken from outside, in levels. */
#define CS_JSON_DEPTH_MAX 16

/** Longest name of a service, zone, shard, snapshot or instance, in bytes. */
#define CS_NAME_MAX 128

enum cs_field_type {
	CS_FIELD_INT, /* gint64 */
	CS_FIELD_REAL, /* double; an integer is taken too */
	CS_FIELD_BOOL, /* bool */
	CS_FIELD_STRING, /* char *, a new string; bounds are its length */
	CS_FIELD_OBJECT, /* json_t *, borrowed */
	CS_FIELD_ARRAY, /* json_t *, borrowed */
};

/** One key of an object: where it goes and what it may hold. */
struct cs_field {
	const char *key;
	enum cs_field_type type;
	size_t offset;
	bool required;
	double min;
	double max;
};

/** What to do with keys that the table does not name. */
enum cs_unknown {
	CS_UNKNOWN_REFUSE,
	CS_UNKNOWN_IGNORE,
};

/**
 * cs_json_parse - parse one document
 * @bytes: the text, need not end in NUL
 * @length: its bytes
 * @why: where to put a new string with the cause, or NULL
 *
 * Return: a new reference, or NULL with @why set. Legal at any time.
 */
json_t *cs_json_parse(const char *bytes, size_t length, char **why);

/**
 * cs_json_error - the result code for a text that cs_json_parse() refused
 * @bytes: the text
 * @length: its bytes
 *
 * Return: CS_E_DEPTH or CS_E_JSON.
 */
int cs_json_error(const char *bytes, size_t length);

/**
 * cs_json_read - read an object through a table
 * @object: the object
 * @path: where it stands in its document, for messages
 * @fields: the table
 * @n_fields: its length
 * @unknown: what to do with other keys
 * @out: the struct that the offsets refer to; preset with the defaults, with
 *	string members NULL or allocated
 * @why: where to put a new string with path and cause, or NULL
 *
 * Return: 0, CS_E_TYPE, CS_E_RANGE, CS_E_MISSING or CS_E_KEY. After an error
 * the members read so far stay set and are the caller's to free.
 */
int cs_json_read(json_t *object, const char *path,
		 const struct cs_field *fields, size_t n_fields,
		 enum cs_unknown unknown, void *out, char **why);

/**
 * cs_json_print - canonical text of a value
 * @value: any value
 *
 * Keys are sorted and no space is added, so that equal documents have equal
 * texts.
 *
 * Return: a new string for g_free().
 */
char *cs_json_print(const json_t *value);

/**
 * cs_why - set a cause if the caller wants one and has none yet
 * @why: as passed by the caller, or NULL
 * @format: as for printf()
 */
void cs_why(char **why, const char *format, ...) G_GNUC_PRINTF(2, 3);

#endif
