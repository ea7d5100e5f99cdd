#ifndef AGENT_RIG_H
#define AGENT_RIG_H

/*
 * agent_rig - the agents of one service with made-up operations
 *
 * Messages between the agents and packets of their backend servers wait in
 * one queue that rig_drain() empties; what goes to the caller or to balancers
 * is kept for the test to look at.
 */

#include "../src/agent.h"
#include <glib.h>

#define RIG_AGENTS 1024
#define RIG_SEED   42

/* How a backend server of the rig answers. */
typedef enum rig_server {
	RIG_RESETS = 0, /* resets what it gets, but takes a SYN */
	RIG_SILENT,
	RIG_ACKS,	 /* acknowledges what it gets */
	RIG_RESETS_SYN,	 /* resets a SYN */
	RIG_UNREACHABLE, /* nothing listens */
} rig_server_t;

typedef struct rig rig_t;

typedef struct rig_agent {
	rig_t *rig;
	unsigned index;
	agent_t *agent;
	bool unreachable; /* no message reaches it */
	rig_server_t server;
	unsigned delivered; /* packets to its backend server */
	unsigned payloads;  /* of them with payload */
	uint8_t flags;	    /* of the last one */
} rig_agent_t;

struct rig {
	uint64_t now;
	config_t *config;
	unsigned n;
	rig_agent_t agents[RIG_AGENTS];
	GQueue queue;
	GHashTable *server_next; /* what each server expects of each caller */
	unsigned forwarded;	 /* packets between agents */
	uint64_t witness_bytes;
	unsigned replies;     /* packets to the caller */
	unsigned reset_ports; /* callers' ports that were reset */
	bool was_reset[UINT16_MAX + 1];
	unsigned resets;      /* of them resets */
	packet_t last_reply;  /* the last one, without its payload */
	char reset_text[64];  /* payload of the last reset */
	held_msg_t last_held; /* the last MSG_HELD to a balancer, flat */
	unsigned held_count;
	mechanisms_t off;
	bool drop_messages; /* queue is dropped instead of handled */
};

/* Agents of a service with so many targets, named t0, t1 and so on. */
rig_t *rig_new(unsigned targets, mechanisms_t off);
void rig_free(rig_t *r);

/* The document of the rig without the targets named in `without`. */
config_t *rig_config(unsigned targets, uint64_t version, int without);

/* A new agent without memory at a place. */
void rig_restart(rig_t *r, unsigned agent);

/* Empties the queue. */
void rig_drain(rig_t *r);

/* Lets time pass in ticks of 50 ms; agents that are cut don't tick. */
void rig_advance(rig_t *r, uint64_t ms);

/* A caller's packet from a balancer to an agent, then rig_drain(). */
void rig_send(rig_t *r, unsigned agent, packet_step_t step, uint16_t port,
	      uint8_t flags, uint32_t seq, uint32_t ack, const char *payload);

/* A packet of a backend server to the caller with that port. */
void rig_server_packet(rig_t *r, unsigned agent, uint16_t port, uint8_t flags,
		       uint32_t seq, uint32_t ack, const char *payload);

/* Opens a flow at an agent: SYN, SYN-ACK with sequence number 5000, ACK.
 * Its backend server then holds what it gets. */
void rig_open(rig_t *r, unsigned agent, uint16_t port, uint32_t isn);

/* State of the flow at an agent, or "none"; valid until the next call. */
const char *rig_state(rig_t *r, unsigned agent, uint16_t port);

uint64_t rig_counter(rig_t *r, unsigned agent, counter_t id);

#endif
