/**
 * pack.h - texts made small for a JSON string
 */
#ifndef CUMINSAIL_PACK_H
#define CUMINSAIL_PACK_H

#include <glib.h>

/**
 * cs_pack - compress a text
 * @text: the text
 *
 * Return: a new string for g_free(): base64 of gzip.
 */
char *cs_pack(const char *text);

/**
 * cs_unpack - the text that was packed
 * @packed: from anywhere
 * @most: bytes that the text may have
 * @why: where to put a new string with the cause, or NULL
 *
 * Return: a new string for g_free(), or NULL with @why set.
 */
char *cs_unpack(const char *packed, gsize most, char **why);

#endif
