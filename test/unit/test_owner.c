/*
 * Ownership of cold upstreams: a test for each rule, and an exhaustive check of
 * small cases that two daemons never own an upstream at the same time.
 */
#include "unit.h"

#include <string.h>

#define LAG_US	     100
#define IN_FLIGHT_US 40
#define STEP_US	     25 /* a quarter of LAG_US */
#define STEPS	     10

/* The daemons, out of four, whose bits are set in the mask. */
static GPtrArray *create_daemons(guint mask)
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

static struct policy_ownership *create_ownership(const char *self)
{
	struct policy_ownership *ownership = policy_ownership_create(self);

	policy_ownership_set_bounds(ownership, LAG_US, IN_FLIGHT_US);
	return ownership;
}

/* Adds a list that was read at time @now. */
static void add_list(struct policy_ownership *ownership, gint64 revision,
		     guint mask, gint64 now)
{
	g_autoptr(GPtrArray) daemons = create_daemons(mask);

	policy_ownership_add_list(ownership, revision, daemons, now);
	policy_ownership_confirm(ownership, now);
}

/* Before the window has passed, another daemon may still be the owner. */
START_TEST(a_daemon_owns_only_after_the_window)
{
	struct policy_ownership *ownership = create_ownership("p");

	add_list(ownership, 1, 1, 1000);
	ck_assert(!policy_ownership_owns(ownership, "u", "z", 1000));
	policy_ownership_confirm(ownership, 1000 + LAG_US + IN_FLIGHT_US);
	ck_assert(!policy_ownership_owns(ownership, "u", "z",
					 1000 + LAG_US + IN_FLIGHT_US - 1));
	ck_assert(policy_ownership_owns(ownership, "u", "z",
					1000 + LAG_US + IN_FLIGHT_US));
	policy_ownership_destroy(ownership);
}
END_TEST

/* Without a recent read another list, with another owner, may be in force. */
START_TEST(a_daemon_with_a_stale_list_owns_nothing)
{
	struct policy_ownership *ownership = create_ownership("p");

	add_list(ownership, 1, 1, 1000);
	policy_ownership_confirm(ownership, 2000);
	ck_assert(policy_ownership_owns(ownership, "u", "z",
					2000 + LAG_US * 3 / 4));
	ck_assert(!policy_ownership_owns(ownership, "u", "z",
					 2001 + LAG_US * 3 / 4));
	policy_ownership_destroy(ownership);
}
END_TEST

/* The skipped revision may have named another owner. */
START_TEST(a_skipped_revision_restarts_the_window)
{
	struct policy_ownership *ownership = create_ownership("p");

	add_list(ownership, 1, 1, 1000);
	add_list(ownership, 3, 1, 2000);
	ck_assert(!policy_ownership_owns(ownership, "u", "z", 2000));
	policy_ownership_confirm(ownership, 2140);
	ck_assert(policy_ownership_owns(ownership, "u", "z", 2140));
	policy_ownership_destroy(ownership);
}
END_TEST

START_TEST(daemons_of_the_upstreams_zone_rank_first)
{
	const char *ids[] = {"p", "q"};
	const char *zones[] = {"near", "far"};

	for (guint i = 0; i < 2; i++) {
		struct policy_ownership *ownership = create_ownership(ids[i]);
		struct list_daemon near = {(char *)"p", (char *)"near"};
		struct list_daemon far = {(char *)"q", (char *)"far"};
		g_autoptr(GPtrArray) daemons = g_ptr_array_new();

		g_ptr_array_add(daemons, &near);
		g_ptr_array_add(daemons, &far);
		policy_ownership_add_list(ownership, 1, daemons, 0);
		policy_ownership_confirm(ownership, 1000);
		for (guint zone = 0; zone < 2; zone++)
			ck_assert_int_eq(policy_ownership_owns(ownership, "u",
							       zones[zone],
							       1000),
					 zone == i);
		policy_ownership_destroy(ownership);
	}
}
END_TEST

