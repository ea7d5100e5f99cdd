#include "balancer_int.h"

/* Silent services are looked for this often. */
#define POLL_MS 1000
/* A service is in use when a packet was sent to it since. */
#define IN_USE_MS 15000
/* It is silent when no member was heard since; asked again after as long. */
#define SILENT_MS 3000
/* Services asked at a time. */
#define POLLS_AT_ONCE 10

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
