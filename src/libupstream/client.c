/* One POST for each attempt, classified by what is known of its run. */
#include "cuminsail/upstream.h"

#include <libsoup/soup.h>
#include <string.h>

#define HEADER_NOT_RUN	   "Cuminsail-Not-Run"
#define HEADER_LACKS	   "Cuminsail-Lacks-Snapshot"
#define HEADER_MOVED	   "Cuminsail-Other-Incarnation"
#define HEADER_STATE	   "Cuminsail-State"
#define HEADER_INCARNATION "Cuminsail-Incarnation"

#define CONTENT_JSON "application/json"

/* Bytes read from an answer at a time. */
#define READ_BYTES 65536

/* Connections left unused this long are closed, in seconds. */
#define IDLE_S 60

struct upstream_client {
	struct cs_clock *clock;
	gint64 answer_max;
	GHashTable *sessions; /* "service/connections" to SoupSession */
};

struct upstream_call {
	struct upstream_client *client;
	SoupMessage *message;
	GCancellable *cancellable;
	GInputStream *stream;
	GByteArray *body;
	char *identity; /* "REQUEST-ID/ATTEMPT" */
	bool is_order;
	bool sent; /* the request may have reached the upstream */
	bool closed;
	void (*done)(struct upstream_call *call, struct upstream_reply *reply,
		     void *user);
	void *user;
};

struct upstream_client *upstream_client_create(struct cs_clock *clock,
					       gint64 answer_max)
{
	struct upstream_client *client = g_new0(struct upstream_client, 1);

	client->clock = clock;
	client->answer_max = answer_max;
	client->sessions = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, g_object_unref);
	return client;
}

void upstream_client_destroy(struct upstream_client *client)
{
	if (!client)
		return;
	g_hash_table_unref(client->sessions);
	g_free(client);
}

static SoupSession *create_session(guint connections)
{
	SoupSession *session = soup_session_new_with_options(
		"max-conns", G_MAXINT, "max-conns-per-host", (int)connections,
		"timeout", 0, "idle-timeout", IDLE_S, "proxy-resolver", NULL,
		"user-agent", "cuminsail", NULL);

	soup_session_remove_feature_by_type(session, SOUP_TYPE_CONTENT_DECODER);
	return session;
}

/* One session for each service and cap: a changed cap cuts no open call. */
static SoupSession *need_session(struct upstream_client *client,
				 const struct upstream_request *request)
{
	g_autofree char *key = g_strdup_printf(
		"%s/%" G_GINT64_FORMAT, request->service, request->connections);
	SoupSession *session = g_hash_table_lookup(client->sessions, key);

	if (session)
		return session;
	session = create_session((guint)request->connections);
	g_hash_table_insert(client->sessions, g_steal_pointer(&key), session);
	return session;
}

static void free_call(struct upstream_call *call)
{
	g_clear_object(&call->message);
	g_clear_object(&call->cancellable);
	g_clear_object(&call->stream);
	g_byte_array_unref(call->body);
	g_free(call->identity);
	g_free(call);
}

/* ---- what an answer proves ---- */

static bool proves_not_run(const struct upstream_call *call,
			   SoupMessageHeaders *headers)
{
	const char *value =
		soup_message_headers_get_one(headers, HEADER_NOT_RUN);

	return value && !strcmp(value, call->identity);
}

static enum policy_result classify_refusal(const struct upstream_call *call,
					   guint status,
					   SoupMessageHeaders *headers)
{
	if (!proves_not_run(call, headers))
		return POLICY_LOST;
	if (status == SOUP_STATUS_CONFLICT &&
	    soup_message_headers_get_one(headers, HEADER_LACKS))
		return POLICY_LACKS;
	if (status == SOUP_STATUS_CONFLICT &&
	    soup_message_headers_get_one(headers, HEADER_MOVED))
		return POLICY_MOVED;
	if (status == SOUP_STATUS_SERVICE_UNAVAILABLE ||
	    status == SOUP_STATUS_CONFLICT)
		return POLICY_REFUSED;
	return POLICY_LOST;
}

static bool order_answer_is_good(const struct upstream_call *call,
				 const char *text, size_t length)
{
	json_t *document = cs_json_parse(text, length, NULL);
	g_autofree char *identity = NULL;
	const char *request_id = NULL;
	json_int_t attempt = 0;
	bool good;

	good = document && !json_unpack(document, "{s:s,s:I,s:o}", "request_id",
					&request_id, "attempt", &attempt,
					"result", &(json_t *){NULL});
	if (good)
		identity = g_strdup_printf("%s/%" JSON_INTEGER_FORMAT,
					   request_id, attempt);
	good = good && !strcmp(identity, call->identity);
	json_decref(document);
	return good;
}

static void read_answer(const struct upstream_call *call,
			struct upstream_reply *reply)
{
	const char *text = (const char *)call->body->data;
	size_t length = call->body->len;

	if (call->is_order) {
		if (!order_answer_is_good(call, text, length))
			return;
		reply->body = g_strndup(text, length);
	} else {
		reply->part = upstream_part_parse(text, length);
		if (!reply->part)
			return;
	}
	reply->result = POLICY_DONE;
}

static void read_words(SoupMessageHeaders *headers,
		       struct upstream_reply *reply)
{
	const char *state = soup_message_headers_get_one(headers, HEADER_STATE);

	reply->incarnation = g_strdup(
		soup_message_headers_get_one(headers, HEADER_INCARNATION));
	reply->draining = state && !strcmp(state, "draining");
	reply->cold = state && !strcmp(state, "cold");
}

