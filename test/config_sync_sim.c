#include "config_sync_sim.h"
#include "../src/seal.h"
#include <string.h>

#define STEP_MS	     10 /* simulated time of a step */
#define TICK_STEPS   5	/* a node ticks every 50 ms */
#define UDP_IP_BYTES 28 /* bytes of the IPv4 and UDP headers */

typedef enum event_kind {
	EVENT_HELLO,
	EVENT_PULL,
	EVENT_REPLY,
	EVENT_READ,
	EVENT_LIVE_LIST
} event_kind_t;

typedef struct event {
	event_kind_t kind;
	unsigned to;	     /* index of the receiver */
	unsigned from;	     /* index of the sender */
	unsigned generation; /* receiver's; a restart drops the event */
	hello_msg_t hello;
	config_pull_msg_t pull;
	config_reply_msg_t *reply; /* owned */
	char *text;		   /* document from the platform, owned */
	platform_status_t status;
} event_t;

static endpoint_t node_endpoint(unsigned i)
{
	endpoint_t ep = { 10U << 24 | 9U << 16 | i, 7200 };

	/* The first nodes are the agents in config_example(). */
	if (i < SERVICES * TARGETS_PER_SERVICE) {
		ep.ip = 10U << 24 | i / TARGETS_PER_SERVICE << 8 |
			(i % TARGETS_PER_SERVICE + 1);
		ep.port = 7400;
	}
	return ep;
}

static node_t *find_node(sim_t *sim, const endpoint_t *addr)
{
	for (unsigned i = 0; addr->port == 7400 && i < sim->n; i++)
		if (endpoint_equal(&sim->nodes[i].addr, addr))
			return &sim->nodes[i];
	if (addr->port == 7200 && (addr->ip & 0xffff) < sim->n)
		return &sim->nodes[addr->ip & 0xffff];
	return NULL;
}

static event_t *schedule(sim_t *sim, event_kind_t event_kind, unsigned to,
			 unsigned from, unsigned delay)
{
	event_t *e = g_new0(event_t, 1);

	e->kind = event_kind;
	e->to = to;
	e->from = from;
	e->generation = sim->nodes[to].generation;
	g_ptr_array_add(
		sim->events[(sim->now + delay) / STEP_MS % SIM_STEPS_MAX], e);
	return e;
}

static unsigned random_latency_ms(sim_t *sim)
{
	return STEP_MS + (unsigned)g_rand_int_range(sim->rand, 0, 2 * STEP_MS);
}

static bool connected(const node_t *a, const node_t *b)
{
	return b && b->s && a->partition == b->partition;
}

static void on_hello(void *ctx, const endpoint_t *to, const hello_msg_t *msg)
{
	node_t *n = ctx;
	node_t *peer = find_node(n->sim, to);

	n->sent_bytes += wire_size(msg) + SEAL_HEADER_LEN + UDP_IP_BYTES;
	if (connected(n, peer))
		schedule(n->sim, EVENT_HELLO, peer->index, n->index,
			 random_latency_ms(n->sim))
			->hello = *msg;
}

static void on_pull(void *ctx, const endpoint_t *from,
		    const config_pull_msg_t *msg)
{
	node_t *n = ctx;
	node_t *peer = find_node(n->sim, from);

	n->sent_bytes +=
		wire_size(msg) + SEAL_HEADER_LEN + 4 * (size_t)UDP_IP_BYTES;
	if (connected(n, peer))
		schedule(n->sim, EVENT_PULL, peer->index, n->index,
			 random_latency_ms(n->sim))
			->pull = *msg;
}

static void schedule_read_result(node_t *n, platform_status_t status)
{
	sim_t *sim = n->sim;
	event_t *e =
		schedule(sim, EVENT_READ, n->index, 0, random_latency_ms(sim));

	e->status = status;
	if (status == PLATFORM_DOCUMENT)
		e->text = g_strdup(sim->platform_mode == INVALID
					   ? "version = [[["
					   : sim->documents[n->partition]);
}

static void count_call(sim_t *sim)
{
	sim->calls++;
	sim->calls_this_second++;
	sim->peak_calls_per_second =
		MAX(sim->peak_calls_per_second, sim->calls_this_second);
}

