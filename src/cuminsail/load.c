/*
 * load: an open-loop load generator. Requests start on a fixed schedule,
 * whether or not earlier ones are answered, and latency is measured from the
 * planned start. Therefore the queueing delay of a stalled server is part of
 * the measured latency (no coordinated omission).
 */
#include "load.h"

#include <libsoup/soup.h>
#include <string.h>

/* How long to wait for answers after the last planned start. */
#define DRAIN_US (15 * (gint64)CS_US_PER_S)

/* How often an order is sent again, with the same ticket and to the next
 * target, while its outcome is "unknown" or no answer arrives. */
#define ORDER_RETRIES_MAX 2

/* A run of a plan. */
struct load {
	struct cs_clock *clock;
	struct load_plan *plan;
	FILE *record; /* or NULL */
	GRand *random;
	SoupSession *session;
	GMainLoop *loop;
	GPtrArray *schedules; /* struct schedule */
	struct cs_timer stop; /* ends the wait for answers */
	gint64 start_us;
	gint64 end_us; /* no exchange starts from then on */
	guint open_exchanges;
	guint active_schedules; /* schedules that have not ended */
	bool stopping; /* no further requests are sent */
};

/* Starts the exchanges of one stream at its rate. */
struct schedule {
	struct cs_timer timer;
	struct load *load;
	struct load_stream *stream;
};

/* One query, or a request for a ticket and the order that uses it. */
struct exchange {
	struct load *load;
	struct load_stream *stream;
	gint64 planned_us;
	const char *text; /* of the query or of the order's item */
	char *ticket; /* NULL until issued */
	guint target; /* index, modulo the number of targets */
	guint orders_sent;
	json_t *outcomes; /* array: outcome of each order request; "none"
			   * without one */
};

static void send_request(struct exchange *exchange, const char *method,
			 const char *path, json_t *body);

/* ---- end of an exchange and of the run ---- */

static void quit_if_finished(struct load *load)
{
	if (!load->active_schedules && !load->open_exchanges)
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
			 (double)(exchange->planned_us - load->start_us) /
				 CS_US_PER_MS,
			 "latency_ms", (double)latency_us / CS_US_PER_MS,
			 "text", exchange->text, "ticket", exchange->ticket,
			 "said", exchange->outcomes, "answer", body);
	text = cs_json_print(line);
	fprintf(load->record, "%s\n", text);
	json_decref(line);
}

static void end_exchange(struct exchange *exchange, json_t *body)
{
	struct load *load = exchange->load;
	gint64 latency_us = cs_clock_now(load->clock) - exchange->planned_us;

	load_count_exchange(exchange->stream, body, latency_us);
	write_record(exchange, body, latency_us);
	json_decref(exchange->outcomes);
	g_free(exchange->ticket);
	g_free(exchange);
	load->open_exchanges--;
	quit_if_finished(load);
}

/* ---- exchanges ---- */

static void send_order(struct exchange *exchange)
{
	g_autofree char *path =
		g_strdup_printf("/v1/services/%s/orders/%s",
				exchange->stream->service, exchange->ticket);

	exchange->orders_sent++;
	send_request(exchange, "PUT", path,
		     json_pack("{s:I,s:{s:s}}", "deadline_ms",
			       (json_int_t)exchange->stream->deadline_ms,
			       "order", "item", exchange->text));
}

/* Sends the order once its ticket is issued, and again while its outcome is not
 * known. Return: false if the exchange has ended. */
