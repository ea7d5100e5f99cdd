#include "relay_agent_int.h"
#include <math.h>

/* The load is smoothed over about a second: long flows bring a request each
 * second or so. */
#define SMOOTH_MS 1000.0
/* Part of a new service time in the typical one. */
#define SERVICE_PART 0.08
/* Balancers hear of the load at least and at most this often. */
#define TELL_MAX_MS 1000
#define TELL_MIN_MS 150
/* Pause for each balancer that is told: 50 reports of 50 bytes a second keep
 * an agent's own messages under 3 KB a second. */
#define TELL_EACH_MS 20
/* Change of the load, in slots, that is told before TELL_MAX_MS. */
#define TELL_CHANGE 0.25
/* Balancers say hello each 4 s. */
#define BALANCER_FORGET_MS 10000
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
/* Without requests it is forgotten, so that the server is tried again. */
#define FAILED_FORGET_MS 4000.0
/* Part of a hasty answer's time in the typical one: errors say little of how
 * long requests take, yet a service may truly have become faster. */
#define HASTY_SERVICE_PART 0.02
/* Parts of hasty answers at which the log says that the server seems to fail,
 * and no longer: of ten answers four, and one. */
#define FAILING_FROM 0.4
#define FAILING_TO   0.1

static void smooth(relay_agent_t *a);
static double failed_now(const relay_agent_t *a);
static double hasty_now(const relay_agent_t *a);

static void smooth(relay_agent_t *a)
{
	double part = exp(-(double)(a->now - a->work_ms) / SMOOTH_MS);

	a->work = a->work * part + a->in_flight * (1 - part);
	a->work_ms = a->now;
}

void relay_load_begin(relay_agent_t *a, aflow_t *f)
{
	smooth(a);
	f->busy = true;
	f->asked_ms = a->now;
	f->found_free = !a->slots || a->in_flight < a->slots;
	a->in_flight++;
	counter_add(&a->counters, COUNTER_REQUESTS, 1);
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

/* Learns from an answer how fast the server is, and whether it seems to fail.
 */
static void learn(relay_agent_t *a, const aflow_t *f, double took)
{
	bool hasty = placement_hasty(took, a->group_ms);
	double part = hasty ? HASTY_SERVICE_PART : SERVICE_PART;

	a->failed = failed_now(a) * (1 - FAILED_PART);
	a->failed_ms = a->now;
	a->hasty = hasty_now(a) * (1 - FAILED_PART) + (hasty ? FAILED_PART : 0);
	a->hasty_ms = a->now;
	counter_add(&a->counters, COUNTER_REQUESTS_HASTY, hasty);
	tell_failing(a);
	if (!f->found_free)
		return;
	if (a->typical_ms > 0)
		a->typical_ms += (took - a->typical_ms) * part;
	else if (!hasty)
		a->typical_ms = took;
}

void relay_load_end(relay_agent_t *a, aflow_t *f, bool answered)
{
	double took = (double)(a->now - f->asked_ms);

	if (!f->busy)
		return;
	smooth(a);
	f->busy = false;
	a->in_flight--;
	if (!answered)
		return;
	counter_add(&a->counters, COUNTER_REQUESTS_ANSWERED, 1);
	histogram_add(&a->service_ms, (uint64_t)took);
	learn(a, f, took);
}

static double hasty_now(const relay_agent_t *a)
{
	return a->hasty *
	       exp(-(double)(a->now - a->hasty_ms) / FAILED_FORGET_MS);
}

static double failed_now(const relay_agent_t *a)
{
	return a->failed *
	       exp(-(double)(a->now - a->failed_ms) / FAILED_FORGET_MS);
}

void relay_load_failed(relay_agent_t *a, aflow_t *f)
{
	if (!f->busy)
		return;
	a->failed = failed_now(a) * (1 - FAILED_PART) + FAILED_PART;
	a->failed_ms = a->now;
	counter_add(&a->counters, COUNTER_REQUESTS_FAILED, 1);
	relay_load_end(a, f, false);
}

void relay_load_fill(relay_agent_t *a, relay_load_t *load)
{
	smooth(a);
	ct__relay__load__init(load);
	load->in_flight = a->in_flight + a->nawaited;
	load->work_hundredths = (uint32_t)(a->work * 100);
	load->service_us = (uint32_t)(a->typical_ms * 1000);
	load->flows = a->live;
	load->down_ms = a->down ? (uint32_t)(a->now - a->silent_ms) + 1 : 0;
	load->stopping = a->stopping;
	load->quiet_ms = relay_server_quiet(a);
	load->failed_percent = (uint32_t)(failed_now(a) * 100);
	load->hasty_percent = (uint32_t)(hasty_now(a) * 100);
}

void relay_load_tell(relay_agent_t *a)
{
	relay_load_t load;
	relay_msg_t msg;
	size_t kept = 0;

	relay_load_fill(a, &load);
	relay_msg_init(&msg, RELAY_LOAD);
	msg.load = &load;
	for (size_t i = 0; i < a->nbalancers; i++) {
		known_balancer_t *k = &a->balancers[i];

		if (a->now >= k->heard_ms + BALANCER_FORGET_MS)
			continue;
		a->balancers[kept++] = *k;
		counter_add(&a->counters, COUNTER_CONTROL_MESSAGES_OUT, 1);
		a->ops.message(a->ctx, a->balancers[kept - 1].address, &msg);
	}
	a->nbalancers = kept;
	a->told_ms = a->now;
	a->told_quiet = load.quiet_ms > 0;
	a->told_work = a->work;
	a->told_in_flight = a->in_flight;
}

void relay_load_balancer(relay_agent_t *a, uint32_t address)
{
	for (size_t i = 0; i < a->nbalancers; i++)
		if (a->balancers[i].address == address) {
			a->balancers[i].heard_ms = a->now;
			return;
		}
	if (a->nbalancers == BALANCERS_MAX)
		return;
	a->balancers[a->nbalancers].address = address;
	a->balancers[a->nbalancers++].heard_ms = a->now;
}

void relay_load_tick(relay_agent_t *a)
{
	double slots = a->slots ? a->slots : 1;
	uint64_t pause = a->nbalancers * TELL_EACH_MS;

	if (a->now < a->told_ms + (pause > TELL_MIN_MS ? pause : TELL_MIN_MS))
		return;
	smooth(a);
	if (a->now >= a->told_ms + TELL_MAX_MS ||
	    a->told_quiet != (relay_server_quiet(a) > 0) ||
	    fabs(a->work - a->told_work) >= TELL_CHANGE * slots ||
	    fabs((double)a->in_flight - a->told_in_flight) >= slots)
		relay_load_tell(a);
}

uint32_t relay_server_quiet(const relay_agent_t *a)
{
	uint64_t limit = (uint64_t)(a->typical_ms * QUIET_FACTOR);

	if (limit < QUIET_MS)
		limit = QUIET_MS;
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
