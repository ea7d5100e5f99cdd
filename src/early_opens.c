#include "early_opens.h"
#include <stdlib.h>
#include <string.h>

typedef struct early_open {
	flow_key_t key;
	uint64_t since_ms;
	size_t len;
	uint8_t data[EARLY_OPEN_SIZE];
} early_open_t;

struct early_opens {
	size_t n;
	size_t max;
	early_open_t opens[]; /* max of them, the n first used, oldest first */
};

static void drop(early_opens_t *e, size_t at)
{
	e->n--;
	memmove(&e->opens[at], &e->opens[at + 1],
		(e->n - at) * sizeof(e->opens[0]));
}

early_opens_t *early_opens_new(size_t max)
{
	early_opens_t *e = calloc(1, sizeof(*e) + max * sizeof(e->opens[0]));

	if (e)
		e->max = max;
	return e;
}

void early_opens_free(early_opens_t *e)
{
	free(e);
}

void early_opens_add(early_opens_t *e, uint64_t now, const flow_key_t *key,
		     const uint8_t *buf, size_t len)
{
	early_open_t *o;

	if (len > EARLY_OPEN_SIZE || !e->max)
		return;
	for (size_t i = 0; i < e->n; i++)
		if (flow_key_equal(&e->opens[i].key, key)) {
			drop(e, i);
			break;
		}
	if (e->n == e->max)
		drop(e, 0);
	o = &e->opens[e->n++];
	o->key = *key;
	o->since_ms = now;
	o->len = len;
	memcpy(o->data, buf, len);
}

bool early_opens_empty(const early_opens_t *e)
{
	return e->n == 0;
}

size_t early_opens_take(early_opens_t *e, uint64_t now, uint8_t *buf,
			uint64_t *waited_ms)
{
	while (e->n) {
		size_t len = e->opens[0].len;

		*waited_ms = now - e->opens[0].since_ms;
		if (*waited_ms <= EARLY_OPEN_MS)
			memcpy(buf, e->opens[0].data, len);
		drop(e, 0);
		if (*waited_ms <= EARLY_OPEN_MS)
			return len;
	}
	return 0;
}
