#ifndef WORLD_H
#define WORLD_H

/*
 * world - the library's decisions wired together in one process
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

#define WORLD_BALANCERS 16
#define WORLD_AGENTS	256
#define WORLD_RANK_SEED 42

typedef enum place_kind {
	PLACE_CALLER = 0, /* the caller and the fabric */
	PLACE_BALANCER,
	PLACE_AGENT,
	PLACE_SERVER,
} place_kind_t;

/* A process of the world. */
typedef struct place {
	place_kind_t kind;
	unsigned index;
} place_t;

typedef struct world_options {
	const char *config_text;
	unsigned balancers;
	uint64_t seed;
	double loss; /* of each packet and message */
	double dup;
	unsigned delay_ms;    /* one way */
	unsigned jitter_ms;   /* added at random: reorders */
	double service_ms;    /* of the servers; 0 is 5 */
	const double *speeds; /* a target, NULL: all 1 */
	unsigned queue;	      /* of the servers; 0 is 10000 */
	double chunk_ms;      /* of the servers, see app_server.h */
	double class_cost[APP_KINDS];
	double spread;
	uint64_t cold_ms; /* of servers that start later */
	double cold_speed;
	double report_factor;
	mechanisms_t off;	/* of balancers and agents */
	const policy_t *policy; /* NULL: the one in use */
	bool naive;		/* run naive.h in place of the library */
} world_options_t;

/* A request's end, kept by the world. */
typedef struct world_result {
	app_request_t app;
	outcome_t outcome;
	bool ended;
	uint64_t begun_ms;
	uint64_t answered_ms;
	uint64_t ended_ms;
	uint64_t got;
	uint64_t greatest_gap;
	unsigned retry_after_s;
	flow_key_t key;
	caller_request_t *request; /* NULL when ended */
} world_result_t;

typedef struct world world_t;

world_t *world_new(const world_options_t *options);
void world_free(world_t *w);

uint64_t world_now(const world_t *w);

/* Lets so many milliseconds pass. */
void world_run(world_t *w, uint64_t ms);

/* Runs until no request is open; returns false past the bound. */
bool world_settle(world_t *w, uint64_t bound_ms);

/* Begins a request to a class of a service; returns its number. */
size_t world_request(world_t *w, const char *service, const char *cls,
		     const app_request_t *app);

const world_result_t *world_result(const world_t *w, size_t number);
size_t world_requests(const world_t *w);

/* Process faults. A restart makes a new process without memory. */
void world_kill(world_t *w, place_kind_t kind, unsigned index);
void world_restart(world_t *w, place_kind_t kind, unsigned index);
void world_freeze(world_t *w, place_kind_t kind, unsigned index);
void world_thaw(world_t *w, place_kind_t kind, unsigned index);

/* The old agent hands its flows to a new one. */
void world_hand_over(world_t *w, unsigned agent);

/* Stops as planned: begins the graceful stop of a process. */
void world_leave(world_t *w, unsigned agent);

/* Adds a balancer; returns its index. The fabric uses it at once. */
unsigned world_add_balancer(world_t *w);

/* Takes a balancer out of the fabric's choice, or back into it. */
void world_fabric(world_t *w, unsigned balancer, bool use);

/* Cuts one way from a place to another; heals all cuts. */
void world_cut(world_t *w, place_t from, place_t to);
void world_heal(world_t *w);

/* Changes loss, duplication and delay from now on. */
void world_network(world_t *w, double loss, double dup, unsigned delay_ms,
		   unsigned jitter_ms);

/* Puts a document in force at one place, or at all. */
void world_configure(world_t *w, place_kind_t kind, unsigned index,
		     const char *text);
void world_configure_all(world_t *w, const char *text);

/* Starts agents and servers of a document's new targets; in force nowhere
 * else yet. */
void world_declare(world_t *w, const char *text);

/* When an open was offered to an agent last, 0 for never. */
uint64_t world_last_open(const world_t *w, unsigned agent);

/* Bytes of messages sent that carry no packet, and their number. */
uint64_t world_control_bytes(const world_t *w);
uint64_t world_control_messages(const world_t *w);

balancer_t *world_balancer(world_t *w, unsigned index);
agent_t *world_agent(world_t *w, unsigned index);
app_server_t *world_server(world_t *w, unsigned index);
unsigned world_agents(const world_t *w);

/* Agent that serves a target; UINT32_MAX when there is none. */
unsigned world_agent_of(const world_t *w, const char *target);

/* Agent that holds a request's flow; UINT32_MAX when none does. */
unsigned world_holder(world_t *w, size_t number);

/* Requests whose outcome is not done, shed or not run; logs recorded by any
 * server ever, and ids recorded more than once. */
size_t world_broken(const world_t *w);
void world_records(const world_t *w, uint64_t *records, uint64_t *doubled);

/* How often an id was recorded, by any server ever. */
size_t world_recorded(const world_t *w, uint64_t id);

/* A caller's own packet, put into the fabric: balancer UINT32_MAX is any. */
void world_inject(world_t *w, unsigned balancer, const uint8_t *packet,
		  size_t len);

/* Sees each packet to the caller, before it is delivered. */
typedef void (*world_tap_fn)(void *ctx, const packet_t *p);
void world_tap(world_t *w, world_tap_fn tap, void *ctx);

/* Sees each packet that is about to be sent, or handed to a process on the
 * same host. One to a process that is not there is not seen. */
typedef void (*world_watch_fn)(void *ctx, place_t from, place_t to,
			       const packet_t *p);
void world_watch(world_t *w, world_watch_fn watch, void *ctx);

/* True when the process runs. */
bool world_alive(world_t *w, place_kind_t kind, unsigned index);

#endif
