/* Private: the load tool's plan, its exchanges and its report. */
#ifndef CUMINSAIL_LOAD_H
#define CUMINSAIL_LOAD_H

#include "client.h"

#include "cuminsail/clock.h"

#include <stdio.h>

/** One kind of request at one rate. */
struct load_stream {
	char *service;
	bool orders;
	double rate; /* requests a second */
	gint64 deadline_ms;
	gint64 limit;
	double least_coverage;
	GPtrArray *texts; /* char *, queries to draw from */
	GHashTable *outcomes; /* "outcome reason" to count, as pointers */
	GArray *latencies_us; /* gint64, of answers, from the planned start */
	GArray *refusals_us; /* gint64, of not-run refusals */
	guint64 sent;
	guint64 answered;
	guint64 complete;
	double coverage; /* sum over the answers */
};

/** What to send where, for how long. */
struct load_plan {
	gint64 seconds;
	guint32 seed;
	GPtrArray *targets; /* char *, "IP:port" of callers' addresses */
	GPtrArray *streams; /* struct load_stream */
};

/* plan.c */
struct load_plan *load_plan_create(const char *path, char **why);
void load_plan_destroy(struct load_plan *plan);

/* load_report.c */
void load_note(struct load_stream *stream, const json_t *body,
	       gint64 latency_us);
json_t *load_report(const struct load_plan *plan);
void load_print_report(const json_t *report);

/* load.c: run a plan; each exchange goes to @record as a line if not NULL. */
void load_run(struct load_plan *plan, FILE *record);

#endif
