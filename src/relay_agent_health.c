#include "relay_agent_int.h"
#include <math.h>

/* A request without an answer for so long, or for so many service times, will
 * have none: no queue of a server is as long. */
#define UNANSWERED_MS	  800
#define UNANSWERED_FACTOR 20
/* Part of a new service time in the typical one. */
#define SERVICE_PART 0.08
/* Opens without an answer until the server is taken for silent. */
#define SILENT_OPENS 2

/* A silent server has lost its flows: so many opens were not answered, for so
 * long. A living one answers each within milliseconds, however slow its
 * requests are. */
#define LOST_OPENS 3
#define LOST_MS	   500
/* A server that says nothing for so long, or for so many of its service times,
 * is quiet: it may be gone, and opens are tried there to find out. */
#define QUIET_MS     200
#define QUIET_FACTOR 4
/* Part of a new request in the smoothed part of failed ones. */
#define FAILED_PART 0.1
/* Without requests what was learned is forgotten, so that the server is tried
 * again. */
#define FORGET_MS 4000.0
/* Part of a hasty answer's time in the typical one: errors say little of how
 * long requests take, yet a service may truly have become faster. */
#define HASTY_SERVICE_PART 0.02
/* Parts of hasty answers at which the log says that the server seems to fail,
 * and no longer: of ten answers four, and one. */
#define FAILING_FROM 0.4
#define FAILING_TO   0.1

static uint64_t service_times(const relay_agent_t *a, double factor,
			      uint64_t at_least);
static void tell_failing(relay_agent_t *a);

double relay_health_service_ms(const relay_agent_t *a)
{
	double age = (double)(a->now - a->typical_at);

	if (a->typical_ms <= 0 || a->group_ms <= 0)
		return a->typical_ms;
	return a->group_ms +
	       (a->typical_ms - a->group_ms) * exp(-age / FORGET_MS);
}

/* So many service times in ms, and at least so long. */
static uint64_t service_times(const relay_agent_t *a, double factor,
			      uint64_t at_least)
{
	double ms = relay_health_service_ms(a) * factor;

	return ms > (double)at_least ? (uint64_t)ms : at_least;
}

double relay_health_hasty(const relay_agent_t *a)
{
	return a->hasty * exp(-(double)(a->now - a->hasty_ms) / FORGET_MS);
}

double relay_health_failed(const relay_agent_t *a)
{
	return a->failed * exp(-(double)(a->now - a->failed_ms) / FORGET_MS);
}

static void tell_failing(relay_agent_t *a)
{
	bool seems = a->hasty >= (a->seems_failing ? FAILING_TO : FAILING_FROM);

	if (seems == a->seems_failing)
		return;
	a->seems_failing = seems;
	event_log(EVENT_SERVER,
		  "\"state\":\"%s\",\"hasty\":%.2f,\"service_ms\":%.1f,"
		  "\"typical_ms\":%.1f",
		  seems ? "seems to fail" : "seems well", a->hasty,
		  a->typical_ms, a->group_ms);
}

void relay_health_answered(relay_agent_t *a, const aflow_t *f, double took)
{
	bool hasty = placement_too_fast(took, a->group_ms);
	double part = hasty ? HASTY_SERVICE_PART : SERVICE_PART;

	a->failed = relay_health_failed(a) * (1 - FAILED_PART);
	a->failed_ms = a->now;
	a->hasty = relay_health_hasty(a) * (1 - FAILED_PART) +
		   (hasty ? FAILED_PART : 0);
	a->hasty_ms = a->now;
	counter_add(&a->counters, COUNTER_REQUESTS_HASTY, hasty);
	tell_failing(a);
	if (!f->found_free)
		return;
	a->typical_ms = relay_health_service_ms(a);
	a->typical_at = a->now;
	if (a->typical_ms > 0)
		a->typical_ms += (took - a->typical_ms) * part;
	else if (!hasty)
		a->typical_ms = took;
}

void relay_health_unserved(relay_agent_t *a, aflow_t *f)
{
	if (!f->busy)
		return;
	a->failed = relay_health_failed(a) * (1 - FAILED_PART) + FAILED_PART;
	a->failed_ms = a->now;
	counter_add(&a->counters, COUNTER_REQUESTS_FAILED, 1);
	relay_load_end(a, f, false);
}

void relay_health_give_up(relay_agent_t *a)
{
	uint64_t limit = service_times(a, UNANSWERED_FACTOR, UNANSWERED_MS);

	list_each(node, flow_index_lru(a->flows))
	{
		flow_node_t *n = list_entry(node, flow_node_t, lru);
		aflow_t *f = (aflow_t *)n;

		if (f->busy && f->asked_ms + limit <= a->now)
			relay_health_unserved(a, f);
	}
}

uint32_t relay_server_quiet(const relay_agent_t *a)
{
	uint64_t limit = service_times(a, QUIET_FACTOR, QUIET_MS);

	if (!a->waiting_ms || a->now < a->waiting_ms + limit)
		return 0;
	return (uint32_t)(a->now - a->waiting_ms);
}

void relay_server_heard(relay_agent_t *a)
{
	a->heard_ms = a->now;
	a->waiting_ms = 0;
	a->silent_ms = 0;
	a->unanswered = 0;
	if (!a->down)
		return;
	a->down = false;
	a->lost = false;
	event_log(EVENT_SERVER, "\"state\":\"answers\"");
	relay_load_tell(a);
}

void relay_server_silent(relay_agent_t *a, const aflow_t *f)
{
	if (f->opened_ms < a->heard_ms)
		return;
	if (!a->silent_ms)
		a->silent_ms = f->opened_ms;
	if (++a->unanswered < SILENT_OPENS || a->down)
		return;
	a->down = true;
	counter_add(&a->counters, COUNTER_SERVER_LOST, 1);
	event_log(EVENT_SERVER,
		  "\"state\":\"silent\",\"opens\":%u,\"heard_ms_ago\":%llu",
		  a->unanswered, (unsigned long long)(a->now - a->heard_ms));
	relay_load_tell(a);
}

bool relay_server_lost(const relay_agent_t *a)
{
	return a->down && a->unanswered >= LOST_OPENS &&
	       a->now >= a->silent_ms + LOST_MS;
}
