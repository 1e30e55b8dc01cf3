/* One query of a small fleet, driven step by step. */
#ifndef QUERY_RUN_H
#define QUERY_RUN_H

#include "unit.h"

#define DEADLINE (500 * MS)

struct run {
	struct world world;
	struct policy_query *query;
	GArray *sent; /* struct policy_action, open ones first to last */
	guint n_sent;
	bool finished;
	bool dropped; /* by a POLICY_CANCEL */
};

/* Faults of one attempt, as the matrix numbers them. */
enum fault {
	F_NONE,
	F_UNSENT,
	F_REFUSED,
	F_LACKS,
	F_MOVED,
	F_LOST,
	F_TIMEOUT,
	F_WRONG_ID,
	F_WRONG_ATTEMPT,
	F_WRONG_SHARD,
	F_WRONG_SNAPSHOT,
	F_WRONG_MAP,
	F_OVER_COUNT,
	F_NEGATIVE,
	F_OTHER_SIZE,
	F_DOUBLED_HIT,
	F_MORE_HITS_THAN_ASKED,
	F_NAN,
	F_COUNT,
};

void run_drain(struct run *run);
void run_begin(struct run *run, double least_coverage);
struct run run_start(guint shards, guint replicas, double least_coverage);
void run_end(struct run *run);
struct policy_action run_pop(struct run *run);
void run_answer(struct run *run, const struct policy_action *action,
		gint64 searched);
void run_lose(struct run *run, const struct policy_action *action,
	      enum policy_result result);
void run_pass(struct run *run, gint64 delta_us);
const struct policy_answer *run_result(const struct run *run);
void run_add_hit(struct policy_part *part, const char *id, double score);
bool run_is_proof(enum fault fault);
void run_inject(struct run *run, const struct policy_action *action,
		enum fault fault);

#endif
