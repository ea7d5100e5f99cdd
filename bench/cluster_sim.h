#ifndef CLUSTER_SIM_H
#define CLUSTER_SIM_H

/*
 * cluster_sim - discrete-event simulation of the whole system
 *
 * Runs the library's balancers and agents, models of backend servers and one
 * caller in one process. They exchange packets and packed messages through a
 * queue of events on a simulated clock. All randomness comes from one seed, so
 * that a run can be repeated. Network faults are loss, duplication, delay and
 * cut paths between two nodes; process faults are kill, freeze and restart.
 * Times are in ms.
 */

#include "../src/agent.h"
#include "../src/balancer.h"
#include "../src/caller.h"
#include "app_server.h"

#define CSIM_BALANCERS_MAX 16
#define CSIM_AGENTS_MAX	   256
#define CSIM_RANK_SEED	   42

typedef enum node_kind {
	NODE_CALLER = 0, /* the caller, with the fabric */
	NODE_BALANCER,
	NODE_AGENT,
	NODE_SERVER,
} node_kind_t;

/* Names a simulated process. */
typedef struct node {
	node_kind_t kind;
	unsigned index;
} node_t;

typedef struct csim_options {
	const char *config_text;
	unsigned balancers; /* number at the start */
	uint64_t seed;
	double loss_ratio;  /* 0 to 1, of packets and messages */
	double dup_ratio;   /* 0 to 1, of packets */
	unsigned delay_ms;  /* one way */
	unsigned jitter_ms; /* greatest random delay added, reorders packets */
	double service_ms;  /* of the servers; 0: 5 */
	const double *speeds;	 /* of the servers, by target; NULL: all 1 */
	unsigned queue;		 /* of the servers; 0: 10000 */
	double chunk_service_ms; /* up to report_factor: see app_server.h */
	double kind_cost[APP_KINDS];
	double service_jitter;
	uint64_t warmup_ms; /* of servers that start after csim_new() */
	double warmup_speed;
	double report_factor;
	mechanisms_t off; /* mechanisms disabled in balancers and agents */
	const policy_t *policy; /* NULL: the product's policy */
	bool naive;		/* run naive.h instead of the library */
} csim_options_t;

/* A request and, once it has ended, its result. See caller.h for members
 * without a comment. */
typedef struct csim_result {
	app_request_t app;
	outcome_t outcome;
	bool ended;
	uint64_t started_ms;
	uint64_t first_byte_ms;
	uint64_t ended_ms;
	uint64_t received; /* bytes of the answer */
	uint64_t max_gap_ms;
	unsigned retry_after_s;
	flow_key_t key;
	caller_request_t *request; /* NULL once ended */
} csim_result_t;

typedef struct csim csim_t;

/* Starts the agents and servers of all targets, and the balancers. Returns NULL
 * when the configuration is invalid. */
csim_t *csim_new(const csim_options_t *options);
void csim_free(csim_t *sim);

/* Returns the simulated time. */
uint64_t csim_now(const csim_t *sim);

/* Runs the simulation for `ms` of simulated time. */
void csim_run(csim_t *sim, uint64_t ms);

/* Runs until no request is open. Returns false on timeout. */
bool csim_run_until_idle(csim_t *sim, uint64_t timeout_ms);

/* Begins a request to a class of a service. Returns its number, from 0. */
size_t csim_begin_request(csim_t *sim, const char *service, const char *cls,
			  const app_request_t *app);

/* Returns a request by its number; owned by the simulation. */
const csim_result_t *csim_result(const csim_t *sim, size_t number);

/* Returns the number of requests begun. */
size_t csim_request_count(const csim_t *sim);

/* Process faults. A restarted process has lost its state. A frozen process does
 * nothing until csim_thaw(), which delivers the packets and messages that
 * arrived in between. */
void csim_kill(csim_t *sim, node_kind_t kind, unsigned index);
void csim_restart(csim_t *sim, node_kind_t kind, unsigned index);
void csim_freeze(csim_t *sim, node_kind_t kind, unsigned index);
void csim_thaw(csim_t *sim, node_kind_t kind, unsigned index);

