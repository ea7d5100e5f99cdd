#ifndef POLICY_H
#define POLICY_H

/*
 * policy - placement of new flows
 *
 * A policy chooses the members that a balancer offers an open to, and decides
 * whether an agent accepts an open or forwards it to the next candidate. The
 * look-up of later packets does not depend on the policy.
 */

#include "group.h"
#include "mechanism.h"

typedef struct policy {
	const char *name;
	/*
	 * Writes the positions in group->members of up to `want` members that
	 * may take the open to `order`, best first. Returns their number.
	 */
	size_t (*candidates)(group_t *group, uint64_t now, uint64_t hash,
			     uint32_t *order, size_t want);
	/*
	 * True when an agent accepts the open. `self` is the agent's own
	 * member with its current load.
	 */
	bool (*accepts)(const group_t *group, const member_t *self,
			uint64_t now);
} policy_t;

extern const policy_t policy_round_robin; /* members in turn */
extern const policy_t policy_rendezvous;  /* weighted rendezvous hash */
/* Of the two best members by hash, the one with fewer opens placed. */
extern const policy_t policy_two_choices;
/* By hash; overloaded agents forward the open to the next candidate. */
extern const policy_t policy_hunt;
/* The same, with the least loaded candidate first. */
extern const policy_t policy_ranked_hunt;

/* Policy of the daemons. */
extern const policy_t *const policy_default;

/* Returns the policy of this name, or NULL. */
const policy_t *policy_find(const char *name);

#endif
