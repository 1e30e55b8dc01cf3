/* Reads the plan of a load run from a JSON file. */
#include "load.h"

#define OFFSET(type, member) offsetof(struct type, member)

/* Upper bounds of the fields of a plan. */
#define RATE_MAX	100000 /* exchanges per second, of one stream */
#define SECONDS_MAX	3600
#define DEADLINE_MAX_MS 600000

static void destroy_stream(struct load_stream *stream)
{
	g_free(stream->service);
	g_ptr_array_unref(stream->texts);
	g_hash_table_unref(stream->outcomes);
	g_array_unref(stream->latencies_us);
	g_array_unref(stream->refusals_us);
	g_free(stream);
}

static struct load_stream *create_stream(void)
{
	struct load_stream *stream = g_new0(struct load_stream, 1);

	stream->limit = 10;
	stream->deadline_ms = 1000;
	stream->texts = g_ptr_array_new_with_free_func(g_free);
	stream->outcomes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	stream->latencies_us = g_array_new(FALSE, FALSE, sizeof(gint64));
	stream->refusals_us = g_array_new(FALSE, FALSE, sizeof(gint64));
	return stream;
}

static int read_texts(json_t *array, GPtrArray *texts, const char *path,
		      char **why)
{
	size_t index;
	json_t *value;

	json_array_foreach (array, index, value) {
		if (!json_is_string(value)) {
			cs_set_cause(why, "%s[%zu]: must be a string", path,
				     index);
			return -1;
		}
		g_ptr_array_add(texts, g_strdup(json_string_value(value)));
	}
	return 0;
}

/* The fields of a stream as read; texts is borrowed from the document. */
struct raw_stream {
	char *service;
	bool orders;
	double rate;
	gint64 deadline_ms;
	gint64 limit;
	double min_coverage;
	json_t *texts;
};

static const struct cs_field stream_fields[] = {
	{"service", CS_FIELD_STRING, OFFSET(raw_stream, service), true, 1,
	 CS_NAME_MAX},
	{"orders", CS_FIELD_BOOL, OFFSET(raw_stream, orders), false, 0, 0},
	{"rate", CS_FIELD_REAL, OFFSET(raw_stream, rate), true, 0.01, RATE_MAX},
	{"deadline_ms", CS_FIELD_INT, OFFSET(raw_stream, deadline_ms), false, 1,
	 DEADLINE_MAX_MS},
	{"limit", CS_FIELD_INT, OFFSET(raw_stream, limit), false, 1, 1000},
	{"least_coverage", CS_FIELD_REAL, OFFSET(raw_stream, min_coverage),
	 false, 0, 1},
	{"texts", CS_FIELD_ARRAY, OFFSET(raw_stream, texts), false, 0, 0},
};

static int read_stream(struct load_plan *plan, json_t *value, size_t index,
		       char **why)
{
	g_autofree char *path = g_strdup_printf("streams[%zu]", index);
	struct load_stream *stream = create_stream();
	struct raw_stream raw = {
		.deadline_ms = stream->deadline_ms,
		.limit = stream->limit,
	};
	int error;

	g_ptr_array_add(plan->streams, stream);
	error = cs_json_read(value, path, stream_fields,
			     G_N_ELEMENTS(stream_fields),
			     CS_UNKNOWN_KEYS_REFUSE, &raw, why);
	stream->service = raw.service;
	stream->orders = raw.orders;
	stream->rate = raw.rate;
	stream->deadline_ms = raw.deadline_ms;
	stream->limit = raw.limit;
	stream->min_coverage = raw.min_coverage;
	if (!error && raw.texts)
		error = read_texts(raw.texts, stream->texts, path, why);
	if (!stream->texts->len)
		g_ptr_array_add(stream->texts, g_strdup(""));
	return error;
}

/* The fields of a plan as read; the arrays are borrowed from the document. */
struct raw_plan {
	gint64 seconds;
	gint64 seed;
	json_t *targets;
	json_t *streams;
};

static const struct cs_field plan_fields[] = {
	{"seconds", CS_FIELD_INT, OFFSET(raw_plan, seconds), true, 1,
	 SECONDS_MAX},
	{"seed", CS_FIELD_INT, OFFSET(raw_plan, seed), false, 0, G_MAXUINT32},
	{"targets", CS_FIELD_ARRAY, OFFSET(raw_plan, targets), true, 0, 0},
	{"streams", CS_FIELD_ARRAY, OFFSET(raw_plan, streams), true, 0, 0},
};

static int read_plan(struct load_plan *plan, json_t *document, char **why)
{
	struct raw_plan raw = {.seed = 1};
	size_t index;
	json_t *value;
	int error;

	error = cs_json_read(document, "plan", plan_fields,
			     G_N_ELEMENTS(plan_fields), CS_UNKNOWN_KEYS_REFUSE,
			     &raw, why);
	plan->seconds = raw.seconds;
	plan->seed = (guint32)raw.seed;
	if (!error)
		error = read_texts(raw.targets, plan->targets, "targets", why);
	if (!error && !plan->targets->len) {
		cs_set_cause(why, "plan.targets: empty");
		error = -1;
	}
	json_array_foreach (raw.streams, index, value) {
		if (!error)
			error = read_stream(plan, value, index, why);
	}
	return error;
}

struct load_plan *load_plan_create(const char *path, char **why)
{
	struct load_plan *plan = g_new0(struct load_plan, 1);
	g_autofree char *text = NULL;
	g_autoptr(GError) read_error = NULL;
	json_t *document = NULL;
	gsize length = 0;
	int error = -1;

	plan->targets = g_ptr_array_new_with_free_func(g_free);
	plan->streams =
		g_ptr_array_new_with_free_func((GDestroyNotify)destroy_stream);
	if (g_file_get_contents(path, &text, &length, &read_error))
		document = cs_json_parse(text, length, why);
	else
		cs_set_cause(why, "%s", read_error->message);
	if (document)
		error = read_plan(plan, document, why);
	json_decref(document);
	if (!error)
		return plan;
	load_plan_destroy(plan);
	return NULL;
}

void load_plan_destroy(struct load_plan *plan)
{
	g_ptr_array_unref(plan->targets);
	g_ptr_array_unref(plan->streams);
	g_free(plan);
}
