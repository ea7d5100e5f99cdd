#include "http_client.h"
#include <glib.h>
#include <http_parser.h>
#include <stdlib.h>
#include <string.h>

/* Delay of a time-out from which on the process has not run meanwhile. */
#define LATE_MIN_MS 200
/* Time for which an answer that may be unread in the socket is waited for. */
#define UNREAD_MS 50
/* Time limit for connecting, in ms: several round trips. */
#define CONNECT_TIMEOUT_MS 600
#define READ_BUF_SIZE	   16384

/* Freed when libuv has closed the socket, possibly after the client. */
typedef struct http_connection {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	struct http_client *client; /* NULL: connection is closing */
	char *request;		    /* owned */
	char buffer[READ_BUF_SIZE];
} http_connection_t;

struct http_client {
	uv_loop_t *loop;
	endpoint_t server;
	uv_timer_t timer;
	http_connection_t *connection; /* NULL: none */
	bool connected;
	http_parser parser;
	GString *body;
	GHashTable *headers;  /* see http_response_t */
	GString *header_name; /* header in progress */
	GString *header_value;
	bool in_value; /* the parser is within the value of a header */
	char *path;    /* of the pending request, owned; NULL: none */
	uint64_t timeout_ms;
	uint64_t connect_timeout_ms;
	uint64_t due_ms; /* end of the time-out in progress, loop's clock */
	bool keep_alive;
	bool complete;
	bool receiving;	    /* a part of the response has arrived */
	bool too_large;	    /* see http_response_t */
	uint64_t announced; /* see http_response_t */
	http_done_fn done;
	void *ctx;
};

static void on_timeout(uv_timer_t *timer);
static void drop_connection(http_client_t *c);
static void finish_request(http_client_t *c, int status, const char *error);
static void send_request(http_client_t *c);
static void open_connection(http_client_t *c);

static void on_closed(uv_handle_t *handle)
{
	http_connection_t *conn = handle->data;

	g_free(conn->request);
	free(conn);
}

static void on_timer_closed(uv_handle_t *handle)
{
	http_client_t *c = handle->data;

	g_string_free(c->body, TRUE);
	g_string_free(c->header_name, TRUE);
	g_string_free(c->header_value, TRUE);
	g_hash_table_destroy(c->headers);
	g_free(c->path);
	free(c);
}

static GHashTable *new_headers(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static void drop_connection(http_client_t *c)
{
	http_connection_t *conn = c->connection;

	if (!conn)
		return;
	conn->client = NULL;
	c->connection = NULL;
	c->connected = false;
	uv_close((uv_handle_t *)&conn->tcp, on_closed);
}

static void finish_request(http_client_t *c, int status, const char *error)
{
	http_response_t response = { .status = status,
				     .error = error,
				     .too_large = c->too_large,
				     .body = c->body->str,
				     .len = c->body->len,
				     .announced = c->announced,
				     .headers = c->headers };
	GString *body = c->body;
	GHashTable *headers = c->headers;
	http_done_fn done = c->done;

	uv_timer_stop(&c->timer);
	if (!status || !c->keep_alive)
		drop_connection(c);
	g_free(c->path);
	c->path = NULL;
	c->receiving = false;
	c->body = g_string_new(NULL);
	c->headers = new_headers();
	done(c->ctx, &response);
	g_string_free(body, TRUE);
	g_hash_table_destroy(headers);
}

static void start_timer(http_client_t *c, uint64_t timeout_ms)
{
	c->due_ms = uv_now(c->loop) + timeout_ms;
	uv_timer_start(&c->timer, on_timeout, timeout_ms, 0);
}

/* A loop that did not run for a while calls its timers before it reads what
 * has arrived meanwhile: the answer may be there. */
static void on_timeout(uv_timer_t *timer)
{
	http_client_t *c = timer->data;

	if (uv_now(c->loop) > c->due_ms + LATE_MIN_MS) {
		start_timer(c, UNREAD_MS);
		return;
	}
	finish_request(c, 0,
		       c->receiving   ? "response stopped arriving"
		       : c->connected ? "response timed out"
				      : "connection timed out");
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	http_client_t *c = parser->data;

	if (c->body->len + len > HTTP_BODY_MAX) {
		c->too_large = true;
		return -1;
	}
	g_string_append_len(c->body, at, (gssize)len);
	return 0;
}

/* Adds the header in progress, if any. */
static void end_header(http_client_t *c)
{
	if (!c->header_name->len)
		return;
	g_hash_table_replace(c->headers,
			     g_ascii_strdown(c->header_name->str, -1),
			     g_strdup(c->header_value->str));
	g_string_truncate(c->header_name, 0);
	g_string_truncate(c->header_value, 0);
}

/* The parser may pass a name or a value in several parts. */
static int on_header_name(http_parser *parser, const char *at, size_t len)
{
	http_client_t *c = parser->data;

	if (c->in_value)
		end_header(c);
	c->in_value = false;
	g_string_append_len(c->header_name, at, (gssize)len);
	return 0;
}

static int on_header_value(http_parser *parser, const char *at, size_t len)
{
	http_client_t *c = parser->data;

	c->in_value = true;
	g_string_append_len(c->header_value, at, (gssize)len);
	return 0;
}

static int on_headers_complete(http_parser *parser)
{
	http_client_t *c = parser->data;

	end_header(c);
	if (parser->content_length == UINT64_MAX)
		return 0; /* the length is unknown */
	c->announced = parser->content_length;
	c->too_large = c->announced > HTTP_BODY_MAX;
	return c->too_large ? -1 : 0;
}

static int on_complete(http_parser *parser)
{
	http_client_t *c = parser->data;

	c->keep_alive = http_should_keep_alive(parser);
	c->complete = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_header_field = on_header_name,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	http_connection_t *conn = handle->data;

	(void)size;
	*buf = uv_buf_init(conn->buffer, sizeof(conn->buffer));
}

static void on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	http_connection_t *conn = stream->data;
	http_client_t *c = conn->client;
	size_t parsed;

	if (!c || len == 0)
		return;
	if (!c->path) {
		/* No request is pending: the server closed the connection, or
		 * sent data without a request. */
		drop_connection(c);
		return;
	}
	if (len < 0) {
		finish_request(c, 0, uv_strerror((int)len));
		return;
	}
	c->receiving = true;
	start_timer(c, HTTP_GAP_MS);
	parsed = http_parser_execute(&c->parser, &parser_settings, buf->base,
				     (size_t)len);
	/* Bytes after the response would be taken for the next one. */
	if (c->complete && parsed < (size_t)len)
		c->keep_alive = false;
	if (c->complete)
		finish_request(c, (int)c->parser.status_code, NULL);
	else if (HTTP_PARSER_ERRNO(&c->parser) != HPE_OK)
		finish_request(c, 0,
			       c->too_large ? "response is too large"
					    : "response is not valid HTTP");
}

