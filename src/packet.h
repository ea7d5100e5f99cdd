#ifndef PACKET_H
#define PACKET_H

/*
 * packet - callers' IPv4 packets: parse, build, key and hash
 *
 * The tunnel between fabric, agents and backend servers is GUE variant 1: the
 * UDP payload is the IPv4 packet itself. All numbers in these structures are
 * in host byte order. A parsed packet points into the buffer it was parsed
 * from and owns nothing. Source: RFC 791, RFC 793, RFC 768.
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

/* Greatest inner packet carried, in bytes: jumbo frames. */
#define PACKET_MAX 9000
/* Bytes before the payload of the packets that this library builds. */
#define IPV4_HEADER_LEN 20
#define TCP_HEADER_LEN	20
#define UDP_HEADER_LEN	8

/* The five values that name a flow, as the caller's packets carry them. */
typedef struct flow_key {
	uint32_t src;	/* caller's address */
	uint32_t dst;	/* service's address */
	uint16_t sport; /* caller's port */
	uint16_t dport; /* class's port */
	uint8_t proto;	/* PROTO_TCP or PROTO_UDP */
} flow_key_t;

/* Outcome of a parse; all but the first are reasons to drop. */
typedef enum packet_status {
	PACKET_OK = 0,
	PACKET_TRUNCATED,    /* shorter than its headers say */
	PACKET_OVERSIZED,    /* longer than PACKET_MAX */
	PACKET_NOT_IPV4,     /* another version */
	PACKET_BAD_HEADER,   /* header length or total length impossible */
	PACKET_BAD_CHECKSUM, /* IPv4 header checksum wrong */
	PACKET_FRAGMENT,     /* fragments carry no ports */
	PACKET_PROTOCOL,     /* neither TCP nor UDP */
	PACKET_BAD_TCP,	     /* data offset or flags impossible */
	PACKET_BAD_UDP,	     /* length impossible */
	PACKET_STATUSES,     /* number of outcomes, not one */
} packet_status_t;

typedef struct packet {
	flow_key_t key;
	const uint8_t *data;	/* the IPv4 packet */
	size_t len;		/* bytes of it */
	const uint8_t *payload; /* behind the TCP or UDP header */
	size_t payload_len;	/* bytes */
	uint32_t seq;		/* TCP only */
	uint32_t ack;		/* TCP only, with TCP_ACK */
	uint16_t window;	/* TCP only */
	uint8_t flags;		/* TCP_* */
} packet_t;

packet_status_t packet_parse(const uint8_t *buf, size_t len, packet_t *out);

/* The key that a packet seems to have, unchecked. Returns 0 or -1. */
int packet_peek(const uint8_t *buf, size_t len, flow_key_t *key);

const char *packet_status_name(packet_status_t status);

/* True for the first packet of a TCP connection. */
int packet_is_open(const packet_t *p);

/*
 * Build a packet into buf, which holds PACKET_MAX bytes. Return its length in
 * bytes, or 0 when the payload does not fit. Only key, seq, ack, window,
 * flags, payload and payload_len of the description are read.
 */
size_t packet_build(const packet_t *p, uint8_t *buf);

/*
 * Builds the reset that answers a packet (RFC 793 3.4) with the reason as its
 * payload (RFC 1122 4.2.2.12). Returns its length, 0 when p is a reset.
 */
size_t packet_build_reset(const packet_t *p, const char *reason, uint8_t *buf);

/* The same flow seen from the backend server. */
flow_key_t flow_key_reverse(const flow_key_t *key);

int flow_key_equal(const flow_key_t *a, const flow_key_t *b);

uint64_t flow_key_hash(const flow_key_t *key, uint64_t seed);

/* Sequence numbers compared modulo 2^32: negative when a is before b. */
int32_t seq_diff(uint32_t a, uint32_t b);

#endif
