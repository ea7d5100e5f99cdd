#ifndef REFUSAL_H
#define REFUSAL_H

/*
 * refusal - what a caller is told when its flow or open is given up
 *
 * The text is the payload of a reset (RFC 1122 4.2.2.12). "not run" is said
 * only when no byte reached a backend server.
 */

#include <stddef.h>

#define REFUSAL_TEXT_MAX 96 /* bytes that hold any refusal */

typedef enum refusal {
	REFUSAL_NOT_RUN = 0,	 /* no byte reached a backend server */
	REFUSAL_OUTCOME_UNKNOWN, /* some may have */
	REFUSALS,		 /* number of words, not one */
} refusal_t;

/* Writes "cherviltray: WORD; retry-after=SECONDS"; returns buf. */
char *refusal_format(refusal_t reason, unsigned retry_after_s,
		     char buf[REFUSAL_TEXT_MAX]);

/* Reads such a text, which need not be terminated. Returns 0 or -1. */
int refusal_parse(const char *text, size_t len, refusal_t *reason,
		  unsigned *retry_after_s);

const char *refusal_name(refusal_t reason);

#endif
