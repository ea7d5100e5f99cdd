/*
 * test_platform - the HTTP client of the platform against fake_platform and
 * against a server that sends malformed responses
 */

#include "../src/platform.h"
#include "../bench/harness.h"
#include "runner.h"
#include <glib.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define START_ATTEMPTS 100

/* Result of one request. */
typedef struct outcome {
	uv_loop_t *loop;
	int calls; /* calls of on_done() */
	platform_status_t status;
	size_t len;
	char *text; /* owned */
} outcome_t;

static uv_loop_t loop;
static counters_t counters;
static platform_t *platform;
static harness_t harness; /* used only to send commands */
static pid_t platform_pid;
static char document_path[] = "/tmp/test_platform-XXXXXX";
static char base_url[64];

static void on_done(void *ctx, const platform_result_t *result)
{
	outcome_t *o = ctx;

	o->calls++;
	o->status = result->status;
	o->len = result->len;
	g_free(o->text);
	o->text = g_strndup(result->text ? result->text : "", result->len);
	ck_assert((result->status == PLATFORM_FAILED) == (result->err != NULL));
	uv_stop(o->loop);
}

static void command(const char *text)
{
	char *answer = harness_command(&harness, &harness.platform_addr, text);

	ck_assert_ptr_nonnull(answer);
	ck_assert_str_ne(answer, "error");
	g_free(answer);
}

static void publish(const char *text, unsigned version)
{
	char line[128];

	ck_assert(g_file_set_contents(document_path, text, -1, NULL));
	snprintf(line, sizeof(line), "#file %s %u", document_path, version);
	command(line);
}

static void setup(void)
{
	char *path = harness_program_path("fake_platform");
	char text[ENDPOINT_TEXT_SIZE];
	char *answer = NULL;
	err_t err;

	close(g_mkstemp(document_path));
	harness.subnet = 20 + (unsigned)getpid() % 200;
	harness.platform_addr.ip = 127U << 24 | harness.subnet << 16 | 5;
	harness.platform_addr.port = 8000;
	endpoint_format(&harness.platform_addr, text);
	platform_pid = fork();
	if (platform_pid == 0) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		execl(path, path, text, NULL);
		_exit(127);
	}
	g_free(path);
	for (int i = 0; i < START_ATTEMPTS && !answer; i++)
		answer = harness_command(&harness, &harness.platform_addr,
					 "#up");
	ck_assert_ptr_nonnull(answer);
	g_free(answer);
	snprintf(base_url, sizeof(base_url), "http://%s", text);
	uv_loop_init(&loop);
	memset(&counters, 0, sizeof(counters));
	platform = platform_http_open(&loop, base_url, &counters, &err);
	ck_assert_ptr_nonnull(platform);
}

static void teardown(void)
{
	platform->ops->close(platform);
	uv_run(&loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(&loop), 0);
	kill(platform_pid, SIGKILL);
	waitpid(platform_pid, NULL, 0);
	g_unlink(document_path);
}

