#include "placement.h"
#include "relay_mechanism.h"
#include <stdlib.h>

/* Service time assumed while no member has reported one, in ms. */
#define SERVICE_DEFAULT_MS 20.0
/* Slots assumed for the response time until the platform publishes them: few
 * servers have fewer. */
#define SLOTS_DEFAULT 2
/* Requests in flight per open flow, assumed below FLOWS_MIN reported flows. */
#define IN_FLIGHT_PER_FLOW_DEFAULT 0.05
#define FLOWS_MIN		   20
/* Weights of the forecast, the smoothed and the reported requests in flight
 * in the expected load of a member. */
#define FORECAST_WEIGHT	     0.5
#define AVG_IN_FLIGHT_WEIGHT 0.3
#define IN_FLIGHT_WEIGHT     0.2
/* Requests in flight that an open adds until the next load report counts it. */
#define UNREPORTED_OPEN_LOAD 0.5
/* Cost of a round trip to another availability zone and of its traffic, as
 * the waiting time that callers would accept instead, in ms. */
#define CROSS_ZONE_PENALTY_MS 6.0
/* Increase of the cost from the first to the last rank of the members
 * compared. Load changes faster than it is reported; without this, small
 * differences would move opens away from the members that look-ups ask
 * first. */
#define RANK_PENALTY 0.5
/* An open is forwarded when the next candidate would answer faster by this
 * factor, which covers the extra hop and the age of that estimate. */
#define FORWARD_FACTOR 1.5
/* Share of the latency objective that the expected response time may take
 * for routes of the lowest priority: service times vary around the typical
 * one by about as much again. */
#define MAX_WAIT_SHARE 0.45
/* Added to MAX_WAIT_SHARE for routes of the highest priority; the rest of
 * the objective covers the round trip to the caller. */
#define PRIORITY_SHARE 0.4
/* Share of a server's service rate at which its requests in flight are
 * assumed to decrease after a report, net of new arrivals. */
#define DRAIN_SHARE 0.5
/* Cost of a failed request in addition to its own, in requests: the caller
 * needs another flow, waits in another queue and has one attempt less. */
#define FAILURE_COST 20
/* Answers that take less than this share of the typical service time are too
 * fast: hardware of one service differs by a factor of two or three, a
 * failing server by ten. */
#define TOO_FAST_SHARE 0.25
/* Part of a member's too_fast_ratio, beyond the lowest of the members
 * compared, that is not counted as failures: small and large requests are
 * unevenly mixed by chance. */
#define TOO_FAST_TOLERANCE 0.2
/* Greatest factor by which a member is taken to be faster than the typical
 * one. */
#define SPEED_RATIO_MAX 2.0
/* Utilisation assumed for a member without a load report. */
#define UNKNOWN_UTILISATION 0.5

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x > y) - (x < y);
}

placement_aggregate_t placement_aggregate(const placement_member_t *members,
					  size_t n)
{
	placement_aggregate_t g = { SERVICE_DEFAULT_MS,
				    IN_FLIGHT_PER_FLOW_DEFAULT, 1, false };
	double service_times[PLACEMENT_CHOICES];
	double in_flight_sum = 0, flows = 0;
	size_t nservice_times = 0;

	if (n > PLACEMENT_CHOICES)
		n = PLACEMENT_CHOICES;
	for (size_t i = 0; i < n; i++) {
		if (members[i].service_ms > 0)
			service_times[nservice_times++] = members[i].service_ms;
		if (!members[i].has_report)
			continue;
		in_flight_sum += members[i].avg_in_flight;
		flows += members[i].flows;
		if (members[i].too_fast_ratio < g.too_fast_ratio)
			g.too_fast_ratio = members[i].too_fast_ratio;
	}
	if (nservice_times) {
		qsort(service_times, nservice_times, sizeof(service_times[0]),
		      compare_doubles);
		g.service_ms = service_times[(nservice_times - 1) / 2];
		g.has_service_ms = true;
	}
	if (flows >= FLOWS_MIN)
		g.in_flight_per_flow = in_flight_sum / flows;
	return g;
}

bool placement_too_fast(double elapsed_ms, double typical_ms)
{
	return relay_mechanism_on(RELAY_TOO_FAST) &&
	       elapsed_ms < typical_ms * TOO_FAST_SHARE;
}

/* Estimated share of requests that fail at the member, 0 to 1. */
static double failure_probability(const placement_member_t *m,
				  const placement_aggregate_t *g)
{
	double excess =
		m->too_fast_ratio - g->too_fast_ratio - TOO_FAST_TOLERANCE;
	double probability =
		m->failure_ratio +
		(excess > 0 ? excess / (1 - TOO_FAST_TOLERANCE) : 0);

	return probability < 1 ? probability : 1;
}

