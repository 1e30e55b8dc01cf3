/*
 * Converts the platform's instance list to structs and validates it. An invalid
 * entry makes the whole list invalid.
 */
#include "cuminsail/config.h"

#include "cuminsail/error.h"

#define OFFSET(type, member) offsetof(struct type, member)

/* Upper bound of the documents in one shard. */
#define DOCUMENTS_MAX 1e12

/* Below 2^53, up to which a double holds every integer exactly; the bounds in
 * struct cs_field are doubles. */
#define REVISION_MAX 9e15

static void destroy_daemon(struct list_daemon *daemon)
{
	g_free(daemon->id);
	g_free(daemon->zone);
	g_free(daemon->address);
	g_free(daemon);
}

static void destroy_upstream(struct list_upstream *upstream)
{
	g_free(upstream->id);
	g_free(upstream->service);
	g_free(upstream->shard);
	g_free(upstream->zone);
	g_free(upstream->address);
	g_free(upstream->incarnation);
	g_ptr_array_unref(upstream->snapshots);
	g_free(upstream);
}

static void destroy_shard(struct list_shard *shard)
{
	g_free(shard->id);
	g_free(shard);
}

static void destroy_snapshot(struct list_snapshot *snapshot)
{
	g_free(snapshot->service);
	g_free(snapshot->id);
	g_ptr_array_unref(snapshot->shards);
	g_free(snapshot);
}

static const struct cs_field daemon_fields[] = {
	{"id", CS_FIELD_STRING, OFFSET(list_daemon, id), true, 1, CS_NAME_MAX},
	{"zone", CS_FIELD_STRING, OFFSET(list_daemon, zone), true, 1,
	 CS_NAME_MAX},
	{"address", CS_FIELD_STRING, OFFSET(list_daemon, address), true, 3, 64},
	{"leaving", CS_FIELD_BOOL, OFFSET(list_daemon, leaving), false, 0, 0},
};

static int read_daemon(struct instance_list *list, json_t *value,
		       const char *path, char **why)
{
	struct list_daemon *daemon = g_new0(struct list_daemon, 1);

	int error;

	g_ptr_array_add(list->daemons, daemon);
	error = cs_json_read(value, path, daemon_fields,
			     G_N_ELEMENTS(daemon_fields),
			     CS_UNKNOWN_KEYS_IGNORE, daemon, why);
	if (error)
		return error;
	return config_check_endpoint(path, daemon->address, why);
}

static int read_snapshot_ids(json_t *array, GPtrArray *ids, const char *path,
			     char **why)
{
	size_t index;
	json_t *value;

	json_array_foreach (array, index, value) {
		size_t length = json_string_length(value);

		if (!json_is_string(value) || !length || length > CS_NAME_MAX) {
			cs_set_cause(why,
				     "%s.snapshots[%zu]: must be a string of 1 "
				     "to " G_STRINGIFY(CS_NAME_MAX) " bytes",
				     path, index);
			return CS_E_TYPE;
		}
		g_ptr_array_add(ids, g_strdup(json_string_value(value)));
	}
	return 0;
}

/* An upstream as read from JSON, before its snapshot ids are copied. */
struct raw_upstream {
	struct list_upstream *base;
	char *id;
	char *service;
	char *shard;
	char *zone;
	char *address;
	char *incarnation;
	bool leaving;
	json_t *snapshots;
};

static const struct cs_field upstream_fields[] = {
	{"id", CS_FIELD_STRING, OFFSET(raw_upstream, id), true, 1, CS_NAME_MAX},
	{"service", CS_FIELD_STRING, OFFSET(raw_upstream, service), true, 1,
	 CS_NAME_MAX},
	{"shard", CS_FIELD_STRING, OFFSET(raw_upstream, shard), true, 1,
	 CS_NAME_MAX},
	{"zone", CS_FIELD_STRING, OFFSET(raw_upstream, zone), true, 1,
	 CS_NAME_MAX},
	{"address", CS_FIELD_STRING, OFFSET(raw_upstream, address), true, 3,
	 64},
	{"incarnation", CS_FIELD_STRING, OFFSET(raw_upstream, incarnation),
	 true, 1, CS_NAME_MAX},
	{"leaving", CS_FIELD_BOOL, OFFSET(raw_upstream, leaving), false, 0, 0},
	{"snapshots", CS_FIELD_ARRAY, OFFSET(raw_upstream, snapshots), true, 0,
	 0},
};

