/*
 * test_relay_process - the process of a relay daemon, as a real one
 */

#include "endpoint.h"
#include "../bench/harness.h"
#include "runner.h"
#include <arpa/inet.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define START_MAX_MS 10000
#define POLL_MS	     20
/* Ports of the daemon's addresses. */
#define READY_PORT    18167
#define CONTROL_PORT  18166
#define PACKETS_PORT  18172
#define INTERNAL_PORT 17720
#define METRICS_PORT  17735

typedef struct daemon_rig {
	GPid pid;
	char *address; /* on loopback, of this test process alone */
	char *file;
} daemon_rig_t;

static int connect_to(const daemon_rig_t *d, uint16_t port)
{
	struct sockaddr_in sa = { .sin_family = AF_INET,
				  .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, d->address, &sa.sin_addr);
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0)
		return fd;
	close(fd);
	return -1;
}

static bool serves(const daemon_rig_t *d, uint16_t port)
{
	int fd = connect_to(d, port);

	if (fd >= 0)
		close(fd);
	return fd >= 0;
}

/* Starts a balancer whose store does not answer, and waits until it serves. Its
 * log goes to the pipe whose end is stored in *log; NULL: to that of the test.
 */
static void start_balancer(daemon_rig_t *d, int *log)
{
	char *program = harness_program_path("cherviltray-relay");
	char *argv[] = { program, (char *)"balancer", NULL, NULL };
	g_autofree char *text = NULL;
	GError *error = NULL;
	int fd = g_file_open_tmp("relay-XXXXXX.toml", &d->file, NULL);

	close(fd);
	argv[2] = d->file;
	d->address = g_strdup_printf("127.7.%d.%d", getpid() >> 8 & 0xff,
				     (getpid() & 0xff) | 1);
	text = g_strdup_printf(
		"name = \"b\"\nzone = \"z\"\naddress = \"%s\"\n"
		"packets = \"%s:%d\"\nready = \"%s:%d\"\ncontrol = \"%s:%d\"\n"
		"internal_port = %d\nmetrics_port = %d\n"
		"platform = \"%s:1\"\npeers = []\nfirst_start = true\n"
		"memory_mb = 64\nsilence_ms = 4000\napply_ms = 3000\n"
		"heartbeat_ms = 770\n",
		d->address, d->address, PACKETS_PORT, d->address, READY_PORT,
		d->address, CONTROL_PORT, INTERNAL_PORT, METRICS_PORT,
		d->address);
	ck_assert(g_file_set_contents(d->file, text, -1, NULL));
	ck_assert_msg(g_spawn_async_with_pipes(
			      NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD, NULL,
			      NULL, &d->pid, NULL, log, NULL, &error),
		      "%s", error ? error->message : "");
	g_free(program);
	for (int waited = 0; !serves(d, CONTROL_PORT); waited += POLL_MS) {
		ck_assert_int_lt(waited, START_MAX_MS);
		usleep(POLL_MS * 1000);
	}
}

static void end_balancer(daemon_rig_t *d)
{
	kill(d->pid, SIGKILL);
	waitpid(d->pid, NULL, 0);
	g_unlink(d->file);
	g_free(d->file);
	g_free(d->address);
}

/* Guards against a process that ends by SIGPIPE: it reads two requests at once
 * whose sender has closed the connection, and answers both. */
START_TEST(write_to_a_closed_connection_ends_no_process)
{
	static const uint16_t ports[] = { READY_PORT, METRICS_PORT,
					  CONTROL_PORT };
	static const char request[] = "GET /v1/ready HTTP/1.1\r\n\r\n";
	daemon_rig_t d = { 0 };
	int fd, status;

	start_balancer(&d, NULL);
	fd = connect_to(&d, ports[_i]);
	ck_assert_int_ge(fd, 0);
	usleep(10 * POLL_MS * 1000);
	kill(d.pid, SIGSTOP);
	for (int i = 0; i < 4; i++)
		ck_assert_int_gt(write(fd, request, strlen(request)), 0);
	close(fd);
	kill(d.pid, SIGCONT);
	usleep(20 * POLL_MS * 1000);
	ck_assert_int_eq(waitpid(d.pid, &status, WNOHANG), 0);
	ck_assert(serves(&d, ports[_i]));
	end_balancer(&d);
}
END_TEST

/* Guards against a process that ends with the reader of its log. */
START_TEST(log_without_a_reader_ends_no_process)
{
	daemon_rig_t d = { 0 };
	int log = -1, status;

	start_balancer(&d, &log);
	close(log);
	kill(d.pid, SIGHUP);
	usleep(20 * POLL_MS * 1000);
	ck_assert_int_eq(waitpid(d.pid, &status, WNOHANG), 0);
	ck_assert(serves(&d, READY_PORT));
	end_balancer(&d);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("relay_process");
	TCase *tc = tcase_create("signals");

	tcase_add_loop_test(tc, write_to_a_closed_connection_ends_no_process, 0,
			    3);
	tcase_add_test(tc, log_without_a_reader_ends_no_process);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
