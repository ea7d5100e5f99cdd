#ifndef PROCESS_H
#define PROCESS_H

/*
 * process - what both daemons do alike: settings, loop, sockets, operators'
 * queries, audit, the configuration in force, and the graceful stop
 *
 * A daemon fills a process_ops_t and calls process_run(). The process owns
 * everything in it and frees it before process_run() returns.
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

/* Time between two calls of tick. */
#define PROCESS_TICK_MS 50

typedef struct process process_t;

typedef struct process_ops {
	const char *program;
	process_role_t role;
	/* Opens what the daemon needs besides; ctx is process_t.ctx. */
	int (*start)(process_t *p, err_t *err);
	/* Closes it again; the loop runs once more afterwards. */
	void (*end)(process_t *p);
	/* Puts a checked configuration in force. */
	int (*configure)(process_t *p, uint64_t now, config_t *config);
	/* An authenticated datagram. */
	void (*message)(process_t *p, uint64_t now, const endpoint_t *from,
			msg_kind_t kind, const void *msg);
	/* A frame that is not for the process itself; NULL: refused. */
	void (*frame)(process_t *p, stream_t *stream, msg_kind_t kind,
		      const void *msg);
	void (*tick)(process_t *p, uint64_t now);
	/* Begins the graceful stop. */
	void (*stop)(process_t *p, uint64_t now);
	/* True when nothing is left that a stop would cut. */
	bool (*idle)(process_t *p);
	/* Appends members to the JSON of status, each with a comma first. */
	void (*status)(process_t *p, GString *out);
	/* Answers "explain"; the text is freed by the caller. */
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
	stream_server_t *peers;	    /* at settings.listen */
	stream_server_t *operators; /* at settings.operators */
	audit_t *audit;
	counters_t *counters;	     /* set by start, the daemon's */
	counters_t initial_counters; /* before start */
	config_sync_t *config_sync;
	platform_t *platform;		 /* NULL: none in the settings */
	config_t *config;		 /* in force, NULL before the first */
	uint64_t config_applied_wall_ms; /* when it came in force */
	char last_refusal[600];		 /* of the last refused one, or empty */
	uint64_t started_wall_ms;
	bool stopping;
	uint64_t stop_deadline_ms; /* ms, loop's clock */
	const process_ops_t *ops;
	void *ctx; /* the daemon's */
};

/* Runs a daemon from its command line; returns its exit code. */
int process_run(const process_ops_t *ops, int argc, char **argv);

/* Ends the loop at once, after a handover. */
void process_stop_loop(process_t *p);

void process_audit(process_t *p, const char *event, const char *subject,
		   const char *detail);

/* A message showed that a peer has a higher version in force. */
void process_newer_version(process_t *p, const endpoint_t *from,
			   uint64_t version);

/* Notes that a document was refused; the one in force stays. */
void process_refuse_config(process_t *p, const err_t *err, const char *source);

#endif
