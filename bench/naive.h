#ifndef NAIVE_H
#define NAIVE_H

/*
 * naive - simple load balancer that tests compare the product with
 *
 * A balancer selects the target by the flow's hash modulo the number of live
 * targets and keeps the choice in a local table. The agent passes packets
 * through and answers health checks. A balancer does not look up flows that it
 * does not know, callers get no reason when a flow fails, and an agent does not
 * check that a packet is for its service. Like the library, it opens no socket
 * and reads no clock.
 */

#include "../src/agent.h"
#include "../src/balancer.h"

/* Interval of health checks; a target that has not answered one for
 * NAIVE_DEAD_TIMEOUT_MS is considered dead. */
#define NAIVE_CHECK_INTERVAL_MS 1000
#define NAIVE_DEAD_TIMEOUT_MS	3000

typedef struct naive naive_t;

naive_t *naive_balancer_new(const balancer_options_t *options,
			    const balancer_ops_t *ops, void *ctx);
naive_t *naive_agent_new(const agent_options_t *options, const agent_ops_t *ops,
			 void *ctx);
void naive_free(naive_t *n);

void naive_configure(naive_t *n, uint64_t now, config_t *config);

/* Processes a packet: a balancer's from the fabric, an agent's from its backend
 * server. */
void naive_packet(naive_t *n, uint64_t now, const uint8_t *buf, size_t len);

void naive_message(naive_t *n, uint64_t now, const endpoint_t *from,
		   msg_kind_t kind, const void *msg);
void naive_tick(naive_t *n, uint64_t now);

#endif
