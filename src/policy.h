#ifndef POLICY_H
#define POLICY_H

/*
 * policy - who takes a new flow
 *
 * A balancer asks for the candidates of an open; an agent that was offered
 * one asks whether to take it or to pass it to the next candidate. Lookup of
 * later packets does not depend on the policy.
 */

#include "group.h"
#include "mechanism.h"

typedef struct policy {
	const char *name;
	/*
	 * Writes the positions of up to `want` members that may take the open,
	 * best first, and returns how many.
	 */
	size_t (*candidates)(group_t *group, uint64_t now, uint64_t hash,
			     uint32_t *order, size_t want);
	/* True when the agent `self` takes the open; load is its newest. */
	bool (*accepts)(const group_t *group, const member_t *self,
			uint64_t now);
} policy_t;

extern const policy_t policy_round_robin; /* each in turn */
extern const policy_t policy_rendezvous;  /* hash on the weights alone */
extern const policy_t policy_two_choices; /* fewer placed of two */
extern const policy_t policy_hunt;	  /* passed on by busy agents */
extern const policy_t policy_ranked_hunt; /* and least loaded first */

/* The one in use. */
extern const policy_t *const policy_default;

/* By name; NULL when there is none. */
const policy_t *policy_find(const char *name);

#endif
