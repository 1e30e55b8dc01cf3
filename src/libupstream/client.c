/* Sends each attempt as one POST and classifies the result by whether the
 * attempt ran, did not run or may have run. */
#include "cuminsail/upstream.h"

#include "cuminsail/endpoint.h"
#include "cuminsail/log.h"

#include <string.h>

#define HEADER_NOT_RUN		 "Cuminsail-Not-Run"
#define HEADER_LACKS_SNAPSHOT	 "Cuminsail-Lacks-Snapshot"
#define HEADER_OTHER_INCARNATION "Cuminsail-Other-Incarnation"
#define HEADER_STATE		 "Cuminsail-State"
#define HEADER_INCARNATION	 "Cuminsail-Incarnation"

#define STATUS_CONFLICT	   409
#define STATUS_UNAVAILABLE 503

/* Limit on the headers of an answer. */
#define HEADER_BYTES_MAX 65536

/* Memory for all answers that are being received. */
#define ANSWERS_BYTES_MAX (64 * 1024 * 1024)

/* Connections that are idle for this time are closed. The time is below the
 * keep-alive timeout of common servers. */
#define IDLE_TIMEOUT_US (60 * CS_US_PER_S)

struct upstream_call;

/* A connection, idle or carrying one call. */
struct connection {
	TAILQ_ENTRY(connection) link; /* while idle */
	struct pool *pool;
	struct http1_client *http;
	struct upstream_call *call; /* NULL while idle */
	struct cs_timer idle_timer;
};

/* The connections to one address for one service. */
struct pool {
	struct upstream_client *client;
	struct sockaddr_in address;
	gint64 connections_max;
	guint connections; /* open, including the idle ones */
	/* Most recently used first. */
	TAILQ_HEAD(, connection) idle_connections;
	/* Calls that wait for a connection. */
	TAILQ_HEAD(, upstream_call) queued;
};

struct upstream_client {
	struct http1_loop *loop;
	struct cs_clock *clock;
	struct http1_limits limits;
	struct http1_memory memory;
	GHashTable *pools; /* "service/address" to struct pool */
};

struct upstream_call {
	TAILQ_ENTRY(upstream_call) link; /* while queued */
	struct pool *pool;
	struct connection *connection; /* set in CALL_SENT only */
	enum {
		CALL_QUEUED, /* waits for a connection */
		CALL_SENT,
		CALL_FAILED, /* could not open a socket */
	} state;
	/* Reports CALL_FAILED from the event loop. */
	struct cs_timer failure_timer;
	GString *head; /* request line and headers */
	char *body; /* JSON body of the request */
	char *attempt_id; /* "REQUEST-ID/ATTEMPT", as in Cuminsail-Not-Run */
	bool is_order;
	void (*done)(struct upstream_call *call, struct upstream_reply *reply,
		     void *user);
	void *user;
};

/* ---- pools ---- */

static void close_connection(struct connection *connection)
{
	struct pool *pool = connection->pool;

	if (!connection->call)
		TAILQ_REMOVE(&pool->idle_connections, connection, link);
	cs_timer_disarm(pool->client->clock, &connection->idle_timer);
	if (connection->http)
		http1_client_close(connection->http);
	pool->connections--;
	g_free(connection);
}

static void free_pool(void *data)
{
	struct pool *pool = data;

	while (!TAILQ_EMPTY(&pool->idle_connections))
		/* The analyzer does not see the removal from the list. */
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
		close_connection(TAILQ_FIRST(&pool->idle_connections));
	g_free(pool);
}

struct upstream_client *upstream_client_create(struct http1_loop *loop,
					       gint64 answer_max)
{
	struct upstream_client *client = g_new0(struct upstream_client, 1);

	client->loop = loop;
	client->clock = http1_loop_clock(loop);
	client->memory.max = MAX((gsize)answer_max, ANSWERS_BYTES_MAX);
	client->limits = (struct http1_limits){
		HEADER_BYTES_MAX, (gsize)answer_max, &client->memory};
	client->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      free_pool);
	return client;
}

