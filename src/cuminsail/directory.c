/*
 * check, merge and diff: commands on configuration directories, which are read
 * by the same code as in the daemon, and on files with the routes of a
 * platform.
 */
#include "client.h"

#include "cuminsail/config.h"
#include "cuminsail/error.h"
#include "platform_adapter.h"

#include <stdio.h>
#include <string.h>

static json_t *merge_directory(const char *directory)
{
	g_autofree char *why = NULL;
	GPtrArray *files = config_directory_read(directory, &why);
	json_t *document = NULL;
	int error = CS_E_IO;

	if (files) {
		document = config_merge(files, &error, &why);
		g_ptr_array_unref(files);
	}
	if (!document)
		fprintf(stderr, "%s: %s: %s\n", directory, cs_error_name(error),
			why);
	return document;
}

static bool check_document(const char *directory, json_t *document)
{
	g_autofree char *why = NULL;
	int error;
	struct config *config = config_create(document, &error, &why);

	if (!config)
		fprintf(stderr, "%s: %s: %s\n", directory, cs_error_name(error),
			why);
	config_destroy(config);
	return config;
}

/* Checks the routes and services of a platform: @file holds the value that the
 * platform's store keeps under the key of its configuration. */
static enum client_exit check_routes_file(const char *file)
{
	g_autofree char *text = NULL;
	g_autofree char *why = NULL;
	g_autoptr(GError) read_error = NULL;
	gsize length;
	int error = CS_E_JSON;
	json_t *document;
	struct route_table *table = NULL;

	if (!g_file_get_contents(file, &text, &length, &read_error)) {
		fprintf(stderr, "%s\n", read_error->message);
		return CLIENT_FAILED;
	}
	document = cs_json_parse(text, length, &why);
	if (document)
		table = platform_decode_table(document, &error, &why);
	json_decref(document);
	if (!table) {
		fprintf(stderr, "%s: %s: %s\n", file, cs_error_name(error),
			why);
		return CLIENT_FAILED;
	}
	printf("%s: good, version %" G_GINT64_FORMAT
	       ", %u routes, %u services\n",
	       file, table->version, table->routes->len,
	       g_hash_table_size(table->services));
	route_table_unref(table);
	return CLIENT_OK;
}

static enum client_exit check_directory(const char *directory)
{
	json_t *document = merge_directory(directory);
	bool valid = document && check_document(directory, document);

	if (valid) {
		g_autofree char *digest = config_digest(document);

		printf("%s: good, digest %s\n", directory, digest);
	}
	json_decref(document);
	return valid ? CLIENT_OK : CLIENT_FAILED;
}

enum client_exit client_check(const struct client *client)
{
	const char *path = client->arguments->pdata[0];

	return g_file_test(path, G_FILE_TEST_IS_REGULAR)
		       ? check_routes_file(path)
		       : check_directory(path);
}

enum client_exit client_merge(const struct client *client)
{
	json_t *document = merge_directory(client->arguments->pdata[0]);
	g_autofree char *digest = NULL;

	if (!document)
		return CLIENT_FAILED;
	digest = config_digest(document);
	client_print_json(document);
	fprintf(stderr, "digest %s\n", digest);
	json_decref(document);
	return CLIENT_OK;
}

static void print_change(const char *path, const json_t *before,
			 const json_t *after)
{
	g_autofree char *old = before ? cs_json_print(before) : NULL;
	g_autofree char *new = after ? cs_json_print(after) : NULL;

	if (!old)
		printf("%s: added, %s\n", path, new);
	else if (!new)
		printf("%s: removed, was %s\n", path, old);
	else if (g_str_has_prefix(path, "zones.") &&
		 g_str_has_suffix(path, ".out"))
		printf("%s: the zone is %s\n", path,
		       json_is_true(after) ? "taken out" : "brought back");
	else
		printf("%s: %s -> %s\n", path, old, new);
}

static int compare_keys(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Return: the keys of both objects without duplicates, sorted. The objects own
 * the strings; the caller frees only the array. */
static GPtrArray *union_keys(json_t *before, json_t *after)
{
	GPtrArray *keys = g_ptr_array_new();
	const char *key;
	json_t *value;

	json_object_foreach (before, key, value)
		g_ptr_array_add(keys, (char *)key);
	json_object_foreach (after, key, value) {
		if (!json_object_get(before, key))
			g_ptr_array_add(keys, (char *)key);
	}
	g_ptr_array_sort(keys, (GCompareFunc)compare_keys);
	return keys;
}

/* Prints the differences of two values, object by object; @path is the position
 * in the document. Return: the number of differences. */
static int print_diff(const char *path, json_t *before, json_t *after)
{
	g_autoptr(GPtrArray) keys = NULL;
	int changes = 0;

	if (json_equal(before, after))
		return 0;
	if (!json_is_object(before) || !json_is_object(after)) {
		print_change(path, before, after);
		return 1;
	}
	keys = union_keys(before, after);
	for (guint i = 0; i < keys->len; i++) {
		const char *key = keys->pdata[i];
		g_autofree char *child_path =
			*path ? g_strdup_printf("%s.%s", path, key)
			      : g_strdup(key);

		changes += print_diff(child_path, json_object_get(before, key),
				      json_object_get(after, key));
	}
	return changes;
}

enum client_exit client_diff(const struct client *client)
{
	json_t *before = merge_directory(client->arguments->pdata[0]);
	json_t *after = merge_directory(client->arguments->pdata[1]);
	enum client_exit status = CLIENT_FAILED;

	if (before && after &&
	    check_document(client->arguments->pdata[0], before) &&
	    check_document(client->arguments->pdata[1], after)) {
		int changes = print_diff("", before, after);

		printf("%d change%s\n", changes, changes == 1 ? "" : "s");
		status = changes ? CLIENT_FAILED : CLIENT_OK;
	}
	json_decref(before);
	json_decref(after);
	return status;
}
