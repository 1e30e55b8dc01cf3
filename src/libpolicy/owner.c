/* Ownership of cold upstreams over a window of lists. */
#include "cuminsail/policy_owner.h"

#include <string.h>
#include <sys/queue.h>
#include <xxhash.h>

/* Of the lag bound, one part in this many is the platform's own. */
#define PLATFORM_SHARE 4

struct member {
	char *id;
	char *zone;
};

/* One list, in force from from_us until the next one's from_us. */
struct view {
	TAILQ_ENTRY(view) link;
	gint64 from_us;
	GArray *members; /* struct member */
};

struct policy_views {
	char *self;
	gint64 lag_us;
	gint64 hold_us;
	gint64 revision;
	gint64 confirmed_us;
	TAILQ_HEAD(, view) views; /* oldest first */
};

static void clear_member(struct member *member)
{
	g_free(member->id);
	g_free(member->zone);
}

static void drop_view(struct policy_views *views, struct view *view)
{
	TAILQ_REMOVE(&views->views, view, link);
	g_array_unref(view->members);
	g_free(view);
}

struct policy_views *policy_views_create(const char *self)
{
	struct policy_views *views = g_new0(struct policy_views, 1);

	views->self = g_strdup(self);
	views->confirmed_us = G_MININT64;
	TAILQ_INIT(&views->views);
	return views;
}

static void drop_all(struct policy_views *views)
{
	while (!TAILQ_EMPTY(&views->views))
		/* The analyzer does not follow the removal from the list. */
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
		drop_view(views, TAILQ_FIRST(&views->views));
}

void policy_views_destroy(struct policy_views *views)
{
	if (!views)
		return;
	drop_all(views);
	g_free(views->self);
	g_free(views);
}

void policy_views_set_bounds(struct policy_views *views, gint64 lag_us,
			     gint64 hold_us)
{
	views->lag_us = lag_us;
	views->hold_us = hold_us;
}

static gint64 window_start(const struct policy_views *views, gint64 now_us)
{
	return now_us - views->lag_us - views->hold_us;
}

/* A view counts while it was in force at some time of the window. */
static bool in_window(const struct view *view, gint64 start_us)
{
	const struct view *next = TAILQ_NEXT(view, link);

	return !next || next->from_us >= start_us;
}

static void drop_old(struct policy_views *views, gint64 now_us)
{
	gint64 start_us = window_start(views, now_us);
	struct view *oldest = TAILQ_FIRST(&views->views);

	while (oldest && !in_window(oldest, start_us)) {
		struct view *next = TAILQ_NEXT(oldest, link);

		drop_view(views, oldest);
		oldest = next;
	}
}

static struct view *create_view(const GPtrArray *daemons, gint64 now_us)
{
	struct view *view = g_new0(struct view, 1);

	view->from_us = now_us;
	view->members = g_array_new(FALSE, FALSE, sizeof(struct member));
	g_array_set_clear_func(view->members, (GDestroyNotify)clear_member);
	for (guint i = 0; i < daemons->len; i++) {
		const struct list_daemon *daemon = daemons->pdata[i];
		struct member member = {
			.id = g_strdup(daemon->id),
			.zone = g_strdup(daemon->zone),
		};

		if (daemon->leaving)
			clear_member(&member);
		else
			g_array_append_val(view->members, member);
	}
	return view;
}

void policy_views_take(struct policy_views *views, gint64 revision,
		       const GPtrArray *daemons, gint64 now_us)
{
	struct view *view;

	if (!TAILQ_EMPTY(&views->views) && revision != views->revision + 1)
		drop_all(views);
	views->revision = revision;
	view = create_view(daemons, now_us);
	TAILQ_INSERT_TAIL(&views->views, view, link);
	drop_old(views, now_us);
}

void policy_views_confirm(struct policy_views *views, gint64 asked_us)
{
	views->confirmed_us = MAX(views->confirmed_us, asked_us);
}

bool policy_views_fresh(const struct policy_views *views, gint64 now_us)
{
	if (views->confirmed_us == G_MININT64)
		return false;
	return now_us - views->confirmed_us <=
	       views->lag_us - views->lag_us / PLATFORM_SHARE;
}

static guint64 rank(const char *upstream, const char *daemon)
{
	XXH64_hash_t seed = XXH64(upstream, strlen(upstream), 0);

	return XXH64(daemon, strlen(daemon), seed);
}

static bool zone_has_member(const struct view *view, const char *zone)
{
	for (guint i = 0; i < view->members->len; i++) {
		if (!strcmp(g_array_index(view->members, struct member, i).zone,
			    zone))
			return true;
	}
	return false;
}

static const char *first_by_rank(const struct view *view, const char *upstream,
				 const char *zone)
{
	bool zonal = zone_has_member(view, zone);
	const char *best = NULL;
	guint64 best_rank = 0;

	for (guint i = 0; i < view->members->len; i++) {
		const struct member *member =
			&g_array_index(view->members, struct member, i);
		guint64 value;

		if (zonal && strcmp(member->zone, zone) != 0)
			continue;
		value = rank(upstream, member->id);
		if (!best || value > best_rank ||
		    (value == best_rank && strcmp(member->id, best) > 0)) {
			best = member->id;
			best_rank = value;
		}
	}
	return best;
}

bool policy_views_owns(const struct policy_views *views, const char *upstream,
		       const char *zone, gint64 now_us)
{
	gint64 start_us = window_start(views, now_us);
	const struct view *view = TAILQ_FIRST(&views->views);

	if (!policy_views_fresh(views, now_us))
		return false;
	if (!view || view->from_us > start_us)
		return false;
	TAILQ_FOREACH (view, &views->views, link) {
		const char *first;

		if (!in_window(view, start_us))
			continue;
		first = first_by_rank(view, upstream, zone);
		if (!first || strcmp(first, views->self) != 0)
			return false;
	}
	return true;
}
