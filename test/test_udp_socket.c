/*
 * test_udp_socket - batched sends
 *
 * Each datagram must arrive once at its address, in order and with its length,
 * also when the kernel splits messages (UDP_SEGMENT) and after an error that
 * was caused by an earlier datagram.
 */

#include "../src/udp_socket.h"
#include "runner.h"
#include <string.h>
#include <unistd.h>

#define SINKS	  3
#define DATAGRAMS 300
#define NET	  0x7f5c0000 /* 127.92.0.0 */
#define SUBNETS	  256
#define PORT	  7000

typedef struct sink {
	udp_socket_t *socket;
	unsigned expected[DATAGRAMS]; /* numbers of the datagrams, in order */
	unsigned nexpected;
	unsigned received;
} sink_t;

static uv_loop_t loop;
static sink_t sinks[SINKS];
static unsigned refusals;
static uint32_t subnet; /* its addresses are used by this process only */

static size_t datagram_len(unsigned i)
{
	static const size_t lens[] = { 60, 60, 60,  40, 60, 9000, 9000,
				       1,  1,  100, 99, 98, 1472, 1472 };

	return lens[i / 3 % (sizeof(lens) / sizeof(*lens))];
}

static void on_receive(void *ctx, const endpoint_t *from, uint8_t *buf,
		       size_t len)
{
	sink_t *sink = ctx;
	unsigned want;

	(void)from;
	ck_assert_uint_lt(sink->received, sink->nexpected);
	want = sink->expected[sink->received++];
	ck_assert_uint_eq(len, datagram_len(want));
	for (size_t i = 0; i < len; i++)
		ck_assert_uint_eq(buf[i], (uint8_t)(want + i));
}

static void on_refused(void *ctx)
{
	(void)ctx;
	refusals++;
}

static void on_deadline(uv_timer_t *timer)
{
	uv_stop(timer->loop);
}

/* Runs the loop until all datagrams were received, at most timeout_ms. */
static void run_until_received(uint64_t timeout_ms)
{
	static uv_timer_t timer;
	unsigned missing = 1;

	uv_timer_init(&loop, &timer);
	uv_timer_start(&timer, on_deadline, timeout_ms, 0);
	while (missing && uv_is_active((uv_handle_t *)&timer)) {
		uv_run(&loop, UV_RUN_ONCE);
		missing = 0;
		for (unsigned i = 0; i < SINKS; i++)
			missing += sinks[i].nexpected - sinks[i].received;
	}
	uv_close((uv_handle_t *)&timer, NULL);
}

/*
 * Opens the sending socket at host 1 of the first free subnet below NET, so
 * that other copies of this test use other addresses. It is connected to
 * peer_host of that subnet; 0: it is not connected.
 */
static udp_socket_t *open_sender(unsigned peer_host,
				 const udp_socket_ops_t *ops)
{
	for (unsigned i = 0; i < SUBNETS; i++) {
		endpoint_t local = { 0, PORT }, peer = { 0, PORT };
		udp_socket_t *out;
		err_t err;

		subnet = NET | ((unsigned)getpid() + i) % SUBNETS << 8;
		local.ip = subnet + 1;
		peer.ip = subnet + peer_host;
		out = udp_socket_open(&loop, &local, peer_host ? &peer : NULL,
				      ops, NULL, &err);
		if (out)
			return out;
	}
	return NULL;
}

START_TEST(batches_keep_length_order_and_address)
{
	static const udp_socket_ops_t ops = { .receive = on_receive };
	udp_socket_t *out;
	uint8_t bytes[UDP_DATAGRAM_MAX];
	err_t err;

	uv_loop_init(&loop);
	out = open_sender(0, &ops);
	ck_assert_ptr_nonnull(out);
	for (unsigned i = 0; i < SINKS; i++) {
		endpoint_t ep = { subnet + 10 + i, PORT };

		sinks[i].socket = udp_socket_open(&loop, &ep, NULL, &ops,
						  &sinks[i], &err);
		ck_assert_ptr_nonnull(sinks[i].socket);
	}
	for (unsigned i = 0; i < DATAGRAMS; i++) {
		sink_t *sink = &sinks[i * 7 / 3 % SINKS];
		endpoint_t to = { subnet + 10 + (uint32_t)(sink - sinks),
				  PORT };

		for (size_t j = 0; j < datagram_len(i); j++)
			bytes[j] = (uint8_t)(i + j);
		udp_socket_send(out, &to, bytes, datagram_len(i));
		sink->expected[sink->nexpected++] = i;
	}
	run_until_received(5000);
	for (unsigned i = 0; i < SINKS; i++) {
		ck_assert_uint_gt(sinks[i].received, 0);
		ck_assert_uint_eq(sinks[i].received, sinks[i].nexpected);
		udp_socket_close(sinks[i].socket);
	}
	ck_assert_uint_eq(udp_socket_send_failures(out), 0);
	udp_socket_close(out);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
}
END_TEST

/*
 * ECONNREFUSED on a send is about an earlier datagram: it must be reported, and
 * the datagrams of the failed send must be sent again.
 */
START_TEST(refusal_is_reported_and_later_datagrams_sent)
{
	static const udp_socket_ops_t ops = { .receive = on_receive,
					      .refused = on_refused };
	endpoint_t peer;
	uint8_t bytes[UDP_DATAGRAM_MAX];
	udp_socket_t *out;
	err_t err;

	memset(sinks, 0, sizeof(sinks));
	uv_loop_init(&loop);
	out = open_sender(20, &ops);
	ck_assert_ptr_nonnull(out);
	peer = (endpoint_t){ subnet + 20, PORT };
	udp_socket_send(out, &peer, bytes, 10);
	udp_socket_flush(out);
	sinks[0].socket =
		udp_socket_open(&loop, &peer, NULL, &ops, &sinks[0], &err);
	ck_assert_ptr_nonnull(sinks[0].socket);
	for (unsigned i = 0; i < 40; i++) {
		for (size_t j = 0; j < datagram_len(i); j++)
			bytes[j] = (uint8_t)(i + j);
		udp_socket_send(out, &peer, bytes, datagram_len(i));
		sinks[0].expected[sinks[0].nexpected++] = i;
	}
	run_until_received(5000);
	ck_assert_uint_gt(refusals, 0);
	ck_assert_uint_eq(sinks[0].received, sinks[0].nexpected);
	udp_socket_close(sinks[0].socket);
	udp_socket_close(out);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("udp_socket");
	TCase *tc = tcase_create("batches");

	tcase_set_timeout(tc, 30);
	tcase_add_test(tc, batches_keep_length_order_and_address);
	tcase_add_test(tc, refusal_is_reported_and_later_datagrams_sent);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
