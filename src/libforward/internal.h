/* What the files of the package share. */
#ifndef FORWARD_INTERNAL_H
#define FORWARD_INTERNAL_H

#include "cuminsail/forward.h"

struct forward_connection;
struct forward_peers;
struct forward_follow;
struct forward_job;
struct forward_part;
struct forward_link;

/* What is known of a request that brought no answer. */
enum forward_fate {
	FORWARD_UNSENT, /* no byte of it has left */
	FORWARD_NOT_RUN, /* the replica proved that it did not run */
	FORWARD_UNKNOWN, /* it may have run */
};

/* One request to one replica. */
struct forward_attempt {
	struct route_attempt route;
	TAILQ_ENTRY(forward_attempt) link; /* in its part */
	struct forward_part *part; /* NULL once its answer is not wanted */
	struct forward_connection *connection;
	struct cs_timer drain; /* armed once the part is gone */
	char *request_id;
	gint64 hedge_us; /* when a second attempt pays; 0: never */
	bool connected; /* the request may have left */
};

/* A connection to a replica: idle, or carrying one attempt. */
struct forward_connection {
	TAILQ_ENTRY(forward_connection) link; /* while idle */
	struct forward_link *carrier;
	struct http1_call *call;
	struct forward_attempt *attempt; /* NULL while idle */
	gint64 used_us; /* when it became idle; 0 before its first answer */
	bool connecting;
	gint64 until_us; /* when the replica may close it */
};

/* The whole answer of a replica to one part. */
struct forward_answer {
	guint status;
	char *signature; /* or NULL */
	GString *lines; /* header lines to pass on */
	GByteArray *body;
};

/* What one of the services has to give for a job. */
struct forward_part {
	struct forward_job *job;
	struct route_pool *pool;
	TAILQ_HEAD(, forward_attempt) attempts;
	TAILQ_ENTRY(forward_part) waiting; /* in the engine's list */
	struct route_replica *tried[ROUTE_TRIED_MAX];
	guint n_tried;
	guint n_sent; /* attempts that count towards the route's bound */
	struct forward_answer *failure; /* to pass on if nothing better comes */
	struct forward_answer *answer;
	gint64 waiting_since_us;
	enum {
		PART_OPEN,
		PART_WAITING, /* no replica has room */
		PART_DONE,
		PART_FAILED,
	} state;
	int reason; /* result code of the last failure */
	guint n_unproven; /* requests sent that may have run */
};

/* One request of a caller. */
struct forward_job {
	TAILQ_ENTRY(forward_job) link;
	struct forward_engine *engine;
	struct http1_exchange *exchange; /* NULL once the caller is gone */
	struct route_table *table;
	struct route *route;
	struct route_work *work;
	const struct http1_message *request;
	const char *request_id; /* in the request */
	gint64 started_us;
	gint64 objective_us;
	gint64 deadline_us;
	struct cs_timer timer;
	guint n_parts;
	guint n_done;
	guint n_failed;
	guint n_hedges;
	guint n_retries;
	bool closing; /* being answered: no new attempts */
	struct forward_part parts[];
};

/* The connections to one replica. */
struct forward_link {
	struct route_replica *replica;
	struct forward_engine *engine;
	TAILQ_ENTRY(forward_link) entry;
	TAILQ_HEAD(idle_connections, forward_connection)
	idle; /* the latest used first */
};

struct forward_engine {
	struct http1_loop *loop;
	struct cs_clock *clock;
	const struct forward_settings *settings;
	const struct forward_dialect *dialect;
	struct cs_counters *counters;
	struct route_fleet *fleet;
	struct route_table *table;
	struct http1_server *callers;
	struct http1_server *ready;
	struct http1_server *metrics;
	struct http1_server_limits caller_limits;
	struct http1_server_limits page_limits;
	struct http1_limits answer_limits;
	TAILQ_HEAD(, forward_job) jobs;
	TAILQ_HEAD(, forward_part) waiting;
	TAILQ_HEAD(, forward_link) links;
	TAILQ_HEAD(, forward_attempt) drained;
	struct forward_peers *peers;
	struct forward_follow *follow;
	struct forward_source source;
	guint daemons; /* up, as far as known */
	guint daemons_in_zone;
	struct cs_timer tick;
	GString *head; /* reused for each request sent */
	bool current; /* the source has confirmed the picture lately */
	gint64 confirmed_us; /* when it last did */
	bool poking;
	bool poke_due;
	enum {
		FORWARD_SERVING,
		FORWARD_DRAINING,
		FORWARD_STOPPED,
	} phase;
	gint64 stop_from_us;
	void (*stopped)(void *user);
	void *user;
};

/* Longest text of a figure in a log line. */
#define FIGURE_TEXT 32

