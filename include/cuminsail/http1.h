/**
 * http1.h - HTTP/1.1 connections, both sides, on one epoll set
 *
 * The sockets live in an epoll set that takes turns with the GLib loop.
 * Messages are parsed by http-parser; a body is complete only by its length,
 * its last chunk, or an orderly close. Every call is made from the loop's
 * thread. Objects closed inside a callback are freed at the end of the turn.
 */
#ifndef CUMINSAIL_HTTP1_H
#define CUMINSAIL_HTTP1_H

#include "cuminsail/clock.h"

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <sys/queue.h>

/* ---- the loop ---- */

struct http1_loop;

/** A descriptor in the epoll set; embed it in its owner. */
struct http1_watch {
	int fd;
	guint32 events;
	void (*ready)(struct http1_watch *watch, guint32 events);
};

/**
 * http1_loop_create - an epoll set beside the default main context
 * @clock: the clock of all connections on it
 *
 * Return: a new loop, or NULL if the kernel gives no epoll descriptor.
 */
struct http1_loop *http1_loop_create(struct cs_clock *clock);

/**
 * http1_loop_turn - wait for events, serve sockets, then timers and sources
 * @loop: a loop
 * @may_wait: false to take only what is ready
 *
 * Return: whether anything was ready.
 */
bool http1_loop_turn(struct http1_loop *loop, bool may_wait);

/**
 * http1_loop_destroy - free
 * @loop: a loop without connections, or NULL
 */
void http1_loop_destroy(struct http1_loop *loop);

/**
 * http1_loop_clock - the clock
 * @loop: a loop
 *
 * Return: as passed to http1_loop_create().
 */
struct cs_clock *http1_loop_clock(const struct http1_loop *loop);

/**
 * http1_loop_add - watch a descriptor
 * @loop: a loop
 * @watch: fd and ready are set
 * @events: EPOLLIN and so on
 *
 * Return: 0 or CS_E_IO.
 */
int http1_loop_add(struct http1_loop *loop, struct http1_watch *watch,
		   guint32 events);

/**
 * http1_loop_modify - change what is waited for
 * @loop: a loop
 * @watch: a watched descriptor
 * @events: EPOLLIN and so on
 */
void http1_loop_modify(struct http1_loop *loop, struct http1_watch *watch,
		       guint32 events);

/**
 * http1_loop_remove - stop watching and close the descriptor
 * @loop: a loop
 * @watch: a watched descriptor; fd becomes -1
 */
void http1_loop_remove(struct http1_loop *loop, struct http1_watch *watch);

/**
 * http1_loop_defer - call once the events of this turn are done
 * @loop: a loop
 * @call: what to call
 * @user: passed on
 */
void http1_loop_defer(struct http1_loop *loop, void (*call)(void *user),
		      void *user);

/* ---- messages ---- */

/** Most header lines that one message may have. */
#define HTTP1_HEADERS_MAX 100

/** One header line: offsets into the text of its message. */
struct http1_header {
	guint name;
	guint value;
};

/** A request or an answer. */
struct http1_message {
	GString *text; /* names and values, each ended by NUL */
	struct http1_header headers[HTTP1_HEADERS_MAX];
	guint n_headers;
	GString *target; /* of a request: path and query */
	const char *method; /* of a request; static */
	guint status; /* of an answer */
	GByteArray *body;
	bool keep_alive; /* the sender leaves the connection open */
	bool framed; /* false: the body ends with the connection */
};

/**
 * http1_message_get - first header line of a name
 * @message: a message
 * @name: compared without case
 *
 * Return: the value, owned by @message, or NULL.
 */
const char *http1_message_get(const struct http1_message *message,
			      const char *name);

/**
 * http1_message_each - visit the header lines that concern both ends
 * @message: a message
 * @visit: called with name, value and @user
 * @user: passed on
 *
 * Lines that concern one connection only (Connection, what it names,
 * Keep-Alive, Transfer-Encoding, Content-Length and their kin) are left out.
 */
void http1_message_each(const struct http1_message *message,
			void (*visit)(const char *name, const char *value,
				      void *user),
			void *user);

