#ifndef BALANCER_INT_H
#define BALANCER_INT_H

/*
 * balancer_int - declarations shared by the balancer's source files
 *
 * balancer.c forwards packets, balancer_poll.c polls silent services and
 * members, balancer_explain.c explains decisions to operators.
 */

#include "balancer.h"
#include "hint_cache.h"
#include "pending_opens.h"

struct balancer {
	balancer_options_t options;
	balancer_ops_t ops;
	void *ctx;
	config_t *config;
	const policy_t *policy;
	group_t *groups; /* one per service, in the configuration's order */
	size_t ngroups;
	hint_cache_t *hints;
	pending_opens_t *pending;
	uint32_t retry_tokens; /* retry budget, in hundredths of a retry */
	uint32_t
		lookup_polls_left; /* polls by look-ups left in this interval */
	uint64_t next_poll_ms; /* time of the next check for silent services */
	size_t next_poll_service; /* index of the service checked first */
	counters_t counters;
};

/* Polls one member of each service that is in use and silent. */
void balancer_poll(balancer_t *b, uint64_t now);

/*
 * Checks the member that a look-up is sent to: polls the member when it was
 * not heard recently, and avoids it when it does not answer the poll.
 */
void balancer_check_member(balancer_t *b, uint64_t now, group_t *g,
			   const endpoint_t *agent);

/* Polls a member: sends an empty digest, which its agent answers. */
void balancer_poll_member(balancer_t *b, const group_t *g, const member_t *m);

#endif