static void finish(struct upstream_call *call, enum policy_result failure)
{
	struct upstream_reply reply = {.result = failure};
	guint status = soup_message_get_status(call->message);
	SoupMessageHeaders *headers =
		soup_message_get_response_headers(call->message);

	if (status != SOUP_STATUS_NONE && call->sent)
		read_words(headers, &reply);
	if (failure == POLICY_DONE) {
		if (status == SOUP_STATUS_OK) {
			reply.result = POLICY_BAD;
			read_answer(call, &reply);
		} else {
			reply.result = classify_refusal(call, status, headers);
		}
	}
	call->done(call, &reply, call->user);
	policy_part_destroy(reply.part);
	g_free(reply.body);
	g_free(reply.incarnation);
	free_call(call);
}

/* ---- sending and reading ---- */

static void on_read(GObject *object, GAsyncResult *result, gpointer user);

static void read_more(struct upstream_call *call)
{
	g_input_stream_read_bytes_async(call->stream, READ_BYTES,
					G_PRIORITY_DEFAULT, call->cancellable,
					on_read, call);
}

static void on_read(GObject *object, GAsyncResult *result, gpointer user)
{
	struct upstream_call *call = user;
	g_autoptr(GError) error = NULL;
	g_autoptr(GBytes) bytes = g_input_stream_read_bytes_finish(
		G_INPUT_STREAM(object), result, &error);
	gsize size;
	const guint8 *data;

	if (call->closed) {
		free_call(call);
		return;
	}
	if (!bytes) {
		finish(call, POLICY_LOST);
		return;
	}
	data = g_bytes_get_data(bytes, &size);
	if (size == 0) {
		finish(call, POLICY_DONE);
		return;
	}
	if (call->body->len + size > (gsize)call->client->answer_max) {
		finish(call, POLICY_BAD);
		return;
	}
	g_byte_array_append(call->body, data, (guint)size);
	read_more(call);
}

static void on_sent(GObject *object, GAsyncResult *result, gpointer user)
{
	struct upstream_call *call = user;
	g_autoptr(GError) error = NULL;
	GInputStream *stream =
		soup_session_send_finish(SOUP_SESSION(object), result, &error);

	if (call->closed) {
		g_clear_object(&stream);
		free_call(call);
		return;
	}
	call->stream = stream;
	if (stream)
		read_more(call);
	else
		finish(call, call->sent ? POLICY_LOST : POLICY_UNSENT);
}

/* From here on bytes of the request may be on their way. */
static void on_starting(SoupMessage *message, gpointer user)
{
	struct upstream_call *call = user;

	call->sent = true;
}

static char *print_body(const struct upstream_call *call,
			const struct upstream_request *request)
{
	gint64 left_us =
		request->deadline_us - cs_clock_now(call->client->clock);
	json_t *document = json_pack(
		"{s:s,s:I,s:s,s:I,s:O}", "request_id", request->request_id,
		"attempt", (json_int_t)request->attempt, "incarnation",
		request->incarnation, "deadline_ms",
		(json_int_t)(left_us / CS_US_PER_MS),
		call->is_order ? "order" : "query", request->body);
	char *text;

	if (!call->is_order)
		json_object_update_new(
			document,
			json_pack("{s:s,s:s,s:I,s:I}", "shard", request->shard,
				  "snapshot", request->snapshot, "map",
				  (json_int_t)request->map, "limit",
				  (json_int_t)request->limit));
	text = cs_json_print(document);
	json_decref(document);
	return text;
}

static SoupMessage *create_message(struct upstream_call *call,
				   const struct upstream_request *request)
{
	g_autofree char *uri =
		g_strdup_printf("http://%s/v1/%s", request->address,
				call->is_order ? "order" : "part");
	SoupMessage *message = soup_message_new(SOUP_METHOD_POST, uri);
	char *text = print_body(call, request);
	g_autoptr(GBytes) bytes = g_bytes_new_take(text, strlen(text));

	soup_message_set_request_body_from_bytes(message, CONTENT_JSON, bytes);
	soup_message_add_flags(message, SOUP_MESSAGE_NO_REDIRECT);
	/* Without either flag the library opens a connection for each POST. */
	soup_message_add_flags(message, call->is_order
						? SOUP_MESSAGE_NEW_CONNECTION
						: SOUP_MESSAGE_IDEMPOTENT);
	return message;
}

struct upstream_call *upstream_call_create(
	struct upstream_client *client, const struct upstream_request *request,
	void (*done)(struct upstream_call *call, struct upstream_reply *reply,
		     void *user),
	void *user)
{
	struct upstream_call *call = g_new0(struct upstream_call, 1);

	call->client = client;
	call->is_order = !request->shard;
	call->identity = g_strdup_printf("%s/%" G_GINT64_FORMAT,
					 request->request_id, request->attempt);
	call->done = done;
	call->user = user;
	call->body = g_byte_array_new();
	call->cancellable = g_cancellable_new();
	call->message = create_message(call, request);
	g_signal_connect(call->message, "starting", G_CALLBACK(on_starting),
			 call);
	soup_session_send_async(need_session(client, request), call->message,
				G_PRIORITY_DEFAULT, call->cancellable, on_sent,
				call);
	return call;
}

/* The loop still holds an open call; its callback frees it. */
void upstream_call_destroy(struct upstream_call *call)
{
	call->closed = true;
	g_signal_handlers_disconnect_by_data(call->message, call);
	g_cancellable_cancel(call->cancellable);
}
