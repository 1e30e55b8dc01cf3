/* Private structures and functions of libforward. */
#ifndef FORWARD_INTERNAL_H
#define FORWARD_INTERNAL_H

#include "cuminsail/forward.h"
#include "cuminsail/route_contact.h"
#include "cuminsail/route_pace.h"

struct forward_connection;
struct forward_peers;
struct forward_registry;
struct forward_follow;
struct forward_job;
struct forward_part;
struct forward_link;
struct forward_crash_check;
struct forward_contact;
struct forward_relays;

/* Whether a request without a usable answer may have run. */
enum forward_execution {
	FORWARD_UNSENT, /* no byte of it was sent */
	FORWARD_NOT_RUN, /* the replica proved that it did not run */
	FORWARD_MAY_HAVE_RUN, /* sent, and no proof that it did not run */
};

/* One request sent to one replica for a part. */
struct forward_attempt {
	struct route_attempt route;
	TAILQ_ENTRY(forward_attempt) link; /* in its part */
	struct forward_part *part; /* NULL once its answer is not needed */
	struct forward_connection *connection;
	struct cs_timer drain; /* aborts the attempt; armed once part is NULL */
	char *request_id;
	guint32 copy; /* number of its job */
	guint number; /* of its part's attempts, from 1 */
	struct route_digest digest; /* of the request, once drained */
	bool has_digest;
	gint64 begun_us; /* when it was chosen, before any connection */
	gint64 hedge_due_us; /* time for a second attempt; 0: never */
	gint64 hedge_retry_us; /* not before this: there was no room for it */
	bool connected; /* the request may have been sent */
};

/* A connection to a replica, either idle or used by one attempt. */
struct forward_connection {
	TAILQ_ENTRY(forward_connection) entry; /* while idle */
	struct forward_link *link;
	struct http1_client *client;
	struct forward_attempt *attempt; /* NULL while idle */
	gint64 last_used_us; /* last time it became idle; 0: never yet */
	bool connecting;
	gint64 expires_us; /* not reused after this: the replica may close it */
};

/* A replica's complete answer for one part. */
struct forward_answer {
	guint status;
	char *signature; /* or NULL */
	GString *lines; /* header lines for the caller; or NULL */
	GByteArray *body;
	struct http1_memory *memory; /* where the body counts */
};

/* The part of a job that one service answers. */
struct forward_part {
	struct forward_job *job;
	struct route_pool *pool;
	const struct route *route; /* criteria for the replica, and attempts */
	struct route_work *work;
	TAILQ_HEAD(, forward_attempt) attempts;
	TAILQ_ENTRY(forward_part) waiting; /* in the engine's list */
	struct route_replica *tried[ROUTE_TRIED_MAX];
	guint n_tried;
	guint n_sent; /* attempts that count towards attempts_max */
	struct forward_answer *failure; /* sent if no better answer arrives */
	struct forward_answer *answer;
	gint64 waiting_since_us;
	bool held; /* it waits for another part, or for a crash check */
	enum {
		PART_OPEN,
		PART_WAITING, /* no replica has a free slot */
		PART_DONE,
		PART_FAILED,
	} state;
	int reason; /* result code of the last failure */
	guint n_may_have_run; /* requests sent that may have run */
};

/* One request of a caller, with one part per service. */
struct forward_job {
	TAILQ_ENTRY(forward_job) link;
	struct forward_engine *engine;
	struct http1_exchange *exchange; /* for the reply; never NULL */
	struct route_table *table;
	struct route *route;
	const struct http1_message *request;
	const char *request_id; /* points into request */
	guint32 number; /* of the jobs of this daemon */
	struct route_digest digest; /* see forward_job_digest() */
	bool has_digest;
	gint64 started_us;
	gint64 objective_us;
	gint64 deadline_us;
	struct cs_timer timer;
	guint n_parts;
	guint n_done;
	struct route_pace pace; /* of the answers */
	guint n_failed;
	guint n_hedges;
	guint n_retries;
	bool relayed; /* a peer has sent it */
	guint n_used; /* attempts that may have run before it was relayed */
	bool relaying; /* it is sent to a peer: relay_part is the only part */
	struct forward_part relay_part;
	struct route *relay_route; /* of relay_part, owned */
	guint n_lost; /* attempts whose connection was closed */
	bool suspected; /* replicas have crashed under this request */
	bool probe; /* blocked, and sent to see whether it still crashes */
	bool probe_received; /* by a replica */
	bool closing; /* the job is ending: no new attempts */
	struct forward_part *parts; /* own_parts, or relay_part */
	struct forward_part own_parts[];
};

