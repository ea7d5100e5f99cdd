#include "mini_tcp.h"
#include "list.h"
#include <stdlib.h>
#include <string.h>

#define BUCKETS		4096
#define RECV_WINDOW	65535 /* receive window in bytes */
#define RTO_MS		200   /* initial retransmission timeout */
#define RTO_MAX_MS	2000
#define RETRANSMITS_MAX 12   /* retransmissions before MINI_TIMEOUT */
#define TIME_WAIT_MS	1000 /* a closed connection answers for this time */
#define OOO_MAX		64   /* out-of-order segments kept per connection */

typedef enum conn_state {
	CONN_SYN_SENT,
	CONN_SYN_RECEIVED,
	CONN_ESTABLISHED,
	CONN_TIME_WAIT, /* closed or aborted, still answers late packets */
} conn_state_t;

/* Segment received out of order, kept until the gap before it is filled. */
typedef struct ooo_segment {
	list_t node;
	uint32_t seq;
	size_t len;
	bool fin;
	uint8_t bytes[];
} ooo_segment_t;

struct mini_conn {
	list_t chain; /* in mini_tcp.buckets */
	list_t all;   /* in mini_tcp.all */
	mini_tcp_t *stack;
	flow_key_t key;	  /* src is the side that opened the connection */
	bool active_open; /* this side opened the connection */
	conn_state_t state;
	uint32_t iss;
	uint32_t snd_una;     /* first byte not acknowledged */
	uint32_t snd_nxt;     /* next byte to send */
	uint32_t rcv_nxt;     /* next byte expected */
	uint32_t peer_window; /* bytes */
	uint8_t *send_buf;    /* data from snd_una on, owned */
	size_t send_buf_len;
	size_t send_buf_size;
	bool fin_queued;
	bool fin_acked;
	bool fin_received;
	mini_close_t cause;	/* valid in CONN_TIME_WAIT */
	uint64_t retransmit_ms; /* time of the next retransmission */
	uint32_t rto;		/* retransmission timeout, ms */
	uint32_t retransmits;	/* since the last acknowledgement */
	uint64_t time_wait_end_ms;
	list_t ooo_queue; /* of ooo_segment_t, owned */
	size_t ooo_count;
	void *data;
};

struct mini_tcp {
	mini_tcp_ops_t ops;
	void *ctx;
	uint64_t rng_state;
	list_t buckets[BUCKETS];
	list_t all;
	size_t count;
};

static uint32_t random32(mini_tcp_t *t);
static mini_conn_t *conn_new(mini_tcp_t *t, const flow_key_t *key,
			     bool active_open);
static void conn_free(mini_conn_t *c);
static mini_conn_t *conn_find(mini_tcp_t *t, const flow_key_t *key,
			      bool active_open);
static void send_segment(mini_conn_t *c, uint32_t seq, uint8_t flags,
			 const uint8_t *payload, size_t len);
static void send_syn(mini_conn_t *c, uint64_t now);
static void send_ack(mini_conn_t *c);
static void send_pending(mini_conn_t *c, uint64_t now);
static void retransmit(mini_conn_t *c, uint64_t now);
static void conn_close(mini_conn_t *c, mini_close_t cause, const char *reason,
		       size_t len);
static void send_reset(mini_tcp_t *t, const packet_t *p);
static void process_reset(mini_conn_t *c, const packet_t *p);
static void process_ack(mini_conn_t *c, uint64_t now, const packet_t *p);
static void process_payload(mini_conn_t *c, const packet_t *p);
static void ooo_add(mini_conn_t *c, const packet_t *p);
static bool ooo_deliver(mini_conn_t *c);
static void process_fin(mini_conn_t *c);
static void time_wait_if_finished(mini_conn_t *c, uint64_t now);
static void input_syn_sent(mini_conn_t *c, uint64_t now, const packet_t *p);
static void input_listener(mini_tcp_t *t, uint64_t now, const packet_t *p);
static void input_conn(mini_conn_t *c, uint64_t now, const packet_t *p);

