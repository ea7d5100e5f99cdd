#ifndef RELAY_PACKET_H
#define RELAY_PACKET_H

/*
 * relay_packet - packets that are relayed unchanged, apart from a margin
 *
 * Some platforms let balancers pass a packet on as it is and give them a few
 * bits of its header that neither end reads: the margin. A backend server
 * there returns a packet of a flow that it does not hold. How such a packet
 * is laid out is a table of function pointers; decisions see one structure.
 * Numbers are in host byte order. A packet points into the buffer it was read
 * from and owns nothing.
 */

#include "packet.h"
#include <stddef.h>
#include <stdint.h>

/* Greatest packet of any form, in bytes. */
#define RELAY_PACKET_MAX 2048

#define RELAY_SYN      0x01 /* opens a flow */
#define RELAY_ACK      0x02
#define RELAY_FIN      0x04
#define RELAY_RST      0x08
#define RELAY_RETURNED 0x10 /* not taken by the backend server */

/* Marks in the margin of a packet on its way to an agent. */
#define RELAY_MARK_VERIFY                                                      \
	0x01 /* the agent asks its server whose flow it is                     \
	      */

typedef struct relay_packet {
	flow_key_t key; /* as in the header: from sender to receiver */
	uint32_t seq;
	uint32_t ack;
	uint16_t payload_len; /* bytes */
	uint8_t flags;	      /* RELAY_* */
	uint8_t mark;	      /* margin: RELAY_MARK_* */
	uint32_t annotation;  /* margin: a service's tag, or an address */
	uint8_t *data;	      /* the packet */
	size_t len;	      /* bytes of it */
} relay_packet_t;

typedef struct packet_format {
	const char *name;
	/* Reads a packet. Returns 0, or -1 when the bytes are no packet. */
	int (*read)(uint8_t *buf, size_t len, relay_packet_t *out);
	/* Writes the margin and takes RELAY_RETURNED off. */
	void (*annotate)(relay_packet_t *p, uint8_t mark, uint32_t annotation);
	/*
	 * Builds a reset to the caller of a flow into RELAY_PACKET_MAX bytes.
	 * Returns its length. The key is that of the caller's packets; seq is
	 * the caller's last acknowledgement.
	 */
	size_t (*build_reset)(const flow_key_t *key, uint32_t seq,
			      uint8_t *buf);
} packet_format_t;

/* True for the first packet of a flow. */
static inline int relay_packet_opens(const relay_packet_t *p)
{
	return (p->flags & (RELAY_SYN | RELAY_ACK)) == RELAY_SYN;
}

#endif
