#include "relay_balancer_int.h"
#include <stdlib.h>
#include <string.h>

/* A balancer that did not run for this time has not heard what agents sent
 * meanwhile. */
#define PAUSE_MS 200
/* A flow is removed from the index this long after its last packet. If more
 * packets arrive after that, the flow is looked up. */
#define FLOW_IDLE_MS 30000
/* Longest life of a flow. The platform discards flows after a minute. */
#define FLOW_LIFETIME_MS 70000
/* Most opens that are kept until the routes are known. */
#define EARLY_OPENS_MAX 1000
/* Most packets that are held until their route is known. */
#define HELD_PACKETS_MAX 64
/* The first acknowledgement that a balancer sees is at most this many bytes
 * beyond the server's initial sequence number. */
#define FIRST_ACK_SLACK 76800
/* Interval at which idle flows are removed. Closed flows stay until they are
 * idle, so that late packets still reach the agent. */
#define SWEEP_INTERVAL_MS 1000
/* Interval between checks for the end of grace periods of the directory's
 * entries. */
#define DIRECTORY_INTERVAL_MS 200

static void flow_free(flow_node_t *node);
static void on_entry(void *ctx, const target_entry_t *entry);

static void flow_free(flow_node_t *node)
{
	relay_flow_t *f = (relay_flow_t *)node;

	list_remove(&f->waiting);
	relay_lookup_free(f->lookup);
	free(f);
}

static void on_entry(void *ctx, const target_entry_t *entry)
{
	relay_member_update(ctx, entry);
}

static bool names_service(void *ctx, const char *service)
{
	return relay_claim_is_named(ctx, service);
}

relay_balancer_t *relay_balancer_new(const relay_balancer_options_t *options,
				     const relay_balancer_ops_t *ops, void *ctx)
{
	static const directory_ops_t directory_ops = { on_entry,
						       names_service };
	relay_balancer_t *b = calloc(1, sizeof(*b));

	if (!b)
		return NULL;
	b->options = *options;
	b->ops = *ops;
	b->ctx = ctx;
	b->now = options->now;
	b->last_chain = options->first_chain;
	list_init(&b->members);
	list_init(&b->waiting);
	b->by_agent = g_hash_table_new(NULL, NULL);
	b->groups = relay_groups_new();
	b->zones = relay_zones_new();
	b->flows = flow_index_new(options->max_flows, flow_free);
	b->history = route_history_new(FLOW_LIFETIME_MS);
	b->directory =
		directory_new(options->target_expiry_ms, &directory_ops, b);
	b->evacuations = evacuations_new(relay_evacuation_changed, b);
	b->early = early_opens_new(EARLY_OPENS_MAX);
	b->held = held_packets_new(HELD_PACKETS_MAX);
	if (!b->flows || !b->directory || !b->evacuations || !b->history ||
	    !b->early || !b->held) {
		relay_balancer_free(b);
		return NULL;
	}
	if (options->first_start)
		route_history_set_seen_ms(b->history, 0, UINT64_MAX);
	return b;
}

void relay_balancer_free(relay_balancer_t *b)
{
	if (!b)
		return;
	flow_index_free(b->flows);
	early_opens_free(b->early);
	held_packets_free(b->held);
	directory_free(b->directory);
	evacuations_free(b->evacuations);
	list_each_safe(node, after, &b->members)
	{
		relay_member_t *m = list_entry(node, relay_member_t, node);

		relay_member_note_held(b, m, NULL);
		free(m);
	}
	g_hash_table_destroy(b->by_agent);
	g_hash_table_destroy(b->groups);
	g_hash_table_destroy(b->zones);
	route_table_unref(b->routes);
	route_history_free(b->history);
	free(b);
}

