#include "balancer.h"
#include "hint_cache.h"
#include "pending_opens.h"
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define PENDING_LIMIT 8192
/* Retries that may be saved up, in hundredths. */
#define RETRY_SAVED_MAX 5000
/* Hundredths that one retried open costs. */
#define RETRY_COST 100
/* Best members looked at to begin a look-up. */
#define LOOKUP_RANKS 4

struct balancer {
	balancer_options_t options;
	balancer_ops_t ops;
	void *ctx;
	config_t *config;
	const policy_t *policy;
	group_t *groups; /* one a service, in the configuration's order */
	size_t ngroups;
	hint_cache_t *hints;
	pending_opens_t *pending;
	uint32_t retry_saved; /* hundredths of a retry */
	counters_t counters;
};

static group_t *group_of(balancer_t *b, uint64_t service);
static group_t *group_take(balancer_t *b, uint64_t service);
static void packet_message(balancer_t *b, packet_msg_t *msg,
			   const service_t *service, packet_step_t step,
			   const uint8_t *data, size_t len);
static size_t rank_others(balancer_t *b, group_t *g, uint64_t now,
			  const pending_open_t *open, uint32_t *order);
static int offer(balancer_t *b, uint64_t now, group_t *g,
		 const service_t *service, pending_open_t *open,
		 const packet_t *p);
static void open_flow(balancer_t *b, uint64_t now, const service_t *service,
		      const packet_t *p, uint64_t hash);
static void look_up(balancer_t *b, uint64_t now, const service_t *service,
		    const packet_t *p, uint64_t hash);
static bool believed_there(group_t *g, uint64_t now, const endpoint_t *agent);
static int first_to_ask(group_t *g, uint64_t now, uint64_t hash,
			endpoint_t *agent);
static void take_digest(balancer_t *b, uint64_t now,
			const digest_msg_t *digest);
static void take_held(balancer_t *b, uint64_t now, const endpoint_t *from,
		      const held_msg_t *held);
static void blame(balancer_t *b, uint64_t now, const pending_open_t *open);
static void retry(balancer_t *b, uint64_t now, pending_open_t *open);

balancer_t *balancer_new(const balancer_options_t *options,
			 const balancer_ops_t *ops, void *ctx)
{
	balancer_t *b = calloc(1, sizeof(*b));

	if (!b)
		return NULL;
	b->options = *options;
	b->ops = *ops;
	b->ctx = ctx;
	b->policy = options->policy ? options->policy : policy_default;
	b->hints = hint_cache_new(options->cache_flows);
	b->pending = pending_opens_new(PENDING_LIMIT);
	if (!b->hints || !b->pending) {
		balancer_free(b);
		return NULL;
	}
	return b;
}

void balancer_free(balancer_t *b)
{
	if (!b)
		return;
	for (size_t i = 0; i < b->ngroups; i++)
		group_clear(&b->groups[i]);
	free(b->groups);
	hint_cache_free(b->hints);
	pending_opens_free(b->pending);
	config_unref(b->config);
	free(b);
}

static group_t *group_of(balancer_t *b, uint64_t service)
{
	for (size_t i = 0; i < b->ngroups; i++)
		if (b->groups[i].service == service)
			return &b->groups[i];
	return NULL;
}

/* Moves a group out of the old table, so that what is known of it stays. */
static group_t *group_take(balancer_t *b, uint64_t service)
{
	group_t *g = group_of(b, service);

	if (g)
		g->service = 0;
	return g;
}

int balancer_configure(balancer_t *b, uint64_t now, config_t *config)
{
	group_t *groups = calloc(config->nservices, sizeof(*groups));
	int ret = 0;

	if (!groups)
		return -1;
	for (size_t i = 0; i < config->nservices; i++) {
		group_t *old = group_take(b, config->services[i].id);

		if (old) {
			groups[i] = *old;
			memset(old, 0, sizeof(*old));
		}
		if (group_configure(&groups[i], &config->services[i], now) < 0)
			ret = -1;
	}
	for (size_t i = 0; i < b->ngroups; i++)
		group_clear(&b->groups[i]);
	free(b->groups);
	b->groups = groups;
	b->ngroups = config->nservices;
	config_ref(config);
	config_unref(b->config);
	b->config = config;
	return ret;
}

