/*
 * The configuration directory, the configuration, the instance list and the
 * settings: tables of valid and invalid inputs with the expected result.
 */
#include "unit.h"

#include <string.h>

/* ---- merging ---- */

/* Merges files given as pairs of name and text, ended by NULL. */
static json_t *merge(const char *const *pairs, int *error, char **why)
{
	g_autoptr(GPtrArray) files = g_ptr_array_new_with_free_func(
		(GDestroyNotify)config_file_destroy);

	for (guint i = 0; pairs[i]; i += 2)
		g_ptr_array_add(files,
				config_file_create(pairs[i], pairs[i + 1]));
	return config_merge(files, error, why);
}

/*
 * Guards against a merge that depends on the order in which the directory or
 * the platform returns the files; daemons would then get different
 * configurations.
 */
START_TEST(files_merge_in_the_byte_order_of_their_names)
{
	static const struct {
		const char *files[9];
		const char *merged;
	} cases[] = {
		{{"a", "{\"x\":1}", "b", "{\"x\":2}"}, "{\"x\":2}"},
		{{"b", "{\"x\":2}", "a", "{\"x\":1}"}, "{\"x\":2}"},
		{{"9", "{\"x\":9}", "10", "{\"x\":10}"}, "{\"x\":9}"},
		{{"A", "{\"x\":1}", "a", "{\"x\":2}", "B", "{\"x\":3}"},
		 "{\"x\":2}"},
		{{"a", "{\"o\":{\"x\":1,\"y\":1}}", "b", "{\"o\":{\"y\":2}}"},
		 "{\"o\":{\"x\":1,\"y\":2}}"},
		{{"a", "{\"l\":[1,2]}", "b", "{\"l\":[3]}"}, "{\"l\":[3]}"},
		{{"a", "{\"o\":{\"x\":1}}", "b", "{\"o\":null}"},
		 "{\"o\":null}"},
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		int error;
		json_t *document = merge(cases[i].files, &error, NULL);
		g_autofree char *text = cs_json_print(document);

		ck_assert_str_eq(text, cases[i].merged);
		json_decref(document);
	}
}
END_TEST

START_TEST(invalid_files_are_refused_with_name_and_cause)
{
	static const struct {
		const char *files[5];
		int error;
		const char *why;
	} cases[] = {
		{{"a", "{"}, CS_E_JSON, "a: line 1"},
		{{"a", "[]"}, CS_E_TYPE, "a: must be an object"},
		{{"a", "{}", "a", "{}"},
		 CS_E_DUPLICATE,
		 "a: file name is duplicated"},
		{{"a", "{\"x\":1,\"x\":1}"}, CS_E_JSON, "duplicate"},
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *why = NULL;
		int error = 0;

		ck_assert_ptr_null(merge(cases[i].files, &error, &why));
		ck_assert_int_eq(error, cases[i].error);
		ck_assert_msg(strstr(why, cases[i].why) != NULL, "%s", why);
	}
}
END_TEST

/* Prints a string of @length characters into @format. */
static char *print_filler(const char *format, size_t length)
{
	g_autofree char *filler = g_strnfill(length, 'x');

	return g_strdup_printf(format, filler);
}

START_TEST(file_and_document_sizes_are_limited)
{
	g_autofree char *file = print_filler("{\"a\":\"%s\"}", CONFIG_FILE_MAX);
	g_autofree char *part[5] = {0};
	const char *pairs[11] = {"0", file};
	static const char *const names[] = {"0", "1", "2", "3", "4"};
	g_autofree char *why = NULL;
	int error;

	ck_assert_ptr_null(merge(pairs, &error, &why));
	ck_assert_int_eq(error, CS_E_TOO_LARGE);
	for (guint i = 0; i < 5; i++) {
		g_autofree char *format =
			g_strdup_printf("{\"%s\":\"%%s\"}", names[i]);

		part[i] = print_filler(format, CONFIG_FILE_MAX - 100);
		pairs[2 * i] = names[i];
		pairs[2 * i + 1] = part[i];
	}
	error = 0;
	ck_assert_ptr_null(merge(pairs, &error, NULL));
	ck_assert_int_eq(error, CS_E_TOO_LARGE);
	for (guint i = 0; i < 5; i++)
		g_free(g_steal_pointer(&part[i]));
}
END_TEST

START_TEST(equal_documents_have_equal_digests)
{
	static const char *const texts[] = {
		"{\"a\":1,\"b\":{\"c\":2,\"d\":3}}",
		"{ \"b\": {\"d\":3, \"c\":2}, \"a\": 1 }",
		"{\"a\":1,\"b\":{\"c\":2,\"d\":4}}",
	};
	char *digests[3];

	for (guint i = 0; i < 3; i++) {
		json_t *document = json_loads(texts[i], 0, NULL);

		digests[i] = config_digest(document);
		json_decref(document);
	}
	ck_assert_str_eq(digests[0], digests[1]);
	ck_assert_str_ne(digests[0], digests[2]);
	for (guint i = 0; i < 3; i++)
		g_free(digests[i]);
}
END_TEST

/* ---- the typed configuration ---- */

