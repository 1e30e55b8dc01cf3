/**
 * policy_query.h - one query over the shards of a service
 *
 * A state machine: events go in by calls, actions come out of
 * policy_query_next(). A query keeps to one pin. It asks each shard once,
 * asks again on failure and hedges on slowness as the budget allows, and
 * counts each shard's documents once.
 *
 * After every call that takes @now_us the owner drains the actions.
 */
#ifndef CUMINSAIL_POLICY_QUERY_H
#define CUMINSAIL_POLICY_QUERY_H

#include "cuminsail/error.h"
#include "cuminsail/policy_fleet.h"

/** One hit of an answer. */
struct policy_hit {
	char *id;
	double score;
	json_t *fields; /* an object, or NULL */
};

/**
 * policy_hit_destroy - free a hit
 * @hit: a hit or NULL
 */
void policy_hit_destroy(struct policy_hit *hit);

/** An upstream's answer to one attempt, parsed but not yet believed. */
struct policy_part {
	char *request_id;
	gint64 attempt;
	char *shard;
	char *snapshot;
	gint64 map;
	gint64 documents; /* the shard's documents */
	gint64 searched; /* of these, the ones searched */
	GPtrArray *hits; /* struct policy_hit */
};

/**
 * policy_part_destroy - free an answer
 * @part: an answer or NULL
 */
void policy_part_destroy(struct policy_part *part);

/** Why an attempt was sent. */
enum policy_cause {
	POLICY_FIRST,
	POLICY_RETRY,
	POLICY_HEDGE,
};

/** What the owner of a query is asked to do. */
struct policy_action {
	enum policy_action_kind {
		POLICY_SEND,
		POLICY_CANCEL,
		POLICY_FINISH,
	} kind;
	gint64 attempt;
	/*
	 * The rest is for POLICY_SEND. The texts live as long as the query, the
	 * upstream as long as the attempt is open.
	 */
	struct policy_upstream *upstream;
	const char *shard;
	const char *snapshot;
	gint64 map;
	gint64 deadline_us; /* the attempt is worthless after this time */
};

/** What a caller asks. */
struct policy_ask {
	const char *request_id;
	gint64 limit; /* hits wanted, 1 or more */
	gint64 deadline_us; /* on the clock */
	double least_coverage; /* 0 to 1 */
};

/** What a query came to; valid after POLICY_FINISH. */
struct policy_answer {
	int code; /* 0 or the reason of the refusal */
	enum cs_outcome outcome;
	const struct policy_pin *pin;
	gint64 documents; /* of the whole map */
	gint64 documents_answered; /* of these, searched */
	guint shards;
	guint shards_answered;
	GPtrArray *hits; /* struct policy_hit in total order */
};

struct policy_query;

/**
 * policy_query_create - admit and begin a query
 * @fleet: a fleet with a configuration and a list
 * @service: one of its services, of kind CONFIG_QUERY
 * @counters: where to count
 * @ask: what is asked; copied
 * @now_us: the clock
 * @error: where to put the refusal
 *
 * Return: a new query, or NULL with @error CS_E_OVERLOAD, CS_E_NO_SNAPSHOT or
 * CS_E_DEADLINE; then nothing was sent.
 */
struct policy_query *policy_query_create(struct policy_fleet *fleet,
					 struct policy_service *service,
					 struct cs_counters *counters,
					 const struct policy_ask *ask,
					 gint64 now_us, int *error);

/**
 * policy_query_destroy - end a query; its open attempts count as dropped
 * @query: a query or NULL
 * @now_us: the clock
 */
void policy_query_destroy(struct policy_query *query, gint64 now_us);

/**
 * policy_query_next - take the next action
 * @query: a query
 * @action: where to put it
 *
 * Return: false when there is none. After POLICY_FINISH there is no other.
 */
bool policy_query_next(struct policy_query *query,
		       struct policy_action *action);

/**
 * policy_query_answered - an attempt was answered
 * @query: a query
 * @attempt: its number
 * @part: the answer; the query becomes its owner
 * @now_us: the clock
 */
void policy_query_answered(struct policy_query *query, gint64 attempt,
			   struct policy_part *part, gint64 now_us);

/**
 * policy_query_failed - an attempt failed
 * @query: a query
 * @attempt: its number
 * @result: how; not POLICY_DONE
 * @now_us: the clock
 */
void policy_query_failed(struct policy_query *query, gint64 attempt,
			 enum policy_result result, gint64 now_us);

/**
 * policy_query_tick - look at the clock and at waiting shards
 * @query: a query
 * @now_us: the clock
 */
void policy_query_tick(struct policy_query *query, gint64 now_us);

/**
 * policy_query_wake - when the next tick is due
 * @query: a query
 *
 * Return: a time on the clock.
 */
gint64 policy_query_wake(const struct policy_query *query);

/**
 * policy_query_upstream - whom an open attempt asks
 * @query: a query
 * @attempt: its number
 *
 * Return: the upstream, or NULL if the attempt is closed.
 */
struct policy_upstream *policy_query_upstream(struct policy_query *query,
					      gint64 attempt);

/**
 * policy_query_result - what the query came to
 * @query: a query that gave POLICY_FINISH
 *
 * Return: owned by the query.
 */
const struct policy_answer *policy_query_result(
	const struct policy_query *query);

/**
 * policy_query_set_user - attach the owner's pointer
 * @query: a query
 * @user: any pointer
 */
void policy_query_set_user(struct policy_query *query, void *user);

/**
 * policy_service_first_waiter - the query that has waited longest for room
 * @service: a service
 *
 * Return: the pointer of policy_query_set_user(), or NULL.
 */
void *policy_service_first_waiter(const struct policy_service *service);

/**
 * policy_query_trace - what happened, attempt by attempt
 * @query: a query
 * @now_us: the clock
 *
 * Return: a new reference to a JSON object.
 */
json_t *policy_query_trace(const struct policy_query *query, gint64 now_us);

/**
 * policy_result_name - printable name of a result
 * @result: one of enum policy_result
 *
 * Return: a static string.
 */
const char *policy_result_name(enum policy_result result);

#endif
