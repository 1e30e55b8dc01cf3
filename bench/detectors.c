/*
 * detectors: compares detectors of a warm upstream that has become cold by
 * their delay and their rate of false alarms.
 *
 * Runs three detectors over the same simulated sequences of successful and
 * failed attempts:
 *   - k failures in a row;
 *   - an exponential moving average of the failure rate above a bound;
 *   - the exponential CUSUM over the times X between failures, in units of the
 *     mean time: C = max(0, C + k - X), alarm at C >= h, start at C = h/2
 *     (Bourke 2021, doi 10.1080/08982112.2021.1978489).
 * Each bound is calibrated to at most one false alarm per day at a constant
 * failure rate. A fourth detector, 5 failures in a row, is not calibrated.
 *
 * Prints a row for each detector: attempts until the alarm, median and 99th
 * percentile, for each failure rate of a cold upstream, and false alarms per
 * day at a constant failure rate and with bursts of failures.
 */
#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

#define ATTEMPTS_PER_S 50
#define DAY_ATTEMPTS   (86400 * ATTEMPTS_PER_S)
#define DAYS	       8 /* simulated, to count false alarms */
/* Simulated changes from warm to cold for each failure rate. */
#define CHANGES 2000
/* Attempts after which the simulation of one change ends without an alarm. */
#define DELAY_MAX 100000

/* Failure rates of a warm upstream, outside and within a burst. */
#define WARM_FAILURE_RATE  0.002
#define BURST_FAILURE_RATE 0.10

/* Interval between the starts of two bursts, and length of a burst. */
#define BURST_INTERVAL (600 * ATTEMPTS_PER_S)
#define BURST_LENGTH   (2 * ATTEMPTS_PER_S)

enum kind { IN_A_ROW, AVERAGE, CUSUM };

struct detector {
	enum kind kind;
	double bound; /* k in a row, failure rate, or h in mean times */
	double weight; /* of the latest attempt in the moving average */
	double reference; /* the CUSUM's k, in mean times between failures */
	double value; /* an alarm is raised when it reaches the bound */
	guint64 attempts; /* attempts since the last failure */
};

static void reset(struct detector *detector)
{
	detector->value = detector->kind == CUSUM ? detector->bound / 2 : 0;
	detector->attempts = 0;
}

/* Adds the result of one attempt; returns whether there is an alarm. */
static bool add_attempt(struct detector *detector, bool failed)
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
		detector->attempts++;
		if (!failed)
			return false;
		mean_times = (double)detector->attempts * WARM_FAILURE_RATE;
		detector->attempts = 0;
		detector->value = MAX(0, detector->value + detector->reference -
						 mean_times);
		break;
	}
	return detector->value >= detector->bound;
}

/* Returns the false alarms per day of a warm upstream. */
static double false_alarms_per_day(struct detector *detector, bool bursty,
				   guint32 seed)
{
	GRand *random = g_rand_new_with_seed(seed);
	guint alarms = 0;

	reset(detector);
	for (guint64 i = 0; i < (guint64)DAYS * DAY_ATTEMPTS; i++) {
		bool burst = bursty && i % BURST_INTERVAL < BURST_LENGTH;
		double rate = burst ? BURST_FAILURE_RATE : WARM_FAILURE_RATE;

		if (add_attempt(detector, g_rand_double(random) < rate)) {
			alarms++;
			reset(detector);
		}
	}
	g_rand_free(random);
	return (double)alarms / DAYS;
}

/*
 * Sets the bound to the lowest of first, first + step and so on that gives at
 * most one false alarm per day.
 */
static void calibrate(struct detector *detector, double first, double step)
{
	detector->bound = first;
	while (false_alarms_per_day(detector, false, 1) > 1)
		detector->bound += step;
}

static int compare(const void *a, const void *b)
{
	guint x = *(const guint *)a;
	guint y = *(const guint *)b;

	return (x > y) - (x < y);
}

/*
 * Prints the median and the 99th percentile of the number of attempts from the
 * change to cold until the alarm. Each simulated change follows 2000 attempts
 * of a warm upstream.
 */
static void print_delays(struct detector *detector, double cold_rate)
{
	GRand *random = g_rand_new_with_seed(2);
	guint delays[CHANGES];

	for (guint n = 0; n < CHANGES; n++) {
		guint delay = 0;

		reset(detector);
		for (guint i = 0; i < 2000; i++) {
			if (add_attempt(detector, g_rand_double(random) <
							  WARM_FAILURE_RATE))
				reset(detector);
		}
		while (delay < DELAY_MAX &&
		       !add_attempt(detector,
				    g_rand_double(random) < cold_rate))
			delay++;
		delays[n] = delay + 1;
	}
	qsort(delays, CHANGES, sizeof(delays[0]), compare);
	printf("  %6u /%6u", delays[CHANGES / 2], delays[CHANGES * 99 / 100]);
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
	static const double rates[] = {0.1, 0.3, 0.6, 0.95};

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
		for (guint n = 0; n < G_N_ELEMENTS(rates); n++)
			print_delays(&detectors[i], rates[n]);
		printf("   %.2f  %.2f\n",
		       false_alarms_per_day(&detectors[i], false, 3),
		       false_alarms_per_day(&detectors[i], true, 4));
	}
	return EXIT_SUCCESS;
}
