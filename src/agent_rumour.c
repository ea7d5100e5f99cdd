#include "agent_int.h"
#include <stdlib.h>

/* Balancers remembered, a power of two, and how often one is told. */
#define REMEMBERED 64
#define TELL_MS	   3000
/* One that was silent for longer is not told. */
#define REMEMBERED_MS 600000
/* Suspected and dead members named in one message. */
#define RUMOURS 8

typedef struct told {
	endpoint_t balancer;
	uint64_t heard_ms;
	uint64_t told_ms;
} told_t;

static void tell(agent_t *a, uint64_t now, told_t *t);
static told_t *remember(agent_t *a, uint64_t now, const endpoint_t *balancer);

struct notifier {
	told_t told[REMEMBERED];
	load_msg_t dead[RUMOURS];
	size_t ndead;
	uint32_t deaths; /* of the members dead now, their ids combined */
};

notifier_t *notifier_new(void)
{
	return calloc(1, sizeof(notifier_t));
}

void notifier_tick(agent_t *a, uint64_t now)
{
	notifier_t *r = a->notifier;
	uint32_t deaths = 0;

	r->ndead = 0;
	for (size_t i = 0; i < a->group.n && r->ndead < RUMOURS; i++) {
		const member_t *m = &a->group.members[i];
		load_msg_t *load = &r->dead[r->ndead];

		if (!member_suspect_or_dead(m))
			continue;
		ct__load__init(load);
		load->target = m->id;
		load->incarnation = m->incarnation;
		load->state = m->state;
		if (m->state == MEMBER_DEAD)
			deaths ^= m->id;
		r->ndead++;
	}
	/* A death is told at once. */
	for (size_t i = 0; i < REMEMBERED && deaths != r->deaths; i++)
		r->told[i].told_ms = 0;
	r->deaths = deaths;
	if (r->ndead == 0)
		return;
	for (size_t i = 0; i < REMEMBERED; i++)
		if (r->told[i].balancer.port &&
		    r->told[i].heard_ms + REMEMBERED_MS > now)
			tell(a, now, &r->told[i]);
}

/* Tells one balancer, at most once in TELL_MS and within the bound. */
static void tell(agent_t *a, uint64_t now, told_t *t)
{
	notifier_t *r = a->notifier;
	load_msg_t *list[RUMOURS];
	digest_msg_t msg;
	load_msg_t load;

	if (t->told_ms + TELL_MS > now || !hint_allowed(a, now))
		return;
	t->told_ms = now;
	for (size_t i = 0; i < r->ndead; i++)
		list[i] = &r->dead[i];
	ct__digest__init(&msg);
	agent_fill_load(a, now, &load);
	msg.service = a->service->id;
	msg.version = a->config->version;
	msg.digest = a->config->digest;
	msg.load = &load;
	msg.rumours = list;
	msg.n_rumours = r->ndead;
	msg.agent_ip = a->options.self.ip;
	msg.agent_port = a->options.self.port;
	a->ops.send(a->ctx, &t->balancer, MSG_DIGEST, &msg);
}

static told_t *remember(agent_t *a, uint64_t now, const endpoint_t *balancer)
{
	told_t *t = &a->notifier->told[(balancer->ip * 31 + balancer->port) %
				       REMEMBERED];

	if (!endpoint_equal(&t->balancer, balancer)) {
		t->balancer = *balancer;
		t->told_ms = 0;
	}
	t->heard_ms = now;
	return t;
}

void notifier_note_balancer(agent_t *a, uint64_t now,
			    const endpoint_t *balancer)
{
	told_t *t;

	if (!balancer->port)
		return;
	t = &a->notifier
		     ->told[(balancer->ip * 31 + balancer->port) % REMEMBERED];
	if (!endpoint_equal(&t->balancer, balancer)) {
		t->balancer = *balancer;
		t->told_ms = 0;
	}
	t->heard_ms = now;
	if (a->notifier->ndead)
		tell(a, now, t);
}

void notifier_poll(agent_t *a, uint64_t now, const digest_msg_t *msg)
{
	endpoint_t from = { msg->agent_ip, (uint16_t)msg->agent_port };
	told_t *t;

	if (!a->service || msg->service != a->service->id || !from.port)
		return;
	t = remember(a, now, &from);
	t->told_ms = 0;
	tell(a, now, t);
}
