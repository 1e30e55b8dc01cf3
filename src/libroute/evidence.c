/*
 * What many daemons see of the replicas, put together.
 *
 * A daemon of a large fleet asks one replica about once a second and would need
 * many seconds to learn that it is slow. So each reports its attempts to the
 * seed that it follows; the seed pools the reports and tells all that follow it
 * which replicas are slow or fail. Nobody has to believe it: the next answer
 * that a daemon sees itself counts more.
 */
#include "fleet.h"

#include <math.h>

/* Half of a new figure is taken up in this time. A replica pauses for 200 to
 * 300 ms, which is to pass before it is turned away. */
#define POOL_HALF_US (350.0 * CS_US_PER_MS)

/* Most weight of one attempt, as in the estimates of a daemon of its own. */
#define ATTEMPT_WEIGHT 0.2

/* A report counts as at most this many times what is known. */
#define GROWTH_MAX 3.0

/* An outlier is so slow that the way to another region is shorter, by the
 * sites' figures, or failing more often than a connection is lost now and then.
 */
#define OUTLIER_SLOWNESS 2.5
#define OUTLIER_FAILURES 0.2

/* It is shared when it has lasted so long: above the longest pause. */
#define OUTLIER_MIN_US (400 * CS_US_PER_MS)

/* Reported before others. */
#define ODD_SLOWNESS 1.6

/* Pooled figures fade as those of one daemon, see FORGET_HALF_US. */
#define FADE_HALF_US (3.0 * CS_US_PER_S)

static bool is_odd(const struct route_tally *tally)
{
	return tally->failures ||
	       tally->slowness > ODD_SLOWNESS * tally->answers;
}

/* An open attempt that is overdue says as much as a slow answer: those of a
 * replica that hangs never come. */
static void add_overdue(struct route_replica *replica, gint64 now_us)
{
	const struct route_attempt *oldest = TAILQ_FIRST(&replica->open);

	if (!oldest || !route_is_overdue(oldest, now_us))
		return;
	replica->unreported.answers++;
	replica->unreported.slowness +=
		(double)(now_us - oldest->sent_us) / oldest->work->us;
}

struct reporting {
	guint left;
	void (*visit)(const char *id, const struct route_tally *tally,
		      void *user);
	void *user;
};

/* Reports replicas that are odd, or those that are not. */
static void report(struct route_fleet *fleet, bool odd,
		   struct reporting *reporting)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->replicas);
	while (reporting->left && g_hash_table_iter_next(&iter, NULL, &value)) {
		struct route_replica *replica = value;
		struct route_tally *tally = &replica->unreported;

		if (!(tally->answers + tally->failures) || is_odd(tally) != odd)
			continue;
		reporting->visit(replica->id, tally, reporting->user);
		*tally = (struct route_tally){0};
		reporting->left--;
	}
}

void route_fleet_report(struct route_fleet *fleet, guint most, gint64 now_us,
			void (*visit)(const char *id,
				      const struct route_tally *tally,
				      void *user),
			void *user)
{
	struct reporting reporting = {most, visit, user};
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->replicas);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		add_overdue(value, now_us);

	report(fleet, true, &reporting);
	report(fleet, false, &reporting);
}

/* What is left of the pooled figures when nobody has asked for some time. */
static struct route_evidence faded(const struct route_evidence *evidence,
				   gint64 now_us)
{
	double left = exp2(-(double)(now_us - evidence->at_us) / FADE_HALF_US);

	return (struct route_evidence){
		.slowness = 1 + left * (evidence->slowness - 1),
		.failure_rate = left * evidence->failure_rate,
		.at_us = now_us,
	};
}

/* Weight of a number of attempts that came so long after the last ones. */
static double weight_of(guint attempts, gint64 gap_us)
{
	double by_number = 1 - pow(1 - ATTEMPT_WEIGHT, attempts);
	double by_time = 1 - exp2(-(double)MAX(gap_us, 1) / POOL_HALF_US);

	return MIN(by_number, by_time);
}

static bool is_outlier(const struct route_evidence *evidence)
{
	return evidence->slowness >= OUTLIER_SLOWNESS ||
	       evidence->failure_rate >= OUTLIER_FAILURES;
}

void route_fleet_pool_report(struct route_fleet *fleet, const char *id,
			     const struct route_tally *tally, gint64 now_us)
{
	struct route_replica *replica =
		g_hash_table_lookup(fleet->replicas, id);
	guint attempts = tally->answers + tally->failures;
	struct route_evidence *pooled;
	double weight;

	if (!replica || !attempts)
		return;
	pooled = &replica->pooled;
	if (!pooled->at_us)
		*pooled = (struct route_evidence){.slowness = 1};
	weight = weight_of(attempts, now_us - pooled->at_us);
	*pooled = faded(pooled, now_us);
	if (tally->answers) {
		double slowness = tally->slowness / tally->answers;

		slowness = MIN(slowness, GROWTH_MAX * pooled->slowness);
		pooled->slowness += weight * (slowness - pooled->slowness);
	}
	pooled->failure_rate += weight * ((double)tally->failures / attempts -
					  pooled->failure_rate);
	if (!is_outlier(pooled))
		replica->outlier_us = 0;
	else if (!replica->outlier_us)
		replica->outlier_us = now_us;
}

void route_fleet_outliers(struct route_fleet *fleet, guint most, gint64 now_us,
			  void (*visit)(const char *id,
					const struct route_evidence *evidence,
					void *user),
			  void *user)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->replicas);
	while (most && g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct route_replica *replica = value;
		struct route_evidence now;

		if (!replica->outlier_us ||
		    now_us - replica->outlier_us < OUTLIER_MIN_US)
			continue;
		now = faded(&replica->pooled, now_us);
		if (!is_outlier(&now))
			continue;
		visit(replica->id, &now, user);
		most--;
	}
}

static bool is_usual(const struct route_evidence *evidence)
{
	return evidence->slowness <= 1 && evidence->failure_rate <= 0;
}

bool route_fleet_take_outlier(struct route_fleet *fleet, const char *id,
			      const struct route_evidence *evidence)
{
	struct route_replica *replica =
		g_hash_table_lookup(fleet->replicas, id);
	bool is_new;

	if (!replica)
		return false;
	is_new = !replica->shared.at_us || is_usual(&replica->shared);
	replica->shared = *evidence;
	return is_new;
}

void route_fleet_end_outliers(struct route_fleet *fleet, gint64 now_us,
			      void (*visit)(const char *id, void *user),
			      void *user)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->replicas);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct route_replica *replica = value;
		struct route_evidence *shared = &replica->shared;

		if (!shared->at_us || shared->at_us == now_us ||
		    is_usual(shared))
			continue;
		*shared =
			(struct route_evidence){.slowness = 1, .at_us = now_us};
		visit(replica->id, user);
	}
}
