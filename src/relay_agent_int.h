#ifndef RELAY_AGENT_INT_H
#define RELAY_AGENT_INT_H

/*
 * relay_agent_int - declarations shared by the files of relay_agent
 *
 * "Server" is the backend server of the agent.
 */

#include "endpoint.h"
#include "event_log.h"
#include "flow_index.h"
#include "open_queue.h"
#include "placement.h"
#include "relay_agent.h"
#include "relay_mechanism.h"
#include "routes.h"
#include "server_pace.h"
#include "store_revision.h"
#include "warmup_limit.h"
#include <glib.h>

/* A server returns packets of flows that it does not hold within a few
 * milliseconds. A packet that was not returned within this time belongs to a
 * flow that the server holds. */
#define RELAY_RETURN_MS 50
/* Most candidates kept for an open or a look-up. */
#define CANDIDATES_MAX 16

typedef enum server_flow_phase {
	SERVER_FLOW_OPENING, /* open delivered, no answer from the server yet */
	SERVER_FLOW_QUEUED,  /* the open waits for a slot, not delivered yet */
	SERVER_FLOW_OPEN,    /* accepted by the server */
	SERVER_FLOW_VERIFYING, /* the server may hold the flow */
	SERVER_FLOW_ENDED,     /* closed by both ends, or reset by one */
	SERVER_FLOW_RETURNED,  /* the server returned a packet of the flow */
} server_flow_phase_t;

typedef struct server_flow {
	flow_node_t node; /* first member, as flow_index.h requires */
	server_flow_phase_t phase;
	uint32_t balancer;	/* balancer that used the flow last; address */
	uint32_t caller_isn;	/* sequence number of the SYN */
	uint32_t server_isn;	/* sequence number of the SYN-ACK */
	bool server_isn_known;	/* the SYN-ACK was seen */
	bool refused;		/* in SERVER_FLOW_QUEUED: it is refused */
	bool seen_whole;	/* all that the server sent has been seen */
	bool confirmed;		/* the server sent a packet after the SYN-ACK */
	uint32_t server_next;	/* next sequence number of the server */
	uint32_t caller_next;	/* next sequence number of the caller */
	uint32_t caller_ack;	/* highest acknowledgement of the caller */
	bool caller_acked;	/* it acknowledged the server's numbers */
	bool caller_fin;	/* the caller sent a FIN */
	bool server_fin;	/* the server sent a FIN */
	bool caller_next_known; /* the caller sent data */
	bool active;		/* open, with packets within ACTIVE_MS */
	bool request_pending;	/* a request has no answer yet */
	bool found_free_slot;	/* when the request began, a slot was free */
	uint64_t request_started_ms; /* first packet of the request */
	uint64_t sent_ms;   /* when the caller sent the open's first copy */
	uint64_t opened_ms; /* delivery of the open */
	/* Agents to try next, followed by those of the look-up's chain that are
	 * unsure. */
	uint32_t candidates[CANDIDATES_MAX];
	size_t ncandidates;
	size_t nunsure;
	uint32_t chain;	      /* number of the look-up chain; 0: no look-up */
	uint32_t max_wait_ms; /* see placement_max_wait(); 0: no limit */
	uint8_t syn[64];      /* the open, to offer it to other agents */
	uint8_t syn_len;
	list_t opening;		 /* link in relay_agent.opening or verifying */
	open_wait_t wait;	 /* while in SERVER_FLOW_QUEUED */
	list_t awaiting_request; /* link in relay_agent.awaiting_request */
} server_flow_t;

typedef struct known_balancer {
	uint32_t address;
	uint64_t last_heard_ms; /* last hello */
} known_balancer_t;