void upstream_client_destroy(struct upstream_client *client)
{
	if (!client)
		return;
	g_hash_table_unref(client->pools);
	g_free(client);
}

/* Finds or creates the pool for the service and address of @request and updates
 * its connection limit. */
static struct pool *find_or_create_pool(struct upstream_client *client,
					const struct upstream_request *request)
{
	g_autofree char *key =
		g_strconcat(request->service, "/", request->address, NULL);
	struct pool *pool = g_hash_table_lookup(client->pools, key);

	if (!pool) {
		pool = g_new0(struct pool, 1);
		pool->client = client;
		TAILQ_INIT(&pool->idle_connections);
		TAILQ_INIT(&pool->queued);
		/* Not expected: instance lists with an invalid address are
		 * rejected. */
		if (cs_endpoint_parse(request->address, &pool->address))
			cs_log(LOG_ERR, "upstream-address-invalid", "address",
			       request->address, NULL);
		g_hash_table_insert(client->pools, g_steal_pointer(&key), pool);
	}
	pool->connections_max = request->connections_max;
	return pool;
}

static void free_call(struct upstream_call *call)
{
	g_string_free(call->head, TRUE);
	g_free(call->body);
	g_free(call->attempt_id);
	g_free(call);
}

/* ---- classification of answers ---- */

/* A proof for another attempt or request does not count. */
static bool proves_not_run(const struct upstream_call *call,
			   const struct http1_message *answer)
{
	const char *value = http1_message_header(answer, HEADER_NOT_RUN);

	return value && !strcmp(value, call->attempt_id);
}

static enum policy_result classify_refusal(const struct upstream_call *call,
					   const struct http1_message *answer)
{
	if (!proves_not_run(call, answer))
		return POLICY_LOST;
	if (answer->status == STATUS_CONFLICT &&
	    http1_message_header(answer, HEADER_LACKS_SNAPSHOT))
		return POLICY_LACKS_SNAPSHOT;
	if (answer->status == STATUS_CONFLICT &&
	    http1_message_header(answer, HEADER_OTHER_INCARNATION))
		return POLICY_OTHER_INCARNATION;
	if (answer->status == STATUS_UNAVAILABLE ||
	    answer->status == STATUS_CONFLICT)
		return POLICY_REFUSED;
	return POLICY_LOST;
}

static bool is_valid_order_answer(const struct upstream_call *call,
				  const char *text, size_t length)
{
	json_t *document = cs_json_parse(text, length, NULL);
	g_autofree char *attempt_id = NULL;
	const char *request_id = NULL;
	json_int_t attempt = 0;
	bool valid;

	valid = document && !json_unpack(document, "{s:s,s:I,s:o}",
					 "request_id", &request_id, "attempt",
					 &attempt, "result", &(json_t *){NULL});
	if (valid)
		attempt_id = g_strdup_printf("%s/%" JSON_INTEGER_FORMAT,
					     request_id, attempt);
	valid = valid && !strcmp(attempt_id, call->attempt_id);
	json_decref(document);
	return valid;
}

/* Parses the body of an answer with status 200. Sets POLICY_DONE if valid,
 * otherwise leaves @reply unchanged. */
static void parse_answer(const struct upstream_call *call,
			 const GByteArray *body, struct upstream_reply *reply)
{
	const char *text = (const char *)body->data;
	size_t length = body->len;

	if (call->is_order) {
		if (!is_valid_order_answer(call, text, length))
			return;
		reply->body = g_strndup(text, length);
	} else {
		reply->part = upstream_part_parse(text, length);
		if (!reply->part)
			return;
	}
	reply->result = POLICY_DONE;
}

/* Reads the state and incarnation that the upstream reports of itself. */
static void read_state_headers(const struct http1_message *answer,
			       struct upstream_reply *reply)
{
	const char *state = http1_message_header(answer, HEADER_STATE);

	reply->incarnation =
		g_strdup(http1_message_header(answer, HEADER_INCARNATION));
	reply->draining = state && !strcmp(state, "draining");
	reply->cold = state && !strcmp(state, "cold");
}

/* Reports the result to the owner and frees the call and the members of
 * the reply. */
