/* Parses an upstream's answer to a query. */
#include "cuminsail/upstream.h"

#include <math.h>

#define OFFSET(type, member) offsetof(struct type, member)

/* Below 2^53, up to which a double holds every integer exactly; the bounds in
 * struct cs_field are doubles. */
#define INTEGER_MAX   9e15
#define HIT_ID_MAX    256
#define SCORE_ABS_MAX 1e300

/* A part with its hits as JSON, borrowed from the document. */
struct parsed_part {
	struct policy_part base;
	json_t *hits;
};

#define PART_OFFSET(member) offsetof(struct parsed_part, base.member)

static const struct cs_field part_fields[] = {
	{"request_id", CS_FIELD_STRING, PART_OFFSET(request_id), true, 1, 64},
	{"attempt", CS_FIELD_INT, PART_OFFSET(attempt), true, 1, INTEGER_MAX},
	{"shard", CS_FIELD_STRING, PART_OFFSET(shard), true, 1, CS_NAME_MAX},
	{"snapshot", CS_FIELD_STRING, PART_OFFSET(snapshot), true, 1,
	 CS_NAME_MAX},
	{"map", CS_FIELD_INT, PART_OFFSET(map), true, 0, INTEGER_MAX},
	{"documents", CS_FIELD_INT, PART_OFFSET(documents), true, 0,
	 INTEGER_MAX},
	{"searched", CS_FIELD_INT, PART_OFFSET(searched), true, 0, INTEGER_MAX},
	{"hits", CS_FIELD_ARRAY, OFFSET(parsed_part, hits), true, 0, 0},
};

static const struct cs_field hit_fields[] = {
	{"id", CS_FIELD_STRING, OFFSET(policy_hit, id), true, 1, HIT_ID_MAX},
	{"score", CS_FIELD_REAL, OFFSET(policy_hit, score), true,
	 -SCORE_ABS_MAX, SCORE_ABS_MAX},
	{"fields", CS_FIELD_OBJECT, OFFSET(policy_hit, fields), false, 0, 0},
};

/* Appends the hits of @array to @part. Returns 0 or a negative code. */
static int read_hits(struct policy_part *part, json_t *array)
{
	size_t index;
	json_t *value;

	json_array_foreach (array, index, value) {
		struct policy_hit *hit = g_new0(struct policy_hit, 1);
		int error = cs_json_read(value, "hit", hit_fields,
					 G_N_ELEMENTS(hit_fields),
					 CS_UNKNOWN_KEYS_IGNORE, hit, NULL);

		json_incref(hit->fields);
		g_ptr_array_add(part->hits, hit);
		if (error)
			return error;
	}
	return 0;
}

struct policy_part *upstream_part_parse(const char *bytes, size_t length)
{
	json_t *document = cs_json_parse(bytes, length, NULL);
	struct parsed_part parsed = {0};
	struct policy_part *part;
	int error;

	if (!document)
		return NULL;
	parsed.base.hits = g_ptr_array_new_with_free_func(
		(GDestroyNotify)policy_hit_destroy);
	error = cs_json_read(document, "part", part_fields,
			     G_N_ELEMENTS(part_fields), CS_UNKNOWN_KEYS_IGNORE,
			     &parsed, NULL);
	if (!error)
		error = read_hits(&parsed.base, parsed.hits);
	json_decref(document);
	part = g_memdup2(&parsed.base, sizeof(parsed.base));
	if (!error)
		return part;
	policy_part_destroy(part);
	return NULL;
}
