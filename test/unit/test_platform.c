/* Decoding the platform's documents, and reading and watching its store. */
#include "answers.h"
#include "net.h"
#include "unit.h"

#include "platform_adapter.h"

#include <string.h>

/* ---- formats ---- */

static const char valid_config[] =
	"{\"version\":7,\"new\":1,\"routes\":["
	"{\"name\":\"r1\",\"host\":\"h\",\"prefix\":\"/a/\","
	"\"routeType\":\"idempotent\",\"timeoutMs\":1500,"
	"\"targetLatencyMs\":100,\"priority\":2,\"fanout\":[\"x\",\"y\"],"
	"\"maxAttempts\":2,\"topK\":5,\"minSuccessShare\":0.75,"
	"\"allowedRegions\":[\"east\"]},"
	"{\"name\":\"r2\",\"host\":\"h\",\"prefix\":\"/b/\","
	"\"routeType\":\"non_idempotent\",\"timeoutMs\":800,"
	"\"service\":\"x\",\"maxAttempts\":1},"
	"{\"name\":\"r3\",\"host\":\"h\",\"prefix\":\"/c/\","
	"\"routeType\":\"idempotent\",\"timeoutMs\":800,"
	"\"trafficSplit\":[{\"service\":\"x\",\"weight\":3},"
	"{\"service\":\"y\",\"weight\":1}]}],"
	"\"services\":[{\"name\":\"x\",\"maxConnections\":31,"
	"\"warmupPerS\":0.0},{\"name\":\"y\",\"maxConnections\":9}],"
	"\"limits\":{\"maxHeaderBytes\":1000,\"maxBodyBytes\":2000,"
	"\"headerTimeoutMs\":30,\"idleTimeoutMs\":40}}";

static struct route_table *decode(const char *text, int *error)
{
	g_autofree char *why = NULL;
	json_t *document = cs_json_parse(text, strlen(text), NULL);
	struct route_table *table;

	ck_assert_msg(document != NULL, "%s", text);
	table = platform_decode_table(document, error, &why);
	ck_assert(table || why);
	json_decref(document);
	return table;
}

/* A route that the platform's decoder takes is passed to other daemons, which
 * must take it too. */
START_TEST(both_decoders_take_the_same_routes)
{
	static const struct {
		const char *target;
		bool valid;
	} cases[] = {
		{"\"service\":\"x\"", true},
		{"\"fanout\":[\"x\"]", true},
		{"\"fanout\":[]", false},
		{"\"fanout\":[],\"service\":\"x\"", false},
		{"\"trafficSplit\":[]", false},
		{"\"trafficSplit\":[{\"service\":\"x\",\"weight\":0}]", false},
		{"\"trafficSplit\":[{\"service\":\"x\",\"weight\":0},"
		 "{\"service\":\"y\",\"weight\":1}]",
		 true},
		{"\"trafficSplit\":[{\"service\":\"x\",\"weight\":-1}]", false},
		{"\"service\":\"x\",\"minSuccessShare\":0", true},
		{"\"fanout\":[\"x\"],\"minSuccessShare\":0", true},
		{"\"fanout\":[\"x\"],\"topK\":0", true},
		{"\"fanout\":[\"x\"],\"topK\":1000000", true},
		{"\"service\":\"x\",\"maxAttempts\":1000000", true},
		{"\"service\":\"x\",\"priority\":-1000000", true},
		{"\"service\":\"x\",\"targetLatencyMs\":1000000000000", true},
		{"\"service\":\"x\",\"allowedRegions\":[\"\"]", true},
		{"\"service\":\"x\",\"allowedRegions\":[]", true},
	};

	for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *text = g_strdup_printf(
			"{\"version\":7,\"routes\":[{\"name\":\"r\","
			"\"host\":\"h\",\"prefix\":\"/\","
			"\"routeType\":\"idempotent\",\"timeoutMs\":1500,"
			"%s}],\"services\":[]}",
			cases[i].target);
		int error = 0;
		struct route_table *table = decode(text, &error);
		struct route_table *again = NULL;

		ck_assert_msg(!table == !cases[i].valid, "case %zu", i);
		ck_assert_msg(!error == cases[i].valid, "case %zu", i);
		if (table) {
			g_autoptr(GBytes) bytes = route_table_encode(table);

			again = route_table_decode(bytes);
			ck_assert_msg(again != NULL, "case %zu", i);
		}
		route_table_unref(table);
		route_table_unref(again);
	}
}
END_TEST

START_TEST(a_configuration_is_decoded_into_routes)
{
	int error = 0;
	struct route_table *table = decode(valid_config, &error);
	const struct route *route;

	ck_assert_ptr_nonnull(table);
	ck_assert_int_eq(table->version, 7);
	ck_assert_int_eq(table->limits.header_bytes, 1000);
	ck_assert_int_eq(table->limits.idle_timeout_ms, 40);
	route = route_table_find(table, "h", "/a/1");
	ck_assert_int_eq(route->target, ROUTE_FANOUT);
	ck_assert_uint_eq(route->fanout.services->len, 2);
	ck_assert_uint_eq(route->fanout.top_k, 5);
	ck_assert(route->idempotent);
	ck_assert_int_eq(route->timeout_us, 1500 * MS);
	ck_assert_int_eq(route->objective_us, 100 * MS);
	ck_assert_uint_eq(route->attempts_max, 2);
	ck_assert_str_eq(route->regions->pdata[0], "east");
	route = route_table_find(table, "h", "/b/1");
	ck_assert_int_eq(route->target, ROUTE_SERVICE);
	ck_assert(!route->idempotent);
	ck_assert_int_eq(route->objective_us, 800 * MS);
	route = route_table_find(table, "h", "/c/1");
	ck_assert_int_eq(route->target, ROUTE_SPLIT);
	ck_assert_uint_eq(route->shares->len, 2);
	route_table_unref(table);
}
END_TEST

