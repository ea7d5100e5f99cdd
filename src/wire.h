#ifndef WIRE_H
#define WIRE_H

/*
 * wire - messages between cherviltray's own processes
 *
 * The shapes come from proto/cherviltray.proto; this face gives them the
 * names used in the code and maps a kind to its descriptor. A message handed
 * out by wire_unpack() is owned by the arena it was unpacked into and lives
 * until the next wire_unpack() with the same arena.
 */

#include "cherviltray.pb-c.h"
#include <stddef.h>
#include <stdint.h>

typedef Ct__Load load_msg_t;
typedef Ct__Packet packet_msg_t;
typedef Ct__Held held_msg_t;
typedef Ct__Digest digest_msg_t;
typedef Ct__Probe probe_msg_t;
typedef Ct__Hello hello_msg_t;
typedef Ct__ServicePart service_part_msg_t;
typedef Ct__ConfigPull config_pull_msg_t;
typedef Ct__ConfigReply config_reply_msg_t;
typedef Ct__FlowRecord flow_record_msg_t;
typedef Ct__Handover handover_msg_t;
typedef Ct__Witness witness_msg_t;
typedef Ct__Query query_msg_t;
typedef Ct__Answer answer_msg_t;

/* Kind of a message, one byte of the sealed header. */
typedef enum msg_kind {
	MSG_NONE = 0,
	MSG_PACKET,
	MSG_HELD,
	MSG_DIGEST,
	MSG_PROBE,
	MSG_HELLO,
	MSG_CONFIG_PULL,
	MSG_CONFIG_REPLY,
	MSG_HANDOVER,
	MSG_WITNESS,
	MSG_QUERY,
	MSG_ANSWER,
	MSG_KINDS, /* number of kinds, not a kind */
} msg_kind_t;

/* What the sender of a packet wants done with it. */
typedef enum packet_step {
	STEP_LOOKUP = 0, /* find the member that holds the flow */
	STEP_OPEN = 1,	 /* a new flow is offered to the candidates */
} packet_step_t;

typedef enum process_role {
	ROLE_BALANCER = 1,
	ROLE_AGENT = 2,
	ROLE_OPERATOR = 3,
} process_role_t;

/* Bump allocator for unpacked messages; zero it before the first use. */
typedef struct wire_arena {
	uint8_t *base;	/* owned */
	size_t size;	/* bytes */
	size_t used;	/* bytes */
	void **spilled; /* allocations that did not fit, owned */
	size_t nspilled;
} wire_arena_t;

/*
 * Unpacks a body of the given kind. Returns NULL when the kind is unknown or
 * the bytes are not such a message.
 */
void *wire_unpack(wire_arena_t *arena, msg_kind_t kind, const uint8_t *body,
		  size_t len);

/* Frees what the arena owns and zeroes it. */
void wire_arena_clear(wire_arena_t *arena);

/* Packed size of a message in bytes. */
size_t wire_size(const void *msg);

/* Packs a message into its wire_size() bytes, which it returns. */
size_t wire_pack(const void *msg, uint8_t *buf);

/* Packs a message into at most `room` bytes; 0 when it needs more. */
size_t wire_pack_within(const void *msg, uint8_t *buf, size_t size);

const char *wire_kind_name(msg_kind_t kind);

#endif
