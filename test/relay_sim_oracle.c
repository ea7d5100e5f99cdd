#include "relay_sim_int.h"
#include <string.h>

/*
 * Upper bound for placement: the oracle knows the queue, speed and failures of
 * each server, loses no time on messages, resets flows at the moment when their
 * server is lost and refuses opens that would be answered too late. It knows
 * nothing of future requests.
 */

/* Mean number of requests in flight from long flows at a server. */
static double expected_load(const relay_sim_t *sim, unsigned server,
			    double work_ms)
{
	unsigned flows = 0;

	for (unsigned u = 1; u <= sim->opts.users; u++) {
		unsigned flow = sim->users[u].flow;

		flows += flow && !sim->flows[flow].closed &&
			 sim->flows[flow].placed_at == (int)server;
	}
	return flows * sim->opts.user_rate * work_ms / 1000;
}

/* Time until one more request would be answered, in ms; negative: never. */
static double response_ms(const relay_sim_t *sim, unsigned server, bool is_long)
{
	const server_t *s = &sim->servers[server];
	double work = sim->opts.work_ms * s->slowdown / s->speed;
	double in_flight = s->busy + g_queue_get_length(s->waiting) + 1;
	double queued;

	if (!s->up || s->draining || s->failure_ratio >= 1)
		return -1;
	if (sim->now_us < s->warmup_end_us)
		work *= COLD_FACTOR;
	queued = in_flight > sim->opts.slots ? in_flight - sim->opts.slots : 0;
	work *= 1 + queued / sim->opts.slots;
	work /= 1 - s->failure_ratio;
	if (is_long)
		work *= 1 + expected_load(sim, server, work) / sim->opts.slots;
	return work;
}

static int choose(const relay_sim_t *sim, bool is_long)
{
	double best = 0;
	int best_server = -1;

	for (unsigned i = 0; i < sim->opts.targets; i++) {
		double ms = response_ms(sim, i, is_long);

		if (ms < 0 || (best_server >= 0 && ms >= best))
			continue;
		best = ms;
		best_server = (int)i;
	}
	return best_server >= 0 && response_ms(sim, (unsigned)best_server,
					       false) <= sim->opts.objective_ms
		       ? best_server
		       : -1;
}

static void send_reset(relay_sim_t *sim, unsigned flow)
{
	uint8_t buf[RELAY_PACKET_MAX];
	size_t len = rsim_build_packet(sim, buf, flow, false, 4, 0, 0, 0);

	rsim_schedule(sim, ONE_WAY_US, rsim_caller_receive, buf, len);
}

void rsim_oracle_packet(relay_sim_t *sim, unsigned flow, const uint8_t *buf,
			size_t len)
{
	sim_flow_t *f = &sim->flows[flow];

	if (!f->oracle_decided) {
		f->oracle_decided = true;
		f->placed_at = choose(sim, f->user != 0);
	}
	if (f->placed_at < 0 || !sim->servers[f->placed_at].up ||
	    (f->open && f->epoch != sim->servers[f->placed_at].epoch)) {
		f->server = -1;
		send_reset(sim, flow);
		return;
	}
	rsim_schedule(sim, 2 * ONE_WAY_US, rsim_server_receive, buf, len)->a =
		(unsigned)f->placed_at;
}

void rsim_oracle_answer(relay_sim_t *sim, unsigned server, const uint8_t *buf,
			size_t len)
{
	if (buf[26] & 1)
		return; /* the flow was reset when its server was lost */
	rsim_schedule(sim, ONE_WAY_US, rsim_caller_receive, buf, len)->a =
		server;
}

/* Resets the flows of a lost server at once. */
void rsim_oracle_lost(relay_sim_t *sim, unsigned server)
{
	for (unsigned flow = 1; flow <= sim->nflows; flow++) {
		sim_flow_t *f = &sim->flows[flow];

		if (f->closed || !f->oracle_decided ||
		    f->placed_at != (int)server)
			continue;
		f->server = -1;
		send_reset(sim, flow);
	}
}
