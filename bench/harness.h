#ifndef HARNESS_H
#define HARNESS_H

/*
 * harness - starts the whole system as processes on loopback for one test
 *
 * Addresses are 127.N.x.y, where N differs between runs; a document's
 * "127.0." is rewritten to "127.N.". Files live in a directory of their own
 * below /tmp, removed by harness_stop(). Nothing here waits for a fixed time:
 * harness_wait_*() wait for a condition with a bound.
 */

#include "../src/config.h"
#include "../src/endpoint.h"
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define HARNESS_BALANCERS_MAX 32
#define HARNESS_AGENTS_MAX    64

typedef struct harness_options {
	const char *config_text; /* document; NULL reads config_file */
	const char *config_file;
	unsigned balancers;	       /* started at first */
	double service_ms;	       /* of the stand-ins; 0 is 5 */
	const double *speeds;	       /* a target, NULL: all 1 */
	const char *balancer_settings; /* further lines of their settings */
	const char *agent_settings;
	bool platform;	 /* start a stand-in and read it, not config_file */
	uint64_t seed;	 /* of the stand-ins */
	unsigned agents; /* started, in order; 0 starts all */
} harness_options_t;

typedef struct harness_proc {
	pid_t pid; /* 0 when not running */
	char name[NAME_BYTES];
	char settings[256];
	endpoint_t operators;
	endpoint_t listen;
	endpoint_t
		packet_addr; /* balancer: packets; agent: its backend server */
} harness_proc_t;

typedef struct harness {
	harness_options_t options;
	unsigned subnet; /* second byte of all addresses */
	int subnet_fd;	 /* holds the number */
	char dir[64];
	char config_path[128];
	char key_path[128];
	char operators_path[128]; /* settings of `cherviltray` */
	config_t *config;
	harness_proc_t fabric;
	harness_proc_t platform;
	harness_proc_t balancers[HARNESS_BALANCERS_MAX];
	harness_proc_t agents[HARNESS_AGENTS_MAX]; /* a target, in order */
	harness_proc_t servers[HARNESS_AGENTS_MAX];
	unsigned nagents;
	endpoint_t fabric_addr;
	endpoint_t platform_addr;
} harness_t;

/* Starts all and waits until each process answers. NULL: it failed. */
harness_t *harness_start(const harness_options_t *options);

/* Kills what runs by pid, removes the files. */
void harness_stop(harness_t *h);

/* Starts one process again, or one more balancer. Returns 0 or -1. */
int harness_start_balancer(harness_t *h, unsigned i);
int harness_start_agent(harness_t *h, unsigned i);
int harness_start_server(harness_t *h, unsigned i);

/* Sends a signal; with SIGKILL waits until the process is gone. */
void harness_signal(harness_proc_t *p, int signal);

/* Waits until the process has ended; returns its exit code or -1. */
int harness_wait_exit(harness_proc_t *p, unsigned timeout_ms);

/* Writes the document for all processes (their config_file). */
int harness_write_config(harness_t *h, const char *text);

/* Used by its own files: a program's path, a process with its log, the target
 * of an agent, and the stand-in of the platform. */
char *harness_program_path(const char *name);
pid_t harness_spawn(const harness_t *h, const char *log, char *const *argv);
const target_t *harness_target(const harness_t *h, unsigned i);
int harness_start_platform(harness_t *h);

/* Publishes a document through the stand-in of the platform. */
int harness_publish(harness_t *h, const char *text, uint64_t version);

/* Commands the platform: "#up", "#down", "#garbage", "#silent", "#calls". */
char *harness_platform_command(harness_t *h, const char *command);

/* Waits until every process has the version in force. */
int harness_wait_version(harness_t *h, uint64_t version, unsigned timeout_ms);

/* Document text with the addresses of this run; the caller frees it. */
char *harness_rewrite_addresses(const harness_t *h, const char *text);

/* Sends a command to a stand-in; the answer is freed by the caller. */
char *harness_command(const harness_t *h, const endpoint_t *to,
		      const char *text);

/* Asks a process; its answer's text is freed by the caller, NULL: none. */
char *harness_query(const harness_t *h, const harness_proc_t *p,
		    const char *command, const char *argument);

/* A counter of a process, 0 when absent; -1 when it does not answer. */
int64_t harness_counter(const harness_t *h, const harness_proc_t *p,
			const char *name);

/* A number in the JSON of a process's status, -1 when absent. */
int64_t harness_status(const harness_t *h, const harness_proc_t *p,
		       const char *name);

/* Tells the fabric which balancers there are. */
void harness_fabric_add(harness_t *h, unsigned balancer);
void harness_fabric_del(harness_t *h, unsigned balancer);

/* Starts `cherviltray load` with the run's addresses and these arguments,
 * its standard output in the file `out` in h->dir. */
pid_t harness_start_load(harness_t *h, const char *out,
			 const char *const *args);

/* Waits for a pid; returns its exit code, or -1 past the bound. */
int harness_wait_pid(pid_t pid, unsigned timeout_ms);

/* Logs recorded at all servers, and how many ids more than once. */
void harness_count_records(const harness_t *h, uint64_t *records,
			   uint64_t *duplicates);

uint64_t harness_now_ms(void);
void harness_sleep_ms(unsigned ms);

#endif
