/*
 * Tests of the outlier detection across daemons. The simulation runs in steps
 * of simulated time: each of 30 daemons sends one request a second to the near
 * replica, as in a large deployment, and reports to a seed once a second.
 */
#include "unit.h"
#include "view.h"

#include <string.h>

enum { DAEMONS = 30, STEP_MS = 10, REQUEST_MS = 1000, REPORT_MS = 1000 };

/* Processing time at a typical replica, and at a slow one. */
#define WORK_US (16 * MS)
#define SLOW_US (180 * MS)

struct simulated_daemon {
	struct view view;
	struct route_attempt attempt;
	gint64 due_us; /* time of the answer; 0: no attempt is open */
	bool reports;
};

struct simulation {
	struct simulated_daemon daemons[DAEMONS];
	struct view seed;
	gint64 now_us;
	gint64 slow_from_us;
	gint64 slow_to_us;
	/* The replica answers when the slow period is over, instead of taking
	 * SLOW_US for each answer. */
	bool pauses;
};

static void add_replicas(struct view *view)
{
	view_put(view, "near", "a");
	view_put(view, "far", "b");
}

static struct simulation *simulation_create(bool reports)
{
	struct simulation *simulation = g_new0(struct simulation, 1);

	simulation->seed = view_create();
	add_replicas(&simulation->seed);
	simulation->now_us = simulation->seed.now;
	simulation->slow_from_us = simulation->slow_to_us = G_MAXINT64;
	for (guint i = 0; i < DAEMONS; i++) {
		struct simulated_daemon *daemon = &simulation->daemons[i];

		daemon->view = view_create();
		daemon->reports = reports;
		add_replicas(&daemon->view);
		daemon->view.now -= 100 * CS_US_PER_S;
		for (int k = 0; k < 100; k++)
			view_run_attempt(&daemon->view,
					 view_choose(&daemon->view, NULL),
					 ROUTE_ANSWERED, WORK_US);
	}
	return simulation;
}

static void simulation_destroy(struct simulation *simulation)
{
	for (guint i = 0; i < DAEMONS; i++) {
		struct simulated_daemon *daemon = &simulation->daemons[i];

		if (daemon->due_us)
			route_attempt_end(&daemon->attempt, ROUTE_ABORTED,
					  simulation->now_us);
		view_destroy(&daemon->view);
	}
	view_destroy(&simulation->seed);
	g_free(simulation);
}

static gint64 answer_time_us(const struct simulation *simulation,
			     const struct route_replica *replica)
{
	if (strcmp(replica->id, "near") != 0)
		return WORK_US + 32 * MS;
	if (simulation->now_us < simulation->slow_from_us ||
	    simulation->now_us >= simulation->slow_to_us)
		return WORK_US;
	return simulation->pauses
		       ? simulation->slow_to_us - simulation->now_us + WORK_US
		       : SLOW_US;
}

static void pool_report(const char *id, const struct route_stats *stats,
			void *user)
{
	struct simulation *simulation = user;

	route_fleet_pool_report(simulation->seed.fleet, id, stats,
				simulation->now_us);
}

static void apply_outlier(const char *id, const struct route_health *health,
			  void *user)
{
	route_fleet_set_outlier(user, id, health);
}

static void ignore_cleared(const char *id, void *user)
{
}

static void report(struct simulation *simulation, struct route_fleet *fleet)
{
	route_fleet_report(fleet, 60, simulation->now_us, pool_report,
			   simulation);
	route_fleet_outliers(simulation->seed.fleet, 60, simulation->now_us,
			     apply_outlier, fleet);
	route_fleet_clear_outliers(fleet, simulation->now_us, ignore_cleared,
				   NULL);
}

static void step(struct simulation *simulation, guint i)
{
	struct simulated_daemon *daemon = &simulation->daemons[i];
	struct view *view = &daemon->view;
	gint64 daemon_ms = simulation->now_us / MS + i * (REQUEST_MS / DAEMONS);

	view->now = simulation->now_us;
	if (daemon->due_us && daemon->due_us <= simulation->now_us) {
		route_attempt_end(&daemon->attempt, ROUTE_ANSWERED,
				  simulation->now_us);
		daemon->due_us = 0;
	}
	if (daemon_ms / STEP_MS % (REQUEST_MS / STEP_MS) == 0 &&
	    !daemon->due_us) {
		struct route_replica *replica = view_choose(view, NULL);

		replica->connections = 1;
		route_attempt_begin(&daemon->attempt, replica, view->work,
				    simulation->now_us);
		daemon->due_us = simulation->now_us +
				 answer_time_us(simulation, replica);
	}
	if (daemon->reports &&
	    (daemon_ms + 370) / STEP_MS % (REPORT_MS / STEP_MS) == 0)
		report(simulation, view->fleet);
}

