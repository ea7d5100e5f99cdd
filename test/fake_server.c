/*
 * fake_server - stand-in for a backend server and the kernel below it
 *
 * fake_server LISTEN SLOTS SPEED SERVICE_MS [QUEUE]
 *
 * Takes tunnelled packets from its agent at LISTEN and answers to where the
 * last one came from. A request of weight w takes w * SERVICE_MS / SPEED in
 * one of SLOTS slots; more than QUEUE waiting ones are shed. Commands:
 * "#records" answers "ID COUNT" lines of the logs recorded, "#state" answers
 * numbers, "#speed X" changes the speed.
 */

#include "../src/app_model.h"
#include "../src/endpoint.h"
#include "../src/list.h"
#include "../src/mini_tcp.h"
#include "../src/udp_socket.h"
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS 10

typedef struct server server_t;

typedef struct session {
	list_t all;
	list_t queue; /* waits for a slot or is in one */
	server_t *server;
	mini_conn_t *conn;
	char line[APP_LINE_MAX];
	size_t line_len;
	bool have_request;
	bool in_slot;
	app_request_t request;
	uint64_t body_left;
	uint64_t sent;	  /* bytes of the answer */
	uint64_t done_ms; /* when the slot is free again */
	uint32_t chunks;  /* of a feed sent */
	uint64_t next_chunk_ms;
} session_t;

struct server {
	uv_loop_t loop;
	uv_timer_t timer;
	udp_socket_t *socket;
	mini_tcp_t *tcp;
	endpoint_t agent;
	unsigned slots;
	unsigned busy;
	unsigned queue_max;
	unsigned waiting;
	double speed;
	double service_ms;
	list_t sessions;
	list_t queue;
	GHashTable *records; /* id to count */
	uint64_t shed;
	uint64_t served;
};

static uint64_t now_of(server_t *s)
{
	return uv_now(&s->loop);
}

static void output(void *ctx, const uint8_t *packet, size_t len)
{
	server_t *s = ctx;

	if (s->agent.port)
		udp_socket_send(s->socket, &s->agent, packet, len);
}

static bool on_accept(void *ctx, mini_conn_t *conn)
{
	server_t *s = ctx;
	session_t *x = calloc(1, sizeof(*x));

	if (!x)
		return false;
	x->server = s;
	x->conn = conn;
	list_init(&x->queue);
	list_append(&s->sessions, &x->all);
	mini_conn_set_data(conn, x);
	return true;
}

static void on_established(void *ctx, mini_conn_t *conn)
{
	(void)ctx;
	(void)conn;
}

static void record(server_t *s, uint64_t id)
{
	gpointer count = g_hash_table_lookup(s->records, GSIZE_TO_POINTER(id));

	g_hash_table_insert(s->records, GSIZE_TO_POINTER(id),
			    GSIZE_TO_POINTER(GPOINTER_TO_SIZE(count) + 1));
}

static void answer_log(session_t *x, const char *word)
{
	char line[64];
	int n = snprintf(line, sizeof(line), "%s %llu\n", word,
			 (unsigned long long)x->request.id);

	mini_conn_send(x->conn, now_of(x->server), line, (size_t)n);
	mini_conn_finish(x->conn, now_of(x->server));
}

static void answer_bytes(session_t *x, uint64_t n)
{
	uint8_t buf[4096];

	while (n) {
		size_t part = n < sizeof(buf) ? (size_t)n : sizeof(buf);

		app_pattern(x->request.id, x->sent, buf, part);
		mini_conn_send(x->conn, now_of(x->server), buf, part);
		x->sent += part;
		n -= part;
	}
}

/* The slot's work is done. */
static void serve(session_t *x)
{
	server_t *s = x->server;

	s->served++;
	switch (x->request.kind) {
	case APP_LOG:
		record(s, x->request.id);
		answer_log(x, "OK");
		break;
	case APP_GET:
		answer_bytes(x, x->request.bytes);
		mini_conn_finish(x->conn, now_of(s));
		break;
	default:
		x->next_chunk_ms = now_of(s);
		break;
	}
}

static void enqueue(session_t *x)
{
	server_t *s = x->server;

	if (s->waiting >= s->queue_max) {
		s->shed++;
		answer_log(x, "BUSY");
		return;
	}
	s->waiting++;
	list_append(&s->queue, &x->queue);
}

static void on_data(void *ctx, mini_conn_t *conn, const uint8_t *bytes,
		    size_t len)
{
	session_t *x = mini_conn_data(conn);

	(void)ctx;
	while (len && !x->have_request) {
		char c = (char)*bytes++;

		len--;
		if (c != '\n') {
			if (x->line_len + 1 < sizeof(x->line))
				x->line[x->line_len++] = c;
			continue;
		}
		x->line[x->line_len] = '\0';
		if (app_parse(x->line, &x->request) < 0) {
			mini_conn_abort(conn);
			return;
		}
		x->have_request = true;
		x->body_left =
			x->request.kind == APP_LOG ? x->request.bytes : 0;
		if (!x->body_left)
			enqueue(x);
	}
	if (x->body_left && len) {
		x->body_left -= len < x->body_left ? len : x->body_left;
		if (!x->body_left)
			enqueue(x);
	}
}

