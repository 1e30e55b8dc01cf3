/*
 * The clock, the log, strict JSON, compression, and the error and counter
 * tables with their pages in docs/.
 */
#include "unit.h"

#include <fcntl.h>
#include <unistd.h>

#include <stdlib.h>
#include <string.h>

/* ---- clock ---- */

static GString *fired;
static struct cs_clock *manual_clock;

struct named_timer {
	struct cs_timer timer;
	char name;
	gint64 rearm_us; /* delay of a second run; 0 for none */
};

static void on_fire(struct cs_timer *timer)
{
	struct named_timer *named = (struct named_timer *)timer;

	g_string_append_c(fired, named->name);
	if (named->rearm_us) {
		cs_timer_arm(manual_clock, timer,
			     cs_clock_now(manual_clock) + named->rearm_us);
		named->rearm_us = 0;
	}
}

START_TEST(timers_fire_in_order_of_time)
{
	struct named_timer a = {{.fire = on_fire}, 'a', 0};
	struct named_timer b = {{.fire = on_fire}, 'b', 15};
	struct named_timer c = {{.fire = on_fire}, 'c', 0};

	fired = g_string_new(NULL);
	manual_clock = cs_clock_create_manual(100);
	cs_timer_arm(manual_clock, &a.timer, 130);
	cs_timer_arm(manual_clock, &b.timer, 110);
	cs_timer_arm(manual_clock, &c.timer, 120);
	cs_timer_disarm(manual_clock, &c.timer);
	cs_clock_advance(manual_clock, 9);
	ck_assert_str_eq(fired->str, "");
	cs_clock_advance(manual_clock, 100);
	ck_assert_str_eq(fired->str, "bba");
	ck_assert_int_eq(cs_clock_now(manual_clock), 209);
	cs_clock_destroy(manual_clock);
	g_string_free(fired, TRUE);
}
END_TEST

/* ---- logs ---- */

/* Guards against input that forges log lines, for example with a newline. */
START_TEST(a_log_value_cannot_start_a_new_line)
{
	static const struct {
		const char *value;
		const char *quoted;
	} cases[] = {
		{NULL, "-"},
		{"plain-1.2/3", "plain-1.2/3"},
		{"", "\"\""},
		{"two words", "\"two words\""},
		{"a=b", "\"a=b\""},
		{"say \"x\"", "\"say \\\"x\\\"\""},
		{"line\nevent=forged", "\"line\\x0aevent=forged\""},
		{"\x1b[31m\x7f", "\"\\x1b[31m\\x7f\""},
		{"caf\xc3\xa9", "\"caf\\xc3\\xa9\""},
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *quoted = cs_log_quote(cases[i].value);

		ck_assert_str_eq(quoted, cases[i].quoted);
	}
}
END_TEST

/* ---- JSON ---- */

START_TEST(untrusted_json_is_parsed_strictly)
{
	static const struct {
		const char *text;
		bool valid;
	} cases[] = {
		{"{\"a\": 1}", true},
		{"[1, 2.5, \"x\", null, true]", true},
		{"", false},
		{"{\"a\": 1, \"a\": 2}", false},
		{"{\"a\": 1} x", false},
		{"{\"a\": NaN}", false},
		{"{\"a\": Infinity}", false},
		{"{\"a\": 1e999}", false},
		{"{\"a\": 99999999999999999999}", false},
		{"{\"a\": 01}", false},
		{"{\"a\": \"\\u0000\"}", false},
		{"{\"a\": \"\xff\"}", false},
		{"{\"a\": 'x'}", false},
		{"[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]", true},
		{"[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]", false},
		{"[\"[[[[[[[[[[[[[[[[[[[[\"]", true},
		{"[\"\\\"[[[[[[[[[[[[[[[[[[\"]", true},
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *why = NULL;
		json_t *value = cs_json_parse(cases[i].text,
					      strlen(cases[i].text), &why);

		ck_assert_msg((value != NULL) == cases[i].valid, "case %u", i);
		ck_assert_int_eq(why == NULL, cases[i].valid);
		json_decref(value);
	}
}
END_TEST

struct fields {
	gint64 count;
	double share;
	bool flag;
	char *name;
	json_t *object;
	json_t *array;
};

