#ifndef HARNESS_H
#define HARNESS_H

/*
 * harness - runs the whole system as processes on loopback for a test
 *
 * Addresses are 127.N.x.y, where N differs between concurrent runs; "127.0." in
 * a configuration is rewritten to "127.N.". Files live in a new directory below
 * /tmp, which harness_stop() removes unless HARNESS_KEEP is set in the
 * environment. The harness never waits for a fixed time: harness_wait_*() wait
 * for a condition until a timeout.
 */

#include "../src/config.h"
#include "../src/endpoint.h"
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define HARNESS_BALANCERS_MAX 32
#define HARNESS_AGENTS_MAX    64

typedef struct harness_options {
	const char *config_text; /* configuration; NULL: read config_file */
	const char *config_file;
	unsigned balancers;   /* number to start */
	double service_ms;    /* of the servers, see app_server.h; 0: 5 */
	const double *speeds; /* of the servers, by target; NULL: all 1 */
	const char *balancer_settings; /* appended to their settings */
	const char *agent_settings;
	bool platform;	 /* read the configuration from fake_platform */
	uint64_t seed;	 /* of fake_fabric */
	unsigned agents; /* number to start, in order of targets; 0: all */
} harness_options_t;

typedef struct harness_proc {
	pid_t pid; /* 0: not running */
	char name[NAME_BYTES];
	char settings[256];
	endpoint_t operators;
	endpoint_t listen;
	endpoint_t packet_addr; /* balancer: `packets`; agent: `server` */
} harness_proc_t;

typedef struct harness {
	harness_options_t options;
	unsigned subnet; /* N, the second byte of all addresses */
	int subnet_fd;	 /* socket that reserves N */
	char dir[64];
	char config_path[128];
	char key_path[128];
	char operators_path[128]; /* settings file of `cherviltray` */
	config_t *config;
	harness_proc_t fabric;
	harness_proc_t platform;
	harness_proc_t balancers[HARNESS_BALANCERS_MAX];
	harness_proc_t agents[HARNESS_AGENTS_MAX]; /* in order of targets */
	harness_proc_t servers[HARNESS_AGENTS_MAX];
	unsigned nagents;
	endpoint_t fabric_addr;
	endpoint_t platform_addr;
} harness_t;

/* Starts all processes and waits until each balancer and agent answers a
 * query. Returns NULL on failure. */
harness_t *harness_start(const harness_options_t *options);

/* Kills all processes that run and removes the files. */
void harness_stop(harness_t *h);

/* Starts a process that is not running, or a further balancer, and waits until
 * a balancer or agent answers a query. Returns 0 or -1. */
int harness_start_balancer(harness_t *h, unsigned i);
int harness_start_agent(harness_t *h, unsigned i);
int harness_start_server(harness_t *h, unsigned i);

/* Sends a signal; after SIGKILL, waits until the process has ended. */
void harness_signal(harness_proc_t *p, int signal);

/* Waits until the process has ended. Returns its exit code, -1 on timeout or
 * when a signal ended it. */
int harness_wait_exit(harness_proc_t *p, unsigned timeout_ms);

/* Writes the configuration that all processes read (their config_file). */
int harness_write_config(harness_t *h, const char *text);

/* Returns the path of a program in the directory of the running test; the
 * caller frees it. */
char *harness_program_path(const char *name);

/* Starts a process that appends its output to the file `log` in h->dir. A name
 * that ends in ".out" gets standard output only. Returns its pid or -1. */
pid_t harness_spawn(const harness_t *h, const char *log, char *const *argv);

/* Returns the target of the i-th agent. */
const target_t *harness_target(const harness_t *h, unsigned i);

/* Starts fake_platform with the run's configuration. Returns 0 or -1. */
int harness_start_platform(harness_t *h);

/* Publishes a configuration through fake_platform. */
int harness_publish(harness_t *h, const char *text, uint64_t version);

/* Sends a command to fake_platform: "#up", "#down", "#garbage", "#silent",
 * "#calls" and others, see test/fake_platform.c. Returns its answer, which the
 * caller frees; NULL on timeout. */
char *harness_platform_command(harness_t *h, const char *command);

/* Waits until every balancer and agent that runs has applied the version.
 * Returns 0, or -1 on timeout. */
int harness_wait_version(harness_t *h, uint64_t version, unsigned timeout_ms);

/* Returns a configuration with "127.0." rewritten to the addresses of this run;
 * the caller frees it. */
char *harness_rewrite_addresses(const harness_t *h, const char *text);

/* Sends a command to fake_fabric, fake_server or fake_platform. Returns its
 * answer, which the caller frees; NULL on timeout. */
char *harness_command(const harness_t *h, const endpoint_t *to,
		      const char *text);

/* Sends a query to a process. Returns the text of its answer, which the caller
 * frees; NULL when there is none or the query failed. */
char *harness_query(const harness_t *h, const harness_proc_t *p,
		    const char *command, const char *argument);

/* Returns a counter of a process, 0 when absent, -1 when it does not answer. */
int64_t harness_counter(const harness_t *h, const harness_proc_t *p,
			const char *name);

/* Returns a number in the status of a process, -1 when absent. */
int64_t harness_status(const harness_t *h, const harness_proc_t *p,
		       const char *name);

/* Adds a balancer to those that the fabric sends packets to, or removes it. */
void harness_fabric_add(harness_t *h, unsigned balancer);
void harness_fabric_del(harness_t *h, unsigned balancer);

/* Starts `cherviltray load` with the run's addresses and further arguments;
 * its standard output goes to the file `out` in h->dir. Returns its pid. */
pid_t harness_start_load(harness_t *h, const char *out,
			 const char *const *args);

/* Waits until a process has ended. Returns its exit code, -1 on timeout or when
 * a signal ended it. */
int harness_wait_pid(pid_t pid, unsigned timeout_ms);

/* Counts the logs recorded, and the ids recorded more than once, at all servers
 * that run. */
void harness_count_records(const harness_t *h, uint64_t *records,
			   uint64_t *duplicates);

uint64_t harness_now_ms(void);
void harness_sleep_ms(unsigned ms);

#endif