static uint32_t random32(mini_tcp_t *t)
{
	uint64_t x = t->rng_state += 0x9e3779b97f4a7c15ULL;

	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
	return (uint32_t)(x >> 32);
}

mini_tcp_t *mini_tcp_new(const mini_tcp_ops_t *ops, void *ctx, uint64_t seed)
{
	mini_tcp_t *t = calloc(1, sizeof(*t));

	if (!t)
		return NULL;
	t->ops = *ops;
	t->ctx = ctx;
	t->rng_state = seed;
	list_init(&t->all);
	for (int i = 0; i < BUCKETS; i++)
		list_init(&t->buckets[i]);
	return t;
}

void mini_tcp_free(mini_tcp_t *t)
{
	if (!t)
		return;
	list_each_safe(node, after, &t->all)
		conn_free(list_entry(node, mini_conn_t, all));
	free(t);
}

static mini_conn_t *conn_new(mini_tcp_t *t, const flow_key_t *key,
			     bool active_open)
{
	mini_conn_t *c = calloc(1, sizeof(*c));
	uint64_t hash = flow_key_hash(key, 0);

	if (!c)
		return NULL;
	c->stack = t;
	c->key = *key;
	c->active_open = active_open;
	c->iss = random32(t);
	c->snd_una = c->iss;
	c->snd_nxt = c->iss;
	c->rto = RTO_MS;
	c->peer_window = RECV_WINDOW;
	list_init(&c->ooo_queue);
	list_append(&t->buckets[hash % BUCKETS], &c->chain);
	list_append(&t->all, &c->all);
	t->count++;
	return c;
}

static void conn_free(mini_conn_t *c)
{
	list_each_safe(node, after, &c->ooo_queue)
		free(list_entry(node, ooo_segment_t, node));
	list_remove(&c->chain);
	list_remove(&c->all);
	c->stack->count--;
	free(c->send_buf);
	free(c);
}

static mini_conn_t *conn_find(mini_tcp_t *t, const flow_key_t *key,
			      bool active_open)
{
	list_t *bucket = &t->buckets[flow_key_hash(key, 0) % BUCKETS];

	list_each(node, bucket)
	{
		mini_conn_t *c = list_entry(node, mini_conn_t, chain);

		if (c->active_open == active_open &&
		    flow_key_equal(&c->key, key))
			return c;
	}
	return NULL;
}

static void send_segment(mini_conn_t *c, uint32_t seq, uint8_t flags,
			 const uint8_t *payload, size_t len)
{
	uint8_t buf[PACKET_MAX];
	packet_t p = { .key = c->active_open ? c->key
					     : flow_key_reverse(&c->key),
		       .seq = seq,
		       .ack = flags & TCP_ACK ? c->rcv_nxt : 0,
		       .flags = flags,
		       .window = RECV_WINDOW,
		       .payload = payload,
		       .payload_len = len };
	size_t n = packet_build(&p, buf);

	c->stack->ops.output(c->stack->ctx, buf, n);
}

static void send_syn(mini_conn_t *c, uint64_t now)
{
	send_segment(c, c->iss, c->active_open ? TCP_SYN : TCP_SYN | TCP_ACK,
		     NULL, 0);
	c->snd_nxt = c->iss + 1;
	c->retransmit_ms = now + c->rto;
}

static void send_ack(mini_conn_t *c)
{
	send_segment(c, c->snd_nxt, TCP_ACK, NULL, 0);
}

/* Sends data from snd_nxt on, as far as the peer's window allows, then FIN. */
static void send_pending(mini_conn_t *c, uint64_t now)
{
	if (c->state != CONN_ESTABLISHED)
		return;
	for (;;) {
		size_t sent = c->snd_nxt - c->snd_una;
		size_t len =
			c->send_buf_len > sent ? c->send_buf_len - sent : 0;

		if (len > MINI_TCP_MSS)
			len = MINI_TCP_MSS;
		if (len == 0 || sent + len > c->peer_window)
			break;
		send_segment(c, c->snd_nxt, TCP_ACK | TCP_PSH,
			     c->send_buf + sent, len);
		if (c->snd_una == c->snd_nxt)
			c->retransmit_ms = now + c->rto;
		c->snd_nxt += (uint32_t)len;
	}
	if (c->fin_queued && !c->fin_acked &&
	    c->snd_nxt - c->snd_una == c->send_buf_len) {
		send_segment(c, c->snd_nxt, TCP_ACK | TCP_FIN, NULL, 0);
		if (c->snd_una == c->snd_nxt)
			c->retransmit_ms = now + c->rto;
		c->snd_nxt++;
	}
}

