/* Learns the regular pauses of a replica from the ends of its stalls. */
#include "cuminsail/route_pause.h"

#include "cuminsail/clock.h"

#include <stdlib.h>

/* A stall is longer than the expected time by this factor and this time. */
#define STALL_FACTOR 1.5
#define STALL_MIN_US (40 * CS_US_PER_MS)

/* Longest pause: what lasts longer is a failure. */
#define LENGTH_MAX_US (1 * CS_US_PER_S)

/* Intervals that are learned. */
#define PERIOD_MIN_US (1 * CS_US_PER_S)
#define PERIOD_MAX_US (60 * CS_US_PER_S)

/* Stalls whose ends are no further apart are one: the answers of a replica that
 * continues queue up at its link and at that of the daemon. */
#define MERGE_US (150 * CS_US_PER_MS)

/* How far the end of a pause may be from the prediction, for the same reason.
 */
#define TOLERANCE_US (60 * CS_US_PER_MS)

/* The same while a period is sought, where chance agreement has to be rare. */
#define FIND_TOLERANCE_US (12 * CS_US_PER_MS)

/* Earlier stalls that have to agree with a new period. */
#define AGREE_MIN 2

/* Weight of a new interval in the period. */
#define PERIOD_WEIGHT 0.5

/* Share of the known length that is kept if the last stall was shorter: no
 * request may have come at its begin. */
#define LENGTH_KEEP 0.9

/* A pause is expected to begin earlier and to end later by this time: the
 * clocks of two daemons are compared through one message. */
#define MARGIN_US (15 * CS_US_PER_MS)

/* A prediction holds for this many periods after the last agreement. */
#define VALID_PERIODS 12

/* Contradictions that end a prediction. */
#define AGAINST_MAX 4

bool route_pause_is_stall(gint64 took_us, gint64 expected_us)
{
	return (double)took_us >
	       STALL_FACTOR * (double)expected_us + STALL_MIN_US;
}

static void contradict(struct route_pause *pause)
{
	if (pause->period_us && ++pause->n_against >= AGAINST_MAX)
		pause->period_us = 0;
}

/* The newest stall may still be found to have ended earlier, so the period is
 * computed anew from the one before it.
 * Return: whether the newest stall agrees with the period. */
static bool check_period(struct route_pause *pause)
{
	gint64 since_us = pause->ends_us[0] - pause->before_us;
	gint64 n = (since_us + pause->period_before_us / 2) /
		   pause->period_before_us;
	gint64 off_us = since_us - n * pause->period_before_us;

	if (llabs(off_us) > TOLERANCE_US)
		return false;
	if (n < 1)
		return true;
	pause->period_us = pause->period_before_us +
			   (gint64)(PERIOD_WEIGHT * (double)off_us / (double)n);
	pause->end_us = pause->ends_us[0];
	pause->length_us = MAX(pause->length_us, pause->stall_us);
	pause->n_against = 0;
	return true;
}

/* Return: number of the earlier stalls that are whole periods before the
 * newest. */
static guint count_regular(const struct route_pause *pause, gint64 period_us)
{
	guint n = 0;

	for (int i = 1; i < ROUTE_PAUSE_STALLS && pause->ends_us[i]; i++) {
		gint64 since_us = pause->ends_us[0] - pause->ends_us[i];
		gint64 off_us =
			(since_us + period_us / 2) % period_us - period_us / 2;

		n += llabs(off_us) <= FIND_TOLERANCE_US;
	}
	return n;
}

static guint count_stalls(const struct route_pause *pause)
{
	guint n = 0;

	while (n < ROUTE_PAUSE_STALLS && pause->ends_us[n])
		n++;
	return n;
}

/* Seeks the period that most stalls agree with, the longest one of these.
 * Nobody may have met some of the pauses, and some stalls have other causes. */
