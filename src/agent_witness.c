#include "agent_int.h"
#include "rank.h"
#include <stdlib.h>
#include <string.h>

#define WITNESSES 2
#define SAME_ZONE 1e-9 /* factor of the score: another zone goes first */
/* Bytes that may go to one witness: a second, and at once. */
#define BYTES_A_SECOND 650
#define BYTES_AT_ONCE  1300
/* What a message has besides its flows, sealed. */
#define OVERHEAD_BYTES 96
/* What waits goes out after this long at the latest if the bound lets it. */
#define BATCH_MS 1000
/* Bytes of flows in one message. */
#define BATCH_BYTES 1024
/* Flows told before are told again, against lost messages. */
#define REFRESH_MS    2000
#define REFRESH_BYTES 256
#define OPENED_BYTES  7
#define CLOSED_BYTES  4
#define CLOSED_MAX    256 /* closed flows that wait for the next message */
/* Flows of others known, and how long without being told again. */
#define KNOWN_FLOWS_MAX 16384
#define KNOWN_MS	(10 * 60 * 1000)
/* The witnesses are chosen, and what is known is looked through, so often. */
#define PEERS_MS 1000
#define WATCH_MS 1000
#define BUCKETS	 4096 /* a power of two */
/* A holder that started anew has this long to tell its flows again. */
#define RETOLD_MS 5000
/* Callers asked at a tick, times each is asked, and the time between. */
#define PROBES_A_TICK 100
#define PROBES	      6
#define PROBE_MS      500

/* A flow of another member. */
typedef struct known_flow {
	list_t chain; /* same bucket */
	list_t order; /* in order of heard_ms, or of the next probe */
	uint32_t holder;
	uint32_t hash; /* low half */
	uint32_t ip;
	uint16_t port;
	uint8_t class_index;
	uint8_t probes;	      /* sent */
	uint64_t incarnation; /* of the holder that told it */
	uint64_t heard_ms;
	uint64_t probe_ms; /* the last one */
} known_flow_t;

struct witness {
	list_t fresh; /* flows not told yet, by `news` */
	list_t cycle; /* flows told, the one told longest ago first */
	uint32_t closed[CLOSED_MAX];
	size_t nclosed;
	int64_t credit;	     /* thousandths of bytes that may be sent */
	uint64_t batch_ms;   /* when what waits goes out, few or many */
	uint64_t credit_ms;  /* when it was last raised */
	uint64_t refresh_ms; /* when old flows are due */
	uint32_t peers[WITNESSES];
	size_t npeers;
	uint64_t peers_ms; /* when they are chosen again */
	uint64_t watch_ms; /* when the known flows are looked through */
	list_t buckets[BUCKETS];
	list_t known; /* known_flow_t, owned */
	size_t nknown;
};

static void forget(witness_t *w, known_flow_t *k);
static known_flow_t *find(witness_t *w, uint32_t holder, uint32_t hash);
static void learn(agent_t *a, uint64_t now, const witness_msg_t *msg,
		  const uint8_t *bytes);
static size_t choose(const agent_t *a, uint32_t *peers);
static void note_peers(agent_t *a, uint64_t now);
static size_t put_flow(const flow_t *f, uint8_t *out);
static size_t put_flows(witness_t *w, list_t *from, size_t bytes, uint8_t *out);
static size_t credit(witness_t *w, uint64_t now);
static size_t put_closed(witness_t *w, size_t bytes, uint8_t *out);
static void send_batch(agent_t *a, uint64_t now);
static void probe(agent_t *a, uint64_t now, known_flow_t *k);
static bool holder_lost(agent_t *a, const known_flow_t *k);
static bool holder_restarted(agent_t *a, uint64_t now, known_flow_t *k);
static void watch(agent_t *a, uint64_t now);
static bool any_dead(const agent_t *a);

witness_t *witness_new(void)
{
	witness_t *w = calloc(1, sizeof(*w));

	if (!w)
		return NULL;
	list_init(&w->fresh);
	list_init(&w->cycle);
	list_init(&w->known);
	for (size_t i = 0; i < BUCKETS; i++)
		list_init(&w->buckets[i]);
	return w;
}

void witness_free(witness_t *w)
{
	if (!w)
		return;
	list_each_safe(node, after, &w->known)
		free(list_entry(node, known_flow_t, order));
	free(w);
}

