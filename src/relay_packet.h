#ifndef RELAY_PACKET_H
#define RELAY_PACKET_H

/*
 * relay_packet - packets that are relayed unchanged, apart from an annotation
 *
 * Some platforms let balancers forward a packet as it is, and leave them bits
 * of the packet header that neither end reads: the annotation, which consists
 * of a mark and a value. A backend server on such a platform returns packets of
 * flows that it does not hold. The layout of the packets is a table of function
 * pointers; balancers and agents see relay_packet_t only. Numbers are in host
 * byte order. A packet points into the buffer that it was read from and owns no
 * memory.
 */

#include "packet.h"
#include <stddef.h>
#include <stdint.h>

/* Largest packet of any format, in bytes. */
#define RELAY_PACKET_MAX 2048

#define RELAY_SYN      0x01 /* first packet of a flow, unless with RELAY_ACK */
#define RELAY_ACK      0x02
#define RELAY_FIN      0x04
#define RELAY_RST      0x08
#define RELAY_RETURNED 0x10 /* returned by the backend server */

/*
 * Mark of a packet to an agent. If the agent does not know the flow, it passes
 * the packet to its backend server, which returns it unless it holds the flow.
 */
#define RELAY_MARK_VERIFY 0x01

typedef struct relay_packet {
	flow_key_t key; /* from the sender to the receiver */
	uint32_t seq;
	uint32_t ack;
	uint16_t payload_len; /* bytes */
	/* Of an open, since its first copy was sent: now, at most; when this
	 * copy was sent; and when the next one follows, 0: none. */
	uint32_t open_age_ms;
	uint32_t copy_age_ms;
	uint32_t next_copy_ms;
	uint8_t flags;	     /* RELAY_* */
	uint8_t mark;	     /* mark of the annotation: RELAY_MARK_* */
	uint32_t annotation; /* value of the annotation: service tag, or
			      * address of the balancer */
	uint8_t *data;	     /* start of the packet; not owned */
	size_t len;	     /* bytes of the whole packet */
} relay_packet_t;

typedef struct packet_format {
	const char *name;
	/* Reads a packet. Returns 0, or -1 when the bytes are not a packet. */
	int (*read)(uint8_t *buf, size_t len, relay_packet_t *out);
	/* Writes the annotation and clears RELAY_RETURNED, in the structure and
	 * in the packet. */
	void (*annotate)(relay_packet_t *p, uint8_t mark, uint32_t annotation);
	/*
	 * Writes a reset to the caller of a flow to buf, which has
	 * RELAY_PACKET_MAX bytes. Returns its length in bytes. The key is that
	 * of the caller's packets; seq is the last sequence number that the
	 * caller acknowledged.
	 */
	size_t (*build_reset)(const flow_key_t *key, uint32_t seq,
			      uint8_t *buf);
} packet_format_t;

/* Age at which a caller gives up an open. */
#define RELAY_OPEN_LIFE_MS 1400

/* Most bytes that a packet which comes late or again acknowledges less than the
 * caller's last one; beyond that it is of another connection. */
#define RELAY_REPEATED_ACK_BYTES (16 * 1024 * 1024)

/* Returns the highest acknowledgement of a caller once another has come. */
static inline uint32_t relay_highest_ack(uint32_t highest, uint32_t ack)
{
	uint32_t behind = highest - ack;

	return behind <= RELAY_REPEATED_ACK_BYTES ? highest : ack;
}

/* Returns true for an open, the first packet of a flow. */
static inline int relay_packet_opens(const relay_packet_t *p)
{
	return (p->flags & (RELAY_SYN | RELAY_ACK)) == RELAY_SYN;
}

/* Returns true for a packet that its receiver answers: bare acknowledgements
 * and resets get no answer. */
static inline int relay_packet_wants_answer(const relay_packet_t *p)
{
	return !(p->flags & RELAY_RST) &&
	       (p->payload_len || (p->flags & (RELAY_SYN | RELAY_FIN)));
}

#endif
