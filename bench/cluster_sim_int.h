#ifndef CLUSTER_SIM_INT_H
#define CLUSTER_SIM_INT_H

/*
 * cluster_sim_int - what the files of the world share
 *
 * cluster_sim.c makes the world and counts results, cluster_sim_network.c
 * carries events with their faults, cluster_sim_process.c starts and stops
 * processes.
 */

#include "naive.h"
#include "cluster_sim.h"

#define START_MS    1000
#define TICK_MS	    50
#define TCP_TICK_MS 10
#define CALLER_IP   0xcb007107U /* 203.0.113.7 */
#define CUTS_MAX    256

typedef enum event_kind {
	EVENT_TICK,
	EVENT_WORK_DONE,   /* a server finishes work */
	EVENT_PACKET,	   /* a plain IPv4 packet */
	EVENT_MESSAGE,	   /* a packed message */
	EVENT_UNREACHABLE, /* nothing listens at the server */
} event_kind_t;

typedef struct event {
	uint64_t time;
	uint64_t seq; /* keeps the order of equal times */
	event_kind_t kind;
	node_t from;
	node_t to;
	uint64_t generation; /* of the process at `to`, for ticks */
	msg_kind_t msg;
	size_t len;
	uint8_t bytes[];
} event_t;

typedef struct csim_process {
	csim_t *sim;
	node_t node;
	bool alive;
	bool frozen;
	bool in_fabric;	       /* balancers */
	uint64_t generation;   /* raised at each start */
	uint64_t work_done_ms; /* of the EVENT_WORK_DONE that is posted, 0 for
				  none */
	endpoint_t listen;
	char target[NAME_BYTES];
	config_t *config; /* owned */
	balancer_t *balancer;
	agent_t *agent;
	naive_t *naive; /* in place of balancer or agent */
	app_server_t *server;
	GQueue frozen_events; /* events while frozen */
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
	GPtrArray *events; /* event_t, a binary heap, owned */
	csim_process_t balancers[CSIM_BALANCERS_MAX];
	unsigned nbalancers;
	csim_process_t agents[CSIM_AGENTS_MAX];
	csim_process_t servers[CSIM_AGENTS_MAX];
	unsigned nagents;
	caller_t *caller;
	GPtrArray *results; /* csim_result_t, owned */
	cut_t cuts[CUTS_MAX];
	size_t ncuts;
	GHashTable *records; /* of servers that are gone: id to count */
	wire_arena_t arena;
	uint64_t last_open_ms[CSIM_AGENTS_MAX]; /* ms, offered to an agent */
	uint64_t control_bytes;
	uint64_t control_messages;
	config_t *declared_config;
	csim_caller_tap_fn caller_tap;
	void *caller_tap_ctx;
	csim_packet_tap_fn packet_tap;
	void *packet_tap_ctx;
};

/* cluster_sim.c */
void csim_merge_records(GHashTable *all, GHashTable *from);

/* cluster_sim_network.c */
uint64_t csim_random(csim_t *sim);
csim_process_t *csim_process_of(csim_t *sim, node_t node);
void csim_schedule(csim_t *sim, uint64_t time, event_kind_t kind, node_t from,
		   node_t to, msg_kind_t msg, const uint8_t *bytes, size_t len);
void csim_transmit(csim_t *sim, event_kind_t kind, node_t from, node_t to,
		   msg_kind_t msg, const uint8_t *bytes, size_t len);
void csim_send_to_balancer(csim_t *sim, unsigned balancer,
			   const uint8_t *packet, size_t len);
/* Takes the event over. */
void csim_dispatch(csim_t *sim, event_t *e);

/* cluster_sim_process.c */
void csim_start_process(csim_process_t *p);
void csim_stop_process(csim_process_t *p);
void csim_add_agents(csim_t *sim, const config_t *config);

#endif
