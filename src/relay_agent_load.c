#include "relay_agent_int.h"
#include <math.h>

/* The load is smoothed over about a second: long flows bring a request each
 * second or so. */
#define SMOOTH_MS 1000.0
/* Balancers hear of the load at least and at most this often. */
#define TELL_MAX_MS 1000
#define TELL_MIN_MS 150
/* Pause for each balancer that is told: 25 reports of 50 bytes a second leave
 * room, in 3 KB a second, for the answers to opens and hellos. */
#define TELL_EACH_MS 40
/* Change of the load, in slots, that is told before TELL_MAX_MS. */
#define TELL_CHANGE 0.25
/* Balancers say hello each 4 s. */
#define BALANCER_FORGET_MS 10000
static void smooth(relay_agent_t *a);

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
	relay_health_answered(a, f, took);
}

void relay_load_fill(relay_agent_t *a, relay_load_t *load)
{
	smooth(a);
	ct__relay__load__init(load);
	load->in_flight = a->in_flight + a->nawaited;
	load->work_hundredths = (uint32_t)(a->work * 100);
	load->service_us = (uint32_t)(relay_health_service_ms(a) * 1000);
	load->flows = a->live;
	load->down_ms = a->down ? (uint32_t)(a->now - a->silent_ms) + 1 : 0;
	load->stopping = a->stopping;
	load->quiet_ms = relay_server_quiet(a);
	load->failed_percent = (uint32_t)(relay_health_failed(a) * 100);
	load->hasty_percent = (uint32_t)(relay_health_hasty(a) * 100);
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
