#include "held_packets.h"
#include "list.h"
#include <stdlib.h>
#include <string.h>

typedef struct held_packet {
	list_t node; /* in held_packets.packets */
	uint64_t arrived_ms;
	uint32_t wait_ms;
	size_t len;
	uint8_t data[];
} held_packet_t;

struct held_packets {
	list_t packets; /* oldest first */
	size_t n;
	size_t max;
};

static void drop(held_packets_t *h, held_packet_t *p)
{
	list_remove(&p->node);
	h->n--;
	free(p);
}

held_packets_t *held_packets_new(size_t max)
{
	held_packets_t *h = calloc(1, sizeof(*h));

	if (!h)
		return NULL;
	list_init(&h->packets);
	h->max = max;
	return h;
}

void held_packets_free(held_packets_t *h)
{
	if (!h)
		return;
	list_each_safe(node, after, &h->packets)
		drop(h, list_entry(node, held_packet_t, node));
	free(h);
}

void held_packets_add(held_packets_t *h, uint64_t arrived_ms, uint32_t wait_ms,
		      const uint8_t *buf, size_t len)
{
	held_packet_t *p;

	if (!h->max)
		return;
	if (h->n == h->max)
		drop(h, list_entry(h->packets.next, held_packet_t, node));
	p = malloc(sizeof(*p) + len);
	if (!p)
		return;
	p->arrived_ms = arrived_ms;
	p->wait_ms = wait_ms;
	p->len = len;
	memcpy(p->data, buf, len);
	list_append(&h->packets, &p->node);
	h->n++;
}

size_t held_packets_count(const held_packets_t *h)
{
	return h->n;
}

size_t held_packets_take(held_packets_t *h, uint64_t now, uint8_t *buf,
			 size_t size, uint64_t *arrived_ms, uint32_t *wait_ms)
{
	list_each_safe(node, after, &h->packets)
	{
		held_packet_t *p = list_entry(node, held_packet_t, node);
		size_t len = p->len;
		bool usable =
			now <= p->arrived_ms + HELD_PACKET_MS && len <= size;

		*arrived_ms = p->arrived_ms;
		*wait_ms = p->wait_ms;
		if (usable)
			memcpy(buf, p->data, len);
		drop(h, p);
		if (usable)
			return len;
	}
	return 0;
}