/* The connections to one replica, or to a peer that relays. */
struct forward_link {
	bool to_peer;
	struct route_replica *replica;
	struct forward_engine *engine;
	TAILQ_ENTRY(forward_link) entry;
	TAILQ_HEAD(idle_connections, forward_connection)
	idle; /* most recently used first */
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
	struct http1_memory answer_memory; /* of answers until they are sent */
	TAILQ_HEAD(, forward_job) jobs;
	TAILQ_HEAD(, forward_part) waiting; /* most urgent first */
	TAILQ_HEAD(, forward_link) links;
	TAILQ_HEAD(, forward_attempt) draining; /* attempts without a part */
	TAILQ_HEAD(, forward_crash_check) crash_checks;
	struct route_blocklist *blocklist;
	bool blocklist_untold; /* a seed lacks what this daemon knows */
	gint64 blocklist_changed_us; /* 0: never */
	struct forward_contact *contact;
	struct forward_relays *relays;
	struct forward_registry *registry;
	struct forward_peers *peers;
	struct forward_follow *follow;
	struct forward_source source;
	guint daemons; /* estimated number that are up; 0: not known */
	guint daemons_in_zone;
	guint32 n_jobs; /* begun so far */
	struct cs_timer tick;
	GString *request_head; /* reused for each request sent */
	bool view_current; /* the routing view was confirmed recently */
	gint64 view_confirmed_us; /* time of the last confirmation */
	bool retrying_waiting; /* forward_parts_retry_waiting() is running */
	bool retry_scheduled; /* for the end of this loop turn */
	enum {
		FORWARD_SERVING,
		FORWARD_DRAINING,
		FORWARD_STOPPED,
	} phase;
	gint64 stop_begun_us;
	guint stop_ended; /* requests that the stop ended early */
	void (*stopped)(void *user);
	void *user;
};

/* The reply is sent this long before the objective or deadline. This covers the
 * caller's new connection, its request and the answer, with a network delay of
 * 3 ms in each direction on the largest deployments, and one turn of the event
 * loop. */
#define FORWARD_ANSWER_MARGIN_US (14 * CS_US_PER_MS)

/* Buffer size for a number in a log line. */
#define FORWARD_NUMBER_TEXT_MAX 32

/* state.c */
gint64 forward_now(const struct forward_engine *engine);

/* Formats us as milliseconds with one decimal.
 * text: buffer of FORWARD_NUMBER_TEXT_MAX bytes.
 * Return: text. */
const char *forward_print_ms(char *text, gint64 us);

/* Return: microseconds since the source last confirmed the routing view. */
gint64 forward_view_age(const struct forward_engine *engine);

/* Updates engine->view_current and logs each change. A request without a route
 * is answered with a 404 only while the routing view is current. */
void forward_update_view_current(struct forward_engine *engine);

/* How long an answer that is no longer needed is awaited, so that its
 * connection can be reused: the longest pause of a replica plus its processing
 * time. */
#define FORWARD_DRAIN_US (700 * CS_US_PER_MS)

/* pages.c */
bool forward_pages_open(struct forward_engine *engine);
bool forward_is_ready(const struct forward_engine *engine);

/* stop.c */

/* Return: false if a stop would end the job before its answer. */
bool forward_stop_admits(const struct forward_job *job);

/* Continues a stop that has begun. */
void forward_stop_check(struct forward_engine *engine);

/* part.c */

/* A replica has a free slot again: schedules a retry of the waiting parts after
 * the events of this loop turn. */
void forward_capacity_freed(struct forward_engine *engine);

/* Tries to send all waiting parts. */
void forward_parts_retry_waiting(struct forward_engine *engine);

/* Sends the part to a replica. If none has a free slot, the part waits; if none
 * can be used at all, it fails. */
void forward_part_try(struct forward_part *part);

/* Accepts an answer and takes ownership of it. */
void forward_part_answered(struct forward_part *part,
			   struct forward_answer *answer);

/* Handles an attempt that ended without a usable answer: retries or fails the
 * part unless another attempt is open. reason: result code. */
void forward_part_attempt_failed(struct forward_part *part, int reason,
				 enum forward_execution execution);

