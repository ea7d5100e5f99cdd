#include "stream.h"
#include "dgram.h"
#include "list.h"
#include <stdlib.h>
#include <string.h>

#define FRAME_HEADER_LEN 4 /* length prefix, in bytes */
#define BACKLOG		 64
#define READ_SPACE_MIN	 65536 /* free bytes in the buffer before a read */

struct stream_server {
	uv_tcp_t tcp;
	uv_loop_t *loop;
	seal_t *seal;
	counters_t *counters;
	stream_receive_fn receive;
	void *ctx;
	list_t streams;
};

struct stream {
	list_t node; /* in stream_server.streams */
	uv_tcp_t tcp;
	uv_timer_t timer;
	int open_handles; /* libuv handles not yet closed */
	int closing;
	seal_t *seal;
	counters_t *counters;
	stream_receive_fn receive;
	void *ctx;
	endpoint_t peer;
	uint8_t *in; /* received bytes, owned */
	size_t in_len;
	size_t in_size;
	wire_arena_t arena;
	/* Used by stream_call() only. */
	uv_connect_t connect;
	stream_answer_fn answer; /* NULL once called */
	uint8_t *request;	 /* frame, owned until it is written */
	size_t request_len;
};

typedef struct write_request {
	uv_write_t write;
	uint8_t *frame; /* owned */
} write_request_t;

static void stream_close(stream_t *s);
static void on_stream_closed(uv_handle_t *handle);
static void on_server_closed(uv_handle_t *handle);
static void on_connection(uv_stream_t *listener, int status);
static void on_alloc(uv_handle_t *handle, size_t hint, uv_buf_t *buf);
static void on_read(uv_stream_t *tcp, ssize_t n, const uv_buf_t *buf);
static void on_written(uv_write_t *write, int status);
static void on_timeout(uv_timer_t *timer);
static int receive_frames(stream_t *s);
static int receive_frame(stream_t *s, const uint8_t *buf, size_t len);
static stream_t *stream_new(uv_loop_t *loop, seal_t *seal,
			    counters_t *counters);
static uint8_t *frame_new(seal_t *seal, msg_kind_t kind, const void *msg,
			  size_t *len);
static int write_frame(stream_t *s, uint8_t *frame, size_t len);
static void on_connected(uv_connect_t *connect, int status);
static void fail_call(stream_t *s, err_kind_t kind, const char *message);
static void on_call_answer(void *ctx, stream_t *s, msg_kind_t kind,
			   const void *msg);

static stream_t *stream_new(uv_loop_t *loop, seal_t *seal, counters_t *counters)
{
	stream_t *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	list_init(&s->node);
	s->seal = seal;
	s->counters = counters;
	uv_tcp_init(loop, &s->tcp);
	uv_timer_init(loop, &s->timer);
	s->tcp.data = s;
	s->timer.data = s;
	s->open_handles = 2;
	return s;
}

static void on_stream_closed(uv_handle_t *handle)
{
	stream_t *s = handle->data;

	if (--s->open_handles > 0)
		return;
	wire_arena_clear(&s->arena);
	free(s->in);
	free(s->request);
	free(s);
}

static void stream_close(stream_t *s)
{
	if (s->closing)
		return;
	s->closing = 1;
	list_remove(&s->node);
	uv_close((uv_handle_t *)&s->tcp, on_stream_closed);
	uv_close((uv_handle_t *)&s->timer, on_stream_closed);
}

static void on_timeout(uv_timer_t *timer)
{
	stream_t *s = timer->data;

	if (s->answer)
		fail_call(s, ERR_TIMEOUT, "no answer within the timeout");
	else
		stream_close(s);
}

static void on_alloc(uv_handle_t *handle, size_t hint, uv_buf_t *buf)
{
	stream_t *s = handle->data;

	(void)hint;
	if (s->in_size - s->in_len < READ_SPACE_MIN) {
		size_t size = s->in_size * 2 + READ_SPACE_MIN;
		uint8_t *grown = realloc(s->in, size);

		if (!grown) {
			buf->base = NULL;
			buf->len = 0;
			return;
		}
		s->in = grown;
		s->in_size = size;
	}
	buf->base = (char *)s->in + s->in_len;
	buf->len = s->in_size - s->in_len;
}

static int receive_frame(stream_t *s, const uint8_t *buf, size_t len)
{
	const uint8_t *body;
	size_t body_len;
	uint8_t kind;
	void *msg;
	seal_status_t status = seal_open(s->seal, wall_clock_ms(), buf, len,
					 &kind, &body, &body_len);

	if (status != SEAL_OK) {
		/* The counters are in the order of seal_status_t. */
		counter_add(s->counters,
			    (counter_t)(COUNTER_MESSAGE_SHORT + status - 1), 1);
		return -1;
	}
	msg = wire_unpack(&s->arena, (msg_kind_t)kind, body, body_len);
	if (!msg) {
		counter_add(s->counters, COUNTER_MESSAGE_MALFORMED, 1);
		return -1;
	}
	s->receive(s->ctx, s, (msg_kind_t)kind, msg);
	return 0;
}