static outcome_t read_after(uint64_t after)
{
	outcome_t o = { .loop = &loop };

	platform->ops->read_config(platform, after, on_done, &o);
	uv_run(&loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(o.calls, 1);
	return o;
}

START_TEST(reads_and_watches)
{
	outcome_t o, watch = { .loop = &loop };

	o = read_after(0); /* nothing is published: status 404 */
	ck_assert_int_eq(o.status, PLATFORM_FAILED);
	g_free(o.text);
	publish("one", 1);
	o = read_after(0);
	ck_assert_int_eq(o.status, PLATFORM_DOCUMENT);
	ck_assert_str_eq(o.text, "one");
	g_free(o.text);
	platform->ops->read_config(platform, 1, on_done, &watch);
	uv_run(&loop, UV_RUN_NOWAIT);
	/* A read during another read fails; its callback is called. */
	o = read_after(0);
	ck_assert_int_eq(o.status, PLATFORM_FAILED);
	g_free(o.text);
	publish("two", 2);
	if (!watch.calls)
		uv_run(&loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(watch.status, PLATFORM_DOCUMENT);
	ck_assert_str_eq(watch.text, "two");
	g_free(watch.text);
	ck_assert_uint_eq(counters.values[COUNTER_PLATFORM_CALLS], 3);
	ck_assert_uint_eq(counters.values[COUNTER_PLATFORM_FAILURES], 1);
}
END_TEST

/* A long poll ends as unchanged when no higher version is published. */
START_TEST(watch_ends_unchanged)
{
	outcome_t o;

	publish("five", 5);
	command("#wait 300");
	o = read_after(5);
	ck_assert_int_eq(o.status, PLATFORM_UNCHANGED);
	g_free(o.text);
}
END_TEST

START_TEST(unavailable_platform_fails)
{
	outcome_t o;

	publish("one", 1);
	command("#down");
	o = read_after(0);
	ck_assert_int_eq(o.status, PLATFORM_FAILED);
	g_free(o.text);
	command("#silent");
	o = read_after(0);
	ck_assert_int_eq(o.status, PLATFORM_FAILED);
	g_free(o.text);
	command("#up");
	o = read_after(0);
	ck_assert_int_eq(o.status, PLATFORM_DOCUMENT);
	g_free(o.text);
}
END_TEST

/*
 * A body above CONFIG_MAX_BYTES is cut off one byte above the limit, and
 * config_parse() rejects it; a body of exactly the limit is complete.
 */
START_TEST(body_is_bounded)
{
	char *text = g_strnfill(3 * (gsize)CONFIG_MAX_BYTES, '#');
	config_t *config;
	outcome_t o;
	err_t err;

	publish(text, 1);
	o = read_after(0);
	ck_assert_int_eq(o.status, PLATFORM_DOCUMENT);
	ck_assert_uint_eq(o.len, CONFIG_MAX_BYTES + 1);
	ck_assert_int_eq(config_parse("platform", o.text, o.len, &config, &err),
			 -1);
	ck_assert_int_eq(err.kind, ERR_SIZE);
	g_free(o.text);
	text[CONFIG_MAX_BYTES] = '\0';
	publish(text, 2);
	o = read_after(0);
	ck_assert_uint_eq(o.len, CONFIG_MAX_BYTES);
	g_free(o.text);
	g_free(text);
}
END_TEST

static const char *const malformed_responses[] = {
	"",
	"\n\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
	"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 302 X\r\nLocation: /live\r\nContent-Length: 0\r\n\r\n",
	"HTTP/9.9 999 \r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
};

/* Forks a server that answers one connection with the bytes and exits. */
static pid_t serve_once(const char *bytes, endpoint_t *where)
{
	struct sockaddr_in sa;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	pid_t child;
	int on = 1;

	*where = harness.platform_addr;
	where->port = 8001;
	sa = endpoint_sockaddr(where);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
	ck_assert_int_eq(listen(fd, 8), 0);
	child = fork();
	if (child == 0) {
		char request[1024];
		int conn = accept(fd, NULL, NULL);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (read(conn, request, sizeof(request)) > 0 &&
		    write(conn, bytes, strlen(bytes)) >= 0)
			shutdown(conn, SHUT_RDWR);
		_exit(0);
	}
	close(fd);
	return child;
}

START_TEST(malformed_responses_fail)
{
	outcome_t o = { .loop = &loop };
	platform_t *client;
	char url[64], text[ENDPOINT_TEXT_SIZE];
	endpoint_t where;
	pid_t child = serve_once(malformed_responses[_i], &where);
	err_t err;

	snprintf(url, sizeof(url), "http://%s", endpoint_format(&where, text));
	client = platform_http_open(&loop, url, &counters, &err);
	client->ops->read_live_list(client, on_done, &o);
	uv_run(&loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(o.status, PLATFORM_FAILED);
	g_free(o.text);
	client->ops->close(client);
	waitpid(child, NULL, 0);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("platform");
	TCase *tc = tcase_create("http");

	tcase_set_timeout(tc, 60);
	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, reads_and_watches);
	tcase_add_test(tc, watch_ends_unchanged);
	tcase_add_test(tc, unavailable_platform_fails);
	tcase_add_test(tc, body_is_bounded);
	tcase_add_loop_test(tc, malformed_responses_fail, 0,
			    G_N_ELEMENTS(malformed_responses));
	suite_add_tcase(s, tc);
	return run_suite(s);
}
