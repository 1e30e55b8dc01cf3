/*
 * Estimates the time to an answer and the failure rate from past attempts.
 *
 * The expected time is the network round trip to the replica's zone plus the
 * processing time ("work") of the route times the slowness of the replica.
 * Work and slowness are separate moving averages, so that heavy requests at a
 * replica do not raise the estimate for a route of light ones.
 */
#include "fleet.h"

#include <math.h>
#include <string.h>

/* Default round trips by distance, until a connection is measured. The far one
 * lies between the 24 and 40 ms between regions of two deployments. */
#define SAME_ZONE_RTT_US   800
#define SAME_REGION_RTT_US 2000
#define FAR_RTT_US	   32000

/* Initial work of a route without samples, as a share of its objective, and
 * its initial mean deviation: that of a log-normal time with a spread of 0.35.
 * The first hedge is then sent after two fifths of the objective. An initial
 * work of 20 ms for all routes sent 17 hedges with each first query of a route
 * whose work was 28 ms. */
#define INITIAL_WORK_SHARE 0.2
#define INITIAL_DEVIATION  0.3

/* Initial work of a route without an objective. */
#define INITIAL_WORK_US 20000

/* Weight of a new sample in the moving averages of a route and of a replica.
 * A route's is smaller, since it gets one sample for each part. */
#define WORK_WEIGHT	0.02
#define SLOWNESS_WEIGHT 0.2

/* The initial work counts as this many samples, so that the first query of a
 * route nearly replaces it: a daemon of a large fleet sees a route every few
 * seconds. */
#define INITIAL_SAMPLES 4

/* A sample is limited to this many times the estimate, so that a replica is not
 * avoided after a single pause, while a slow one is after some answers. */
#define SAMPLE_FACTOR_MAX 3.0

/* Lower limit of a sample, for a replica that answers at once. */
#define SLOWNESS_MIN 0.2

/* Half-life of a sample's weight. Estimates decay to the typical values, so
 * that a replica that was slow or failing is tried again. */
#define SAMPLE_HALF_LIFE_US (3.0 * CS_US_PER_S)

/* Weight of one outcome in the failure rate. The cost of a single failure does
 * not exceed the round trip to another region; that of two in a row does. */
#define FAILURE_WEIGHT 0.1

/* Slowness of a cold replica, according to the figures for the deployments. */
#define COLD_FACTOR 1.6

/* An attempt is overdue, and its replica stalled, when its time exceeds the
 * estimate times OVERDUE_FACTOR plus OVERDUE_US. */
#define OVERDUE_FACTOR 2.5
#define OVERDUE_US     10000

/* How long a replica is suspect after a failed connect; doubled with each
 * consecutive failure, up to SUSPECT_DOUBLINGS_MAX times. A replica that went
 * down stays listed for 3.6 s. */
#define SUSPECT_US	      (800 * CS_US_PER_MS)
#define SUSPECT_DOUBLINGS_MAX 2

/* A hedge is sent after the estimate plus this many mean deviations. With
 * log-normal processing times, 3 % of the answers are later. */
#define HEDGE_DEVIATIONS 3.0
#define HEDGE_MIN_US	 4000

/* Limit on the slowness used for the hedge delay, so that attempts at a replica
 * known to be slow are hedged after at most this many times the typical time.
 */
#define HEDGE_SLOWNESS_MAX 1.5

/* Weight of a sample above the known round trip. A lower one replaces it. */
#define ROUND_TRIP_WEIGHT 0.05

/* Return: the weight, 0 to 1, that a sample of the given age still has. */
static double decay_weight(gint64 age_us)
{
	return exp2(-(double)age_us / SAMPLE_HALF_LIFE_US);
}

static void update_average(double *average, double sample, double weight)
{
	*average += weight * (sample - *average);
}

struct route_work *route_fleet_work(struct route_fleet *fleet,
				    const struct route *route)
{
	struct route_work *work =
		g_hash_table_lookup(fleet->work_by_route, route->name);

	if (work)
		return work;
	work = g_new0(struct route_work, 1);
	work->mean_us =
		route->objective_us > 0
			? INITIAL_WORK_SHARE * (double)route->objective_us
			: INITIAL_WORK_US;
	work->mean_deviation = INITIAL_DEVIATION;
	g_hash_table_insert(fleet->work_by_route, g_strdup(route->name), work);
	return work;
}

