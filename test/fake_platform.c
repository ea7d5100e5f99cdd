/*
 * fake_platform - HTTP server that simulates the platform: configuration
 * service and live list, see platform.h
 *
 * Accepts commands as UDP datagrams on the same address and port:
 *
 *	#file PATH VERSION	publish a document; a lower version than before
 *				simulates a rollback or a stale platform
 *	#live PATH		publish a live list
 *	#up			answer normally
 *	#down			close all connections
 *	#garbage		answer with invalid documents
 *	#silent			keep connections open and answer nothing
 *	#wait MS		time after which a long poll ends with 304
 *	#calls			no change
 *
 * The answer to a command holds the number of requests, or is "error".
 */

#include "../src/endpoint.h"
#include "../src/list.h"
#include "../src/udp_socket.h"
#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REQUEST_BYTES 4096
#define WATCH_MS      30000 /* initial value, see #wait */
#define TICK_MS	      50
#define GARBAGE	      "version = [[[\x01\n"

typedef enum server_mode {
	MODE_UP,
	MODE_DOWN,
	MODE_GARBAGE,
	MODE_SILENT
} server_mode_t;

typedef struct server {
	uv_loop_t loop;
	uv_tcp_t tcp;
	uv_timer_t timer;
	udp_socket_t *commands;
	list_t conns;
	server_mode_t server_mode;
	char *document;	 /* NULL: not published */
	char *live_list; /* NULL: not published */
	uint64_t version;
	uint64_t calls; /* requests of all kinds */
	uint64_t live_calls;
	uint64_t watch_ms;
} server_t;

typedef struct conn {
	list_t node;
	uv_tcp_t tcp;
	server_t *server;
	char request[REQUEST_BYTES];
	size_t len;
	bool waiting;	      /* long poll without an answer yet */
	uint64_t after;	      /* version that the client has */
	uint64_t deadline_ms; /* end of the long poll */
} conn_t;

typedef struct reply {
	uv_write_t write;
	char *text;
} reply_t;

static void respond_config(conn_t *c, bool is_new);

static void on_conn_closed(uv_handle_t *handle)
{
	free(handle->data);
}

static void conn_close(conn_t *c)
{
	if (uv_is_closing((uv_handle_t *)&c->tcp))
		return;
	list_remove(&c->node);
	uv_close((uv_handle_t *)&c->tcp, on_conn_closed);
}

static void on_written(uv_write_t *write, int status)
{
	reply_t *r = write->data;

	(void)status;
	g_free(r->text);
	g_free(r);
}

static void send_response(conn_t *c, int status, uint64_t version,
			  const char *body)
{
	reply_t *r = g_new0(reply_t, 1);
	uv_buf_t buf;

	c->waiting = false;
	r->text = g_strdup_printf("HTTP/1.1 %d X\r\nETag: \"%llu\"\r\n"
				  "Content-Length: %zu\r\n\r\n%s",
				  status, (unsigned long long)version,
				  strlen(body), body);
	r->write.data = r;
	buf = uv_buf_init(r->text, (unsigned)strlen(r->text));
	uv_write(&r->write, (uv_stream_t *)&c->tcp, &buf, 1, on_written);
}

/*
 * Answers a request for the document. A new request that has to wait for a
 * higher version is put off; on_tick() tries it again.
 */
static void respond_config(conn_t *c, bool is_new)
{
	server_t *s = c->server;

	if (s->server_mode == MODE_GARBAGE)
		send_response(c, 200, 99, GARBAGE);
	else if (s->document && s->version > c->after)
		send_response(c, 200, s->version, s->document);
	else if (c->after && is_new) {
		c->waiting = true;
		c->deadline_ms = uv_now(&s->loop) + s->watch_ms;
	} else if (!c->after)
		send_response(c, 404, 0, "");
}

static void on_request(conn_t *c, const char *line)
{
	server_t *s = c->server;
	char path[128] = "";
	unsigned long long after = 0;

	if (sscanf(line, "GET %127s", path) != 1) {
		conn_close(c);
		return;
	}
	s->calls++;
	if (s->server_mode == MODE_DOWN) {
		conn_close(c);
	} else if (s->server_mode == MODE_SILENT) {
		return;
	} else if (g_str_has_suffix(path, "/live")) {
		s->live_calls++;
		if (s->server_mode == MODE_GARBAGE)
			send_response(c, 200, 0, GARBAGE);
		else
			send_response(c, s->live_list ? 200 : 404, 0,
				      s->live_list ? s->live_list : "");
	} else {
		const char *query = strstr(path, "?after=");

		if (query)
			sscanf(query, "?after=%llu", &after);
		c->after = after;
		respond_config(c, true);
	}
}

