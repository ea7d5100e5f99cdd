#ifndef BALANCER_H
#define BALANCER_H

/*
 * balancer - decisions of an entry host
 *
 * A balancer is a function of configuration and packet. It keeps no flow: a
 * bounded cache of hints says where a flow was last seen, and a bounded list
 * holds the opens that no agent has answered yet. It opens no socket and
 * reads no clock: packets and messages are handed in with the time, and
 * handed out through the operations. Times are milliseconds of a monotonic
 * clock.
 */

#include "config.h"
#include "counters.h"
#include "endpoint.h"
#include "group.h"
#include "mechanism.h"
#include "policy.h"
#include "wire.h"
#include <stdint.h>

/* Candidates an open is offered to. */
#define BALANCER_CANDIDATES_MAX 3
/* An open without an answer for this long is offered elsewhere. */
#define OPEN_TIMEOUT_MS 250
/* Opens in a row without an answer until a member is avoided. */
#define UNANSWERED_OPENS_MAX 2
/* A member is avoided for this long, or until it is heard of. */
#define AVOID_MS 3000
/* Retries that a balancer may make before its opens have earned any. */
#define INITIAL_RETRIES 10
/* A member that agents say is dead is avoided for this long. */
#define DEAD_AVOID_MS 10000

typedef struct balancer balancer_t;

typedef struct balancer_ops {
	/* Sends a message to an agent; msg is valid during the call only. */
	void (*send)(void *ctx, const endpoint_t *to, msg_kind_t kind,
		     const void *msg);
	/* A peer has a higher configuration version. */
	void (*newer_version)(void *ctx, const endpoint_t *from,
			      uint64_t version);
	/* Records a change that the process made. */
	void (*audit)(void *ctx, const char *event, const char *subject,
		      const char *detail);
	/* Hands an IPv4 packet to the caller's side; may be NULL. */
	void (*reply)(void *ctx, const uint8_t *packet, size_t len);
} balancer_ops_t;

typedef struct balancer_options {
	endpoint_t self;	/* where agents answer to */
	uint64_t rank_seed;	/* the same on all processes */
	uint32_t cache_flows;	/* hints kept */
	uint32_t retry_percent; /* retried opens in 100 opens */
	mechanisms_t off;	/* for experiments */
	const policy_t *policy; /* NULL: policy_default */
} balancer_options_t;

/* The operations are copied, ctx is handed back to them. NULL: no memory. */
balancer_t *balancer_new(const balancer_options_t *options,
			 const balancer_ops_t *ops, void *ctx);
void balancer_free(balancer_t *b);

/* Puts a configuration in force; the balancer takes a reference. */
int balancer_configure(balancer_t *b, uint64_t now, config_t *config);

/* A packet that will be handed in soon: has what is known of it read. */
void balancer_prefetch(balancer_t *b, const uint8_t *buf, size_t len);

/* A packet from the fabric. */
void balancer_packet(balancer_t *b, uint64_t now, const uint8_t *buf,
		     size_t len);

/* An authenticated message: MSG_HELD, or MSG_DIGEST about dead members. */
void balancer_message(balancer_t *b, uint64_t now, const endpoint_t *from,
		      msg_kind_t kind, const void *msg);

/* To be called about every 50 ms. */
void balancer_tick(balancer_t *b, uint64_t now);

/* Opens that wait for an answer. */
size_t balancer_pending(const balancer_t *b);

counters_t *balancer_counters(balancer_t *b);

/* The group of a service, or NULL. */
const group_t *balancer_group(const balancer_t *b, uint64_t service);

/* Why a flow goes where it goes, as JSON; the caller frees it. */
char *balancer_explain(balancer_t *b, uint64_t now, const flow_key_t *key);

#endif
