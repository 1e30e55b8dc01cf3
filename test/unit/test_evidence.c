/*
 * What daemons share of replicas, played in steps of simulated time:
 * each of 30 daemons asks the near replica once a second, as on a large
 * deployment, and reports to a seed once a second.
 */
#include "picture.h"
#include "unit.h"

#include <string.h>

enum { DAEMONS = 30, STEP_MS = 10, ASK_MS = 1000, REPORT_MS = 1000 };

/* Work of a usual replica, and what a slow one needs. */
#define WORK_US (16 * MS)
#define SLOW_US (180 * MS)

struct daemon_played {
	struct picture picture;
	struct route_attempt attempt;
	gint64 due_us; /* when the answer comes; 0: nothing is open */
	bool reports;
};

struct play {
	struct daemon_played daemons[DAEMONS];
	struct picture seed;
	gint64 now_us;
	gint64 slow_from_us;
	gint64 slow_to_us;
	bool pauses; /* answers wait for the end, instead of taking longer */
};

static void list(struct picture *p)
{
	picture_put(p, "near", "a");
	picture_put(p, "far", "b");
}

static struct play *play_create(bool reports)
{
	struct play *play = g_new0(struct play, 1);

	play->seed = picture_create();
	list(&play->seed);
	play->now_us = play->seed.now;
	play->slow_from_us = play->slow_to_us = G_MAXINT64;
	for (guint i = 0; i < DAEMONS; i++) {
		struct daemon_played *daemon = &play->daemons[i];

		daemon->picture = picture_create();
		daemon->reports = reports;
		list(&daemon->picture);
		daemon->picture.now -= 100 * CS_US_PER_S;
		for (int k = 0; k < 100; k++)
			picture_ask(&daemon->picture,
				    picture_choose(&daemon->picture, NULL),
				    ROUTE_GOOD, WORK_US);
	}
	return play;
}

static void play_destroy(struct play *play)
{
	for (guint i = 0; i < DAEMONS; i++) {
		struct daemon_played *daemon = &play->daemons[i];

		if (daemon->due_us)
			route_attempt_end(&daemon->attempt, ROUTE_DROPPED,
					  play->now_us);
		picture_destroy(&daemon->picture);
	}
	picture_destroy(&play->seed);
	g_free(play);
}

static gint64 time_of_answer(const struct play *play,
			     const struct route_replica *replica)
{
	if (strcmp(replica->id, "near") != 0)
		return WORK_US + 32 * MS;
	if (play->now_us < play->slow_from_us ||
	    play->now_us >= play->slow_to_us)
		return WORK_US;
	return play->pauses ? play->slow_to_us - play->now_us + WORK_US
			    : SLOW_US;
}

static void take_report(const char *id, const struct route_tally *tally,
			void *user)
{
	struct play *play = user;

	route_fleet_pool_report(play->seed.fleet, id, tally, play->now_us);
}

static void take_outlier(const char *id, const struct route_evidence *evidence,
			 void *user)
{
	route_fleet_take_outlier(user, id, evidence);
}

static void on_usual(const char *id, void *user)
{
}

static void report(struct play *play, struct route_fleet *fleet)
{
	route_fleet_report(fleet, 60, play->now_us, take_report, play);
	route_fleet_outliers(play->seed.fleet, 60, play->now_us, take_outlier,
			     fleet);
	route_fleet_end_outliers(fleet, play->now_us, on_usual, NULL);
}

static void step(struct play *play, guint i)
{
	struct daemon_played *daemon = &play->daemons[i];
	struct picture *p = &daemon->picture;
	gint64 own_ms = play->now_us / MS + i * (ASK_MS / DAEMONS);

	p->now = play->now_us;
	if (daemon->due_us && daemon->due_us <= play->now_us) {
		route_attempt_end(&daemon->attempt, ROUTE_GOOD, play->now_us);
		daemon->due_us = 0;
	}
	if (own_ms / STEP_MS % (ASK_MS / STEP_MS) == 0 && !daemon->due_us) {
		struct route_replica *replica = picture_choose(p, NULL);

		replica->connections = 1;
		route_attempt_begin(&daemon->attempt, replica, p->work,
				    play->now_us);
		daemon->due_us = play->now_us + time_of_answer(play, replica);
	}
	if (daemon->reports &&
	    (own_ms + 370) / STEP_MS % (REPORT_MS / STEP_MS) == 0)
		report(play, p->fleet);
}

static void pass(struct play *play, gint64 ms)
{
	for (gint64 spent = 0; spent < ms; spent += STEP_MS) {
		play->now_us += STEP_MS * MS;
		for (guint i = 0; i < DAEMONS; i++)
			step(play, i);
	}
}

/* Daemons whose next request goes to the near replica. */
static guint count_near(struct play *play)
{
	guint n = 0;

	for (guint i = 0; i < DAEMONS; i++)
		n += !strcmp(picture_chosen(&play->daemons[i].picture), "near");
	return n;
}

START_TEST(a_slow_replica_is_known_to_all_within_seconds)
{
	guint still_asked[2];

	for (int reports = 0; reports < 2; reports++) {
		struct play *play = play_create(reports);

		pass(play, 3000);
		ck_assert_uint_eq(count_near(play), DAEMONS);
		play->slow_from_us = play->now_us;
		pass(play, 2500);
		still_asked[reports] = count_near(play);
		/* It is well again, and asked by all. */
		play->slow_to_us = play->now_us;
		pass(play, 15000);
		ck_assert_uint_eq(count_near(play), DAEMONS);
		play_destroy(play);
	}
	ck_assert_uint_le(still_asked[1], DAEMONS / 10);
	ck_assert_uint_gt(still_asked[0], DAEMONS / 2);
}
END_TEST

