#ifndef RELAY_AGENT_H
#define RELAY_AGENT_H

/*
 * relay_agent - the agent beside a backend server that returns packets of
 * flows that it does not hold
 *
 * The agent delivers opens and packets to its backend server and sends the
 * server's packets to callers. From both directions it learns which flows the
 * server holds and how loaded it is. An open that the server returns is
 * offered to another agent. Any other returned packet goes to the next agent of
 * its look-up or back to the balancer; when the server held the flow before, it
 * has restarted, and the flow is reset. The agent opens no socket and reads no
 * clock: times are milliseconds of a monotonic clock, IPv4 addresses are in
 * host byte order.
 */

#include "counters.h"
#include "histogram.h"
#include "open_queue.h"
#include "relay_msg.h"
#include "relay_packet.h"
#include <stdbool.h>

typedef struct relay_agent relay_agent_t;

typedef struct relay_agent_ops {
	/* Delivers a packet to the backend server. */
	void (*deliver)(void *ctx, const uint8_t *buf, size_t len);
	/* Sends a message to a balancer or to another agent. */
	void (*send_message)(void *ctx, uint32_t to, const relay_msg_t *msg);
	/* Sends a packet to a caller. */
	void (*send_reply)(void *ctx, uint32_t caller, const uint8_t *buf,
			   size_t len);
	/* Finds out whether the backend server runs: unless it listens,
	 * relay_agent_server_refused() is called, at once or later. */
	void (*probe_server)(void *ctx);
} relay_agent_ops_t;

typedef struct relay_agent_options {
	uint32_t self;		       /* address of this host */
	const char *service;	       /* service of the backend server */
	const packet_format_t *format; /* packet layout */
	size_t max_flows;	       /* most flows that are tracked */
	/* The agent started together with its backend server, so that every
	 * flow of the server passed through the agent. */
	bool knows_all_flows;
	uint64_t now; /* time of the start */
} relay_agent_options_t;

/*
 * Copies the options, but not the service name, and the operations; ctx is
 * passed to the operations. Returns NULL when out of memory; released by
 * relay_agent_free().
 */
relay_agent_t *relay_agent_new(const relay_agent_options_t *options,
			       const relay_agent_ops_t *ops, void *ctx);
void relay_agent_free(relay_agent_t *a);

/* Handles a packet from the balancer at the address `from` and overwrites its
 * annotation. */
void relay_agent_handle_packet(relay_agent_t *a, uint64_t now, uint32_t from,
			       uint8_t *buf, size_t len);

/*
 * Handles a packet from the backend server: one of its own, or a caller's
 * packet that it returns (RELAY_RETURNED).
 */
void relay_agent_handle_server_packet(relay_agent_t *a, uint64_t now,
				      uint8_t *buf, size_t len);

/* Handles a message from the balancer or agent at the address `from`. */
void relay_agent_handle_message(relay_agent_t *a, uint64_t now, uint32_t from,
				const relay_msg_t *msg);
/* The same for a message that waited in a socket for wait_ms at most, while the
 * process did not run. */
void relay_agent_handle_waited(relay_agent_t *a, uint64_t now, uint32_t wait_ms,
			       uint32_t from, const relay_msg_t *msg);

/*
 * Notes that no server listened when the agent started. All flows of a server
 * that starts later pass through the agent. Without effect once a server has
 * sent a packet.
 */
void relay_agent_no_server(relay_agent_t *a, uint64_t now);

/* Note how a connection to the server ended that probe_server() has opened: the
 * host has refused it, since no server runs; or a server has accepted it, which
 * may hang. */
void relay_agent_server_refused(relay_agent_t *a, uint64_t now);
void relay_agent_server_accepted(relay_agent_t *a, uint64_t now);

/* Runs timers; to be called every RELAY_AGENT_TICK_MS. */
void relay_agent_tick(relay_agent_t *a, uint64_t now);

/* Accepts no new flows from now on. Reports this to the balancers once a probe
 * has shown whether the server runs, some ms later at the most. */
void relay_agent_stop(relay_agent_t *a, uint64_t now);

/* Number of tracked flows. */
size_t relay_agent_flow_count(const relay_agent_t *a);
/* True while the agent turns opens down since its zone is evacuated. */
bool relay_agent_evacuated(const relay_agent_t *a);
/* Number of requests without an answer. */
uint32_t relay_agent_in_flight(const relay_agent_t *a);
/* Number of requests that may be in flight, see server_pace_allowed(). */
uint32_t relay_agent_requests_allowed(const relay_agent_t *a);
counters_t *relay_agent_counters(relay_agent_t *a);

/* Service times in ms: from the first packet of a request to the first packet
 * of its answer. */
const histogram_t *relay_agent_service_ms(const relay_agent_t *a);

/* Service time, in ms, by which opens are accepted: measured, or the typical
 * one of the service; 0: unknown. */
double relay_agent_service_estimate_ms(const relay_agent_t *a);

/* Times in ms that opens waited in the queue until they were delivered. */
const histogram_t *relay_agent_queue_ms(const relay_agent_t *a);

/* The queue of opens that wait for a slot, owned by the agent. */
const open_queue_t *relay_agent_queue(const relay_agent_t *a);

/* Interval between calls of relay_agent_tick(). */
#define RELAY_AGENT_TICK_MS 25

#endif
