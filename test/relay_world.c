#include "relay_world.h"
#include "fleet_packet.h"
#include "relay_agent.h"
#include "relay_balancer.h"
#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define SERVICE		"feeds"
#define ZONE		"z"
#define ADDRESS		0xc6120001u
#define PORT		443
#define BALANCER_IP	0x0a010001u
#define AGENT_IP	0x0a020001u
#define CALLER_IP	0x64400001u
#define FLOWS_MAX	60000
#define ONE_WAY_US	1000
#define TICK_US		25000
#define ENTRY_GONE_MS	2300
#define COLD_MS		2000
#define COLD_FACTOR	1.6
#define TRIES		3
#define SYN_GIVEN_UP_US 1400000

typedef struct event {
	uint64_t at; /* us */
	uint64_t order;
	void (*run)(relay_world_t *w, struct event *e);
	unsigned a, b; /* what it is about */
	uint32_t host;
	size_t len;
	uint8_t buf[];
} event_t;

/* One request of a caller, over up to TRIES flows. */
typedef struct request {
	uint64_t asked; /* us */
	unsigned tries;
	unsigned user; /* 0: a fresh one */
	unsigned runs; /* of the attempt under way */
	bool done;
} request_t;

typedef struct wflow {
	bool open;
	bool closed;
	int server;	  /* that accepted it, -1 none */
	unsigned epoch;	  /* of that server */
	unsigned user;	  /* whose long flow it is, 0 none */
	unsigned request; /* under way, 0 none */
	unsigned sent;	  /* packets with data */
	uint32_t isn;
	uint32_t acked;
	bool busy_at_server;
} wflow_t;

typedef struct server {
	bool up;
	bool draining;
	unsigned epoch;
	unsigned busy;
	GQueue *waiting; /* of flow numbers */
	double speed;
	double factor;
	uint64_t warm_at; /* us */
} server_t;

typedef struct user {
	unsigned flow;	  /* 0: none */
	unsigned request; /* under way */
} user_t;

struct relay_world {
	rw_options_t o;
	uint64_t now; /* us */
	uint64_t order;
	GArray *heap; /* of event_t * */
	relay_balancer_t **balancers;
	bool *rotation;
	relay_agent_t **agents;
	server_t *servers;
	user_t *users;
	wflow_t *flows;
	unsigned nflows;
	GArray *requests; /* of request_t */
	GPtrArray *peers; /* of peer_t, owned */
	double rate;
	uint64_t random;
	uint64_t revision;
	uint64_t version;
	rw_result_t result;
	uint64_t counted_from; /* us */
};

typedef struct peer {
	relay_world_t *w;
	unsigned i;
} peer_t;

static double chance(relay_world_t *w)
{
	w->random = w->random * 6364136223846793005ULL + 1442695040888963407ULL;
	return (double)(w->random >> 11) * 0x1.0p-53;
}

static double spread(relay_world_t *w, double mean)
{
	return -log(1 - chance(w)) * mean;
}

static uint64_t ms(const relay_world_t *w)
{
	return w->now / 1000;
}

/* The heap of events: earliest first, then in the order they were made. */
static bool before(const event_t *x, const event_t *y)
{
	return x->at < y->at || (x->at == y->at && x->order < y->order);
}

