/*
 * relay - plain UDP relay, the baseline of bench_forward
 *
 * relay LISTEN SINK...
 *
 * Reads one datagram at a time and sends it to the sinks in turn, through
 * libuv. It does not parse datagrams. Do not optimise it: RATIO_MAX of
 * bench_forward is relative to its cost.
 */

#include "../src/endpoint.h"
#include <stdio.h>
#include <uv.h>

#define SINKS_MAX	    64
#define DATAGRAM_MAX	    9600
#define SOCKET_BUFFER_BYTES (4 * 1024 * 1024)

static struct sockaddr_in sinks[SINKS_MAX];
static unsigned nsinks, next_sink;
static char datagram[DATAGRAM_MAX];

static void on_alloc(uv_handle_t *handle, size_t hint, uv_buf_t *buf)
{
	(void)handle;
	(void)hint;
	*buf = uv_buf_init(datagram, sizeof(datagram));
}

static void on_datagram(uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
			const struct sockaddr *from, unsigned flags)
{
	uv_buf_t out = uv_buf_init(buf->base, n > 0 ? (unsigned)n : 0);

	(void)from;
	(void)flags;
	if (n <= 0)
		return;
	uv_udp_try_send(udp, &out, 1, (struct sockaddr *)&sinks[next_sink]);
	next_sink = (next_sink + 1) % nsinks;
}

int main(int argc, char **argv)
{
	int size = SOCKET_BUFFER_BYTES;
	struct sockaddr_in sa;
	endpoint_t ep;
	uv_udp_t udp;
	uv_loop_t loop;

	if (argc < 3 || argc > 2 + SINKS_MAX ||
	    endpoint_parse(argv[1], &ep) < 0) {
		fprintf(stderr, "usage: relay LISTEN SINK...\n");
		return 2;
	}
	sa = endpoint_sockaddr(&ep);
	for (int i = 2; i < argc; i++) {
		if (endpoint_parse(argv[i], &ep) < 0)
			return 2;
		sinks[nsinks++] = endpoint_sockaddr(&ep);
	}
	uv_loop_init(&loop);
	uv_udp_init(&loop, &udp);
	if (uv_udp_bind(&udp, (struct sockaddr *)&sa, 0) < 0) {
		fprintf(stderr, "relay: cannot bind %s\n", argv[1]);
		return 1;
	}
	uv_recv_buffer_size((uv_handle_t *)&udp, &size);
	uv_udp_recv_start(&udp, on_alloc, on_datagram);
	return uv_run(&loop, UV_RUN_DEFAULT);
}
