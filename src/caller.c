#include "caller.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FIRST_PORT 1024 /* lowest source port */

struct caller {
	caller_ops_t ops;
	void *ctx;
	mini_tcp_t *tcp;
	uint32_t source;
	uint16_t next_port;
	uint64_t now;	 /* ms, as passed to the current call */
	list_t requests; /* caller_request_t, owned */
};

static void on_output(void *ctx, const uint8_t *packet, size_t len);
static void on_established(void *ctx, mini_conn_t *conn);
static void on_data(void *ctx, mini_conn_t *conn, const uint8_t *bytes,
		    size_t len);
static void on_peer_finished(void *ctx, mini_conn_t *conn);
static void on_closed(void *ctx, mini_conn_t *conn, mini_close_t cause,
		      const char *reason, size_t reason_len);
static void record_data_times(caller_t *c, caller_request_t *r);
static void receive_log_reply(caller_request_t *r, const uint8_t *bytes,
			      size_t len);
static void receive_pattern(caller_request_t *r, const uint8_t *bytes,
			    size_t len);
static void set_outcome(caller_request_t *r, outcome_t outcome);
static void set_closed_outcome(caller_request_t *r, mini_close_t cause,
			       const char *reason, size_t len);

const char *outcome_name(outcome_t outcome)
{
	static const char *const names[OUTCOMES] = {
		"done",	 "not run", "outcome unknown", "shed",
		"reset", "timeout", "corrupt",
	};

	return outcome < OUTCOMES ? names[outcome] : "?";
}

caller_t *caller_new(const caller_ops_t *ops, void *ctx, uint32_t source,
		     uint64_t seed)
{
	static const mini_tcp_ops_t tcp_ops = {
		.output = on_output,
		.established = on_established,
		.data = on_data,
		.peer_finished = on_peer_finished,
		.closed = on_closed,
	};
	caller_t *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->ops = *ops;
	c->ctx = ctx;
	c->source = source;
	c->next_port = FIRST_PORT;
	list_init(&c->requests);
	c->tcp = mini_tcp_new(&tcp_ops, c, seed);
	if (!c->tcp) {
		free(c);
		return NULL;
	}
	return c;
}

void caller_free(caller_t *c)
{
	if (!c)
		return;
	mini_tcp_free(c->tcp);
	list_each_safe(node, next, &c->requests)
		free(list_entry(node, caller_request_t, link));
	free(c);
}

static void on_output(void *ctx, const uint8_t *packet, size_t len)
{
	caller_t *c = ctx;

	c->ops.output(c->ctx, packet, len);
}

static void on_established(void *ctx, mini_conn_t *conn)
{
	caller_t *c = ctx;
	caller_request_t *r = mini_conn_data(conn);
	char line[APP_LINE_MAX];
	size_t n = app_format(&r->app, line);
	uint8_t *body;

	mini_conn_send(conn, c->now, line, n);
	if (r->app.kind != APP_LOG)
		return;
	body = malloc(r->app.bytes);
	if (!body)
		return;
	app_pattern(r->app.id, 0, body, r->app.bytes);
	mini_conn_send(conn, c->now, body, r->app.bytes);
	free(body);
}

static void set_outcome(caller_request_t *r, outcome_t outcome)
{
	r->outcome_set = true;
	r->outcome = outcome;
}

static void record_data_times(caller_t *c, caller_request_t *r)
{
	uint64_t gap;

	if (!r->first_byte_ms)
		r->first_byte_ms = c->now;
	else if ((gap = c->now - r->last_data_ms) > r->max_gap_ms)
		r->max_gap_ms = gap;
	r->last_data_ms = c->now;
}

static void receive_log_reply(caller_request_t *r, const uint8_t *bytes,
			      size_t len)
{
	char expected[64];

	for (size_t i = 0; i < len && r->received + 1 < sizeof(r->log_reply);
	     i++)
		r->log_reply[r->received++] = (char)bytes[i];
	r->log_reply[r->received] = '\0';
	if (!strchr(r->log_reply, '\n'))
		return;
	snprintf(expected, sizeof(expected), "OK %llu\n",
		 (unsigned long long)r->app.id);
	if (!strcmp(r->log_reply, expected)) {
		set_outcome(r, OUTCOME_DONE);
		return;
	}
	snprintf(expected, sizeof(expected), "AGAIN %llu\n",
		 (unsigned long long)r->app.id);
	if (!strcmp(r->log_reply, expected)) {
		r->duplicate = true;
		set_outcome(r, OUTCOME_DONE);
		return;
	}
	snprintf(expected, sizeof(expected), "BUSY %llu\n",
		 (unsigned long long)r->app.id);
	set_outcome(r, strcmp(r->log_reply, expected) ? OUTCOME_CORRUPT
						      : OUTCOME_SHED);
}