/*
 * Processes all complete frames in the buffer. Returns 0, or -1 if the
 * connection must be closed.
 */
static int receive_frames(stream_t *s)
{
	size_t pos = 0;

	while (!s->closing && s->in_len - pos >= FRAME_HEADER_LEN) {
		const uint8_t *p = s->in + pos;
		size_t len = (size_t)p[0] << 24 | (size_t)p[1] << 16 |
			     (size_t)p[2] << 8 | p[3];

		if (len > STREAM_FRAME_MAX) {
			counter_add(s->counters, COUNTER_MESSAGE_MALFORMED, 1);
			return -1;
		}
		if (s->in_len - pos - FRAME_HEADER_LEN < len)
			break;
		if (receive_frame(s, p + FRAME_HEADER_LEN, len) < 0)
			return -1;
		pos += FRAME_HEADER_LEN + len;
	}
	memmove(s->in, s->in + pos, s->in_len - pos);
	s->in_len -= pos;
	return 0;
}

static void on_read(uv_stream_t *tcp, ssize_t n, const uv_buf_t *buf)
{
	stream_t *s = tcp->data;

	(void)buf;
	if (n == 0)
		return;
	if (n < 0) {
		if (s->answer)
			fail_call(s, ERR_IO,
				  "connection closed before the answer");
		else
			stream_close(s);
		return;
	}
	s->in_len += (size_t)n;
	if (!s->answer)
		uv_timer_start(&s->timer, on_timeout, STREAM_IDLE_MS, 0);
	if (receive_frames(s) == 0 || s->closing)
		return;
	if (s->answer)
		fail_call(s, ERR_AUTH,
			  "answer failed authentication or is malformed");
	else
		stream_close(s);
}

static void on_connection(uv_stream_t *listener, int status)
{
	stream_server_t *server = listener->data;
	struct sockaddr_in sa;
	int len = sizeof(sa);
	stream_t *s;

	if (status < 0)
		return;
	s = stream_new(server->loop, server->seal, server->counters);
	if (!s)
		return;
	s->receive = server->receive;
	s->ctx = server->ctx;
	list_append(&server->streams, &s->node);
	if (uv_accept(listener, (uv_stream_t *)&s->tcp) < 0) {
		stream_close(s);
		return;
	}
	if (uv_tcp_getpeername(&s->tcp, (struct sockaddr *)&sa, &len) == 0)
		s->peer = endpoint_from_sockaddr(&sa);
	uv_timer_start(&s->timer, on_timeout, STREAM_IDLE_MS, 0);
	uv_read_start((uv_stream_t *)&s->tcp, on_alloc, on_read);
}

stream_server_t *stream_listen(uv_loop_t *loop, const endpoint_t *listen,
			       seal_t *seal, counters_t *counters,
			       stream_receive_fn receive, void *ctx, err_t *err)
{
	struct sockaddr_in sa = endpoint_sockaddr(listen);
	stream_server_t *server = calloc(1, sizeof(*server));
	char text[ENDPOINT_TEXT_SIZE];
	int ret;

	if (!server) {
		err_set(err, ERR_MEMORY, NULL, 0, "free memory",
			"no memory for a TCP server");
		return NULL;
	}
	server->loop = loop;
	server->seal = seal;
	server->counters = counters;
	server->receive = receive;
	server->ctx = ctx;
	list_init(&server->streams);
	uv_tcp_init(loop, &server->tcp);
	server->tcp.data = server;
	ret = uv_tcp_bind(&server->tcp, (struct sockaddr *)&sa, 0);
	if (ret == 0)
		ret = uv_listen((uv_stream_t *)&server->tcp, BACKLOG,
				on_connection);
	if (ret < 0) {
		err_set(err, ERR_IO, endpoint_format(listen, text), 0,
			"use a free address of this host", "cannot listen: %s",
			uv_strerror(ret));
		uv_close((uv_handle_t *)&server->tcp, on_server_closed);
		return NULL;
	}
	return server;
}

static void on_server_closed(uv_handle_t *handle)
{
	free(handle->data);
}

void stream_server_close(stream_server_t *server)
{
	if (!server)
		return;
	list_each_safe(node, after, &server->streams)
		stream_close(list_entry(node, stream_t, node));
	uv_close((uv_handle_t *)&server->tcp, on_server_closed);
}

