/* Private: the commands of cuminsail, the operators' command-line client. */
#ifndef CUMINSAIL_CLIENT_H
#define CUMINSAIL_CLIENT_H

#include "cuminsail/json.h"

/* Exit statuses; documented in cuminsail(1). */
enum client_exit {
	CLIENT_OK = 0,
	CLIENT_FAILED = 1, /* invalid, different, lagging or not found */
	CLIENT_USAGE = 2, /* wrong arguments */
	CLIENT_UNREACHABLE = 3, /* a daemon or a log could not be read */
};

/* The parsed command line. */
struct client {
	bool json; /* print JSON, not tables */
	const char *record_path; /* output of load: a JSON line for each
				  * exchange; or NULL */
	GPtrArray *daemons; /* char *, "IP:port" of the operators' addresses */
	GPtrArray *logs; /* char *, daemons' log files; "-": standard input */
	GPtrArray *arguments; /* char *, arguments of the command */
};

/* directory.c */
enum client_exit client_check(const struct client *client);
enum client_exit client_merge(const struct client *client);
enum client_exit client_diff(const struct client *client);

/* remote.c */
enum client_exit client_status(const struct client *client);
enum client_exit client_upstreams(const struct client *client);
enum client_exit client_zones(const struct client *client);
enum client_exit client_config(const struct client *client);
enum client_exit client_why(const struct client *client);
enum client_exit client_blocked(const struct client *client);
enum client_exit client_unblock(const struct client *client);

/* One line of a daemon's log. */
struct log_entry {
	gint64 at_ms; /* Unix time */
	guint sequence; /* position in reading order, over all files */
	char *source; /* host or instance the line came from, or the file */
	char *text; /* the line from "at=" on, without its priority */
	GHashTable *values; /* key to value */
};

/**
 * logs_read - parse all log files of the command line, in the order given
 * @client: the command line
 * @on_entry: called for each entry; owns it and frees it with log_entry_free()
 * @user: passed to @on_entry
 * @n_read: incremented for each entry
 *
 * Lines that are not log lines of a daemon are skipped.
 *
 * Return: false if a file cannot be opened; the others are still read.
 */
bool logs_read(const struct client *client,
	       void (*on_entry)(struct log_entry *entry, void *user),
	       void *user, guint *n_read);

/* Return: the value of a key, owned by the entry, or NULL. */
const char *log_entry_get(const struct log_entry *entry, const char *key);
void log_entry_free(void *entry);

/* trace.c: client_why() with the daemons' logs as its source. */
enum client_exit client_why_from_logs(const struct client *client);

/* report.c */
enum client_exit client_report(const struct client *client);

/* keys.c */
enum client_exit client_keys(const struct client *client);

/* load.c */
enum client_exit client_load(const struct client *client);

/* table.c: prints an array of objects, one row each, columns as given. */
void client_print_table(const json_t *array, const char *const *columns);
void client_print_json(const json_t *value);

#endif