static bool send_next(struct exchange *exchange, json_t *body)
{
	const char *outcome =
		json_string_value(json_object_get(body, "outcome"));
	const char *ticket = json_string_value(json_object_get(body, "ticket"));

	if (!exchange->stream->orders || exchange->load->stopping)
		return false;
	if (!exchange->ticket && ticket) {
		exchange->ticket = g_strdup(ticket);
		send_order(exchange);
		return true;
	}
	if (!exchange->ticket || exchange->orders_sent > ORDER_RETRIES_MAX ||
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
	if (exchange->orders_sent)
		json_array_append_new(exchange->outcomes,
				      json_string(outcome ? outcome : "none"));
	if (!send_next(exchange, body))
		end_exchange(exchange, body);
	json_decref(body);
}

static void send_request(struct exchange *exchange, const char *method,
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

static void start_exchange(struct load *load, struct load_stream *stream,
			   gint64 planned_us)
{
	struct exchange *exchange = g_new0(struct exchange, 1);
	guint random_index = g_rand_int(load->random);
	g_autofree char *path =
		g_strdup_printf("/v1/services/%s/%s", stream->service,
				stream->orders ? "tickets" : "query");

	exchange->load = load;
	exchange->stream = stream;
	exchange->planned_us = planned_us;
	exchange->text =
		stream->texts->pdata[random_index % stream->texts->len];
	exchange->target = g_rand_int(load->random) % load->plan->targets->len;
	exchange->outcomes = json_array();
	stream->sent++;
	load->open_exchanges++;
	if (stream->orders)
		send_request(exchange, "POST", path, json_object());
	else
		send_request(exchange, "POST", path,
			     json_pack("{s:{s:s},s:I,s:I,s:f}", "query", "text",
				       exchange->text, "limit",
				       (json_int_t)stream->limit, "deadline_ms",
				       (json_int_t)stream->deadline_ms,
				       "least_coverage", stream->min_coverage));
}

/* ---- schedules ---- */

static gint64 interval_us(const struct schedule *schedule)
{
	return (gint64)(CS_US_PER_S / schedule->stream->rate);
}

static void on_schedule(struct cs_timer *timer)
{
	struct schedule *schedule = (struct schedule *)timer;
	struct load *load = schedule->load;
	gint64 planned_us = timer->due_us;

	if (planned_us >= load->end_us) {
		load->active_schedules--;
		quit_if_finished(load);
		return;
	}
	start_exchange(load, schedule->stream, planned_us);
	cs_timer_arm(load->clock, timer, planned_us + interval_us(schedule));
}

static void start_schedule(struct load *load, struct load_stream *stream)
{
	struct schedule *schedule = g_new0(struct schedule, 1);
	gint64 offset_us;

	schedule->timer.fire = on_schedule;
	schedule->load = load;
	schedule->stream = stream;
	offset_us = (gint64)(g_rand_double(load->random) *
			     (double)interval_us(schedule));
	load->active_schedules++;
	g_ptr_array_add(load->schedules, schedule);
	cs_timer_arm(load->clock, &schedule->timer, load->start_us + offset_us);
}

static void on_stop(struct cs_timer *timer)
{
	struct load *load =
		(struct load *)((char *)timer - offsetof(struct load, stop));

	g_main_loop_quit(load->loop);
}

/* Aborts the open requests; they are counted as "no-answer". */
static void abort_open_exchanges(struct load *load)
{
	load->stopping = true;
	soup_session_abort(load->session);
	while (load->open_exchanges)
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
		.schedules = g_ptr_array_new_with_free_func(g_free),
	};

	load.session = soup_session_new_with_options(
		"max-conns", G_MAXINT, "max-conns-per-host", 2000, "timeout", 0,
		"proxy-resolver", NULL, NULL);
	load.start_us = cs_clock_now(load.clock);
	load.end_us = load.start_us + plan->seconds * CS_US_PER_S;
	load.stop.fire = on_stop;
	cs_timer_arm(load.clock, &load.stop, load.end_us + DRAIN_US);
	for (guint i = 0; i < plan->streams->len; i++)
		start_schedule(&load, plan->streams->pdata[i]);
	g_main_loop_run(load.loop);
	cs_timer_disarm(load.clock, &load.stop);
	abort_open_exchanges(&load);
	g_object_unref(load.session);
	g_main_loop_unref(load.loop);
	g_rand_free(load.random);
	g_ptr_array_unref(load.schedules);
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
