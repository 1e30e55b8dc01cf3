/**
 * counters.h - counters and histograms in the Prometheus text format
 *
 * Every refusal and every reason for a retry has a counter. Refusals are
 * counted by result code; the tables below define all other metrics.
 * docs/COUNTERS.md lists them, and a test compares it with the tables.
 */
#ifndef CUMINSAIL_COUNTERS_H
#define CUMINSAIL_COUNTERS_H

#include <glib.h>

/*
 * Counters: X(identifier, metric, label, help), the label as "name=value" or
 * "". Rows of one metric must follow each other, because the HELP and TYPE
 * lines are printed when the metric changes.
 */
#define CS_COUNTER_TABLE(X)                                                    \
	X(CS_N_QUERIES, "queries_total", "", "queries received")               \
	X(CS_N_ANSWERED, "answered_total", "coverage=full",                    \
	  "queries answered")                                                  \
	X(CS_N_PARTIAL, "answered_total", "coverage=partial",                  \
	  "queries answered")                                                  \
	X(CS_N_PARTS, "parts_total", "kind=first", "parts sent to upstreams")  \
	X(CS_N_RETRIES, "parts_total", "kind=retry",                           \
	  "parts sent to upstreams")                                           \
	X(CS_N_HEDGES, "parts_total", "kind=hedge", "parts sent to upstreams") \
	X(CS_N_HEDGE_WINS, "hedge_wins_total", "",                             \
	  "hedges that answered first")                                        \
	X(CS_N_RETRY_UNSENT, "retries_total", "reason=unsent",                 \
	  "attempts that made a retry needed")                                 \
	X(CS_N_RETRY_REFUSED, "retries_total", "reason=refused",               \
	  "attempts that made a retry needed")                                 \
	X(CS_N_RETRY_LOST, "retries_total", "reason=lost",                     \
	  "attempts that made a retry needed")                                 \
	X(CS_N_RETRY_TIMEOUT, "retries_total", "reason=timeout",               \
	  "attempts that made a retry needed")                                 \
	X(CS_N_RETRY_INCARNATION, "retries_total", "reason=other-incarnation", \
	  "attempts that made a retry needed")                                 \
	X(CS_N_RETRY_BAD, "retries_total", "reason=bad-answer",                \
	  "attempts that made a retry needed")                                 \
	X(CS_N_NO_BUDGET, "budget_refusals_total", "",                         \
	  "retries and hedges the budget did not allow")                       \
	X(CS_N_REJ_ID, "rejected_parts_total", "reason=request-id",            \
	  "parts rejected")                                                    \
	X(CS_N_REJ_ATTEMPT, "rejected_parts_total", "reason=attempt",          \
	  "parts rejected")                                                    \
	X(CS_N_REJ_SHARD, "rejected_parts_total", "reason=shard",              \
	  "parts rejected")                                                    \
	X(CS_N_REJ_SNAPSHOT, "rejected_parts_total", "reason=snapshot",        \
	  "parts rejected")                                                    \
	X(CS_N_REJ_MAP, "rejected_parts_total", "reason=map",                  \
	  "parts rejected")                                                    \
	X(CS_N_REJ_FORM, "rejected_parts_total", "reason=form",                \
	  "parts rejected")                                                    \
	X(CS_N_LATE, "late_parts_total", "", "answers to closed attempts")     \
	X(CS_N_RESTARTS, "restarts_total", "",                                 \
	  "queries restarted on a newer snapshot")                             \
	X(CS_N_CANCELS, "cancelled_parts_total", "", "attempts cancelled")     \
	X(CS_N_TICKETS, "tickets_total", "", "tickets issued")                 \
	X(CS_N_ORDERS, "orders_total", "result=run", "orders by result")       \
	X(CS_N_ORDERS_NOT_RUN, "orders_total", "result=not-run",               \
	  "orders by result")                                                  \
	X(CS_N_ORDERS_UNKNOWN, "orders_total", "result=unknown",               \
	  "orders by result")                                                  \
	X(CS_N_ORDER_REPLAYS, "order_replays_total", "",                       \
	  "recorded results sent again")                                       \
	X(CS_N_FORWARDS, "order_forwards_total", "",                           \
	  "orders forwarded to their issuer")                                  \
	X(CS_N_CONFIG_ACCEPTED, "config_total", "result=accepted",             \
	  "configuration revisions offered")                                   \
	X(CS_N_CONFIG_STALE, "config_total", "result=stale",                   \
	  "configuration revisions offered")                                   \
	X(CS_N_CONFIG_CONFLICT, "config_total", "result=conflict",             \
	  "configuration revisions offered")                                   \
	X(CS_N_CONFIG_INVALID, "config_total", "result=invalid",               \
	  "configuration revisions offered")                                   \
	X(CS_N_LIST_ACCEPTED, "list_total", "result=accepted",                 \
	  "instance lists offered")                                            \
	X(CS_N_LIST_STALE, "list_total", "result=stale",                       \
	  "instance lists offered")                                            \
	X(CS_N_LIST_HELD_BACK, "list_total", "result=held-back",               \
	  "instance lists offered")                                            \
	X(CS_N_LIST_INVALID, "list_total", "result=invalid",                   \
	  "instance lists offered")                                            \
	X(CS_N_PLATFORM_CALLS, "platform_calls_total", "",                     \
	  "calls to the platform")                                             \
	X(CS_N_PLATFORM_ERRORS, "platform_errors_total", "",                   \
	  "calls to the platform that failed")                                 \
	X(CS_N_PEER_SENT, "peer_frames_total", "way=sent", "peer frames")      \
	X(CS_N_PEER_RECEIVED, "peer_frames_total", "way=received",             \
	  "peer frames")                                                       \
	X(CS_N_PEER_BAD, "peer_rejected_total", "reason=form",                 \
	  "peer frames rejected")                                              \
	X(CS_N_PEER_UNLISTED, "peer_rejected_total", "reason=unlisted",        \
	  "peer frames rejected")                                              \
	X(CS_N_PEER_REPLAY, "peer_rejected_total", "reason=replay",            \
	  "peer frames rejected")                                              \
	X(CS_N_PEER_DROPPED, "peer_dropped_total", "",                         \
	  "peer frames not taken by the link")                                 \
	X(CS_N_SHEDS, "sheds_total", "", "refusals received from upstreams")   \
	X(CS_N_RELAPSES, "relapses_total", "",                                 \
	  "warm upstreams found cold again")                                   \
	X(CS_N_WARMED, "warmed_total", "", "upstreams that became warm")       \
	X(CS_N_PAUSES, "pauses_total", "", "late wake-ups of the process")     \
	X(CS_N_CALLER_GONE, "caller_gone_total", "",                           \
	  "callers that left before their answer")                             \
	X(CS_N_MOVED_ATTEMPTS, "moved_attempts_total",                         \
	  "reason=connect-timeout",                                            \
	  "attempts moved to another replica before a byte was sent")          \
	X(CS_N_WAITED, "waits_total", "reason=no-room",                        \
	  "parts that waited for a replica with room")                         \
	X(CS_N_PARTIAL_OBJECTIVE, "partial_answers_total", "reason=objective", \
	  "partial answers by what ended the wait")                            \
	X(CS_N_PARTIAL_FAILED, "partial_answers_total", "reason=failed-parts", \
	  "partial answers by what ended the wait")                            \
	X(CS_N_CONNECTIONS, "connections_total", "",                           \
	  "connections to upstreams")                                          \
	X(CS_N_LIMIT_NAMED, "rate_limits_total", "event=named",                \
	  "changes of the rate limits that upstreams name")                    \
	X(CS_N_LIMIT_ENDED, "rate_limits_total", "event=ended",                \
	  "changes of the rate limits that upstreams name")                    \
	X(CS_N_LIMIT_INVALID, "rate_limits_total", "event=invalid",            \
	  "changes of the rate limits that upstreams name")                    \
	X(CS_N_NOTICE_LEAVING, "notices_total", "kind=leaving",                \
	  "what upstreams say of themselves in answers")                       \
	X(CS_N_NOTICE_REST, "notices_total", "kind=rest",                      \
	  "what upstreams say of themselves in answers")                       \
	X(CS_N_NOTICE_INVALID, "notices_total", "kind=invalid",                \
	  "what upstreams say of themselves in answers")                       \
	X(CS_N_LIMITED_FIRST, "limited_parts_total", "kind=first",             \
	  "parts sent to upstreams with a rate limit")                         \
	X(CS_N_LIMITED_EXTRA, "limited_parts_total", "kind=extra",             \
	  "parts sent to upstreams with a rate limit")                         \
	X(CS_N_CHECK_CRASHED, "lost_checks_total", "result=crashed",           \
	  "checks of upstreams that lost a request")                           \
	X(CS_N_CHECK_ALIVE, "lost_checks_total", "result=alive",               \
	  "checks of upstreams that lost a request")                           \
	X(CS_N_CHECK_UNKNOWN, "lost_checks_total", "result=unknown",           \
	  "checks of upstreams that lost a request")                           \
	X(CS_N_BLOCKED, "blocked_requests_total", "event=blocked",             \
	  "requests found to crash upstreams, or cleared again")               \
	X(CS_N_UNBLOCKED, "blocked_requests_total", "event=cleared",           \
	  "requests found to crash upstreams, or cleared again")               \
	X(CS_N_NO_REPEAT, "not_repeated_total", "reason=crashes",              \
	  "attempts not repeated as upstreams crash under the request")        \
	X(CS_N_CONTACT_LOST, "contact_total", "event=lost",                    \
	  "changes between reaching upstreams and reaching none")              \
	X(CS_N_CONTACT_REGAINED, "contact_total", "event=regained",            \
	  "changes between reaching upstreams and reaching none")              \
	X(CS_N_RELAYED_OUT, "relays_total", "way=out",                         \
	  "requests sent to a peer that reaches upstreams, or taken from one") \
	X(CS_N_RELAYED_IN, "relays_total", "way=in",                           \
	  "requests sent to a peer that reaches upstreams, or taken from one")

