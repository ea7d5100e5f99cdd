#ifndef RELAY_BALANCER_INT_H
#define RELAY_BALANCER_INT_H

/*
 * relay_balancer_int - declarations shared by the relay_balancer_*.c files
 */

#include "early_opens.h"
#include "event_log.h"
#include "flow_index.h"
#include "held_packets.h"
#include "placement.h"
#include "rank.h"
#include "relay_balancer.h"
#include "relay_mechanism.h"
#include "route_history.h"
#include "zone_path.h"
#include <glib.h>

/* Most offers of one open; then the caller is refused. */
#define OFFERS_MAX 5
/* Candidates of an offer, including the agent that receives it. */
#define OFFER_CANDIDATES 3
/* Packets of a flow that are queued while it is looked up. */
#define QUEUED_PACKETS_MAX 4

/*
 * The members of a service. They are ranked by the flow's hash, in the same
 * order at each balancer of an availability zone. Opens are placed among the
 * first ranks, so that look-ups find most flows there, whatever the size of
 * the group.
 */
typedef struct relay_group {
	GPtrArray *members; /* of relay_member_t, not owned */
	GArray *ranks;	    /* rank_member_t of each member, same order */
	bool stale;	    /* ranks must be rebuilt: a member changed */
} relay_group_t;

/* The last load report of an agent, on its backend server and on itself. */
typedef struct relay_load_report {
	uint64_t reported_ms;  /* when it was received; 0: none yet */
	double avg_in_flight;  /* requests in flight, smoothed */
	double in_flight;      /* requests unanswered, or due after an open */
	double service_ms;     /* average service time; 0: unknown */
	double failure_ratio;  /* fraction of requests that failed */
	double too_fast_ratio; /* fraction with an unusually fast answer */
	double flows;	       /* open flows with recent packets */
	uint32_t paced_slots;  /* requests that the pace allows; 0: no pace */
	uint32_t down_ms;      /* since the first unanswered open; 0: up */
	uint32_t stalled_ms;   /* packets unanswered for this time; 0: no */
	bool stopping;	       /* the agent is about to stop or restart */
	bool evacuated;	       /* as the agent reports it */
	bool warmup_full;      /* cold, and may get no open at the moment */
	bool no_server;	       /* none has run since the agent started */
	bool listens;	       /* it accepted a connection a short time ago */
} relay_load_report_t;

/* How a balancer reaches a zone, see relay_balancer_detour.c. */
typedef struct zone_state zone_state_t;

/* An agent and the backend server beside it. */
typedef struct relay_member {
	uint32_t agent;	     /* address */
	const char *service; /* interned */
	char entry_id[DIRECTORY_ID_SIZE];
	uint64_t started_ms; /* start of the target, Unix time, as published */
	entry_state_t state;
	const char *zone;	  /* availability zone, interned */
	zone_state_t *zone_state; /* of that zone, not owned */
	bool local;		  /* in the balancer's availability zone */
	bool evacuated;		  /* the zone takes no opens */
	uint32_t slots;		  /* requests that the server runs at a time */
	uint64_t warmup_end_ms;	  /* end of the target's warm-up */
	/* End of the time for which a target of a zone that was taken back is
	 * taken to be cold. */
	uint64_t assumed_warmup_end_ms;
	uint64_t gone_ms; /* when the state became ENTRY_GONE */
	relay_load_report_t report;
	/* Flows that the server of a stopping agent may hold, as
	 * holder_list_hash(); NULL: unknown, or the agent does not stop. */
	GArray *held;
	/* Flows that the server held when its agent stopped, the last time at
	 * listed_ms, in the same form; NULL: unknown. There may have been
	 * others. */
	GArray *listed;
	uint64_t listed_ms;
	uint64_t last_heard_ms;	      /* last message from the agent */
	uint64_t last_hello_ms;	      /* last hello to the agent */
	uint64_t unanswered_since_ms; /* first hello since then; 0: none */
	uint32_t unanswered_offers;   /* consecutive offers without an answer */
	uint64_t avoided_until_ms; /* no opens are offered before this time */
	uint64_t last_probe_ms;	   /* last probe, see PROBE_INTERVAL_MS */
	uint64_t flows_reset_ms; /* reset of the lost server's flows; 0: none */
	double unreported_opens; /* opens offered since the report; decays */
	uint64_t unreported_opens_ms; /* last change of unreported_opens */
	uint64_t last_offer_ms;
	uint64_t hellos_since_ms;  /* start of the regular hellos; 0: none */
	const char *agent_service; /* that the agent named last; interned */
	bool contested; /* entries of other services name the address, too */
	uint64_t claim_asked_ms; /* last question for the agent's service */
	relay_group_t *group;
	list_t node;
} relay_member_t;

