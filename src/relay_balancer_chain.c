#include "relay_balancer_int.h"

/* Agents in a chain: each passes the packet to the next, so that a balancer
 * sends few messages. As many as an open is placed among. */
#define CHAIN_AGENTS PLACEMENT_CHOICES
/* Chains that go together, from one to the next time: nearly all flows are
 * found in the first chain, and all agents of a large group in a few steps. */
#define BATCH_GROWTH 4

typedef struct ask_accept {
	const relay_balancer_t *b;
	const relay_group_t *group;
	uint32_t not_at; /* known not to hold the flow */
} ask_accept_t;

static int to_be_asked(const void *ctx, uint32_t position);
static void list_service(relay_balancer_t *b, const flow_key_t *key,
			 relay_group_t *group, uint32_t not_at, GArray *list,
			 GArray *doubtful);
static void send_chain(relay_balancer_t *b, relay_lookup_t *l,
		       const relay_packet_t *p);

static int to_be_asked(const void *ctx, uint32_t position)
{
	const ask_accept_t *a = ctx;
	const relay_member_t *m =
		g_ptr_array_index(a->group->members, position);

	return m->agent != a->not_at && relay_member_answers(a->b, m);
}

/* Appends a service's agents as the flow ranks them, which is where its open
 * was placed; those that are doubtful to a list of their own. */
static void list_service(relay_balancer_t *b, const flow_key_t *key,
			 relay_group_t *group, uint32_t not_at, GArray *list,
			 GArray *doubtful)
{
	ask_accept_t accept = { b, group, not_at };
	uint32_t *order = g_new(uint32_t, group->members->len);
	size_t n = relay_group_rank(group, key, order, group->members->len,
				    to_be_asked, &accept);

	for (size_t i = 0; i < n; i++) {
		const relay_member_t *m =
			g_ptr_array_index(group->members, order[i]);

		g_array_append_val(relay_member_doubtful(b, m) ? doubtful
							       : list,
				   m->agent);
	}
	g_free(order);
}

GArray *relay_chain_list(relay_balancer_t *b, const route_t *route,
			 const flow_key_t *key, uint32_t not_at)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	GArray *doubtful = g_array_new(FALSE, FALSE, sizeof(uint32_t));

	for (size_t i = 0; i < route->nshares; i++) {
		relay_group_t *group = relay_group(
			b, g_intern_string(route->shares[i].service));

		if (group)
			list_service(b, key, group, not_at, list, doubtful);
	}
	g_array_append_vals(list, doubtful->data, doubtful->len);
	g_array_free(doubtful, TRUE);
	return list;
}

/* Sends a packet along a chain of agents that were not asked yet. */
static void send_chain(relay_balancer_t *b, relay_lookup_t *l,
		       const relay_packet_t *p)
{
	uint32_t agents[CHAIN_AGENTS];
	const relay_group_t *group = NULL;
	bool doubtful = false;
	relay_msg_t msg;
	size_t n = 0;

	l->chains++;
	while (l->next < l->pending->len && n < CHAIN_AGENTS && !doubtful) {
		lookup_asked_t a = {
			.agent = g_array_index(l->pending, uint32_t, l->next),
			.chain = l->chains,
		};
		const relay_member_t *m = relay_member(b, a.agent);

		doubtful = m && relay_member_doubtful(b, m);
		if (n && (!m || m->group != group || doubtful))
			break;
		l->next++;
		if (!m)
			continue;
		group = m->group;
		agents[n++] = a.agent;
		g_array_append_val(l->asked, a);
	}
	if (n == 0)
		return;
	relay_msg_init(&msg, RELAY_LOOKUP);
	msg.service = (char *)relay_member(b, agents[0])->service;
	msg.balancer = b->options.self;
	msg.packet.data = p->data;
	msg.packet.len = p->len;
	msg.candidates = agents + 1;
	msg.n_candidates = n - 1;
	msg.chain = l->chains;
	counter_add(&b->counters, COUNTER_CONTROL_MESSAGES_OUT, 1);
	b->ops.message(b->ctx, agents[0], &msg);
}

bool relay_chain_send(relay_balancer_t *b, relay_lookup_t *l)
{
	relay_packet_t p;

	if (l->next == l->pending->len ||
	    b->options.form->read(l->packet->data, l->packet->len, &p) < 0)
		return false;
	for (unsigned i = 0; i < l->batch && l->next < l->pending->len; i++)
		send_chain(b, l, &p);
	l->batch *= BATCH_GROWTH;
	l->asked_ms = b->now;
	return true;
}
