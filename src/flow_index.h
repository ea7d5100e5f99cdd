#ifndef FLOW_INDEX_H
#define FLOW_INDEX_H

/*
 * flow_index - flows by key, and in the order of their last use
 *
 * The node stands inside the caller's structure, which must begin with it.
 * The index owns its nodes and frees them with the function given.
 */

#include "list.h"
#include "packet.h"
#include <stddef.h>
#include <stdint.h>

typedef struct flow_index flow_index_t;

typedef struct flow_node {
	flow_key_t key;
	list_t lru;	       /* in the index, least recently used first */
	uint64_t last_used_ms; /* last use */
} flow_node_t;

/* NULL without memory. */
flow_index_t *flow_index_new(size_t limit, void (*release)(flow_node_t *node));
void flow_index_free(flow_index_t *idx);

flow_node_t *flow_index_find(flow_index_t *idx, const flow_key_t *key);

/* Takes the node over; the least recently used one goes when it is full. */
void flow_index_add(flow_index_t *idx, flow_node_t *node, uint64_t now);
void flow_index_touch(flow_index_t *idx, flow_node_t *node, uint64_t now);
void flow_index_remove(flow_index_t *idx, flow_node_t *node);

/* Removes nodes that were not used since `before`. */
void flow_index_expire(flow_index_t *idx, uint64_t before_ms);

size_t flow_index_count(const flow_index_t *idx);

/* Head of the list of nodes by `recent`. */
list_t *flow_index_lru(flow_index_t *idx);

#endif