void witness_flow_opened(agent_t *a, flow_t *f)
{
	if (f->key.proto != PROTO_TCP)
		return;
	list_remove(&f->witness_node);
	list_append(&a->witness->fresh, &f->witness_node);
}

void witness_flow_closed(agent_t *a, flow_t *f)
{
	witness_t *w = a->witness;

	list_remove(&f->witness_node);
	if (f->announced && w->nclosed < CLOSED_MAX)
		w->closed[w->nclosed++] = (uint32_t)f->hash;
	f->announced = false;
}

static void forget(witness_t *w, known_flow_t *k)
{
	list_remove(&k->chain);
	list_remove(&k->order);
	free(k);
	w->nknown--;
}

static known_flow_t *find(witness_t *w, uint32_t holder, uint32_t hash)
{
	list_t *bucket = &w->buckets[hash & (BUCKETS - 1)];

	list_each(node, bucket)
	{
		known_flow_t *k = list_entry(node, known_flow_t, chain);

		if (k->hash == hash && k->holder == holder)
			return k;
	}
	return NULL;
}

static void learn(agent_t *a, uint64_t now, const witness_msg_t *msg,
		  const uint8_t *bytes)
{
	witness_t *w = a->witness;
	known_flow_t *k;
	flow_key_t key = { .dst = a->service->address, .proto = PROTO_TCP };
	uint32_t hash;

	if (bytes[6] >= a->service->nclasses)
		return;
	key.src = (uint32_t)bytes[0] << 24 | (uint32_t)bytes[1] << 16 |
		  (uint32_t)bytes[2] << 8 | bytes[3];
	key.sport = (uint16_t)(bytes[4] << 8 | bytes[5]);
	key.dport = a->service->classes[bytes[6]].port;
	hash = (uint32_t)flow_key_hash(&key, a->options.rank_seed);
	k = find(w, msg->target, hash);
	if (!k) {
		if (w->nknown >= KNOWN_FLOWS_MAX)
			return;
		k = calloc(1, sizeof(*k));
		if (!k)
			return;
		w->nknown++;
		list_init(&k->order);
		list_append(&w->buckets[hash & (BUCKETS - 1)], &k->chain);
	}
	k->holder = msg->target;
	k->incarnation = msg->incarnation;
	k->hash = hash;
	k->ip = key.src;
	k->port = key.sport;
	k->class_index = bytes[6];
	k->heard_ms = now;
	k->probes = 0;
	list_remove(&k->order);
	list_append(&w->known, &k->order);
}

void witness_receive(agent_t *a, uint64_t now, const witness_msg_t *msg)
{
	const uint8_t *closed = msg->closed_flows.data;

	if (!a->service || msg->service != a->service->id)
		return;
	for (size_t i = 0; i + OPENED_BYTES <= msg->opened_flows.len;
	     i += OPENED_BYTES)
		learn(a, now, msg, msg->opened_flows.data + i);
	for (size_t i = 0; i + CLOSED_BYTES <= msg->closed_flows.len;
	     i += CLOSED_BYTES) {
		uint32_t hash = (uint32_t)closed[i] << 24 |
				(uint32_t)closed[i + 1] << 16 |
				(uint32_t)closed[i + 2] << 8 | closed[i + 3];
		known_flow_t *k = find(a->witness, msg->target, hash);

		if (k)
			forget(a->witness, k);
	}
}

/* The best members by rendezvous, those of other zones first. */
static size_t choose(const agent_t *a, uint32_t *peers)
{
	double scores[WITNESSES];
	size_t n = 0;

	for (size_t i = 0; i < a->group.n; i++) {
		const member_t *m = &a->group.members[i];
		const target_t *t = service_target_by_id(a->service, m->id);
		rank_member_t r = { m->id, 1.0 };
		double score = rank_score(a->target->id, &r);
		size_t at;

		if (m->id == a->target->id || !m->configured || !t ||
		    !member_reachable(m))
			continue;
		if (strcmp(t->zone, a->target->zone) == 0)
			score *= SAME_ZONE;
		for (at = n; at > 0 && score > scores[at - 1]; at--)
			if (at < WITNESSES) {
				scores[at] = scores[at - 1];
				peers[at] = peers[at - 1];
			}
		if (at == WITNESSES)
			continue;
		scores[at] = score;
		peers[at] = m->id;
		if (n < WITNESSES)
			n++;
	}
	return n;
}

