/* Results of a load run: latency quantiles, coverage and outcomes by reason. */
#include "load.h"

#include <stdlib.h>
#include <string.h>

static const char *get_string(const json_t *body, const char *key)
{
	return json_string_value(json_object_get(body, key));
}

static void count_outcome(struct load_stream *stream, const char *outcome,
			  const char *reason)
{
	g_autofree char *key =
		g_strdup_printf("%s %s", outcome ? outcome : "no-answer",
				reason ? reason : "-");
	guint count =
		GPOINTER_TO_UINT(g_hash_table_lookup(stream->outcomes, key));

	g_hash_table_replace(stream->outcomes, g_steal_pointer(&key),
			     GUINT_TO_POINTER(count + 1));
}

static void count_answer(struct load_stream *stream, const json_t *body,
			 gint64 latency_us)
{
	const json_t *coverage = json_object_get(body, "coverage");
	double documents =
		json_number_value(json_object_get(coverage, "documents"));
	double answered = json_number_value(
		json_object_get(coverage, "documents_answered"));

	stream->answered++;
	stream->coverage_sum += documents > 0 ? answered / documents : 1;
	if (!coverage || json_is_true(json_object_get(coverage, "complete")))
		stream->complete++;
	g_array_append_val(stream->latencies_us, latency_us);
}

void load_count_exchange(struct load_stream *stream, const json_t *body,
			 gint64 latency_us)
{
	const char *outcome = get_string(body, "outcome");
	const json_t *error = json_object_get(body, "error");

	count_outcome(stream, outcome, get_string(error, "name"));
	if (!g_strcmp0(outcome, "answered"))
		count_answer(stream, body, latency_us);
	else if (!g_strcmp0(outcome, "not-run"))
		g_array_append_val(stream->refusals_us, latency_us);
}

static int compare_times(const void *a, const void *b)
{
	gint64 x = *(const gint64 *)a;
	gint64 y = *(const gint64 *)b;

	return (x > y) - (x < y);
}

static double quantile_ms(GArray *times, double quantile)
{
	guint index;

	if (!times->len)
		return 0;
	index = (guint)(quantile * times->len);
	index = MIN(index, times->len - 1);
	return (double)g_array_index(times, gint64, index) / CS_US_PER_MS;
}

static json_t *outcomes_to_json(const struct load_stream *stream)
{
	json_t *object = json_object();
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, stream->outcomes);
	while (g_hash_table_iter_next(&iter, &key, &value))
		json_object_set_new(object, key,
				    json_integer(GPOINTER_TO_UINT(value)));
	return object;
}

static json_t *report_stream(const struct load_stream *stream)
{
	double answered = (double)MAX(stream->answered, 1);
	GArray *times = stream->latencies_us;

	g_array_sort(times, compare_times);
	g_array_sort(stream->refusals_us, compare_times);
	return json_pack(
		"{s:s,s:I,s:I,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:o}", "service",
		stream->service, "sent", (json_int_t)stream->sent, "answered",
		(json_int_t)stream->answered, "complete_share",
		(double)stream->complete / answered, "mean_coverage",
		stream->coverage_sum / answered, "p50_ms",
		quantile_ms(times, 0.5), "p90_ms", quantile_ms(times, 0.9),
		"p99_ms", quantile_ms(times, 0.99), "max_ms",
		quantile_ms(times, 1), "refused_p50_ms",
		quantile_ms(stream->refusals_us, 0.5), "outcomes",
		outcomes_to_json(stream));
}

json_t *load_report(const struct load_plan *plan)
{
	json_t *array = json_array();

	for (guint i = 0; i < plan->streams->len; i++)
		json_array_append_new(array,
				      report_stream(plan->streams->pdata[i]));
	return array;
}

void load_print_report(const json_t *report)
{
	static const char *const columns[] = {
		"service", "sent",   "answered", "complete_share", "p50_ms",
		"p90_ms",  "p99_ms", "max_ms",	 "outcomes",	   NULL};

	client_print_table(report, columns);
}
