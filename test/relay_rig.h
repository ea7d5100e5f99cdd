#ifndef RELAY_RIG_H
#define RELAY_RIG_H

/*
 * relay_rig - a balancer or an agent alone, with what it sends recorded
 */

#include "fleet_packet.h"
#include "relay_agent.h"
#include "relay_balancer.h"

#define RIG_SENT_MAX 4096

typedef enum rig_dest {
	RIG_AGENT,   /* a packet to an agent */
	RIG_MESSAGE, /* a message */
	RIG_CALLER,  /* a packet to a caller */
	RIG_SERVER,  /* a packet to the backend server */
} rig_dest_t;

typedef struct rig_sent {
	rig_dest_t to;
	uint32_t host;
	uint8_t buf[RELAY_MSG_MAX];
	size_t len;
} rig_sent_t;

typedef struct relay_rig {
	relay_balancer_t *balancer; /* or NULL */
	relay_agent_t *agent;	    /* or NULL */
	uint64_t now;
	rig_sent_t sent[RIG_SENT_MAX];
	size_t nsent;
} relay_rig_t;

/* Own addresses in tests. */
#define RIG_BALANCER_ADDRESS 0x0a010001u
#define RIG_CALLER_ADDRESS   0x64400001u
#define RIG_SERVICE_ADDRESS  0xc6120001u
#define RIG_SERVICE_PORT     443

relay_rig_t *rr_balancer(void);
relay_rig_t *rr_agent(bool knows_all_flows);
void rr_free(relay_rig_t *r);

/* Routes of a version: RIG_SERVICE_ADDRESS:RIG_SERVICE_PORT goes to "feeds". */
void rr_routes(relay_rig_t *r, uint64_t version);

/* An entry of the directory; the zone is the balancer's own. */
void rr_entry(relay_rig_t *r, const char *id, uint32_t host, uint64_t revision,
	      entry_state_t state);
void rr_entry_gone(relay_rig_t *r, const char *id, uint64_t revision);

/* Moves the clock in ticks. */
void rr_advance(relay_rig_t *r, uint64_t ms);

/* A caller's packet, with the flow's number in its port. */
size_t rr_packet(uint8_t *buf, unsigned flow, uint8_t flags, uint32_t seq,
		 uint32_t ack, unsigned payload);
void rr_from_caller(relay_rig_t *r, unsigned flow, uint8_t flags, uint32_t seq,
		    uint32_t ack, unsigned payload);
/* The same through a balancer to the agent. */
void rr_from_balancer(relay_rig_t *r, uint32_t balancer, unsigned flow,
		      uint8_t flags, uint32_t seq, uint32_t ack,
		      unsigned payload, uint8_t mark);
/* The backend server's own packet, or a caller's that it returns. */
void rr_from_server(relay_rig_t *r, unsigned flow, uint8_t flags, uint32_t seq,
		    uint32_t ack, unsigned payload);
void rr_returned(relay_rig_t *r, unsigned flow, uint8_t flags, uint32_t seq,
		 uint32_t ack, unsigned payload);

/* A message of an agent about a flow; load NULL: none. */
void rr_flow_message(relay_rig_t *r, uint32_t host, relay_kind_t kind,
		     unsigned flow, const char *service);
/* The last agent of a look-up's chain: nobody holds the flow. */
void rr_chain_not_held(relay_rig_t *r, uint32_t host, unsigned flow,
		       unsigned chain);
/* A packet looked up along agents. */
void rr_lookup(relay_rig_t *r, uint32_t balancer, unsigned flow, uint32_t ack,
	       const uint32_t *candidates, size_t n);
void rr_load(relay_rig_t *r, uint32_t host, uint32_t in_flight, double work,
	     double service_ms, uint32_t down_ms);
/* Load of an agent whose server is quiet. */
void rr_load_stalled(relay_rig_t *r, uint32_t host, uint32_t quiet_ms);
/* Load of an agent whose server fails this part of its requests. */
void rr_load_failing(relay_rig_t *r, uint32_t host, uint32_t percent);
/* Load of an agent that is about to end. */
void rr_load_stopping(relay_rig_t *r, uint32_t host);
/* An open offered to the agent. */
void rr_offer(relay_rig_t *r, uint32_t balancer, unsigned flow, uint32_t seq,
	      const uint32_t *candidates, size_t n);
/* One by a balancer that knows the time of a request at the service. */
void rr_offer_typical(relay_rig_t *r, uint32_t balancer, unsigned flow,
		      uint32_t seq, double typical_ms);
void rr_hello(relay_rig_t *r, uint32_t balancer, uint32_t slots);

/* Position of the last thing sent that fits, or -1. kind 0: any. */
int rr_last(const relay_rig_t *r, rig_dest_t to, uint32_t host,
	    relay_kind_t kind);
/* How many of what was sent fit; host 0: any. */
size_t rr_count(const relay_rig_t *r, rig_dest_t to, uint32_t host,
		relay_kind_t kind);
/* Forgets what was sent. */
void rr_clear(relay_rig_t *r);

#endif