static void on_finished(void *ctx, mini_conn_t *conn)
{
	session_t *x = mini_conn_data(conn);

	if (!x->have_request || x->request.kind == APP_FEED)
		mini_conn_finish(conn, now_of(ctx));
}

static void leave_queue(session_t *x)
{
	server_t *s = x->server;

	if (list_empty(&x->queue))
		return;
	if (x->in_slot)
		s->busy--;
	else
		s->waiting--;
	list_remove(&x->queue);
	x->in_slot = false;
}

static void on_closed(void *ctx, mini_conn_t *conn, mini_close_t how,
		      const char *reason, size_t reason_len)
{
	session_t *x = mini_conn_data(conn);

	(void)ctx;
	(void)how;
	(void)reason;
	(void)reason_len;
	leave_queue(x);
	list_remove(&x->all);
	free(x);
}

static void run_queue(server_t *s, uint64_t now)
{
	list_each_safe(node, after, &s->queue)
	{
		session_t *x = list_entry(node, session_t, queue);

		if (x->in_slot && x->done_ms <= now) {
			leave_queue(x);
			serve(x);
		}
	}
	list_each_safe(node, after, &s->queue)
	{
		session_t *x = list_entry(node, session_t, queue);
		double ms = x->request.weight * s->service_ms / s->speed;

		if (x->in_slot)
			continue;
		if (s->busy >= s->slots)
			break;
		s->busy++;
		s->waiting--;
		x->in_slot = true;
		x->done_ms = now + (uint64_t)(ms + 0.5);
	}
}

static void run_feeds(server_t *s, uint64_t now)
{
	list_each_safe(node, after, &s->sessions)
	{
		session_t *x = list_entry(node, session_t, all);

		if (!x->next_chunk_ms || x->next_chunk_ms > now)
			continue;
		answer_bytes(x, x->request.bytes);
		x->next_chunk_ms = now + x->request.interval_ms;
		if (++x->chunks >= x->request.chunks) {
			x->next_chunk_ms = 0;
			mini_conn_finish(x->conn, now);
		}
	}
}

static void on_tick(uv_timer_t *timer)
{
	server_t *s = timer->data;
	uint64_t now = now_of(s);

	run_queue(s, now);
	run_feeds(s, now);
	mini_tcp_tick(s->tcp, now);
}

static void command(server_t *s, const endpoint_t *from, const char *text)
{
	GString *out = g_string_new(NULL);
	GHashTableIter iter;
	gpointer id, count;

	if (!strncmp(text, "#records", 8)) {
		g_hash_table_iter_init(&iter, s->records);
		while (g_hash_table_iter_next(&iter, &id, &count) &&
		       out->len < UDP_DATAGRAM_MAX - 64)
			g_string_append_printf(out, "%zu %zu\n",
					       GPOINTER_TO_SIZE(id),
					       GPOINTER_TO_SIZE(count));
	} else if (!strncmp(text, "#speed ", 7)) {
		s->speed = atof(text + 7);
		g_string_append(out, "ok");
	} else {
		g_string_append_printf(
			out,
			"connections %zu busy %u waiting %u shed %llu "
			"served %llu records %u\n",
			mini_tcp_count(s->tcp), s->busy, s->waiting,
			(unsigned long long)s->shed,
			(unsigned long long)s->served,
			g_hash_table_size(s->records));
	}
	udp_socket_send(s->socket, from, (const uint8_t *)out->str, out->len);
	g_string_free(out, TRUE);
}

static void on_datagram(void *ctx, const endpoint_t *from, uint8_t *buf,
			size_t len)
{
	server_t *s = ctx;

	if (len && buf[0] == '#') {
		char text[128] = "";

		memcpy(text, buf, len < 127 ? len : 127);
		command(s, from, text);
		return;
	}
	s->agent = *from;
	mini_tcp_input(s->tcp, now_of(s), buf, len);
}

int main(int argc, char **argv)
{
	static const udp_socket_ops_t ops = { .receive = on_datagram };
	static const mini_tcp_ops_t tcp_ops = { output,		on_accept,
						on_established, on_data,
						on_finished,	on_closed };
	static server_t s;
	endpoint_t listen;
	err_t err;

	if (argc < 5 || endpoint_parse(argv[1], &listen) < 0) {
		fprintf(stderr, "usage: fake_server LISTEN SLOTS SPEED "
				"SERVICE_MS [QUEUE]\n");
		return 2;
	}
	s.slots = (unsigned)atoi(argv[2]);
	s.speed = atof(argv[3]);
	s.service_ms = atof(argv[4]);
	s.queue_max = argc > 5 ? (unsigned)atoi(argv[5]) : 10000;
	list_init(&s.sessions);
	list_init(&s.queue);
	s.records = g_hash_table_new(NULL, NULL);
	uv_loop_init(&s.loop);
	s.tcp = mini_tcp_new(&tcp_ops, &s,
			     listen.port * 2654435761ULL + listen.ip);
	s.socket = udp_socket_open(&s.loop, &listen, NULL, &ops, &s, &err);
	if (!s.socket) {
		fprintf(stderr, "fake_server: %s\n", err.what);
		return 1;
	}
	uv_timer_init(&s.loop, &s.timer);
	s.timer.data = &s;
	uv_timer_start(&s.timer, on_tick, TICK_MS, TICK_MS);
	return uv_run(&s.loop, UV_RUN_DEFAULT);
}
