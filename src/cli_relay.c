#include "cli_relay.h"
#include "cli.h"
#include "http_client.h"
#include "relay_platform.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* As long as the processes that have a key are waited for. */
#define ASK_TIMEOUT_MS 3000
#define INFO	       "cherviltray_info{"

static const char *after(const char *text, const char *prefix);

/* What follows the prefix of a line, NULL when no line begins so. */
static const char *after(const char *text, const char *prefix)
{
	size_t len = strlen(prefix);

	while (text && *text) {
		if (!strncmp(text, prefix, len))
			return text + len;
		text = strchr(text, '\n');
		text = text ? text + 1 : NULL;
	}
	return NULL;
}

GOptionEntry cli_relay_option(char ***addresses)
{
	GOptionEntry entry = {
		"relay",    'r',
		0,	    G_OPTION_ARG_STRING_ARRAY,
		NULL,	    "Ask the relay at this address instead",
		"IPV4:PORT"
	};

	entry.arg_data = addresses;
	return entry;
}

static void on_done(void *ctx, const http_answer_t *answer)
{
	cli_relay_t *r = ctx;

	if (answer->status == 200)
		r->text = g_strndup(answer->body, answer->len);
	else if (answer->status)
		r->why = g_strdup_printf("HTTP status %d", answer->status);
	else
		r->why = g_strdup(answer->error);
}

GArray *cli_relays_ask(char **addresses, err_t *err)
{
	GArray *relays = g_array_new(FALSE, TRUE, sizeof(cli_relay_t));

	for (char **a = addresses; *a; a++) {
		cli_relay_t r = { 0 };

		if (endpoint_parse(*a, &r.at) < 0) {
			err_set(err, ERR_USAGE, NULL, 0, "give IPv4:PORT",
				"\"%s\" is no address", *a);
			cli_relays_free(relays);
			return NULL;
		}
		g_array_append_val(relays, r);
	}
	for (guint i = 0; i < relays->len; i++) {
		cli_relay_t *r = &g_array_index(relays, cli_relay_t, i);
		http_client_t *client;
		uv_loop_t loop;

		uv_loop_init(&loop);
		client = http_client_new(&loop, &r->at);
		if (client)
			http_client_get(client, relay_platform.metrics_path,
					ASK_TIMEOUT_MS, on_done, r);
		while (!r->text && !r->why && uv_run(&loop, UV_RUN_ONCE))
			;
		http_client_free(client);
		uv_run(&loop, UV_RUN_DEFAULT);
		uv_loop_close(&loop);
	}
	return relays;
}

void cli_relays_free(GArray *relays)
{
	for (guint i = 0; i < relays->len; i++) {
		cli_relay_t *r = &g_array_index(relays, cli_relay_t, i);

		g_free(r->text);
		g_free(r->why);
	}
	g_array_free(relays, TRUE);
}

long long cli_relay_number(const cli_relay_t *r, const char *metric)
{
	char *prefix = g_strdup_printf("%s ", metric);
	const char *value = after(r->text, prefix);

	g_free(prefix);
	return value ? strtoll(value, NULL, 10) : 0;
}

char *cli_relay_label(const cli_relay_t *r, const char *label)
{
	const char *info = after(r->text, INFO);
	char *want = g_strdup_printf("%s=\"", label);
	const char *end = info ? strchr(info, '}') : NULL;
	const char *at = info ? strstr(info, want) : NULL;

	if (at)
		at += strlen(want);
	g_free(want);
	if (!at || !end || at > end || !strchr(at, '"'))
		return g_strdup("-");
	return g_strndup(at, strcspn(at, "\""));
}

/* Says which did not answer, and why. Returns the exit code. */
static int print_silent(const char *command, const GArray *relays)
{
	int code = CLI_OK;

	for (guint i = 0; i < relays->len; i++) {
		const cli_relay_t *r = &g_array_index(relays, cli_relay_t, i);
		char text[ENDPOINT_TEXT];

		if (r->text)
			continue;
		fprintf(stderr, "cherviltray %s: %s: %s\n", command,
			endpoint_format(&r->at, text),
			r->why ? r->why : "no answer");
		code = CLI_FAILED;
	}
	return code;
}

int cli_relays_metrics(char **addresses)
{
	err_t err;
	GArray *relays = cli_relays_ask(addresses, &err);
	int code;

	if (!relays)
		return cli_fail("metrics", &err);
	for (guint i = 0; i < relays->len; i++) {
		const cli_relay_t *r = &g_array_index(relays, cli_relay_t, i);
		char *name = cli_relay_label(r, "process");
		char **lines = g_strsplit(r->text ? r->text : "", "\n", -1);

		for (char **line = lines; *line; line++)
			if (g_str_has_prefix(*line, "cherviltray_"))
				printf("%s %s\n", name,
				       *line + strlen("cherviltray_"));
		g_strfreev(lines);
		g_free(name);
	}
	code = print_silent("metrics", relays);
	cli_relays_free(relays);
	return code;
}

int cli_relays_status(char **addresses)
{
	err_t err;
	GArray *relays = cli_relays_ask(addresses, &err);
	int code;

	if (!relays)
		return cli_fail("status", &err);
	printf("%-24s %-9s %-14s %-21s %8s %-5s %8s\n", "PROCESS", "ROLE",
	       "ZONE", "ASKED AT", "VERSION", "READY", "FLOWS");
	for (guint i = 0; i < relays->len; i++) {
		const cli_relay_t *r = &g_array_index(relays, cli_relay_t, i);
		char *name = cli_relay_label(r, "process");
		char *role = cli_relay_label(r, "role");
		char *zone = cli_relay_label(r, "zone");
		char text[ENDPOINT_TEXT];

		if (r->text)
			printf("%-24s %-9s %-14s %-21s %8lld %-5s %8lld\n",
			       name, role, zone, endpoint_format(&r->at, text),
			       cli_relay_number(r, "cherviltray_version"),
			       cli_relay_number(r, "cherviltray_ready") ? "yes"
									: "no",
			       cli_relay_number(r, "cherviltray_flows"));
		g_free(name);
		g_free(role);
		g_free(zone);
	}
	code = print_silent("status", relays);
	cli_relays_free(relays);
	return code;
}
