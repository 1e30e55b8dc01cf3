/*
 * Parsing of untrusted input: peer frames, requests of callers, answers of
 * upstreams, configurations and instance lists. Uses tables of cases and random
 * changes of valid input.
 */
#include "unit.h"

#include <string.h>

#define RANDOM_CASES 20000

/* ---- peer frames ---- */

static struct peer_frame last_frame;
static guint n_frames;

static void on_frame(const struct peer_frame *frame, void *user)
{
	last_frame = *frame;
	n_frames++;
	/* Read the guaranteed fields: a sanitizer detects invalid pointers. */
	ck_assert_uint_ge(strlen(frame->sender), 1);
	if (frame->kind == PEER_HEARTBEAT) {
		for (gsize i = 0; i < frame->heartbeat.n_warm; i++)
			ck_assert_ptr_nonnull(
				frame->heartbeat.warm[i].incarnation);
	}
}

static GBytes *encode_heartbeat(void)
{
	static const struct peer_upstream warm[] = {{"u1", "i1"}, {"u2", "i2"}};
	struct peer_frame frame = {
		.kind = PEER_HEARTBEAT,
		.sender = "entry-1",
		.incarnation = 7,
		.sequence = 9,
		.heartbeat = {true, 11, 13, warm, 2, warm, 1},
	};

	return peer_frame_encode(&frame);
}

START_TEST(encoded_heartbeat_decodes_to_the_same_fields)
{
	g_autoptr(GBytes) bytes = encode_heartbeat();

	n_frames = 0;
	ck_assert_int_eq(peer_frame_decode(bytes, on_frame, NULL), 0);
	ck_assert_uint_eq(n_frames, 1);
	ck_assert_int_eq(last_frame.kind, PEER_HEARTBEAT);
	ck_assert_uint_eq(last_frame.incarnation, 7);
	ck_assert_uint_eq(last_frame.sequence, 9);
	ck_assert(last_frame.heartbeat.leaving);
	ck_assert_int_eq(last_frame.heartbeat.config_revision, 11);
	ck_assert_int_eq(last_frame.heartbeat.list_revision, 13);
	ck_assert_uint_eq(last_frame.heartbeat.n_warm, 2);
	ck_assert_uint_eq(last_frame.heartbeat.n_leaving, 1);
}
END_TEST

START_TEST(every_kind_of_frame_can_be_decoded)
{
	struct peer_frame frames[] = {
		{.kind = PEER_CONFIG, .sender = "a", .config = {5, "{}"}},
		{.kind = PEER_LIST, .sender = "a", .list = {6, "[]"}},
		{.kind = PEER_ORDER,
		 .sender = "a",
		 .order = {8, "s", "t", "{}", 100}},
		{.kind = PEER_RESULT, .sender = "a", .result = {8, -3, 2, ""}},
	};

	for (guint i = 0; i < G_N_ELEMENTS(frames); i++) {
		g_autoptr(GBytes) bytes = peer_frame_encode(&frames[i]);

		n_frames = 0;
		ck_assert_int_eq(peer_frame_decode(bytes, on_frame, NULL), 0);
		ck_assert_uint_eq(n_frames, 1);
		ck_assert_int_eq(last_frame.kind, frames[i].kind);
	}
}
END_TEST

/*
 * Guards against a decoder that reads beyond a truncated frame or hands out a
 * damaged one with invalid pointers.
 */
START_TEST(damaged_frames_are_refused_or_decode_completely)
{
	g_autoptr(GBytes) valid = encode_heartbeat();
	gsize size;
	const guint8 *data = g_bytes_get_data(valid, &size);
	GRand *random = g_rand_new_with_seed(42);
	guint refused = 0;

	for (gsize length = 0; length < size; length++) {
		g_autoptr(GBytes) truncated = g_bytes_new(data, length);

		ck_assert_int_eq(peer_frame_decode(truncated, on_frame, NULL),
				 CS_E_FRAME);
	}
	for (guint i = 0; i < RANDOM_CASES; i++) {
		g_autofree guint8 *copy = g_memdup2(data, size);
		g_autoptr(GBytes) bytes = NULL;
		guint changes = (guint)g_rand_int_range(random, 1, 5);

		for (guint n = 0; n < changes; n++)
			copy[g_rand_int_range(random, 0, (gint32)size)] =
				(guint8)g_rand_int_range(random, 0, 256);
		bytes = g_bytes_new(copy, size);
		refused += peer_frame_decode(bytes, on_frame, NULL) != 0;
	}
	ck_assert_uint_gt(refused, RANDOM_CASES / 4);
	g_rand_free(random);
}
END_TEST

