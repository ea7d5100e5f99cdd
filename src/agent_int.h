#ifndef AGENT_INT_H
#define AGENT_INT_H

/*
 * agent_int - what the files of the agent share
 *
 * agent.c dispatches, agent_admit.c decides on opens, agent_lookup.c finds
 * flows, agent_unresolved.c bounds lookups that can't be finished,
 * agent_verify.c asks the backend server for a flow, agent_offer.c offers opens
 * elsewhere, agent_resume.c asks peers after a long pause, agent_witness.c
 * tells the callers of a lost host, agent_server.c watches the backend server,
 * agent_server_packet.c handles the backend server's packets, agent_group.c
 * talks to the other members, agent_handover.c hands the flows over.
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
#define RESET_SENDS    5
#define RESET_RETRY_MS 1000
/* A flow whose caller was told for the last time is kept for late packets. */
#define RESET_LINGER_MS 20000
/*
 * A caller whose flow is idle for TCP_IDLE_MS is asked whether it still is
 * there. After KEEPALIVES without an answer, or when its backend server has
 * sent into the void for CALLER_LOST_MS, the server is told that it is gone.
 */
#define TCP_IDLE_MS    (30 * 60 * 1000)
#define KEEPALIVES_MAX 3
#define CALLER_LOST_MS (15 * 60 * 1000)
/* Sequence numbers of one flow stay this close to each other, in bytes. */
#define SEQ_WINDOW (16 * 1024 * 1024)
/* A segment so far before the window is answered by an acknowledgement. */
#define PROBE_SEQ_OFFSET (64 * 1024 * 1024)
/* Members to which an open that a backend server refused is offered. */
#define OFFERS_MAX 3
/* Copies of a SYN that was answered after which it is offered elsewhere. */
#define SYN_REPEATS 4
/* Members that one lookup may name. */
#define LOOKUP_MEMBERS_MAX 1024
/* Nothing is said for this long, and half a second, while a member could not
 * be asked. */
#define UNRESOLVED_MS 4500
/* The same when several members are silent at once. */
#define UNRESOLVED_PARTITION_MS 30000
/* After a start the backend server is asked for each unknown flow so long. */
#define VERIFY_UNKNOWN_MS 60000
/* A trial is repeated after this long, and given up after VERIFY_TRIES. */
#define VERIFY_RETRY_MS 200
#define VERIFY_TRIES	3
/* A backend server that stayed silent is asked again after this long. */
#define VERIFY_AGAIN_MS 1000
/* Packets kept during a trial. */
#define KEPT_PACKETS_MAX 8
/* Time to come back that a refusal carries, in seconds. */
#define RETRY_AFTER_S 2

typedef struct membership membership_t;
typedef struct unresolved unresolved_t;
typedef struct witness witness_t;
typedef struct notifier notifier_t;

struct agent {
	agent_options_t options;
	agent_ops_t ops;
	void *ctx;
	config_t *config;	      /* in force */
	config_t *service_config;     /* last one with our target in it */
	const service_t *service;     /* in home */
	const target_t *target;	      /* in home */
	target_t unconfigured_target; /* our target when no document has it */
	bool configured;	      /* our target is in the one in force */
	bool leaving;		      /* the process is stopping */
	bool complete;		      /* the table knows all flows */
	bool verifies_unknown;	      /* for each unknown flow, after a start */
	uint64_t verify_until_ms;     /* when that ends */
	bool server_down;	      /* the backend server's host said so */
	uint64_t last_server_packet_ms; /* last packet of the backend server */
	uint64_t unanswered_since_ms;  /* first one unanswered since, 0 for none
					*/
	uint64_t next_server_probe_ms; /* when the next probe is due */
	bool server_lost;	       /* the callers of all flows were told */
	bool restart_suspected;	       /* all flows are to be probed */
	int32_t hint_credit;	       /* bytes of hints that may be sent */
	uint64_t hint_credit_ms;       /* when the credit was last raised */
	uint64_t incarnation;
	uint64_t started_ms;
	uint64_t next_digest_ms; /* when the next digest is due */
	uint64_t next_learn_ms;	 /* when to compare service times again */
	size_t next_passed;	 /* member whose load is passed on next */
	uint64_t last_digest_ms; /* when the last one was sent */
	double last_digest_work; /* what it said */
	bool last_digest_full;
	uint64_t last_tick_ms;
	uint64_t resumed_ms;	  /* after the last pause */
	uint64_t resume_until_ms; /* 0 when a peer has answered */
	uint64_t peers_version;	  /* greatest that a peer told since */
	uint64_t random;	  /* state of the random numbers */
	flow_table_t *flows;
	group_t group;
	capacity_t capacity;
	uint32_t held;	    /* flows held, without those that are over */
	uint32_t work;	    /* weighted, of these */
	uint32_t in_flight; /* requests without an answer */
	uint32_t in_slots;  /* of them believed to be served */
	list_t slot_queue;  /* flows whose request waits for a slot */
	counters_t counters;
	unresolved_t *unresolved; /* lookups that could not be finished */
	witness_t *witness;   /* what is told to peers and known of theirs */
	notifier_t *notifier; /* of dead members, for balancers; owned */
	wire_arena_t arena;   /* for packets that were kept */
	membership_t *membership; /* of agent_probe.c */
};