/* A new witness is told of all flows as fast as the bound lets. */
static void note_peers(agent_t *a, uint64_t now)
{
	witness_t *w = a->witness;
	uint32_t peers[WITNESSES];
	bool new_one = false;
	size_t n;

	if (now < w->peers_ms)
		return;
	w->peers_ms = now + PEERS_MS;
	n = choose(a, peers);
	for (size_t i = 0; i < n; i++) {
		bool old = false;

		for (size_t j = 0; j < w->npeers; j++)
			old |= w->peers[j] == peers[i];
		new_one |= !old;
	}
	memcpy(w->peers, peers, n * sizeof(*peers));
	w->npeers = n;
	if (!new_one)
		return;
	list_each_safe(node, after, &w->cycle)
	{
		list_remove(node);
		list_append(&w->fresh, node);
	}
}

static size_t put_flow(const flow_t *f, uint8_t *out)
{
	out[0] = (uint8_t)(f->key.src >> 24);
	out[1] = (uint8_t)(f->key.src >> 16);
	out[2] = (uint8_t)(f->key.src >> 8);
	out[3] = (uint8_t)f->key.src;
	out[4] = (uint8_t)(f->key.sport >> 8);
	out[5] = (uint8_t)f->key.sport;
	out[6] = (uint8_t)f->class_index;
	return OPENED_BYTES;
}

/* Moves flows to the end of the cycle and writes them. */
static size_t put_flows(witness_t *w, list_t *from, size_t bytes, uint8_t *out)
{
	const list_t *last = from->prev;
	size_t len = 0;

	while (!list_empty(from) && len + OPENED_BYTES <= bytes) {
		list_t *node = from->next;
		flow_t *f = list_entry(node, flow_t, witness_node);

		len += put_flow(f, out + len);
		f->announced = true;
		list_remove(node);
		list_append(&w->cycle, node);
		if (node == last)
			break;
	}
	return len;
}

/* Bytes that may be sent now. */
static size_t credit(witness_t *w, uint64_t now)
{
	int64_t most = (int64_t)BYTES_AT_ONCE * 1000;

	w->credit += (int64_t)(now - w->credit_ms) * BYTES_A_SECOND;
	w->credit_ms = now;
	if (w->credit > most)
		w->credit = most;
	return w->credit > 0 ? (size_t)w->credit / 1000 : 0;
}

static size_t put_closed(witness_t *w, size_t bytes, uint8_t *out)
{
	size_t len = 0;
	size_t n = 0;

	while (n < w->nclosed && len + CLOSED_BYTES <= bytes) {
		uint32_t hash = w->closed[n++];

		out[len++] = (uint8_t)(hash >> 24);
		out[len++] = (uint8_t)(hash >> 16);
		out[len++] = (uint8_t)(hash >> 8);
		out[len++] = (uint8_t)hash;
	}
	w->nclosed -= n;
	memmove(w->closed, w->closed + n, w->nclosed * sizeof(*w->closed));
	return len;
}

/* News go out as soon as the bound lets them, old flows when there is room. */
static void send_batch(agent_t *a, uint64_t now)
{
	witness_t *w = a->witness;
	uint8_t opened[BATCH_BYTES];
	uint8_t closed[BATCH_BYTES];
	size_t room = credit(w, now);
	witness_msg_t msg;

	if (room < OVERHEAD_BYTES + OPENED_BYTES || !w->npeers)
		return;
	room -= OVERHEAD_BYTES;
	if (room > BATCH_BYTES)
		room = BATCH_BYTES;
	ct__witness__init(&msg);
	msg.opened_flows.data = opened;
	msg.opened_flows.len = put_flows(w, &w->fresh, room, opened);
	room -= msg.opened_flows.len;
	msg.closed_flows.data = closed;
	msg.closed_flows.len = put_closed(w, room, closed);
	room -= msg.closed_flows.len;
	if (now >= w->refresh_ms) {
		w->refresh_ms = now + REFRESH_MS;
		msg.opened_flows.len +=
			put_flows(w, &w->cycle,
				  room < REFRESH_BYTES ? room : REFRESH_BYTES,
				  opened + msg.opened_flows.len);
	}
	if (msg.opened_flows.len + msg.closed_flows.len == 0)
		return;
	msg.service = a->service->id;
	msg.target = a->target->id;
	msg.incarnation = a->incarnation;
	w->batch_ms = now + BATCH_MS;
	w->credit -= (int64_t)(OVERHEAD_BYTES + msg.opened_flows.len +
			       msg.closed_flows.len) *
		     1000;
	for (size_t i = 0; i < w->npeers; i++) {
		member_t *m = group_member(&a->group, w->peers[i]);

		if (m)
			a->ops.send(a->ctx, &m->agent, MSG_WITNESS, &msg);
	}
	counter_add(&a->counters, COUNTER_WITNESS_FLOWS,
		    msg.opened_flows.len / OPENED_BYTES);
}

