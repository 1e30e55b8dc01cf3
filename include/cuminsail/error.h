/**
 * error.h - result codes
 *
 * Functions that can fail return 0 or one of the negative codes below. This
 * table is the only definition; docs/ERRORS.md repeats it, and a test compares
 * the two.
 */
#ifndef CUMINSAIL_ERROR_H
#define CUMINSAIL_ERROR_H

/*
 * X(identifier, number, HTTP status of the answer to a caller, name, text)
 */
#define CS_ERROR_TABLE(X)                                                      \
	X(CS_E_JSON, -1, 400, "bad-json", "not valid JSON")                    \
	X(CS_E_DEPTH, -2, 400, "too-deep", "JSON nested too deeply")           \
	X(CS_E_TYPE, -3, 400, "wrong-type", "a value has the wrong type")      \
	X(CS_E_RANGE, -4, 400, "out-of-range", "a value is out of range")      \
	X(CS_E_KEY, -5, 400, "unknown-key", "a key is not known here")         \
	X(CS_E_MISSING, -6, 400, "missing-key", "a required key is missing")   \
	X(CS_E_TOO_LARGE, -7, 413, "too-large", "over the size limit")         \
	X(CS_E_SERVICE, -8, 404, "unknown-service", "no such service")         \
	X(CS_E_KIND, -9, 409, "wrong-kind", "the service is of another kind")  \
	X(CS_E_METHOD, -10, 405, "bad-method", "method not allowed here")      \
	X(CS_E_PATH, -11, 404, "unknown-path", "no such path")                 \
	X(CS_E_NO_SNAPSHOT, -12, 503, "no-snapshot",                           \
	  "no index snapshot is complete")                                     \
	X(CS_E_OVERLOAD, -13, 503, "overload", "no upstream has room")         \
	X(CS_E_DEADLINE, -14, 504, "deadline", "the deadline passed")          \
	X(CS_E_COVERAGE, -15, 503, "low-coverage",                             \
	  "coverage below what the caller accepts")                            \
	X(CS_E_NOT_READY, -16, 503, "not-ready",                               \
	  "no configuration or list is in force yet")                          \
	X(CS_E_STOPPING, -17, 503, "stopping", "the daemon is shutting down")  \
	X(CS_E_TICKET, -18, 400, "bad-ticket", "not a ticket of this fleet")   \
	X(CS_E_TICKET_EXPIRED, -19, 410, "ticket-expired",                     \
	  "the ticket has expired")                                            \
	X(CS_E_TICKET_BODY, -20, 409, "ticket-body",                           \
	  "the ticket was used with another body")                             \
	X(CS_E_TICKET_FULL, -21, 503, "tickets-full",                          \
	  "the record table has no room")                                      \
	X(CS_E_ISSUER, -22, 503, "issuer-gone",                                \
	  "the daemon that issued the ticket cannot be asked")                 \
	X(CS_E_REFUSED, -23, 503, "refused", "the upstream refused")           \
	X(CS_E_LOST, -24, 502, "lost", "the upstream's answer was lost")       \
	X(CS_E_BAD_ANSWER, -25, 502, "bad-answer",                             \
	  "the upstream's answer was not valid")                               \
	X(CS_E_PAUSED, -26, 503, "paused", "the daemon had been asleep")       \
	X(CS_E_IO, -27, 500, "io", "input or output failed")                   \
	X(CS_E_CONFLICT, -28, 409, "revision-conflict",                        \
	  "one revision with two contents")                                    \
	X(CS_E_STALE, -29, 409, "revision-stale", "a lower revision")          \
	X(CS_E_DUPLICATE, -30, 400, "duplicate", "a name stands twice")        \
	X(CS_E_CANCELLED, -31, 499, "cancelled", "the caller went away")       \
	X(CS_E_FRAME, -32, 400, "bad-frame", "a peer's frame is not valid")    \
	X(CS_E_SLOW, -33, 408, "slow-sender", "the request came too slowly")   \
	X(CS_E_NO_REPLICA, -34, 503, "no-replica", "no replica may be asked")  \
	X(CS_E_ROUTE, -35, 404, "unknown-route",                               \
	  "no route for this host and path")                                   \
	X(CS_E_HEADER, -36, 400, "bad-header",                                 \
	  "a needed header line is missing or not valid")                      \
	X(CS_E_RATE_LIMIT, -37, 503, "rate-limit",                             \
	  "all upstreams are at their rate limits")                            \
	X(CS_E_BLOCKED, -38, 503, "blocked-request",                           \
	  "upstreams crash when they run this request")                        \
	X(CS_E_NO_CONTACT, -39, 503, "no-contact",                             \
	  "neither an upstream nor a peer that reaches one is in reach")       \
	X(CS_E_REST, -40, 503, "upstream-rest",                                \
	  "all upstreams have asked for rest")

enum cs_error {
	CS_OK = 0,
#define X(id, number, status, name, text) id = (number),
	CS_ERROR_TABLE(X)
#undef X
};

/**
 * cs_error_name - return the short name of a result code
 * @code: 0 or a negative code of the table
 *
 * Return: a static string; "ok" for 0, "unknown-error" outside the table.
 * May be called at any time.
 */
const char *cs_error_name(int code);

/**
 * cs_error_text - return a short description of a result code
 * @code: 0 or a negative code of the table
 *
 * Return: a static string, never NULL. May be called at any time.
 */
const char *cs_error_text(int code);

/**
 * cs_error_http_status - return the HTTP status for a result code
 * @code: 0 or a negative code of the table
 *
 * Return: the status that a caller gets; 200 for 0, 500 outside the table. May
 * be called at any time.
 */
unsigned int cs_error_http_status(int code);

/** The outcome of a request, as reported to its caller. */
enum cs_outcome {
	/** Answered, in full or with the coverage that the answer states. */
	CS_ANSWERED,
	/** Not answered; it is proven that no upstream ran the request. */
	CS_NOT_RUN,
	/** Not answered; an upstream may or may not have run the request. */
	CS_UNKNOWN,
};

/**
 * cs_outcome_name - return the name of an outcome as it is sent to callers
 * @outcome: one of enum cs_outcome
 *
 * Return: "answered", "not-run" or "unknown". May be called at any time.
 */
const char *cs_outcome_name(enum cs_outcome outcome);

#endif
