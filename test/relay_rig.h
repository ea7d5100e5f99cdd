#ifndef RELAY_RIG_H
#define RELAY_RIG_H

/*
 * relay_rig - drives one balancer or one agent and records what it sends
 */

#include "fleet_packet.h"
#include "relay_agent.h"
#include "relay_balancer.h"

/* Maximum number of items recorded between two calls of rr_clear(). */
#define RIG_SENT_MAX 4096

typedef enum rig_dest {
	RIG_AGENT,   /* a packet to an agent */
	RIG_MESSAGE, /* a message to a balancer or an agent */
	RIG_CALLER,  /* a packet to a caller */
	RIG_SERVER,  /* a packet to the backend server */
	RIG_PEER,    /* a question to a balancer for its state */
	RIG_STORE,   /* a request to read the store */
} rig_dest_t;

typedef struct rig_sent {
	rig_dest_t to;
	uint32_t host; /* receiver; 0: the backend server */
	uint8_t buf[RELAY_MSG_MAX];
	size_t len;
} rig_sent_t;

typedef struct relay_rig {
	relay_balancer_t *balancer; /* NULL when an agent is tested */
	relay_agent_t *agent;	    /* NULL when a balancer is tested */
	uint64_t now;		    /* ms */
	uint64_t unix_at_0;	    /* Unix time at now 0, ms; 0: no clock */
	bool server_listens;	    /* the agent's server accepts connections */
	bool probes_unanswered;	    /* nothing answers connections to it */
	bool store_watched;	    /* the store reports changes at once */
	uint32_t wait_ms;	    /* what is received waited in the socket */
	rig_sent_t sent[RIG_SENT_MAX];
	size_t nsent;
} relay_rig_t;

/* Addresses in host byte order. */
#define RIG_BALANCER_ADDRESS 0x0a010001u
#define RIG_CALLER_ADDRESS   0x64400001u
#define RIG_SERVICE_ADDRESS  0xc6120001u
#define RIG_SERVICE_PORT     443
#define RIG_HOST_A	     0x0a010009u
#define RIG_HOST_B	     0x0a02000au
/* Initial sequence number of servers that take an open. */
#define RIG_SERVER_ISN 899u
/* The balancer of rr_open_flow() and of the functions after it, and the initial
 * sequence number of the agent's server there. */
#define RIG_FLOW_BALANCER 0x0a010005u
#define RIG_FLOW_ISN	  5000u

/*
 * Create a rig with a balancer, or with an agent of the service "feeds" at
 * RIG_HOST_A;
 * knows_all_flows as in relay_agent_options_t. Freed with rr_free().
 */
relay_rig_t *rr_balancer(void);
/* Like rr_balancer(), with routes and the targets "a" and "b" of "feeds" at the
 * hosts RIG_HOST_A and RIG_HOST_B. */
relay_rig_t *rr_two_targets(void);
/* Like rr_balancer(), with a bound on the opens of cold servers. */
relay_rig_t *rr_new_balancer(double warmup_overage, uint32_t warmup_slack);
/* Like rr_balancer(), with a store that others write. */
relay_rig_t *rr_reading_balancer(void);
relay_rig_t *rr_agent(bool knows_all_flows);
void rr_free(relay_rig_t *r);

/* Notes that the store was read, as far as it is written now. */
void rr_store_read(relay_rig_t *r);

/* Sets the routes of a version: RIG_SERVICE_ADDRESS:RIG_SERVICE_PORT leads to
 * the service "feeds". */
void rr_routes(relay_rig_t *r, uint64_t version);

/* The same, with n shares of the route; 0: a version without the route. */
void rr_route_to(relay_rig_t *r, uint64_t version, route_share_t *shares,
		 size_t n);

/* Puts a target of "feeds", in the balancer's availability zone, into the
 * directory, or removes it. */
void rr_entry(relay_rig_t *r, const char *id, uint32_t host, uint64_t revision,
	      entry_state_t state);
/* Puts a target of any service into the directory. */
void rr_entry_of(relay_rig_t *r, const char *service, const char *id,
		 uint32_t host, uint64_t revision, entry_state_t state);
/* The same, for a target that started at a Unix time, in ms. */
void rr_entry_started(relay_rig_t *r, const char *id, uint32_t host,
		      uint64_t revision, entry_state_t state,
		      uint64_t started_ms);
void rr_entry_gone(relay_rig_t *r, const char *id, uint64_t revision);

/* Advances the clock by ms, tick by tick. */
void rr_advance(relay_rig_t *r, uint64_t ms);

/* Build a caller's packet, or pass it to the balancer. The source port is
 * 10000 + flow. Returns the length in bytes. */
size_t rr_packet(uint8_t *buf, unsigned flow, uint8_t flags, uint32_t seq,
		 uint32_t ack, unsigned payload);
void rr_from_caller(relay_rig_t *r, unsigned flow, uint8_t flags, uint32_t seq,
		    uint32_t ack, unsigned payload);
