#ifndef RELAY_SIM_INT_H
#define RELAY_SIM_INT_H

/*
 * relay_sim_int - what the files of relay_world share
 */

#include "fleet_packet.h"
#include "relay_agent.h"
#include "relay_balancer.h"
#include "relay_sim.h"
#include <glib.h>

#define SERVICE		"feeds"
#define ADDRESS		0xc6120001u
#define PORT		443
#define URGENT_PORT	80
#define BALANCER_IP	0x0a010001u
#define AGENT_IP	0x0a020001u
#define CALLER_IP	0x64400001u
#define FLOWS_MAX	60000
#define ONE_WAY_US	1000
#define TICK_US		25000
#define ENTRY_GONE_MS	2300
#define COLD_MS		2000
#define COLD_FACTOR	1.6
#define TRIES		3
#define ERROR_MS	1
#define SYN_GIVEN_UP_US 1400000

typedef struct event {
	uint64_t at; /* us */
	uint64_t order;
	void (*run)(relay_world_t *w, struct event *e);
	unsigned a, b; /* what it is about */
	uint32_t host;
	size_t len;
	uint8_t buf[];
} event_t;

/* One request of a caller, over up to TRIES flows. */
typedef struct request {
	uint64_t asked; /* us */
	unsigned tries;
	unsigned user; /* 0: a fresh one */
	unsigned runs; /* of the attempt under way */
	bool done;
} request_t;

typedef struct wflow {
	bool open;
	bool closed;
	bool urgent;	  /* its route is */
	int server;	  /* that accepted it, -1 none */
	unsigned epoch;	  /* of that server */
	unsigned user;	  /* whose long flow it is, 0 none */
	unsigned request; /* under way, 0 none */
	unsigned sent;	  /* packets with data */
	uint32_t isn;
	uint32_t acked;
	bool busy_at_server;
	bool error;	   /* the server answers with an error */
	unsigned run;	   /* `sent` of the request that it ran last */
	bool asked_oracle; /* placed is known */
	int placed;	   /* by the oracle; -1: nowhere */
} wflow_t;

typedef struct server {
	bool up;
	bool draining;
	unsigned epoch;
	unsigned busy;
	GQueue *waiting; /* of flow numbers */
	double speed;
	double factor;
	double failing;	  /* part of the requests */
	uint64_t warm_at; /* us */
} server_t;

typedef struct user {
	unsigned flow;	  /* 0: none */
	unsigned request; /* under way */
} user_t;

struct relay_world {
	rw_options_t o;
	uint64_t now; /* us */
	uint64_t order;
	GArray *heap; /* of event_t * */
	relay_balancer_t **balancers;
	bool *rotation;
	relay_agent_t **agents;
	server_t *servers;
	user_t *users;
	wflow_t *flows;
	unsigned nflows;
	GArray *requests; /* of request_t */
	GPtrArray *peers; /* of peer_t, owned */
	double rate;
	int callers_zone; /* -1: all */
	uint64_t random;
	uint64_t revision;
	uint64_t version;
	rw_result_t result;
	uint64_t counted_from; /* us */
};

typedef struct peer {
	relay_world_t *w;
	unsigned i;
} peer_t;

/* relay_sim.c */
/* Makes something happen after a delay, in us. */
event_t *rw_push(relay_world_t *w, uint64_t delay,
		 void (*run)(relay_world_t *w, event_t *e), const uint8_t *buf,
		 size_t len);
/* From 0 to 1, and exponential with a mean. */
double rw_chance(relay_world_t *w);
double rw_spread(relay_world_t *w, double mean);
uint64_t rw_ms(const relay_world_t *w);
size_t rw_build(const relay_world_t *w, uint8_t *buf, unsigned flow,
		bool to_service, uint8_t wire, uint32_t seq, uint32_t ack,
		unsigned payload);
unsigned rw_flow_of(uint32_t ip, uint16_t port);
/* Zone of the i-th balancer or target. */
unsigned rw_zone(const relay_world_t *w, unsigned i);

/* relay_sim_callers.c */
request_t *rw_request_at(relay_world_t *w, unsigned i);
void rw_user_asks(relay_world_t *w, event_t *e);
void rw_fresh_asks(relay_world_t *w, event_t *e);
/* A packet reaches its caller; e->a is the agent that sent it. */
void rw_at_caller(relay_world_t *w, event_t *e);

/* relay_sim_servers.c */
/* A packet reaches the server e->a. */
void rw_at_server(relay_world_t *w, event_t *e);

/* relay_sim_oracle.c: in place of balancers and agents */
void rw_oracle_packet(relay_world_t *w, unsigned flow, const uint8_t *buf,
		      size_t len);
void rw_oracle_answer(relay_world_t *w, unsigned server, const uint8_t *buf,
		      size_t len);
void rw_oracle_lost(relay_world_t *w, unsigned server);

#endif
