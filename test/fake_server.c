/*
 * fake_server - simulates a backend server and the TCP of its kernel
 *
 * fake_server LISTEN SLOTS SPEED SERVICE_MS [QUEUE]
 *
 * Receives tunnelled packets of its agent at LISTEN. Its own packets go to the
 * sender of the latest one. A datagram that begins with '#' is a command:
 *
 *	#records	returns a line "ID COUNT" for each log recorded
 *	#speed X	sets the speed; returns "ok"
 *	#state		returns a line of numbers, see app_server_state()
 */

#include "../src/endpoint.h"
#include "../src/udp_socket.h"
#include "../bench/app_server.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS 10

typedef struct server {
	uv_loop_t loop;
	uv_timer_t tick_timer;
	uv_timer_t due_timer;
	udp_socket_t *socket;
	app_server_t *app;
	endpoint_t agent;
} server_t;

static void send_to_agent(void *ctx, const uint8_t *packet, size_t len);
static void schedule_due(server_t *s);
static void on_due(uv_timer_t *timer);
static void on_tick(uv_timer_t *timer);
static void command(server_t *s, const endpoint_t *from, const char *text);
static void append_records(server_t *s, GString *out);
static void on_datagram(void *ctx, const endpoint_t *from, uint8_t *buf,
			size_t len);

static void send_to_agent(void *ctx, const uint8_t *packet, size_t len)
{
	server_t *s = ctx;

	if (s->agent.port)
		udp_socket_send(s->socket, &s->agent, packet, len);
}

/* Sets the timer to the time at which the next work is done. */
static void schedule_due(server_t *s)
{
	uint64_t now = uv_now(&s->loop);
	uint64_t due = app_server_due(s->app);

	if (due == UINT64_MAX)
		uv_timer_stop(&s->due_timer);
	else
		uv_timer_start(&s->due_timer, on_due, due > now ? due - now : 0,
			       0);
}

static void on_due(uv_timer_t *timer)
{
	server_t *s = timer->data;

	app_server_run(s->app, uv_now(&s->loop));
	schedule_due(s);
}

static void on_tick(uv_timer_t *timer)
{
	server_t *s = timer->data;

	app_server_tick(s->app, uv_now(&s->loop));
	schedule_due(s);
}

static void append_records(server_t *s, GString *out)
{
	GHashTableIter iter;
	gpointer id, count;

	g_hash_table_iter_init(&iter, app_server_records(s->app));
	while (g_hash_table_iter_next(&iter, &id, &count) &&
	       out->len < UDP_DATAGRAM_MAX - 64)
		g_string_append_printf(out, "%zu %zu\n", GPOINTER_TO_SIZE(id),
				       GPOINTER_TO_SIZE(count));
}

static void command(server_t *s, const endpoint_t *from, const char *text)
{
	GString *out = g_string_new(NULL);
	char *state;

	if (!strncmp(text, "#records", 8)) {
		append_records(s, out);
	} else if (!strncmp(text, "#speed ", 7)) {
		app_server_set_speed(s->app, atof(text + 7));
		g_string_append(out, "ok");
	} else {
		state = app_server_state(s->app);
		g_string_append(out, state);
		g_free(state);
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
	app_server_input(s->app, uv_now(&s->loop), buf, len);
	schedule_due(s);
}

int main(int argc, char **argv)
{
	static const udp_socket_ops_t socket_ops = { .receive = on_datagram };
	static const app_server_ops_t app_ops = { send_to_agent };
	app_server_options_t options = { 0 };
	static server_t s;
	endpoint_t listen;
	err_t err;

	if (argc < 5 || endpoint_parse(argv[1], &listen) < 0) {
		fprintf(stderr, "usage: fake_server LISTEN SLOTS SPEED "
				"SERVICE_MS [QUEUE]\n");
		return 2;
	}
	options.slots = (unsigned)atoi(argv[2]);
	options.speed = atof(argv[3]);
	options.service_ms = atof(argv[4]);
	options.queue = argc > 5 ? (unsigned)atoi(argv[5]) : 10000;
	options.seed = listen.port * 2654435761ULL + listen.ip;
	uv_loop_init(&s.loop);
	s.app = app_server_new(&options, &app_ops, &s);
	s.socket =
		udp_socket_open(&s.loop, &listen, NULL, &socket_ops, &s, &err);
	if (!s.app || !s.socket) {
		fprintf(stderr, "fake_server: %s\n", err.what);
		return 1;
	}
	uv_timer_init(&s.loop, &s.tick_timer);
	s.tick_timer.data = &s;
	uv_timer_init(&s.loop, &s.due_timer);
	s.due_timer.data = &s;
	uv_timer_start(&s.tick_timer, on_tick, TICK_MS, TICK_MS);
	return uv_run(&s.loop, UV_RUN_DEFAULT);
}
