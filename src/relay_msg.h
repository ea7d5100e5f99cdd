#ifndef RELAY_MSG_H
#define RELAY_MSG_H

/*
 * relay_msg - messages between balancers and agents that relay packets
 *
 * One protobuf message in a datagram, without a key: they run where hosts can
 * hold no secret and the platform keeps callers off the internal ports. No
 * decision that they carry rests on the time of day.
 */

#include "packet.h"
#include "relay.pb-c.h"

/* Greatest message, in bytes. */
#define RELAY_MSG_MAX 2048

typedef Ct__Relay__Message relay_msg_t;
typedef Ct__Relay__Load relay_load_t;

typedef enum relay_kind {
	RELAY_HELLO = 1, /* balancer: what the agent serves; tell me its load */
	RELAY_LOAD,	 /* agent: load */
	RELAY_OFFER,	 /* an open, with further candidates */
	RELAY_TAKEN,	 /* agent: the open was handed to the server */
	RELAY_REFUSED,	 /* agent: no candidate was left; nothing ran */
	RELAY_LOOKUP,	 /* a packet, for the agent among the candidates whose
			  * server holds its flow */
	RELAY_QUERY,	 /* balancer: do you hold this flow? */
	RELAY_HELD,	 /* agent: yes */
	RELAY_NOT_HELD,	 /* agent: no, or no agent of the chain */
	RELAY_UNSURE,	 /* agent: only its server knows */
	RELAY_GIVEN_BACK, /* agent: the server does not hold this packet's flow
			   */
	RELAY_KINDS,	  /* number of kinds, not one */
} relay_kind_t;

void relay_msg_init(relay_msg_t *msg, relay_kind_t kind);

/* Copies a flow's key into a message and out of it. */
void relay_msg_set_key(relay_msg_t *msg, const flow_key_t *key);
flow_key_t relay_msg_key(const relay_msg_t *msg);

/* Returns the length in bytes, 0 when it is over RELAY_MSG_MAX. */
size_t relay_msg_pack(const relay_msg_t *msg, uint8_t *buf);

/* NULL when the bytes are no message; freed by relay_msg_free(). */
relay_msg_t *relay_msg_unpack(const uint8_t *buf, size_t len);
void relay_msg_free(relay_msg_t *msg);

const char *relay_kind_name(uint32_t kind);

#endif