static void find_period(struct route_pause *pause)
{
	guint n_stalls = count_stalls(pause);
	guint best = 0;

	for (guint i = 1; i < n_stalls; i++) {
		gint64 period_us = pause->ends_us[0] - pause->ends_us[i];
		guint n;

		if (period_us < PERIOD_MIN_US || period_us > PERIOD_MAX_US)
			continue;
		n = count_regular(pause, period_us);
		if (n < AGREE_MIN || 2 * (n + 1) < n_stalls || n < best)
			continue;
		best = n;
		pause->period_us = period_us;
	}
	if (!best)
		return;
	pause->period_before_us = pause->period_us;
	pause->before_us = pause->end_us = pause->ends_us[0];
	pause->length_us = MAX(pause->stall_us, pause->length_us);
	pause->n_against = 0;
}

/* Starts to compare with the last stall that agreed. */
static void advance(struct route_pause *pause)
{
	if (!pause->period_us || pause->end_us == pause->before_us)
		return;
	pause->before_us = pause->end_us;
	pause->period_before_us = pause->period_us;
	pause->length_us = (gint64)(LENGTH_KEEP * (double)pause->length_us);
}

static void add_stall(struct route_pause *pause, gint64 end_us,
		      gint64 length_us)
{
	contradict(pause);
	advance(pause);
	for (int i = ROUTE_PAUSE_STALLS - 1; i > 0; i--)
		pause->ends_us[i] = pause->ends_us[i - 1];
	pause->ends_us[0] = end_us;
	pause->stall_us = length_us;
}

void route_pause_observe(struct route_pause *pause, gint64 end_us,
			 gint64 length_us)
{
	gint64 newest_us = pause->ends_us[0];

	if (length_us > LENGTH_MAX_US) {
		contradict(pause);
		return;
	}
	if (newest_us && llabs(end_us - newest_us) <= MERGE_US) {
		pause->ends_us[0] = MIN(newest_us, end_us);
		pause->stall_us = MAX(pause->stall_us, length_us);
	} else if (end_us > newest_us) {
		add_stall(pause, end_us, length_us);
	} else {
		return;
	}
	if (!pause->period_us || !check_period(pause))
		find_period(pause);
}

/* Return: end of the first pause that ends after a time; 0 if none is
 * predicted. */
static gint64 next_end_us(const struct route_pause *pause, gint64 at_us)
{
	gint64 end_us = pause->end_us;

	if (!pause->period_us ||
	    at_us - end_us > VALID_PERIODS * pause->period_us)
		return 0;
	while (end_us + MARGIN_US < at_us)
		end_us += pause->period_us;
	return end_us;
}

void route_pause_answered(struct route_pause *pause, gint64 arrived_us,
			  gint64 done_us)
{
	gint64 end_us = next_end_us(pause, arrived_us);

	if (end_us && arrived_us > end_us - pause->length_us * 3 / 4 &&
	    done_us < end_us - pause->length_us / 4)
		contradict(pause);
}

void route_pause_learn(struct route_pause *pause,
		       const struct route_pause *other)
{
	if (other->period_us < PERIOD_MIN_US ||
	    other->period_us > PERIOD_MAX_US ||
	    other->length_us > LENGTH_MAX_US)
		return;
	if (pause->period_us && pause->end_us + TOLERANCE_US >= other->end_us)
		return;
	pause->period_us = other->period_us;
	pause->period_before_us = other->period_us;
	pause->end_us = pause->before_us = other->end_us;
	pause->length_us = other->length_us;
	pause->n_against = 0;
}

gint64 route_pause_delay_us(const struct route_pause *pause, gint64 arrive_us,
			    gint64 work_us)
{
	gint64 end_us = next_end_us(pause, arrive_us);
	gint64 begin_us = end_us - pause->length_us - MARGIN_US;

	if (!end_us || arrive_us + work_us < begin_us)
		return 0;
	return end_us + MARGIN_US - arrive_us;
}
