#include "agent_int.h"
#include <stdlib.h>

/* Size of the hash table of balancers, a power of two. */
#define BALANCER_SLOTS 64
/* Least time between two notices to one balancer, ms. */
#define NOTIFY_INTERVAL_MS 3000
/* A balancer that sent no packet within this time gets no notice, ms. */
#define BALANCER_EXPIRY_MS 600000
/* Suspected and dead members in one notice. */
#define FAILED_MAX 8

typedef struct balancer_slot {
	endpoint_t endpoint;
	uint64_t last_heard_ms;
	uint64_t last_notified_ms;
} balancer_slot_t;

static void notify(agent_t *a, uint64_t now, balancer_slot_t *slot);
static balancer_slot_t *touch_slot(agent_t *a, uint64_t now,
				   const endpoint_t *balancer);

struct notifier {
	balancer_slot_t balancers[BALANCER_SLOTS];
	load_msg_t failed[FAILED_MAX];
	size_t nfailed;
	uint32_t dead_ids; /* XOR of the ids of the members dead now */
};

notifier_t *notifier_new(void)
{
	return calloc(1, sizeof(notifier_t));
}

void notifier_tick(agent_t *a, uint64_t now)
{
	notifier_t *nt = a->notifier;
	uint32_t dead_ids = 0;

	nt->nfailed = 0;
	for (size_t i = 0; i < a->group.n && nt->nfailed < FAILED_MAX; i++) {
		const member_t *m = &a->group.members[i];
		load_msg_t *load = &nt->failed[nt->nfailed];

		if (!member_suspect_or_dead(m))
			continue;
		ct__load__init(load);
		load->target = m->id;
		load->incarnation = m->incarnation;
		load->state = m->state;
		if (m->state == MEMBER_DEAD)
			dead_ids ^= m->id;
		nt->nfailed++;
	}
	/* A change of the set of dead members is sent at once. */
	for (size_t i = 0; i < BALANCER_SLOTS && dead_ids != nt->dead_ids; i++)
		nt->balancers[i].last_notified_ms = 0;
	nt->dead_ids = dead_ids;
	if (nt->nfailed == 0)
		return;
	for (size_t i = 0; i < BALANCER_SLOTS; i++)
		if (nt->balancers[i].endpoint.port &&
		    nt->balancers[i].last_heard_ms + BALANCER_EXPIRY_MS > now)
			notify(a, now, &nt->balancers[i]);
}

/*
 * Sends the list of suspect and dead members to one balancer, at most once in
 * NOTIFY_INTERVAL_MS and within the rate limit of hint_allowed().
 */
static void notify(agent_t *a, uint64_t now, balancer_slot_t *slot)
{
	notifier_t *nt = a->notifier;
	load_msg_t *list[FAILED_MAX];
	digest_msg_t msg;
	load_msg_t load;

	if (slot->last_notified_ms + NOTIFY_INTERVAL_MS > now ||
	    !hint_allowed(a, now))
		return;
	slot->last_notified_ms = now;
	for (size_t i = 0; i < nt->nfailed; i++)
		list[i] = &nt->failed[i];
	ct__digest__init(&msg);
	agent_fill_load(a, now, &load);
	msg.service = a->service->id;
	msg.version = a->config->version;
	msg.digest = a->config->digest;
	msg.load = &load;
	msg.rumours = list;
	msg.n_rumours = nt->nfailed;
	msg.agent_ip = a->options.self.ip;
	msg.agent_port = a->options.self.port;
	a->ops.send(a->ctx, &slot->endpoint, MSG_DIGEST, &msg);
}

/*
 * Notes that a balancer sent a message and returns its slot. Another balancer
 * in the slot is evicted.
 */
static balancer_slot_t *touch_slot(agent_t *a, uint64_t now,
				   const endpoint_t *balancer)
{
	balancer_slot_t *slot =
		&a->notifier->balancers[(balancer->ip * 31 + balancer->port) %
					BALANCER_SLOTS];

	if (!endpoint_equal(&slot->endpoint, balancer)) {
		slot->endpoint = *balancer;
		slot->last_notified_ms = 0;
	}
	slot->last_heard_ms = now;
	return slot;
}

void notifier_note_balancer(agent_t *a, uint64_t now,
			    const endpoint_t *balancer)
{
	balancer_slot_t *slot;

	if (!balancer->port)
		return;
	slot = &a->notifier->balancers[(balancer->ip * 31 + balancer->port) %
				       BALANCER_SLOTS];
	if (!endpoint_equal(&slot->endpoint, balancer)) {
		slot->endpoint = *balancer;
		slot->last_notified_ms = 0;
	}
	slot->last_heard_ms = now;
	if (a->notifier->nfailed)
		notify(a, now, slot);
}

void notifier_poll(agent_t *a, uint64_t now, const digest_msg_t *msg)
{
	endpoint_t from = { msg->agent_ip, (uint16_t)msg->agent_port };
	balancer_slot_t *slot;

	if (!a->service || msg->service != a->service->id || !from.port)
		return;
	slot = touch_slot(a, now, &from);
	slot->last_notified_ms = 0;
	notify(a, now, slot);
}