START_TEST(objects_are_validated_by_field_tables)
{
	static const struct cs_field fields[] = {
		{"count", CS_FIELD_INT, offsetof(struct fields, count), true, 1,
		 9},
		{"share", CS_FIELD_REAL, offsetof(struct fields, share), false,
		 0, 1},
		{"flag", CS_FIELD_BOOL, offsetof(struct fields, flag), false, 0,
		 0},
		{"name", CS_FIELD_STRING, offsetof(struct fields, name), false,
		 1, 3},
		{"object", CS_FIELD_OBJECT, offsetof(struct fields, object),
		 false, 0, 0},
		{"array", CS_FIELD_ARRAY, offsetof(struct fields, array), false,
		 0, 0},
	};
	static const struct {
		const char *text;
		int error;
		const char *why;
	} cases[] = {
		{"{\"count\": 5, \"share\": 1, \"flag\": true, \"name\": "
		 "\"abc\", \"object\": {}, \"array\": []}",
		 0, NULL},
		{"{}", CS_E_MISSING, "at.count: missing"},
		{"[]", CS_E_TYPE, "at: must be an object"},
		{"{\"count\": 0}", CS_E_RANGE,
		 "at.count: value 0 is outside 1 to 9"},
		{"{\"count\": 1.0}", CS_E_TYPE, "at.count: must be an integer"},
		{"{\"count\": 1, \"share\": 1.5}", CS_E_RANGE,
		 "at.share: value 1.5 is outside 0 to 1"},
		{"{\"count\": 1, \"share\": \"1\"}", CS_E_TYPE,
		 "at.share: must be a number"},
		{"{\"count\": 1, \"flag\": 1}", CS_E_TYPE,
		 "at.flag: must be true or false"},
		{"{\"count\": 1, \"name\": \"\"}", CS_E_RANGE,
		 "at.name: length 0 is outside 1 to 3"},
		{"{\"count\": 1, \"name\": 7}", CS_E_TYPE,
		 "at.name: must be a string"},
		{"{\"count\": 1, \"object\": []}", CS_E_TYPE,
		 "at.object: must be an object"},
		{"{\"count\": 1, \"array\": {}}", CS_E_TYPE,
		 "at.array: must be an array"},
		{"{\"count\": 1, \"other\": 2}", CS_E_KEY,
		 "at.other: unknown key"},
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fields out = {0};
		g_autofree char *why = NULL;
		json_t *value = cs_json_parse(cases[i].text,
					      strlen(cases[i].text), NULL);

		ck_assert_int_eq(
			cs_json_read(value, "at", fields, G_N_ELEMENTS(fields),
				     CS_UNKNOWN_KEYS_REFUSE, &out, &why),
			cases[i].error);
		ck_assert_pstr_eq(why, cases[i].why);
		g_free(out.name);
		json_decref(value);
	}
}
END_TEST

/* ---- the tables of the docs ---- */

static char *read_doc(const char *name)
{
	const char *root = getenv("SOURCE_DIR");
	g_autofree char *path =
		g_build_filename(root ? root : ".", "docs", name, NULL);
	char *text = NULL;

	ck_assert_msg(g_file_get_contents(path, &text, NULL, NULL), "%s", path);
	return text;
}

START_TEST(docs_repeat_the_error_table)
{
	g_autofree char *text = read_doc("ERRORS.md");
	int rows = 0;

#define X(id, number, status, name, description)                               \
	{                                                                      \
		g_autofree char *row =                                         \
			g_strdup_printf("| %d | %s | %d | %s |", number, name, \
					status, description);                  \
		ck_assert_msg(strstr(text, row) != NULL, "missing: %s", row);  \
		rows++;                                                        \
	}
	CS_ERROR_TABLE(X)
#undef X
	for (const char *p = text; (p = strstr(p, "\n| -")); p++)
		rows--;
	/* The line below the header of the table also begins with "| -". */
	ck_assert_int_eq(rows, -1);
}
END_TEST

START_TEST(docs_repeat_the_counters)
{
	g_autofree char *text = read_doc("COUNTERS.md");

#define X(id, metric, label, help)                                             \
	{                                                                      \
		g_autofree char *row = g_strdup_printf(                        \
			"| cuminsail_%s | %s | %s |", metric, label, help);    \
		ck_assert_msg(strstr(text, row) != NULL, "missing: %s", row);  \
	}
	CS_COUNTER_TABLE(X)
	CS_HISTOGRAM_TABLE(X)
#undef X
}
END_TEST

START_TEST(histogram_buckets_are_cumulative)
{
	struct cs_counters *counters = cs_counters_create();
	g_autofree char *text = NULL;

	cs_counters_observe(counters, CS_H_PART, 1000);
	cs_counters_observe(counters, CS_H_PART, 1001);
	cs_counters_observe(counters, CS_H_PART, 60 * CS_US_PER_S);
	text = cs_counters_print(counters);
	ck_assert_ptr_nonnull(strstr(
		text, "part_seconds_bucket{result=\"good\",le=\"0.001\"} 1\n"));
	ck_assert_ptr_nonnull(strstr(
		text,
		"part_seconds_bucket{result=\"good\",le=\"10.000\"} 2\n"));
	ck_assert_ptr_nonnull(strstr(
		text, "part_seconds_bucket{result=\"good\",le=\"+Inf\"} 3\n"));
	ck_assert_ptr_nonnull(
		strstr(text, "part_seconds_count{result=\"good\"} 3\n"));
	cs_counters_destroy(counters);
}
END_TEST

/*
 * Guards against a daemon that blocks because its log is not read. The lines
 * that do not fit into the backlog are dropped, and so are those above the
 * limit per second; log-left-out lines report how many.
 */
