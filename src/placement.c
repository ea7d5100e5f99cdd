#include "placement.h"
#include <stdlib.h>

/* Members compared at most; a random part of a larger group is looked at. */
#define COMPARED_MAX 64
/* Service time that stands in while no member has told one, in ms. */
#define SERVICE_DEFAULT_MS 20.0
/* A target that has just started takes about this much longer. */
#define COLD_FACTOR 1.6
/* Way to another availability zone and back, and what its bytes cost, as
 * waiting time that callers would accept instead, in ms. */
#define OTHER_ZONE_MS 6.0
/* Costs that differ by less than this part are taken for equal. */
#define SPREAD 0.25
/* An open goes on when the next candidate answers sooner by this factor: the
 * way there and what is not known of it. */
#define PASS_FACTOR 1.5
/* Part of the latency objective that may pass at the server; the rest is the
 * way, and the open itself. */
#define PATIENCE_PART 0.85
/* Unknown load is taken for half of the slots. */
#define UNKNOWN_LOAD 0.5

static uint32_t next_random(uint32_t *state);
static double typical_service(const placement_member_t *members, size_t n);

/* Xorshift (Marsaglia 2003): the order needs no better one. */
static uint32_t next_random(uint32_t *state)
{
	*state ^= *state << 13;
	*state ^= *state >> 17;
	*state ^= *state << 5;
	return *state;
}

static double typical_service(const placement_member_t *members, size_t n)
{
	double sum = 0;
	size_t told = 0;

	for (size_t i = 0; i < n; i++)
		if (members[i].service_ms > 0) {
			sum += members[i].service_ms;
			told++;
		}
	return told ? sum / (double)told : SERVICE_DEFAULT_MS;
}

double placement_cost(const placement_member_t *m, double typical_ms)
{
	double service = m->service_ms > 0 ? m->service_ms : typical_ms;
	double slots = m->slots ? m->slots : 1;
	double load = m->known ? m->work : slots * UNKNOWN_LOAD;
	double busy;

	if (m->known && m->in_flight > load)
		load = (load + m->in_flight) / 2;
	busy = (load + m->placed) / slots;
	if (m->cold)
		service *= COLD_FACTOR;
	return service * (1 + busy * busy) + (m->local ? 0 : OTHER_ZONE_MS);
}

double placement_wait(uint32_t in_flight, uint32_t slots, double service_ms)
{
	double ahead;

	if (!slots || service_ms <= 0)
		return 0;
	ahead = in_flight + 1 > slots ? in_flight + 1 - slots : 0;
	return service_ms * (1 + ahead / slots);
}

admission_t placement_admit(double wait_ms, double next_ms, double patience_ms)
{
	if (next_ms > 0 && wait_ms > next_ms * PASS_FACTOR)
		return ADMIT_PASS;
	if (patience_ms > 0 && wait_ms > patience_ms * PATIENCE_PART)
		return next_ms > 0 ? ADMIT_PASS : ADMIT_REFUSE;
	return ADMIT_TAKE;
}

size_t placement_order(const placement_member_t *members, size_t n,
		       uint32_t random, uint32_t *order, double *costs_out,
		       size_t want)
{
	double typical = typical_service(members, n);
	double costs[COMPARED_MAX];
	uint32_t at[COMPARED_MAX];
	uint32_t state = random | 1;
	size_t compared = n < COMPARED_MAX ? n : COMPARED_MAX;
	size_t start = n ? random % n : 0;

	for (size_t i = 0; i < compared; i++) {
		size_t position = (start + i) % n;
		double luck = next_random(&state) / (double)UINT32_MAX;
		double cost = placement_cost(&members[position], typical) *
			      (1 + SPREAD * luck);
		size_t j = i;

		while (j > 0 && costs[j - 1] > cost) {
			costs[j] = costs[j - 1];
			at[j] = at[j - 1];
			j--;
		}
		costs[j] = cost;
		at[j] = (uint32_t)position;
	}
	if (want > compared)
		want = compared;
	for (size_t i = 0; i < want; i++) {
		order[i] = at[i];
		costs_out[i] = costs[i];
	}
	return want;
}