static event_t *push(relay_world_t *w, uint64_t delay,
		     void (*run)(relay_world_t *w, event_t *e),
		     const uint8_t *buf, size_t len)
{
	event_t *e = g_malloc0(sizeof(*e) + len);
	event_t **h;
	guint i = w->heap->len;

	e->at = w->now + delay;
	e->order = ++w->order;
	e->run = run;
	e->len = len;
	if (len)
		memcpy(e->buf, buf, len);
	g_array_append_val(w->heap, e);
	h = (event_t **)(void *)w->heap->data;
	while (i > 0 && before(e, h[(i - 1) / 2])) {
		h[i] = h[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	h[i] = e;
	return e;
}

static event_t *pop(relay_world_t *w)
{
	event_t **h = (event_t **)(void *)w->heap->data;
	event_t *first = h[0], *last = h[w->heap->len - 1];
	guint i = 0, n = w->heap->len - 1;

	g_array_set_size(w->heap, n);
	while (2 * i + 1 < n) {
		guint child = 2 * i + 1;

		if (child + 1 < n && before(h[child + 1], h[child]))
			child++;
		if (!before(h[child], last))
			break;
		h[i] = h[child];
		i = child;
	}
	if (n)
		h[i] = last;
	return first;
}

static void put(uint8_t *at, uint32_t value, int bytes)
{
	while (bytes-- > 0) {
		at[bytes] = (uint8_t)value;
		value >>= 8;
	}
}

static size_t build(uint8_t *buf, unsigned flow, bool to_service, uint8_t wire,
		    uint32_t seq, uint32_t ack, unsigned payload)
{
	memset(buf, 0, 32 + payload);
	put(buf, payload, 2);
	put(buf + 2, seq, 4);
	put(buf + 6, ack, 4);
	put(buf + (to_service ? 14 : 20), CALLER_IP + flow / 60000, 4);
	put(buf + (to_service ? 18 : 24), 1024 + flow % 60000, 2);
	put(buf + (to_service ? 20 : 14), ADDRESS, 4);
	put(buf + (to_service ? 24 : 18), PORT, 2);
	buf[26] = wire;
	return 32 + payload;
}

static unsigned flow_of(uint32_t ip, uint16_t port)
{
	return (ip - CALLER_IP) * 60000 + port - 1024;
}

/* Callers */

static void begin_try(relay_world_t *w, unsigned request);

static request_t *request_at(relay_world_t *w, unsigned i)
{
	return &g_array_index(w->requests, request_t, i);
}

static void at_balancer(relay_world_t *w, event_t *e)
{
	relay_balancer_packet(w->balancers[e->a], ms(w), e->buf, e->len);
}

/* The fabric hands a flow's packets to one of the balancers in rotation. */
static void from_caller(relay_world_t *w, unsigned flow, uint8_t wire,
			uint32_t seq, uint32_t ack, unsigned payload)
{
	uint8_t buf[RELAY_PACKET_MAX];
	size_t len = build(buf, flow, true, wire, seq, ack, payload);
	unsigned b = (flow * 2654435761u >> 8) % w->o.balancers;

	for (unsigned i = 0; i < w->o.balancers && !w->rotation[b]; i++)
		b = (b + 1) % w->o.balancers;
	push(w, ONE_WAY_US, at_balancer, buf, len)->a = b;
}

static void finish(relay_world_t *w, unsigned request, bool answered)
{
	request_t *r = request_at(w, request);
	uint64_t took = w->now - r->asked;

	if (r->done)
		return;
	r->done = true;
	if (r->user)
		w->users[r->user].request = 0;
	if (r->asked < w->counted_from)
		return;
	if (!answered)
		w->result.failed++;
	else if (took <= (uint64_t)w->o.aim_ms * 1000)
		w->result.in_aim++;
	else
		w->result.late++;
}

static void drop_flow(relay_world_t *w, unsigned flow)
{
	wflow_t *f = &w->flows[flow];

	f->closed = true;
	if (f->user && w->users[f->user].flow == flow)
		w->users[f->user].flow = 0;
}

/* The try ended without an answer: another one, or the request has failed. */
static void try_failed(relay_world_t *w, unsigned flow)
{
	wflow_t *f = &w->flows[flow];
	unsigned request = f->request;

	if (f->closed)
		return;
	drop_flow(w, flow);
	f->request = 0;
	if (!request || request_at(w, request)->done)
		return;
	if (request_at(w, request)->tries >= TRIES)
		finish(w, request, false);
	else
		begin_try(w, request);
}

static void send_data(relay_world_t *w, unsigned flow);

static void repeat_data(relay_world_t *w, event_t *e)
{
	const wflow_t *f = &w->flows[e->a];

	if (!f->closed && f->request && f->sent == e->b)
		send_data(w, e->a);
}

static void send_data(relay_world_t *w, unsigned flow)
{
	wflow_t *f = &w->flows[flow];
	event_t *e;

	from_caller(w, flow, 2, 6 + f->acked, f->isn + 1, 100);
	e = push(w, 200000, repeat_data, NULL, 0);
	e->a = flow;
	e->b = f->sent;
}

static void send_syn(relay_world_t *w, event_t *e)
{
	const wflow_t *f = &w->flows[e->a];

	if (!f->open && !f->closed)
		from_caller(w, e->a, 16, 5, e->b, 0);
}

static void syn_given_up(relay_world_t *w, event_t *e)
{
	if (!w->flows[e->a].open)
		try_failed(w, e->a);
}

/* A caller whose deadline passes leaves the flow that did not answer. */
static void deadline(relay_world_t *w, event_t *e)
{
	unsigned user = request_at(w, e->a)->user;
	unsigned flow = user ? w->users[user].flow : 0;

	finish(w, e->a, false);
	if (flow && w->flows[flow].request == e->a)
		drop_flow(w, flow);
}

static void open_flow(relay_world_t *w, unsigned request)
{
	unsigned flow = ++w->nflows;
	static const uint64_t copies[] = { 0, 200000, 600000 };

	if (flow >= FLOWS_MAX)
		abort();
	w->flows[flow].server = -1;
	w->flows[flow].request = request;
	w->flows[flow].user = request_at(w, request)->user;
	if (w->flows[flow].user)
		w->users[w->flows[flow].user].flow = flow;
	for (unsigned i = 0; i < 3; i++) {
		event_t *e = push(w, copies[i], send_syn, NULL, 0);

		e->a = flow;
		e->b = i;
	}
	push(w, SYN_GIVEN_UP_US, syn_given_up, NULL, 0)->a = flow;
}

static void begin_try(relay_world_t *w, unsigned request)
{
	request_t *r = request_at(w, request);
	unsigned flow = r->user ? w->users[r->user].flow : 0;

	r->tries++;
	r->runs = 0;
	if (!flow) {
		open_flow(w, request);
		return;
	}
	w->flows[flow].request = request;
	w->flows[flow].sent++;
	send_data(w, flow);
}

static void ask(relay_world_t *w, unsigned user)
{
	request_t r = { .asked = w->now, .user = user };
	unsigned request = w->requests->len;

	if (user && w->users[user].request)
		return;
	g_array_append_val(w->requests, r);
	if (user)
		w->users[user].request = request;
	if (w->now >= w->counted_from)
		w->result.asked++;
	begin_try(w, request);
	push(w, (uint64_t)w->o.deadline_ms * 1000, deadline, NULL, 0)->a =
		request;
}

static void user_asks(relay_world_t *w, event_t *e)
{
	unsigned user = e->a;

	ask(w, user);
	push(w, (uint64_t)(spread(w, 1e6 / (w->o.user_rate * w->rate))),
	     user_asks, NULL, 0)
		->a = user;
}

static void fresh_asks(relay_world_t *w, event_t *e)
{
	(void)e;
	ask(w, 0);
	push(w, (uint64_t)(spread(w, 1e6 / (w->o.fresh_rate * w->rate))),
	     fresh_asks, NULL, 0);
}

static void answered(relay_world_t *w, unsigned flow)
{
	wflow_t *f = &w->flows[flow];
	unsigned request = f->request;

	f->acked += 100;
	f->request = 0;
	finish(w, request, true);
	if (!request_at(w, request)->user) {
		f->closed = true;
		from_caller(w, flow, 8 | 2, 6 + f->acked, f->isn + 1, 0);
	}
}

/* A reset of ours on a flow whose server lives and holds it breaks it. */
static void judge_reset(relay_world_t *w, const wflow_t *f)
{
	const server_t *s = f->server >= 0 ? &w->servers[f->server] : NULL;

	if (s && f->open && !f->closed && s->up && s->epoch == f->epoch)
		w->result.wrong_resets++;
}

static void at_caller(relay_world_t *w, event_t *e)
{
	relay_packet_t p;
	unsigned flow;
	wflow_t *f;

	if (fleet_packet_form.read(e->buf, e->len, &p) < 0)
		abort();
	flow = flow_of(p.key.dst, p.key.dport);
	f = &w->flows[flow];
	if (f->closed)
		return;
	if (p.flags & RELAY_RST) {
		judge_reset(w, f);
		try_failed(w, flow);
		return;
	}
	if (p.flags & RELAY_SYN) {
		if (f->open)
			return;
		f->open = true;
		f->server = (int)e->a;
		f->epoch = w->servers[e->a].epoch;
		f->isn = p.seq;
		f->sent++;
		send_data(w, flow);
		return;
	}
	if (p.payload_len && f->request)
		answered(w, flow);
}

/* Backend servers */

static void from_server(relay_world_t *w, unsigned server, uint8_t *buf,
			size_t len)
{
	relay_agent_answer(w->agents[server], ms(w), buf, len);
}

static void serve(relay_world_t *w, unsigned server, unsigned flow);

static void served(relay_world_t *w, event_t *e)
{
	server_t *s = &w->servers[e->a];
	unsigned flow = e->b;
	wflow_t *f = &w->flows[flow];
	uint8_t buf[RELAY_PACKET_MAX];
	size_t len;

	if (e->host != s->epoch || !s->up)
		return;
	s->busy--;
	f->busy_at_server = false;
	len = build(buf, flow, false, 2, f->isn + 1, 106 + f->acked, 500);
	from_server(w, e->a, buf, len);
	if (!g_queue_is_empty(s->waiting))
		serve(w, e->a, GPOINTER_TO_UINT(g_queue_pop_head(s->waiting)));
}

static void serve(relay_world_t *w, unsigned server, unsigned flow)
{
	server_t *s = &w->servers[server];
	double work = (0.5 + chance(w)) * w->o.work_ms * s->factor / s->speed;
	event_t *e;

	if (w->now < s->warm_at)
		work *= COLD_FACTOR;
	s->busy++;
	if (w->flows[flow].request) {
		request_t *r = request_at(w, w->flows[flow].request);

		w->result.doubled += r->runs++ > 0;
	}
	e = push(w, (uint64_t)(work * 1000), served, NULL, 0);
	e->a = server;
	e->b = flow;
	e->host = s->epoch;
}

/* A full queue: the request is not run, and the caller told. */
static void shed(relay_world_t *w, unsigned server, unsigned flow)
{
	uint8_t buf[RELAY_PACKET_MAX];
	size_t len = build(buf, flow, false, 4, 0, 0, 0);

	w->flows[flow].server = -1;
	from_server(w, server, buf, len);
}

static void give_back(relay_world_t *w, unsigned server, const event_t *e)
{
	uint8_t buf[RELAY_PACKET_MAX];

	memcpy(buf, e->buf, e->len);
	buf[26] |= 1;
	buf[27] = 0;
	from_server(w, server, buf, e->len);
}

static void at_server(relay_world_t *w, event_t *e)
{
	server_t *s = &w->servers[e->a];
	uint8_t buf[RELAY_PACKET_MAX];
	relay_packet_t p;
	unsigned flow;
	wflow_t *f;

	if (!s->up)
		return;
	if (fleet_packet_form.read(e->buf, e->len, &p) < 0)
		abort();
	flow = flow_of(p.key.src, p.key.sport);
	f = &w->flows[flow];
	if (relay_packet_opens(&p)) {
		uint32_t isn = (uint32_t)(flow * 64 + e->a) * 65536 + 7;

		from_server(w, e->a, buf,
			    build(buf, flow, false, 16 | 2, isn, 6, 0));
		return;
	}
	if (f->server != (int)e->a || f->epoch != s->epoch) {
		give_back(w, e->a, e);
		return;
	}
	if (!p.payload_len || f->busy_at_server || !f->request)
		return;
	f->busy_at_server = true;
	if (s->busy < w->o.slots)
		serve(w, e->a, flow);
	else if (g_queue_get_length(s->waiting) < w->o.queue)
		g_queue_push_tail(s->waiting, GUINT_TO_POINTER(flow));
	else
		shed(w, e->a, flow);
}

/* Operations of balancers and agents */

static void at_agent(relay_world_t *w, event_t *e)
{
	relay_agent_packet(w->agents[e->a], ms(w), e->host, e->buf, e->len);
}

/* The naive choice knows no load and offers an open to one agent. */
static void forget_load(relay_msg_t *msg)
{
	if (msg->load)
		ct__relay__load__free_unpacked(msg->load, NULL);
	msg->load = NULL;
	if (msg->kind == RELAY_OFFER)
		msg->n_candidates = msg->n_candidate_ms = 0;
}

static void message_arrives(relay_world_t *w, event_t *e)
{
	relay_msg_t *msg = relay_msg_unpack(e->buf, e->len);

	if (w->o.choice == WORLD_NAIVE)
		forget_load(msg);
	if (e->a >= AGENT_IP)
		relay_agent_message(w->agents[e->a - AGENT_IP], ms(w), e->host,
				    msg);
	else
		relay_balancer_message(w->balancers[e->a - BALANCER_IP], ms(w),
				       e->host, msg);
	relay_msg_free(msg);
}

static void to_agent(void *ctx, uint32_t agent, const uint8_t *buf, size_t len)
{
	peer_t *p = ctx;
	event_t *e = push(p->w, ONE_WAY_US, at_agent, buf, len);

	e->a = agent - AGENT_IP;
	e->host = BALANCER_IP + p->i;
}

static void send_message(peer_t *p, uint32_t from, uint32_t to,
			 const relay_msg_t *msg)
{
	uint8_t buf[RELAY_MSG_MAX];
	event_t *e = push(p->w, ONE_WAY_US, message_arrives, buf,
			  relay_msg_pack(msg, buf));

	e->a = to;
	e->host = from;
}

static void balancer_message(void *ctx, uint32_t to, const relay_msg_t *msg)
{
	peer_t *p = ctx;

	send_message(p, BALANCER_IP + p->i, to, msg);
}

static void agent_message(void *ctx, uint32_t to, const relay_msg_t *msg)
{
	peer_t *p = ctx;

	send_message(p, AGENT_IP + p->i, to, msg);
}

static void reply(void *ctx, uint32_t caller, const uint8_t *buf, size_t len)
{
	peer_t *p = ctx;

	(void)caller;
	push(p->w, ONE_WAY_US, at_caller, buf, len)->a = p->i;
}

static void deliver(void *ctx, const uint8_t *buf, size_t len)
{
	peer_t *p = ctx;

	push(p->w, 100, at_server, buf, len)->a = p->i;
}

static peer_t *new_peer(relay_world_t *w, unsigned i)
{
	peer_t *p = g_new(peer_t, 1);

	p->w = w;
	p->i = i;
	g_ptr_array_add(w->peers, p);
	return p;
}

static void publish(relay_world_t *w, unsigned balancer, unsigned target,
		    entry_state_t state)
{
	directory_t *d = relay_balancer_directory(w->balancers[balancer]);
	const server_t *s = &w->servers[target];
	target_entry_t e = { .service = SERVICE,
			     .zone = ZONE,
			     .address = { AGENT_IP + target, 80 },
			     .slots = w->o.slots,
			     .state = state,
			     .revision = ++w->revision };

	g_snprintf(e.id, sizeof(e.id), "t%u-%u", target, s->epoch);
	if (w->now < s->warm_at)
		e.warmup_ms = (uint32_t)((s->warm_at - w->now) / 1000);
	if (state == ENTRY_GONE)
		directory_remove(d, ms(w), e.id, e.revision);
	else
		directory_put(d, ms(w), &e);
}

static void publish_all(relay_world_t *w, unsigned target, entry_state_t state)
{
	for (unsigned b = 0; b < w->o.balancers; b++)
		publish(w, b, target, state);
}

static void put_routes(relay_world_t *w, unsigned balancer)
{
	route_share_t share = { .service = SERVICE, .weight = 1 };
	route_t route = { .name = "r",
			  .address = ADDRESS,
			  .port = PORT,
			  .idempotent = true,
			  .aim_ms = w->o.choice == WORLD_OURS ? w->o.aim_ms : 0,
			  .shares = &share,
			  .nshares = 1 };
	route_table_t *t = route_table_new(++w->version, 15000);

	route_table_add(t, &route, NULL);
	relay_balancer_routes(w->balancers[balancer], t);
}

static void new_balancer(relay_world_t *w, unsigned i)
{
	static const relay_balancer_ops_t ops = { to_agent, balancer_message,
						  reply };
	relay_balancer_options_t options = {
		.self = BALANCER_IP + i,
		.zone = ZONE,
		.form = &fleet_packet_form,
		.flows = FLOWS_MAX,
		.random_seed = (uint32_t)(chance(w) * 1e9) + 1,
	};

	w->balancers[i] = relay_balancer_new(&options, &ops, new_peer(w, i));
	put_routes(w, i);
	for (unsigned t = 0; t < w->o.targets; t++)
		if (w->servers[t].up && !w->servers[t].draining)
			publish(w, i, t, ENTRY_READY);
}

static void new_agent(relay_world_t *w, unsigned i, bool complete)
{
	static const relay_agent_ops_t ops = { deliver, agent_message, reply };
	relay_agent_options_t options = { .service = SERVICE,
					  .form = &fleet_packet_form,
					  .flows = FLOWS_MAX,
					  .complete = complete };

	w->agents[i] = relay_agent_new(&options, &ops, new_peer(w, i));
}

static void tick(relay_world_t *w, event_t *e)
{
	(void)e;
	for (unsigned i = 0; i < w->o.balancers; i++)
		relay_balancer_tick(w->balancers[i], ms(w));
	for (unsigned i = 0; i < w->o.targets; i++)
		relay_agent_tick(w->agents[i], ms(w));
	push(w, TICK_US, tick, NULL, 0);
}

relay_world_t *rw_open(const rw_options_t *options)
{
	relay_world_t *w = g_new0(relay_world_t, 1);
	request_t none = { .done = true };

	w->o = *options;
	w->now = 1000000;
	w->rate = 1;
	w->random = options->seed * 2 + 1;
	w->heap = g_array_new(FALSE, FALSE, sizeof(event_t *));
	w->requests = g_array_new(FALSE, FALSE, sizeof(request_t));
	g_array_append_val(w->requests, none);
	w->peers = g_ptr_array_new_with_free_func(g_free);
	w->balancers = g_new0(relay_balancer_t *, options->balancers);
	w->rotation = g_new0(bool, options->balancers);
	w->agents = g_new0(relay_agent_t *, options->targets);
	w->servers = g_new0(server_t, options->targets);
	w->users = g_new0(user_t, options->users + 1);
	w->flows = g_new0(wflow_t, FLOWS_MAX);
	for (unsigned i = 0; i < options->targets; i++) {
		w->servers[i].up = true;
		w->servers[i].speed = i ? 1 : options->slow_speed;
		w->servers[i].factor = 1;
		w->servers[i].waiting = g_queue_new();
		new_agent(w, i, true);
	}
	for (unsigned i = 0; i < options->balancers; i++) {
		w->rotation[i] = true;
		new_balancer(w, i);
	}
	push(w, 0, tick, NULL, 0);
	for (unsigned i = 1; i <= options->users; i++)
		push(w, 200000 + (uint64_t)(chance(w) * 1e6), user_asks, NULL,
		     0)
			->a = i;
	if (options->fresh_rate > 0)
		push(w, 200000, fresh_asks, NULL, 0);
	return w;
}

void rw_close(relay_world_t *w)
{
	while (w->heap->len)
		g_free(pop(w));
	for (unsigned i = 0; i < w->o.balancers; i++)
		relay_balancer_free(w->balancers[i]);
	for (unsigned i = 0; i < w->o.targets; i++) {
		relay_agent_free(w->agents[i]);
		g_queue_free(w->servers[i].waiting);
	}
	g_array_free(w->heap, TRUE);
	g_array_free(w->requests, TRUE);
	g_ptr_array_free(w->peers, TRUE);
	g_free(w->balancers);
	g_free(w->rotation);
	g_free(w->agents);
	g_free(w->servers);
	g_free(w->users);
	g_free(w->flows);
	g_free(w);
}

void rw_pass(relay_world_t *w, unsigned span_ms)
{
	uint64_t end = w->now + (uint64_t)span_ms * 1000;

	while (w->heap->len) {
		event_t *e = g_array_index(w->heap, event_t *, 0);

		if (e->at > end)
			break;
		pop(w);
		w->now = e->at;
		e->run(w, e);
		g_free(e);
	}
	w->now = end;
}

void rw_count_anew(relay_world_t *w)
{
	memset(&w->result, 0, sizeof(w->result));
	w->counted_from = w->now;
}

rw_result_t rw_result(const relay_world_t *w)
{
	return w->result;
}

void rw_rate(relay_world_t *w, double factor)
{
	w->rate = factor;
}

void rw_slow(relay_world_t *w, unsigned target, double factor)
{
	w->servers[target].factor = factor;
}

static void entry_lapses(relay_world_t *w, event_t *e)
{
	if (!w->servers[e->a].up)
		publish_all(w, e->a, ENTRY_GONE);
}

void rw_crash(relay_world_t *w, unsigned target)
{
	server_t *s = &w->servers[target];

	s->up = false;
	s->busy = 0;
	g_queue_clear(s->waiting);
	push(w, ENTRY_GONE_MS * 1000, entry_lapses, NULL, 0)->a = target;
}

void rw_start(relay_world_t *w, unsigned target)
{
	server_t *s = &w->servers[target];

	if (!s->up)
		publish_all(w, target, ENTRY_GONE);
	s->up = true;
	s->draining = false;
	s->epoch++;
	s->warm_at = w->now + COLD_MS * 1000;
	publish_all(w, target, ENTRY_READY);
}

static void leave(relay_world_t *w, event_t *e)
{
	publish_all(w, e->a, ENTRY_GONE);
	rw_crash(w, e->a);
}

void rw_drain(relay_world_t *w, unsigned target)
{
	w->servers[target].draining = true;
	publish_all(w, target, ENTRY_DRAINING);
	push(w, 5000000, leave, NULL, 0)->a = target;
}

void rw_restart_agent(relay_world_t *w, unsigned target)
{
	relay_agent_free(w->agents[target]);
	new_agent(w, target, false);
}

void rw_restart_balancer(relay_world_t *w, unsigned balancer)
{
	relay_balancer_free(w->balancers[balancer]);
	new_balancer(w, balancer);
}

void rw_rotation(relay_world_t *w, unsigned balancer, bool in)
{
	w->rotation[balancer] = in;
}
