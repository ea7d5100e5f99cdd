#include "relay_balancer_int.h"
#include <string.h>

/* Interval of hellos to an agent whose load report disagrees, while the change
 * is new: the hello, or its answer, was lost. */
#define TELL_RETRY_MS 500
#define TELL_NEW_MS   5000
/* Interval of hellos to the agents of an evacuated zone: one that has restarted
 * knows nothing of it. Agents forget an evacuation that no balancer has
 * confirmed for five of these. */
#define TELL_REFRESH_MS 4000

void relay_evacuation_update(relay_balancer_t *b, relay_member_t *m)
{
	m->evacuated = evacuations_active(b->evacuations, m->zone);
}

void relay_evacuation_changed(void *ctx, const evacuation_t *e)
{
	relay_balancer_t *b = ctx;
	unsigned n = 0;

	list_each(node, &b->members)
	{
		relay_member_t *m = list_entry(node, relay_member_t, node);

		if (strcmp(m->zone, e->zone) != 0)
			continue;
		relay_evacuation_update(b, m);
		if (!e->active)
			relay_limits_assume_cold(b, m);
		if (m->state == ENTRY_GONE)
			continue;
		n++;
		relay_member_hello(b, m);
	}
	event_log(EVENT_ZONE,
		  "\"zone\":\"%s\",\"state\":\"%s\",\"era\":%llu,"
		  "\"revision\":%llu,\"targets\":%u",
		  e->zone, e->active ? "evacuated" : "taken back",
		  (unsigned long long)e->revision.era,
		  (unsigned long long)e->revision.number, n);
}

relay_evacuation_t *relay_evacuation_tell(const relay_balancer_t *b,
					  const relay_member_t *m,
					  relay_evacuation_t *out)
{
	const evacuation_t *e = evacuations_find(b->evacuations, m->zone);
	store_revision_t revision =
		e ? e->revision : evacuations_revision(b->evacuations);

	if (!e && !m->report.evacuated)
		return NULL;
	ct__relay__evacuation__init(out);
	out->active = m->evacuated;
	out->era = revision.era;
	out->revision = revision.number;
	return out;
}

bool relay_evacuation_hello_due(const relay_balancer_t *b,
				const relay_member_t *m)
{
	const evacuation_t *e = evacuations_find(b->evacuations, m->zone);
	bool agrees = m->evacuated == m->report.evacuated;
	bool retry = !agrees && e && b->now < e->since_ms + TELL_NEW_MS;

	if (agrees && !m->evacuated)
		return false;
	return b->now >=
	       m->last_hello_ms + (retry ? TELL_RETRY_MS : TELL_REFRESH_MS);
}
