/**
 * config.h - the operators' configuration, the instance list and the settings
 *
 * The configuration is a directory of small JSON files, merged in the byte
 * order of their names: objects are merged key by key, any other value replaces
 * the earlier one. Validation depends on the merged document alone, so that
 * every daemon accepts or rejects the same documents. The instance list is
 * published by the platform; it names the daemons, the upstreams and the index
 * snapshots. The settings are the start parameters of one process.
 */
#ifndef CUMINSAIL_CONFIG_H
#define CUMINSAIL_CONFIG_H

#include "cuminsail/json.h"

#include <netinet/in.h>

/** Size limit of the merged configuration and of an instance list, in bytes. */
#define CONFIG_DOCUMENT_MAX (1024 * 1024)

/** Size limit of one configuration file, in bytes. */
#define CONFIG_FILE_MAX (256 * 1024)

/* ---- the configuration directory ---- */

/** One configuration file. */
struct config_file {
	char *name;
	char *text;
};

/**
 * config_file_create - create the in-memory form of a configuration file
 * @name: file name without a directory
 * @text: content, ended by NUL
 *
 * Both strings are copied.
 *
 * Return: a new file, owned by the caller.
 */
struct config_file *config_file_create(const char *name, const char *text);

/**
 * config_file_destroy - free a configuration file
 * @file: a file or NULL
 */
void config_file_destroy(struct config_file *file);

/**
 * config_directory_read - read every *.json file of a directory
 * @directory: path of the directory
 * @why: set to a new string with the cause on failure; may be NULL
 *
 * Files whose names begin with a dot are skipped. The content is not parsed.
 *
 * Return: a new array of struct config_file in no particular order, or NULL
 * with @why set if the directory or a file cannot be read or a file contains a
 * NUL byte.
 */
GPtrArray *config_directory_read(const char *directory, char **why);

/**
 * config_merge - merge configuration files in the byte order of their names
 * @files: array of struct config_file; it is sorted in place
 * @error: set to the result code on failure
 * @why: set to a new string with file, position and cause on failure; may be
 *	NULL
 *
 * The merged document is not validated; see config_create().
 *
 * Return: a new reference to the merged document, or NULL with @error set to
 * CS_E_DUPLICATE, CS_E_TOO_LARGE, CS_E_JSON, CS_E_DEPTH or CS_E_TYPE and @why
 * set.
 */
json_t *config_merge(GPtrArray *files, int *error, char **why);

/**
 * config_digest - compute the SHA-256 digest of a document's canonical text
 * @document: the merged document
 *
 * Return: a new string of 64 hexadecimal digits for g_free().
 */
char *config_digest(const json_t *document);

/* ---- the typed configuration ---- */

/** Which kind of request a service takes. */
enum config_kind {
	CONFIG_QUERY,
	CONFIG_ORDER,
};

/** How an upstream is chosen among the replicas of a shard. */
enum config_choice {
	CONFIG_BETTER_OF_TWO, /* of two at random, the less loaded and faster */
	CONFIG_ROUND_ROBIN, /* each in turn, regardless of zone and phase */
};

/** An availability zone. */
struct config_zone {
	char *name;
	char *region;
	bool out; /* taken out by operators: gets no new requests */
};

/** The limits, timeouts and retry rules of one service. */
struct config_service {
	char *name;
	enum config_kind kind;
	enum config_choice choice;
	gint64 slots; /* requests one upstream runs concurrently */
	gint64 connections; /* to one upstream, from all daemons */
	gint64 cold_limit; /* requests to a cold upstream, all daemons */
	gint64 warm_after; /* good answers per doubling of a cold limit */
	gint64 deadline_ms; /* used if the caller names none */
	gint64 deadline_max_ms; /* longest deadline that a caller gets */
	gint64 part_timeout_ms; /* longest wait for one upstream's answer */
	gint64 queue_max; /* queries in progress in one daemon */
	gint64 hedge_min_ms; /* shortest delay before a hedge is sent */
	double hedge_quantile; /* of latency, after which to hedge; 0: off */
	double extra_load; /* retries and hedges allowed per first attempt */
	double least_coverage; /* used if the caller names none */
	bool spill; /* use other zones when the local zone is full */
};

/** A validated configuration. */
struct config {
	char *customer;
	gint64 list_lag_ms; /* upper bound on the age of the instance list */
	gint64 daemons_max; /* most daemons at once; divides connections */
	double list_shrink_max; /* share of upstreams a new list may omit */
	GPtrArray *zones; /* struct config_zone */
	GPtrArray *services; /* struct config_service */
};

/**
 * config_create - validate a merged document and convert it
 * @document: the merged document
 * @error: set to the result code, 0 on success
 * @why: set to a new string with path and cause on failure; may be NULL
 *
 * Unknown keys are errors.
 *
 * Return: a new configuration, or NULL with @error and @why set.
 */
struct config *config_create(json_t *document, int *error, char **why);