/** Bounds on one message. */
struct http1_limits {
	gsize header_bytes; /* request or status line and header lines */
	gsize body_bytes;
};

/** What came of feeding bytes to a reader. */
enum http1_state {
	HTTP1_MORE, /* the message goes on */
	HTTP1_COMPLETE,
	HTTP1_BAD, /* not a message of the protocol */
	HTTP1_HEAD_TOO_LARGE,
	HTTP1_BODY_TOO_LARGE,
};

struct http1_reader;

/**
 * http1_reader_create - a reader for a chain of messages
 * @requests: true for requests, false for answers
 * @limits: read at each message; must outlive the reader
 *
 * Return: a new reader.
 */
struct http1_reader *http1_reader_create(bool requests,
					 const struct http1_limits *limits);

/**
 * http1_reader_destroy - free a reader
 * @reader: a reader or NULL
 */
void http1_reader_destroy(struct http1_reader *reader);

/**
 * http1_reader_reset - begin the next message
 * @reader: a reader
 * @bodiless: the answer to come has no body, as to HEAD
 */
void http1_reader_reset(struct http1_reader *reader, bool bodiless);

/**
 * http1_reader_feed - read bytes up to the end of the message
 * @reader: a reader whose message is not complete
 * @bytes: what came
 * @length: their number
 * @used: where to put how many of them belong to this message
 *
 * Interim answers (1xx) are passed over.
 *
 * Return: one of enum http1_state.
 */
enum http1_state http1_reader_feed(struct http1_reader *reader,
				   const char *bytes, gsize length,
				   gsize *used);

/**
 * http1_reader_eof - the sender closed in order
 * @reader: a reader whose message is not complete
 *
 * Return: HTTP1_COMPLETE for an answer that ends with its connection, else
 * HTTP1_BAD.
 */
enum http1_state http1_reader_eof(struct http1_reader *reader);

/**
 * http1_reader_started - whether any byte of the message has come
 * @reader: a reader
 *
 * Return: true after the first byte.
 */
bool http1_reader_started(const struct http1_reader *reader);

/**
 * http1_reader_head_done - whether the whole head has come
 * @reader: a reader
 *
 * Return: true after the blank line.
 */
bool http1_reader_head_done(const struct http1_reader *reader);

/**
 * http1_reader_message - the message read so far
 * @reader: a reader
 *
 * Return: owned by the reader, valid until http1_reader_reset().
 */
struct http1_message *http1_reader_message(struct http1_reader *reader);

/* ---- server ---- */

struct http1_server;
struct http1_exchange;

/** How a server bounds its callers. */
struct http1_server_limits {
	struct http1_limits message;
	gint64 head_us; /* from the first byte of a request to its last */
	gint64 idle_us; /* longest wait for the next request */
	guint connections; /* most open connections */
};

/** An answer to send. */
struct http1_reply {
	guint status;
	const char *lines; /* whole header lines, each ended by CRLF; or NULL */
	const void *body;
	gsize length;
	bool close; /* close the connection afterwards */
};

/** What the owner of a server does. */
struct http1_server_hooks {
	/* A whole request came. Reply once, now or later. */
	void (*request)(struct http1_exchange *exchange,
			const struct http1_message *request, void *user);
	/* The caller closed before the reply; no reply is due. */
	void (*gone)(struct http1_exchange *exchange, void *user);
	/* A request is refused before it is whole; may be NULL. Lines and body
	 * may be added to the reply; they are copied. */
	void (*refused)(struct http1_reply *reply, void *user);
	void *user;
};

/**
 * http1_refusal_code - why a request was refused before it was whole
 * @status: of the reply: 400, 408, 413 or 431
 *
 * Return: a negative code.
 */
int http1_refusal_code(guint status);

/**
 * http1_server_create - listen
 * @loop: the loop
 * @at: IPv4 address and port
 * @limits: read at each use, so that they can change; must outlive the server
 * @hooks: what to do; copied
 *
 * Return: a new server, or NULL if the address cannot be bound.
 */
struct http1_server *http1_server_create(
	struct http1_loop *loop, const struct sockaddr_in *at,
	const struct http1_server_limits *limits,
	const struct http1_server_hooks *hooks);

