/**
 * http1.h - HTTP/1.1 server and client connections on one epoll set
 *
 * One event loop serves an epoll set with all sockets and the GLib main
 * context. Messages are parsed by http-parser. A body is complete only when its
 * Content-Length is reached, when its last chunk has arrived, or, for an answer
 * without either, when the connection is closed in an orderly way: not after a
 * reset, whether a read or a write of the request has met it. All
 * functions must be called from the thread that runs the loop. A closed
 * connection is freed by http1_loop_defer(), after the callback that closed it.
 */
#ifndef CUMINSAIL_HTTP1_H
#define CUMINSAIL_HTTP1_H

#include "cuminsail/clock.h"

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <sys/queue.h>

/* ---- event loop ---- */

struct http1_loop;

/** A file descriptor in the epoll set; embedded in the struct that owns it. */
struct http1_watch {
	int fd; /* -1 once removed from the loop */
	guint32 events; /* EPOLL* events waited for */
	/* Called with the EPOLL* events that occurred. */
	void (*ready)(struct http1_watch *watch, guint32 events);
};

/**
 * http1_loop_create - create an event loop for an epoll set and GLib
 * @clock: the clock of all connections of the loop
 *
 * The loop also runs the timers and sources of GLib's default main context,
 * which it acquires for the calling thread.
 *
 * Return: a new loop, or NULL if no epoll descriptor can be created.
 */
struct http1_loop *http1_loop_create(struct cs_clock *clock);

/**
 * http1_loop_iterate - run one iteration of the loop
 * @loop: a loop
 * @may_wait: true to wait until an event or a timer is due, false to handle
 *	only what is ready now
 *
 * Handles socket events first, then the timers and sources of GLib.
 *
 * Return: whether anything was handled.
 */
bool http1_loop_iterate(struct http1_loop *loop, bool may_wait);

/**
 * http1_loop_destroy - free a loop
 * @loop: a loop without connections, or NULL
 */
void http1_loop_destroy(struct http1_loop *loop);

/**
 * http1_loop_clock - get the clock of a loop
 * @loop: a loop
 *
 * Return: the clock passed to http1_loop_create().
 */
struct cs_clock *http1_loop_clock(const struct http1_loop *loop);

/**
 * http1_loop_add - add a file descriptor to the epoll set
 * @loop: a loop
 * @watch: the descriptor; @watch->fd and @watch->ready are set
 * @events: EPOLLIN and other EPOLL* events to wait for
 *
 * Return: 0, or CS_E_IO if epoll refuses the descriptor.
 */
int http1_loop_add(struct http1_loop *loop, struct http1_watch *watch,
		   guint32 events);

/**
 * http1_loop_modify - change the events that a descriptor waits for
 * @loop: a loop
 * @watch: a descriptor in the epoll set
 * @events: EPOLLIN and other EPOLL* events to wait for
 */
void http1_loop_modify(struct http1_loop *loop, struct http1_watch *watch,
		       guint32 events);

/**
 * http1_loop_remove - remove a descriptor from the epoll set and close it
 * @loop: a loop
 * @watch: a descriptor; its fd is set to -1
 *
 * Events of this iteration that are still pending for @watch are discarded.
 */
void http1_loop_remove(struct http1_loop *loop, struct http1_watch *watch);

/**
 * http1_loop_defer - call a function once the current callback has returned
 * @loop: a loop
 * @call: the function, called once
 * @user: argument of @call
 *
 * The function is called after the loop has handled all ready sockets or all
 * due GLib sources, or at the start of the next iteration if it is handling
 * neither.
 */
void http1_loop_defer(struct http1_loop *loop, void (*call)(void *user),
		      void *user);

/* ---- messages ---- */

/** Maximum number of header fields in one message. */
#define HTTP1_HEADERS_MAX 100

/** One header field, as offsets into the text of its message. */
struct http1_header {
	guint name;
	guint value;
};

/** A request or an answer. */
struct http1_message {
	GString *text; /* header names and values, each terminated by NUL */
	struct http1_header headers[HTTP1_HEADERS_MAX];
	guint n_headers;
	GString *target; /* of a request: path and query */
	const char *method; /* of a request; statically allocated */
	guint status; /* of an answer */
	GByteArray *body;
	bool keep_alive; /* the sender keeps the connection open */
	bool self_delimited; /* false: the body ends with the connection */
};

/**
 * http1_message_header - look up a header field
 * @message: a message
 * @name: header name, compared case-insensitively
 *
 * Return: the value of the first field of that name, owned by @message, or
 * NULL if there is none.
 */
