#ifndef AGENT_INT_H
#define AGENT_INT_H

/*
 * agent_int - declarations shared by the agent's source files
 *
 * agent.c                dispatches messages and packets
 * agent_admit.c          accepts, passes on or refuses opens
 * agent_flow.c           tracks the state of one flow
 * agent_lookup.c         finds the member that holds a flow
 * agent_unresolved.c     bounds lookups that cannot ask every member
 * agent_verify.c         checks with the backend server whether a flow exists
 * agent_offer.c          offers opens to other members
 * agent_server.c         monitors the backend server
 * agent_server_packet.c  handles packets from the backend server
 * agent_group.c          exchanges load and membership with other members
 * agent_probe.c          detects failed members
 * agent_notifier.c       notifies balancers of failed members
 * agent_resume.c         synchronises with peers after the process was paused
 * agent_witness.c        resets the flows of a failed host towards the callers
 * agent_handover.c       exports and imports the flow table
 *
 * The backend server of the agent's target is "the server" below, the members
 * of the target's service are "the group". All times are milliseconds of the
 * monotonic clock of agent.h.
 */

#include "agent.h"
#include "capacity.h"
#include "refusal.h"

/* Timeout of a TCP handshake. */
#define HALF_OPEN_MS 20000
/* Time for which a closed flow is kept for late packets. */
#define CLOSING_MS 5000
/* Idle timeout of a UDP flow. */
#define UDP_IDLE_MS 120000
/* Resets sent to the caller of a flow, as each of them may be lost. */
#define RESET_SENDS 5
/* Delay before the second reset; it doubles for each further one. */
#define RESET_RETRY_MS 1000
/* Time for which a flow is kept for late packets after its last reset. */
#define RESET_LINGER_MS 20000
/* Idle time of a TCP flow after which its caller gets a keepalive. */
#define TCP_IDLE_MS (30 * 60 * 1000)
/* Unanswered keepalives after which the server's side is reset. */
#define KEEPALIVES_MAX 3
/*
 * Time without a packet from the caller after which the next packet that the
 * server sends resets the server's side.
 */
#define CALLER_LOST_MS (15 * 60 * 1000)
/* Greatest distance of two sequence numbers of one connection, in bytes. */
#define SEQ_WINDOW (16 * 1024 * 1024)
/*
 * Distance of a probe before the receive window, in bytes. A server that has
 * the connection acknowledges such a segment instead of accepting it.
 */
#define PROBE_SEQ_OFFSET (64 * 1024 * 1024)
/* Members to which one open is offered after its server refused it. */
#define OFFERS_MAX 3
/*
 * Copies of a SYN, received after its SYN-ACK was sent, after which the open
 * is offered to another member.
 */
#define SYN_REPEATS 4
/* Members that a lookup may list as asked, or as not asked. */
#define LOOKUP_MEMBERS_MAX 1024
/*
 * Time to wait for members that cannot be asked for a flow. They are asked once
 * more then, and 500 ms later the flow is reset unless one of them holds it.
 */
#define UNRESOLVED_MS 4500
/* The same wait when several members are unreachable at once. */
#define UNRESOLVED_PARTITION_MS 30000
/*
 * Time after a start in which each unknown flow is verified with the server
 * before other members are asked.
 */
#define VERIFY_UNKNOWN_MS 60000
/* Delay before the verification probe of a flow is repeated. */
#define VERIFY_RETRY_MS 200
/* Verification probes sent for one flow. */
#define VERIFY_TRIES 3
/* Delay before a flow is verified again if the server did not answer. */
#define VERIFY_AGAIN_MS 1000
/* Packets buffered per flow while the server's answer is awaited. */
#define BUFFERED_PACKETS_MAX 8
/* Retry delay stated in a refusal, in seconds. */
#define RETRY_AFTER_S 2

typedef struct probe probe_t;
typedef struct unresolved unresolved_t;
typedef struct witness witness_t;
typedef struct notifier notifier_t;