typedef enum relay_phase {
	PHASE_OPENING, /* the open was offered, not taken yet */
	PHASE_KNOWN,   /* the agent that holds the flow is known */
	PHASE_LOOKUP,  /* a look-up is in progress */
	PHASE_CLOSING, /* the caller sent FIN or RST */
} relay_phase_t;

typedef enum lookup_answer {
	ANSWER_NONE,
	ANSWER_NOT_HELD,
	ANSWER_UNSURE, /* only its server knows */
} lookup_answer_t;

/* An agent that was asked in a look-up. */
typedef struct lookup_agent {
	uint32_t agent; /* address */
	lookup_answer_t answer;
	uint32_t chain;	  /* number of the chain that it is in; 0: none */
	bool trial;	  /* servers of unsure agents of that chain try it */
	uint64_t kept_ms; /* when its running server had not returned the packet
			   */
	bool suspect;	  /* it may wait for a server that is lost */
	bool last_tried;  /* it got the packet again when no others were left */
} lookup_agent_t;

typedef struct packet_copy {
	size_t len;
	uint8_t data[];
} packet_copy_t;

/* The agents that a look-up asks; each scope contains those before it. */
typedef enum lookup_scope {
	SCOPE_NONE,
	SCOPE_PRESENT, /* of the services that the route names */
	SCOPE_FORMER,  /* of those that it named before, as far as known */
	SCOPE_ALL,     /* of all services, unless all former ones are known */
} lookup_scope_t;

typedef struct relay_lookup {
	uint64_t started_ms;
	uint64_t last_sent_ms;	/* last chain, query or verification */
	unsigned query_rounds;	/* rounds of queries sent */
	uint64_t away_asked_ms; /* last question to silent agents in a trial */
	GArray *asked;		/* of lookup_agent_t */
	bool lost_zone;		/* agents of one were not waited for */
	bool awaits_read;	/* of the store; all agents have answered */
	lookup_scope_t scope;
	unsigned generation; /* of the balancer when the look-up began */
	GPtrArray *services; /* interned; those whose agents are in pending */
	GArray *pending;     /* addresses of the agents to ask, in order */
	guint next;	     /* position in pending of the next agent to ask */
	uint32_t chain;	     /* number of the newest chain */
	uint32_t listed;     /* agent that has listed the flow; 0: none */
	unsigned batch;	     /* chains to send in the next batch */
	packet_copy_t
		*packet;    /* sent to agents that may hold the flow, owned */
	bool packet_queued; /* it is in `queued`, too */
	bool tried;	    /* servers have tried it since the first chains */
	packet_copy_t *queued[QUEUED_PACKETS_MAX]; /* for the holder, owned */
	unsigned nqueued;
} relay_lookup_t;