/* A caller's packet with what its message said. */
typedef struct fwd_packet {
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
} fwd_packet_t;

/* agent.c */
void agent_audit(agent_t *a, const char *event, const char *detail);
uint64_t agent_random(agent_t *a);
/* What a message with a packet says. Returns 0, or -1 and counts why not. */
int fwd_packet_parse(agent_t *a, const packet_msg_t *msg, fwd_packet_t *in);
/* A message that points into the arrival. */
void fwd_packet_message(const fwd_packet_t *in, packet_msg_t *msg);
/* Handles a caller's packet. */
void agent_handle_packet(agent_t *a, uint64_t now, const fwd_packet_t *in);
/* Hints for packets that were looked up are bounded in bytes a second. */
bool hint_allowed(agent_t *a, uint64_t now);
/*
 * An agent whose target was deleted before it started finds its service by
 * the packets that still come. Returns false when it has none.
 */
bool agent_find_service(agent_t *a, uint64_t now, uint64_t id,
			uint32_t address);
/* Tells the balancer where the flow is; flow NULL: nobody holds it. */
void agent_send_held(agent_t *a, const fwd_packet_t *in, bool refused,
		     bool gone);
/* Resets the caller's flow with a word. */
void agent_refuse(agent_t *a, const packet_t *p, refusal_t reason);
void agent_fill_load(agent_t *a, uint64_t now, load_msg_t *load);

/* agent_flow.c: the life of one flow */
void flow_set_state(agent_t *a, flow_t *f, uint64_t now, flow_state_t state);
/* Sets class and weight from the port. */
void flow_classify(const agent_t *a, flow_t *f);
void flow_add_work(agent_t *a, flow_t *f);
void flow_remove(agent_t *a, flow_t *f);
bool flow_matches(const agent_t *a, const flow_t *f, const packet_t *p);
void flow_deliver(agent_t *a, uint64_t now, flow_t *f, const packet_t *p);
void flow_request_end(agent_t *a, uint64_t now, flow_t *f, bool answered);
void flows_tick(agent_t *a, uint64_t now);

/* Resets the caller's flow with the true word. */
void flow_reset_caller(agent_t *a, uint64_t now, flow_t *f);
/* The word that is true for a flow. */
refusal_t flow_refusal(const flow_t *f);
/* Resets the backend server's side of the flow. */
void flow_reset_server(agent_t *a, flow_t *f);
/* Asks the backend server whether it still has the flow. */
void flow_probe(agent_t *a, flow_t *f);

/* agent_server.c: whether the backend server is there */
void server_answered(agent_t *a, uint64_t now);
void server_expect_answer(agent_t *a, uint64_t now);
void server_tick(agent_t *a, uint64_t now);

/* agent_offer.c: opens that this backend server does not take */
/* Offers an open to a member that was not asked. False: none is left. */
bool offer_elsewhere(agent_t *a, uint64_t now, const fwd_packet_t *in);
/* Offers a flow's kept SYN elsewhere or refuses it. Forgets the flow. */
void offer_kept_syn(agent_t *a, uint64_t now, flow_t *f);

