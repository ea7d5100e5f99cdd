#include "agent_int.h"
#include "rank.h"
#include <stdlib.h>
#include <string.h>

#define WITNESSES 2 /* of one agent */
/* Score factor of members in the agent's zone: other zones are preferred. */
#define SAME_ZONE_FACTOR 1e-9
/* Rate and burst limits of the messages to each witness. */
#define BYTES_PER_S 650
#define BURST_BYTES 1300
/* Size of a sealed witness message without its flows. */
#define OVERHEAD_BYTES 96
/* Interval between batches; witness_flush() may send one earlier. */
#define BATCH_INTERVAL_MS 1000
/* Bytes of flows in one message. */
#define BATCH_BYTES 1024
/*
 * Flows that were announced are announced again at this interval, up to this
 * many bytes a batch, because messages may be lost.
 */
#define REFRESH_INTERVAL_MS 2000
#define REFRESH_BYTES	    256
/* Bytes of one flow in opened_flows and closed_flows of a message. */
#define OPENED_BYTES 7
#define CLOSED_BYTES 4
/* Closed flows queued for the next batch; others expire at the witness. */
#define CLOSED_MAX 256
/*
 * Flows of other members that are kept, and the time after which a flow that
 * was not announced again expires.
 */
#define KNOWN_FLOWS_MAX 16384
#define KNOWN_EXPIRY_MS (10 * 60 * 1000)
/* Intervals between choices of witnesses and scans of the known flows. */
#define CHOICE_INTERVAL_MS 1000
#define SCAN_INTERVAL_MS   1000
#define BUCKETS		   4096 /* a power of two */
/* A restarted holder has this long to announce its flows again. */
#define REANNOUNCE_MS 5000
/* Probes sent in one scan, probes to one caller, and their interval. */
#define PROBES_PER_SCAN	  100
#define PROBES_MAX	  6
#define PROBE_INTERVAL_MS 500

/* A flow that another member, its holder, has announced. */
typedef struct known_flow {
	list_t chain;	 /* same bucket */
	list_t order;	 /* in order of last_heard_ms */
	uint32_t holder; /* target id */
	uint32_t hash;	 /* low half of the flow's hash */
	uint32_t ip;
	uint16_t port;
	uint8_t class_index;
	uint8_t probes;	      /* sent to the caller */
	uint64_t incarnation; /* of the holder when it announced the flow */
	uint64_t last_heard_ms;
	uint64_t last_probe_ms;
} known_flow_t;

struct witness {
	list_t unannounced_flows; /* to be announced, by flow_t.witness_node */
	list_t announced_flows;	  /* least recently announced first */
	uint32_t closed[CLOSED_MAX]; /* low halves of hashes, not sent yet */
	size_t nclosed;
	int64_t credit; /* thousandths of a byte that may be sent */
	uint64_t next_batch_ms;
	uint64_t credit_updated_ms;
	uint64_t next_refresh_ms;      /* next repeated announcement */
	uint32_t witnesses[WITNESSES]; /* target ids */
	size_t nwitnesses;
	uint64_t next_choice_ms; /* of witnesses */
	uint64_t next_scan_ms;	 /* of known flows */
	list_t buckets[BUCKETS];
	list_t known; /* known_flow_t, owned */
	size_t nknown;
};

static void remove_known(witness_t *w, known_flow_t *k);
static known_flow_t *find_known(witness_t *w, uint32_t holder, uint32_t hash);
static void add_known(agent_t *a, uint64_t now, const witness_msg_t *msg,
		      const uint8_t *bytes);
static size_t choose_witnesses(const agent_t *a, uint32_t *witnesses);
static void update_witnesses(agent_t *a, uint64_t now);
static size_t pack_flow(const flow_t *f, uint8_t *out);
static size_t pack_flows(witness_t *w, list_t *from, size_t bytes,
			 uint8_t *out);
static size_t update_credit(witness_t *w, uint64_t now);
static size_t pack_closed(witness_t *w, size_t bytes, uint8_t *out);
static void send_batch(agent_t *a, uint64_t now);
static void probe_caller(agent_t *a, uint64_t now, known_flow_t *k);
static bool holder_lost(agent_t *a, const known_flow_t *k);
static bool holder_restarted(agent_t *a, uint64_t now, known_flow_t *k);
static void scan_known(agent_t *a, uint64_t now);
static bool any_dead(const agent_t *a);

witness_t *witness_new(void)
{
	witness_t *w = calloc(1, sizeof(*w));

	if (!w)
		return NULL;
	list_init(&w->unannounced_flows);
	list_init(&w->announced_flows);
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
	list_append(&a->witness->unannounced_flows, &f->witness_node);
}

void witness_flow_closed(agent_t *a, flow_t *f)
{
	witness_t *w = a->witness;

	list_remove(&f->witness_node);
	if (f->announced && w->nclosed < CLOSED_MAX)
		w->closed[w->nclosed++] = (uint32_t)f->hash;
	f->announced = false;
}