/* Guards against a configuration with a missing or wrong member being used:
 * each case replaces one text of the valid configuration by another. */
START_TEST(an_invalid_configuration_is_rejected_with_a_cause)
{
	static const struct {
		const char *from;
		const char *to;
		int error;
	} cases[] = {
		{"\"version\":7", "\"version\":\"7\"", CS_E_TYPE},
		{"\"version\":7,", "", CS_E_MISSING},
		{"\"version\":7", "\"version\":-1", CS_E_RANGE},
		{"\"timeoutMs\":1500", "\"timeoutMs\":0", CS_E_RANGE},
		{"\"timeoutMs\":1500", "\"timeoutMs\":1.5", CS_E_TYPE},
		{"\"prefix\":\"/a/\",", "", CS_E_MISSING},
		{"\"minSuccessShare\":0.75", "\"minSuccessShare\":2",
		 CS_E_RANGE},
		{"[\"x\",\"y\"]", "[\"x\",1]", CS_E_TYPE},
		{"\"service\":\"x\",\"maxAttempts\":1", "\"maxAttempts\":1",
		 CS_E_MISSING},
		{"{\"service\":\"x\",\"weight\":3}", "{\"service\":\"x\"}",
		 CS_E_TYPE},
		{"\"maxConnections\":31", "\"maxConnections\":\"31\"",
		 CS_E_TYPE},
		{"\"headerTimeoutMs\":30", "\"headerTimeoutMs\":[]", CS_E_TYPE},
	};

	for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
		const char *at = strstr(valid_config, cases[i].from);
		int error = 0;
		g_autofree char *text = NULL;
		struct route_table *table;

		ck_assert_msg(at != NULL, "case %zu", i);
		text = g_strdup_printf("%.*s%s%s", (int)(at - valid_config),
				       valid_config, cases[i].to,
				       at + strlen(cases[i].from));
		table = decode(text, &error);
		ck_assert_msg(!table && error == cases[i].error, "case %zu: %d",
			      i, error);
	}
}
END_TEST

#define ENTRY(service, address, slots, state, cold, sequence, more)            \
	"{\"service\":" service ",\"address\":" address                        \
	",\"zone\":\"a\",\"version\":\"v1\",\"slots\":" slots                  \
	",\"state\":" state ",\"warmupLeftMs\":" cold                          \
	",\"sequence\":" sequence more "}"

/* Guards against requests to a replica whose registration was written in
 * another format: a member is missing, out of range or of the wrong type. */
START_TEST(an_invalid_registration_is_rejected)
{
	static const struct {
		const char *text;
		bool valid;
	} cases[] = {
		{ENTRY("\"s\"", "\"10.0.0.1:80\"", "3", "\"ready\"", "0", "4",
		       ""),
		 true},
		{ENTRY("\"s\"", "\"10.0.0.1:80\"", "3", "\"draining\"", "1.5",
		       "4", ",\"born\":17,\"other\":[]"),
		 true},
		{ENTRY("7", "\"10.0.0.1:80\"", "3", "\"ready\"", "0", "4", ""),
		 false},
		{ENTRY("\"\"", "\"10.0.0.1:80\"", "3", "\"ready\"", "0", "4",
		       ""),
		 false},
		{ENTRY("\"s\"", "\"10.0.0.1\"", "3", "\"ready\"", "0", "4", ""),
		 false},
		{ENTRY("\"s\"", "\"host:80\"", "3", "\"ready\"", "0", "4", ""),
		 false},
		{ENTRY("\"s\"", "\"10.0.0.1:0\"", "3", "\"ready\"", "0", "4",
		       ""),
		 false},
		{ENTRY("\"s\"", "\"10.0.0.1:80\"", "0", "\"ready\"", "0", "4",
		       ""),
		 false},
		{ENTRY("\"s\"", "\"10.0.0.1:80\"", "\"3\"", "\"ready\"", "0",
		       "4", ""),
		 false},
		{ENTRY("\"s\"", "\"10.0.0.1:80\"", "3", "\"up\"", "0", "4", ""),
		 false},
		{ENTRY("\"s\"", "\"10.0.0.1:80\"", "3", "true", "0", "4", ""),
		 false},
		{ENTRY("\"s\"", "\"10.0.0.1:80\"", "3", "\"ready\"", "-1", "4",
		       ""),
		 false},
		{ENTRY("\"s\"", "\"10.0.0.1:80\"", "3", "\"ready\"", "1e300",
		       "4", ""),
		 false},
		{ENTRY("\"s\"", "\"10.0.0.1:80\"", "3", "\"ready\"", "0",
		       "null", ""),
		 false},
		{ENTRY("\"s\"", "\"10.0.0.1:80\"", "3", "\"ready\"", "0", "4",
		       ",\"born\":1.5"),
		 false},
		{"[]", false},
		{"{}", false},
	};

	for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *why = NULL;
		json_t *document = cs_json_parse(cases[i].text,
						 strlen(cases[i].text), NULL);
		struct route_entry entry;
		int error = platform_decode_entry("id", document, &entry, &why);

		ck_assert_msg(!error == cases[i].valid, "case %zu: %s", i, why);
		json_decref(document);
	}
}
END_TEST

