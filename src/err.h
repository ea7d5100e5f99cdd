#ifndef ERR_H
#define ERR_H

/*
 * err - typed errors whose message names the remedy
 *
 * A function that can fail takes an err_t last, fills it and returns -1. The
 * caller owns the err_t; nothing in it needs freeing.
 */

#include <stddef.h>

typedef enum err_kind {
	ERR_NONE = 0,
	ERR_USAGE,	 /* wrong command line */
	ERR_IO,		 /* file or socket */
	ERR_SYNTAX,	 /* not TOML */
	ERR_UNKNOWN_KEY, /* a key that nothing reads */
	ERR_TYPE,	 /* value of the wrong type */
	ERR_RANGE,	 /* value out of its range */
	ERR_DUPLICATE,	 /* the same thing declared twice */
	ERR_MISSING,	 /* required key absent */
	ERR_EMPTY,	 /* service without targets, or nothing at all */
	ERR_VERSION,	 /* version not higher than the one in force */
	ERR_SIZE,	 /* document over the limit */
	ERR_AUTH,	 /* authenticator or key wrong */
	ERR_PROTOCOL,	 /* peer speaks another protocol */
	ERR_TIMEOUT,	 /* no answer in time */
	ERR_MEMORY,	 /* allocation failed */
} err_kind_t;

typedef struct err {
	err_kind_t kind;
	int line;	  /* line in the file, 0 when there is none */
	char file[256];	  /* file or address, empty when there is none */
	char what[256];	  /* what is wrong */
	char remedy[256]; /* what the operator should do */
} err_t;

/* Fills the error; always returns -1 so that callers can return it. */
int err_set(err_t *err, err_kind_t kind, const char *file, int line,
	    const char *remedy, const char *what, ...)
	__attribute__((format(printf, 6, 7)));

const char *err_kind_name(err_kind_t kind);

/* Writes "file:line: kind: what; remedy" to buf. Returns buf. */
char *err_format(const err_t *err, char *buf, size_t size);

#endif
