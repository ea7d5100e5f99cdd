#include "relay_balancer_int.h"
#include <string.h>

/*
 * Which target is at an address that several entries name: one whose target has
 * left and one of the next, or one of another writer. The store only says where
 * to look; who is there is answered by the agent, which names its service.
 */

/* Interval between questions for the service of an agent. */
#define ASK_INTERVAL_MS 500

bool relay_claim_is_named(const relay_balancer_t *b, const char *service)
{
	return !b->routes || route_table_names_service(b->routes, service) ||
	       route_history_names(b->history, b->now, service);
}

static bool is_named(const relay_balancer_t *b, const target_entry_t *e)
{
	return relay_claim_is_named(b, e->service);
}

static bool is_claim(const relay_member_t *m, const target_entry_t *e)
{
	return e->address.ip == m->agent && e->state != ENTRY_GONE;
}

static bool outranks(const relay_balancer_t *b, const relay_member_t *m,
		     const target_entry_t *e, const target_entry_t *than)
{
	bool named = is_named(b, e), spoken = true, than_spoken = true;

	if (named != is_named(b, than))
		return named;
	if (m->agent_service) {
		spoken = !strcmp(e->service, m->agent_service);
		than_spoken = !strcmp(than->service, m->agent_service);
	}
	if (spoken != than_spoken)
		return spoken;
	return store_revision_compare(e->revision, than->revision) > 0;
}

/* False for the entry of a service that is not named, at the address of a
 * target whose service is: only where to look is known from it. */
static bool may_take_place(const relay_balancer_t *b, const relay_member_t *m,
			   const target_entry_t *e)
{
	return !m->service || !strcmp(e->service, m->service) ||
	       is_named(b, e) || !relay_claim_is_named(b, m->service);
}

const target_entry_t *relay_claim_best(relay_balancer_t *b, relay_member_t *m)
{
	const target_entry_t *best = NULL;

	m->contested = false;
	list_each(node, directory_entries(b->directory))
	{
		const target_entry_t *e =
			list_entry(node, target_entry_t, node);

		if (!is_claim(m, e))
			continue;
		m->contested |= best && strcmp(best->service, e->service) != 0;
		if (!may_take_place(b, m, e)) {
			m->contested = true;
			continue;
		}
		if (!best || outranks(b, m, e, best))
			best = e;
	}
	return best;
}

/* An agent answers hellos for its own service only. */
static void ask_service(relay_balancer_t *b, const relay_member_t *m,
			const char *service)
{
	relay_msg_t msg;

	relay_msg_init(&msg, RELAY_HELLO);
	msg.service = (char *)service;
	counter_add(&b->counters, COUNTER_CONTROL_MESSAGES_OUT, 1);
	b->ops.send_message(b->ctx, m->agent, &msg);
}

void relay_claim_ask(relay_balancer_t *b, relay_member_t *m)
{
	if (!m->contested || b->now < m->claim_asked_ms + ASK_INTERVAL_MS)
		return;
	m->claim_asked_ms = b->now;
	list_each(node, directory_entries(b->directory))
	{
		const target_entry_t *e =
			list_entry(node, target_entry_t, node);

		if (is_claim(m, e) && is_named(b, e) &&
		    strcmp(e->service, m->service) != 0)
			ask_service(b, m, e->service);
	}
}
