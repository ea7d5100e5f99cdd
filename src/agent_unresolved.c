#include "agent_int.h"
#include <stdlib.h>

#define BUCKETS 1024 /* a power of two */
/*
 * Flows in the table. A flow beyond them is looked up again only when its
 * caller retransmits.
 */
#define UNRESOLVED_MAX 8192
/* Interval between retries after the wait, ms, and their number. */
#define RETRY_MS    500
#define RETRIES_MAX 4
/* Unreachable members asked for one flow. */
#define UNREACHABLE_ASKED_MAX 16

/* An unknown flow that an unreachable member may hold. */
typedef struct unresolved_flow {
	list_t order; /* in waiting or retrying, in order of due_ms */
	list_t chain; /* hash bucket */
	flow_key_t key;
	uint64_t hash;
	uint64_t since_ms; /* first lookup */
	uint64_t due_ms;   /* next check by unresolved_tick() */
	uint32_t seq;	   /* of the caller's last packet */
	uint32_t ack;
	int nlookups; /* lookups that ended without a holder */
	int retries;  /* made since wait_ms() passed */
} unresolved_flow_t;

struct unresolved {
	list_t waiting;	 /* first lookup less than UNRESOLVED_MS ago */
	list_t retrying; /* older flows, checked every RETRY_MS */
	list_t buckets[BUCKETS];
	size_t count;
};

static unresolved_flow_t *find(unresolved_t *u, const flow_key_t *key,
			       uint64_t hash);
static unresolved_flow_t *add(unresolved_t *u, uint64_t now,
			      const fwd_packet_t *in);
static void drop(unresolved_t *u, unresolved_flow_t *f);
static void ask_unreachable(agent_t *a, const fwd_packet_t *in);
static void retry_lookup(agent_t *a, uint64_t now, const unresolved_flow_t *f);
static uint64_t wait_ms(const agent_t *a, uint64_t now);
static void schedule_retry(unresolved_t *u, unresolved_flow_t *f, uint64_t now);
static bool first_is_due(list_t *order, uint64_t now, unresolved_flow_t **f);

unresolved_t *unresolved_new(void)
{
	unresolved_t *u = calloc(1, sizeof(*u));

	if (!u)
		return NULL;
	list_init(&u->waiting);
	list_init(&u->retrying);
	for (size_t i = 0; i < BUCKETS; i++)
		list_init(&u->buckets[i]);
	return u;
}

void unresolved_free(unresolved_t *u)
{
	if (!u)
		return;
	list_each_safe(node, after, &u->waiting)
		free(list_entry(node, unresolved_flow_t, order));
	list_each_safe(node, after, &u->retrying)
		free(list_entry(node, unresolved_flow_t, order));
	free(u);
}

static unresolved_flow_t *find(unresolved_t *u, const flow_key_t *key,
			       uint64_t hash)
{
	list_t *bucket = &u->buckets[hash & (BUCKETS - 1)];

	list_each(node, bucket)
	{
		unresolved_flow_t *f =
			list_entry(node, unresolved_flow_t, chain);

		if (f->hash == hash && flow_key_equal(&f->key, key))
			return f;
	}
	return NULL;
}

static unresolved_flow_t *add(unresolved_t *u, uint64_t now,
			      const fwd_packet_t *in)
{
	unresolved_flow_t *f;

	if (u->count >= UNRESOLVED_MAX)
		return NULL;
	f = calloc(1, sizeof(*f));
	if (!f)
		return NULL;
	f->key = in->packet.key;
	f->hash = in->hash;
	f->since_ms = now;
	f->due_ms = now + UNRESOLVED_MS;
	list_append(&u->waiting, &f->order);
	list_append(&u->buckets[in->hash & (BUCKETS - 1)], &f->chain);
	u->count++;
	return f;
}

static void drop(unresolved_t *u, unresolved_flow_t *f)
{
	list_remove(&f->order);
	list_remove(&f->chain);
	u->count--;
	free(f);
}

/*
 * Time after the first lookup until the flow is retried. A single unreachable
 * member is a failed host. With several, this agent may be partitioned from
 * members that still hold their flows, so it waits longer.
 */
static uint64_t wait_ms(const agent_t *a, uint64_t now)
{
	unsigned unreachable = 0;

	for (size_t i = 0; i < a->group.n; i++) {
		const member_t *m = &a->group.members[i];

		/*
		 * After a partition the members recover one by one: a
		 * member that recovered recently still counts.
		 */
		unreachable += m->configured &&
			       (member_suspect_or_dead(m) ||
				(m->recovered_ms &&
				 m->recovered_ms + UNRESOLVED_MS > now));
	}
	return unreachable > 1 ? UNRESOLVED_PARTITION_MS : UNRESOLVED_MS;
}