START_TEST(a_stalled_log_reader_does_not_block_the_daemon)
{
	struct cs_clock *clock = cs_clock_create_manual(0);
	int ends[2];
	gsize total = 0;
	gsize step = 1;
	g_autoptr(GString) text = g_string_new(NULL);
	char buffer[65536];

	ck_assert_int_eq(pipe(ends), 0);
	cs_log_set_level(LOG_INFO);
	cs_log_start(ends[1], clock);
	for (int second = 0; second < 40; second++) {
		for (int i = 0; i < 300; i++)
			cs_log(LOG_INFO, "test-event", "text",
			       "0123456789012345678901234567890123456789",
			       NULL);
		cs_clock_advance(clock, CS_US_PER_S);
	}
	fcntl(ends[0], F_SETFL, O_NONBLOCK);
	for (; step && total < 1000000; total += step) {
		ssize_t n = read(ends[0], buffer, sizeof(buffer));

		step = n > 0 ? (gsize)n : 0;
		g_string_append_len(text, buffer, (gssize)step);
		cs_log_flush();
	}
	cs_log(LOG_INFO, "test-event", NULL);
	g_string_append_len(text, buffer, MAX(read(ends[0], buffer, 4096), 0));
	ck_assert_ptr_nonnull(strstr(text->str,
				     "event=log-left-out of=test-event "
				     "lines=200"));
	ck_assert_ptr_nonnull(strstr(text->str, "of=all lines="));
	cs_log_set_level(LOG_EMERG);
	cs_log_start(STDOUT_FILENO, NULL);
	close(ends[0]);
	close(ends[1]);
	cs_clock_destroy(clock);
}
END_TEST

START_TEST(counters_print_one_row_for_each_reason)
{
	struct cs_counters *counters = cs_counters_create();
	g_autofree char *text = NULL;

	cs_counters_add(counters, CS_N_RETRY_LOST, 3);
	cs_counters_add_refusal(counters, CS_E_OVERLOAD);
	cs_counters_add_refusal(counters, 0);
	cs_counters_add_refusal(counters, -1000);
	text = cs_counters_print(counters);
	ck_assert_ptr_nonnull(
		strstr(text, "\ncuminsail_retries_total{reason=\"lost\"} 3\n"));
	ck_assert_ptr_nonnull(strstr(
		text, "\ncuminsail_refusals_total{reason=\"overload\"} 1\n"));
	ck_assert_ptr_nonnull(strstr(
		text, "\ncuminsail_refusals_total{reason=\"deadline\"} 0\n"));
	cs_counters_destroy(counters);
}
END_TEST

START_TEST(every_code_has_a_name_a_text_and_a_status)
{
	ck_assert_str_eq(cs_error_name(0), "ok");
	ck_assert_uint_eq(cs_error_http_status(0), 200);
	ck_assert_str_eq(cs_error_name(CS_E_OVERLOAD), "overload");
	ck_assert_uint_eq(cs_error_http_status(CS_E_OVERLOAD), 503);
	ck_assert_str_eq(cs_error_name(-999), "unknown-error");
	ck_assert_uint_eq(cs_error_http_status(-999), 500);
	ck_assert_str_eq(cs_outcome_name(CS_NOT_RUN), "not-run");
}
END_TEST

/* ---- compression ---- */

START_TEST(decompression_restores_the_text)
{
	GString *text = g_string_new(NULL);

	for (int i = 0; i <= 20000; i += 5000) {
		g_autofree char *compressed = cs_compress_text(text->str);
		g_autofree char *decompressed =
			cs_decompress_text(compressed, 1 << 20, NULL);

		ck_assert_ptr_nonnull(decompressed);
		ck_assert_str_eq(decompressed, text->str);
		/* Routes differ little from each other and compress well. */
		if (i)
			ck_assert_uint_lt(strlen(compressed), text->len / 5);
		for (int k = 0; k < 5000; k++)
			g_string_append_printf(text, "{\"route\": \"r-%d\"}",
					       k);
	}
	g_string_free(text, TRUE);
}
END_TEST

START_TEST(damaged_or_too_large_compressed_texts_are_refused)
{
	g_autofree char *zeros = g_strnfill(100000, '0');
	g_autofree char *bomb = cs_compress_text(zeros);
	g_autofree char *truncated = g_strndup(bomb, strlen(bomb) / 2 / 4 * 4);
	g_autofree char *plain = g_base64_encode((const guchar *)"text", 4);
	const struct {
		const char *compressed;
		gsize max_length;
	} cases[] = {
		{"", 100},	     {"%%%", 100},  {plain, 100},
		{truncated, 200000}, {bomb, 99999}, {"H4sI", 100},
	};

	for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *why = NULL;

		ck_assert_msg(!cs_decompress_text(cases[i].compressed,
						  cases[i].max_length, &why),
			      "case %zu", i);
		ck_assert_ptr_nonnull(why);
	}
}
END_TEST

UNIT_MAIN("share", timers_fire_in_order_of_time,
	  a_log_value_cannot_start_a_new_line,
	  untrusted_json_is_parsed_strictly,
	  objects_are_validated_by_field_tables, docs_repeat_the_error_table,
	  docs_repeat_the_counters, histogram_buckets_are_cumulative,
	  a_stalled_log_reader_does_not_block_the_daemon,
	  counters_print_one_row_for_each_reason,
	  every_code_has_a_name_a_text_and_a_status,
	  decompression_restores_the_text,
	  damaged_or_too_large_compressed_texts_are_refused)