struct relay_agent {
	relay_agent_options_t options;
	relay_agent_ops_t ops;
	void *ctx;
	counters_t counters;
	histogram_t service_ms; /* see relay_agent_service_ms() */
	histogram_t queue_ms;	/* time that served opens were queued */
	uint32_t tag;		/* tag of the service, see service_tag() */
	uint64_t now;		/* time of the call in progress, ms */
	/* Latest time of the report on the stop; 0: none is due. */
	uint64_t stop_report_due_ms;
	flow_index_t *flows;
	list_t opening;	  /* flows in SERVER_FLOW_OPENING, oldest first */
	list_t verifying; /* with a request that the server may return */
	list_t awaiting_request; /* flows whose first request is due */
	uint32_t nawaiting_request;
	open_queue_t queue; /* of server_flow.wait */
	uint32_t slots;	    /* published slots of the server; 0: unknown */
	bool stopping;
	bool evacuated; /* the availability zone takes no opens */
	store_revision_t evacuation_revision; /* of its last change */
	uint64_t evacuation_heard_ms;	      /* last word on it */
	uint64_t server_started_ms; /* seen to answer after none listened */
	warmup_limit_t warmup;	    /* opens while the server is cold */
	uint32_t start_cold_ms;	    /* warm-up after a start; 0: not told */
	uint32_t start_opens;	    /* opens in any second of it */
	uint32_t max_flows; /* most flows that the server holds; 0: unknown */
	bool no_server;	    /* none listened at the start, or was heard since */
	GArray *balancers;  /* of known_balancer_t, which get load reports */
	/* load */
	uint32_t active_flows;		 /* flows with `active` set */
	uint32_t in_flight;		 /* requests without an answer */
	double avg_in_flight;		 /* exponential average of in_flight */
	uint64_t avg_updated_ms;	 /* last change of avg_in_flight */
	double avg_service_ms;		 /* average service time; 0: unknown */
	uint64_t avg_service_updated_ms; /* last change of avg_service_ms */
	uint64_t reported_ms; /* last load report, with these values: */
	double reported_avg_in_flight;
	double reported_in_flight;
	/* health of the server */
	uint64_t last_heard_ms; /* last packet from the server */
	/* Delivery, since then, of the first packet that needs an answer; 0:
	 * none. */
	uint64_t unanswered_since_ms;
	bool reported_stalled;	  /* the last load report said stalled */
	bool reported_listens;	  /* it said that the server listens */
	uint64_t silent_since_ms; /* first open without an answer; 0: none */
	uint64_t resumed_ms;	  /* end of the agent's last pause */
	uint64_t probed_ms;	  /* last probe of the server */
	uint64_t refused_ms;  /* last probe that showed that no server runs */
	uint64_t accepted_ms; /* last probe that showed that one runs */
	uint32_t unanswered_opens; /* consecutive opens without an answer */
	bool down;		   /* unanswered_opens reached DOWN_OPENS */
	bool flows_lost;      /* the server lost its flows: they are reset */
	bool pace_logged;     /* the log last said that a pace is in force */
	bool failing_logged;  /* the log last said that answers are too fast */
	server_pace_t pace;   /* requests that the server is trusted with */
	double failure_ratio; /* average ratio of failed requests, 0 to 1 */
	uint64_t failure_updated_ms;
	/* Typical service time of the service's servers; 0: unknown. */
	double group_service_ms;
	double too_fast_ratio; /* average ratio of answers that are too fast */
	uint64_t too_fast_updated_ms;
	uint64_t last_tick_ms; /* last call of relay_agent_tick() */
	bool late; /* the last tick was late: answers may be unread */
	uint64_t last_sweep_ms;
};

/* relay_agent_load.c: requests in flight and load reports */
/* Note the start and the end of a request. `answered`: it ended with an answer,
 * whose time counts. */
void relay_load_request_started(relay_agent_t *a, server_flow_t *f);
void relay_load_request_ended(relay_agent_t *a, server_flow_t *f,
			      bool answered);
/*
 * Notes a request on a flow that the server may not hold. It is no load until
 * the server has kept it for RELAY_RETURN_MS: after a loss of power the
 * requests on all long flows go from server to server, each of which returns
 * them and would otherwise seem busy.
 */
void relay_load_request_unverified(relay_agent_t *a, server_flow_t *f);
/* Counts such a request: the server has answered on its flow. */
void relay_load_request_kept(relay_agent_t *a, server_flow_t *f);
/* Counts those that the server has kept for RELAY_RETURN_MS. */
void relay_load_count_kept(relay_agent_t *a);
/* Fills in the load that messages to balancers carry. */
void relay_load_fill(relay_agent_t *a, relay_load_t *load);
/* Sends a load report to all balancers that said hello recently. */
void relay_load_report(relay_agent_t *a);
/* Sends a load report when one is due. */
void relay_load_tick(relay_agent_t *a);
/* Notes a hello from a balancer. */
void relay_load_add_balancer(relay_agent_t *a, uint32_t address);
/* Tells a balancer that has just started which others the agent knows. */
void relay_load_tell_balancers(relay_agent_t *a, uint32_t to);