typedef struct relay_flow {
	flow_node_t node; /* must be first, see flow_index.h */
	relay_phase_t phase;
	const char *service; /* interned; NULL: any service of the route */
	uint32_t tag;	     /* service_tag() of service */
	uint32_t agent;	     /* address of the holder; 0: unknown */
	uint64_t held_ms;    /* when the agent said that its server holds it */
	uint32_t server_isn; /* of the holder that took the open; 0: not told */
	bool confirmed;	     /* the caller uses the holder, and no other */
	uint32_t seq;	     /* sequence number of the SYN */
	uint32_t ack;	     /* the caller's last acknowledgement */
	uint32_t acked;	     /* the highest one, for a reset */
	uint32_t data_seq;   /* of the caller's last packet with data */
	bool sent_data;	     /* data_seq is set */
	/* First detour of a request that may still be answered, and the
	 * caller's acknowledgement then; 0: none. */
	uint64_t detoured_ms;
	uint32_t detoured_ack;
	uint64_t sent_ms; /* when the caller sent the first copy of the open */
	uint32_t next_copy_ms; /* age at which the next copy is due; 0: none */
	bool copy_missed;      /* one has not come here */
	uint64_t first_offer_ms;
	uint64_t offered_ms; /* last offer, or its time-out */
	/* Agents that received an offer or refused it as a candidate. */
	uint32_t tried[2 * OFFERS_MAX];
	unsigned ntried;
	unsigned offers;
	uint32_t max_wait_ms;  /* see placement_max_wait(); 0: no limit */
	uint32_t objective_ms; /* left of the objective; 0: none */
	uint32_t priority;     /* relative priority of the route, percent */
	uint64_t give_up_ms;   /* the caller's attempt ends soon after */
	unsigned refusals;     /* offers that all candidates refused */
	unsigned queue_offers; /* offers to wait at an agent */
	bool queued;	       /* it waits at the agent that was offered last */
	bool waiting_target;   /* no target takes opens at the moment */
	bool offer_unanswered; /* a server may have taken the open unnoticed */
	uint8_t syn[64];       /* the open, sent with each offer */
	uint8_t syn_len;
	relay_lookup_t *lookup; /* owned; NULL: none */
	list_t waiting;		/* in relay_balancer.waiting */
} relay_flow_t;

struct relay_balancer {
	relay_balancer_options_t options;
	relay_balancer_ops_t ops;
	void *ctx;
	counters_t counters;
	histogram_t open_ms;
	route_table_t *routes;
	route_history_t *history; /* of routes */
	directory_t *directory;
	evacuations_t *evacuations;
	list_t members;
	GHashTable *by_agent; /* address -> relay_member_t */
	GHashTable *groups;   /* service, interned -> relay_group_t, owned */
	GHashTable *zones;    /* zone, interned -> its state, owned */
	unsigned generation;  /* counts changes of routes and targets */
	uint32_t last_chain;  /* number of the last chain that was sent */
	flow_index_t *flows;
	early_opens_t *early; /* opens that wait for the routes */
	held_packets_t *held; /* packets without a route */
	uint64_t read_ms;     /* what the store had written by then is known */
	uint64_t read_wanted_ms;   /* what it had by then is to be read */
	uint64_t read_interval_ms; /* until the next request may follow */
	uint64_t read_asked_ms;	   /* last request for it */
	list_t waiting;		   /* flows in PHASE_OPENING or PHASE_LOOKUP */
	uint64_t now;		   /* time passed to the current call */
	bool reaches_third; /* agents of other zones can pass packets on */
	uint64_t zones_sampled_ms; /* see relay_zones_tick() */
	uint64_t asked_agent_ms;   /* see relay_learn_message() */
	uint64_t last_sweep_ms;
	uint64_t directory_ticked_ms; /* last directory_tick() */
	uint64_t last_tick_ms;
	uint64_t resumed_ms; /* end of the last time without processor time */
	bool late; /* the last tick was late: unread answers are likely */
};

/* relay_balancer_member.c: agents, their load reports and availability */
/* The member at an agent's address, or NULL. */
relay_member_t *relay_member_find(relay_balancer_t *b, uint32_t agent);
/* Applies a changed directory entry to the member at its address. */
void relay_member_update(relay_balancer_t *b, const target_entry_t *entry);
/* Chooses anew among the entries of each address that several name. */
void relay_members_settle(relay_balancer_t *b);
/* Notes that the member sent a message, and stores the load report in it. */
void relay_member_on_message(relay_balancer_t *b, relay_member_t *m,
			     const relay_msg_t *msg);
