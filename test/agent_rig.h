#ifndef AGENT_RIG_H
#define AGENT_RIG_H

/*
 * agent_rig - the agents of one service with simulated I/O and time
 *
 * Messages between the agents and packets of their backend servers are queued
 * and handled by rig_drain(). Packets to the caller and messages to balancers
 * are recorded for the test to check.
 */

#include "../src/agent.h"
#include <glib.h>

#define RIG_AGENTS 1024
#define RIG_SEED   42

/* Behaviour of a simulated backend server. */
typedef enum rig_server {
	RIG_RESETS = 0,	 /* resets every packet but a SYN */
	RIG_SILENT,	 /* answers nothing */
	RIG_ACKS,	 /* acknowledges every packet but a SYN */
	RIG_RESETS_SYN,	 /* resets a SYN, ignores the rest */
	RIG_UNREACHABLE, /* ICMP port unreachable */
} rig_server_t;

typedef struct rig rig_t;

typedef struct rig_agent {
	rig_t *rig;
	unsigned index;
	agent_t *agent;
	bool unreachable; /* gets and sends no messages, does not tick */
	rig_server_t server;
	unsigned delivered; /* packets sent to its backend server */
	unsigned payloads;  /* those with payload */
	uint8_t flags;	    /* TCP flags of the last one */
} rig_agent_t;

struct rig {
	uint64_t now;
	config_t *config;
	unsigned n;
	rig_agent_t agents[RIG_AGENTS];
	GQueue queue;
	GHashTable *server_next; /* next sequence number by server and port */
	unsigned forwarded;	 /* packets forwarded between agents */
	uint64_t witness_bytes;	 /* of MSG_WITNESS, unsealed */
	unsigned replies;	 /* packets to the caller */
	unsigned reset_ports;	 /* number of callers' ports reset */
	bool was_reset[UINT16_MAX + 1]; /* by caller's port */
	unsigned resets;		/* resets among the replies */
	packet_t last_reply;  /* last reply; its payload is not valid */
	char reset_text[64];  /* payload of the last reset, as text */
	held_msg_t last_held; /* last MSG_HELD to a balancer, no load */
	unsigned held_count;  /* MSG_HELD to balancers */
	mechanisms_t off;     /* mechanisms disabled in all agents */
	bool drop_messages;   /* rig_drain() discards the queue */
};

/* Creates the agents of a service with targets t0, t1 and so on. */
rig_t *rig_new(unsigned targets, mechanisms_t off);
void rig_free(rig_t *r);

/* Configuration of the rig; leaves out target `without`, -1 for none. */
config_t *rig_config(unsigned targets, uint64_t version, int without);

/* Replaces an agent by a new one with an empty flow table. */
void rig_restart(rig_t *r, unsigned agent);

/* Handles queued messages and packets until none is left. */
void rig_drain(rig_t *r);

/* Advances the time by ms, with a tick and rig_drain() each 50 ms. */
void rig_advance(rig_t *r, uint64_t ms);

/*
 * Passes a caller's packet from a balancer to an agent, then rig_drain(). The
 * packet is UDP if flags is 0.
 */
void rig_send(rig_t *r, unsigned agent, packet_step_t step, uint16_t port,
	      uint8_t flags, uint32_t seq, uint32_t ack, const char *payload);

/* Passes a server's packet to the caller's port, then rig_drain(). */
void rig_server_packet(rig_t *r, unsigned agent, uint16_t port, uint8_t flags,
		       uint32_t seq, uint32_t ack, const char *payload);

/*
 * Opens a flow at an agent by SYN, SYN-ACK with sequence number 5000, and ACK.
 * Its backend server is RIG_ACKS afterwards.
 */
void rig_open(rig_t *r, unsigned agent, uint16_t port, uint32_t isn);

/* State of the flow at an agent or "none", valid until the next call. */
const char *rig_state(rig_t *r, unsigned agent, uint16_t port);

uint64_t rig_counter(rig_t *r, unsigned agent, counter_t id);

#endif
