#ifndef CAPACITY_H
#define CAPACITY_H

/*
 * capacity - estimates a backend server's capacity from its service times
 *
 * An agent keeps the service times of the most recent requests of each class
 * and reports a typical time to the group. The times of all members are then
 * fitted to time = class cost / member speed, so that members which serve
 * classes of different cost can be compared. Health and load endpoints of the
 * backend server are not read. Only opens and requests give samples: a host
 * that serves long-lived feeds and gets no new request does not show its
 * speed.
 *
 * A clock with a resolution of 1 ms is enough: the mean of many differences
 * of rounded times is unbiased; their median is not.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Service times kept per class. */
#define CAPACITY_SAMPLES 256
/* Classes whose samples are kept apart; further classes share the last. */
#define CAPACITY_CLASSES 8

typedef struct capacity_class {
	uint32_t times[CAPACITY_SAMPLES]; /* ring buffer, ms */
	uint32_t total;			  /* samples taken since the start */
	uint32_t nvalid;		  /* number of newest samples used */
} capacity_class_t;

typedef struct capacity {
	capacity_class_t classes[CAPACITY_CLASSES];
	uint32_t slots; /* declared concurrent requests */
	double speed;	/* of one slot, in declared weight; 0: unknown */
	uint64_t last_sample_ms; /* time of the last sample, ms */
	uint64_t unsampled_ms; /* time without a sample while peers had some */
} capacity_t;

/* Typical service time of one class at one member. */
typedef struct capacity_time {
	double ms;	  /* 0: unknown */
	uint32_t samples; /* samples it was computed from */
} capacity_time_t;

/* A member as input and result of capacity_fit_speeds(). */
typedef struct capacity_peer {
	double declared_weight;
	uint32_t slots;
	capacity_time_t times[CAPACITY_CLASSES];
	double speed; /* result, in declared weight; 0: unknown */
} capacity_peer_t;

void capacity_init(capacity_t *c, uint32_t slots);

/*
 * Adds the service time of a request of a class: the time in ms that the
 * request occupied a slot, without the time that it waited for one.
 */
void capacity_add_sample(capacity_t *c, uint64_t now, uint32_t class_index,
			 uint64_t took_ms);

/* Returns the typical service time of a class: the mean of the lower half. */
capacity_time_t capacity_time(const capacity_t *c, uint32_t class_index);

/*
 * Fits the members' service times to costs of classes and speeds of members,
 * and sets the speeds. They are scaled so that the group's total capacity
 * equals its declared capacity.
 */
void capacity_fit_speeds(capacity_peer_t *peers, size_t n);

/*
 * Records that this server had no sample for a further `ms` milliseconds while
 * other members had some. Without effect until its last sample is 10 s old.
 */
void capacity_add_unsampled(capacity_t *c, uint64_t now, uint64_t ms);

/*
 * Returns the learned capacity in declared weight times slots, or 0 when it
 * is unknown. While only other members have samples the value grows to up to
 * 16 times, so that a host estimated as slow gets opens again.
 */
double capacity_estimate(const capacity_t *c);

#endif