/* relay_agent_stop.c: what the balancers know while the agent is away */
/*
 * Adds to a load report of a stopping agent which flows its server may hold:
 * all of them if the agent knows all, else those that it knows. Returns an
 * array to be freed once the message is sent, or NULL.
 */
uint32_t *relay_agent_list_flows(const relay_agent_t *a, relay_msg_t *msg);

/* relay_agent_health.c: whether the server answers, and how well */
/* Notes a packet from the server. */
void relay_server_heard(relay_agent_t *a);
/* Notes an open that the server did not answer in time. */
void relay_server_open_unanswered(relay_agent_t *a, const server_flow_t *f);
/* Notes that the agent did not run for some time: the silence of the server
 * counts from now on. */
void relay_server_agent_paused(relay_agent_t *a);
/* Probes a server that leaves packets or opens without an answer: it may have
 * ended. */
void relay_server_probe_tick(relay_agent_t *a);
/* True when the server has accepted a connection a short time ago: it runs, or
 * hangs, and keeps its flows. */
bool relay_server_listens(const relay_agent_t *a);
/*
 * Returns true when the server must have lost its flows: it is silent, and a
 * probe found no process. Silence alone does not show it, since a server that
 * gets no processor time keeps its flows.
 */
bool relay_server_lost_flows(const relay_agent_t *a);
/* Notes that the server has started again and lost its flows. */
void relay_server_restarted(relay_agent_t *a);
/* Returns how long the server has left packets unanswered, in ms, or 0 while
 * this is too short to count as stalled. */
uint32_t relay_server_stalled_ms(const relay_agent_t *a);
/* Notes a request that the server reset or did not answer in time. */
void relay_health_request_failed(relay_agent_t *a, server_flow_t *f);
/* Counts requests as failed that have waited longer than in any queue of the
 * server. To be called only while the server is not stalled. */
void relay_health_expire_requests(relay_agent_t *a);
/* Updates the average service time and the ratios of failed requests and of
 * too fast answers with a request that was answered after took_ms. */
void relay_health_request_answered(relay_agent_t *a, const server_flow_t *f,
				   double took_ms);
/* Returns the average service time in ms, or the typical one of the service
 * while it is unknown; 0 when this is unknown, too. Without requests it decays
 * to the typical time. */
double relay_health_service_ms(const relay_agent_t *a);
/* Average ratios, 0 to 1, of requests without an answer and of answers that
 * came too fast. Both decay to 0 while the server gets no requests. */
double relay_health_failure_ratio(const relay_agent_t *a);
double relay_health_too_fast_ratio(const relay_agent_t *a);

/* relay_agent_lookup.c: packets of flows that a balancer does not know */
/* Handles RELAY_LOOKUP. */
void relay_agent_lookup(relay_agent_t *a, const relay_msg_t *msg);
/* Whether the server holds a flow, as far as the agent knows. */
typedef enum flow_holding {
	FLOW_HELD,
	FLOW_NOT_HELD,
	FLOW_UNSURE, /* only the server knows */
} flow_holding_t;

/*
 * Returns whether the server holds the flow of a caller's packet that follows
 * the open; f is NULL for an unknown flow. The caller acknowledges the number
 * of the server that it uses, and what servers send passes their agents: a
 * server that has not answered the open is not that server, unless it answered
 * through an earlier process of the agent. A copy of the same open may have
 * been accepted by another server, which uses other numbers.
 */
flow_holding_t relay_agent_holding(const relay_agent_t *a,
				   const server_flow_t *f,
				   const relay_packet_t *p);
/* Notes a packet of the server: the number of its next byte, which does not go
 * back when the server repeats a packet. Returns true if the packet has bytes
 * that were not seen before. */
bool server_flow_note_sent(const relay_agent_t *a, server_flow_t *f,
			   const relay_packet_t *p);
/* Sends a message that the server has the flow, with its initial sequence
 * number. */
void relay_agent_send_holder(relay_agent_t *a, uint32_t to, relay_kind_t kind,
			     const server_flow_t *f);
/* Tells a balancer that the server holds the flow, and logs what shows it. */
void relay_agent_send_held(relay_agent_t *a, uint32_t to,
			   const server_flow_t *f);