static void remove_known(witness_t *w, known_flow_t *k)
{
	list_remove(&k->chain);
	list_remove(&k->order);
	free(k);
	w->nknown--;
}

static known_flow_t *find_known(witness_t *w, uint32_t holder, uint32_t hash)
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

static void add_known(agent_t *a, uint64_t now, const witness_msg_t *msg,
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
	k = find_known(w, msg->target, hash);
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
	k->last_heard_ms = now;
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
		add_known(a, now, msg, msg->opened_flows.data + i);
	for (size_t i = 0; i + CLOSED_BYTES <= msg->closed_flows.len;
	     i += CLOSED_BYTES) {
		uint32_t hash = (uint32_t)closed[i] << 24 |
				(uint32_t)closed[i + 1] << 16 |
				(uint32_t)closed[i + 2] << 8 | closed[i + 3];
		known_flow_t *k = find_known(a->witness, msg->target, hash);

		if (k)
			remove_known(a->witness, k);
	}
}

/*
 * Chooses up to WITNESSES reachable members by rendezvous hashing of the
 * agent's target, members of other zones first. Returns their number.
 */
static size_t choose_witnesses(const agent_t *a, uint32_t *witnesses)
{
	double scores[WITNESSES];
	size_t n = 0;

	for (size_t i = 0; i < a->group.n; i++) {
		const member_t *m = &a->group.members[i];
		const target_t *t = service_target_by_id(a->service, m->id);
		rank_member_t r = { m->id, 1.0 };
		double score = rank_score(a->target->id, &r);
		size_t pos;

		if (m->id == a->target->id || !m->configured || !t ||
		    !member_reachable(m))
			continue;
		if (strcmp(t->zone, a->target->zone) == 0)
			score *= SAME_ZONE_FACTOR;
		for (pos = n; pos > 0 && score > scores[pos - 1]; pos--)
			if (pos < WITNESSES) {
				scores[pos] = scores[pos - 1];
				witnesses[pos] = witnesses[pos - 1];
			}
		if (pos == WITNESSES)
			continue;
		scores[pos] = score;
		witnesses[pos] = m->id;
		if (n < WITNESSES)
			n++;
	}
	return n;
}

/*
 * Chooses the witnesses again when due. When one is new, all flows are queued
 * and announced as fast as the rate limit allows.
 */
static void update_witnesses(agent_t *a, uint64_t now)
{
	witness_t *w = a->witness;
	uint32_t witnesses[WITNESSES];
	bool any_new = false;
	size_t n;

	if (now < w->next_choice_ms)
		return;
	w->next_choice_ms = now + CHOICE_INTERVAL_MS;
	n = choose_witnesses(a, witnesses);
	for (size_t i = 0; i < n; i++) {
		bool found = false;

		for (size_t j = 0; j < w->nwitnesses; j++)
			found |= w->witnesses[j] == witnesses[i];
		any_new |= !found;
	}
	memcpy(w->witnesses, witnesses, n * sizeof(*witnesses));
	w->nwitnesses = n;
	if (!any_new)
		return;
	list_each_safe(node, after, &w->announced_flows)
	{
		list_remove(node);
		list_append(&w->unannounced_flows, node);
	}
}

static size_t pack_flow(const flow_t *f, uint8_t *out)
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

/*
 * Writes flows of a list, each at most once, and moves them to the end of
 * announced_flows. Returns the bytes written.
 */
static size_t pack_flows(witness_t *w, list_t *from, size_t bytes, uint8_t *out)
{
	const list_t *last = from->prev;
	size_t len = 0;

	while (!list_empty(from) && len + OPENED_BYTES <= bytes) {
		list_t *node = from->next;
		flow_t *f = list_entry(node, flow_t, witness_node);

		len += pack_flow(f, out + len);
		f->announced = true;
		list_remove(node);
		list_append(&w->announced_flows, node);
		if (node == last)
			break;
	}
	return len;
}

/* Adds the credit earned since the last call. Returns the bytes allowed. */
static size_t update_credit(witness_t *w, uint64_t now)
{
	int64_t max = (int64_t)BURST_BYTES * 1000;

	w->credit += (int64_t)(now - w->credit_updated_ms) * BYTES_PER_S;
	w->credit_updated_ms = now;
	if (w->credit > max)
		w->credit = max;
	return w->credit > 0 ? (size_t)w->credit / 1000 : 0;
}

static size_t pack_closed(witness_t *w, size_t bytes, uint8_t *out)
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

/*
 * Sends queued opens and closes, as far as the rate limit allows, and repeated
 * announcements in the room left.
 */
