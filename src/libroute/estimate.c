/*
 * How long an answer takes, learned from answers.
 *
 * An answer takes the way to the replica's zone, and the work of the route
 * times the slowness of the replica. Both are moving averages; so a route of
 * light requests is not judged by heavier ones at the same replica.
 */
#include "fleet.h"

#include <math.h>
#include <string.h>

/* Round trips until connections tell, by distance. The far one is between the
 * two sites' distances between regions, 24 and 40 ms. */
#define SAME_ZONE_US   800
#define SAME_REGION_US 2000
#define FAR_US	       32000

/* Work of a route that nobody has asked yet, as a share of its objective, and
 * its deviation: that of a log-normal time with a spread of 0.35. A first hedge
 * then goes out at two fifths of the objective; 20 ms for all routes sent 17
 * hedges with each first query of 28 ms of work. */
#define FIRST_WORK_SHARE 0.2
#define FIRST_DEVIATION	 0.3

/* The same for a route without an objective. */
#define FIRST_WORK_US 20000

/* Weight of a new sample in the averages of a route, which has one sample for
 * each part, and of a replica. */
#define WORK_WEIGHT	0.02
#define SLOWNESS_WEIGHT 0.2

/* A sample counts as at most this many times its estimate: one pause does not
 * turn a replica away, a slow one is left after some answers. */
#define SAMPLE_FACTOR_MAX 3.0

/* One answer is reported to others as at most this slow. */
#define TALLY_MAX 20.0

/* Slowness of a replica that answers at once. */
#define SLOWNESS_MIN 0.2

/* A sample loses half of its say in this time, so that a replica that was slow
 * or failing is tried again. */
#define FORGET_HALF_US (3.0 * CS_US_PER_S)

/* Weight of one outcome in the failure rate: a single failure does not outweigh
 * the way to another region, two in a row do. */
#define FAILURE_WEIGHT 0.1

/* A cold replica works this much slower, by the sites' figures. */
#define COLD_FACTOR 1.6

/* An attempt this many times over its estimate, and this much in all, shows
 * that its replica stands still. */
#define OVERDUE_FACTOR 2.5
#define OVERDUE_US     10000

/* First pause after a connection that did not come about; doubled for each
 * further one in a row. A replica that went down is listed for 3.6 s more. */
#define SUSPECT_US	  (800 * CS_US_PER_MS)
#define SUSPECT_DOUBLINGS 2

/* A hedge waits for the estimate and this many mean deviations: of a log-normal
 * service three answers in a hundred are later. */
#define HEDGE_DEVIATIONS 3.0
#define HEDGE_MIN_US	 4000

/* A replica known to be slow is waited for no longer than a usual one, times
 * this. */
#define HEDGE_SLOWNESS_MAX 1.5

/* Weight of a connection that took longer than the known round trip. */
#define ROUND_TRIP_WEIGHT 0.05

/* Share of its say that a figure of this age still has. */
static double say(gint64 age_us)
{
	return exp2(-(double)age_us / FORGET_HALF_US);
}

static void move(double *average, double sample, double weight)
{
	*average += weight * (sample - *average);
}

struct route_work *route_fleet_work(struct route_fleet *fleet,
				    const struct route *route)
{
	struct route_work *work =
		g_hash_table_lookup(fleet->works, route->name);

	if (work)
		return work;
	work = g_new0(struct route_work, 1);
	work->us = route->objective_us > 0
			   ? FIRST_WORK_SHARE * (double)route->objective_us
			   : FIRST_WORK_US;
	work->deviation = FIRST_DEVIATION;
	g_hash_table_insert(fleet->works, g_strdup(route->name), work);
	return work;
}

/* ---- distances ---- */

static double usual_round_trip(enum route_distance distance)
{
	switch (distance) {
	case ROUTE_SAME_ZONE:
		return SAME_ZONE_US;
	case ROUTE_SAME_REGION:
		return SAME_REGION_US;
	case ROUTE_FAR:
	case ROUTE_DISTANCES:
		break;
	}
	return FAR_US;
}

static double *round_trip_of(const struct route_replica *replica)
{
	return replica->pool
		       ? g_hash_table_lookup(replica->pool->fleet->round_trips,
					     replica->zone)
		       : NULL;
}

double route_round_trip_us(const struct route_replica *replica)
{
	const double *known = round_trip_of(replica);

	return known ? *known : usual_round_trip(replica->distance);
}

void route_replica_connected(struct route_replica *replica, gint64 us)
{
	double *known = round_trip_of(replica);
	double sample = (double)us;

	if (!replica->pool)
		return;
	if (!known) {
		known = g_new(double, 1);
		*known = MIN(sample, 2 * usual_round_trip(replica->distance));
		g_hash_table_insert(replica->pool->fleet->round_trips,
				    g_strdup(replica->zone), known);
	} else if (sample < *known) {
		*known = sample;
	} else {
		move(known, MIN(sample, 2 * *known), ROUND_TRIP_WEIGHT);
	}
}

/* ---- answers ---- */

/* What is left of a replica's slowness after the age of the last sample, or of
 * a later report shared by others. */
