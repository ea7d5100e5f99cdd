#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

/*
 * http_client - GET requests to one address over one kept connection
 *
 * Plain libuv and http_parser: small enough for hosts with a few hundredths of
 * a core, where a client library's start alone costs half a second. One
 * request at a time. A request that fails in any way closes the connection,
 * and the next one opens another.
 */

#include "endpoint.h"
#include <stdbool.h>
#include <uv.h>

/* Greatest body, in bytes: a page of the largest values and their frame. */
#define HTTP_BODY_MAX (4 * 1024 * 1024)

typedef struct http_client http_client_t;

typedef struct http_response {
	int status;	   /* of HTTP; 0: no answer */
	const char *error; /* why there is none, NULL with a status */
	const char *body;  /* valid during the call only */
	size_t len;	   /* bytes */
} http_response_t;

typedef void (*http_done_fn)(void *ctx, const http_response_t *response);

/* NULL without memory. */
http_client_t *http_client_new(uv_loop_t *loop, const endpoint_t *server);

/* Closes without a call to done; memory goes back when the loop has run. */
void http_client_free(http_client_t *c);

bool http_client_busy(const http_client_t *c);

/* Asks; done is called once, later. */
void http_client_get(http_client_t *c, const char *path, uint64_t timeout_ms,
		     http_done_fn done, void *ctx);

/* Gives the request under way up; done is called with an error. */
void http_client_abort(http_client_t *c, const char *reason);

#endif
