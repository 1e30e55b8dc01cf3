/**
 * compress.h - compression of texts that are sent inside JSON strings
 */
#ifndef CUMINSAIL_COMPRESS_H
#define CUMINSAIL_COMPRESS_H

#include <glib.h>

/**
 * cs_compress_text - compress a text with gzip and encode it in base64
 * @text: the text
 *
 * Return: a new string for g_free().
 */
char *cs_compress_text(const char *text);

/**
 * cs_decompress_text - decode and decompress the output of cs_compress_text()
 * @encoded: base64 of gzip; may come from an untrusted source
 * @max_length: size limit of the decompressed text, in bytes
 * @why: set to a new string with the cause on failure; may be NULL
 *
 * Return: a new string for g_free(), or NULL with @why set.
 */
char *cs_decompress_text(const char *encoded, gsize max_length, char **why);

#endif
