#include "placement.h"
#include <stdlib.h>

/* Service time that stands in while no member has told one, in ms. */
#define SERVICE_DEFAULT_MS 20.0
/* Slots while the platform's word is not known: few servers have fewer. */
#define SLOTS_DEFAULT 2
/* Requests in flight that an open flow brings, while too few were seen. */
#define FLOW_WORK_DEFAULT 0.05
#define FLOWS_ENOUGH	  20
/* Parts of what flows will bring, of the smoothed load and of the requests in
 * flight in a member's load. */
#define COMING_PART    0.5
#define WORK_PART      0.3
#define IN_FLIGHT_PART 0.2
/* An open that was placed is a request at once, until its load is told. */
#define PLACED_WORK 0.5
/* A target that has just started takes about this much longer. */
#define COLD_FACTOR 1.6
/* Way to another availability zone and back, and what its bytes cost, as
 * waiting time that callers would accept instead, in ms. */
#define OTHER_ZONE_MS 6.0
/* The last rank of those compared costs this part more: small differences of
 * load, which change faster than they are told, do not move an open away from
 * where look-ups ask first. */
#define SPREAD 0.5
/* An open goes on when the next candidate answers sooner by this factor: the
 * way there and what is not known of it. */
#define PASS_FACTOR 1.5
/* Part of the latency objective that an expected answer may take at the
 * server, for routes that go last: service times spread around the typical one
 * by as much again. */
#define PATIENCE_PART 0.45
/* What the precedence adds: the way there and back is all that is left. */
#define PRECEDENCE_PART 0.4
/* Part of a server's rate at which its requests in flight grow less. */
#define DRAIN_PART 0.5
/* A request that fails costs its caller this many more: another flow, another
 * queue, and a try less. */
#define FAILED_COST 20
/* An answer within this part of the typical time is hasty: hardware of one
 * service differs by a factor of two or three, a failing server by ten. */
#define HASTY_PART 0.25
/* Hasty answers beyond the part that all servers have, until they count as
 * failures: small and large requests are mixed by chance. */
#define HASTY_MARGIN 0.2
/* A member is taken for faster than is typical by this factor at most. */
#define FASTER_MAX 2.0
/* Unknown load is taken for half of the slots. */
#define UNKNOWN_LOAD 0.5

static int by_value(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

placement_group_t placement_group(const placement_member_t *members, size_t n)
{
	placement_group_t g = { SERVICE_DEFAULT_MS, FLOW_WORK_DEFAULT, 1,
				false };
	double services[PLACEMENT_COMPARED];
	double work = 0, flows = 0;
	size_t told = 0;

	if (n > PLACEMENT_COMPARED)
		n = PLACEMENT_COMPARED;
	for (size_t i = 0; i < n; i++) {
		if (members[i].service_ms > 0)
			services[told++] = members[i].service_ms;
		if (!members[i].known)
			continue;
		work += members[i].work;
		flows += members[i].flows;
		if (members[i].hasty < g.hasty)
			g.hasty = members[i].hasty;
	}
	if (told) {
		qsort(services, told, sizeof(services[0]), by_value);
		g.service_ms = services[(told - 1) / 2];
		g.known = true;
	}
	if (flows >= FLOWS_ENOUGH)
		g.flow_work = work / flows;
	return g;
}

bool placement_hasty(double took_ms, double typical_ms)
{
	return took_ms < typical_ms * HASTY_PART;
}

/* Part of the requests that an open would fail with. */
static double failing(const placement_member_t *m, const placement_group_t *g)
{
	double hasty = m->hasty - g->hasty - HASTY_MARGIN;
	double part = m->failed + (hasty > 0 ? hasty / (1 - HASTY_MARGIN) : 0);

	return part < 1 ? part : 1;
}

/*
 * Long flows bring requests later: the load that a member's flows will bring
 * counts beside the one that is seen, or the member with the least load is
 * given all opens until it has too many.
 */
static double expected_work(const placement_member_t *m, double service_ms,
			    const placement_group_t *g)
{
	double coming = (m->flows + m->placed) * g->flow_work * service_ms /
			g->service_ms;

	return COMING_PART * coming + WORK_PART * m->work +
	       IN_FLIGHT_PART * m->in_flight;
}

double placement_cost(const placement_member_t *m, const placement_group_t *g)
{
	double service = m->service_ms > 0 ? m->service_ms : g->service_ms;
	double slots = m->slots ? m->slots : 1;
	double load, busy;

	if (service * FASTER_MAX < g->service_ms)
		service = g->service_ms / FASTER_MAX;
	if (m->cold)
		service *= COLD_FACTOR;
	load = m->known ? expected_work(m, service, g) : slots * UNKNOWN_LOAD;
	busy = (load + m->placed * PLACED_WORK) / slots;
	return service * (1 + busy * busy) * (1 + failing(m, g) * FAILED_COST) +
	       (m->local ? 0 : OTHER_ZONE_MS);
}

double placement_wait(uint32_t in_flight, uint32_t slots, double service_ms)
{
	double ahead;

	if (!slots)
		slots = SLOTS_DEFAULT;
	if (service_ms <= 0)
		service_ms = SERVICE_DEFAULT_MS;
	ahead = in_flight + 1 > slots ? in_flight + 1 - slots : 0;
	return service_ms * (1 + ahead / slots);
}

double placement_patience(double aim_ms, double precedence)
{
	return aim_ms * (PATIENCE_PART + PRECEDENCE_PART * precedence);
}

admission_t placement_admit(double wait_ms, double next_ms, double patience_ms)
{
	if (next_ms > 0 && wait_ms > next_ms * PASS_FACTOR)
		return ADMIT_PASS;
	if (patience_ms > 0 && wait_ms > patience_ms)
		return next_ms > 0 ? ADMIT_PASS : ADMIT_REFUSE;
	return ADMIT_TAKE;
}

bool placement_hopeless(const placement_member_t *m, double patience_ms)
{
	double service = m->service_ms > 0 ? m->service_ms : SERVICE_DEFAULT_MS;
	double slots = m->slots ? m->slots : SLOTS_DEFAULT;
	double left;

	if (!m->known || patience_ms <= 0)
		return false;
	/* What was in flight has been answered since, and some came. */
	left = m->in_flight + m->placed -
	       m->told_ms_ago / service * slots * DRAIN_PART;
	if (left < 0)
		left = 0;
	return placement_wait((uint32_t)left, (uint32_t)slots, service) >
	       patience_ms;
}

size_t placement_order(const placement_member_t *members, size_t n,
		       const placement_group_t *g, uint32_t *order,
		       double *costs_out, size_t want)
{
	double costs[PLACEMENT_COMPARED];

	if (n > PLACEMENT_COMPARED)
		n = PLACEMENT_COMPARED;
	for (size_t i = 0; i < n; i++) {
		double rank = (double)i / PLACEMENT_COMPARED;
		double cost =
			placement_cost(&members[i], g) * (1 + SPREAD * rank);
		size_t j = i;

		for (; j > 0 && costs[j - 1] > cost; j--) {
			costs[j] = costs[j - 1];
			order[j] = order[j - 1];
		}
		costs[j] = cost;
		order[j] = (uint32_t)i;
	}
	if (want > n)
		want = n;
	for (size_t i = 0; i < want; i++)
		costs_out[i] = costs[i];
	return want;
}
