#ifndef STORE_STAND_IN_H
#define STORE_STAND_IN_H

/*
 * store_stand_in - in-process fake of the platform's store, with faults
 *
 * Listens on a loop, keeps items by key, and serves pages and watches. A fault
 * applies to all requests until another one is set. The store can be restored
 * from a copy, as in a drill of the platform: its revision goes back, numbers
 * are used again and the era rises. A failure to listen or to allocate memory
 * aborts the test program.
 */

#include "endpoint.h"
#include <stdbool.h>
#include <uv.h>

typedef enum store_fault {
	STORE_OK,
	STORE_UNAVAILABLE,  /* status 503 */
	STORE_RATE_LIMITED, /* status 429 */
	STORE_RESET,	    /* connections are reset */
	STORE_NO_RESPONSE,  /* requests are read, not answered */
	STORE_BAD_JSON,	    /* status 200, body is not JSON */
	STORE_TRUNCATED,    /* half a response, then close */
	STORE_TWICE,	    /* each response is sent again, some ms later */
} store_fault_t;

typedef struct fake_store fake_store_t;

/* Listens on the address; the kernel chooses the port, which is stored there.
 */
fake_store_t *fake_store_open(uv_loop_t *loop, endpoint_t *at);
void fake_store_close(fake_store_t *s);

void fake_store_put(fake_store_t *s, const char *key, const char *value);
void fake_store_delete(fake_store_t *s, const char *key);

/* Keeps a copy of all items and of the revision. */
void fake_store_copy(fake_store_t *s);

/*
 * Restores the copy and raises the era by one. With `cut`, connections are
 * reset; otherwise a watch in progress is answered in the new era.
 */
void fake_store_restore(fake_store_t *s, bool cut);

/* Sets the value of the header that publishes the era; NULL: no header. It
 * holds until the next restore. */
void fake_store_set_era_text(fake_store_t *s, const char *text);

/* Drops the history: watches from older revisions get status 410. */
void fake_store_compact(fake_store_t *s);

void fake_store_set_fault(fake_store_t *s, store_fault_t fault);

/* Sends responses at a pace, as over a small link; 0: at once. */
void fake_store_set_pace(fake_store_t *s, unsigned bytes_per_s);

/* Resets the open connections, in the middle of responses, too. */
void fake_store_cut(fake_store_t *s);

/* Keeps the open connections open, but no longer sends on them. */
void fake_store_stall_connections(fake_store_t *s);

/* Sets the maximum number of items in a page. */
void fake_store_set_page_size(fake_store_t *s, unsigned items);

/* Calls hook before the request of this number, 1 for the first, is answered.
 */
void fake_store_before_request(fake_store_t *s, unsigned number,
			       void (*hook)(void *ctx), void *ctx);

/* Number of requests received since the start. */
unsigned fake_store_request_count(const fake_store_t *s);

#endif
