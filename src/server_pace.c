#include "server_pace.h"
#include "relay_mechanism.h"
#include <math.h>

/* Slots assumed until the platform publishes them. */
#define SLOTS_DEFAULT 2
/* Requests in flight allowed at the begin of a ramp. A server that is ten times
 * slower than the others then holds up a single caller. */
#define ALLOWED_START 1.0
/* Factor on the requests allowed for each failed request. */
#define FAILED_FACTOR 0.5
/* Weight of an answer in the estimated service time. */
#define ESTIMATE_WEIGHT 0.18
/* Time constant with which the estimate approaches the typical service time
 * while the server gets no requests, in ms. */
#define ESTIMATE_DECAY_MS 2000.0
/* Answers after which the estimate is compared with the other servers: service
 * times vary by half around their mean, those of a mix of routes by more. */
#define COMPARED_ANSWERS 3
/* Factor on the typical service time from which a server is slow. Hardware of
 * one service differs by a factor of two, a cold server takes 1.6 times as
 * long. */
#define SLOW_FACTOR 2.5
/* Answers that take longer than this factor on the typical service time count
 * as taking so long: the estimate forgets them within a dozen answers. */
#define OUTLIER_FACTOR 20.0
/* Failures in a row from which the server gets nothing for a while, and the
 * longest such time, in ms. */
#define HOLD_FAILURES 2
#define HOLD_MAX_MS   400.0
/* Service time assumed while no server has shown one, in ms. */
#define SERVICE_DEFAULT_MS 20.0
/* Weight of an answer in the usual share of too fast answers, and that share
 * before the first; the row from which each counts as in flight for the typical
 * service time; the shortest and the longest row that brings the pace into
 * force; and the greatest probability of a row that arises by chance. */
#define TOO_FAST_WEIGHT	     0.02
#define TOO_FAST_SHARE_START 0.5
#define TOO_FAST_ROW_HELD    3
#define TOO_FAST_ROW_MIN     8
#define TOO_FAST_ROW_MAX     64
#define TOO_FAST_PROBABILITY 1e-4

static void bring_into_force(server_pace_t *p, double allowed)
{
	p->in_force = relay_mechanism_on(RELAY_PACE);
	p->allowed = allowed > ALLOWED_START ? allowed : ALLOWED_START;
	p->proofs = 0;
}

void server_pace_begin(server_pace_t *p, uint64_t now)
{
	if (!relay_mechanism_on(RELAY_PACE) ||
	    (p->begun_ms && now < p->begun_ms + SERVER_PACE_REPORT_MS))
		return;
	bring_into_force(p, ALLOWED_START);
	p->estimate_ms = 0;
	p->answers = 0;
	p->proofs = 0;
	p->failures = 0;
	p->too_fast = 0;
	p->hold_until_ms = 0;
	p->begun_ms = now;
}

void server_pace_warm(server_pace_t *p)
{
	if (!p->answers && !p->failures && !p->too_fast)
		p->in_force = false;
}

static double slot_count(uint32_t slots)
{
	return slots ? slots : SLOTS_DEFAULT;
}

static double baseline_ms(const server_pace_t *p, double typical_ms)
{
	if (typical_ms > 0)
		return typical_ms;
	return p->best_ms > 0 ? p->best_ms : SERVICE_DEFAULT_MS;
}

static void hold(server_pace_t *p, uint64_t now, double ms)
{
	if (ms > 0 && p->hold_until_ms < now + (uint64_t)ms)
		p->hold_until_ms = now + (uint64_t)ms;
}

/* Length of a row of too fast answers that chance does not explain. */
static unsigned unusual_row(double usual_share)
{
	double row = usual_share > 0 && usual_share < 1
			     ? log(TOO_FAST_PROBABILITY) / log(usual_share)
			     : TOO_FAST_ROW_MIN;

	if (row < TOO_FAST_ROW_MIN)
		return TOO_FAST_ROW_MIN;
	return row < TOO_FAST_ROW_MAX ? (unsigned)row : TOO_FAST_ROW_MAX;
}

/* Notes whether the answer was too fast. */
static void note_too_fast(server_pace_t *p, uint64_t now,
			  const pace_answer_t *answer)
{
	double weight = 1.0 / (p->judged + 2);

	if (weight < TOO_FAST_WEIGHT)
		weight = TOO_FAST_WEIGHT;
	if (!p->judged)
		p->too_fast_share = TOO_FAST_SHARE_START;
	if (!p->too_fast)
		p->too_fast_max = unusual_row(p->too_fast_share);
	if (!p->in_force) {
		p->judged++;
		p->too_fast_share +=
			(answer->too_fast - p->too_fast_share) * weight;
	}
	p->too_fast = answer->too_fast ? p->too_fast + 1 : 0;
	if (p->too_fast >= p->too_fast_max)
		bring_into_force(p, ALLOWED_START);
	if (p->in_force && p->too_fast >= TOO_FAST_ROW_HELD)
		hold(p, now, answer->typical_ms - answer->took_ms);
}

