/* Helpers that drive one query of a small fleet step by step. */
#include "query_run.h"

#include <math.h>

void run_drain(struct query_run *run)
{
	struct policy_action action;

	while (policy_query_next(run->query, &action)) {
		ck_assert(!run->finished);
		switch (action.kind) {
		case POLICY_SEND:
			g_array_append_val(run->sent, action);
			run->n_sent++;
			break;
		case POLICY_CANCEL:
			run->cancelled = true;
			for (guint i = run->sent->len; i > 0; i--) {
				if (g_array_index(run->sent,
						  struct policy_action, i - 1)
					    .attempt == action.attempt)
					g_array_remove_index(run->sent, i - 1);
			}
			break;
		case POLICY_FINISH:
			run->finished = true;
			break;
		}
	}
}

void run_begin(struct query_run *run, double min_coverage)
{
	struct policy_query_params params = {
		.request_id = "r",
		.hits_max = 10,
		.deadline_us = run->fixture.now_us + DEADLINE,
		.min_coverage = min_coverage,
	};
	int error;

	run->sent = g_array_new(FALSE, FALSE, sizeof(struct policy_action));
	run->query = policy_query_create(
		run->fixture.fleet, run->fixture.service, run->fixture.counters,
		&params, run->fixture.now_us, &error);
	ck_assert_int_eq(error, 0);
	run_drain(run);
}

struct query_run run_start(guint shards, guint replicas, double min_coverage)
{
	struct query_run run = {.fixture =
					fleet_fixture_create(shards, replicas)};

	fleet_fixture_make_warm(&run.fixture);
	run_begin(&run, min_coverage);
	return run;
}

void run_end(struct query_run *run)
{
	policy_query_destroy(run->query, run->fixture.now_us);
	g_array_unref(run->sent);
	fleet_fixture_destroy(&run->fixture);
}

struct policy_action run_pop(struct query_run *run)
{
	struct policy_action action =
		g_array_index(run->sent, struct policy_action, 0);

	ck_assert_uint_gt(run->sent->len, 0);
	g_array_remove_index(run->sent, 0);
	return action;
}

void run_answer(struct query_run *run, const struct policy_action *action,
		gint64 searched)
{
	policy_query_answered(run->query, action->attempt,
			      fleet_fixture_part_answer(action, searched),
			      run->fixture.now_us);
	run_drain(run);
}

void run_fail(struct query_run *run, const struct policy_action *action,
	      enum policy_result result)
{
	policy_query_failed(run->query, action->attempt, result,
			    run->fixture.now_us);
	run_drain(run);
}

void run_advance(struct query_run *run, gint64 delta_us)
{
	fleet_fixture_advance(&run->fixture, delta_us);
	policy_query_tick(run->query, run->fixture.now_us);
	run_drain(run);
}

const struct policy_answer *run_result(const struct query_run *run)
{
	ck_assert(run->finished);
	return policy_query_result(run->query);
}

void run_add_hit(struct policy_part *part, const char *id, double score)
{
	struct policy_hit *hit = g_new0(struct policy_hit, 1);

	hit->id = g_strdup(id);
	hit->score = score;
	g_ptr_array_add(part->hits, hit);
}

static void replace(char **text, const char *value)
{
	g_free(*text);
	*text = g_strdup(value);
}

static struct policy_part *make_bad_answer(const struct policy_action *action,
					   enum fault fault)
{
	struct policy_part *part = fleet_fixture_part_answer(action, 100);

	switch (fault) {
	case FAULT_WRONG_ID:
		replace(&part->request_id, "q");
		break;
	case FAULT_WRONG_ATTEMPT:
		part->attempt++;
		break;
	case FAULT_WRONG_SHARD:
		replace(&part->shard, "7");
		break;
	case FAULT_WRONG_SNAPSHOT:
		replace(&part->snapshot, "s9");
		break;
	case FAULT_WRONG_MAP:
		part->map++;
		break;
	case FAULT_SEARCHED_TOO_MANY:
		part->searched = 101;
		break;
	case FAULT_SEARCHED_NEGATIVE:
		part->searched = -1;
		break;
	case FAULT_WRONG_DOCUMENTS:
		part->documents = 200;
		break;
	case FAULT_DUPLICATE_HIT:
		run_add_hit(part, "x", 1);
		run_add_hit(part, "x", 1);
		break;
	case FAULT_TOO_MANY_HITS:
		for (char id[2] = "a"; *id < 'l'; (*id)++)
			run_add_hit(part, id, 1);
		break;
	case FAULT_NAN_SCORE:
		run_add_hit(part, "x", (double)NAN);
		break;
	default:
		break;
	}
	return part;
}

bool fault_proves_not_run(enum fault fault)
{
	return fault == FAULT_UNSENT || fault == FAULT_REFUSED ||
	       fault == FAULT_LACKS_SNAPSHOT ||
	       fault == FAULT_OTHER_INCARNATION;
}

void run_inject(struct query_run *run, const struct policy_action *action,
		enum fault fault)
{
	switch (fault) {
	case FAULT_UNSENT:
		run_fail(run, action, POLICY_UNSENT);
		break;
	case FAULT_REFUSED:
		run_fail(run, action, POLICY_REFUSED);
		break;
	case FAULT_LACKS_SNAPSHOT:
		run_fail(run, action, POLICY_LACKS_SNAPSHOT);
		break;
	case FAULT_OTHER_INCARNATION:
		run_fail(run, action, POLICY_OTHER_INCARNATION);
		break;
	case FAULT_LOST:
		run_fail(run, action, POLICY_LOST);
		break;
	case FAULT_TIMEOUT:
		run_advance(run, 100 * MS);
		break;
	default:
		policy_query_answered(run->query, action->attempt,
				      make_bad_answer(action, fault),
				      run->fixture.now_us);
		run_drain(run);
	}
}
