#include "cli_relay.h"
#include "cli.h"
#include "http_client.h"
#include "relay_platform.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Same as QUERY_TIMEOUT_MS of cli_query.c. */
#define FETCH_TIMEOUT_MS 3000
#define INFO_METRIC	 "cherviltray_info{"

static const char *find_after_prefix(const char *text, const char *prefix);

/*
 * Returns the text that follows prefix in the first line that begins with it,
 * or NULL when no line does.
 */
static const char *find_after_prefix(const char *text, const char *prefix)
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
		NULL,	    "Query the relay at this address instead",
		"IPV4:PORT"
	};

	entry.arg_data = addresses;
	return entry;
}

/* Concurrent requests to all relays. */
typedef struct batch {
	uv_loop_t loop;
	guint pending;
} batch_t;

typedef struct fetch {
	batch_t *batch;
	cli_relay_t *relay;
} fetch_t;

static void on_done(void *ctx, const http_response_t *response)
{
	fetch_t *f = ctx;

	if (response->status == 200)
		f->relay->metrics = g_strndup(response->body, response->len);
	else if (response->status)
		f->relay->failure =
			g_strdup_printf("HTTP status %d", response->status);
	else
		f->relay->failure = g_strdup(response->error);
	if (--f->batch->pending == 0)
		uv_stop(&f->batch->loop);
}

static void fetch_all(GArray *relays)
{
	http_client_t **clients = g_new0(http_client_t *, relays->len);
	fetch_t *fetches = g_new0(fetch_t, relays->len);
	batch_t batch = { .pending = relays->len };

	uv_loop_init(&batch.loop);
	for (guint i = 0; i < relays->len; i++) {
		cli_relay_t *r = &g_array_index(relays, cli_relay_t, i);

		fetches[i] = (fetch_t){ &batch, r };
		clients[i] = http_client_new(&batch.loop, &r->addr);
		if (clients[i])
			http_client_get(clients[i], relay_platform.metrics_path,
					FETCH_TIMEOUT_MS, on_done, &fetches[i]);
		else
			batch.pending--;
	}
	uv_run(&batch.loop, UV_RUN_DEFAULT);
	for (guint i = 0; i < relays->len; i++)
		http_client_free(clients[i]);
	uv_run(&batch.loop, UV_RUN_DEFAULT);
	uv_loop_close(&batch.loop);
	g_free(fetches);
	g_free(clients);
}

GArray *cli_relays_fetch(char **addresses, err_t *err)
{
	GArray *relays = g_array_new(FALSE, TRUE, sizeof(cli_relay_t));

	for (char **a = addresses; *a; a++) {
		cli_relay_t r = { 0 };

		if (endpoint_parse(*a, &r.addr) < 0) {
			err_set(err, ERR_USAGE, NULL, 0, "use IPV4:PORT",
				"invalid address \"%s\"", *a);
			cli_relays_free(relays);
			return NULL;
		}
		g_array_append_val(relays, r);
	}
	fetch_all(relays);
	return relays;
}

void cli_relays_free(GArray *relays)
{
	for (guint i = 0; i < relays->len; i++) {
		cli_relay_t *r = &g_array_index(relays, cli_relay_t, i);

		g_free(r->metrics);
		g_free(r->failure);
	}
	g_array_free(relays, TRUE);
}

long long cli_relay_metric(const cli_relay_t *r, const char *metric)
{
	char *prefix = g_strdup_printf("%s ", metric);
	const char *value = find_after_prefix(r->metrics, prefix);

	g_free(prefix);
	return value ? strtoll(value, NULL, 10) : 0;
}

char *cli_relay_label(const cli_relay_t *r, const char *label)
{
	const char *info = find_after_prefix(r->metrics, INFO_METRIC);
	char *pattern = g_strdup_printf("%s=\"", label);
	const char *end = info ? strchr(info, '}') : NULL;
	const char *at = info ? strstr(info, pattern) : NULL;

	if (at)
		at += strlen(pattern);
	g_free(pattern);
	if (!at || !end || at > end || !strchr(at, '"'))
		return g_strdup("-");
	return g_strndup(at, strcspn(at, "\""));
}

/*
 * Fetches the metrics of all relays, calls print for each, and prints an error
 * for each that failed. Returns the exit code.
 */
static int print_all(const char *command, char **addresses,
		     void (*print)(const cli_relay_t *r))
{
	err_t err;
	GArray *relays = cli_relays_fetch(addresses, &err);
	int code = CLI_OK;

	if (!relays)
		return cli_fail(command, &err);
	for (guint i = 0; i < relays->len; i++) {
		const cli_relay_t *r = &g_array_index(relays, cli_relay_t, i);
		char text[ENDPOINT_TEXT_SIZE];

		if (r->metrics) {
			print(r);
			continue;
		}
		fprintf(stderr, "cherviltray %s: %s: %s\n", command,
			endpoint_format(&r->addr, text),
			r->failure ? r->failure : "out of memory");
		code = CLI_FAILED;
	}
	cli_relays_free(relays);
	return code;
}

static void print_metrics(const cli_relay_t *r)
{
	char *name = cli_relay_label(r, "process");
	char **lines = g_strsplit(r->metrics, "\n", -1);

	for (char **line = lines; *line; line++)
		if (g_str_has_prefix(*line, "cherviltray_"))
			printf("%s %s\n", name, *line + strlen("cherviltray_"));
	g_strfreev(lines);
	g_free(name);
}

/*
 * Returns the availability zones that a process holds to be evacuated, with
 * commas between them, or "-"; an agent knows its own only. Freed by the caller
 * with g_free().
 */
static char *evacuated_zones(const cli_relay_t *r, const char *own)
{
	GString *out = g_string_new(NULL);
	const char *at = r->metrics;

	while ((at = find_after_prefix(at, "cherviltray_evacuated{zone=\""))) {
		size_t len = strcspn(at, "\"\n");

		if (g_str_has_prefix(at + len, "\"} 1"))
			g_string_append_printf(out, "%s%.*s",
					       out->len ? "," : "", (int)len,
					       at);
		at = strchr(at, '\n');
	}
	if (cli_relay_metric(r, "cherviltray_zone_evacuated"))
		g_string_append(out, own);
	if (!out->len)
		g_string_append_c(out, '-');
	return g_string_free(out, FALSE);
}

static void print_status(const cli_relay_t *r)
{
	char *name = cli_relay_label(r, "process");
	char *role = cli_relay_label(r, "role");
	char *zone = cli_relay_label(r, "zone");
	char *evacuated = evacuated_zones(r, zone);
	char text[ENDPOINT_TEXT_SIZE];

	printf("%-24s %-9s %-14s %-21s %8lld %-5s %8lld %s\n", name, role, zone,
	       endpoint_format(&r->addr, text),
	       cli_relay_metric(r, "cherviltray_version"),
	       cli_relay_metric(r, "cherviltray_ready") ? "yes" : "no",
	       cli_relay_metric(r, "cherviltray_flows"), evacuated);
	g_free(evacuated);
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
	printf("%-24s %-9s %-14s %-21s %8s %-5s %8s %s\n", "PROCESS", "ROLE",
	       "ZONE", "ADDRESS", "VERSION", "READY", "FLOWS", "EVACUATED");
	return print_all("status", addresses, print_status);
}
