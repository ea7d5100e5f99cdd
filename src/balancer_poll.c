#include "balancer_int.h"

/* Interval of the checks for silent services. */
#define POLL_INTERVAL_MS 1000
/*
 * A service is in use if a packet other than an open was sent to it within this
 * time.
 */
#define IN_USE_MS 15000
/*
 * A service or member that was not heard for this time is silent. A silent
 * service is polled again after the same time.
 */
#define SILENT_MS 3000
/* Most services polled at one check. */
#define POLLS_PER_INTERVAL 10
/* Most members polled between two checks because of look-ups. */
#define LOOKUP_POLLS_PER_INTERVAL 5
/* A member that does not answer a poll in this time is avoided. */
#define POLL_TIMEOUT_MS 1000
/* Time that a member is avoided after an unanswered poll. */
#define AVOID_SILENT_MS 10000

static bool service_silent(const group_t *g, uint64_t now);

static bool service_silent(const group_t *g, uint64_t now)
{
	if (g->n == 0 || g->last_sent_ms == 0 ||
	    g->last_sent_ms + IN_USE_MS < now ||
	    g->last_poll_ms + SILENT_MS > now)
		return false;
	for (size_t i = 0; i < g->n; i++)
		if (g->members[i].last_heard_ms &&
		    g->members[i].last_heard_ms + SILENT_MS > now)
			return false;
	return true;
}

void balancer_poll_member(balancer_t *b, const group_t *g, const member_t *m)
{
	digest_msg_t msg;

	ct__digest__init(&msg);
	msg.service = g->service;
	msg.version = b->config->version;
	msg.digest = b->config->digest;
	msg.agent_ip = b->options.self.ip;
	msg.agent_port = b->options.self.port;
	counter_add(&b->counters, COUNTER_SERVICE_POLLS, 1);
	b->ops.send(b->ctx, &m->agent, MSG_DIGEST, &msg);
}

void balancer_check_member(balancer_t *b, uint64_t now, group_t *g,
			   const endpoint_t *agent)
{
	member_t *m = group_member_at(g, agent);

	if (!m || m->last_heard_ms + SILENT_MS > now)
		return;
	if (m->poll_sent_ms > m->last_heard_ms) {
		if (m->poll_sent_ms + POLL_TIMEOUT_MS > now)
			return;
		m->poll_sent_ms = 0;
		m->avoid_until_ms = now + AVOID_SILENT_MS;
		return;
	}
	if (b->lookup_polls_left == 0)
		return;
	b->lookup_polls_left--;
	m->poll_sent_ms = now;
	balancer_poll_member(b, g, m);
}

/*
 * Hints and ranks may lead to dead members. A service without opens sends no
 * answers that would show this, so one of its members is polled: its digest
 * names the dead members.
 */
void balancer_poll(balancer_t *b, uint64_t now)
{
	unsigned sent = 0;

	if (now < b->next_poll_ms || b->ngroups == 0)
		return;
	b->next_poll_ms = now + POLL_INTERVAL_MS;
	b->lookup_polls_left = LOOKUP_POLLS_PER_INTERVAL;
	for (size_t i = 0; i < b->ngroups && sent < POLLS_PER_INTERVAL; i++) {
		group_t *g =
			&b->groups[(b->next_poll_service + i) % b->ngroups];

		if (!service_silent(g, now))
			continue;
		/* The choice by time polls all members in turn. */
		g->last_poll_ms = now;
		balancer_poll_member(b, g,
				     &g->members[(now / SILENT_MS) % g->n]);
		sent++;
	}
	b->next_poll_service++;
}
