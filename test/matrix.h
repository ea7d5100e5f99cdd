#ifndef MATRIX_H
#define MATRIX_H

/*
 * matrix - injects faults at the steps of a request in a simulation
 *
 * A cell of the matrix is one simulation (cluster_sim.h) with requests of
 * all kinds.
 * The progress of one request, the subject, triggers the fault: it is injected
 * when the subject reaches the step of the cell. A second fault may follow. The
 * results at the callers and the backend servers are counted. The same cell
 * also runs with the naive version (naive.h) for comparison.
 */

#include "../bench/cluster_sim.h"

#define MATRIX_FAULTS_MAX  32
#define MATRIX_STEPS_MAX   16
#define CELL_REQUESTS_MAX  2048
#define CELL_AGENTS_MAX	   16
#define CELL_SCHEDULED_MAX 16

/* Failures that a fault may cause. */
typedef enum fault_class {
	FAULT_PLANNED = 0, /* no flow breaks, no open is refused */
	FAULT_PASSING,	   /* no flow breaks; opens may be refused */
	FAULT_LOSS,	   /* flows of the lost server end with a reason */
} fault_class_t;

typedef struct cell cell_t;

typedef struct fault {
	const char *name;
	fault_class_t class;
	unsigned duration_ms; /* time from begin() to end() */
	void (*begin)(cell_t *c);
	void (*end)(cell_t *c, unsigned victim); /* NULL: no end */
	bool victim_is_agent; /* the fault hits an agent, else a balancer */
} fault_t;

typedef struct step {
	const char *name;
	app_kind_t subject;	    /* kind of the subject request */
	void (*prepare)(cell_t *c); /* runs before the requests, or NULL */
	/* True at the step; NULL injects the fault before the requests. */
	bool (*reached)(const cell_t *c);
	void (*on_reached)(cell_t *c); /* runs before the fault, or NULL */
} step_t;

/* Packets of one flow as seen on the simulated network. */
typedef struct flow_trace {
	uint64_t bytes_from_caller; /* payload sent, with retransmissions */
	uint64_t bytes_to_server;   /* payload delivered to backend servers */
	uint64_t server_mask;	    /* servers that got a packet, a bit each */
	uint64_t data_server_mask;  /* servers that got payload, a bit each */
	unsigned holder;	    /* server that got the latest packet */
	bool syn, syn_ack, fin;	    /* sent by any process */
} flow_trace_t;

/*
 * Configuration of a cell, which faults change. The last three members are bit
 * masks of the targets of "spot".
 */
typedef struct cell_config {
	unsigned version;
	unsigned spot_targets; /* number of targets of the service "spot" */
	unsigned reweighted;   /* targets with a weight of 0.2 */
	unsigned draining;     /* targets with state "draining" */
	unsigned deleted;      /* targets left out */
} cell_config_t;

/* End of a fault that is in progress. */
typedef struct scheduled_end {
	uint64_t due_ms;
	const fault_t *fault;
	unsigned victim;
} scheduled_end_t;

struct cell {
	csim_t *sim;
	uint64_t rng_state;
	bool naive;
	size_t subject;	      /* number of the subject request */
	unsigned victim;      /* process that the current fault hits */
	uint64_t lost_agents; /* agents whose server lost its flows, as bits */
	uint64_t frozen_agents; /* agents that are frozen, as bits */
	uint64_t lost_at_ms;	/* time of the latest loss */
	cell_config_t config;
	flow_trace_t traces[CELL_REQUESTS_MAX]; /* by the caller's port */
	scheduled_end_t scheduled[CELL_SCHEDULED_MAX];
	size_t nscheduled;
	uint64_t misrouted; /* packets at a server of another service */
	uint64_t server_opens[CELL_AGENTS_MAX]; /* SYNs delivered, per server */
	uint64_t last_open_ms[CELL_AGENTS_MAX]; /* time of the latest SYN */
	bool network_duplicates; /* the network duplicates packets */
	bool copy_opens; /* a copy of each SYN goes to the next balancer */
};

typedef struct cell_counts {
	uint64_t cells;
	uint64_t requests;
	/* Cells whose subject did not reach the step in time. */
	uint64_t unreached;
	/* Requests that failed although their server lost no flows. */
	uint64_t broken;
	/* Requests refused with "not run" before payload reached a server. */
	uint64_t refused;
	/* Requests at a lost server that ended with "outcome unknown". */
	uint64_t lost;
	/* Requests at a lost server that failed in any other way. */
	uint64_t lost_without_reason;
	/* Log ids recorded more than once. */
	uint64_t duplicates;
	/* Logs that were answered but not recorded. */
	uint64_t missing;
	/*
	 * Packets at a server of another service, flows with payload at two
	 * servers, and answers with wrong bytes.
	 */
	uint64_t misrouted;
	/* Flows whose servers got more payload than the caller sent. */
	uint64_t replayed;
	/* Requests refused with "not run" though payload reached a server. */
	uint64_t false_refusals;
	/* Requests that did not end in time. */
	uint64_t hung;
	/* Longest time from the latest loss to the end of a lost request. */
	uint64_t max_notify_ms;
} cell_counts_t;

extern const fault_t matrix_faults[];
extern const size_t matrix_nfaults;
extern const step_t matrix_steps[];
extern const size_t matrix_nsteps;

/* Runs one cell and adds its results to counts; second may be NULL. */
void matrix_run_cell(const fault_t *first, const fault_t *second,
		     const step_t *step, uint64_t seed, bool naive,
		     mechanisms_t off, cell_counts_t *counts);

/*
 * Returns NULL when the counts are within the limits of the faults' classes,
 * else a description of the first count that exceeds its limit.
 */
const char *matrix_violation(const fault_t *first, const fault_t *second,
			     const cell_counts_t *counts);

void matrix_add_counts(cell_counts_t *sum, const cell_counts_t *counts);

const char *fault_class_name(fault_class_t class);

/*
 * Cells without a predefined fault, for cases that inject faults themselves.
 * cell_begin() starts the simulation. The configuration, the number of
 * balancers, the delay and the service time get defaults when they are unset
 * in the options. cell_end() waits for all requests, adds the results to
 * counts and frees the simulation.
 */
void cell_begin(cell_t *c, const csim_options_t *options);
void cell_end(cell_t *c, cell_counts_t *counts);
size_t cell_request(cell_t *c, app_kind_t kind);
const flow_trace_t *cell_trace(const cell_t *c, size_t request);

/* Advances the simulation by ms, and ends the faults that are due. */
void cell_run(cell_t *c, uint64_t ms);

/* Functions that the tables of faults and steps use. */
const fault_t *matrix_find_fault(const char *name);
void cell_inject_fault(cell_t *c, const fault_t *fault);
uint64_t cell_random(cell_t *c);
/* Returns the configuration as TOML, to be freed with g_free(). */
char *cell_config_text(const cell_config_t *cfg);
/* Returns the trace of the subject, an empty one before the first request. */
const flow_trace_t *cell_subject_trace(const cell_t *c);

#endif
