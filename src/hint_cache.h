#ifndef HINT_CACHE_H
#define HINT_CACHE_H

/*
 * hint_cache - bounded cache of the agents that hold flows
 *
 * An entry is a hint: a wrong or evicted one costs further hops, never a
 * flow. Entries are found by the flow's hash. A full bucket evicts its least
 * recently used entry.
 */

#include "endpoint.h"
#include <stddef.h>
#include <stdint.h>

typedef struct hint_cache hint_cache_t;

/*
 * Allocates a cache for `hints` entries, rounded up to a power of two.
 * Returns NULL without memory.
 */
hint_cache_t *hint_cache_new(size_t hints);
void hint_cache_free(hint_cache_t *c);

/* Sets the agent of a flow; may evict another entry. */
void hint_cache_put(hint_cache_t *c, uint64_t hash, const endpoint_t *agent);

/* Prefetches the bucket of a flow that is looked up soon. */
void hint_cache_prefetch(hint_cache_t *c, uint64_t hash);

/* Returns 1 and sets the agent, or returns 0 when there is no entry. */
int hint_cache_get(hint_cache_t *c, uint64_t hash, endpoint_t *agent);

/* Removes the entry of a flow, if there is one. */
void hint_cache_drop(hint_cache_t *c, uint64_t hash);

#endif
