#include "relay_sim_int.h"
#include <stdlib.h>

static void begin_try(relay_world_t *w, unsigned request);

request_t *rw_request_at(relay_world_t *w, unsigned i)
{
	return &g_array_index(w->requests, request_t, i);
}

static void at_balancer(relay_world_t *w, event_t *e)
{
	relay_balancer_packet(w->balancers[e->a], rw_ms(w), e->buf, e->len);
}

static bool reachable(const relay_world_t *w, unsigned balancer)
{
	return w->rotation[balancer] &&
	       (w->callers_zone < 0 ||
		rw_zone(w, balancer) == (unsigned)w->callers_zone);
}

/* The fabric hands a flow's packets to one of the balancers in rotation. */
static void from_caller(relay_world_t *w, unsigned flow, uint8_t wire,
			uint32_t seq, uint32_t ack, unsigned payload)
{
	uint8_t buf[RELAY_PACKET_MAX];
	size_t len = rw_build(w, buf, flow, true, wire, seq, ack, payload);
	unsigned b = (flow * 2654435761u >> 8) % w->o.balancers;

	if (w->o.choice == WORLD_ORACLE) {
		rw_oracle_packet(w, flow, buf, len);
		return;
	}
	for (unsigned i = 0; i < w->o.balancers && !reachable(w, b); i++)
		b = (b + 1) % w->o.balancers;
	rw_push(w, ONE_WAY_US, at_balancer, buf, len)->a = b;
}

static void finish(relay_world_t *w, unsigned request, bool answered)
{
	request_t *r = rw_request_at(w, request);
	uint64_t took = w->now - r->asked;

	if (r->done)
		return;
	r->done = true;
	if (r->user)
		w->users[r->user].request = 0;
	if (r->asked < w->counted_from)
		return;
	if (!r->user) {
		w->result.urgent++;
		w->result.urgent_in_aim +=
			answered && took <= (uint64_t)w->o.aim_ms * 1000;
	}
	if (!answered)
		w->result.failed++;
	else if (took <= (uint64_t)w->o.aim_ms * 1000)
		w->result.in_aim++;
	else
		w->result.late++;
}

static void drop_flow(relay_world_t *w, unsigned flow)
{
	wflow_t *f = &w->flows[flow];

	f->closed = true;
	if (f->user && w->users[f->user].flow == flow)
		w->users[f->user].flow = 0;
}

/* The try ended without an answer: another one, or the request has failed. */
static void try_failed(relay_world_t *w, unsigned flow)
{
	wflow_t *f = &w->flows[flow];
	unsigned request = f->request;

	if (f->closed)
		return;
	drop_flow(w, flow);
	f->request = 0;
	if (!request || rw_request_at(w, request)->done)
		return;
	if (rw_request_at(w, request)->tries >= TRIES)
		finish(w, request, false);
	else
		begin_try(w, request);
}

static void send_data(relay_world_t *w, unsigned flow);

static void repeat_data(relay_world_t *w, event_t *e)
{
	const wflow_t *f = &w->flows[e->a];

	if (!f->closed && f->request && f->sent == e->b)
		send_data(w, e->a);
}

static void send_data(relay_world_t *w, unsigned flow)
{
	wflow_t *f = &w->flows[flow];
	event_t *e;

	from_caller(w, flow, 2, 6 + f->acked, f->isn + 1, 100);
	e = rw_push(w, 200000, repeat_data, NULL, 0);
	e->a = flow;
	e->b = f->sent;
}

static void send_syn(relay_world_t *w, event_t *e)
{
	const wflow_t *f = &w->flows[e->a];

	if (!f->open && !f->closed)
		from_caller(w, e->a, 16, 5, e->b, 0);
}

static void syn_given_up(relay_world_t *w, event_t *e)
{
	if (!w->flows[e->a].open)
		try_failed(w, e->a);
}

/* A caller whose deadline passes leaves the flow that did not answer. */
static void deadline(relay_world_t *w, event_t *e)
{
	unsigned user = rw_request_at(w, e->a)->user;
	unsigned flow = user ? w->users[user].flow : 0;

	finish(w, e->a, false);
	if (flow && w->flows[flow].request == e->a)
		drop_flow(w, flow);
}

