/* Watches the platform over HTTP, or a directory in standalone mode. */
#include "cuminsail/platform.h"

#include "cuminsail/error.h"
#include "cuminsail/log.h"

#include <string.h>
#include <sys/stat.h>

/* Longest time that the platform holds a call open while nothing changes;
 * platform_set_list_wait() sets another one for the list. */
#define WATCH_WAIT_MS 1000

/* Longest time for an answer, added to the wait of the call. */
#define ANSWER_TIMEOUT_MS 1000

/* Shortest delay of the next call after a failed one; see jitter(). */
#define RETRY_DELAY_MS 300

/* Shortest delay of the next call after a refused document, which the platform
 * would send again at once. */
#define REFUSED_DELAY_MS 2000

/* Time between two reads of the directory. */
#define POLL_INTERVAL_MS 500

/* Size limits of an answer, in bytes. JSON escaping may double the size of a
 * document in the answer. */
#define HEAD_MAX 65536
#define BODY_MAX (2 * CONFIG_DOCUMENT_MAX + 65536)

enum watch_kind {
	WATCH_CONFIG,
	WATCH_LIST,
};

/* One of the two documents and the call that waits for its next revision. */
struct watch {
	struct cs_timer timer; /* timeout of the call, or start of the next */
	struct platform *platform;
	enum watch_kind kind;
	gint64 revision; /* in force; 0: none */
	gint64 wait_ms; /* longest time the platform holds the call */
	gint64 requested_us; /* when the last request or read started */
	struct http1_client *connection; /* NULL if closed */
	bool reused; /* the call in progress is not its connection's first */
	bool call_pending; /* a request was sent and is not answered yet */
};

struct platform {
	struct http1_loop *loop;
	struct cs_clock *clock;
	const struct settings *settings;
	struct cs_counters *counters;
	struct platform_hooks hooks;
	struct sockaddr_in address;
	struct http1_limits limits;
	struct watch config;
	struct watch list;
};

static void schedule(struct watch *watch, gint64 delay_ms)
{
	struct cs_clock *clock = watch->platform->clock;

	cs_timer_arm(clock, &watch->timer,
		     cs_clock_now(clock) + delay_ms * CS_US_PER_MS);
}

/* Returns a random delay from min_ms to less than 2 * min_ms. */
static gint64 jitter(gint32 min_ms)
{
	return g_random_int_range(min_ms, 2 * min_ms);
}

static const char *kind_name(enum watch_kind kind)
{
	return kind == WATCH_CONFIG ? "config" : "list";
}

static void report_failure(struct watch *watch, const char *why)
{
	cs_counters_add(watch->platform->counters, CS_N_PLATFORM_ERRORS, 1);
	cs_log(LOG_WARNING, "platform-read-failed", "what",
	       kind_name(watch->kind), "why", why, NULL);
}

/* ---- documents ---- */

static GPtrArray *decode_files(json_t *object)
{
	GPtrArray *files = g_ptr_array_new_with_free_func(
		(GDestroyNotify)config_file_destroy);
	const char *name;
	json_t *text;

	json_object_foreach (object, name, text) {
		if (!json_is_string(text)) {
			g_ptr_array_unref(files);
			return NULL;
		}
		g_ptr_array_add(files, config_file_create(
					       name, json_string_value(text)));
	}
	return files;
}

static bool apply_config(struct watch *watch, json_t *document)
{
	const struct platform_hooks *hooks = &watch->platform->hooks;
	json_t *object = json_object_get(document, "files");
	json_t *revision = json_object_get(document, "revision");
	g_autoptr(GPtrArray) files = NULL;

	if (json_is_object(object) && json_is_integer(revision))
		files = decode_files(object);
	if (files)
		return hooks->config(json_integer_value(revision), files,
				     hooks->user);
	report_failure(watch, "needs an object of strings \"files\" and an "
			      "integer \"revision\"");
	return false;
}

