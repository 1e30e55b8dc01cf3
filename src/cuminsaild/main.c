/* cuminsaild: the daemon. Parses the command line and runs either the query and
 * order service or, with --forward, the forwarding mode. */
#include "cuminsail/config.h"
#include "cuminsail/engine.h"
#include "cuminsail/error.h"
#include "cuminsail/log.h"

#include "forward.h"
#include "signals.h"

#include <argp.h>
#include <glib-unix.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#define EXIT_SETTINGS 2 /* invalid or unreadable settings */

/* Larger buffers are mapped, so that they grow without a second copy and go
 * back to the system when they are freed. By default the C library raises this
 * size to that of the largest buffer freed, up to 32 MB. */
#define MAP_SIZE (128 * 1024)

const char *argp_program_version = "cuminsaild 0.1";

struct arguments {
	const char *settings;
	bool check;
	bool forward;
	int log_level;
};

static const struct argp_option options[] = {
	{"check", 'c', NULL, 0, "Check the settings and exit", 0},
	{"forward", 'f', NULL, 0,
	 "Forward HTTP requests by the routes of the platform", 0},
	{"log-level", 'l', "PRIORITY", 0,
	 "Log events up to this syslog priority, 0 to 7 (default 6)", 0},
	{0},
};

static error_t parse_option(int key, char *value, struct argp_state *state)
{
	struct arguments *arguments = state->input;
	char *end;

	switch (key) {
	case 'c':
		arguments->check = true;
		return 0;
	case 'f':
		arguments->forward = true;
		return 0;
	case 'l':
		arguments->log_level = (int)strtol(value, &end, 10);
		if (*end || arguments->log_level < 0 ||
		    arguments->log_level > LOG_DEBUG)
			argp_error(state, "--log-level takes 0 to 7");
		return 0;
	case ARGP_KEY_ARG:
		if (arguments->settings)
			argp_usage(state);
		arguments->settings = value;
		return 0;
	case ARGP_KEY_END:
		if (!arguments->settings)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	.options = options,
	.parser = parse_option,
	.args_doc = "SETTINGS",
	.doc = "Serve queries and orders over many shards.\v"
	       "SETTINGS is a JSON file; see cuminsaild(8). SIGTERM begins a "
	       "graceful shutdown, a second one stops the daemon immediately.",
};

static struct settings *read_settings(const char *path)
{
	g_autofree char *text = NULL;
	g_autofree char *why = NULL;
	g_autoptr(GError) error = NULL;
	struct settings *settings = NULL;
	int code = CS_E_IO;

	if (g_file_get_contents(path, &text, NULL, &error))
		settings = settings_create(text, &code, &why);
	if (!settings)
		cs_log(LOG_ERR, "settings-refused", "file", path, "reason",
		       cs_error_name(code), "why", error ? error->message : why,
		       NULL);
	return settings;
}

struct daemon {
	struct engine *engine;
	bool stopped;
};

static gboolean on_terminate(gpointer user)
{
	struct daemon *daemon = user;

	engine_stop(daemon->engine);
	return G_SOURCE_CONTINUE;
}

static void on_stopped(void *user)
{
	struct daemon *daemon = user;

	daemon->stopped = true;
}

static int serve(struct http1_loop *loop, const struct settings *settings)
{
	struct daemon daemon = {0};
	g_autofree char *why = NULL;
	guint sigterm_source;
	guint sigint_source;

	daemon.engine =
		engine_create(loop, settings, on_stopped, &daemon, &why);
	if (!daemon.engine) {
		cs_log(LOG_ERR, "start-failed", "why", why, NULL);
		return EXIT_FAILURE;
	}
	sigterm_source = g_unix_signal_add(SIGTERM, on_terminate, &daemon);
	sigint_source = g_unix_signal_add(SIGINT, on_terminate, &daemon);
	signals_hold(false);
	while (!daemon.stopped)
		http1_loop_iterate(loop, true);
	signals_hold(true);
	g_source_remove(sigterm_source);
	g_source_remove(sigint_source);
	engine_destroy(daemon.engine);
	return EXIT_SUCCESS;
}

static int run(const struct settings *settings)
{
	struct cs_clock *clock = cs_clock_create();
	struct http1_loop *loop = http1_loop_create(clock);
	int status = EXIT_FAILURE;

	cs_log_start(STDOUT_FILENO, clock);
	if (loop)
		status = serve(loop, settings);
	else
		cs_log(LOG_ERR, "start-failed", "why",
		       "cannot create an epoll descriptor", NULL);
	http1_loop_destroy(loop);
	cs_log_start(STDOUT_FILENO, NULL);
	cs_clock_destroy(clock);
	return status;
}

int main(int argc, char **argv)
{
	struct arguments arguments = {.log_level = LOG_INFO};
	struct settings *settings;
	int status = EXIT_SUCCESS;

	signals_hold(true);
	mallopt(M_MMAP_THRESHOLD, MAP_SIZE);
	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	cs_log_set_level(arguments.log_level);
	signal(SIGPIPE, SIG_IGN);
	if (arguments.forward)
		return forward_run(arguments.settings, arguments.check);
	settings = read_settings(arguments.settings);
	if (!settings)
		return EXIT_SETTINGS;
	if (arguments.check)
		puts("settings are good");
	else
		status = run(settings);
	settings_destroy(settings);
	return status;
}
