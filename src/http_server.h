#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

/*
 * http_server - HTTP server for readiness probes, metrics and peer requests
 *
 * A handler returns the status and a small body for a path; the method and the
 * body of a request are ignored. Connections are kept alive, and closed after
 * HTTP_SERVER_IDLE_MS without data from the client.
 */

#include "endpoint.h"
#include "err.h"
#include <glib.h>
#include <uv.h>

/* Longer than the interval of any health prober, to keep its connection. */
#define HTTP_SERVER_IDLE_MS 20000

typedef struct http_server http_server_t;

/* Appends the response body to body and returns the HTTP status. */
typedef int (*http_handler_fn)(void *ctx, const char *path, GString *body);

/* Listens on bind_to. Returns NULL with err set on failure. */
http_server_t *http_server_open(uv_loop_t *loop, const endpoint_t *bind_to,
				http_handler_fn handle, void *ctx, err_t *err);

/* Closes all connections; the memory is freed by later loop iterations. */
void http_server_close(http_server_t *s);

#endif
