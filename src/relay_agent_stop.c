#include "holder_evidence.h"
#include "relay_agent_int.h"

/* Most flows that a report lists; an agent with more lists none. */
#define LISTED_FLOWS_MAX 256

void relay_agent_no_server(relay_agent_t *a, uint64_t now)
{
	if (a->last_heard_ms)
		return;
	a->now = now;
	a->no_server = true;
	a->options.knows_all_flows = true;
	event_log(EVENT_SERVER, "\"state\":\"does not run yet\"");
	/* Packets that were to be tried were lost. */
	list_each_safe(node, after, flow_index_lru(a->flows))
	{
		flow_node_t *n = list_entry(node, flow_node_t, lru);
		server_flow_t *f = (server_flow_t *)n;

		if (f->phase == SERVER_FLOW_VERIFYING)
			server_flow_remove(a, f);
	}
}

uint32_t *relay_agent_list_flows(const relay_agent_t *a, relay_msg_t *msg)
{
	bool complete = a->options.knows_all_flows;
	uint32_t *hashes;
	size_t n = 0;

	if (!a->stopping || !relay_mechanism_on(RELAY_STOP_LISTS))
		return NULL;
	hashes = g_new(uint32_t, LISTED_FLOWS_MAX);
	list_each(node, flow_index_lru(a->flows))
	{
		const flow_node_t *at = list_entry(node, flow_node_t, lru);
		const server_flow_t *f = (const server_flow_t *)at;

		if (f->phase == SERVER_FLOW_ENDED ||
		    f->phase == SERVER_FLOW_QUEUED ||
		    f->phase == SERVER_FLOW_RETURNED ||
		    (!complete && !f->confirmed && !f->caller_acked))
			continue;
		if (n == LISTED_FLOWS_MAX) {
			g_free(hashes);
			return NULL;
		}
		hashes[n++] = holder_list_hash(&f->node.key);
	}
	msg->held_flows = hashes;
	msg->n_held_flows = n;
	msg->held_flows_complete = complete;
	return hashes;
}
