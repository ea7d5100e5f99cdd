/*
 * test_config_process - distribution of configurations from the platform to
 * balancer and agent processes: new versions, invalid documents, a platform
 * that has returned to an older version, restarted and suspended processes, and
 * key rotation
 */

#include "../bench/harness.h"
#include "runner.h"
#include <glib.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define TIMEOUT_MS 30000
#define BALANCERS  2

/* One service with four targets; the weight is that of the first target. */
static char *make_document(uint64_t version, double weight)
{
	GString *s = g_string_new(NULL);

	g_string_append_printf(
		s,
		"version = %llu\n[[service]]\nname = \"spot\"\n"
		"address = \"198.51.100.10\"\nclass = [ { name = \"feed\", "
		"port = 6001, idempotent = true } ]\ndefaults = { slots = 5, "
		"connections = 100, zone = \"a\" }\ntarget = [\n",
		(unsigned long long)version);
	for (int i = 1; i <= 4; i++)
		g_string_append_printf(
			s,
			"{ name = \"spot-%d\", agent = \"127.0.21.%d:7400\", "
			"weight = %g },\n",
			i, i, i == 1 ? weight : 1.0);
	g_string_append(s, "]\n");
	return g_string_free(s, FALSE);
}

static void publish(harness_t *h, uint64_t version, double weight)
{
	char *text = make_document(version, weight);

	harness_publish(h, text, version);
	g_free(text);
}

static harness_t *start(void)
{
	char *text = make_document(5, 1.0);
	harness_options_t options = { .config_text = text,
				      .balancers = BALANCERS,
				      .platform = true,
				      .seed = 3 };
	harness_t *h = harness_start(&options);

	g_free(text);
	ck_assert_ptr_nonnull(h);
	return h;
}

/* Number of processes whose answer to a query contains the text. */
static unsigned count_reporting(harness_t *h, const char *query,
				const char *text)
{
	unsigned n = 0;

	for (unsigned i = 0; i < BALANCERS + h->nagents; i++) {
		harness_proc_t *p = i < BALANCERS ? &h->balancers[i]
						  : &h->agents[i - BALANCERS];
		char *answer = harness_query(h, p, query, "");

		n += answer && strstr(answer, text);
		g_free(answer);
	}
	return n;
}

static void wait_until_reported(harness_t *h, const char *query,
				const char *text)
{
	uint64_t deadline_ms = harness_now_ms() + TIMEOUT_MS;

	while (!count_reporting(h, query, text) &&
	       harness_now_ms() < deadline_ms)
		harness_sleep_ms(100);
	ck_assert_msg(count_reporting(h, query, text) > 0,
		      "no process reports %s", text);
}

START_TEST(config_reaches_every_process)
{
	harness_t *h = start();
	uint64_t start_ms;
	char *calls;

	for (uint64_t v = 6; v < 9; v++) {
		start_ms = harness_now_ms();
		publish(h, v, (double)v);
		ck_assert_int_eq(harness_wait_version(h, v, TIMEOUT_MS), 0);
		printf("version %llu in force on %u processes after %llu ms\n",
		       (unsigned long long)v, BALANCERS + h->nagents,
		       (unsigned long long)(harness_now_ms() - start_ms));
	}
	calls = harness_platform_command(h, "#calls");
	printf("platform: %s\n", calls);
	g_free(calls);
	/* Processes exit cleanly while they wait for the platform. */
	harness_signal(&h->balancers[0], SIGTERM);
	harness_signal(&h->agents[3], SIGTERM);
	ck_assert_int_eq(harness_wait_exit(&h->balancers[0], TIMEOUT_MS), 0);
	ck_assert_int_eq(harness_wait_exit(&h->agents[3], TIMEOUT_MS), 0);
	harness_stop(h);
}
END_TEST

/*
 * Invalid documents are reported in status and audit and leave the active
 * configuration unchanged; the next valid document is adopted.
 */
START_TEST(invalid_documents_are_rejected)
{
	harness_t *h = start();

	g_free(harness_platform_command(h, "#garbage"));
	wait_until_reported(h, "status", "\"refusal\":\"platform:1: syntax");
	wait_until_reported(h, "audit", "configuration-refused");
	ck_assert_int_eq(harness_wait_version(h, 5, 1), 0);
	g_free(harness_platform_command(h, "#up"));
	harness_publish(h, "version = 6\n[[service]]\nname = 1\n", 6);
	wait_until_reported(h, "status", "platform:3: wrong-type");
	ck_assert_int_eq(harness_wait_version(h, 5, 1), 0);
	publish(h, 7, 2.0);
	ck_assert_int_eq(harness_wait_version(h, 7, TIMEOUT_MS), 0);
	ck_assert_uint_eq(count_reporting(h, "status", "wrong-type"), 0);
	harness_stop(h);
}
END_TEST

static void restart(harness_t *h)
{
	harness_signal(&h->balancers[0], SIGKILL);
	harness_signal(&h->agents[0], SIGKILL);
	ck_assert_int_eq(harness_start_agent(h, 0), 0);
	ck_assert_int_eq(harness_start_balancer(h, 0), 0);
}

