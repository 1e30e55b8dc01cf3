/* Private: the plan of a load run, its execution and its results. */
#ifndef CUMINSAIL_LOAD_H
#define CUMINSAIL_LOAD_H

#include "client.h"

#include "cuminsail/clock.h"

#include <stdio.h>

/** Requests of one kind to one service at a fixed rate, and their results. */
struct load_stream {
	char *service;
	bool orders; /* exchanges are orders with tickets, not queries */
	double rate; /* exchanges per second */
	gint64 deadline_ms;
	gint64 limit; /* of a query: number of hits */
	double min_coverage; /* of a query: accepted minimum, 0 to 1 */
	GPtrArray *texts; /* char *, query or item texts to choose from */
	GHashTable *outcomes; /* "outcome reason" to guint count */
	GArray *latencies_us; /* gint64, of answered exchanges, from the
			       * planned start */
	GArray *refusals_us; /* gint64, of exchanges refused as not run */
	guint64 sent; /* exchanges started */
	guint64 answered;
	guint64 complete; /* answers with full coverage, or without the field */
	double coverage_sum; /* over the answers; 1 is full coverage */
};

/** A load run: targets, duration and streams. */
struct load_plan {
	gint64 seconds;
	guint32 seed; /* of the random choices */
	GPtrArray *targets; /* char *, "IP:port" of daemons' caller addresses */
	GPtrArray *streams; /* struct load_stream */
};

/* plan.c: reads the plan from a JSON file. Return: a new plan, or NULL with
 * @why set to a new string with path and cause. */
struct load_plan *load_plan_create(const char *path, char **why);
void load_plan_destroy(struct load_plan *plan);

/* load_report.c: counts the result of an exchange; @body is the last answer, or
 * NULL without one. */
void load_count_exchange(struct load_stream *stream, const json_t *body,
			 gint64 latency_us);
/* Return: a new array with an object of results for each stream; sorts the
 * latencies of the plan. */
json_t *load_report(const struct load_plan *plan);
void load_print_report(const json_t *report);

/* load.c: runs a plan to its end. Each exchange is written to @record as a line
 * of JSON, unless @record is NULL. */
void load_run(struct load_plan *plan, FILE *record);

#endif
