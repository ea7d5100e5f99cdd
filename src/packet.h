#ifndef PACKET_H
#define PACKET_H

/*
 * packet - parsing, building and hashing of callers' IPv4 packets
 *
 * Packets are tunnelled between fabric, agents and backend servers in GUE
 * variant 1: the UDP payload is the IPv4 packet itself. All numbers in these
 * structures are in host byte order. A packet_t from packet_parse() points
 * into the parsed buffer and owns no memory. Source: RFC 791, RFC 793,
 * RFC 768.
 */

#include <stddef.h>
#include <stdint.h>

#define PROTO_ICMP 1
#define PROTO_TCP  6
#define PROTO_UDP  17

#define TCP_FIN 0x01
#define TCP_SYN 0x02
#define TCP_RST 0x04
#define TCP_PSH 0x08
#define TCP_ACK 0x10

/* Maximum length of a packet in bytes: a jumbo frame. */
#define PACKET_MAX 9000
/* Length in bytes of headers without options, as packet_build() writes them. */
#define IPV4_HEADER_LEN 20
#define TCP_HEADER_LEN	20
#define UDP_HEADER_LEN	8

/* Five-tuple of a flow, as in the caller's packets. */
typedef struct flow_key {
	uint32_t src;	/* caller's address */
	uint32_t dst;	/* service's address */
	uint16_t sport; /* caller's port */
	uint16_t dport; /* port of the service's class */
	uint8_t proto;	/* PROTO_TCP or PROTO_UDP */
} flow_key_t;

/* Result of packet_parse(); all but PACKET_OK are reasons to drop. */
typedef enum packet_status {
	PACKET_OK = 0,
	PACKET_TRUNCATED,    /* shorter than its headers require */
	PACKET_OVERSIZED,    /* longer than PACKET_MAX */
	PACKET_NOT_IPV4,     /* IP version other than 4 */
	PACKET_BAD_HEADER,   /* invalid header length or total length */
	PACKET_BAD_CHECKSUM, /* IPv4 header checksum wrong */
	PACKET_FRAGMENT,     /* fragmented; later fragments carry no ports */
	PACKET_PROTOCOL,     /* neither TCP nor UDP */
	PACKET_BAD_TCP,	     /* invalid data offset or flags */
	PACKET_BAD_UDP,	     /* invalid length */
	PACKET_STATUSES,     /* number of statuses */
} packet_status_t;

typedef struct packet {
	flow_key_t key;
	const uint8_t *data;	/* the IPv4 packet */
	size_t len;		/* total length of the IPv4 packet in bytes */
	const uint8_t *payload; /* after the TCP or UDP header */
	size_t payload_len;	/* in bytes */
	uint32_t seq;		/* TCP only */
	uint32_t ack;		/* TCP only, valid with TCP_ACK */
	uint16_t window;	/* TCP only */
	uint8_t flags;		/* TCP only, TCP_* */
} packet_t;

/*
 * Parses and checks a packet. The TCP or UDP checksum is not checked. Fields of
 * *out are complete only on PACKET_OK.
 */
packet_status_t packet_parse(const uint8_t *buf, size_t len, packet_t *out);

/*
 * Reads the key without checking the packet. Returns 0, or -1 if the packet is
 * too short or does not start with an IPv4 header without options.
 */
int packet_peek(const uint8_t *buf, size_t len, flow_key_t *key);

const char *packet_status_name(packet_status_t status);

/* True for a SYN without ACK, the first packet of a TCP connection. */
int packet_is_open(const packet_t *p);

/*
 * Builds a packet in buf, which must hold PACKET_MAX bytes. Returns the length
 * in bytes, or 0 if the packet would exceed PACKET_MAX. Reads only the members
 * key, seq, ack, window, flags, payload and payload_len of p.
 */
size_t packet_build(const packet_t *p, uint8_t *buf);

/*
 * Builds the reset that answers p (RFC 793 3.4) in buf, which must hold
 * PACKET_MAX bytes, with the reason as payload (RFC 1122 4.2.2.12). Returns the
 * length in bytes, or 0 if p is a reset or not TCP, or the reason is too long.
 */
size_t packet_build_reset(const packet_t *p, const char *reason, uint8_t *buf);

/* Key of the opposite direction: source and destination swapped. */
flow_key_t flow_key_reverse(const flow_key_t *key);

int flow_key_equal(const flow_key_t *a, const flow_key_t *b);

uint64_t flow_key_hash(const flow_key_t *key, uint64_t seed);

/* Difference a - b of sequence numbers modulo 2^32; negative if a is older. */
int32_t seq_diff(uint32_t a, uint32_t b);

#endif