/* Frees what the part holds. Its open attempts are drained for drain_us. */
void forward_part_release(struct forward_part *part, gint64 drain_us);

/* Sends a due hedge, replaces an attempt whose connection takes too long, fails
 * a part that has waited too long.
 * Return: time of the next call, or G_MAXINT64. */
gint64 forward_part_run_timers(struct forward_part *part, gint64 now);

/* Return: the replica for the next attempt, or NULL with the reason set. */
struct route_replica *forward_part_choose(struct forward_part *part,
					  enum route_unavailable *unavailable);

/* Logs a decision about a part with its reason. us: the limit or the time that
 * led to it, in microseconds; 0: none. */
void forward_part_log(const struct forward_part *part, const char *event,
		      const char *reason, const struct route_replica *replica,
		      gint64 us);

/* Return: number of answered parts that the job's answer needs. */
guint forward_parts_needed(const struct forward_job *job);

/* job.c */
void forward_job_begin(struct forward_engine *engine,
		       struct http1_exchange *exchange,
		       const struct http1_message *request,
		       struct route *route);

/* The caller disconnected: frees the job without a reply. */
void forward_job_abandon(struct forward_job *job);

/* The same as forward_job_begin() for a request that a peer has held for
 * held_us and sent to n_used replicas that may have run it. */
void forward_job_begin_relayed(struct forward_engine *engine,
			       struct http1_exchange *exchange,
			       const struct http1_message *request,
			       struct route *route, gint64 held_us,
			       guint n_used);

/* Ends a job with a refusal. code: result code. */
void forward_job_fail(struct forward_job *job, int code);

/* Ends a job with the parts that it has if they make an answer, else with a
 * refusal. code: result code. */
void forward_job_end(struct forward_job *job, int code);

/* Return: whether the job's answer merges the answers of its parts. */
bool forward_job_merges(const struct forward_job *job);

/* Runs the due timers of the parts, then replies if the job is complete, has
 * failed or has reached its objective or deadline. */
void forward_job_update(struct forward_job *job);

/* Return: the digest of the job's request. Computed at the first call, which
 * must come before the reply. */
const struct route_digest *forward_job_digest(struct forward_job *job);

/* message.c */

/* The outcome of an attempt according to the replica's answer. */
struct forward_classification {
	enum route_result result;
	int reason; /* 0: the answer can be returned to the caller */
	bool not_run; /* the answer proves that the request did not run */
};

/* The rate limit in a replica's answer. */
struct forward_rate_limit {
	enum {
		FORWARD_LIMIT_ABSENT,
		FORWARD_LIMIT_VALID,
		FORWARD_LIMIT_INVALID,
	} kind;
	double per_s; /* of FORWARD_LIMIT_VALID: requests/s, above 0 */
};

/* What a replica says of itself in an answer. */
struct forward_notice {
	bool leaving;
	gint64 rest_us; /* 0: it asks for no rest */
	bool invalid; /* a field that cannot be read */
};

struct forward_notice forward_read_notice(const struct forward_dialect *dialect,
					  const struct http1_message *message);

struct forward_rate_limit forward_read_rate_limit(
	const struct forward_dialect *dialect,
	const struct http1_message *message);

/* Return: whether a status promises the caller that the request did not run
 * and never will. */
bool forward_status_promises_not_run(guint status);

struct forward_classification forward_classify_answer(
	const struct forward_dialect *dialect,
	const struct http1_message *message);

/* Computes the digest of what is asked: method, host, target, caller and body.
 * It is the same for all copies of a request, whose ids differ. */
void forward_digest_request(const struct forward_dialect *dialect,
			    const struct http1_message *request,
			    struct route_digest *digest);

/* Return: a new copy, whose body counts as used memory. with_lines: include the
 * header lines. */
struct forward_answer *forward_copy_answer(struct forward_engine *engine,
					   const struct http1_message *message,
					   bool with_lines);
void forward_answer_free(struct forward_answer *answer);

/* Writes the request line and header lines into engine->request_head. */
void forward_write_request_head(const struct forward_job *job,
				const struct route_replica *replica);

/* link.c */

/* Sends the part's request to a replica.
 * Return: false if no connection could be opened. */
bool forward_send(struct forward_part *part, struct route_replica *replica);

/* Detaches an attempt from its part. Its answer is awaited for up to limit_us
 * so that the connection can be reused; then the attempt is aborted. */