START_TEST(keys_are_classified)
{
	static const struct {
		const char *key;
		enum platform_key_kind kind;
		const char *name;
	} cases[] = {
		{"op/config", PLATFORM_KEY_CONFIGURATION, NULL},
		{"op/config2", PLATFORM_KEY_OTHER, NULL},
		{"op/evacuate/z", PLATFORM_KEY_EVACUATION, "z"},
		{"servers/i-1", PLATFORM_KEY_REPLICA, "i-1"},
		{"other/i-1", PLATFORM_KEY_OTHER, NULL},
	};

	for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
		const char *name;

		ck_assert_int_eq(platform_classify_key(cases[i].key, &name),
				 cases[i].kind);
		if (cases[i].name)
			ck_assert_str_eq(name, cases[i].name);
	}
}
END_TEST

/* Guards against crashes of the decoder: configurations with up to four random
 * characters replaced are rejected or decoded. */
START_TEST(malformed_configurations_do_not_crash_the_decoder)
{
	GRand *random = g_rand_new_with_seed(9);

	for (int i = 0; i < 5000; i++) {
		g_autofree char *text = g_strdup(valid_config);
		json_t *document;
		int error = 0;

		for (int k = g_rand_int_range(random, 1, 5); k > 0; k--)
			text[g_rand_int_range(random, 0,
					      sizeof(valid_config) - 1)] =
				(char)g_rand_int_range(random, 32, 127);
		document = cs_json_parse(text, strlen(text), NULL);
		if (document)
			route_table_unref(
				platform_decode_table(document, &error, NULL));
		json_decref(document);
	}
	g_rand_free(random);
}
END_TEST

/* ---- the store ---- */

struct store_reply {
	char *lines; /* header lines, or NULL */
	char *text; /* status, a space, the body */
};

struct store_fixture {
	struct net net;
	struct http1_server_limits limits;
	struct http1_server *server; /* simulates the platform's store */
	struct platform_store *store;
	struct cs_counters *counters;
	GString *calls; /* request targets, each followed by a newline */
	/* Reported changes: "+key ", "-key " for a removal, or the encoded
	 * table and the key. */
	GString *changes;
	GQueue replies; /* struct store_reply */
	struct http1_exchange *waiting; /* the call without a reply, or NULL */
	guint answers; /* valid answers */
	guint failures;
};

static void free_reply(void *data)
{
	struct store_reply *reply = data;

	g_free(reply->lines);
	g_free(reply->text);
	g_free(reply);
}

static void reply_next(struct store_fixture *fixture,
		       struct http1_exchange *exchange)
{
	struct store_reply *next = g_queue_pop_head(&fixture->replies);
	struct http1_reply reply = {0};

	fixture->waiting = next ? NULL : exchange;
	if (!next)
		return;
	reply.status = (guint)strtoul(next->text, NULL, 10);
	reply.header_lines = next->lines;
	reply.body = next->text + 4;
	reply.body_length = strlen(next->text + 4);
	http1_exchange_reply(exchange, &reply);
	free_reply(next);
}

static void on_call(struct http1_exchange *exchange,
		    const struct http1_message *request, void *user)
{
	struct store_fixture *fixture = user;

	g_string_append_printf(fixture->calls, "%s\n", request->target->str);
	reply_next(fixture, exchange);
}

static void on_call_closed(struct http1_exchange *exchange, void *user)
{
	((struct store_fixture *)user)->waiting = NULL;
}

static bool on_changed(const struct platform_item *item, void *user)
{
	struct store_fixture *fixture = user;

	g_string_append_printf(fixture->changes, "%s%s ",
			       item->value	     ? "+"
			       : item->encoded_table ? item->encoded_table
						     : "-",
			       item->key);
	return true;
}

/* The encoded table of key "a" at revision 3. */
static const char *encoded_table(const char *key,
				 const struct forward_position *position,
				 void *user)
{
	return !strcmp(key, "a") && position->revision == 3 ? "T" : NULL;
}

static gint64 known_revision(const struct store_fixture *fixture)
{
	return platform_store_position(fixture->store).revision;
}

/* Return: the changes after a revision of the reader's history. */
static json_t *export_after(const struct store_fixture *fixture,
			    gint64 revision)
{
	struct forward_position after = platform_store_position(fixture->store);

	after.revision = revision;
	return platform_store_export(fixture->store, &after);
}

static void on_batch_done(void *user)
{
}

static void on_answered(void *user)
{
	((struct store_fixture *)user)->answers++;
}

static void on_failed(void *user)
{
	((struct store_fixture *)user)->failures++;
}

