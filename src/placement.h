#ifndef PLACEMENT_H
#define PLACEMENT_H

/*
 * placement - where a new flow goes, by what agents told of their load
 *
 * Pure decisions: members are handed in by their ranks with what is believed of
 * them, an order comes out. The cost of a member is the time in which it would
 * answer a typical request.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct placement_member {
	bool local;	      /* in the balancer's availability zone */
	bool has_report;      /* its load was told lately */
	bool cold;	      /* started lately */
	uint32_t slots;	      /* requests served at a time */
	double avg_in_flight; /* requests in flight, smoothed, as told */
	double in_flight;     /* requests in flight when it was told */
	double report_age_ms;
	double flows;	       /* open and used lately, as told */
	double failure_ratio;  /* part of its requests that failed, 0 to 1 */
	double too_fast_ratio; /* part that was answered far too soon, 0 to 1 */
	double unreported_opens; /* opens placed there since, decayed */
	double service_ms; /* of a request that found a free slot; 0: unknown */
} placement_member_t;

/* What the members of a service have in common. */
typedef struct placement_aggregate {
	double service_ms;	   /* typical service time */
	double in_flight_per_flow; /* requests in flight that an open flow
				      brings */
	double too_fast_ratio; /* part of hasty answers that all of them have */
	bool has_service_ms;   /* service_ms is: a member told its own */
} placement_aggregate_t;

/* Members that an open is placed among: the best of a few is nearly as good as
 * the best of all (Mitzenmacher 2001), and a look-up asks these few first. */
#define PLACEMENT_CHOICES 8

/* Of up to PLACEMENT_CHOICES members. */
placement_aggregate_t placement_aggregate(const placement_member_t *members,
					  size_t n);

/*
 * True when an answer came so much sooner than is typical that it may be an
 * error. A server that fails is fast and seems idle: without this it would be
 * given most opens.
 */
bool placement_too_fast(double elapsed_ms, double typical_ms);

/* Time in which a member would answer, in ms. */
double placement_cost(const placement_member_t *m,
		      const placement_aggregate_t *g);

/*
 * Time in which a server answers one more request, in ms, from what its agent
 * sees at this moment; 0 stands for what is not known.
 */
double placement_response_ms(uint32_t in_flight, uint32_t slots,
			     double service_ms);

/*
 * How long an open is worth waiting for at a server, in ms, by its route's
 * latency objective and precedence (0 to 1): at a load that not all can be
 * served at, those that go last are refused first. 0: no objective is known.
 */
double placement_max_wait(double objective_ms, double relative_priority);

typedef enum admission {
	ADMISSION_ACCEPT,
	ADMISSION_FORWARD, /* the next candidate answers sooner */
	ADMISSION_REFUSE,  /* it would answer too late for the caller */
} admission_t;

/*
 * What an agent does with an open that its server would answer in response_ms:
 * next_ms is the time of the next candidate (0: none is left), max_wait_ms
 * as of placement_max_wait().
 */
admission_t placement_admit(double response_ms, double next_ms,
			    double max_wait_ms);

/*
 * True when a member that was told of lately would answer too late for a
 * caller with this patience: offering it the open would only cost the caller
 * time and the agent work, at a moment when both have none.
 */
bool placement_too_slow(const placement_member_t *m, double max_wait_ms);

/*
 * Writes the positions of up to `want` members, best first, and returns how
 * many; costs go to `costs`. Members are handed in by their rank for the flow,
 * PLACEMENT_CHOICES at most; among equals the first rank is taken, which
 * spreads the opens of balancers that were told the same.
 */
size_t placement_order(const placement_member_t *members, size_t n,
		       const placement_aggregate_t *g, uint32_t *order,
		       double *costs, size_t want);

#endif
