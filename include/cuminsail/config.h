/**
 * config.h - the operators' configuration, the instance list, the settings
 *
 * The configuration is a folder of small JSON files, merged in the byte order
 * of their names: objects are merged by key, anything else replaces. Checking
 * is a pure function of the merged document, so that every daemon gives the
 * same verdict. The list is what the platform says of instances. The settings
 * are what one process is started with.
 */
#ifndef CUMINSAIL_CONFIG_H
#define CUMINSAIL_CONFIG_H

#include "cuminsail/json.h"

#include <netinet/in.h>

/** Largest merged document and largest list, in bytes. */
#define CONFIG_DOCUMENT_MAX (1024 * 1024)

/** Largest single file of the folder, in bytes. */
#define CONFIG_FILE_MAX (256 * 1024)

/* ---- the folder ---- */

/** One file of the folder. */
struct config_file {
	char *name;
	char *text;
};

/**
 * config_file_create - one file of a folder
 * @name: its name, without a directory
 * @text: its content
 *
 * Return: a new file, owned by the caller.
 */
struct config_file *config_file_create(const char *name, const char *text);

/**
 * config_file_destroy - free a file
 * @file: a file or NULL
 */
void config_file_destroy(struct config_file *file);

/**
 * config_folder_read - read every *.json file of a directory
 * @directory: its path
 * @why: where to put a new string with the cause, or NULL
 *
 * Return: a new array of struct config_file, or NULL with @why set.
 */
GPtrArray *config_folder_read(const char *directory, char **why);

/**
 * config_merge - merge the files of a folder in the byte order of their names
 * @files: array of struct config_file; it is sorted in place
 * @error: where to put the result code
 * @why: where to put a new string with file, place and cause, or NULL
 *
 * Return: a new reference to the merged document, or NULL with @error and
 * @why set.
 */
json_t *config_merge(GPtrArray *files, int *error, char **why);

/**
 * config_digest - digest of a document's canonical text
 * @document: the merged document
 *
 * Return: a new string of 64 hexadecimal digits for g_free().
 */
char *config_digest(const json_t *document);

/* ---- the typed configuration ---- */

enum config_kind {
	CONFIG_QUERY,
	CONFIG_ORDER,
};

/** How one of several upstreams is chosen. */
enum config_choice {
	CONFIG_BETTER_OF_TWO, /* of two by chance, the idler and faster */
	CONFIG_ROUND_ROBIN, /* each in turn, whatever its zone and state */
};

/** An availability zone. */
struct config_zone {
	char *name;
	char *region;
	bool out;
};

/** How one service may be asked, retried and stopped. */
struct config_service {
	char *name;
	enum config_kind kind;
	enum config_choice choice;
	gint64 slots; /* requests one upstream runs at once */
	gint64 connections; /* connections one upstream takes in all */
	gint64 cold_limit; /* requests a cold upstream bears, all daemons */
	gint64 warm_after; /* good answers for each step of warming */
	gint64 deadline_ms; /* when the caller names none */
	gint64 deadline_max_ms; /* the longest a caller may ask */
	gint64 part_timeout_ms; /* longest wait for one upstream */
	gint64 queue_max; /* queries in progress per daemon */
	gint64 hedge_min_ms; /* never hedge before this */
	double hedge_quantile; /* 0 turns hedging off */
	double extra_load; /* retries and hedges per first attempt */
	double least_coverage; /* when the caller names none */
	bool spill; /* ask other zones when the own one is full */
};

/** A checked configuration. */
struct config {
	char *customer;
	gint64 list_lag_ms; /* bound on the age of the platform's list */
	gint64 daemons_max; /* most daemons at once, for shares of caps */
	double list_shrink_max; /* share a list may lose at once */
	GPtrArray *zones; /* struct config_zone */
	GPtrArray *services; /* struct config_service */
};

/**
 * config_create - check a merged document and give it types
 * @document: the merged document
 * @error: where to put the result code
 * @why: where to put a new string with path and cause, or NULL
 *
 * Return: a new configuration, or NULL with @error and @why set.
 */
struct config *config_create(json_t *document, int *error, char **why);

/**
 * config_check_name - whether a text may name a service, zone or instance
 * @where: where it stands, for messages
 * @name: the text
 * @why: where to put a new string with the cause, or NULL
 *
 * Return: 0, or CS_E_RANGE unless it is 1 to CS_NAME_MAX letters, digits,
 * dashes, underscores and dots.
 */
int config_check_name(const char *where, const char *name, char **why);