/*
 * Latency histograms: X(identifier, metric, label, help), the label as
 * "name=value"; it may not be empty.
 */
#define CS_HISTOGRAM_TABLE(X)                                                  \
	X(CS_H_FANOUT, "request_seconds", "target=fanout",                     \
	  "time from a request to its final answer")                           \
	X(CS_H_SINGLE, "request_seconds", "target=single",                     \
	  "time from a request to its final answer")                           \
	X(CS_H_PART, "part_seconds", "result=good",                            \
	  "time from a request to a replica to its answer")                    \
	X(CS_H_PART_FAILED, "part_seconds", "result=failed",                   \
	  "time from a request to a replica to its answer")

enum cs_histogram {
#define X(id, metric, label, help) id,
	CS_HISTOGRAM_TABLE(X)
#undef X
		CS_N_HISTOGRAMS,
};

enum cs_counter {
#define X(id, metric, label, help) id,
	CS_COUNTER_TABLE(X)
#undef X
		CS_N_COUNTERS,
};

struct cs_counters;

/**
 * cs_counters_create - create a set of counters and histograms, all at zero
 *
 * Return: a new set, owned by the caller.
 */
struct cs_counters *cs_counters_create(void);

/**
 * cs_counters_destroy - free a set of counters
 * @counters: a set or NULL
 */
