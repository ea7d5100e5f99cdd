#include "relay_agent_int.h"
#include <math.h>

/* Time constant of the average of the requests in flight: long flows bring a
 * request about every second. */
#define SMOOTHING_MS 1000.0
/* Longest and shortest interval between load reports to the balancers. */
#define REPORT_MAX_INTERVAL_MS 1000
#define REPORT_MIN_INTERVAL_MS 150
/* Shortest interval between load reports per balancer that receives them. An
 * agent may send 3 KB of messages a second: 25 reports of 50 bytes leave room
 * for the answers to opens and hellos. */
#define REPORT_BALANCER_MS 40
/* Change of the average of requests in flight, as a part of the slots, that is
 * reported before REPORT_MAX_INTERVAL_MS has passed. */
#define REPORT_CHANGE_SLOTS 0.25
/* A balancer without a hello for this time gets no more reports. Balancers say
 * hello every 4 s. */
#define BALANCER_EXPIRY_MS 10000

/* Most balancers that are named to another one. */
#define BALANCERS_TOLD_MAX 4

#define balancer_at(a, i) g_array_index((a)->balancers, known_balancer_t, i)

static void update_avg_in_flight(relay_agent_t *a);

static void update_avg_in_flight(relay_agent_t *a)
{
	double decay =
		exp(-(double)(a->now - a->avg_updated_ms) / SMOOTHING_MS);

	a->avg_in_flight =
		a->avg_in_flight * decay + a->in_flight * (1 - decay);
	a->avg_updated_ms = a->now;
}

void relay_load_request_started(relay_agent_t *a, server_flow_t *f)
{
	update_avg_in_flight(a);
	f->request_pending = true;
	f->request_started_ms = a->now;
	f->found_free_slot = !a->slots || a->in_flight < a->slots;
	a->in_flight++;
	counter_add(&a->counters, COUNTER_REQUESTS, 1);
}

void relay_load_request_unverified(relay_agent_t *a, server_flow_t *f)
{
	f->request_started_ms = a->now;
	list_remove(&f->opening);
	list_append(&a->verifying, &f->opening);
}

void relay_load_request_kept(relay_agent_t *a, server_flow_t *f)
{
	uint64_t started_ms = f->request_started_ms;

	if (list_empty(&f->opening) || f->request_pending)
		return;
	list_remove(&f->opening);
	relay_load_request_started(a, f);
	f->request_started_ms = started_ms;
}

void relay_load_count_kept(relay_agent_t *a)
{
	list_each_safe(node, after, &a->verifying)
	{
		server_flow_t *f = list_entry(node, server_flow_t, opening);

		if (a->now < f->request_started_ms + RELAY_RETURN_MS)
			return;
		relay_load_request_kept(a, f);
	}
}

void relay_load_request_ended(relay_agent_t *a, server_flow_t *f, bool answered)
{
	double took_ms = (double)(a->now - f->request_started_ms);

	if (!f->request_pending)
		return;
	update_avg_in_flight(a);
	f->request_pending = false;
	a->in_flight--;
	if (!answered)
		return;
	counter_add(&a->counters, COUNTER_REQUESTS_ANSWERED, 1);
	histogram_add(&a->service_ms, (uint64_t)took_ms);
	relay_health_request_answered(a, f, took_ms);
}

void relay_load_fill(relay_agent_t *a, relay_load_t *load)
{
	update_avg_in_flight(a);
	ct__relay__load__init(load);
	load->in_flight = a->in_flight + a->nawaiting_request + a->queue.n;
	load->work_hundredths = (uint32_t)(a->avg_in_flight * 100);
	load->service_us =
		a->avg_service_ms > 0
			? (uint32_t)(relay_health_service_ms(a) * 1000)
			: 0;
	load->flows = a->active_flows;
	load->down_ms =
		a->down ? (uint32_t)(a->now - a->silent_since_ms) + 1 : 0;
	load->stopping = a->stopping;
	load->evacuated = a->evacuated;
	load->warmup_full = relay_agent_warmup_full(a);
	load->no_server = a->no_server;
	load->listens = relay_server_listens(a);
	load->stalled_ms = relay_server_stalled_ms(a);
	load->failed_percent = (uint32_t)(relay_health_failure_ratio(a) * 100);
	load->too_fast_percent =
		(uint32_t)(relay_health_too_fast_ratio(a) * 100);
	if (server_pace_reported(&a->pace, a->now)) {
		load->paced_slots = relay_agent_requests_allowed(a);
		if (!load->paced_slots)
			load->paced_slots = 1;
	}
}

