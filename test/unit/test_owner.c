/* Ownership of cold upstreams: all small cases, and its single rules. */
#include "unit.h"

#include <string.h>

#define LAG_US	100
#define HOLD_US 40
#define STEP_US 25 /* a quarter of the lag */
#define STEPS	10

static GPtrArray *daemons_of(guint mask)
{
	GPtrArray *daemons = g_ptr_array_new_with_free_func(g_free);
	static char ids[4][2] = {"p", "q", "r", "t"};

	for (guint i = 0; i < 4; i++) {
		struct list_daemon *daemon;

		if (!(mask & (1U << i)))
			continue;
		daemon = g_new0(struct list_daemon, 1);
		daemon->id = ids[i];
		daemon->zone = (char *)"z";
		g_ptr_array_add(daemons, daemon);
	}
	return daemons;
}

static struct policy_views *views_of(const char *self)
{
	struct policy_views *views = policy_views_create(self);

	policy_views_set_bounds(views, LAG_US, HOLD_US);
	return views;
}

static void take(struct policy_views *views, gint64 revision, guint mask,
		 gint64 now)
{
	g_autoptr(GPtrArray) daemons = daemons_of(mask);

	policy_views_take(views, revision, daemons, now);
	policy_views_confirm(views, now);
}

START_TEST(a_daemon_owns_after_the_window_only)
{
	struct policy_views *views = views_of("p");

	take(views, 1, 1, 1000);
	ck_assert(!policy_views_owns(views, "u", "z", 1000));
	policy_views_confirm(views, 1000 + LAG_US + HOLD_US);
	ck_assert(!policy_views_owns(views, "u", "z",
				     1000 + LAG_US + HOLD_US - 1));
	ck_assert(policy_views_owns(views, "u", "z", 1000 + LAG_US + HOLD_US));
	policy_views_destroy(views);
}
END_TEST

START_TEST(a_stale_picture_owns_nothing)
{
	struct policy_views *views = views_of("p");

	take(views, 1, 1, 1000);
	policy_views_confirm(views, 2000);
	ck_assert(policy_views_owns(views, "u", "z", 2000 + LAG_US * 3 / 4));
	ck_assert(!policy_views_owns(views, "u", "z", 2001 + LAG_US * 3 / 4));
	policy_views_destroy(views);
}
END_TEST

START_TEST(a_skipped_revision_starts_the_window_anew)
{
	struct policy_views *views = views_of("p");

	take(views, 1, 1, 1000);
	take(views, 3, 1, 2000);
	ck_assert(!policy_views_owns(views, "u", "z", 2000));
	policy_views_confirm(views, 2140);
	ck_assert(policy_views_owns(views, "u", "z", 2140));
	policy_views_destroy(views);
}
END_TEST

START_TEST(daemons_of_the_upstreams_zone_go_first)
{
	const char *ids[] = {"p", "q"};
	const char *zones[] = {"near", "far"};

	for (guint i = 0; i < 2; i++) {
		struct policy_views *views = views_of(ids[i]);
		struct list_daemon near = {(char *)"p", (char *)"near"};
		struct list_daemon far = {(char *)"q", (char *)"far"};
		g_autoptr(GPtrArray) daemons = g_ptr_array_new();

		g_ptr_array_add(daemons, &near);
		g_ptr_array_add(daemons, &far);
		policy_views_take(views, 1, daemons, 0);
		policy_views_confirm(views, 1000);
		for (guint zone = 0; zone < 2; zone++)
			ck_assert_int_eq(policy_views_owns(views, "u",
							   zones[zone], 1000),
					 zone == i);
		policy_views_destroy(views);
	}
}
END_TEST

/* A leaving daemon owns nothing. */
START_TEST(a_leaving_daemon_owns_nothing)
{
	struct policy_views *views = views_of("p");
	struct list_daemon self = {(char *)"p", (char *)"z", NULL, true};
	g_autoptr(GPtrArray) daemons = g_ptr_array_new();

	g_ptr_array_add(daemons, &self);
	policy_views_take(views, 1, daemons, 0);
	policy_views_confirm(views, 1000);
	ck_assert(!policy_views_owns(views, "u", "z", 1000));
	policy_views_destroy(views);
}
END_TEST

/*
 * One schedule of the platform: revision i is published at publish[i] with
 * the daemons of masks[i]. One schedule of a daemon: at each step it reads the
 * newest revision of some age within the bound, or does not read.
 */