static void open_flow(relay_world_t *w, unsigned request)
{
	unsigned flow = ++w->nflows;
	static const uint64_t copies[] = { 0, 200000, 600000 };

	if (flow >= FLOWS_MAX)
		abort();
	w->flows[flow].server = -1;
	w->flows[flow].request = request;
	w->flows[flow].user = rw_request_at(w, request)->user;
	w->flows[flow].urgent = !w->flows[flow].user;
	if (w->flows[flow].user)
		w->users[w->flows[flow].user].flow = flow;
	for (unsigned i = 0; i < 3; i++) {
		event_t *e = rw_push(w, copies[i], send_syn, NULL, 0);

		e->a = flow;
		e->b = i;
	}
	rw_push(w, SYN_GIVEN_UP_US, syn_given_up, NULL, 0)->a = flow;
}

static void begin_try(relay_world_t *w, unsigned request)
{
	request_t *r = rw_request_at(w, request);
	unsigned flow = r->user ? w->users[r->user].flow : 0;

	r->tries++;
	r->runs = 0;
	if (!flow) {
		open_flow(w, request);
		return;
	}
	w->flows[flow].request = request;
	w->flows[flow].sent++;
	send_data(w, flow);
}

static void ask(relay_world_t *w, unsigned user)
{
	request_t r = { .asked = w->now, .user = user };
	unsigned request = w->requests->len;

	if (user && w->users[user].request)
		return;
	g_array_append_val(w->requests, r);
	if (user)
		w->users[user].request = request;
	if (w->now >= w->counted_from)
		w->result.asked++;
	begin_try(w, request);
	rw_push(w, (uint64_t)w->o.deadline_ms * 1000, deadline, NULL, 0)->a =
		request;
}

void rw_user_asks(relay_world_t *w, event_t *e)
{
	unsigned user = e->a;

	ask(w, user);
	rw_push(w, (uint64_t)(rw_spread(w, 1e6 / (w->o.user_rate * w->rate))),
		rw_user_asks, NULL, 0)
		->a = user;
}

void rw_fresh_asks(relay_world_t *w, event_t *e)
{
	(void)e;
	ask(w, 0);
	rw_push(w, (uint64_t)(rw_spread(w, 1e6 / (w->o.fresh_rate * w->rate))),
		rw_fresh_asks, NULL, 0);
}

static void answered(relay_world_t *w, unsigned flow)
{
	wflow_t *f = &w->flows[flow];
	unsigned request = f->request;

	f->acked += 100;
	f->request = 0;
	finish(w, request, true);
	if (!rw_request_at(w, request)->user) {
		f->closed = true;
		from_caller(w, flow, 8 | 2, 6 + f->acked, f->isn + 1, 0);
	}
}

/* A reset of ours on a flow whose server lives and holds it breaks it. */
static void judge_reset(relay_world_t *w, const wflow_t *f)
{
	const server_t *s = f->server >= 0 ? &w->servers[f->server] : NULL;

	if (s && f->open && !f->closed && s->up && s->epoch == f->epoch)
		w->result.wrong_resets++;
}

void rw_at_caller(relay_world_t *w, event_t *e)
{
	relay_packet_t p;
	unsigned flow;
	wflow_t *f;

	if (fleet_packet_form.read(e->buf, e->len, &p) < 0)
		abort();
	flow = rw_flow_of(p.key.dst, p.key.dport);
	f = &w->flows[flow];
	if (f->closed)
		return;
	if (p.flags & RELAY_RST) {
		judge_reset(w, f);
		try_failed(w, flow);
		return;
	}
	if (p.flags & RELAY_SYN) {
		if (f->open)
			return;
		f->open = true;
		f->server = (int)e->a;
		f->epoch = w->servers[e->a].epoch;
		f->isn = p.seq;
		f->sent++;
		send_data(w, flow);
		return;
	}
	if (!p.payload_len || !f->request)
		return;
	if (f->error)
		try_failed(w, flow);
	else
		answered(w, flow);
}