/*
 * Requests in flight to expect at a member. Long flows bring requests later, so
 * the load that a member's flows will bring counts beside the current one;
 * otherwise the least loaded member would be given all opens until it has too
 * many.
 */
static double expected_in_flight(const placement_member_t *m, double service_ms,
				 const placement_aggregate_t *g)
{
	double forecast = (m->flows + m->unreported_opens) *
			  g->in_flight_per_flow * service_ms / g->service_ms;

	return FORECAST_WEIGHT * forecast +
	       AVG_IN_FLIGHT_WEIGHT * m->avg_in_flight +
	       IN_FLIGHT_WEIGHT * m->in_flight;
}

double placement_cost(const placement_member_t *m,
		      const placement_aggregate_t *g)
{
	double service = m->service_ms > 0 ? m->service_ms : g->service_ms;
	double slots = m->slots ? m->slots : 1;
	double load, utilisation;

	if (service * SPEED_RATIO_MAX < g->service_ms)
		service = g->service_ms / SPEED_RATIO_MAX;
	if (m->paced_slots && m->paced_slots < slots)
		slots = m->paced_slots;
	load = m->has_report ? expected_in_flight(m, service, g)
			     : slots * UNKNOWN_UTILISATION;
	utilisation =
		(load + m->unreported_opens * UNREPORTED_OPEN_LOAD) / slots;
	return service * (1 + utilisation * utilisation) *
		       (1 + failure_probability(m, g) * FAILURE_COST) +
	       (m->local || !relay_mechanism_on(RELAY_ZONE_PREFERENCE)
			? 0
			: CROSS_ZONE_PENALTY_MS);
}

double placement_response_ms(uint32_t in_flight, uint32_t slots,
			     double service_ms)
{
	double queued;

	if (!slots)
		slots = SLOTS_DEFAULT;
	if (service_ms <= 0)
		service_ms = SERVICE_DEFAULT_MS;
	queued = in_flight + 1 > slots ? in_flight + 1 - slots : 0;
	return service_ms * (1 + queued / slots);
}

double placement_queue_ms(const placement_member_t *m,
			  const placement_aggregate_t *g)
{
	double service = m->service_ms > 0 ? m->service_ms : g->service_ms;

	return placement_response_ms(
		       (uint32_t)(m->in_flight + m->unreported_opens), m->slots,
		       service) +
	       (m->local ? 0 : CROSS_ZONE_PENALTY_MS);
}

double placement_max_wait(double objective_ms, double relative_priority)
{
	if (!relay_mechanism_on(RELAY_PRIORITY))
		relative_priority = 0;
	return objective_ms *
	       (MAX_WAIT_SHARE + PRIORITY_SHARE * relative_priority);
}

admission_t placement_admit(double response_ms, bool slot_free, double next_ms,
			    double max_wait_ms)
{
	if (next_ms > 0 && response_ms > next_ms * FORWARD_FACTOR)
		return ADMISSION_FORWARD;
	if (slot_free)
		return ADMISSION_ACCEPT;
	if (max_wait_ms > 0 && response_ms > max_wait_ms)
		return next_ms > 0 ? ADMISSION_FORWARD : ADMISSION_REFUSE;
	return ADMISSION_ACCEPT;
}

bool placement_too_slow(const placement_member_t *m, double max_wait_ms)
{
	double service = m->service_ms > 0 ? m->service_ms : SERVICE_DEFAULT_MS;
	double slots = m->slots ? m->slots : SLOTS_DEFAULT;
	double remaining;

	if (!m->has_report || max_wait_ms <= 0)
		return false;
	/* Some requests have been answered since the report, others arrived. */
	remaining = m->in_flight + m->unreported_opens -
		    m->report_age_ms / service * slots * DRAIN_SHARE;
	if (remaining < 0)
		remaining = 0;
	if (remaining + 1 <= slots)
		return false;
	return placement_response_ms((uint32_t)remaining, (uint32_t)slots,
				     service) > max_wait_ms;
}

size_t placement_order(const placement_member_t *members, size_t n,
		       const placement_aggregate_t *g, uint32_t *order,
		       double *costs_out, size_t want)
{
	double costs[PLACEMENT_CHOICES];

	if (n > PLACEMENT_CHOICES)
		n = PLACEMENT_CHOICES;
	for (size_t i = 0; i < n; i++) {
		double rank = relay_mechanism_on(RELAY_RANK_PENALTY)
				      ? (double)i / PLACEMENT_CHOICES
				      : 0;
		double cost = placement_cost(&members[i], g) *
			      (1 + RANK_PENALTY * rank);
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
