#ifndef CAPACITY_H
#define CAPACITY_H

/*
 * capacity - what a backend server can carry, learned from its service times
 *
 * Each finished request gives one sample of speed: the weight served by one
 * slot in a second, corrected for the requests that shared the slots. The
 * capacity is the speed times the declared slots. Health and load endpoints
 * are not read.
 */

#include <stdbool.h>
#include <stdint.h>

#define CAPACITY_SAMPLES 32 /* samples kept */

typedef struct capacity {
	double samples[CAPACITY_SAMPLES]; /* weight a slot and second */
	uint32_t n;			  /* samples ever taken */
	double speed;			  /* median of those kept, 0 unknown */
	uint32_t slots;			  /* declared */
} capacity_t;

void capacity_init(capacity_t *c, uint32_t slots);

/*
 * A request of the given weight took so long while so many requests were in
 * flight, itself included.
 */
void capacity_sample(capacity_t *c, uint64_t now, uint32_t weight,
		     uint64_t took_ms, uint32_t in_flight);

/* Learned capacity in weight a second, or 0 when nothing was learned. */
double capacity_value(const capacity_t *c);

#endif
