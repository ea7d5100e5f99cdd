#ifndef BALANCER_INT_H
#define BALANCER_INT_H

/*
 * balancer_int - what the files of the balancer share
 *
 * balancer.c decides, balancer_poll.c asks services that are silent,
 * balancer_explain.c tells operators why.
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
	group_t *groups; /* one a service, in the configuration's order */
	size_t ngroups;
	hint_cache_t *hints;
	pending_opens_t *pending;
	uint32_t retry_tokens;	    /* hundredths of a retry */
	uint32_t lookup_polls_left; /* members that may be asked till the next
				       poll */
	uint64_t next_poll_ms;	    /* when silent services are looked for */
	size_t next_poll_service;   /* service looked at first */
	counters_t counters;
};

/* balancer_poll.c: asks a member of each service that is in use and silent */
void balancer_poll(balancer_t *b, uint64_t now);
/* Asks one member how it is. */
/*
 * A look-up goes to a member: when nothing was heard of it lately it is asked,
 * and avoided when it does not answer.
 */
void balancer_check_member(balancer_t *b, uint64_t now, group_t *g,
			   const endpoint_t *agent);

void balancer_poll_member(balancer_t *b, const group_t *g, const member_t *m);

#endif
