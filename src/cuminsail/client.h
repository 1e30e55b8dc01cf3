/* Private: the subcommands of the operators' client. */
#ifndef CUMINSAIL_CLIENT_H
#define CUMINSAIL_CLIENT_H

#include "cuminsail/json.h"

/* Exit codes; cuminsail(1) lists them. */
enum client_exit {
	CLIENT_GOOD = 0,
	CLIENT_BAD = 1, /* the answer is no: invalid, different, lags */
	CLIENT_USAGE = 2, /* wrong arguments */
	CLIENT_UNREACHABLE = 3, /* a daemon could not be asked */
};

struct client {
	bool json;
	const char *record; /* file for a line of each exchange, or NULL */
	GPtrArray *daemons; /* char *, "IP:port" of operators' pages */
	GPtrArray
		*logs; /* char *, files of daemons' logs; "-": standard input */
	GPtrArray *arguments; /* char *, after the subcommand */
};

/* folder.c */
enum client_exit client_check(const struct client *client);
enum client_exit client_merge(const struct client *client);
enum client_exit client_diff(const struct client *client);

/* remote.c */
enum client_exit client_status(const struct client *client);
enum client_exit client_upstreams(const struct client *client);
enum client_exit client_zones(const struct client *client);
enum client_exit client_config(const struct client *client);
enum client_exit client_why(const struct client *client);

/* A line of a log. */
struct log_entry {
	gint64 at_ms; /* Unix */
	guint number; /* in order of reading */
	char *source; /* what stands before the line: file, instance */
	char *text;
	GHashTable *values; /* key to value */
};

/* logs.c: reads the client's logs; each entry is the callee's, for
 * log_entry_free(). Return: false if a file cannot be read. */
bool logs_read(const struct client *client,
	       void (*take)(struct log_entry *entry, void *user), void *user,
	       guint *n_read);
const char *log_entry_get(const struct log_entry *entry, const char *key);
void log_entry_free(void *entry);

/* story.c: client_why() from logs */
enum client_exit client_story(const struct client *client);

/* report.c */
enum client_exit client_report(const struct client *client);

/* keys.c */
enum client_exit client_keys(const struct client *client);

/* load.c */
enum client_exit client_load(const struct client *client);

/* table.c: an array of objects as a table, columns in the order given. */
void client_print_table(const json_t *array, const char *const *columns);
void client_print_json(const json_t *value);

#endif