const char *http1_message_header(const struct http1_message *message,
				 const char *name);

/**
 * http1_message_foreach_end_to_end - visit the end-to-end header fields
 * @message: a message
 * @visit: called with the name and value of each field and @user
 * @user: last argument of @visit
 *
 * Skips fields that apply to one connection only: hop-by-hop fields such as
 * Connection, Keep-Alive and Transfer-Encoding, the fields that Connection
 * lists, Content-Length and Expect.
 */
void http1_message_foreach_end_to_end(const struct http1_message *message,
				      void (*visit)(const char *name,
						    const char *value,
						    void *user),
				      void *user);

/**
 * http1_message_values - look up an end-to-end header field, counting repeats
 * @message: a message
 * @name: header name, compared case-insensitively
 * @last: set to the value of the last field of that name, owned by @message;
 *	unchanged if there is none
 *
 * Return: the number of fields of that name.
 */
guint http1_message_values(const struct http1_message *message,
			   const char *name, const char **last);

/** Memory for all messages with the same limits that are received or sent. */
struct http1_memory {
	gsize used;
	gsize max;
};

/** Size limits of one message. */
struct http1_limits {
	gsize header_bytes; /* request target and header fields */
	gsize body_bytes;
	/* Bodies above HTTP1_BODY_ALWAYS bytes need room in it; NULL: no bound
	 */
	struct http1_memory *memory;
};

/** Size up to which a body is accepted although the memory is used up. Larger
 * buffers are freed after each message. */
#define HTTP1_BODY_ALWAYS 65536

/**
 * http1_memory_has_room - check whether a body may be kept
 * @memory: a memory, or NULL for no bound
 * @size: size of the body in bytes
 *
 * Return: true also for a body of at most HTTP1_BODY_ALWAYS bytes.
 */
bool http1_memory_has_room(const struct http1_memory *memory, gsize size);

/** State of a message after bytes were passed to its reader. */
enum http1_reader_state {
	HTTP1_INCOMPLETE, /* more bytes are needed */
	HTTP1_COMPLETE,
	HTTP1_INVALID, /* not a valid HTTP/1.1 message */
	HTTP1_HEAD_TOO_LARGE,
	HTTP1_BODY_TOO_LARGE,
};

struct http1_reader;

/**
 * http1_reader_create - create a parser for consecutive messages
 * @requests: true to parse requests, false to parse answers
 * @limits: size limits, read while each message is parsed; must outlive the
 *	reader
 *
 * Return: a new reader.
 */
struct http1_reader *http1_reader_create(bool requests,
					 const struct http1_limits *limits);

/**
 * http1_reader_release_memory - stop counting a reader's body
 * @reader: a reader that gets no more bytes; its message stays valid
 *
 * The memory of its limits is not used any more.
 */
void http1_reader_release_memory(struct http1_reader *reader);

/**
 * http1_reader_destroy - free a reader
 * @reader: a reader or NULL
 */
void http1_reader_destroy(struct http1_reader *reader);

/**
 * http1_reader_reset - prepare for the next message
 * @reader: a reader
 * @no_body: true if the next message is an answer without a body whatever its
 *	header fields say, as for a HEAD request
 */
void http1_reader_reset(struct http1_reader *reader, bool no_body);

/**
 * http1_reader_set_interim - set a callback for interim answers
 * @reader: a reader of answers
 * @interim: called with the header fields of each interim answer (status 1xx),
 *	which the reader skips otherwise; must not free the reader
 * @user: passed to @interim
 */
void http1_reader_set_interim(
	struct http1_reader *reader,
	void (*interim)(const struct http1_message *message, void *user),
	void *user);

/**
 * http1_reader_feed - parse received bytes up to the end of the message
 * @reader: a reader whose message is not complete
 * @bytes: the received bytes
 * @length: number of bytes
 * @used: set to the number of bytes that belong to this message
 *
 * Interim answers (status 1xx) are skipped. An answer must keep to the grammar
 * of HTTP/1.1, also where the parser would accept more.
 *
 * Return: the state of the message.
 */
enum http1_reader_state http1_reader_feed(struct http1_reader *reader,
					  const char *bytes, gsize length,
					  gsize *used);

/**
 * http1_reader_fault - get the reason why a message was refused
 * @reader: a reader
 *
 * Return: a word for the log, a static string; NULL if the message is complete
 * or more bytes are needed.
 */
const char *http1_reader_fault(const struct http1_reader *reader);

