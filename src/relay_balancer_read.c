#include "relay_balancer_int.h"

/* Shortest interval between requests for what the store has written last. It
 * doubles up to the longest while requests are due one after the other. */
#define READ_INTERVAL_MIN_MS 100
#define READ_INTERVAL_MAX_MS 200
/* Time after a request in which a look-up that begins is expected to need one,
 * too: after a loss of power hundreds end without a holder. */
#define READ_BURST_MS 1000

static void send_unrouted_reset(relay_balancer_t *b, const relay_packet_t *p);
static void handle_held(relay_balancer_t *b);

bool relay_read_since(relay_balancer_t *b, uint64_t since_ms)
{
	if (!b->ops.read_store || b->read_ms > since_ms)
		return true;
	if (b->read_wanted_ms < since_ms)
		b->read_wanted_ms = since_ms;
	return false;
}

void relay_read_expect(relay_balancer_t *b)
{
	if (b->read_asked_ms && b->now < b->read_asked_ms + READ_BURST_MS)
		relay_read_since(b, b->now);
}

/* Removes the packet's flow, and answers with a reset because no route leads
 * from its address and port, or none does any more. */
static void send_unrouted_reset(relay_balancer_t *b, const relay_packet_t *p)
{
	relay_flow_t *f = relay_flow_find(b, &p->key);
	uint8_t buf[RELAY_PACKET_MAX];
	char text[FLOW_TEXT_SIZE];

	counter_add(&b->counters, COUNTER_DROP_NO_SERVICE, 1);
	if (f)
		flow_index_remove(b->flows, &f->node);
	if (p->flags & RELAY_RST)
		return;
	event_log(EVENT_REFUSED,
		  "\"flow\":\"%s\",\"seq\":%u,\"why\":\"no route\","
		  "\"version\":%llu",
		  flow_key_format(&p->key, text), p->seq,
		  (unsigned long long)relay_balancer_route_version(b));
	b->ops.send_reply(b->ctx, p->key.src, buf,
			  b->options.format->build_reset(&p->key, p->ack, buf));
}

/*
 * True for the first copy of an open, whose flow can't be open yet, unless
 * changes of the store are to be read: its route may be among them.
 */
static bool may_refuse_at_once(const relay_balancer_t *b,
			       const relay_packet_t *p)
{
	return relay_packet_opens(p) && !p->open_age_ms &&
	       (!directory_store_answers(b->directory) ||
		(b->ops.store_watched && b->ops.store_watched(b->ctx)));
}

void relay_unrouted_packet(relay_balancer_t *b, const relay_packet_t *p,
			   uint64_t arrived_ms, uint32_t wait_ms)
{
	if (b->routes && route_table_skipped(b->routes)) {
		/* The route may be there, and could not be read. */
		counter_add(&b->counters, COUNTER_DROP_NO_SERVICE, 1);
		return;
	}
	if ((p->flags & RELAY_RST) || may_refuse_at_once(b, p) ||
	    relay_read_since(b, arrived_ms)) {
		send_unrouted_reset(b, p);
		return;
	}
	counter_add(&b->counters, COUNTER_PACKETS_HELD, b->now == arrived_ms);
	held_packets_add(b->held, arrived_ms, wait_ms, p->data, p->len);
}

/* Handles the held packets again. Those that still have no route and can't be
 * judged yet are held on. */
static void handle_held(relay_balancer_t *b)
{
	uint8_t buf[RELAY_PACKET_MAX];
	relay_packet_t p;
	uint64_t arrived_ms;
	uint32_t wait_ms;
	size_t len;

	for (size_t n = held_packets_count(b->held); n; n--) {
		len = held_packets_take(b->held, b->now, buf, sizeof(buf),
					&arrived_ms, &wait_ms);
		if (!len)
			return;
		if (b->options.format->read(buf, len, &p) == 0)
			relay_handle_routed(b, &p, arrived_ms, wait_ms);
	}
}

/* Ends the look-ups that only waited for the store. */
static void end_lookups(relay_balancer_t *b)
{
	list_each_safe(node, after, &b->waiting)
	{
		relay_flow_t *f = list_entry(node, relay_flow_t, waiting);

		if (f->phase == PHASE_LOOKUP && f->lookup->awaits_read)
			relay_lookup_store_read(b, f);
	}
}

void relay_balancer_store_read(relay_balancer_t *b, uint64_t now,
			       uint64_t asked_ms)
{
	b->now = now;
	if (asked_ms <= b->read_ms)
		return;
	b->read_ms = asked_ms;
	handle_held(b);
	end_lookups(b);
}

void relay_routes_changed(relay_balancer_t *b)
{
	handle_held(b);
}

/* Interval that follows a request. */
static uint64_t next_interval_ms(const relay_balancer_t *b)
{
	uint64_t doubled_ms = 2 * b->read_interval_ms;

	if (b->now > b->read_asked_ms + doubled_ms || !doubled_ms)
		return READ_INTERVAL_MIN_MS;
	return doubled_ms < READ_INTERVAL_MAX_MS ? doubled_ms
						 : READ_INTERVAL_MAX_MS;
}

void relay_read_tick(relay_balancer_t *b)
{
	if (!b->read_wanted_ms || b->read_ms > b->read_wanted_ms ||
	    b->now <= b->read_wanted_ms ||
	    b->now < b->read_asked_ms + b->read_interval_ms)
		return;
	b->read_interval_ms = next_interval_ms(b);
	b->read_asked_ms = b->now;
	counter_add(&b->counters, COUNTER_STORE_READS, 1);
	b->ops.read_store(b->ctx);
}