static void queue_reply_with(struct store_fixture *fixture, const char *lines,
			     const char *text)
{
	struct store_reply *reply = g_new0(struct store_reply, 1);

	reply->lines = g_strdup(lines);
	reply->text = g_strdup(text);
	g_queue_push_tail(&fixture->replies, reply);
	if (fixture->waiting)
		reply_next(fixture, fixture->waiting);
}

static void queue_reply(struct store_fixture *fixture, const char *reply)
{
	queue_reply_with(fixture, NULL, reply);
}

static void fixture_open(struct store_fixture *fixture)
{
	struct http1_server_hooks hooks = {on_call, on_call_closed, NULL,
					   fixture};
	struct platform_store_hooks store_hooks = {on_changed,	  encoded_table,
						   on_batch_done, on_answered,
						   on_failed,	  fixture};
	struct sockaddr_in address = net_address(40);

	memset(fixture, 0, sizeof(*fixture));
	fixture->net = net_create();
	fixture->limits.message.header_bytes = 4096;
	fixture->limits.request_timeout_us = fixture->limits.idle_timeout_us =
		60 * CS_US_PER_S;
	fixture->limits.connections_max = 10;
	fixture->calls = g_string_new(NULL);
	fixture->changes = g_string_new(NULL);
	g_queue_init(&fixture->replies);
	fixture->server = http1_server_create(fixture->net.loop, &address,
					      &fixture->limits, &hooks);
	fixture->counters = cs_counters_create();
	fixture->store = platform_store_create(fixture->net.loop, &address,
					       fixture->counters, &store_hooks);
}

static void fixture_close(struct store_fixture *fixture)
{
	platform_store_destroy(fixture->store);
	http1_server_destroy(fixture->server);
	cs_counters_destroy(fixture->counters);
	g_queue_clear_full(&fixture->replies, free_reply);
	g_string_free(fixture->calls, TRUE);
	g_string_free(fixture->changes, TRUE);
	net_destroy(&fixture->net);
}

#define ITEM(key, revision)                                                    \
	"{\"key\":\"" key "\",\"value\":\"e30=\",\"revision\":" #revision "}"
#define TOMBSTONE(key, revision)                                               \
	"{\"key\":\"" key "\",\"tombstone\":true,\"revision\":" #revision "}"
#define RANGE(items, at, more)                                                 \
	"200 {\"items\":[" items "],\"storeRevision\":" #at                    \
	",\"hasMore\":" more "}"
#define EVENTS(events, at)                                                     \
	"200 {\"events\":[" events "],\"storeRevision\":" #at "}"

/* Guards against a change being missed that is made between two pages of a
 * range: the watch starts at the revision of the first page. */
START_TEST(a_range_is_read_in_pages_and_watched_from_the_first)
{
	struct store_fixture fixture;

	fixture_open(&fixture);
	queue_reply(&fixture, RANGE(ITEM("a", 3), 10, "true"));
	queue_reply(&fixture, RANGE(ITEM("b", 12), 13, "false"));
	/* "b" is in the second page already; "a" was removed between the
	 * pages. */
	queue_reply(&fixture, EVENTS(ITEM("b", 12) "," TOMBSTONE("a", 11), 13));
	platform_store_set_direct_reading(fixture.store, true);
	net_run_until_idle(&fixture.net);
	ck_assert_str_eq(fixture.changes->str, "+a +b -a ");
	ck_assert_ptr_nonnull(
		strstr(fixture.calls->str, "kv-range?prefix=&after=a\n"));
	ck_assert_ptr_nonnull(strstr(fixture.calls->str,
				     "kv-watch?prefix=&after="
				     "10&"));
	ck_assert_int_eq(known_revision(&fixture), 13);
	/* After changes the next watch is delayed by 250 ms, because changes
	 * come in groups. */
	net_advance(&fixture.net, 300);
	ck_assert_ptr_nonnull(strstr(fixture.calls->str, "after=13&"));
	fixture_close(&fixture);
}
END_TEST

/* Guards against a change being missed if the second page of a range shows an
 * older state than the first: the watch starts at the lower revision. */
START_TEST(the_watch_starts_at_the_oldest_page)
{
	struct store_fixture fixture;

	fixture_open(&fixture);
	queue_reply(&fixture, RANGE(ITEM("a", 3), 10, "true"));
	queue_reply(&fixture, RANGE(ITEM("b", 4), 8, "false"));
	queue_reply(&fixture, EVENTS(ITEM("b", 9), 10));
	platform_store_set_direct_reading(fixture.store, true);
	net_run_until_idle(&fixture.net);
	ck_assert_str_eq(fixture.changes->str, "+a +b +b ");
	ck_assert_ptr_nonnull(strstr(fixture.calls->str,
				     "kv-watch?prefix=&after="
				     "8&"));
	fixture_close(&fixture);
}
END_TEST

/* Guards against a removed key that stays listed: its removal is in the history
 * that the store no longer has (status 410). */