#define SERVICE(more)                                                          \
	"{\"customer\":\"c\",\"zones\":{},\"services\":{\"s\":{\"kind\":"      \
	"\"query\",\"slots\":3,\"connections\":30" more "}}}"

START_TEST(configuration_errors_name_the_key)
{
	static const struct {
		const char *text;
		int error;
		const char *why;
	} cases[] = {
		{SERVICE(""), 0, NULL},
		{"{}", CS_E_MISSING, "config.customer: missing"},
		{"{\"customer\":\"c\",\"zones\":{},\"services\":{},\"x\":1}",
		 CS_E_KEY, "config.x: unknown key"},
		{"{\"customer\":\"c\",\"zones\":[],\"services\":{}}", CS_E_TYPE,
		 "config.zones: must be an object"},
		{"{\"customer\":\"c\",\"zones\":{\"a b\":{}},\"services\":{}}",
		 CS_E_RANGE, "zones: \"a b\" is not a name"},
		{"{\"customer\":\"c\",\"zones\":{\"a\":{\"out\":1}},"
		 "\"services\":{}}",
		 CS_E_TYPE, "zones.a.out: must be true or false"},
		{SERVICE(",\"slots\":0"), CS_E_JSON, NULL},
		{SERVICE(",\"cold_limit\":4"), CS_E_RANGE,
		 "services.s.cold_limit: above slots"},
		{SERVICE(",\"deadline_ms\":20000"), CS_E_RANGE,
		 "services.s.deadline_ms: above deadline_max_ms"},
		{SERVICE(",\"extra_load\":1.5"), CS_E_RANGE,
		 "services.s.extra_load: value 1.5 is outside 0 to 1"},
		{SERVICE(",\"extra_load\":-0.1"), CS_E_RANGE,
		 "services.s.extra_load: value -0.1 is outside"},
		{SERVICE(",\"part_timeout_ms\":\"fast\""), CS_E_TYPE,
		 "services.s.part_timeout_ms: must be an integer"},
		{SERVICE(",\"retries\":3"), CS_E_KEY,
		 "services.s.retries: unknown key"},
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		json_t *document = cs_json_parse(cases[i].text,
						 strlen(cases[i].text), NULL);
		g_autofree char *why = NULL;
		struct config *config = NULL;
		int error = CS_E_JSON;

		if (document)
			config = config_create(document, &error, &why);
		ck_assert_int_eq(error, cases[i].error);
		ck_assert_int_eq(config != NULL, cases[i].error == 0);
		if (cases[i].why)
			ck_assert_msg(strstr(why, cases[i].why) != NULL, "%s",
				      why);
		config_destroy(config);
		json_decref(document);
	}
}
END_TEST

/* ---- the instance list ---- */

#define LIST(daemons, upstreams, snapshots)                                    \
	"{\"revision\":1,\"daemons\":[" daemons "],\"upstreams\":[" upstreams  \
	"],\"snapshots\":[" snapshots "]}"
#define DAEMON(address)                                                        \
	"{\"id\":\"d\",\"zone\":\"z\",\"address\":\"" address "\"}"
#define UPSTREAM(address, snapshots)                                           \
	"{\"id\":\"u\",\"service\":\"s\",\"shard\":\"0\",\"zone\":\"z\","      \
	"\"address\":\"" address                                               \
	"\",\"incarnation\":\"i\",\"snapshots\":" snapshots "}"
#define SNAPSHOT(shards)                                                       \
	"{\"service\":\"s\",\"id\":\"1\",\"map\":1,\"shards\":" shards "}"
#define SHARD(documents) "{\"id\":\"0\",\"documents\":" documents "}"

/*
 * Guards against a partly accepted list: an invalid entry that is skipped would
 * look like a removed instance.
 */
