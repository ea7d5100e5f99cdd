#include "relay_balancer_int.h"

static const route_service_t *limits_of(const relay_balancer_t *b,
					const relay_member_t *m)
{
	return b->routes ? route_table_service(b->routes, m->service) : NULL;
}

uint32_t relay_limits_warmup_left(const relay_balancer_t *b,
				  const relay_member_t *m)
{
	uint64_t end_ms = MAX(m->warmup_end_ms, m->assumed_warmup_end_ms);

	return end_ms > b->now ? (uint32_t)(end_ms - b->now) : 0;
}

/* The target may have become cold before its zone was taken back, and its entry
 * says so only with its next write. */
void relay_limits_assume_cold(relay_balancer_t *b, relay_member_t *m)
{
	const route_service_t *limits = limits_of(b, m);

	if (limits)
		m->assumed_warmup_end_ms = b->now + limits->warmup_ms;
}

void relay_limits_tell_warmup(const relay_balancer_t *b,
			      const relay_member_t *m, relay_msg_t *msg)
{
	const route_service_t *limits = limits_of(b, m);
	uint32_t left_ms = relay_limits_warmup_left(b, m);
	uint32_t opens;

	if (!limits || limits->warmup_per_s <= 0 ||
	    b->options.warmup_overage <= 0)
		return;
	opens = (uint32_t)(limits->warmup_per_s * b->options.warmup_overage +
			   b->options.warmup_slack);
	msg->start_cold_ms = limits->warmup_ms;
	msg->start_opens = MAX(1, opens);
	if (!left_ms)
		return;
	msg->cold_ms = left_ms;
	msg->warmup_opens = MAX(1, opens);
}

void relay_limits_tell_flows(const relay_balancer_t *b, const relay_member_t *m,
			     relay_msg_t *msg)
{
	const route_service_t *limits = limits_of(b, m);

	if (limits)
		msg->max_flows = limits->max_flows;
}
