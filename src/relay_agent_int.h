#ifndef RELAY_AGENT_INT_H
#define RELAY_AGENT_INT_H

/*
 * relay_agent_int - what the files of relay_agent share
 */

#include "endpoint.h"
#include "event_log.h"
#include "flow_index.h"
#include "placement.h"
#include "relay_agent.h"
#include "routes.h"
#include <glib.h>

/* Candidates of an open or a look-up that are kept. */
#define CANDIDATES_MAX 16
/* Balancers that are told the load. */
#define BALANCERS_MAX 64

typedef enum aflow_phase {
	AFLOW_OPENING, /* the open was handed to the server */
	AFLOW_OPEN,    /* the server accepted it */
	AFLOW_TRIAL,   /* only the server knows whether it holds the flow */
	AFLOW_ENDED,   /* both ends ended it, or one reset it */
} aflow_phase_t;

typedef struct aflow {
	flow_node_t node; /* first, see flow_index.h */
	aflow_phase_t phase;
	uint32_t balancer;    /* that sent its last packet */
	uint32_t caller_isn;  /* seq of the SYN */
	uint32_t server_isn;  /* seq of the server's answer to it */
	bool isn_known;	      /* server_isn is */
	bool confirmed;	      /* the server answered a packet behind the SYN */
	uint32_t server_next; /* behind the last byte that the server sent */
	uint32_t caller_next; /* behind the last byte that the caller sent */
	uint32_t caller_ack;  /* the caller's last acknowledgement */
	bool caller_done;     /* the caller sent its end */
	bool server_done;     /* so did the server */
	bool data_seen;	      /* caller_next is known */
	bool live;	      /* open, and used lately */
	bool busy;	      /* a request has no answer yet */
	bool found_free;      /* the request found a free slot */
	uint64_t asked_ms;    /* when the request began */
	uint64_t opened_ms;   /* when the open was handed over */
	uint32_t
		candidates[CANDIDATES_MAX]; /* others for its open or look-up */
	size_t ncandidates;
	uint32_t chain; /* of the look-up that its server tries; 0: none */
	uint32_t patience_ms; /* of the open */
	uint8_t syn[64];      /* kept until the server answers */
	uint8_t syn_len;
	list_t opening; /* in relay_agent.opening */
	list_t awaited; /* in relay_agent.awaited */
} aflow_t;

typedef struct known_balancer {
	uint32_t address;
	uint64_t heard_ms;
} known_balancer_t;

struct relay_agent {
	relay_agent_options_t options;
	relay_agent_ops_t ops;
	void *ctx;
	counters_t counters;
	histogram_t service_ms;
	uint32_t tag; /* of the service */
	uint64_t now; /* of the call under way */
	flow_index_t *flows;
	list_t opening; /* flows whose open was not answered, oldest first */
	list_t awaited; /* opens whose first request is on its way */
	uint32_t nawaited;
	uint32_t slots; /* of the server, as published; 0 unknown */
	bool stopping;
	known_balancer_t balancers[BALANCERS_MAX];
	size_t nbalancers;
	/* load */
	uint32_t live; /* flows that are open and used lately */
	uint32_t in_flight;
	double work; /* in_flight, smoothed */
	uint64_t work_ms;
	double typical_ms;   /* service time; 0 unknown */
	uint64_t typical_at; /* when it was learned */
	uint64_t told_ms;
	double told_work;
	double told_in_flight;
	/* whether the server is there */
	uint64_t heard_ms;   /* any packet of the server */
	uint64_t waiting_ms; /* first packet handed over since; 0: none */
	bool told_quiet;
	uint64_t silent_ms;  /* first unanswered open since; 0: none */
	uint32_t unanswered; /* opens since */
	bool down;
	bool lost;	    /* its flows were reset */
	bool seems_failing; /* by hasty answers, told in the log */
	double failed;	    /* part of the requests that it reset, smoothed */
	uint64_t failed_ms;
	double group_ms; /* typical time of the service's requests; 0 unknown */
	double hasty;	 /* part of the answers that came far too soon */
	uint64_t hasty_ms;
	uint64_t tick_ms; /* last tick */
	bool late;	  /* the last tick was late, answers may wait */
	uint64_t swept_ms;
};

/* relay_agent_load.c */
void relay_load_begin(relay_agent_t *a, aflow_t *f);
void relay_load_end(relay_agent_t *a, aflow_t *f, bool answered);
/* Fills the load that goes with each answer. */
void relay_load_fill(relay_agent_t *a, relay_load_t *load);
/* Tells all balancers at once. */
void relay_load_tell(relay_agent_t *a);
void relay_load_tick(relay_agent_t *a);
void relay_load_balancer(relay_agent_t *a, uint32_t address);

/* relay_agent_health.c: whether the server is there, and serves */
/* The server sent something. */
void relay_server_heard(relay_agent_t *a);
/* An open was not answered. */
void relay_server_silent(relay_agent_t *a, const aflow_t *f);
/* True when the server has lost its flows. */
bool relay_server_lost(const relay_agent_t *a);
/* For how long it is silent beyond what it should be, in ms; 0: it is not. */
uint32_t relay_server_quiet(const relay_agent_t *a);
/* The server reset a request, or left it without an answer. */
void relay_health_unserved(relay_agent_t *a, aflow_t *f);
/* A request that is not answered while others are has been swallowed. */
void relay_health_give_up(relay_agent_t *a);
/* Learns from an answer how fast the server is, and whether it seems to fail;
 * took is in ms. */
void relay_health_answered(relay_agent_t *a, const aflow_t *f, double took);
/* Typical service time in ms, 0 unknown; without requests it comes back to
 * what is typical of the service. */
double relay_health_service_ms(const relay_agent_t *a);
/* Parts of its requests, smoothed, that it did not answer, or answered too
 * soon; both are forgotten while it gets none. */
double relay_health_failed(const relay_agent_t *a);
double relay_health_hasty(const relay_agent_t *a);

/* relay_agent_lookup.c: packets of flows that a balancer does not know */
void relay_agent_lookup(relay_agent_t *a, const relay_msg_t *msg);
/* The server returned the packet that it was to try. */
void relay_agent_lookup_on(relay_agent_t *a, const aflow_t *f,
			   const relay_packet_t *p);

/* relay_agent_open.c */
void relay_agent_offer(relay_agent_t *a, uint32_t from, const relay_msg_t *msg);
/* The server did not accept the open: others may. */
void relay_agent_pass(relay_agent_t *a, aflow_t *f, bool returned);
void relay_agent_opening_tick(relay_agent_t *a);

/* relay_agent.c */
/* The first request of an open is expected, or no longer. */
void aflow_await(relay_agent_t *a, aflow_t *f, bool awaited);
void relay_agent_tell(relay_agent_t *a, uint32_t to, relay_kind_t kind,
		      const flow_key_t *key);
aflow_t *aflow_take(relay_agent_t *a, const flow_key_t *key);
void aflow_forget(relay_agent_t *a, aflow_t *f);
void aflow_phase(relay_agent_t *a, aflow_t *f, aflow_phase_t phase);
void aflow_deliver(relay_agent_t *a, aflow_t *f, relay_packet_t *p);
/* A caller's packet of a flow that the server holds, or may hold. */
void aflow_packet(relay_agent_t *a, aflow_t *f, uint32_t balancer,
		  relay_packet_t *p);
/* The packet may be of the flow that the server accepted. */
bool aflow_matches(const aflow_t *f, const relay_packet_t *p);

#endif
