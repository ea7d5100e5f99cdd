#include "balancer_int.h"
#include "refusal.h"
#include <stdlib.h>
#include <string.h>

/* Opens that wait for an answer at a time. */
#define PENDING_OPENS_MAX 8192
/* Greatest retry budget, in hundredths of a retry. */
#define RETRY_TOKENS_MAX 5000
/* Part of the budget that one retry uses, in hundredths of a retry. */
#define TOKENS_PER_RETRY 100
/* Delay before the caller retries, sent in refusals, in seconds. */
#define RETRY_AFTER_S 2
/* A time at which all avoidance of members has expired. */
#define AVOIDANCE_EXPIRED_MS UINT64_MAX
/*
 * An agent's report that a member is dead is ignored if this balancer heard the
 * member within this time.
 */
#define RECENTLY_HEARD_MS 2000
/* Best ranked members considered for the start of a look-up. */
#define LOOKUP_MEMBERS 4

static group_t *find_group(balancer_t *b, uint32_t address, uint16_t port,
			   uint8_t proto, uint64_t service);
static group_t *detach_group(balancer_t *b, const service_t *service);
static const service_t *service_of(const balancer_t *b, const group_t *g);
static void init_packet_message(balancer_t *b, packet_msg_t *msg,
				uint64_t service, packet_step_t step,
				const packet_t *p);
static bool any_member_full(const group_t *g, uint64_t now);
static size_t candidates(const balancer_t *b, group_t *g, uint64_t now,
			 const pending_open_t *open, const member_t *preferred,
			 uint32_t *ids);
static const member_t *hinted_member(balancer_t *b, uint64_t now, group_t *g,
				     uint64_t hash);
static void resend_open(balancer_t *b, group_t *g, const pending_open_t *open,
			const packet_t *p);
static int offer_open(balancer_t *b, uint64_t now, group_t *g,
		      const member_t *preferred, pending_open_t *open,
		      const packet_t *p);
static void refuse_open(balancer_t *b, const packet_t *p);
static void open_flow(balancer_t *b, uint64_t now, const service_t *service,
		      const packet_t *p, uint64_t hash);
static void look_up(balancer_t *b, uint64_t now, const service_t *service,
		    const packet_t *p, uint64_t hash);
static bool may_hold_flow(group_t *g, uint64_t now, const endpoint_t *agent);
static int lookup_start(group_t *g, uint64_t now, uint64_t hash,
			endpoint_t *agent);
static void apply_suspicion(balancer_t *b, uint64_t now, const group_t *g,
			    member_t *m, const load_msg_t *load);
static void handle_digest(balancer_t *b, uint64_t now,
			  const digest_msg_t *digest);
static void handle_held(balancer_t *b, uint64_t now, const endpoint_t *from,
			const held_msg_t *held);
static void note_unanswered(balancer_t *b, uint64_t now, group_t *g,
			    const pending_open_t *open);
static bool take_retry_tokens(balancer_t *b);
static int retry_open(balancer_t *b, uint64_t now, group_t *g,
		      pending_open_t *open);

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
	if (mechanism_disabled(options->off, MECHANISM_HUNT))
		b->policy = &policy_rendezvous;
	b->retry_tokens = INITIAL_RETRIES * TOKENS_PER_RETRY;
	b->hints = hint_cache_new(options->cache_flows);
	b->pending = pending_opens_new(PENDING_OPENS_MAX);
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

/* Finds the group of a service by address and class, without a scan. */
static group_t *find_group(balancer_t *b, uint32_t address, uint16_t port,
			   uint8_t proto, uint64_t service)
{
	const service_t *s = b->config ? config_classify(b->config, address,
							 port, proto, NULL)
				       : NULL;

	if (!s || s->id != service)
		return NULL;
	return &b->groups[s - b->config->services];
}

/*
 * Returns the group of a service in the old table, to be moved to the new one
 * so that the state of its members is kept. Its service is set to 0.
 */
