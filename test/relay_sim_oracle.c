#include "relay_sim_int.h"
#include <string.h>

/*
 * The limit of what placement can do: it sees each server's queue, speed and
 * failures as they are, loses no time on messages, resets flows at the moment
 * when their server is lost, and refuses what would be answered too late. It
 * knows nothing of what is to come.
 */

/* Requests of long flows at a server, in the mean. */
static double coming(const relay_world_t *w, unsigned server, double work_ms)
{
	unsigned flows = 0;

	for (unsigned u = 1; u <= w->o.users; u++) {
		unsigned flow = w->users[u].flow;

		flows += flow && !w->flows[flow].closed &&
			 w->flows[flow].placed == (int)server;
	}
	return flows * w->o.user_rate * work_ms / 1000;
}

/* Time until a further request is answered; below 0: never. */
static double answer_ms(const relay_world_t *w, unsigned server, bool is_long)
{
	const server_t *s = &w->servers[server];
	double work = w->o.work_ms * s->factor / s->speed;
	double in_flight = s->busy + g_queue_get_length(s->waiting) + 1;
	double ahead;

	if (!s->up || s->draining || s->failing >= 1)
		return -1;
	if (w->now < s->warm_at)
		work *= COLD_FACTOR;
	ahead = in_flight > w->o.slots ? in_flight - w->o.slots : 0;
	work *= 1 + ahead / w->o.slots;
	work /= 1 - s->failing;
	if (is_long)
		work *= 1 + coming(w, server, work) / w->o.slots;
	return work;
}

static int choose(const relay_world_t *w, bool is_long)
{
	double best = 0;
	int at = -1;

	for (unsigned i = 0; i < w->o.targets; i++) {
		double ms = answer_ms(w, i, is_long);

		if (ms < 0 || (at >= 0 && ms >= best))
			continue;
		best = ms;
		at = (int)i;
	}
	return at >= 0 && answer_ms(w, (unsigned)at, false) <= w->o.aim_ms ? at
									   : -1;
}

static void reset(relay_world_t *w, unsigned flow)
{
	uint8_t buf[RELAY_PACKET_MAX];
	size_t len = rw_build(w, buf, flow, false, 4, 0, 0, 0);

	rw_push(w, ONE_WAY_US, rw_at_caller, buf, len);
}

void rw_oracle_packet(relay_world_t *w, unsigned flow, const uint8_t *buf,
		      size_t len)
{
	wflow_t *f = &w->flows[flow];

	if (!f->asked_oracle) {
		f->asked_oracle = true;
		f->placed = choose(w, f->user != 0);
	}
	if (f->placed < 0 || !w->servers[f->placed].up ||
	    (f->open && f->epoch != w->servers[f->placed].epoch)) {
		f->server = -1;
		reset(w, flow);
		return;
	}
	rw_push(w, 2 * ONE_WAY_US, rw_at_server, buf, len)->a =
		(unsigned)f->placed;
}

void rw_oracle_answer(relay_world_t *w, unsigned server, const uint8_t *buf,
		      size_t len)
{
	if (buf[26] & 1)
		return; /* returned: the flow was reset when it was lost */
	rw_push(w, ONE_WAY_US, rw_at_caller, buf, len)->a = server;
}

/* The callers of a server that is lost hear so at once. */
void rw_oracle_lost(relay_world_t *w, unsigned server)
{
	for (unsigned flow = 1; flow <= w->nflows; flow++) {
		wflow_t *f = &w->flows[flow];

		if (f->closed || !f->asked_oracle || f->placed != (int)server)
			continue;
		f->server = -1;
		reset(w, flow);
	}
}
