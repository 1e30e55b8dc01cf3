/* Serialisation of the frames between daemons, as GVariants. */
#include "cuminsail/peer.h"

#include "cuminsail/error.h"

#include <string.h>

#define FRAME_VERSION 1

/* version, kind, sender, incarnation, sequence, payload */
#define FRAME_TYPE "(yysttv)"

#define HEARTBEAT_TYPE "(bxxa(ss)a(ss))"
#define CONFIG_TYPE    "(xs)"
#define LIST_TYPE      "(xs)"
#define ORDER_TYPE     "(tsssx)"
#define RESULT_TYPE    "(tiis)"

/* Largest frame in bytes: an escaped document and the frame's other fields. */
#define FRAME_MAX (2 * CONFIG_DOCUMENT_MAX)

/* Most upstreams read from each of a heartbeat's two arrays. */
#define UPSTREAMS_MAX 20000

static GVariant *encode_upstreams(const struct peer_upstream *upstreams,
				  gsize count)
{
	GVariantBuilder builder;

	g_variant_builder_init(&builder, G_VARIANT_TYPE("a(ss)"));
	for (gsize i = 0; i < count; i++)
		g_variant_builder_add(&builder, "(ss)", upstreams[i].id,
				      upstreams[i].incarnation);
	return g_variant_builder_end(&builder);
}

static GVariant *encode_heartbeat(const struct peer_frame *frame)
{
	return g_variant_new(
		"(bxx@a(ss)@a(ss))", frame->heartbeat.leaving,
		frame->heartbeat.config_revision,
		frame->heartbeat.list_revision,
		encode_upstreams(frame->heartbeat.warm,
				 frame->heartbeat.n_warm),
		encode_upstreams(frame->heartbeat.leaving_upstreams,
				 frame->heartbeat.n_leaving));
}

static GVariant *encode_payload(const struct peer_frame *frame)
{
	switch (frame->kind) {
	case PEER_HEARTBEAT:
		return encode_heartbeat(frame);
	case PEER_CONFIG:
		return g_variant_new(CONFIG_TYPE, frame->config.revision,
				     frame->config.text);
	case PEER_LIST:
		return g_variant_new(LIST_TYPE, frame->list.age_us,
				     frame->list.text);
	case PEER_ORDER:
		return g_variant_new(ORDER_TYPE, frame->order.tag,
				     frame->order.service, frame->order.ticket,
				     frame->order.body, frame->order.wait_ms);
	case PEER_RESULT:
		return g_variant_new(RESULT_TYPE, frame->result.tag,
				     frame->result.code, frame->result.outcome,
				     frame->result.body);
	}
	return NULL;
}

GBytes *peer_frame_encode(const struct peer_frame *frame)
{
	g_autoptr(GVariant) value = g_variant_ref_sink(g_variant_new(
		FRAME_TYPE, (guchar)FRAME_VERSION, (guchar)frame->kind,
		frame->sender, frame->incarnation, frame->sequence,
		encode_payload(frame)));

	return g_variant_get_data_as_bytes(value);
}

static struct peer_upstream *decode_upstreams(GVariant *array, gsize *count)
{
	struct peer_upstream *upstreams;

	*count = MIN(g_variant_n_children(array), UPSTREAMS_MAX);
	upstreams = g_new0(struct peer_upstream, *count + 1);
	for (gsize i = 0; i < *count; i++)
		g_variant_get_child(array, i, "(&s&s)", &upstreams[i].id,
				    &upstreams[i].incarnation);
	return upstreams;
}

/* Return: the GVariant type of the payload, or NULL for an unknown kind. */
static const char *payload_type(guchar kind)
{
	switch (kind) {
	case PEER_HEARTBEAT:
		return HEARTBEAT_TYPE;
	case PEER_CONFIG:
		return CONFIG_TYPE;
	case PEER_LIST:
		return LIST_TYPE;
	case PEER_ORDER:
		return ORDER_TYPE;
	case PEER_RESULT:
		return RESULT_TYPE;
	default:
		return NULL;
	}
}

/* Decodes the payload of any frame except a heartbeat. */
static void decode_payload(GVariant *payload, struct peer_frame *frame)
{
	switch (frame->kind) {
	case PEER_HEARTBEAT:
		break;
	case PEER_CONFIG:
		g_variant_get(payload, "(x&s)", &frame->config.revision,
			      &frame->config.text);
		break;
	case PEER_LIST:
		g_variant_get(payload, "(x&s)", &frame->list.age_us,
			      &frame->list.text);
		break;
	case PEER_ORDER:
		g_variant_get(payload, "(t&s&s&sx)", &frame->order.tag,
			      &frame->order.service, &frame->order.ticket,
			      &frame->order.body, &frame->order.wait_ms);
		break;
	case PEER_RESULT:
		g_variant_get(payload, "(tii&s)", &frame->result.tag,
			      &frame->result.code, &frame->result.outcome,
			      &frame->result.body);
		break;
	}
}

/* Decodes a heartbeat and visits it before its arrays are freed. */
static void visit_heartbeat(GVariant *payload, struct peer_frame *frame,
			    void (*visit)(const struct peer_frame *frame,
					  void *user),
			    void *user)
{
	g_autoptr(GVariant) warm_array = NULL;
	g_autoptr(GVariant) leaving_array = NULL;
	g_autofree struct peer_upstream *warm = NULL;
	g_autofree struct peer_upstream *leaving = NULL;
	gboolean sender_leaving;

	g_variant_get(payload, "(bxx@a(ss)@a(ss))", &sender_leaving,
		      &frame->heartbeat.config_revision,
		      &frame->heartbeat.list_revision, &warm_array,
		      &leaving_array);
	warm = decode_upstreams(warm_array, &frame->heartbeat.n_warm);
	leaving = decode_upstreams(leaving_array, &frame->heartbeat.n_leaving);
	frame->heartbeat.leaving = sender_leaving;
	frame->heartbeat.warm = warm;
	frame->heartbeat.leaving_upstreams = leaving;
	visit(frame, user);
}

int peer_frame_decode(GBytes *bytes,
		      void (*visit)(const struct peer_frame *frame, void *user),
		      void *user)
{
	g_autoptr(GVariant) value = NULL;
	g_autoptr(GVariant) payload = NULL;
	struct peer_frame frame = {0};
	const char *type;
	guchar version;
	guchar kind;

	if (g_bytes_get_size(bytes) > FRAME_MAX)
		return CS_E_FRAME;
	value = g_variant_ref_sink(g_variant_new_from_bytes(
		G_VARIANT_TYPE(FRAME_TYPE), bytes, FALSE));
	if (!g_variant_is_normal_form(value))
		return CS_E_FRAME;
	g_variant_get(value, "(yy&sttv)", &version, &kind, &frame.sender,
		      &frame.incarnation, &frame.sequence, &payload);
	type = payload_type(kind);
	if (version != FRAME_VERSION || !type || !*frame.sender ||
	    strlen(frame.sender) > CS_NAME_MAX ||
	    !g_variant_is_of_type(payload, G_VARIANT_TYPE(type)))
		return CS_E_FRAME;
	frame.kind = (enum peer_kind)kind;
	if (frame.kind == PEER_HEARTBEAT) {
		visit_heartbeat(payload, &frame, visit, user);
		return 0;
	}
	decode_payload(payload, &frame);
	visit(&frame, user);
	return 0;
}
