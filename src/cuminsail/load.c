/*
 * An open-loop load: starts follow a schedule that no answer holds up, and
 * latency counts from the planned start, so that a stalled server cannot hide
 * its own delay.
 */
#include "load.h"

#include <libsoup/soup.h>
#include <string.h>

/* How long after the last start answers are waited for. */
#define LINGER_US (15 * (gint64)CS_US_PER_S)

/* Times an order is sent again after "unknown", with the same ticket. */
#define ORDER_REPEATS 2

struct load {
	struct cs_clock *clock;
	struct load_plan *plan;
	FILE *record;
	GRand *random;
	SoupSession *session;
	GMainLoop *loop;
	GPtrArray *feeds; /* struct feed */
	struct cs_timer stop;
	gint64 begun_us;
	gint64 end_us;
	guint open;
	guint feeding;
	bool over; /* nothing more is sent */
};

/* The schedule of one stream. */
struct feed {
	struct cs_timer timer;
	struct load *load;
	struct load_stream *stream;
};

/* One request, or a ticket and the order that uses it. */
struct exchange {
	struct load *load;
	struct load_stream *stream;
	gint64 planned_us;
	const char *text;
	char *ticket;
	guint target;
	guint sent;
	json_t *said; /* array: every outcome that was reported */
};

static void call(struct exchange *exchange, const char *method,
		 const char *path, json_t *body);

/* ---- the end ---- */

static void check_end(struct load *load)
{
	if (!load->feeding && !load->open)
		g_main_loop_quit(load->loop);
}

static void write_record(const struct exchange *exchange, json_t *body,
			 gint64 latency_us)
{
	struct load *load = exchange->load;
	g_autofree char *text = NULL;
	json_t *line;

	if (!load->record)
		return;
	line = json_pack("{s:s,s:f,s:f,s:s,s:s?,s:O,s:O?}", "service",
			 exchange->stream->service, "planned_ms",
			 (double)(exchange->planned_us - load->begun_us) /
				 CS_US_PER_MS,
			 "latency_ms", (double)latency_us / CS_US_PER_MS,
			 "text", exchange->text, "ticket", exchange->ticket,
			 "said", exchange->said, "answer", body);
	text = cs_json_print(line);
	fprintf(load->record, "%s\n", text);
	json_decref(line);
}

static void end_exchange(struct exchange *exchange, json_t *body)
{
	struct load *load = exchange->load;
	gint64 latency_us = cs_clock_now(load->clock) - exchange->planned_us;

	load_note(exchange->stream, body, latency_us);
	write_record(exchange, body, latency_us);
	json_decref(exchange->said);
	g_free(exchange->ticket);
	g_free(exchange);
	load->open--;
	check_end(load);
}

/* ---- exchanges ---- */

static void send_order(struct exchange *exchange)
{
	g_autofree char *path =
		g_strdup_printf("/v1/services/%s/orders/%s",
				exchange->stream->service, exchange->ticket);

	exchange->sent++;
	call(exchange, "PUT", path,
	     json_pack("{s:I,s:{s:s}}", "deadline_ms",
		       (json_int_t)exchange->stream->deadline_ms, "order",
		       "item", exchange->text));
}

/* True if the exchange goes on with another request. */
static bool go_on(struct exchange *exchange, json_t *body)
{
	const char *outcome =
		json_string_value(json_object_get(body, "outcome"));
	const char *ticket = json_string_value(json_object_get(body, "ticket"));

	if (!exchange->stream->orders || exchange->load->over)
		return false;
	if (!exchange->ticket && ticket) {
		exchange->ticket = g_strdup(ticket);
		send_order(exchange);
		return true;
	}
	if (!exchange->ticket || exchange->sent > ORDER_REPEATS ||
	    (outcome && strcmp(outcome, "unknown") != 0))
		return false;
	exchange->target++;
	send_order(exchange);
	return true;
}

static void on_answer(GObject *object, GAsyncResult *result, gpointer user)
{
	struct exchange *exchange = user;
	g_autoptr(GBytes) bytes = soup_session_send_and_read_finish(
		SOUP_SESSION(object), result, NULL);
	const char *outcome = NULL;
	json_t *body = NULL;
	gsize size = 0;

	if (bytes) {
		const char *text = g_bytes_get_data(bytes, &size);

		body = cs_json_parse(text, size, NULL);
	}
	outcome = json_string_value(json_object_get(body, "outcome"));
	if (exchange->sent)
		json_array_append_new(exchange->said,
				      json_string(outcome ? outcome : "none"));
	if (!go_on(exchange, body))
		end_exchange(exchange, body);
	json_decref(body);
}

static void call(struct exchange *exchange, const char *method,
		 const char *path, json_t *body)
{
	struct load *load = exchange->load;
	const GPtrArray *targets = load->plan->targets;
	const char *target = targets->pdata[exchange->target % targets->len];
	g_autofree char *uri = g_strdup_printf("http://%s%s", target, path);
	g_autoptr(SoupMessage) message = soup_message_new(method, uri);
	char *text = cs_json_print(body);
	g_autoptr(GBytes) bytes = g_bytes_new_take(text, strlen(text));

	json_decref(body);
	soup_message_set_request_body_from_bytes(message, "application/json",
						 bytes);
	soup_message_add_flags(message, strcmp(method, "PUT") != 0
						? SOUP_MESSAGE_IDEMPOTENT
						: SOUP_MESSAGE_NEW_CONNECTION);
	soup_session_send_and_read_async(load->session, message,
					 G_PRIORITY_DEFAULT, NULL, on_answer,
					 exchange);
}