static void finish(struct upstream_call *call, struct upstream_reply *reply)
{
	call->done(call, reply, call->user);
	policy_part_destroy(reply->part);
	g_free(reply->body);
	g_free(reply->incarnation);
	free_call(call);
}

/* ---- answers ---- */

static void start_queued_calls(struct pool *pool);

static void on_idle_timeout(struct cs_timer *timer)
{
	close_connection(
		(struct connection *)((char *)timer -
				      offsetof(struct connection, idle_timer)));
}

/* Called when a call was answered: makes the connection idle, or closes it if
 * it carried an order or cannot be reused. */
static void release_connection(struct connection *connection)
{
	struct pool *pool = connection->pool;
	struct cs_clock *clock = pool->client->clock;
	bool was_order = connection->call->is_order;

	if (was_order || !http1_client_idle(connection->http)) {
		close_connection(connection);
	} else {
		connection->call = NULL;
		TAILQ_INSERT_HEAD(&pool->idle_connections, connection, link);
		cs_timer_arm(clock, &connection->idle_timer,
			     cs_clock_now(clock) + IDLE_TIMEOUT_US);
	}
	start_queued_calls(pool);
}

static bool on_answer(struct http1_client *http,
		      const struct http1_message *answer, void *user)
{
	struct connection *connection = user;
	struct upstream_call *call = connection->call;
	struct upstream_reply reply = {.result = POLICY_BAD_ANSWER};

	read_state_headers(answer, &reply);
	if (answer->status == 200)
		parse_answer(call, answer->body, &reply);
	else
		reply.result = classify_refusal(call, answer);
	release_connection(connection);
	finish(call, &reply);
	return true;
}

static enum policy_result result_from_failure(enum http1_failure failure)
{
	switch (failure) {
	case HTTP1_NOT_CONNECTED:
		return POLICY_UNSENT;
	case HTTP1_TOO_LARGE:
		return POLICY_BAD_ANSWER;
	case HTTP1_CLOSED:
	case HTTP1_BROKEN:
		break;
	}
	return POLICY_LOST;
}

static void on_closed(struct http1_client *http, enum http1_failure failure,
		      void *user)
{
	struct connection *connection = user;
	struct upstream_call *call = connection->call;
	struct pool *pool = connection->pool;
	struct upstream_reply reply = {.result = result_from_failure(failure)};

	connection->http = NULL;
	close_connection(connection);
	start_queued_calls(pool);
	if (call)
		finish(call, &reply);
}

static void on_connected(struct http1_client *http, void *user)
{
}

/* ---- sending ---- */

static void on_failure_timer(struct cs_timer *timer)
{
	struct upstream_call *call =
		(struct upstream_call *)((char *)timer -
					 offsetof(struct upstream_call,
						  failure_timer));
	struct upstream_reply reply = {.result = POLICY_UNSENT};

	finish(call, &reply);
}

/* Reports POLICY_UNSENT from the event loop, as upstream_call_create() must
 * return before @done is called. */
static void schedule_failure(struct upstream_call *call)
{
	struct cs_clock *clock = call->pool->client->clock;

	call->state = CALL_FAILED;
	call->failure_timer.fire = on_failure_timer;
	cs_timer_arm(clock, &call->failure_timer, cs_clock_now(clock));
}

static void send_call(struct connection *connection, struct upstream_call *call)
{
	call->state = CALL_SENT;
	connection->call = call;
	call->connection = connection;
	http1_client_send(connection->http, call->head, call->body,
			  strlen(call->body), false);
}

/* Takes an idle connection out of the pool, or returns NULL. Orders never reuse
 * a connection: the upstream may close an idle one just as the request arrives,
 * and whether the order ran would be unknown. */
static struct connection *take_idle_connection(struct pool *pool, bool is_order)
{
	struct connection *connection = TAILQ_FIRST(&pool->idle_connections);

	if (!connection || is_order)
		return NULL;
	TAILQ_REMOVE(&pool->idle_connections, connection, link);
	cs_timer_disarm(pool->client->clock, &connection->idle_timer);
	return connection;
}

