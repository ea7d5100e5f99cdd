#include "policy.h"
#include <string.h>

/* An agent accepts opens up to this multiple of the group's utilisation. */
#define UTILISATION_SLACK 1.005
/* An agent passes opens on when it has more requests per slot than this... */
#define QUEUE_MIN_PER_SLOT 1.0
/* ...and more than the group's mean by this factor. */
#define QUEUE_FACTOR 2.0
/* Candidates that two_choices() compares. */
#define TWO_CHOICES 2

static size_t round_robin(group_t *group, uint64_t now, uint64_t hash,
			  uint32_t *order, size_t want);
static size_t rendezvous(group_t *group, uint64_t now, uint64_t hash,
			 uint32_t *order, size_t want);
static size_t two_choices(group_t *group, uint64_t now, uint64_t hash,
			  uint32_t *order, size_t want);
static size_t least_loaded(group_t *group, uint64_t now, uint64_t hash,
			   uint32_t *order, size_t want);
static bool accept_always(const group_t *group, const member_t *self,
			  uint64_t now);
static bool accept_within_mean(const group_t *group, const member_t *self,
			       uint64_t now);

const policy_t policy_round_robin = { "round-robin", round_robin,
				      accept_always };
const policy_t policy_rendezvous = { "rendezvous", rendezvous, accept_always };
const policy_t policy_two_choices = { "two-choices", two_choices,
				      accept_always };
const policy_t policy_hunt = { "hunt", rendezvous, accept_within_mean };
const policy_t policy_ranked_hunt = { "ranked-hunt", least_loaded,
				      accept_within_mean };
const policy_t *const policy_default = &policy_ranked_hunt;

static size_t round_robin(group_t *group, uint64_t now, uint64_t hash,
			  uint32_t *order, size_t want)
{
	size_t n = 0;

	(void)hash;
	for (size_t i = 0; i < group->n && n < want; i++) {
		size_t at = (group->round_robin_next + i) % group->n;

		if (member_takes_opens(&group->members[at], now))
			order[n++] = (uint32_t)at;
	}
	if (n)
		group->round_robin_next = order[0] + 1;
	return n;
}

static size_t rendezvous(group_t *group, uint64_t now, uint64_t hash,
			 uint32_t *order, size_t want)
{
	return group_rank(group, now, hash, true, order, want);
}

static double placed_per_weight(const member_t *m)
{
	return m->total_placed / (m->declared_weight * m->slots);
}

static size_t two_choices(group_t *group, uint64_t now, uint64_t hash,
			  uint32_t *order, size_t want)
{
	size_t n = group_rank(group, now, hash, true, order, want);
	const member_t *m = group->members;

	if (n >= TWO_CHOICES &&
	    placed_per_weight(&m[order[1]]) < placed_per_weight(&m[order[0]])) {
		uint32_t second = order[1];

		order[1] = order[0];
		order[0] = second;
	}
	return n;
}

/* The best candidates by hash, sorted by utilisation (insertion sort). */
static size_t least_loaded(group_t *group, uint64_t now, uint64_t hash,
			   uint32_t *order, size_t want)
{
	size_t n = group_rank(group, now, hash, true, order, want);

	for (size_t i = 1; i < n; i++) {
		uint32_t position = order[i];
		double load = member_utilisation(
			group, &group->members[position], now);
		size_t at = i;

		while (at > 0 &&
		       load < member_utilisation(group,
						 &group->members[order[at - 1]],
						 now)) {
			order[at] = order[at - 1];
			at--;
		}
		order[at] = position;
	}
	return n;
}

static bool accept_always(const group_t *group, const member_t *self,
			  uint64_t now)
{
	(void)group;
	(void)self;
	(void)now;
	return true;
}

/*
 * True when neither the requests per slot nor the utilisation of this agent
 * exceed the group's mean by more than the limits above.
 */
static bool accept_within_mean(const group_t *group, const member_t *self,
			       uint64_t now)
{
	double in_flight_per_slot = (double)self->in_flight / self->slots;

	if (in_flight_per_slot > QUEUE_MIN_PER_SLOT &&
	    in_flight_per_slot >
		    group_in_flight_per_slot(group, now) * QUEUE_FACTOR)
		return false;
	return member_utilisation(group, self, now) <=
	       group_utilisation(group, now) * UTILISATION_SLACK;
}

const policy_t *policy_find(const char *name)
{
	static const policy_t *const all[] = {
		&policy_round_robin, &policy_rendezvous,  &policy_two_choices,
		&policy_hunt,	     &policy_ranked_hunt,
	};

	for (size_t i = 0; i < sizeof(all) / sizeof(all[0]); i++)
		if (!strcmp(all[i]->name, name))
			return all[i];
	return NULL;
}
