#include "agent_int.h"
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define THOUSAND 1000.0
/* Doubted members told to a balancer. */
#define DOUBTED_MAX 8

static void take_packet(agent_t *a, uint64_t now, const endpoint_t *from,
			const packet_msg_t *msg);
static const class_t *class_of(const agent_t *a, const packet_t *p,
			       uint32_t *index);
static void handle(agent_t *a, uint64_t now, const arrival_t *in);

agent_t *agent_new(const agent_options_t *options, const agent_ops_t *ops,
		   void *ctx)
{
	agent_t *a = calloc(1, sizeof(*a));

	if (!a)
		return NULL;
	a->options = *options;
	a->ops = *ops;
	a->ctx = ctx;
	a->incarnation = options->incarnation;
	a->random = options->random_seed;
	list_init(&a->slot_waits);
	a->flows = flow_table_new(options->flows);
	if (!a->flows) {
		free(a);
		return NULL;
	}
	return a;
}

void agent_free(agent_t *a)
{
	if (!a)
		return;
	lookup_free(a);
	flow_table_free(a->flows);
	group_clear(&a->group);
	config_unref(a->config);
	config_unref(a->home);
	free(a->membership);
	free(a);
}

int agent_configure(agent_t *a, uint64_t now, config_t *config)
{
	const target_t *target = NULL;
	const service_t *service =
		config_target_by_name(config, a->options.target, &target);

	if (!a->started_ms)
		a->started_ms = now;
	config_ref(config);
	config_unref(a->config);
	a->config = config;
	a->configured = service != NULL;
	if (!service) {
		/* The group lives on as long as the service does. */
		service = a->service ? config_service(config, a->service->id)
				     : NULL;
		return service ? group_configure(&a->group, service, now) : 0;
	}
	if (a->service && a->service->id != service->id)
		group_clear(&a->group);
	config_ref(config);
	config_unref(a->home);
	a->home = config;
	a->service = service;
	a->target = target;
	if (a->capacity.slots != target->slots)
		capacity_init(&a->capacity, target->slots);
	return group_configure(&a->group, service, now);
}

void agent_audit(agent_t *a, const char *event, const char *detail)
{
	a->ops.audit(a->ctx, event, a->options.target, detail);
}

/* SplitMix64 from the seed that was handed in. */
uint64_t agent_random(agent_t *a)
{
	uint64_t x = a->random += 0x9e3779b97f4a7c15ULL;

	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
	return x ^ (x >> 31);
}

double agent_capacity(const agent_t *a)
{
	if (without(a->options.off, MECHANISM_LEARNING))
		return 0;
	return capacity_value(&a->capacity);
}

void agent_fill_load(agent_t *a, uint64_t now, load_msg_t *load)
{
	ct__load__init(load);
	load->target = a->target->id;
	load->incarnation = a->incarnation;
	load->state = MEMBER_ALIVE;
	if (a->leaving || !a->configured || a->target->state != TARGET_ACTIVE)
		load->state = MEMBER_LEAVING;
	load->work = a->work;
	load->capacity = (uint32_t)(agent_capacity(a) * THOUSAND);
	load->in_flight = a->in_flight;
	load->held = (uint32_t)flow_table_count(a->flows);
	load->speed = (uint32_t)(a->capacity.speed * THOUSAND);
	load->full = admit_full(a);
	load->sequence = now;
}

void agent_tell(agent_t *a, const arrival_t *in, bool refused, bool gone)
{
	uint32_t doubted[DOUBTED_MAX];
	held_msg_t msg;
	load_msg_t load;

	if (!in->reply.port)
		return;
	ct__held__init(&msg);
	msg.n_unreachable = group_doubted(&a->group, doubted, DOUBTED_MAX);
	msg.unreachable = doubted;
	agent_fill_load(a, a->last_tick_ms, &load);
	msg.service = a->service->id;
	msg.version = a->config->version;
	msg.digest = a->config->digest;
	msg.target = a->target->id;
	msg.src_ip = in->packet.key.src;
	msg.dst_ip = in->packet.key.dst;
	msg.src_port = in->packet.key.sport;
	msg.dst_port = in->packet.key.dport;
	msg.protocol = in->packet.key.proto;
	msg.refused = refused;
	msg.gone = gone;
	msg.load = &load;
	msg.agent_ip = a->options.self.ip;
	msg.agent_port = a->options.self.port;
	a->ops.send(a->ctx, &in->reply, MSG_HELD, &msg);
}

void agent_refuse(agent_t *a, const packet_t *p, refusal_t word)
{
	uint8_t buf[PACKET_MAX];
	char text[REFUSAL_TEXT];
	size_t len;

	if (without(a->options.off, MECHANISM_REFUSAL))
		return;
	refusal_format(word, RETRY_AFTER_S, text);
	len = packet_build_reset(p, text, buf);
	if (!len)
		return;
	counter_add(&a->counters, COUNTER_FLOWS_RESET, 1);
	a->ops.reply(a->ctx, buf, len);
}