/* Daemons that took the near replica for an outlier. */
static guint count_taken(struct play *play)
{
	guint n = 0;

	for (guint i = 0; i < DAEMONS; i++) {
		struct picture *p = &play->daemons[i].picture;
		struct route_replica *replica = picture_choose(p, NULL);

		if (strcmp(replica->id, "near") != 0)
			replica = picture_choose(p, replica);
		n += replica->shared.at_us != 0;
	}
	return n;
}

START_TEST(a_pause_turns_nobody_away)
{
	struct play *play = play_create(true);

	play->pauses = true;
	for (int i = 0; i < 5; i++) {
		pass(play, 4500);
		play->slow_from_us = play->now_us;
		play->slow_to_us = play->now_us + 300 * MS;
		for (int k = 0; k < 25; k++) {
			pass(play, 100);
			/* Those that wait for it themselves pass it over. */
			if (k > 4)
				ck_assert_uint_ge(count_near(play),
						  DAEMONS * 9 / 10);
		}
	}
	ck_assert_uint_eq(count_taken(play), 0);
	play_destroy(play);
}
END_TEST

START_TEST(what_a_daemon_sees_itself_counts_more)
{
	struct picture p = picture_create();
	struct route_evidence evidence = {.slowness = 8};
	struct route_replica *near;

	list(&p);
	near = picture_choose(&p, NULL);
	for (int i = 0; i < 50; i++)
		picture_ask(&p, near, ROUTE_GOOD, WORK_US);
	evidence.at_us = p.now + 1;
	ck_assert(route_fleet_take_outlier(p.fleet, "near", &evidence));
	ck_assert(!route_fleet_take_outlier(p.fleet, "near", &evidence));
	ck_assert(!route_fleet_take_outlier(p.fleet, "nobody", &evidence));
	p.now++;
	ck_assert_str_eq(picture_chosen(&p), "far");
	/* Its own answers bring it back. */
	for (int i = 0; i < 12; i++)
		picture_ask(&p, near, ROUTE_GOOD, WORK_US);
	ck_assert_str_eq(picture_chosen(&p), "near");
	/* And so does its end as an outlier. */
	evidence.at_us = p.now + 1;
	route_fleet_take_outlier(p.fleet, "near", &evidence);
	p.now += 1000 * MS;
	ck_assert_str_eq(picture_chosen(&p), "far");
	route_fleet_end_outliers(p.fleet, p.now, on_usual, NULL);
	ck_assert_str_eq(picture_chosen(&p), "near");
	picture_destroy(&p);
}
END_TEST

static void count_outlier(const char *id, const struct route_evidence *evidence,
			  void *user)
{
	(*(guint *)user)++;
}

static guint count_outliers(const struct picture *p)
{
	guint n = 0;

	route_fleet_outliers(p->fleet, 60, p->now, count_outlier, &n);
	return n;
}

/* pliega-busca-grown: after a restart replicas that had failed became outliers
 * again by their first good answer, up to 20 s later. */
START_TEST(old_failures_count_less_when_news_comes)
{
	static const struct route_tally bad = {.failures = 1};
	static const struct route_tally good = {.answers = 1, .slowness = 1};
	struct picture p = picture_create();

	list(&p);
	for (int i = 0; i < 40; i++) {
		route_fleet_pool_report(p.fleet, "near", &bad, p.now);
		p.now += 50 * MS;
	}
	ck_assert_uint_eq(count_outliers(&p), 1);
	/* Nobody asked it for some time. */
	p.now += 9 * CS_US_PER_S;
	ck_assert_uint_eq(count_outliers(&p), 0);
	route_fleet_pool_report(p.fleet, "near", &good, p.now);
	p.now += 500 * MS;
	ck_assert_uint_eq(count_outliers(&p), 0);
	picture_destroy(&p);
}
END_TEST

struct counted {
	guint n;
	guint failures;
};

static void count_report(const char *id, const struct route_tally *tally,
			 void *user)
{
	struct counted *counted = user;

	counted->n++;
	counted->failures += tally->failures;
}

START_TEST(a_report_is_bounded_and_says_the_odd_first)
{
	struct picture p = picture_create();
	struct counted counted = {0};

	for (int i = 0; i < 20; i++) {
		g_autofree char *id = g_strdup_printf("r%d", i);

		picture_put(&p, id, "a");
		picture_ask(&p, picture_choose(&p, NULL),
			    i % 5 ? ROUTE_GOOD : ROUTE_FAILED, WORK_US);
		route_fleet_evacuate(p.fleet, "a", false);
	}
	route_fleet_report(p.fleet, 2, p.now, count_report, &counted);
	ck_assert_uint_eq(counted.n, 2);
	ck_assert_uint_gt(counted.failures, 0);
	/* What was said is not said again. */
	counted = (struct counted){0};
	route_fleet_report(p.fleet, 60, p.now, count_report, &counted);
	route_fleet_report(p.fleet, 60, p.now, count_report, &counted);
	ck_assert_uint_le(counted.n, 18);
	picture_destroy(&p);
}
END_TEST

UNIT_MAIN("evidence", a_slow_replica_is_known_to_all_within_seconds,
	  a_pause_turns_nobody_away, what_a_daemon_sees_itself_counts_more,
	  old_failures_count_less_when_news_comes,
	  a_report_is_bounded_and_says_the_odd_first)
