#ifndef RELAY_PROCESS_H
#define RELAY_PROCESS_H

/*
 * relay_process - the part of a process that both relaying daemons share:
 * settings, event loop, sockets for packets and messages, readiness, metrics,
 * signals and shutdown
 *
 * A daemon fills in a relay_daemon_t and calls relay_process_run(). The process
 * owns all resources in relay_process_t and releases them before it returns.
 * Times are milliseconds of the loop's clock unless stated otherwise.
 */

#include "counters.h"
#include "histogram.h"
#include "http_server.h"
#include "relay_msg.h"
#include "relay_platform.h"
#include "relay_settings.h"
#include "udp_socket.h"
#include <stdbool.h>

typedef struct relay_process relay_process_t;

typedef struct relay_daemon {
	const char *name; /* name on the command line */
	relay_role_t role;
	uint64_t tick_ms; /* interval of tick() */
	/* Time from the stop signal to the exit, and the longest such time,
	 * while busy() returns true. */
	uint64_t stop_ms;
	uint64_t stop_max_ms;
	/* Acquires the daemon's resources and sets p->counters. Returns 0, or
	 * -1 and the error. */
	int (*start)(relay_process_t *p, err_t *err);
	/* Releases what start() acquired; also called after a failed start. */
	void (*end)(relay_process_t *p);
	/* Handles a packet from the host at the address `from`, which waited in
	 * the socket for wait_ms at most. */
	void (*packet)(relay_process_t *p, uint64_t now, uint32_t wait_ms,
		       uint32_t from, uint8_t *buf, size_t len);
	/* Handles a message; msg is released by the process. */
	void (*message)(relay_process_t *p, uint64_t now, uint32_t wait_ms,
			uint32_t from, const relay_msg_t *msg);
	void (*tick)(relay_process_t *p, uint64_t now);
	/* Called once at the stop signal. */
	void (*stop)(relay_process_t *p, uint64_t now);
	/* Returns whether work is under way that should end before the exit;
	 * NULL: there is none. */
	bool (*busy)(relay_process_t *p);
	/* Called when the host resumes after a suspension of slept_ms. */
	void (*resumed)(relay_process_t *p, uint64_t now, uint64_t slept_ms);
	/* Returns whether the daemon can serve. */
	bool (*ready)(relay_process_t *p);
	/* Answers a request from a peer with an HTTP status; may be NULL. */
	int (*peer_request)(relay_process_t *p, const char *path,
			    GString *body);
	/* Appends the daemon's gauges to the metrics, "NAME VALUE\n" each. */
	void (*gauges)(relay_process_t *p, GString *out);
	/* Returns the daemon's i-th histogram, and its metric name in *name;
	 * NULL: it has fewer. */
	const histogram_t *(*histogram)(relay_process_t *p, unsigned i,
					const char **name);
} relay_daemon_t;

struct relay_process {
	const relay_daemon_t *daemon;
	uv_loop_t loop;
	uv_timer_t tick;
	uv_signal_t term;
	uv_signal_t interrupt;
	uv_signal_t hangup;
	char *settings_file; /* owned */
	relay_settings_t settings;
	udp_socket_t *packets;
	udp_socket_t *messages;
	http_server_t *ready;	/* readiness and metrics */
	http_server_t *metrics; /* NULL: no separate port */
	http_server_t *control; /* requests of peers; NULL: none */
	counters_t *counters;	/* owned by the daemon */
	bool stopping;
	bool logged_ready;     /* readiness that the log reported last */
	uint64_t stopped_ms;   /* time of the stop signal */
	uint64_t suspended_ms; /* total suspension of the host since boot */
	/* Datagrams since the last tick that had waited in a socket. */
	unsigned waited;
	uint32_t longest_wait_ms;
	uint64_t settings_checked_ms; /* last check of the settings file */
	int64_t settings_mtime_ns; /* modification time, ns since the epoch */
	void *ctx;		   /* state of the daemon, owned by it */
};

/*
 * Runs a daemon until SIGTERM or SIGINT. SIGHUP causes a check of the settings
 * file, whose outcome is logged. Returns the exit code: 0, or 1 when the
 * settings or the start failed.
 */
int relay_process_run(const relay_daemon_t *daemon, const char *settings_file);

uint64_t relay_process_now(const relay_process_t *p);

/*
 * Send a packet to the packet port of a host, or a message to its internal
 * port. The process is passed as void * so that balancers and agents can take
 * these functions as their operations.
 */
void relay_process_send_packet(void *process, uint32_t host, const uint8_t *buf,
			       size_t len);
void relay_process_send_message(void *process, uint32_t host,
				const relay_msg_t *msg);

extern const relay_daemon_t relay_balancer_daemon;
extern const relay_daemon_t relay_agent_daemon;

#endif
