#include "relay_sim_int.h"
#include <stdlib.h>
#include <string.h>

static void from_server(relay_world_t *w, unsigned server, uint8_t *buf,
			size_t len)
{
	if (w->o.choice == WORLD_ORACLE)
		rw_oracle_answer(w, server, buf, len);
	else
		relay_agent_answer(w->agents[server], rw_ms(w), buf, len);
}

static void serve(relay_world_t *w, unsigned server, unsigned flow);

static void served(relay_world_t *w, event_t *e)
{
	server_t *s = &w->servers[e->a];
	unsigned flow = e->b;
	wflow_t *f = &w->flows[flow];
	uint8_t buf[RELAY_PACKET_MAX];
	size_t len;

	if (e->host != s->epoch || !s->up)
		return;
	s->busy--;
	f->busy_at_server = false;
	len = rw_build(w, buf, flow, false, 2, f->isn + 1, 106 + f->acked, 500);
	from_server(w, e->a, buf, len);
	if (!g_queue_is_empty(s->waiting))
		serve(w, e->a, GPOINTER_TO_UINT(g_queue_pop_head(s->waiting)));
}

static void serve(relay_world_t *w, unsigned server, unsigned flow)
{
	server_t *s = &w->servers[server];
	bool fresh = w->flows[flow].urgent && w->o.fresh_ms > 0;
	double work = (0.5 + rw_chance(w)) * s->factor / s->speed *
		      (fresh ? w->o.fresh_ms : w->o.work_ms);
	event_t *e;

	if (w->now < s->warm_at)
		work *= COLD_FACTOR;
	w->flows[flow].error = s->failing > 0 && rw_chance(w) < s->failing;
	if (w->flows[flow].error)
		work = ERROR_MS;
	s->busy++;
	if (w->flows[flow].request) {
		request_t *r = rw_request_at(w, w->flows[flow].request);

		w->result.doubled += r->runs++ > 0;
	}
	e = rw_push(w, (uint64_t)(work * 1000), served, NULL, 0);
	e->a = server;
	e->b = flow;
	e->host = s->epoch;
}

/* A full queue: the request is not run, and the caller told. */
static void shed(relay_world_t *w, unsigned server, unsigned flow)
{
	uint8_t buf[RELAY_PACKET_MAX];
	size_t len = rw_build(w, buf, flow, false, 4, 0, 0, 0);

	w->flows[flow].server = -1;
	from_server(w, server, buf, len);
}

static void give_back(relay_world_t *w, unsigned server, const event_t *e)
{
	uint8_t buf[RELAY_PACKET_MAX];

	memcpy(buf, e->buf, e->len);
	buf[26] |= 1;
	buf[27] = 0;
	from_server(w, server, buf, e->len);
}

void rw_at_server(relay_world_t *w, event_t *e)
{
	server_t *s = &w->servers[e->a];
	uint8_t buf[RELAY_PACKET_MAX];
	relay_packet_t p;
	unsigned flow;
	wflow_t *f;

	if (!s->up)
		return;
	if (fleet_packet_form.read(e->buf, e->len, &p) < 0)
		abort();
	flow = rw_flow_of(p.key.src, p.key.sport);
	f = &w->flows[flow];
	if (relay_packet_opens(&p)) {
		uint32_t isn = (uint32_t)(flow * 64 + e->a) * 65536 + 7;

		from_server(w, e->a, buf,
			    rw_build(w, buf, flow, false, 16 | 2, isn, 6, 0));
		return;
	}
	if (f->server != (int)e->a || f->epoch != s->epoch) {
		give_back(w, e->a, e);
		return;
	}
	/* A copy of a request that was run is not run again. */
	if (!p.payload_len || f->busy_at_server || !f->request ||
	    f->run == f->sent)
		return;
	f->busy_at_server = true;
	f->run = f->sent;
	if (s->busy < w->o.slots)
		serve(w, e->a, flow);
	else if (g_queue_get_length(s->waiting) < w->o.queue)
		g_queue_push_tail(s->waiting, GUINT_TO_POINTER(flow));
	else
		shed(w, e->a, flow);
}
