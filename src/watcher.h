#ifndef WATCHER_H
#define WATCHER_H

/*
 * watcher - keeps a part of a platform's store read: pages first, then a watch
 *
 * Reads all pages, then waits for changes from the revision at which the
 * reading began. When the history is gone it reads again; when the store
 * can't be reached it tries again after a pause that grows. A watch waits for
 * a short time only, since a connection may go silent without an end. What
 * paths and answers look like is a table of function pointers.
 */

#include "counters.h"
#include "endpoint.h"
#include "err.h"
#include <stdbool.h>
#include <uv.h>

/* A watch that is not answered this long after the time it was told to wait
 * for has a dead connection: a slow store takes some hundred ms. */
#define WATCHER_ANSWER_MARGIN_MS 700
/* Reconnecting and reading then takes some round trips. */
#define WATCHER_RECONNECT_MS 500
/* A shorter wait would be a poll. */
#define WATCHER_WAIT_MIN_MS 500
/* Changes come in bursts (releases, restarts): the next call gathers them for
 * this part of the time within which a change has to be in force. The rest is
 * for a store that answers late or is asked again. */
#define WATCHER_BATCH_DIVISOR 5
/* A page or a refusal; a slow store takes some hundred ms. */
#define WATCHER_PAGE_TIMEOUT_MS 1500
/* Pauses between tries: the first and the longest. A process that has read
 * nothing yet is of no use and tries again after the first. */
#define WATCHER_BACKOFF_MS     120
#define WATCHER_BACKOFF_MAX_MS 700

typedef struct watcher watcher_t;

typedef enum watcher_result {
	WATCHER_OK,
	WATCHER_COMPACTED, /* read all again */
	WATCHER_RETRY,	   /* try again later */
	WATCHER_MALFORMED, /* not understood */
} watcher_result_t;

/* What an answer said about the store. */
typedef struct watcher_page {
	uint64_t revision; /* of the store */
	bool has_more;	   /* another page follows */
	char last_key[256];
	unsigned nitems;
} watcher_page_t;

typedef struct watcher_ops {
	/* Path of a page behind a key (NULL: the first); freed by g_free(). */
	char *(*page_path)(void *ctx, const char *after_key);
	/* Path that waits for changes after a revision. */
	char *(*watch_path)(void *ctx, uint64_t revision, unsigned wait_ms);
	/* Applies the items of an answer. */
	watcher_result_t (*apply)(void *ctx, int status, const char *body,
				  size_t len, bool watch, watcher_page_t *page,
				  err_t *err);
	/* A reading begins, or has come to its end. */
	void (*resync_begin)(void *ctx);
	void (*resync_end)(void *ctx, uint64_t revision);
	/* Whether the store answers. */
	void (*reachable)(void *ctx, bool yes);
} watcher_ops_t;

/*
 * NULL without memory. Begins at once. A connection that went silent is
 * noticed and replaced within silence_ms, and changes are read well within
 * apply_ms.
 */
watcher_t *watcher_new(uv_loop_t *loop, const endpoint_t *store,
		       uint32_t silence_ms, uint32_t apply_ms,
		       const watcher_ops_t *ops, void *ctx,
		       counters_t *counters);

/* Memory goes back when the loop has run. */
void watcher_free(watcher_t *w);

/* True once all pages were read. */
bool watcher_synced(const watcher_t *w);

/* True while the last call was answered. */
bool watcher_reachable(const watcher_t *w);

/* Revision of the store up to which all was read; 0 before the first. */
uint64_t watcher_revision(const watcher_t *w);

/* The host has slept: what waits may wait for nothing. Asks again at once. */
void watcher_resume(watcher_t *w);

#endif
