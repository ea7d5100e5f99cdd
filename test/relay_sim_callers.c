#include "relay_sim_int.h"
#include <stdlib.h>

static void start_attempt(relay_sim_t *sim, unsigned request);

request_t *rsim_request(relay_sim_t *sim, unsigned i)
{
	return &g_array_index(sim->requests, request_t, i);
}

static void balancer_receive(relay_sim_t *sim, event_t *e)
{
	relay_balancer_handle_packet(sim->balancers[e->a], rsim_now_ms(sim),
				     e->buf, e->len);
}

static bool reachable(const relay_sim_t *sim, unsigned balancer)
{
	return sim->in_rotation[balancer] &&
	       (sim->caller_zone < 0 ||
		rsim_zone(sim, balancer) == (unsigned)sim->caller_zone);
}

/* Sends a caller's packet through the network fabric: to the balancer chosen
 * by the hash of the flow or, if unreachable, to the next one. */
static void caller_send(relay_sim_t *sim, unsigned flow, uint8_t wire,
			uint32_t seq, uint32_t ack, unsigned payload)
{
	uint8_t buf[RELAY_PACKET_MAX];
	size_t len = rsim_build_packet(sim, buf, flow, true, wire, seq, ack,
				       payload);
	unsigned b = (flow * 2654435761u >> 8) % sim->opts.balancers;

	if (sim->opts.policy == RSIM_ORACLE) {
		rsim_oracle_packet(sim, flow, buf, len);
		return;
	}
	for (unsigned i = 0; i < sim->opts.balancers && !reachable(sim, b); i++)
		b = (b + 1) % sim->opts.balancers;
	rsim_schedule(sim, ONE_WAY_US, balancer_receive, buf, len)->a = b;
}

static void finish_request(relay_sim_t *sim, unsigned request, bool answered)
{
	request_t *r = rsim_request(sim, request);
	uint64_t took = sim->now_us - r->start_us;

	if (r->done)
		return;
	r->done = true;
	if (r->user)
		sim->users[r->user].request = 0;
	if (r->start_us < sim->count_from_us)
		return;
	if (!r->user) {
		sim->result.high_priority++;
		sim->result.high_priority_on_time +=
			answered &&
			took <= (uint64_t)sim->opts.objective_ms * 1000;
	}
	if (!answered)
		sim->result.failed++;
	else if (took <= (uint64_t)sim->opts.objective_ms * 1000)
		sim->result.on_time++;
	else
		sim->result.late++;
}

static void close_flow(relay_sim_t *sim, unsigned flow)
{
	sim_flow_t *f = &sim->flows[flow];

	f->closed = true;
	if (f->user && sim->users[f->user].flow == flow)
		sim->users[f->user].flow = 0;
}

/* Closes the flow of a failed attempt, and starts another attempt or fails the
 * request. */
static void attempt_failed(relay_sim_t *sim, unsigned flow)
{
	sim_flow_t *f = &sim->flows[flow];
	unsigned request = f->request;

	if (f->closed)
		return;
	close_flow(sim, flow);
	f->request = 0;
	if (!request || rsim_request(sim, request)->done)
		return;
	if (rsim_request(sim, request)->tries >= TRIES_MAX)
		finish_request(sim, request, false);
	else
		start_attempt(sim, request);
}

static void send_data(relay_sim_t *sim, unsigned flow);

static void retransmit_data(relay_sim_t *sim, event_t *e)
{
	const sim_flow_t *f = &sim->flows[e->a];

	if (!f->closed && f->request && f->sent == e->b)
		send_data(sim, e->a);
}

static void send_data(relay_sim_t *sim, unsigned flow)
{
	sim_flow_t *f = &sim->flows[flow];
	event_t *e;

	caller_send(sim, flow, 2, 6 + f->acked, rsim_server_next(f),
		    REQUEST_BYTES);
	e = rsim_schedule(sim, 200000, retransmit_data, NULL, 0);
	e->a = flow;
	e->b = f->sent;
}

static void send_syn(relay_sim_t *sim, event_t *e)
{
	const sim_flow_t *f = &sim->flows[e->a];

	if (!f->open && !f->closed)
		caller_send(sim, e->a, 16, 5, e->b, 0);
}

static void connect_timeout(relay_sim_t *sim, event_t *e)
{
	if (!sim->flows[e->a].open)
		attempt_failed(sim, e->a);
}

/* At its deadline a request fails, and the caller abandons its flow. */
static void deadline_passed(relay_sim_t *sim, event_t *e)
{
	unsigned user = rsim_request(sim, e->a)->user;
	unsigned flow = user ? sim->users[user].flow : 0;

	finish_request(sim, e->a, false);
	if (flow && sim->flows[flow].request == e->a)
		close_flow(sim, flow);
}

