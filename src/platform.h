#ifndef PLATFORM_H
#define PLATFORM_H

/*
 * platform - read-only client of the platform's configuration service and its
 * list of live processes
 *
 * A table of function pointers allows other implementations than the HTTP
 * client. The HTTP client uses libcurl on the libuv loop and sends:
 *
 *	GET BASE/config			the document, its version as ETag
 *	GET BASE/config?after=VERSION	long poll: 200 and a document with a
 *					higher version, or 304 after at most
 *					PLATFORM_WATCH_MS
 *	GET BASE/live			lines "IP:PORT ZONE live|leaving"
 *
 * A response body is cut off one byte above CONFIG_MAX_BYTES, so that its
 * reader sees that it is too large. Each request has a time limit; TCP
 * keepalives detect dead connections. Redirects are not followed.
 */

#include "counters.h"
#include "config_sync.h"
#include <uv.h>

/* Time after which the service ends a long poll with 304. */
#define PLATFORM_WATCH_MS 30000

typedef struct platform platform_t;

/* Called with the result of a request; it is valid during this call only. */
typedef void (*platform_done_fn)(void *ctx, const platform_result_t *result);

typedef struct platform_ops {
	/* Reads the document; after > 0: waits for a version above after. At
	 * most one read may run at a time; a further one fails. */
	void (*read_config)(platform_t *p, uint64_t after,
			    platform_done_fn done, void *ctx);
	/* Reads the live list; at most one such read at a time. */
	void (*read_live_list)(platform_t *p, platform_done_fn done, void *ctx);
	/* Cancels all requests without calling done. The memory is freed when
	 * the loop has run the close callbacks. */
	void (*close)(platform_t *p);
} platform_ops_t;

/* First member of each implementation's structure. */
struct platform {
	const platform_ops_t *ops;
};

/*
 * Opens an HTTP client for the base URL. Returns NULL and the error on failure.
 * The caller keeps ownership of the counters, which must outlive the client.
 */
platform_t *platform_http_open(uv_loop_t *loop, const char *base,
			       counters_t *counters, err_t *err);

#endif
