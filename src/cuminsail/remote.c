/* status, upstreams, zones, config and why: commands that read the operators'
 * pages of the daemons. */
#include "client.h"

#include <libsoup/soup.h>
#include <stdio.h>

/* Timeout for one daemon, in seconds. Without it, one daemon that does not
 * answer would block the command. */
#define TIMEOUT_S 5

/* Return: the JSON document at a path of one daemon, or NULL after a message on
 * standard error. */
static json_t *call_page(const char *method, const char *daemon,
			 const char *path)
{
	g_autoptr(SoupSession) session = soup_session_new_with_options(
		"timeout", TIMEOUT_S, "proxy-resolver", NULL, NULL);
	g_autofree char *uri = g_strdup_printf("http://%s%s", daemon, path);
	g_autoptr(SoupMessage) message = soup_message_new(method, uri);
	g_autoptr(GError) error = NULL;
	g_autoptr(GBytes) bytes = NULL;
	g_autofree char *why = NULL;
	json_t *page = NULL;
	gsize size;
	const char *text;

	if (!message) {
		fprintf(stderr, "%s: not a valid address\n", daemon);
		return NULL;
	}
	bytes = soup_session_send_and_read(session, message, NULL, &error);
	if (!bytes) {
		fprintf(stderr, "%s: %s\n", daemon, error->message);
		return NULL;
	}
	text = g_bytes_get_data(bytes, &size);
	page = cs_json_parse(text, size, &why);
	if (!page)
		fprintf(stderr, "%s: %s\n", daemon, why);
	return page;
}

/*
 * Calls one page of every daemon.
 *
 * Return: an array of the pages received, with the daemon's address added to
 * each. @status is CLIENT_UNREACHABLE if any page is missing.
 */
static json_t *call_pages(const struct client *client, const char *method,
			  const char *path, enum client_exit *status)
{
	json_t *pages = json_array();

	*status = CLIENT_OK;
	for (guint i = 0; i < client->daemons->len; i++) {
		const char *daemon = client->daemons->pdata[i];
		json_t *page = call_page(method, daemon, path);

		if (!page) {
			*status = CLIENT_UNREACHABLE;
			continue;
		}
		json_object_set_new(page, "daemon", json_string(daemon));
		json_array_append_new(pages, page);
	}
	return pages;
}

static json_t *get_pages(const struct client *client, const char *path,
			 enum client_exit *status)
{
	return call_pages(client, "GET", path, status);
}

/* Return: the elements of the array @key of all pages as one array, with the
 * daemon's address added to each. */
static json_t *collect_rows(const json_t *pages, const char *key)
{
	json_t *rows = json_array();
	size_t page_index;
	json_t *page;

	json_array_foreach (pages, page_index, page) {
		json_t *daemon = json_object_get(page, "daemon");
		size_t index;
		json_t *row;

		json_array_foreach (json_object_get(page, key), index, row) {
			json_object_set(row, "daemon", daemon);
			json_array_append(rows, row);
		}
	}
	return rows;
}

static void print_result(const struct client *client, const json_t *rows,
			 const char *const *columns)
{
	if (client->json)
		client_print_json(rows);
	else
		client_print_table(rows, columns);
}

/* Prints the array @key of the page at @path, over all daemons. */
static enum client_exit print_rows(const struct client *client,
				   const char *path, const char *key,
				   const char *const *columns)
{
	enum client_exit status;
	json_t *pages = get_pages(client, path, &status);
	json_t *rows = collect_rows(pages, key);

	print_result(client, rows, columns);
	json_decref(rows);
	json_decref(pages);
	return status;
}

enum client_exit client_status(const struct client *client)
{
	static const char *const columns[] = {
		"daemon",	 "instance",	    "zone",
		"phase",	 "ready",	    "list_fresh",
		"peers_alive",	 "open_requests",   "order_records",
		"list_revision", "config_revision", NULL};
	enum client_exit status;
	json_t *pages = get_pages(client, "/v1/status", &status);

	print_result(client, pages, columns);
	json_decref(pages);
	return status;
}

