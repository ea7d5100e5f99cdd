#ifndef PENDING_OPENS_H
#define PENDING_OPENS_H

/*
 * pending_opens - opens offered to an agent and not yet answered
 *
 * Bounded; a full table forgets the oldest, whose caller then repeats its SYN
 * by itself. Entries are kept in the order of their deadlines.
 */

#include "list.h"
#include "packet.h"
#include <stddef.h>
#include <stdint.h>

/* Longest SYN kept to be offered elsewhere, in bytes. */
#define PENDING_PACKET_MAX 128
/* Members remembered as asked. */
#define PENDING_TRIED_MAX 8

typedef struct pending_open {
	list_t order; /* in order of deadline */
	list_t chain; /* same bucket */
	flow_key_t key;
	uint64_t hash;
	uint64_t service;
	uint64_t deadline;		   /* ms */
	uint32_t tried[PENDING_TRIED_MAX]; /* members offered to first */
	uint32_t ntried;
	uint32_t seq; /* of the SYN */
	uint16_t len; /* bytes of the packet, 0 when it may not be repeated */
	uint8_t packet[PENDING_PACKET_MAX];
} pending_open_t;

typedef struct pending_opens pending_opens_t;

pending_opens_t *pending_opens_new(size_t limit);
void pending_opens_free(pending_opens_t *p);

/* Adds or finds the entry of a flow; a new one has nasked 0. */
pending_open_t *pending_opens_add(pending_opens_t *p, const flow_key_t *key,
				  uint64_t hash);

pending_open_t *pending_opens_find(pending_opens_t *p, const flow_key_t *key,
				   uint64_t hash);

void pending_opens_remove(pending_opens_t *p, pending_open_t *open);

/* Puts the entry last in order with a new deadline. */
void pending_opens_defer(pending_opens_t *p, pending_open_t *open,
			 uint64_t deadline);

/* The first entry whose deadline has passed, or NULL. */
pending_open_t *pending_opens_due(pending_opens_t *p, uint64_t now);

size_t pending_opens_count(const pending_opens_t *p);

#endif