/**
 * http1_reader_eof - handle the orderly close of the connection by the sender
 * @reader: a reader whose message is not complete
 *
 * Return: HTTP1_COMPLETE for an answer whose body ends with the connection,
 * otherwise HTTP1_INVALID.
 */
enum http1_reader_state http1_reader_eof(struct http1_reader *reader);

/**
 * http1_reader_started - check whether any byte of the message was received
 * @reader: a reader
 *
 * Return: true after the first byte.
 */
bool http1_reader_started(const struct http1_reader *reader);

/**
 * http1_reader_head_complete - check whether the header section is complete
 * @reader: a reader
 *
 * Return: true after the blank line that ends the header section.
 */
bool http1_reader_head_complete(const struct http1_reader *reader);

/**
 * http1_reader_message - get the message as far as it is parsed
 * @reader: a reader
 *
 * Return: the message, owned by the reader and valid until
 * http1_reader_reset().
 */
struct http1_message *http1_reader_message(struct http1_reader *reader);

/* ---- server ---- */

struct http1_server;
struct http1_exchange;

/** Limits of a server on its callers. */
struct http1_server_limits {
	struct http1_limits message;
	gint64 request_timeout_us; /* from a request's first to its last byte */
	gint64 idle_timeout_us; /* until the first byte of a request */
	guint connections_max; /* maximum number of open connections */
	/* Where replies count until the callers have taken them, or NULL. The
	 * callee of the request callback checks for room. */
	struct http1_memory *replies;
};

/** An answer to send. */
struct http1_reply {
	guint status;
	const char *header_lines; /* each ended by CRLF; or NULL */
	const void *body;
	gsize body_length; /* in bytes */
	bool close_after; /* close the connection after the answer */
};

/** Callbacks of a server. */
struct http1_server_hooks {
	/* A complete request was received. The callee calls
	 * http1_exchange_reply() once, now or later. */
	void (*request)(struct http1_exchange *exchange,
			const struct http1_message *request, void *user);
	/* The connection was closed before the reply. The exchange must not be
	 * replied to any more. */
	void (*disconnected)(struct http1_exchange *exchange, void *user);
	/* A request is rejected before it is complete; may be NULL. The callee
	 * may add header lines and a body to the reply. They are copied after
	 * the callback returns, so they must stay valid until then. */
	void (*rejected)(struct http1_reply *reply, void *user);
	void *user; /* last argument of each callback */
	/* A connection was accepted. Return false to close it at once, before
	 * anything is read; NULL to serve everybody. */
	bool (*admit)(const struct sockaddr_in *from, void *user);
};

/**
 * http1_rejection_code - convert the status of an early rejection to a result
 * @status: status of the reply to an incomplete request: 400, 408, 413 or 431
 *
 * Return: CS_E_HEADER for 400, CS_E_SLOW for 408, otherwise CS_E_TOO_LARGE.
 */
int http1_rejection_code(guint status);

/**
 * http1_server_create - create a server and listen
 * @loop: the event loop
 * @at: IPv4 address and port
 * @limits: read at each use, so that they can change; must outlive the server
 * @hooks: callbacks; copied
 *
 * Return: a new server, or NULL if the server cannot listen on the address.
 */
struct http1_server *http1_server_create(
	struct http1_loop *loop, const struct sockaddr_in *at,
	const struct http1_server_limits *limits,
	const struct http1_server_hooks *hooks);

/**
 * http1_server_drain - close each connection after its next answer
 * @server: a server
 *
 * The server continues to accept connections, each for one request.
 */
void http1_server_drain(struct http1_server *server);

/**
 * http1_server_stop_accepting - stop accepting connections and requests
 * @server: a server; may be called again
 *
 * Accepts the connections that are waiting, stops listening and closes the
 * connections on which no request has begun. The others are closed after their
 * answer.
 */
void http1_server_stop_accepting(struct http1_server *server);

/**
 * http1_server_connection_count - count the open connections
 * @server: a server
 *
 * Return: the number of connections that are not closed yet.
 */
guint http1_server_connection_count(const struct http1_server *server);

/**
 * http1_server_open_exchanges - count the open exchanges
 * @server: a server
 *
 * Return: the number of requests whose reply is awaited or being written.
 */
guint http1_server_open_exchanges(const struct http1_server *server);

/**
 * http1_server_partial_requests - count the partly received requests
 * @server: a server
 *
 * Return: the number of requests that have begun and are not complete.
 */
guint http1_server_partial_requests(const struct http1_server *server);

/**
 * http1_server_destroy - close the listener and all connections, then free
 * @server: a server or NULL
 *
 * Calls the disconnected callback for each exchange that has no reply yet.
 */
