/* Regular pauses of replicas. */
#include "unit.h"
#include "view.h"

/* A pause of 200 ms each 4.5 s, the first one at 1 s. */
#define PERIOD (4500 * MS)
#define LENGTH (200 * MS)
#define FIRST  (1000 * MS)

/* Return: when a replica that pauses has the answer to a request. */
static gint64 answer_at(gint64 arrived, gint64 work)
{
	gint64 since = (arrived - FIRST + PERIOD) % PERIOD;

	if (since < LENGTH)
		return arrived + (LENGTH - since) + work;
	if (since + work > PERIOD)
		return arrived + work + LENGTH;
	return arrived + work;
}

static struct route_pause observe_pauses(guint n)
{
	struct route_pause pause = {0};

	for (guint i = 0; i < n; i++)
		route_pause_observe(&pause, FIRST + LENGTH + i * PERIOD,
				    LENGTH - 10 * MS);
	return pause;
}

START_TEST(a_regular_pause_is_predicted_after_three)
{
	struct route_pause pause = observe_pauses(2);
	gint64 next = FIRST + 3 * PERIOD;

	ck_assert_int_eq(route_pause_delay_us(&pause, next + 50 * MS, 0), 0);
	pause = observe_pauses(3);
	ck_assert_int_eq(pause.period_us, PERIOD);
	/* In the pause, shortly before it, and well before and after it. */
	ck_assert_int_ge(route_pause_delay_us(&pause, next + 50 * MS, 0),
			 150 * MS);
	ck_assert_int_ge(route_pause_delay_us(&pause, next - 10 * MS, 20 * MS),
			 200 * MS);
	ck_assert_int_eq(route_pause_delay_us(&pause, next - 60 * MS, 20 * MS),
			 0);
	ck_assert_int_eq(
		route_pause_delay_us(&pause, next + LENGTH + 20 * MS, 20 * MS),
		0);
	/* Some pauses later, one of which nobody met. */
	next += 2 * PERIOD;
	ck_assert_int_ge(route_pause_delay_us(&pause, next + 50 * MS, 0),
			 150 * MS);
	/* Nobody met one for a minute. */
	ck_assert_int_eq(route_pause_delay_us(&pause, next + 20 * PERIOD, 0),
			 0);
}
END_TEST

/* Guards against a replica that is avoided without a reason: one that stalls at
 * random times, one that is slow all the time, and one that no longer pauses.
 */
START_TEST(what_is_not_regular_is_not_predicted)
{
	GRand *random = g_rand_new_with_seed(5);
	guint predicted = 0;
	struct route_pause pause;

	for (int run = 0; run < 200; run++) {
		gint64 at = FIRST;

		pause = (struct route_pause){0};
		for (int i = 0; i < 12; i++) {
			at += g_rand_int_range(random, 500, 9000) * MS;
			route_pause_observe(&pause, at, 100 * MS);
			predicted += pause.period_us != 0;
		}
	}
	ck_assert_uint_le(predicted, 200 * 12 / 10);
	/* Slow: each answer is late, and none of them ends a stall. */
	pause = (struct route_pause){0};
	for (int i = 0; i < 500; i++) {
		route_pause_observe(&pause, FIRST + i * 40 * MS, 90 * MS);
		ck_assert_int_eq(pause.period_us, 0);
	}
	/* Answers in its pauses end the prediction. */
	pause = observe_pauses(3);
	for (int i = 0; i < 4; i++) {
		gint64 at = FIRST + (3 + i) * PERIOD;

		ck_assert_int_gt(route_pause_delay_us(&pause, at + 90 * MS, 0),
				 0);
		route_pause_answered(&pause, at + 90 * MS, at + 100 * MS);
	}
	ck_assert_int_eq(pause.period_us, 0);
	g_rand_free(random);
}
END_TEST

/* Guards against stalls that count as several: the answers of one pause arrive
 * spread over the link, and reports of it arrive late. */
