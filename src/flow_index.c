#include "flow_index.h"
#include <glib.h>
#include <stdlib.h>

struct flow_index {
	GHashTable *nodes; /* &flow_node_t.key -> flow_node_t */
	list_t lru;
	size_t limit;
	void (*release)(flow_node_t *node);
};

static guint hash_key(gconstpointer key);
static gboolean equal_keys(gconstpointer a, gconstpointer b);

static guint hash_key(gconstpointer key)
{
	return (guint)flow_key_hash(key, 0);
}

static gboolean equal_keys(gconstpointer a, gconstpointer b)
{
	return flow_key_equal(a, b);
}

flow_index_t *flow_index_new(size_t limit, void (*release)(flow_node_t *node))
{
	flow_index_t *idx = calloc(1, sizeof(*idx));

	if (!idx)
		return NULL;
	idx->nodes = g_hash_table_new(hash_key, equal_keys);
	idx->limit = limit;
	idx->release = release;
	list_init(&idx->lru);
	return idx;
}

void flow_index_free(flow_index_t *idx)
{
	if (!idx)
		return;
	list_each_safe(node, after, &idx->lru)
		flow_index_remove(idx, list_entry(node, flow_node_t, lru));
	g_hash_table_destroy(idx->nodes);
	free(idx);
}

flow_node_t *flow_index_find(flow_index_t *idx, const flow_key_t *key)
{
	return g_hash_table_lookup(idx->nodes, key);
}

void flow_index_add(flow_index_t *idx, flow_node_t *node, uint64_t now)
{
	if (flow_index_count(idx) >= idx->limit)
		flow_index_remove(idx,
				  list_entry(idx->lru.next, flow_node_t, lru));
	node->added_ms = now;
	node->last_used_ms = now;
	list_append(&idx->lru, &node->lru);
	g_hash_table_insert(idx->nodes, &node->key, node);
}

void flow_index_touch(flow_index_t *idx, flow_node_t *node, uint64_t now)
{
	node->last_used_ms = now;
	list_remove(&node->lru);
	list_append(&idx->lru, &node->lru);
}

void flow_index_remove(flow_index_t *idx, flow_node_t *node)
{
	g_hash_table_remove(idx->nodes, &node->key);
	list_remove(&node->lru);
	idx->release(node);
}

void flow_index_expire(flow_index_t *idx, uint64_t before_ms)
{
	list_each_safe(node, after, &idx->lru)
	{
		flow_node_t *f = list_entry(node, flow_node_t, lru);

		if (f->last_used_ms >= before_ms)
			return;
		flow_index_remove(idx, f);
	}
}

size_t flow_index_count(const flow_index_t *idx)
{
	return g_hash_table_size(idx->nodes);
}

list_t *flow_index_lru(flow_index_t *idx)
{
	return &idx->lru;
}