static uint8_t *frame_new(seal_t *seal, msg_kind_t kind, const void *msg,
			  size_t *len)
{
	size_t body_len = wire_size(msg);
	size_t sealed_len = SEAL_HEADER_LEN + body_len;
	uint8_t *frame;

	if (sealed_len > STREAM_FRAME_MAX)
		return NULL;
	frame = malloc(FRAME_HEADER_LEN + sealed_len);
	if (!frame)
		return NULL;
	frame[0] = (uint8_t)(sealed_len >> 24);
	frame[1] = (uint8_t)(sealed_len >> 16);
	frame[2] = (uint8_t)(sealed_len >> 8);
	frame[3] = (uint8_t)sealed_len;
	wire_pack(msg, frame + FRAME_HEADER_LEN + SEAL_HEADER_LEN);
	seal_message(seal, (uint8_t)kind, wall_clock_ms(),
		     frame + FRAME_HEADER_LEN, body_len);
	*len = FRAME_HEADER_LEN + sealed_len;
	return frame;
}

static void on_written(uv_write_t *write, int status)
{
	write_request_t *w = write->data;

	(void)status;
	free(w->frame);
	free(w);
}

static int write_frame(stream_t *s, uint8_t *frame, size_t len)
{
	write_request_t *w = calloc(1, sizeof(*w));
	uv_buf_t buf = uv_buf_init((char *)frame, (unsigned)len);

	if (!w) {
		free(frame);
		return -1;
	}
	w->frame = frame;
	w->write.data = w;
	counter_add(s->counters, COUNTER_CONTROL_MESSAGES_OUT, 1);
	counter_add(s->counters, COUNTER_CONTROL_BYTES_OUT, len);
	if (uv_write(&w->write, (uv_stream_t *)&s->tcp, &buf, 1, on_written) <
	    0) {
		on_written(&w->write, -1);
		return -1;
	}
	return 0;
}

int stream_send(stream_t *stream, msg_kind_t kind, const void *msg)
{
	size_t len;
	uint8_t *frame;

	if (stream->closing)
		return -1;
	frame = frame_new(stream->seal, kind, msg, &len);
	return frame ? write_frame(stream, frame, len) : -1;
}

endpoint_t stream_peer(const stream_t *stream)
{
	return stream->peer;
}

static void fail_call(stream_t *s, err_kind_t kind, const char *message)
{
	stream_answer_fn answer = s->answer;
	char text[ENDPOINT_TEXT_SIZE];
	err_t err;

	err_set(&err, kind, endpoint_format(&s->peer, text), 0,
		"check that the process runs and has the same key", "%s",
		message);
	s->answer = NULL;
	stream_close(s);
	if (answer)
		answer(s->ctx, MSG_NONE, NULL, &err);
}

static void on_call_answer(void *ctx, stream_t *s, msg_kind_t kind,
			   const void *msg)
{
	stream_answer_fn answer = s->answer;

	s->answer = NULL;
	if (answer)
		answer(ctx, kind, msg, NULL);
	stream_close(s);
}

static void on_connected(uv_connect_t *connect, int status)
{
	stream_t *s = connect->data;
	uint8_t *frame = s->request;

	if (s->closing)
		return;
	if (status < 0) {
		fail_call(s, ERR_IO, uv_strerror(status));
		return;
	}
	s->request = NULL;
	if (write_frame(s, frame, s->request_len) < 0) {
		fail_call(s, ERR_IO, "cannot send the request");
		return;
	}
	uv_read_start((uv_stream_t *)&s->tcp, on_alloc, on_read);
}

void stream_call(uv_loop_t *loop, seal_t *seal, counters_t *counters,
		 const endpoint_t *to, msg_kind_t kind, const void *msg,
		 uint64_t timeout_ms, stream_answer_fn answer, void *ctx)
{
	struct sockaddr_in sa = endpoint_sockaddr(to);
	stream_t *s = stream_new(loop, seal, counters);
	err_t err;
	int ret;

	if (!s) {
		err_set(&err, ERR_MEMORY, NULL, 0, "free memory",
			"no memory for a connection");
		answer(ctx, MSG_NONE, NULL, &err);
		return;
	}
	s->peer = *to;
	s->receive = on_call_answer;
	s->ctx = ctx;
	s->answer = answer;
	s->request = frame_new(seal, kind, msg, &s->request_len);
	s->connect.data = s;
	uv_timer_start(&s->timer, on_timeout, timeout_ms, 0);
	if (!s->request) {
		fail_call(s, ERR_SIZE,
			  "cannot build the request: longer than 8 MiB, "
			  "or out of memory");
		return;
	}
	ret = uv_tcp_connect(&s->connect, &s->tcp, (struct sockaddr *)&sa,
			     on_connected);
	if (ret < 0)
		fail_call(s, ERR_IO, uv_strerror(ret));
}