static void begin_exchange(struct load *load, struct load_stream *stream,
			   gint64 planned_us)
{
	struct exchange *exchange = g_new0(struct exchange, 1);
	guint pick = g_rand_int(load->random);
	g_autofree char *path =
		g_strdup_printf("/v1/services/%s/%s", stream->service,
				stream->orders ? "tickets" : "query");

	exchange->load = load;
	exchange->stream = stream;
	exchange->planned_us = planned_us;
	exchange->text = stream->texts->pdata[pick % stream->texts->len];
	exchange->target = g_rand_int(load->random) % load->plan->targets->len;
	exchange->said = json_array();
	stream->sent++;
	load->open++;
	if (stream->orders)
		call(exchange, "POST", path, json_object());
	else
		call(exchange, "POST", path,
		     json_pack("{s:{s:s},s:I,s:I,s:f}", "query", "text",
			       exchange->text, "limit",
			       (json_int_t)stream->limit, "deadline_ms",
			       (json_int_t)stream->deadline_ms,
			       "least_coverage", stream->least_coverage));
}

/* ---- the schedule ---- */

static gint64 next_gap_us(const struct feed *feed)
{
	return (gint64)(CS_US_PER_S / feed->stream->rate);
}

static void on_due(struct cs_timer *timer)
{
	struct feed *feed = (struct feed *)timer;
	struct load *load = feed->load;
	gint64 planned_us = timer->due_us;

	if (planned_us >= load->end_us) {
		load->feeding--;
		check_end(load);
		return;
	}
	begin_exchange(load, feed->stream, planned_us);
	cs_timer_arm(load->clock, timer, planned_us + next_gap_us(feed));
}

static void start_feed(struct load *load, struct load_stream *stream)
{
	struct feed *feed = g_new0(struct feed, 1);
	gint64 offset_us;

	feed->timer.fire = on_due;
	feed->load = load;
	feed->stream = stream;
	offset_us = (gint64)(g_rand_double(load->random) *
			     (double)next_gap_us(feed));
	load->feeding++;
	g_ptr_array_add(load->feeds, feed);
	cs_timer_arm(load->clock, &feed->timer, load->begun_us + offset_us);
}

static void on_stop(struct cs_timer *timer)
{
	struct load *load =
		(struct load *)((char *)timer - offsetof(struct load, stop));

	g_main_loop_quit(load->loop);
}

/* Requests without an answer at the end count as such. */
static void abort_open(struct load *load)
{
	load->over = true;
	soup_session_abort(load->session);
	while (load->open)
		g_main_context_iteration(NULL, TRUE);
}

void load_run(struct load_plan *plan, FILE *record)
{
	struct load load = {
		.clock = cs_clock_create(),
		.plan = plan,
		.record = record,
		.random = g_rand_new_with_seed(plan->seed),
		.loop = g_main_loop_new(NULL, FALSE),
		.feeds = g_ptr_array_new_with_free_func(g_free),
	};

	load.session = soup_session_new_with_options(
		"max-conns", G_MAXINT, "max-conns-per-host", 2000, "timeout", 0,
		"proxy-resolver", NULL, NULL);
	load.begun_us = cs_clock_now(load.clock);
	load.end_us = load.begun_us + plan->seconds * CS_US_PER_S;
	load.stop.fire = on_stop;
	cs_timer_arm(load.clock, &load.stop, load.end_us + LINGER_US);
	for (guint i = 0; i < plan->streams->len; i++)
		start_feed(&load, plan->streams->pdata[i]);
	g_main_loop_run(load.loop);
	cs_timer_disarm(load.clock, &load.stop);
	abort_open(&load);
	g_object_unref(load.session);
	g_main_loop_unref(load.loop);
	g_rand_free(load.random);
	g_ptr_array_unref(load.feeds);
	cs_clock_destroy(load.clock);
}

enum client_exit client_load(const struct client *client)
{
	g_autofree char *why = NULL;
	struct load_plan *plan =
		load_plan_create(client->arguments->pdata[0], &why);
	FILE *record = NULL;
	json_t *report;

	if (!plan) {
		fprintf(stderr, "%s: %s\n", (char *)client->arguments->pdata[0],
			why);
		return CLIENT_FAILED;
	}
	if (client->record_path)
		record = fopen(client->record_path, "w");
	if (client->record_path && !record) {
		perror(client->record_path);
		load_plan_destroy(plan);
		return CLIENT_FAILED;
	}
	load_run(plan, record);
	report = load_report(plan);
	if (client->json)
		client_print_json(report);
	else
		load_print_report(report);
	json_decref(report);
	if (record)
		fclose(record);
	load_plan_destroy(plan);
	return CLIENT_OK;
}
