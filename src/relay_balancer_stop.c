#include "holder_evidence.h"
#include "relay_balancer_int.h"

/* Silence after which a stopped agent does not run: one that does answers the
 * hellos that it gets each 250 ms. */
#define AWAY_MS 500

void relay_member_note_held(relay_member_t *m, const relay_msg_t *msg)
{
	if (msg && msg->load->stopping && !msg->held_flows_complete)
		return; /* an answer, or the report of an agent that lists none
			 */
	if (m->held)
		g_array_free(m->held, TRUE);
	m->held = NULL;
	if (!msg || !msg->load->stopping)
		return;
	m->held = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	g_array_append_vals(m->held, msg->held_flows, (guint)msg->n_held_flows);
}

bool relay_member_listed(const relay_member_t *m, const flow_key_t *key)
{
	return m->held &&
	       holder_listed((const uint32_t *)(const void *)m->held->data,
			     m->held->len, key);
}

/* True when the member's agent has listed its flows without this one. */
static bool not_listed(const relay_member_t *m, const flow_key_t *key)
{
	return m->held && !relay_member_listed(m, key);
}

bool relay_member_left_without(const relay_balancer_t *b,
			       const relay_member_t *m, const flow_key_t *key)
{
	return m->state != ENTRY_READY &&
	       m->last_hello_ms > relay_member_heard_ms(b, m) &&
	       b->now >= relay_member_heard_ms(b, m) + AWAY_MS &&
	       not_listed(m, key);
}

bool relay_lookup_skip_stopped(relay_balancer_t *b, relay_flow_t *f)
{
	relay_lookup_t *l = f->lookup;
	bool any = false;

	for (guint i = 0; i < l->asked->len; i++) {
		lookup_agent_t *a = &g_array_index(l->asked, lookup_agent_t, i);
		const relay_member_t *m = relay_member_find(b, a->agent);

		if (a->answer != ANSWER_NONE || !m ||
		    b->now < b->resumed_ms + AWAY_MS ||
		    !not_listed(m, &f->node.key))
			continue;
		a->answer = ANSWER_NOT_HELD;
		any = true;
	}
	return any;
}