struct agent {
	agent_options_t options;
	agent_ops_t ops;
	void *ctx;
	config_t *config; /* in force */
	/* Last configuration with our target, or where the service was found */
	config_t *service_config;
	const service_t *service; /* in service_config, NULL before */
	const target_t *target;	  /* in service_config or unconfigured_target */
	target_t unconfigured_target;	/* if deleted before the start */
	bool configured;		/* config contains our target */
	bool leaving;			/* the process is stopping */
	bool complete;			/* the table holds all flows */
	bool verifies_unknown;		/* verify each unknown flow at once */
	uint64_t verify_until_ms;	/* end of verifies_unknown */
	bool server_down;		/* unreachable or silent: no opens */
	uint64_t last_server_packet_ms; /* last packet from the server */
	uint64_t unanswered_since_ms;	/* first unanswered packet, 0: none */
	uint64_t next_server_probe_ms;
	bool server_lost;	 /* the callers of all flows were reset */
	bool restart_suspected;	 /* all flows are to be probed */
	int32_t hint_credit;	 /* bytes of hints that may be sent */
	uint64_t hint_credit_ms; /* last increase of hint_credit */
	uint64_t incarnation;	 /* raised to refute a suspicion */
	uint64_t started_ms;	 /* first configuration, 0: none yet */
	uint64_t next_digest_ms;
	uint64_t next_learn_ms;	 /* next update of the learned speed */
	size_t next_passed;	 /* member whose load is passed on next */
	uint64_t last_digest_ms; /* time of the last digest sent */
	double last_digest_work; /* work stated in it */
	bool last_digest_full;	 /* "full" stated in it */
	uint64_t last_tick_ms;
	uint64_t resumed_ms;	  /* end of the last pause of the process */
	uint64_t resume_until_ms; /* no opens accepted before; 0: no wait */
	uint64_t peers_version;	  /* greatest one heard since resumed_ms */
	uint64_t random;	  /* state of the random number generator */
	flow_table_t *flows;
	group_t group;
	capacity_t capacity;
	uint32_t held;	    /* flows held, without closed ones */
	uint32_t work;	    /* sum of the class weights of held flows */
	uint32_t in_flight; /* requests without an answer */
	uint32_t in_slots;  /* requests assumed to occupy a slot */
	list_t slot_queue;  /* flows whose request waits for a slot */
	counters_t counters;
	unresolved_t *unresolved; /* lookups that could not ask all members */
	witness_t *witness;	  /* flows announced to and by peers */
	notifier_t *notifier;	  /* balancers to notify of failed members */
	wire_arena_t arena;	  /* memory to unpack buffered packets */
	probe_t *probe;		  /* last probe, see agent_probe.c */
};

/* A caller's packet and the fields of the message that carried it. */
typedef struct fwd_packet {
	packet_t packet;
	uint64_t hash;	  /* of the flow key */
	uint64_t version; /* configuration version of the previous hop */
	packet_step_t step;
	endpoint_t reply; /* balancer to inform of the holder, port 0: none */
	const uint32_t *asked; /* members that do not hold the flow */
	size_t nasked;
	const uint32_t *unasked; /* members that could not be asked */
	size_t nunasked;
	const uint32_t *known;	      /* members known to earlier hops */
	const uint64_t *known_agents; /* addresses of their agents */
	size_t nknown;
	const uint32_t *candidates; /* members to offer an open to, in order */
	size_t ncandidates;
	bool last_resort;  /* the whole group was asked once */
	bool mixed;	   /* hops have different configuration versions */
	bool silence_over; /* treat unreachable members as asked */
	bool untried;	   /* a hop did not verify with its server */
	bool ask_servers;  /* each hop must verify with its server */
	bool only_you;	   /* not to be forwarded */
} fwd_packet_t;

/* agent.c */
/* Writes an audit event about our target. */
void agent_audit(agent_t *a, const char *event, const char *detail);
uint64_t agent_random(agent_t *a);
/*
 * Reads a message with a packet; `in` points into it. Returns 0, or -1 and
 * counts the packet as dropped when it is malformed.
 */
