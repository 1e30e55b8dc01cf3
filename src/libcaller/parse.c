/* Checking a caller's request. */
#include "cuminsail/caller.h"

#include <string.h>

#define AT(type, member) offsetof(struct type, member)

#define PATH_PREFIX   "/v1/services/"
#define LIMIT_MAX     1000
#define LIMIT_DEFAULT 10
#define DEADLINE_MAX  600000

struct raw_query {
	json_t *query;
	json_t *order;
	char *id;
	gint64 limit;
	gint64 deadline_ms;
	double least_coverage;
};

static const struct cs_field query_fields[] = {
	{"query", CS_FIELD_OBJECT, AT(raw_query, query), true, 0, 0},
	{"id", CS_FIELD_STRING, AT(raw_query, id), false, 0, CS_NAME_MAX},
	{"limit", CS_FIELD_INT, AT(raw_query, limit), false, 1, LIMIT_MAX},
	{"deadline_ms", CS_FIELD_INT, AT(raw_query, deadline_ms), false, 1,
	 DEADLINE_MAX},
	{"least_coverage", CS_FIELD_REAL, AT(raw_query, least_coverage), false,
	 0, 1},
};

static const struct cs_field order_fields[] = {
	{"order", CS_FIELD_OBJECT, AT(raw_query, order), true, 0, 0},
	{"id", CS_FIELD_STRING, AT(raw_query, id), false, 0, CS_NAME_MAX},
	{"deadline_ms", CS_FIELD_INT, AT(raw_query, deadline_ms), false, 1,
	 DEADLINE_MAX},
};

static const struct cs_field ticket_fields[] = {
	{"id", CS_FIELD_STRING, AT(raw_query, id), false, 0, CS_NAME_MAX},
};

/* ---- the path ---- */

static int check_method(const char *method, const char *wanted, char **why)
{
	if (!strcmp(method, wanted))
		return 0;
	cs_why(why, "use %s", wanted);
	return CS_E_METHOD;
}

static int bad_path(const char *path, char **why)
{
	cs_why(why, "no such path: %.200s", path);
	return CS_E_PATH;
}

static int parse_path(const char *method, const char *path,
		      struct caller_request *request, char **why)
{
	g_auto(GStrv) steps = NULL;
	guint n_steps;

	if (!g_str_has_prefix(path, PATH_PREFIX))
		return bad_path(path, why);
	steps = g_strsplit(path + strlen(PATH_PREFIX), "/", 4);
	n_steps = g_strv_length(steps);
	if (n_steps < 2)
		return bad_path(path, why);
	request->service = g_strdup(steps[0]);
	if (n_steps == 2 && !strcmp(steps[1], "query")) {
		request->kind = CALLER_QUERY;
		return check_method(method, "POST", why);
	}
	if (n_steps == 2 && !strcmp(steps[1], "tickets")) {
		request->kind = CALLER_TICKET;
		return check_method(method, "POST", why);
	}
	if (n_steps == 3 && !strcmp(steps[1], "orders")) {
		request->kind = CALLER_ORDER;
		request->ticket = g_strdup(steps[2]);
		return check_method(method, "PUT", why);
	}
	return bad_path(path, why);
}

/* ---- the body ---- */

static int read_body(json_t *document, struct caller_request *request,
		     struct raw_query *raw, char **why)
{
	switch (request->kind) {
	case CALLER_QUERY:
		return cs_json_read(document, "body", query_fields,
				    G_N_ELEMENTS(query_fields),
				    CS_UNKNOWN_REFUSE, raw, why);
	case CALLER_TICKET:
		return cs_json_read(document, "body", ticket_fields,
				    G_N_ELEMENTS(ticket_fields),
				    CS_UNKNOWN_REFUSE, raw, why);
	case CALLER_ORDER:
		return cs_json_read(document, "body", order_fields,
				    G_N_ELEMENTS(order_fields),
				    CS_UNKNOWN_REFUSE, raw, why);
	}
	return CS_E_PATH;
}

static int parse_body(const char *body, size_t length,
		      struct caller_request *request, char **why)
{
	struct raw_query raw = {.limit = LIMIT_DEFAULT, .least_coverage = -1};
	json_t *document;
	int error;

	if (!length && request->kind == CALLER_TICKET)
		return 0;
	document = cs_json_parse(body, length, why);
	if (!document)
		return cs_json_error(body, length);
	error = read_body(document, request, &raw, why);
	request->caller_id = raw.id;
	request->limit = raw.limit;
	request->deadline_ms = raw.deadline_ms;
	request->least_coverage = raw.least_coverage;
	request->body = json_incref(raw.query ? raw.query : raw.order);
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