static struct connection *open_connection(struct pool *pool)
{
	struct upstream_client *client = pool->client;
	struct connection *connection = g_new0(struct connection, 1);
	struct http1_client_hooks hooks = {on_connected, on_answer, on_closed,
					   connection};

	connection->http = http1_client_open(client->loop, &pool->address,
					     &client->limits, &hooks);
	if (!connection->http) {
		g_free(connection);
		return NULL;
	}
	connection->pool = pool;
	connection->idle_timer.fire = on_idle_timeout;
	pool->connections++;
	return connection;
}

/* Sends the call on an idle or a new connection. Returns false if the
 * connection limit is reached; the call is then queued. */
static bool start_call(struct pool *pool, struct upstream_call *call)
{
	struct connection *connection =
		take_idle_connection(pool, call->is_order);

	if (!connection && pool->connections >= pool->connections_max) {
		if (TAILQ_EMPTY(&pool->idle_connections))
			return false;
		/* An order needs a new connection: an idle one is closed to
		 * stay within the limit. */
		close_connection(TAILQ_FIRST(&pool->idle_connections));
	}
	if (!connection)
		connection = open_connection(pool);
	if (connection)
		send_call(connection, call);
	else
		schedule_failure(call);
	return true;
}

/* Starts queued calls, oldest first, until the connection limit is reached. */
static void start_queued_calls(struct pool *pool)
{
	struct upstream_call *call = TAILQ_FIRST(&pool->queued);

	while (call && start_call(pool, call)) {
		TAILQ_REMOVE(&pool->queued, call, link);
		call = TAILQ_FIRST(&pool->queued);
	}
}

/* Returns the JSON body of the request. Its deadline_ms is the time left now,
 * at the creation of the call. */
static char *print_body(const struct upstream_call *call,
			const struct upstream_request *request)
{
	gint64 now = cs_clock_now(call->pool->client->clock);
	json_t *document = json_pack(
		"{s:s,s:I,s:s,s:I,s:O}", "request_id", request->request_id,
		"attempt", (json_int_t)request->attempt, "incarnation",
		request->incarnation, "deadline_ms",
		(json_int_t)((request->deadline_us - now) / CS_US_PER_MS),
		call->is_order ? "order" : "query", request->body);
	char *text;

	if (!call->is_order)
		json_object_update_new(
			document,
			json_pack("{s:s,s:s,s:I,s:I}", "shard", request->shard,
				  "snapshot", request->snapshot, "map",
				  (json_int_t)request->map, "limit",
				  (json_int_t)request->hits_max));
	text = cs_json_print(document);
	json_decref(document);
	return text;
}

struct upstream_call *upstream_call_create(
	struct upstream_client *client, const struct upstream_request *request,
	void (*done)(struct upstream_call *call, struct upstream_reply *reply,
		     void *user),
	void *user)
{
	struct upstream_call *call = g_new0(struct upstream_call, 1);

	call->pool = find_or_create_pool(client, request);
	call->is_order = !request->shard;
	call->attempt_id = g_strdup_printf(
		"%s/%" G_GINT64_FORMAT, request->request_id, request->attempt);
	call->done = done;
	call->user = user;
	call->body = print_body(call, request);
	call->head = g_string_new(NULL);
	g_string_printf(call->head,
			"POST /v1/%s HTTP/1.1\r\nHost: %s\r\n"
			"User-Agent: cuminsail\r\n"
			"Content-Type: application/json\r\n"
			"Content-Length: %zu\r\n\r\n",
			call->is_order ? "order" : "part", request->address,
			strlen(call->body));
	if (!start_call(call->pool, call))
		TAILQ_INSERT_TAIL(&call->pool->queued, call, link);
	return call;
}

void upstream_call_destroy(struct upstream_call *call)
{
	struct pool *pool = call->pool;

	switch (call->state) {
	case CALL_QUEUED:
		TAILQ_REMOVE(&pool->queued, call, link);
		break;
	case CALL_SENT:
		close_connection(call->connection);
		break;
	case CALL_FAILED:
		cs_timer_disarm(pool->client->clock, &call->failure_timer);
		break;
	}
	free_call(call);
	start_queued_calls(pool);
}
