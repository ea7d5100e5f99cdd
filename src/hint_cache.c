#include "hint_cache.h"
#include <stdlib.h>
#include <string.h>

/* Entries per bucket; a bucket fills one cache line. */
#define WAYS	   4
#define CACHE_LINE 64 /* bytes */

typedef struct hint {
	uint64_t hash; /* tag, 0: unused */
	uint32_t ip;
	uint16_t port;
	uint16_t last_used; /* clock_tick() of the last use */
} hint_t;

struct hint_cache {
	hint_t *hints;
	size_t mask;	/* number of buckets less one */
	uint32_t clock; /* number of uses */
};

static uint64_t tag_of(uint64_t hash);
static hint_t *bucket_of(hint_cache_t *c, uint64_t hash);
static uint16_t clock_tick(hint_cache_t *c);
static hint_t *select_entry(hint_t *bucket, uint64_t hash, uint16_t now);

hint_cache_t *hint_cache_new(size_t hints)
{
	hint_cache_t *c = calloc(1, sizeof(*c));
	size_t buckets = 1;
	size_t bytes;

	if (!c)
		return NULL;
	while (buckets * WAYS < hints)
		buckets *= 2;
	c->mask = buckets - 1;
	bytes = buckets * WAYS * sizeof(*c->hints);
	c->hints = aligned_alloc(CACHE_LINE, bytes);
	if (!c->hints) {
		free(c);
		return NULL;
	}
	memset(c->hints, 0, bytes);
	return c;
}

void hint_cache_free(hint_cache_t *c)
{
	if (!c)
		return;
	free(c->hints);
	free(c);
}

/* Tag of a hash. Tag 0 marks unused entries, so hash 0 has tag 1. */
static uint64_t tag_of(uint64_t hash)
{
	return hash ? hash : 1;
}

static hint_t *bucket_of(hint_cache_t *c, uint64_t hash)
{
	return &c->hints[(hash & c->mask) * WAYS];
}

/* Coarse time: advances after as many uses as there are buckets. */
static uint16_t clock_tick(hint_cache_t *c)
{
	return (uint16_t)(c->clock++ / (c->mask + 1));
}

/* The entry of the hash, else an unused one, else the least recently used. */
static hint_t *select_entry(hint_t *bucket, uint64_t hash, uint16_t now)
{
	hint_t *best = &bucket[0];

	for (int i = 0; i < WAYS; i++) {
		hint_t *h = &bucket[i];

		if (h->hash == hash)
			return h;
		if (!best->hash)
			continue;
		if (!h->hash || (uint16_t)(now - h->last_used) >
					(uint16_t)(now - best->last_used))
			best = h;
	}
	return best;
}

void hint_cache_put(hint_cache_t *c, uint64_t hash, const endpoint_t *agent)
{
	hint_t *h;

	hash = tag_of(hash);
	h = select_entry(bucket_of(c, hash), hash, clock_tick(c));
	h->hash = hash;
	h->ip = agent->ip;
	h->port = agent->port;
	h->last_used = clock_tick(c);
}

void hint_cache_prefetch(hint_cache_t *c, uint64_t hash)
{
	__builtin_prefetch(bucket_of(c, tag_of(hash)), 1);
}

int hint_cache_get(hint_cache_t *c, uint64_t hash, endpoint_t *agent)
{
	hint_t *bucket;

	hash = tag_of(hash);
	bucket = bucket_of(c, hash);
	for (int i = 0; i < WAYS; i++) {
		if (bucket[i].hash != hash)
			continue;
		bucket[i].last_used = clock_tick(c);
		agent->ip = bucket[i].ip;
		agent->port = bucket[i].port;
		return 1;
	}
	return 0;
}

void hint_cache_drop(hint_cache_t *c, uint64_t hash)
{
	hint_t *bucket;

	hash = tag_of(hash);
	bucket = bucket_of(c, hash);
	for (int i = 0; i < WAYS; i++)
		if (bucket[i].hash == hash)
			bucket[i].hash = 0;
}
