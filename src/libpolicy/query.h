/* Private: the state of a query, shared by the modules that implement it. */
#ifndef LIBPOLICY_QUERY_H
#define LIBPOLICY_QUERY_H

#include "service.h"

#include "cuminsail/clock.h"
#include "cuminsail/policy_query.h"

enum shard_state {
	SHARD_WAITING, /* no attempt open; the next one is due */
	SHARD_IN_FLIGHT, /* one or more attempts open */
	SHARD_DONE, /* answered */
	SHARD_FAILED, /* no further attempt under this pin */
};

/* One shard of the pin. */
struct shard {
	const struct list_shard *listed; /* its entry in the pinned map */
	enum shard_state state;
	enum policy_cause next_cause; /* why the next attempt is sent */
	guint n_open; /* open attempts */
	bool hedged; /* a hedge was sent or could not be sent */
	gint64 hedge_us; /* when to hedge; G_MAXINT64 for never */
	GPtrArray *tried; /* struct policy_upstream, in order of use */
	gint64 done_us; /* when it was answered */
	gint64 searched; /* documents searched */
	GPtrArray *hits; /* struct policy_hit; NULL before the answer */
};

/* An attempt that was sent and not closed. */
struct attempt {
	TAILQ_ENTRY(attempt) link;
	gint64 number;
	struct shard *shard;
	struct policy_upstream *upstream;
	enum policy_cause cause;
	gint64 sent_us;
	gint64 timeout_us;
};

/* A closed attempt, as the operators' page "why" reports it. */
struct attempt_record {
	gint64 number;
	char *shard;
	char *upstream;
	enum policy_cause cause;
	enum policy_result result;
	gint64 sent_us;
	gint64 took_us;
};

struct queued_action {
	TAILQ_ENTRY(queued_action) link;
	struct policy_action action;
};

struct policy_query {
	TAILQ_ENTRY(policy_query) waiter_link;
	bool is_waiting; /* in the service's queue for a free slot */
	gint64 waiting_since_us;
	struct policy_fleet *fleet;
	struct policy_service *service;
	struct cs_counters *counters;
	struct policy_query_params params;
	char *request_id;
	struct policy_pin *pin;
	/* The pin before the restart, or NULL. Actions refer to its strings. */
	struct policy_pin *old_pin;
	GArray *shards; /* struct shard */
	TAILQ_HEAD(, attempt) open_attempts;
	TAILQ_HEAD(, queued_action) actions;
	gint64 last_attempt; /* number of the last attempt; 0 for none */
	gint64 started_us;
	bool may_have_run; /* some attempt has no proof of the contrary */
	bool restarted;
	bool lacked_capacity; /* a shard once found no free slot */
	bool finished;
	struct policy_answer answer;
	GArray *attempt_records; /* struct attempt_record */
	void *user;
};

/* Part of the caller's deadline reserved for the delivery of the answer. */
#define REPLY_RESERVE_US (2 * CS_US_PER_MS)

/*
 * attempt.c. The reply deadline is when the query has to finish: the caller's
 * deadline less REPLY_RESERVE_US. query_cancel_open() takes one shard, or NULL
 * for all.
 */
void query_push_action(struct policy_query *query, struct policy_action action);
struct shard *query_shard(const struct policy_query *query, guint index);
gint64 query_reply_deadline(const struct policy_query *query);
void attempt_send(struct policy_query *query, struct shard *shard,
		  struct policy_upstream *upstream, enum policy_cause cause,
		  gint64 now_us);
struct attempt *attempt_find(const struct policy_query *query, gint64 number);
void attempt_close(struct policy_query *query, struct attempt *attempt,
		   enum policy_result result, gint64 now_us);
void attempt_cancel(struct policy_query *query, struct attempt *attempt,
		    enum policy_result result, gint64 now_us);
void query_cancel_open(struct policy_query *query, const struct shard *shard,
		       gint64 now_us);

/* progress.c */
void query_set_pin(struct policy_query *query, struct policy_pin *pin);

/* Dispatches waiting shards; ends the query when no answer is outstanding. */
void query_advance(struct policy_query *query, gint64 now_us);

/* An attempt at a shard failed: schedules a retry or fails the shard. */
void query_retry_or_fail(struct policy_query *query, struct shard *shard,
			 enum policy_result result);
void query_hedge_slow(struct policy_query *query, gint64 now_us);
void query_expire_attempts(struct policy_query *query, gint64 now_us);

/* finish.c */
void query_finish(struct policy_query *query, gint64 now_us);
void query_set_waiting(struct policy_query *query, bool waiting, gint64 now_us);

/*
 * merge.c: the best hits of the answered shards, in total order and without
 * duplicates, up to the query's limit. Moves them out of the shards.
 */
GPtrArray *merge_hits(struct policy_query *query);

/* trace.c: records of closed attempts. */
void record_attempt(struct policy_query *query, const struct attempt *attempt,
		    enum policy_result result, gint64 now_us);
void clear_attempt_record(struct attempt_record *record);

/*
 * check.c: POLICY_DONE if the answer is valid for the attempt; otherwise counts
 * the reason and returns POLICY_LACKS_SNAPSHOT for another snapshot or map,
 * else POLICY_BAD_ANSWER.
 */
enum policy_result check_part(struct policy_query *query,
			      const struct attempt *attempt,
			      const struct policy_part *part);

#endif
