#ifndef CONFIG_SYNC_SIM_H
#define CONFIG_SYNC_SIM_H

/*
 * config_sync_sim - many instances of spread on a simulated network, clock and
 * platform, driven by a seed
 */

#include "../src/config_sync.h"
#include <glib.h>

#define NODES_MAX	    1700
#define ZONES		    7
#define SERVICES	    10
#define TARGETS_PER_SERVICE 5
#define SIM_STEPS_MAX	    1024 /* steps that a message may be away */

typedef enum platform_mode { UP, DOWN, INVALID } platform_mode_t;

typedef struct sim sim_t;

typedef struct node {
	sim_t *sim;
	unsigned index;
	endpoint_t addr;
	config_sync_t *s; /* NULL: stopped */
	bool frozen;
	int partition; /* packets pass between equal sides only */
	unsigned generation;
	uint64_t watch_after, watch_until_ms; /* waiting read */
	uint64_t highest_version; /* highest version ever in force */
	unsigned reverts, conflicts, refusals;
	uint64_t sent_bytes; /* sent to peers */
	uint64_t read_bytes; /* read from the platform */
} node_t;

struct sim {
	uint64_t now;
	unsigned n;
	node_t nodes[NODES_MAX];
	GPtrArray *events[SIM_STEPS_MAX];
	GRand *rand;
	platform_mode_t platform_mode;
	char *documents[2]; /* the platform's view, a side */
	uint64_t versions[2];
	uint64_t calls, calls_this_second, peak_calls_per_second;
	mechanisms_t off;
};

extern const config_sync_ops_t sim_ops;

/* Nodes started, and version 5 in force on all. */
sim_t *sim_new(unsigned n, uint32_t seed, mechanisms_t off);
void sim_free(sim_t *sim);

/* The network alone. */
void sim_init(sim_t *sim, unsigned n, uint32_t seed);
void sim_clear(sim_t *sim);

void sim_run(sim_t *sim, uint64_t ms);
void sim_start(sim_t *sim, unsigned i);
void sim_stop(node_t *n);

/* Publishes for one side of the network, or for both with side -1; takes the
 * text. */
void sim_publish(sim_t *sim, int partition, uint64_t version, char *text);

/* Publishes a version in which one service has changed. */
void sim_publish_version(sim_t *sim, uint64_t version);

/* Processes that run without the version in force. */
unsigned sim_count_without(const sim_t *sim, uint64_t version);

/* Time until all that run have the version; the bound when not. */
uint64_t sim_run_until_in_force(sim_t *sim, uint64_t version, uint64_t bound);

/* Times that any process went back to a lower version. */
unsigned sim_count_reverts(const sim_t *sim);

#endif
