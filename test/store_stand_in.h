#ifndef STORE_STAND_IN_H
#define STORE_STAND_IN_H

/*
 * store_stand_in - the platform's store on a loop, with faults
 *
 * Holds items under keys, answers pages and waiting watches. A fault holds
 * until another one is set.
 */

#include "endpoint.h"
#include <stdbool.h>
#include <uv.h>

typedef enum store_fault {
	STORE_OK,
	STORE_UNAVAILABLE,  /* 503 */
	STORE_RATE_LIMITED, /* 429 */
	STORE_RESET,	    /* connections are reset */
	STORE_NO_RESPONSE, /* takes connections and requests, answers nothing */
	STORE_BAD_JSON,	   /* 200 and no JSON */
	STORE_TRUNCATED,   /* half an answer, then the end */
} store_fault_t;

typedef struct fake_store fake_store_t;

fake_store_t *fake_store_open(uv_loop_t *loop, const endpoint_t *at);
void fake_store_close(fake_store_t *s);

void fake_store_put(fake_store_t *s, const char *key, const char *value);
void fake_store_delete(fake_store_t *s, const char *key);

/* Watches from before are answered with 410. */
void fake_store_compact(fake_store_t *s);

void fake_store_set_fault(fake_store_t *s, store_fault_t fault);

/* Connections that are open stay so, and nothing is answered on them. */
void fake_store_stall_connections(fake_store_t *s);

/* Items a page. */
void fake_store_set_page_size(fake_store_t *s, unsigned items);

unsigned fake_store_request_count(const fake_store_t *s);

#endif
