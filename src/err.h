#ifndef ERR_H
#define ERR_H

/*
 * err - typed errors with a message and a remedy
 *
 * A function that can fail takes an err_t as its last argument; on failure, it
 * fills it and returns -1 or NULL. The caller owns the err_t; nothing in it
 * needs to be freed.
 */

#include <stddef.h>

typedef enum err_kind {
	ERR_NONE = 0,
	ERR_USAGE,	 /* wrong command line */
	ERR_IO,		 /* file or socket */
	ERR_SYNTAX,	 /* malformed TOML or JSON */
	ERR_UNKNOWN_KEY, /* key that the format does not define */
	ERR_TYPE,	 /* value of the wrong type */
	ERR_RANGE,	 /* value out of range */
	ERR_DUPLICATE,	 /* name, address or port declared twice */
	ERR_MISSING,	 /* required key absent */
	ERR_EMPTY,	 /* no service, or service without targets or classes */
	ERR_VERSION,	 /* version not higher than the one in force */
	ERR_SIZE,	 /* document over the limit */
	ERR_AUTH,	 /* wrong authenticator, or unusable key */
	ERR_PROTOCOL,	 /* peer does not follow the protocol */
	ERR_TIMEOUT,	 /* no answer in time */
	ERR_MEMORY,	 /* allocation failed */
} err_kind_t;

typedef struct err {
	err_kind_t kind;
	int line;	  /* line in the file; 0: none */
	char file[256];	  /* file or address; empty: none */
	char what[256];	  /* what is wrong */
	char remedy[256]; /* what the operator should do */
} err_t;

/*
 * Fills err, unless it is NULL. file may be NULL; what is a printf format.
 * Always returns -1, so that callers can return the result.
 */
int err_set(err_t *err, err_kind_t kind, const char *file, int line,
	    const char *remedy, const char *what, ...)
	__attribute__((format(printf, 6, 7)));

/* Name of a kind in messages; "unknown" when it is out of range. */
const char *err_kind_name(err_kind_t kind);

/*
 * Formats err as "file:line: kind: what; remedy", without a file or line that
 * is not set. Truncates to size bytes. Returns buf.
 */
char *err_format(const err_t *err, char *buf, size_t size);

#endif
