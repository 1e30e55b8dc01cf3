/**
 * policy_query.h - one query over the shards of a service
 *
 * A state machine without input or output: events are passed in by calls,
 * actions are returned by policy_query_next(). All parts of an answer come from
 * one pin. A query sends one attempt to each shard, retries after a failure and
 * hedges a slow shard as the budget allows, and counts the documents of each
 * shard once.
 *
 * After every call that takes @now_us, all actions have to be fetched with
 * policy_query_next() and carried out. All times are in microseconds on the
 * daemon's clock.
 */
#ifndef CUMINSAIL_POLICY_QUERY_H
#define CUMINSAIL_POLICY_QUERY_H

#include "cuminsail/error.h"
#include "cuminsail/policy_fleet.h"

/** One search hit. */
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

/** An upstream's answer to one attempt, parsed but not yet validated. */
struct policy_part {
	char *request_id;
	gint64 attempt;
	char *shard;
	char *snapshot;
	gint64 map; /* revision of the shard map */
	gint64 documents; /* number of documents in the shard */
	gint64 searched; /* number of them that were searched */
	GPtrArray *hits; /* struct policy_hit */
};

/**
 * policy_part_destroy - free an answer
 * @part: an answer or NULL
 */
void policy_part_destroy(struct policy_part *part);

/** Why an attempt was sent. */
enum policy_cause {
	POLICY_FIRST, /* first attempt at the shard */
	POLICY_RETRY, /* the previous attempt failed */
	POLICY_HEDGE, /* the open attempt is slow */
};

/** What the user of a query has to do next. */
struct policy_action {
	enum policy_action_kind {
		POLICY_SEND, /* send the attempt to the upstream */
		POLICY_CANCEL, /* abort the attempt */
		POLICY_FINISH, /* return the result to the caller */
	} kind;
	gint64 attempt; /* its number; unset for POLICY_FINISH */
	/*
	 * The other members are set for POLICY_SEND only. The strings are valid
	 * as long as the query, the upstream as long as the attempt is open.
	 */
	struct policy_upstream *upstream;
	const char *shard;
	const char *snapshot;
	gint64 map;
	gint64 deadline_us; /* an answer after this time is not used */
};

/** The parameters of a query. */
struct policy_query_params {
	const char *request_id;
	gint64 hits_max; /* maximum number of hits, 1 or more */
	gint64 deadline_us; /* the caller's deadline */
	double min_coverage; /* 0 to 1; below it the query is refused */
};

/** The result of a query; valid after POLICY_FINISH. */
struct policy_answer {
	int code; /* 0, or the CS_E_* code of the refusal */
	enum cs_outcome outcome;
	const struct policy_pin *pin;
	gint64 documents; /* in all shards of the map */
	gint64 documents_answered; /* number of them that were searched */
	guint shards; /* of the map */
	guint shards_answered;
	GPtrArray *hits; /* struct policy_hit, best first */
};

struct policy_query;

/**
 * policy_query_create - admit a query and queue its first attempts
 * @fleet: a fleet with a configuration and a list
 * @service: one of its services, of kind CONFIG_QUERY
 * @counters: counters to update
 * @params: parameters of the query; copied
 * @now_us: current time
 * @error: set to 0 or to the reason of the refusal
 *
 * Return: a new query. On refusal NULL, with nothing sent and @error set:
 * CS_E_OVERLOAD if too many requests are in progress or the queue for free
 * slots is too slow, CS_E_NO_SNAPSHOT if no shard of any snapshot can be
 * queried, CS_E_DEADLINE if the deadline is too near.
 */
struct policy_query *policy_query_create(
	struct policy_fleet *fleet, struct policy_service *service,
	struct cs_counters *counters, const struct policy_query_params *params,
	gint64 now_us, int *error);

/**
 * policy_query_destroy - free a query; open attempts end as POLICY_CANCELLED
 * @query: a query or NULL
 * @now_us: current time
 */
void policy_query_destroy(struct policy_query *query, gint64 now_us);

/**
 * policy_query_next - remove the next action from the queue
 * @query: a query
 * @action: set to the action
 *
 * Return: false if there is none. POLICY_FINISH is the last action of a query.
 */
bool policy_query_next(struct policy_query *query,
		       struct policy_action *action);

/**
 * policy_query_answered - pass in the answer to an attempt
 * @query: a query
 * @attempt: its number
 * @part: the answer; the query takes ownership
 * @now_us: current time
 *
 * An answer to a closed attempt is counted as late and dropped. An answer that
 * is not valid for the attempt fails it.
 */
void policy_query_answered(struct policy_query *query, gint64 attempt,
			   struct policy_part *part, gint64 now_us);

/**
 * policy_query_failed - report that an attempt failed
 * @query: a query
 * @attempt: its number
 * @result: the kind of failure; not POLICY_DONE
 * @now_us: current time
 */
void policy_query_failed(struct policy_query *query, gint64 attempt,
			 enum policy_result result, gint64 now_us);

/**
 * policy_query_tick - process timeouts, due hedges and waiting shards
 * @query: a query
 * @now_us: current time
 */
void policy_query_tick(struct policy_query *query, gint64 now_us);

/**
 * policy_query_next_tick_us - get the time of the next policy_query_tick()
 * @query: a query
 *
 * Return: the earliest timeout, hedge or reply deadline, in microseconds.
 */
gint64 policy_query_next_tick_us(const struct policy_query *query);

/**
 * policy_query_upstream - get the upstream of an open attempt
 * @query: a query
 * @attempt: its number
 *
 * Return: the upstream, or NULL if the attempt is closed.
 */
struct policy_upstream *policy_query_upstream(struct policy_query *query,
					      gint64 attempt);

/**
 * policy_query_result - get the result of a query
 * @query: a query that returned POLICY_FINISH
 *
 * Return: owned by the query.
 */
const struct policy_answer *policy_query_result(
	const struct policy_query *query);

/**
 * policy_query_set_user - attach a pointer for policy_service_first_waiter()
 * @query: a query
 * @user: any pointer
 */
void policy_query_set_user(struct policy_query *query, void *user);

/**
 * policy_service_first_waiter - get the query waiting longest for a free slot
 * @service: a service
 *
 * Return: the query's pointer of policy_query_set_user(); NULL if none waits.
 */
void *policy_service_first_waiter(const struct policy_service *service);

/**
 * policy_query_trace - describe the query and its closed attempts
 * @query: a query
 * @now_us: current time
 *
 * Return: a new reference to a JSON object.
 */
json_t *policy_query_trace(const struct policy_query *query, gint64 now_us);

/**
 * policy_result_name - get the printable name of a result
 * @result: one of enum policy_result
 *
 * Return: a static string.
 */
const char *policy_result_name(enum policy_result result);

#endif
