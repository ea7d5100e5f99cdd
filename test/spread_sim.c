#include "spread_sim.h"
#include "../src/seal.h"
#include <string.h>

#define STEP_MS	   10
#define TICK_STEPS 5  /* a node ticks every 50 ms */
#define UDP_IP	   28 /* bytes of the headers below ours */

typedef enum what { HELLO, PULL, REPLY, READ, LIVE } what_t;

typedef struct event {
	what_t what;
	unsigned to;
	unsigned from;
	unsigned life; /* of the receiver, so that a restart loses it */
	hello_msg_t hello;
	config_pull_msg_t pull;
	config_reply_msg_t *reply; /* owned */
	char *text;		   /* owned; platform's answer */
	platform_status_t status;
} event_t;

static endpoint_t node_at(unsigned i)
{
	endpoint_t ep = { 10U << 24 | 9U << 16 | i, 7200 };

	/* The first ones are agents of config_example(). */
	if (i < SERVICES * TARGETS) {
		ep.ip = 10U << 24 | i / TARGETS << 8 | (i % TARGETS + 1);
		ep.port = 7400;
	}
	return ep;
}

static node_t *node_of(sim_t *sim, const endpoint_t *at)
{
	for (unsigned i = 0; at->port == 7400 && i < sim->n; i++)
		if (endpoint_equal(&sim->nodes[i].at, at))
			return &sim->nodes[i];
	if (at->port == 7200 && (at->ip & 0xffff) < sim->n)
		return &sim->nodes[at->ip & 0xffff];
	return NULL;
}

static event_t *post(sim_t *sim, what_t what, unsigned to, unsigned from,
		     unsigned delay)
{
	event_t *e = g_new0(event_t, 1);

	e->what = what;
	e->to = to;
	e->from = from;
	e->life = sim->nodes[to].life;
	g_ptr_array_add(sim->slots[(sim->now + delay) / STEP_MS % SIM_SLOTS],
			e);
	return e;
}

static unsigned latency(sim_t *sim)
{
	return STEP_MS + (unsigned)g_rand_int_range(sim->rand, 0, 2 * STEP_MS);
}

static bool joined(const node_t *a, const node_t *b)
{
	return b && b->s && a->side == b->side;
}

static void on_hello(void *ctx, const endpoint_t *to, const hello_msg_t *msg)
{
	node_t *n = ctx;
	node_t *peer = node_of(n->sim, to);

	n->bytes += wire_size(msg) + SEAL_HEADER_LEN + UDP_IP;
	if (joined(n, peer))
		post(n->sim, HELLO, peer->index, n->index, latency(n->sim))
			->hello = *msg;
}

static void on_pull(void *ctx, const endpoint_t *from,
		    const config_pull_msg_t *msg)
{
	node_t *n = ctx;
	node_t *peer = node_of(n->sim, from);

	n->bytes += wire_size(msg) + SEAL_HEADER_LEN + 4 * (size_t)UDP_IP;
	if (joined(n, peer))
		post(n->sim, PULL, peer->index, n->index, latency(n->sim))
			->pull = *msg;
}

static void answer_read(node_t *n, platform_status_t status)
{
	sim_t *sim = n->sim;
	event_t *e = post(sim, READ, n->index, 0, latency(sim));

	e->status = status;
	if (status == PLATFORM_DOCUMENT)
		e->text = g_strdup(sim->mode == GARBAGE
					   ? "version = [[["
					   : sim->documents[n->side]);
}

static void count_call(sim_t *sim)
{
	sim->calls++;
	sim->second_calls++;
	sim->peak_calls = MAX(sim->peak_calls, sim->second_calls);
}

static void on_read(void *ctx, uint64_t after)
{
	node_t *n = ctx;
	sim_t *sim = n->sim;

	count_call(sim);
	if (sim->mode == DOWN || n->side > 1)
		answer_read(n, PLATFORM_FAILED);
	else if (after < sim->versions[n->side])
		answer_read(n, PLATFORM_DOCUMENT);
	else {
		n->watch_after = after;
		n->watch_until = sim->now + 30000;
	}
}

static void on_live(void *ctx)
{
	node_t *n = ctx;
	sim_t *sim = n->sim;
	event_t *e = post(sim, LIVE, n->index, 0, latency(sim));

	count_call(sim);
	e->status = sim->mode == DOWN || n->side > 1 ? PLATFORM_FAILED
						     : PLATFORM_DOCUMENT;
}

