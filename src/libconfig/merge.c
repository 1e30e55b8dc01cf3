/* Reads the configuration directory and merges its files. */
#include "cuminsail/config.h"

#include "cuminsail/error.h"

#include <string.h>

struct config_file *config_file_create(const char *name, const char *text)
{
	struct config_file *file = g_new0(struct config_file, 1);

	file->name = g_strdup(name);
	file->text = g_strdup(text);
	return file;
}

void config_file_destroy(struct config_file *file)
{
	if (!file)
		return;
	g_free(file->name);
	g_free(file->text);
	g_free(file);
}

static bool read_file(GPtrArray *files, const char *directory, const char *name,
		      char **why)
{
	g_autofree char *path = g_build_filename(directory, name, NULL);
	g_autofree char *text = NULL;
	g_autoptr(GError) error = NULL;
	gsize length;

	if (!g_file_get_contents(path, &text, &length, &error)) {
		cs_set_cause(why, "%s: %s", name, error->message);
		return false;
	}
	/* The text is kept as a C string, which would end at a NUL byte. */
	if (strlen(text) != length) {
		cs_set_cause(why, "%s: contains a NUL byte", name);
		return false;
	}
	g_ptr_array_add(files, config_file_create(name, text));
	return true;
}

GPtrArray *config_directory_read(const char *directory, char **why)
{
	g_autoptr(GError) error = NULL;
	GDir *dir = g_dir_open(directory, 0, &error);
	GPtrArray *files;
	const char *name;
	bool readable = true;

	if (!dir) {
		cs_set_cause(why, "%s", error->message);
		return NULL;
	}
	files = g_ptr_array_new_with_free_func(
		(GDestroyNotify)config_file_destroy);
	while (readable && (name = g_dir_read_name(dir))) {
		if (g_str_has_suffix(name, ".json") && name[0] != '.')
			readable = read_file(files, directory, name, why);
	}
	g_dir_close(dir);
	if (readable)
		return files;
	g_ptr_array_unref(files);
	return NULL;
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	const struct config_file *x = *(const struct config_file *const *)a;
	const struct config_file *y = *(const struct config_file *const *)b;

	return strcmp(x->name, y->name);
}

static json_t *parse_file(const struct config_file *file, int *error,
			  char **why)
{
	size_t length = strlen(file->text);
	g_autofree char *cause = NULL;
	json_t *value;

	if (length > CONFIG_FILE_MAX) {
		*error = CS_E_TOO_LARGE;
		cs_set_cause(why, "%s: %zu bytes, the limit is %d", file->name,
			     length, CONFIG_FILE_MAX);
		return NULL;
	}
	value = cs_json_parse(file->text, length, &cause);
	if (!value) {
		*error = cs_json_error(file->text, length);
		cs_set_cause(why, "%s: %s", file->name, cause);
		return NULL;
	}
	if (!json_is_object(value)) {
		json_decref(value);
		*error = CS_E_TYPE;
		cs_set_cause(why, "%s: must be an object", file->name);
		return NULL;
	}
	return value;
}

/*
 * Merges objects key by key; any other value, also null and an array, replaces
 * the value in @target.
 */
static void merge_into(json_t *target, json_t *source)
{
	const char *key;
	json_t *value;

	json_object_foreach (source, key, value) {
		json_t *old = json_object_get(target, key);

		if (json_is_object(old) && json_is_object(value))
			merge_into(old, value);
		else
			json_object_set_new(target, key, json_deep_copy(value));
	}
}

static bool check_size(const json_t *document, int *error, char **why)
{
	g_autofree char *text = cs_json_print(document);
	size_t length = strlen(text);

	if (length <= CONFIG_DOCUMENT_MAX)
		return true;
	*error = CS_E_TOO_LARGE;
	cs_set_cause(why, "merged document: %zu bytes, the limit is %d", length,
		     CONFIG_DOCUMENT_MAX);
	return false;
}

/* Expects @files to be sorted by name. */
static bool check_unique_names(GPtrArray *files, int *error, char **why)
{
	for (guint i = 1; i < files->len; i++) {
		const struct config_file *a = files->pdata[i - 1];
		const struct config_file *b = files->pdata[i];

		if (strcmp(a->name, b->name) != 0)
			continue;
		*error = CS_E_DUPLICATE;
		cs_set_cause(why, "%s: file name is duplicated", a->name);
		return false;
	}
	return true;
}

json_t *config_merge(GPtrArray *files, int *error, char **why)
{
	json_t *document;

	g_ptr_array_sort(files, compare_names);
	if (!check_unique_names(files, error, why))
		return NULL;
	document = json_object();
	for (guint i = 0; i < files->len; i++) {
		json_t *source = parse_file(files->pdata[i], error, why);

		if (!source) {
			json_decref(document);
			return NULL;
		}
		merge_into(document, source);
		json_decref(source);
	}
	if (!check_size(document, error, why)) {
		json_decref(document);
		return NULL;
	}
	return document;
}

char *config_digest(const json_t *document)
{
	g_autofree char *text = cs_json_print(document);

	return g_compute_checksum_for_string(G_CHECKSUM_SHA256, text, -1);
}