enum client_exit client_upstreams(const struct client *client)
{
	static const char *const columns[] = {
		"daemon",     "id",	     "shard", "zone",
		"phase",      "leaving",     "limit", "inflight",
		"latency_ms", "incarnation", NULL};

	return print_rows(client, "/v1/upstreams", "upstreams", columns);
}

enum client_exit client_zones(const struct client *client)
{
	static const char *const columns[] = {"daemon",	 "zone",      "region",
					      "out",	 "upstreams", "warm",
					      "leaving", NULL};

	return print_rows(client, "/v1/zones", "zones", columns);
}

enum client_exit client_blocked(const struct client *client)
{
	static const char *const columns[] = {
		"daemon",      "request",	 "crashes", "blocked",
		"came_ms_ago", "crashed_ms_ago", "probes",  NULL};

	return print_rows(client, "/v1/blocked", "blocked", columns);
}

enum client_exit client_unblock(const struct client *client)
{
	static const char *const columns[] = {"daemon", "instance", "cleared",
					      NULL};
	g_autofree char *digest =
		g_uri_escape_string(client->arguments->pdata[0], NULL, FALSE);
	g_autofree char *path = g_strdup_printf("/v1/unblock/%s", digest);
	enum client_exit status;
	json_t *pages = call_pages(client, "POST", path, &status);
	size_t index;
	json_t *page;
	bool cleared = false;

	json_array_foreach (pages, index, page)
		cleared |= json_is_true(json_object_get(page, "cleared"));
	print_result(client, pages, columns);
	json_decref(pages);
	return cleared || status != CLIENT_OK ? status : CLIENT_FAILED;
}

static gint64 highest_revision(const json_t *pages)
{
	gint64 highest = 0;
	size_t index;
	json_t *page;

	json_array_foreach (pages, index, page)
		highest = MAX(highest, json_integer_value(json_object_get(
					       page, "revision")));
	return highest;
}

enum client_exit client_config(const struct client *client)
{
	static const char *const columns[] = {
		"daemon", "instance", "revision", "list_revision",
		"lags",	  "digest",   NULL};
	enum client_exit status;
	json_t *pages = get_pages(client, "/v1/config", &status);
	gint64 highest = highest_revision(pages);
	size_t index;
	json_t *page;

	json_array_foreach (pages, index, page) {
		bool lags =
			json_integer_value(json_object_get(page, "revision")) <
			highest;

		json_object_set_new(page, "lags", json_boolean(lags));
		if (lags && status == CLIENT_OK)
			status = CLIENT_FAILED;
	}
	print_result(client, pages, columns);
	json_decref(pages);
	return status;
}

static enum client_exit why_from_daemons(const struct client *client)
{
	static const char *const columns[] = {
		"attempt", "shard",	    "upstream", "cause",
		"result",  "sent_after_ms", "took_ms",	NULL};
	g_autofree char *path = g_strdup_printf(
		"/v1/why/%s", (char *)client->arguments->pdata[0]);
	enum client_exit status;
	json_t *pages = get_pages(client, path, &status);
	size_t index;
	json_t *page;
	bool found = false;

	json_array_foreach (pages, index, page) {
		if (json_object_get(page, "error"))
			continue;
		found = true;
		if (client->json) {
			client_print_json(page);
			continue;
		}
		printf("request %s: %s (%s), snapshot %s\n",
		       json_string_value(json_object_get(page, "request_id")),
		       json_string_value(json_object_get(page, "outcome")),
		       json_string_value(json_object_get(page, "result")),
		       json_string_value(json_object_get(page, "snapshot")));
		client_print_table(json_object_get(page, "attempts"), columns);
	}
	json_decref(pages);
	if (found)
		return CLIENT_OK;
	fputs("none of the queried daemons has a record of this request\n",
	      stderr);
	return status == CLIENT_OK ? CLIENT_FAILED : status;
}

enum client_exit client_why(const struct client *client)
{
	return client->logs->len ? client_why_from_logs(client)
				 : why_from_daemons(client);
}
