#include "balancer_int.h"

/* Silent services are looked for this often. */
#define POLL_MS 1000
/* A service is in use when a packet was sent to it since. */
#define IN_USE_MS 15000
/* It is silent when no member was heard since; asked again after as long. */
#define SILENT_MS 3000
/* Services asked at a time. */
#define POLLS_AT_ONCE 10
/* Members asked between two polls because a look-up goes to them. */
#define ASKS_A_POLL 5
/* One that was asked and says nothing for so long is avoided. */
#define ANSWER_MS	1000
#define AVOID_SILENT_MS 10000

static bool silent(const group_t *g, uint64_t now);

static bool silent(const group_t *g, uint64_t now)
{
	if (g->n == 0 || g->sent_ms == 0 || g->sent_ms + IN_USE_MS < now ||
	    g->polled_ms + SILENT_MS > now)
		return false;
	for (size_t i = 0; i < g->n; i++)
		if (g->members[i].heard_ms &&
		    g->members[i].heard_ms + SILENT_MS > now)
			return false;
	return true;
}

void balancer_ask(balancer_t *b, const group_t *g, const member_t *m)
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

void balancer_watch(balancer_t *b, uint64_t now, group_t *g,
		    const endpoint_t *agent)
{
	member_t *m = group_member_at(g, agent);

	if (!m || m->heard_ms + SILENT_MS > now)
		return;
	if (m->asked_ms > m->heard_ms) {
		if (m->asked_ms + ANSWER_MS > now)
			return;
		m->asked_ms = 0;
		m->avoid_until = now + AVOID_SILENT_MS;
		return;
	}
	if (b->asks_left == 0)
		return;
	b->asks_left--;
	m->asked_ms = now;
	balancer_ask(b, g, m);
}

/*
 * Hints and ranks lead to members that may be dead: when no answer to an open
 * tells how a service in use is, a member is asked, whose answer names the
 * dead ones.
 */
void balancer_poll(balancer_t *b, uint64_t now)
{
	unsigned sent = 0;

	if (now < b->poll_ms || b->ngroups == 0)
		return;
	b->poll_ms = now + POLL_MS;
	b->asks_left = ASKS_A_POLL;
	for (size_t i = 0; i < b->ngroups && sent < POLLS_AT_ONCE; i++) {
		group_t *g = &b->groups[(b->poll_at + i) % b->ngroups];

		if (!silent(g, now))
			continue;
		/* The members are asked in turn. */
		g->polled_ms = now;
		balancer_ask(b, g, &g->members[(now / SILENT_MS) % g->n]);
		sent++;
	}
	b->poll_at++;
}