/**
 * config_check_endpoint - whether a text is "IP:port"
 * @where: where it stands, for messages
 * @text: the text
 * @why: where to put a new string with the cause, or NULL
 *
 * Return: 0 or CS_E_RANGE.
 */
int config_check_endpoint(const char *where, const char *text, char **why);

/**
 * config_destroy - free a configuration
 * @config: a configuration or NULL
 */
void config_destroy(struct config *config);

/**
 * config_find_service - look a service up by name
 * @config: a configuration
 * @name: the name
 *
 * Return: the service, owned by @config, or NULL.
 */
const struct config_service *config_find_service(const struct config *config,
						 const char *name);

/**
 * config_find_zone - look an availability zone up by name
 * @config: a configuration
 * @name: the name
 *
 * Return: the zone, owned by @config, or NULL.
 */
const struct config_zone *config_find_zone(const struct config *config,
					   const char *name);

/* ---- the list ---- */

/** A daemon of the fleet as the list has it. */
struct list_daemon {
	char *id;
	char *zone;
	char *address; /* peer address, "IP:port" */
	bool leaving;
};

/** An upstream replica as the list has it. */
struct list_upstream {
	char *id;
	char *service;
	char *shard;
	char *zone;
	char *address; /* "IP:port" */
	char *incarnation;
	bool leaving;
	GPtrArray *snapshots; /* char * */
};

/** One shard of a snapshot's map. */
struct list_shard {
	char *id;
	gint64 documents;
};

/** One index snapshot of a service, oldest first in the list. */
struct list_snapshot {
	char *service;
	char *id;
	gint64 map; /* revision of the shard map */
	GPtrArray *shards; /* struct list_shard */
};

/** A checked list. */
struct list {
	gint64 revision;
	GPtrArray *daemons; /* struct list_daemon */
	GPtrArray *upstreams; /* struct list_upstream */
	GPtrArray *snapshots; /* struct list_snapshot */
};

/**
 * list_create - check a list and give it types
 * @document: the parsed list
 * @error: where to put the result code
 * @why: where to put a new string with path and cause, or NULL
 *
 * Return: a new list, or NULL with @error and @why set.
 */
struct list *list_create(json_t *document, int *error, char **why);

/**
 * list_destroy - free a list
 * @list: a list or NULL
 */
void list_destroy(struct list *list);

/* ---- the settings of one daemon ---- */

/** An address by IP number. */
struct settings_address {
	char *address;
	gint64 port;
};

/**
 * settings_address_socket - the address as the kernel takes it
 * @at: an address
 * @socket: where to put it
 *
 * Return: 0 or CS_E_RANGE.
 */
int settings_address_socket(const struct settings_address *at,
			    struct sockaddr_in *socket);

/** A peer known before any list is read. */
struct settings_peer {
	char *id;
	struct settings_address at;
	char *public_key; /* CURVE key, Z85 text; NULL for the fleet's own */
};

/** What one daemon is started with. */
struct settings {
	char *instance;
	char *zone;
	struct settings_address caller;
	struct settings_address operators;
	struct settings_address platform; /* address NULL in directory mode */
	char *directory; /* standalone mode, else NULL */
	struct settings_address peer;
	bool peer_plain; /* links without CURVE */
	char *peer_public_key; /* Z85 text */
	char *peer_secret_key; /* Z85 text */
	GPtrArray *peers; /* struct settings_peer */
	gint64 body_max; /* bytes of a caller's request */
	gint64 answer_max; /* bytes of an upstream's answer */
	gint64 receive_ms; /* longest a caller may take to send */
	gint64 idle_ms; /* longest wait for a request's headers */
	gint64 tickets_max; /* records of orders held at once */
	gint64 ticket_ms; /* life of a ticket */
	gint64 record_ms; /* how long a record outlives its ticket */
	gint64 drain_ms; /* serving on after SIGTERM, not ready */
	gint64 stop_ms; /* longest wait for requests in flight */
	gint64 history; /* recent queries kept for "why" */
	gint64 ready_peers; /* peers to hear before ready, at most 2 s */
};

/**
 * settings_create - check a settings text
 * @text: JSON
 * @error: where to put the result code
 * @why: where to put a new string with path and cause, or NULL
 *
 * Return: new settings, or NULL with @error and @why set.
 */
struct settings *settings_create(const char *text, int *error, char **why);

/**
 * settings_destroy - free settings
 * @settings: settings or NULL
 */
void settings_destroy(struct settings *settings);

#endif
