#ifndef RELAY_BALANCER_H
#define RELAY_BALANCER_H

/*
 * relay_balancer - decisions of an entry host that relays packets unchanged
 *
 * Used where backend servers return what they don't hold (relay_packet.h).
 * The balancer classifies a packet by its routes, offers an open to an agent
 * with further candidates behind it, and sends any other packet to the agent
 * that holds the flow. It remembers holders in a bounded index; a flow that it
 * doesn't know is asked for first at the agents among which it would be placed,
 * then at all others of the service. It opens no socket
 * and reads no clock; times are milliseconds of a monotonic clock.
 */

#include "counters.h"
#include "directory.h"
#include "histogram.h"
#include "relay_msg.h"
#include "relay_packet.h"
#include "routes.h"
#include <stdbool.h>

typedef struct relay_balancer relay_balancer_t;

typedef struct relay_balancer_ops {
	/* Sends a packet to the agent on a host. */
	void (*send_packet)(void *ctx, uint32_t agent, const uint8_t *buf,
			    size_t len);
	/* Sends a message to the agent on a host. */
	void (*send_message)(void *ctx, uint32_t agent, const relay_msg_t *msg);
	/* Sends a packet to a caller. */
	void (*send_reply)(void *ctx, uint32_t caller, const uint8_t *buf,
			   size_t len);
} relay_balancer_ops_t;

typedef struct relay_balancer_options {
	uint32_t self;		       /* own address, where agents answer to */
	const char *zone;	       /* own availability zone */
	const packet_format_t *format; /* of the callers' packets */
	size_t max_flows;	       /* greatest number remembered */
} relay_balancer_options_t;

/* The operations are copied, ctx is handed back to them. NULL: no memory. */
relay_balancer_t *relay_balancer_new(const relay_balancer_options_t *options,
				     const relay_balancer_ops_t *ops,
				     void *ctx);
void relay_balancer_free(relay_balancer_t *b);

/*
 * Puts routes in force and takes over the reference. Routes of a lower version
 * are dropped and counted.
 */
void relay_balancer_set_routes(relay_balancer_t *b, route_table_t *routes);

/* Version in force; 0: none. */
uint64_t relay_balancer_route_version(const relay_balancer_t *b);

/* The routes in force, NULL before the first. */
const route_table_t *relay_balancer_route_table(const relay_balancer_t *b);

/* The targets, fed by the reader of the platform. */
directory_t *relay_balancer_directory(relay_balancer_t *b);

/* A packet from a caller; its margin is overwritten. */
void relay_balancer_handle_packet(relay_balancer_t *b, uint64_t now,
				  uint8_t *buf, size_t len);

/* A message from the agent on a host. */
void relay_balancer_handle_message(relay_balancer_t *b, uint64_t now,
				   uint32_t from, const relay_msg_t *msg);

/* To be called every RELAY_BALANCER_TICK_MS. */
void relay_balancer_tick(relay_balancer_t *b, uint64_t now);

counters_t *relay_balancer_counters(relay_balancer_t *b);

/* From the first offer of an open until an agent's server took it, in ms. */
const histogram_t *relay_balancer_open_ms(const relay_balancer_t *b);

size_t relay_balancer_flow_count(const relay_balancer_t *b);

#define RELAY_BALANCER_TICK_MS 25

#endif