/* Counts an offer that timed out; after several the member is avoided. */
void relay_member_unanswered(relay_balancer_t *b, relay_member_t *m);
/* Sends hellos that are due, resets the flows of lost servers, and removes
 * members whose targets have been gone for long. */
void relay_members_tick(relay_balancer_t *b);
/* False when the target is gone and its server has lost all flows or can no
 * longer be reached. */
bool relay_member_may_hold_flows(const relay_balancer_t *b,
				 const relay_member_t *m);

/* True when the agent has not answered a hello in time, nor sent anything
 * since. */
bool relay_member_unreached(const relay_balancer_t *b, const relay_member_t *m);

/*
 * True for an unreached member, when the agent stops and has listed its flows,
 * or when the target was gone before the balancer knew it. Look-ups ask a
 * suspect member in a chain without others, which it would delay.
 */
bool relay_member_suspect(const relay_balancer_t *b, const relay_member_t *m);

/* Notes that the balancer did not run for some time: agents that it has not
 * heard from were not silent. */
void relay_members_resume(relay_balancer_t *b);

/* Asks the agent for its load. */
void relay_member_hello(relay_balancer_t *b, relay_member_t *m);

/* relay_balancer_claim.c: addresses that several entries name */
/* True for a service, interned, that the configuration names, or named within a
 * flow's life; for any while no configuration is known. */
bool relay_claim_is_named(const relay_balancer_t *b, const char *service);
/* The entry of the target that is at the member's address, as far as known;
 * NULL: none names it. An entry of a service that is not named does not take
 * the place of a target whose service is. Notes whether several services claim
 * it.
 */
const target_entry_t *relay_claim_best(relay_balancer_t *b, relay_member_t *m);
/* Asks the agent at a contested address for its service when it is due. */
void relay_claim_ask(relay_balancer_t *b, relay_member_t *m);

/* relay_balancer_evacuation.c: members in evacuated availability zones */
/* evacuation_changed_fn, with the balancer as ctx. */
void relay_evacuation_changed(void *ctx, const evacuation_t *e);
/* Notes whether the member's zone is evacuated. */
void relay_evacuation_update(relay_balancer_t *b, relay_member_t *m);
/*
 * Returns what a message to the member's agent says of its zone: out, or NULL
 * when there is nothing to tell.
 */
relay_evacuation_t *relay_evacuation_tell(const relay_balancer_t *b,
					  const relay_member_t *m,
					  relay_evacuation_t *out);
/* True when the agent must hear of its zone: its last report disagrees, or it
 * may have restarted since. */
bool relay_evacuation_hello_due(const relay_balancer_t *b,
				const relay_member_t *m);

/* Last time at which the agent was heard from, or could not have been. */
uint64_t relay_member_heard_ms(const relay_balancer_t *b,
			       const relay_member_t *m);

/* relay_balancer_limits.c: limits of a service's targets */
/* Time in ms for which the member stays cold; 0: it is not. */
uint32_t relay_limits_warmup_left(const relay_balancer_t *b,
				  const relay_member_t *m);
/* Takes a member to be cold whose zone was taken back. */
void relay_limits_assume_cold(relay_balancer_t *b, relay_member_t *m);
/* Fills in what a message to the member's agent says of its warm-up. */
void relay_limits_tell_warmup(const relay_balancer_t *b,
			      const relay_member_t *m, relay_msg_t *msg);
/* Fills in the greatest number of flows. */
void relay_limits_tell_flows(const relay_balancer_t *b, const relay_member_t *m,
			     relay_msg_t *msg);
/* relay_balancer_stop.c: members whose agents stop */
/* True when the member's agent stops, or has stopped within the life of a flow,
 * and listed the flow. */
bool relay_member_listed(const relay_balancer_t *b, const relay_member_t *m,
			 const flow_key_t *key);
/* Stores or discards the list of flows with a load report; NULL: the member's
 * server is another one. */
