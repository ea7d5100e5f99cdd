#ifndef CLI_LOAD_H
#define CLI_LOAD_H

/*
 * cli_load - internals of `cherviltray load`
 *
 * cli_load.c parses the options and runs the event loop, cli_load_job.c parses
 * jobs and opens their flows, cli_load_report.c prints progress and results,
 * cli_load_balance.c samples the utilisation of the agents.
 */

#include "caller.h"
#include "cli_query.h"
#include "config.h"
#include "udp_socket.h"
#include <glib.h>

#define LOAD_JOBS_MAX	   16
#define LOAD_TICK_MS	   10
#define LOAD_MS_PER_SECOND 1000

/* Requests of one kind, sent to one class of a service at a fixed rate. */
typedef struct load_job {
	char name[NAME_BYTES]; /* kind as given in --job */
	app_kind_t kind;
	char service[NAME_BYTES];
	uint32_t address;
	uint16_t port;
	uint32_t weight;  /* of the class */
	double rate;	  /* opens per second */
	uint64_t bytes;	  /* per feed chunk, upload or download */
	double opens_due; /* opens due by now and not yet made */
	uint64_t opened;
	uint64_t unopened;   /* opens that failed: no free port or memory */
	uint64_t duplicates; /* logs that the server had recorded before */
	uint64_t outcomes[OUTCOMES];
	uint64_t greatest_gap_ms; /* between two received segments of a feed */
	GArray *latency;	  /* uint32_t, ms to first byte; owned */
} load_job_t;

/*
 * How evenly the backend servers of one service are utilised. A ratio is the
 * utilisation (work divided by capacity) of one backend server, divided by the
 * utilisation of all together (sum of work divided by sum of capacity).
 */
typedef struct load_balance {
	const service_t *service;
	unsigned samples;
	double max_ratio_sum; /* sum over samples of the highest ratio */
	double min_ratio_sum; /* sum over samples of the lowest ratio */
	double max_ratio;     /* highest ratio of any sample */
} load_balance_t;

typedef struct balance_sampler balance_sampler_t;

typedef struct load {
	uv_loop_t loop;
	uv_timer_t timer;
	udp_socket_t *socket;
	caller_t *caller;
	config_t *config;
	endpoint_t fabric;
	uint64_t next_id; /* id of the next request */
	load_job_t jobs[LOAD_JOBS_MAX];
	size_t njobs;
	uint32_t feed_s;      /* duration of a feed */
	uint32_t interval_ms; /* between two chunks of a feed */
	uint64_t started_ms;
	uint64_t open_until_ms;	  /* no opens fall due after this time */
	uint64_t opened_until_ms; /* opens due by then were counted */
	uint64_t deadline_ms;	  /* the run ends even with flows open */
	uint64_t next_progress_ms;
	bool quiet;
	balance_sampler_t *sampler; /* NULL without --settings */
} load_t;

/* Adds a job given as KIND,SERVICE,CLASS,RATE[,BYTES]. Returns 0 or -1. */
int load_job_parse(load_t *l, const char *text, err_t *err);

/*
 * Opens the flows that fell due since the last call, however long ago it was;
 * to be called every LOAD_TICK_MS. Flows over the limit per job and tick stay
 * due.
 */
void load_jobs_open(load_t *l, uint64_t now);
void load_jobs_clear(load_t *l);
void load_job_add_result(load_job_t *j, const caller_request_t *r);

/* Prints one line to standard error each second, unless quiet is set. */
void load_print_progress(load_t *l, uint64_t now);

/*
 * Prints a table or one JSON object. Returns the number of flows that failed to
 * open or were not served completely, plus the logs that were recorded twice.
 */
uint64_t load_print_report(load_t *l, bool json);

/*
 * Finds the running agents of the configuration, to query the work and capacity
 * of each once a second. Returns NULL with an error when no agent of the
 * configuration answers.
 */
balance_sampler_t *balance_sampler_new(load_t *l, const settings_t *settings,
				       err_t *err);
void balance_sampler_tick(balance_sampler_t *b, uint64_t now);
void balance_sampler_free(balance_sampler_t *b);

/* One entry per sampled service; NULL and 0 entries when b is NULL. */
const load_balance_t *balance_sampler_results(const balance_sampler_t *b,
					      size_t *n);

#endif
