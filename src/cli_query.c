#include "cli.h"
#include "dgram.h"
#include "settings.h"
#include "stream.h"
#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#define QUERY_TIMEOUT_MS 3000

typedef struct asked {
	endpoint_t to;
	char *text; /* answer, owned */
	bool ok;
	err_t err;
} asked_t;

static void on_answer(void *ctx, msg_kind_t kind, const void *msg,
		      const err_t *err);
static int ask_all(const char *command, int argc, char **argv);

static void on_answer(void *ctx, msg_kind_t kind, const void *msg,
		      const err_t *err)
{
	asked_t *a = ctx;

	if (kind != MSG_ANSWER) {
		if (err)
			a->err = *err;
		return;
	}
	a->ok = ((const answer_msg_t *)msg)->ok;
	a->text = g_strdup(((const answer_msg_t *)msg)->text);
}

/* Asks every process in the settings and prints a line for each. */
static int ask_all(const char *command, int argc, char **argv)
{
	char *file = NULL;
	GOptionEntry entries[] = {
		{ "settings", 's', 0, G_OPTION_ARG_FILENAME, &file,
		  "Settings file of the operators", "FILE" },
		{ 0 },
	};
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	settings_t settings;
	counters_t counters = { { 0 } };
	query_msg_t query = CT__QUERY__INIT;
	asked_t *asked;
	uint64_t session;
	uv_loop_t loop;
	seal_t *seal;
	err_t err;
	int ret = CLI_OK;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error) || !file) {
		g_option_context_free(context);
		return cli_usage(command, error ? error->message
						: "--settings is needed");
	}
	g_option_context_free(context);
	if (sodium_init() < 0 ||
	    settings_load(file, ROLE_OPERATOR, &settings, &err) < 0)
		return cli_fail(command, &err);
	randombytes_buf(&session, sizeof(session));
	seal = seal_new(settings.key, session);
	asked = g_new0(asked_t, settings.npeers);
	uv_loop_init(&loop);
	query.command = (char *)command;
	for (size_t i = 0; i < settings.npeers; i++) {
		asked[i].to = settings.peers[i];
		stream_call(&loop, seal, &counters, &asked[i].to, MSG_QUERY,
			    &query, QUERY_TIMEOUT_MS, on_answer, &asked[i]);
	}
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
	for (size_t i = 0; i < settings.npeers; i++) {
		if (asked[i].ok)
			printf("%s\n", asked[i].text);
		else
			ret = cli_fail(command, &asked[i].err);
		g_free(asked[i].text);
	}
	g_free(asked);
	seal_free(seal);
	settings_clear(&settings);
	return ret;
}

int cli_status(int argc, char **argv)
{
	return ask_all("status", argc, argv);
}

int cli_metrics(int argc, char **argv)
{
	return ask_all("metrics", argc, argv);
}

int cli_audit(int argc, char **argv)
{
	return ask_all("audit", argc, argv);
}
