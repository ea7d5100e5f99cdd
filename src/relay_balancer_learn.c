#include "relay_balancer_int.h"

/*
 * Load pattern: many balancers restart at once while the store does not answer,
 * and the peers named in their settings have restarted, too, or are beyond a
 * cut. Other balancers know the routes, but not that they are missed; requests
 * wait for their deadlines until the store is back.
 *
 * Agents that kept running go on sending load reports to the balancers that
 * were there before. A balancer without routes asks the sender which other
 * balancers it has heard from, and these for their state.
 */

/* Interval between questions to agents: another balancer answers within a few
 * round trips. */
#define ASK_INTERVAL_MS 100

void relay_learn_message(relay_balancer_t *b, uint32_t from,
			 const relay_msg_t *msg)
{
	relay_msg_t question;

	if (!b->ops.ask_balancer || !relay_mechanism_on(RELAY_LEARNING))
		return;
	for (size_t i = 0; i < msg->n_balancers; i++)
		if (msg->balancers[i] != b->options.self)
			b->ops.ask_balancer(b->ctx, msg->balancers[i]);
	if (msg->kind != RELAY_LOAD || msg->n_balancers ||
	    b->now < b->asked_agent_ms + ASK_INTERVAL_MS)
		return;
	b->asked_agent_ms = b->now;
	relay_msg_init(&question, RELAY_HELLO);
	question.asks_balancers = true;
	counter_add(&b->counters, COUNTER_CONTROL_MESSAGES_OUT, 1);
	b->ops.send_message(b->ctx, from, &question);
}
