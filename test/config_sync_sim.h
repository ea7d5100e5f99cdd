#ifndef CONFIG_SYNC_SIM_H
#define CONFIG_SYNC_SIM_H

/*
 * config_sync_sim - many instances of config_sync on a simulated network, clock
 * and platform; all random choices come from a seed
 */

#include "../src/config_sync.h"
#include <glib.h>

#define NODES_MAX	    1700
#define ZONES		    7 /* availability zones */
#define SERVICES	    10
#define TARGETS_PER_SERVICE 5
#define SIM_STEPS_MAX	    1024 /* greatest delay of an event, in steps */

/* INVALID: the platform sends documents that do not parse. */
typedef enum platform_mode { UP, DOWN, INVALID } platform_mode_t;

typedef struct sim sim_t;

/* A simulated process. */
typedef struct node {
	sim_t *sim;
	unsigned index;
	endpoint_t addr;
	config_sync_t *s; /* NULL: stopped */
	bool frozen;	  /* suspended: no ticks, messages wait */
	int partition;	  /* messages pass within a partition; the platform is
			   * reached from 0 and 1 */
	unsigned generation;		      /* number of starts */
	uint64_t watch_after, watch_until_ms; /* of a pending watch; 0: none */
	uint64_t highest_version;	      /* ever in force */
	unsigned reverts, conflicts, refusals;
	uint64_t sent_bytes; /* to peers */
	uint64_t read_bytes; /* from the platform */
} node_t;

struct sim {
	uint64_t now; /* ms */
	unsigned n;   /* nodes */
	node_t nodes[NODES_MAX];
	GPtrArray *events[SIM_STEPS_MAX]; /* ring, by step of delivery */
	GRand *rand;
	platform_mode_t platform_mode;
	char *documents[2]; /* published in partitions 0 and 1 */
	uint64_t versions[2];
	/* Calls of the platform. */
	uint64_t calls, calls_this_second, peak_calls_per_second;
	mechanisms_t off; /* disabled mechanisms */
};

extern const config_sync_ops_t sim_ops;

/*
 * Starts n nodes and runs until all have version 5 in force, for at most 30 s,
 * and for 5 s more.
 */
sim_t *sim_new(unsigned n, uint32_t seed, mechanisms_t off);
void sim_free(sim_t *sim);

/* Sets up the network and the platform without starting nodes. */
void sim_init(sim_t *sim, unsigned n, uint32_t seed);
void sim_clear(sim_t *sim);

void sim_run(sim_t *sim, uint64_t ms);
void sim_start(sim_t *sim, unsigned i);
void sim_stop(node_t *n);

/*
 * Publishes a document in one partition, or in both with partition -1. Takes
 * ownership of the text.
 */
void sim_publish(sim_t *sim, int partition, uint64_t version, char *text);

/* Publishes a document in both partitions in which one service has changed. */
void sim_publish_version(sim_t *sim, uint64_t version);

/* Number of running nodes that do not have the version in force. */
unsigned sim_count_without(const sim_t *sim, uint64_t version);

/*
 * Runs until all running nodes have the version in force, for at most bound
 * milliseconds. Returns the time taken in milliseconds.
 */
uint64_t sim_run_until_in_force(sim_t *sim, uint64_t version, uint64_t bound);

/* Number of times that a node put a lower version in force than before. */
unsigned sim_count_reverts(const sim_t *sim);

#endif