/* Passes a caller's packet to the agent, as from a balancer; mark is 0
 * or RELAY_MARK_VERIFY. */
void rr_from_balancer(relay_rig_t *r, uint32_t balancer, unsigned flow,
		      uint8_t flags, uint32_t seq, uint32_t ack,
		      unsigned payload, uint8_t mark);
/* Pass a packet to the agent as from its backend server: one of the server's
 * own, or a caller's packet that it returns. */
void rr_from_server(relay_rig_t *r, unsigned flow, uint8_t flags, uint32_t seq,
		    uint32_t ack, unsigned payload);
void rr_returned(relay_rig_t *r, unsigned flow, uint8_t flags, uint32_t seq,
		 uint32_t ack, unsigned payload);

/* Passes a message about a flow, without a load. */
void rr_flow_message(relay_rig_t *r, uint32_t host, relay_kind_t kind,
		     unsigned flow, const char *service);
/* Reports that no agent of a look-up chain holds the flow. */
void rr_chain_not_held(relay_rig_t *r, uint32_t host, unsigned flow,
		       unsigned chain);
/* Reports that no agent of a look-up chain holds the flow, apart from n unsure
 * ones that have passed it on. */
void rr_chain_unsure(relay_rig_t *r, uint32_t host, unsigned flow,
		     unsigned chain, uint32_t *unsure, size_t n);
/* Number of the chain of the last look-up to an agent. */
unsigned rr_last_chain(const relay_rig_t *r, uint32_t host);
/* Passes a look-up to the agent; the candidates are the agents that follow it
 * in the look-up chain. */
void rr_lookup(relay_rig_t *r, uint32_t balancer, unsigned flow, uint32_t ack,
	       const uint32_t *candidates, size_t n);
/* Passes a look-up to the agent whose packet servers do not try. */
void rr_lookup_known(relay_rig_t *r, uint32_t balancer, unsigned flow,
		     uint32_t ack, const uint32_t *candidates, size_t n);
/* Passes a look-up to the agent that m unsure agents of its chain have passed
 * on. */
void rr_lookup_unsure(relay_rig_t *r, uint32_t balancer, unsigned flow,
		      uint32_t ack, const uint32_t *candidates, size_t n,
		      const uint32_t *unsure, size_t m);
/* Passes a load report of an agent. */
void rr_load(relay_rig_t *r, uint32_t host, uint32_t in_flight, double work,
	     double service_ms, uint32_t down_ms);
/* Load report of an agent whose server has been stalled for stalled_ms. */
void rr_load_stalled(relay_rig_t *r, uint32_t host, uint32_t stalled_ms);
/* Load report of an agent whose server accepts connections, and has been
 * stalled and down for these times. */
void rr_load_hung(relay_rig_t *r, uint32_t host, uint32_t stalled_ms,
		  uint32_t down_ms);
/* Load report of an agent whose server fails this percentage of requests. */
void rr_load_failing(relay_rig_t *r, uint32_t host, uint32_t percent);
/* Load report of an agent that is stopping; listens: its server runs. */
void rr_load_stopping(relay_rig_t *r, uint32_t host);
void rr_load_restarting(relay_rig_t *r, uint32_t host, bool listens);
/* Offers an open to the agent. */
void rr_offer(relay_rig_t *r, uint32_t balancer, unsigned flow, uint32_t seq,
	      const uint32_t *candidates, size_t n);
/* Offers an open without candidates, with the typical service time of the
 * service. */
void rr_offer_typical(relay_rig_t *r, uint32_t balancer, unsigned flow,
		      uint32_t seq, double typical_ms);
/* Offers an open that may wait for queue_ms, with a latency objective of 200
 * ms, of which the server may take 100 when no slot is free. */
void rr_offer_queue(relay_rig_t *r, uint32_t balancer, unsigned flow,
		    uint32_t seq, uint32_t queue_ms);
/* Opens a flow at the agent's server. */
void rr_open_flow(relay_rig_t *r, unsigned flow);
/* Pass the first request of the flow, and the first packet of its answer. */
void rr_request(relay_rig_t *r, unsigned flow);
void rr_response(relay_rig_t *r, unsigned flow);
/* Advances the clock by ms and returns the last load report sent meanwhile, to
 * be released with relay_msg_free(); NULL: there was none. */
relay_msg_t *rr_load_report_after(relay_rig_t *r, uint64_t ms);
/* Passes a hello to the agent, with the slots of its server. */
void rr_hello(relay_rig_t *r, uint32_t balancer, uint32_t slots);

/* Returns the index of the last sent item that matches, or -1. host 0 and
 * kind 0 match all. */
int rr_last(const relay_rig_t *r, rig_dest_t to, uint32_t host,
	    relay_kind_t kind);
/* Returns how many sent items match, in the same way. */
size_t rr_count(const relay_rig_t *r, rig_dest_t to, uint32_t host,
		relay_kind_t kind);
/* Clears the record. */
void rr_clear(relay_rig_t *r);

#endif
