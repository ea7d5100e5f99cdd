#ifndef BALANCER_INT_H
#define BALANCER_INT_H

/*
 * balancer_int - what the files of the balancer share
 *
 * balancer.c decides, balancer_explain.c tells operators why.
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
	uint32_t retry_saved; /* hundredths of a retry */
	counters_t counters;
};

#endif
