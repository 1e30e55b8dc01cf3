/* Queries of callers: sends the policy's attempts to the upstreams. */
#include "internal.h"

/* An open call to an upstream for one attempt of a query. */
struct part_call {
	LIST_ENTRY(part_call) link;
	struct query_job *job;
	gint64 attempt;
	struct upstream_call *call;
};

/* A query in progress and its open calls. */
struct query_job {
	struct engine_job base;
	TAILQ_ENTRY(query_job) link;
	struct cs_timer timer;
	struct engine *engine;
	struct caller_exchange *exchange;
	struct policy_service *service;
	struct policy_query *query;
	LIST_HEAD(, part_call) calls;
	json_t *body;
	gint64 hits_max;
};

#define job_of(ptr)                                                            \
	((struct query_job *)((char *)(ptr)-offsetof(struct query_job, timer)))

static void run_actions(struct query_job *job);

static void free_call(struct part_call *call)
{
	LIST_REMOVE(call, link);
	g_free(call);
}

static void free_job(struct query_job *job)
{
	struct engine *engine = job->engine;

	cs_timer_disarm(engine->clock, &job->timer);
	while (!LIST_EMPTY(&job->calls)) {
		struct part_call *call = LIST_FIRST(&job->calls);

		/* The analyzer does not follow the removal from the list. */
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
		upstream_call_destroy(call->call);
		free_call(call);
	}
	TAILQ_REMOVE(&engine->queries, job, link);
	policy_query_destroy(job->query, engine_now(engine));
	json_decref(job->body);
	g_free(job);
}

/* ---- upstream answers ---- */

/* Passes the state that an upstream reports in its reply to the policy. */
static void update_upstream_state(struct query_job *job, struct part_call *call,
				  const struct upstream_reply *reply)
{
	struct policy_upstream *upstream =
		policy_query_upstream(job->query, call->attempt);
	struct policy_upstream_report report = {
		.incarnation = reply->incarnation,
		.draining = reply->draining,
		.cold = reply->cold,
	};

	if (upstream)
		policy_upstream_apply_report(job->engine->fleet, upstream,
					     &report);
}

static void on_reply(struct upstream_call *upstream_call,
		     struct upstream_reply *reply, void *user)
{
	struct part_call *call = user;
	struct query_job *job = call->job;
	struct engine *engine = job->engine;
	struct policy_service *service = job->service;
	gint64 now = engine_now(engine);
	gint64 attempt = call->attempt;

	update_upstream_state(job, call, reply);
	free_call(call);
	if (reply->part)
		policy_query_answered(job->query, attempt,
				      g_steal_pointer(&reply->part), now);
	else
		policy_query_failed(job->query, attempt, reply->result, now);
	run_actions(job);
	engine_wake_waiters(engine, service);
}

/* This daemon's share of the connections that one upstream accepts. */
static gint64 connection_share(const struct engine *engine,
			       const struct config_service *config)
{
	const struct config *fleet_config = policy_fleet_config(engine->fleet);

	return MAX(config->connections / fleet_config->daemons_max, 1);
}

/* ---- the policy's actions ---- */

static void send_part(struct query_job *job, const struct policy_action *action)
{
	const struct config_service *config =
		policy_service_config(job->service);
	struct part_call *call = g_new0(struct part_call, 1);
	struct upstream_request request = {
		.service = config->name,
		.address = action->upstream->address,
		.request_id = caller_exchange_id(job->exchange),
		.attempt = action->attempt,
		.incarnation = action->upstream->incarnation,
		.deadline_us = action->deadline_us,
		.connections_max = connection_share(job->engine, config),
		.shard = action->shard,
		.snapshot = action->snapshot,
		.map = action->map,
		.hits_max = job->hits_max,
		.body = job->body,
	};

	call->job = job;
	call->attempt = action->attempt;
	LIST_INSERT_HEAD(&job->calls, call, link);
	call->call = upstream_call_create(job->engine->upstreams, &request,
					  on_reply, call);
}

static void cancel_part(struct query_job *job, gint64 attempt)
{
	struct part_call *call;

	LIST_FOREACH (call, &job->calls, link) {
		if (call->attempt == attempt)
			break;
	}
	if (!call)
		return;
	upstream_call_destroy(call->call);
	free_call(call);
}

static json_t *hits_to_json(const GPtrArray *hits)
{
	json_t *array = json_array();

	for (guint i = 0; i < hits->len; i++) {
		const struct policy_hit *hit = hits->pdata[i];
		json_t *value = json_pack("{s:s,s:f}", "id", hit->id, "score",
					  hit->score);

		if (hit->fields)
			json_object_set(value, "fields", hit->fields);
		json_array_append_new(array, value);
	}
	return array;
}

