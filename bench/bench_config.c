/*
 * bench_config - size and parse time of configurations
 *
 * Measures configurations of up to 1000 services with 11 targets each, the size
 * the product is designed for. Prints a JSON object for each size: services,
 * targets per service, bytes of the compact and of the canonical text, and the
 * milliseconds to parse the compact text, to write the canonical text and to
 * merge a change of one service; times are the lowest of RUNS runs.
 */

#include "../src/config.h"
#include "../src/config_delta.h"
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RUNS 5

static double now_ms(void)
{
	return (double)g_get_monotonic_time() / 1000;
}

static config_t *parse(const char *text, double *elapsed_ms)
{
	config_t *config = NULL;
	double t = now_ms();
	char buf[900];
	err_t err;

	if (config_parse("bench", text, strlen(text), &config, &err) < 0) {
		fprintf(stderr, "bench_config: %s\n",
			err_format(&err, buf, sizeof(buf)));
		exit(1);
	}
	*elapsed_ms = now_ms() - t;
	return config;
}

static double measure_merge(config_t *old, config_t *new)
{
	config_reply_msg_t *reply;
	config_history_t *history = config_history_new();
	config_t *merged = NULL;
	double t;
	err_t err;

	config_history_add(history, old);
	reply = config_reply_new(
		new, config_history_find(history, old->version, old->digest));
	t = now_ms();
	if (config_merge("bench", old, reply, &merged, &err) < 0)
		exit(1);
	t = now_ms() - t;
	config_unref(merged);
	config_reply_free(reply);
	config_history_free(history);
	return t;
}

static void measure(unsigned services, unsigned targets)
{
	char *text = config_example(services, targets, 1);
	double min_parse_ms = 1e9, min_text_ms = 1e9, min_merge_ms = 1e9;
	size_t canonical_len = 0;

	for (int i = 0; i < RUNS; i++) {
		double elapsed_ms, t;
		config_t *config = parse(text, &elapsed_ms);
		char *changed_text = config_example(services, targets, 2);
		config_t *changed;
		char *canonical_text;

		min_parse_ms = MIN(min_parse_ms, elapsed_ms);
		t = now_ms();
		canonical_text = config_to_toml(config);
		min_text_ms = MIN(min_text_ms, now_ms() - t);
		canonical_len = strlen(canonical_text);
		strstr(changed_text, "= 2000")[2] = '3';
		changed = parse(changed_text, &elapsed_ms);
		min_merge_ms =
			MIN(min_merge_ms, measure_merge(config, changed));
		config_unref(changed);
		config_unref(config);
		g_free(canonical_text);
		g_free(changed_text);
	}
	printf("{\"services\":%u,\"targets\":%u,\"bytes\":%zu,"
	       "\"canonical_bytes\":%zu,\"parse_ms\":%.2f,\"text_ms\":%.2f,"
	       "\"merge_ms\":%.2f}\n",
	       services, targets, strlen(text), canonical_len, min_parse_ms,
	       min_text_ms, min_merge_ms);
	g_free(text);
}

int main(void)
{
	static const unsigned sizes[] = { 10, 100, 1000 };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		measure(sizes[i], 11);
	return 0;
}
