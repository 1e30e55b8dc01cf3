/*
 * Usage: standin-platform PORT DIRECTORY LIST REVISION
 *
 * Publishes the configuration files in DIRECTORY and the instance list in the
 * file LIST by the protocol of docs/PLATFORM-PROTOCOL.md. The configuration
 * revision starts at REVISION and increases by one with each change of a file.
 *
 * PUT /control/MODE sets the mode: "up" answers calls, "down" refuses every
 * call with status 503, "stale" answers but publishes no further changes. The
 * answer contains the number of calls so far.
 */
#include "cuminsail/config.h"

#include <libsoup/soup.h>
#include <stdlib.h>
#include <string.h>

/* Interval between two checks of the files for changes. */
#define POLL_INTERVAL_MS 20

/* The latest published revision and its JSON text. */
struct document {
	gint64 revision;
	char *text;
};

/* A call that waits for a revision above after, until its timeout. */
struct waiter {
	SoupServerMessage *message;
	struct document *document;
	gint64 after;
	guint timeout;
};

static struct document config_document;
static struct document list_document;
static const char *directory;
static const char *list_path;
static char *last_files;
static GList *waiters;
static bool down;
static bool stale;
static guint64 calls; /* to /v1/config and /v1/list */

static void reply(SoupServerMessage *message, guint status, const char *text)
{
	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(message, "application/json",
					 SOUP_MEMORY_COPY, text, strlen(text));
}

static void end_wait(struct waiter *waiter)
{
	if (waiter->document->revision > waiter->after)
		reply(waiter->message, 200, waiter->document->text);
	else
		soup_server_message_set_status(waiter->message, 204, NULL);
	soup_server_message_unpause(waiter->message);
	if (waiter->timeout)
		g_source_remove(waiter->timeout);
	g_object_unref(waiter->message);
	waiters = g_list_remove(waiters, waiter);
	g_free(waiter);
}

static gboolean on_wait_timeout(gpointer user)
{
	struct waiter *waiter = user;

	waiter->timeout = 0;
	end_wait(waiter);
	return G_SOURCE_REMOVE;
}

static void end_waits(const struct document *document)
{
	GList *item = waiters;

	while (item) {
		GList *next = item->next;
		struct waiter *waiter = item->data;

		if (waiter->document == document)
			end_wait(waiter);
		item = next;
	}
}

static void publish(struct document *document, gint64 revision, char *text)
{
	g_free(document->text);
	document->text = text;
	document->revision = revision;
	end_waits(document);
}

static void poll_directory(void)
{
	GPtrArray *files = config_directory_read(directory, NULL);
	json_t *object = json_object();
	json_t *body;
	char *text;

	for (guint i = 0; files && i < files->len; i++) {
		const struct config_file *file = files->pdata[i];

		json_object_set_new(object, file->name,
				    json_string(file->text));
	}
	text = cs_json_print(object);
	if (g_strcmp0(text, last_files) != 0) {
		gint64 revision = config_document.revision + 1;

		g_free(last_files);
		last_files = g_strdup(text);
		body = json_pack("{s:I,s:O}", "revision", (json_int_t)revision,
				 "files", object);
		publish(&config_document, revision, cs_json_print(body));
		json_decref(body);
	}
	g_free(text);
	json_decref(object);
	if (files)
		g_ptr_array_unref(files);
}

static void poll_list(void)
{
	json_t *list = json_load_file(list_path, 0, NULL);
	gint64 revision = json_integer_value(json_object_get(list, "revision"));

	if (revision > list_document.revision)
		publish(&list_document, revision, cs_json_print(list));
	json_decref(list);
}

static gboolean on_poll(gpointer user)
{
	if (!stale && !down) {
		poll_directory();
		poll_list();
	}
	return G_SOURCE_CONTINUE;
}

static gint64 integer_parameter(GHashTable *query, const char *name)
{
	const char *value = query ? g_hash_table_lookup(query, name) : NULL;

	return value ? g_ascii_strtoll(value, NULL, 10) : 0;
}

static void watch(SoupServerMessage *message, GHashTable *query,
		  struct document *document)
{
	struct waiter *waiter;

	calls++;
	if (down) {
		reply(message, 503, "{}");
		return;
	}
	waiter = g_new0(struct waiter, 1);
	waiter->message = g_object_ref(message);
	waiter->document = document;
	waiter->after = integer_parameter(query, "after");
	waiters = g_list_prepend(waiters, waiter);
	soup_server_message_pause(message);
	waiter->timeout =
		g_timeout_add((guint)integer_parameter(query, "wait_ms"),
			      on_wait_timeout, waiter);
	if (document->revision > waiter->after)
		end_wait(waiter);
}

static void control(SoupServerMessage *message, const char *mode)
{
	g_autofree char *text = NULL;

	down = !strcmp(mode, "down");
	stale = !strcmp(mode, "stale");
	text = g_strdup_printf("{\"calls\":%" G_GUINT64_FORMAT "}", calls);
	reply(message, 200, text);
}

static void on_request(SoupServer *server, SoupServerMessage *message,
		       const char *path, GHashTable *query, gpointer user)
{
	if (!strcmp(path, "/v1/config"))
		watch(message, query, &config_document);
	else if (!strcmp(path, "/v1/list"))
		watch(message, query, &list_document);
	else if (g_str_has_prefix(path, "/control/"))
		control(message, path + strlen("/control/"));
	else
		reply(message, 404, "{}");
}

int main(int argc, char **argv)
{
	SoupServer *server = soup_server_new(NULL, NULL);
	GMainLoop *loop = g_main_loop_new(NULL, FALSE);
	g_autoptr(GSocketAddress) address = NULL;

	if (argc != 5)
		return 2;
	directory = argv[2];
	list_path = argv[3];
	config_document.revision = g_ascii_strtoll(argv[4], NULL, 10);
	address = g_inet_socket_address_new_from_string(
		"127.0.0.1", (guint)strtoul(argv[1], NULL, 10));
	soup_server_add_handler(server, NULL, on_request, NULL, NULL);
	if (!soup_server_listen(server, address, 0, NULL))
		return 1;
	on_poll(NULL);
	g_timeout_add(POLL_INTERVAL_MS, on_poll, NULL);
	g_main_loop_run(loop);
	return 0;
}
