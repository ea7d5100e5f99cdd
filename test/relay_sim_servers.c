#include "relay_sim_int.h"
#include <stdlib.h>
#include <string.h>

static void server_send(relay_sim_t *sim, unsigned server, uint8_t *buf,
			size_t len)
{
	if (sim->opts.policy == RSIM_ORACLE)
		rsim_oracle_answer(sim, server, buf, len);
	else
		relay_agent_handle_server_packet(sim->agents[server],
						 rsim_now_ms(sim), buf, len);
}

static void serve(relay_sim_t *sim, unsigned server, unsigned flow);

static void service_done(relay_sim_t *sim, event_t *e)
{
	server_t *s = &sim->servers[e->a];
	unsigned flow = e->b;
	sim_flow_t *f = &sim->flows[flow];
	uint8_t buf[RELAY_PACKET_MAX];
	size_t len;

	if (e->host != s->epoch || !s->up)
		return;
	s->busy--;
	f->in_service = false;
	if (f->high_priority) {
		/* It closes one-shot flows; the FIN overtakes the answer. */
		len = rsim_build_packet(sim, buf, flow, false, 8 | 2,
					rsim_server_next(f) + ANSWER_BYTES,
					106 + f->acked, 0);
		server_send(sim, e->a, buf, len);
	}
	len = rsim_build_packet(sim, buf, flow, false, 2, rsim_server_next(f),
				106 + f->acked, ANSWER_BYTES);
	server_send(sim, e->a, buf, len);
	if (!g_queue_is_empty(s->waiting))
		serve(sim, e->a,
		      GPOINTER_TO_UINT(g_queue_pop_head(s->waiting)));
}

static void serve(relay_sim_t *sim, unsigned server, unsigned flow)
{
	server_t *s = &sim->servers[server];
	bool oneshot =
		sim->flows[flow].high_priority && sim->opts.oneshot_ms > 0;
	double work = (0.5 + rsim_random(sim)) * s->slowdown / s->speed *
		      (oneshot ? sim->opts.oneshot_ms : sim->opts.work_ms);
	event_t *e;

	if (sim->now_us < s->warmup_end_us)
		work *= COLD_FACTOR;
	sim->flows[flow].error =
		s->failure_ratio > 0 && rsim_random(sim) < s->failure_ratio;
	if (sim->flows[flow].error)
		work = ERROR_MS;
	s->busy++;
	s->served++;
	if (sim->flows[flow].request) {
		request_t *r = rsim_request(sim, sim->flows[flow].request);

		sim->result.duplicate_runs += r->runs++ > 0;
	}
	e = rsim_schedule(sim, (uint64_t)(work * 1000), service_done, NULL, 0);
	e->a = server;
	e->b = flow;
	e->host = s->epoch;
}

/* The queue is full: answers at once that the request was not run. */
static void shed(relay_sim_t *sim, unsigned server, unsigned flow)
{
	uint8_t buf[RELAY_PACKET_MAX];
	sim_flow_t *f = &sim->flows[flow];
	size_t len =
		rsim_build_packet(sim, buf, flow, false, 2, rsim_server_next(f),
				  106 + f->acked, ANSWER_BYTES);

	f->in_service = false;
	f->error = true;
	server_send(sim, server, buf, len);
}

static void return_packet(relay_sim_t *sim, unsigned server, const event_t *e)
{
	uint8_t buf[RELAY_PACKET_MAX];

	memcpy(buf, e->buf, e->len);
	buf[26] |= 1;
	buf[27] = 0;
	server_send(sim, server, buf, e->len);
}

void rsim_server_receive(relay_sim_t *sim, event_t *e)
{
	server_t *s = &sim->servers[e->a];
	uint8_t buf[RELAY_PACKET_MAX];
	relay_packet_t p;
	unsigned flow;
	sim_flow_t *f;

	if (!s->up)
		return;
	if (fleet_packet_format.read(e->buf, e->len, &p) < 0)
		abort();
	flow = rsim_flow_number(p.key.src, p.key.sport);
	f = &sim->flows[flow];
	if (relay_packet_opens(&p)) {
		uint32_t isn = (uint32_t)(flow * 64 + e->a) * 65536 + 7;

		server_send(sim, e->a, buf,
			    rsim_build_packet(sim, buf, flow, false, 16 | 2,
					      isn, 6, 0));
		return;
	}
	if (f->server != (int)e->a || f->epoch != s->epoch) {
		return_packet(sim, e->a, e);
		return;
	}
	/* A copy of a request that was run is not run again. */
	if (!p.payload_len || f->in_service || !f->request ||
	    f->last_run == f->sent)
		return;
	f->in_service = true;
	f->last_run = f->sent;
	if (s->busy < sim->opts.slots)
		serve(sim, e->a, flow);
	else if (g_queue_get_length(s->waiting) < sim->opts.queue)
		g_queue_push_tail(s->waiting, GUINT_TO_POINTER(flow));
	else
		shed(sim, e->a, flow);
}