static void on_read(void *ctx, uint64_t after)
{
	node_t *n = ctx;
	sim_t *sim = n->sim;

	count_call(sim);
	if (sim->platform_mode == DOWN || n->partition > 1)
		schedule_read_result(n, PLATFORM_FAILED);
	else if (after < sim->versions[n->partition])
		schedule_read_result(n, PLATFORM_DOCUMENT);
	else {
		n->watch_after = after;
		n->watch_until_ms = sim->now + 30000;
	}
}

static void on_live(void *ctx)
{
	node_t *n = ctx;
	sim_t *sim = n->sim;
	event_t *e = schedule(sim, EVENT_LIVE_LIST, n->index, 0,
			      random_latency_ms(sim));

	count_call(sim);
	e->status = sim->platform_mode == DOWN || n->partition > 1
			    ? PLATFORM_FAILED
			    : PLATFORM_DOCUMENT;
}

static int on_apply(void *ctx, config_t *config, const char *source)
{
	node_t *n = ctx;

	(void)source;
	if (config->version < n->highest_version)
		n->reverts++;
	n->highest_version = MAX(n->highest_version, config->version);
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

const config_sync_ops_t sim_ops = { on_hello, on_pull,	 on_read, on_live,
				    on_apply, on_refuse, on_audit };

void sim_start(sim_t *sim, unsigned i)
{
	node_t *n = &sim->nodes[i];
	endpoint_t peers[3];
	char zone[8];
	config_sync_options_t options = { .zone = zone,
					  .role = ROLE_AGENT,
					  .peers = peers,
					  .npeers = 3,
					  .platform = true,
					  .off = sim->off };

	for (int p = 0; p < 3; p++)
		peers[p] = node_endpoint((unsigned)g_rand_int_range(
			sim->rand, 0, (gint32)sim->n));
	g_snprintf(zone, sizeof(zone), "z%u", i % ZONES);
	n->sim = sim;
	n->index = i;
	n->addr = node_endpoint(i);
	n->generation++;
	n->watch_until_ms = 0;
	options.self = n->addr;
	options.seed = g_rand_int(sim->rand);
	n->s = config_sync_new(&options, &sim_ops, n, sim->now);
}

void sim_stop(node_t *n)
{
	config_sync_free(n->s);
	n->s = NULL;
}

static void event_free(event_t *e)
{
	config_reply_free(e->reply);
	g_free(e->text);
	g_free(e);
}

static char *live_list_text(sim_t *sim)
{
	static char *text;
	static unsigned text_nodes;
	GString *s;
	char addr[ENDPOINT_TEXT_SIZE];

	if (text && text_nodes == sim->n)
		return text;
	s = g_string_new(NULL);
	for (unsigned i = 0; i < sim->n; i++)
		g_string_append_printf(
			s, "%s z%u live\n",
			endpoint_format(&sim->nodes[i].addr, addr), i % ZONES);
	g_free(text);
	text = g_string_free(s, FALSE);
	text_nodes = sim->n;
	return text;
}

static void answer_pull(sim_t *sim, node_t *n, const event_t *e)
{
	config_reply_msg_t *reply = config_sync_pull_reply(n->s, &e->pull);

	if (reply)
		n->sent_bytes += wire_size(reply) + SEAL_HEADER_LEN +
				 4 * (size_t)UDP_IP_BYTES;
	schedule(sim, EVENT_REPLY, e->from, n->index, random_latency_ms(sim))
		->reply = reply;
}

static void deliver(sim_t *sim, event_t *e)
{
	node_t *n = &sim->nodes[e->to];
	endpoint_t from = sim->nodes[e->from].addr;
	platform_result_t result = { e->status, e->text,
				     e->text ? strlen(e->text) : 0, NULL };

	if (!n->s || n->generation != e->generation)
		return;
	if (e->kind == EVENT_HELLO)
		config_sync_receive_hello(n->s, sim->now, &from, &e->hello);
	else if (e->kind == EVENT_PULL)
		answer_pull(sim, n, e);
	else if (e->kind == EVENT_REPLY)
		config_sync_pull_done(n->s, sim->now, &from, e->reply);
	else if (e->kind == EVENT_READ) {
		n->read_bytes += result.len;
		config_sync_read_done(n->s, sim->now, &result);
	} else {
		result.text = live_list_text(sim);
		result.len = strlen(result.text);
		n->read_bytes += result.len;
		config_sync_live_list_done(n->s, sim->now, &result);
	}
}

static void step(sim_t *sim)
{
	unsigned slot = (unsigned)(sim->now / STEP_MS % SIM_STEPS_MAX);
	GPtrArray *due = sim->events[slot];

	sim->events[slot] = g_ptr_array_new();
	for (guint i = 0; i < due->len; i++) {
		event_t *e = g_ptr_array_index(due, i);

		/* Messages to a suspended process wait until it resumes. */
		if (sim->nodes[e->to].frozen) {
			g_ptr_array_add(
				sim->events[(slot + 20) % SIM_STEPS_MAX], e);
			continue;
		}
		deliver(sim, e);
		event_free(e);
	}
	g_ptr_array_free(due, TRUE);
	for (unsigned i = 0; i < sim->n; i++) {
		node_t *n = &sim->nodes[i];

		if (n->watch_until_ms && sim->now >= n->watch_until_ms) {
			n->watch_until_ms = 0;
			schedule_read_result(n, PLATFORM_UNCHANGED);
		}
		if (n->s && !n->frozen &&
		    (sim->now / STEP_MS + i) % TICK_STEPS == 0)
			config_sync_tick(n->s, sim->now);
	}
	sim->now += STEP_MS;
	if (sim->now % 1000 == 0)
		sim->calls_this_second = 0;
}

void sim_run(sim_t *sim, uint64_t ms)
{
	for (uint64_t end = sim->now + ms; sim->now < end;)
		step(sim);
}

void sim_publish(sim_t *sim, int partition, uint64_t version, char *text)
{
	for (int v = 0; v < 2; v++) {
		if (partition >= 0 && v != partition)
			continue;
		g_free(sim->documents[v]);
		sim->documents[v] = g_strdup(text);
		sim->versions[v] = version;
	}
	for (unsigned i = 0; i < sim->n; i++) {
		node_t *n = &sim->nodes[i];

		if (n->watch_until_ms && n->partition < 2 &&
		    sim->platform_mode != DOWN &&
		    n->watch_after < sim->versions[n->partition]) {
			n->watch_until_ms = 0;
			schedule_read_result(n, PLATFORM_DOCUMENT);
		}
	}
	g_free(text);
}

void sim_publish_version(sim_t *sim, uint64_t version)
{
	char *text = config_example(SERVICES, TARGETS_PER_SERVICE, version);

	/* Only one service changes. */
	strstr(text, "= 2000")[2] = (char)('1' + version % 9);
	sim_publish(sim, -1, version, text);
}

unsigned sim_count_without(const sim_t *sim, uint64_t version)
{
	unsigned missing = 0;

	for (unsigned i = 0; i < sim->n; i++) {
		const node_t *n = &sim->nodes[i];

		if (n->s && !n->frozen &&
		    (!config_sync_current(n->s) ||
		     config_sync_current(n->s)->version != version))
			missing++;
	}
	return missing;
}

uint64_t sim_run_until_in_force(sim_t *sim, uint64_t version, uint64_t bound)
{
	uint64_t start = sim->now;

	while (sim_count_without(sim, version) && sim->now - start < bound)
		sim_run(sim, 50);
	return sim->now - start;
}

void sim_init(sim_t *sim, unsigned n, uint32_t seed)
{
	sim->n = n;
	sim->now = 1000000;
	sim->rand = g_rand_new_with_seed(seed);
	for (int i = 0; i < SIM_STEPS_MAX; i++)
		sim->events[i] = g_ptr_array_new();
	for (unsigned i = 0; i < n; i++)
		sim->nodes[i].addr = node_endpoint(i);
}

void sim_clear(sim_t *sim)
{
	for (unsigned i = 0; i < sim->n; i++)
		sim_stop(&sim->nodes[i]);
	for (int i = 0; i < SIM_STEPS_MAX; i++) {
		for (guint j = 0; j < sim->events[i]->len; j++)
			event_free(g_ptr_array_index(sim->events[i], j));
		g_ptr_array_free(sim->events[i], TRUE);
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
	sim_run_until_in_force(sim, 5, 30000);
	sim_run(sim, 5000);
	return sim;
}

void sim_free(sim_t *sim)
{
	sim_clear(sim);
	g_free(sim);
}

unsigned sim_count_reverts(const sim_t *sim)
{
	unsigned n = 0;

	for (unsigned i = 0; i < sim->n; i++)
		n += sim->nodes[i].reverts;
	return n;
}
