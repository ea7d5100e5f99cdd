#include "flow_index.h"
#include <glib.h>
#include <stdlib.h>

struct flow_index {
	GHashTable *nodes; /* flow_key_t of the node -> node */
	list_t recent;
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
	flow_index_t *x = calloc(1, sizeof(*x));

	if (!x)
		return NULL;
	x->nodes = g_hash_table_new(hash_key, equal_keys);
	x->limit = limit;
	x->release = release;
	list_init(&x->recent);
	return x;
}

void flow_index_free(flow_index_t *x)
{
	if (!x)
		return;
	list_each_safe(node, after, &x->recent)
		flow_index_remove(x, list_entry(node, flow_node_t, recent));
	g_hash_table_destroy(x->nodes);
	free(x);
}

flow_node_t *flow_index_find(flow_index_t *x, const flow_key_t *key)
{
	return g_hash_table_lookup(x->nodes, key);
}

void flow_index_add(flow_index_t *x, flow_node_t *node, uint64_t now)
{
	if (flow_index_count(x) >= x->limit)
		flow_index_remove(
			x, list_entry(x->recent.next, flow_node_t, recent));
	node->last_ms = now;
	list_append(&x->recent, &node->recent);
	g_hash_table_insert(x->nodes, &node->key, node);
}

void flow_index_touch(flow_index_t *x, flow_node_t *node, uint64_t now)
{
	node->last_ms = now;
	list_remove(&node->recent);
	list_append(&x->recent, &node->recent);
}

void flow_index_remove(flow_index_t *x, flow_node_t *node)
{
	g_hash_table_remove(x->nodes, &node->key);
	list_remove(&node->recent);
	x->release(node);
}

void flow_index_expire(flow_index_t *x, uint64_t before)
{
	list_each_safe(node, after, &x->recent)
	{
		flow_node_t *f = list_entry(node, flow_node_t, recent);

		if (f->last_ms >= before)
			return;
		flow_index_remove(x, f);
	}
}

size_t flow_index_count(const flow_index_t *x)
{
	return g_hash_table_size(x->nodes);
}

list_t *flow_index_recent(flow_index_t *x)
{
	return &x->recent;
}