void forward_attempt_drain(struct forward_attempt *attempt, gint64 limit_us);

/* Ends an attempt and closes its connection. */
void forward_attempt_abort(struct forward_attempt *attempt);

/* Closes expired idle connections and frees the links of removed replicas. */
void forward_links_close_expired(struct forward_engine *engine);
void forward_links_free(struct forward_engine *engine);

/* crashes.c: finds the replicas that crash while they run a request */

/* A replica closed the connection on which it ran a request. */
void forward_crashes_lost(struct forward_engine *engine,
			  const struct forward_attempt *attempt,
			  const struct route_digest *digest);

/* Return: number of open checks for replicas that lost a request. */
guint forward_crashes_pending(struct forward_engine *engine,
			      const struct route_digest *digest);

/* Removes a request from the open checks: it has a good answer. */
void forward_crashes_forget(struct forward_engine *engine,
			    const struct route_digest *digest);

void forward_crashes_free(struct forward_engine *engine);

/* contact.c: whether this daemon reaches any replica */
struct forward_contact *forward_contact_create(struct forward_engine *engine);
void forward_contact_destroy(struct forward_contact *contact);

/* Begins a round of connections to replicas if there is a reason to. */
void forward_contact_check(struct forward_contact *contact);

/* A replica answered; a new connection to one was established; a connection to
 * one failed, or was closed with a request. */
void forward_contact_answered(struct forward_contact *contact);
void forward_contact_connected(struct forward_contact *contact);
void forward_contact_failed(struct forward_contact *contact,
			    const struct route_replica *replica);

/* The loop was busy for longer than an answer takes. */
void forward_contact_lagged(struct forward_contact *contact);

bool forward_contact_exists(const struct forward_contact *contact);

/* Return: false if replicas still answer on established connections. */
bool forward_contact_silent(const struct forward_contact *contact);

/* Return: share of the requests to send to replicas directly, 0 to 1. */
double forward_contact_share(const struct forward_contact *contact);

/* relays.c: requests that peers serve while this daemon reaches no replica */

/* Header field of requests on a relay address, and of their answers. */
#define FORWARD_RELAY_FIELD "Cuminsail-Relay"

/* Return: NULL if the relay address cannot be bound. */
struct forward_relays *forward_relays_create(struct forward_engine *engine);

/* Closes the relay address. */
void forward_relays_close(struct forward_relays *relays);
void forward_relays_destroy(struct forward_relays *relays);

/* Each connection of a peer is closed after its next answer. */
void forward_relays_drain(struct forward_relays *relays);

/* Return: connections of peers that are still open. */
guint forward_relays_stop_accepting(struct forward_relays *relays);

/* Applies the list of peers in a seed's answer. text: NULL if it has none. */
void forward_relays_apply(struct forward_relays *relays, const char *text);

/* Appends this daemon's relay address, whether it has contact, and what it
 * knows of the peers, to the query string of a call to a seed. */
void forward_relays_append_report(const struct forward_relays *relays,
				  GString *query);

/* Return: whether the next request is sent to a peer. */
bool forward_relays_wanted(const struct forward_relays *relays);

/* Return: whether a replica may have run the job's request. */
bool forward_job_may_have_run(const struct forward_job *job);

/* Return: whether the job may be sent to a peer, with regard to the attempts
 * that may have run. */
bool forward_job_may_relay(const struct forward_job *job);

/* Sends the job to a peer. Its attempts at replicas are aborted. The caller
 * calls forward_job_update() next. */
void forward_job_relay(struct forward_job *job);

/* Sends the open jobs to peers whose answers will not come; fails those that
 * have no attempt left. */
void forward_relays_contact_lost(struct forward_relays *relays);

void forward_relays_append_request_field(const struct forward_job *job,
					 GString *head);

/* code: 0 if replicas have answered, else the reason of the refusal. */
void forward_relays_append_answer_field(const struct forward_engine *engine,
					int code, GString *lines);

/* As forward_classify_answer(), for the answer of a peer. */
struct forward_classification forward_relays_classify(
	struct forward_engine *engine, struct route_replica *peer,
	const struct http1_message *message);

/* blocklist.c: requests under which replicas crash */

/* Records that a replica crashed while it ran a request. */
void forward_blocklist_crashed(struct forward_engine *engine,
			       const struct route_replica *replica,
			       const struct route_digest *digest, guint32 copy,
			       gint64 at_us);

