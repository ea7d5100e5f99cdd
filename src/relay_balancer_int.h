#ifndef RELAY_BALANCER_INT_H
#define RELAY_BALANCER_INT_H

/*
 * relay_balancer_int - what the files of relay_balancer share
 */

#include "event_log.h"
#include "flow_index.h"
#include "placement.h"
#include "rank.h"
#include "relay_balancer.h"
#include <glib.h>

/* Agents that an open is offered to before the caller is refused. */
#define OFFERS_MAX 5
/* Candidates that go with an offer, the first receiver included. */
#define OFFER_CANDIDATES 3
/* Packets that wait for the end of a look-up, a flow. */
#define QUEUED_PACKETS_MAX 4

/*
 * The members of a service. A flow ranks them by its hash, alike at each
 * balancer of an availability zone: opens are placed among the first ranks, so
 * look-ups find most flows there however large the group is.
 */
typedef struct relay_group {
	GPtrArray *members; /* of relay_member_t, not owned */
	GArray *ranks;	    /* rank_member_t of each */
	bool stale;	    /* members changed since ranks were made */
} relay_group_t;

/* What an agent told of its server and of itself. */
typedef struct relay_load_report {
	uint64_t reported_ms; /* 0: nothing yet */
	double avg_in_flight;
	double in_flight;
	double service_ms;
	double failure_ratio;  /* part of its requests, 0 to 1 */
	double too_fast_ratio; /* part answered far too soon, 0 to 1 */
	double flows;	       /* open and used lately */
	uint32_t down_ms;
	uint32_t stalled_ms;
	bool stopping;
} relay_load_report_t;

/* An agent and the backend server beside it. */
typedef struct relay_member {
	uint32_t agent;
	const char *service; /* interned */
	char entry_id[DIRECTORY_NAME_SIZE];
	uint64_t revision;   /* of that entry */
	uint64_t started_ms; /* of the target, as published */
	entry_state_t state;
	bool local;
	uint32_t slots;
	uint64_t warmup_end_ms;
	uint64_t gone_ms; /* state GONE since */
	relay_load_report_t report;
	uint64_t last_heard_ms; /* anything */
	uint64_t last_hello_ms; /* last hello sent */
	/* own doubts */
	uint32_t unanswered_offers; /* offers in a row */
	uint64_t avoided_until_ms;  /* takes no opens until then */
	uint64_t last_probe_ms;	    /* last open offered in spite of doubts */
	uint64_t flows_reset_ms;    /* its flows were reset; 0: no */
	double unreported_opens;    /* opens placed since it told its load */
	uint64_t unreported_opens_ms;
	uint64_t last_offer_ms;	  /* last open offered */
	uint64_t hellos_since_ms; /* hellos go regularly since; 0: they don't */
	relay_group_t *group;
	list_t node;
} relay_member_t;

typedef enum relay_phase {
	PHASE_OPENING, /* offered, not taken yet */
	PHASE_KNOWN,   /* an agent holds it */
	PHASE_LOOKUP,  /* a look-up is under way */
	PHASE_CLOSING, /* the caller ended it */
} relay_phase_t;

typedef enum lookup_answer {
	ANSWER_NONE,
	ANSWER_NOT_HELD,
	ANSWER_UNSURE,
} lookup_answer_t;

typedef struct lookup_agent {
	uint32_t agent;
	lookup_answer_t answer;
	unsigned chain; /* that it was put in */
	bool tried;	/* the packet was sent there to find out */
} lookup_agent_t;

typedef struct packet_copy {
	size_t len;
	uint8_t data[];
} packet_copy_t;

typedef struct relay_lookup {
	uint64_t started_ms;
	uint64_t last_sent_ms;
	unsigned query_rounds;
	GArray *asked;	 /* of lookup_agent_t */
	GArray *pending; /* agents that were not asked yet, in their order */
	guint next;	 /* the first of them */
	unsigned chains; /* sent up to now */
	unsigned batch;	 /* chains that go together */
	packet_copy_t *packet; /* that is looked up, owned */
	packet_copy_t *queued[QUEUED_PACKETS_MAX];
	unsigned nqueued;
} relay_lookup_t;

typedef struct relay_flow {
	flow_node_t node; /* first, see flow_index.h */
	relay_phase_t phase;
	const char *service;	 /* interned; NULL: any of the route's */
	uint32_t tag;		 /* of the service */
	uint32_t agent;		 /* that holds it, 0 unknown */
	uint32_t seq;		 /* of the SYN */
	uint32_t ack;		 /* the caller's last acknowledgement */
	uint64_t first_offer_ms; /* first offer */
	uint64_t offered_ms;	 /* last offer */
	/* Receivers of offers, and those behind them that refused. */
	uint32_t tried[2 * OFFERS_MAX];
	unsigned ntried;
	unsigned offers;
	uint32_t max_wait_ms;  /* waiting that the open is worth */
	bool offer_unanswered; /* an offer was not answered: its server may have
				  run */
	uint8_t syn[64];
	uint8_t syn_len;
	relay_lookup_t *lookup; /* owned, NULL: none */
	list_t waiting;		/* in relay_balancer.waiting */
} relay_flow_t;

