#ifndef BALANCER_H
#define BALANCER_H

/*
 * balancer - forwarding decisions of an entry host
 *
 * A balancer forwards packets of callers to agents. It keeps no flow table:
 * members are ranked by a hash of the flow. A bounded cache holds hints at the
 * agents of recent flows, and a bounded table the opens that no agent has
 * answered yet. The balancer uses no socket and no clock: packets, messages
 * and the time are arguments, and output goes through balancer_ops_t. Times
 * are milliseconds of a monotonic clock.
 */

#include "config.h"
#include "counters.h"
#include "endpoint.h"
#include "group.h"
#include "mechanism.h"
#include "policy.h"
#include "wire.h"
#include <stdint.h>

/* Candidates named in one offer of an open. */
#define BALANCER_CANDIDATES_MAX 3
/* An open without an answer for this long is offered to other members. */
#define OPEN_TIMEOUT_MS 250
/* Consecutive unanswered opens after which a member is avoided. */
#define UNANSWERED_OPENS_MAX 2
/* A member is avoided for this long, or until its next load report. */
#define AVOID_MS 3000
/* Retries that a balancer may make before opens have added to the budget. */
#define INITIAL_RETRIES 10
/* A member that agents report as dead is avoided for this long. */
#define DEAD_AVOID_MS 10000

typedef struct balancer balancer_t;

typedef struct balancer_ops {
	/* Sends a message to an agent. msg is valid during the call only. */
	void (*send)(void *ctx, const endpoint_t *to, msg_kind_t kind,
		     const void *msg);
	/* Reports that a peer has a higher configuration version. */
	void (*newer_version)(void *ctx, const endpoint_t *from,
			      uint64_t version);
	/* Writes an audit record. */
	void (*audit)(void *ctx, const char *event, const char *subject,
		      const char *detail);
	/* Sends an IPv4 packet to the caller. May be NULL. */
	void (*reply)(void *ctx, const uint8_t *packet, size_t len);
} balancer_ops_t;

typedef struct balancer_options {
	endpoint_t self;      /* address that agents reply to */
	uint64_t rank_seed;   /* seed of flow hashes, equal on all processes */
	uint32_t cache_flows; /* entries of the hint cache */
	uint32_t retry_percent; /* most retries per 100 opens */
	mechanisms_t off;	/* disabled mechanisms, 0 in production */
	const policy_t *policy; /* NULL: policy_default */
} balancer_options_t;

/*
 * Allocates a balancer. options and ops are copied; ctx is the first argument
 * of each operation. Returns NULL without memory.
 */
balancer_t *balancer_new(const balancer_options_t *options,
			 const balancer_ops_t *ops, void *ctx);
void balancer_free(balancer_t *b);

/*
 * Puts a configuration in force and takes a reference to it. Returns 0, or -1
 * without memory.
 */
int balancer_configure(balancer_t *b, uint64_t now, config_t *config);

/* Prefetches the hint of a packet that balancer_packet() gets soon. */
void balancer_prefetch(balancer_t *b, const uint8_t *buf, size_t len);

/* Forwards, refuses or drops an IPv4 packet from the fabric. */
void balancer_packet(balancer_t *b, uint64_t now, const uint8_t *buf,
		     size_t len);

/*
 * Handles an authenticated message of an agent: MSG_HELD, or MSG_DIGEST about
 * suspect and dead members.
 */
void balancer_message(balancer_t *b, uint64_t now, const endpoint_t *from,
		      msg_kind_t kind, const void *msg);

/* Handles time-outs and polls; to be called about every 50 ms. */
void balancer_tick(balancer_t *b, uint64_t now);

/* Number of opens that wait for an answer. */
size_t balancer_pending(const balancer_t *b);

/* Counters, owned by the balancer. */
counters_t *balancer_counters(balancer_t *b);

/* Returns the group of a service id, or NULL. */
const group_t *balancer_group(const balancer_t *b, uint64_t service);

/* Explains the forwarding of a flow as JSON, to be freed with g_free(). */
char *balancer_explain(balancer_t *b, uint64_t now, const flow_key_t *key);

#endif