static const class_t *class_of(const agent_t *a, const packet_t *p,
			       uint32_t *index)
{
	const service_t *s = a->service;

	if (s->address != p->key.dst)
		return NULL;
	for (size_t i = 0; i < s->nclasses; i++) {
		if (s->classes[i].port != p->key.dport ||
		    s->classes[i].proto != p->key.proto)
			continue;
		*index = (uint32_t)i;
		return &s->classes[i];
	}
	return NULL;
}

static void handle(agent_t *a, uint64_t now, const arrival_t *in)
{
	flow_t *f = flow_table_find(a->flows, &in->packet.key, in->hash);

	if (f && f->state == FLOW_CLOSING && packet_is_open(&in->packet) &&
	    f->caller_isn != in->packet.seq) {
		flow_forget(a, f);
		f = NULL;
	}
	if (f && f->state > FLOW_DENIED && flow_matches(a, f, &in->packet)) {
		if (in->step == STEP_OPEN || in->nasked || in->nunasked)
			agent_tell(a, in, false, false);
		flow_deliver(a, now, f, &in->packet);
		return;
	}
	if (in->step == STEP_OPEN)
		admit_open(a, now, in);
	else
		lookup_packet(a, now, in);
}

static void take_packet(agent_t *a, uint64_t now, const endpoint_t *from,
			const packet_msg_t *msg)
{
	arrival_t in = { .step = (packet_step_t)msg->step,
			 .reply = { msg->reply_ip, (uint16_t)msg->reply_port },
			 .asked = msg->asked,
			 .nasked = msg->n_asked,
			 .unasked = msg->unasked,
			 .nunasked = msg->n_unasked,
			 .candidates = msg->candidates,
			 .ncandidates = msg->n_candidates,
			 .last_resort = msg->last_resort };
	packet_status_t status;
	uint32_t index;

	counter_add(&a->counters, COUNTER_PACKETS_IN, 1);
	status = packet_parse(msg->inner.data, msg->inner.len, &in.packet);
	if (status != PACKET_OK) {
		counter_add(&a->counters,
			    (counter_t)(COUNTER_DROP_TRUNCATED + status - 1),
			    1);
		return;
	}
	if (!a->service) {
		counter_add(&a->counters, COUNTER_DROP_NO_CONFIG, 1);
		return;
	}
	if (msg->version > a->config->version)
		a->ops.behind(a->ctx, from, msg->version);
	if (!without(a->options.off, MECHANISM_SERVICE_CHECK) &&
	    (msg->service != a->service->id ||
	     !class_of(a, &in.packet, &index))) {
		counter_add(&a->counters, COUNTER_DROP_WRONG_SERVICE, 1);
		return;
	}
	if (msg->n_asked > a->group.n + a->service->ntargets) {
		counter_add(&a->counters, COUNTER_DROP_HOP_LIMIT, 1);
		return;
	}
	in.hash = flow_key_hash(&in.packet.key, a->options.rank_seed);
	handle(a, now, &in);
}

void agent_message(agent_t *a, uint64_t now, const endpoint_t *from,
		   msg_kind_t kind, const void *msg)
{
	switch (kind) {
	case MSG_PACKET:
		take_packet(a, now, from, msg);
		return;
	case MSG_DIGEST:
		membership_digest(a, now, from, msg);
		return;
	case MSG_PROBE:
		membership_probe(a, now, from, msg);
		return;
	default:
		counter_add(&a->counters, COUNTER_MESSAGE_UNEXPECTED, 1);
	}
}

void agent_tick(agent_t *a, uint64_t now)
{
	if (!a->service)
		return;
	flows_tick(a, now);
	membership_tick(a, now);
	a->last_tick_ms = now;
}

void agent_leave(agent_t *a, uint64_t now)
{
	if (a->leaving)
		return;
	a->leaving = true;
	agent_audit(a, "leaving", "takes no new flows");
	if (a->service)
		membership_leave(a, now);
}

size_t agent_held(const agent_t *a)
{
	return flow_table_count(a->flows);
}

uint32_t agent_in_flight(const agent_t *a)
{
	return a->in_flight;
}

uint32_t agent_work(const agent_t *a)
{
	return a->work;
}

bool agent_complete(const agent_t *a)
{
	return a->complete;
}

counters_t *agent_counters(agent_t *a)
{
	return &a->counters;
}

const group_t *agent_group(const agent_t *a)
{
	return &a->group;
}

char *agent_explain(agent_t *a, uint64_t now, const flow_key_t *key)
{
	uint64_t hash = flow_key_hash(key, a->options.rank_seed);
	flow_t *f = flow_table_find(a->flows, key, hash);

	if (!f)
		return g_strdup_printf("{\"target\":\"%s\",\"held\":false}",
				       a->options.target);
	return g_strdup_printf(
		"{\"target\":\"%s\",\"held\":true,\"state\":\"%s\","
		"\"since_ms\":%llu,\"request_open\":%s}",
		a->options.target, flow_state_name(f->state),
		(unsigned long long)(now - f->state_ms),
		f->request_open ? "true" : "false");
}
