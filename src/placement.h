#ifndef PLACEMENT_H
#define PLACEMENT_H

/*
 * placement - where a new flow goes, by what agents told of their load
 *
 * Pure decisions: members are handed in with what is believed of them, a
 * random number is handed in, an order comes out. The cost of a member is the
 * time in which it would answer a typical request.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct placement_member {
	bool local;	   /* in the balancer's availability zone */
	bool known;	   /* its load was told lately */
	bool cold;	   /* started lately */
	uint32_t slots;	   /* requests served at a time */
	double work;	   /* requests in flight, smoothed, as told */
	double in_flight;  /* requests in flight when it was told */
	double placed;	   /* opens placed there since, decayed */
	double service_ms; /* of a request that found a free slot; 0: unknown */
} placement_member_t;

/* Time in which a member would answer, in ms; typical_ms stands in for an
 * unknown service time. */
double placement_cost(const placement_member_t *m, double typical_ms);

/*
 * Writes the positions of up to `want` members, best first, and returns how
 * many. `random` (0 to 2^32-1) spreads opens of balancers that were told the
 * same.
 */
size_t placement_order(const placement_member_t *members, size_t n,
		       uint32_t random, uint32_t *order, size_t want);

#endif
