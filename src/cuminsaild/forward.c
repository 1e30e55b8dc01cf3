#include "forward.h"

#include "cuminsail/error.h"
#include "cuminsail/forward.h"
#include "cuminsail/log.h"
#include "platform_adapter.h"

#include <glib-unix.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#define EXIT_SETTINGS 2

struct forwarder {
	GMainLoop *main;
	struct forward_engine *engine;
};

static struct forward_settings *read_settings(const char *path)
{
	g_autofree char *text = NULL;
	g_autofree char *why = NULL;
	g_autoptr(GError) error = NULL;
	struct forward_settings *settings = NULL;
	int code = CS_E_IO;

	if (g_file_get_contents(path, &text, NULL, &error))
		settings = forward_settings_create(text, &code, &why);
	if (!settings)
		cs_log(LOG_ERR, "settings-refused", "file", path, "reason",
		       cs_error_name(code), "why", error ? error->message : why,
		       NULL);
	return settings;
}

static gboolean on_term(gpointer user)
{
	struct forwarder *forwarder = user;

	forward_engine_stop(forwarder->engine);
	return G_SOURCE_CONTINUE;
}

static gboolean on_hup(gpointer user)
{
	cs_log(LOG_NOTICE, "reload", NULL);
	return G_SOURCE_CONTINUE;
}

static void on_stopped(void *user)
{
	struct forwarder *forwarder = user;

	g_main_loop_quit(forwarder->main);
}

static int serve(struct http1_loop *loop,
		 const struct forward_settings *settings)
{
	struct forwarder forwarder = {.main = g_main_loop_new(NULL, FALSE)};
	struct platform_feed *feed;
	guint signals[3];

	forwarder.engine = forward_engine_create(
		loop, settings, &platform_dialect, on_stopped, &forwarder);
	if (!forwarder.engine) {
		g_main_loop_unref(forwarder.main);
		return EXIT_FAILURE;
	}
	feed = platform_feed_create(loop, &settings->platform,
				    forwarder.engine);
	signals[0] = g_unix_signal_add(SIGTERM, on_term, &forwarder);
	signals[1] = g_unix_signal_add(SIGINT, on_term, &forwarder);
	signals[2] = g_unix_signal_add(SIGHUP, on_hup, &forwarder);
	g_main_loop_run(forwarder.main);
	for (gsize i = 0; i < G_N_ELEMENTS(signals); i++)
		g_source_remove(signals[i]);
	platform_feed_destroy(feed);
	forward_engine_destroy(forwarder.engine);
	g_main_loop_unref(forwarder.main);
	return EXIT_SUCCESS;
}

int forward_run(const char *path, bool check)
{
	struct forward_settings *settings = read_settings(path);
	struct cs_clock *clock;
	struct http1_loop *loop;
	int status = EXIT_SUCCESS;

	if (!settings)
		return EXIT_SETTINGS;
	if (check) {
		puts("settings are good");
		forward_settings_destroy(settings);
		return EXIT_SUCCESS;
	}
	clock = cs_clock_create();
	cs_log_start(STDOUT_FILENO, clock);
	loop = http1_loop_create(clock);
	if (loop)
		status = serve(loop, settings);
	else
		status = EXIT_FAILURE;
	http1_loop_destroy(loop);
	cs_log_start(STDOUT_FILENO, NULL);
	cs_clock_destroy(clock);
	forward_settings_destroy(settings);
	return status;
}