/* ---- distances ---- */

static double default_round_trip_us(enum route_distance distance)
{
	switch (distance) {
	case ROUTE_SAME_ZONE:
		return SAME_ZONE_RTT_US;
	case ROUTE_SAME_REGION:
		return SAME_REGION_RTT_US;
	case ROUTE_FAR:
	case ROUTE_DISTANCES:
		break;
	}
	return FAR_RTT_US;
}

static double *measured_round_trip(const struct route_replica *replica)
{
	return replica->pool
		       ? g_hash_table_lookup(replica->pool->fleet->round_trips,
					     replica->zone)
		       : NULL;
}

double route_round_trip_us(const struct route_replica *replica)
{
	const double *known = measured_round_trip(replica);

	return known ? *known : default_round_trip_us(replica->distance);
}

gint64 route_replica_round_trip_us(const struct route_replica *replica)
{
	return (gint64)route_round_trip_us(replica);
}

void route_replica_connected(struct route_replica *replica, gint64 us)
{
	double *known = measured_round_trip(replica);
	double sample = (double)us;

	if (!replica->pool)
		return;
	if (!known) {
		known = g_new(double, 1);
		*known = MIN(sample,
			     2 * default_round_trip_us(replica->distance));
		g_hash_table_insert(replica->pool->fleet->round_trips,
				    g_strdup(replica->zone), known);
	} else if (sample < *known) {
		*known = sample;
	} else {
		update_average(known, MIN(sample, 2 * *known),
			       ROUND_TRIP_WEIGHT);
	}
}

/* ---- answers ---- */

/* Estimate a replica's slowness from this daemon's last sample, or from a later
 * estimate pooled by a seed, decayed by its age. */
static double estimate_slowness(const struct route_replica *replica,
				gint64 now_us)
{
	const struct route_health *received = &replica->received;
	bool use_received = received->at_us > replica->slowness_at_us;
	double slowness = use_received ? received->slowness : replica->slowness;
	gint64 at_us = use_received ? received->at_us : replica->slowness_at_us;
	double weight;

	if (!at_us)
		return replica->cold_until_us > now_us ? COLD_FACTOR : 1;
	weight = decay_weight(now_us - at_us);
	return slowness * weight + (1 - weight);
}

double route_expected_us(const struct route_work *work,
			 const struct route_replica *replica, gint64 now_us)
{
	return route_round_trip_us(replica) +
	       work->mean_us * estimate_slowness(replica, now_us);
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
	const struct route_health *received = &replica->received;

	if (received->at_us > replica->failure_rate_at_us)
		return received->failure_rate *
		       decay_weight(now_us - received->at_us);
	return replica->failure_rate *
	       decay_weight(now_us - replica->failure_rate_at_us);
}

gint64 route_hedge_delay_us(const struct route_work *work,
			    const struct route_replica *replica, gint64 now_us)
{
	double slowness =
		MIN(estimate_slowness(replica, now_us), HEDGE_SLOWNESS_MAX);
	double us = route_round_trip_us(replica) +
		    work->mean_us * slowness *
			    (1 + HEDGE_DEVIATIONS * work->mean_deviation);

	return MAX((gint64)us, HEDGE_MIN_US);
}

/* Return: the weight of the next sample of a route. */
static double next_work_weight(struct route_work *work)
{
	guint n = INITIAL_SAMPLES + work->n_samples;

	if (1.0 / (n + 1) <= WORK_WEIGHT)
		return WORK_WEIGHT;
	work->n_samples++;
	return 1.0 / (n + 1);
}

static void add_time_sample(struct route_work *work,
			    struct route_replica *replica, double sample_us,
			    gint64 now_us)
{
	double slowness = estimate_slowness(replica, now_us);
	double work_us = MAX(sample_us - route_round_trip_us(replica), 100.0);
	double ratio = work_us / work->mean_us;
	double weight = next_work_weight(work);

	replica->unreported.answers++;
	replica->unreported.slowness += MIN(ratio, ROUTE_REPORTED_SLOWNESS_MAX);
	ratio = CLAMP(ratio, SLOWNESS_MIN, SAMPLE_FACTOR_MAX * slowness);
	update_average(&work->mean_deviation, fabs(ratio / slowness - 1),
		       weight);
	update_average(&work->mean_us, work->mean_us * ratio / MAX(slowness, 1),
		       weight);
	update_average(&slowness, ratio, SLOWNESS_WEIGHT);
	replica->slowness = slowness;
	replica->slowness_at_us = now_us;
}

