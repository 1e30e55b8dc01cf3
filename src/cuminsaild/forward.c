#include "forward.h"

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

#define EXIT_SETTINGS 2

/* The settings can change without a signal. */
#define LOOK_AT_SETTINGS_US (2 * CS_US_PER_S)

struct forwarder {
	bool stopped;
	struct cs_clock *clock;
	struct forward_engine *engine;
	const char *path;
	char *text; /* of the settings in force */
	struct forward_settings *settings;
	struct cs_timer look;
};

/* Return: the text of the file, or NULL with a log line. */
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

static struct forward_settings *parse(const char *path, const char *text)
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

/* Takes up the file if it differs; what cannot be read changes nothing. */
static void look_at_settings(struct forwarder *forwarder)
{
	char *text = read_file(forwarder->path);
	struct forward_settings *settings;

	if (!text || !strcmp(text, forwarder->text)) {
		g_free(text);
		return;
	}
	g_free(forwarder->text);
	forwarder->text = text;
	settings = parse(forwarder->path, text);
	if (!settings)
		return;
	forward_engine_reload(forwarder->engine, settings);
	forward_settings_destroy(forwarder->settings);
	forwarder->settings = settings;
}

static void on_look(struct cs_timer *timer)
{
	struct forwarder *forwarder =
		(struct forwarder *)((char *)timer -
				     offsetof(struct forwarder, look));

	look_at_settings(forwarder);
	cs_timer_arm(forwarder->clock, timer,
		     cs_clock_now(forwarder->clock) + LOOK_AT_SETTINGS_US);
}

static gboolean on_term(gpointer user)
{
	struct forwarder *forwarder = user;

	forward_engine_stop(forwarder->engine);
	return G_SOURCE_CONTINUE;
}

static gboolean on_hup(gpointer user)
{
	cs_log(LOG_NOTICE, "hangup", NULL);
	look_at_settings(user);
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
	signals[0] = g_unix_signal_add(SIGTERM, on_term, forwarder);
	signals[1] = g_unix_signal_add(SIGINT, on_term, forwarder);
	signals[2] = g_unix_signal_add(SIGHUP, on_hup, forwarder);
	forwarder->look.fire = on_look;
	on_look(&forwarder->look);
	while (!forwarder->stopped)
		http1_loop_turn(loop, true);
	cs_timer_disarm(forwarder->clock, &forwarder->look);
	for (gsize i = 0; i < G_N_ELEMENTS(signals); i++)
		g_source_remove(signals[i]);
	/* The engine calls its source until it is gone. */
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
		forwarder.settings = parse(path, forwarder.text);
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