int unresolved_add(agent_t *a, uint64_t now, const fwd_packet_t *in)
{
	unresolved_flow_t *f = find(a->unresolved, &in->packet.key, in->hash);

	if (!f)
		f = add(a->unresolved, now, in);
	if (!f)
		return 0;
	if (f->retries > 1)
		return -1;
	f->seq = in->packet.seq;
	f->ack = in->packet.ack;
	return f->nlookups++;
}

void unresolved_remove(agent_t *a, const flow_key_t *key, uint64_t hash)
{
	unresolved_flow_t *f = find(a->unresolved, key, hash);

	if (f)
		drop(a->unresolved, f);
}

void unresolved_found(agent_t *a, uint64_t now, const held_msg_t *held)
{
	flow_key_t key = { held->src_ip, held->dst_ip, (uint16_t)held->src_port,
			   (uint16_t)held->dst_port, (uint8_t)held->protocol };

	if (!a->service || held->service != a->service->id || held->gone ||
	    held->refused)
		return;
	if (held->load)
		group_apply_load(&a->group, now, held->load, NULL);
	unresolved_remove(a, &key, flow_key_hash(&key, a->options.rank_seed));
}

/* Sends the segment to the unreachable members: some may answer again. */
static void ask_unreachable(agent_t *a, const fwd_packet_t *in)
{
	fwd_packet_t out = *in;
	unsigned sent = 0;
	packet_msg_t msg;

	out.only_you = true;
	out.reply = a->options.self;
	fwd_packet_message(&out, &msg);
	msg.service = a->service->id;
	msg.digest = a->config->digest;
	for (size_t i = 0; i < a->group.n && sent < UNREACHABLE_ASKED_MAX;
	     i++) {
		const member_t *m = &a->group.members[i];

		if (m->id == a->target->id ||
		    (m->state != MEMBER_SUSPECT && m->state != MEMBER_DEAD))
			continue;
		a->ops.send(a->ctx, &m->agent, MSG_PACKET, &msg);
		sent++;
	}
}

/*
 * The first retry sends an empty segment to the unreachable members: a holder
 * delivers it to its backend server, which ignores it, and reports to this
 * agent that it holds the flow. Later retries look the flow up at all members
 * from the start; the last member asked resets the caller.
 */
static void retry_lookup(agent_t *a, uint64_t now, const unresolved_flow_t *f)
{
	uint8_t buf[PACKET_MAX];
	packet_t p = { .key = f->key,
		       .seq = f->seq - 1,
		       .ack = f->ack,
		       .flags = TCP_ACK,
		       .window = UINT16_MAX };
	fwd_packet_t in = { .hash = f->hash,
			    .step = STEP_LOOKUP,
			    .version = a->config->version };
	size_t len = packet_build(&p, buf);

	if (packet_parse(buf, len, &in.packet) != PACKET_OK)
		return;
	if (f->retries == 1) {
		ask_unreachable(a, &in);
		return;
	}
	in.silence_over = true;
	agent_handle_packet(a, now, &in);
}

static bool first_is_due(list_t *order, uint64_t now, unresolved_flow_t **f)
{
	if (list_empty(order))
		return false;
	*f = list_entry(order->next, unresolved_flow_t, order);
	/* The analyser loses track of nodes removed from a list. */
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
	return (*f)->due_ms <= now;
}

static void schedule_retry(unresolved_t *u, unresolved_flow_t *f, uint64_t now)
{
	f->due_ms = now + RETRY_MS;
	list_remove(&f->order);
	list_append(&u->retrying, &f->order);
}

void unresolved_tick(agent_t *a, uint64_t now)
{
	unresolved_t *u = a->unresolved;
	unresolved_flow_t *f;

	while (first_is_due(&u->retrying, now, &f) ||
	       first_is_due(&u->waiting, now, &f)) {
		unresolved_flow_t copy;

		if (f->since_ms + wait_ms(a, now) > now) {
			schedule_retry(u, f, now);
			continue;
		}
		if (f->retries == RETRIES_MAX) {
			drop(u, f);
			continue;
		}
		f->retries++;
		schedule_retry(u, f, now);
		/* The lookup may remove the entry. */
		copy = *f;
		retry_lookup(a, now, &copy);
	}
}