START_TEST(the_stalls_of_one_pause_are_one)
{
	struct route_pause pause = {0};

	for (int i = 0; i < 4; i++) {
		gint64 end = FIRST + LENGTH + i * PERIOD;

		route_pause_observe(&pause, end + 30 * MS, 120 * MS);
		route_pause_observe(&pause, end, 180 * MS);
		route_pause_observe(&pause, end + 45 * MS, 40 * MS);
		route_pause_observe(&pause, end - PERIOD, 100 * MS);
	}
	ck_assert_int_eq(pause.period_us, PERIOD);
	ck_assert_int_eq(pause.end_us, FIRST + LENGTH + 3 * PERIOD);
	ck_assert_int_ge(pause.length_us, 170 * MS);
	/* A later period than the learned one is followed. */
	for (int i = 1; i <= 6; i++)
		route_pause_observe(&pause, pause.end_us + PERIOD + 20 * MS,
				    180 * MS);
	ck_assert_int_ge(pause.period_us, PERIOD + 15 * MS);
}
END_TEST

START_TEST(later_knowledge_of_another_daemon_is_taken)
{
	struct route_pause pause = observe_pauses(3);
	struct route_pause other = observe_pauses(5);
	gint64 end = pause.end_us;

	route_pause_learn(&other, &pause);
	ck_assert_int_eq(other.end_us, end + 2 * PERIOD);
	route_pause_learn(&pause, &other);
	ck_assert_int_eq(pause.end_us, end + 2 * PERIOD);
	pause = (struct route_pause){0};
	route_pause_learn(&pause, &other);
	ck_assert_int_eq(pause.period_us, PERIOD);
	/* A replica is not avoided for hours because of one damaged message. */
	pause = (struct route_pause){0};
	other.period_us = 900000 * MS;
	route_pause_learn(&pause, &other);
	other.period_us = 2 * MS;
	route_pause_learn(&pause, &other);
	other.period_us = PERIOD;
	other.length_us = 900000 * MS;
	route_pause_learn(&pause, &other);
	ck_assert_int_eq(pause.period_us, 0);
}
END_TEST

/* Plays queries of a daemon of a large fleet at one shard: every 2.5 s, for a
 * minute, while the daemons together meet each pause. The near replica pauses,
 * the far one does not.
 * Return: number of parts that take longer than 86 ms of an objective of 100.
 */
static guint count_late_parts(bool told)
{
	struct view view = view_create();
	struct route_pause pooled = observe_pauses(5);
	struct route_replica *near;
	guint late = 0;

	view_put(&view, "near", "a");
	view_put(&view, "far", "b");
	near = view_choose(&view, NULL);
	ck_assert_str_eq(near->id, "near");
	for (gint64 at = 5 * PERIOD; at < 60000 * MS; at += 7 * MS) {
		gint64 pause_no = at / PERIOD;
		struct route_replica *replica;
		gint64 done;

		view.now = at;
		route_pause_observe(&pooled,
				    FIRST + (pause_no - 1) * PERIOD + LENGTH,
				    LENGTH - 5 * MS);
		if (told && pooled.period_us)
			route_pause_learn(&near->pause, &pooled);
		replica = view_choose(&view, NULL);
		done = replica == near ? answer_at(at, 5 * MS) : at + 60 * MS;
		late += done - at > 86 * MS;
	}
	view_destroy(&view);
	return late;
}

/* The load of a fleet of 295 daemons: a query of 90 parts meets four pauses. */
START_TEST(parts_do_not_wait_for_pauses_that_the_fleet_knows)
{
	guint unknown = count_late_parts(false);
	guint told = count_late_parts(true);

	ck_assert_uint_ge(unknown, 100);
	ck_assert_uint_le(told, unknown / 10);
}
END_TEST

UNIT_MAIN("pause", a_regular_pause_is_predicted_after_three,
	  what_is_not_regular_is_not_predicted, the_stalls_of_one_pause_are_one,
	  later_knowledge_of_another_daemon_is_taken,
	  parts_do_not_wait_for_pauses_that_the_fleet_knows)