static void packet_message(balancer_t *b, packet_msg_t *msg,
			   const service_t *service, packet_step_t step,
			   const uint8_t *data, size_t len)
{
	ct__packet__init(msg);
	msg->service = service->id;
	msg->version = b->config->version;
	msg->digest = b->config->digest;
	msg->step = step;
	msg->reply_ip = b->options.self.ip;
	msg->reply_port = b->options.self.port;
	msg->inner.data = (uint8_t *)data;
	msg->inner.len = len;
}

/* Candidates that the open was not offered to yet, best first. */
static size_t rank_others(balancer_t *b, group_t *g, uint64_t now,
			  const pending_open_t *open, uint32_t *order)
{
	uint32_t all[BALANCER_CANDIDATES + PENDING_ASKED];
	size_t n = b->policy->candidates(g, now, open->hash, all,
					 BALANCER_CANDIDATES + open->nasked);
	size_t kept = 0;

	for (size_t i = 0; i < n && kept < BALANCER_CANDIDATES; i++) {
		bool asked = false;

		for (uint32_t j = 0; j < open->nasked; j++)
			asked |= open->asked[j] == g->members[all[i]].id;
		if (!asked)
			order[kept++] = all[i];
	}
	return kept;
}

/* Offers an open to its best candidates. Returns -1 when there are none. */
static int offer(balancer_t *b, uint64_t now, group_t *g,
		 const service_t *service, pending_open_t *open,
		 const packet_t *p)
{
	uint32_t order[BALANCER_CANDIDATES];
	uint32_t ids[BALANCER_CANDIDATES];
	size_t n = rank_others(b, g, now, open, order);
	const class_t *cls = NULL;
	packet_msg_t msg;

	if (n == 0)
		return -1;
	for (size_t i = 0; i < n; i++)
		ids[i] = g->members[order[i]].id;
	packet_message(b, &msg, service, STEP_OPEN, p->data, p->len);
	msg.candidates = ids + 1;
	msg.n_candidates = n - 1;
	if (open->nasked < PENDING_ASKED)
		open->asked[open->nasked++] = ids[0];
	config_classify(b->config, p->key.dst, p->key.dport, p->key.proto,
			&cls);
	member_placed(&g->members[order[0]], cls ? cls->weight : 1);
	pending_opens_defer(b->pending, open, now + OPEN_TIMEOUT_MS);
	b->ops.send(b->ctx, &g->members[order[0]].agent, MSG_PACKET, &msg);
	return 0;
}

static void open_flow(balancer_t *b, uint64_t now, const service_t *service,
		      const packet_t *p, uint64_t hash)
{
	group_t *g = &b->groups[service - b->config->services];
	pending_open_t *open = pending_opens_add(b->pending, &p->key, hash);

	counter_add(&b->counters, COUNTER_OPENS, 1);
	if (b->retry_saved < RETRY_SAVED_MAX)
		b->retry_saved += b->options.retry_percent;
	open->service = service->id;
	open->nasked = 0;
	open->len = 0;
	if (p->len <= PENDING_PACKET && p->payload_len == 0) {
		memcpy(open->packet, p->data, p->len);
		open->len = (uint16_t)p->len;
	}
	if (offer(b, now, g, service, open, p) < 0) {
		counter_add(&b->counters, COUNTER_DROP_NO_TARGET, 1);
		pending_opens_remove(b->pending, open);
	}
}

/* No hint and no rank leads to a member that is believed dead. */
static bool believed_there(group_t *g, uint64_t now, const endpoint_t *agent)
{
	const member_t *m = group_member_at(g, agent);

	return !m || (member_reachable(m) && m->avoid_until <= now);
}