void relay_member_note_held(const relay_balancer_t *b, relay_member_t *m,
			    const relay_msg_t *msg);
/*
 * True when a target takes no more opens, its agent has stopped, answers no
 * hello and did not list the flow: it is not asked.
 */
bool relay_member_left_without(const relay_balancer_t *b,
			       const relay_member_t *m, const flow_key_t *key);
/*
 * Records in a look-up that agents that stopped, and have not answered it, do
 * not hold the flow if they did not list it. Returns true if there are any.
 */
bool relay_lookup_skip_stopped(relay_balancer_t *b, relay_flow_t *f);

/* relay_balancer_group.c: the members of a service and their ranks */
GHashTable *relay_groups_new(void);
/* Takes an interned string. Returns NULL when the service never had a member.
 */
relay_group_t *relay_group_find(const relay_balancer_t *b, const char *service);
/* Puts a new or changed member into the group of its service. */
void relay_group_update(relay_balancer_t *b, relay_member_t *m);
void relay_group_remove(relay_member_t *m);
/*
 * Writes the positions of the members that rank first for a flow to `order`,
 * as rank_best_filtered() does.
 */
size_t relay_group_rank(relay_group_t *g, const flow_key_t *key,
			uint32_t *order, size_t want, rank_accept_fn accept,
			const void *ctx);

/* relay_balancer_open.c: opens */
/* True for an open that its caller has given up; it is counted. */
bool relay_open_is_stale(relay_balancer_t *b, const relay_packet_t *p);
/* Handles a SYN. */
void relay_open_packet(relay_balancer_t *b, const route_t *route,
		       relay_packet_t *p);
/* Handle an agent's answer to an offer. */
void relay_open_taken(relay_balancer_t *b, uint32_t from,
		      const relay_msg_t *msg);
void relay_open_refused(relay_balancer_t *b, uint32_t from,
			const relay_msg_t *msg);
void relay_open_queued(relay_balancer_t *b, uint32_t from,
		       const relay_msg_t *msg);
/* Checks the time-outs of a flow in PHASE_OPENING. */
void relay_open_tick(relay_balancer_t *b, relay_flow_t *f);

/* relay_balancer_read.c: packets and look-ups that wait for the store */
/*
 * True when all that the store had written by a time is known: a route or
 * target that is not known was not in force then. Otherwise the store is read
 * soon.
 */
bool relay_read_since(relay_balancer_t *b, uint64_t since_ms);
/* Notes that a look-up begins: while others end without a holder, the store is
 * read before its agents have answered. */
void relay_read_expect(relay_balancer_t *b);
/* Handles a packet without a route that was read at a time, after it had waited
 * in the socket for wait_ms. */
void relay_unrouted_packet(relay_balancer_t *b, const relay_packet_t *p,
			   uint64_t arrived_ms, uint32_t wait_ms);
/* Handles the held packets by new routes. */
void relay_routes_changed(relay_balancer_t *b);
/* Asks for a reading of the store if one is due. */
void relay_read_tick(relay_balancer_t *b);

/* relay_balancer_chain.c: which agents a look-up asks, and in which order */
/*
 * Once all pending agents are asked, appends those of the next scope that has
 * further agents, service by service in the order of their ranks with suspect
 * ones last. Agents and routes that became known during the look-up are
 * considered, too. Returns false when there is none: all agents that may hold
 * the flow were asked.
 */
bool relay_chain_widen(relay_balancer_t *b, const flow_key_t *key,
		       relay_lookup_t *l);
/*
 * Sends the packet to the next agents, in more chains at each call. Servers of
 * unsure agents try it as long as all agents before have answered. Returns
 * false when there are no further agents.
 */
bool relay_chain_send_batch(relay_balancer_t *b, relay_lookup_t *l);
/*
 * Sends the packet along one chain of agents that were asked, addresses in
 * order, as far as they belong to the service of the first. Their answers are
 * due again. Returns false when there is none.
 */
bool relay_chain_send_again(relay_balancer_t *b, relay_lookup_t *l,
			    const GArray *agents);