/* A replica gave a good answer to the job, which is thus not to blame. */
void forward_blocklist_answered(struct forward_job *job);

/* An operator clears a request. text: its digest.
 * Return: false if nothing is known against it. */
bool forward_blocklist_clear(struct forward_engine *engine, const char *text);

/* Return: false if the job's request is blocked. */
bool forward_blocklist_admits(struct forward_job *job);

/* A replica, and no other one at its address, has received a request of the
 * job, or may have. */
void forward_blocklist_received(struct forward_job *job);

/* The job ends. */
void forward_blocklist_ended(struct forward_job *job);

/* Return: time until the next probe of the job's request is due, G_MAXINT64 if
 * there is none; 0 if the request is not blocked. */
gint64 forward_blocklist_wait_us(struct forward_job *job);

/* Return: whether a replica has crashed under the job's request, or is being
 * checked. */
bool forward_blocklist_suspects(struct forward_job *job);

/* Return: whether the job's other attempts would only end more replicas: as
 * many of its crashes as count are known. */
bool forward_blocklist_condemns(struct forward_job *job);

/* Whether a part may be sent to another replica. */
enum forward_verdict {
	FORWARD_GO,
	FORWARD_HOLD, /* until it is known whether replicas have crashed */
	FORWARD_STOP, /* the request is likely to crash another one */
};

enum forward_verdict forward_blocklist_judge(struct forward_part *part);

/* Return: whether the list changed a short time ago. */
bool forward_blocklist_spreads(const struct forward_engine *engine);

/* Appends the fingerprint of the list, and all: its requests. */
void forward_blocklist_print(const struct forward_engine *engine, bool all,
			     GString *text);

/* Appends the list to the query string of a call to a seed. */
void forward_blocklist_append_report(struct forward_engine *engine,
				     GString *query);

/* Adds the list in another daemon's message. Invalid requests are logged and
 * skipped.
 * Return: fingerprint of that list. */
guint64 forward_blocklist_merge(struct forward_engine *engine,
				const char *text);

/* The same for a seed's answer. text: NULL if it has none. */
void forward_blocklist_apply(struct forward_engine *engine, const char *text);

/* Return: the requests with crashes as a new document for operators. */
json_t *forward_blocklist_page(const struct forward_engine *engine);

/* reply.c */

/* Sends the complete or partial answer. */
void forward_reply(struct forward_job *job);

/* Sends an error reply. code: result code. */
void forward_refuse(struct forward_job *job, int code);

/* registry.c: the daemons that this one knows of */
struct forward_registry *forward_registry_create(struct forward_engine *engine);
void forward_registry_destroy(struct forward_registry *registry);

/* Records a daemon that has called. parameters: of its call. */
void forward_registry_record(struct forward_registry *registry,
			     const char *control, const char *zone,
			     GHashTable *parameters);

/* Records the silent daemons in another seed's call. */
void forward_registry_add_silent(struct forward_registry *registry,
				 const char *list);

/* Counts the daemons again if the last count is old, and determines the places
 * and the peers of this daemon if it is a seed. */
void forward_registry_update_counts(struct forward_registry *registry);

/* Return: number of daemons that are up, and of these in a zone. */
guint forward_registry_count(struct forward_registry *registry);
guint forward_registry_count_in_zone(struct forward_registry *registry,
				     const char *zone);

/* Return: the daemons that divide rate limits, owned by the registry. */
struct route_members *forward_registry_members(
	struct forward_registry *registry);

/* Appends this daemon and the daemons that call it, their relay addresses, and
 * the daemons that were not seen lately, to the query string of a call to
 * another seed. */
void forward_registry_append_callers(struct forward_registry *registry,
				     GString *query);
void forward_registry_append_relays(struct forward_registry *registry,
				    GString *query);
void forward_registry_append_silent(struct forward_registry *registry,
				    GString *query);

/* Appends the relay addresses to the answer to a daemon whose list has the
 * fingerprint known, if that is another one. */
void forward_registry_append_known_relays(
	const struct forward_registry *registry, guint32 known, GString *body);

/* peers.c: serves the calls of other daemons. */
struct forward_peers *forward_peers_create(struct forward_engine *engine);
void forward_peers_set_source(struct forward_peers *peers,
			      const struct forward_source *source);

