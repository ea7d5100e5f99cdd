#include "app_server.h"
#include "../src/app_model.h"
#include "../src/list.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct session {
	list_t all;	  /* in app_server.sessions */
	list_t queue;	  /* in app_server.queue or app_server.serving */
	list_t feed_node; /* in app_server.feeds */
	app_server_t *server;
	mini_conn_t *conn;
	char line[APP_LINE_MAX];
	size_t line_len;
	bool have_request;
	bool in_slot;
	app_request_t request;
	uint64_t body_left;
	uint64_t sent_bytes;	/* of the answer */
	double done_ms;		/* time at which the slot is free again */
	uint64_t due_ms;	/* done_ms rounded to a whole ms */
	uint32_t chunks;	/* chunks of a feed that were sent */
	uint64_t next_chunk_ms; /* time at which a feed's next chunk is due */
} session_t;

struct app_server {
	app_server_options_t options;
	app_server_ops_t ops;
	void *ctx;
	mini_tcp_t *tcp;
	uint64_t now; /* time of the current call, ms */
	uint64_t started_ms;
	uint64_t rng_state;
	unsigned busy;	     /* slots in use */
	unsigned waiting;    /* sessions in queue */
	list_t sessions;     /* all */
	list_t serving;	     /* sessions in a slot */
	list_t queue;	     /* sessions that wait for a slot, oldest first */
	list_t feeds;	     /* sessions that wait for their next chunk */
	GHashTable *records; /* id to count */
	uint64_t shed;
	uint64_t served;
	uint64_t reported_ms; /* time at which reported_load was updated */
	double reported_load;
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
	list_init(&x->feed_node);
	list_append(&s->sessions, &x->all);
	mini_conn_set_data(conn, x);
	return true;
}

static void on_established(void *ctx, mini_conn_t *conn)
{
	(void)ctx;
	(void)conn;
}

/* Counts the log. Returns true when its id was recorded before. */
static bool record_log(app_server_t *s, uint64_t id)
{
	gpointer count = g_hash_table_lookup(s->records, GSIZE_TO_POINTER(id));

	g_hash_table_insert(s->records, GSIZE_TO_POINTER(id),
			    GSIZE_TO_POINTER(GPOINTER_TO_SIZE(count) + 1));
	return count != NULL;
}

static void reply_log(session_t *x, const char *status)
{
	char line[64];
	int n = snprintf(line, sizeof(line), "%s %llu\n", status,
			 (unsigned long long)x->request.id);

	mini_conn_send(x->conn, x->server->now, line, (size_t)n);
	mini_conn_shutdown(x->conn, x->server->now);
}

static void send_pattern(session_t *x, uint64_t n)
{
	uint8_t buf[4096];

	while (n) {
		size_t part = n < sizeof(buf) ? (size_t)n : sizeof(buf);

		app_pattern(x->request.id, x->sent_bytes, buf, part);
		mini_conn_send(x->conn, x->server->now, buf, part);
		x->sent_bytes += part;
		n -= part;
	}
}

static double random_fraction(app_server_t *s)
{
	uint64_t x = s->rng_state += 0x9e3779b97f4a7c15ULL;

	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
	return (double)((x ^ (x >> 31)) >> 11) * 0x1.0p-53;
}

double app_server_speed(const app_server_t *s, uint64_t now)
{
	bool warming_up = now < s->started_ms + s->options.warmup_ms;

	return warming_up ? s->options.speed * s->options.warmup_speed
			  : s->options.speed;
}

/* Starts a session's work in a slot that has been free since start_ms. */
static void start_work(session_t *x, double start_ms)
{
	app_server_t *s = x->server;
	double ms = x->chunks ? s->options.chunk_service_ms
			      : x->request.weight * s->options.service_ms;

	if (s->options.kind_cost[x->request.kind] > 0)
		ms *= s->options.kind_cost[x->request.kind];
	if (s->options.service_jitter > 0)
		ms *= 1 +
		      s->options.service_jitter * (2 * random_fraction(s) - 1);
	s->busy++;
	x->in_slot = true;
	x->done_ms = start_ms + ms / app_server_speed(s, s->now);
	/* Rounded to whole ms at random, so that the mean stays exact. */
	x->due_ms = (uint64_t)(x->done_ms + random_fraction(s));
	list_append(&s->serving, &x->queue);
}

static void enqueue(session_t *x)
{
	app_server_t *s = x->server;

	if (s->busy < s->options.slots) {
		start_work(x, (double)s->now);
		return;
	}
	if (!x->chunks && s->waiting >= s->options.queue) {
		s->shed++;
		reply_log(x, "BUSY");
		return;
	}
	s->waiting++;
	list_append(&s->queue, &x->queue);
}

static void send_chunk(session_t *x)
{
	app_server_t *s = x->server;

	send_pattern(x, x->request.bytes);
	if (++x->chunks >= x->request.chunks) {
		mini_conn_shutdown(x->conn, s->now);
		return;
	}
	x->next_chunk_ms += x->request.interval_ms;
	if (x->next_chunk_ms < s->now)
		x->next_chunk_ms = s->now;
	list_append(&s->feeds, &x->feed_node);
}

