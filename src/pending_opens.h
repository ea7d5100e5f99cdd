#ifndef PENDING_OPENS_H
#define PENDING_OPENS_H

/*
 * pending_opens - opens that were offered to an agent and not answered yet
 *
 * The table has a fixed size. A full table drops the entry with the earliest
 * deadline; that caller's own SYN retransmission is then a new open. Entries
 * are kept in the order of their deadlines.
 */

#include "list.h"
#include "packet.h"
#include <stddef.h>
#include <stdint.h>

/* Longest SYN that is kept for a retry, in bytes. */
#define PENDING_PACKET_MAX 128
/* Most members that one open is offered to. */
#define PENDING_TRIED_MAX 8

typedef struct pending_open {
	list_t order; /* node of the list in order of deadline */
	list_t chain; /* node of the hash bucket */
	flow_key_t key;
	uint64_t hash;
	uint64_t service;		   /* service id */
	uint64_t deadline;		   /* ms */
	uint32_t tried[PENDING_TRIED_MAX]; /* target ids it was offered to */
	uint32_t ntried;
	uint32_t seq; /* sequence number of the SYN */
	uint16_t len; /* bytes of the packet, 0: it must not be retried */
	uint8_t packet[PENDING_PACKET_MAX];
} pending_open_t;

typedef struct pending_opens pending_opens_t;

/* Allocates a table of `limit` entries. Returns NULL without memory. */
pending_opens_t *pending_opens_new(size_t limit);
void pending_opens_free(pending_opens_t *p);

/*
 * Finds the entry of a flow or adds one with ntried 0. The entry is owned by
 * the table and valid until it is removed or dropped.
 */
pending_open_t *pending_opens_add(pending_opens_t *p, const flow_key_t *key,
				  uint64_t hash);

/* Returns the entry of a flow, or NULL. */
pending_open_t *pending_opens_find(pending_opens_t *p, const flow_key_t *key,
				   uint64_t hash);

void pending_opens_remove(pending_opens_t *p, pending_open_t *open);

/* Sets a deadline (ms) that is no earlier than those of other entries. */
void pending_opens_defer(pending_opens_t *p, pending_open_t *open,
			 uint64_t deadline);

/* Returns the entry with the earliest deadline if that has passed, or NULL. */
pending_open_t *pending_opens_due(pending_opens_t *p, uint64_t now);

size_t pending_opens_count(const pending_opens_t *p);

#endif