void relay_load_report(relay_agent_t *a)
{
	relay_load_t load;
	relay_msg_t msg;
	uint32_t *flows;
	guint kept = 0;

	relay_load_fill(a, &load);
	relay_msg_init(&msg, RELAY_LOAD);
	msg.load = &load;
	flows = relay_agent_list_flows(a, &msg);
	for (guint i = 0; i < a->balancers->len; i++) {
		known_balancer_t balancer = balancer_at(a, i);

		if (a->now >= balancer.last_heard_ms + BALANCER_EXPIRY_MS)
			continue;
		balancer_at(a, kept++) = balancer;
		counter_add(&a->counters, COUNTER_CONTROL_MESSAGES_OUT, 1);
		a->ops.send_message(a->ctx, balancer.address, &msg);
	}
	g_free(flows);
	g_array_set_size(a->balancers, kept);
	a->reported_ms = a->now;
	a->reported_stalled = load.stalled_ms > 0;
	a->reported_listens = load.listens;
	a->reported_avg_in_flight = a->avg_in_flight;
	a->reported_in_flight = a->in_flight;
}

void relay_load_add_balancer(relay_agent_t *a, uint32_t address)
{
	known_balancer_t balancer = { address, a->now };

	for (guint i = 0; i < a->balancers->len; i++)
		if (balancer_at(a, i).address == address) {
			balancer_at(a, i) = balancer;
			return;
		}
	g_array_append_val(a->balancers, balancer);
}

/* Orders the balancers heard from last first. */
static gint compare_last_heard(gconstpointer x, gconstpointer y)
{
	const known_balancer_t *a = x, *b = y;

	return (a->last_heard_ms < b->last_heard_ms) -
	       (a->last_heard_ms > b->last_heard_ms);
}

void relay_load_tell_balancers(relay_agent_t *a, uint32_t to)
{
	uint32_t told[BALANCERS_TOLD_MAX];
	relay_msg_t answer;
	size_t n = 0;

	g_array_sort(a->balancers, compare_last_heard);
	for (guint i = 0; i < a->balancers->len && n < BALANCERS_TOLD_MAX;
	     i++) {
		const known_balancer_t *balancer = &balancer_at(a, i);

		if (balancer->address != to &&
		    a->now < balancer->last_heard_ms + BALANCER_EXPIRY_MS)
			told[n++] = balancer->address;
	}
	relay_msg_init(&answer, RELAY_LOAD);
	answer.balancers = told;
	answer.n_balancers = n;
	counter_add(&a->counters, COUNTER_CONTROL_MESSAGES_OUT, 1);
	a->ops.send_message(a->ctx, to, &answer);
}

void relay_load_tick(relay_agent_t *a)
{
	double slots = a->slots ? a->slots : 1;
	uint64_t interval_ms = a->balancers->len * REPORT_BALANCER_MS;

	if (a->now < a->reported_ms + (interval_ms > REPORT_MIN_INTERVAL_MS
					       ? interval_ms
					       : REPORT_MIN_INTERVAL_MS))
		return;
	update_avg_in_flight(a);
	if (a->now >= a->reported_ms + REPORT_MAX_INTERVAL_MS ||
	    a->reported_stalled != (relay_server_stalled_ms(a) > 0) ||
	    a->reported_listens != relay_server_listens(a) ||
	    fabs(a->avg_in_flight - a->reported_avg_in_flight) >=
		    REPORT_CHANGE_SLOTS * slots ||
	    fabs((double)a->in_flight - a->reported_in_flight) >= slots)
		relay_load_report(a);
}