/* Tells a balancer that only the server knows whether it holds a flow; f is
 * NULL for an unknown one. */
void relay_agent_send_unsure(relay_agent_t *a, uint32_t to,
			     const flow_key_t *key, const server_flow_t *f);
/* Handles a packet of a flow that the server may have held and returned:
 * forwards its look-up, or sends it back to the balancer. */
void relay_agent_packet_returned(relay_agent_t *a, server_flow_t *f,
				 uint32_t balancer, const relay_packet_t *p);

/* relay_agent_open.c: opens */
/* Handles RELAY_OFFER, which waited in the socket for wait_ms. */
void relay_agent_offer(relay_agent_t *a, uint32_t from, uint32_t wait_ms,
		       const relay_msg_t *msg);
/* Offers an open that the server did not accept to the next candidate.
 * `returned`: the server returned it, so that it will not accept it later. */
void relay_agent_forward_open(relay_agent_t *a, server_flow_t *f,
			      bool returned);
/* Ends the waits for answers to opens and for first requests. */
void relay_agent_open_tick(relay_agent_t *a);
/* Delivers opens that wait for a slot as far as the server has room. */
void relay_agent_serve_queue(relay_agent_t *a);
/* Refuses opens that have waited in vain, or all that wait when no open can be
 * delivered any more. */
void relay_agent_expire_queue(relay_agent_t *a);

/* relay_agent_evacuation.c: whether the availability zone takes opens */
/* Notes what a message from an address says of the zone; NULL: nothing. */
void relay_agent_evacuation(relay_agent_t *a, uint32_t from,
			    const relay_evacuation_t *notice);
/* Notes an open that the agent turns down since the zone is evacuated. */
void relay_agent_evacuated_open(relay_agent_t *a, uint32_t from,
				uint32_t balancer);
/* Ends an evacuation of which no balancer has spoken for long. */
void relay_agent_evacuation_tick(relay_agent_t *a);

/* relay_agent_limits.c: limits of the service that bound the opens */
/* Notes the limits that a hello or an offer tells. */
void relay_agent_note_limits(relay_agent_t *a, const relay_msg_t *msg);
/* Notes that the server is another process than before. Balancers read in its
 * entry that it is cold only up to a second later. */
void relay_agent_server_started(relay_agent_t *a);
/* True when the server holds as many flows as it may. */
bool relay_agent_flows_full(const relay_agent_t *a);
/* True when the server is cold and may get no open at the moment. */
bool relay_agent_warmup_full(const relay_agent_t *a);

/* relay_agent.c: flows */
/* Sets whether the first request of an open is due; it counts as load. */
void server_flow_await_request(relay_agent_t *a, server_flow_t *f,
			       bool awaiting_request);
/* Completes and sends a message about a flow, with the current load. */
void relay_agent_answer(relay_agent_t *a, uint32_t to, relay_msg_t *msg,
			const flow_key_t *key);
/* The same for a message that has no further fields. */
void relay_agent_send(relay_agent_t *a, uint32_t to, relay_kind_t kind,
		      const flow_key_t *key);
/* Finds or adds a flow, and notes its use. Returns NULL when out of memory. */
server_flow_t *server_flow_find_or_add(relay_agent_t *a, const flow_key_t *key);
void server_flow_remove(relay_agent_t *a, server_flow_t *f);
/* Ends what the flow counts as load. */
void server_flow_end_load(relay_agent_t *a, server_flow_t *f);
/* Sends a packet of a flow that the server does not hold back to a balancer. A
 * reset needs no further delivery. */
void relay_agent_give_back(relay_agent_t *a, uint32_t balancer,
			   const relay_packet_t *p);
void server_flow_set_phase(relay_agent_t *a, server_flow_t *f,
			   server_flow_phase_t phase);
/* Tells the balancers that the agent stops, once it is known whether the server
 * runs; without effect afterwards. */
void relay_agent_report_stop(relay_agent_t *a);
/* Notes that only the server knows whether it holds the flow. */
void server_flow_verify(relay_agent_t *a, server_flow_t *f);
void server_flow_deliver(relay_agent_t *a, server_flow_t *f, relay_packet_t *p);
/* Delivers a caller's packet of a flow that the server holds or may hold. */
void server_flow_caller_packet(relay_agent_t *a, server_flow_t *f,
			       uint32_t balancer, relay_packet_t *p);

#endif