static const char *const platform_modes[] = { "#down", "#garbage", "#silent",
					      "#up" };

/*
 * A process that restarts while the platform serves an older version, nothing
 * or garbage must adopt the newer version of its peers, and at no time the
 * older one.
 */
START_TEST(restart_adopts_version_of_peers)
{
	harness_t *h = start();

	publish(h, 6, 2.0);
	ck_assert_int_eq(harness_wait_version(h, 6, TIMEOUT_MS), 0);
	publish(h, 4, 1.0);
	g_free(harness_platform_command(h, platform_modes[_i]));
	restart(h);
	ck_assert_int_eq(harness_wait_version(h, 6, TIMEOUT_MS), 0);
	ck_assert_uint_eq(count_reporting(h, "audit", "version 4 digest"), 0);
	g_free(harness_platform_command(h, "#up"));
	publish(h, 8, 3.0);
	ck_assert_int_eq(harness_wait_version(h, 8, TIMEOUT_MS), 0);
	ck_assert_uint_eq(count_reporting(h, "audit", "version 4 digest"), 0);
	harness_stop(h);
}
END_TEST

/* Processes suspended while version 6 is published adopt it when resumed. */
START_TEST(resumed_process_catches_up)
{
	harness_t *h = start();

	harness_signal(&h->balancers[1], SIGSTOP);
	for (unsigned i = 0; i < h->nagents; i += 2)
		harness_signal(&h->agents[i], SIGSTOP);
	publish(h, 6, 2.0);
	harness_sleep_ms(3000);
	harness_signal(&h->balancers[1], SIGCONT);
	for (unsigned i = 0; i < h->nagents; i += 2)
		harness_signal(&h->agents[i], SIGCONT);
	ck_assert_int_eq(harness_wait_version(h, 6, TIMEOUT_MS), 0);
	harness_stop(h);
}
END_TEST

#define KEY_A "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define KEY_B "ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100"

static void write_key(const char *path, const char *key)
{
	ck_assert(g_file_set_contents(path, key, -1, NULL));
	ck_assert_int_eq(g_chmod(path, 0600), 0);
}

/* Runs a command of the command-line program; returns its exit code. */
static int run_command(harness_t *h, const char *line, const char *out)
{
	char *program = harness_program_path("cherviltray");
	char *text = g_strdup_printf("%s %s --settings %s", program, line,
				     h->operators_path);
	char **argv = g_strsplit(text, " ", -1);
	int code = harness_wait_pid(harness_spawn(h, out, argv), TIMEOUT_MS);

	g_strfreev(argv);
	g_free(text);
	g_free(program);
	return code;
}

static void add_old_key(harness_t *h, const char *line)
{
	char *text, *settings;

	ck_assert(g_file_get_contents(h->operators_path, &text, NULL, NULL));
	settings = g_strconcat(line, text, NULL);
	g_file_set_contents(h->operators_path, settings, -1, NULL);
	g_free(text);
	g_free(settings);
}

/*
 * During a key rotation, processes that use the new key and processes that use
 * the old one accept each other's messages.
 */
START_TEST(key_rotation_in_steps)
{
	char old_path[] = "/tmp/test_key-XXXXXX";
	int fd = g_mkstemp(old_path);
	char *line = g_strdup_printf("key_file_old = \"%s\"\n", old_path);
	char *text = make_document(5, 1.0);
	harness_options_t options = { .config_text = text,
				      .balancers = BALANCERS,
				      .platform = true,
				      .balancer_settings = line,
				      .agent_settings = line,
				      .seed = 3 };
	char *path, *metrics;
	harness_t *h;

	close(fd);
	write_key(old_path, KEY_B);
	h = harness_start(&options);
	ck_assert_ptr_nonnull(h);
	write_key(h->key_path, KEY_B);
	write_key(old_path, KEY_A);
	restart(h);
	publish(h, 6, 2.0);
	add_old_key(h, line);
	ck_assert_int_eq(
		run_command(h, "status --wait 6 --timeout 25", "status"), 0);
	ck_assert_int_eq(run_command(h, "metrics", "metrics"), 0);
	path = g_build_filename(h->dir, "metrics", NULL);
	ck_assert(g_file_get_contents(path, &metrics, NULL, NULL));
	ck_assert_ptr_nonnull(strstr(metrics, "config_accepted"));
	ck_assert_ptr_null(strstr(metrics, "message_forged"));
	g_free(metrics);
	g_free(path);
	harness_stop(h);
	unlink(old_path);
	g_free(line);
	g_free(text);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("config_process");
	TCase *tc = tcase_create("platform");

	tcase_set_timeout(tc, 180);
	tcase_add_test(tc, config_reaches_every_process);
	tcase_add_test(tc, invalid_documents_are_rejected);
	tcase_add_loop_test(tc, restart_adopts_version_of_peers, 0,
			    G_N_ELEMENTS(platform_modes));
	tcase_add_test(tc, resumed_process_catches_up);
	tcase_add_test(tc, key_rotation_in_steps);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
