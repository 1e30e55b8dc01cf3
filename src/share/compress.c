/* Compression of texts to base64 of gzip. */
#include "cuminsail/compress.h"

#include "cuminsail/json.h"

#include <gio/gio.h>
#include <string.h>

/* Level 1 takes a third of the work of the default level; the compressed lists
 * of routes are a tenth larger. */
#define COMPRESSION_LEVEL 1

/* By how much the output buffer grows at a time. */
#define CHUNK_BYTES 65536

/*
 * Runs bytes through a compressor or decompressor. Stops once the output is
 * longer than @max_length, so that a small input that decompresses to a huge
 * text cannot exhaust the memory.
 *
 * Return: the output, longer than @max_length if it was stopped, or NULL with
 * @error set.
 */
static GByteArray *convert(GConverter *converter, const guint8 *bytes,
			   gsize length, gsize max_length, GError **error)
{
	GByteArray *out = g_byte_array_new();
	GConverterResult result = G_CONVERTER_CONVERTED;

	while (result != G_CONVERTER_FINISHED && out->len <= max_length) {
		guint offset = out->len;
		gsize consumed = 0;
		gsize produced = 0;

		g_byte_array_set_size(out, offset + CHUNK_BYTES);
		result = g_converter_convert(converter, bytes, length,
					     out->data + offset, CHUNK_BYTES,
					     G_CONVERTER_INPUT_AT_END,
					     &consumed, &produced, error);
		g_byte_array_set_size(out, offset + (guint)produced);
		if (result == G_CONVERTER_ERROR) {
			g_byte_array_unref(out);
			return NULL;
		}
		bytes += consumed;
		length -= consumed;
	}
	return out;
}

char *cs_compress_text(const char *text)
{
	g_autoptr(GZlibCompressor) compressor = g_zlib_compressor_new(
		G_ZLIB_COMPRESSOR_FORMAT_GZIP, COMPRESSION_LEVEL);
	g_autoptr(GByteArray) bytes =
		convert(G_CONVERTER(compressor), (const guint8 *)text,
			strlen(text), G_MAXUINT32, NULL);

	/* Compression accepts any input and fails only if memory runs out. */
	g_assert(bytes);
	return g_base64_encode(bytes->data, bytes->len);
}

char *cs_decompress_text(const char *encoded, gsize max_length, char **why)
{
	g_autoptr(GZlibDecompressor) decompressor =
		g_zlib_decompressor_new(G_ZLIB_COMPRESSOR_FORMAT_GZIP);
	g_autoptr(GError) error = NULL;
	g_autoptr(GByteArray) bytes = NULL;
	g_autofree guint8 *compressed = NULL;
	gsize length = 0;

	compressed = g_base64_decode(encoded, &length);
	if (length)
		bytes = convert(G_CONVERTER(decompressor), compressed, length,
				max_length, &error);
	if (!bytes) {
		cs_set_cause(why, "%s", error ? error->message : "empty");
		return NULL;
	}
	if (bytes->len > max_length) {
		cs_set_cause(why, "over %zu bytes", max_length);
		return NULL;
	}
	return g_strndup((const char *)bytes->data, bytes->len);
}
