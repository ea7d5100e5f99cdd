#ifndef AGENT_H
#define AGENT_H

/*
 * agent - admission and flow lookup for one backend server
 *
 * The agent decides which opens its backend server accepts and finds the
 * agent that holds a flow. Callers' packets arrive in messages from balancers
 * and other agents; the agent delivers them to its backend server, forwards
 * them to another member of the service, or answers them itself. Packets of
 * the backend server arrive unwrapped and are sent on to the caller.
 *
 * The agent opens no socket and reads no clock: the caller passes in the time
 * `now`, in milliseconds of a monotonic clock, and does the I/O in agent_ops_t.
 */

#include "config.h"
#include "counters.h"
#include "endpoint.h"
#include "flow_table.h"
#include "group.h"
#include "mechanism.h"
#include "policy.h"
#include "wire.h"
#include <stdbool.h>
#include <stdint.h>

typedef struct agent agent_t;

typedef struct agent_ops {
	/* Sends a message to a process; msg is valid during the call only. */
	void (*send)(void *ctx, const endpoint_t *to, msg_kind_t kind,
		     const void *msg);
	/* Sends an IPv4 packet to the backend server. */
	void (*deliver)(void *ctx, const uint8_t *packet, size_t len);
	/* Sends an IPv4 packet to the caller. */
	void (*reply)(void *ctx, const uint8_t *packet, size_t len);
	/* Reports that a peer has a newer configuration version. */
	void (*newer_version)(void *ctx, const endpoint_t *from,
			      uint64_t version);
	/* Writes a state change to the audit log. */
	void (*audit)(void *ctx, const char *event, const char *subject,
		      const char *detail);
} agent_ops_t;

typedef struct agent_options {
	char target[NAME_BYTES]; /* name of the agent's target */
	endpoint_t self;	 /* address at which messages arrive */
	uint64_t rank_seed;	 /* seed of flow hashes, equal on all hosts */
	uint64_t incarnation;	 /* higher than at any earlier start */
	uint64_t random_seed;	 /* seed for random choices among peers */
	uint32_t flows;		 /* capacity of the flow table */
	uint32_t queue;		 /* limit of open requests per slot */
	mechanisms_t off;	 /* mechanisms disabled for an experiment */
	const policy_t *policy;	 /* placement policy, NULL: policy_default */
} agent_options_t;

/*
 * Creates an agent. Options and operations are copied; ctx is passed to the
 * operations. Returns NULL when out of memory.
 */
agent_t *agent_new(const agent_options_t *options, const agent_ops_t *ops,
		   void *ctx);
void agent_free(agent_t *a);

/*
 * Applies a configuration and takes a reference to it. An agent whose target
 * was removed from the configuration keeps its flows and accepts no new ones.
 * Returns 0, or -1 when out of memory.
 */
int agent_configure(agent_t *a, uint64_t now, config_t *config);

/* Handles an authenticated message of any kind. */
void agent_message(agent_t *a, uint64_t now, const endpoint_t *from,
		   msg_kind_t kind, const void *msg);

/* Handles an IPv4 packet from the backend server. */
void agent_server_packet(agent_t *a, uint64_t now, const uint8_t *packet,
			 size_t len);

/*
 * Handles an ICMP port unreachable from the backend server's tunnel: nothing
 * listens there.
 */
void agent_server_unreachable(agent_t *a, uint64_t now);

/* Runs the timers; to be called about every 50 ms. */
void agent_tick(agent_t *a, uint64_t now);

/* Stops accepting new flows and announces that to the group. */
void agent_leave(agent_t *a, uint64_t now);

/* Number of flows held. */
size_t agent_held(const agent_t *a);
/* Number of requests without an answer. */
uint32_t agent_in_flight(const agent_t *a);
/* Sum of the class weights of the flows held. */
uint32_t agent_work(const agent_t *a);

/* Number of other members' flows for which this agent is a witness. */
size_t agent_witnessed_flows(const agent_t *a);

/* Learned capacity, in declared weight times slots; 0 when unknown. */
double agent_capacity(const agent_t *a);

/* True when the flow table holds all flows of the backend server. */
bool agent_complete(const agent_t *a);

/*
 * Handover to a successor. agent_export() lists the flows and returns 0, or -1
 * when out of memory. The list is valid until the next call into the agent;
 * free it with agent_export_free() in either case. agent_import() adds the
 * flows to the successor's table and copies whether the predecessor's table
 * was complete; it returns -1 when the list belongs to another target.
 */
int agent_export(agent_t *a, handover_msg_t *out);
void agent_export_free(handover_msg_t *out);
int agent_import(agent_t *a, uint64_t now, const handover_msg_t *in);

counters_t *agent_counters(agent_t *a);
const group_t *agent_group(const agent_t *a);

/* Describes a flow as JSON text, to be freed with g_free(). */
char *agent_explain(agent_t *a, uint64_t now, const flow_key_t *key);

#endif