/* state.c */
gint64 forward_now(const struct forward_engine *engine);

/* Milliseconds with one digit, into FIGURE_TEXT bytes. */
const char *forward_ms(char *text, gint64 us);

/* How long ago the source confirmed the picture, microseconds. */
gint64 forward_picture_age(const struct forward_engine *engine);

/* Logs when the picture becomes too old for a 404, or current again. */
void forward_look_at_age(struct forward_engine *engine);

/* Answers that nobody waits for are read until then, to keep the connection:
 * the longest pause of a replica and its work. */
#define FORWARD_DRAIN_US (700 * CS_US_PER_MS)

/* pages.c */
bool forward_pages_open(struct forward_engine *engine);
bool forward_is_ready(const struct forward_engine *engine);

/* part.c */

/* A replica has room again: parts that wait are tried in a later turn. */
void forward_room(struct forward_engine *engine);

/* Tries all parts that wait. */
void forward_parts_poke(struct forward_engine *engine);
void forward_part_try(struct forward_part *part);
void forward_part_answered(struct forward_part *part,
			   struct forward_answer *answer);
void forward_part_lost(struct forward_part *part, int reason,
		       enum forward_fate fate);
void forward_part_release(struct forward_part *part, gint64 drain_us);

/* Hedges, moves and gives up what is due. Return: when to look again. */
gint64 forward_part_look(struct forward_part *part, gint64 now);

/* The replica for the next attempt, or NULL with the cause. */
struct route_replica *forward_part_choose(struct forward_part *part,
					  enum route_lack *lack);

/* One line for a decision about a part, with what decided it. */
void forward_part_log(const struct forward_part *part, const char *event,
		      const char *reason, const struct route_replica *replica,
		      gint64 us);

/* Parts without which there is no answer. */
guint forward_parts_needed(const struct forward_job *job);

/* job.c */
void forward_job_begin(struct forward_engine *engine,
		       struct http1_exchange *exchange,
		       const struct http1_message *request,
		       struct route *route);
void forward_job_abandon(struct forward_job *job);
void forward_job_look(struct forward_job *job);

/* message.c */

/* What an answer says of its attempt. */
struct forward_verdict {
	enum route_result result;
	int reason; /* 0: to be passed on */
	bool not_run;
};

struct forward_verdict forward_judge(const struct forward_dialect *dialect,
				     const struct http1_message *message);

/* A new copy; header lines only where they are passed on. */
struct forward_answer *forward_copy_answer(
	const struct forward_dialect *dialect,
	const struct http1_message *message, bool with_lines);
void forward_answer_free(struct forward_answer *answer);

/* Writes the head of a job's request to a replica into the engine's head. */
void forward_write_head(const struct forward_job *job,
			const struct route_replica *replica);

/* link.c */
bool forward_send(struct forward_part *part, struct route_replica *replica);
void forward_attempt_drain(struct forward_attempt *attempt, gint64 limit_us);
void forward_attempt_cut(struct forward_attempt *attempt);
void forward_links_sweep(struct forward_engine *engine);
void forward_links_free(struct forward_engine *engine);

/* reply.c */
void forward_reply(struct forward_job *job);
void forward_refuse(struct forward_job *job, int code);

/* peers.c: what other daemons ask of this one. */
struct forward_peers *forward_peers_create(struct forward_engine *engine);
void forward_peers_set_source(struct forward_peers *peers,
			      const struct forward_source *source);
void forward_peers_changed(struct forward_peers *peers);
void forward_peers_print_members(struct forward_peers *peers, GString *query);
void forward_peers_destroy(struct forward_peers *peers);

/* evidence.c: what daemons see of the replicas, by way of the seeds */

/* Adds this daemon's report to a call. */
void forward_evidence_print(struct forward_engine *engine, GString *query);

/* Pools the report of a daemon that follows this one. */
void forward_evidence_pool(struct forward_engine *engine, const char *report);

/* The outliers among the replicas, as a new array. The seed takes them itself.
 */
json_t *forward_evidence_outliers(struct forward_engine *engine);

/* Takes a seed's outliers; what does not fit is logged and left out. */
void forward_evidence_take(struct forward_engine *engine, json_t *outliers);

/* follow.c: what this one asks of the seeds. */
struct forward_follow *forward_follow_create(
	struct forward_engine *engine, const struct forward_source *source);
void forward_follow_destroy(struct forward_follow *follow);

/* The call that a daemon makes at a seed. */
#define FORWARD_FOLLOW_PATH "/v1/follow?"

/* A picture older than this is told at once to those that follow: the seed's
 * own watch of the platform is overdue. */
#define FORWARD_LATE_US (1700 * CS_US_PER_MS)

#endif