static void retransmit(mini_conn_t *c, uint64_t now)
{
	if (++c->retransmits > RETRANSMITS_MAX) {
		conn_close(c, MINI_TIMEOUT, "", 0);
		return;
	}
	c->rto = c->rto * 2 < RTO_MAX_MS ? c->rto * 2 : RTO_MAX_MS;
	if (c->state != CONN_ESTABLISHED) {
		send_syn(c, now);
		return;
	}
	c->snd_nxt = c->snd_una;
	c->retransmit_ms = now + c->rto;
	send_pending(c, now);
}

mini_conn_t *mini_tcp_connect(mini_tcp_t *t, uint64_t now,
			      const flow_key_t *key)
{
	mini_conn_t *c;

	if (conn_find(t, key, true))
		return NULL;
	c = conn_new(t, key, true);
	if (!c)
		return NULL;
	c->state = CONN_SYN_SENT;
	send_syn(c, now);
	return c;
}

static void conn_close(mini_conn_t *c, mini_close_t cause, const char *reason,
		       size_t len)
{
	c->stack->ops.closed(c->stack->ctx, c, cause, reason, len);
	conn_free(c);
}

/* Answers a segment that matches no connection. */
static void send_reset(mini_tcp_t *t, const packet_t *p)
{
	uint8_t buf[PACKET_MAX];
	size_t len = packet_build_reset(p, "", buf);

	if (len)
		t->ops.output(t->ctx, buf, len);
}

static void process_reset(mini_conn_t *c, const packet_t *p)
{
	bool valid;

	if (c->state == CONN_SYN_SENT)
		valid = p->flags & TCP_ACK && p->ack == c->snd_nxt;
	else
		valid = p->seq == c->rcv_nxt;
	if (valid) {
		conn_close(c, MINI_RESET, (const char *)p->payload,
			   p->payload_len);
		return;
	}
	if (c->state == CONN_ESTABLISHED && seq_diff(p->seq, c->rcv_nxt) > 0 &&
	    seq_diff(p->seq, c->rcv_nxt + RECV_WINDOW) < 0)
		send_ack(c);
}

static void process_ack(mini_conn_t *c, uint64_t now, const packet_t *p)
{
	uint32_t acked;

	c->peer_window = p->window;
	if (seq_diff(p->ack, c->snd_una) <= 0)
		return;
	if (p->ack - c->snd_una > c->send_buf_len + (c->fin_queued ? 1 : 0))
		return;
	/* retransmit() sets snd_nxt back, so the ack may be beyond it. */
	if (seq_diff(p->ack, c->snd_nxt) > 0)
		c->snd_nxt = p->ack;
	acked = p->ack - c->snd_una;
	if (acked > c->send_buf_len) {
		acked = (uint32_t)c->send_buf_len;
		c->fin_acked = true;
	}
	memmove(c->send_buf, c->send_buf + acked, c->send_buf_len - acked);
	c->send_buf_len -= acked;
	c->snd_una = p->ack;
	c->retransmits = 0;
	c->rto = RTO_MS;
	c->retransmit_ms = now + c->rto;
}

static void ooo_add(mini_conn_t *c, const packet_t *p)
{
	ooo_segment_t *seg;

	if (c->ooo_count >= OOO_MAX)
		return;
	seg = malloc(sizeof(*seg) + p->payload_len);
	if (!seg)
		return;
	seg->seq = p->seq;
	seg->len = p->payload_len;
	seg->fin = p->flags & TCP_FIN;
	if (seg->len)
		memcpy(seg->bytes, p->payload, seg->len);
	list_append(&c->ooo_queue, &seg->node);
	c->ooo_count++;
}

