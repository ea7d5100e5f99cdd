#include "relay_agent_int.h"

/* A flow without packets for this time is no longer held by a server: the
 * platform's default of the time after which idle flows are discarded. */
#define HELD_IDLE_MS 15000

static void set_cold(relay_agent_t *a, uint32_t opens, uint32_t left_ms,
		     const char *why)
{
	bool warm = !warmup_limit_is_cold(&a->warmup, a->now);

	warmup_limit_set(&a->warmup, a->now, opens, left_ms);
	if (warm && warmup_limit_is_cold(&a->warmup, a->now))
		event_log(EVENT_SERVER,
			  "\"state\":\"cold\",\"opens_per_s\":%u,"
			  "\"left_ms\":%u,\"why\":\"%s\"",
			  opens, left_ms, why);
}

void relay_agent_note_limits(relay_agent_t *a, const relay_msg_t *msg)
{
	if (msg->max_flows)
		a->max_flows = msg->max_flows;
	if (msg->start_cold_ms) {
		a->start_cold_ms = msg->start_cold_ms;
		a->start_opens = msg->start_opens;
	}
	if (msg->warmup_opens)
		set_cold(a, msg->warmup_opens, msg->cold_ms, "entry");
}

void relay_agent_server_started(relay_agent_t *a)
{
	a->server_started_ms = a->now;
	if (a->start_cold_ms)
		set_cold(a, a->start_opens, a->start_cold_ms, "started");
}

/* Number of flows that the server holds. */
static uint32_t held_flows(const relay_agent_t *a)
{
	uint32_t n = 0;

	list_each(node, flow_index_lru(a->flows))
	{
		flow_node_t *f = list_entry(node, flow_node_t, lru);

		n += ((server_flow_t *)f)->phase == SERVER_FLOW_OPEN &&
		     a->now < f->last_used_ms + HELD_IDLE_MS;
	}
	return n;
}

bool relay_agent_flows_full(const relay_agent_t *a)
{
	return a->max_flows && flow_index_count(a->flows) >= a->max_flows &&
	       held_flows(a) >= a->max_flows;
}

bool relay_agent_warmup_full(const relay_agent_t *a)
{
	return !warmup_limit_has_room(&a->warmup, a->now);
}