struct relay_balancer {
	relay_balancer_options_t options;
	relay_balancer_ops_t ops;
	void *ctx;
	counters_t counters;
	histogram_t open_ms;
	route_table_t *routes;
	directory_t *directory;
	list_t members;
	GHashTable *by_agent; /* address -> relay_member_t */
	GHashTable *groups;   /* service, interned -> relay_group_t, owned */
	flow_index_t *flows;
	list_t waiting; /* flows that are opening or looked up */
	uint64_t now;	/* of the call under way */
	uint64_t last_sweep_ms;
	uint64_t last_tick_ms; /* last tick */
	bool late;	       /* the last tick was late, answers may wait */
};

/* relay_balancer_member.c: agents and what is believed of them */
relay_member_t *relay_member_find(relay_balancer_t *b, uint32_t agent);
void relay_member_update(relay_balancer_t *b, const target_entry_t *entry);
void relay_member_on_message(relay_balancer_t *b, relay_member_t *m,
			     const relay_msg_t *msg);
/* Notes that an offer was not answered. */
void relay_member_unanswered(relay_balancer_t *b, relay_member_t *m);
void relay_members_tick(relay_balancer_t *b);
/* True when it may be asked about flows. */
bool relay_member_may_hold_flows(const relay_balancer_t *b,
				 const relay_member_t *m);

/*
 * True when it has not answered for a while: look-ups ask it apart from the
 * others, who would wait behind it.
 */
bool relay_member_suspect(const relay_balancer_t *b, const relay_member_t *m);

/* relay_balancer_group.c: the members of a service, and their ranks */
GHashTable *relay_groups_new(void);
/* NULL when it has no member yet; the service is an interned string. */
relay_group_t *relay_group_find(const relay_balancer_t *b, const char *service);
/* Moves a member to the group of its service, or notes that it changed. */
void relay_group_update(relay_balancer_t *b, relay_member_t *m);
void relay_group_remove(relay_member_t *m);
/* Positions of the members that a flow ranks first, as rank_best_filtered(). */
size_t relay_group_rank(relay_group_t *g, const flow_key_t *key,
			uint32_t *order, size_t want, rank_accept_fn accept,
			const void *ctx);

/* relay_balancer_open.c: opens */
void relay_open_packet(relay_balancer_t *b, const route_t *route,
		       relay_packet_t *p);
void relay_open_taken(relay_balancer_t *b, uint32_t from,
		      const relay_msg_t *msg);
void relay_open_refused(relay_balancer_t *b, uint32_t from,
			const relay_msg_t *msg);
void relay_open_tick(relay_balancer_t *b, relay_flow_t *f);

/* relay_balancer_chain.c: which agents a look-up asks, and in which order */
/* The agents that may hold a flow (addresses), by its ranks, doubtful ones
 * last; freed by the caller. */
GArray *relay_chain_agents(relay_balancer_t *b, const route_t *route,
			   const flow_key_t *key, uint32_t excluded);
/* Asks on, each time more agents at once. Returns false when all were. */
bool relay_chain_send_batch(relay_balancer_t *b, relay_lookup_t *l);

/* relay_balancer_lookup.c: flows that are not remembered */
void relay_lookup_packet(relay_balancer_t *b, const route_t *route,
			 relay_flow_t *f, const relay_packet_t *p,
			 uint32_t excluded);
void relay_lookup_answer(relay_balancer_t *b, uint32_t from,
			 const relay_msg_t *msg);
void relay_lookup_tick(relay_balancer_t *b, relay_flow_t *f);
/* The holder is known: sends what waited. */
void relay_lookup_found(relay_balancer_t *b, relay_flow_t *f);
void relay_lookup_free(relay_lookup_t *l);

/* relay_balancer.c */
/* The flow, made when it isn't known. */
relay_flow_t *relay_flow_get(relay_balancer_t *b, const flow_key_t *key);
relay_flow_t *relay_flow_find(relay_balancer_t *b, const flow_key_t *key);
void relay_flow_set_phase(relay_balancer_t *b, relay_flow_t *f,
			  relay_phase_t phase);
/* Resets the caller's flow and forgets it; why goes to the log. */
void relay_flow_reset(relay_balancer_t *b, relay_flow_t *f, const char *why);
void relay_flow_set_holder(relay_balancer_t *b, relay_flow_t *f, uint32_t agent,
			   const char *service);
/* Sends a packet to the agent that holds the flow. */
void relay_flow_send(relay_balancer_t *b, const relay_flow_t *f,
		     relay_packet_t *p, uint8_t mark);

#endif
