/*
 * Outlier detection from the attempts of many daemons.
 *
 * A daemon of a large fleet sends about one request a second to each replica
 * and would need many seconds to detect that a replica is slow. Therefore each
 * daemon reports its attempts to the seed that it follows. The seed pools the
 * reports and sends the list of slow and failing replicas, the outliers, to all
 * daemons that follow it. The list is advisory: a daemon's next own sample of a
 * replica replaces the pooled estimate.
 */
#include "fleet.h"

#include <math.h>

/* Half-life of the pooled moving averages: they move half of the way to a new
 * value in this time. Replicas pause for 200 to 300 ms, and a pause should end
 * before the replica counts as slow. */
#define POOL_HALF_LIFE_US (350.0 * CS_US_PER_MS)

/* Most weight of one attempt, equal to SLOWNESS_WEIGHT in estimate.c. */
#define ATTEMPT_WEIGHT 0.2

/* The slowness in a report is limited to this many times the pooled one. */
#define REPORT_FACTOR_MAX 3.0

/* An outlier is so slow that a replica in another region answers sooner,
 * according to the figures for the deployments, or fails more often than the
 * occasional loss of a connection explains. */
#define OUTLIER_SLOWNESS     2.5
#define OUTLIER_FAILURE_RATE 0.2

/* Shortest time as an outlier before it is listed: above the longest pause. */
#define OUTLIER_MIN_US (400 * CS_US_PER_MS)

/* Replicas above this mean slowness are reported first. */
#define PRIORITY_SLOWNESS 1.6

/* Half-life of the pooled estimates' decay to the typical values, equal to
 * SAMPLE_HALF_LIFE_US in estimate.c. */
#define DECAY_HALF_LIFE_US (3.0 * CS_US_PER_S)

static bool is_slow_or_failing(const struct route_stats *stats)
{
	return stats->failures ||
	       stats->slowness > PRIORITY_SLOWNESS * stats->answers;
}

/* Count an overdue open attempt as a slow answer, since a replica that hangs
 * never sends an answer that could be counted. */
static void add_overdue(struct route_replica *replica, gint64 now_us)
{
	const struct route_attempt *oldest =
		TAILQ_FIRST(&replica->open_attempts);

	if (!oldest || !route_is_overdue(oldest, now_us))
		return;
	replica->unreported.answers++;
	replica->unreported.slowness +=
		MIN((double)(now_us - oldest->sent_us) / oldest->work->mean_us,
		    ROUTE_REPORTED_SLOWNESS_MAX);
}

struct report_context {
	guint remaining;
	void (*visit)(const char *id, const struct route_stats *stats,
		      void *user);
	void *user;
};

/* Report and reset the replicas that are slow or failing, or the others. */
static void report_replicas(struct route_fleet *fleet, bool slow_or_failing,
			    struct report_context *context)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->replicas);
	while (context->remaining &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		struct route_replica *replica = value;
		struct route_stats *stats = &replica->unreported;

		if (!(stats->answers + stats->failures) ||
		    is_slow_or_failing(stats) != slow_or_failing)
			continue;
		context->visit(replica->id, stats, context->user);
		*stats = (struct route_stats){0};
		context->remaining--;
	}
}

void route_fleet_report(struct route_fleet *fleet, guint limit, gint64 now_us,
			void (*visit)(const char *id,
				      const struct route_stats *stats,
				      void *user),
			void *user)
{
	struct report_context context = {limit, visit, user};
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->replicas);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		add_overdue(value, now_us);

	report_replicas(fleet, true, &context);
	report_replicas(fleet, false, &context);
}

/* Return: the pooled estimates decayed to now, for the time without reports. */
static struct route_health decayed(const struct route_health *health,
				   gint64 now_us)
{
	double remaining =
		exp2(-(double)(now_us - health->at_us) / DECAY_HALF_LIFE_US);

	return (struct route_health){
		.slowness = 1 + remaining * (health->slowness - 1),
		.failure_rate = remaining * health->failure_rate,
		.at_us = now_us,
	};
}

/* Weight of a report of a number of attempts, at the given time after the last
 * report. */
static double report_weight(guint attempts, gint64 gap_us)
{
	double count_weight = 1 - pow(1 - ATTEMPT_WEIGHT, attempts);
	double time_weight =
		1 - exp2(-(double)MAX(gap_us, 1) / POOL_HALF_LIFE_US);

	return MIN(count_weight, time_weight);
}

static bool is_outlier(const struct route_health *health)
{
	return health->slowness >= OUTLIER_SLOWNESS ||
	       health->failure_rate >= OUTLIER_FAILURE_RATE;
}

void route_fleet_pool_report(struct route_fleet *fleet, const char *id,
			     const struct route_stats *stats, gint64 now_us)
{
	struct route_replica *replica =
		g_hash_table_lookup(fleet->replicas, id);
	guint attempts = stats->answers + stats->failures;
	struct route_health *pooled;
	double weight;

	if (!replica || !attempts)
		return;
	pooled = &replica->pooled;
	if (!pooled->at_us)
		*pooled = (struct route_health){.slowness = 1};
	weight = report_weight(attempts, now_us - pooled->at_us);
	*pooled = decayed(pooled, now_us);
	/* Its estimates may have become typical since the last report. */
	if (!is_outlier(pooled))
		replica->outlier_since_us = 0;
	if (stats->answers) {
		double slowness = stats->slowness / stats->answers;

		slowness = MIN(slowness, REPORT_FACTOR_MAX * pooled->slowness);
		pooled->slowness += weight * (slowness - pooled->slowness);
	}
	pooled->failure_rate += weight * ((double)stats->failures / attempts -
					  pooled->failure_rate);
	if (!is_outlier(pooled))
		replica->outlier_since_us = 0;
	else if (!replica->outlier_since_us)
		replica->outlier_since_us = now_us;
}

void route_fleet_outliers(struct route_fleet *fleet, guint limit, gint64 now_us,
			  void (*visit)(const char *id,
					const struct route_health *health,
					void *user),
			  void *user)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->replicas);
	while (limit && g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct route_replica *replica = value;
		struct route_health current;

		if (!replica->outlier_since_us ||
		    now_us - replica->outlier_since_us < OUTLIER_MIN_US)
			continue;
		current = decayed(&replica->pooled, now_us);
		if (!is_outlier(&current))
			continue;
		visit(replica->id, &current, user);
		limit--;
	}
}

static bool is_typical(const struct route_health *health)
{
	return health->slowness <= 1 && health->failure_rate <= 0;
}

bool route_fleet_set_outlier(struct route_fleet *fleet, const char *id,
			     const struct route_health *health)
{
	struct route_replica *replica =
		g_hash_table_lookup(fleet->replicas, id);
	bool is_new;

	if (!replica)
		return false;
	is_new = !replica->received.at_us || is_typical(&replica->received);
	replica->received = *health;
	return is_new;
}

void route_fleet_clear_outliers(struct route_fleet *fleet, gint64 now_us,
				void (*visit)(const char *id, void *user),
				void *user)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fleet->replicas);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct route_replica *replica = value;
		struct route_health *received = &replica->received;

		if (!received->at_us || received->at_us == now_us ||
		    is_typical(received))
			continue;
		*received =
			(struct route_health){.slowness = 1, .at_us = now_us};
		visit(replica->id, user);
	}
}
