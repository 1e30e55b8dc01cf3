/**
 * platform.h - watch the configuration and the instance list of the platform
 *
 * Each of the two documents is watched by one call at a time, which the
 * platform holds open until the document changes (long polling). In standalone
 * mode both are read from a directory: the configuration files from
 * DIRECTORY/config/, the instance list from DIRECTORY/list.json.
 * docs/PLATFORM-PROTOCOL.md specifies the calls.
 */
#ifndef CUMINSAIL_PLATFORM_H
#define CUMINSAIL_PLATFORM_H

#include "cuminsail/clock.h"
#include "cuminsail/config.h"
#include "cuminsail/counters.h"
#include "cuminsail/http1.h"

struct platform;

/** Callbacks of the owner of a struct platform. */
struct platform_hooks {
	/* Configuration files of one revision were read. @files holds struct
	 * config_file and is borrowed. Return: false if they are refused. */
	bool (*config)(gint64 revision, GPtrArray *files, void *user);
	/* A list was read. @document is not validated yet, and borrowed.
	 * @read_sent_us: when the request was sent or the file was read.
	 * Return: false if the list is refused. */
	bool (*list)(json_t *document, gint64 read_sent_us, void *user);
	/* The platform answered a request sent at @read_sent_us: it has no
	 * newer list. */
	void (*list_unchanged)(gint64 read_sent_us, void *user);
	void *user;
};

/**
 * platform_create - start to watch the platform or the directory
 * @loop: the event loop
 * @settings: the platform's address, or the directory; must outlive the watcher
 * @counters: where calls and errors are counted
 * @hooks: callbacks; copied
 *
 * Return: a new watcher, owned by the caller.
 */
struct platform *platform_create(struct http1_loop *loop,
				 const struct settings *settings,
				 struct cs_counters *counters,
				 const struct platform_hooks *hooks);

/**
 * platform_destroy - stop watching and free the watcher
 * @platform: a watcher or NULL
 */
void platform_destroy(struct platform *platform);

/**
 * platform_set_revisions - set the revisions in force
 * @platform: a watcher
 * @config: revision of the configuration; 0 for none
 * @list: revision of the list; 0 for none
 *
 * The following calls request only newer documents.
 */
void platform_set_revisions(struct platform *platform, gint64 config,
			    gint64 list);

/**
 * platform_set_list_wait - set how long the platform holds a call for the list
 * @platform: a watcher
 * @wait_ms: longest wait in ms, 1 or more. The known list is at most twice this
 *	old, as its age counts from the request that confirmed it.
 */
void platform_set_list_wait(struct platform *platform, gint64 wait_ms);

#endif
