#ifndef CLUSTER_SIM_H
#define CLUSTER_SIM_H

/*
 * cluster_sim - the library's decisions wired together in one process
 *
 * Balancers, agents, models of backend servers and one caller exchange their
 * packets and packed messages through a queue of events with a clock of its
 * own; everything random comes from one seed, so that a run repeats itself.
 * A network fault is a cut between two places, loss, duplication or delay; a
 * process fault is a kill, a freeze, or a restart.
 */

#include "../src/agent.h"
#include "../src/balancer.h"
#include "../src/caller.h"
#include "app_server.h"

#define CSIM_BALANCERS_MAX 16
#define CSIM_AGENTS_MAX	   256
#define CSIM_RANK_SEED	   42

typedef enum node_kind {
	NODE_CALLER = 0, /* the caller and the fabric */
	NODE_BALANCER,
	NODE_AGENT,
	NODE_SERVER,
} node_kind_t;

/* A process of the world. */
typedef struct node {
	node_kind_t kind;
	unsigned index;
} node_t;

typedef struct csim_options {
	const char *config_text;
	unsigned balancers;
	uint64_t seed;
	double loss_ratio; /* of each packet and message */
	double dup_ratio;
	unsigned delay_ms;	 /* one way */
	unsigned jitter_ms;	 /* added at random: reorders */
	double service_ms;	 /* of the servers; 0 is 5 */
	const double *speeds;	 /* a target, NULL: all 1 */
	unsigned queue;		 /* of the servers; 0 is 10000 */
	double chunk_service_ms; /* of the servers, see app_server.h */
	double kind_cost[APP_KINDS];
	double service_jitter;
	uint64_t warmup_ms; /* of servers that start later */
	double warmup_speed;
	double report_factor;
	mechanisms_t off;	/* of balancers and agents */
	const policy_t *policy; /* NULL: the one in use */
	bool naive;		/* run naive.h in place of the library */
} csim_options_t;

/* A request's end, kept by the world. */
typedef struct csim_result {
	app_request_t app;
	outcome_t outcome;
	bool ended;
	uint64_t started_ms;
	uint64_t first_byte_ms;
	uint64_t ended_ms;
	uint64_t received;
	uint64_t max_gap_ms;
	unsigned retry_after_s;
	flow_key_t key;
	caller_request_t *request; /* NULL when ended */
} csim_result_t;

typedef struct csim csim_t;

csim_t *csim_new(const csim_options_t *options);
void csim_free(csim_t *sim);

uint64_t csim_now(const csim_t *sim);

/* Lets so many milliseconds pass. */
void csim_run(csim_t *sim, uint64_t ms);

/* Runs until no request is open; returns false past the bound. */
bool csim_run_until_idle(csim_t *sim, uint64_t timeout_ms);

/* Begins a request to a class of a service; returns its number. */
size_t csim_begin_request(csim_t *sim, const char *service, const char *cls,
			  const app_request_t *app);

const csim_result_t *csim_result(const csim_t *sim, size_t number);
size_t csim_request_count(const csim_t *sim);

/* Process faults. A restart makes a new process without memory. */
void csim_kill(csim_t *sim, node_kind_t kind, unsigned index);
void csim_restart(csim_t *sim, node_kind_t kind, unsigned index);
void csim_freeze(csim_t *sim, node_kind_t kind, unsigned index);
void csim_thaw(csim_t *sim, node_kind_t kind, unsigned index);

/* The old agent hands its flows to a new one. */
void csim_hand_over(csim_t *sim, unsigned agent);

/* Stops as planned: begins the graceful stop of a process. */
void csim_agent_leave(csim_t *sim, unsigned agent);

/* Adds a balancer; returns its index. The fabric uses it at once. */
unsigned csim_add_balancer(csim_t *sim);

/* Takes a balancer out of the fabric's choice, or back into it. */
void csim_set_in_fabric(csim_t *sim, unsigned balancer, bool use);

/* Cuts one way from a place to another; heals all cuts. */
void csim_cut(csim_t *sim, node_t from, node_t to);
void csim_heal_cuts(csim_t *sim);

/* Changes loss, duplication and delay from now on. */
void csim_set_network(csim_t *sim, double loss, double dup, unsigned delay_ms,
		      unsigned jitter_ms);

/* Puts a document in force at one place, or at all. */
void csim_configure(csim_t *sim, node_kind_t kind, unsigned index,
		    const char *text);
void csim_configure_all(csim_t *sim, const char *text);

/* Starts agents and servers of a document's new targets; in force nowhere
 * else yet. */
void csim_start_targets(csim_t *sim, const char *text);

/* When an open was offered to an agent last, 0 for never. */
uint64_t csim_last_open_ms(const csim_t *sim, unsigned agent);

/* Bytes of messages sent that carry no packet, and their number. */
uint64_t csim_control_bytes(const csim_t *sim);
uint64_t csim_control_messages(const csim_t *sim);

balancer_t *csim_balancer(csim_t *sim, unsigned index);
agent_t *csim_agent(csim_t *sim, unsigned index);
app_server_t *csim_server(csim_t *sim, unsigned index);
unsigned csim_agent_count(const csim_t *sim);

/* Agent that serves a target; UINT32_MAX when there is none. */
unsigned csim_find_agent(const csim_t *sim, const char *target);

/* Agent that holds a request's flow; UINT32_MAX when none does. */
unsigned csim_find_holder(csim_t *sim, size_t number);

/* Requests whose outcome is not done, shed or not run; logs recorded by any
 * server ever, and ids recorded more than once. */
size_t csim_count_broken(const csim_t *sim);
void csim_count_records(const csim_t *sim, uint64_t *records,
			uint64_t *duplicates);

/* How often an id was recorded, by any server ever. */
size_t csim_count_log(const csim_t *sim, uint64_t id);

/* A caller's own packet, put into the fabric: balancer UINT32_MAX is any. */
void csim_inject_packet(csim_t *sim, unsigned balancer, const uint8_t *packet,
			size_t len);

/* Sees each packet to the caller, before it is delivered. */
typedef void (*csim_caller_tap_fn)(void *ctx, const packet_t *p);
void csim_set_caller_tap(csim_t *sim, csim_caller_tap_fn fn, void *ctx);

/* Sees each packet that is about to be sent, or handed to a process on the
 * same host. One to a process that is not there is not seen. */
typedef void (*csim_packet_tap_fn)(void *ctx, node_t from, node_t to,
				   const packet_t *p);
void csim_set_packet_tap(csim_t *sim, csim_packet_tap_fn fn, void *ctx);

/* True when the process runs. */
bool csim_is_alive(csim_t *sim, node_kind_t kind, unsigned index);

#endif
