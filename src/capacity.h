#ifndef CAPACITY_H
#define CAPACITY_H

/*
 * capacity - what a backend server can carry, learned from its service times
 *
 * An agent keeps the service times of the last requests of each class. Their
 * typical value is told to the group; the members' times are then split into
 * a cost of each class and a speed of each member (time = cost / speed), so
 * that classes of different cost compare. Health and load endpoints are not
 * read. Only opens and requests teach: a host that serves feeds and gets no
 * new request shows nothing of its speed.
 *
 * Clocks of whole milliseconds are enough: the mean of many differences of
 * rounded times is exact, a median of them is not.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CAPACITY_SAMPLES 256 /* kept, a class */
#define CAPACITY_CLASSES 8   /* told apart; further ones share the last */

typedef struct capacity_class {
	uint32_t times[CAPACITY_SAMPLES]; /* ms, a ring */
	uint32_t total;			  /* samples ever taken */
	uint32_t nvalid;		  /* newest that count */
} capacity_class_t;

typedef struct capacity {
	capacity_class_t classes[CAPACITY_CLASSES];
	uint32_t slots;		 /* declared */
	double speed;		 /* relative to the group, 0 unknown */
	uint64_t last_sample_ms; /* last sample */
	uint64_t unsampled_ms;	 /* since then, while others had samples */
} capacity_t;

/* Typical service time of one class at one member. */
typedef struct capacity_time {
	double ms;	  /* 0 unknown */
	uint32_t samples; /* behind it */
} capacity_time_t;

/* A member's part in what the group learns together. */
typedef struct capacity_peer {
	double declared_weight; /* weight */
	uint32_t slots;
	capacity_time_t times[CAPACITY_CLASSES];
	double speed; /* result, 0 unknown */
} capacity_peer_t;

void capacity_init(capacity_t *c, uint32_t slots);

/* A request of a class was served in a slot for so long. */
void capacity_add_sample(capacity_t *c, uint64_t now, uint32_t class_index,
			 uint64_t took_ms);

capacity_time_t capacity_time(const capacity_t *c, uint32_t class_index);

/*
 * Splits the members' times into costs of classes and speeds of members. The
 * speeds are scaled so that the group's capacity is its declared one.
 */
void capacity_fit_speeds(capacity_peer_t *peers, size_t n);

/* The others were taught for so long while no request came here. */
void capacity_add_unsampled(capacity_t *c, uint64_t now, uint64_t ms);

/*
 * Learned capacity in declared weight times slots, or 0 when nothing was
 * learned. While only others are taught it grows slowly, so that a host
 * believed slow is tried again.
 */
double capacity_estimate(const capacity_t *c);

#endif