/*
 * A segment that no window takes makes the caller answer (RFC 793). The
 * answer is looked up at all members like any packet: it finds the holder, or
 * the last one asked resets the flow with the number that the answer carries.
 */
static void probe(agent_t *a, uint64_t now, known_flow_t *k)
{
	uint8_t buf[PACKET_MAX];
	packet_t p = { .key = { .src = a->service->address,
				.dst = k->ip,
				.dport = k->port,
				.proto = PROTO_TCP },
		       .seq = (uint32_t)agent_random(a),
		       .ack = (uint32_t)agent_random(a),
		       .flags = TCP_ACK };

	p.key.sport = a->service->classes[k->class_index].port;
	k->probes++;
	k->probe_ms = now;
	counter_add(&a->counters, COUNTER_WITNESS_PROBES, 1);
	a->ops.reply(a->ctx, buf, packet_build(&p, buf));
}

/* The group agrees that the holder is dead, or has forgotten it. */
static bool holder_lost(agent_t *a, const known_flow_t *k)
{
	const member_t *m = group_member(&a->group, k->holder);

	if (!m)
		return true;
	return m->state == MEMBER_DEAD;
}

/*
 * The holder has started anew and did not tell this flow again: perhaps it
 * does not know of it. The caller's answer makes it ask its backend server.
 */
static bool holder_restarted(agent_t *a, uint64_t now, known_flow_t *k)
{
	const member_t *m = group_member(&a->group, k->holder);

	if (!m || !member_reachable(m) || m->incarnation <= k->incarnation ||
	    k->heard_ms + RETOLD_MS > now)
		return false;
	if (k->probes < PROBES)
		return true;
	k->incarnation = m->incarnation;
	k->probes = 0;
	return false;
}

static void watch(agent_t *a, uint64_t now)
{
	witness_t *w = a->witness;
	unsigned sent = 0;

	list_each_safe(node, after, &w->known)
	{
		known_flow_t *k = list_entry(node, known_flow_t, order);

		if (k->heard_ms + KNOWN_MS < now) {
			forget(w, k);
			continue;
		}
		if (sent == PROBES_A_TICK)
			return;
		if (k->probe_ms + PROBE_MS > now ||
		    (!holder_restarted(a, now, k) && !holder_lost(a, k)))
			continue;
		if (k->probes == PROBES) {
			forget(w, k);
			continue;
		}
		probe(a, now, k);
		sent++;
	}
}

static bool any_dead(const agent_t *a)
{
	for (size_t i = 0; i < a->group.n; i++)
		if (a->group.members[i].state == MEMBER_DEAD)
			return true;
	return false;
}

void witness_tick(agent_t *a, uint64_t now)
{
	witness_t *w = a->witness;

	if (mechanism_disabled(a->options.off, MECHANISM_WITNESS))
		return;
	if (w->nknown && (any_dead(a) || now >= w->watch_ms)) {
		w->watch_ms = now + WATCH_MS;
		watch(a, now);
	}
	note_peers(a, now);
	if (now >= w->batch_ms)
		send_batch(a, now);
}

void witness_flush(agent_t *a, uint64_t now)
{
	witness_t *w = a->witness;

	if (mechanism_disabled(a->options.off, MECHANISM_WITNESS))
		return;
	note_peers(a, now);
	if (credit(w, now) >= BYTES_AT_ONCE / 2)
		send_batch(a, now);
}

size_t agent_witnessed_flows(const agent_t *a)
{
	return a->witness->nknown;
}