static void send_batch(agent_t *a, uint64_t now)
{
	witness_t *w = a->witness;
	uint8_t opened[BATCH_BYTES];
	uint8_t closed[BATCH_BYTES];
	size_t room = update_credit(w, now);
	witness_msg_t msg;

	if (room < OVERHEAD_BYTES + OPENED_BYTES || !w->nwitnesses)
		return;
	room -= OVERHEAD_BYTES;
	if (room > BATCH_BYTES)
		room = BATCH_BYTES;
	ct__witness__init(&msg);
	msg.opened_flows.data = opened;
	msg.opened_flows.len =
		pack_flows(w, &w->unannounced_flows, room, opened);
	room -= msg.opened_flows.len;
	msg.closed_flows.data = closed;
	msg.closed_flows.len = pack_closed(w, room, closed);
	room -= msg.closed_flows.len;
	if (now >= w->next_refresh_ms) {
		w->next_refresh_ms = now + REFRESH_INTERVAL_MS;
		msg.opened_flows.len +=
			pack_flows(w, &w->announced_flows,
				   room < REFRESH_BYTES ? room : REFRESH_BYTES,
				   opened + msg.opened_flows.len);
	}
	if (msg.opened_flows.len + msg.closed_flows.len == 0)
		return;
	msg.service = a->service->id;
	msg.target = a->target->id;
	msg.incarnation = a->incarnation;
	w->next_batch_ms = now + BATCH_INTERVAL_MS;
	w->credit -= (int64_t)(OVERHEAD_BYTES + msg.opened_flows.len +
			       msg.closed_flows.len) *
		     1000;
	for (size_t i = 0; i < w->nwitnesses; i++) {
		member_t *m = group_member(&a->group, w->witnesses[i]);

		if (m)
			a->ops.send(a->ctx, &m->agent, MSG_WITNESS, &msg);
	}
	counter_add(&a->counters, COUNTER_WITNESS_FLOWS,
		    msg.opened_flows.len / OPENED_BYTES);
}

/*
 * Sends the caller a segment with random sequence numbers, almost surely
 * outside its window, which it must acknowledge (RFC 793). The acknowledgement
 * is looked up at all members like any packet: it reaches the holder, or the
 * last member asked resets the flow with the sequence number in it.
 */
static void probe_caller(agent_t *a, uint64_t now, known_flow_t *k)
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
	k->last_probe_ms = now;
	counter_add(&a->counters, COUNTER_WITNESS_PROBES, 1);
	a->ops.reply(a->ctx, buf, packet_build(&p, buf));
}

/* The holder was declared dead or is no longer in the group. */
static bool holder_lost(agent_t *a, const known_flow_t *k)
{
	const member_t *m = group_member(&a->group, k->holder);

	if (!m)
		return true;
	return m->state == MEMBER_DEAD;
}

/*
 * The holder has restarted and did not announce this flow again, so it may not
 * know it. The caller's answer to a probe makes it verify the flow with its
 * backend server. After PROBES_MAX probes the new incarnation is noted, which
 * ends the probes.
 */
static bool holder_restarted(agent_t *a, uint64_t now, known_flow_t *k)
{
	const member_t *m = group_member(&a->group, k->holder);

	if (!m || !member_reachable(m) || m->incarnation <= k->incarnation ||
	    k->last_heard_ms + REANNOUNCE_MS > now)
		return false;
	if (k->probes < PROBES_MAX)
		return true;
	k->incarnation = m->incarnation;
	k->probes = 0;
	return false;
}

/*
 * Removes expired flows and probes the callers of flows whose holder is lost or
 * has restarted.
 */
static void scan_known(agent_t *a, uint64_t now)
{
	witness_t *w = a->witness;
	unsigned sent = 0;

	list_each_safe(node, after, &w->known)
	{
		known_flow_t *k = list_entry(node, known_flow_t, order);

		if (k->last_heard_ms + KNOWN_EXPIRY_MS < now) {
			remove_known(w, k);
			continue;
		}
		if (sent == PROBES_PER_SCAN)
			return;
		if (k->last_probe_ms + PROBE_INTERVAL_MS > now ||
		    (!holder_restarted(a, now, k) && !holder_lost(a, k)))
			continue;
		if (k->probes == PROBES_MAX) {
			remove_known(w, k);
			continue;
		}
		probe_caller(a, now, k);
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
	if (w->nknown && (any_dead(a) || now >= w->next_scan_ms)) {
		w->next_scan_ms = now + SCAN_INTERVAL_MS;
		scan_known(a, now);
	}
	update_witnesses(a, now);
	if (now >= w->next_batch_ms)
		send_batch(a, now);
}

void witness_flush(agent_t *a, uint64_t now)
{
	witness_t *w = a->witness;

	if (mechanism_disabled(a->options.off, MECHANISM_WITNESS))
		return;
	update_witnesses(a, now);
	if (update_credit(w, now) >= BURST_BYTES / 2)
		send_batch(a, now);
}

size_t agent_witnessed_flows(const agent_t *a)
{
	return a->witness->nknown;
}
