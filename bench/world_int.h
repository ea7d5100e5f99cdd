#ifndef WORLD_INT_H
#define WORLD_INT_H

/*
 * world_int - what the files of the world share
 *
 * world.c makes the world and counts results, world_network.c carries events
 * with their faults, world_process.c starts and stops processes.
 */

#include "naive.h"
#include "world.h"

#define START_MS    1000
#define TICK_MS	    50
#define TCP_TICK_MS 10
#define CALLER_IP   0xcb007107U /* 203.0.113.7 */
#define CUTS_MAX    256

typedef enum event_kind {
	EVENT_TICK,
	EVENT_DUE,     /* a server finishes work */
	EVENT_PACKET,  /* a plain IPv4 packet */
	EVENT_MESSAGE, /* a packed message */
	EVENT_REFUSED, /* nothing listens at the server */
} event_kind_t;

typedef struct event {
	uint64_t time;
	uint64_t number; /* keeps the order of equal times */
	event_kind_t kind;
	place_t from;
	place_t to;
	uint64_t life; /* of the process at `to`, for ticks */
	msg_kind_t msg;
	size_t len;
	uint8_t bytes[];
} event_t;

typedef struct process_state {
	world_t *world;
	place_t place;
	bool alive;
	bool frozen;
	bool in_fabric; /* balancers */
	uint64_t life;	/* raised at each start */
	uint64_t due;	/* of the EVENT_DUE that is posted, 0 for none */
	endpoint_t listen;
	char target[NAME_BYTES];
	config_t *config; /* owned */
	balancer_t *balancer;
	agent_t *agent;
	naive_t *naive; /* in place of balancer or agent */
	app_server_t *server;
	GQueue waiting; /* events while frozen */
} process_state_t;

typedef struct cut {
	place_t from;
	place_t to;
} cut_t;

struct world {
	world_options_t options;
	uint64_t now;
	uint64_t numbers;
	uint64_t random;
	GPtrArray *events; /* event_t, a binary heap, owned */
	process_state_t balancers[WORLD_BALANCERS];
	unsigned nbalancers;
	process_state_t agents[WORLD_AGENTS];
	process_state_t servers[WORLD_AGENTS];
	unsigned nagents;
	caller_t *caller;
	GPtrArray *results; /* world_result_t, owned */
	cut_t cuts[CUTS_MAX];
	size_t ncuts;
	GHashTable *records; /* of servers that are gone: id to count */
	wire_arena_t arena;
	uint64_t last_open[WORLD_AGENTS]; /* ms, offered to an agent */
	uint64_t control_bytes;
	uint64_t control_messages;
	config_t *first;
	world_tap_fn tap;
	void *tap_ctx;
	world_watch_fn watch;
	void *watch_ctx;
};

/* world.c */
void world_add_records(GHashTable *all, GHashTable *from);

/* world_network.c */
uint64_t world_random(world_t *w);
process_state_t *world_state_of(world_t *w, place_t place);
void world_post(world_t *w, uint64_t time, event_kind_t kind, place_t from,
		place_t to, msg_kind_t msg, const uint8_t *bytes, size_t len);
void world_transmit(world_t *w, event_kind_t kind, place_t from, place_t to,
		    msg_kind_t msg, const uint8_t *bytes, size_t len);
void world_to_fabric(world_t *w, unsigned balancer, const uint8_t *packet,
		     size_t len);
/* Takes the event over. */
void world_dispatch(world_t *w, event_t *e);

/* world_process.c */
void world_start(process_state_t *p);
void world_stop(process_state_t *p);
void world_add_agents(world_t *w, const config_t *config);

#endif