static void open_flow(relay_sim_t *sim, unsigned request)
{
	unsigned flow = ++sim->nflows;
	/* A caller sends its SYN up to three times. */
	static const uint64_t syn_delays_us[] = { 0, 200000, 600000 };

	if (flow >= FLOWS_MAX)
		abort();
	sim->flows[flow].server = -1;
	sim->flows[flow].request = request;
	sim->flows[flow].user = rsim_request(sim, request)->user;
	sim->flows[flow].high_priority = !sim->flows[flow].user;
	if (sim->flows[flow].user)
		sim->users[sim->flows[flow].user].flow = flow;
	for (unsigned i = 0; i < 3; i++) {
		event_t *e =
			rsim_schedule(sim, syn_delays_us[i], send_syn, NULL, 0);

		e->a = flow;
		e->b = i;
	}
	rsim_schedule(sim, CONNECT_TIMEOUT_US, connect_timeout, NULL, 0)->a =
		flow;
}

static void start_attempt(relay_sim_t *sim, unsigned request)
{
	request_t *r = rsim_request(sim, request);
	unsigned flow = r->user ? sim->users[r->user].flow : 0;

	r->tries++;
	r->runs = 0;
	if (!flow) {
		open_flow(sim, request);
		return;
	}
	sim->flows[flow].request = request;
	sim->flows[flow].sent++;
	send_data(sim, flow);
}

static void start_request(relay_sim_t *sim, unsigned user)
{
	request_t r = { .start_us = sim->now_us, .user = user };
	unsigned request = sim->requests->len;

	if (user && sim->users[user].request)
		return;
	g_array_append_val(sim->requests, r);
	if (user)
		sim->users[user].request = request;
	if (sim->now_us >= sim->count_from_us)
		sim->result.nrequests++;
	start_attempt(sim, request);
	rsim_schedule(sim, (uint64_t)sim->opts.deadline_ms * 1000,
		      deadline_passed, NULL, 0)
		->a = request;
}

void rsim_user_request(relay_sim_t *sim, event_t *e)
{
	unsigned user = e->a;

	start_request(sim, user);
	rsim_schedule(sim,
		      (uint64_t)(rsim_random_exp(
			      sim, 1e6 / (sim->opts.user_rate * sim->rate))),
		      rsim_user_request, NULL, 0)
		->a = user;
}

void rsim_oneshot_request(relay_sim_t *sim, event_t *e)
{
	(void)e;
	start_request(sim, 0);
	rsim_schedule(sim,
		      (uint64_t)(rsim_random_exp(
			      sim, 1e6 / (sim->opts.oneshot_rate * sim->rate))),
		      rsim_oneshot_request, NULL, 0);
}

static void answered(relay_sim_t *sim, unsigned flow)
{
	sim_flow_t *f = &sim->flows[flow];
	unsigned request = f->request;

	f->acked += REQUEST_BYTES;
	f->request = 0;
	finish_request(sim, request, true);
	if (!rsim_request(sim, request)->user) {
		f->closed = true;
		caller_send(sim, flow, 8 | 2, 6 + f->acked, rsim_server_next(f),
			    0);
	}
}

/* Counts a reset of an open flow whose server is alive and holds it. */
static void check_reset(relay_sim_t *sim, const sim_flow_t *f)
{
	const server_t *s = f->server >= 0 ? &sim->servers[f->server] : NULL;

	if (s && f->open && !f->closed && s->up && s->epoch == f->epoch)
		sim->result.wrong_resets++;
}

void rsim_caller_receive(relay_sim_t *sim, event_t *e)
{
	relay_packet_t p;
	unsigned flow;
	sim_flow_t *f;

	if (fleet_packet_format.read(e->buf, e->len, &p) < 0)
		abort();
	flow = rsim_flow_number(p.key.dst, p.key.dport);
	f = &sim->flows[flow];
	if (f->closed)
		return;
	if (p.flags & RELAY_RST) {
		check_reset(sim, f);
		attempt_failed(sim, flow);
		return;
	}
	if (p.flags & RELAY_SYN) {
		if (f->open)
			return;
		f->open = true;
		f->server = (int)e->a;
		f->epoch = sim->servers[e->a].epoch;
		f->isn = p.seq;
		f->sent++;
		send_data(sim, flow);
		return;
	}
	if (!p.payload_len || !f->request)
		return;
	if (f->error)
		attempt_failed(sim, flow);
	else
		answered(sim, flow);
}