START_TEST(one_invalid_entry_refuses_the_whole_list)
{
	static const struct {
		const char *text;
		int error;
	} cases[] = {
		{LIST("", "", ""), 0},
		{LIST(DAEMON("1.2.3.4:5"), UPSTREAM("[::1]:80", "[\"1\"]"),
		      SNAPSHOT("[" SHARD("5") "]")),
		 CS_E_RANGE},
		{LIST(DAEMON("1.2.3.4:5"), UPSTREAM("1.2.3.4:80", "[\"1\"]"),
		      SNAPSHOT("[" SHARD("5") "]")),
		 0},
		{LIST("", UPSTREAM("host:80", "[]"), ""), CS_E_RANGE},
		{LIST("", UPSTREAM("1.2.3.4", "[]"), ""), CS_E_RANGE},
		{LIST("", UPSTREAM("1.2.3.4:0", "[]"), ""), CS_E_RANGE},
		{LIST("", UPSTREAM("1.2.3.4:99999", "[]"), ""), CS_E_RANGE},
		{LIST("", UPSTREAM("1.2.3.4:80", "[1]"), ""), CS_E_TYPE},
		{LIST("", UPSTREAM("1.2.3.4:80", "{}"), ""), CS_E_TYPE},
		{LIST("", "7", ""), CS_E_TYPE},
		{LIST(DAEMON("x"), "", ""), CS_E_RANGE},
		{LIST(DAEMON("1.2.3.4:5") "," DAEMON("1.2.3.4:6"), "", ""),
		 CS_E_DUPLICATE},
		{LIST("",
		      UPSTREAM("1.2.3.4:80", "[]") "," UPSTREAM("1.2.3.4:81",
								"[]"),
		      ""),
		 CS_E_DUPLICATE},
		{LIST("", "", SNAPSHOT("[]")), CS_E_RANGE},
		{LIST("", "", SNAPSHOT("[" SHARD("-1") "]")), CS_E_RANGE},
		{LIST("", "", SNAPSHOT("[" SHARD("1.5") "]")), CS_E_TYPE},
		{LIST("", "", SNAPSHOT("[" SHARD("1") "," SHARD("2") "]")),
		 CS_E_DUPLICATE},
		{"{\"revision\":0,\"daemons\":[],\"upstreams\":[],"
		 "\"snapshots\":[]}",
		 CS_E_RANGE},
		{"{\"revision\":1,\"daemons\":[]}", CS_E_MISSING},
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		json_t *document = cs_json_parse(cases[i].text,
						 strlen(cases[i].text), NULL);
		g_autofree char *why = NULL;
		int error = 99;
		struct instance_list *list;

		ck_assert_msg(document != NULL, "case %u", i);
		list = instance_list_create(document, &error, &why);
		ck_assert_msg(error == cases[i].error, "case %u: %d %s", i,
			      error, why);
		ck_assert_int_eq(list != NULL, error == 0);
		instance_list_destroy(list);
		json_decref(document);
	}
}
END_TEST

/* ---- settings ---- */

#define ENDPOINT(port) "{\"address\":\"127.0.0.1\",\"port\":" port "}"
#define SETTINGS(source, peer, more)                                           \
	"{\"instance\":\"e\",\"zone\":\"z\",\"caller\":" ENDPOINT(             \
		"1") ","                                                       \
		     "\"operators\":" ENDPOINT(                                \
			     "2") "," source "\"peer\":{\"address\":"          \
				  "\"127.0.0.1\",\"port\":3" peer "}" more "}"
#define PLATFORM  "\"platform\":" ENDPOINT("4") ","
#define DIRECTORY "\"directory\":\"/x\","
#define PLAIN	  ",\"plain\":true"

START_TEST(daemon_settings_errors_name_the_key)
{
	static const struct {
		const char *text;
		int error;
		const char *why;
	} cases[] = {
		{SETTINGS(PLATFORM, PLAIN, ""), 0, NULL},
		{SETTINGS(DIRECTORY, PLAIN, ",\"limits\":{\"history\":5}"), 0,
		 NULL},
		{SETTINGS("", PLAIN, ""), CS_E_MISSING,
		 "one of platform and directory"},
		{SETTINGS(PLATFORM DIRECTORY, PLAIN, ""), CS_E_MISSING,
		 "one of platform and directory"},
		{SETTINGS(PLATFORM, "", ""), CS_E_MISSING,
		 "peer: public_key and secret_key"},
		{SETTINGS(PLATFORM, ",\"public_key\":\"short\"", ""),
		 CS_E_RANGE, "peer.public_key: length 5"},
		{SETTINGS(PLATFORM, PLAIN ",\"peers\":[{}]", ""), CS_E_MISSING,
		 "peer.peers[0].id: missing"},
		{SETTINGS(PLATFORM,
			  PLAIN ",\"peers\":[{\"id\":\"x\",\"address\":"
				"\"host\",\"port\":1}]",
			  ""),
		 CS_E_RANGE, "peer.peers[0].address: host is not"},
		{SETTINGS(PLATFORM, PLAIN, ",\"limits\":{\"stop_ms\":0}"),
		 CS_E_RANGE, "limits.stop_ms: value 0"},
		{SETTINGS(PLATFORM, PLAIN, ",\"limits\":{\"x\":0}"), CS_E_KEY,
		 "limits.x: unknown key"},
		{SETTINGS(PLATFORM, PLAIN, ",\"more\":{}"), CS_E_KEY,
		 "settings.more: unknown key"},
		{"{\"instance\":\"a~b\"}", CS_E_MISSING, "settings.zone"},
		{"nothing", CS_E_JSON, "line 1"},
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *why = NULL;
		int error = 99;
		struct settings *settings =
			settings_create(cases[i].text, &error, &why);

		ck_assert_msg(error == cases[i].error, "case %u: %d %s", i,
			      error, why);
		ck_assert_int_eq(settings != NULL, error == 0);
		if (cases[i].why)
			ck_assert_msg(strstr(why, cases[i].why) != NULL, "%s",
				      why);
		settings_destroy(settings);
	}
}
END_TEST

UNIT_MAIN("config", files_merge_in_the_byte_order_of_their_names,
	  invalid_files_are_refused_with_name_and_cause,
	  file_and_document_sizes_are_limited,
	  equal_documents_have_equal_digests, configuration_errors_name_the_key,
	  one_invalid_entry_refuses_the_whole_list,
	  daemon_settings_errors_name_the_key)
