#include "cuminsail/pack.h"

#include "cuminsail/json.h"

#include <gio/gio.h>
#include <string.h>

/* The first level is a third as much work as the usual one, and makes lists of
 * routes a tenth larger. */
#define LEVEL 1

#define STEP_BYTES 65536

/* Return: all that a converter makes of the bytes, or NULL with @error set. */
static GByteArray *convert(GConverter *converter, const guint8 *bytes,
			   gsize length, gsize most, GError **error)
{
	GByteArray *out = g_byte_array_new();
	GConverterResult result = G_CONVERTER_CONVERTED;

	while (result != G_CONVERTER_FINISHED && out->len <= most) {
		guint before = out->len;
		gsize used = 0;
		gsize made = 0;

		g_byte_array_set_size(out, before + STEP_BYTES);
		result = g_converter_convert(converter, bytes, length,
					     out->data + before, STEP_BYTES,
					     G_CONVERTER_INPUT_AT_END, &used,
					     &made, error);
		g_byte_array_set_size(out, before + (guint)made);
		if (result == G_CONVERTER_ERROR) {
			g_byte_array_unref(out);
			return NULL;
		}
		bytes += used;
		length -= used;
	}
	return out;
}

char *cs_pack(const char *text)
{
	g_autoptr(GZlibCompressor) compressor =
		g_zlib_compressor_new(G_ZLIB_COMPRESSOR_FORMAT_GZIP, LEVEL);
	g_autoptr(GByteArray) bytes =
		convert(G_CONVERTER(compressor), (const guint8 *)text,
			strlen(text), G_MAXUINT32, NULL);

	/* Compressing takes any bytes; it fails only without memory. */
	g_assert(bytes);
	return g_base64_encode(bytes->data, bytes->len);
}

char *cs_unpack(const char *packed, gsize most, char **why)
{
	g_autoptr(GZlibDecompressor) decompressor =
		g_zlib_decompressor_new(G_ZLIB_COMPRESSOR_FORMAT_GZIP);
	g_autoptr(GError) error = NULL;
	g_autoptr(GByteArray) bytes = NULL;
	g_autofree guint8 *raw = NULL;
	gsize length = 0;

	raw = g_base64_decode(packed, &length);
	if (length)
		bytes = convert(G_CONVERTER(decompressor), raw, length, most,
				&error);
	if (!bytes) {
		cs_why(why, "%s", error ? error->message : "empty");
		return NULL;
	}
	if (bytes->len > most) {
		cs_why(why, "over %zu bytes", most);
		return NULL;
	}
	return g_strndup((const char *)bytes->data, bytes->len);
}
