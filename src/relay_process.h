#ifndef RELAY_PROCESS_H
#define RELAY_PROCESS_H

/*
 * relay_process - what both daemons that relay packets do alike: settings,
 * loop, sockets for packets and messages, readiness, metrics, signals, stop
 *
 * A daemon fills a relay_daemon_t and calls relay_process_run(). The process
 * owns everything in it and frees it before it returns.
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
	const char *name; /* word of the command line */
	relay_role_t role;
	uint64_t tick_ms;
	/* Time from the signal to stop until the end. */
	uint64_t stop_ms;
	int (*start)(relay_process_t *p, err_t *err);
	/* Closes and frees again; may be called after a failed start. */
	void (*end)(relay_process_t *p);
	void (*packet)(relay_process_t *p, uint64_t now, uint32_t from,
		       uint8_t *buf, size_t len);
	void (*message)(relay_process_t *p, uint64_t now, uint32_t from,
			const relay_msg_t *msg);
	void (*tick)(relay_process_t *p, uint64_t now);
	void (*stop)(relay_process_t *p, uint64_t now);
	/* The host has slept for so long. */
	void (*resumed)(relay_process_t *p, uint64_t now, uint64_t slept_ms);
	bool (*ready)(relay_process_t *p);
	/* Answers a peer's request; NULL: none is answered. */
	int (*peer_request)(relay_process_t *p, const char *path,
			    GString *body);
	/* Appends what it holds now to the metrics, "NAME VALUE\n" each. */
	void (*gauges)(relay_process_t *p, GString *out);
	/* The histogram that goes with the counters, and its name. */
	const histogram_t *(*histogram)(relay_process_t *p, const char **name);
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
	http_server_t *ready;
	http_server_t *metrics;
	http_server_t *control;
	counters_t *counters; /* the daemon's */
	bool stopping;
	bool logged_ready;
	uint64_t stop_at_ms;   /* ms, loop's clock */
	uint64_t suspended_ms; /* the host's sleep up to now */
	uint64_t settings_checked_ms;
	int64_t settings_mtime_ns; /* time of the file's last change */
	void *ctx;		   /* the daemon's */
};

/* Runs a daemon with a settings file; returns its exit code. */
int relay_process_run(const relay_daemon_t *daemon, const char *settings_file);

uint64_t relay_process_now(const relay_process_t *p);

/*
 * Sends a packet to a host's packet port, or a message to its internal one. The
 * process is handed in as the operations of balancers and agents hand it.
 */
void relay_process_send_packet(void *process, uint32_t host, const uint8_t *buf,
			       size_t len);
void relay_process_send_message(void *process, uint32_t host,
				const relay_msg_t *msg);

extern const relay_daemon_t relay_balancer_daemon;
extern const relay_daemon_t relay_agent_daemon;

#endif
