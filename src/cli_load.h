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
#include "cli_ask.h"
#include "config.h"
#include "udp_socket.h"
#include <glib.h>

#define LOAD_JOBS_MAX 16
#define LOAD_TICK_MS  10
#define LOAD_SECOND   1000

/* One kind of request at a rate. */
typedef struct load_job {
	char name[NAME_BYTES]; /* as the operator wrote the kind */
	app_kind_t kind;
	char service[NAME_BYTES];
	uint32_t address;
	uint16_t port;
	uint32_t weight;
	double rate;	/* opens a second */
	uint64_t bytes; /* of a chunk, upload or download */
	double due;	/* opens owed */
	uint64_t opened;
	uint64_t unopened; /* no port was free */
	uint64_t doubled;  /* the server had recorded the id before */
	uint64_t outcomes[OUTCOMES];
	uint64_t greatest_gap_ms; /* between two parts of one answer */
	GArray *latency;	  /* uint32_t, ms to the first byte, owned */
} load_job_t;

/* How evenly the hosts of one service are used. */
typedef struct load_balance {
	const service_t *service;
	unsigned samples;
	double greatest; /* utilisation over the mean, sum of the samples */
	double smallest;
	double worst; /* greatest of one sample */
} load_balance_t;

typedef struct balance_watch balance_watch_t;

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
	uint64_t begun_ms;
	uint64_t open_until_ms;
	uint64_t give_up_ms;
	uint64_t progress_ms;
	bool quiet;
	balance_watch_t *balance; /* NULL without --settings */
} load_t;

/* KIND,SERVICE,CLASS,RATE[,BYTES]; adds a job. Returns 0 or -1. */
int load_job_parse(load_t *l, const char *text, err_t *err);

/* Opens what is owed for one tick. */
void load_jobs_open(load_t *l, uint64_t now);
void load_jobs_clear(load_t *l);
void load_job_ended(load_job_t *j, const caller_request_t *r);

/* One line on standard error a second, unless quiet. */
void load_progress(load_t *l, uint64_t now);

/* Prints the table or one JSON object. Returns flows not served whole. */
uint64_t load_report(load_t *l, bool json);

/* Finds the agents and asks them now and then; NULL with an error. */
balance_watch_t *balance_watch_new(load_t *l, const settings_t *settings,
				   err_t *err);
void balance_watch_tick(balance_watch_t *b, uint64_t now);
void balance_watch_free(balance_watch_t *b);

/* One entry a service that was sampled. */
const load_balance_t *balance_watch_results(const balance_watch_t *b,
					    size_t *n);

#endif
