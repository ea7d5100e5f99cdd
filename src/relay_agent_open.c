#include "relay_agent_int.h"
#include <string.h>

/* Time after which an open that the server has not answered counts as
 * unanswered and is offered to the next candidate. A running server answers
 * within a few milliseconds, but the host may have to wait for its processor
 * quota. */
#define OPEN_ANSWER_MS 60
/* Time for which an open counts as load while its first request is due. The
 * request follows after a round trip to the caller. */
#define FIRST_REQUEST_MS 60

/* Part of an objective that waiting and serving may take; the rest covers the
 * ways to the caller and the spread of service times. */
#define OBJECTIVE_SHARE 0.85

static admission_t admit(const relay_agent_t *a, const relay_msg_t *msg);
static bool forward_offer(relay_agent_t *a, const relay_msg_t *offer,
			  uint64_t sent_ms);
static void send_refused(relay_agent_t *a, uint32_t balancer,
			 const flow_key_t *key);
static void deliver_open(relay_agent_t *a, server_flow_t *f);
static bool queue_open(relay_agent_t *a, server_flow_t *f, uint32_t wait_ms,
		       const relay_msg_t *msg);

/* Expected response time of one more request. */
static double response_ms(const relay_agent_t *a)
{
	return placement_response_ms(a->in_flight + a->nawaiting_request,
				     a->slots, relay_health_service_ms(a));
}

static admission_t admit(const relay_agent_t *a, const relay_msg_t *msg)
{
	uint32_t in_flight = a->in_flight + a->nawaiting_request;
	uint32_t allowed = relay_agent_requests_allowed(a);

	if (strcmp(msg->service, a->options.service) != 0 || a->evacuated ||
	    (a->stopping && relay_mechanism_on(RELAY_STOP_REFUSAL)))
		return msg->n_candidates ? ADMISSION_FORWARD : ADMISSION_REFUSE;
	if (relay_agent_warmup_full(a) || relay_agent_flows_full(a))
		return msg->n_candidates ? ADMISSION_FORWARD : ADMISSION_REFUSE;
	/* A stalled server gets one open at a time, which shows whether it
	 * answers again. */
	if (relay_server_stalled_ms(a) && list_empty(&a->opening))
		return ADMISSION_ACCEPT;
	if (msg->n_candidates && allowed < a->slots && in_flight >= allowed)
		return ADMISSION_FORWARD;
	/* An open that no other candidate takes may use any free slot. */
	return placement_admit(response_ms(a), in_flight < a->slots,
			       msg->n_candidate_ms ? msg->candidate_ms[0] : 0,
			       msg->max_wait_ms);
}

/* True when an open that is not accepted may wait here. */
static bool may_queue(const relay_agent_t *a, const relay_msg_t *msg)
{
	return msg->queue_ms && relay_mechanism_on(RELAY_OPEN_QUEUE) &&
	       !a->stopping && !a->evacuated && !a->down &&
	       !relay_agent_flows_full(a) &&
	       !strcmp(msg->service, a->options.service);
}

/* Earliest time at which the caller may have sent the first copy of an offered
 * open. */
static uint64_t open_sent_ms(const relay_agent_t *a, const relay_msg_t *offer,
			     const relay_packet_t *p, uint32_t wait_ms)
{
	return a->now - wait_ms - MAX(p->open_age_ms, offer->open_age_ms);
}

/* True when the caller has given up an open. */
static bool is_given_up(const relay_agent_t *a, uint64_t sent_ms)
{
	return a->now >= sent_ms + RELAY_OPEN_LIFE_MS;
}

/* Offers an open to the next candidate. Returns false when none is left, or the
 * caller has given up. */
