#include "naive.h"
#include <glib.h>
#include <string.h>

/*
 * An agent, and when the balancer last received a message from it. Until the
 * first message, this is the time at which the entry was added.
 */
typedef struct agent_health {
	endpoint_t agent;
	uint64_t last_heard_ms;
} agent_health_t;

struct naive {
	bool agent; /* true: agent, false: balancer */
	balancer_options_t options;
	balancer_ops_t balancer_ops;
	agent_ops_t agent_ops;
	void *ctx;
	config_t *config;
	GHashTable *flows;	/* hash of a flow to address of its agent */
	GArray *agents;		/* agent_health_t */
	uint64_t next_check_ms; /* time of the next health check */
};

static agent_health_t *find_or_add_health(naive_t *n, uint64_t now,
					  const endpoint_t *agent);
static const target_t *choose_target(naive_t *n, uint64_t now,
				     const service_t *service, uint64_t hash);
static void forward_packet(naive_t *n, const endpoint_t *to, uint64_t service,
			   const uint8_t *buf, size_t len);

static naive_t *naive_new(void *ctx)
{
	naive_t *n = g_new0(naive_t, 1);

	n->ctx = ctx;
	n->flows = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					 g_free);
	n->agents = g_array_new(FALSE, TRUE, sizeof(agent_health_t));
	return n;
}

naive_t *naive_balancer_new(const balancer_options_t *options,
			    const balancer_ops_t *ops, void *ctx)
{
	naive_t *n = naive_new(ctx);

	n->options = *options;
	n->balancer_ops = *ops;
	return n;
}

naive_t *naive_agent_new(const agent_options_t *options, const agent_ops_t *ops,
			 void *ctx)
{
	naive_t *n = naive_new(ctx);

	(void)options;
	n->agent = true;
	n->agent_ops = *ops;
	return n;
}

void naive_free(naive_t *n)
{
	if (!n)
		return;
	g_hash_table_destroy(n->flows);
	g_array_free(n->agents, TRUE);
	config_unref(n->config);
	g_free(n);
}

void naive_configure(naive_t *n, uint64_t now, config_t *config)
{
	(void)now;
	config_ref(config);
	config_unref(n->config);
	n->config = config;
}

static agent_health_t *find_or_add_health(naive_t *n, uint64_t now,
					  const endpoint_t *agent)
{
	agent_health_t initial = { *agent, now };

	for (guint i = 0; i < n->agents->len; i++) {
		agent_health_t *c =
			&g_array_index(n->agents, agent_health_t, i);

		if (endpoint_equal(&c->agent, agent))
			return c;
	}
	g_array_append_val(n->agents, initial);
	return &g_array_index(n->agents, agent_health_t, n->agents->len - 1);
}

static const target_t *choose_target(naive_t *n, uint64_t now,
				     const service_t *service, uint64_t hash)
{
	const target_t **live = g_new(const target_t *, service->ntargets);
	const target_t *chosen = NULL;
	size_t nlive = 0;

	for (size_t i = 0; i < service->ntargets; i++) {
		const target_t *t = &service->targets[i];

		if (t->state != TARGET_ACTIVE ||
		    find_or_add_health(n, now, &t->agent)->last_heard_ms +
				    NAIVE_DEAD_TIMEOUT_MS <
			    now)
			continue;
		live[nlive++] = t;
	}
	if (nlive)
		chosen = live[hash % nlive];
	g_free(live);
	return chosen;
}

static void forward_packet(naive_t *n, const endpoint_t *to, uint64_t service,
			   const uint8_t *buf, size_t len)
{
	packet_msg_t msg;

	ct__packet__init(&msg);
	msg.service = service;
	msg.inner.data = (uint8_t *)buf;
	msg.inner.len = len;
	n->balancer_ops.send(n->ctx, to, MSG_PACKET, &msg);
}

void naive_packet(naive_t *n, uint64_t now, const uint8_t *buf, size_t len)
{
	const service_t *service;
	const target_t *target;
	endpoint_t *agent;
	uint64_t hash;
	packet_t p;

	if (n->agent) {
		n->agent_ops.reply(n->ctx, buf, len);
		return;
	}
	if (!n->config || packet_parse(buf, len, &p) != PACKET_OK)
		return;
	service = config_classify(n->config, p.key.dst, p.key.dport,
				  p.key.proto, NULL);
	if (!service)
		return;
	hash = flow_key_hash(&p.key, n->options.rank_seed);
	agent = g_hash_table_lookup(n->flows, &hash);
	if (!agent || packet_is_open(&p)) {
		target = choose_target(n, now, service, hash);
		if (!target)
			return;
		agent = g_memdup2(&target->agent, sizeof(target->agent));
		g_hash_table_insert(n->flows, g_memdup2(&hash, sizeof(hash)),
				    agent);
	}
	forward_packet(n, agent, service->id, buf, len);
}

void naive_message(naive_t *n, uint64_t now, const endpoint_t *from,
		   msg_kind_t kind, const void *msg)
{
	const packet_msg_t *packet = msg;
	probe_msg_t answer;

	if (!n->agent) {
		find_or_add_health(n, now, from)->last_heard_ms = now;
	} else if (kind == MSG_PACKET) {
		n->agent_ops.deliver(n->ctx, packet->inner.data,
				     packet->inner.len);
	} else {
		ct__probe__init(&answer);
		n->agent_ops.send(n->ctx, from, MSG_PROBE, &answer);
	}
}

void naive_tick(naive_t *n, uint64_t now)
{
	probe_msg_t probe;

	if (n->agent || !n->config || now < n->next_check_ms)
		return;
	n->next_check_ms = now + NAIVE_CHECK_INTERVAL_MS;
	ct__probe__init(&probe);
	for (size_t i = 0; i < n->config->nservices; i++) {
		const service_t *s = &n->config->services[i];

		for (size_t j = 0; j < s->ntargets; j++) {
			find_or_add_health(n, now, &s->targets[j].agent);
			n->balancer_ops.send(n->ctx, &s->targets[j].agent,
					     MSG_PROBE, &probe);
		}
	}
}
