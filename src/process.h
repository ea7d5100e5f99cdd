#ifndef PROCESS_H
#define PROCESS_H

/*
 * process - common parts of the balancer and agent daemons: settings, event
 * loop, sockets, operators' queries, audit, configuration, graceful stop
 *
 * A daemon fills a process_ops_t and calls process_run(), which owns the
 * process_t and frees all that it holds before it returns, except ctx.
 */

#include "audit.h"
#include "config.h"
#include "counters.h"
#include "dgram.h"
#include "platform.h"
#include "seal.h"
#include "settings.h"
#include "config_sync.h"
#include "stream.h"
#include <glib.h>
#include <stdbool.h>
#include <uv.h>

/* Interval between two calls of process_ops_t.tick. */
#define PROCESS_TICK_MS 50

typedef struct process process_t;

typedef struct process_ops {
	const char *program; /* name for error messages */
	process_role_t role;
	/* Opens the daemon's own state and sockets, and sets process_t.ctx and
	 * process_t.counters. Returns 0, or -1 and the error. */
	int (*start)(process_t *p, err_t *err);
	/* Closes and frees what start() opened, if anything; start() may
	 * have failed or not have been called.
	 * The loop runs once more afterwards for its close callbacks. */
	void (*end)(process_t *p);
	/* Puts a validated configuration in force. Returns 0, or -1 when out
	 * of memory. */
	int (*configure)(process_t *p, uint64_t now, config_t *config);
	/* Handles an authenticated datagram other than a hello. */
	void (*message)(process_t *p, uint64_t now, const endpoint_t *from,
			msg_kind_t kind, const void *msg);
	/* Handles a frame that is neither a query nor a configuration pull.
	 * NULL: such frames are counted as unexpected and dropped. */
	void (*frame)(process_t *p, stream_t *stream, msg_kind_t kind,
		      const void *msg);
	/* Called every PROCESS_TICK_MS. */
	void (*tick)(process_t *p, uint64_t now);
	/* Begins the graceful stop. */
	void (*stop)(process_t *p, uint64_t now);
	/* Returns true when ending the process would break no flow or open. */
	bool (*idle)(process_t *p);
	/* Appends members to the JSON object of the query "status", each
	 * preceded by a comma. */
	void (*status)(process_t *p, GString *out);
	/* Answers the query "explain"; the caller frees the text with
	 * g_free(). */
	char *(*explain)(process_t *p, const flow_key_t *key);
} process_ops_t;

struct process {
	uv_loop_t loop;
	uv_timer_t tick;
	uv_signal_t term;
	uv_signal_t interrupt;
	settings_t settings;
	seal_t *seal;
	dgram_t *dgram;
	stream_server_t *peers;	    /* listens on settings.listen */
	stream_server_t *operators; /* listens on settings.operators */
	audit_t *audit;
	counters_t *counters; /* in use; start() sets them to the daemon's */
	counters_t initial_counters; /* in use before start(), after end() */
	config_sync_t *config_sync;
	platform_t *platform;		 /* NULL: none configured */
	config_t *config;		 /* in force; NULL: none yet */
	uint64_t config_applied_wall_ms; /* wall clock; 0: none yet */
	char last_refusal[600];	  /* error of the last refused document */
	uint64_t started_wall_ms; /* wall clock */
	bool stopping;
	uint64_t stop_deadline_ms; /* loop's clock */
	const process_ops_t *ops;
	void *ctx; /* the daemon's state, set by start() */
};

/*
 * Runs a daemon with its command line. Returns the exit code: 0, 1 when it
 * could not start, or 2 for a wrong command line.
 */
int process_run(const process_ops_t *ops, int argc, char **argv);

/*
 * Ends the loop, and with it process_run(), at once: after a graceful stop, or
 * when another process has taken over the flows.
 */
void process_stop_loop(process_t *p);

/*
 * Adds an event to the audit log and counts it. The subject is what the event
 * is about, such as a target or the source of a configuration.
 */
void process_audit(process_t *p, const char *event, const char *subject,
		   const char *detail);

/* Reports that a message from a peer carried a higher version. */
void process_newer_version(process_t *p, const endpoint_t *from,
			   uint64_t version);

/*
 * Counts and audits a refused document and keeps the error for the query
 * "status". The configuration in force stays.
 */
void process_refuse_config(process_t *p, const err_t *err, const char *source);

#endif
