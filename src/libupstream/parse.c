/* Parsing an upstream's answer to a query. */
#include "cuminsail/upstream.h"

#include <math.h>

#define AT(type, member) offsetof(struct type, member)

#define NUMBER_MAX  9e15
#define HIT_ID_MAX  256
#define SCORE_LIMIT 1e300

struct raw_part {
	struct policy_part base;
	json_t *hits;
};

#define PART(member) offsetof(struct raw_part, base.member)

static const struct cs_field part_fields[] = {
	{"request_id", CS_FIELD_STRING, PART(request_id), true, 1, 64},
	{"attempt", CS_FIELD_INT, PART(attempt), true, 1, NUMBER_MAX},
	{"shard", CS_FIELD_STRING, PART(shard), true, 1, CS_NAME_MAX},
	{"snapshot", CS_FIELD_STRING, PART(snapshot), true, 1, CS_NAME_MAX},
	{"map", CS_FIELD_INT, PART(map), true, 0, NUMBER_MAX},
	{"documents", CS_FIELD_INT, PART(documents), true, 0, NUMBER_MAX},
	{"searched", CS_FIELD_INT, PART(searched), true, 0, NUMBER_MAX},
	{"hits", CS_FIELD_ARRAY, AT(raw_part, hits), true, 0, 0},
};

static const struct cs_field hit_fields[] = {
	{"id", CS_FIELD_STRING, AT(policy_hit, id), true, 1, HIT_ID_MAX},
	{"score", CS_FIELD_REAL, AT(policy_hit, score), true, -SCORE_LIMIT,
	 SCORE_LIMIT},
	{"fields", CS_FIELD_OBJECT, AT(policy_hit, fields), false, 0, 0},
};

static int read_hits(struct policy_part *part, json_t *array)
{
	size_t index;
	json_t *value;

	json_array_foreach (array, index, value) {
		struct policy_hit *hit = g_new0(struct policy_hit, 1);
		int error = cs_json_read(value, "hit", hit_fields,
					 G_N_ELEMENTS(hit_fields),
					 CS_UNKNOWN_IGNORE, hit, NULL);

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
	struct raw_part raw = {0};
	struct policy_part *part;
	int error;

	if (!document)
		return NULL;
	raw.base.hits = g_ptr_array_new_with_free_func(
		(GDestroyNotify)policy_hit_destroy);
	error = cs_json_read(document, "part", part_fields,
			     G_N_ELEMENTS(part_fields), CS_UNKNOWN_IGNORE, &raw,
			     NULL);
	if (!error)
		error = read_hits(&raw.base, raw.hits);
	json_decref(document);
	part = g_memdup2(&raw.base, sizeof(raw.base));
	if (!error)
		return part;
	policy_part_destroy(part);
	return NULL;
}
