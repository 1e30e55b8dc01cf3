/* What replicas say of themselves in their answers: that they leave, or that
 * they want no requests for some time. */
#include "fleet.h"

/* Longest rest that is granted. A replica that names more is tried again then,
 * and can ask again. */
#define REST_MAX_US (300 * CS_US_PER_S)

/* How long it is kept what a replica said that is no longer listed. */
#define KEEP_US (600 * CS_US_PER_S)

/* Most replicas for which that is kept. */
#define KEEP_MAX 4096

static bool says_anything(const struct route_notice *notice)
{
	return notice->leaving || notice->rest_until_us;
}

static void drop_old(GHashTable *notices, gint64 now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, notices);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct route_kept_notice *kept = value;

		if (now_us - kept->kept_us > KEEP_US)
			g_hash_table_iter_remove(&iter);
	}
}

void route_notice_keep(struct route_replica *replica, gint64 now_us)
{
	GHashTable *notices = replica->pool->fleet->notices;
	struct route_kept_notice *kept;

	if (!says_anything(&replica->notice))
		return;
	drop_old(notices, now_us);
	if (g_hash_table_size(notices) >= KEEP_MAX)
		return;
	kept = g_new0(struct route_kept_notice, 1);
	kept->address = replica->address;
	kept->incarnation = replica->incarnation;
	kept->sequence = replica->sequence;
	kept->notice = replica->notice;
	kept->kept_us = now_us;
	g_hash_table_insert(notices, g_strdup(replica->id), kept);
}

/* An incarnation of 0 tells nothing; the sequence then starts anew. */
static bool is_same_start(gint64 incarnation, gint64 sequence,
			  gint64 other_incarnation, gint64 other_sequence)
{
	if (incarnation || other_incarnation)
		return incarnation == other_incarnation;
	return other_sequence >= sequence;
}

void route_notice_restore(struct route_replica *replica)
{
	GHashTable *notices = replica->pool->fleet->notices;
	const struct route_kept_notice *kept =
		g_hash_table_lookup(notices, replica->id);

	if (!kept)
		return;
	if (kept->address.sin_port == replica->address.sin_port &&
	    kept->address.sin_addr.s_addr == replica->address.sin_addr.s_addr &&
	    is_same_start(kept->incarnation, kept->sequence,
			  replica->incarnation, replica->sequence))
		replica->notice = kept->notice;
	g_hash_table_remove(notices, replica->id);
}

void route_notice_check_start(struct route_replica *replica,
			      const struct route_entry *entry)
{
	if (!is_same_start(replica->incarnation, replica->sequence,
			   entry->incarnation, entry->sequence))
		replica->notice = (struct route_notice){0};
}

bool route_replica_observe_leaving(struct route_replica *replica)
{
	if (replica->notice.leaving)
		return false;
	replica->notice.leaving = true;
	return true;
}

void route_replica_observe_rest(struct route_replica *replica, gint64 rest_us,
				gint64 now_us)
{
	gint64 until_us = now_us + CLAMP(rest_us, 0, REST_MAX_US);

	replica->notice.rest_until_us =
		MAX(replica->notice.rest_until_us, until_us);
	replica->notice.on_trial = true;
}

gint64 route_rest_wait_us(const struct route_replica *replica, gint64 now_us)
{
	return MAX(replica->notice.rest_until_us - now_us, 0);
}

void route_notice_answered(struct route_replica *replica, gint64 sent_us)
{
	if (sent_us >= replica->notice.rest_until_us)
		replica->notice.on_trial = false;
}