/* ---- callers' requests ---- */

#define QUERY_PATH "/v1/services/s/query"
#define ORDER_PATH "/v1/services/s/orders/t~1"

START_TEST(caller_requests_are_validated)
{
	static const struct {
		const char *method;
		const char *path;
		const char *body;
		int error;
	} cases[] = {
		{"POST", QUERY_PATH, "{\"query\":{}}", 0},
		{"POST", QUERY_PATH,
		 "{\"query\":{\"text\":\"x\"},\"limit\":1,\"deadline_ms\":1,"
		 "\"least_coverage\":1,\"id\":\"mine\"}",
		 0},
		{"POST", "/v1/services/s/tickets", "", 0},
		{"POST", "/v1/services/s/tickets", "{\"id\":\"mine\"}", 0},
		{"PUT", ORDER_PATH, "{\"order\":{}}", 0},
		{"GET", QUERY_PATH, "{\"query\":{}}", CS_E_METHOD},
		{"POST", ORDER_PATH, "{\"order\":{}}", CS_E_METHOD},
		{"POST", "/", "", CS_E_PATH},
		{"POST", "/v1/services/", "", CS_E_PATH},
		{"POST", "/v1/services/s", "", CS_E_PATH},
		{"POST", "/v1/services/s/query/x", "{}", CS_E_PATH},
		{"PUT", "/v1/services/s/orders/t/x", "{}", CS_E_PATH},
		{"POST", QUERY_PATH, "", CS_E_JSON},
		{"POST", QUERY_PATH, "{", CS_E_JSON},
		{"POST", QUERY_PATH, "[]", CS_E_TYPE},
		{"POST", QUERY_PATH, "{}", CS_E_MISSING},
		{"POST", QUERY_PATH, "{\"query\":\"x\"}", CS_E_TYPE},
		{"POST", QUERY_PATH, "{\"query\":{},\"limit\":0}", CS_E_RANGE},
		{"POST", QUERY_PATH, "{\"query\":{},\"limit\":-1}", CS_E_RANGE},
		{"POST", QUERY_PATH, "{\"query\":{},\"limit\":1e9}", CS_E_TYPE},
		{"POST", QUERY_PATH, "{\"query\":{},\"limit\":1001}",
		 CS_E_RANGE},
		{"POST", QUERY_PATH, "{\"query\":{},\"deadline_ms\":0}",
		 CS_E_RANGE},
		{"POST", QUERY_PATH,
		 "{\"query\":{},\"deadline_ms\":9999999999}", CS_E_RANGE},
		{"POST", QUERY_PATH, "{\"query\":{},\"deadline_ms\":NaN}",
		 CS_E_JSON},
		{"POST", QUERY_PATH, "{\"query\":{},\"least_coverage\":1.01}",
		 CS_E_RANGE},
		{"POST", QUERY_PATH, "{\"query\":{},\"x\":1}", CS_E_KEY},
		{"POST", QUERY_PATH,
		 "{\"query\":{\"a\":[[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]]}}",
		 CS_E_DEPTH},
		{"PUT", ORDER_PATH, "{\"query\":{}}", CS_E_KEY},
		{"PUT", ORDER_PATH, "{\"order\":[]}", CS_E_TYPE},
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct caller_request request;
		g_autofree char *why = NULL;
		int error = caller_request_parse(
			cases[i].method, cases[i].path, cases[i].body,
			strlen(cases[i].body), &request, &why);

		ck_assert_msg(error == cases[i].error, "case %u: %d %s", i,
			      error, why);
		caller_request_clear(&request);
	}
}
END_TEST

/* ---- random changes of valid texts, for every parser ---- */