static void advance(struct simulation *simulation, gint64 ms)
{
	for (gint64 elapsed = 0; elapsed < ms; elapsed += STEP_MS) {
		simulation->now_us += STEP_MS * MS;
		for (guint i = 0; i < DAEMONS; i++)
			step(simulation, i);
	}
}

/* Count the daemons whose next request goes to the near replica. */
static guint count_near(struct simulation *simulation)
{
	guint n = 0;

	for (guint i = 0; i < DAEMONS; i++)
		n += !strcmp(view_chosen_id(&simulation->daemons[i].view),
			     "near");
	return n;
}

START_TEST(slow_replica_is_avoided_by_all_daemons_within_seconds)
{
	guint still_chosen[2];

	for (int reports = 0; reports < 2; reports++) {
		struct simulation *simulation = simulation_create(reports);

		advance(simulation, 3000);
		ck_assert_uint_eq(count_near(simulation), DAEMONS);
		simulation->slow_from_us = simulation->now_us;
		advance(simulation, 2500);
		still_chosen[reports] = count_near(simulation);
		/* It recovers, and all daemons choose it again. */
		simulation->slow_to_us = simulation->now_us;
		advance(simulation, 15000);
		ck_assert_uint_eq(count_near(simulation), DAEMONS);
		simulation_destroy(simulation);
	}
	ck_assert_uint_le(still_chosen[1], DAEMONS / 10);
	ck_assert_uint_gt(still_chosen[0], DAEMONS / 2);
}
END_TEST

/* Count the daemons that received the near replica as an outlier. */
static guint count_with_outlier(struct simulation *simulation)
{
	guint n = 0;

	for (guint i = 0; i < DAEMONS; i++) {
		struct view *view = &simulation->daemons[i].view;
		struct route_replica *replica = view_choose(view, NULL);

		if (strcmp(replica->id, "near") != 0)
			replica = view_choose(view, replica);
		n += replica->received.at_us != 0;
	}
	return n;
}

START_TEST(short_pause_is_not_an_outlier)
{
	struct simulation *simulation = simulation_create(true);

	simulation->pauses = true;
	for (int i = 0; i < 5; i++) {
		advance(simulation, 4500);
		simulation->slow_from_us = simulation->now_us;
		simulation->slow_to_us = simulation->now_us + 300 * MS;
		for (int k = 0; k < 25; k++) {
			advance(simulation, 100);
			/* Only daemons with an attempt open at the near replica
			 * may avoid it. */
			if (k > 4)
				ck_assert_uint_ge(count_near(simulation),
						  DAEMONS * 9 / 10);
		}
	}
	ck_assert_uint_eq(count_with_outlier(simulation), 0);
	simulation_destroy(simulation);
}
END_TEST

START_TEST(own_samples_override_pooled_estimates)
{
	struct view view = view_create();
	struct route_health health = {.slowness = 8};
	struct route_replica *near;

	add_replicas(&view);
	near = view_choose(&view, NULL);
	for (int i = 0; i < 50; i++)
		view_run_attempt(&view, near, ROUTE_ANSWERED, WORK_US);
	health.at_us = view.now + 1;
	ck_assert(route_fleet_set_outlier(view.fleet, "near", &health));
	ck_assert(!route_fleet_set_outlier(view.fleet, "near", &health));
	ck_assert(!route_fleet_set_outlier(view.fleet, "nobody", &health));
	view.now++;
	ck_assert_str_eq(view_chosen_id(&view), "far");
	/* The daemon's own samples make it the first choice again. */
	for (int i = 0; i < 12; i++)
		view_run_attempt(&view, near, ROUTE_ANSWERED, WORK_US);
	ck_assert_str_eq(view_chosen_id(&view), "near");
	/* So does an outlier list without the replica. */
	health.at_us = view.now + 1;
	route_fleet_set_outlier(view.fleet, "near", &health);
	view.now += 1000 * MS;
	ck_assert_str_eq(view_chosen_id(&view), "far");
	route_fleet_clear_outliers(view.fleet, view.now, ignore_cleared, NULL);
	ck_assert_str_eq(view_chosen_id(&view), "near");
	view_destroy(&view);
}
END_TEST

static void count_outlier(const char *id, const struct route_health *health,
			  void *user)
{
	(*(guint *)user)++;
}

static guint count_outliers(const struct view *view)
{
	guint n = 0;

	route_fleet_outliers(view->fleet, 60, view->now, count_outlier, &n);
	return n;
}

/* The pooled failure rate must decay during the time without reports before a
 * new report is added. Otherwise replicas that had failed and were restarted
 * became outliers again with their first good answer, up to 20 s later (seen in
 * the deployment pliega-busca-grown). */
