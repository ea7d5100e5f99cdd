#include "pending_opens.h"
#include <stdlib.h>
#include <string.h>

struct pending_opens {
	list_t order;  /* entries in use, by deadline */
	list_t unused; /* free entries, linked by `order` */
	list_t *buckets;
	size_t mask;  /* number of buckets less one */
	size_t count; /* entries in use */
	pending_open_t *entries;
};

pending_opens_t *pending_opens_new(size_t limit)
{
	pending_opens_t *p = calloc(1, sizeof(*p));
	size_t buckets = 1;

	if (!p)
		return NULL;
	while (buckets < limit)
		buckets *= 2;
	p->mask = buckets - 1;
	p->buckets = calloc(buckets, sizeof(*p->buckets));
	p->entries = calloc(limit, sizeof(*p->entries));
	if (!p->buckets || !p->entries) {
		pending_opens_free(p);
		return NULL;
	}
	list_init(&p->order);
	list_init(&p->unused);
	for (size_t i = 0; i < buckets; i++)
		list_init(&p->buckets[i]);
	for (size_t i = 0; i < limit; i++) {
		list_init(&p->entries[i].chain);
		list_append(&p->unused, &p->entries[i].order);
	}
	return p;
}

void pending_opens_free(pending_opens_t *p)
{
	if (!p)
		return;
	free(p->buckets);
	free(p->entries);
	free(p);
}

pending_open_t *pending_opens_find(pending_opens_t *p, const flow_key_t *key,
				   uint64_t hash)
{
	list_t *bucket = &p->buckets[hash & p->mask];

	list_each(node, bucket)
	{
		pending_open_t *open = list_entry(node, pending_open_t, chain);

		if (flow_key_equal(&open->key, key))
			return open;
	}
	return NULL;
}

pending_open_t *pending_opens_add(pending_opens_t *p, const flow_key_t *key,
				  uint64_t hash)
{
	pending_open_t *open = pending_opens_find(p, key, hash);

	if (open)
		return open;
	/* Full: the entry with the earliest deadline is dropped. */
	if (list_empty(&p->unused))
		pending_opens_remove(
			p, list_entry(p->order.next, pending_open_t, order));
	open = list_entry(p->unused.next, pending_open_t, order);
	list_remove(&open->order);
	list_append(&p->order, &open->order);
	list_append(&p->buckets[hash & p->mask], &open->chain);
	open->key = *key;
	open->hash = hash;
	open->ntried = 0;
	open->len = 0;
	p->count++;
	return open;
}

void pending_opens_remove(pending_opens_t *p, pending_open_t *open)
{
	list_remove(&open->order);
	list_remove(&open->chain);
	list_append(&p->unused, &open->order);
	p->count--;
}

void pending_opens_defer(pending_opens_t *p, pending_open_t *open,
			 uint64_t deadline)
{
	open->deadline = deadline;
	list_remove(&open->order);
	list_append(&p->order, &open->order);
}

pending_open_t *pending_opens_due(pending_opens_t *p, uint64_t now)
{
	pending_open_t *first;

	if (list_empty(&p->order))
		return NULL;
	first = list_entry(p->order.next, pending_open_t, order);
	return first->deadline <= now ? first : NULL;
}

size_t pending_opens_count(const pending_opens_t *p)
{
	return p->count;
}