/* Answers a request, or sends a feed's chunk, once its work is done. */
static void finish_work(session_t *x)
{
	app_server_t *s = x->server;

	s->served++;
	switch (x->request.kind) {
	case APP_LOG:
		reply_log(x, record_log(s, x->request.id) ? "AGAIN" : "OK");
		break;
	case APP_GET:
		send_pattern(x, x->request.bytes);
		mini_conn_shutdown(x->conn, s->now);
		break;
	default:
		if (!x->chunks)
			x->next_chunk_ms = s->now;
		send_chunk(x);
		break;
	}
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

static void on_peer_finished(void *ctx, mini_conn_t *conn)
{
	session_t *x = mini_conn_data(conn);

	(void)ctx;
	if (!x->have_request || x->request.kind == APP_FEED)
		mini_conn_shutdown(conn, x->server->now);
}

static void dequeue(session_t *x)
{
	app_server_t *s = x->server;

	list_remove(&x->feed_node);
	if (list_empty(&x->queue))
		return;
	if (x->in_slot)
		s->busy--;
	else
		s->waiting--;
	list_remove(&x->queue);
	x->in_slot = false;
}

static void on_closed(void *ctx, mini_conn_t *conn, mini_close_t cause,
		      const char *reason, size_t reason_len)
{
	session_t *x = mini_conn_data(conn);

	(void)ctx;
	(void)cause;
	(void)reason;
	(void)reason_len;
	dequeue(x);
	list_remove(&x->all);
	free(x);
}

/* Starts the work of queued sessions in slots free since start_ms. */
static void fill_slots(app_server_t *s, double start_ms)
{
	while (s->busy < s->options.slots && !list_empty(&s->queue)) {
		session_t *x = list_entry(s->queue.next, session_t, queue);

		dequeue(x);
		start_work(x, start_ms);
	}
}

static session_t *next_completion(app_server_t *s)
{
	session_t *first = NULL;

	list_each_safe(node, after, &s->serving)
	{
		session_t *x = list_entry(node, session_t, queue);

		if (!first || x->done_ms < first->done_ms)
			first = x;
	}
	return first;
}

uint64_t app_server_due(const app_server_t *s)
{
	session_t *x = next_completion((app_server_t *)s);

	return x ? x->due_ms : UINT64_MAX;
}

void app_server_run(app_server_t *s, uint64_t now)
{
	session_t *x;

	s->now = now;
	while ((x = next_completion(s)) && x->due_ms <= now) {
		double done = x->done_ms;

		dequeue(x);
		fill_slots(s, done);
		finish_work(x);
	}
	fill_slots(s, (double)now);
}

static void run_feeds(app_server_t *s, uint64_t now)
{
	list_each_safe(node, after, &s->feeds)
	{
		session_t *x = list_entry(node, session_t, feed_node);

		if (x->next_chunk_ms > now)
			continue;
		list_remove(&x->feed_node);
		if (s->options.chunk_service_ms > 0)
			enqueue(x);
		else
			send_chunk(x);
	}
}

app_server_t *app_server_new(const app_server_options_t *options,
			     const app_server_ops_t *ops, void *ctx)
{
	static const mini_tcp_ops_t tcp_ops = { output,		  on_accept,
						on_established,	  on_data,
						on_peer_finished, on_closed };
	app_server_t *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->options = *options;
	s->ops = *ops;
	s->ctx = ctx;
	list_init(&s->sessions);
	list_init(&s->queue);
	list_init(&s->serving);
	list_init(&s->feeds);
	s->rng_state = options->seed;
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
	if (!s->started_ms)
		s->started_ms = now;
	mini_tcp_input(s->tcp, now, packet, len);
}

void app_server_tick(app_server_t *s, uint64_t now)
{
	if (!s->started_ms)
		s->started_ms = now;
	app_server_run(s, now);
	run_feeds(s, now);
	mini_tcp_tick(s->tcp, now);
}

void app_server_set_speed(app_server_t *s, double speed)
{
	s->options.speed = speed;
}

void app_server_report(app_server_t *s, uint64_t now, bool *healthy,
		       double *load)
{
	double work = s->busy + s->waiting;

	if (s->reported_ms + s->options.report_lag_ms <= now) {
		s->reported_ms = now;
		s->reported_load = work / s->options.slots;
	}
	*healthy = true;
	*load = s->reported_load;
	if (s->options.report_factor > 0)
		*load *= s->options.report_factor;
}

GHashTable *app_server_records(app_server_t *s)
{
	return s->records;
}

size_t app_server_connections(const app_server_t *s)
{
	return mini_tcp_conn_count(s->tcp);
}

char *app_server_state(const app_server_t *s)
{
	return g_strdup_printf("connections %zu busy %u waiting %u shed %llu "
			       "served %llu records %u\n",
			       mini_tcp_conn_count(s->tcp), s->busy, s->waiting,
			       (unsigned long long)s->shed,
			       (unsigned long long)s->served,
			       g_hash_table_size(s->records));
}