/**
 * http1_server_drain - close each connection after its next answer
 * @server: a server
 *
 * Goes on accepting connections, each for one request.
 */
void http1_server_drain(struct http1_server *server);

/**
 * http1_server_retire - take no new request
 * @server: a server; may be called again
 *
 * Stops listening and closes the connections on which no request has begun.
 * The others are closed after their answer.
 */
void http1_server_retire(struct http1_server *server);

/**
 * http1_server_connections - connections that are not closed yet
 * @server: a server
 *
 * Return: their number.
 */
guint http1_server_connections(const struct http1_server *server);

/**
 * http1_server_open - exchanges that wait for their reply, or are written
 * @server: a server
 *
 * Return: their number.
 */
guint http1_server_open(const struct http1_server *server);

/**
 * http1_server_reading - requests that have begun and are not whole
 * @server: a server
 *
 * Return: their number.
 */
guint http1_server_reading(const struct http1_server *server);

/**
 * http1_server_destroy - close everything
 * @server: a server or NULL
 */
void http1_server_destroy(struct http1_server *server);

/**
 * http1_exchange_set_data - attach the owner's pointer
 * @exchange: an exchange
 * @data: any pointer
 */
void http1_exchange_set_data(struct http1_exchange *exchange, void *data);

/**
 * http1_exchange_data - the owner's pointer
 * @exchange: an exchange
 *
 * Return: as set, or NULL.
 */
void *http1_exchange_data(const struct http1_exchange *exchange);

/**
 * http1_exchange_request - the request
 * @exchange: an exchange not yet replied to
 *
 * Return: valid until the reply.
 */
const struct http1_message *http1_exchange_request(
	const struct http1_exchange *exchange);

/**
 * http1_exchange_reply - answer
 * @exchange: an exchange not yet replied to; not to be used afterwards
 * @reply: what to send; copied. Content-Length is added.
 */
void http1_exchange_reply(struct http1_exchange *exchange,
			  const struct http1_reply *reply);

/* ---- client ---- */

/** Why a call on a connection ended without an answer. */
enum http1_failure {
	HTTP1_NOT_CONNECTED, /* no connection came about */
	HTTP1_CLOSED, /* closed or reset before a byte of the answer */
	HTTP1_BROKEN, /* closed, reset or spoiled inside the answer */
	HTTP1_OVERSIZE, /* the answer is over a bound */
};

struct http1_call;

/** What the owner of an outgoing connection does. */
struct http1_call_hooks {
	/* Connected; only once. */
	void (*connected)(struct http1_call *call, void *user);
	/* A whole answer to the call in progress, or one to skip. Return
	 * false to skip it and wait for the next. */
	bool (*answer)(struct http1_call *call,
		       const struct http1_message *answer, void *user);
	/* The connection ended. It is freed after this call. */
	void (*ended)(struct http1_call *call, enum http1_failure why,
		      void *user);
	void *user;
};

/**
 * http1_call_open - begin to connect
 * @loop: the loop
 * @to: IPv4 address and port
 * @limits: bounds on answers; must outlive the connection
 * @hooks: what to do; copied
 *
 * Return: a new connection, or NULL if no socket can be had or the address
 * is refused at once.
 */
struct http1_call *http1_call_open(struct http1_loop *loop,
				   const struct sockaddr_in *to,
				   const struct http1_limits *limits,
				   const struct http1_call_hooks *hooks);

/**
 * http1_call_send - send a request
 * @call: a connection that is idle or still connecting
 * @head: request line and header lines, with the blank line
 * @body: the body or NULL
 * @length: its bytes
 * @bodiless: the answer has no body, as to HEAD
 */
void http1_call_send(struct http1_call *call, const GString *head,
		     const void *body, gsize length, bool bodiless);

/**
 * http1_call_idle - whether a request can be sent
 * @call: a connection
 *
 * Return: true if it is connected, no call is open and nothing is unread.
 */
bool http1_call_idle(const struct http1_call *call);

/**
 * http1_call_close - close without a callback
 * @call: a connection; not to be used afterwards
 */
void http1_call_close(struct http1_call *call);

#endif
