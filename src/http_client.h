#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

/*
 * http_client - GET requests to one server over a keep-alive connection
 *
 * Uses libuv and http_parser only: on hosts with a few hundredths of a core,
 * the initialisation of an HTTP client library alone takes half a second.
 * There is one request at a time. A failed request closes the connection; the
 * next request opens a new one.
 */

#include "endpoint.h"
#include <glib.h>
#include <stdbool.h>
#include <uv.h>

/* Maximum body, in bytes: a page of the store with the largest values. */
#define HTTP_BODY_MAX (4 * 1024 * 1024)
/* Longest time between two parts of a response, in ms. It covers a lost packet
 * on a link that is shared with other traffic. */
#define HTTP_GAP_MS 700

typedef struct http_client http_client_t;

typedef struct http_response {
	int status;	    /* HTTP status; 0: request failed */
	const char *error;  /* cause of the failure; NULL with a status */
	bool too_large;	    /* the body exceeds HTTP_BODY_MAX */
	const char *body;   /* valid during the callback only */
	size_t len;	    /* bytes */
	uint64_t announced; /* Content-Length, in bytes; 0: unknown */
	/* Lower-case names to values, both strings; valid like body. Of a
	 * repeated header the last one counts. */
	GHashTable *headers;
} http_response_t;

typedef void (*http_done_fn)(void *ctx, const http_response_t *response);

/* Returns a client without a connection, or NULL when out of memory. */
http_client_t *http_client_new(uv_loop_t *loop, const endpoint_t *server);

/* Limits the time for connecting, in ms, from the next connection on. */
void http_client_set_connect_timeout(http_client_t *c, uint64_t timeout_ms);

/*
 * Closes the connection; a pending request does not call done. The memory is
 * freed by a later iteration of the loop.
 */
void http_client_free(http_client_t *c);

/* True while a request is pending. */
bool http_client_busy(const http_client_t *c);

/* True while a request is pending whose response has begun to arrive. */
bool http_client_receiving(const http_client_t *c);

/*
 * Sends a GET request; no other request may be pending. timeout_ms limits the
 * time from sending to the first part of the response, HTTP_GAP_MS the time to
 * each further part; connecting has a limit of its own. A response may take any
 * time while it arrives: how long depends on its size and on the link. done is
 * called once, from the loop, or from within this function when the write fails
 * at once.
 */
void http_client_get(http_client_t *c, const char *path, uint64_t timeout_ms,
		     http_done_fn done, void *ctx);

/*
 * Closes the connection when no request is pending; the next request opens a
 * new one. To be called after a response that does not fit its request: it may
 * be a second copy of an earlier one, after which all others are one behind.
 */
void http_client_disconnect(http_client_t *c);

/* Forgets the pending request, if any, without a call of done, and closes its
 * connection. */
void http_client_cancel(http_client_t *c);

/*
 * Cancels the pending request: done is called with reason as the error, and the
 * connection is closed. Without a request, only closes the connection.
 */
void http_client_abort(http_client_t *c, const char *reason);

#endif
