#ifndef AGENT_INT_H
#define AGENT_INT_H

/*
 * agent_int - what the files of the agent share
 *
 * agent.c dispatches, agent_admit.c decides on opens, agent_lookup.c finds
 * flows, agent_silence.c bounds lookups that can't be finished, agent_trial.c
 * asks the backend server for a flow, agent_offer.c offers opens elsewhere,
 * agent_wake.c asks peers after a long pause, agent_witness.c tells the callers
 * of a lost host, agent_server.c watches the backend server, agent_answer.c
 * handles the backend server's packets, agent_group.c talks to the other
 * members, agent_handover.c hands the flows over.
 */

#include "agent.h"
#include "capacity.h"
#include "refusal.h"

/* An open flow that stays half open for longer is given up. */
#define HALF_OPEN_MS 20000
/* A finished flow is kept for late packets. */
#define CLOSING_MS  5000
#define UDP_IDLE_MS 120000
/* A caller is told so often, first after this long, then twice as long. */
#define TELLINGS      5
#define TELL_AGAIN_MS 1000
/* A flow whose caller was told for the last time is kept for late packets. */
#define TOLD_MS 20000
/*
 * A caller whose flow is idle for IDLE_MS is asked whether it still is there.
 * After KEEPALIVES without an answer, or when its backend server has sent
 * into the void for VANISHED_MS, the server is told that it is gone.
 */
#define IDLE_MS	    (30 * 60 * 1000)
#define KEEPALIVES  3
#define VANISHED_MS (15 * 60 * 1000)
/* Sequence numbers of one flow stay this close to each other, in bytes. */
#define SEQ_NEAR (16 * 1024 * 1024)
/* A segment so far before the window is answered by an acknowledgement. */
#define SEQ_BEFORE (64 * 1024 * 1024)
/* Members to which an open that a backend server refused is offered. */
#define OFFERS_MAX 3
/* Members that one lookup may name. */
#define NAMED_MAX 1024
/* Nothing is said for this long, and half a second, while a member could not
 * be asked. */
#define SILENCE_MS 4500
/* The same when several members are silent at once. */
#define PARTITION_MS 30000
/* After a start the backend server is asked for each unknown flow so long. */
#define START_MS 60000
/* A trial is repeated after this long, and given up after TRIAL_TRIES. */
#define TRIAL_MS    200
#define TRIAL_TRIES 3
/* A backend server that stayed silent is asked again after this long. */
#define TRIAL_AGAIN_MS 1000
/* Packets kept during a trial. */
#define TRIAL_KEPT 8
/* Time to come back that a refusal carries, in seconds. */
#define RETRY_AFTER_S 2

typedef struct membership membership_t;
typedef struct silences silences_t;
typedef struct witness witness_t;
typedef struct rumours rumours_t;

struct agent {
	agent_options_t options;
	agent_ops_t ops;
	void *ctx;
	config_t *config;	  /* in force */
	config_t *home;		  /* last one with our target in it */
	const service_t *service; /* in home */
	const target_t *target;	  /* in home */
	target_t orphan;	  /* our target when no document has it */
	bool configured;	  /* our target is in the one in force */
	bool leaving;		  /* the process is stopping */
	bool complete;		  /* the table knows all flows */
	bool asks_server;	  /* for each unknown flow, after a start */
	uint64_t asks_until_ms;	  /* when that ends */
	bool server_down;	  /* the backend server's host said so */
	uint64_t server_heard_ms; /* last packet of the backend server */
	uint64_t server_asked_ms; /* first one unanswered since, 0 for none */
	uint64_t server_probe_ms; /* when the next probe is due */
	bool server_lost;	  /* the callers of all flows were told */
	bool server_doubted;	  /* all flows are to be probed */
	int32_t hint_credit;	  /* bytes of hints that may be sent */
	uint64_t hint_ms;	  /* when the credit was last raised */
	uint64_t incarnation;
	uint64_t started_ms;
	uint64_t digest_ms; /* when the next digest is due */
	uint64_t learn_ms;  /* when to compare service times again */
	size_t pass_next;   /* member whose load is passed on next */
	uint64_t told_ms;   /* when the last one was sent */
	double told_work;   /* what it said */
	bool told_full;
	uint64_t last_tick_ms;
	uint64_t woke_ms;	  /* after the last pause */
	uint64_t unsure_until_ms; /* 0 when a peer has answered */
	uint64_t peers_version;	  /* greatest that a peer told since */
	uint64_t random;	  /* state of the random numbers */
	flow_table_t *flows;
	group_t group;
	capacity_t capacity;
	uint32_t held;	    /* flows held, without those that are over */
	uint32_t work;	    /* weighted, of these */
	uint32_t in_flight; /* requests without an answer */
	uint32_t in_slots;  /* of them believed to be served */
	list_t slot_waits;  /* flows whose request waits for a slot */
	counters_t counters;
	silences_t *silences; /* lookups that could not be finished */
	witness_t *witness;   /* what is told to peers and known of theirs */
	rumours_t *rumours;   /* of dead members, for balancers; owned */
	wire_arena_t arena;   /* for packets that were kept */
	membership_t *membership; /* of agent_probe.c */
};

