/* cuminsail: the operators' command-line client. */
#include "client.h"

#include <argp.h>
#include <string.h>

#define DEFAULT_DAEMON "127.0.0.1:8081"

const char *argp_program_version = "cuminsail 0.1";

struct command {
	const char *name;
	guint n_arguments;
	enum client_exit (*run)(const struct client *client);
};

static const struct command commands[] = {
	{"check", 1, client_check},	    {"merge", 1, client_merge},
	{"diff", 2, client_diff},	    {"status", 0, client_status},
	{"upstreams", 0, client_upstreams}, {"zones", 0, client_zones},
	{"config", 0, client_config},	    {"why", 1, client_why},
	{"report", 0, client_report},	    {"load", 1, client_load},
	{"keys", 0, client_keys},	    {"blocked", 0, client_blocked},
	{"unblock", 1, client_unblock},
};

struct arguments {
	struct client client;
	const struct command *command;
};

static const struct argp_option options[] = {
	{"daemon", 'd', "IP:PORT", 0,
	 "Operators' address of a daemon; may be given several times "
	 "(default " DEFAULT_DAEMON ")",
	 0},
	{"logs", 'l', "FILE", 0,
	 "Log file of a daemon for why and report, - for standard input; may "
	 "be given several times",
	 0},
	{"record", 'r', "FILE", 0,
	 "Write each exchange of load to FILE as a line of JSON", 0},
	{"json", 'j', NULL, 0, "Print JSON", 0},
	{0},
};

static const struct command *find_command(const char *name)
{
	for (guint i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (!strcmp(commands[i].name, name))
			return &commands[i];
	}
	return NULL;
}

static void add_argument(struct arguments *arguments, char *value,
			 struct argp_state *state)
{
	if (arguments->command) {
		g_ptr_array_add(arguments->client.arguments, value);
		return;
	}
	arguments->command = find_command(value);
	if (!arguments->command)
		argp_error(state, "no such command: %s", value);
}

static void check_arguments(const struct arguments *arguments,
			    struct argp_state *state)
{
	if (!arguments->command) {
		argp_usage(state);
		return;
	}
	if (arguments->client.arguments->len != arguments->command->n_arguments)
		argp_error(state, "%s takes %u argument(s)",
			   arguments->command->name,
			   arguments->command->n_arguments);
}

static error_t parse_option(int key, char *value, struct argp_state *state)
{
	struct arguments *arguments = state->input;

	switch (key) {
	case 'd':
		g_ptr_array_add(arguments->client.daemons, value);
		return 0;
	case 'l':
		g_ptr_array_add(arguments->client.logs, value);
		return 0;
	case 'r':
		arguments->client.record_path = value;
		return 0;
	case 'j':
		arguments->client.json = true;
		return 0;
	case ARGP_KEY_ARG:
		add_argument(arguments, value, state);
		return 0;
	case ARGP_KEY_END:
		check_arguments(arguments, state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	.options = options,
	.parser = parse_option,
	.args_doc =
		"check DIR|FILE\nmerge DIR\ndiff DIR DIR\nstatus\nupstreams\n"
		"zones\nconfig\nblocked\nunblock REQUEST\nwhy "
		"REQUEST-ID\nreport\nload PLAN\nkeys",
	.doc = "Check configurations, query daemons and read their logs.\v"
	       "Exit status: 0 success; 1 failure (invalid, different, a "
	       "daemon "
	       "lags, not found); 2 usage error; 3 a daemon or a log could not "
	       "be read.",
};

int main(int argc, char **argv)
{
	struct arguments arguments = {0};
	enum client_exit status;

	argp_err_exit_status = CLIENT_USAGE;
	arguments.client.daemons = g_ptr_array_new();
	arguments.client.logs = g_ptr_array_new();
	arguments.client.arguments = g_ptr_array_new();
	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	if (!arguments.client.daemons->len)
		g_ptr_array_add(arguments.client.daemons, DEFAULT_DAEMON);
	status = arguments.command->run(&arguments.client);
	g_ptr_array_unref(arguments.client.daemons);
	g_ptr_array_unref(arguments.client.logs);
	g_ptr_array_unref(arguments.client.arguments);
	return status;
}
