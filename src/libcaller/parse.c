/* Parses and validates the path and body of a caller's request. */
#include "cuminsail/caller.h"

#include <string.h>

#define OFFSET(type, member) offsetof(struct type, member)

#define PATH_PREFIX "/v1/services/"

/* Bounds on the fields limit (in hits) and deadline_ms of a body. */
#define LIMIT_MAX	1000
#define LIMIT_DEFAULT	10
#define DEADLINE_MAX_MS 600000

/* Values of a body; the objects are borrowed from the document. */
struct body_values {
	json_t *query;
	json_t *order;
	char *id;
	gint64 hits_max;
	gint64 deadline_ms;
	double min_coverage;
};

/* Fields of the body of POST /v1/services/SERVICE/query. */
static const struct cs_field query_fields[] = {
	{"query", CS_FIELD_OBJECT, OFFSET(body_values, query), true, 0, 0},
	{"id", CS_FIELD_STRING, OFFSET(body_values, id), false, 0, CS_NAME_MAX},
	{"limit", CS_FIELD_INT, OFFSET(body_values, hits_max), false, 1,
	 LIMIT_MAX},
	{"deadline_ms", CS_FIELD_INT, OFFSET(body_values, deadline_ms), false,
	 1, DEADLINE_MAX_MS},
	{"least_coverage", CS_FIELD_REAL, OFFSET(body_values, min_coverage),
	 false, 0, 1},
};

/* Fields of the body of PUT /v1/services/SERVICE/orders/TICKET. */
static const struct cs_field order_fields[] = {
	{"order", CS_FIELD_OBJECT, OFFSET(body_values, order), true, 0, 0},
	{"id", CS_FIELD_STRING, OFFSET(body_values, id), false, 0, CS_NAME_MAX},
	{"deadline_ms", CS_FIELD_INT, OFFSET(body_values, deadline_ms), false,
	 1, DEADLINE_MAX_MS},
};

/* Fields of the body of POST /v1/services/SERVICE/tickets. */
static const struct cs_field ticket_fields[] = {
	{"id", CS_FIELD_STRING, OFFSET(body_values, id), false, 0, CS_NAME_MAX},
};

/* ---- path ---- */

static int check_method(const char *method, const char *expected, char **why)
{
	if (!strcmp(method, expected))
		return 0;
	cs_set_cause(why, "use %s", expected);
	return CS_E_METHOD;
}

static int reject_path(const char *path, char **why)
{
	cs_set_cause(why, "no such path: %.200s", path);
	return CS_E_PATH;
}

/* Sets the kind, service and ticket of @request. Returns 0, CS_E_PATH or
 * CS_E_METHOD. */
static int parse_path(const char *method, const char *path,
		      struct caller_request *request, char **why)
{
	g_auto(GStrv) segments = NULL;
	guint n_segments;

	if (!g_str_has_prefix(path, PATH_PREFIX))
		return reject_path(path, why);
	segments = g_strsplit(path + strlen(PATH_PREFIX), "/", 4);
	n_segments = g_strv_length(segments);
	if (n_segments < 2)
		return reject_path(path, why);
	request->service = g_strdup(segments[0]);
	if (n_segments == 2 && !strcmp(segments[1], "query")) {
		request->kind = CALLER_QUERY;
		return check_method(method, "POST", why);
	}
	if (n_segments == 2 && !strcmp(segments[1], "tickets")) {
		request->kind = CALLER_TICKET;
		return check_method(method, "POST", why);
	}
	if (n_segments == 3 && !strcmp(segments[1], "orders")) {
		request->kind = CALLER_ORDER;
		request->ticket = g_strdup(segments[2]);
		return check_method(method, "PUT", why);
	}
	return reject_path(path, why);
}

/* ---- body ---- */

static int read_fields(json_t *document, struct caller_request *request,
		       struct body_values *values, char **why)
{
	switch (request->kind) {
	case CALLER_QUERY:
		return cs_json_read(document, "body", query_fields,
				    G_N_ELEMENTS(query_fields),
				    CS_UNKNOWN_KEYS_REFUSE, values, why);
	case CALLER_TICKET:
		return cs_json_read(document, "body", ticket_fields,
				    G_N_ELEMENTS(ticket_fields),
				    CS_UNKNOWN_KEYS_REFUSE, values, why);
	case CALLER_ORDER:
		return cs_json_read(document, "body", order_fields,
				    G_N_ELEMENTS(order_fields),
				    CS_UNKNOWN_KEYS_REFUSE, values, why);
	}
	return CS_E_PATH;
}

static int parse_body(const char *body, size_t length,
		      struct caller_request *request, char **why)
{
	struct body_values values = {.hits_max = LIMIT_DEFAULT,
				     .min_coverage = -1};
	json_t *document;
	int error;

	/* The body of a ticket request is optional. */
	if (!length && request->kind == CALLER_TICKET)
		return 0;
	document = cs_json_parse(body, length, why);
	if (!document)
		return cs_json_error(body, length);
	error = read_fields(document, request, &values, why);
	request->caller_id = values.id;
	request->hits_max = values.hits_max;
	request->deadline_ms = values.deadline_ms;
	request->min_coverage = values.min_coverage;
	request->body = json_incref(values.query ? values.query : values.order);
	json_decref(document);
	return error;
}

int caller_request_parse(const char *method, const char *path, const char *body,
			 size_t length, struct caller_request *request,
			 char **why)
{
	int error;

	memset(request, 0, sizeof(*request));
	error = parse_path(method, path, request, why);
	if (error)
		return error;
	return parse_body(body, length, request, why);
}

void caller_request_clear(struct caller_request *request)
{
	g_free(request->service);
	g_free(request->ticket);
	g_free(request->caller_id);
	json_decref(request->body);
	memset(request, 0, sizeof(*request));
}
