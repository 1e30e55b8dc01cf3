/*
 * detectors: how soon, and how wrongly, is a warm upstream found cold?
 *
 * Three detectors over the same traces of attempts, good or failed, each set to
 * at most one false alarm a day on the steady trace: k failures in a row; a
 * moving average of failures above a bound; and the exponential CUSUM over the
 * times between failures, C = max(0, C + k - X), alarm above h, started at h/2
 * (Bourke 2021, doi 10.1080/08982112.2021.1978489).
 *
 * Prints a row for each detector and kind of cold: attempts until the alarm,
 * median and worst of 99 in 100, and false alarms a day on two traces.
 */
#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

#define ATTEMPTS_PER_S 50
#define DAY_ATTEMPTS   (86400 * ATTEMPTS_PER_S)
#define DAYS	       8
#define SHIFTS	       2000
#define GIVE_UP	       100000

/* Share of failures while warm, and within a burst of the bursty trace. */
#define WARM_SHARE  0.002
#define BURST_SHARE 0.10
#define BURST_EVERY (600 * ATTEMPTS_PER_S)
#define BURST_LONG  (2 * ATTEMPTS_PER_S)

enum kind { IN_A_ROW, AVERAGE, CUSUM };

struct detector {
	enum kind kind;
	double bound; /* k in a row, share, or h in mean times */
	double weight;
	double reference; /* the CUSUM's k, in mean times between failures */
	double value;
	guint64 since; /* attempts since the last failure */
};

static void reset(struct detector *detector)
{
	detector->value = detector->kind == CUSUM ? detector->bound / 2 : 0;
	detector->since = 0;
}

/* One attempt; true on an alarm. */
static bool take(struct detector *detector, bool failed)
{
	double mean_times;

	switch (detector->kind) {
	case IN_A_ROW:
		detector->value = failed ? detector->value + 1 : 0;
		break;
	case AVERAGE:
		detector->value +=
			detector->weight * (failed - detector->value);
		break;
	case CUSUM:
		detector->since++;
		if (!failed)
			return false;
		mean_times = (double)detector->since * WARM_SHARE;
		detector->since = 0;
		detector->value = MAX(0, detector->value + detector->reference -
						 mean_times);
		break;
	}
	return detector->value >= detector->bound;
}

static double false_alarms(struct detector *detector, bool bursty, guint32 seed)
{
	GRand *random = g_rand_new_with_seed(seed);
	guint alarms = 0;

	reset(detector);
	for (guint64 i = 0; i < (guint64)DAYS * DAY_ATTEMPTS; i++) {
		bool burst = bursty && i % BURST_EVERY < BURST_LONG;
		double share = burst ? BURST_SHARE : WARM_SHARE;

		if (take(detector, g_rand_double(random) < share)) {
			alarms++;
			reset(detector);
		}
	}
	g_rand_free(random);
	return (double)alarms / DAYS;
}

/* The lowest bound of a ladder with at most one false alarm a day. */
static void calibrate(struct detector *detector, double first, double step)
{
	detector->bound = first;
	while (false_alarms(detector, false, 1) > 1)
		detector->bound += step;
}

static int compare(const void *a, const void *b)
{
	guint x = *(const guint *)a;
	guint y = *(const guint *)b;

	return (x > y) - (x < y);
}

static void print_delays(struct detector *detector, double cold_share)
{
	GRand *random = g_rand_new_with_seed(2);
	guint delays[SHIFTS];

	for (guint n = 0; n < SHIFTS; n++) {
		guint delay = 0;

		reset(detector);
		for (guint i = 0; i < 2000; i++) {
			if (take(detector, g_rand_double(random) < WARM_SHARE))
				reset(detector);
		}
		while (delay < GIVE_UP &&
		       !take(detector, g_rand_double(random) < cold_share))
			delay++;
		delays[n] = delay + 1;
	}
	qsort(delays, SHIFTS, sizeof(delays[0]), compare);
	printf("  %6u /%6u", delays[SHIFTS / 2], delays[SHIFTS * 99 / 100]);
	g_rand_free(random);
}

int main(void)
{
	struct detector detectors[] = {
		{.kind = IN_A_ROW},
		{.kind = AVERAGE, .weight = 0.1},
		{.kind = CUSUM, .reference = 0.05},
		{.kind = IN_A_ROW, .bound = 5},
	};
	static const char *const names[] = {"in a row", "average", "cusum",
					    "five"};
	static const double shares[] = {0.1, 0.3, 0.6, 0.95};

	calibrate(&detectors[0], 2, 1);
	calibrate(&detectors[1], 0.15, 0.02);
	calibrate(&detectors[2], 0.1, 0.02);
	printf("%-9s %6s  attempts until the alarm, median / 99 in 100, by "
	       "share "
	       "of failures 0.1, 0.3, 0.6, 0.95; false alarms a day, steady, "
	       "bursty\n",
	       "detector", "bound");
	for (guint i = 0; i < G_N_ELEMENTS(detectors); i++) {
		printf("%-9s %6.2f", names[i], detectors[i].bound);
		for (guint n = 0; n < G_N_ELEMENTS(shares); n++)
			print_delays(&detectors[i], shares[n]);
		printf("   %.2f  %.2f\n", false_alarms(&detectors[i], false, 3),
		       false_alarms(&detectors[i], true, 4));
	}
	return EXIT_SUCCESS;
}
