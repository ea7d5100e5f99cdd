#ifndef MATRIX_H
#define MATRIX_H

/*
 * matrix - faults at the steps of a request, in a world of their own each
 *
 * A cell is a world with requests of all kinds, one of them the subject. When
 * the subject reaches the step, the fault is caused; a second fault may
 * follow. What the callers and the backend servers saw is counted. The same
 * cell runs against the naive version.
 */

#include "../bench/cluster_sim.h"

#define MATRIX_FAULTS_MAX 32
#define MATRIX_STEPS_MAX  16
#define CELL_REQUESTS	  2048
#define CELL_AGENTS	  16
#define CELL_AGENDA	  16

/* What a fault may cost. */
typedef enum fault_class {
	FAULT_PLANNED = 0, /* nothing broken, nothing refused */
	FAULT_PASSING,	   /* nothing broken; true refusals of opens */
	FAULT_LOSS,	   /* the lost host's own flows end, and are told */
} fault_class_t;

typedef struct cell cell_t;

typedef struct fault {
	const char *name;
	fault_class_t class;
	unsigned lasts_ms; /* until end() */
	void (*begin)(cell_t *c);
	void (*end)(cell_t *c, unsigned victim);
	bool agent; /* the victim is an agent, else a balancer */
} fault_t;

typedef struct step {
	const char *name;
	app_kind_t subject;
	void (*prepare)(cell_t *c); /* before the requests */
	bool (*reached)(const cell_t *c);
	void (*then)(cell_t *c); /* when reached, before the fault */
} step_t;

/* What was seen of one flow on the wire. */
typedef struct flow_seen {
	uint64_t from_caller;	/* payload bytes sent, repeats included */
	uint64_t to_server;	/* payload bytes handed to servers */
	uint64_t servers;	/* bit for each that was handed a packet */
	uint64_t data_servers;	/* bit for each that was handed payload */
	unsigned holder;	/* the last of them */
	bool syn, syn_ack, fin; /* sent, by anyone */
} flow_seen_t;

/* The declared document of a cell, changed by faults. */
typedef struct cell_document {
	unsigned version;
	unsigned spots;	     /* targets of the first service */
	unsigned reweighted; /* bits of targets */
	unsigned draining;
	unsigned deleted;
} cell_document_t;

typedef struct agenda {
	uint64_t time;
	const fault_t *fault;
	unsigned victim;
} agenda_t;

struct cell {
	csim_t *sim;
	uint64_t random;
	bool naive;
	size_t subject;	 /* number of the request */
	unsigned victim; /* of the fault being caused */
	uint64_t lost;	 /* bits of agents whose server lost its flows */
	uint64_t frozen; /* bits of agents */
	uint64_t lost_ms;
	cell_document_t document;
	flow_seen_t seen[CELL_REQUESTS];
	agenda_t agenda[CELL_AGENDA];
	size_t nagenda;
	uint64_t misrouted; /* packets at a server of another service */
	uint64_t opens_at[CELL_AGENTS];	    /* SYNs handed to a server */
	uint64_t last_open_ms[CELL_AGENTS]; /* the last of them */
	bool doubling;	 /* the network doubles packets by itself */
	bool copy_opens; /* each SYN goes to the next balancer too */
};

typedef struct cell_counts {
	uint64_t cells;
	uint64_t requests;
	uint64_t unreached; /* cells whose step did not come */
	uint64_t broken;    /* flows that ended and had no right to */
	uint64_t refused;   /* "not run", and true */
	uint64_t lost;	    /* ended with their host, with the true word */
	uint64_t wordless;  /* ended with their host, without a word */
	uint64_t doubled;   /* ids recorded more than once */
	uint64_t missing;   /* answered logs that are not recorded */
	uint64_t misrouted; /* wrong service, wrong bytes, two servers */
	uint64_t replayed;  /* flows of which servers got more than was sent */
	uint64_t untrue;    /* "not run" though bytes reached a server */
	uint64_t hung;	    /* not over at the bound */
	uint64_t told_ms;   /* longest time until a lost flow was told */
} cell_counts_t;

extern const fault_t matrix_faults[];
extern const size_t matrix_nfaults;
extern const step_t matrix_steps[];
extern const size_t matrix_nsteps;

/* Runs one cell and adds to the counts; `second` may be NULL. */
void matrix_cell(const fault_t *first, const fault_t *second,
		 const step_t *step, uint64_t seed, bool naive,
		 mechanisms_t off, cell_counts_t *counts);

/* NULL when the counts are within what the faults may cost, else the name of
 * the first count that is not. */
const char *matrix_verdict(const fault_t *first, const fault_t *second,
			   const cell_counts_t *counts);

void matrix_add(cell_counts_t *sum, const cell_counts_t *counts);

const char *fault_class_name(fault_class_t class);

/*
 * A cell without a fault, for cases that play their own: begin, then requests
 * and faults, then end, which waits for the requests, counts and frees. The
 * options' document, balancers, seed, delay and service time are set when 0.
 */
void cell_begin(cell_t *c, const csim_options_t *options);
void cell_end(cell_t *c, cell_counts_t *counts);
size_t cell_request(cell_t *c, app_kind_t kind);
const flow_seen_t *cell_seen(const cell_t *c, size_t request);

/* Lets time pass and ends the faults that are due. */
void cell_run(cell_t *c, uint64_t ms);

/* Used by the tables of faults and steps. */
const fault_t *matrix_fault(const char *name);
void cell_cause(cell_t *c, const fault_t *fault);
uint64_t cell_random(cell_t *c);
char *cell_text(const cell_document_t *d); /* the caller frees it */
const flow_seen_t *cell_subject(const cell_t *c);

#endif
