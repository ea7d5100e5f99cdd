#include "relay_balancer_int.h"

/* Agents in a chain. Each passes the packet on to the next, so that the
 * balancer sends few messages. Opens are placed among as many members, so the
 * first chain finds nearly all flows. */
#define CHAIN_AGENTS PLACEMENT_CHOICES
/* Factor by which the number of chains grows from one batch to the next. The
 * first batch is a single chain, and a few batches reach all agents of a large
 * group. */
#define BATCH_GROWTH 4

typedef struct chain_filter {
	const relay_balancer_t *b;
	const relay_group_t *group;
	const flow_key_t *key;
	GHashTable *asked; /* addresses of agents to leave out */
} chain_filter_t;

static int may_hold_flow(const void *ctx, uint32_t position);
static void append_service_agents(relay_balancer_t *b, const flow_key_t *key,
				  relay_group_t *group, GHashTable *asked,
				  relay_lookup_t *l, GArray *suspect);
static void send_chain(relay_balancer_t *b, relay_lookup_t *l,
		       const relay_packet_t *p, bool trial);

static int may_hold_flow(const void *ctx, uint32_t position)
{
	const chain_filter_t *a = ctx;
	const relay_member_t *m =
		g_ptr_array_index(a->group->members, position);

	return !g_hash_table_contains(a->asked, GUINT_TO_POINTER(m->agent)) &&
	       relay_member_may_hold_flows(a->b, m) &&
	       !relay_member_left_without(a->b, m, a->key);
}

/* Appends the agents of a service in the order of their ranks for the flow,
 * since the open was placed among the first ranks. An agent that stops and has
 * listed the flow goes first: its server holds it, and others would only let
 * their servers try the packet. Other suspect agents are appended to a separate
 * list. */
static void append_service_agents(relay_balancer_t *b, const flow_key_t *key,
				  relay_group_t *group, GHashTable *asked,
				  relay_lookup_t *l, GArray *suspect)
{
	chain_filter_t filter = { b, group, key, asked };
	uint32_t *order = g_new(uint32_t, group->members->len);
	size_t n = relay_group_rank(group, key, order, group->members->len,
				    may_hold_flow, &filter);

	for (size_t i = 0; i < n; i++) {
		const relay_member_t *m =
			g_ptr_array_index(group->members, order[i]);

		if (!l->listed && relay_member_listed(b, m, key)) {
			l->listed = m->agent;
			g_array_insert_val(l->pending, l->next, m->agent);
		} else {
			g_array_append_val(relay_member_suspect(b, m)
						   ? suspect
						   : l->pending,
					   m->agent);
		}
	}
	g_free(order);
}

/* Appends the agents of services, apart from those that were asked already. */
static void append_services(relay_balancer_t *b, const flow_key_t *key,
			    relay_lookup_t *l, const GPtrArray *services)
{
	GArray *suspect = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	GHashTable *asked = g_hash_table_new(NULL, NULL);

	for (guint i = 0; i < l->asked->len; i++)
		g_hash_table_add(
			asked, GUINT_TO_POINTER(g_array_index(l->asked,
							      lookup_agent_t, i)
							.agent));
	for (guint i = 0; i < services->len; i++) {
		gpointer service = g_ptr_array_index(services, i);
		relay_group_t *group = relay_group_find(b, service);

		if (!group || g_ptr_array_find(l->services, service, NULL))
			continue;
		g_ptr_array_add(l->services, service);
		append_service_agents(b, key, group, asked, l, suspect);
	}
	g_array_append_vals(l->pending, suspect->data, suspect->len);
	g_array_free(suspect, TRUE);
	g_hash_table_destroy(asked);
}

/* Adds the services of the route in force. */
static void add_present(const relay_balancer_t *b, const flow_key_t *key,
			GPtrArray *services)
{
	const route_t *route = route_find(b->routes, key->dst, key->dport);

	for (size_t i = 0; route && i < route->nshares; i++)
		g_ptr_array_add(services, (gpointer)g_intern_string(
						  route->shares[i].service));
}

/* Adds all services that have members. */
static void add_all(const relay_balancer_t *b, GPtrArray *services)
{
	GHashTableIter iter;
	gpointer service;

	g_hash_table_iter_init(&iter, b->groups);
	while (g_hash_table_iter_next(&iter, &service, NULL))
		g_ptr_array_add(services, service);
}

/*
 * True when no other service than those of the route and its history can hold
 * a flow: all versions of the last flow's life were seen, and no newer one can
 * be in force elsewhere unseen.
 */
static bool knows_former_services(const relay_balancer_t *b)
{
	return route_history_complete(b->history, b->now) &&
	       directory_store_answers(b->directory);
}

/* Appends the agents of the next scopes until there are any. */
static void widen(relay_balancer_t *b, const flow_key_t *key, relay_lookup_t *l)
{
	GPtrArray *services = g_ptr_array_new();

	while (l->next == l->pending->len && l->scope != SCOPE_ALL) {
		if (l->scope == SCOPE_FORMER && knows_former_services(b))
			break;
		if (l->scope == SCOPE_PRESENT &&
		    !relay_mechanism_on(RELAY_ROUTE_HISTORY))
			break;
		l->scope++;
		g_ptr_array_set_size(services, 0);
		if (l->scope == SCOPE_PRESENT)
			add_present(b, key, services);
		else if (l->scope == SCOPE_FORMER)
			route_history_find(b->history, b->now, key->dst,
					   key->dport, services);
		else
			add_all(b, services);
		append_services(b, key, l, services);
	}
	g_ptr_array_free(services, TRUE);
}