START_TEST(old_failures_decay_before_a_new_report_counts)
{
	static const struct route_stats bad = {.failures = 1};
	static const struct route_stats good = {.answers = 1, .slowness = 1};
	struct view view = view_create();

	add_replicas(&view);
	for (int i = 0; i < 40; i++) {
		route_fleet_pool_report(view.fleet, "near", &bad, view.now);
		view.now += 50 * MS;
	}
	ck_assert_uint_eq(count_outliers(&view), 1);
	/* No attempts are reported for some time. */
	view.now += 9 * CS_US_PER_S;
	ck_assert_uint_eq(count_outliers(&view), 0);
	route_fleet_pool_report(view.fleet, "near", &good, view.now);
	view.now += 500 * MS;
	ck_assert_uint_eq(count_outliers(&view), 0);
	view_destroy(&view);
}
END_TEST

struct report_counts {
	guint n;
	guint failures;
};

static void count_report(const char *id, const struct route_stats *stats,
			 void *user)
{
	struct report_counts *report_counts = user;

	report_counts->n++;
	report_counts->failures += stats->failures;
}

START_TEST(report_is_bounded_and_lists_failing_replicas_first)
{
	struct view view = view_create();
	struct report_counts report_counts = {0};

	for (int i = 0; i < 20; i++) {
		g_autofree char *id = g_strdup_printf("r%d", i);

		view_put(&view, id, "a");
		view_run_attempt(&view, view_choose(&view, NULL),
				 i % 5 ? ROUTE_ANSWERED : ROUTE_FAILED,
				 WORK_US);
		route_fleet_evacuate(view.fleet, "a", false);
	}
	route_fleet_report(view.fleet, 2, view.now, count_report,
			   &report_counts);
	ck_assert_uint_eq(report_counts.n, 2);
	ck_assert_uint_gt(report_counts.failures, 0);
	/* Reported attempts are not reported again. */
	report_counts = (struct report_counts){0};
	route_fleet_report(view.fleet, 60, view.now, count_report,
			   &report_counts);
	route_fleet_report(view.fleet, 60, view.now, count_report,
			   &report_counts);
	ck_assert_uint_le(report_counts.n, 18);
	view_destroy(&view);
}
END_TEST

/* Guards against a pause that counts at once: the replica was an outlier long
 * ago, and no report has shown it to be typical since. */
START_TEST(an_outlier_that_faded_in_silence_starts_anew)
{
	static const struct route_stats slow = {.answers = 20, .slowness = 200};
	struct view view = view_create();

	add_replicas(&view);
	for (int i = 0; i < 20; i++) {
		view.now += 100 * MS;
		route_fleet_pool_report(view.fleet, "near", &slow, view.now);
	}
	ck_assert_uint_eq(count_outliers(&view), 1);
	view.now += 60 * (gint64)CS_US_PER_S;
	ck_assert_uint_eq(count_outliers(&view), 0);
	route_fleet_pool_report(view.fleet, "near", &slow, view.now);
	view.now += 100 * MS;
	route_fleet_pool_report(view.fleet, "near", &slow, view.now);
	ck_assert_uint_eq(count_outliers(&view), 0);
	view.now += 500 * MS;
	route_fleet_pool_report(view.fleet, "near", &slow, view.now);
	ck_assert_uint_eq(count_outliers(&view), 1);
	view_destroy(&view);
}
END_TEST

static void read_slowness(const char *id, const struct route_stats *stats,
			  void *user)
{
	*(double *)user = stats->slowness / stats->answers;
}

/* A report holds numbers below 6,554 only, and a seed drops a larger one. */
START_TEST(report_of_a_replica_that_hangs_stays_in_range)
{
	struct view view = view_create();
	struct route_attempt attempt = {0};
	double slowness = 0;

	add_replicas(&view);
	route_attempt_begin(&attempt, view_choose(&view, NULL), view.work,
			    view.now);
	view.now += 3600 * (gint64)CS_US_PER_S;
	route_fleet_report(view.fleet, 60, view.now, read_slowness, &slowness);
	ck_assert_double_gt(slowness, 2.5);
	ck_assert_double_le(slowness, 20);
	route_attempt_end(&attempt, ROUTE_ABORTED, view.now);
	view_destroy(&view);
}
END_TEST

UNIT_MAIN("outlier", an_outlier_that_faded_in_silence_starts_anew,
	  report_of_a_replica_that_hangs_stays_in_range,
	  slow_replica_is_avoided_by_all_daemons_within_seconds,
	  short_pause_is_not_an_outlier, own_samples_override_pooled_estimates,
	  old_failures_decay_before_a_new_report_counts,
	  report_is_bounded_and_lists_failing_replicas_first)
