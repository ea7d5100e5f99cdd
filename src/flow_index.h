#ifndef FLOW_INDEX_H
#define FLOW_INDEX_H

/*
 * flow_index - flows by key and in the order of their last use
 *
 * A flow_node_t must be the first member of the caller's structure. The index
 * owns its nodes and frees them with the release function.
 */

#include "list.h"
#include "packet.h"
#include <stddef.h>
#include <stdint.h>

typedef struct flow_index flow_index_t;

typedef struct flow_node {
	flow_key_t key;
	list_t lru;	   /* position in the list of last use */
	uint64_t added_ms; /* see flow_index_add() */
	uint64_t last_used_ms;
} flow_node_t;

/* `limit` is the greatest number of nodes. Returns NULL when out of memory. */
flow_index_t *flow_index_new(size_t limit, void (*release)(flow_node_t *node));
void flow_index_free(flow_index_t *idx);

flow_node_t *flow_index_find(flow_index_t *idx, const flow_key_t *key);

/* Adds a node and takes ownership. When the index is full, the least
 * recently used node is removed first. */
void flow_index_add(flow_index_t *idx, flow_node_t *node, uint64_t now);
void flow_index_touch(flow_index_t *idx, flow_node_t *node, uint64_t now);
void flow_index_remove(flow_index_t *idx, flow_node_t *node);

/* Removes the nodes that were last used before `before_ms`. */
void flow_index_expire(flow_index_t *idx, uint64_t before_ms);

size_t flow_index_count(const flow_index_t *idx);

/* Head of the list of nodes, linked by `lru`, least recently used first. */
list_t *flow_index_lru(flow_index_t *idx);

#endif
