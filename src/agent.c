#include "agent_int.h"
#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* Capacity and speed are sent in thousandths. */
#define LOAD_UNIT 1000.0
/* Bytes counted for a hint to a balancer: MSG_HELD or MSG_DIGEST. */
#define HINT_BYTES 160
/* Rate limit of hints, in bytes per second. */
#define HINT_BYTES_PER_S 1000
/* Most hints in a burst, in bytes. */
#define HINT_BURST_BYTES 16000

static void receive_packet(agent_t *a, uint64_t now, const endpoint_t *from,
			   const packet_msg_t *msg);
static bool answer_finished_open(agent_t *a, const fwd_packet_t *in,
				 const flow_t *f);
static bool offer_repeated_syn(agent_t *a, uint64_t now, const fwd_packet_t *in,
			       flow_t *f);
static void receive_digest(agent_t *a, uint64_t now, const endpoint_t *from,
			   const digest_msg_t *msg);
static const class_t *find_class(const agent_t *a, const packet_t *p,
				 uint32_t *index);

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
	list_init(&a->slot_queue);
	a->flows = flow_table_new(options->flows);
	a->hint_credit = HINT_BURST_BYTES;
	a->unresolved = unresolved_new();
	a->witness = witness_new();
	a->notifier = notifier_new();
	if (!a->flows || !a->unresolved || !a->witness || !a->notifier) {
		agent_free(a);
		return NULL;
	}
	return a;
}

void agent_free(agent_t *a)
{
	if (!a)
		return;
	unresolved_free(a->unresolved);
	wire_arena_clear(&a->arena);
	flow_table_free(a->flows);
	witness_free(a->witness);
	free(a->notifier);
	group_clear(&a->group);
	config_unref(a->config);
	config_unref(a->service_config);
	free(a->probe);
	free(a);
}

bool agent_find_service(agent_t *a, uint64_t now, uint64_t id, uint32_t address)
{
	const service_t *found = NULL;

	if (a->service)
		return true;
	for (size_t i = 0; a->config && i < a->config->nservices; i++) {
		const service_t *s = &a->config->services[i];

		if (s->id == id || s->address == address)
			found = s;
	}
	if (!found || group_configure(&a->group, found, now) < 0)
		return false;
	config_unref(a->service_config);
	a->service_config = config_ref(a->config);
	a->service = found;
	a->target = &a->unconfigured_target;
	memcpy(a->unconfigured_target.name, a->options.target,
	       sizeof(a->unconfigured_target.name));
	a->unconfigured_target.id =
		(uint32_t)config_name_hash(a->options.target);
	a->unconfigured_target.agent = a->options.self;
	a->unconfigured_target.state = TARGET_DRAINING;
	agent_audit(a, "home-found", found->name);
	return true;
}

