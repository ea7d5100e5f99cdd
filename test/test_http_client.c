/*
 * test_http_client - time-outs of requests
 */

#include "http_client.h"
#include "runner.h"
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TIMEOUT_MS 200
/* The loop does not run for this time: longer than the time-out. */
#define STOP_MS 700

typedef struct outcome {
	bool done;
	int status;
	char error[64];
} outcome_t;

static void on_done(void *ctx, const http_response_t *response)
{
	outcome_t *o = ctx;

	o->done = true;
	o->status = response->status;
	g_strlcpy(o->error, response->error ? response->error : "",
		  sizeof(o->error));
}

/* Opens a server whose connections the test serves itself. */
static int open_server(endpoint_t *at)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_addr.s_addr = htonl(0x7f000001) };
	socklen_t len = sizeof(sa);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(bind(fd, (struct sockaddr *)&sa, len), 0);
	ck_assert_int_eq(listen(fd, 4), 0);
	ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&sa, &len), 0);
	*at = (endpoint_t){ 0x7f000001, ntohs(sa.sin_port) };
	return fd;
}

/* Guards against an answer that counts as timed out because the process did
 * not run: it waits in the socket. Without an answer the time-out holds. */
START_TEST(answer_that_waited_is_read)
{
	static const char answer[] =
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
	outcome_t o = { 0 };
	endpoint_t at;
	http_client_t *c;
	uv_loop_t loop;
	char request[500];
	int server = open_server(&at), fd;

	uv_loop_init(&loop);
	c = http_client_new(&loop, &at);
	http_client_get(c, "/v1", TIMEOUT_MS, on_done, &o);
	fd = accept(server, NULL, NULL);
	uv_run(&loop, UV_RUN_ONCE);
	uv_run(&loop, UV_RUN_NOWAIT);
	ck_assert_int_gt(read(fd, request, sizeof(request)), 0);
	usleep(STOP_MS * 1000);
	if (_i == 0)
		ck_assert_int_gt(write(fd, answer, strlen(answer)), 0);
	while (!o.done)
		uv_run(&loop, UV_RUN_ONCE);
	ck_assert_int_eq(o.status, _i ? 0 : 200);
	ck_assert_str_eq(o.error, _i ? "response timed out" : "");
	http_client_free(c);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
	close(fd);
	close(server);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("http_client");
	TCase *tc = tcase_create("time-outs");

	tcase_add_loop_test(tc, answer_that_waited_is_read, 0, 2);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
