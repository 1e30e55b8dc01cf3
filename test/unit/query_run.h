/* Helpers that drive one query of a small fleet step by step. */
#ifndef QUERY_RUN_H
#define QUERY_RUN_H

#include "unit.h"

/* Time from the start of a query to its deadline, in microseconds. */
#define DEADLINE (500 * MS)

/* A query under test and the actions it has returned so far. */
struct query_run {
	struct fleet_fixture fixture;
	struct policy_query *query;
	GArray *sent; /* struct policy_action of open attempts, oldest first */
	guint n_sent; /* POLICY_SEND actions in all */
	bool finished; /* POLICY_FINISH was returned */
	bool cancelled; /* a POLICY_CANCEL was returned */
};

/* Faults of one attempt. From FAULT_WRONG_ID on, the answer is invalid. */
enum fault {
	FAULT_NONE, /* a valid answer */
	FAULT_UNSENT,
	FAULT_REFUSED,
	FAULT_LACKS_SNAPSHOT,
	FAULT_OTHER_INCARNATION,
	FAULT_LOST,
	FAULT_TIMEOUT,
	FAULT_WRONG_ID,
	FAULT_WRONG_ATTEMPT,
	FAULT_WRONG_SHARD,
	FAULT_WRONG_SNAPSHOT,
	FAULT_WRONG_MAP,
	FAULT_SEARCHED_TOO_MANY, /* more documents than the shard has */
	FAULT_SEARCHED_NEGATIVE,
	FAULT_WRONG_DOCUMENTS, /* another shard size than in the map */
	FAULT_DUPLICATE_HIT,
	FAULT_TOO_MANY_HITS, /* more than the query's limit */
	FAULT_NAN_SCORE,
	FAULT_COUNT,
};

/* Fetches all actions of the query and updates @run. */
void run_drain(struct query_run *run);

/*
 * Starts a query of the fleet in run->fixture; run_start() also creates that
 * fleet, with all upstreams warm.
 */
void run_begin(struct query_run *run, double min_coverage);
struct query_run run_start(guint shards, guint replicas, double min_coverage);

void run_end(struct query_run *run);

/* Removes the oldest open attempt from run->sent and returns it. */
struct policy_action run_pop(struct query_run *run);

/* Ends an attempt with a valid answer, or with a failure. */
void run_answer(struct query_run *run, const struct policy_action *action,
		gint64 searched);
void run_fail(struct query_run *run, const struct policy_action *action,
	      enum policy_result result);

/* Advances the clock and ticks the query. */
void run_advance(struct query_run *run, gint64 delta_us);

/* The result; fails the test if the query has not finished. */
const struct policy_answer *run_result(const struct query_run *run);

void run_add_hit(struct policy_part *part, const char *id, double score);

/* Whether the fault proves that the upstream did not run the attempt. */
bool fault_proves_not_run(enum fault fault);

/*
 * Ends an attempt by @fault. FAULT_TIMEOUT advances the clock, so that other
 * attempts time out as well.
 */
void run_inject(struct query_run *run, const struct policy_action *action,
		enum fault fault);

#endif
