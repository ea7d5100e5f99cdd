#include "relay_agent_int.h"

/* Time without a word on an evacuation after which it no longer counts: five
 * hellos of each balancer. */
#define EVACUATION_EXPIRY_MS 20000

static void set_evacuated(relay_agent_t *a, bool evacuated, const char *why,
			  uint32_t from)
{
	char text[ENDPOINT_TEXT_SIZE];

	if (a->evacuated == evacuated)
		return;
	a->evacuated = evacuated;
	event_log(EVENT_ZONE,
		  "\"state\":\"%s\",\"why\":\"%s\",\"from\":\"%s\","
		  "\"era\":%llu,\"revision\":%llu,\"queued\":%u,\"flows\":%u",
		  evacuated ? "evacuated" : "taken back", why,
		  ipv4_format(from, text),
		  (unsigned long long)a->evacuation_revision.era,
		  (unsigned long long)a->evacuation_revision.number, a->queue.n,
		  a->active_flows);
	if (evacuated)
		relay_agent_expire_queue(a);
}

void relay_agent_evacuation(relay_agent_t *a, uint32_t from,
			    const relay_evacuation_t *notice)
{
	store_revision_t revision;

	if (!notice)
		return;
	revision = (store_revision_t){ notice->era, notice->revision };
	if (store_revision_compare(revision, a->evacuation_revision) < 0)
		return;
	a->evacuation_revision = revision;
	a->evacuation_heard_ms = a->now;
	set_evacuated(a, notice->active, "message from a balancer", from);
}

void relay_agent_evacuated_open(relay_agent_t *a, uint32_t from,
				uint32_t balancer)
{
	char sender[ENDPOINT_TEXT_SIZE], text[ENDPOINT_TEXT_SIZE];

	counter_add(&a->counters, COUNTER_OPENS_EVACUATED, 1);
	event_log(EVENT_ZONE,
		  "\"state\":\"open turned down\",\"from\":\"%s\","
		  "\"balancer\":\"%s\"",
		  ipv4_format(from, sender), ipv4_format(balancer, text));
}

void relay_agent_evacuation_tick(relay_agent_t *a)
{
	if (a->evacuated &&
	    a->now >= a->evacuation_heard_ms + EVACUATION_EXPIRY_MS)
		set_evacuated(a, false, "not confirmed", 0);
}
