#define _GNU_SOURCE
#include "dgram.h"
#include "udp_socket.h"
#include <stdlib.h>
#include <time.h>

struct dgram {
	udp_socket_t *socket;
	seal_t *seal;
	counters_t *counters;
	dgram_receive_fn receive;
	void *ctx;
	wire_arena_t arena;
};

static void on_datagram(void *ctx, const endpoint_t *from, uint8_t *buf,
			size_t len);

uint64_t wall_clock_ms(void)
{
	struct timespec ts;

	/*
	 * The coarse clock is cheaper; its error of a few milliseconds is small
	 * against SEAL_SKEW_MS.
	 */
	clock_gettime(CLOCK_REALTIME_COARSE, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

static void on_datagram(void *ctx, const endpoint_t *from, uint8_t *buf,
			size_t len)
{
	dgram_t *d = ctx;
	seal_status_t status;
	const uint8_t *body;
	size_t body_len;
	uint8_t kind;
	void *msg;

	counter_add(d->counters, COUNTER_MESSAGES_IN, 1);
	status = seal_open(d->seal, wall_clock_ms(), buf, len, &kind, &body,
			   &body_len);
	if (status != SEAL_OK) {
		/* The counters are in the order of seal_status_t. */
		counter_add(d->counters,
			    (counter_t)(COUNTER_MESSAGE_SHORT + status - 1), 1);
		return;
	}
	msg = wire_unpack(&d->arena, (msg_kind_t)kind, body, body_len);
	if (!msg) {
		counter_add(d->counters, COUNTER_MESSAGE_MALFORMED, 1);
		return;
	}
	d->receive(d->ctx, from, (msg_kind_t)kind, msg);
}

dgram_t *dgram_open(uv_loop_t *loop, const endpoint_t *listen, seal_t *seal,
		    counters_t *counters, dgram_receive_fn receive, void *ctx,
		    err_t *err)
{
	static const udp_socket_ops_t ops = { .receive = on_datagram };
	dgram_t *d = calloc(1, sizeof(*d));

	if (!d) {
		err_set(err, ERR_MEMORY, NULL, 0, "free memory",
			"no memory for a datagram socket");
		return NULL;
	}
	d->seal = seal;
	d->counters = counters;
	d->receive = receive;
	d->ctx = ctx;
	d->socket = udp_socket_open(loop, listen, NULL, &ops, d, err);
	if (!d->socket) {
		free(d);
		return NULL;
	}
	return d;
}

void dgram_close(dgram_t *d)
{
	if (!d)
		return;
	udp_socket_close(d->socket);
	wire_arena_clear(&d->arena);
	free(d);
}

void dgram_send(dgram_t *d, const endpoint_t *to, msg_kind_t kind,
		const void *msg)
{
	const size_t max_len = UDP_DATAGRAM_MAX - SEAL_HEADER_LEN;
	uint8_t *buf;
	size_t len;

	buf = udp_socket_reserve(d->socket);
	len = wire_pack_within(msg, buf + SEAL_HEADER_LEN, max_len);
	if (!len && wire_size(msg)) {
		counter_add(d->counters, COUNTER_SEND_FAILED, 1);
		return;
	}
	len = seal_message(d->seal, (uint8_t)kind, wall_clock_ms(), buf, len);
	counter_add(d->counters, COUNTER_MESSAGES_OUT, 1);
	counter_add(d->counters, COUNTER_MESSAGE_BYTES_OUT, len);
	if (kind != MSG_PACKET) {
		counter_add(d->counters, COUNTER_CONTROL_MESSAGES_OUT, 1);
		counter_add(d->counters, COUNTER_CONTROL_BYTES_OUT, len);
	}
	udp_socket_commit(d->socket, to, len);
}
