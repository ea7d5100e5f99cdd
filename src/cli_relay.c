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

/* Asks all at once. */
typedef struct asker {
	uv_loop_t loop;
	guint waiting;
} asker_t;

typedef struct question {
	asker_t *asker;
	cli_relay_t *relay;
} question_t;

static void on_done(void *ctx, const http_response_t *answer)
{
	question_t *q = ctx;

	if (answer->status == 200)
		q->relay->text = g_strndup(answer->body, answer->len);
	else if (answer->status)
		q->relay->why =
			g_strdup_printf("HTTP status %d", answer->status);
	else
		q->relay->why = g_strdup(answer->error);
	if (--q->asker->waiting == 0)
		uv_stop(&q->asker->loop);
}

static void ask_all(GArray *relays)
{
	http_client_t **clients = g_new0(http_client_t *, relays->len);
	question_t *questions = g_new0(question_t, relays->len);
	asker_t asker = { .waiting = relays->len };

	uv_loop_init(&asker.loop);
	for (guint i = 0; i < relays->len; i++) {
		cli_relay_t *r = &g_array_index(relays, cli_relay_t, i);

		questions[i] = (question_t){ &asker, r };
		clients[i] = http_client_new(&asker.loop, &r->at);
		if (clients[i])
			http_client_get(clients[i], relay_platform.metrics_path,
					ASK_TIMEOUT_MS, on_done, &questions[i]);
		else
			asker.waiting--;
	}
	uv_run(&asker.loop, UV_RUN_DEFAULT);
	for (guint i = 0; i < relays->len; i++)
		http_client_free(clients[i]);
	uv_run(&asker.loop, UV_RUN_DEFAULT);
	uv_loop_close(&asker.loop);
	g_free(questions);
	g_free(clients);
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
	ask_all(relays);
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

/* Asks, prints each answer, and says which did not answer and why. Returns the
 * exit code. */
static int print_all(const char *command, char **addresses,
		     void (*print)(const cli_relay_t *r))
{
	err_t err;
	GArray *relays = cli_relays_ask(addresses, &err);
	int code = CLI_OK;

	if (!relays)
		return cli_fail(command, &err);
	for (guint i = 0; i < relays->len; i++) {
		const cli_relay_t *r = &g_array_index(relays, cli_relay_t, i);
		char text[ENDPOINT_TEXT_SIZE];

		if (r->text) {
			print(r);
			continue;
		}
		fprintf(stderr, "cherviltray %s: %s: %s\n", command,
			endpoint_format(&r->at, text),
			r->why ? r->why : "no memory to ask");
		code = CLI_FAILED;
	}
	cli_relays_free(relays);
	return code;
}

static void print_metrics(const cli_relay_t *r)
{
	char *name = cli_relay_label(r, "process");
	char **lines = g_strsplit(r->text, "\n", -1);

	for (char **line = lines; *line; line++)
		if (g_str_has_prefix(*line, "cherviltray_"))
			printf("%s %s\n", name, *line + strlen("cherviltray_"));
	g_strfreev(lines);
	g_free(name);
}

static void print_status(const cli_relay_t *r)
{
	char *name = cli_relay_label(r, "process");
	char *role = cli_relay_label(r, "role");
	char *zone = cli_relay_label(r, "zone");
	char text[ENDPOINT_TEXT_SIZE];

	printf("%-24s %-9s %-14s %-21s %8lld %-5s %8lld\n", name, role, zone,
	       endpoint_format(&r->at, text),
	       cli_relay_number(r, "cherviltray_version"),
	       cli_relay_number(r, "cherviltray_ready") ? "yes" : "no",
	       cli_relay_number(r, "cherviltray_flows"));
	g_free(name);
	g_free(role);
	g_free(zone);
}

int cli_relays_metrics(char **addresses)
{
	return print_all("metrics", addresses, print_metrics);
}

int cli_relays_status(char **addresses)
{
	printf("%-24s %-9s %-14s %-21s %8s %-5s %8s\n", "PROCESS", "ROLE",
	       "ZONE", "ASKED AT", "VERSION", "READY", "FLOWS");
	return print_all("status", addresses, print_status);
}