/* The member where a look-up begins. Returns -1 when there is none. */
static int first_to_ask(group_t *g, uint64_t now, uint64_t hash,
			endpoint_t *agent)
{
	uint32_t order[LOOKUP_RANKS];
	size_t n = group_rank(g, now, hash, false, order, LOOKUP_RANKS);

	if (n == 0)
		return -1;
	for (size_t i = 0; i < n; i++) {
		*agent = g->members[order[i]].agent;
		if (believed_there(g, now, agent))
			return 0;
	}
	*agent = g->members[order[0]].agent;
	return 0;
}

static void look_up(balancer_t *b, uint64_t now, const service_t *service,
		    const packet_t *p, uint64_t hash)
{
	group_t *g = &b->groups[service - b->config->services];
	endpoint_t agent;
	packet_msg_t msg;

	if (hint_cache_get(b->hints, hash, &agent) &&
	    believed_there(g, now, &agent)) {
		counter_add(&b->counters, COUNTER_CACHE_HITS, 1);
	} else {
		counter_add(&b->counters, COUNTER_CACHE_MISSES, 1);
		if (first_to_ask(g, now, hash, &agent) < 0)
			return;
	}
	packet_message(b, &msg, service, STEP_LOOKUP, p->data, p->len);
	b->ops.send(b->ctx, &agent, MSG_PACKET, &msg);
}

void balancer_packet(balancer_t *b, uint64_t now, const uint8_t *buf,
		     size_t len)
{
	const service_t *service;
	packet_status_t status;
	packet_t p;
	uint64_t hash;

	counter_add(&b->counters, COUNTER_PACKETS_IN, 1);
	status = packet_parse(buf, len, &p);
	if (status != PACKET_OK) {
		counter_add(&b->counters,
			    (counter_t)(COUNTER_DROP_TRUNCATED + status - 1),
			    1);
		return;
	}
	if (!b->config) {
		counter_add(&b->counters, COUNTER_DROP_NO_CONFIG, 1);
		return;
	}
	service = config_classify(b->config, p.key.dst, p.key.dport,
				  p.key.proto, NULL);
	if (!service) {
		counter_add(&b->counters, COUNTER_DROP_NO_SERVICE, 1);
		return;
	}
	hash = flow_key_hash(&p.key, b->options.rank_seed);
	if (packet_is_open(&p))
		open_flow(b, now, service, &p, hash);
	else
		look_up(b, now, service, &p, hash);
}

static void take_held(balancer_t *b, uint64_t now, const endpoint_t *from,
		      const held_msg_t *held)
{
	flow_key_t key = { held->src_ip, held->dst_ip, (uint16_t)held->src_port,
			   (uint16_t)held->dst_port, (uint8_t)held->protocol };
	endpoint_t agent = { held->agent_ip, (uint16_t)held->agent_port };
	uint64_t hash = flow_key_hash(&key, b->options.rank_seed);
	group_t *g = group_of(b, held->service);
	pending_open_t *open;

	if (b->config && held->version > b->config->version)
		b->ops.behind(b->ctx, from, held->version);
	if (!g)
		return;
	if (held->load)
		group_load(g, now, held->load, NULL);
	if (held->gone)
		hint_cache_drop(b->hints, hash);
	else if (!held->refused)
		hint_cache_put(b->hints, hash, &agent);
	open = pending_opens_find(b->pending, &key, hash);
	if (open)
		pending_opens_remove(b->pending, open);
}

/* An agent's word on members of its group that are dead. */
static void take_digest(balancer_t *b, uint64_t now, const digest_msg_t *digest)
{
	group_t *g = group_of(b, digest->service);

	if (!g)
		return;
	if (digest->load)
		group_load(g, now, digest->load, NULL);
	for (size_t i = 0; i < digest->n_rumours; i++) {
		const load_msg_t *load = digest->rumours[i];
		member_t *m = group_member(g, load->target);

		if (m && load->state == MEMBER_DEAD &&
		    load->incarnation >= m->incarnation)
			m->avoid_until = now + RUMOUR_MS;
	}
}

void balancer_message(balancer_t *b, uint64_t now, const endpoint_t *from,
		      msg_kind_t kind, const void *msg)
{
	if (kind == MSG_HELD)
		take_held(b, now, from, msg);
	else if (kind == MSG_DIGEST)
		take_digest(b, now, msg);
	else
		counter_add(&b->counters, COUNTER_MESSAGE_UNEXPECTED, 1);
}

