#ifndef AGENT_H
#define AGENT_H

/*
 * agent - decisions of the process beside a backend server
 *
 * The agent owns admission and flow lookup for its backend server. Callers'
 * packets come in messages from balancers and other agents; it delivers them
 * to the backend server, passes them to another member, or answers them
 * itself. The backend server's packets come in plain and go out to the
 * caller's side. It opens no socket and reads no clock.
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
	/* Hands an IPv4 packet to the backend server. */
	void (*deliver)(void *ctx, const uint8_t *packet, size_t len);
	/* Hands an IPv4 packet to the caller's side. */
	void (*reply)(void *ctx, const uint8_t *packet, size_t len);
	/* A peer has a higher configuration version. */
	void (*newer_version)(void *ctx, const endpoint_t *from,
			      uint64_t version);
	/* Records a change that the process made. */
	void (*audit)(void *ctx, const char *event, const char *subject,
		      const char *detail);
} agent_ops_t;

typedef struct agent_options {
	char target[NAME_BYTES]; /* name of the target served */
	endpoint_t self;	 /* where messages come in */
	uint64_t rank_seed;	 /* the same on all processes */
	uint64_t incarnation;	 /* higher than at any earlier start */
	uint64_t random_seed;	 /* for choices among peers */
	uint32_t flows;		 /* greatest number of flows held */
	uint32_t queue;		 /* requests waiting, a slot */
	mechanisms_t off;	 /* for experiments */
	const policy_t *policy;	 /* NULL: policy_default */
} agent_options_t;

/* The operations are copied, ctx is handed back to them. NULL: no memory. */
agent_t *agent_new(const agent_options_t *options, const agent_ops_t *ops,
		   void *ctx);
void agent_free(agent_t *a);

/*
 * Puts a configuration in force; the agent takes a reference. A target that
 * is no longer in it keeps its flows and takes no more.
 */
int agent_configure(agent_t *a, uint64_t now, config_t *config);

/* An authenticated message of any kind that agents take. */
void agent_message(agent_t *a, uint64_t now, const endpoint_t *from,
		   msg_kind_t kind, const void *msg);

/* An IPv4 packet from the backend server. */
void agent_server_packet(agent_t *a, uint64_t now, const uint8_t *packet,
			 size_t len);

/* The backend server's host said that nothing listens. */
void agent_server_unreachable(agent_t *a, uint64_t now);

/* To be called about every 50 ms. */
void agent_tick(agent_t *a, uint64_t now);

/* Takes no new flows from now on and tells the group. */
void agent_leave(agent_t *a, uint64_t now);

/* Flows held, requests in flight, and weighted work. */
size_t agent_held(const agent_t *a);
uint32_t agent_in_flight(const agent_t *a);
uint32_t agent_work(const agent_t *a);

/* Flows of other members that it would tell the callers of. */
size_t agent_witnessed_flows(const agent_t *a);

/* Learned capacity, in declared weight times slots; 0 unknown. */
double agent_capacity(const agent_t *a);

/* The table knows all flows of the backend server. */
bool agent_complete(const agent_t *a);

/*
 * Handover to a successor: the list is valid until the next call into the
 * agent and is freed by agent_export_free(). The successor imports it and is
 * complete from then on.
 */
int agent_export(agent_t *a, handover_msg_t *out);
void agent_export_free(handover_msg_t *out);
int agent_import(agent_t *a, uint64_t now, const handover_msg_t *in);

counters_t *agent_counters(agent_t *a);
const group_t *agent_group(const agent_t *a);

/* What the agent knows of a flow, as JSON; the caller frees it. */
char *agent_explain(agent_t *a, uint64_t now, const flow_key_t *key);

#endif
