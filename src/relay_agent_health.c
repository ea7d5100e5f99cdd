#include "relay_agent_int.h"
#include <math.h>

/* A request without an answer fails after this time, or after this many service
 * times if that is longer: no request waits as long in a server's queue. */
#define REQUEST_TIMEOUT_MS     800
#define REQUEST_TIMEOUT_FACTOR 20
/* Weight of a new service time in the average. */
#define SERVICE_WEIGHT 0.08
/* Unanswered opens in a row after which the server is down. */
#define DOWN_OPENS 2

/* A server that is down may have ended when this many opens in a row had no
 * answer, the first of them at least this many ms ago. A running server answers
 * an open within milliseconds, however slow its requests are. */
#define LOST_OPENS     3
#define LOST_SILENT_MS 500
/* Interval between probes of a server that is silent. */
#define SERVER_PROBE_INTERVAL_MS 250
/* A server that has been stalled for this long is probed: balancers take it for
 * dead 100 ms later, if its entry is gone and no probe shows that it lives. */
#define STALLED_PROBE_MS 400
/* Age from which an accepted connection shows nothing. */
#define ACCEPTED_EXPIRY_MS 1000
/* A server that sends nothing for this time, or for this many service times if
 * that is longer, while packets wait for an answer is stalled. It may have
 * failed: opens are delivered to find out. */
#define STALLED_MS     200
#define STALLED_FACTOR 4
/* Weight of a new request in the ratios of failed and too fast requests. */
#define RATIO_WEIGHT 0.1
/* Time constant with which the averages decay while the server gets no
 * requests, so that a server that was slow or failing gets requests again. */
#define DECAY_MS 4000.0
/* The same for the ratio of too fast answers while a pace bounds what the
 * server gets. */
#define PACED_DECAY_MS 1500.0
/* Weight of a too fast answer in the average service time: errors say little
 * about how long requests take, yet a service may really have become faster. */
#define TOO_FAST_SERVICE_WEIGHT 0.02
/* Ratios of too fast answers at which the log reports that the server probably
 * fails, and that it has recovered. */
#define FAILING_MIN_RATIO   0.4
#define RECOVERED_MAX_RATIO 0.1

static uint64_t scaled_service_ms(const relay_agent_t *a, double factor,
				  uint64_t min_ms);
static void log_failing(relay_agent_t *a);

/* The average service time, which decays to the typical time of the service. */
static double avg_service_ms(const relay_agent_t *a)
{
	double age = (double)(a->now - a->avg_service_updated_ms);

	if (a->avg_service_ms <= 0)
		return a->group_service_ms;
	if (a->group_service_ms <= 0)
		return a->avg_service_ms;
	return a->group_service_ms +
	       (a->avg_service_ms - a->group_service_ms) * exp(-age / DECAY_MS);
}

double relay_health_service_ms(const relay_agent_t *a)
{
	return server_pace_service_ms(&a->pace, a->now, a->group_service_ms,
				      avg_service_ms(a));
}

double relay_agent_service_estimate_ms(const relay_agent_t *a)
{
	return relay_health_service_ms(a);
}

/* Returns the service time times a factor, in ms, at least min_ms. */
static uint64_t scaled_service_ms(const relay_agent_t *a, double factor,
				  uint64_t min_ms)
{
	double ms = relay_health_service_ms(a) * factor;

	return ms > (double)min_ms ? (uint64_t)ms : min_ms;
}

double relay_health_too_fast_ratio(const relay_agent_t *a)
{
	double decay_ms = a->pace.in_force ? PACED_DECAY_MS : DECAY_MS;

	return a->too_fast_ratio *
	       exp(-(double)(a->now - a->too_fast_updated_ms) / decay_ms);
}

double relay_health_failure_ratio(const relay_agent_t *a)
{
	return a->failure_ratio *
	       exp(-(double)(a->now - a->failure_updated_ms) / DECAY_MS);
}