static int read_upstream(struct instance_list *list, json_t *value,
			 const char *path, char **why)
{
	struct list_upstream *upstream = g_new0(struct list_upstream, 1);
	struct raw_upstream raw = {0};
	int error;

	upstream->snapshots = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(list->upstreams, upstream);
	error = cs_json_read(value, path, upstream_fields,
			     G_N_ELEMENTS(upstream_fields),
			     CS_UNKNOWN_KEYS_IGNORE, &raw, why);
	upstream->id = raw.id;
	upstream->service = raw.service;
	upstream->shard = raw.shard;
	upstream->zone = raw.zone;
	upstream->address = raw.address;
	upstream->incarnation = raw.incarnation;
	upstream->leaving = raw.leaving;
	if (!error)
		error = config_check_endpoint(path, raw.address, why);
	if (error)
		return error;
	return read_snapshot_ids(raw.snapshots, upstream->snapshots, path, why);
}

static const struct cs_field shard_fields[] = {
	{"id", CS_FIELD_STRING, OFFSET(list_shard, id), true, 1, CS_NAME_MAX},
	{"documents", CS_FIELD_INT, OFFSET(list_shard, documents), true, 0,
	 DOCUMENTS_MAX},
};

static int read_shards(struct list_snapshot *snapshot, json_t *array,
		       const char *path, char **why)
{
	size_t index;
	json_t *value;

	if (!json_array_size(array)) {
		cs_set_cause(why, "%s.shards: must not be empty", path);
		return CS_E_RANGE;
	}
	json_array_foreach (array, index, value) {
		g_autofree char *shard_path =
			g_strdup_printf("%s.shards[%zu]", path, index);
		struct list_shard *shard = g_new0(struct list_shard, 1);
		int error;

		g_ptr_array_add(snapshot->shards, shard);
		error = cs_json_read(value, shard_path, shard_fields,
				     G_N_ELEMENTS(shard_fields),
				     CS_UNKNOWN_KEYS_IGNORE, shard, why);
		if (error)
			return error;
	}
	return 0;
}

static int check_shard_ids(const struct list_snapshot *snapshot,
			   const char *path, char **why)
{
	g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < snapshot->shards->len; i++) {
		const struct list_shard *shard = snapshot->shards->pdata[i];

		if (!g_hash_table_add(seen, shard->id)) {
			cs_set_cause(why, "%s.shards: id %s is duplicated",
				     path, shard->id);
			return CS_E_DUPLICATE;
		}
	}
	return 0;
}

/* A snapshot as read from JSON, before its shards are read. */
struct raw_snapshot {
	char *service;
	char *id;
	gint64 map;
	json_t *shards;
};

static const struct cs_field snapshot_fields[] = {
	{"service", CS_FIELD_STRING, OFFSET(raw_snapshot, service), true, 1,
	 CS_NAME_MAX},
	{"id", CS_FIELD_STRING, OFFSET(raw_snapshot, id), true, 1, CS_NAME_MAX},
	{"map", CS_FIELD_INT, OFFSET(raw_snapshot, map), true, 0, REVISION_MAX},
	{"shards", CS_FIELD_ARRAY, OFFSET(raw_snapshot, shards), true, 0, 0},
};

static int read_snapshot(struct instance_list *list, json_t *value,
			 const char *path, char **why)
{
	struct list_snapshot *snapshot = g_new0(struct list_snapshot, 1);
	struct raw_snapshot raw = {0};
	int error;

	snapshot->shards =
		g_ptr_array_new_with_free_func((GDestroyNotify)destroy_shard);
	g_ptr_array_add(list->snapshots, snapshot);
	error = cs_json_read(value, path, snapshot_fields,
			     G_N_ELEMENTS(snapshot_fields),
			     CS_UNKNOWN_KEYS_IGNORE, &raw, why);
	snapshot->service = raw.service;
	snapshot->id = raw.id;
	snapshot->map = raw.map;
	if (!error)
		error = read_shards(snapshot, raw.shards, path, why);
	if (!error)
		error = check_shard_ids(snapshot, path, why);
	return error;
}