START_TEST(a_leaving_daemon_owns_nothing)
{
	struct policy_ownership *ownership = create_ownership("p");
	struct list_daemon self = {(char *)"p", (char *)"z", NULL, true};
	g_autoptr(GPtrArray) daemons = g_ptr_array_new();

	g_ptr_array_add(daemons, &self);
	policy_ownership_add_list(ownership, 1, daemons, 0);
	policy_ownership_confirm(ownership, 1000);
	ck_assert(!policy_ownership_owns(ownership, "u", "z", 1000));
	policy_ownership_destroy(ownership);
}
END_TEST

/*
 * What the platform publishes: revision i at time publish[i] with the daemons
 * of masks[i].
 */
struct schedule {
	gint64 publish[3];
	guint masks[3];
};

static guint published_revision(const struct schedule *schedule, gint64 at)
{
	guint newest = 0;

	for (guint i = 0; i < 3; i++) {
		if (schedule->publish[i] <= at)
			newest = i;
	}
	return newest;
}

/*
 * The steps at which a daemon owns upstream "u", as a bit mask. Bit i of the
 * pattern is set if the daemon reads at step i. Bits STEPS and STEPS + 1 are
 * set if its reads at even and at odd steps get the list that was the newest a
 * quarter of LAG_US earlier.
 */
static guint owned_steps(const struct schedule *schedule, const char *self,
			 guint pattern)
{
	struct policy_ownership *ownership = create_ownership(self);
	guint held = G_MAXUINT;
	guint owned = 0;

	for (guint step = 0; step < STEPS; step++) {
		gint64 now = step * STEP_US;
		guint reads = (pattern >> step) & 1;

		if (reads) {
			gint64 lag = (pattern >> (STEPS + step % 2)) & 1
					     ? LAG_US / 4
					     : 0;
			guint revision =
				published_revision(schedule, now - lag);

			if (held == G_MAXUINT || revision > held) {
				add_list(ownership, revision + 1,
					 schedule->masks[revision], now);
				held = revision;
			} else {
				policy_ownership_confirm(ownership, now);
			}
		}
		if (policy_ownership_owns(ownership, "u", "z", now))
			owned |= 1U << step;
	}
	policy_ownership_destroy(ownership);
	return owned;
}

/*
 * The steps at which requests of an owner may be running: a request that was
 * sent at one step may be in flight for IN_FLIGHT_US.
 */
static guint busy_steps(guint owned)
{
	guint busy = owned;

	for (guint us = STEP_US; us < IN_FLIGHT_US; us += STEP_US)
		busy |= owned << (us / STEP_US);
	return busy;
}

static void check_schedule(const struct schedule *schedule)
{
	static const char *const ids[] = {"p", "q", "r", "t"};
	guint patterns = 1U << (STEPS + 2);
	guint busy[4] = {0};

	/* For each daemon, the union of its busy steps over all patterns. */
	for (guint d = 0; d < 4; d++) {
		if (!((schedule->masks[0] | schedule->masks[1] |
		       schedule->masks[2]) &
		      (1U << d)))
			continue;
		for (guint pattern = 0; pattern < patterns; pattern += 1)
			busy[d] |= busy_steps(
				owned_steps(schedule, ids[d], pattern));
	}
	for (guint d = 0; d < 4; d++) {
		for (guint e = d + 1; e < 4; e++)
			ck_assert_msg(!(busy[d] & busy[e]),
				      "two owners: %s %s, masks %u %u %u at "
				      "%d %d",
				      ids[d], ids[e], schedule->masks[0],
				      schedule->masks[1], schedule->masks[2],
				      (int)schedule->publish[1],
				      (int)schedule->publish[2]);
	}
}

/*
 * Two owners at a time would exceed a cold upstream's limit. Two daemons, three
 * revisions with every membership, publication times at several steps, and all
 * patterns of reads.
 */
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

/* The same with four daemons, some of which join and leave. */
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

UNIT_MAIN("owner", a_daemon_owns_only_after_the_window,
	  a_daemon_with_a_stale_list_owns_nothing,
	  a_skipped_revision_restarts_the_window,
	  daemons_of_the_upstreams_zone_rank_first,
	  a_leaving_daemon_owns_nothing, never_two_owners_of_two_daemons,
	  never_two_owners_of_four_daemons)