static void process_fin(mini_conn_t *c)
{
	if (c->fin_received)
		return;
	c->fin_received = true;
	c->rcv_nxt++;
	c->stack->ops.peer_finished(c->stack->ctx, c);
}

/*
 * Removes one out-of-order segment that no longer follows a gap and delivers
 * its new data. Returns false if there is none.
 */
static bool ooo_deliver(mini_conn_t *c)
{
	/* False positive: the analyser does not follow list_remove(). */
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
	list_each_safe(node, after, &c->ooo_queue)
	{
		ooo_segment_t *seg = list_entry(node, ooo_segment_t, node);
		int32_t skip = seq_diff(c->rcv_nxt, seg->seq);
		size_t len = seg->len;
		bool fin = seg->fin;

		if (skip < 0)
			continue;
		list_remove(node);
		c->ooo_count--;
		if ((size_t)skip <= len && !c->fin_received) {
			len -= (size_t)skip;
			c->rcv_nxt += (uint32_t)len;
			if (len)
				c->stack->ops.data(c->stack->ctx, c,
						   seg->bytes + skip, len);
			if (fin)
				process_fin(c);
		}
		free(seg);
		return true;
	}
	return false;
}

static void process_payload(mini_conn_t *c, const packet_t *p)
{
	int32_t skip = seq_diff(c->rcv_nxt, p->seq);
	size_t len = p->payload_len;

	if (len == 0 && !(p->flags & TCP_FIN)) {
		/* A keepalive probe is an old empty segment: answer it. */
		if (skip > 0)
			send_ack(c);
		return;
	}
	if (skip < 0) {
		ooo_add(c, p);
	} else if (!c->fin_received && (size_t)skip <= len) {
		len -= (size_t)skip;
		c->rcv_nxt += (uint32_t)len;
		if (len)
			c->stack->ops.data(c->stack->ctx, c, p->payload + skip,
					   len);
		if (p->flags & TCP_FIN)
			process_fin(c);
		while (ooo_deliver(c))
			;
	}
	send_ack(c);
}

static void time_wait_if_finished(mini_conn_t *c, uint64_t now)
{
	if (c->state == CONN_ESTABLISHED && c->fin_acked && c->fin_received) {
		c->state = CONN_TIME_WAIT;
		c->time_wait_end_ms = now + TIME_WAIT_MS;
	}
}

static void input_syn_sent(mini_conn_t *c, uint64_t now, const packet_t *p)
{
	if (p->flags & TCP_ACK && p->ack != c->iss + 1) {
		send_reset(c->stack, p);
		return;
	}
	if (!(p->flags & TCP_SYN) || !(p->flags & TCP_ACK))
		return;
	c->rcv_nxt = p->seq + 1;
	c->snd_una = p->ack;
	c->retransmits = 0;
	c->rto = RTO_MS;
	c->state = CONN_ESTABLISHED;
	c->peer_window = p->window;
	send_ack(c);
	c->stack->ops.established(c->stack->ctx, c);
	send_pending(c, now);
}

static void input_listener(mini_tcp_t *t, uint64_t now, const packet_t *p)
{
	mini_conn_t *c;

	if (!packet_is_open(p)) {
		send_reset(t, p);
		return;
	}
	c = conn_new(t, &p->key, false);
	if (!c)
		return;
	if (!t->ops.accept || !t->ops.accept(t->ctx, c)) {
		conn_free(c);
		send_reset(t, p);
		return;
	}
	c->rcv_nxt = p->seq + 1;
	c->state = CONN_SYN_RECEIVED;
	send_syn(c, now);
}

