/* Request heads sent to replicas, and classification of their answers. */
#include "internal.h"

#include "cuminsail/error.h"

#include <math.h>
#include <string.h>

/* Time for the answer of a peer to come back, in another region. */
#define RELAY_MARGIN_US (50 * CS_US_PER_MS)

static void copy_line(const char *name, const char *value, void *user)
{
	GString *lines = user;

	if (!g_ascii_strcasecmp(name, FORWARD_RELAY_FIELD))
		return;
	g_string_append(lines, name);
	g_string_append_len(lines, ": ", 2);
	g_string_append(lines, value);
	g_string_append_len(lines, "\r\n", 2);
}

struct forward_answer *forward_copy_answer(struct forward_engine *engine,
					   const struct http1_message *message,
					   bool with_lines)
{
	struct forward_answer *answer = g_new0(struct forward_answer, 1);

	answer->status = message->status;
	answer->signature = g_strdup(
		http1_message_header(message, engine->dialect->signature));
	answer->body = g_byte_array_sized_new(message->body->len);
	g_byte_array_append(answer->body, message->body->data,
			    message->body->len);
	answer->memory = &engine->answer_memory;
	answer->memory->used += answer->body->len;
	if (with_lines) {
		answer->lines = g_string_new(NULL);
		http1_message_foreach_end_to_end(message, copy_line,
						 answer->lines);
	}
	return answer;
}

void forward_answer_free(struct forward_answer *answer)
{
	if (!answer)
		return;
	answer->memory->used -= answer->body->len;
	g_free(answer->signature);
	g_byte_array_unref(answer->body);
	if (answer->lines)
		g_string_free(answer->lines, TRUE);
	g_free(answer);
}

static void add_text(GChecksum *sum, const char *text)
{
	/* The NUL separates the texts. */
	g_checksum_update(sum, (const guchar *)text, (gssize)strlen(text) + 1);
}

void forward_digest_request(const struct forward_dialect *dialect,
			    const struct http1_message *request,
			    struct route_digest *digest)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	const char *host = http1_message_header(request, "Host");
	const char *caller = http1_message_header(request, dialect->caller);
	g_autofree char *lower = g_ascii_strdown(host ? host : "", -1);
	guint8 bytes[32];
	gsize length = sizeof(bytes);

	add_text(sum, request->method);
	add_text(sum, lower);
	add_text(sum, request->target->str);
	add_text(sum, caller ? caller : "");
	g_checksum_update(sum, request->body->data, request->body->len);
	g_checksum_get_digest(sum, bytes, &length);
	g_checksum_free(sum);
	memcpy(digest->bytes, bytes, sizeof(digest->bytes));
}

