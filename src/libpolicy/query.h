/* Private: the parts of a query that its modules share. */
#ifndef LIBPOLICY_QUERY_H
#define LIBPOLICY_QUERY_H

#include "service.h"

#include "cuminsail/clock.h"
#include "cuminsail/policy_query.h"

enum shard_state {
	SHARD_WAITING, /* nothing sent yet, or to be sent again */
	SHARD_ASKED, /* one or more attempts open */
	SHARD_DONE,
	SHARD_FAILED,
};

/* One shard of the pin. */
struct shard {
	const struct list_shard *listed;
	enum shard_state state;
	enum policy_cause next_cause; /* of the attempt that it waits for */
	guint open; /* attempts open */
	bool hedged;
	gint64 hedge_us; /* when to hedge; G_MAXINT64 for never */
	GPtrArray *tried;
	gint64 done_us; /* when it was answered */
	gint64 covered; /* documents */
	GPtrArray *hits;
};

struct attempt {
	TAILQ_ENTRY(attempt) link;
	gint64 number;
	struct shard *shard;
	struct policy_upstream *upstream;
	enum policy_cause cause;
	gint64 sent_us;
	gint64 timeout_us;
};

/* What "why" tells of a closed attempt. */
struct note {
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
	TAILQ_ENTRY(policy_query) waiter;
	bool is_waiter;
	gint64 waiting_since_us;
	struct policy_fleet *fleet;
	struct policy_service *service;
	struct cs_counters *counters;
	struct policy_ask ask;
	char *request_id;
	struct policy_pin *pin;
	struct policy_pin *old_pin; /* before the restart */
	GArray *shards; /* struct shard */
	TAILQ_HEAD(, attempt) open;
	TAILQ_HEAD(, queued_action) actions;
	gint64 next_attempt;
	gint64 begun_us;
	bool may_have_run; /* some attempt has no proof that it did not */
	bool restarted;
	bool room_lacked;
	bool finished;
	struct policy_answer answer;
	GArray *notes; /* struct note */
	void *user;
};

/* Kept back from the caller's deadline for the way of the answer. */
#define REPLY_RESERVE_US (2 * CS_US_PER_MS)

/* attempt.c; query_cancel_open() takes one shard, or NULL for all. */
void query_push(struct policy_query *query, struct policy_action action);
struct shard *query_shard(const struct policy_query *query, guint index);
gint64 query_latest_reply(const struct policy_query *query);
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

/* Asks what waits; ends the query if nothing more can come. */
void query_advance(struct policy_query *query, gint64 now_us);

/* An attempt at a shard failed: ask again, or give the shard up. */
void query_ask_again(struct policy_query *query, struct shard *shard,
		     enum policy_result result);
void query_hedge_slow(struct policy_query *query, gint64 now_us);
void query_time_out(struct policy_query *query, gint64 now_us);

/* finish.c */
void query_finish(struct policy_query *query, gint64 now_us);
void query_set_waiter(struct policy_query *query, bool waits, gint64 now_us);

/* merge.c: all hits of the answered shards, in total order, without doubles. */
GPtrArray *merge_hits(struct policy_query *query);

/* trace.c */
void note_attempt(struct policy_query *query, const struct attempt *attempt,
		  enum policy_result result, gint64 now_us);
void clear_note(struct note *note);

/* check.c: whether an answer belongs to the attempt; counts why not. */
enum policy_result check_part(struct policy_query *query,
			      const struct attempt *attempt,
			      const struct policy_part *part);

#endif