static int on_adopt(void *ctx, config_t *config, const char *source)
{
	node_t *n = ctx;

	(void)source;
	if (config->version < n->adopted)
		n->reverted++;
	n->adopted = MAX(n->adopted, config->version);
	return 0;
}

static void on_refuse(void *ctx, const err_t *err, const char *source)
{
	node_t *n = ctx;

	(void)err;
	(void)source;
	n->refusals++;
}

static void on_audit(void *ctx, const char *event, const char *subject,
		     const char *detail)
{
	node_t *n = ctx;

	(void)subject;
	(void)detail;
	n->conflicts += !strcmp(event, "configuration-conflict");
}

const spread_ops_t sim_ops = { on_hello, on_pull,   on_read, on_live,
			       on_adopt, on_refuse, on_audit };

void sim_start(sim_t *sim, unsigned i)
{
	node_t *n = &sim->nodes[i];
	endpoint_t peers[3];
	char zone[8];
	spread_options_t options = { .zone = zone,
				     .role = ROLE_AGENT,
				     .peers = peers,
				     .npeers = 3,
				     .platform = true,
				     .off = sim->off };

	for (int p = 0; p < 3; p++)
		peers[p] = node_at((unsigned)g_rand_int_range(sim->rand, 0,
							      (gint32)sim->n));
	g_snprintf(zone, sizeof(zone), "z%u", i % ZONES);
	n->sim = sim;
	n->index = i;
	n->at = node_at(i);
	n->life++;
	n->watch_until = 0;
	options.self = n->at;
	options.seed = g_rand_int(sim->rand);
	n->s = spread_new(&options, &sim_ops, n, sim->now);
}

void sim_stop(node_t *n)
{
	spread_free(n->s);
	n->s = NULL;
}

static void event_free(event_t *e)
{
	config_reply_free(e->reply);
	g_free(e->text);
	g_free(e);
}

static char *live_text(sim_t *sim)
{
	static char *text;
	static unsigned made_for;
	GString *s;
	char at[ENDPOINT_TEXT];

	if (text && made_for == sim->n)
		return text;
	s = g_string_new(NULL);
	for (unsigned i = 0; i < sim->n; i++)
		g_string_append_printf(s, "%s z%u live\n",
				       endpoint_format(&sim->nodes[i].at, at),
				       i % ZONES);
	g_free(text);
	text = g_string_free(s, FALSE);
	made_for = sim->n;
	return text;
}

static void answer_pull(sim_t *sim, node_t *n, const event_t *e)
{
	config_reply_msg_t *reply = spread_reply(n->s, &e->pull);

	if (reply)
		n->bytes +=
			wire_size(reply) + SEAL_HEADER_LEN + 4 * (size_t)UDP_IP;
	post(sim, REPLY, e->from, n->index, latency(sim))->reply = reply;
}

static void deliver(sim_t *sim, event_t *e)
{
	node_t *n = &sim->nodes[e->to];
	endpoint_t from = sim->nodes[e->from].at;
	platform_result_t result = { e->status, e->text,
				     e->text ? strlen(e->text) : 0, NULL };

	if (!n->s || n->life != e->life)
		return;
	if (e->what == HELLO)
		spread_hello(n->s, sim->now, &from, &e->hello);
	else if (e->what == PULL)
		answer_pull(sim, n, e);
	else if (e->what == REPLY)
		spread_pulled(n->s, sim->now, &from, e->reply);
	else if (e->what == READ) {
		n->read_bytes += result.len;
		spread_read(n->s, sim->now, &result);
	} else {
		result.text = live_text(sim);
		result.len = strlen(result.text);
		n->read_bytes += result.len;
		spread_live(n->s, sim->now, &result);
	}
}

