#include "flow_table.h"
#include <stdlib.h>

#define BUCKETS_MIN 256 /* a power of two */

struct flow_table {
	list_t *buckets;
	size_t mask; /* number of buckets less one */
	size_t count;
	size_t limit;	  /* greatest number of flows */
	list_t tcp;	  /* in order of the last packet */
	list_t udp;	  /* in order of the last packet */
	list_t transient; /* in a transient state */
};

static int grow(flow_table_t *t);
static void rehash(list_t *flows, list_t *buckets, size_t mask);

flow_table_t *flow_table_new(size_t limit)
{
	flow_table_t *t = calloc(1, sizeof(*t));

	if (!t)
		return NULL;
	t->limit = limit;
	list_init(&t->tcp);
	list_init(&t->udp);
	list_init(&t->transient);
	t->buckets = calloc(BUCKETS_MIN, sizeof(*t->buckets));
	if (!t->buckets) {
		free(t);
		return NULL;
	}
	t->mask = BUCKETS_MIN - 1;
	for (size_t i = 0; i < BUCKETS_MIN; i++)
		list_init(&t->buckets[i]);
	return t;
}

void flow_drop_buffered(flow_t *f)
{
	list_each_safe(node, after, &f->buffered)
	{
		buffered_packet_t *k =
			list_entry(node, buffered_packet_t, node);

		list_remove(node);
		free(k);
	}
	f->nbuffered = 0;
}

void flow_table_free(flow_table_t *t)
{
	if (!t)
		return;
	list_each_safe(node, after, &t->tcp)
		flow_table_remove(t, list_entry(node, flow_t, recent));
	list_each_safe(node, after, &t->udp)
		flow_table_remove(t, list_entry(node, flow_t, recent));
	free(t->buckets);
	free(t);
}

flow_t *flow_table_find(flow_table_t *t, const flow_key_t *key, uint64_t hash)
{
	list_t *bucket = &t->buckets[hash & t->mask];

	list_each(node, bucket)
	{
		flow_t *f = list_entry(node, flow_t, chain);

		if (f->hash == hash && flow_key_equal(&f->key, key))
			return f;
	}
	return NULL;
}

/* Moves flows to new buckets. */
static void rehash(list_t *flows, list_t *buckets, size_t mask)
{
	list_each(node, flows)
	{
		flow_t *f = list_entry(node, flow_t, recent);

		list_remove(&f->chain);
		list_append(&buckets[f->hash & mask], &f->chain);
	}
}

/* Doubles the number of buckets. Returns 0 or -1. */
static int grow(flow_table_t *t)
{
	size_t n = (t->mask + 1) * 2;
	list_t *buckets = calloc(n, sizeof(*buckets));

	if (!buckets)
		return -1;
	for (size_t i = 0; i < n; i++)
		list_init(&buckets[i]);
	rehash(&t->tcp, buckets, n - 1);
	rehash(&t->udp, buckets, n - 1);
	free(t->buckets);
	t->buckets = buckets;
	t->mask = n - 1;
	return 0;
}

flow_t *flow_table_add(flow_table_t *t, const flow_key_t *key, uint64_t hash,
		       uint64_t now)
{
	flow_t *f;

	if (t->count >= t->limit)
		return NULL;
	if (t->count > t->mask && grow(t) < 0)
		return NULL;
	f = calloc(1, sizeof(*f));
	if (!f)
		return NULL;
	f->key = *key;
	f->hash = hash;
	f->last_ms = now;
	f->state_ms = now;
	f->caller_last_ms = now;
	list_init(&f->transient);
	list_init(&f->witness_node);
	list_init(&f->buffered);
	list_init(&f->slot_wait);
	list_append(&t->buckets[hash & t->mask], &f->chain);
	list_append(flow_table_recent(t, key->proto), &f->recent);
	t->count++;
	return f;
}

void flow_table_remove(flow_table_t *t, flow_t *f)
{
	flow_drop_buffered(f);
	list_remove(&f->chain);
	list_remove(&f->recent);
	list_remove(&f->transient);
	list_remove(&f->witness_node);
	free(f);
	t->count--;
}

void flow_table_touch(flow_table_t *t, flow_t *f, uint64_t now)
{
	f->last_ms = now;
	list_remove(&f->recent);
	list_append(flow_table_recent(t, f->key.proto), &f->recent);
}

size_t flow_table_count(const flow_table_t *t)
{
	return t->count;
}

list_t *flow_table_recent(flow_table_t *t, uint8_t proto)
{
	return proto == PROTO_UDP ? &t->udp : &t->tcp;
}

list_t *flow_table_transient(flow_table_t *t)
{
	return &t->transient;
}

void flow_table_set_transient(flow_table_t *t, flow_t *f, bool transient)
{
	list_remove(&f->transient);
	if (transient)
		list_append(&t->transient, &f->transient);
}

const char *flow_state_name(flow_state_t state)
{
	static const char *const names[FLOW_STATES] = {
		"trial",       "denied",  "opening", "half",
		"established", "closing", "lost",
	};

	return state < FLOW_STATES ? names[state] : "unknown";
}
