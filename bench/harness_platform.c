#include "harness.h"
#include <glib.h>
#include <stdio.h>

#define START_TIMEOUT_MS 15000
#define POLL_INTERVAL_MS 50

/* Publishes a live list of all agents and of the balancers started first. */
static int publish_live_list(harness_t *h)
{
	GString *s = g_string_new(NULL);
	char path[160], text[ENDPOINT_TEXT_SIZE], command[200];
	int ret;

	for (unsigned i = 0; i < h->nagents; i++) {
		const target_t *t = harness_target(h, i);

		g_string_append_printf(s, "%s %s live\n",
				       endpoint_format(&t->agent, text),
				       t->zone);
	}
	for (unsigned i = 0; i < h->options.balancers; i++) {
		endpoint_t ep = {
			127U << 24 | h->subnet << 16 | 1 << 8 | (i + 1), 7200
		};

		g_string_append_printf(s, "%s a live\n",
				       endpoint_format(&ep, text));
	}
	snprintf(path, sizeof(path), "%s/live", h->dir);
	ret = g_file_set_contents(path, s->str, -1, NULL) ? 0 : -1;
	g_string_free(s, TRUE);
	snprintf(command, sizeof(command), "#live %s", path);
	g_free(harness_platform_command(h, command));
	return ret;
}

int harness_start_platform(harness_t *h)
{
	uint64_t deadline_ms = harness_now_ms() + START_TIMEOUT_MS;
	char text[ENDPOINT_TEXT_SIZE];
	char *path = harness_program_path("fake_platform");
	char *argv[] = { path, text, NULL };
	char *answer = NULL;
	char *config_text;

	h->platform_addr.ip = 127U << 24 | h->subnet << 16 | 2;
	h->platform_addr.port = 8000;
	endpoint_format(&h->platform_addr, text);
	h->platform.pid = harness_spawn(h, "platform.log", argv);
	g_free(path);
	while (!answer && harness_now_ms() < deadline_ms)
		answer = harness_platform_command(h, "#up");
	if (!answer || publish_live_list(h) < 0)
		return -1;
	g_free(answer);
	config_text = config_to_toml(h->config);
	harness_publish(h, config_text, h->config->version);
	g_free(config_text);
	return 0;
}

int harness_publish(harness_t *h, const char *text, uint64_t version)
{
	char path[160], command[200];
	char *rewritten = harness_rewrite_addresses(h, text);

	snprintf(path, sizeof(path), "%s/published", h->dir);
	g_file_set_contents(path, rewritten, -1, NULL);
	g_free(rewritten);
	snprintf(command, sizeof(command), "#file %s %llu", path,
		 (unsigned long long)version);
	g_free(harness_platform_command(h, command));
	return 0;
}

char *harness_platform_command(harness_t *h, const char *command)
{
	return harness_command(h, &h->platform_addr, command);
}

static int is_outdated(const harness_t *h, const harness_proc_t *p,
		       uint64_t version)
{
	return p->pid > 0 &&
	       harness_status(h, p, "version") != (int64_t)version;
}

int harness_wait_version(harness_t *h, uint64_t version, unsigned timeout_ms)
{
	uint64_t deadline_ms = harness_now_ms() + timeout_ms;
	int noutdated = 1;

	while (noutdated && harness_now_ms() < deadline_ms) {
		noutdated = 0;
		for (unsigned i = 0; i < HARNESS_BALANCERS_MAX; i++)
			noutdated += is_outdated(h, &h->balancers[i], version);
		for (unsigned i = 0; i < h->nagents; i++)
			noutdated += is_outdated(h, &h->agents[i], version);
		if (noutdated)
			harness_sleep_ms(POLL_INTERVAL_MS);
	}
	return noutdated ? -1 : 0;
}