START_TEST(after_a_410_a_fresh_range_removes_absent_keys)
{
	struct store_fixture fixture;

	fixture_open(&fixture);
	queue_reply(&fixture,
		    RANGE(ITEM("a", 3) "," ITEM("b", 4), 10, "false"));
	queue_reply(&fixture, "410 ");
	queue_reply(&fixture,
		    RANGE(ITEM("b", 4) "," ITEM("c", 20), 21, "false"));
	platform_store_set_direct_reading(fixture.store, true);
	net_run_until_idle(&fixture.net);
	ck_assert_str_eq(fixture.changes->str, "+a +b +c -a ");
	/* A stale range could lack changes of the dropped history. */
	ck_assert_ptr_null(strstr(fixture.calls->str, "staleOk"));
	fixture_close(&fixture);
}
END_TEST

/* Guards against a replica that left, or a route that was removed, being used
 * again after a restart: a stale range can be older than what was in use. */
START_TEST(a_restarted_daemon_reads_no_stale_range)
{
	struct store_fixture fixture;

	fixture_open(&fixture);
	queue_reply(&fixture, RANGE(ITEM("a", 3), 10, "true"));
	queue_reply(&fixture, RANGE(ITEM("b", 12), 13, "false"));
	platform_store_set_direct_reading(fixture.store, true);
	net_run_until_idle(&fixture.net);
	ck_assert_ptr_nonnull(strstr(fixture.calls->str, "kv-range?"));
	ck_assert_ptr_null(strstr(fixture.calls->str, "staleOk"));
	ck_assert_uint_eq(fixture.answers, 1);
	fixture_close(&fixture);
}
END_TEST

/* Guards against a daemon that stops reading the store after a failed call.
 * Each failure is counted as an error and followed by another call, on a
 * working connection. */
START_TEST(a_failed_call_is_retried)
{
	static const char *const failures[] = {
		"503 ",
		"429 ",
		"500 ",
		"200 nonsense",
		"200 {\"items\":7}",
		"200 {\"items\":[{\"key\":1}],\"storeRevision\":\"3\"}",
		"200 {\"items\":[{\"key\":1}]}",
		"200 {\"items\":{\"key\":1},\"storeRevision\":3}",
		NULL, /* no answer */
	};

	for (gsize i = 0; i < G_N_ELEMENTS(failures); i++) {
		struct store_fixture fixture;

		fixture_open(&fixture);
		if (failures[i])
			queue_reply(&fixture, failures[i]);
		platform_store_set_direct_reading(fixture.store, true);
		net_run_until_idle(&fixture.net);
		ck_assert_uint_eq(fixture.answers, 0);
		net_advance(&fixture.net, 1500);
		ck_assert_msg(fixture.failures, "case %zu", i);
		queue_reply(&fixture, RANGE(ITEM("a", 3), 10, "false"));
		net_advance(&fixture.net, 1500);
		ck_assert_msg(!strcmp(fixture.changes->str, "+a "), "case %zu",
			      i);
		ck_assert_uint_ge(
			cs_counters_get(fixture.counters, CS_N_PLATFORM_ERRORS),
			1);
		fixture_close(&fixture);
	}
}
END_TEST

#define PAGE(items) "{\"items\":[" items "],\"storeRevision\":10}"

/* Guards against routes, replicas or a return of the store that are read from a
 * broken answer. */
START_TEST(a_broken_answer_of_the_store_changes_nothing)
{
	for (gsize i = 0; i < answers_broken.n; i++) {
		const char *template = answers_broken.templates[i];
		g_autofree char *broken = answers_print(
			template, "Store-Era: 7\r\n", PAGE(ITEM("a", 3)));
		g_autofree char *sound =
			answers_print(answers_sound.templates[0],
				      "Store-Era: 7\r\n", PAGE(ITEM("b", 3)));
		struct store_fixture fixture;
		struct net_server *server;

		fixture_open(&fixture);
		g_clear_pointer(&fixture.server, http1_server_destroy);
		server = net_server_create(&fixture.net, 40, broken, true);
		platform_store_set_direct_reading(fixture.store, true);
		net_run_until_idle(&fixture.net);
		ck_assert_uint_eq(server->requests, 1);
		ck_assert_msg(!fixture.changes->len, "%s: %s", template,
			      fixture.changes->str);
		ck_assert_uint_eq(fixture.answers, 0);
		ck_assert_uint_eq(known_revision(&fixture), 0);
		ck_assert_uint_eq(fixture.failures, 1);
		server->reply = sound;
		net_advance(&fixture.net, 1500);
		ck_assert_msg(!strcmp(fixture.changes->str, "+b "), "%s: %s",
			      template, fixture.changes->str);
		net_server_destroy(server);
		fixture_close(&fixture);
	}
}
END_TEST

/* Guards against a change that is not seen in time because the connection of
 * the watch is dead: the watch gets no answer and is aborted. */
START_TEST(an_unanswered_watch_is_aborted_within_3_s)
{
	struct store_fixture fixture;
	gsize calls;

	fixture_open(&fixture);
	queue_reply(&fixture, RANGE(ITEM("a", 3), 10, "false"));
	platform_store_set_direct_reading(fixture.store, true);
	net_run_until_idle(&fixture.net);
	calls = fixture.calls->len;
	/* A change must be in force in all daemons within 3 s. */
	net_advance(&fixture.net, 2600);
	ck_assert_uint_gt(fixture.calls->len, calls);
	fixture_close(&fixture);
}
END_TEST

static struct platform_page *decode_export(json_t *document)
{
	struct platform_page *page = platform_decode_page(document, NULL);

