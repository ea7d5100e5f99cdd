#include "holder_evidence.h"
#include "relay_balancer_int.h"

/* Silence after which a stopped agent does not run: one that does answers the
 * hellos that it gets each 250 ms. */
#define AWAY_MS 500
/* Age from which a list is of no use: no flow lives as long. */
#define LIST_EXPIRY_MS 70000
/* Most flows that are known from several lists of an agent. */
#define LISTED_FLOWS_MAX 512

static void discard(GArray **list)
{
	if (*list)
		g_array_free(*list, TRUE);
	*list = NULL;
}

static GArray *new_list(const uint32_t *hashes, size_t n)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(uint32_t));

	g_array_append_vals(list, hashes, (guint)n);
	return list;
}

/* Adds flows to a list, from which the first ones are removed if it grows too
 * long. */
static void add_flows(GArray *list, const uint32_t *hashes, size_t n)
{
	guint before = list->len;

	for (size_t i = 0; i < n; i++) {
		guint at = 0;

		while (at < before &&
		       g_array_index(list, uint32_t, at) != hashes[i])
			at++;
		if (at == before)
			g_array_append_val(list, hashes[i]);
	}
	if (list->len > LISTED_FLOWS_MAX)
		g_array_remove_range(list, 0, list->len - LISTED_FLOWS_MAX);
}

static bool contains(const GArray *list, const flow_key_t *key)
{
	return holder_listed((const uint32_t *)(const void *)list->data,
			     list->len, key);
}

void relay_member_note_held(const relay_balancer_t *b, relay_member_t *m,
			    const relay_msg_t *msg)
{
	bool stopping = msg && msg->load->stopping;

	if (stopping && !msg->held_flows_complete && !msg->n_held_flows)
		return; /* an answer, or the report of an agent that lists none
			 */
	discard(&m->held);
	if (!msg || msg->held_flows_complete)
		discard(&m->listed);
	if (!stopping)
		return;
	if (m->listed)
		add_flows(m->listed, msg->held_flows, msg->n_held_flows);
	else
		m->listed = new_list(msg->held_flows, msg->n_held_flows);
	m->listed_ms = b->now;
	if (msg->held_flows_complete)
		m->held = new_list(msg->held_flows, msg->n_held_flows);
}

bool relay_member_listed(const relay_balancer_t *b, const relay_member_t *m,
			 const flow_key_t *key)
{
	return m->listed && b->now < m->listed_ms + LIST_EXPIRY_MS &&
	       contains(m->listed, key);
}

const uint32_t *relay_balancer_listed(relay_balancer_t *b, uint32_t agent,
				      size_t *n, uint64_t *age_ms)
{
	const relay_member_t *m = relay_member_find(b, agent);

	if (!m || !m->listed || b->now >= m->listed_ms + LIST_EXPIRY_MS)
		return NULL;
	*n = m->listed->len;
	*age_ms = b->now - m->listed_ms;
	return (const uint32_t *)(const void *)m->listed->data;
}

void relay_balancer_set_listed(relay_balancer_t *b, uint32_t agent,
			       const uint32_t *hashes, size_t n,
			       uint64_t age_ms)
{
	relay_member_t *m = relay_member_find(b, agent);

	if (!m || m->listed || age_ms >= LIST_EXPIRY_MS || age_ms > b->now)
		return;
	m->listed = new_list(hashes, n);
	m->listed_ms = b->now - age_ms;
}

/* True when the member's agent has listed all its flows without this one. */
static bool not_listed(const relay_member_t *m, const flow_key_t *key)
{
	return m->held && !contains(m->held, key);
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