static bool forward_offer(relay_agent_t *a, const relay_msg_t *offer,
			  uint64_t sent_ms)
{
	relay_msg_t msg;
	char agent[ENDPOINT_TEXT_SIZE];

	if (offer->n_candidates == 0 || is_given_up(a, sent_ms))
		return false;
	relay_msg_init(&msg, RELAY_OFFER);
	msg.service = offer->service;
	msg.balancer = offer->balancer;
	msg.packet = offer->packet;
	msg.candidates = offer->candidates + 1;
	msg.n_candidates = offer->n_candidates - 1;
	if (offer->n_candidate_ms == offer->n_candidates) {
		msg.candidate_ms = offer->candidate_ms + 1;
		msg.n_candidate_ms = offer->n_candidate_ms - 1;
	}
	msg.max_wait_ms = offer->max_wait_ms;
	msg.typical_us = offer->typical_us;
	msg.open_age_ms = (uint32_t)(a->now - sent_ms);
	counter_add(&a->counters, COUNTER_OPENS_PASSED, 1);
	event_log(EVENT_PASSED,
		  "\"to\":\"%s\",\"in_flight\":%u,\"slots\":%u,\"down\":%s",
		  ipv4_format(offer->candidates[0], agent), a->in_flight,
		  a->slots, a->down ? "true" : "false");
	a->ops.send_message(a->ctx, offer->candidates[0], &msg);
	return true;
}

static void send_refused(relay_agent_t *a, uint32_t balancer,
			 const flow_key_t *key)
{
	char text[FLOW_TEXT_SIZE];

	counter_add(&a->counters, COUNTER_OPENS_REFUSED, 1);
	event_log(EVENT_REFUSED,
		  "\"flow\":\"%s\",\"in_flight\":%u,\"slots\":%u,"
		  "\"queued\":%u,\"late_limit\":%u,\"stopping\":%s",
		  flow_key_format(key, text), a->in_flight, a->slots,
		  a->queue.n, (unsigned)a->queue.late_limit,
		  a->stopping ? "true" : "false");
	relay_agent_send(a, balancer, RELAY_REFUSED, key);
}

/* True for a copy of the flow's open. An agent that has restarted may know the
 * flow by other packets only: the caller sent the open before these. */
static bool is_copy(const server_flow_t *f, const relay_packet_t *p,
		    uint64_t sent_ms)
{
	return f->syn_len ? f->caller_isn == p->seq
			  : sent_ms < f->node.added_ms;
}

/* True when no server ran when the open was delivered: one that has started
 * since takes a copy of it, which counts. */
static bool may_have_missed(const relay_agent_t *a, const server_flow_t *f)
{
	return a->refused_ms > a->last_heard_ms ||
	       f->opened_ms < a->server_started_ms;
}

/* Handles the offer of a copy of the open. Returns false when the open is to be
 * handled like the first copy. */
static bool copy_offered(relay_agent_t *a, server_flow_t *f,
			 const relay_msg_t *msg, relay_packet_t *p)
{
	if (f->refused) {
		/* The offer was sent before the refusal arrived. */
		send_refused(a, msg->balancer, &p->key);
		return true;
	}
	switch (f->phase) {
	case SERVER_FLOW_OPEN:
		f->balancer = msg->balancer;
		server_flow_deliver(a, f, p);
		relay_agent_send_holder(a, msg->balancer, RELAY_TAKEN, f);
		return true;
	case SERVER_FLOW_OPENING:
		/* Delivered already: it can't be refused any more. */
		f->balancer = msg->balancer;
		if (may_have_missed(a, f)) {
			if (relay_agent_warmup_full(a))
				return true;
			warmup_limit_add(&a->warmup, a->now);
		}
		server_flow_deliver(a, f, p);
		return true;
	case SERVER_FLOW_QUEUED:
		f->balancer = msg->balancer;
		relay_agent_send(a, msg->balancer, RELAY_QUEUED, &p->key);
		return true;
	case SERVER_FLOW_VERIFYING:
		/* The server answers if it holds the flow. */
		server_flow_deliver(a, f, p);
		return true;
	case SERVER_FLOW_ENDED:
		/* No server need open the flow again. */
		relay_agent_send_holder(a, msg->balancer, RELAY_TAKEN, f);
		return true;
	default:
		return false;
	}
}