/* Answers the held calls whose callers lack a change of the routing view. */
void forward_peers_view_changed(struct forward_peers *peers);

/* Answers the held calls whose callers have another blocklist, after a short
 * time in which further changes are collected. */
void forward_peers_blocklist_changed(struct forward_peers *peers);

void forward_peers_destroy(struct forward_peers *peers);

/* outliers.c: replica statistics that daemons exchange through the seeds */

/* Appends this daemon's report to the query string of a call. */
void forward_outliers_append_report(struct forward_engine *engine,
				    GString *query);

/* Adds a follower's report to the pooled statistics. */
void forward_outliers_add_report(struct forward_engine *engine,
				 const char *report);

/* Adds this daemon's own attempts to the pooled statistics, determines the
 * outliers and applies them to its replicas.
 * Return: the outliers as a new array, for the answers to followers. */
json_t *forward_outliers_update(struct forward_engine *engine);

/* Applies the outliers that a seed reports. Invalid entries are logged and
 * skipped. */
void forward_outliers_apply(struct forward_engine *engine, json_t *outliers);

/* pauses.c: regular pauses of replicas, exchanged through the seeds */

/* Appends the stalls since the last call to the query string of a call. */
void forward_pauses_append_report(struct forward_engine *engine,
				  GString *query);

/* Records the stalls that a follower reports. */
void forward_pauses_add_report(struct forward_engine *engine,
			       const char *report);

/* Appends predicted pauses as a member to the answer to a follower. */
void forward_pauses_append(struct forward_engine *engine, GString *body);

/* Applies the pauses that a seed predicts; NULL: none. Invalid entries are
 * logged and skipped. */
void forward_pauses_apply(struct forward_engine *engine, const char *pauses);

/* notices.c: replicas that say that they leave, or ask for rest */

/* Records what an answer of the replica says. result: of that answer */
void forward_notices_observe(struct forward_engine *engine,
			     struct route_replica *replica,
			     const struct http1_message *message,
			     enum route_result result);

/* limits.c: rate limits of replicas, and their exchange through the seeds */

/* Records the rate limit that a replica's answer names. */
void forward_limits_observe(struct forward_engine *engine,
			    const struct route_attempt *attempt,
			    const struct http1_message *message,
			    enum route_result result);

/* Appends the limits that this daemon has observed since its last call; for a
 * call between seeds, all that it knows. */
void forward_limits_append_report(struct forward_engine *engine, bool all,
				  GString *query);

/* Applies the limits in another daemon's call. */
void forward_limits_add_report(struct forward_engine *engine,
			       const char *report);

/* Return: the known limits as a new array, for the answers to calls. */
json_t *forward_limits_export(struct forward_engine *engine);

/* Return: a daemon's places for the replicas of each region as a new object;
 * empty if @members gives it none. hash: of its control address. */
json_t *forward_limits_places(struct forward_engine *engine,
			      struct route_members *members, guint32 hash);

/* Appends how many daemons divide the limits of each region, as this daemon was
 * told with its places. */
void forward_limits_append_sizes(struct forward_engine *engine, GString *query);

/* Applies the sizes in another daemon's call. */
void forward_limits_add_sizes(struct route_members *members, const char *text);

/* Applies the limits in a seed's answer, and this daemon's places if there are
 * any. Invalid entries are logged and skipped. */
void forward_limits_apply(struct forward_engine *engine, json_t *limits,
			  json_t *places);

/* follow.c: calls this daemon makes to the seeds. */
struct forward_follow *forward_follow_create(
	struct forward_engine *engine, const struct forward_source *source);
void forward_follow_destroy(struct forward_follow *follow);

/* Return: whether this daemon is one of the seeds. */
bool forward_follow_is_seed(const struct forward_follow *follow);

/* Return: the probes of blocked requests that this daemon sends, bit i: probe
 * i. The seeds share them; without seeds a daemon sends all. */
guint forward_follow_probes(const struct forward_follow *follow);

/* Calls a seed now, also if a call to one is being held. */
void forward_follow_call_now(struct forward_follow *follow);

/* Path of the call to a seed, up to its query string. */
#define FORWARD_FOLLOW_PATH "/v1/follow?"

/* If a seed's routing view is older than this, its watch call to the platform
 * is overdue and the seed reports the age to its followers at once. */
#define FORWARD_VIEW_LATE_US (1700 * CS_US_PER_MS)

#endif
