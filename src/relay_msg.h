#ifndef RELAY_MSG_H
#define RELAY_MSG_H

/*
 * relay_msg - messages between balancers and agents that relay packets
 *
 * Each datagram holds one protobuf message of proto/relay.proto, without
 * authentication: the messages are used where hosts cannot hold a secret and
 * the platform keeps callers off the internal ports. No field depends on the
 * time of day.
 */

#include "packet.h"
#include "relay.pb-c.h"

/* Largest message, in bytes. */
#define RELAY_MSG_MAX 2048

typedef Ct__Relay__Message relay_msg_t;
typedef Ct__Relay__Load relay_load_t;
typedef Ct__Relay__Evacuation relay_evacuation_t;

typedef enum relay_kind {
	RELAY_HELLO = 1, /* from a balancer: asks for the load */
	RELAY_LOAD,	 /* from an agent: load */
	RELAY_OFFER,	 /* an open, and the agents to offer it to next */
	RELAY_TAKEN,	 /* from an agent: its server accepted the open */
	RELAY_REFUSED,	 /* from an agent: no candidate accepted; nothing ran */
	RELAY_LOOKUP,	 /* a packet of an unknown flow, and the agents to pass
			  * it to next, if the receiver's server does not hold
			  * the flow */
	RELAY_QUERY,	 /* from a balancer: does the server hold this flow? */
	RELAY_HELD,	 /* from an agent: its server holds the flow */
	RELAY_NOT_HELD, /* from an agent: neither its server nor, for a look-up,
			 * that of any agent before it holds the flow */
	RELAY_UNSURE,	/* from an agent: only its server knows */
	RELAY_GIVEN_BACK, /* from an agent: a packet of a flow that its server
			     does not hold */
	RELAY_QUEUED,	  /* from an agent: the open waits for a slot */
	RELAY_KINDS,	  /* number of kinds */
} relay_kind_t;

/* Sets the kind and clears all other fields. */
void relay_msg_init(relay_msg_t *msg, relay_kind_t kind);

/* Copy a flow's key into a message and out of it. Messages carry no protocol:
 * the key that is returned has PROTO_TCP. */
void relay_msg_set_key(relay_msg_t *msg, const flow_key_t *key);
flow_key_t relay_msg_key(const relay_msg_t *msg);

/* Writes up to RELAY_MSG_MAX bytes to buf. Returns the length in bytes, or 0
 * when the message is longer. */
size_t relay_msg_pack(const relay_msg_t *msg, uint8_t *buf);

/* Returns NULL when the bytes are not a message of a known kind. The message is
 * released by relay_msg_free(), which accepts NULL. */
relay_msg_t *relay_msg_unpack(const uint8_t *buf, size_t len);
void relay_msg_free(relay_msg_t *msg);

/* Returns "unknown" for a number that is not a kind. */
const char *relay_kind_name(uint32_t kind);

#endif