static void log_failing(relay_agent_t *a)
{
	bool failing =
		a->too_fast_ratio >=
		(a->failing_logged ? RECOVERED_MAX_RATIO : FAILING_MIN_RATIO);

	if (failing == a->failing_logged)
		return;
	a->failing_logged = failing;
	event_log(EVENT_SERVER,
		  "\"state\":\"%s\",\"hasty\":%.2f,\"service_ms\":%.1f,"
		  "\"typical_ms\":%.1f",
		  failing ? "answers too fast" : "answer times normal",
		  a->too_fast_ratio, a->avg_service_ms, a->group_service_ms);
}

/* Adds a service time to the average. `first`: it may be the first one. */
static void note_service_ms(relay_agent_t *a, double ms, double weight,
			    bool first)
{
	if (a->avg_service_ms > 0)
		a->avg_service_ms =
			avg_service_ms(a) * (1 - weight) + ms * weight;
	else if (first)
		a->avg_service_ms = ms;
	a->avg_service_updated_ms = a->now;
}

/* Logs that a pace is in force or has ended. What it has found out about the
 * service time then replaces the average of the time before. */
static void note_pace(relay_agent_t *a)
{
	if (a->pace.in_force == a->pace_logged)
		return;
	a->pace_logged = a->pace.in_force;
	if (!a->pace.in_force && a->pace.answers) {
		a->avg_service_ms = a->pace.estimate_ms;
		a->avg_service_updated_ms = a->now;
	}
	counter_add(&a->counters, COUNTER_PACED, a->pace.in_force);
	event_log(EVENT_SERVER,
		  "\"state\":\"%s\",\"allowed\":%.1f,\"slots\":%u,"
		  "\"service_ms\":%.1f,\"typical_ms\":%.1f",
		  a->pace.in_force ? "paced" : "at full pace", a->pace.allowed,
		  a->slots, a->pace.estimate_ms, a->group_service_ms);
}

void relay_server_restarted(relay_agent_t *a)
{
	server_pace_begin(&a->pace, a->now);
	note_pace(a);
}

void relay_health_request_answered(relay_agent_t *a, const server_flow_t *f,
				   double took_ms)
{
	bool too_fast = placement_too_fast(took_ms, a->group_service_ms);
	double weight = too_fast ? TOO_FAST_SERVICE_WEIGHT : SERVICE_WEIGHT;

	a->failure_ratio = relay_health_failure_ratio(a) * (1 - RATIO_WEIGHT);
	a->failure_updated_ms = a->now;
	a->too_fast_ratio =
		relay_health_too_fast_ratio(a) * (1 - RATIO_WEIGHT) +
		(too_fast ? RATIO_WEIGHT : 0);
	a->too_fast_updated_ms = a->now;
	counter_add(&a->counters, COUNTER_REQUESTS_HASTY, too_fast);
	log_failing(a);
	server_pace_answered(&a->pace, a->now,
			     &(pace_answer_t){
				     .took_ms = took_ms,
				     .found_free_slot = f->found_free_slot,
				     .too_fast = too_fast,
				     .typical_ms = a->group_service_ms,
				     .slots = a->slots,
			     });
	note_pace(a);
	if (f->found_free_slot)
		note_service_ms(a, took_ms, weight, !too_fast);
}

void relay_health_request_failed(relay_agent_t *a, server_flow_t *f)
{
	if (!f->request_pending)
		return;
	a->failure_ratio = relay_health_failure_ratio(a) * (1 - RATIO_WEIGHT) +
			   RATIO_WEIGHT;
	a->failure_updated_ms = a->now;
	/* A full server sheds requests: this is no fault. */
	if (f->found_free_slot)
		server_pace_failed(&a->pace, a->now, a->group_service_ms,
				   a->slots);
	note_pace(a);
	counter_add(&a->counters, COUNTER_REQUESTS_FAILED, 1);
	relay_load_request_ended(a, f, false);
}

