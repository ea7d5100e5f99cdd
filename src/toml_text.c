#include "toml_text.h"
#include <glib.h>
#include <string.h>

/* Where the scan is within the TOML text. */
typedef enum lex_state {
	LEX_BARE = 0,	    /* outside strings and comments */
	LEX_BASIC_STRING,   /* in "..." */
	LEX_LITERAL_STRING, /* in '...' */
	LEX_COMMENT,
} lex_state_t;

static lex_state_t lex_next(lex_state_t lex_state, char c);
static int line_number(const char *text, const char *at);

static lex_state_t lex_next(lex_state_t lex_state, char c)
{
	if (c == '\n')
		return LEX_BARE;
	switch (lex_state) {
	case LEX_BARE:
		if (c == '"')
			return LEX_BASIC_STRING;
		if (c == '\'')
			return LEX_LITERAL_STRING;
		return c == '#' ? LEX_COMMENT : LEX_BARE;
	case LEX_BASIC_STRING:
		return c == '"' ? LEX_BARE : lex_state;
	case LEX_LITERAL_STRING:
		return c == '\'' ? LEX_BARE : lex_state;
	default:
		return lex_state;
	}
}

static int line_number(const char *text, const char *at)
{
	int line = 1;

	for (; text < at; text++)
		line += *text == '\n';
	return line;
}

int toml_text_check(const char *file, const char *text, size_t len, err_t *err)
{
	lex_state_t lex_state = LEX_BARE;
	const char *bad;

	if (!g_utf8_validate(text, (gssize)len, &bad))
		return err_set(err, ERR_SYNTAX, file, line_number(text, bad),
			       "save the file as UTF-8", "invalid UTF-8");
	for (const char *p = text; p < text + len; p++) {
		size_t left = (size_t)(text + len - p);

		if (lex_state != LEX_COMMENT && left >= 3 &&
		    (!memcmp(p, "\"\"\"", 3) || !memcmp(p, "'''", 3)))
			return err_set(err, ERR_SYNTAX, file,
				       line_number(text, p),
				       "write the string on one line",
				       "multi-line string");
		if (lex_state == LEX_BARE && (unsigned char)*p >= 0x80)
			return err_set(err, ERR_SYNTAX, file,
				       line_number(text, p),
				       "put the text in quotes",
				       "non-ASCII character outside a string "
				       "or comment");
		lex_state = lex_next(lex_state, *p);
	}
	return 0;
}