/* The member that was asked last and said nothing. */
static void blame(balancer_t *b, uint64_t now, const pending_open_t *open)
{
	group_t *g = group_of(b, open->service);
	member_t *m;

	if (!g || open->nasked == 0)
		return;
	m = group_member(g, open->asked[open->nasked - 1]);
	if (!m || m->heard_ms + OPEN_TIMEOUT_MS > now)
		return;
	if (++m->unanswered < OPEN_MISSES)
		return;
	if (m->avoid_until <= now) {
		const service_t *s = config_service(b->config, g->service);
		const target_t *t = s ? service_target(s, m->id) : NULL;

		counter_add(&b->counters, COUNTER_SUSPICIONS, 1);
		b->ops.audit(b->ctx, "member-avoided", t ? t->name : "?",
			     "opens unanswered");
	}
	m->avoid_until = now + AVOID_MS;
}

static void retry(balancer_t *b, uint64_t now, pending_open_t *open)
{
	group_t *g = group_of(b, open->service);
	const service_t *service = config_service(b->config, open->service);
	packet_t p;

	if (!g || !service || open->len == 0 ||
	    packet_parse(open->packet, open->len, &p) != PACKET_OK)
		goto drop;
	if (b->retry_saved < RETRY_COST) {
		counter_add(&b->counters, COUNTER_OPENS_RETRY_DENIED, 1);
		goto drop;
	}
	b->retry_saved -= RETRY_COST;
	counter_add(&b->counters, COUNTER_OPENS_RETRIED, 1);
	if (offer(b, now, g, service, open, &p) == 0)
		return;
drop:
	pending_opens_remove(b->pending, open);
}

void balancer_tick(balancer_t *b, uint64_t now)
{
	pending_open_t *open;

	while ((open = pending_opens_due(b->pending, now))) {
		blame(b, now, open);
		retry(b, now, open);
	}
}

size_t balancer_pending(const balancer_t *b)
{
	return pending_opens_count(b->pending);
}

counters_t *balancer_counters(balancer_t *b)
{
	return &b->counters;
}

const group_t *balancer_group(const balancer_t *b, uint64_t service)
{
	return group_of((balancer_t *)b, service);
}

char *balancer_explain(balancer_t *b, uint64_t now, const flow_key_t *key)
{
	GString *s = g_string_new("{");
	uint64_t hash = flow_key_hash(key, b->options.rank_seed);
	const class_t *cls = NULL;
	const service_t *service;
	uint32_t order[BALANCER_CANDIDATES];
	endpoint_t hint;
	char text[ENDPOINT_TEXT];
	group_t *g;
	size_t n;

	service = b->config ? config_classify(b->config, key->dst, key->dport,
					      key->proto, &cls)
			    : NULL;
	if (!service) {
		g_string_append(s, "\"service\":null,\"why\":\"no service has "
				   "this address, port and protocol\"}");
		return g_string_free(s, FALSE);
	}
	g = group_of(b, service->id);
	g_string_append_printf(s, "\"service\":\"%s\",\"class\":\"%s\"",
			       service->name, cls->name);
	if (hint_cache_get(b->hints, hash, &hint))
		g_string_append_printf(s, ",\"hint\":\"%s\"",
				       endpoint_format(&hint, text));
	n = group_rank(g, now, hash, true, order, BALANCER_CANDIDATES);
	g_string_append(s, ",\"candidates\":[");
	for (size_t i = 0; i < n; i++) {
		const member_t *m = &g->members[order[i]];
		const target_t *t = service_target(service, m->id);

		g_string_append_printf(s,
				       "%s{\"target\":\"%s\",\"agent\":\"%s\","
				       "\"weight\":%.3f,\"utilisation\":%.4f}",
				       i ? "," : "", t ? t->name : "?",
				       endpoint_format(&m->agent, text),
				       member_rank_weight(g, m),
				       member_utilisation(g, m));
	}
	g_string_append(s, "]}");
	return g_string_free(s, FALSE);
}