static bool apply_document(struct watch *watch, const char *text, gsize size)
{
	const struct platform_hooks *hooks = &watch->platform->hooks;
	g_autofree char *why = NULL;
	json_t *document = cs_json_parse(text, size, &why);
	bool accepted = false;

	if (!document) {
		report_failure(watch, why);
		return false;
	}
	switch (watch->kind) {
	case WATCH_CONFIG:
		accepted = apply_config(watch, document);
		break;
	case WATCH_LIST:
		accepted =
			hooks->list(document, watch->requested_us, hooks->user);
		break;
	}
	json_decref(document);
	return accepted;
}

/* ---- calls to the platform ---- */

static void close_connection(struct watch *watch)
{
	watch->call_pending = false;
	if (watch->connection)
		http1_client_close(watch->connection);
	watch->connection = NULL;
}

static void fail_call(struct watch *watch, const char *why)
{
	report_failure(watch, why);
	schedule(watch, jitter(RETRY_DELAY_MS));
}

static bool on_answer(struct http1_client *connection,
		      const struct http1_message *answer, void *user)
{
	struct watch *watch = user;
	const struct platform_hooks *hooks = &watch->platform->hooks;

	watch->call_pending = false;
	if (!http1_client_idle(connection))
		close_connection(watch);
	if (answer->status == 200) {
		bool accepted =
			apply_document(watch, (const char *)answer->body->data,
				       answer->body->len);

		schedule(watch, accepted ? 0 : jitter(REFUSED_DELAY_MS));
	} else if (answer->status == 204) {
		if (watch->kind == WATCH_LIST)
			hooks->list_unchanged(watch->requested_us, hooks->user);
		schedule(watch, 0);
	} else {
		fail_call(watch, "unexpected HTTP status");
	}
	return true;
}

static void on_closed(struct http1_client *connection,
		      enum http1_failure failure, void *user)
{
	struct watch *watch = user;
	bool was_pending = watch->call_pending;

	watch->connection = NULL;
	watch->call_pending = false;
	/* The platform may close a kept connection just as a call is sent. */
	if (was_pending && watch->reused && failure == HTTP1_CLOSED)
		schedule(watch, 0);
	else if (was_pending)
		fail_call(watch, failure == HTTP1_NOT_CONNECTED
					 ? "not connected"
					 : "connection lost");
}

static void on_connected(struct http1_client *connection, void *user)
{
}

static void call_platform(struct watch *watch)
{
	struct platform *platform = watch->platform;
	struct http1_client_hooks hooks = {on_connected, on_answer, on_closed,
					   watch};
	GString *head;

	cs_counters_add(platform->counters, CS_N_PLATFORM_CALLS, 1);
	watch->reused = watch->connection != NULL;
	if (!watch->connection)
		watch->connection =
			http1_client_open(platform->loop, &platform->address,
					  &platform->limits, &hooks);
	if (!watch->connection) {
		fail_call(watch, "no socket");
		return;
	}
	head = g_string_new(NULL);
	g_string_printf(head,
			"GET /v1/%s?after=%" G_GINT64_FORMAT
			"&wait_ms=%" G_GINT64_FORMAT " HTTP/1.1\r\n"
			"Host: platform\r\nUser-Agent: cuminsail\r\n\r\n",
			kind_name(watch->kind), watch->revision,
			watch->wait_ms);
	watch->requested_us = cs_clock_now(platform->clock);
	watch->call_pending = true;
	http1_client_send(watch->connection, head, NULL, 0, false);
	g_string_free(head, TRUE);
	schedule(watch, watch->wait_ms + ANSWER_TIMEOUT_MS);
}

/* ---- the directory ---- */

/* Returns when the file was last changed, or 0 if that cannot be read. */
static gint64 modified_us(const char *path)
{
	struct stat st;

	if (stat(path, &st) != 0)
		return 0;
	return (gint64)st.st_mtim.tv_sec * CS_US_PER_S +
	       st.st_mtim.tv_nsec / 1000;
}