static const char *const samples[] = {
	"{\"query\":{\"text\":\"hinge\"},\"limit\":5,\"deadline_ms\":90}",
	"{\"request_id\":\"r\",\"attempt\":1,\"shard\":\"0\",\"snapshot\":"
	"\"s\",\"map\":1,\"documents\":9,\"searched\":9,\"hits\":[{\"id\":"
	"\"a\",\"score\":1.5,\"fields\":{}}]}",
	"{\"customer\":\"c\",\"zones\":{\"a\":{\"out\":true}},\"services\":{"
	"\"s\":{\"kind\":\"query\",\"slots\":3,\"connections\":30}}}",
	"{\"revision\":1,\"daemons\":[{\"id\":\"d\",\"zone\":\"z\","
	"\"address\":\"1.2.3.4:5\"}],\"upstreams\":[],\"snapshots\":[]}",
};

/*
 * Return: a copy of a sample with up to five random bytes changed, inserted or
 * removed.
 */
static char *mutate(GRand *random, const char *sample)
{
	static const char bytes[] = "{}[]\",:0189.eE+-\\utrfalsn \xff\x01";
	GString *text = g_string_new(sample);
	guint changes = (guint)g_rand_int_range(random, 0, 6);

	for (guint i = 0; i < changes && text->len; i++) {
		gsize at =
			(gsize)g_rand_int_range(random, 0, (gint32)text->len);
		char byte =
			bytes[g_rand_int_range(random, 0, sizeof(bytes) - 1)];

		switch (g_rand_int_range(random, 0, 3)) {
		case 0:
			text->str[at] = byte;
			break;
		case 1:
			g_string_insert_c(text, (gssize)at, byte);
			break;
		default:
			g_string_erase(text, (gssize)at, 1);
		}
	}
	return g_string_free(text, FALSE);
}

/*
 * Merges a text, as a configuration file, with a valid one.
 *
 * Return: 1 if the merge succeeds, else 0.
 */
static guint merge_with_valid(const char *text)
{
	g_autoptr(GPtrArray) files = g_ptr_array_new_with_free_func(
		(GDestroyNotify)config_file_destroy);
	json_t *document;
	int error;

	g_ptr_array_add(files, config_file_create("2", text));
	g_ptr_array_add(files, config_file_create("1", samples[2]));
	document = config_merge(files, &error, NULL);
	if (!document)
		return 0;
	json_decref(document);
	return 1;
}

/* Passes a text to every JSON parser. Return: how many accept it. */
static guint parse_with_all(const char *text)
{
	size_t length = strlen(text);
	struct policy_part *part = upstream_part_parse(text, length);
	struct caller_request request;
	json_t *document = cs_json_parse(text, length, NULL);
	guint valid = (part != NULL) + merge_with_valid(text);
	int error;

	if (part)
		ck_assert_ptr_nonnull(part->hits);
	policy_part_destroy(part);
	valid += caller_request_parse("POST", QUERY_PATH, text, length,
				      &request, NULL) == 0;
	caller_request_clear(&request);
	if (document) {
		struct config *config = config_create(document, &error, NULL);
		struct instance_list *list =
			instance_list_create(document, &error, NULL);

		valid += config != NULL;
		valid += list != NULL;
		config_destroy(config);
		instance_list_destroy(list);
	}
	json_decref(document);
	return valid;
}

/* Guards against parsers that crash on invalid input. */
START_TEST(random_input_is_refused_or_accepted_without_a_crash)
{
	GRand *random = g_rand_new_with_seed(7);
	guint valid = 0;

	for (guint i = 0; i < RANDOM_CASES; i++) {
		g_autofree char *text =
			mutate(random, samples[i % G_N_ELEMENTS(samples)]);

		valid += parse_with_all(text);
	}
	/* Some texts stay valid, most do not: the parsers are reached. */
	ck_assert_uint_gt(valid, RANDOM_CASES / 20);
	ck_assert_uint_lt(valid, RANDOM_CASES);
	g_rand_free(random);
}
END_TEST

UNIT_MAIN("input", encoded_heartbeat_decodes_to_the_same_fields,
	  every_kind_of_frame_can_be_decoded,
	  damaged_frames_are_refused_or_decode_completely,
	  caller_requests_are_validated,
	  random_input_is_refused_or_accepted_without_a_crash)