static void add_failure_sample(struct route_replica *replica, double failed,
			       gint64 now_us)
{
	replica->unreported.failures += failed > 0;
	replica->failure_rate = route_failure_rate(replica, now_us);
	update_average(&replica->failure_rate, failed, FAILURE_WEIGHT);
	replica->failure_rate_at_us = now_us;
}

static void mark_suspect(struct route_replica *replica, gint64 now_us)
{
	guint doublings =
		MIN(replica->consecutive_failures, SUSPECT_DOUBLINGS_MAX);

	replica->suspect_until_us = now_us + (SUSPECT_US << doublings);
	replica->consecutive_failures++;
}

void route_replica_unreachable(struct route_replica *replica, gint64 now_us)
{
	add_failure_sample(replica, 1, now_us);
	mark_suspect(replica, now_us);
}

/* An answer comes a half round trip after the replica has it. The shortest work
 * of the requests in a stall is part of its end. */
static void observe_pause(const struct route_attempt *attempt, gint64 now_us)
{
	struct route_replica *replica = attempt->replica;
	gint64 one_way_us = (gint64)(route_round_trip_us(replica) / 2);
	gint64 arrived_us = attempt->sent_us + one_way_us;
	gint64 done_us = now_us - one_way_us;
	gint64 expected_us =
		(gint64)route_expected_us(attempt->work, replica, now_us);
	struct route_stall *unreported = &replica->unreported_stall;
	struct route_stall stall = {done_us, done_us - arrived_us};

	if (!route_pause_is_stall(now_us - attempt->sent_us, expected_us)) {
		route_pause_answered(&replica->pause, arrived_us, done_us);
		return;
	}
	route_pause_observe(&replica->pause, stall.end_us, stall.length_us);
	if (!unreported->end_us || stall.end_us < unreported->end_us)
		unreported->end_us = stall.end_us;
	unreported->length_us = MAX(unreported->length_us, stall.length_us);
}

static void update_estimates(const struct route_attempt *attempt,
			     enum route_result result, gint64 now_us)
{
	struct route_replica *replica = attempt->replica;

	switch (result) {
	case ROUTE_ANSWERED:
		route_notice_answered(replica, attempt->sent_us);
		observe_pause(attempt, now_us);
		replica->consecutive_failures = 0;
		replica->suspect_until_us = 0;
		add_failure_sample(replica, 0, now_us);
		add_time_sample(attempt->work, replica,
				(double)(now_us - attempt->sent_us), now_us);
		break;
	case ROUTE_SHED:
		add_failure_sample(replica, 1, now_us);
		break;
	case ROUTE_WRONG_INSTANCE:
		replica->wrong_instance = true;
		break;
	case ROUTE_FAILED:
		add_failure_sample(replica, 1, now_us);
		replica->consecutive_failures++;
		break;
	case ROUTE_CONNECT_FAILED:
		route_replica_unreachable(replica, now_us);
		break;
	case ROUTE_ABORTED:
		/* The answer would have taken even longer, so the time of an
		 * overdue attempt is a valid lower bound for a sample. */
		if (route_is_overdue(attempt, now_us))
			add_time_sample(attempt->work, replica,
					(double)(now_us - attempt->sent_us),
					now_us);
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
	TAILQ_INSERT_TAIL(&replica->open_attempts, attempt, link);
	replica->n_open++;
	route_cold_take(replica, now_us);
	if (replica->limit.per_s > 0)
		route_bucket_take(&replica->limit.bucket);
}

void route_attempt_end(struct route_attempt *attempt, enum route_result result,
		       gint64 now_us)
{
	struct route_replica *replica = attempt->replica;

	TAILQ_REMOVE(&replica->open_attempts, attempt, link);
	replica->n_open--;
	if (replica->pool)
		update_estimates(attempt, result, now_us);
	attempt->replica = NULL;
	route_replica_unref(replica);
}