void relay_agent_offer(relay_agent_t *a, uint32_t from, uint32_t wait_ms,
		       const relay_msg_t *msg)
{
	relay_packet_t p;
	server_flow_t *f;
	admission_t admission;
	uint64_t sent_ms;
	size_t n;

	if (a->options.format->read(msg->packet.data, msg->packet.len, &p) <
		    0 ||
	    p.len > sizeof(f->syn)) {
		counter_add(&a->counters, COUNTER_DROP_TRUNCATED, 1);
		return;
	}
	counter_add(&a->counters, COUNTER_OPENS, 1);
	relay_agent_evacuation(a, from, msg->evacuation);
	relay_agent_note_limits(a, msg);
	if (msg->slots)
		a->slots = msg->slots;
	if (msg->typical_us && relay_mechanism_on(RELAY_TYPICAL_TIME))
		a->group_service_ms = msg->typical_us / 1000.0;
	sent_ms = open_sent_ms(a, msg, &p, wait_ms);
	if (is_given_up(a, sent_ms)) {
		counter_add(&a->counters, COUNTER_OPENS_STALE, 1);
		return;
	}
	f = (server_flow_t *)flow_index_find(a->flows, &p.key);
	if (f && is_copy(f, &p, sent_ms) && copy_offered(a, f, msg, &p))
		return;
	admission = admit(a, msg);
	if (a->evacuated)
		relay_agent_evacuated_open(a, from, msg->balancer);
	else if (relay_agent_warmup_full(a) || relay_agent_flows_full(a))
		counter_add(&a->counters, COUNTER_OPENS_LIMITED, 1);
	if (admission != ADMISSION_ACCEPT && !may_queue(a, msg)) {
		if (!forward_offer(a, msg, sent_ms))
			send_refused(a, msg->balancer, &p.key);
		return;
	}
	if (f)
		server_flow_remove(a, f);
	f = server_flow_find_or_add(a, &p.key);
	if (!f) {
		if (!forward_offer(a, msg, sent_ms))
			send_refused(a, msg->balancer, &p.key);
		return;
	}
	n = msg->n_candidates < CANDIDATES_MAX ? msg->n_candidates
					       : CANDIDATES_MAX;
	f->caller_isn = p.seq;
	f->sent_ms = sent_ms;
	f->balancer = msg->balancer;
	f->ncandidates = n;
	f->nunsure = 0;
	f->max_wait_ms = msg->max_wait_ms;
	if (n)
		memcpy(f->candidates, msg->candidates,
		       n * sizeof(f->candidates[0]));
	memcpy(f->syn, p.data, p.len);
	f->syn_len = (uint8_t)p.len;
	if (admission == ADMISSION_ACCEPT)
		deliver_open(a, f);
	else if (!queue_open(a, f, wait_ms, msg))
		server_flow_remove(a, f);
}

/* Delivers the open to the server. */
static void deliver_open(relay_agent_t *a, server_flow_t *f)
{
	relay_packet_t p;

	if (a->options.format->read(f->syn, f->syn_len, &p) < 0)
		return;
	f->opened_ms = a->now;
	warmup_limit_add(&a->warmup, a->now);
	server_flow_set_phase(a, f, SERVER_FLOW_OPENING);
	server_flow_await_request(a, f, true);
	server_flow_deliver(a, f, &p);
}

/* Time from which an open with this objective left would be answered late. */
static uint64_t late_ms(const relay_agent_t *a, uint32_t objective_ms)
{
	double left =
		objective_ms * OBJECTIVE_SHARE -
		placement_response_ms(0, a->slots, relay_health_service_ms(a));

	if (!objective_ms)
		return UINT64_MAX;
	return left > 0 ? a->now + (uint64_t)left : a->now;
}