int agent_configure(agent_t *a, uint64_t now, config_t *config)
{
	const target_t *target = NULL;
	const service_t *service =
		config_target_by_name(config, a->options.target, &target);

	if (!a->started_ms) {
		a->started_ms = now;
		a->verifies_unknown = true;
		a->verify_until_ms = now + VERIFY_UNKNOWN_MS;
	}
	config_ref(config);
	config_unref(a->config);
	a->config = config;
	a->configured = service != NULL;
	if (!service) {
		/* Our target was removed: keep the service's group up to date.
		 */
		service = a->service
				  ? config_service_by_id(config, a->service->id)
				  : NULL;
		return service ? group_configure(&a->group, service, now) : 0;
	}
	if (a->service && a->service->id != service->id)
		group_clear(&a->group);
	config_ref(config);
	config_unref(a->service_config);
	a->service_config = config;
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

/* SplitMix64 generator, seeded with options.random_seed. */
uint64_t agent_random(agent_t *a)
{
	uint64_t x = a->random += 0x9e3779b97f4a7c15ULL;

	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
	return x ^ (x >> 31);
}

double agent_capacity(const agent_t *a)
{
	if (mechanism_disabled(a->options.off, MECHANISM_LEARNING))
		return 0;
	return capacity_estimate(&a->capacity);
}

void agent_fill_load(agent_t *a, uint64_t now, load_msg_t *load)
{
	ct__load__init(load);
	load->target = a->target->id;
	load->incarnation = a->incarnation;
	load->state = MEMBER_ALIVE;
	if (a->leaving || !a->configured || a->target->state != TARGET_ACTIVE)
		load->state = MEMBER_LEAVING;
	if (!a->configured && a->held == 0 && !a->verifies_unknown)
		load->state = MEMBER_LEFT;
	load->work = a->work;
	load->capacity = (uint32_t)(agent_capacity(a) * LOAD_UNIT);
	load->in_flight = a->in_flight;
	load->held = a->held;
	load->speed = (uint32_t)(a->capacity.speed * LOAD_UNIT);
	load->full = admit_full(a) || a->server_down;
	load->sequence = now;
}

void agent_send_held(agent_t *a, const fwd_packet_t *in, bool refused,
		     bool gone)
{
	held_msg_t msg;
	load_msg_t load;

	if (!in->reply.port)
		return;
	ct__held__init(&msg);
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

void agent_refuse(agent_t *a, const packet_t *p, refusal_t reason)
{
	uint8_t buf[PACKET_MAX];
	char text[REFUSAL_TEXT_MAX];
	size_t len;

	if (mechanism_disabled(a->options.off, MECHANISM_REFUSAL))
		return;
	refusal_format(reason, RETRY_AFTER_S, text);
	len = packet_build_reset(p, text, buf);
	if (!len)
		return;
	counter_add(&a->counters, COUNTER_FLOWS_RESET, 1);
	a->ops.reply(a->ctx, buf, len);
}

static const class_t *find_class(const agent_t *a, const packet_t *p,
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

bool hint_allowed(agent_t *a, uint64_t now)
{
	uint64_t earned = (now - a->hint_credit_ms) * HINT_BYTES_PER_S / 1000;

	if (earned) {
		a->hint_credit_ms = now;
		a->hint_credit =
			earned > HINT_BURST_BYTES - (uint64_t)a->hint_credit
				? HINT_BURST_BYTES
				: a->hint_credit + (int32_t)earned;
	}
	if (a->hint_credit < HINT_BYTES) {
		counter_add(&a->counters, COUNTER_HINTS_WITHHELD, 1);
		return false;
	}
	a->hint_credit -= HINT_BYTES;
	return true;
}

/*
 * Answers a copy of a SYN whose flow is closed or lost to another member.
 * Returns false when the packet is something else.
 */
static bool answer_finished_open(agent_t *a, const fwd_packet_t *in,
				 const flow_t *f)
{
	if (f->key.proto != PROTO_TCP || f->caller_isn != in->packet.seq ||
	    (f->state != FLOW_CLOSING && f->state != FLOW_LOST))
		return false;
	if (f->caller_reset)
		agent_refuse(a, &in->packet, flow_refusal(f));
	agent_send_held(a, in, true, false);
	return true;
}

/*
 * Offers the open to another member once SYN_REPEATS copies of a SYN that our
 * server answered have arrived: our SYN-ACKs may not reach the caller, those of
 * another host may. Returns true when the open was offered.
 */
static bool offer_repeated_syn(agent_t *a, uint64_t now, const fwd_packet_t *in,
			       flow_t *f)
{
	if (f->state != FLOW_HALF_OPEN || f->caller_isn != in->packet.seq ||
	    in->packet.payload_len || ++f->attempts < SYN_REPEATS)
		return false;
	if (!offer_elsewhere(a, now, in))
		return false;
	flow_reset_server(a, f);
	flow_set_state(a, f, now, FLOW_LOST);
	return true;
}

void agent_handle_packet(agent_t *a, uint64_t now, const fwd_packet_t *in)
{
	flow_t *f = flow_table_find(a->flows, &in->packet.key, in->hash);

	if (f && packet_is_open(&in->packet) && answer_finished_open(a, in, f))
		return;
	if (f && f->state == FLOW_CLOSING) {
		if (packet_is_open(&in->packet)) {
			flow_remove(a, f);
			f = NULL;
		} else if (f->caller_reset) {
			agent_refuse(a, &in->packet, flow_refusal(f));
			return;
		}
	}
	if (f && packet_is_open(&in->packet) &&
	    offer_repeated_syn(a, now, in, f))
		return;
	if (f && f->state > FLOW_DENIED && flow_matches(a, f, &in->packet)) {
		if (in->step == STEP_OPEN)
			agent_send_held(a, in, false, false);
		else if (in->only_you || (in->nasked && hint_allowed(a, now)))
			agent_send_held(a, in, false, false);
		flow_deliver(a, now, f, &in->packet);
		return;
	}
	if (in->step == STEP_OPEN)
		admit_open(a, now, in);
	else
		lookup_packet(a, now, in);
}

int fwd_packet_parse(agent_t *a, const packet_msg_t *msg, fwd_packet_t *in)
{
	packet_status_t status;

	*in = (fwd_packet_t){
		.version = msg->version,
		.step = (packet_step_t)msg->step,
		.reply = { msg->reply_ip, (uint16_t)msg->reply_port },
		.asked = msg->asked,
		.nasked = msg->n_asked,
		.unasked = msg->unasked,
		.nunasked = msg->n_unasked,
		.known = msg->known,
		.known_agents = msg->known_agents,
		.nknown = msg->n_known,
		.candidates = msg->candidates,
		.ncandidates = msg->n_candidates,
		.last_resort = msg->last_resort,
		.mixed = msg->mixed,
		.silence_over = msg->silence_over,
		.untried = msg->untried,
		.ask_servers = msg->ask_servers,
		.only_you = msg->only_you,
	};
	if (in->nknown > msg->n_known_agents)
		in->nknown = msg->n_known_agents;
	status = packet_parse(msg->inner.data, msg->inner.len, &in->packet);
	if (status != PACKET_OK) {
		counter_add(&a->counters,
			    (counter_t)(COUNTER_DROP_TRUNCATED + status - 1),
			    1);
		return -1;
	}
	in->hash = flow_key_hash(&in->packet.key, a->options.rank_seed);
	return 0;
}

void fwd_packet_message(const fwd_packet_t *in, packet_msg_t *msg)
{
	ct__packet__init(msg);
	msg->version = in->version;
	msg->step = in->step;
	msg->reply_ip = in->reply.ip;
	msg->reply_port = in->reply.port;
	msg->asked = (uint32_t *)in->asked;
	msg->n_asked = in->nasked;
	msg->unasked = (uint32_t *)in->unasked;
	msg->n_unasked = in->nunasked;
	msg->known = (uint32_t *)in->known;
	msg->n_known = in->nknown;
	msg->known_agents = (uint64_t *)in->known_agents;
	msg->n_known_agents = in->nknown;
	msg->candidates = (uint32_t *)in->candidates;
	msg->n_candidates = in->ncandidates;
	msg->last_resort = in->last_resort;
	msg->mixed = in->mixed;
	msg->silence_over = in->silence_over;
	msg->untried = in->untried;
	msg->ask_servers = in->ask_servers;
	msg->only_you = in->only_you;
	msg->inner.data = (uint8_t *)in->packet.data;
	msg->inner.len = in->packet.len;
}

static void receive_packet(agent_t *a, uint64_t now, const endpoint_t *from,
			   const packet_msg_t *msg)
{
	fwd_packet_t in;
	uint32_t index;

	counter_add(&a->counters, COUNTER_PACKETS_IN, 1);
	if (fwd_packet_parse(a, msg, &in) < 0)
		return;
	if (!agent_find_service(a, now, msg->service, in.packet.key.dst)) {
		counter_add(&a->counters, COUNTER_DROP_NO_CONFIG, 1);
		return;
	}
	if (msg->version > a->config->version)
		a->ops.newer_version(a->ctx, from, msg->version);
	if (!mechanism_disabled(a->options.off, MECHANISM_SERVICE_CHECK) &&
	    (msg->service != a->service->id ||
	     !find_class(a, &in.packet, &index))) {
		counter_add(&a->counters, COUNTER_DROP_WRONG_SERVICE, 1);
		return;
	}
	if (in.nasked > LOOKUP_MEMBERS_MAX ||
	    in.nunasked > LOOKUP_MEMBERS_MAX) {
		counter_add(&a->counters, COUNTER_DROP_HOP_LIMIT, 1);
		return;
	}
	if (in.nasked == 0)
		notifier_note_balancer(a, now, &in.reply);
	agent_handle_packet(a, now, &in);
}

/* Digests without a load are queries of balancers. */
static void receive_digest(agent_t *a, uint64_t now, const endpoint_t *from,
			   const digest_msg_t *msg)
{
	if (!msg->load) {
		notifier_poll(a, now, msg);
		return;
	}
	membership_receive_digest(a, now, from, msg);
	resume_digest(a, now, msg);
}

void agent_message(agent_t *a, uint64_t now, const endpoint_t *from,
		   msg_kind_t kind, const void *msg)
{
	resume_check(a, now);
	switch (kind) {
	case MSG_PACKET:
		receive_packet(a, now, from, msg);
		return;
	case MSG_DIGEST:
		receive_digest(a, now, from, msg);
		return;
	case MSG_HELD:
		unresolved_found(a, now, msg);
		return;
	case MSG_WITNESS:
		witness_receive(a, now, msg);
		return;
	case MSG_PROBE:
		membership_receive_probe(a, now, from, msg);
		return;
	default:
		counter_add(&a->counters, COUNTER_MESSAGE_UNEXPECTED, 1);
	}
}

void agent_tick(agent_t *a, uint64_t now)
{
	if (!a->service)
		return;
	resume_tick(a, now);
	if (a->verify_until_ms <= now)
		a->verifies_unknown = false;
	flows_tick(a, now);
	server_tick(a, now);
	witness_tick(a, now);
	notifier_tick(a, now);
	unresolved_tick(a, now);
	membership_tick(a, now);
	a->last_tick_ms = now;
}

void agent_leave(agent_t *a, uint64_t now)
{
	if (a->leaving)
		return;
	a->leaving = true;
	agent_audit(a, "leaving", "stopping, accepts no new flows");
	if (a->service)
		membership_leave(a, now);
}

size_t agent_held(const agent_t *a)
{
	return a->held;
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