/*
 * Passes each element of an array to @read, with its position as "name[index]".
 *
 * Return: 0 or the first error.
 */
static int read_array(struct instance_list *list, json_t *array,
		      const char *name,
		      int (*read)(struct instance_list *list, json_t *value,
				  const char *path, char **why),
		      char **why)
{
	size_t index;
	json_t *value;

	json_array_foreach (array, index, value) {
		g_autofree char *path = g_strdup_printf("%s[%zu]", name, index);
		int error = read(list, value, path, why);

		if (error)
			return error;
	}
	return 0;
}

static int check_ids(const struct instance_list *list, char **why)
{
	g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < list->upstreams->len; i++) {
		const struct list_upstream *upstream =
			list->upstreams->pdata[i];

		if (!g_hash_table_add(seen, upstream->id)) {
			cs_set_cause(why, "upstreams: id %s is duplicated",
				     upstream->id);
			return CS_E_DUPLICATE;
		}
	}
	g_hash_table_remove_all(seen);
	for (guint i = 0; i < list->daemons->len; i++) {
		const struct list_daemon *daemon = list->daemons->pdata[i];

		if (!g_hash_table_add(seen, daemon->id)) {
			cs_set_cause(why, "daemons: id %s is duplicated",
				     daemon->id);
			return CS_E_DUPLICATE;
		}
	}
	return 0;
}

/* The top level of the document, before its arrays are read. */
struct raw_list {
	gint64 revision;
	json_t *daemons;
	json_t *upstreams;
	json_t *snapshots;
};

static const struct cs_field list_fields[] = {
	{"revision", CS_FIELD_INT, OFFSET(raw_list, revision), true, 1,
	 REVISION_MAX},
	{"daemons", CS_FIELD_ARRAY, OFFSET(raw_list, daemons), true, 0, 0},
	{"upstreams", CS_FIELD_ARRAY, OFFSET(raw_list, upstreams), true, 0, 0},
	{"snapshots", CS_FIELD_ARRAY, OFFSET(raw_list, snapshots), true, 0, 0},
};

static int read_list(struct instance_list *list, json_t *document, char **why)
{
	struct raw_list raw = {0};
	int error;

	error = cs_json_read(document, "list", list_fields,
			     G_N_ELEMENTS(list_fields), CS_UNKNOWN_KEYS_IGNORE,
			     &raw, why);
	list->revision = raw.revision;
	if (!error)
		error = read_array(list, raw.daemons, "daemons", read_daemon,
				   why);
	if (!error)
		error = read_array(list, raw.upstreams, "upstreams",
				   read_upstream, why);
	if (!error)
		error = read_array(list, raw.snapshots, "snapshots",
				   read_snapshot, why);
	if (!error)
		error = check_ids(list, why);
	return error;
}

struct instance_list *instance_list_create(json_t *document, int *error,
					   char **why)
{
	struct instance_list *list = g_new0(struct instance_list, 1);

	list->daemons =
		g_ptr_array_new_with_free_func((GDestroyNotify)destroy_daemon);
	list->upstreams = g_ptr_array_new_with_free_func(
		(GDestroyNotify)destroy_upstream);
	list->snapshots = g_ptr_array_new_with_free_func(
		(GDestroyNotify)destroy_snapshot);
	*error = read_list(list, document, why);
	if (!*error)
		return list;
	instance_list_destroy(list);
	return NULL;
}

void instance_list_destroy(struct instance_list *list)
{
	if (!list)
		return;
	g_ptr_array_unref(list->daemons);
	g_ptr_array_unref(list->upstreams);
	g_ptr_array_unref(list->snapshots);
	g_free(list);
}
