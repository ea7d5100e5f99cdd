#ifndef CLUSTER_SIM_INT_H
#define CLUSTER_SIM_INT_H

/*
 * cluster_sim_int - internals shared by the files of cluster_sim
 *
 * cluster_sim.c creates the simulation and counts results,
 * cluster_sim_network.c delivers events and applies network faults,
 * cluster_sim_process.c starts and stops processes.
 */

#include "naive.h"
#include "cluster_sim.h"

#define START_MS    1000 /* simulated time at the start */
#define TICK_MS	    50	 /* tick interval of balancers and agents */
#define TCP_TICK_MS 10	 /* of servers and the caller, which run mini_tcp */
#define CALLER_IP   0xcb007107U /* 203.0.113.7 */
#define CUTS_MAX    256

typedef enum event_kind {
	EVENT_TICK,
	EVENT_WORK_DONE,   /* work at a server is due to finish */
	EVENT_PACKET,	   /* a plain IPv4 packet */
	EVENT_MESSAGE,	   /* a packed message */
	EVENT_UNREACHABLE, /* nothing listens at the server */
} event_kind_t;

typedef struct event {
	uint64_t time;
	uint64_t seq; /* orders events of the same time */
	event_kind_t kind;
	node_t from;
	node_t to;
	uint64_t generation; /* of process `to` when scheduled */
	msg_kind_t msg;
	size_t len;
	uint8_t bytes[];
} event_t;

typedef struct csim_process {
	csim_t *sim;
	node_t node;
	bool alive;
	bool frozen;
	bool in_fabric;	       /* balancer that the fabric uses */
	uint64_t generation;   /* number of starts */
	uint64_t work_done_ms; /* time of the scheduled EVENT_WORK_DONE,
				  0: none */
	endpoint_t listen;
	char target[NAME_BYTES];
	config_t *config; /* owned */
	balancer_t *balancer;
	agent_t *agent;
	naive_t *naive; /* replaces balancer or agent */
	app_server_t *server;
	GQueue frozen_events; /* event_t, arrived while frozen */
} csim_process_t;

typedef struct cut {
	node_t from;
	node_t to;
} cut_t;

struct csim {
	csim_options_t options;
	uint64_t now;
	uint64_t next_seq;
	uint64_t rng_state;
	GPtrArray *events; /* event_t, binary heap by time and seq, owned */
	csim_process_t balancers[CSIM_BALANCERS_MAX];
	unsigned nbalancers;
	csim_process_t agents[CSIM_AGENTS_MAX];
	csim_process_t servers[CSIM_AGENTS_MAX];
	unsigned nagents;
	caller_t *caller;
	GPtrArray *results; /* csim_result_t, owned */
	cut_t cuts[CUTS_MAX];
	size_t ncuts;
	GHashTable *records; /* of killed servers: log id to count */
	wire_arena_t arena;
	uint64_t last_open_ms[CSIM_AGENTS_MAX]; /* by agent */
	uint64_t control_bytes;
	uint64_t control_messages;
	config_t *declared_config; /* newest configuration of all targets */
	csim_caller_tap_fn caller_tap;
	void *caller_tap_ctx;
	csim_packet_tap_fn packet_tap;
	void *packet_tap_ctx;
};

/* cluster_sim.c */
/* Adds the counts of `from` to `all`. */
void csim_merge_records(GHashTable *all, GHashTable *from);

/* cluster_sim_network.c */
uint64_t csim_random(csim_t *sim);
/* Returns NULL for the caller. */
csim_process_t *csim_process_of(csim_t *sim, node_t node);
/* Schedules an event; copies the bytes. */
void csim_schedule(csim_t *sim, uint64_t time, event_kind_t kind, node_t from,
		   node_t to, msg_kind_t msg, const uint8_t *bytes, size_t len);
/* Sends bytes from node to node, subject to network faults. */
void csim_transmit(csim_t *sim, event_kind_t kind, node_t from, node_t to,
		   msg_kind_t msg, const uint8_t *bytes, size_t len);
void csim_send_to_balancer(csim_t *sim, unsigned balancer,
			   const uint8_t *packet, size_t len);
/* Processes an event and takes ownership of it. */
void csim_dispatch(csim_t *sim, event_t *e);

/* cluster_sim_process.c */
void csim_start_process(csim_process_t *p);
void csim_stop_process(csim_process_t *p);
void csim_add_agents(csim_t *sim, const config_t *config);

#endif