/* Puts the open into the queue, or refuses it when the queue is full. */
static bool queue_open(relay_agent_t *a, server_flow_t *f, uint32_t wait_ms,
		       const relay_msg_t *msg)
{
	char text[FLOW_TEXT_SIZE];

	open_queue_set_rate(&a->queue, a->slots, relay_health_service_ms(a));
	f->wait.since_ms = a->now;
	f->wait.give_up_ms =
		a->now +
		(msg->queue_ms > wait_ms ? msg->queue_ms - wait_ms : 0);
	f->wait.max_wait_ms = msg->max_wait_ms;
	f->wait.late_ms = late_ms(a, msg->objective_ms);
	f->wait.priority = msg->priority_percent;
	if (!open_queue_add(&a->queue, &f->wait)) {
		send_refused(a, f->balancer, &f->node.key);
		return false;
	}
	server_flow_set_phase(a, f, SERVER_FLOW_QUEUED);
	counter_add(&a->counters, COUNTER_OPENS_QUEUED, 1);
	event_log(EVENT_QUEUED,
		  "\"flow\":\"%s\",\"in_flight\":%u,\"slots\":%u,"
		  "\"queued\":%u,\"late_limit\":%u,\"objective_ms\":%u,"
		  "\"within_ms\":%u",
		  flow_key_format(&f->node.key, text), a->in_flight, a->slots,
		  a->queue.n, (unsigned)a->queue.late_limit, msg->objective_ms,
		  msg->queue_ms);
	relay_agent_send(a, f->balancer, RELAY_QUEUED, &f->node.key);
	return true;
}

static server_flow_t *flow_of(open_wait_t *w)
{
	return list_entry(w, server_flow_t, wait);
}

void relay_agent_serve_queue(relay_agent_t *a)
{
	open_wait_t *w;

	while (a->queue.n && !relay_agent_warmup_full(a)) {
		bool slot_free = a->in_flight + a->nawaiting_request < a->slots;
		server_flow_t *f;

		w = open_queue_next(&a->queue, a->now, response_ms(a),
				    slot_free);
		if (!w)
			return;
		f = flow_of(w);
		histogram_add(&a->queue_ms, a->now - w->since_ms);
		flow_index_touch(a->flows, &f->node, a->now);
		deliver_open(a, f);
	}
}

void relay_agent_expire_queue(relay_agent_t *a)
{
	bool ended = a->stopping || a->evacuated || a->down;
	open_wait_t *w;

	while ((w = ended ? open_queue_pop(&a->queue)
			  : open_queue_expired(&a->queue, a->now))) {
		server_flow_t *f = flow_of(w);

		counter_add(&a->counters, COUNTER_OPENS_QUEUED_IN_VAIN, 1);
		send_refused(a, f->balancer, &f->node.key);
		f->refused = true;
	}
}

void relay_agent_forward_open(relay_agent_t *a, server_flow_t *f, bool returned)
{
	relay_msg_t offer;
	bool forwarded;

	relay_msg_init(&offer, RELAY_OFFER);
	offer.service = (char *)a->options.service;
	offer.balancer = f->balancer;
	offer.packet.data = f->syn;
	offer.packet.len = f->syn_len;
	offer.candidates = f->candidates;
	offer.n_candidates = f->ncandidates;
	offer.max_wait_ms = f->max_wait_ms;
	forwarded = forward_offer(a, &offer, f->sent_ms);
	f->ncandidates = 0;
	/* An open that the server did not return may still be accepted: it is
	 * not refused. */
	if (!forwarded && returned)
		send_refused(a, f->balancer, &f->node.key);
	if (returned)
		server_flow_remove(a, f);
}

void relay_agent_open_tick(relay_agent_t *a)
{
	list_each_safe(node, after, &a->awaiting_request)
	{
		server_flow_t *f =
			list_entry(node, server_flow_t, awaiting_request);

		if (a->now < f->opened_ms + FIRST_REQUEST_MS)
			break;
		server_flow_await_request(a, f, false);
	}
	list_each_safe(node, after, &a->opening)
	{
		server_flow_t *f = list_entry(node, server_flow_t, opening);

		if (a->now < f->opened_ms + OPEN_ANSWER_MS)
			return;
		if (f->ncandidates)
			relay_agent_forward_open(a, f, false);
		if (!f->server_isn_known && f->phase == SERVER_FLOW_OPENING)
			relay_server_open_unanswered(a, f);
		/* A late answer is still accepted: the phase stays. */
		list_remove(&f->opening);
	}
}
