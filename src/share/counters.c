/* Keeps the counters and histograms and prints them. */
#include "cuminsail/counters.h"

#include "cuminsail/error.h"

#include <string.h>

/* Result codes from -1 down to -(REFUSALS_MAX - 1) can be counted. */
#define REFUSALS_MAX 64

/* Upper bounds of the histogram buckets; the last bucket, +Inf, has none. */
static const guint buckets_ms[] = {1,	 2,    5,    10,   20,	 30,  50,
				   75,	 100,  150,  200,  300,	 500, 750,
				   1000, 1500, 2500, 5000, 10000};

#define N_BUCKETS (G_N_ELEMENTS(buckets_ms) + 1)

struct histogram {
	guint64 counts[N_BUCKETS]; /* of each bucket alone, not cumulative */
	guint64 sum_us;
};

struct cs_counters {
	guint64 values[CS_N_COUNTERS];
	struct histogram histograms[CS_N_HISTOGRAMS];
	guint64 refusals[REFUSALS_MAX]; /* by negated result code */
};

/* One row of the metric tables in counters.h. */
struct metric_row {
	const char *metric;
	const char *label;
	const char *help;
};

static const struct metric_row counter_rows[] = {
#define X(id, metric, label, help) {metric, label, help},
	CS_COUNTER_TABLE(X)
#undef X
};

static const struct metric_row histogram_rows[] = {
#define X(id, metric, label, help) {metric, label, help},
	CS_HISTOGRAM_TABLE(X)
#undef X
};

struct cs_counters *cs_counters_create(void)
{
	return g_new0(struct cs_counters, 1);
}

void cs_counters_destroy(struct cs_counters *counters)
{
	g_free(counters);
}

void cs_counters_add(struct cs_counters *counters, enum cs_counter which,
		     guint64 n)
{
	counters->values[which] += n;
}

void cs_counters_observe(struct cs_counters *counters, enum cs_histogram which,
			 gint64 us)
{
	struct histogram *histogram = &counters->histograms[which];
	guint bucket = 0;

	while (bucket < G_N_ELEMENTS(buckets_ms) &&
	       us > (gint64)buckets_ms[bucket] * 1000)
		bucket++;
	histogram->counts[bucket]++;
	histogram->sum_us += (guint64)MAX(us, 0);
}

void cs_counters_add_refusal(struct cs_counters *counters, int code)
{
	if (code < 0 && code > -REFUSALS_MAX)
		counters->refusals[-code]++;
}

guint64 cs_counters_get(const struct cs_counters *counters,
			enum cs_counter which)
{
	return counters->values[which];
}

/* Prints the HELP and TYPE lines of a counter. */
static void print_header(GString *out, const char *metric, const char *help)
{
	g_string_append_printf(out, "# HELP cuminsail_%s %s\n", metric, help);
	g_string_append_printf(out, "# TYPE cuminsail_%s counter\n", metric);
}

static void print_counter(GString *out, const struct metric_row *row,
			  guint64 value)
{
	const char *equals = strchr(row->label, '=');

	g_string_append_printf(out, "cuminsail_%s", row->metric);
	if (equals)
		g_string_append_printf(out, "{%.*s=\"%s\"}",
				       (int)(equals - row->label), row->label,
				       equals + 1);
	g_string_append_printf(out, " %" G_GUINT64_FORMAT "\n", value);
}

static void print_refusals(GString *out, const struct cs_counters *counters)
{
	print_header(out, "refusals_total", "refusals towards callers");
	for (int i = 1; i < REFUSALS_MAX; i++) {
		const char *name = cs_error_name(-i);

		if (!strcmp(name, "unknown-error"))
			continue;
		g_string_append_printf(out,
				       "cuminsail_refusals_total{reason=\"%s\"}"
				       " %" G_GUINT64_FORMAT "\n",
				       name, counters->refusals[i]);
	}
}

static void print_bucket(GString *out, const struct metric_row *row,
			 const char *bound, guint64 count)
{
	const char *equals = strchr(row->label, '=');

	g_string_append_printf(out,
			       "cuminsail_%s_bucket{%.*s=\"%s\",le=\"%s\"} "
			       "%" G_GUINT64_FORMAT "\n",
			       row->metric, (int)(equals - row->label),
			       row->label, equals + 1, bound, count);
}

static void print_histogram(GString *out, const struct metric_row *row,
			    const struct histogram *histogram)
{
	const char *equals = strchr(row->label, '=');
	char bound[32];
	guint64 count = 0;

	for (guint i = 0; i < G_N_ELEMENTS(buckets_ms); i++) {
		count += histogram->counts[i];
		g_ascii_formatd(bound, sizeof(bound), "%.3f",
				buckets_ms[i] / 1000.0);
		print_bucket(out, row, bound, count);
	}
	count += histogram->counts[N_BUCKETS - 1];
	print_bucket(out, row, "+Inf", count);
	g_ascii_formatd(bound, sizeof(bound), "%.6f",
			(double)histogram->sum_us / 1e6);
	g_string_append_printf(
		out,
		"cuminsail_%s_sum{%.*s=\"%s\"} %s\n"
		"cuminsail_%s_count{%.*s=\"%s\"} %" G_GUINT64_FORMAT "\n",
		row->metric, (int)(equals - row->label), row->label, equals + 1,
		bound, row->metric, (int)(equals - row->label), row->label,
		equals + 1, count);
}

static void print_histograms(GString *out, const struct cs_counters *counters)
{
	const char *previous = "";

	for (int i = 0; i < CS_N_HISTOGRAMS; i++) {
		const struct metric_row *row = &histogram_rows[i];

		if (strcmp(row->metric, previous) != 0) {
			g_string_append_printf(
				out,
				"# HELP cuminsail_%s %s\n"
				"# TYPE cuminsail_%s histogram\n",
				row->metric, row->help, row->metric);
			previous = row->metric;
		}
		print_histogram(out, row, &counters->histograms[i]);
	}
}

char *cs_counters_print(const struct cs_counters *counters)
{
	GString *out = g_string_new(NULL);
	const char *previous = "";

	for (int i = 0; i < CS_N_COUNTERS; i++) {
		if (strcmp(counter_rows[i].metric, previous) != 0)
			print_header(out, counter_rows[i].metric,
				     counter_rows[i].help);
		previous = counter_rows[i].metric;
		print_counter(out, &counter_rows[i], counters->values[i]);
	}
	print_refusals(out, counters);
	print_histograms(out, counters);
	return g_string_free(out, FALSE);
}