/* A caller's packet with what its message said. */
typedef struct arrival {
	packet_t packet;
	uint64_t hash;
	uint64_t version; /* of the last hop */
	packet_step_t step;
	endpoint_t reply; /* balancer to tell, port 0 for none */
	const uint32_t *asked;
	size_t nasked;
	const uint32_t *unasked;
	size_t nunasked;
	const uint32_t *known; /* members that earlier hops know of */
	const uint64_t *known_agents;
	size_t nknown;
	const uint32_t *candidates;
	size_t ncandidates;
	bool last_resort;
	bool mixed;	   /* hops had different versions */
	bool silence_over; /* members that can't be asked count as asked */
	bool untried;	   /* a hop did not ask its backend server */
	bool ask_servers;  /* each hop has to */
	bool only_you;	   /* not to be passed on */
} arrival_t;

/* agent.c */
void agent_audit(agent_t *a, const char *event, const char *detail);
uint64_t agent_random(agent_t *a);
/* What a message with a packet says. Returns 0, or -1 and counts why not. */
int arrival_parse(agent_t *a, const packet_msg_t *msg, arrival_t *in);
/* A message that points into the arrival. */
void arrival_message(const arrival_t *in, packet_msg_t *msg);
/* Handles a caller's packet. */
void agent_arrival(agent_t *a, uint64_t now, const arrival_t *in);
/* Hints for packets that were looked up are bounded in bytes a second. */
bool hint_allowed(agent_t *a, uint64_t now);
/*
 * An agent whose target was deleted before it started finds its service by
 * the packets that still come. Returns false when it has none.
 */
bool agent_find_home(agent_t *a, uint64_t now, uint64_t id, uint32_t address);
/* Tells the balancer where the flow is; flow NULL: nobody holds it. */
void agent_tell(agent_t *a, const arrival_t *in, bool refused, bool gone);
/* Resets the caller's flow with a word. */
void agent_refuse(agent_t *a, const packet_t *p, refusal_t word);
void agent_fill_load(agent_t *a, uint64_t now, load_msg_t *load);

/* agent_flow.c: the life of one flow */
void flow_enter(agent_t *a, flow_t *f, uint64_t now, flow_state_t state);
/* Sets class and weight from the port. */
void flow_classify(const agent_t *a, flow_t *f);
void flow_count(agent_t *a, flow_t *f);
void flow_forget(agent_t *a, flow_t *f);
bool flow_matches(const agent_t *a, const flow_t *f, const packet_t *p);
void flow_deliver(agent_t *a, uint64_t now, flow_t *f, const packet_t *p);
void flow_request_end(agent_t *a, uint64_t now, flow_t *f, bool answered);
void flows_tick(agent_t *a, uint64_t now);

