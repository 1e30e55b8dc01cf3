/* Sound and broken answers. */
#include "answers.h"

#include <string.h>

/* The end of an answer's head, after its status line, and its body. */
#define WITH_LENGTH "$fContent-Length: $n\r\n\r\n$p"
#define CHUNKED	    "$fTransfer-Encoding: chunked\r\n\r\n"
#define LAST_CHUNK  "0\r\n\r\n"

/* With one more header line. */
#define LINE(line) "HTTP/1.1 200 OK\r\n" line WITH_LENGTH

/* With a body in chunks as given. */
#define CHUNKS(chunks) "HTTP/1.1 200 OK\r\n" CHUNKED chunks

static const char *const sound[] = {
	"HTTP/1.1 200 OK\r\n" WITH_LENGTH,
	/* The reason phrase and the blank before it. */
	"HTTP/1.1 200 \r\n" WITH_LENGTH,
	"HTTP/1.1 200\r\n" WITH_LENGTH,
	"HTTP/1.1 200 \t\303\244 200 000\r\n" WITH_LENGTH,
	"HTTP/1.0 200 OK\r\n" WITH_LENGTH,
	"HTTP/1.1 299 Odd\r\n" WITH_LENGTH,
	/* Interim answers. */
	"HTTP/1.1 100\r\n\r\nHTTP/1.1 200 OK\r\n" WITH_LENGTH,
	"HTTP/1.1 100 Continue\r\n\r\n"
	"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	"HTTP/1.1 199 Odd\r\nContent-Length: 0\r\n\r\n"
	"HTTP/1.1 200 OK\r\n" WITH_LENGTH,
	/* Header fields. */
	LINE("A:b\r\n"),
	LINE("A:\tb\r\n"),
	LINE("A: \t b \t \r\n"),
	LINE("A:\r\n"),
	LINE("A: \r\n"),
	LINE("A: b\tc  d: \"e\" \303\244\377\r\n"),
	LINE("!#$%&'*+-.^_`|~09aZ: b\r\n"),
	"HTTP/1.1 200 OK\r\n$fContent-Length:\t$n\r\n\r\n$p",
	"HTTP/1.1 200 OK\r\n$fcontent-length:00$n \r\n\r\n$p",
	/* Body in chunks. */
	CHUNKS("$h\r\n$p\r\n" LAST_CHUNK),
	CHUNKS("000$h\r\n$p\r\n000\r\n\r\n"),
	CHUNKS("$h;a=b;c\r\n$p\r\n0;d\r\n\r\n"),
	CHUNKS("$h ; a = \"b;\\\"\t\303\244\\\\\" ; c\r\n$p\r\n" LAST_CHUNK),
	CHUNKS("$h\r\n$p\r\n0\r\nA: b\r\nC:\r\n\r\n"),
	"HTTP/1.1 200 OK\r\n$fTransfer-Encoding:\tChunked\r\n\r\n"
	"$h\r\n$p\r\n" LAST_CHUNK,
	"HTTP/1.1 200 OK\r\n$fTransfer-Encoding: chunked \t\r\n\r\n"
	"$h\r\n$p\r\n" LAST_CHUNK,
};

