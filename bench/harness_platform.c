#include "harness.h"
#include <glib.h>
#include <stdio.h>

#define START_BOUND_MS 15000
#define POLL_MS	       50

/* The live list of all that the test may start. */
static int write_live(harness_t *h)
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
		endpoint_t ep = { 127U << 24 | h->net << 16 | 1 << 8 | (i + 1),
				  7200 };

		g_string_append_printf(s, "%s a live\n",
				       endpoint_format(&ep, text));
	}
	snprintf(path, sizeof(path), "%s/live", h->dir);
	ret = g_file_set_contents(path, s->str, -1, NULL) ? 0 : -1;
	g_string_free(s, TRUE);
	snprintf(command, sizeof(command), "#live %s", path);
	g_free(harness_platform(h, command));
	return ret;
}

int harness_start_platform(harness_t *h)
{
	uint64_t until = harness_now_ms() + START_BOUND_MS;
	char text[ENDPOINT_TEXT_SIZE];
	char *path = harness_program("fake_platform");
	char *argv[] = { path, text, NULL };
	char *answer = NULL;
	char *document;

	h->platform_at.ip = 127U << 24 | h->net << 16 | 2;
	h->platform_at.port = 8000;
	endpoint_format(&h->platform_at, text);
	h->platform.pid = harness_spawn(h, "platform.log", argv);
	g_free(path);
	while (!answer && harness_now_ms() < until)
		answer = harness_platform(h, "#up");
	if (!answer || write_live(h) < 0)
		return -1;
	g_free(answer);
	document = config_to_toml(h->config);
	harness_publish(h, document, h->config->version);
	g_free(document);
	return 0;
}

int harness_publish(harness_t *h, const char *text, uint64_t version)
{
	char path[160], command[200];
	char *rewritten = harness_rewrite(h, text);

	snprintf(path, sizeof(path), "%s/published", h->dir);
	g_file_set_contents(path, rewritten, -1, NULL);
	g_free(rewritten);
	snprintf(command, sizeof(command), "#file %s %llu", path,
		 (unsigned long long)version);
	g_free(harness_platform(h, command));
	return 0;
}

char *harness_platform(harness_t *h, const char *command)
{
	return harness_command(h, &h->platform_at, command);
}

static int lacks(const harness_t *h, const harness_proc_t *p, uint64_t version)
{
	return p->pid > 0 &&
	       harness_status(h, p, "version") != (int64_t)version;
}

int harness_wait_version(harness_t *h, uint64_t version, unsigned bound_ms)
{
	uint64_t until = harness_now_ms() + bound_ms;
	int lack = 1;

	while (lack && harness_now_ms() < until) {
		lack = 0;
		for (unsigned i = 0; i < HARNESS_BALANCERS; i++)
			lack += lacks(h, &h->balancers[i], version);
		for (unsigned i = 0; i < h->nagents; i++)
			lack += lacks(h, &h->agents[i], version);
		if (lack)
			harness_sleep_ms(POLL_MS);
	}
	return lack ? -1 : 0;
}
