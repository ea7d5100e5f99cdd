#ifndef HELD_PACKETS_H
#define HELD_PACKETS_H

/*
 * held_packets - packets whose route a balancer does not know yet
 *
 * Load pattern: configurations come in quick succession while callers use each
 * new route at once. Their packets reach balancers that are up to a second
 * behind. Most are few and wait for one answer of the store; a flood of packets
 * to addresses without a route must not use up memory.
 *
 * No I/O and no clock; times are milliseconds of a monotonic clock.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Longest time that a packet is held: callers of an open give up after 1400 ms,
 * others have sent the packet again by then. */
#define HELD_PACKET_MS 1300

typedef struct held_packets held_packets_t;

/* Keeps up to max packets. Returns NULL when out of memory; freed by
 * held_packets_free(), which accepts NULL. */
held_packets_t *held_packets_new(size_t max);
void held_packets_free(held_packets_t *h);

/* Keeps a copy of a packet that was read at a time, after it had waited in a
 * socket for wait_ms. With max packets kept, the oldest is dropped. */
void held_packets_add(held_packets_t *h, uint64_t arrived_ms, uint32_t wait_ms,
		      const uint8_t *buf, size_t len);

size_t held_packets_count(const held_packets_t *h);

/*
 * Removes the oldest packet and copies it to buf, which has room for size
 * bytes. Packets that are longer, or were held for more than HELD_PACKET_MS,
 * are dropped. Returns its length in bytes, 0 when none is left.
 */
size_t held_packets_take(held_packets_t *h, uint64_t now, uint8_t *buf,
			 size_t size, uint64_t *arrived_ms, uint32_t *wait_ms);

#endif
