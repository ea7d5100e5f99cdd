#include "agent_int.h"
#include <stdlib.h>

#define BUCKETS 1024 /* a power of two */
/* Flows noted; more are answered by what their callers send again. */
#define SILENCES_MAX 8192
/* Time between two attempts when the silence is over, and their number. */
#define AGAIN_MS  500
#define AGAIN_MAX 4
/* Silent members asked for one flow. */
#define SILENT_ASKED 16

/* A flow that some member may hold which could not be asked. */
typedef struct silence {
	list_t order; /* in order of due_ms */
	list_t chain; /* same bucket */
	flow_key_t key;
	uint64_t hash;
	uint64_t since_ms;
	uint64_t due_ms;
	uint32_t seq; /* of the caller's last packet */
	uint32_t ack;
	int noted; /* lookups that ended without a holder */
	int again; /* attempts since the silence was over */
} silence_t;

struct unresolved {
	list_t waiting; /* the silence lasts */
	list_t over;	/* asked once more */
	list_t buckets[BUCKETS];
	size_t count;
};

static silence_t *find(unresolved_t *s, const flow_key_t *key, uint64_t hash);
static silence_t *add(unresolved_t *s, uint64_t now, const fwd_packet_t *in);
static void drop(unresolved_t *s, silence_t *x);
static void ask_silent(agent_t *a, const fwd_packet_t *in);
static void ask_again(agent_t *a, uint64_t now, const silence_t *x);
static uint64_t bound(const agent_t *a, uint64_t now);
static void defer(unresolved_t *s, silence_t *x, uint64_t now);
static bool due(list_t *order, uint64_t now, silence_t **x);

unresolved_t *unresolved_new(void)
{
	unresolved_t *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	list_init(&s->waiting);
	list_init(&s->over);
	for (size_t i = 0; i < BUCKETS; i++)
		list_init(&s->buckets[i]);
	return s;
}

void unresolved_free(unresolved_t *s)
{
	if (!s)
		return;
	list_each_safe(node, after, &s->waiting)
		free(list_entry(node, silence_t, order));
	list_each_safe(node, after, &s->over)
		free(list_entry(node, silence_t, order));
	free(s);
}

static silence_t *find(unresolved_t *s, const flow_key_t *key, uint64_t hash)
{
	list_t *bucket = &s->buckets[hash & (BUCKETS - 1)];

	list_each(node, bucket)
	{
		silence_t *x = list_entry(node, silence_t, chain);

		if (x->hash == hash && flow_key_equal(&x->key, key))
			return x;
	}
	return NULL;
}

static silence_t *add(unresolved_t *s, uint64_t now, const fwd_packet_t *in)
{
	silence_t *x;

	if (s->count >= SILENCES_MAX)
		return NULL;
	x = calloc(1, sizeof(*x));
	if (!x)
		return NULL;
	x->key = in->packet.key;
	x->hash = in->hash;
	x->since_ms = now;
	x->due_ms = now + UNRESOLVED_MS;
	list_append(&s->waiting, &x->order);
	list_append(&s->buckets[in->hash & (BUCKETS - 1)], &x->chain);
	s->count++;
	return x;
}

static void drop(unresolved_t *s, silence_t *x)
{
	list_remove(&x->order);
	list_remove(&x->chain);
	s->count--;
	free(x);
}

/*
 * One silent member is a lost host. With more of them we may be cut off
 * ourselves, and their flows go on without us.
 */
static uint64_t bound(const agent_t *a, uint64_t now)
{
	unsigned silent = 0;

	for (size_t i = 0; i < a->group.n; i++) {
		const member_t *m = &a->group.members[i];

		/* The end of a partition is seen of one after another. */
		silent += m->configured &&
			  (member_suspect_or_dead(m) ||
			   (m->recovered_ms &&
			    m->recovered_ms + UNRESOLVED_MS > now));
	}
	return silent > 1 ? UNRESOLVED_PARTITION_MS : UNRESOLVED_MS;
}

int unresolved_add(agent_t *a, uint64_t now, const fwd_packet_t *in)
{
	silence_t *x = find(a->unresolved, &in->packet.key, in->hash);

	if (!x)
		x = add(a->unresolved, now, in);
	if (!x)
		return 0;
	if (x->again > 1)
		return -1;
	x->seq = in->packet.seq;
	x->ack = in->packet.ack;
	return x->noted++;
}

void unresolved_remove(agent_t *a, const flow_key_t *key, uint64_t hash)
{
	silence_t *x = find(a->unresolved, key, hash);

	if (x)
		drop(a->unresolved, x);
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

/* The silent members get an empty segment each: one may be back. */
static void ask_silent(agent_t *a, const fwd_packet_t *in)
{
	fwd_packet_t out = *in;
	unsigned sent = 0;
	packet_msg_t msg;

	out.only_you = true;
	out.reply = a->options.self;
	fwd_packet_message(&out, &msg);
	msg.service = a->service->id;
	msg.digest = a->config->digest;
	for (size_t i = 0; i < a->group.n && sent < SILENT_ASKED; i++) {
		const member_t *m = &a->group.members[i];

		if (m->id == a->target->id ||
		    (m->state != MEMBER_SUSPECT && m->state != MEMBER_DEAD))
			continue;
		a->ops.send(a->ctx, &m->agent, MSG_PACKET, &msg);
		sent++;
	}
}

/*
 * Once the silent members are asked with a segment that carries nothing; a
 * holder hands it to its server, which ignores it, and answers us. Then the
 * flow is looked up from the start, and the last one asked resets it.
 */
static void ask_again(agent_t *a, uint64_t now, const silence_t *x)
{
	uint8_t buf[PACKET_MAX];
	packet_t p = { .key = x->key,
		       .seq = x->seq - 1,
		       .ack = x->ack,
		       .flags = TCP_ACK,
		       .window = UINT16_MAX };
	fwd_packet_t in = { .hash = x->hash,
			    .step = STEP_LOOKUP,
			    .version = a->config->version };
	size_t len = packet_build(&p, buf);

	if (packet_parse(buf, len, &in.packet) != PACKET_OK)
		return;
	if (x->again == 1) {
		ask_silent(a, &in);
		return;
	}
	in.silence_over = true;
	agent_handle_packet(a, now, &in);
}

static bool due(list_t *order, uint64_t now, silence_t **x)
{
	if (list_empty(order))
		return false;
	*x = list_entry(order->next, silence_t, order);
	/* The analyser loses track of nodes taken out of a list. */
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
	return (*x)->due_ms <= now;
}

static void defer(unresolved_t *s, silence_t *x, uint64_t now)
{
	x->due_ms = now + AGAIN_MS;
	list_remove(&x->order);
	list_append(&s->over, &x->order);
}

void unresolved_tick(agent_t *a, uint64_t now)
{
	unresolved_t *s = a->unresolved;
	silence_t *x;

	while (due(&s->over, now, &x) || due(&s->waiting, now, &x)) {
		silence_t copy;

		if (x->since_ms + bound(a, now) > now) {
			defer(s, x, now);
			continue;
		}
		if (x->again == AGAIN_MAX) {
			drop(s, x);
			continue;
		}
		x->again++;
		defer(s, x, now);
		/* The answer may drop the entry. */
		copy = *x;
		ask_again(a, now, &copy);
	}
}