/**
 * config_check_name - check the name of a service, zone or instance
 * @where: position in the document, for the message
 * @name: the name
 * @why: set to a new string with the cause on failure; may be NULL
 *
 * Return: 0 if the name consists of 1 to CS_NAME_MAX ASCII letters, digits,
 * dashes, underscores and dots, else CS_E_RANGE.
 */
int config_check_name(const char *where, const char *name, char **why);

/**
 * config_check_endpoint - check that a string has the form "IP:port"
 * @where: position in the document, for the message
 * @text: the string
 * @why: set to a new string with the cause on failure; may be NULL
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
 * config_find_service - look up a service by name
 * @config: a configuration
 * @name: the name
 *
 * Return: the service, owned by @config, or NULL.
 */
const struct config_service *config_find_service(const struct config *config,
						 const char *name);

/**
 * config_find_zone - look up an availability zone by name
 * @config: a configuration
 * @name: the name
 *
 * Return: the zone, owned by @config, or NULL.
 */
const struct config_zone *config_find_zone(const struct config *config,
					   const char *name);

/* ---- the instance list ---- */

/** The instance list's entry of a daemon. */
struct list_daemon {
	char *id;
	char *zone;
	char *address; /* peer address, "IP:port" */
	bool leaving; /* about to be removed */
};

/** The instance list's entry of an upstream replica. */
struct list_upstream {
	char *id;
	char *service;
	char *shard;
	char *zone;
	char *address; /* "IP:port" */
	char *incarnation; /* differs after each restart */
	bool leaving; /* about to be removed: gets no new requests */
	GPtrArray *snapshots; /* char *, ids of the snapshots it holds */
};

/** One shard of an index snapshot's shard map. */
struct list_shard {
	char *id;
	gint64 documents;
};

/** One index snapshot of a service; a list names the oldest first. */
struct list_snapshot {
	char *service;
	char *id;
	gint64 map; /* revision of the shard map */
	GPtrArray *shards; /* struct list_shard */
};

/** A validated instance list. */
struct instance_list {
	gint64 revision;
	GPtrArray *daemons; /* struct list_daemon */
	GPtrArray *upstreams; /* struct list_upstream */
	GPtrArray *snapshots; /* struct list_snapshot */
};

/**
 * instance_list_create - validate a parsed instance list and convert it
 * @document: the parsed list
 * @error: set to the result code, 0 on success
 * @why: set to a new string with path and cause on failure; may be NULL
 *
 * Unknown keys are ignored.
 *
 * Return: a new list, or NULL with @error and @why set.
 */
struct instance_list *instance_list_create(json_t *document, int *error,
					   char **why);

/**
 * instance_list_destroy - free an instance list
 * @list: a list or NULL
 */
void instance_list_destroy(struct instance_list *list);

/* ---- the settings of one daemon ---- */

/** An IPv4 address in dotted notation and a port. */
struct settings_address {
	char *address;
	gint64 port;
};

/**
 * settings_address_to_sockaddr - convert an address to a socket address
 * @address: the address
 * @sockaddr: where to store the socket address
 *
 * Return: 0, or CS_E_RANGE if the IP address or the port is not valid.
 */
int settings_address_to_sockaddr(const struct settings_address *address,
				 struct sockaddr_in *sockaddr);

/** A peer that is known before the first instance list is read. */
struct settings_peer {
	char *id;
	struct settings_address endpoint;
	char *public_key; /* CURVE key, Z85 text; NULL: peer_public_key */
};

/** The start parameters of one daemon. */
struct settings {
	char *instance;
	char *zone;
	struct settings_address caller; /* to listen on for callers */
	struct settings_address operators; /* to listen on for operators */
	struct settings_address platform; /* address NULL in directory mode */
	char *directory; /* read in place of the platform, else NULL */
	struct settings_address peer; /* to listen on for peers */
	bool peer_plain; /* links without CURVE */
	char *peer_public_key; /* Z85 text */
	char *peer_secret_key; /* Z85 text */
	GPtrArray *peers; /* struct settings_peer */
	gint64 body_max; /* bytes of a caller's request body */
	gint64 answer_max; /* bytes of an upstream's answer */
	gint64 receive_ms; /* longest time for a caller to send a request */
	gint64 idle_ms; /* longest wait for a request's first byte */
	gint64 tickets_max; /* records of orders held at once */
	gint64 ticket_ms; /* lifetime of a ticket */
	gint64 record_ms; /* time a record is kept after its ticket expires */
	gint64 drain_ms; /* time after SIGTERM to serve while not ready */
	gint64 stop_ms; /* longest wait for open requests after draining */
	gint64 history; /* recent queries kept for /v1/why */
	gint64 ready_peers; /* heartbeats awaited before ready, up to 2 s */
};

/**
 * settings_create - parse and validate a daemon's settings
 * @text: JSON, ended by NUL
 * @error: set to the result code, 0 on success
 * @why: set to a new string with path and cause on failure; may be NULL
 *
 * Unknown keys are errors. Missing limits get their defaults.
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
