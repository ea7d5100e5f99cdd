/*
 * test_socket_wait - how long datagrams waited in a socket
 */

#include "runner.h"
#include "socket_wait.h"
#include "udp_socket.h"
#include <unistd.h>

#define STOP_MS 300

/* A loop that runs: the bound is the time since the poll before the last. */
START_TEST(bound_is_a_turn_while_the_loop_runs)
{
	socket_wait_t w;

	socket_wait_init(&w, 1000);
	for (uint64_t now = 1000; now <= 9000; now += 25)
		socket_wait_poll(&w, now);
	ck_assert_uint_eq(socket_wait_bound(&w, 9003), 28);
	socket_wait_read(&w, true);
	socket_wait_poll(&w, 9010);
	ck_assert_uint_eq(socket_wait_bound(&w, 9012), 12);
}
END_TEST

/* Guards against datagrams of a long queue that count as just arrived once the
 * first of them were read. */
START_TEST(unread_rest_stays_old)
{
	socket_wait_t w;

	socket_wait_init(&w, 1000);
	socket_wait_poll(&w, 1000);
	ck_assert_uint_eq(socket_wait_bound(&w, 4500), 3500);
	socket_wait_read(&w, false);
	socket_wait_poll(&w, 4510);
	ck_assert_uint_eq(socket_wait_bound(&w, 4520), 3520);
	socket_wait_read(&w, true);
	socket_wait_poll(&w, 4530);
	ck_assert_uint_le(socket_wait_bound(&w, 4530), 20);
}
END_TEST

/* Guards against a datagram that counts as old because a read before a quiet
 * time had filled its batch, so that it may have left some. */
START_TEST(quiet_socket_is_empty)
{
	socket_wait_t w;

	socket_wait_init(&w, 1000);
	socket_wait_poll(&w, 1000);
	socket_wait_read(&w, false);
	for (uint64_t now = 1025; now <= 9000; now += 25)
		socket_wait_poll(&w, now);
	ck_assert_uint_le(socket_wait_bound(&w, 9003), 53);
}
END_TEST

/* A stamp says more than the bound, unless a clock was set. */
START_TEST(stamp_is_bounded)
{
	int64_t age_ms = 700;

	ck_assert_uint_eq(socket_wait_ms(3500, NULL), 3500);
	ck_assert_uint_eq(socket_wait_ms(3500, &age_ms), 700);
	age_ms = 90000;
	ck_assert_uint_eq(socket_wait_ms(3500, &age_ms), 3500);
	age_ms = -90000;
	ck_assert_uint_eq(socket_wait_ms(3500, &age_ms), 0);
}
END_TEST

typedef struct received {
	udp_socket_t *socket;
	unsigned n;
	uint32_t wait_ms[3];
} received_t;

static void on_receive(void *ctx, const endpoint_t *from, uint8_t *buf,
		       size_t len)
{
	received_t *r = ctx;

	(void)from;
	(void)buf;
	(void)len;
	r->wait_ms[r->n++ % 3] = udp_socket_wait_ms(r->socket);
}

static void on_timer(uv_timer_t *timer)
{
	(void)timer;
}

/* Guards against a socket that does not notice that its process was stopped:
 * of two datagrams, one came at the begin of the stop and one at its end. */
START_TEST(datagrams_of_a_stop_have_waited)
{
	static const udp_socket_ops_t ops = { .receive = on_receive };
	endpoint_t a = { 0x7f5d0001 + ((uint32_t)getpid() % 250 << 8), 7100 };
	endpoint_t b = { a.ip + 1, 7100 };
	received_t r = { 0 };
	udp_socket_t *out;
	uv_timer_t timer;
	uv_loop_t loop;
	err_t err;

	uv_loop_init(&loop);
	uv_timer_init(&loop, &timer);
	uv_timer_start(&timer, on_timer, 5, 5);
	r.socket = udp_socket_open(&loop, &a, NULL, &ops, &r, &err);
	out = udp_socket_open(&loop, &b, NULL, &ops, &r, &err);
	ck_assert_ptr_nonnull(r.socket);
	ck_assert_ptr_nonnull(out);
	for (int i = 0; i < 3; i++)
		uv_run(&loop, UV_RUN_ONCE);
	udp_socket_send(out, &a, (const uint8_t *)"1", 1);
	udp_socket_flush(out);
	usleep(STOP_MS * 1000);
	udp_socket_send(out, &a, (const uint8_t *)"2", 1);
	udp_socket_flush(out);
	while (r.n < 2)
		uv_run(&loop, UV_RUN_ONCE);
	ck_assert_uint_ge(r.wait_ms[0], STOP_MS - 10);
	ck_assert_uint_lt(r.wait_ms[1], STOP_MS / 2);
	for (int i = 0; i < 3; i++)
		uv_run(&loop, UV_RUN_ONCE);
	udp_socket_send(out, &a, (const uint8_t *)"3", 1);
	udp_socket_flush(out);
	while (r.n < 3)
		uv_run(&loop, UV_RUN_ONCE);
	ck_assert_uint_lt(r.wait_ms[2], STOP_MS / 2);
	udp_socket_close(out);
	udp_socket_close(r.socket);
	uv_close((uv_handle_t *)&timer, NULL);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("socket_wait");
	TCase *decisions = tcase_create("decisions");
	TCase *socket = tcase_create("socket");

	tcase_add_test(decisions, bound_is_a_turn_while_the_loop_runs);
	tcase_add_test(decisions, unread_rest_stays_old);
	tcase_add_test(decisions, quiet_socket_is_empty);
	tcase_add_test(decisions, stamp_is_bounded);
	tcase_add_test(socket, datagrams_of_a_stop_have_waited);
	suite_add_tcase(s, decisions);
	suite_add_tcase(s, socket);
	return run_suite(s);
}