void relay_balancer_set_routes(relay_balancer_t *b, route_table_t *routes)
{
	uint64_t version = route_table_version(routes);

	if (version <= relay_balancer_route_version(b)) {
		counter_add(&b->counters, COUNTER_CONFIG_REFUSED,
			    version < relay_balancer_route_version(b));
		route_table_unref(routes);
		return;
	}
	event_log(EVENT_ROUTES,
		  "\"version\":%llu,\"before\":%llu,\"routes\":%zu",
		  (unsigned long long)version,
		  (unsigned long long)relay_balancer_route_version(b),
		  route_table_count(routes));
	/* A listing tells the newest version only. */
	route_history_replace(b->history, b->now, b->routes, routes,
			      directory_listing(b->directory));
	route_table_unref(b->routes);
	b->routes = routes;
	b->generation++;
	counter_add(&b->counters, COUNTER_CONFIG_ACCEPTED, 1);
	relay_members_settle(b);
	relay_routes_changed(b);
}

uint64_t relay_balancer_route_version(const relay_balancer_t *b)
{
	return b->routes ? route_table_version(b->routes) : 0;
}

const route_table_t *relay_balancer_route_table(const relay_balancer_t *b)
{
	return b->routes;
}

route_history_t *relay_balancer_route_history(relay_balancer_t *b)
{
	return b->history;
}

directory_t *relay_balancer_directory(relay_balancer_t *b)
{
	return b->directory;
}

evacuations_t *relay_balancer_evacuations(relay_balancer_t *b)
{
	return b->evacuations;
}

counters_t *relay_balancer_counters(relay_balancer_t *b)
{
	return &b->counters;
}

const histogram_t *relay_balancer_open_ms(const relay_balancer_t *b)
{
	return &b->open_ms;
}

size_t relay_balancer_flow_count(const relay_balancer_t *b)
{
	return flow_index_count(b->flows);
}

relay_flow_t *relay_flow_find(relay_balancer_t *b, const flow_key_t *key)
{
	return (relay_flow_t *)flow_index_find(b->flows, key);
}

relay_flow_t *relay_flow_get(relay_balancer_t *b, const flow_key_t *key)
{
	relay_flow_t *f = relay_flow_find(b, key);

	if (f) {
		flow_index_touch(b->flows, &f->node, b->now);
		return f;
	}
	f = calloc(1, sizeof(*f));
	if (!f)
		return NULL;
	f->node.key = *key;
	list_init(&f->waiting);
	flow_index_add(b->flows, &f->node, b->now);
	return f;
}

void relay_flow_set_phase(relay_balancer_t *b, relay_flow_t *f,
			  relay_phase_t phase)
{
	f->phase = phase;
	list_remove(&f->waiting);
	if (phase == PHASE_OPENING || phase == PHASE_LOOKUP)
		list_append(&b->waiting, &f->waiting);
}

void relay_flow_set_holder(relay_balancer_t *b, relay_flow_t *f, uint32_t agent,
			   const char *service)
{
	f->agent = agent;
	f->held_ms = b->now;
	f->confirmed = false;
	if (service[0]) {
		f->service = g_intern_string(service);
		f->tag = service_tag(service);
	}
	relay_flow_set_phase(b, f, PHASE_KNOWN);
	if (f->lookup)
		relay_lookup_found(b, f);
}

void relay_flow_reset(relay_balancer_t *b, relay_flow_t *f, const char *why)
{
	uint8_t buf[RELAY_PACKET_MAX];
	char text[FLOW_TEXT_SIZE], agent[ENDPOINT_TEXT_SIZE];
	size_t len =
		b->options.format->build_reset(&f->node.key, f->acked, buf);

	event_log(EVENT_RESET,
		  "\"flow\":\"%s\",\"seq\":%u,\"agent\":\"%s\",\"why\":\"%s\","
		  "\"offers\":%u,\"version\":%llu",
		  flow_key_format(&f->node.key, text), f->seq,
		  ipv4_format(f->agent, agent), why, f->offers,
		  (unsigned long long)relay_balancer_route_version(b));
	counter_add(&b->counters, COUNTER_FLOWS_RESET, 1);
	b->ops.send_reply(b->ctx, f->node.key.src, buf, len);
	flow_index_remove(b->flows, &f->node);
}

void relay_flow_note_ack(relay_flow_t *f, uint32_t ack)
{
	if (f->server_isn && ack - f->server_isn <= FIRST_ACK_SLACK)
		f->confirmed = true;
}

