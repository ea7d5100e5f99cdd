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

typedef enum server_flow_phase {
	SERVER_FLOW_OPENING,   /* the open was handed to the server */
	SERVER_FLOW_OPEN,      /* the server accepted it */
	SERVER_FLOW_VERIFYING, /* only the server knows whether it holds the
				  flow */
	SERVER_FLOW_ENDED,     /* both ends ended it, or one reset it */
} server_flow_phase_t;

typedef struct server_flow {
	flow_node_t node; /* first, see flow_index.h */
	server_flow_phase_t phase;
	uint32_t balancer;     /* that sent its last packet */
	uint32_t caller_isn;   /* seq of the SYN */
	uint32_t server_isn;   /* seq of the server's answer to it */
	bool server_isn_known; /* server_isn is */
	bool confirmed;	       /* the server answered a packet behind the SYN */
	uint32_t server_next;  /* behind the last byte that the server sent */
	uint32_t caller_next;  /* behind the last byte that the caller sent */
	uint32_t caller_ack;   /* the caller's last acknowledgement */
	bool caller_fin;       /* the caller sent its end */
	bool server_fin;       /* so did the server */
	bool caller_next_known;	     /* caller_next is known */
	bool active;		     /* open, and used lately */
	bool request_pending;	     /* a request has no answer yet */
	bool found_free_slot;	     /* the request found a free slot */
	uint64_t request_started_ms; /* when the request began */
	uint64_t opened_ms;	     /* when the open was handed over */
	uint32_t
		candidates[CANDIDATES_MAX]; /* others for its open or look-up */
	size_t ncandidates;
	uint32_t chain; /* of the look-up that its server tries; 0: none */
	uint32_t max_wait_ms; /* of the open */
	uint8_t syn[64];      /* kept until the server answers */
	uint8_t syn_len;
	list_t opening;		 /* in relay_agent.opening */
	list_t awaiting_request; /* in relay_agent.awaited */
} server_flow_t;

typedef struct known_balancer {
	uint32_t address;
	uint64_t last_heard_ms;
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
	list_t awaiting_request; /* opens whose first request is on its way */
	uint32_t nawaiting_request;
	uint32_t slots; /* of the server, as published; 0 unknown */
	bool stopping;
	known_balancer_t balancers[BALANCERS_MAX];
	size_t nbalancers;
	/* load */
	uint32_t active_flows; /* flows that are open and used lately */
	uint32_t in_flight;
	double avg_in_flight; /* in_flight, smoothed */
	uint64_t avg_updated_ms;
	double avg_service_ms;		 /* service time; 0 unknown */
	uint64_t avg_service_updated_ms; /* when it was learned */
	uint64_t reported_ms;
	double reported_avg_in_flight;
	double reported_in_flight;
	/* whether the server is there */
	uint64_t last_heard_ms;	      /* any packet of the server */
	uint64_t unanswered_since_ms; /* first packet handed over since; 0: none
				       */
	bool reported_stalled;
	uint64_t silent_since_ms;  /* first unanswered open since; 0: none */
	uint32_t unanswered_opens; /* opens since */
	bool down;
	bool flows_lost;      /* its flows were reset */
	bool failing_logged;  /* by hasty answers, told in the log */
	double failure_ratio; /* part of the requests that it reset, smoothed */
	uint64_t failure_updated_ms;
	double group_service_ms; /* typical time of the service's requests; 0
				    unknown */
	double too_fast_ratio; /* part of the answers that came far too soon */
	uint64_t too_fast_updated_ms;
	uint64_t last_tick_ms; /* last tick */
	bool late;	       /* the last tick was late, answers may wait */
	uint64_t last_sweep_ms;
};

/* relay_agent_load.c */
void relay_load_request_started(relay_agent_t *a, server_flow_t *f);
void relay_load_request_ended(relay_agent_t *a, server_flow_t *f,
			      bool answered);
/* Fills the load that goes with each answer. */
void relay_load_fill(relay_agent_t *a, relay_load_t *load);
/* Tells all balancers at once. */
void relay_load_report(relay_agent_t *a);
void relay_load_tick(relay_agent_t *a);
void relay_load_add_balancer(relay_agent_t *a, uint32_t address);

/* relay_agent_health.c: whether the server is there, and serves */
/* The server sent something. */
void relay_server_heard(relay_agent_t *a);
/* An open was not answered. */
void relay_server_open_unanswered(relay_agent_t *a, const server_flow_t *f);
/* True when the server has lost its flows. */
bool relay_server_lost_flows(const relay_agent_t *a);
/* For how long it is silent beyond what it should be, in ms; 0: it is not. */
uint32_t relay_server_stalled_ms(const relay_agent_t *a);
/* The server reset a request, or left it without an answer. */
void relay_health_request_failed(relay_agent_t *a, server_flow_t *f);
/* A request that is not answered while others are has been swallowed. */
void relay_health_expire_requests(relay_agent_t *a);
/* Learns from an answer how fast the server is, and whether it seems to fail;
 * took is in ms. */
void relay_health_request_answered(relay_agent_t *a, const server_flow_t *f,
				   double took_ms);
/* Typical service time in ms, 0 unknown; without requests it comes back to
 * what is typical of the service. */
double relay_health_service_ms(const relay_agent_t *a);
/* Parts of its requests, smoothed, that it did not answer, or answered too
 * soon; both are forgotten while it gets none. */
double relay_health_failure_ratio(const relay_agent_t *a);
double relay_health_too_fast_ratio(const relay_agent_t *a);

/* relay_agent_lookup.c: packets of flows that a balancer does not know */
void relay_agent_lookup(relay_agent_t *a, const relay_msg_t *msg);
/* The server returned the packet that it was to try. */
void relay_agent_forward_lookup(relay_agent_t *a, const server_flow_t *f,
				const relay_packet_t *p);

/* relay_agent_open.c */
void relay_agent_offer(relay_agent_t *a, uint32_t from, const relay_msg_t *msg);
/* The server did not accept the open: others may. */
void relay_agent_forward_open(relay_agent_t *a, server_flow_t *f,
			      bool returned);
void relay_agent_open_tick(relay_agent_t *a);

/* relay_agent.c */
/* The first request of an open is expected, or no longer. */
void server_flow_await_request(relay_agent_t *a, server_flow_t *f,
			       bool awaiting_request);
void relay_agent_send(relay_agent_t *a, uint32_t to, relay_kind_t kind,
		      const flow_key_t *key);
server_flow_t *server_flow_find_or_add(relay_agent_t *a, const flow_key_t *key);
void server_flow_remove(relay_agent_t *a, server_flow_t *f);
void server_flow_set_phase(relay_agent_t *a, server_flow_t *f,
			   server_flow_phase_t phase);
void server_flow_deliver(relay_agent_t *a, server_flow_t *f, relay_packet_t *p);
/* A caller's packet of a flow that the server holds, or may hold. */
void server_flow_caller_packet(relay_agent_t *a, server_flow_t *f,
			       uint32_t balancer, relay_packet_t *p);
/* The packet may be of the flow that the server accepted. */
bool server_flow_matches(const server_flow_t *f, const relay_packet_t *p);

#endif
