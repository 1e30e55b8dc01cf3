/* Looks up result codes in the table of error.h. */
#include "cuminsail/error.h"

#include <stddef.h>

struct error_row {
	int code;
	unsigned int status;
	const char *name;
	const char *text;
};

static const struct error_row error_rows[] = {{CS_OK, 200, "ok", "success"},
#define X(id, number, status, name, text) {id, status, name, text},
					      CS_ERROR_TABLE(X)
#undef X
};

static const struct error_row *find_row(int code)
{
	for (size_t i = 0; i < sizeof(error_rows) / sizeof(error_rows[0]);
	     i++) {
		if (error_rows[i].code == code)
			return &error_rows[i];
	}
	return NULL;
}

const char *cs_error_name(int code)
{
	const struct error_row *row = find_row(code);

	return row ? row->name : "unknown-error";
}

const char *cs_error_text(int code)
{
	const struct error_row *row = find_row(code);

	return row ? row->text : "not a code of this program";
}

unsigned int cs_error_http_status(int code)
{
	const struct error_row *row = find_row(code);

	return row ? row->status : 500;
}

const char *cs_outcome_name(enum cs_outcome outcome)
{
	switch (outcome) {
	case CS_ANSWERED:
		return "answered";
	case CS_NOT_RUN:
		return "not-run";
	case CS_UNKNOWN:
		return "unknown";
	}
	return "unknown";
}