static group_t *detach_group(balancer_t *b, const service_t *service)
{
	const class_t *c = &service->classes[0];
	group_t *g =
		find_group(b, service->address, c->port, c->proto, service->id);

	if (!g)
		g = (group_t *)balancer_group(b, service->id);
	if (g)
		g->service = 0;
	return g;
}

static const service_t *service_of(const balancer_t *b, const group_t *g)
{
	return &b->config->services[g - b->groups];
}

int balancer_configure(balancer_t *b, uint64_t now, config_t *config)
{
	group_t *groups = calloc(config->nservices, sizeof(*groups));
	int ret = 0;

	if (!groups)
		return -1;
	for (size_t i = 0; i < config->nservices; i++) {
		group_t *old = detach_group(b, &config->services[i]);

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

static void init_packet_message(balancer_t *b, packet_msg_t *msg,
				uint64_t service, packet_step_t step,
				const packet_t *p)
{
	ct__packet__init(msg);
	msg->service = service;
	msg->version = b->config->version;
	msg->digest = b->config->digest;
	msg->step = step;
	msg->reply_ip = b->options.self.ip;
	msg->reply_port = b->options.self.port;
	msg->inner.data = (uint8_t *)p->data;
	msg->inner.len = p->len;
}

static bool any_member_full(const group_t *g, uint64_t now)
{
	for (size_t i = 0; i < g->n; i++)
		if (member_full(&g->members[i], now))
			return true;
	return false;
}

/*
 * Chooses the members to offer an open to: the preferred one, then members
 * that the open was not offered to yet, best first. When no member takes opens
 * and none reported itself full, this balancer is probably cut off from all of
 * them; then members are chosen as if none was avoided.
 */
static size_t candidates(const balancer_t *b, group_t *g, uint64_t now,
			 const pending_open_t *open, const member_t *preferred,
			 uint32_t *ids)
{
	uint32_t order[BALANCER_CANDIDATES_MAX + PENDING_TRIED_MAX];
	size_t want = BALANCER_CANDIDATES_MAX + open->ntried;
	size_t n = b->policy->candidates(g, now, open->hash, order, want);
	size_t nids = 0;

	if (n == 0 && !any_member_full(g, now))
		n = b->policy->candidates(g, AVOIDANCE_EXPIRED_MS, open->hash,
					  order, want);
	if (preferred)
		ids[nids++] = preferred->id;
	for (size_t i = 0; i < n && nids < BALANCER_CANDIDATES_MAX; i++) {
		uint32_t id = g->members[order[i]].id;
		bool already_tried = preferred && preferred->id == id;

		for (uint32_t j = 0; j < open->ntried; j++)
			already_tried |= open->tried[j] == id;
		if (!already_tried)
			ids[nids++] = id;
	}
	return nids;
}

/* Returns the member that accepted an earlier copy of the SYN, or NULL. */
static const member_t *hinted_member(balancer_t *b, uint64_t now, group_t *g,
				     uint64_t hash)
{
	const member_t *m;
	endpoint_t agent;

	if (!hint_cache_get(b->hints, hash, &agent))
		return NULL;
	m = group_member_at(g, &agent);
	if (!m || !member_reachable(m) || m->avoid_until_ms > now)
		return NULL;
	return m;
}

/* Sends a retransmitted SYN to the member that the open was offered to last. */
static void resend_open(balancer_t *b, group_t *g, const pending_open_t *open,
			const packet_t *p)
{
	member_t *m = group_member(g, open->tried[open->ntried - 1]);
	packet_msg_t msg;

	if (!m)
		return;
	init_packet_message(b, &msg, g->service, STEP_OPEN, p);
	b->ops.send(b->ctx, &m->agent, MSG_PACKET, &msg);
}

/*
 * Offers an open to the best candidate, which may forward it to the others.
 * Returns -1 when there is no candidate.
 */
static int offer_open(balancer_t *b, uint64_t now, group_t *g,
		      const member_t *preferred, pending_open_t *open,
		      const packet_t *p)
{
	uint32_t ids[BALANCER_CANDIDATES_MAX];
	size_t n = candidates(b, g, now, open, preferred, ids);
	const class_t *cls = NULL;
	member_t *m;
	packet_msg_t msg;

	if (n == 0)
		return -1;
	init_packet_message(b, &msg, g->service, STEP_OPEN, p);
	msg.candidates = ids + 1;
	msg.n_candidates = n - 1;
	if (open->ntried < PENDING_TRIED_MAX)
		open->tried[open->ntried++] = ids[0];
	config_classify(b->config, p->key.dst, p->key.dport, p->key.proto,
			&cls);
	m = group_member(g, ids[0]);
	member_note_placed(m, now, cls ? cls->weight : 1);
	pending_opens_defer(b->pending, open, now + OPEN_TIMEOUT_MS);
	b->ops.send(b->ctx, &m->agent, MSG_PACKET, &msg);
	return 0;
}

/*
 * Refuses an open: sends the caller a reset. Nothing was sent to a backend
 * server, so the caller may repeat the request.
 */
static void refuse_open(balancer_t *b, const packet_t *p)
{
	uint8_t buf[PACKET_MAX];
	char text[REFUSAL_TEXT_MAX];
	size_t len;

	counter_add(&b->counters, COUNTER_DROP_NO_TARGET, 1);
	if (!b->ops.reply ||
	    mechanism_disabled(b->options.off, MECHANISM_REFUSAL))
		return;
	refusal_format(REFUSAL_NOT_RUN, RETRY_AFTER_S, text);
	len = packet_build_reset(p, text, buf);
	if (!len)
		return;
	counter_add(&b->counters, COUNTER_OPENS_REFUSED, 1);
	b->ops.reply(b->ctx, buf, len);
}

static void open_flow(balancer_t *b, uint64_t now, const service_t *service,
		      const packet_t *p, uint64_t hash)
{
	group_t *g = &b->groups[service - b->config->services];
	pending_open_t *open = pending_opens_add(b->pending, &p->key, hash);
	const member_t *preferred;

	if (open->ntried > 0 && open->seq == p->seq &&
	    open->service == service->id) {
		resend_open(b, g, open, p);
		return;
	}
	preferred = hinted_member(b, now, g, hash);
	counter_add(&b->counters, COUNTER_OPENS, 1);
	if (b->retry_tokens < RETRY_TOKENS_MAX)
		b->retry_tokens += b->options.retry_percent;
	open->service = service->id;
	open->seq = p->seq;
	open->ntried = 0;
	open->len = 0;
	if (p->len <= PENDING_PACKET_MAX && p->payload_len == 0) {
		memcpy(open->packet, p->data, p->len);
		open->len = (uint16_t)p->len;
	}
	if (offer_open(b, now, g, preferred, open, p) < 0) {
		pending_opens_remove(b->pending, open);
		refuse_open(b, p);
	}
}

/*
 * False when the agent's member is dead, has left or is avoided: hints and
 * ranks that lead to it are ignored.
 */
static bool may_hold_flow(group_t *g, uint64_t now, const endpoint_t *agent)
{
	const member_t *m = group_member_at(g, agent);

	return !m || (member_reachable(m) && m->avoid_until_ms <= now);
}

/*
 * Chooses the agent where a look-up starts: that of the best ranked member
 * that may hold the flow. Returns -1 when the group is empty.
 */
static int lookup_start(group_t *g, uint64_t now, uint64_t hash,
			endpoint_t *agent)
{
	uint32_t order[LOOKUP_MEMBERS];
	size_t n = group_rank(g, now, hash, false, order, LOOKUP_MEMBERS);

	if (n == 0)
		return -1;
	for (size_t i = 0; i < n; i++) {
		*agent = g->members[order[i]].agent;
		if (may_hold_flow(g, now, agent))
			return 0;
	}
	*agent = g->members[order[0]].agent;
	return 0;
}

/*
 * Sends a packet to the agent of its hint or to the start of the look-up. The
 * first packet of a UDP flow cannot be distinguished from later ones, so UDP
 * packets without a hint name candidates that may accept the flow when no
 * member holds it.
 */
static void look_up(balancer_t *b, uint64_t now, const service_t *service,
		    const packet_t *p, uint64_t hash)
{
	group_t *g = &b->groups[service - b->config->services];
	uint32_t ids[BALANCER_CANDIDATES_MAX];
	endpoint_t agent;
	packet_msg_t msg;

	g->last_sent_ms = now;
	init_packet_message(b, &msg, service->id, STEP_LOOKUP, p);
	if (hint_cache_get(b->hints, hash, &agent) &&
	    may_hold_flow(g, now, &agent)) {
		counter_add(&b->counters, COUNTER_CACHE_HITS, 1);
	} else {
		counter_add(&b->counters, COUNTER_CACHE_MISSES, 1);
		if (lookup_start(g, now, hash, &agent) < 0)
			return;
		if (p->key.proto == PROTO_UDP) {
			pending_open_t untried = { .hash = hash };

			msg.candidates = ids;
			msg.n_candidates =
				candidates(b, g, now, &untried, NULL, ids);
		}
	}
	balancer_check_member(b, now, g, &agent);
	b->ops.send(b->ctx, &agent, MSG_PACKET, &msg);
}

void balancer_prefetch(balancer_t *b, const uint8_t *buf, size_t len)
{
	flow_key_t key;

	if (packet_peek(buf, len, &key) == 0)
		hint_cache_prefetch(b->hints,
				    flow_key_hash(&key, b->options.rank_seed));
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

static void handle_held(balancer_t *b, uint64_t now, const endpoint_t *from,
			const held_msg_t *held)
{
	flow_key_t key = { held->src_ip, held->dst_ip, (uint16_t)held->src_port,
			   (uint16_t)held->dst_port, (uint8_t)held->protocol };
	endpoint_t agent = { held->agent_ip, (uint16_t)held->agent_port };
	uint64_t hash = flow_key_hash(&key, b->options.rank_seed);
	group_t *g =
		find_group(b, key.dst, key.dport, key.proto, held->service);
	pending_open_t *open;

	if (b->config && held->version > b->config->version)
		b->ops.newer_version(b->ctx, from, held->version);
	if (!g)
		return;
	if (held->load)
		group_apply_load(g, now, held->load, NULL);
	if (held->gone)
		hint_cache_drop(b->hints, hash);
	else if (!held->refused)
		hint_cache_put(b->hints, hash, &agent);
	open = pending_opens_find(b->pending, &key, hash);
	if (open)
		pending_opens_remove(b->pending, open);
}

/*
 * Applies an agent's report about another member. A suspect member gets no
 * opens, but packets of its flows are still sent there; a dead member gets
 * neither.
 */
static void apply_suspicion(balancer_t *b, uint64_t now, const group_t *g,
			    member_t *m, const load_msg_t *load)
{
	if (load->incarnation < m->incarnation)
		return;
	if (load->state == MEMBER_SUSPECT) {
		m->no_opens_until_ms = now + AVOID_MS;
		return;
	}
	if (load->state != MEMBER_DEAD ||
	    (m->last_heard_ms && m->last_heard_ms + RECENTLY_HEARD_MS > now))
		return;
	/* The member may be cut off from its peers only: poll it. */
	m->avoid_until_ms = now + DEAD_AVOID_MS;
	balancer_poll_member(b, g, m);
}

/* Handles an agent's report about suspect and dead members of its group. */
static void handle_digest(balancer_t *b, uint64_t now,
			  const digest_msg_t *digest)
{
	group_t *g = (group_t *)balancer_group(b, digest->service);

	if (!g)
		return;
	if (digest->load)
		group_apply_load(g, now, digest->load, NULL);
	for (size_t i = 0; i < digest->n_rumours; i++) {
		const load_msg_t *load = digest->rumours[i];
		member_t *m = group_member(g, load->target);

		if (m)
			apply_suspicion(b, now, g, m, load);
	}
}

void balancer_message(balancer_t *b, uint64_t now, const endpoint_t *from,
		      msg_kind_t kind, const void *msg)
{
	if (kind == MSG_HELD)
		handle_held(b, now, from, msg);
	else if (kind == MSG_DIGEST)
		handle_digest(b, now, msg);
	else
		counter_add(&b->counters, COUNTER_MESSAGE_UNEXPECTED, 1);
}

/*
 * Counts an unanswered open against the member it was offered to last, unless
 * that member was heard meanwhile. After UNANSWERED_OPENS_MAX consecutive
 * unanswered opens the member is avoided.
 */
static void note_unanswered(balancer_t *b, uint64_t now, group_t *g,
			    const pending_open_t *open)
{
	member_t *m = open->ntried
			      ? group_member(g, open->tried[open->ntried - 1])
			      : NULL;

	if (!m || m->last_heard_ms + OPEN_TIMEOUT_MS > now)
		return;
	if (++m->unanswered < UNANSWERED_OPENS_MAX)
		return;
	if (m->avoid_until_ms <= now) {
		const target_t *t =
			service_target_by_id(service_of(b, g), m->id);

		counter_add(&b->counters, COUNTER_SUSPICIONS, 1);
		b->ops.audit(b->ctx, "member-avoided", t ? t->name : "?",
			     "consecutive opens unanswered");
	}
	m->avoid_until_ms = now + AVOID_MS;
}

/* True when the retry budget allows a retry, which is then subtracted. */
static bool take_retry_tokens(balancer_t *b)
{
	if (mechanism_disabled(b->options.off, MECHANISM_OPEN_RETRY))
		return false;
	if (mechanism_disabled(b->options.off, MECHANISM_RETRY_BUDGET))
		return true;
	if (b->retry_tokens < TOKENS_PER_RETRY) {
		counter_add(&b->counters, COUNTER_OPENS_RETRY_DENIED, 1);
		return false;
	}
	b->retry_tokens -= TOKENS_PER_RETRY;
	return true;
}

/*
 * Offers the SYN to members that were not tried. Returns -1 when that is not
 * possible. The caller then gets no refusal: a member may have accepted the
 * flow while its MSG_HELD was lost. The caller's own SYN retransmission is a
 * new open.
 */
static int retry_open(balancer_t *b, uint64_t now, group_t *g,
		      pending_open_t *open)
{
	packet_t p;

	if (open->len == 0 || open->ntried == PENDING_TRIED_MAX ||
	    packet_parse(open->packet, open->len, &p) != PACKET_OK)
		return -1;
	if (!take_retry_tokens(b))
		return -1;
	if (offer_open(b, now, g, NULL, open, &p) < 0)
		return -1;
	counter_add(&b->counters, COUNTER_OPENS_RETRIED, 1);
	return 0;
}

void balancer_tick(balancer_t *b, uint64_t now)
{
	pending_open_t *open;

	balancer_poll(b, now);

	while ((open = pending_opens_due(b->pending, now))) {
		const flow_key_t *k = &open->key;
		group_t *g = find_group(b, k->dst, k->dport, k->proto,
					open->service);

		if (g)
			note_unanswered(b, now, g, open);
		if (!g || retry_open(b, now, g, open) < 0)
			pending_opens_remove(b->pending, open);
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
	for (size_t i = 0; b->groups && i < b->ngroups; i++)
		if (b->groups[i].service == service)
			return &b->groups[i];
	return NULL;
}
