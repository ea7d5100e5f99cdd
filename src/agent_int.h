#ifndef AGENT_INT_H
#define AGENT_INT_H

/*
 * agent_int - what the files of the agent share
 *
 * agent.c dispatches, agent_admit.c decides on opens, agent_lookup.c finds
 * flows, agent_answer.c handles the backend server's packets, agent_group.c
 * talks to the other members, agent_handover.c hands the flows over.
 */

#include "agent.h"
#include "capacity.h"
#include "refusal.h"

/* An open flow that stays half open for longer is given up. */
#define HALF_OPEN_MS 20000
/* A finished flow is kept for late packets. */
#define CLOSING_MS 5000
/* A flow without a packet for longer is forgotten. */
#define IDLE_MS	    (24ULL * 3600 * 1000)
#define UDP_IDLE_MS 120000
/* A trial is repeated after this long, and given up after TRIAL_TRIES. */
#define TRIAL_MS    200
#define TRIAL_TRIES 3
/* Packets kept during a trial. */
#define TRIAL_KEPT 8
/* Time to come back that a refusal carries, in seconds. */
#define RETRY_AFTER_S 2

typedef struct membership membership_t;

struct agent {
	agent_options_t options;
	agent_ops_t ops;
	void *ctx;
	config_t *config;	  /* in force */
	config_t *home;		  /* last one with our target in it */
	const service_t *service; /* in home */
	const target_t *target;	  /* in home */
	bool configured;	  /* our target is in the one in force */
	bool leaving;		  /* the process is stopping */
	bool complete;		  /* the table knows all flows */
	bool server_down;	  /* the backend server's host said so */
	uint64_t server_down_ms;
	uint64_t incarnation;
	uint64_t started_ms;
	uint64_t digest_ms; /* when the next digest is due */
	uint64_t learn_ms;  /* when to compare service times again */
	size_t pass_next;   /* member whose load is passed on next */
	uint64_t told_ms;   /* when the last one was sent */
	double told_work;   /* what it said */
	bool told_full;
	uint64_t last_tick_ms;
	uint64_t random; /* state of the random numbers */
	flow_table_t *flows;
	group_t group;
	capacity_t capacity;
	uint32_t work;	    /* weighted, of the flows held */
	uint32_t in_flight; /* requests without an answer */
	uint32_t in_slots;  /* of them believed to be served */
	list_t slot_waits;  /* flows whose request waits for a slot */
	counters_t counters;
	struct silence *silences; /* lookups that could not be finished */
	membership_t *membership; /* of agent_probe.c */
};

/* A caller's packet with what its message said. */
typedef struct arrival {
	packet_t packet;
	uint64_t hash;
	packet_step_t step;
	endpoint_t reply; /* balancer to tell, port 0 for none */
	const uint32_t *asked;
	size_t nasked;
	const uint32_t *unasked;
	size_t nunasked;
	const uint32_t *candidates;
	size_t ncandidates;
	bool last_resort;
} arrival_t;

/* agent.c */
void agent_audit(agent_t *a, const char *event, const char *detail);
uint64_t agent_random(agent_t *a);
/* Tells the balancer where the flow is; flow NULL: nobody holds it. */
void agent_tell(agent_t *a, const arrival_t *in, bool refused, bool gone);
/* Resets the caller's flow with a word. */
void agent_refuse(agent_t *a, const packet_t *p, refusal_t word);
/* Learned capacity, 0 when unknown. */
double agent_capacity(const agent_t *a);
void agent_fill_load(agent_t *a, uint64_t now, load_msg_t *load);

/* agent_flow.c: the life of one flow */
void flow_enter(agent_t *a, flow_t *f, uint64_t now, flow_state_t state);
void flow_count(agent_t *a, flow_t *f);
void flow_forget(agent_t *a, flow_t *f);
bool flow_matches(const agent_t *a, const flow_t *f, const packet_t *p);
void flow_deliver(agent_t *a, uint64_t now, flow_t *f, const packet_t *p);
void flow_request_end(agent_t *a, uint64_t now, flow_t *f, bool answered);
void flows_tick(agent_t *a, uint64_t now);

/* agent_admit.c */
void admit_open(agent_t *a, uint64_t now, const arrival_t *in);
bool admit_full(const agent_t *a);

/* agent_lookup.c */
void lookup_packet(agent_t *a, uint64_t now, const arrival_t *in);
void lookup_pass_on(agent_t *a, uint64_t now, const arrival_t *in);
void lookup_trial_denied(agent_t *a, uint64_t now, flow_t *f);
void lookup_trial_held(agent_t *a, uint64_t now, flow_t *f,
		       const packet_t *answer);
void lookup_trial_tick(agent_t *a, uint64_t now, flow_t *f);
void lookup_free(agent_t *a);

/* agent_group.c */
/* Tells some members our load and the rumours, now. */
void membership_tell(agent_t *a, uint64_t now);
/* Brings our own entry of the group up to date; NULL when there is none. */
member_t *membership_self(agent_t *a);
void membership_tick(agent_t *a, uint64_t now);
void membership_digest(agent_t *a, uint64_t now, const endpoint_t *from,
		       const digest_msg_t *digest);
void membership_leave(agent_t *a, uint64_t now);

/* agent_probe.c */
void probes_tick(agent_t *a, uint64_t now);
size_t rumours_fill(agent_t *a, load_msg_t *loads, load_msg_t **list);
void rumours_take(agent_t *a, uint64_t now, load_msg_t *const *rumours,
		  size_t n);
void membership_probe(agent_t *a, uint64_t now, const endpoint_t *from,
		      const probe_msg_t *probe);

#endif