static void on_written(uv_write_t *write, int status)
{
	http_connection_t *conn = write->data;

	if (conn->client && conn->client->path && status < 0)
		finish_request(conn->client, 0, uv_strerror(status));
}

static void send_request(http_client_t *c)
{
	http_connection_t *conn = c->connection;
	char host[ENDPOINT_TEXT_SIZE];
	uv_buf_t buf;

	http_parser_init(&c->parser, HTTP_RESPONSE);
	c->parser.data = c;
	c->complete = false;
	c->in_value = false;
	g_string_truncate(c->header_name, 0);
	g_string_truncate(c->header_value, 0);
	g_hash_table_remove_all(c->headers);
	g_free(conn->request);
	conn->request =
		g_strdup_printf("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", c->path,
				endpoint_format(&c->server, host));
	buf = uv_buf_init(conn->request, (unsigned)strlen(conn->request));
	start_timer(c, c->timeout_ms);
	if (uv_write(&conn->write, (uv_stream_t *)&conn->tcp, &buf, 1,
		     on_written) < 0)
		finish_request(c, 0, "write failed");
}

static void on_connected(uv_connect_t *connect, int status)
{
	http_connection_t *conn = connect->data;
	http_client_t *c = conn->client;

	if (!c)
		return;
	if (status < 0) {
		finish_request(c, 0, uv_strerror(status));
		return;
	}
	c->connected = true;
	uv_tcp_nodelay(&conn->tcp, 1);
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
	send_request(c);
}

static void open_connection(http_client_t *c)
{
	struct sockaddr_in sa = endpoint_sockaddr(&c->server);
	http_connection_t *conn = calloc(1, sizeof(*conn));

	start_timer(c, c->connect_timeout_ms);
	if (!conn)
		return; /* on_timeout() reports the failure */
	conn->client = c;
	conn->connect.data = conn;
	conn->write.data = conn;
	uv_tcp_init(c->loop, &conn->tcp);
	conn->tcp.data = conn;
	c->connection = conn;
	if (uv_tcp_connect(&conn->connect, &conn->tcp, (struct sockaddr *)&sa,
			   on_connected) < 0)
		drop_connection(c);
}

http_client_t *http_client_new(uv_loop_t *loop, const endpoint_t *server)
{
	http_client_t *c = calloc(1, sizeof(*c));

	if (!c)
		return NULL;
	c->loop = loop;
	c->server = *server;
	c->connect_timeout_ms = CONNECT_TIMEOUT_MS;
	c->body = g_string_new(NULL);
	c->headers = new_headers();
	c->header_name = g_string_new(NULL);
	c->header_value = g_string_new(NULL);
	uv_timer_init(loop, &c->timer);
	c->timer.data = c;
	return c;
}

void http_client_set_connect_timeout(http_client_t *c, uint64_t timeout_ms)
{
	c->connect_timeout_ms = timeout_ms;
}

void http_client_free(http_client_t *c)
{
	if (!c)
		return;
	drop_connection(c);
	uv_timer_stop(&c->timer);
	uv_close((uv_handle_t *)&c->timer, on_timer_closed);
}

bool http_client_busy(const http_client_t *c)
{
	return c->path != NULL;
}

bool http_client_receiving(const http_client_t *c)
{
	return c->receiving;
}

void http_client_get(http_client_t *c, const char *path, uint64_t timeout_ms,
		     http_done_fn done, void *ctx)
{
	c->path = g_strdup(path);
	c->timeout_ms = timeout_ms;
	c->done = done;
	c->ctx = ctx;
	c->keep_alive = false;
	c->receiving = false;
	c->too_large = false;
	c->announced = 0;
	g_string_truncate(c->body, 0);
	if (c->connection && c->connected)
		send_request(c);
	else
		open_connection(c);
}

void http_client_disconnect(http_client_t *c)
{
	if (!c->path)
		drop_connection(c);
}

void http_client_cancel(http_client_t *c)
{
	if (!c->path)
		return;
	uv_timer_stop(&c->timer);
	drop_connection(c);
	g_free(c->path);
	c->path = NULL;
	c->receiving = false;
}

void http_client_abort(http_client_t *c, const char *reason)
{
	if (c->path)
		finish_request(c, 0, reason);
	else
		drop_connection(c);
}
