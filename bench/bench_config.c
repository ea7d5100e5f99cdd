/*
 * bench_config - size and parse time of documents up to the target size
 *
 * Prints a JSON object for each size: services, targets a service, bytes of the
 * compact form and of the canonical text, milliseconds to parse, to write the
 * canonical text, and to merge a change of one service.
 */

#include "../src/config.h"
#include "../src/config_delta.h"
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TRIES 5

static double now_ms(void)
{
	return (double)g_get_monotonic_time() / 1000;
}

static config_t *parse(const char *text, double *took)
{
	config_t *config = NULL;
	double begun = now_ms();
	char buf[900];
	err_t err;

	if (config_parse("bench", text, strlen(text), &config, &err) < 0) {
		fprintf(stderr, "%s\n", err_format(&err, buf, sizeof(buf)));
		exit(1);
	}
	*took = now_ms() - begun;
	return config;
}

static double merge_one(config_t *old, config_t *new)
{
	config_reply_msg_t *reply;
	config_history_t *history = config_history_new();
	config_t *merged = NULL;
	double begun;
	err_t err;

	config_history_add(history, old);
	reply = config_reply_new(
		new, config_history_find(history, old->version, old->digest));
	begun = now_ms();
	if (config_merge("bench", old, reply, &merged, &err) < 0)
		exit(1);
	begun = now_ms() - begun;
	config_unref(merged);
	config_reply_free(reply);
	config_history_free(history);
	return begun;
}

static void measure(unsigned services, unsigned targets)
{
	char *text = config_example(services, targets, 1);
	double best = 1e9, text_best = 1e9, merge_best = 1e9;
	size_t canonical = 0;

	for (int i = 0; i < TRIES; i++) {
		double took, begun;
		config_t *config = parse(text, &took);
		char *other = config_example(services, targets, 2);
		config_t *next;
		char *all;

		best = MIN(best, took);
		begun = now_ms();
		all = config_to_toml(config);
		text_best = MIN(text_best, now_ms() - begun);
		canonical = strlen(all);
		strstr(other, "= 2000")[2] = '3';
		next = parse(other, &took);
		merge_best = MIN(merge_best, merge_one(config, next));
		config_unref(next);
		config_unref(config);
		g_free(all);
		g_free(other);
	}
	printf("{\"services\":%u,\"targets\":%u,\"bytes\":%zu,"
	       "\"canonical_bytes\":%zu,\"parse_ms\":%.2f,\"text_ms\":%.2f,"
	       "\"merge_ms\":%.2f}\n",
	       services, targets, strlen(text), canonical, best, text_best,
	       merge_best);
	g_free(text);
}

int main(void)
{
	static const unsigned sizes[] = { 10, 100, 1000 };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		measure(sizes[i], 11);
	return 0;
}