/* Returns when the directory or one of its files was last changed, which is the
 * revision of the configuration in standalone mode. */
static gint64 directory_revision(const char *directory, const GPtrArray *files)
{
	gint64 newest = modified_us(directory);

	for (guint i = 0; i < files->len; i++) {
		const struct config_file *file = files->pdata[i];
		g_autofree char *path =
			g_build_filename(directory, file->name, NULL);

		newest = MAX(newest, modified_us(path));
	}
	return newest;
}

static void poll_config(struct watch *watch)
{
	struct platform *platform = watch->platform;
	g_autofree char *directory =
		g_build_filename(platform->settings->directory, "config", NULL);
	g_autofree char *why = NULL;
	g_autoptr(GPtrArray) files = config_directory_read(directory, &why);
	gint64 revision;

	if (!files) {
		report_failure(watch, why);
		return;
	}
	revision = directory_revision(directory, files);
	if (revision > watch->revision)
		platform->hooks.config(revision, files, platform->hooks.user);
}

static void poll_list(struct watch *watch)
{
	struct platform *platform = watch->platform;
	g_autofree char *path = g_build_filename(platform->settings->directory,
						 "list.json", NULL);
	g_autofree char *text = NULL;
	g_autoptr(GError) error = NULL;
	gsize length;

	watch->requested_us = cs_clock_now(platform->clock);
	if (!g_file_get_contents(path, &text, &length, &error)) {
		report_failure(watch, error->message);
		return;
	}
	apply_document(watch, text, length);
}

static void poll_directory(struct watch *watch)
{
	switch (watch->kind) {
	case WATCH_CONFIG:
		poll_config(watch);
		break;
	case WATCH_LIST:
		poll_list(watch);
		break;
	}
	schedule(watch, POLL_INTERVAL_MS);
}

/* ---- the watcher ---- */

static void start_read(struct watch *watch)
{
	if (watch->platform->settings->directory)
		poll_directory(watch);
	else
		call_platform(watch);
}

static void on_timer(struct cs_timer *timer)
{
	struct watch *watch = (struct watch *)timer;

	if (watch->call_pending) {
		close_connection(watch);
		fail_call(watch, "timeout");
	} else {
		start_read(watch);
	}
}

static void init_watch(struct platform *platform, struct watch *watch,
		       enum watch_kind kind)
{
	watch->platform = platform;
	watch->kind = kind;
	watch->wait_ms = WATCH_WAIT_MS;
	watch->timer.fire = on_timer;
	schedule(watch, 0);
}

struct platform *platform_create(struct http1_loop *loop,
				 const struct settings *settings,
				 struct cs_counters *counters,
				 const struct platform_hooks *hooks)
{
	struct platform *platform = g_new0(struct platform, 1);

	platform->loop = loop;
	platform->clock = http1_loop_clock(loop);
	platform->settings = settings;
	platform->counters = counters;
	platform->hooks = *hooks;
	platform->limits = (struct http1_limits){HEAD_MAX, BODY_MAX};
	/* Cannot fail: the address was validated with the settings. Standalone
	 * mode has no address. */
	if (!settings->directory)
		(void)settings_address_to_sockaddr(&settings->platform,
						   &platform->address);
	init_watch(platform, &platform->config, WATCH_CONFIG);
	init_watch(platform, &platform->list, WATCH_LIST);
	return platform;
}

void platform_set_revisions(struct platform *platform, gint64 config,
			    gint64 list)
{
	platform->config.revision = config;
	platform->list.revision = list;
}

void platform_set_list_wait(struct platform *platform, gint64 wait_ms)
{
	platform->list.wait_ms = wait_ms;
}

static void stop_watch(struct watch *watch)
{
	cs_timer_disarm(watch->platform->clock, &watch->timer);
	close_connection(watch);
}

void platform_destroy(struct platform *platform)
{
	if (!platform)
		return;
	stop_watch(&platform->config);
	stop_watch(&platform->list);
	g_free(platform);
}
