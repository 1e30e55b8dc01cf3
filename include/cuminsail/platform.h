/**
 * platform.h - reading and watching what the platform publishes
 *
 * Two documents, the operators' folder and the instance list, each watched by
 * one waiting call at a time. In standalone mode both come from a directory:
 * DIRECTORY/config/ and DIRECTORY/list.json. docs/PLATFORM-PROTOCOL.md gives
 * the calls.
 */
#ifndef CUMINSAIL_PLATFORM_H
#define CUMINSAIL_PLATFORM_H

#include "cuminsail/clock.h"
#include "cuminsail/config.h"
#include "cuminsail/counters.h"
#include "cuminsail/http1.h"

struct platform;

/** What the owner does with what was read. */
struct platform_hooks {
	/* A folder under one revision; @files is borrowed. False: refused. */
	bool (*config)(gint64 revision, GPtrArray *files, void *user);
	/* A list, unchecked; @document is borrowed. False: refused. */
	bool (*list)(json_t *document, gint64 asked_us, void *user);
	/* A read sent at @asked_us found the last list still the newest. */
	void (*list_same)(gint64 asked_us, void *user);
	void *user;
};

/**
 * platform_create - begin to watch
 * @loop: the loop
 * @settings: where the platform or the directory is; must outlive it
 * @counters: where to count
 * @hooks: what to do; copied
 *
 * Return: a new watcher, owned by the caller.
 */
struct platform *platform_create(struct http1_loop *loop,
				 const struct settings *settings,
				 struct cs_counters *counters,
				 const struct platform_hooks *hooks);

/**
 * platform_destroy - stop watching
 * @platform: a watcher or NULL
 */
void platform_destroy(struct platform *platform);

/**
 * platform_set_revisions - what is in force, to ask for newer
 * @platform: a watcher
 * @config: revision of the configuration; 0 for none
 * @list: revision of the list; 0 for none
 */
void platform_set_revisions(struct platform *platform, gint64 config,
			    gint64 list);

/**
 * platform_set_list_wait - how long a watch of the list may wait
 * @platform: a watcher
 * @wait_ms: 1 or more; a picture is at most twice as old as this
 */
void platform_set_list_wait(struct platform *platform, gint64 wait_ms);

#endif
