#ifndef PLACEMENT_H
#define PLACEMENT_H

/*
 * placement - chooses the backend server of a new flow by reported load
 *
 * Pure functions without I/O or clock. The caller passes the members of a
 * service in the order of their ranks for the flow (rank.h) with their latest
 * load reports. The cost of a member is its expected response time for a
 * typical request, in ms.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct placement_member {
	bool local;	      /* in the balancer's availability zone */
	bool has_report;      /* a recent load report exists */
	uint32_t slots;	      /* requests served at a time */
	uint32_t paced_slots; /* requests that the pace allows; 0: no pace */
	double avg_in_flight; /* smoothed, as reported */
	double in_flight;     /* requests, at the time of the report */
	double report_age_ms;
	double flows;	       /* open and recently used, as reported */
	double failure_ratio;  /* share of requests that failed, 0 to 1 */
	double too_fast_ratio; /* share of answers that were too fast, 0 to 1 */
	double unreported_opens; /* opens placed since the report, decayed */
	double service_ms;	 /* service time without queueing; 0: unknown */
} placement_member_t;

/* Figures over the members compared for an open. */
typedef struct placement_aggregate {
	double service_ms;	   /* typical service time: median or default */
	double in_flight_per_flow; /* requests in flight per open flow */
	double too_fast_ratio;	   /* lowest ratio of any member */
	bool has_service_ms;	   /* some member reported a service time */
} placement_aggregate_t;

/* Greatest number of members compared for an open. The best of a few random
 * choices is nearly as good as the best of all (Mitzenmacher, "The power of
 * two choices in randomized load balancing", 2001). Look-ups ask the same
 * members first. */
#define PLACEMENT_CHOICES 8

/* Takes up to PLACEMENT_CHOICES members. */
placement_aggregate_t placement_aggregate(const placement_member_t *members,
					  size_t n);

/*
 * True when an answer came so much faster than the typical service time that it
 * is probably an error. A failing server is fast and seems idle; without this
 * check it would be given most opens.
 */
bool placement_too_fast(double elapsed_ms, double typical_ms);

/* Expected response time of a member, with penalties for failures and for
 * another availability zone, in ms. */
double placement_cost(const placement_member_t *m,
		      const placement_aggregate_t *g);

/*
 * Expected response time, in ms, of one more request at a server that has
 * in_flight requests. For slots and service_ms, 0 means unknown.
 */
double placement_response_ms(uint32_t in_flight, uint32_t slots,
			     double service_ms);

/*
 * Longest expected response time at which a server accepts an open, in ms, from
 * the route's latency objective and its relative priority (0 to 1). Under
 * overload, routes of low priority are refused first. The result 0 means no
 * limit: the route has no objective.
 */
double placement_max_wait(double objective_ms, double relative_priority);

/* Expected time until a member answers an open that waits there, with a penalty
 * for another availability zone, in ms. */
double placement_queue_ms(const placement_member_t *m,
			  const placement_aggregate_t *g);

typedef enum admission {
	ADMISSION_ACCEPT,
	ADMISSION_FORWARD, /* the next candidate would answer sooner */
	ADMISSION_REFUSE,  /* no candidate would answer in time */
} admission_t;

/*
 * Decides what an agent does with an open that its server would answer in
 * response_ms. A server with a free slot accepts it however slow it is, unless
 * the next candidate is much faster: nothing would be gained by waiting.
 * next_ms is the expected response time of the next candidate (0: there is
 * none), max_wait_ms the result of placement_max_wait().
 */
admission_t placement_admit(double response_ms, bool slot_free, double next_ms,
			    double max_wait_ms);

/*
 * True when a member with a recent load report would answer an open later than
 * max_wait_ms. Its agent would probably not accept the open: an offer would
 * only delay the caller and add work for an overloaded host.
 */
bool placement_too_slow(const placement_member_t *m, double max_wait_ms);

/*
 * Writes the positions of up to `want` members to `order`, lowest cost first,
 * their costs to `costs`, and returns how many were written. Takes up to
 * PLACEMENT_CHOICES members in the order of their ranks for the flow; a cost is
 * placement_cost() with a penalty that grows with the rank. Of
 * members with equal costs the one with the better rank comes first, which
 * spreads the opens of balancers that have the same load reports.
 */
size_t placement_order(const placement_member_t *members, size_t n,
		       const placement_aggregate_t *g, uint32_t *order,
		       double *costs, size_t want);

#endif