static json_t *answer_to_json(const struct policy_answer *answer)
{
	bool complete = answer->documents_answered == answer->documents &&
			answer->shards_answered == answer->shards;

	return json_pack("{s:s,s:s,s:I,s:{s:b,s:I,s:I,s:i,s:i},s:o}", "outcome",
			 cs_outcome_name(answer->outcome), "snapshot",
			 answer->pin->snapshot, "map",
			 (json_int_t)answer->pin->map, "coverage", "complete",
			 complete, "documents", (json_int_t)answer->documents,
			 "documents_answered",
			 (json_int_t)answer->documents_answered, "shards",
			 (int)answer->shards, "shards_answered",
			 (int)answer->shards_answered, "hits",
			 hits_to_json(answer->hits));
}

static void send_answer(struct query_job *job)
{
	const struct policy_answer *answer = policy_query_result(job->query);
	struct engine *engine = job->engine;

	history_add(engine->history, caller_exchange_id(job->exchange),
		    policy_query_trace(job->query, engine_now(engine)));
	caller_exchange_set_data(job->exchange, NULL);
	if (answer->code)
		caller_exchange_refuse(job->exchange, answer->code,
				       answer->outcome, NULL);
	else
		caller_exchange_reply(job->exchange, answer_to_json(answer));
}

/*
 * Carries out the pending actions of the policy and arms the timer for the next
 * tick. Frees the job when the query has finished.
 */
static void run_actions(struct query_job *job)
{
	struct policy_action action;

	while (policy_query_next(job->query, &action)) {
		switch (action.kind) {
		case POLICY_SEND:
			send_part(job, &action);
			break;
		case POLICY_CANCEL:
			cancel_part(job, action.attempt);
			break;
		case POLICY_FINISH:
			send_answer(job);
			free_job(job);
			return;
		}
	}
	cs_timer_arm(job->engine->clock, &job->timer,
		     policy_query_next_tick_us(job->query));
}

/* Lets the policy check its timeouts and waiting shards. May free the job. */
static void tick(struct query_job *job)
{
	policy_query_tick(job->query, engine_now(job->engine));
	run_actions(job);
}

static void on_timer(struct cs_timer *timer)
{
	struct query_job *job = job_of(timer);
	struct engine *engine = job->engine;
	struct policy_service *service = job->service;

	tick(job);
	engine_wake_waiters(engine, service);
}

void engine_wake_waiters(struct engine *engine, struct policy_service *service)
{
	struct query_job *job = policy_service_first_waiter(service);

	if (engine->waking_waiters)
		return;
	engine->waking_waiters = true;
	/* Stops at a query that is still waiting after its tick. */
	while (job) {
		struct query_job *next;

		tick(job);
		next = policy_service_first_waiter(service);
		if (next == job)
			break;
		job = next;
	}
	engine->waking_waiters = false;
}

/* ---- functions of internal.h ---- */

/* The caller's least coverage, or the service's if the caller gave none. */
static double min_coverage(const struct config_service *config,
			   const struct caller_request *request)
{
	if (request->min_coverage >= 0)
		return request->min_coverage;
	return config->least_coverage;
}

void engine_begin_query(struct engine *engine, struct caller_exchange *exchange,
			const struct caller_request *request)
{
	struct policy_service *service =
		policy_fleet_service(engine->fleet, request->service);
	const struct config_service *config = policy_service_config(service);
	gint64 now = engine_now(engine);
	struct policy_query_params params = {
		.request_id = caller_exchange_id(exchange),
		.hits_max = request->hits_max,
		.deadline_us =
			now + engine_deadline_ms(config, request->deadline_ms) *
				      CS_US_PER_MS,
		.min_coverage = min_coverage(config, request),
	};
	struct policy_query *query;
	struct query_job *job;
	int error;

	cs_counters_add(engine->counters, CS_N_QUERIES, 1);
	query = policy_query_create(engine->fleet, service, engine->counters,
				    &params, now, &error);
	if (!query) {
		caller_exchange_refuse(exchange, error, CS_NOT_RUN, NULL);
		return;
	}
	job = g_new0(struct query_job, 1);
	job->base.kind = JOB_QUERY;
	job->timer.fire = on_timer;
	job->engine = engine;
	job->exchange = exchange;
	job->service = service;
	job->query = query;
	job->body = json_incref(request->body);
	job->hits_max = request->hits_max;
	LIST_INIT(&job->calls);
	TAILQ_INSERT_TAIL(&engine->queries, job, link);
	policy_query_set_user(query, job);
	caller_exchange_set_data(exchange, job);
	run_actions(job);
}

/*
 * Cancels a query without a reply, because its caller has disconnected or the
 * engine is destroyed. The slots of its open attempts may go to queries that
 * wait.
 */
void engine_cancel_query(struct query_job *job)
{
	struct engine *engine = job->engine;
	struct policy_service *service = job->service;

	free_job(job);
	engine_wake_waiters(engine, service);
}
