#ifndef EARLY_OPENS_H
#define EARLY_OPENS_H

/*
 * early_opens - opens that arrive before the routes are known
 *
 * Load pattern: balancers start again after a power loss and callers open
 * flows, while the store or a peer is still being asked for the routes. A
 * caller repeats an open after 200 and 600 ms only.
 *
 * Opens are kept until the routes are known, for as long as their callers wait.
 * Other packets are not: their flows would all be looked up at the same moment,
 * which took the agents the time to answer opens.
 *
 * No I/O and no clock; times are milliseconds of a monotonic clock.
 */

#include "packet.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Longest time that an open is kept: callers give up 1400 ms after its first
 * copy. */
#define EARLY_OPEN_MS 1300

/* Greatest length of an open, in bytes; longer ones are not kept. */
#define EARLY_OPEN_SIZE 64

typedef struct early_opens early_opens_t;

/* Keeps up to max opens. Returns NULL when out of memory; freed by
 * early_opens_free(), which accepts NULL. */
early_opens_t *early_opens_new(size_t max);
void early_opens_free(early_opens_t *e);

/* Keeps a copy of an open in place of the flow's earlier one. With max opens
 * kept, the oldest is dropped. */
void early_opens_add(early_opens_t *e, uint64_t now, const flow_key_t *key,
		     const uint8_t *buf, size_t len);

/* True when none is kept. */
bool early_opens_empty(const early_opens_t *e);

/*
 * Removes the oldest open that has not been kept for too long and copies it to
 * buf, which has EARLY_OPEN_SIZE bytes; *waited_ms is how long it was kept.
 * Returns its length in bytes, 0 when none is left.
 */
size_t early_opens_take(early_opens_t *e, uint64_t now, uint8_t *buf,
			uint64_t *waited_ms);

#endif