static void note_ack(relay_flow_t *f, uint32_t ack)
{
	f->ack = ack;
	f->acked = relay_highest_ack(f->acked, ack);
}

void relay_flow_send(relay_balancer_t *b, const relay_flow_t *f,
		     relay_packet_t *p, uint8_t mark)
{
	b->options.format->annotate(p, mark, f->tag);
	counter_add(&b->counters, COUNTER_PACKETS_OUT, 1);
	b->ops.send_packet(b->ctx, f->agent, p->data, p->len);
}

void relay_handle_routed(relay_balancer_t *b, relay_packet_t *p,
			 uint64_t arrived_ms, uint32_t wait_ms)
{
	const route_t *route = route_find(b->routes, p->key.dst, p->key.dport);
	relay_flow_t *f;

	if (relay_packet_opens(p)) {
		p->open_age_ms += (uint32_t)(b->now - arrived_ms) + wait_ms;
		if (relay_open_is_stale(b, p))
			return;
	}
	if (!route) {
		relay_unrouted_packet(b, p, arrived_ms, wait_ms);
		return;
	}
	if (relay_packet_opens(p)) {
		relay_open_packet(b, route, p);
		return;
	}
	f = relay_flow_get(b, &p->key);
	if (!f)
		return;
	if (p->flags & RELAY_ACK)
		note_ack(f, p->ack);
	if (f->agent == 0 || f->phase == PHASE_LOOKUP) {
		relay_lookup_packet(b, f, p, 0);
		return;
	}
	if (p->flags & RELAY_ACK)
		relay_flow_note_ack(f, p->ack);
	if (!relay_detour_packet(b, route, f, p))
		return;
	relay_flow_send(b, f, p, 0);
	if (p->flags & (RELAY_FIN | RELAY_RST))
		relay_flow_set_phase(b, f, PHASE_CLOSING);
}

void relay_balancer_handle_packet(relay_balancer_t *b, uint64_t now,
				  uint8_t *buf, size_t len)
{
	relay_balancer_handle_waited(b, now, 0, buf, len);
}

void relay_balancer_handle_waited(relay_balancer_t *b, uint64_t now,
				  uint32_t wait_ms, uint8_t *buf, size_t len)
{
	relay_packet_t p;

	b->now = now;
	if (!relay_mechanism_on(RELAY_SOCKET_WAITS))
		wait_ms = 0;
	counter_add(&b->counters, COUNTER_PACKETS_IN, 1);
	if (b->options.format->read(buf, len, &p) < 0) {
		counter_add(&b->counters, COUNTER_DROP_TRUNCATED, 1);
		return;
	}
	if (!b->routes && (!relay_packet_opens(&p) ||
			   !relay_mechanism_on(RELAY_EARLY_OPENS))) {
		counter_add(&b->counters, COUNTER_DROP_NO_CONFIG, 1);
		return;
	}
	if (!b->routes) {
		counter_add(&b->counters, COUNTER_OPENS_EARLY, 1);
		early_opens_add(b->early, now - wait_ms, &p.key, buf, len);
		return;
	}
	relay_handle_routed(b, &p, now, wait_ms);
}

/* Handles the opens that arrived before the routes. */
static void handle_early_opens(relay_balancer_t *b)
{
	uint8_t buf[EARLY_OPEN_SIZE];
	relay_packet_t p;
	uint64_t waited_ms;
	unsigned n = 0;
	size_t len;

	while ((len = early_opens_take(b->early, b->now, buf, &waited_ms))) {
		/* A later copy may have come after the routes. */
		if (b->options.format->read(buf, len, &p) < 0 ||
		    relay_flow_find(b, &p.key) ||
		    p.open_age_ms + waited_ms > EARLY_OPEN_MS)
			continue;
		n++;
		relay_handle_routed(b, &p, b->now, (uint32_t)waited_ms);
	}
	event_log(EVENT_ROUTES, "\"early_opens\":%u", n);
}

