#ifndef SERVER_PACE_H
#define SERVER_PACE_H

/*
 * server_pace - requests that a backend server is trusted with after a start
 * or a fault
 *
 * Load pattern: a server starts cold, returns from a fault, turns slow or
 * answers with errors while the other servers of its service are busy. As the
 * one with the fewest requests it would be given most opens; judged by its last
 * averages it would be left idle long after the fault has ended.
 *
 * The number of requests in flight that the server may have starts at one and
 * grows by one with each answer in a usual time, that is, it doubles in each
 * service time. It is halved by a failed request. While the server is slower
 * than the others by a factor, its slots count for less by as much. Answers
 * that are too fast prove nothing: in a row, each counts as in flight until the
 * typical service time has passed, and an unusual row of them brings the pace
 * into force. The pace ends when all slots are allowed.
 *
 * No I/O and no clock; times are milliseconds of a monotonic clock.
 */

#include <stdbool.h>
#include <stdint.h>

/* Time after the begin of a ramp for which load reports carry the pace even
 * when it is not in force any more: the warm-up of a server is as long. */
#define SERVER_PACE_REPORT_MS 3000

typedef struct server_pace {
	double allowed;	    /* requests in flight, while in force */
	double estimate_ms; /* service time by the last answers; 0: unknown */
	uint64_t estimated_ms;	/* last change of estimate_ms */
	double best_ms;		/* lowest estimate; 0: unknown */
	double too_fast_share;	/* usual share of too fast answers, 0 to 1 */
	uint64_t hold_until_ms; /* nothing is allowed before */
	uint64_t begun_ms;	/* begin of the last ramp; 0: none */
	unsigned answers;	/* that estimate_ms is made of */
	unsigned proofs;	/* answers since all slots were allowed */
	unsigned failures;	/* in a row */
	unsigned judged;	/* answers in too_fast_share */
	unsigned too_fast;	/* too fast answers in a row */
	unsigned too_fast_max;	/* longest usual row of such answers */
	bool in_force;
} server_pace_t;

/* One answer of the server. */
typedef struct pace_answer {
	double took_ms;
	bool found_free_slot; /* when the request began, a slot was free */
	bool too_fast;	      /* see placement_too_fast() */
	double typical_ms;    /* service time of the service; 0: unknown */
	uint32_t slots;	      /* of the server; 0: unknown */
} pace_answer_t;

/* Starts a ramp: the server has started, or answers again. Without effect when
 * a ramp began less than SERVER_PACE_REPORT_MS ago. */
void server_pace_begin(server_pace_t *p, uint64_t now);

/* Notes that the server held flows before the agent started: it is warm, and
 * the ramp of the agent's start ends. */
void server_pace_warm(server_pace_t *p);

void server_pace_answered(server_pace_t *p, uint64_t now,
			  const pace_answer_t *answer);

/* Notes a request that was reset or not answered in time. */
void server_pace_failed(server_pace_t *p, uint64_t now, double typical_ms,
			uint32_t slots);

/* Returns the number of requests that may be in flight: the slots when no pace
 * is in force. */
uint32_t server_pace_allowed(const server_pace_t *p, uint64_t now,
			     uint32_t slots);

/* True when load reports carry the pace. */
bool server_pace_reported(const server_pace_t *p, uint64_t now);

/* Returns the service time by the last answers while the pace is in force, or
 * usual_ms. Without answers it approaches typical_ms (0: unknown): the server
 * gets requests again that show whether it is still slow. */
double server_pace_service_ms(const server_pace_t *p, uint64_t now,
			      double typical_ms, double usual_ms);

#endif