	json_decref(document);
	ck_assert_ptr_nonnull(page);
	return page;
}

/* Guards against an older state of a peer replacing a newer one. An export
 * holds the changes after a revision, or all keys for revision 0. */
START_TEST(only_newer_pages_of_a_peer_are_applied)
{
	struct store_fixture fixture;
	struct platform_page *page;

	fixture_open(&fixture);
	queue_reply(&fixture,
		    RANGE(ITEM("a", 3) "," ITEM("b", 4), 10, "false"));
	queue_reply(&fixture, EVENTS(TOMBSTONE("a", 12), 12));
	platform_store_set_direct_reading(fixture.store, true);
	net_run_until_idle(&fixture.net);
	page = decode_export(export_after(&fixture, 10));
	ck_assert(!page->is_range);
	ck_assert_uint_eq(page->items->len, 1);
	platform_page_destroy(page);
	page = decode_export(export_after(&fixture, 0));
	ck_assert(page->is_range);
	ck_assert_uint_eq(page->items->len, 1);
	/* The same page again, and an older one, change nothing. */
	g_string_truncate(fixture.changes, 0);
	platform_store_apply(fixture.store, page);
	page->revision = 5;
	platform_store_apply(fixture.store, page);
	ck_assert_str_eq(fixture.changes->str, "");
	ck_assert_int_eq(known_revision(&fixture), 12);
	/* A newer range without "b" removes it. */
	page->revision = 20;
	g_ptr_array_set_size(page->items, 0);
	platform_store_apply(fixture.store, page);
	ck_assert_str_eq(fixture.changes->str, "-b ");
	ck_assert_int_eq(known_revision(&fixture), 20);
	platform_page_destroy(page);
	fixture_close(&fixture);
}
END_TEST

/* Guards against a daemon losing the encoded table that it received from a
 * peer: it exports the table to its own followers and knows that the key
 * exists. */
START_TEST(an_encoded_table_is_exported_in_place_of_the_value)
{
	struct store_fixture fixture;
	struct platform_page *page;

	fixture_open(&fixture);
	queue_reply(&fixture,
		    RANGE(ITEM("a", 3) "," ITEM("b", 4), 10, "false"));
	platform_store_set_direct_reading(fixture.store, true);
	net_run_until_idle(&fixture.net);
	page = decode_export(export_after(&fixture, 0));
	fixture_close(&fixture);
	/* A daemon that follows applies it and exports it as well. */
	fixture_open(&fixture);
	platform_store_apply(fixture.store, page);
	platform_page_destroy(page);
	ck_assert_ptr_nonnull(strstr(fixture.changes->str, "Ta "));
	ck_assert_ptr_nonnull(strstr(fixture.changes->str, "+b "));
	g_string_truncate(fixture.changes, 0);
	page = decode_export(export_after(&fixture, 0));
	ck_assert_uint_eq(page->items->len, 2);
	/* The key is known, so a range without it removes it. */
	page->revision = 20;
	g_ptr_array_set_size(page->items, 0);
	platform_store_apply(fixture.store, page);
	ck_assert_ptr_nonnull(strstr(fixture.changes->str, "-a "));
	platform_page_destroy(page);
	fixture_close(&fixture);
}
END_TEST

/* Guards against unbounded memory for removed keys, and against a daemon that
 * keeps a removed key because the tombstone was dropped. */
START_TEST(tombstones_are_dropped_over_the_limit)
{
	struct store_fixture fixture;
	struct platform_page *page;
	g_autoptr(GString) events = g_string_new("200 {\"events\":[");
	const int n = 5000;

	fixture_open(&fixture);
	queue_reply(&fixture, RANGE(ITEM("a", 3), 10, "false"));
	for (int i = 0; i < n; i++)
		g_string_append_printf(events,
				       "%s{\"key\":\"k%d\",\"tombstone\":true,"
				       "\"revision\":%d}",
				       i ? "," : "", i, 11 + i);
	g_string_append_printf(events, "],\"storeRevision\":%d}", 11 + n);
	queue_reply(&fixture, events->str);
	platform_store_set_direct_reading(fixture.store, true);
	net_run_until_idle(&fixture.net);
	/* Changes since an earlier revision are exported as all keys. */
	page = decode_export(export_after(&fixture, 10));
	ck_assert(page->is_range);
	ck_assert_uint_eq(page->items->len, 1);
	platform_page_destroy(page);
	page = decode_export(export_after(&fixture, 11 + n));
	ck_assert(!page->is_range);
	ck_assert_uint_eq(page->items->len, 0);
	platform_page_destroy(page);
	fixture_close(&fixture);
}
END_TEST

#define ERA(n) "Store-Era: " #n "\r\n"

/* Guards against a change being dropped after the store came back from an older
 * copy: its revision had been given to a change that is lost. */
START_TEST(a_change_with_a_revision_of_a_lost_change_is_applied)
{
	struct store_fixture fixture;

	fixture_open(&fixture);
	queue_reply_with(&fixture, ERA(1),
			 RANGE(ITEM("a", 63) "," ITEM("b", 5), 64, "false"));
	queue_reply_with(&fixture, ERA(2), "410 ");
	queue_reply_with(&fixture, ERA(2),
			 RANGE(ITEM("a", 40) "," ITEM("b", 5), 40, "false"));
	platform_store_set_direct_reading(fixture.store, true);
	net_run_until_idle(&fixture.net);
	g_string_truncate(fixture.changes, 0);
	queue_reply_with(&fixture, ERA(2),
			 EVENTS(ITEM("a", 63) "," TOMBSTONE("b", 64), 64));
	net_run_until_idle(&fixture.net);
	ck_assert_str_eq(fixture.changes->str, "+a -b ");
	fixture_close(&fixture);
}
END_TEST

