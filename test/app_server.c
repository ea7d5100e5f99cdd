#include "app_server.h"
#include "../src/app_model.h"
#include "../src/list.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct session {
	list_t all;
	list_t queue; /* waits for a slot or is in one */
	app_server_t *server;
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

struct app_server {
	app_server_options_t options;
	app_server_ops_t ops;
	void *ctx;
	mini_tcp_t *tcp;
	uint64_t now; /* of the call under way */
	unsigned busy;
	unsigned waiting;
	list_t sessions;
	list_t queue;
	GHashTable *records; /* id to count */
	uint64_t shed;
	uint64_t served;
};

static void output(void *ctx, const uint8_t *packet, size_t len)
{
	app_server_t *s = ctx;

	s->ops.output(s->ctx, packet, len);
}

static bool on_accept(void *ctx, mini_conn_t *conn)
{
	app_server_t *s = ctx;
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

static void record(app_server_t *s, uint64_t id)
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

	mini_conn_send(x->conn, x->server->now, line, (size_t)n);
	mini_conn_finish(x->conn, x->server->now);
}

static void answer_bytes(session_t *x, uint64_t n)
{
	uint8_t buf[4096];

	while (n) {
		size_t part = n < sizeof(buf) ? (size_t)n : sizeof(buf);

		app_pattern(x->request.id, x->sent, buf, part);
		mini_conn_send(x->conn, x->server->now, buf, part);
		x->sent += part;
		n -= part;
	}
}

/* The slot's work is done. */
static void serve(session_t *x)
{
	app_server_t *s = x->server;

	s->served++;
	switch (x->request.kind) {
	case APP_LOG:
		record(s, x->request.id);
		answer_log(x, "OK");
		break;
	case APP_GET:
		answer_bytes(x, x->request.bytes);
		mini_conn_finish(x->conn, s->now);
		break;
	default:
		x->next_chunk_ms = s->now;
		break;
	}
}

static void enqueue(session_t *x)
{
	app_server_t *s = x->server;

	if (s->waiting >= s->options.queue) {
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

	(void)ctx;
	if (!x->have_request || x->request.kind == APP_FEED)
		mini_conn_finish(conn, x->server->now);
}

static void leave_queue(session_t *x)
{
	app_server_t *s = x->server;

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

static void run_queue(app_server_t *s, uint64_t now)
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
		double ms = x->request.weight * s->options.service_ms /
			    s->options.speed;

		if (x->in_slot)
			continue;
		if (s->busy >= s->options.slots)
			break;
		s->busy++;
		s->waiting--;
		x->in_slot = true;
		x->done_ms = now + (uint64_t)(ms + 0.5);
	}
}

static void run_feeds(app_server_t *s, uint64_t now)
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

app_server_t *app_server_new(const app_server_options_t *options,
			     const app_server_ops_t *ops, void *ctx)
{
	static const mini_tcp_ops_t tcp_ops = { output,		on_accept,
						on_established, on_data,
						on_finished,	on_closed };
	app_server_t *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->options = *options;
	s->ops = *ops;
	s->ctx = ctx;
	list_init(&s->sessions);
	list_init(&s->queue);
	s->records = g_hash_table_new(NULL, NULL);
	s->tcp = mini_tcp_new(&tcp_ops, s, options->seed);
	return s;
}

void app_server_free(app_server_t *s)
{
	if (!s)
		return;
	list_each_safe(node, after, &s->sessions)
		free(list_entry(node, session_t, all));
	mini_tcp_free(s->tcp);
	g_hash_table_destroy(s->records);
	free(s);
}

void app_server_input(app_server_t *s, uint64_t now, const uint8_t *packet,
		      size_t len)
{
	s->now = now;
	mini_tcp_input(s->tcp, now, packet, len);
}

void app_server_tick(app_server_t *s, uint64_t now)
{
	s->now = now;
	run_queue(s, now);
	run_feeds(s, now);
	mini_tcp_tick(s->tcp, now);
}

void app_server_set_speed(app_server_t *s, double speed)
{
	s->options.speed = speed;
}

GHashTable *app_server_records(app_server_t *s)
{
	return s->records;
}

size_t app_server_connections(const app_server_t *s)
{
	return mini_tcp_count(s->tcp);
}

char *app_server_state(const app_server_t *s)
{
	return g_strdup_printf("connections %zu busy %u waiting %u shed %llu "
			       "served %llu records %u\n",
			       mini_tcp_count(s->tcp), s->busy, s->waiting,
			       (unsigned long long)s->shed,
			       (unsigned long long)s->served,
			       g_hash_table_size(s->records));
}