static double estimate_ms(const server_pace_t *p, uint64_t now,
			  double typical_ms)
{
	double age = (double)(now - p->estimated_ms);

	if (!p->answers || typical_ms <= 0)
		return p->estimate_ms;
	return typical_ms +
	       (p->estimate_ms - typical_ms) * exp(-age / ESTIMATE_DECAY_MS);
}

static void update_estimate(server_pace_t *p, uint64_t now,
			    const pace_answer_t *answer)
{
	double most = baseline_ms(p, answer->typical_ms) * OUTLIER_FACTOR;
	double took = answer->took_ms < most ? answer->took_ms : most;
	double weight;

	/* A request that was queued tells nothing about the service time. */
	if (!answer->found_free_slot)
		return;
	p->answers++;
	weight = 1.0 / p->answers;
	if (weight < ESTIMATE_WEIGHT)
		weight = ESTIMATE_WEIGHT;
	p->estimate_ms = estimate_ms(p, now, answer->typical_ms);
	p->estimated_ms = now;
	p->estimate_ms += (took - p->estimate_ms) * weight;
	if (p->answers >= COMPARED_ANSWERS &&
	    (p->best_ms <= 0 || p->estimate_ms < p->best_ms))
		p->best_ms = p->estimate_ms;
}

/* Greatest number of requests that the server may have in flight, by its
 * service time. */
static double greatest_allowed(const server_pace_t *p,
			       const pace_answer_t *answer)
{
	double slots = slot_count(answer->slots);
	double slow = baseline_ms(p, answer->typical_ms) * SLOW_FACTOR;

	if (p->estimate_ms <= slow)
		return slots;
	return p->answers < COMPARED_ANSWERS ? ALLOWED_START
					     : slots * slow / p->estimate_ms;
}

void server_pace_answered(server_pace_t *p, uint64_t now,
			  const pace_answer_t *answer)
{
	double slots = slot_count(answer->slots);
	double greatest;
	unsigned before, short_answers;

	p->failures = 0;
	before = p->too_fast;
	note_too_fast(p, now, answer);
	if (p->too_fast >= TOO_FAST_ROW_HELD)
		return;
	update_estimate(p, now, answer);
	if (answer->too_fast)
		return;
	/* Short requests among long ones are proved by the next long one. */
	short_answers = before < TOO_FAST_ROW_HELD ? before : 0;
	greatest = greatest_allowed(p, answer);
	if (!p->in_force) {
		if (greatest < slots && p->answers >= COMPARED_ANSWERS)
			bring_into_force(p, greatest);
		return;
	}
	p->allowed = fmax(ALLOWED_START,
			  fmin(p->allowed + 1 + short_answers, greatest));
	if (p->allowed >= slots && ++p->proofs >= COMPARED_ANSWERS)
		p->in_force = false;
}

void server_pace_failed(server_pace_t *p, uint64_t now, double typical_ms,
			uint32_t slots)
{
	bring_into_force(p, (p->in_force ? p->allowed : slot_count(slots)) *
				    FAILED_FACTOR);
	if (++p->failures >= HOLD_FAILURES)
		hold(p, now,
		     fmin(HOLD_MAX_MS,
			  ldexp(baseline_ms(p, typical_ms),
				(int)fmin(p->failures, 8) - HOLD_FAILURES)));
}

uint32_t server_pace_allowed(const server_pace_t *p, uint64_t now,
			     uint32_t slots)
{
	if (!p->in_force)
		return slots;
	if (now < p->hold_until_ms)
		return 0;
	return (uint32_t)fmin(p->allowed, slot_count(slots));
}

bool server_pace_reported(const server_pace_t *p, uint64_t now)
{
	return p->in_force ||
	       (p->begun_ms && now < p->begun_ms + SERVER_PACE_REPORT_MS);
}

double server_pace_service_ms(const server_pace_t *p, uint64_t now,
			      double typical_ms, double usual_ms)
{
	return p->in_force && p->answers >= COMPARED_ANSWERS
		       ? estimate_ms(p, now, typical_ms)
		       : usual_ms;
}