/* Guards against what differs being missed when the store's new history has
 * passed the revision that the watch waits for: there is no 410 then. */
START_TEST(another_history_is_noticed_without_a_410)
{
	struct store_fixture fixture;

	fixture_open(&fixture);
	queue_reply_with(&fixture, ERA(1),
			 RANGE(ITEM("a", 3) "," ITEM("b", 4), 10, "false"));
	queue_reply_with(&fixture, ERA(2), EVENTS(ITEM("c", 12), 12));
	queue_reply_with(&fixture, ERA(2),
			 RANGE(ITEM("b", 9) "," ITEM("c", 12), 12, "false"));
	platform_store_set_direct_reading(fixture.store, true);
	net_run_until_idle(&fixture.net);
	ck_assert_str_eq(fixture.changes->str, "+a +b +b +c -a ");
	ck_assert_int_eq(platform_store_position(fixture.store).history, 4);
	fixture_close(&fixture);
}
END_TEST

/* Guards against a view that mixes two histories: the store came back from an
 * older copy between two pages of a range. */
START_TEST(a_range_that_spans_two_histories_is_read_again)
{
	struct store_fixture fixture;

	fixture_open(&fixture);
	queue_reply_with(&fixture, ERA(1), RANGE(ITEM("a", 3), 10, "true"));
	queue_reply_with(&fixture, ERA(2), RANGE(ITEM("c", 2), 5, "false"));
	queue_reply_with(&fixture, ERA(2), RANGE(ITEM("b", 2), 5, "true"));
	queue_reply_with(&fixture, ERA(2), RANGE(ITEM("c", 2), 5, "false"));
	platform_store_set_direct_reading(fixture.store, true);
	net_run_until_idle(&fixture.net);
	ck_assert_str_eq(fixture.changes->str, "+a +b +c -a ");
	ck_assert_uint_eq(fixture.answers, 1);
	fixture_close(&fixture);
}
END_TEST

/* Guards against the lost history being taken up again, and against a header
 * that is no number voiding what is known. */
START_TEST(answers_of_an_earlier_history_are_dropped)
{
	static const struct {
		const char *lines;
		bool applied;
	} cases[] = {
		{ERA(7), true},
		{NULL, true}, /* a store that names no era */
		{ERA(6), false},
		{ERA(0), false},
		{ERA(-7), false},
		{ERA(+7), false},
		{ERA(7.0), false},
		{ERA(7x), false},
		{"Store-Era:\r\n", false},
		{ERA(9999999999999999999999), false},
		{ERA(7) ERA(7), false},
		{ERA(7) ERA(8), false},
	};

	for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct store_fixture fixture;
		bool applied;

		fixture_open(&fixture);
		queue_reply_with(&fixture, ERA(7),
				 RANGE(ITEM("a", 3), 10, "false"));
		queue_reply_with(&fixture, cases[i].lines,
				 EVENTS(ITEM("b", 30), 30));
		platform_store_set_direct_reading(fixture.store, true);
		net_run_until_idle(&fixture.net);
		applied = known_revision(&fixture) == 30;
		ck_assert_msg(applied == cases[i].applied, "case %zu", i);
		ck_assert_msg(fixture.answers == 1 + (guint)applied, "case %zu",
			      i);
		ck_assert_int_eq(platform_store_position(fixture.store).history,
				 14);
		/* The reader goes on. */
		net_advance(&fixture.net, 700);
		queue_reply_with(&fixture, ERA(7), EVENTS(ITEM("c", 31), 31));
		net_run_until_idle(&fixture.net);
		ck_assert_msg(known_revision(&fixture) == 31, "case %zu", i);
		fixture_close(&fixture);
	}
}
END_TEST

/* Guards against a first view from an answer whose history cannot be read. */
START_TEST(a_first_answer_with_a_malformed_era_is_dropped)
{
	struct store_fixture fixture;

	fixture_open(&fixture);
	queue_reply_with(&fixture, ERA(x), RANGE(ITEM("a", 3), 10, "false"));
	platform_store_set_direct_reading(fixture.store, true);
	net_run_until_idle(&fixture.net);
	ck_assert_str_eq(fixture.changes->str, "");
	fixture_close(&fixture);
}
END_TEST

/* Guards against a daemon taking up the lost history from a peer, or keeping it
 * although a peer has the new one, whose revisions are lower. */