void http1_server_destroy(struct http1_server *server);

/**
 * http1_exchange_set_data - attach a pointer to an exchange
 * @exchange: an exchange
 * @data: any pointer; cleared by http1_exchange_reply()
 */
void http1_exchange_set_data(struct http1_exchange *exchange, void *data);

/**
 * http1_exchange_data - get the attached pointer
 * @exchange: an exchange
 *
 * Return: the pointer set by http1_exchange_set_data(), or NULL.
 */
void *http1_exchange_data(const struct http1_exchange *exchange);

/**
 * http1_exchange_request - get the request of an exchange
 * @exchange: an exchange not yet replied to
 *
 * Return: the request, valid until the reply.
 */
const struct http1_message *http1_exchange_request(
	const struct http1_exchange *exchange);

/**
 * http1_exchange_reply - send the answer of an exchange
 * @exchange: an exchange not yet replied to; must not be used afterwards
 * @reply: the answer; copied. Content-Length is added.
 */
void http1_exchange_reply(struct http1_exchange *exchange,
			  const struct http1_reply *reply);

/* ---- client ---- */

/** Why a client connection was closed. */
enum http1_failure {
	HTTP1_NOT_CONNECTED, /* the connection was not established */
	HTTP1_CLOSED, /* closed or reset before the first byte of an answer */
	HTTP1_BROKEN, /* closed, reset or invalid bytes within an answer */
	HTTP1_TOO_LARGE, /* the answer exceeds a size limit */
};

/** A client connection; carries one request at a time. */
struct http1_client;

/** Callbacks of a client connection. */
struct http1_client_hooks {
	/* The connection is established; called at most once. */
	void (*connected)(struct http1_client *client, void *user);
	/* A complete answer was received. Return true if it answers the current
	 * request, false to skip it and wait for another one. */
	bool (*answer)(struct http1_client *client,
		       const struct http1_message *answer, void *user);
	/* The connection was closed and is freed after this callback. Not
	 * called by http1_client_close(). */
	void (*closed)(struct http1_client *client, enum http1_failure failure,
		       void *user);
	void *user; /* last argument of each callback */
};

/**
 * http1_client_open - start to connect
 * @loop: the event loop
 * @to: IPv4 address and port
 * @limits: size limits of answers; must outlive the connection
 * @hooks: callbacks; copied
 *
 * Return: a new connection, or NULL if no socket can be created or connecting
 * fails at once.
 */
struct http1_client *http1_client_open(struct http1_loop *loop,
				       const struct sockaddr_in *to,
				       const struct http1_limits *limits,
				       const struct http1_client_hooks *hooks);

/**
 * http1_client_open_from - start to connect from a given address
 * @loop: the event loop
 * @from: IPv4 address of this end, with any free port; NULL: any
 * @to: IPv4 address and port
 * @limits: size limits of answers; must outlive the connection
 * @hooks: callbacks; copied
 *
 * Return: as http1_client_open(), and NULL if @from cannot be bound.
 */
struct http1_client *http1_client_open_from(
	struct http1_loop *loop, const struct sockaddr_in *from,
	const struct sockaddr_in *to, const struct http1_limits *limits,
	const struct http1_client_hooks *hooks);

/**
 * http1_client_set_interim - set a callback for interim answers
 * @client: a connection
 * @interim: called with each interim answer, and the argument of the other
 *	callbacks; must not close the connection
 */
void http1_client_set_interim(
	struct http1_client *client,
	void (*interim)(const struct http1_message *message, void *user));

/**
 * http1_client_send - send a request
 * @client: a connection that is idle or still connecting
 * @head: request line and header lines, including the blank line
 * @body: the body or NULL
 * @length: length of the body in bytes
 * @no_body: true if the answer has no body, as for HEAD
 */
void http1_client_send(struct http1_client *client, const GString *head,
		       const void *body, gsize length, bool no_body);

/**
 * http1_client_idle - check whether a request can be sent
 * @client: a connection
 *
 * Return: true if the connection is established and reusable, no answer is
 * awaited, and no bytes follow the last answer.
 */
bool http1_client_idle(const struct http1_client *client);

/**
 * http1_client_fault - get the reason why received bytes were no answer
 * @client: a connection; also in the closed callback
 *
 * Such bytes are also logged.
 *
 * Return: a word for the log, a static string; NULL if there is none.
 */
const char *http1_client_fault(const struct http1_client *client);

/**
 * http1_client_close - close a connection without a callback
 * @client: a connection; must not be used afterwards
 */
void http1_client_close(struct http1_client *client);

#endif