static void step(sim_t *sim)
{
	unsigned slot = (unsigned)(sim->now / STEP_MS % SIM_SLOTS);
	GPtrArray *due = sim->slots[slot];

	sim->slots[slot] = g_ptr_array_new();
	for (guint i = 0; i < due->len; i++) {
		event_t *e = g_ptr_array_index(due, i);

		/* A frozen process finds its messages when it wakes. */
		if (sim->nodes[e->to].frozen) {
			g_ptr_array_add(sim->slots[(slot + 20) % SIM_SLOTS], e);
			continue;
		}
		deliver(sim, e);
		event_free(e);
	}
	g_ptr_array_free(due, TRUE);
	for (unsigned i = 0; i < sim->n; i++) {
		node_t *n = &sim->nodes[i];

		if (n->watch_until && sim->now >= n->watch_until) {
			n->watch_until = 0;
			answer_read(n, PLATFORM_UNCHANGED);
		}
		if (n->s && !n->frozen &&
		    (sim->now / STEP_MS + i) % TICK_STEPS == 0)
			spread_tick(n->s, sim->now);
	}
	sim->now += STEP_MS;
	if (sim->now % 1000 == 0)
		sim->second_calls = 0;
}

void sim_run(sim_t *sim, uint64_t ms)
{
	for (uint64_t end = sim->now + ms; sim->now < end;)
		step(sim);
}

/* Publishes for one side of the network, or for both with side -1. */
void sim_publish(sim_t *sim, int side, uint64_t version, char *text)
{
	for (int v = 0; v < 2; v++) {
		if (side >= 0 && v != side)
			continue;
		g_free(sim->documents[v]);
		sim->documents[v] = g_strdup(text);
		sim->versions[v] = version;
	}
	for (unsigned i = 0; i < sim->n; i++) {
		node_t *n = &sim->nodes[i];

		if (n->watch_until && n->side < 2 && sim->mode != DOWN &&
		    n->watch_after < sim->versions[n->side]) {
			n->watch_until = 0;
			answer_read(n, PLATFORM_DOCUMENT);
		}
	}
	g_free(text);
}

void sim_publish_version(sim_t *sim, uint64_t version)
{
	char *text = config_example(SERVICES, TARGETS, version);

	/* Only one service changes. */
	strstr(text, "= 2000")[2] = (char)('1' + version % 9);
	sim_publish(sim, -1, version, text);
}

unsigned sim_lacking(const sim_t *sim, uint64_t version)
{
	unsigned lack = 0;

	for (unsigned i = 0; i < sim->n; i++) {
		const node_t *n = &sim->nodes[i];

		if (n->s && !n->frozen &&
		    (!spread_config(n->s) ||
		     spread_config(n->s)->version != version))
			lack++;
	}
	return lack;
}

/* Time until all that run have the version; the bound when not. */
uint64_t sim_until_in_force(sim_t *sim, uint64_t version, uint64_t bound)
{
	uint64_t begun = sim->now;

	while (sim_lacking(sim, version) && sim->now - begun < bound)
		sim_run(sim, 50);
	return sim->now - begun;
}

void sim_init(sim_t *sim, unsigned n, uint32_t seed)
{
	sim->n = n;
	sim->now = 1000000;
	sim->rand = g_rand_new_with_seed(seed);
	for (int i = 0; i < SIM_SLOTS; i++)
		sim->slots[i] = g_ptr_array_new();
	for (unsigned i = 0; i < n; i++)
		sim->nodes[i].at = node_at(i);
}

void sim_clear(sim_t *sim)
{
	for (unsigned i = 0; i < sim->n; i++)
		sim_stop(&sim->nodes[i]);
	for (int i = 0; i < SIM_SLOTS; i++) {
		for (guint j = 0; j < sim->slots[i]->len; j++)
			event_free(g_ptr_array_index(sim->slots[i], j));
		g_ptr_array_free(sim->slots[i], TRUE);
	}
	g_rand_free(sim->rand);
	g_free(sim->documents[0]);
	g_free(sim->documents[1]);
}

sim_t *sim_new(unsigned n, uint32_t seed, mechanisms_t off)
{
	sim_t *sim = g_new0(sim_t, 1);

	sim_init(sim, n, seed);
	sim->off = off;
	sim_publish_version(sim, 5);
	for (unsigned i = 0; i < n; i++)
		sim_start(sim, i);
	sim_until_in_force(sim, 5, 30000);
	sim_run(sim, 5000);
	return sim;
}

void sim_free(sim_t *sim)
{
	sim_clear(sim);
	g_free(sim);
}

unsigned sim_reverted(const sim_t *sim)
{
	unsigned n = 0;

	for (unsigned i = 0; i < sim->n; i++)
		n += sim->nodes[i].reverted;
	return n;
}
