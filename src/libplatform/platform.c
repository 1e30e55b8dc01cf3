/* Watching the platform over HTTP, or a directory in standalone mode. */
#include "cuminsail/platform.h"

#include "cuminsail/error.h"
#include "cuminsail/log.h"

#include <string.h>
#include <sys/stat.h>

/* How long a watch may wait at the platform, unless the owner sets less. */
#define WAIT_MS 1000

/* Grace over the wait before a call is given up. */
#define GRACE_MS 1000

/* Pause after a call that failed: this, up to twice this by chance. */
#define RETRY_MS 300

/* Pause after a document that was refused: it would come again at once. */
#define REFUSED_MS 2000

/* Pause between looks at a directory. */
#define LOOK_MS 500

/* JSON escaping may double a document's size on the wire. */
#define HEAD_MAX 65536
#define BODY_MAX (2 * CONFIG_DOCUMENT_MAX + 65536)

enum watch_kind {
	WATCH_CONFIG,
	WATCH_LIST,
};

/* One of the two documents, and the call that waits for it. */
struct watch {
	struct cs_timer timer; /* gives a call up, or begins the next */
	struct platform *platform;
	enum watch_kind kind;
	gint64 revision;
	gint64 wait_ms;
	gint64 asked_us;
	struct http1_call *call; /* the connection, if there is one */
	bool asking;
};

struct platform {
	struct http1_loop *loop;
	struct cs_clock *clock;
	const struct settings *settings;
	struct cs_counters *counters;
	struct platform_hooks hooks;
	struct sockaddr_in at;
	struct http1_limits limits;
	struct watch config;
	struct watch list;
};

static void plan(struct watch *watch, gint64 delay_ms)
{
	struct cs_clock *clock = watch->platform->clock;

	cs_timer_arm(clock, &watch->timer,
		     cs_clock_now(clock) + delay_ms * CS_US_PER_MS);
}

static gint64 jitter(gint32 least_ms)
{
	return g_random_int_range(least_ms, 2 * least_ms);
}

static const char *kind_name(enum watch_kind kind)
{
	return kind == WATCH_CONFIG ? "config" : "list";
}

static void note_failure(struct watch *watch, const char *why)
{
	cs_counters_add(watch->platform->counters, CS_N_PLATFORM_ERRORS, 1);
	cs_log(LOG_WARNING, "platform-read-failed", "what",
	       kind_name(watch->kind), "why", why, NULL);
}

/* ---- taking what was read ---- */

static GPtrArray *read_files(json_t *object)
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

static bool take_config(struct watch *watch, json_t *document)
{
	const struct platform_hooks *hooks = &watch->platform->hooks;
	json_t *object = json_object_get(document, "files");
	json_t *revision = json_object_get(document, "revision");
	g_autoptr(GPtrArray) files = NULL;

	if (json_is_object(object) && json_is_integer(revision))
		files = read_files(object);
	if (files)
		return hooks->config(json_integer_value(revision), files,
				     hooks->user);
	note_failure(watch, "not a folder with a revision");
	return false;
}

static bool take(struct watch *watch, const char *text, gsize size)
{
	const struct platform_hooks *hooks = &watch->platform->hooks;
	g_autofree char *why = NULL;
	json_t *document = cs_json_parse(text, size, &why);
	bool taken = false;

	if (!document) {
		note_failure(watch, why);
		return false;
	}
	switch (watch->kind) {
	case WATCH_CONFIG:
		taken = take_config(watch, document);
		break;
	case WATCH_LIST:
		taken = hooks->list(document, watch->asked_us, hooks->user);
		break;
	}
	json_decref(document);
	return taken;
}

/* ---- the platform's calls ---- */

static void hang_up(struct watch *watch)
{
	watch->asking = false;
	if (watch->call)
		http1_call_close(watch->call);
	watch->call = NULL;
}

static void fail(struct watch *watch, const char *why)
{
	note_failure(watch, why);
	plan(watch, jitter(RETRY_MS));
}

static bool on_answer(struct http1_call *call,
		      const struct http1_message *answer, void *user)
{
	struct watch *watch = user;
	const struct platform_hooks *hooks = &watch->platform->hooks;

	watch->asking = false;
	if (!http1_call_idle(call))
		hang_up(watch);
	if (answer->status == 200) {
		bool taken = take(watch, (const char *)answer->body->data,
				  answer->body->len);

		plan(watch, taken ? 0 : jitter(REFUSED_MS));
	} else if (answer->status == 204) {
		if (watch->kind == WATCH_LIST)
			hooks->list_same(watch->asked_us, hooks->user);
		plan(watch, 0);
	} else {
		fail(watch, "bad status");
	}
	return true;
}