bool relay_chain_widen(relay_balancer_t *b, const flow_key_t *key,
		       relay_lookup_t *l)
{
	widen(b, key, l);
	if (l->next == l->pending->len && l->generation != b->generation) {
		l->generation = b->generation;
		l->scope = SCOPE_NONE;
		g_ptr_array_set_size(l->services, 0);
		widen(b, key, l);
	}
	return l->next < l->pending->len;
}

/* Numbers the next chain of a look-up. No other chain of the balancer has the
 * number, also of earlier look-ups of the flow: an agent that did not run for a
 * while may still pass on the packet of one that ended long ago. */
static void number_chain(relay_balancer_t *b, relay_lookup_t *l)
{
	if (++b->last_chain == 0)
		b->last_chain = 1;
	l->chain = b->last_chain;
}

/* Sends a packet along the look-up's newest chain, which has n agents; trial:
 * the servers of unsure agents try it. */
static void send_lookup(relay_balancer_t *b, const relay_lookup_t *l,
			const relay_packet_t *p, uint32_t *agents, size_t n,
			bool trial)
{
	relay_msg_t msg;

	relay_msg_init(&msg, RELAY_LOOKUP);
	msg.service = (char *)relay_member_find(b, agents[0])->service;
	msg.balancer = b->options.self;
	msg.packet.data = p->data;
	msg.packet.len = p->len;
	msg.candidates = agents + 1;
	msg.n_candidates = n - 1;
	msg.chain = l->chain;
	msg.known_only = !trial;
	counter_add(&b->counters, COUNTER_CONTROL_MESSAGES_OUT, 1);
	b->ops.send_message(b->ctx, agents[0], &msg);
}

/*
 * Sends a packet along a chain of the next pending agents. A chain has agents
 * of one service only; a suspect agent is in a chain without others.
 */
static void send_chain(relay_balancer_t *b, relay_lookup_t *l,
		       const relay_packet_t *p, bool trial)
{
	uint32_t agents[CHAIN_AGENTS];
	const relay_group_t *group = NULL;
	bool suspect = false;
	size_t n = 0;

	number_chain(b, l);
	while (l->next < l->pending->len && n < CHAIN_AGENTS && !suspect) {
		lookup_agent_t a = {
			.agent = g_array_index(l->pending, uint32_t, l->next),
			.chain = l->chain,
			.trial = trial,
		};
		const relay_member_t *m = relay_member_find(b, a.agent);

		suspect = m && relay_member_suspect(b, m);
		if (n && (!m || m->group != group || suspect))
			break;
		l->next++;
		if (!m)
			continue;
		group = m->group;
		agents[n++] = a.agent;
		g_array_append_val(l->asked, a);
	}
	if (n > 0)
		send_lookup(b, l, p, agents, n, trial);
}

void relay_chain_send_single(relay_balancer_t *b, relay_lookup_t *l,
			     const relay_member_t *m)
{
	uint32_t agent = m->agent;
	relay_packet_t p;

	if (b->options.format->read(l->packet->data, l->packet->len, &p) < 0)
		return;
	number_chain(b, l);
	send_lookup(b, l, &p, &agent, 1, true);
}

/* Puts an agent that was asked into the newest chain. */
static void ask_again(relay_lookup_t *l, uint32_t agent)
{
	for (guint i = 0; i < l->asked->len; i++) {
		lookup_agent_t *a = &g_array_index(l->asked, lookup_agent_t, i);

		if (a->agent != agent)
			continue;
		a->answer = ANSWER_NONE;
		a->chain = l->chain;
		a->trial = true;
	}
}

bool relay_chain_send_again(relay_balancer_t *b, relay_lookup_t *l,
			    const GArray *agents)
{
	uint32_t chosen[CHAIN_AGENTS];
	const relay_group_t *group = NULL;
	relay_packet_t p;
	size_t n = 0;

	if (b->options.format->read(l->packet->data, l->packet->len, &p) < 0)
		return false;
	for (guint i = 0; i < agents->len && n < CHAIN_AGENTS; i++) {
		uint32_t agent = g_array_index(agents, uint32_t, i);
		const relay_member_t *m = relay_member_find(b, agent);

		if (!m || (n && m->group != group))
			continue;
		group = m->group;
		chosen[n++] = agent;
	}
	if (n == 0)
		return false;
	number_chain(b, l);
	for (size_t i = 0; i < n; i++)
		ask_again(l, chosen[i]);
	send_lookup(b, l, &p, chosen, n, true);
	l->last_sent_ms = b->now;
	return true;
}

/* True when each agent that was asked has answered. */
static bool all_answered(const relay_lookup_t *l)
{
	for (guint i = 0; i < l->asked->len; i++)
		if (g_array_index(l->asked, lookup_agent_t, i).answer ==
		    ANSWER_NONE)
			return false;
	return true;
}

/*
 * True when servers try the packet in a chain, the i-th of the next batch.
 * While an agent has not answered, it may be that of the flow, and other
 * servers would get the packet before and after its own. Only the first chains
 * of the first two batches are tried: an open that skipped agents which were
 * stopping is among their members, and hardly any is behind them.
 */
static bool is_tried(const relay_lookup_t *l, const relay_packet_t *p,
		     unsigned i, bool answered)
{
	return answered && relay_packet_wants_answer(p) &&
	       (i == 0 || l->batch > BATCH_GROWTH);
}

bool relay_chain_send_batch(relay_balancer_t *b, relay_lookup_t *l)
{
	bool answered = all_answered(l);
	relay_packet_t p;

	if (l->next == l->pending->len ||
	    b->options.format->read(l->packet->data, l->packet->len, &p) < 0)
		return false;
	for (unsigned i = 0; i < l->batch && l->next < l->pending->len; i++)
		send_chain(b, l, &p, is_tried(l, &p, i, answered));
	l->batch *= BATCH_GROWTH;
	l->last_sent_ms = b->now;
	return true;
}