/* agent_witness.c: peers know of our flows, so that callers can be told */
witness_t *witness_new(void);
void witness_free(witness_t *w);
void witness_flow_opened(agent_t *a, flow_t *f);
void witness_flow_closed(agent_t *a, flow_t *f);
/* Tells news at once if the bound leaves room. */
void witness_flush(agent_t *a, uint64_t now);
void witness_tick(agent_t *a, uint64_t now);
void witness_receive(agent_t *a, uint64_t now, const witness_msg_t *msg);

/* agent_notifier.c: balancers that send to us hear of dead members */
notifier_t *notifier_new(void);
void notifier_tick(agent_t *a, uint64_t now);
/* A balancer asks how the service is. */
void notifier_poll(agent_t *a, uint64_t now, const digest_msg_t *msg);
void notifier_note_balancer(agent_t *a, uint64_t now,
			    const endpoint_t *balancer);

/* agent_resume.c: what was believed before a long pause may be wrong */
/* Notices the pause; before anything else is done. */
void resume_check(agent_t *a, uint64_t now);
void resume_tick(agent_t *a, uint64_t now);
void resume_digest(agent_t *a, uint64_t now, const digest_msg_t *digest);
/* True until a peer has said which configuration is in force. */
bool resume_pending(const agent_t *a);

/* agent_admit.c */
void admit_open(agent_t *a, uint64_t now, const fwd_packet_t *in);
bool admit_full(const agent_t *a);

/* agent_lookup.c */
void lookup_packet(agent_t *a, uint64_t now, const fwd_packet_t *in);
/* Goes on to the next member; with `silent` our own server did not answer. */
void lookup_forward(agent_t *a, uint64_t now, const fwd_packet_t *in,
		    bool silent);

/* agent_unresolved.c: flows whose lookup could not be finished */
unresolved_t *unresolved_new(void);
void unresolved_free(unresolved_t *s);
/*
 * Notes such a lookup. Returns how many were noted for this flow before, or
 * -1 when its silence has lasted for UNRESOLVED_MS.
 */
int unresolved_add(agent_t *a, uint64_t now, const fwd_packet_t *in);
void unresolved_remove(agent_t *a, const flow_key_t *key, uint64_t hash);
/* A member that was asked once more holds the flow. */
void unresolved_found(agent_t *a, uint64_t now, const held_msg_t *held);
/* Asks once more for the flows whose silence is over. */
void unresolved_tick(agent_t *a, uint64_t now);

/* agent_verify.c: the backend server is asked for a flow */
void verify_begin(agent_t *a, uint64_t now, const fwd_packet_t *in);
void flow_keep_packet(flow_t *f, const fwd_packet_t *in);
/* The server speaks of the connection that the caller speaks of. */
bool verify_matches(const flow_t *f, const packet_t *answer);
void verify_denied(agent_t *a, uint64_t now, flow_t *f);
void verify_confirmed(agent_t *a, uint64_t now, flow_t *f,
		      const packet_t *answer);
void verify_tick(agent_t *a, uint64_t now, flow_t *f);

/* agent_group.c */
/* Tells some members our load and the rumours, now. */
void membership_announce(agent_t *a, uint64_t now);
/* Brings our own entry of the group up to date; NULL when there is none. */
member_t *membership_update_self(agent_t *a, uint64_t now);
void membership_tick(agent_t *a, uint64_t now);
void membership_receive_digest(agent_t *a, uint64_t now, const endpoint_t *from,
			       const digest_msg_t *digest);
void membership_leave(agent_t *a, uint64_t now);

/* agent_probe.c */
void probes_tick(agent_t *a, uint64_t now);
size_t gossip_fill(agent_t *a, load_msg_t *loads, load_msg_t **list);
void gossip_receive(agent_t *a, uint64_t now, load_msg_t *const *rumours,
		    size_t n);
void membership_receive_probe(agent_t *a, uint64_t now, const endpoint_t *from,
			      const probe_msg_t *probe);

#endif