static void receive_pattern(caller_request_t *r, const uint8_t *bytes,
			    size_t len)
{
	uint64_t expected = r->app.bytes;

	if (r->app.kind == APP_FEED)
		expected *= r->app.chunks;
	if (!app_pattern_matches(r->app.id, r->received, bytes, len))
		set_outcome(r, OUTCOME_CORRUPT);
	r->received += len;
	if (r->received > expected)
		set_outcome(r, OUTCOME_CORRUPT);
	else if (!r->outcome_set && r->received == expected)
		set_outcome(r, OUTCOME_DONE);
}

static void on_data(void *ctx, mini_conn_t *conn, const uint8_t *bytes,
		    size_t len)
{
	caller_t *c = ctx;
	caller_request_t *r = mini_conn_data(conn);

	record_data_times(c, r);
	if (r->app.kind == APP_LOG)
		receive_log_reply(r, bytes, len);
	else
		receive_pattern(r, bytes, len);
}

static void on_peer_finished(void *ctx, mini_conn_t *conn)
{
	caller_t *c = ctx;

	mini_conn_shutdown(conn, c->now);
}

static void set_closed_outcome(caller_request_t *r, mini_close_t cause,
			       const char *reason, size_t len)
{
	refusal_t refusal;

	switch (cause) {
	case MINI_TIMEOUT:
		set_outcome(r, OUTCOME_TIMEOUT);
		return;
	case MINI_RESET:
		break;
	default:
		set_outcome(r, OUTCOME_CORRUPT);
		return;
	}
	if (refusal_parse(reason, len, &refusal, &r->retry_after_s) < 0)
		set_outcome(r, OUTCOME_RESET);
	else
		set_outcome(r, refusal == REFUSAL_NOT_RUN ? OUTCOME_NOT_RUN
							  : OUTCOME_UNKNOWN);
}

static void on_closed(void *ctx, mini_conn_t *conn, mini_close_t cause,
		      const char *reason, size_t reason_len)
{
	caller_t *c = ctx;
	caller_request_t *r = mini_conn_data(conn);

	if (!r->outcome_set)
		set_closed_outcome(r, cause, reason, reason_len);
	r->ended_ms = c->now;
	c->ops.ended(c->ctx, r);
	list_remove(&r->link);
	free(r);
}

caller_request_t *caller_begin(caller_t *c, uint64_t now, uint32_t address,
			       uint16_t port, const app_request_t *app,
			       void *data)
{
	caller_request_t *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	c->now = now;
	r->app = *app;
	r->data = data;
	r->started_ms = now;
	r->key.src = c->source;
	r->key.dst = address;
	r->key.dport = port;
	r->key.proto = PROTO_TCP;
	for (int i = 0; i < UINT16_MAX - FIRST_PORT && !r->conn; i++) {
		r->key.sport = c->next_port++;
		if (c->next_port < FIRST_PORT)
			c->next_port = FIRST_PORT;
		r->conn = mini_tcp_connect(c->tcp, now, &r->key);
	}
	if (!r->conn) {
		free(r);
		return NULL;
	}
	mini_conn_set_data(r->conn, r);
	list_append(&c->requests, &r->link);
	return r;
}

void caller_abort(caller_request_t *r)
{
	mini_conn_abort(r->conn);
}

void caller_input(caller_t *c, uint64_t now, const uint8_t *packet, size_t len)
{
	c->now = now;
	mini_tcp_input(c->tcp, now, packet, len);
}

void caller_tick(caller_t *c, uint64_t now)
{
	c->now = now;
	mini_tcp_tick(c->tcp, now);
}

size_t caller_open_count(const caller_t *c)
{
	return mini_tcp_conn_count(c->tcp);
}