int fwd_packet_parse(agent_t *a, const packet_msg_t *msg, fwd_packet_t *in);
/* Writes the message; it points into `in`. Sets neither service nor digest. */
void fwd_packet_message(const fwd_packet_t *in, packet_msg_t *msg);
/* Handles a caller's packet. */
void agent_handle_packet(agent_t *a, uint64_t now, const fwd_packet_t *in);
/* Charges a hint to the rate limit of hints; false when it is used up. */
bool hint_allowed(agent_t *a, uint64_t now);
/*
 * Finds the service of an agent whose target was deleted before it started, by
 * the service id or the service address of a packet. Returns false when there
 * is none.
 */
bool agent_find_service(agent_t *a, uint64_t now, uint64_t id,
			uint32_t address);
/*
 * Informs the balancer that asked: this agent holds the flow, or the open was
 * refused, or no member holds the flow any more (gone).
 */
void agent_send_held(agent_t *a, const fwd_packet_t *in, bool refused,
		     bool gone);
/* Answers a caller's packet with a reset that states the reason. */
void agent_refuse(agent_t *a, const packet_t *p, refusal_t reason);
void agent_fill_load(agent_t *a, uint64_t now, load_msg_t *load);

/* agent_flow.c */
void flow_set_state(agent_t *a, flow_t *f, uint64_t now, flow_state_t state);
/* Sets class and weight from the service port. */
void flow_classify(const agent_t *a, flow_t *f);
/* Adds a flow to the agent's held flows and work, once. */
void flow_add_work(agent_t *a, flow_t *f);
/* Removes a flow from the table and frees it. */
void flow_remove(agent_t *a, flow_t *f);
/* True when a caller's packet belongs to this connection of the flow key. */
bool flow_matches(const agent_t *a, const flow_t *f, const packet_t *p);
/* Tracks a caller's packet and sends it to the server. */
void flow_deliver(agent_t *a, uint64_t now, flow_t *f, const packet_t *p);
/* Ends the open request of a flow; answered: its time is a sample. */
void flow_request_end(agent_t *a, uint64_t now, flow_t *f, bool answered);
void flows_tick(agent_t *a, uint64_t now);

/* Resets the caller's side with flow_refusal() and closes the flow. */
void flow_reset_caller(agent_t *a, uint64_t now, flow_t *f);
/* Outcome unknown if payload was delivered to the server, else not run. */
refusal_t flow_refusal(const flow_t *f);
/* Resets the server's side. */
void flow_reset_server(agent_t *a, flow_t *f);
/* Sends a probe that the server answers by an ACK if it has the flow. */
void flow_probe(agent_t *a, flow_t *f);

/* agent_server.c */
/* Notes a packet from the server. */
void server_answered(agent_t *a, uint64_t now);
/* Notes a packet to the server that it has to answer. */
void server_expect_answer(agent_t *a, uint64_t now);
void server_tick(agent_t *a, uint64_t now);

/* agent_offer.c */
/*
 * Offers an open to a member that was not asked. Returns false when there is
 * none or OFFERS_MAX members were asked.
 */
bool offer_elsewhere(agent_t *a, uint64_t now, const fwd_packet_t *in);
/*
 * Offers the SYN buffered for a flow to another member and removes the flow, or
 * resets the caller.
 */
void offer_buffered_syn(agent_t *a, uint64_t now, flow_t *f);

/*
 * agent_witness.c: each member has witnesses, peers that keep a copy of its
 * list of flows and make sure that the callers get a reset if its host fails.
 */
witness_t *witness_new(void);
void witness_free(witness_t *w);
void witness_flow_opened(agent_t *a, flow_t *f);
void witness_flow_closed(agent_t *a, flow_t *f);
/* Sends opened and closed flows now if the rate limit allows it. */
void witness_flush(agent_t *a, uint64_t now);
void witness_tick(agent_t *a, uint64_t now);
void witness_receive(agent_t *a, uint64_t now, const witness_msg_t *msg);

