#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

/*
 * http_server - answers GET requests from a function of the path
 *
 * For readiness and metrics: no bodies in, small bodies out, connections are
 * kept, and closed after HTTP_SERVER_IDLE_MS of silence.
 */

#include "endpoint.h"
#include "err.h"
#include <glib.h>
#include <uv.h>

/* Longer than any prober's interval. */
#define HTTP_SERVER_IDLE_MS 20000

typedef struct http_server http_server_t;

/* Appends the body and returns the status. */
typedef int (*http_handler_fn)(void *ctx, const char *path, GString *body);

/* NULL and the error when it fails. */
http_server_t *http_server_open(uv_loop_t *loop, const endpoint_t *bind_to,
				http_handler_fn handle, void *ctx, err_t *err);

/* Memory goes back when the loop has run. */
void http_server_close(http_server_t *s);

#endif