bool forward_status_promises_not_run(guint status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

struct forward_classification forward_classify_answer(
	const struct forward_dialect *dialect,
	const struct http1_message *message)
{
	bool success = message->status >= 200 && message->status < 300;

	/* It may be a late copy of the answer to an earlier request. */
	if (!http1_message_header(message, dialect->request_id))
		return (struct forward_classification){ROUTE_FAILED,
						       CS_E_BAD_ANSWER, false};
	if (message->status == dialect->wrong_instance)
		return (struct forward_classification){ROUTE_WRONG_INSTANCE,
						       CS_E_REFUSED, true};
	if (!success && http1_message_header(message, dialect->not_run))
		return (struct forward_classification){ROUTE_SHED, CS_E_REFUSED,
						       true};
	if (success && !http1_message_header(message, dialect->signature))
		return (struct forward_classification){ROUTE_FAILED,
						       CS_E_BAD_ANSWER, false};
	/* Such a status is a failure that must not reach the caller: without
	 * proof, the request may have run. */
	if (message->status >= 500 ||
	    forward_status_promises_not_run(message->status))
		return (struct forward_classification){ROUTE_FAILED, CS_E_LOST,
						       false};
	return (struct forward_classification){ROUTE_ANSWERED, 0, false};
}

/* Matches a decimal number without sign or exponent. */
static bool is_decimal(const char *text)
{
	gsize digits = strspn(text, "0123456789");
	const char *rest = text + digits;

	if (*rest == '.') {
		gsize decimals = strspn(++rest, "0123456789");

		digits += decimals;
		rest += decimals;
	}
	return digits && !*rest;
}

struct forward_rate_limit forward_read_rate_limit(
	const struct forward_dialect *dialect,
	const struct http1_message *message)
{
	const char *value;
	guint n = http1_message_values(message, dialect->rate_limit, &value);
	double per_s;

	if (!n)
		return (struct forward_rate_limit){FORWARD_LIMIT_ABSENT, 0};
	if (n > 1 || !is_decimal(value))
		return (struct forward_rate_limit){FORWARD_LIMIT_INVALID, 0};
	per_s = g_ascii_strtod(value, NULL);
	if (!isfinite(per_s) || per_s <= 0)
		return (struct forward_rate_limit){FORWARD_LIMIT_INVALID, 0};
	return (struct forward_rate_limit){FORWARD_LIMIT_VALID, per_s};
}

/* Largest rest that is read, in seconds: sums with a clock time do not
 * overflow.
 */
#define REST_MAX_S 1e9

struct forward_notice forward_read_notice(const struct forward_dialect *dialect,
					  const struct http1_message *message)
{
	struct forward_notice notice = {0};
	const char *leaving;
	const char *rest;
	guint n_leaving =
		http1_message_values(message, dialect->leaving, &leaving);
	guint n_rest = http1_message_values(message, dialect->rest, &rest);

	notice.leaving = n_leaving && !strcmp(leaving, "1");
	notice.invalid = n_leaving && !notice.leaving;
	if (message->status != 503 || !n_rest)
		return notice;
	if (n_rest > 1 || !is_decimal(rest))
		notice.invalid = true;
	else
		notice.rest_us =
			(gint64)(MIN(g_ascii_strtod(rest, NULL), REST_MAX_S) *
				 CS_US_PER_S);
	return notice;
}

struct head_writer {
	const struct forward_dialect *dialect;
	GString *head;
};

static void write_line(const char *name, const char *value, void *user)
{
	struct head_writer *writer = user;

	if (!g_ascii_strcasecmp(name, writer->dialect->deadline_ms) ||
	    !g_ascii_strcasecmp(name, writer->dialect->instance))
		return;
	copy_line(name, value, writer->head);
}

static bool has_length(const struct http1_message *request)
{
	return request->body->len || (strcmp(request->method, "GET") != 0 &&
				      strcmp(request->method, "HEAD") != 0 &&
				      strcmp(request->method, "DELETE") != 0);
}

void forward_write_request_head(const struct forward_job *job,
				const struct route_replica *replica)
{
	const struct http1_message *request = job->request;
	const struct forward_dialect *dialect = job->engine->dialect;
	struct head_writer writer = {dialect, job->engine->request_head};
	gint64 left_us = job->deadline_us - forward_now(job->engine);

	g_string_truncate(writer.head, 0);
	g_string_append(writer.head, request->method);
	g_string_append_c(writer.head, ' ');
	g_string_append_len(writer.head, request->target->str,
			    (gssize)request->target->len);
	g_string_append(writer.head, " HTTP/1.1\r\n");
	http1_message_foreach_end_to_end(request, write_line, &writer);
	if (job->relaying)
		left_us -= RELAY_MARGIN_US;
	g_string_append_printf(writer.head, "%s: %" G_GINT64_FORMAT "\r\n",
			       dialect->deadline_ms,
			       MAX(left_us / CS_US_PER_MS, 1));
	if (job->relaying)
		forward_relays_append_request_field(job, writer.head);
	else
		g_string_append_printf(writer.head, "%s: %s\r\n",
				       dialect->instance, replica->id);
	if (has_length(request))
		g_string_append_printf(writer.head, "Content-Length: %u\r\n",
				       request->body->len);
	g_string_append_len(writer.head, "\r\n", 2);
}
