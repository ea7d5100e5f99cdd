#ifndef RELAY_SIM_INT_H
#define RELAY_SIM_INT_H

/*
 * relay_sim_int - declarations shared by the files of relay_sim
 */

#include "fleet_packet.h"
#include "relay_agent.h"
#include "relay_balancer.h"
#include "relay_sim.h"
#include <glib.h>

#define SERVICE		   "feeds"
#define ADDRESS		   0xc6120001u
#define PORT		   443
#define HIGH_PRIORITY_PORT 80
#define BALANCER_IP	   0x0a010001u
#define AGENT_IP	   0x0a020001u
#define CALLER_IP	   0x64400001u
#define FLOWS_MAX	   60000
#define ONE_WAY_US	   1000	   /* network delay */
#define TICK_US		   25000   /* tick interval of balancers and agents */
#define ENTRY_EXPIRY_MS	   2300	   /* from a crash to the entry's removal */
#define COLD_MS		   2000	   /* warm-up of a started server */
#define COLD_FACTOR	   1.6	   /* on service times during the warm-up */
#define TRIES_MAX	   3	   /* attempts at a request */
#define ERROR_MS	   1	   /* service time of a request that fails */
#define CONNECT_TIMEOUT_US 1400000 /* from the first SYN of an attempt */

typedef struct rsim_event {
	uint64_t due_us; /* simulated time */
	uint64_t seq;	 /* orders events of the same time */
	void (*run)(relay_sim_t *sim, struct rsim_event *e);
	unsigned a, b; /* arguments of run() */
	uint32_t host; /* sender, or the epoch of a server */
	size_t len;
	uint8_t buf[];
} event_t;

/* One request of a caller, in up to TRIES_MAX attempts. */
typedef struct request {
	uint64_t start_us;
	unsigned tries;
	unsigned user; /* user that sends it; 0: a one-shot request */
	unsigned runs; /* how often servers ran the current attempt */
	bool done;
} request_t;

typedef struct sim_flow {
	bool open;
	bool closed;
	bool high_priority;  /* on the route of high priority */
	int server;	     /* server that accepted the flow; -1: none */
	unsigned epoch;	     /* epoch of the server when it accepted */
	unsigned user;	     /* owner of a long flow; 0: none */
	unsigned request;    /* request in progress; 0: none */
	unsigned sent;	     /* data packets sent, without retransmissions */
	uint32_t isn;	     /* initial sequence number of the server */
	uint32_t acked;	     /* bytes of the answered requests */
	bool in_service;     /* the server runs or queues the request */
	bool error;	     /* the current request fails */
	unsigned last_run;   /* `sent` of the last request that was run */
	bool oracle_decided; /* placed_at is valid */
	int placed_at;	     /* target chosen by the oracle; -1: none */
} sim_flow_t;

#define REQUEST_BYTES 100
#define ANSWER_BYTES  500

/* Sequence number of the next answer on a flow. */
static inline uint32_t rsim_server_next(const sim_flow_t *f)
{
	return f->isn + 1 + f->acked / REQUEST_BYTES * ANSWER_BYTES;
}

typedef struct server {
	bool up;
	bool draining;
	unsigned epoch;	      /* number of restarts */
	unsigned busy;	      /* slots in use */
	unsigned served;      /* requests begun */
	GQueue *waiting;      /* of flow numbers */
	double speed;	      /* divisor of service times */
	double slowdown;      /* factor on service times */
	double failure_ratio; /* share of requests that fail, 0 to 1 */
	uint64_t warmup_end_us;
} server_t;

typedef struct user {
	unsigned flow;	  /* 0: none */
	unsigned request; /* request in progress; 0: none */
} user_t;

struct relay_sim {
	rsim_options_t opts;
	uint64_t now_us; /* simulated time */
	uint64_t seq;	 /* `seq` of the last event */
	GArray *heap;	 /* binary heap of event_t *, owned; next event first */
	relay_balancer_t **balancers;
	bool *in_rotation;
	relay_agent_t **agents;
	server_t *servers;
	user_t *users;
	sim_flow_t *flows;
	unsigned nflows;
	GArray *requests; /* of request_t */
	GPtrArray *peers; /* of peer_t, owned */
	double rate;	  /* factor on request rates */
	int caller_zone;  /* zone that callers' packets reach; -1: all */
	uint64_t rng_state;
	uint64_t revision; /* of the last directory entry */
	uint64_t version;  /* of the last route table */
	rsim_result_t result;
	uint64_t count_from_us; /* earlier requests are not counted */
};

typedef struct peer {
	relay_sim_t *sim;
	unsigned i; /* index of the balancer or target */
} peer_t;

/* relay_sim.c */
/* Schedules an event after a delay, in us, with a copy of buf. The caller sets
 * its arguments; the simulation owns it. */
event_t *rsim_schedule(relay_sim_t *sim, uint64_t delay,
		       void (*run)(relay_sim_t *sim, event_t *e),
		       const uint8_t *buf, size_t len);
/* Random numbers: uniform between 0 and 1, exponential with a mean. */
double rsim_random(relay_sim_t *sim);
double rsim_random_exp(relay_sim_t *sim, double mean);
uint64_t rsim_now_ms(const relay_sim_t *sim);
/* Builds a packet of a flow in the format of fleet_packet.h, without checksum;
 * `wire` is the byte of its flags. Returns its length in bytes. */
size_t rsim_build_packet(const relay_sim_t *sim, uint8_t *buf, unsigned flow,
			 bool to_service, uint8_t wire, uint32_t seq,
			 uint32_t ack, unsigned payload);
/* Number of the flow whose caller has this address and port. */
unsigned rsim_flow_number(uint32_t ip, uint16_t port);
/* Zone of the i-th balancer or target. */
unsigned rsim_zone(const relay_sim_t *sim, unsigned i);

/* relay_sim_callers.c */
request_t *rsim_request(relay_sim_t *sim, unsigned i);
/* Start a request of the user e->a, or a one-shot request, and schedule the
 * next one. */
void rsim_user_request(relay_sim_t *sim, event_t *e);
void rsim_oneshot_request(relay_sim_t *sim, event_t *e);
/* Handles a packet that reaches its caller from the agent e->a. */
void rsim_caller_receive(relay_sim_t *sim, event_t *e);

/* relay_sim_servers.c */
/* Handles a packet that reaches the server e->a. */
void rsim_server_receive(relay_sim_t *sim, event_t *e);

/* relay_sim_oracle.c: replaces balancers and agents */
void rsim_oracle_packet(relay_sim_t *sim, unsigned flow, const uint8_t *buf,
			size_t len);
void rsim_oracle_answer(relay_sim_t *sim, unsigned server, const uint8_t *buf,
			size_t len);
void rsim_oracle_lost(relay_sim_t *sim, unsigned server);

#endif
