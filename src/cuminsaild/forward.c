/* The forwarding mode of the daemon: settings, signals and the main loop. */
#include "forward.h"
#include "signals.h"

#include "cuminsail/error.h"
#include "cuminsail/forward.h"
#include "cuminsail/log.h"
#include "platform_adapter.h"

#include <glib-unix.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define EXIT_SETTINGS 2 /* invalid or unreadable settings */

/* Interval at which the settings file is read again, because it can change
 * without a SIGHUP. */
#define SETTINGS_CHECK_INTERVAL_US (2 * CS_US_PER_S)

struct forwarder {
	bool stopped;
	struct cs_clock *clock;
	struct forward_engine *engine;
	const char *path; /* of the settings file */
	char *text; /* of the settings file when last read, valid or not */
	struct forward_settings *settings; /* in use */
	struct cs_timer settings_timer;
};

/* Return: the content of the file, or NULL after a log line. */
static char *read_file(const char *path)
{
	g_autoptr(GError) error = NULL;
	char *text = NULL;

	if (g_file_get_contents(path, &text, NULL, &error))
		return text;
	cs_log(LOG_ERR, "settings-refused", "file", path, "reason",
	       cs_error_name(CS_E_IO), "why", error->message, NULL);
	return NULL;
}

/* Return: new settings, or NULL after a log line. */
static struct forward_settings *parse_settings(const char *path,
					       const char *text)
{
	g_autofree char *why = NULL;
	int code = 0;
	struct forward_settings *settings =
		forward_settings_create(text, &code, &why);

	if (!settings)
		cs_log(LOG_ERR, "settings-refused", "file", path, "reason",
		       cs_error_name(code), "why", why, NULL);
	return settings;
}

/* Applies the settings file if its content has changed. If it cannot be read or
 * is invalid, the settings in use stay. */
static void reload_settings(struct forwarder *forwarder)
{
	char *text = read_file(forwarder->path);
	struct forward_settings *settings;

	if (!text || !strcmp(text, forwarder->text)) {
		g_free(text);
		return;
	}
	g_free(forwarder->text);
	forwarder->text = text;
	settings = parse_settings(forwarder->path, text);
	if (!settings)
		return;
	forward_engine_reload(forwarder->engine, settings);
	forward_settings_destroy(forwarder->settings);
	forwarder->settings = settings;
}

static void on_settings_timer(struct cs_timer *timer)
{
	struct forwarder *forwarder =
		(struct forwarder *)((char *)timer - offsetof(struct forwarder,
							      settings_timer));

	reload_settings(forwarder);
	cs_timer_arm(forwarder->clock, timer,
		     cs_clock_now(forwarder->clock) +
			     SETTINGS_CHECK_INTERVAL_US);
}

static gboolean on_terminate(gpointer user)
{
	struct forwarder *forwarder = user;

	forward_engine_stop(forwarder->engine);
	return G_SOURCE_CONTINUE;
}

static gboolean on_hangup(gpointer user)
{
	cs_log(LOG_NOTICE, "hangup", NULL);
	reload_settings(user);
	return G_SOURCE_CONTINUE;
}

static void on_stopped(void *user)
{
	struct forwarder *forwarder = user;

	forwarder->stopped = true;
}

static int serve(struct forwarder *forwarder, struct http1_loop *loop)
{
	struct platform_feed *feed;
	guint signals[3];

	forwarder->engine =
		forward_engine_create(loop, forwarder->settings,
				      &platform_dialect, on_stopped, forwarder);
	if (!forwarder->engine)
		return EXIT_FAILURE;
	feed = platform_feed_create(loop, &forwarder->settings->platform,
				    forwarder->engine);
	signals[0] = g_unix_signal_add(SIGTERM, on_terminate, forwarder);
	signals[1] = g_unix_signal_add(SIGINT, on_terminate, forwarder);
	signals[2] = g_unix_signal_add(SIGHUP, on_hangup, forwarder);
	forwarder->settings_timer.fire = on_settings_timer;
	on_settings_timer(&forwarder->settings_timer);
	signals_hold(false);
	while (!forwarder->stopped)
		http1_loop_iterate(loop, true);
	signals_hold(true);
	cs_timer_disarm(forwarder->clock, &forwarder->settings_timer);
	for (gsize i = 0; i < G_N_ELEMENTS(signals); i++)
		g_source_remove(signals[i]);
	/* The engine calls the feed, its source of routes and replicas, until
	 * it is destroyed. */
	forward_engine_destroy(forwarder->engine);
	platform_feed_destroy(feed);
	return EXIT_SUCCESS;
}

static int run(struct forwarder *forwarder)
{
	struct http1_loop *loop;
	int status = EXIT_FAILURE;

	forwarder->clock = cs_clock_create();
	cs_log_start(STDOUT_FILENO, forwarder->clock);
	loop = http1_loop_create(forwarder->clock);
	if (loop)
		status = serve(forwarder, loop);
	http1_loop_destroy(loop);
	cs_log_start(STDOUT_FILENO, NULL);
	cs_clock_destroy(forwarder->clock);
	return status;
}

int forward_run(const char *path, bool check)
{
	struct forwarder forwarder = {.path = path, .text = read_file(path)};
	int status = EXIT_SETTINGS;

	if (forwarder.text)
		forwarder.settings = parse_settings(path, forwarder.text);
	if (forwarder.settings && check) {
		puts("settings are good");
		status = EXIT_SUCCESS;
	} else if (forwarder.settings) {
		status = run(&forwarder);
	}
	forward_settings_destroy(forwarder.settings);
	g_free(forwarder.text);
	return status;
}