/* Sends the packet to an agent, in a chain without others. */
void relay_chain_send_single(relay_balancer_t *b, relay_lookup_t *l,
			     const relay_member_t *m);

/* relay_balancer_lookup.c: flows whose holder is not known */
/*
 * Starts or continues the look-up of a packet's flow; excluded is an agent
 * known not to hold the flow (0: none).
 */
void relay_lookup_packet(relay_balancer_t *b, relay_flow_t *f,
			 const relay_packet_t *p, uint32_t excluded);
/* Handles an agent's answer to a chain or query. */
void relay_lookup_answer(relay_balancer_t *b, uint32_t from,
			 const relay_msg_t *msg);
/* Continues a look-up that waited for the store. */
void relay_lookup_store_read(relay_balancer_t *b, relay_flow_t *f);
/* Checks the time-outs of a flow in PHASE_LOOKUP. */
void relay_lookup_tick(relay_balancer_t *b, relay_flow_t *f);
/* Ends a look-up whose holder was found; sends it the queued packets. */
void relay_lookup_found(relay_balancer_t *b, relay_flow_t *f);
void relay_lookup_free(relay_lookup_t *l);

/* relay_balancer_detour.c: availability zones that are cut off */
GHashTable *relay_zones_new(void);
/* The state of a zone, an interned string; owned by the balancer. */
zone_state_t *relay_zone_find(relay_balancer_t *b, const char *zone);
/* Finds out which zones are cut off. */
void relay_zones_tick(relay_balancer_t *b);
/* True when the member's zone is cut off: it gets no opens. */
bool relay_zone_cut(const relay_member_t *m);
/* True when no request can be answered by the member, as its zone can't be
 * reached by any way. */
bool relay_zone_lost(const relay_balancer_t *b, const relay_member_t *holder);
/*
 * Handles a caller's packet for the holder of a known flow before it is sent:
 * sends it a second way while the holder's agent is unreached, or resets the
 * flow when its request can't be answered there and may run elsewhere. Returns
 * false when the flow was reset.
 */
bool relay_detour_packet(relay_balancer_t *b, const route_t *route,
			 relay_flow_t *f, const relay_packet_t *p);

/* relay_balancer_learn.c: a balancer that knows no routes yet */
/* Handles any message from an agent: asks it for other balancers, or these for
 * their routes and targets. */
void relay_learn_message(relay_balancer_t *b, uint32_t from,
			 const relay_msg_t *msg);

/* relay_balancer.c */
/* Handles a packet while routes are known. It was read at arrived_ms, after it
 * had waited in the socket for wait_ms. */
void relay_handle_routed(relay_balancer_t *b, relay_packet_t *p,
			 uint64_t arrived_ms, uint32_t wait_ms);
/* Finds or adds a flow. Returns NULL when out of memory. */
relay_flow_t *relay_flow_get(relay_balancer_t *b, const flow_key_t *key);
relay_flow_t *relay_flow_find(relay_balancer_t *b, const flow_key_t *key);
/* Changes the phase; flows that wait for agents are listed in b->waiting. */
void relay_flow_set_phase(relay_balancer_t *b, relay_flow_t *f,
			  relay_phase_t phase);
/* Sends the caller a reset and removes the flow; why goes to the log. */
void relay_flow_reset(relay_balancer_t *b, relay_flow_t *f, const char *why);
/* Sets the agent that holds the flow and ends its look-up, if any. */
void relay_flow_set_holder(relay_balancer_t *b, relay_flow_t *f, uint32_t agent,
			   const char *service);
/* Notes an acknowledgement of the caller, which shows whether it uses the
 * server that took the open. */
void relay_flow_note_ack(relay_flow_t *f, uint32_t ack);
/* Sends a packet to the flow's agent; mark is RELAY_MARK_* or 0. */
void relay_flow_send(relay_balancer_t *b, const relay_flow_t *f,
		     relay_packet_t *p, uint8_t mark);

#endif