static void input_conn(mini_conn_t *c, uint64_t now, const packet_t *p)
{
	if (c->state == CONN_TIME_WAIT && c->cause == MINI_ABORTED) {
		send_reset(c->stack, p);
		return;
	}
	if (p->flags & TCP_RST) {
		process_reset(c, p);
		return;
	}
	if (c->state == CONN_SYN_SENT) {
		input_syn_sent(c, now, p);
		return;
	}
	if (p->flags & TCP_SYN) {
		if (c->state == CONN_SYN_RECEIVED && p->seq + 1 == c->rcv_nxt)
			send_syn(c, now);
		else
			send_ack(c);
		return;
	}
	if (!(p->flags & TCP_ACK))
		return;
	if (abs(seq_diff(p->seq, c->rcv_nxt)) > RECV_WINDOW) {
		send_ack(c);
		return;
	}
	if (c->state == CONN_SYN_RECEIVED) {
		if (p->ack != c->iss + 1) {
			send_reset(c->stack, p);
			return;
		}
		c->snd_una = p->ack;
		c->retransmits = 0;
		c->rto = RTO_MS;
		c->state = CONN_ESTABLISHED;
		c->stack->ops.established(c->stack->ctx, c);
	}
	process_ack(c, now, p);
	process_payload(c, p);
	send_pending(c, now);
	time_wait_if_finished(c, now);
}

void mini_tcp_input(mini_tcp_t *t, uint64_t now, const uint8_t *packet,
		    size_t len)
{
	mini_conn_t *c;
	flow_key_t reversed;
	packet_t p;

	if (packet_parse(packet, len, &p) != PACKET_OK ||
	    p.key.proto != PROTO_TCP)
		return;
	reversed = flow_key_reverse(&p.key);
	c = conn_find(t, &reversed, true);
	if (!c)
		c = conn_find(t, &p.key, false);
	if (c)
		input_conn(c, now, &p);
	else
		input_listener(t, now, &p);
}

void mini_tcp_tick(mini_tcp_t *t, uint64_t now)
{
	list_each_safe(node, after, &t->all)
	{
		mini_conn_t *c = list_entry(node, mini_conn_t, all);

		if (c->state == CONN_TIME_WAIT) {
			if (c->time_wait_end_ms <= now)
				conn_close(c, c->cause, "", 0);
		} else if (c->snd_una != c->snd_nxt &&
			   c->retransmit_ms <= now) {
			retransmit(c, now);
		} else {
			send_pending(c, now);
		}
	}
}

size_t mini_tcp_conn_count(const mini_tcp_t *t)
{
	return t->count;
}

int mini_conn_send(mini_conn_t *c, uint64_t now, const void *bytes, size_t len)
{
	if (c->fin_queued || c->state == CONN_TIME_WAIT)
		return -1;
	if (c->send_buf_len + len > c->send_buf_size) {
		size_t size = (c->send_buf_len + len) * 2;
		uint8_t *grown = realloc(c->send_buf, size);

		if (!grown)
			return -1;
		c->send_buf = grown;
		c->send_buf_size = size;
	}
	memcpy(c->send_buf + c->send_buf_len, bytes, len);
	c->send_buf_len += len;
	send_pending(c, now);
	return 0;
}

void mini_conn_shutdown(mini_conn_t *c, uint64_t now)
{
	c->fin_queued = true;
	send_pending(c, now);
}

/* The next tick frees the connection: the caller may be in a callback. */
void mini_conn_abort(mini_conn_t *c)
{
	if (c->state == CONN_TIME_WAIT)
		return;
	send_segment(c, c->snd_nxt, TCP_RST | TCP_ACK, NULL, 0);
	c->state = CONN_TIME_WAIT;
	c->cause = MINI_ABORTED;
}

void mini_conn_keepalive(mini_conn_t *c)
{
	if (c->state == CONN_ESTABLISHED)
		send_segment(c, c->snd_nxt - 1, TCP_ACK, NULL, 0);
}

const flow_key_t *mini_conn_key(const mini_conn_t *c)
{
	return &c->key;
}

size_t mini_conn_unacknowledged(const mini_conn_t *c)
{
	return c->send_buf_len;
}

void mini_conn_set_data(mini_conn_t *c, void *data)
{
	c->data = data;
}

void *mini_conn_data(const mini_conn_t *c)
{
	return c->data;
}

const char *mini_close_name(mini_close_t cause)
{
	static const char *const names[] = { "finished", "reset", "timeout",
					     "aborted" };

	return names[cause];
}