struct schedule {
	gint64 publish[3];
	guint masks[3];
};

static guint true_revision(const struct schedule *schedule, gint64 at)
{
	guint newest = 0;

	for (guint i = 0; i < 3; i++) {
		if (schedule->publish[i] <= at)
			newest = i;
	}
	return newest;
}

/*
 * For a daemon that reads by a pattern, the steps at which it owns "u". Bits
 * of the pattern, two for each step: do not read, or read with the platform
 * lagging by 0, 1 of its quarter.
 */
static guint owned_steps(const struct schedule *schedule, const char *self,
			 guint pattern)
{
	struct policy_views *views = views_of(self);
	guint held = G_MAXUINT;
	guint owned = 0;

	for (guint step = 0; step < STEPS; step++) {
		gint64 now = step * STEP_US;
		guint mode = (pattern >> step) & 1;

		if (mode) {
			gint64 lag = (pattern >> (STEPS + step % 2)) & 1
					     ? LAG_US / 4
					     : 0;
			guint revision = true_revision(schedule, now - lag);

			if (held == G_MAXUINT || revision > held) {
				take(views, revision + 1,
				     schedule->masks[revision], now);
				held = revision;
			} else {
				policy_views_confirm(views, now);
			}
		}
		if (policy_views_owns(views, "u", "z", now))
			owned |= 1U << step;
	}
	policy_views_destroy(views);
	return owned;
}

/*
 * A request that one owner sent may be in flight for HOLD_US: smear each step
 * over the steps that its request may still touch.
 */
static guint busy_steps(guint owned)
{
	guint busy = owned;

	for (guint us = STEP_US; us < HOLD_US; us += STEP_US)
		busy |= owned << (us / STEP_US);
	return busy;
}

static void check_schedule(const struct schedule *schedule)
{
	static const char *const ids[] = {"p", "q", "r", "t"};
	guint patterns = 1U << (STEPS + 2);
	guint anyone[4] = {0};

	/* The union over all read patterns of what each daemon may do. */
	for (guint d = 0; d < 4; d++) {
		if (!((schedule->masks[0] | schedule->masks[1] |
		       schedule->masks[2]) &
		      (1U << d)))
			continue;
		for (guint pattern = 0; pattern < patterns; pattern += 1)
			anyone[d] |= busy_steps(
				owned_steps(schedule, ids[d], pattern));
	}
	for (guint d = 0; d < 4; d++) {
		for (guint e = d + 1; e < 4; e++)
			ck_assert_msg(!(anyone[d] & anyone[e]),
				      "two owners: %s %s, masks %u %u %u at "
				      "%d %d",
				      ids[d], ids[e], schedule->masks[0],
				      schedule->masks[1], schedule->masks[2],
				      (int)schedule->publish[1],
				      (int)schedule->publish[2]);
	}
}

/* Two daemons, three revisions, all publication steps and read patterns. */
START_TEST(never_two_owners_of_two_daemons)
{
	for (guint masks = 0; masks < 64; masks++) {
		for (gint64 first = 1; first < 8; first += 2) {
			for (gint64 gap = 1; gap < 4; gap++) {
				struct schedule schedule = {
					{-1000, first * STEP_US,
					 (first + gap) * STEP_US},
					{masks & 3, masks >> 2 & 3,
					 masks >> 4 & 3},
				};

				check_schedule(&schedule);
			}
		}
	}
}
END_TEST

/* Four daemons of which some come and go. */
START_TEST(never_two_owners_of_four_daemons)
{
	static const guint sets[][3] = {{15, 7, 15}, {1, 15, 8},  {3, 12, 3},
					{9, 6, 9},   {15, 0, 15}, {2, 14, 13}};

	for (guint i = 0; i < G_N_ELEMENTS(sets); i++) {
		for (gint64 gap = 1; gap < 4; gap++) {
			struct schedule schedule = {
				{-1000, STEP_US, (1 + gap) * STEP_US},
				{sets[i][0], sets[i][1], sets[i][2]},
			};

			check_schedule(&schedule);
		}
	}
}
END_TEST

UNIT_MAIN("owner", a_daemon_owns_after_the_window_only,
	  a_stale_picture_owns_nothing,
	  a_skipped_revision_starts_the_window_anew,
	  daemons_of_the_upstreams_zone_go_first, a_leaving_daemon_owns_nothing,
	  never_two_owners_of_two_daemons, never_two_owners_of_four_daemons)
