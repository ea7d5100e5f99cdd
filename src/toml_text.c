#include "toml_text.h"
#include <glib.h>
#include <string.h>

typedef enum place {
	PLACE_OUTSIDE = 0,
	PLACE_DOUBLE, /* in "..." */
	PLACE_SINGLE, /* in '...' */
	PLACE_COMMENT,
} place_t;

static place_t place_after(place_t place, char c);
static int line_of(const char *text, const char *at);

static place_t place_after(place_t place, char c)
{
	if (c == '\n')
		return PLACE_OUTSIDE;
	switch (place) {
	case PLACE_OUTSIDE:
		if (c == '"')
			return PLACE_DOUBLE;
		if (c == '\'')
			return PLACE_SINGLE;
		return c == '#' ? PLACE_COMMENT : PLACE_OUTSIDE;
	case PLACE_DOUBLE:
		return c == '"' ? PLACE_OUTSIDE : place;
	case PLACE_SINGLE:
		return c == '\'' ? PLACE_OUTSIDE : place;
	default:
		return place;
	}
}

static int line_of(const char *text, const char *at)
{
	int line = 1;

	for (; text < at; text++)
		line += *text == '\n';
	return line;
}

int toml_text_check(const char *file, const char *text, size_t len, err_t *err)
{
	place_t place = PLACE_OUTSIDE;
	const char *bad;

	if (!g_utf8_validate(text, (gssize)len, &bad))
		return err_set(err, ERR_SYNTAX, file, line_of(text, bad),
			       "save the file as UTF-8",
			       "a byte is no UTF-8 text");
	for (const char *p = text; p < text + len; p++) {
		size_t left = (size_t)(text + len - p);

		if (place != PLACE_COMMENT && left >= 3 &&
		    (!memcmp(p, "\"\"\"", 3) || !memcmp(p, "'''", 3)))
			return err_set(err, ERR_SYNTAX, file, line_of(text, p),
				       "write the string on one line",
				       "a string of several lines");
		if (place == PLACE_OUTSIDE && (unsigned char)*p >= 0x80)
			return err_set(err, ERR_SYNTAX, file, line_of(text, p),
				       "write it in quotes",
				       "a letter that is not ASCII stands "
				       "outside quotes");
		place = place_after(place, *p);
	}
	return 0;
}