void relay_health_expire_requests(relay_agent_t *a)
{
	uint64_t timeout_ms = scaled_service_ms(a, REQUEST_TIMEOUT_FACTOR,
						REQUEST_TIMEOUT_MS);

	list_each(node, flow_index_lru(a->flows))
	{
		flow_node_t *n = list_entry(node, flow_node_t, lru);
		server_flow_t *f = (server_flow_t *)n;

		if (f->request_pending &&
		    f->request_started_ms + timeout_ms <= a->now)
			relay_health_request_failed(a, f);
	}
}

uint32_t relay_server_stalled_ms(const relay_agent_t *a)
{
	uint64_t timeout_ms = scaled_service_ms(a, STALLED_FACTOR, STALLED_MS);

	if (!a->unanswered_since_ms ||
	    a->now < a->unanswered_since_ms + timeout_ms)
		return 0;
	return (uint32_t)(a->now - a->unanswered_since_ms);
}

void relay_server_heard(relay_agent_t *a)
{
	/* Nothing listened since the last packet. */
	if (a->last_heard_ms && a->refused_ms > a->last_heard_ms)
		relay_agent_server_started(a);
	a->last_heard_ms = a->now;
	a->no_server = false;
	a->unanswered_since_ms = 0;
	a->silent_since_ms = 0;
	a->unanswered_opens = 0;
	if (!a->down)
		return;
	a->down = false;
	a->flows_lost = false;
	relay_server_restarted(a);
	event_log(EVENT_SERVER, "\"state\":\"answers again\"");
	relay_load_report(a);
}

void relay_server_open_unanswered(relay_agent_t *a, const server_flow_t *f)
{
	if (f->opened_ms < a->last_heard_ms)
		return;
	if (!a->silent_since_ms)
		a->silent_since_ms = MAX(f->opened_ms, a->resumed_ms);
	if (++a->unanswered_opens < DOWN_OPENS || a->down)
		return;
	a->down = true;
	counter_add(&a->counters, COUNTER_SERVER_LOST, 1);
	event_log(EVENT_SERVER,
		  "\"state\":\"does not answer\",\"opens\":%u,"
		  "\"heard_ms_ago\":%llu",
		  a->unanswered_opens,
		  (unsigned long long)(a->now - a->last_heard_ms));
	relay_load_report(a);
}

void relay_server_agent_paused(relay_agent_t *a)
{
	a->resumed_ms = a->now;
	if (a->silent_since_ms)
		a->silent_since_ms = a->now;
	if (a->unanswered_since_ms)
		a->unanswered_since_ms = a->now;
}

void relay_agent_server_refused(relay_agent_t *a, uint64_t now)
{
	a->now = now;
	a->refused_ms = now;
	relay_agent_report_stop(a);
}

void relay_agent_server_accepted(relay_agent_t *a, uint64_t now)
{
	a->now = now;
	a->accepted_ms = now;
	relay_agent_report_stop(a);
}

/* True for a server that may have ended. */
static bool silent_for_long(const relay_agent_t *a)
{
	return a->down && a->unanswered_opens >= LOST_OPENS &&
	       a->now >= a->silent_since_ms + LOST_SILENT_MS;
}

bool relay_server_listens(const relay_agent_t *a)
{
	return a->accepted_ms > a->refused_ms &&
	       a->now < a->accepted_ms + ACCEPTED_EXPIRY_MS;
}

void relay_server_probe_tick(relay_agent_t *a)
{
	if (!a->down && relay_server_stalled_ms(a) < STALLED_PROBE_MS)
		return;
	if (a->now < a->probed_ms + SERVER_PROBE_INTERVAL_MS)
		return;
	a->probed_ms = a->now;
	counter_add(&a->counters, COUNTER_SERVER_PROBES, 1);
	a->ops.probe_server(a->ctx);
}

bool relay_server_lost_flows(const relay_agent_t *a)
{
	/* The refusal must be later than the last sign of life. */
	return silent_for_long(a) && a->refused_ms >= a->silent_since_ms;
}
