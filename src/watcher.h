#ifndef WATCHER_H
#define WATCHER_H

/*
 * watcher - keeps a copy of the platform's store current
 *
 * Lists all items page by page (a resync), then sends watch requests for
 * changes after the revision at which the listing began. When the store has
 * compacted that revision, or when its era has risen (store_revision.h), the
 * watcher lists all items again; an answer of a new era to a watch is not
 * applied, since the changes before it may be missing. An answer whose era is
 * lower than the known one comes from a store that has been replaced and counts
 * as a failed request. When the store is unreachable, the watcher retries with
 * exponential back-off. A watch waits only for a limited time, since a dead
 * connection might otherwise never be noticed.
 * Paths and formats are those of the platform's adapter (watcher_ops_t).
 */

#include "counters.h"
#include "endpoint.h"
#include "err.h"
#include "http_client.h"
#include "store_revision.h"
#include <stdbool.h>
#include <uv.h>

/* Time allowed beyond the wait time of a watch until its answer begins to
 * arrive; after that the connection counts as dead. A slow store takes some
 * hundred ms. How long an answer may arrive is up to http_client. */
#define WATCHER_ANSWER_MARGIN_MS 700
/* Time to reconnect and read the changes, some round trips. */
#define WATCHER_RECONNECT_MS 500
/* Shortest wait time of a watch; less would amount to polling. */
#define WATCHER_WAIT_MIN_MS 500
/* After changes, the next request is delayed by apply_ms divided by this, so
 * that bursts (releases, restarts) come in one answer. The rest of apply_ms
 * is left for a slow store or a retry. */
#define WATCHER_BATCH_DIVISOR 5
/* Time until a page begins to arrive; a slow store takes some hundred ms. */
#define WATCHER_PAGE_TIMEOUT_MS 1500
/* Largest page of the store, in bytes. */
#define WATCHER_PAGE_BYTES (1024 * 1024)
/* First and longest back-off; a retry waits 0.5 to 1.5 times as long, at
 * random. A process that has completed no listing yet can't serve and always
 * uses the first. */
#define WATCHER_BACKOFF_MS     120
#define WATCHER_BACKOFF_MAX_MS 700

typedef struct watcher watcher_t;

typedef enum watcher_result {
	WATCHER_OK,
	WATCHER_COMPACTED, /* the history is gone; list again */
	WATCHER_RETRY,	   /* refused, as by a busy store; retry later */
	WATCHER_MALFORMED, /* answer not understood, or not to this request */
} watcher_result_t;

/* Summary of an answer. */
typedef struct watcher_page {
	/* Of the store. The watcher sets the era before the items are applied,
	 * the adapter sets the number. */
	store_revision_t revision;
	bool has_more; /* another page follows this one */
	/* Of a listing: the key that the request named as the last one of the
	 * page before (empty: none), then the last one of this page. */
	char last_key[256];
	unsigned nitems;
} watcher_page_t;

typedef struct watcher_ops {
	/* Returns the path of the page after a key (NULL: the first page),
	 * to be freed with g_free(). */
	char *(*page_path)(void *ctx, const char *after_key);
	/* Returns the path of a watch for changes after a revision, to be
	 * freed with g_free(). */
	char *(*watch_path)(void *ctx, uint64_t revision, unsigned wait_ms);
	/* Reads the era of an answer; 0 when the store publishes none. Returns
	 * -1 with err set when it is malformed. */
	int (*read_era)(void *ctx, const http_response_t *answer, uint64_t *era,
			err_t *err);
	/* Parses an answer, applies its items and fills in page; on
	 * WATCHER_MALFORMED also err. */
	watcher_result_t (*apply)(void *ctx, const http_response_t *answer,
				  bool watch, watcher_page_t *page, err_t *err);
	/* Called when a resync begins, and when it has ended, with the
	 * revision at which it began. */
	void (*resync_begin)(void *ctx);
	void (*resync_end)(void *ctx, store_revision_t revision);
	/* Called when all that the store had written when it was asked, at
	 * asked_ms of the loop's time, has been applied. */
	void (*read)(void *ctx, uint64_t asked_ms);
	/* Called for each answer (yes) and each failed request (no). */
	void (*reachable)(void *ctx, bool yes);
} watcher_ops_t;

/*
 * Starts reading at once: with a watch for changes after `known`, or with a
 * listing when that is none. A dead connection is detected and replaced within
 * silence_ms; changes are read well within apply_ms. Returns NULL when out of
 * memory.
 */
watcher_t *watcher_new(uv_loop_t *loop, const endpoint_t *store,
		       uint32_t silence_ms, uint32_t apply_ms,
		       store_revision_t known, const watcher_ops_t *ops,
		       void *ctx, counters_t *counters);

/* Closes the watcher; the memory is freed by the loop's next iterations. */
void watcher_free(watcher_t *w);

/* True once all pages of a listing were read. */
bool watcher_synced(const watcher_t *w);

/* True when the last request was answered. */
bool watcher_reachable(const watcher_t *w);

/* True while a watch waits at the store for the next change. An answer that is
 * arriving no longer waits. */
bool watcher_waits(const watcher_t *w);

/*
 * Reads at once what the store has written, unless a request that it answers at
 * once is under way or the store does not answer. Not to be called by an
 * operation of watcher_ops_t.
 */
void watcher_read(watcher_t *w);

/* Revision of the store up to which changes were applied; none before the first
 * resync. */
store_revision_t watcher_revision(const watcher_t *w);

/* To be called when the host resumes from suspension: its connections may be
 * dead. Aborts the current request and sends another at once, unless an answer
 * has begun to arrive: a dead connection then shows within HTTP_GAP_MS. */
void watcher_resume(watcher_t *w);

#endif
