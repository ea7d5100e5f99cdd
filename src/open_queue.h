#ifndef OPEN_QUEUE_H
#define OPEN_QUEUE_H

/*
 * open_queue - opens that wait at an agent until its server has room
 *
 * Load pattern: for a while more is asked for than the servers can answer in
 * time, as when power returns and all callers come back, in a release, or in a
 * burst. Refused callers come back at once and would have used all their
 * attempts before the first slot is free.
 *
 * An open that can still be answered within its objective is served first, the
 * newest first, since it has the most time left. One that can't any more is
 * served when a slot is free and no other open waits, the one with the least
 * time left first. Priority goes before age in both.
 *
 * The number of opens that wait although they will be late follows what became
 * of those before: it grows with each one that was served and shrinks with each
 * one that waited in vain. When a backlog drains they are served from what is
 * left over; under a standing overload they are refused as soon as they are
 * late.
 *
 * No I/O and no clock; times are milliseconds of a monotonic clock. The caller
 * owns the entries.
 */

#include "list.h"
#include <stdbool.h>
#include <stdint.h>

/* Greatest time in which the opens of a full queue can be served, in ms: the
 * time for which a caller waits for the answer to an open is 1400 ms. */
#define OPEN_QUEUE_MS 1000

typedef struct open_queue {
	list_t waiting;	     /* of open_wait_t, oldest first */
	unsigned n;	     /* entries in waiting */
	double late_limit;   /* greatest number of late opens */
	double max;	     /* greatest n, and upper bound of late_limit */
	uint64_t reduced_ms; /* last reduction of late_limit */
} open_queue_t;

typedef struct open_wait {
	list_t node;
	open_queue_t *queue; /* NULL: it does not wait */
	uint64_t since_ms;   /* when it was added */
	uint64_t give_up_ms; /* when the caller must be told */
	/* From then on it can't be answered within its objective; UINT64_MAX:
	 * it has none. */
	uint64_t late_ms;
	/* Longest expected response, from since_ms on, at which it is served
	 * without a free slot; 0: no limit. */
	uint32_t max_wait_ms;
	uint32_t priority; /* higher is served first */
} open_wait_t;

void open_queue_init(open_queue_t *q);

/*
 * Sets the number of opens that the server can serve in OPEN_QUEUE_MS, from its
 * slots (0: unknown) and service time in ms (0: unknown).
 */
void open_queue_set_rate(open_queue_t *q, uint32_t slots, double service_ms);

/* Returns false, without adding it, when the queue is full. */
bool open_queue_add(open_queue_t *q, open_wait_t *w);

/* Removes an entry that waits; without effect on another one. */
void open_wait_cancel(open_wait_t *w);

/*
 * Removes and returns the next open to serve, or NULL. response_ms is the
 * server's expected response time for one more request, slot_free whether it
 * would run at once; a late open is served only then.
 */
open_wait_t *open_queue_next(open_queue_t *q, uint64_t now, double response_ms,
			     bool slot_free);

/* Removes and returns an open to refuse, or NULL: one that has waited in vain,
 * or one late open too many, of the lowest priority and the least time left. */
open_wait_t *open_queue_expired(open_queue_t *q, uint64_t now);

/* Removes and returns any open, or NULL: the server or the agent ends. */
open_wait_t *open_queue_pop(open_queue_t *q);

#endif