static double slowness_of(const struct route_replica *replica, gint64 now_us)
{
	const struct route_evidence *shared = &replica->shared;
	bool is_shared = shared->at_us > replica->sampled_us;
	double slowness = is_shared ? shared->slowness : replica->slowness;
	gint64 at_us = is_shared ? shared->at_us : replica->sampled_us;
	double weight;

	if (!at_us)
		return replica->cold_until_us > now_us ? COLD_FACTOR : 1;
	weight = say(now_us - at_us);
	return slowness * weight + (1 - weight);
}

double route_expected_us(const struct route_work *work,
			 const struct route_replica *replica, gint64 now_us)
{
	return route_round_trip_us(replica) +
	       work->us * slowness_of(replica, now_us);
}

bool route_is_overdue(const struct route_attempt *attempt, gint64 now_us)
{
	return (double)(now_us - attempt->sent_us) >
	       OVERDUE_FACTOR * route_expected_us(attempt->work,
						  attempt->replica, now_us) +
		       OVERDUE_US;
}

double route_failure_rate(const struct route_replica *replica, gint64 now_us)
{
	const struct route_evidence *shared = &replica->shared;

	if (shared->at_us > replica->failed_us)
		return shared->failure_rate * say(now_us - shared->at_us);
	return replica->failure_rate * say(now_us - replica->failed_us);
}

gint64 route_hedge_us(const struct route_work *work,
		      const struct route_replica *replica, gint64 now_us)
{
	double slowness = MIN(slowness_of(replica, now_us), HEDGE_SLOWNESS_MAX);
	double us =
		route_round_trip_us(replica) +
		work->us * slowness * (1 + HEDGE_DEVIATIONS * work->deviation);

	return MAX((gint64)us, HEDGE_MIN_US);
}

static void learn_time(struct route_work *work, struct route_replica *replica,
		       double sample_us, gint64 now_us)
{
	double slowness = slowness_of(replica, now_us);
	double spent = MAX(sample_us - route_round_trip_us(replica), 100.0);
	double ratio = spent / work->us;

	replica->unreported.answers++;
	replica->unreported.slowness += MIN(ratio, TALLY_MAX);
	ratio = CLAMP(ratio, SLOWNESS_MIN, SAMPLE_FACTOR_MAX * slowness);
	move(&work->deviation, fabs(ratio / slowness - 1), WORK_WEIGHT);
	move(&work->us, work->us * ratio / MAX(slowness, 1), WORK_WEIGHT);
	move(&slowness, ratio, SLOWNESS_WEIGHT);
	replica->slowness = slowness;
	replica->sampled_us = now_us;
}

static void learn_failure(struct route_replica *replica, double failed,
			  gint64 now_us)
{
	replica->unreported.failures += failed > 0;
	replica->failure_rate = route_failure_rate(replica, now_us);
	move(&replica->failure_rate, failed, FAILURE_WEIGHT);
	replica->failed_us = now_us;
}

static void suspect(struct route_replica *replica, gint64 now_us)
{
	guint doublings = MIN(replica->failure_run, SUSPECT_DOUBLINGS);

	replica->suspect_until_us = now_us + (SUSPECT_US << doublings);
	replica->failure_run++;
}

static void learn(const struct route_attempt *attempt, enum route_result result,
		  gint64 now_us)
{
	struct route_replica *replica = attempt->replica;

	switch (result) {
	case ROUTE_GOOD:
		replica->failure_run = 0;
		replica->suspect_until_us = 0;
		learn_failure(replica, 0, now_us);
		learn_time(attempt->work, replica,
			   (double)(now_us - attempt->sent_us), now_us);
		break;
	case ROUTE_SHED:
		learn_failure(replica, 1, now_us);
		break;
	case ROUTE_MISPLACED:
		replica->misplaced = true;
		break;
	case ROUTE_FAILED:
		learn_failure(replica, 1, now_us);
		replica->failure_run++;
		break;
	case ROUTE_UNREACHED:
		learn_failure(replica, 1, now_us);
		suspect(replica, now_us);
		break;
	case ROUTE_DROPPED:
		/* The answer would have taken longer still. */
		if (route_is_overdue(attempt, now_us))
			learn_time(attempt->work, replica,
				   (double)(now_us - attempt->sent_us), now_us);
		break;
	}
}

void route_attempt_begin(struct route_attempt *attempt,
			 struct route_replica *replica, struct route_work *work,
			 gint64 now_us)
{
	attempt->replica = route_replica_ref(replica);
	attempt->work = work;
	attempt->sent_us = now_us;
	TAILQ_INSERT_TAIL(&replica->open, attempt, link);
	replica->n_open++;
	if (replica->cold_until_us > now_us && replica->cold_tokens >= 1)
		replica->cold_tokens -= 1;
}

void route_attempt_end(struct route_attempt *attempt, enum route_result result,
		       gint64 now_us)
{
	struct route_replica *replica = attempt->replica;

	TAILQ_REMOVE(&replica->open, attempt, link);
	replica->n_open--;
	if (replica->pool)
		learn(attempt, result, now_us);
	attempt->replica = NULL;
	route_replica_unref(replica);
}