/* agent_notifier.c: notifies balancers of suspect and dead members */
notifier_t *notifier_new(void);
void notifier_tick(agent_t *a, uint64_t now);
/* Answers a balancer's query for the state of the service. */
void notifier_poll(agent_t *a, uint64_t now, const digest_msg_t *msg);
/* Notes that a balancer sent a packet. */
void notifier_note_balancer(agent_t *a, uint64_t now,
			    const endpoint_t *balancer);

/* agent_resume.c: after a pause, peers and configuration may have changed */
/* Detects a pause; to be called before anything else is done. */
void resume_check(agent_t *a, uint64_t now);
void resume_tick(agent_t *a, uint64_t now);
void resume_digest(agent_t *a, uint64_t now, const digest_msg_t *digest);
/*
 * True after a pause of the process, until a peer has answered and no peer has
 * reported a newer configuration version than the one in force, or the wait has
 * timed out.
 */
bool resume_pending(const agent_t *a);

/* agent_admit.c */
/* Accepts an open, passes it on or refuses it. */
void admit_open(agent_t *a, uint64_t now, const fwd_packet_t *in);
/* True when the limit of connections or of open requests is reached. */
bool admit_full(const agent_t *a);

/* agent_lookup.c */
/* Handles a packet that matches no flow held here. */
void lookup_packet(agent_t *a, uint64_t now, const fwd_packet_t *in);
/* Forwards to the next member; silent: our server did not answer a probe. */
void lookup_forward(agent_t *a, uint64_t now, const fwd_packet_t *in,
		    bool silent);

/* agent_unresolved.c: flows whose lookup could not ask every member */
unresolved_t *unresolved_new(void);
void unresolved_free(unresolved_t *u);
/*
 * Adds a lookup that could not ask every member. Returns how many were added
 * for this flow before, 0 also when the table is full or without memory, or -1
 * when the time to wait is over.
 */
int unresolved_add(agent_t *a, uint64_t now, const fwd_packet_t *in);
void unresolved_remove(agent_t *a, const flow_key_t *key, uint64_t hash);
/* Handles MSG_HELD: a member that was asked again holds the flow. */
void unresolved_found(agent_t *a, uint64_t now, const held_msg_t *held);
/* Repeats the lookups whose time to wait is over. */
void unresolved_tick(agent_t *a, uint64_t now);

/* agent_verify.c: probes the server for a flow that this agent does not know */
void verify_begin(agent_t *a, uint64_t now, const fwd_packet_t *in);
/* Buffers a packet until the server answers, if there is room for it. */
void flow_buffer_packet(flow_t *f, const fwd_packet_t *in);
/* True when the server's answer fits the sequence numbers of the caller. */
bool verify_matches(const flow_t *f, const packet_t *answer);
/* The server does not have the flow. */
void verify_denied(agent_t *a, uint64_t now, flow_t *f);
/* The server has the flow. */
void verify_confirmed(agent_t *a, uint64_t now, flow_t *f,
		      const packet_t *answer);
void verify_tick(agent_t *a, uint64_t now, flow_t *f);

/* agent_group.c */
/* Sends our load and pending gossip to some members now. */
void membership_announce(agent_t *a, uint64_t now);
/* Updates our own entry in the group; NULL when there is none. */
member_t *membership_update_self(agent_t *a, uint64_t now);
void membership_tick(agent_t *a, uint64_t now);
void membership_receive_digest(agent_t *a, uint64_t now, const endpoint_t *from,
			       const digest_msg_t *digest);
void membership_leave(agent_t *a, uint64_t now);

/* agent_probe.c */
void probes_tick(agent_t *a, uint64_t now);
/*
 * Writes pending state changes of members into loads and list and returns how
 * many, at most 6.
 */
size_t gossip_fill(agent_t *a, load_msg_t *loads, load_msg_t **list);
/* Applies state changes of members that a peer passed on. */
void gossip_receive(agent_t *a, uint64_t now, load_msg_t *const *rumours,
		    size_t n);
void membership_receive_probe(agent_t *a, uint64_t now, const endpoint_t *from,
			      const probe_msg_t *probe);

#endif
