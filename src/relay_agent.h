#ifndef RELAY_AGENT_H
#define RELAY_AGENT_H

/*
 * relay_agent - decisions beside a backend server that returns packets
 *
 * The agent hands opens and packets to its backend server, sends the server's
 * packets to callers, and learns from both which flows it holds and how
 * loaded it is. What the server returns goes to another agent (opens) or back
 * to the balancer. It opens no socket and reads no clock; times are
 * milliseconds of a monotonic clock.
 */

#include "counters.h"
#include "histogram.h"
#include "relay_msg.h"
#include "relay_packet.h"
#include <stdbool.h>

typedef struct relay_agent relay_agent_t;

typedef struct relay_agent_ops {
	/* Hands a packet to the backend server. */
	void (*deliver)(void *ctx, const uint8_t *buf, size_t len);
	/* Sends a message to a balancer or to another agent. */
	void (*send_message)(void *ctx, uint32_t to, const relay_msg_t *msg);
	/* Sends a packet to a caller. */
	void (*send_reply)(void *ctx, uint32_t caller, const uint8_t *buf,
			   size_t len);
} relay_agent_ops_t;

typedef struct relay_agent_options {
	const char *service;	       /* that the backend server belongs to */
	const packet_format_t *format; /* of the packets */
	size_t max_flows;	       /* greatest number remembered */
	bool knows_all_flows; /* started with its server: knows all flows */
} relay_agent_options_t;

/* The operations are copied, ctx is handed back to them. NULL: no memory. */
relay_agent_t *relay_agent_new(const relay_agent_options_t *options,
			       const relay_agent_ops_t *ops, void *ctx);
void relay_agent_free(relay_agent_t *a);

/* A packet from a balancer. */
void relay_agent_handle_packet(relay_agent_t *a, uint64_t now, uint32_t from,
			       uint8_t *buf, size_t len);

/* A packet from the backend server: its own, or one that it returns. */
void relay_agent_handle_server_packet(relay_agent_t *a, uint64_t now,
				      uint8_t *buf, size_t len);

/* A message from a balancer or another agent. */
void relay_agent_handle_message(relay_agent_t *a, uint64_t now, uint32_t from,
				const relay_msg_t *msg);

/* To be called every RELAY_AGENT_TICK_MS. */
void relay_agent_tick(relay_agent_t *a, uint64_t now);

/* Takes no new flows from now on and tells the balancers. */
void relay_agent_stop(relay_agent_t *a, uint64_t now);

size_t relay_agent_flow_count(const relay_agent_t *a);
uint32_t relay_agent_in_flight(const relay_agent_t *a);
counters_t *relay_agent_counters(relay_agent_t *a);

/* From a request's first packet to the first one of its answer, in ms. */
const histogram_t *relay_agent_service_ms(const relay_agent_t *a);

#define RELAY_AGENT_TICK_MS 25

#endif