static const char *const broken[] = {
	/* Status. */
	"HTTP/1.1 000 None\r\n" WITH_LENGTH,
	"HTTP/1.1 000\r\n" WITH_LENGTH,
	"HTTP/1.1 0 None\r\n" WITH_LENGTH,
	"HTTP/1.1 099 Odd\r\n" WITH_LENGTH,
	"HTTP/1.1 20 OK\r\n" WITH_LENGTH,
	"HTTP/1.1 0200 OK\r\n" WITH_LENGTH,
	"HTTP/1.1 2000 OK\r\n" WITH_LENGTH,
	"HTTP/1.1 600 Odd\r\n" WITH_LENGTH,
	"HTTP/1.1 999 Odd\r\n" WITH_LENGTH,
	"HTTP/1.1 +200 OK\r\n" WITH_LENGTH,
	"HTTP/1.1 2x0 OK\r\n" WITH_LENGTH,
	"HTTP/1.1 OK\r\n" WITH_LENGTH,
	"HTTP/1.1\r\n" WITH_LENGTH,
	/* The connection would change its protocol. */
	"HTTP/1.1 101 Switching Protocols\r\n\r\n"
	"HTTP/1.1 200 OK\r\n" WITH_LENGTH,
	/* An interim answer with a status that does not exist. */
	"HTTP/1.1 001 Odd\r\n\r\nHTTP/1.1 200 OK\r\n" WITH_LENGTH,
	/* Status line. */
	"HTTP/1.1  200 OK\r\n" WITH_LENGTH,
	"HTTP/1.1\t200 OK\r\n" WITH_LENGTH,
	"HTTP/1.1 200\tOK\r\n" WITH_LENGTH,
	"HTTP/1.1 200OK\r\n" WITH_LENGTH,
	"HTTP/1.1 200 O\001K\r\n" WITH_LENGTH,
	"HTTP/1.1 200 O\177K\r\n" WITH_LENGTH,
	"HTTP/1.1 200 O\rK\r\n" WITH_LENGTH,
	"HTTP/1.1 200 OK\n" WITH_LENGTH,
	"HTTP/0.9 200 OK\r\n" WITH_LENGTH,
	"HTTP/2.0 200 OK\r\n" WITH_LENGTH,
	"HTTP/11 200 OK\r\n" WITH_LENGTH,
	"HXXX/1.1 200 OK\r\n" WITH_LENGTH,
	"http/1.1 200 OK\r\n" WITH_LENGTH,
	" HTTP/1.1 200 OK\r\n" WITH_LENGTH,
	"\r\nHTTP/1.1 200 OK\r\n" WITH_LENGTH,
	"HTTP/1.1 100 Continue\r\n\r\n\r\nHTTP/1.1 200 OK\r\n" WITH_LENGTH,
	/* Names of header fields. */
	LINE("A b: c\r\n"),
	LINE("A : c\r\n"),
	LINE(" A: c\r\n"),
	LINE("A\tb: c\r\n"),
	LINE("A\001b: c\r\n"),
	LINE("A\177: c\r\n"),
	LINE("A\303\244: c\r\n"),
	LINE("A(b): c\r\n"),
	LINE(": c\r\n"),
	LINE("A\r\n"),
	"HTTP/1.1 200 OK\r\n$fContent-Length : $n\r\n\r\n$p",
	"HTTP/1.1 200 OK\r\n$fContent-Length\t: $n\r\n\r\n$p",
	"HTTP/1.1 200 OK\r\n$fTransfer-Encoding : chunked\r\n\r\n"
	"$h\r\n$p\r\n" LAST_CHUNK,
	"HTTP/1.1 103 Odd\r\nA b: c\r\n\r\nHTTP/1.1 200 OK\r\n" WITH_LENGTH,
	/* Values of header fields. */
	LINE("A: \001b\r\n"),
	LINE("A:\001\r\n"),
	LINE("A: b\001\r\n"),
	LINE("A: b\177\r\n"),
	LINE("A: \033[1m\r\n"),
	LINE("A: b\rc\r\n"),
	LINE("A: b\r\n c\r\n"),
	LINE("A:\r\n\tb\r\n"),
	"HTTP/1.1 103 Odd\r\nA: \001\r\n\r\nHTTP/1.1 200 OK\r\n" WITH_LENGTH,
	/* Ends of lines. */
	LINE("A: b\n"),
	LINE("A:\n"),
	LINE("A: b\r\r\n"),
	"HTTP/1.1 200 OK\r\n$fContent-Length: $n\r\n\n$p",
	"HTTP/1.1 200 OK\r\n$fContent-Length: $n\r\n\r$p",
	"HTTP/1.1 200 OK\r\n$fContent-Length: $n\r\n\rX$p",
	/* Length of the body. */
	"HTTP/1.1 200 OK\r\n$fContent-Length: +$n\r\n\r\n$p",
	"HTTP/1.1 200 OK\r\n$fContent-Length: 0x$h\r\n\r\n$p",
	"HTTP/1.1 200 OK\r\n$fContent-Length: $nx\r\n\r\n$p",
	"HTTP/1.1 200 OK\r\n$fContent-Length: $n, $n\r\n\r\n$p",
	"HTTP/1.1 200 OK\r\n$fContent-Length: $n 1\r\n\r\n$p",
	"HTTP/1.1 200 OK\r\n$fContent-Length:\r\n\r\n$p",
	"HTTP/1.1 200 OK\r\n$fContent-Length: $n\r\nContent-Length: 1\r\n"
	"\r\n$p",
	"HTTP/1.1 200 OK\r\n$fContent-Length: "
	"99999999999999999999999\r\n\r\n$p",
	/* Codings of the body. */
	"HTTP/1.1 200 OK\r\n$fTransfer-Encoding: gzip\r\n\r\n$p",
	"HTTP/1.1 200 OK\r\n$fTransfer-Encoding: identity\r\n\r\n$p",
	"HTTP/1.1 200 OK\r\n$fTransfer-Encoding:\r\n\r\n$p",
	"HTTP/1.1 200 OK\r\n$fTransfer-Encoding: gzip\r\n"
	"Content-Length: $n\r\n\r\n$p",
	"HTTP/1.1 200 OK\r\n$fTransfer-Encoding: gzip, chunked\r\n\r\n"
	"$h\r\n$p\r\n" LAST_CHUNK,
	"HTTP/1.1 200 OK\r\n$fTransfer-Encoding: chunked, gzip\r\n\r\n"
	"$h\r\n$p\r\n" LAST_CHUNK,
	"HTTP/1.1 200 OK\r\n$fTransfer-Encoding: chunked, chunked\r\n\r\n"
	"$h\r\n$p\r\n" LAST_CHUNK,
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n" CHUNKED
	"$h\r\n$p\r\n" LAST_CHUNK,
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" CHUNKED
	"$h\r\n$p\r\n" LAST_CHUNK,
	"HTTP/1.1 200 OK\r\nContent-Length: $n\r\n" CHUNKED
	"$h\r\n$p\r\n" LAST_CHUNK,
	"HTTP/1.0 200 OK\r\n" CHUNKED "$h\r\n$p\r\n" LAST_CHUNK,
	/* Bodies of answers that have none. */
	"HTTP/1.1 204 No Content\r\n" WITH_LENGTH,
	"HTTP/1.1 204 No Content\r\n" CHUNKED "$h\r\n$p\r\n" LAST_CHUNK,
	"HTTP/1.1 103 Odd\r\nContent-Length: 4\r\n\r\nbody"
	"HTTP/1.1 200 OK\r\n" WITH_LENGTH,
	"HTTP/1.1 103 Odd\r\nTransfer-Encoding: chunked\r\n\r\n" LAST_CHUNK
	"HTTP/1.1 200 OK\r\n" WITH_LENGTH,
	/* Sizes of chunks. */
	CHUNKS("$h\n$p\r\n" LAST_CHUNK),
	CHUNKS("$h\rX$p\r\n" LAST_CHUNK),
	CHUNKS("$h \r\n$p\r\n" LAST_CHUNK),
	CHUNKS(" $h\r\n$p\r\n" LAST_CHUNK),
	CHUNKS("$h x\r\n$p\r\n" LAST_CHUNK),
	CHUNKS("$h,\r\n$p\r\n" LAST_CHUNK),
	CHUNKS("+$h\r\n$p\r\n" LAST_CHUNK),
	CHUNKS("0x$h\r\n$p\r\n" LAST_CHUNK),
	CHUNKS("\r\n$p\r\n" LAST_CHUNK),
	CHUNKS(";a\r\n$p\r\n" LAST_CHUNK),
	CHUNKS("10000000000000000$h\r\n$p\r\n" LAST_CHUNK),
	CHUNKS("$h;\r\n$p\r\n" LAST_CHUNK),
	CHUNKS("$h;a b\r\n$p\r\n" LAST_CHUNK),
	CHUNKS("$h;a=\r\n$p\r\n" LAST_CHUNK),
	CHUNKS("$h;a=\"b\r\n$p\r\n" LAST_CHUNK),
	CHUNKS("$h;a=\"\\\001\"\r\n$p\r\n" LAST_CHUNK),
	CHUNKS("$h;a\001\r\n$p\r\n" LAST_CHUNK),
	CHUNKS("$h;a\n$p\r\n" LAST_CHUNK),
	/* Ends of chunks. */
	CHUNKS("$h\r\n$pXX" LAST_CHUNK),
	CHUNKS("$h\r\n$p\n\n" LAST_CHUNK),
	CHUNKS("$h\r\n$p\rX" LAST_CHUNK),
	CHUNKS("$h\r\n$p" LAST_CHUNK),
	CHUNKS("$h\r\n$p\r\n0\n\r\n"),
	CHUNKS("$h\r\n$p\r\n0\r\n\n"),
	CHUNKS("$h\r\n$p\r\n0\r\n\rX"),
	/* Trailer fields. */
	CHUNKS("$h\r\n$p\r\n0\r\nA b: c\r\n\r\n"),
	CHUNKS("$h\r\n$p\r\n0\r\nA : c\r\n\r\n"),
	CHUNKS("$h\r\n$p\r\n0\r\nA\001: c\r\n\r\n"),
	CHUNKS("$h\r\n$p\r\n0\r\nA: \001\r\n\r\n"),
	CHUNKS("$h\r\n$p\r\n0\r\nA: b\001\r\n\r\n"),
	CHUNKS("$h\r\n$p\r\n0\r\nA: b\r\n c\r\n\r\n"),
	CHUNKS("$h\r\n$p\r\n0\r\nA: b\n\r\n"),
	CHUNKS("$h\r\n$p\r\n0\r\nA\r\n\r\n"),
};

const struct answers answers_sound = {sound, G_N_ELEMENTS(sound)};
const struct answers answers_broken = {broken, G_N_ELEMENTS(broken)};

char *answers_print(const char *template, const char *fields,
		    const char *payload)
{
	gsize length = strlen(payload);
	GString *text = g_string_new(NULL);

	for (const char *at = template; *at; at++) {
		if (*at != '$' || !strchr("fpnh", at[1])) {
			g_string_append_c(text, *at);
			continue;
		}
		switch (*++at) {
		case 'f':
			g_string_append(text, fields);
			break;
		case 'p':
			g_string_append(text, payload);
			break;
		case 'n':
			g_string_append_printf(text, "%zu", length);
			break;
		case 'h':
			g_string_append_printf(text, "%zx", length);
			break;
		}
	}
	return g_string_free(text, FALSE);
}
