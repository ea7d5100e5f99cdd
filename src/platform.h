#ifndef PLATFORM_H
#define PLATFORM_H

/*
 * platform - the outside configuration service and live list, read only
 *
 * A table of function pointers, so that another service can stand behind it.
 * The HTTP one asks, through libcurl on the loop:
 *
 *	GET BASE/config			the document, its version as ETag
 *	GET BASE/config?after=VERSION	200 and a higher one, or 304 after
 *					at most PLATFORM_WATCH_MS
 *	GET BASE/live			lines "IP:PORT ZONE live|leaving"
 *
 * Bodies are bounded by CONFIG_MAX_BYTES; each call has a time limit, and a
 * silent connection is found dead by keepalives. Redirects are not followed.
 */

#include "counters.h"
#include "config_sync.h"
#include <uv.h>

#define PLATFORM_WATCH_MS 30000

typedef struct platform platform_t;

/* The result is valid during the call only. */
typedef void (*platform_done_fn)(void *ctx, const platform_result_t *result);

typedef struct platform_ops {
	/* Reads the document; after > 0 waits for a higher version. */
	void (*read)(platform_t *p, uint64_t after, platform_done_fn done,
		     void *ctx);
	void (*live)(platform_t *p, platform_done_fn done, void *ctx);
	/* Ends all calls without an answer; memory goes back when the loop
	 * has run. */
	void (*close)(platform_t *p);
} platform_ops_t;

/* What an implementation begins with. */
struct platform {
	const platform_ops_t *ops;
};

/* NULL and the error when it fails. The counters stay the caller's. */
platform_t *platform_http_open(uv_loop_t *loop, const char *base,
			       counters_t *counters, err_t *err);

#endif