/* Replaces an agent by a new process that takes over its flows; restarts it if
 * it does not run. */
void csim_hand_over(csim_t *sim, unsigned agent);

/* Begins the graceful stop of an agent, see agent_leave(). */
void csim_agent_leave(csim_t *sim, unsigned agent);

/* Starts a further balancer, which the fabric uses at once. Returns its index.
 */
unsigned csim_add_balancer(csim_t *sim);

/* Sets whether the fabric sends packets to a balancer. */
void csim_set_in_fabric(csim_t *sim, unsigned balancer, bool use);

/* csim_cut() drops everything sent from one node to another, in this direction
 * only. csim_heal_cuts() removes all cuts. */
void csim_cut(csim_t *sim, node_t from, node_t to);
void csim_heal_cuts(csim_t *sim);

/* Sets the ratios of loss and duplication, the delay and the jitter from now
 * on, see csim_options_t. */
void csim_set_network(csim_t *sim, double loss, double dup, unsigned delay_ms,
		      unsigned jitter_ms);

/* Applies a configuration to one balancer or agent, or to all. The latter also
 * starts the agents and servers of its new targets. */
void csim_configure(csim_t *sim, node_kind_t kind, unsigned index,
		    const char *text);
void csim_configure_all(csim_t *sim, const char *text);

/* Starts the agents and servers of a configuration's new targets; processes
 * that run keep their configuration. */
void csim_start_targets(csim_t *sim, const char *text);

/* Returns the time at which an open was last sent to an agent, 0 for never. */
uint64_t csim_last_open_ms(const csim_t *sim, unsigned agent);

/* Returns the bytes and the number of the control messages sent: all but those
 * that carry a packet or report where a flow is held. Bytes include the seal
 * and the headers of UDP and IP. */
uint64_t csim_control_bytes(const csim_t *sim);
uint64_t csim_control_messages(const csim_t *sim);

/* Return the simulated process; NULL when it does not run. */
balancer_t *csim_balancer(csim_t *sim, unsigned index);
agent_t *csim_agent(csim_t *sim, unsigned index);
app_server_t *csim_server(csim_t *sim, unsigned index);

/* Returns the number of agents started, including those that do not run. */
unsigned csim_agent_count(const csim_t *sim);

/* Returns the agent of a target, UINT32_MAX when there is none. */
unsigned csim_find_agent(const csim_t *sim, const char *target);

/* Returns the agent at which a request's flow is established, UINT32_MAX when
 * there is none. */
unsigned csim_find_holder(csim_t *sim, size_t number);

/* Returns the number of requests that have not ended, or ended in another way
 * than done, shed or not run. */
size_t csim_count_broken(const csim_t *sim);

/* Counts the logs recorded, and the ids recorded more than once, at all servers
 * including those that were killed. */
void csim_count_records(const csim_t *sim, uint64_t *records,
			uint64_t *duplicates);

/* Returns how often a log id was recorded, at all servers as above. */
size_t csim_count_log(const csim_t *sim, uint64_t id);

/* Sends a packet from the caller to a balancer, UINT32_MAX for one at random
 * among those that the fabric uses. */
void csim_inject_packet(csim_t *sim, unsigned balancer, const uint8_t *packet,
			size_t len);

/* Calls `fn` with each packet to the caller before it is delivered. */
typedef void (*csim_caller_tap_fn)(void *ctx, const packet_t *p);
void csim_set_caller_tap(csim_t *sim, csim_caller_tap_fn fn, void *ctx);

/* Calls `fn` with each IPv4 packet that a node sends, including those that the
 * network loses. Packets on cut paths and packets to a backend server that does
 * not run are left out. */
typedef void (*csim_packet_tap_fn)(void *ctx, node_t from, node_t to,
				   const packet_t *p);
void csim_set_packet_tap(csim_t *sim, csim_packet_tap_fn fn, void *ctx);

/* Returns true when the process runs; a frozen one does. */
bool csim_is_alive(csim_t *sim, node_kind_t kind, unsigned index);

#endif
