/**
 * json.h - strict parsing of JSON from untrusted sources
 *
 * A thin layer over jansson: duplicate keys, numbers out of range, invalid
 * UTF-8 and deep nesting are refused. Objects are read into structs as
 * described by tables of fields, which give each field a type and a range.
 */
#ifndef CUMINSAIL_JSON_H
#define CUMINSAIL_JSON_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

/** Deepest nesting of arrays and objects that cs_json_parse() accepts. */
#define CS_JSON_DEPTH_MAX 16

/** Longest name of a service, zone, shard, snapshot or instance, in bytes. */
#define CS_NAME_MAX 128

/** The JSON type of a field and the C type of its struct member. */
enum cs_field_type {
	CS_FIELD_INT, /* gint64 */
	CS_FIELD_REAL, /* double; integers are accepted too */
	CS_FIELD_BOOL, /* bool */
	CS_FIELD_STRING, /* char *, a new string; bounds are its length */
	CS_FIELD_OBJECT, /* json_t *, borrowed */
	CS_FIELD_ARRAY, /* json_t *, borrowed */
};

/** One key of an object: the struct member for it and the accepted values. */
struct cs_field {
	const char *key;
	enum cs_field_type type;
	size_t offset; /* of the struct member */
	bool required;
	double min; /* lowest value or length; unused for other types */
	double max; /* highest value or length */
};

/** How cs_json_read() handles keys that are not in the table. */
enum cs_unknown_keys {
	CS_UNKNOWN_KEYS_REFUSE,
	CS_UNKNOWN_KEYS_IGNORE,
};

/**
 * cs_json_parse - parse one document
 * @bytes: the text, need not end in NUL
 * @length: length of the text in bytes
 * @why: set to a new string with the cause on failure; may be NULL
 *
 * Return: a new reference, or NULL with @why set. May be called at any
 * time.
 */
json_t *cs_json_parse(const char *bytes, size_t length, char **why);

/**
 * cs_json_error - return the result code for a text that failed to parse
 * @bytes: a text that cs_json_parse() refused
 * @length: length of the text in bytes
 *
 * Return: CS_E_DEPTH if the text is nested too deeply, else CS_E_JSON.
 */
int cs_json_error(const char *bytes, size_t length);

/**
 * cs_json_read - read an object into a struct as described by a table of fields
 * @object: the object
 * @path: position of the object in its document, for messages
 * @fields: the table
 * @n_fields: number of fields in the table
 * @unknown_keys: how to handle keys that are not in the table
 * @out: the struct that the offsets refer to; set to the defaults beforehand,
 *	with string members NULL or allocated
 * @why: set to a new string with path and cause on failure; may be NULL
 *
 * Return: 0, CS_E_TYPE, CS_E_RANGE, CS_E_MISSING or CS_E_KEY. After an error
 * the members read so far stay set, and the caller frees them.
 */
int cs_json_read(json_t *object, const char *path,
		 const struct cs_field *fields, size_t n_fields,
		 enum cs_unknown_keys unknown_keys, void *out, char **why);

/**
 * cs_json_print - print a value as canonical JSON
 * @value: any value
 *
 * Keys are sorted and no white space is added, so that equal documents give
 * equal texts.
 *
 * Return: a new string for g_free().
 */
char *cs_json_print(const json_t *value);

/**
 * cs_set_cause - set the message that describes the cause of an error
 * @why: set to a new string; may be NULL
 * @format: as for printf()
 *
 * Does nothing if @why is NULL or already holds a message, so that the first
 * cause is kept.
 */
void cs_set_cause(char **why, const char *format, ...) G_GNUC_PRINTF(2, 3);

#endif
