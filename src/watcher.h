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
#define FEED_SPARE_MS 700
/* Reconnecting and reading then takes some round trips. */
#define FEED_AGAIN_MS 500
/* A shorter wait would be a poll. */
#define FEED_WAIT_MIN_MS 500
/* Changes come in bursts (releases, restarts): the next call gathers them for
 * this part of the time within which a change has to be in force. The rest is
 * for a store that answers late or is asked again. */
#define FEED_GATHER_PART 5
/* A page or a refusal; a slow store takes some hundred ms. */
#define FEED_READ_MS 1500
/* Pauses between tries: the first and the longest. A process that has read
 * nothing yet is of no use and tries again after the first. */
#define FEED_PAUSE_MS	  120
#define FEED_PAUSE_MAX_MS 700

typedef struct feed feed_t;

typedef enum feed_verdict {
	FEED_OK,
	FEED_HISTORY_GONE, /* read all again */
	FEED_BUSY,	   /* try again later */
	FEED_BAD,	   /* not understood */
} feed_verdict_t;

/* What an answer said about the store. */
typedef struct feed_page {
	uint64_t revision; /* of the store */
	bool more;	   /* another page follows */
	char last_key[256];
	unsigned items;
} feed_page_t;

typedef struct feed_ops {
	/* Path of a page behind a key (NULL: the first); freed by g_free(). */
	char *(*read_path)(void *ctx, const char *after_key);
	/* Path that waits for changes after a revision. */
	char *(*watch_path)(void *ctx, uint64_t revision, unsigned wait_ms);
	/* Applies the items of an answer. */
	feed_verdict_t (*apply)(void *ctx, int status, const char *body,
				size_t len, bool watch, feed_page_t *page,
				err_t *err);
	/* A reading begins, or has come to its end. */
	void (*begin)(void *ctx);
	void (*end)(void *ctx, uint64_t revision);
	/* Whether the store answers. */
	void (*reachable)(void *ctx, bool yes);
} feed_ops_t;

/*
 * NULL without memory. Begins at once. A connection that went silent is
 * noticed and replaced within silence_ms, and changes are read well within
 * apply_ms.
 */
feed_t *feed_new(uv_loop_t *loop, const endpoint_t *store, uint32_t silence_ms,
		 uint32_t apply_ms, const feed_ops_t *ops, void *ctx,
		 counters_t *counters);

/* Memory goes back when the loop has run. */
void feed_free(feed_t *f);

/* True once all pages were read. */
bool feed_loaded(const feed_t *f);

/* True while the last call was answered. */
bool feed_reachable(const feed_t *f);

/* Revision of the store up to which all was read; 0 before the first. */
uint64_t feed_revision(const feed_t *f);

/* The host has slept: what waits may wait for nothing. Asks again at once. */
void feed_wake(feed_t *f);

#endif