static void on_ended(struct http1_call *call, enum http1_failure why,
		     void *user)
{
	struct watch *watch = user;
	bool asking = watch->asking;

	watch->call = NULL;
	watch->asking = false;
	if (asking)
		fail(watch, why == HTTP1_NOT_CONNECTED ? "not connected"
						       : "connection lost");
}

static void on_connected(struct http1_call *call, void *user)
{
}

static void call_platform(struct watch *watch)
{
	struct platform *platform = watch->platform;
	struct http1_call_hooks hooks = {on_connected, on_answer, on_ended,
					 watch};
	GString *head;

	cs_counters_add(platform->counters, CS_N_PLATFORM_CALLS, 1);
	if (!watch->call)
		watch->call = http1_call_open(platform->loop, &platform->at,
					      &platform->limits, &hooks);
	if (!watch->call) {
		fail(watch, "no socket");
		return;
	}
	head = g_string_new(NULL);
	g_string_printf(head,
			"GET /v1/%s?after=%" G_GINT64_FORMAT
			"&wait_ms=%" G_GINT64_FORMAT " HTTP/1.1\r\n"
			"Host: platform\r\nUser-Agent: cuminsail\r\n\r\n",
			kind_name(watch->kind), watch->revision,
			watch->wait_ms);
	watch->asked_us = cs_clock_now(platform->clock);
	watch->asking = true;
	http1_call_send(watch->call, head, NULL, 0, false);
	g_string_free(head, TRUE);
	plan(watch, watch->wait_ms + GRACE_MS);
}

/* ---- the directory ---- */

static gint64 newest_change_us(const char *path)
{
	struct stat st;

	if (stat(path, &st) != 0)
		return 0;
	return (gint64)st.st_mtim.tv_sec * CS_US_PER_S +
	       st.st_mtim.tv_nsec / 1000;
}

static gint64 folder_revision(const char *folder, const GPtrArray *files)
{
	gint64 newest = newest_change_us(folder);

	for (guint i = 0; i < files->len; i++) {
		const struct config_file *file = files->pdata[i];
		g_autofree char *path =
			g_build_filename(folder, file->name, NULL);

		newest = MAX(newest, newest_change_us(path));
	}
	return newest;
}

static void look_at_folder(struct watch *watch)
{
	struct platform *platform = watch->platform;
	g_autofree char *folder =
		g_build_filename(platform->settings->directory, "config", NULL);
	g_autofree char *why = NULL;
	g_autoptr(GPtrArray) files = config_folder_read(folder, &why);
	gint64 revision;

	if (!files) {
		note_failure(watch, why);
		return;
	}
	revision = folder_revision(folder, files);
	if (revision > watch->revision)
		platform->hooks.config(revision, files, platform->hooks.user);
}

static void look_at_list(struct watch *watch)
{
	struct platform *platform = watch->platform;
	g_autofree char *path = g_build_filename(platform->settings->directory,
						 "list.json", NULL);
	g_autofree char *text = NULL;
	g_autoptr(GError) error = NULL;
	gsize length;

	watch->asked_us = cs_clock_now(platform->clock);
	if (!g_file_get_contents(path, &text, &length, &error)) {
		note_failure(watch, error->message);
		return;
	}
	take(watch, text, length);
}

static void look(struct watch *watch)
{
	switch (watch->kind) {
	case WATCH_CONFIG:
		look_at_folder(watch);
		break;
	case WATCH_LIST:
		look_at_list(watch);
		break;
	}
	plan(watch, LOOK_MS);
}

/* ---- the watcher ---- */

static void ask(struct watch *watch)
{
	if (watch->platform->settings->directory)
		look(watch);
	else
		call_platform(watch);
}

static void on_timer(struct cs_timer *timer)
{
	struct watch *watch = (struct watch *)timer;

	if (watch->asking) {
		hang_up(watch);
		fail(watch, "timeout");
	} else {
		ask(watch);
	}
}

static void init_watch(struct platform *platform, struct watch *watch,
		       enum watch_kind kind)
{
	watch->platform = platform;
	watch->kind = kind;
	watch->wait_ms = WAIT_MS;
	watch->timer.fire = on_timer;
	plan(watch, 0);
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
	/* Checked with the settings; a directory has no address. */
	if (!settings->directory)
		(void)settings_address_socket(&settings->platform,
					      &platform->at);
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
	hang_up(watch);
}

void platform_destroy(struct platform *platform)
{
	if (!platform)
		return;
	stop_watch(&platform->config);
	stop_watch(&platform->list);
	g_free(platform);
}