/* An agent returned a packet because its server does not hold the flow. */
static void on_given_back(relay_balancer_t *b, uint32_t from,
			  const relay_msg_t *msg)
{
	relay_packet_t p;
	const route_t *route;
	relay_flow_t *f;
	char text[FLOW_TEXT_SIZE], agent[ENDPOINT_TEXT_SIZE];

	if (b->options.format->read(msg->packet.data, msg->packet.len, &p) <
		    0 ||
	    !b->routes)
		return;
	route = route_find(b->routes, p.key.dst, p.key.dport);
	f = route ? relay_flow_get(b, &p.key) : NULL;
	if (!f)
		return;
	event_log(EVENT_GIVEN_BACK, "\"flow\":\"%s\",\"agent\":\"%s\"",
		  flow_key_format(&p.key, text), ipv4_format(from, agent));
	if (p.flags & RELAY_ACK)
		note_ack(f, p.ack);
	if (f->agent == from && f->phase != PHASE_LOOKUP)
		f->agent = 0;
	if (f->agent && f->phase != PHASE_LOOKUP) {
		/* Another holder has been found meanwhile. */
		relay_flow_send(b, f, &p, 0);
		return;
	}
	relay_lookup_packet(b, f, &p, from);
}

void relay_balancer_handle_message(relay_balancer_t *b, uint64_t now,
				   uint32_t from, const relay_msg_t *msg)
{
	relay_member_t *m = relay_member_find(b, from);

	b->now = now;
	counter_add(&b->counters, COUNTER_MESSAGES_IN, 1);
	if (m)
		relay_member_on_message(b, m, msg);
	if (!b->routes)
		relay_learn_message(b, from, msg);
	switch (msg->kind) {
	case RELAY_TAKEN:
		relay_open_taken(b, from, msg);
		break;
	case RELAY_REFUSED:
		relay_open_refused(b, from, msg);
		break;
	case RELAY_QUEUED:
		relay_open_queued(b, from, msg);
		break;
	case RELAY_HELD:
	case RELAY_NOT_HELD:
	case RELAY_UNSURE:
		relay_lookup_answer(b, from, msg);
		break;
	case RELAY_GIVEN_BACK:
		on_given_back(b, from, msg);
		break;
	case RELAY_LOAD:
		break;
	default:
		counter_add(&b->counters, COUNTER_MESSAGE_UNEXPECTED, 1);
	}
}

/*
 * Returns true if time-outs must wait for the next tick. When a tick is late
 * because the process got no CPU time, answers may still be unread in the
 * socket; they must be read before missing answers count as time-outs.
 */
static bool skip_late_tick(relay_balancer_t *b)
{
	bool late = b->last_tick_ms &&
		    b->now > b->last_tick_ms + 2 * RELAY_BALANCER_TICK_MS;

	if (late && b->now > b->last_tick_ms + PAUSE_MS)
		relay_members_resume(b);
	b->last_tick_ms = b->now;
	if (!late || b->late) {
		b->late = false;
		return false;
	}
	b->late = true;
	return true;
}

static void check_timeouts(relay_balancer_t *b)
{
	list_each_safe(node, after, &b->waiting)
	{
		relay_flow_t *f = list_entry(node, relay_flow_t, waiting);

		if (f->phase == PHASE_OPENING)
			relay_open_tick(b, f);
		else
			relay_lookup_tick(b, f);
	}
	relay_members_tick(b);
	relay_zones_tick(b);
}

void relay_balancer_tick(relay_balancer_t *b, uint64_t now)
{
	b->now = now;
	if (!skip_late_tick(b))
		check_timeouts(b);
	relay_read_tick(b);
	if (!early_opens_empty(b->early) && b->routes &&
	    !list_empty(&b->members))
		handle_early_opens(b);
	if (now >= b->directory_ticked_ms + DIRECTORY_INTERVAL_MS) {
		b->directory_ticked_ms = now;
		directory_tick(b->directory, now);
	}
	if (now < b->last_sweep_ms + SWEEP_INTERVAL_MS)
		return;
	b->last_sweep_ms = now;
	evacuations_tick(b->evacuations, now);
	if (now > FLOW_IDLE_MS)
		flow_index_expire(b->flows, now - FLOW_IDLE_MS);
}
