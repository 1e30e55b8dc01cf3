/* Handler of the ZeroMQ Authentication Protocol (ZAP, RFC 27). */
#include "admission.h"

#include "zmq_source.h"

#include "cuminsail/log.h"

#include <string.h>
#include <zmq.h>

/* Address on which ZeroMQ expects the handler, inside the same context. */
#define ZAP_ENDPOINT "inproc://zeromq.zap.01"

/* A request: version, request id, domain, address, identity, mechanism, key. */
#define ZAP_REQUEST_FRAMES 7
#define ZAP_KEY_FRAME	   6
#define KEY_BYTES	   32

struct peer_admission {
	void *socket;
	GSource *source;
	struct cs_counters *counters;
	guint8 key[KEY_BYTES];
};

struct zap_request {
	zmq_msg_t frames[ZAP_REQUEST_FRAMES];
	int count;
};

/* Reads one request. Frames beyond the expected number are discarded. */
static void read_request(void *socket, struct zap_request *request)
{
	int more = 1;

	request->count = 0;
	while (more) {
		zmq_msg_t frame;

		zmq_msg_init(&frame);
		if (zmq_msg_recv(&frame, socket, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(&frame);
			return;
		}
		more = zmq_msg_more(&frame);
		if (request->count < ZAP_REQUEST_FRAMES)
			request->frames[request->count++] = frame;
		else
			zmq_msg_close(&frame);
	}
}

static bool is_admitted(const struct peer_admission *admission,
			struct zap_request *request)
{
	zmq_msg_t *key;

	if (request->count != ZAP_REQUEST_FRAMES)
		return false;
	key = &request->frames[ZAP_KEY_FRAME];
	return zmq_msg_size(key) == KEY_BYTES &&
	       !memcmp(zmq_msg_data(key), admission->key, KEY_BYTES);
}

static void send_text(void *socket, const char *text, int flags)
{
	zmq_send(socket, text, strlen(text), flags | ZMQ_DONTWAIT);
}

static void send_reply(struct peer_admission *admission,
		       struct zap_request *request)
{
	void *socket = admission->socket;
	bool admitted = is_admitted(admission, request);
	zmq_msg_t *id = &request->frames[1];

	if (!admitted) {
		cs_counters_add(admission->counters, CS_N_PEER_UNLISTED, 1);
		cs_log(LOG_WARNING, "peer-key-refused", NULL);
	}
	send_text(socket, "1.0", ZMQ_SNDMORE);
	zmq_send(socket, zmq_msg_data(id), zmq_msg_size(id),
		 ZMQ_SNDMORE | ZMQ_DONTWAIT);
	send_text(socket, admitted ? "200" : "400", ZMQ_SNDMORE);
	send_text(socket, admitted ? "OK" : "key not admitted", ZMQ_SNDMORE);
	send_text(socket, "", ZMQ_SNDMORE);
	send_text(socket, "", 0);
}

static void on_readable(void *user)
{
	struct peer_admission *admission = user;
	struct zap_request request;

	read_request(admission->socket, &request);
	if (request.count > 1)
		send_reply(admission, &request);
	for (int i = 0; i < request.count; i++)
		zmq_msg_close(&request.frames[i]);
}

struct peer_admission *peer_admission_create(void *context,
					     const struct settings *settings,
					     struct cs_counters *counters)
{
	struct peer_admission *admission = g_new0(struct peer_admission, 1);

	admission->counters = counters;
	zmq_z85_decode(admission->key, settings->peer_public_key);
	admission->socket = zmq_socket(context, ZMQ_REP);
	zmq_bind(admission->socket, ZAP_ENDPOINT);
	admission->source =
		peer_source_create(admission->socket, on_readable, admission);
	return admission;
}

void peer_admission_destroy(struct peer_admission *admission)
{
	if (!admission)
		return;
	g_source_destroy(admission->source);
	g_source_unref(admission->source);
	zmq_close(admission->socket);
	g_free(admission);
}
