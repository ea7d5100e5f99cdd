#ifndef HINT_CACHE_H
#define HINT_CACHE_H

/*
 * hint_cache - where flows were last seen, bounded and forgetful
 *
 * An entry is a hint only: a wrong or lost one costs hops, never a flow.
 * Entries are found by the flow's hash; a full bucket forgets the entry used
 * least lately.
 */

#include "endpoint.h"
#include <stddef.h>
#include <stdint.h>

typedef struct hint_cache hint_cache_t;

/* Rounds the number of hints up to a power of two. NULL: no memory. */
hint_cache_t *hint_cache_new(size_t hints);
void hint_cache_free(hint_cache_t *c);

void hint_cache_put(hint_cache_t *c, uint64_t hash, const endpoint_t *agent);

/* The flow will be looked up soon: has its entry read from memory. */
void hint_cache_prefetch(hint_cache_t *c, uint64_t hash);

/* Returns 1 and the agent, or 0. */
int hint_cache_get(hint_cache_t *c, uint64_t hash, endpoint_t *agent);

void hint_cache_drop(hint_cache_t *c, uint64_t hash);

#endif
