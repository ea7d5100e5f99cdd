#ifndef CLI_LOAD_H
#define CLI_LOAD_H

/*
 * cli_load - what the files of `cherviltray load` share
 *
 * cli_load.c reads the options and runs the loop, cli_load_job.c reads and
 * opens jobs, cli_load_report.c prints, cli_load_balance.c asks the agents
 * how much work they hold.
 */

#include "caller.h"
#include "cli_query.h"
#include "config.h"
#include "udp_socket.h"
#include <glib.h>

#define LOAD_JOBS_MAX	   16
#define LOAD_TICK_MS	   10
#define LOAD_MS_PER_SECOND 1000

/* One kind of request at a rate. */
typedef struct load_job {
	char name[NAME_BYTES]; /* as the operator wrote the kind */
	app_kind_t kind;
	char service[NAME_BYTES];
	uint32_t address;
	uint16_t port;
	uint32_t weight;
	double rate;	  /* opens a second */
	uint64_t bytes;	  /* of a chunk, upload or download */
	double opens_due; /* opens owed */
	uint64_t opened;
	uint64_t unopened;   /* no port was free */
	uint64_t duplicates; /* the server had recorded the id before */
	uint64_t outcomes[OUTCOMES];
	uint64_t greatest_gap_ms; /* between two parts of one answer */
	GArray *latency;	  /* uint32_t, ms to the first byte, owned */
} load_job_t;

/* How evenly the hosts of one service are used. */
typedef struct load_balance {
	const service_t *service;
	unsigned samples;
	double max_ratio_sum; /* utilisation over the mean, sum of the samples
			       */
	double min_ratio_sum;
	double max_ratio; /* greatest of one sample */
} load_balance_t;

typedef struct balance_sampler balance_sampler_t;

typedef struct load {
	uv_loop_t loop;
	uv_timer_t timer;
	udp_socket_t *socket;
	caller_t *caller;
	config_t *config;
	endpoint_t fabric;
	uint64_t next_id;
	load_job_t jobs[LOAD_JOBS_MAX];
	size_t njobs;
	uint32_t feed_s;
	uint32_t interval_ms;
	uint64_t started_ms;
	uint64_t open_until_ms;
	uint64_t deadline_ms;
	uint64_t next_progress_ms;
	bool quiet;
	balance_sampler_t *sampler; /* NULL without --settings */
} load_t;

/* KIND,SERVICE,CLASS,RATE[,BYTES]; adds a job. Returns 0 or -1. */
int load_job_parse(load_t *l, const char *text, err_t *err);

/* Opens what is owed for one tick. */
void load_jobs_open(load_t *l, uint64_t now);
void load_jobs_clear(load_t *l);
void load_job_add_result(load_job_t *j, const caller_request_t *r);

/* One line on standard error a second, unless quiet. */
void load_print_progress(load_t *l, uint64_t now);

/* Prints the table or one JSON object. Returns flows not served whole. */
uint64_t load_print_report(load_t *l, bool json);

/* Finds the agents and asks them now and then; NULL with an error. */
balance_sampler_t *balance_sampler_new(load_t *l, const settings_t *settings,
				       err_t *err);
void balance_sampler_tick(balance_sampler_t *b, uint64_t now);
void balance_sampler_free(balance_sampler_t *b);

/* One entry a service that was sampled. */
const load_balance_t *balance_sampler_results(const balance_sampler_t *b,
					      size_t *n);

#endif