void cs_counters_destroy(struct cs_counters *counters);

/**
 * cs_counters_add - add to a counter
 * @counters: a set
 * @which: the counter, below CS_N_COUNTERS
 * @n: amount to add
 */
void cs_counters_add(struct cs_counters *counters, enum cs_counter which,
		     guint64 n);

/**
 * cs_counters_observe - add a duration to a histogram
 * @counters: a set
 * @which: the histogram, below CS_N_HISTOGRAMS
 * @us: the duration in microseconds
 */
void cs_counters_observe(struct cs_counters *counters, enum cs_histogram which,
			 gint64 us);

/**
 * cs_counters_add_refusal - count a refusal that was sent to a caller
 * @counters: a set
 * @code: the result code; codes that are not negative are ignored
 */
void cs_counters_add_refusal(struct cs_counters *counters, int code);

/**
 * cs_counters_get - return the value of a counter
 * @counters: a set
 * @which: the counter, below CS_N_COUNTERS
 *
 * Return: the value.
 */
guint64 cs_counters_get(const struct cs_counters *counters,
			enum cs_counter which);

/**
 * cs_counters_print - print all metrics in the Prometheus text format
 * @counters: a set
 *
 * Return: a new string for g_free().
 */
char *cs_counters_print(const struct cs_counters *counters);

#endif
