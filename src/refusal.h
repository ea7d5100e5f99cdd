#ifndef REFUSAL_H
#define REFUSAL_H

/*
 * refusal - text sent to a caller whose flow or open is refused
 *
 * The text is the payload of a reset (RFC 1122 4.2.2.12). Its reason is "not
 * run" only when no payload byte reached a backend server, so that the caller
 * can repeat the request.
 */

#include <stddef.h>

#define REFUSAL_TEXT_MAX 96 /* buffer size for any refusal, with NUL */

typedef enum refusal {
	REFUSAL_NOT_RUN = 0,	 /* no payload reached a backend server */
	REFUSAL_OUTCOME_UNKNOWN, /* payload may have reached one */
	REFUSALS,		 /* number of reasons */
} refusal_t;

/* Writes "cherviltray: REASON; retry-after=SECONDS" to buf and returns buf. */
char *refusal_format(refusal_t reason, unsigned retry_after_s,
		     char buf[REFUSAL_TEXT_MAX]);

/*
 * Parses such a text, which need not be NUL-terminated. Returns 0, or -1 when
 * it is not a refusal.
 */
int refusal_parse(const char *text, size_t len, refusal_t *reason,
		  unsigned *retry_after_s);

/* Text of a reason, such as "not run". */
const char *refusal_name(refusal_t reason);

#endif