static void on_alloc(uv_handle_t *handle, size_t hint, uv_buf_t *buf)
{
	conn_t *c = handle->data;

	(void)hint;
	buf->base = c->request + c->len;
	buf->len = sizeof(c->request) - 1 - c->len;
}

static void on_read(uv_stream_t *tcp, ssize_t n, const uv_buf_t *buf)
{
	conn_t *c = tcp->data;
	char *end;

	(void)buf;
	if (n < 0) {
		conn_close(c);
		return;
	}
	c->len += (size_t)n;
	c->request[c->len] = '\0';
	end = strstr(c->request, "\r\n\r\n");
	if (!end)
		return;
	*end = '\0';
	c->len = 0;
	on_request(c, c->request);
}

static void on_connection(uv_stream_t *listener, int status)
{
	server_t *s = listener->data;
	conn_t *c;

	if (status < 0)
		return;
	c = calloc(1, sizeof(*c));
	c->server = s;
	uv_tcp_init(&s->loop, &c->tcp);
	c->tcp.data = c;
	list_append(&s->conns, &c->node);
	if (uv_accept(listener, (uv_stream_t *)&c->tcp) < 0 ||
	    s->server_mode == MODE_DOWN)
		conn_close(c);
	else
		uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
}

static void on_tick(uv_timer_t *timer)
{
	server_t *s = timer->data;
	uint64_t now = uv_now(&s->loop);

	list_each_safe(node, after, &s->conns)
	{
		conn_t *c = list_entry(node, conn_t, node);

		if (s->server_mode == MODE_DOWN)
			conn_close(c);
		else if (c->waiting && now >= c->deadline_ms)
			send_response(c, 304, s->version, "");
		else if (c->waiting && s->server_mode != MODE_SILENT)
			respond_config(c, false);
	}
}

static int publish(server_t *s, const char *path, const char *version)
{
	char *text;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return -1;
	g_free(s->document);
	s->document = text;
	s->version = strtoull(version, NULL, 10);
	return 0;
}

static int run_command(server_t *s, const char *verb, const char *argument,
		       const char *version)
{
	static const char *const modes[] = { "#up", "#down", "#garbage",
					     "#silent" };

	for (size_t i = 0; i < G_N_ELEMENTS(modes); i++)
		if (!strcmp(verb, modes[i])) {
			s->server_mode = (server_mode_t)i;
			return 0;
		}
	if (!strcmp(verb, "#file"))
		return publish(s, argument, version);
	if (!strcmp(verb, "#calls"))
		return 0;
	if (!strcmp(verb, "#wait")) {
		s->watch_ms = strtoull(argument, NULL, 10);
		return 0;
	}
	if (strcmp(verb, "#live") != 0)
		return -1;
	g_free(s->live_list);
	s->live_list = NULL;
	return g_file_get_contents(argument, &s->live_list, NULL, NULL) ? 0
									: -1;
}

static void on_datagram(void *ctx, const endpoint_t *from, uint8_t *buf,
			size_t len)
{
	server_t *s = ctx;
	char *text = g_strndup((char *)buf, len);
	char verb[16] = "", argument[256] = "", version[24] = "0";
	char out[96] = "error";

	sscanf(text, "%15s %255s %23s", verb, argument, version);
	if (run_command(s, verb, argument, version) == 0)
		snprintf(out, sizeof(out), "{\"calls\":%llu,\"live\":%llu}",
			 (unsigned long long)s->calls,
			 (unsigned long long)s->live_calls);
	udp_socket_send(s->commands, from, (uint8_t *)out, strlen(out));
	g_free(text);
}

int main(int argc, char **argv)
{
	static const udp_socket_ops_t ops = { .receive = on_datagram };
	static server_t s;
	struct sockaddr_in sa;
	endpoint_t listen;
	err_t err;

	if (argc != 2 || endpoint_parse(argv[1], &listen) < 0) {
		fprintf(stderr, "usage: fake_platform LISTEN\n");
		return 2;
	}
	s.watch_ms = WATCH_MS;
	list_init(&s.conns);
	uv_loop_init(&s.loop);
	uv_timer_init(&s.loop, &s.timer);
	uv_tcp_init(&s.loop, &s.tcp);
	s.timer.data = &s;
	s.tcp.data = &s;
	sa = endpoint_sockaddr(&listen);
	s.commands = udp_socket_open(&s.loop, &listen, NULL, &ops, &s, &err);
	if (!s.commands || uv_tcp_bind(&s.tcp, (struct sockaddr *)&sa, 0) < 0 ||
	    uv_listen((uv_stream_t *)&s.tcp, 128, on_connection) < 0) {
		fprintf(stderr,
			"fake_platform: cannot listen on the given address\n");
		return 1;
	}
	uv_timer_start(&s.timer, on_tick, TICK_MS, TICK_MS);
	return uv_run(&s.loop, UV_RUN_DEFAULT);
}