/* Resets the caller's flow with the true word. */
void flow_tell(agent_t *a, uint64_t now, flow_t *f);
/* The word that is true for a flow. */
refusal_t flow_word(const flow_t *f);
/* Resets the backend server's side of the flow. */
void flow_reset_server(agent_t *a, flow_t *f);
/* Asks the backend server whether it still has the flow. */
void flow_probe(agent_t *a, flow_t *f);

/* agent_server.c: whether the backend server is there */
void server_heard(agent_t *a, uint64_t now);
void server_asked(agent_t *a, uint64_t now);
void server_tick(agent_t *a, uint64_t now);

/* agent_offer.c: opens that this backend server does not take */
/* Offers an open to a member that was not asked. False: none is left. */
bool offer_elsewhere(agent_t *a, uint64_t now, const arrival_t *in);
/* Offers a flow's kept SYN elsewhere or refuses it. Forgets the flow. */
void offer_refused(agent_t *a, uint64_t now, flow_t *f);

/* agent_witness.c: peers know of our flows, so that callers can be told */
witness_t *witness_new(void);
void witness_free(witness_t *w);
void witness_opened(agent_t *a, flow_t *f);
void witness_closed(agent_t *a, flow_t *f);
/* Tells news at once if the bound leaves room. */
void witness_news(agent_t *a, uint64_t now);
void witness_tick(agent_t *a, uint64_t now);
void witness_take(agent_t *a, uint64_t now, const witness_msg_t *msg);

/* agent_rumour.c: balancers that send to us hear of dead members */
rumours_t *rumours_new(void);
void rumours_tick(agent_t *a, uint64_t now);
/* A balancer asks how the service is. */
void rumours_asked(agent_t *a, uint64_t now, const digest_msg_t *msg);
void rumours_heard(agent_t *a, uint64_t now, const endpoint_t *balancer);

/* agent_wake.c: what was believed before a long pause may be wrong */
/* Notices the pause; before anything else is done. */
void wake_check(agent_t *a, uint64_t now);
void wake_tick(agent_t *a, uint64_t now);
void wake_digest(agent_t *a, uint64_t now, const digest_msg_t *digest);
/* True until a peer has said which configuration is in force. */
bool wake_unsure(const agent_t *a);

/* agent_admit.c */
void admit_open(agent_t *a, uint64_t now, const arrival_t *in);
bool admit_full(const agent_t *a);

/* agent_lookup.c */
void lookup_packet(agent_t *a, uint64_t now, const arrival_t *in);
/* Goes on to the next member; with `silent` our own server did not answer. */
void lookup_pass_on(agent_t *a, uint64_t now, const arrival_t *in, bool silent);

/* agent_silence.c: flows whose lookup could not be finished */
silences_t *silences_new(void);
void silences_free(silences_t *s);
/*
 * Notes such a lookup. Returns how many were noted for this flow before, or
 * -1 when its silence has lasted for SILENCE_MS.
 */
int silence_note(agent_t *a, uint64_t now, const arrival_t *in);
void silence_forget(agent_t *a, const flow_key_t *key, uint64_t hash);
/* A member that was asked once more holds the flow. */
void silence_ended(agent_t *a, uint64_t now, const held_msg_t *held);
/* Asks once more for the flows whose silence is over. */
void silences_tick(agent_t *a, uint64_t now);

/* agent_trial.c: the backend server is asked for a flow */
void trial_begin(agent_t *a, uint64_t now, const arrival_t *in);
void trial_keep(flow_t *f, const arrival_t *in);
/* The server speaks of the connection that the caller speaks of. */
bool trial_matches(const flow_t *f, const packet_t *answer);
void trial_denied(agent_t *a, uint64_t now, flow_t *f);
void trial_held(agent_t *a, uint64_t now, flow_t *f, const packet_t *answer);
void trial_tick(agent_t *a, uint64_t now, flow_t *f);

/* agent_group.c */
/* Tells some members our load and the rumours, now. */
void membership_tell(agent_t *a, uint64_t now);
/* Brings our own entry of the group up to date; NULL when there is none. */
member_t *membership_self(agent_t *a, uint64_t now);
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
