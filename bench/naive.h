#ifndef NAIVE_H
#define NAIVE_H

/*
 * naive - the version that the tests compare with
 *
 * A balancer picks the target by the flow's hash modulo the live targets and
 * keeps the choice in a table of its own; the process beside the backend
 * server hands packets through and answers health checks. No flow is looked
 * up elsewhere, nobody is told why, and the service is not checked again.
 * Decisions only, like those of the library: no socket, no clock.
 */

#include "../src/agent.h"
#include "../src/balancer.h"

/* Health checks are sent this often; silent for longer means dead. */
#define NAIVE_CHECK_INTERVAL_MS 1000
#define NAIVE_DEAD_TIMEOUT_MS	3000

typedef struct naive naive_t;

naive_t *naive_balancer_new(const balancer_options_t *options,
			    const balancer_ops_t *ops, void *ctx);
naive_t *naive_agent_new(const agent_options_t *options, const agent_ops_t *ops,
			 void *ctx);
void naive_free(naive_t *n);

void naive_configure(naive_t *n, uint64_t now, config_t *config);

/* A packet from the fabric, or of the backend server. */
void naive_packet(naive_t *n, uint64_t now, const uint8_t *buf, size_t len);

void naive_message(naive_t *n, uint64_t now, const endpoint_t *from,
		   msg_kind_t kind, const void *msg);
void naive_tick(naive_t *n, uint64_t now);

#endif
