#ifndef WIRE_H
#define WIRE_H

/*
 * wire - encoding of messages between cherviltray processes
 *
 * Messages are defined in proto/cherviltray.proto. This module declares the
 * type names used in the code and maps each kind of message to its protobuf
 * descriptor. A message returned by wire_unpack() is owned by the arena and
 * valid until the next wire_unpack() or wire_arena_clear() with that arena.
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

/* Kind of a message, one byte in the header written by seal_message(). */
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
	MSG_KINDS, /* number of values, including MSG_NONE */
} msg_kind_t;

/* What the receiver of a MSG_PACKET does with the packet. */
typedef enum packet_step {
	STEP_LOOKUP = 0, /* find the member that holds the flow */
	STEP_OPEN = 1,	 /* offer a new flow to the candidates */
} packet_step_t;

typedef enum process_role {
	ROLE_BALANCER = 1,
	ROLE_AGENT = 2,
	ROLE_OPERATOR = 3,
} process_role_t;

/* Bump allocator for unpacked messages; must be zeroed before the first use. */
typedef struct wire_arena {
	uint8_t *base;	/* block of memory, owned */
	size_t size;	/* of the block, in bytes */
	size_t used;	/* allocated from the block, in bytes */
	void **spilled; /* allocations outside the block, owned */
	size_t nspilled;
} wire_arena_t;

/*
 * Unpacks a message of the given kind. Returns NULL if the kind is unknown, the
 * body is malformed or memory is exhausted.
 */
void *wire_unpack(wire_arena_t *arena, msg_kind_t kind, const uint8_t *body,
		  size_t len);

/* Frees the memory of the arena and zeroes it. */
void wire_arena_clear(wire_arena_t *arena);

/* Returns the packed size of a message in bytes. */
size_t wire_size(const void *msg);

/* Packs a message into buf of wire_size() bytes. Returns that size. */
size_t wire_pack(const void *msg, uint8_t *buf);

/*
 * Packs a message into buf of `size` bytes. Returns the packed size in bytes,
 * or 0 if the message needs more or is empty; buf is then not written to.
 */
size_t wire_pack_within(const void *msg, uint8_t *buf, size_t size);

const char *wire_kind_name(msg_kind_t kind);

#endif