START_TEST(the_later_history_of_two_daemons_wins)
{
	static const struct {
		gint64 history;
		gint64 revision;
		bool usable;
		const char *changes;
	} cases[] = {
		{3, 90, false, ""},
		{0, 90, false, ""}, /* an older build names none */
		{4, 10, true, ""},
		{4, 11, true, "+b -a "},
		{5, 4, true, "+b -a "}, /* settled */
		{6, 4, true, "+b -a "},
	};

	for (gsize i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct store_fixture fixture;
		g_autofree char *text = g_strdup_printf(
			"{\"items\":[" ITEM(
				"b", 2) "],\"storeRevision\":%" G_GINT64_FORMAT
					",\"history\":%" G_GINT64_FORMAT "}",
			cases[i].revision, cases[i].history);
		struct platform_page *page;

		fixture_open(&fixture);
		queue_reply_with(&fixture, ERA(2),
				 RANGE(ITEM("a", 3), 10, "false"));
		platform_store_set_direct_reading(fixture.store, true);
		net_run_until_idle(&fixture.net);
		g_string_truncate(fixture.changes, 0);
		page = decode_export(cs_json_parse(text, strlen(text), NULL));
		ck_assert_msg(platform_store_apply(fixture.store, page) ==
				      cases[i].usable,
			      "case %zu", i);
		ck_assert_msg(!strcmp(fixture.changes->str, cases[i].changes),
			      "case %zu: %s", i, fixture.changes->str);
		platform_page_destroy(page);
		fixture_close(&fixture);
	}
}
END_TEST

/* Guards against a list that is not followed any more: one item that is not as
 * it should be rejected the whole page, and the same page came again. */
START_TEST(an_odd_item_leaves_the_others_of_its_page_in_force)
{
	static const char *const items[] = {
		"{}",
		"7",
		"null",
		"{\"value\":\"e30=\",\"revision\":9}",
		"{\"key\":\"odd\",\"value\":\"e30=\"}",
		"{\"key\":\"odd\",\"value\":\"e30=\",\"revision\":\"9\"}",
		"{\"key\":\"odd\",\"value\":\"e30=\",\"revision\":-9}",
		"{\"key\":\"odd\",\"value\":\"e30=\",\"revision\":9.5}",
		"{\"key\":7,\"value\":\"e30=\",\"revision\":9}",
		/* With a key and a revision it names nothing. */
		"{\"key\":\"odd\",\"revision\":9}",
		"{\"key\":\"odd\",\"value\":[],\"revision\":9}",
	};

	for (gsize i = 0; i < G_N_ELEMENTS(items); i++) {
		bool skipped = i < 9;
		g_autofree char *range = g_strdup_printf(
			"200 {\"items\":[" ITEM("a", 3) ",%s," ITEM(
				"b",
				4) "],\"storeRevision\":10,\"hasMore\":false}",
			items[i]);
		g_autofree char *watch = g_strdup_printf(
			"200 {\"events\":[" ITEM("c", 11) ",%s," ITEM(
				"d", 12) "],\"storeRevision\":12}",
			items[i]);
		g_autofree char *peer = g_strdup_printf(
			"{\"events\":[%s," ITEM("e",
						14) "],\"storeRevision\":14}",
			items[i]);
		struct platform_page *page;
		struct store_fixture fixture;
		json_t *document;

		fixture_open(&fixture);
		queue_reply(&fixture, range);
		queue_reply(&fixture, watch);
		platform_store_set_direct_reading(fixture.store, true);
		net_run_until_idle(&fixture.net);
		ck_assert_msg(known_revision(&fixture) == 12, "case %zu", i);
		document = cs_json_parse(peer, strlen(peer), NULL);
		page = platform_decode_page(document, NULL);
		ck_assert_msg(page != NULL, "case %zu", i);
		platform_store_apply(fixture.store, page);
		ck_assert_str_eq(fixture.changes->str,
				 skipped ? "+a +b +c +d +e "
					 : "+a +odd +b +c +d +e ");
		ck_assert_uint_eq(
			cs_counters_get(fixture.counters, CS_N_LIST_INVALID),
			skipped ? 3 : 0);
		ck_assert_uint_eq(
			cs_counters_get(fixture.counters, CS_N_PLATFORM_ERRORS),
			0);
		platform_page_destroy(page);
		json_decref(document);
		fixture_close(&fixture);
	}
}
END_TEST

UNIT_MAIN("platform", an_odd_item_leaves_the_others_of_its_page_in_force,
	  a_restarted_daemon_reads_no_stale_range,
	  both_decoders_take_the_same_routes,
	  a_configuration_is_decoded_into_routes,
	  an_invalid_configuration_is_rejected_with_a_cause,
	  an_invalid_registration_is_rejected, keys_are_classified,
	  malformed_configurations_do_not_crash_the_decoder,
	  a_range_is_read_in_pages_and_watched_from_the_first,
	  the_watch_starts_at_the_oldest_page,
	  after_a_410_a_fresh_range_removes_absent_keys,
	  a_failed_call_is_retried,
	  a_broken_answer_of_the_store_changes_nothing,
	  an_unanswered_watch_is_aborted_within_3_s,
	  only_newer_pages_of_a_peer_are_applied,
	  an_encoded_table_is_exported_in_place_of_the_value,
	  tombstones_are_dropped_over_the_limit,
	  a_change_with_a_revision_of_a_lost_change_is_applied,
	  another_history_is_noticed_without_a_410,
	  a_range_that_spans_two_histories_is_read_again,
	  answers_of_an_earlier_history_are_dropped,
	  a_first_answer_with_a_malformed_era_is_dropped,
	  the_later_history_of_two_daemons_wins)
