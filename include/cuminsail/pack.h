/**
 * pack.h - compression of texts that are sent inside JSON strings
 */
#ifndef CUMINSAIL_PACK_H
#define CUMINSAIL_PACK_H

#include <glib.h>

/**
 * cs_pack - compress a text with gzip and encode it in base64
 * @text: the text
 *
 * Return: a new string for g_free().
 */
char *cs_pack(const char *text);

/**
 * cs_unpack - decode and decompress the output of cs_pack()
 * @packed: base64 of gzip; may come from an untrusted source
 * @max_length: size limit of the decompressed text, in bytes
 * @why: set to a new string with the cause on failure; may be NULL
 *
 * Return: a new string for g_free(), or NULL with @why set.
 */
char *cs_unpack(const char *packed, gsize max_length, char **why);

#endif
