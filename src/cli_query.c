#include "cli_query.h"
#include "cli_relay.h"
#include "dgram.h"
#include "stream.h"
#include "version.h"
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define QUERY_TIMEOUT_MS 3000 /* of one query, connection set-up included */

/* State of cli_query_all(). */
typedef struct answer_collector {
	uv_loop_t loop;
	seal_t *seal;
	counters_t counters;
	GArray *answers;
} answer_collector_t;

/* Context of one query. Holds an index, since the array may be reallocated. */
typedef struct query_ctx {
	answer_collector_t *collector;
	guint index; /* of the answer in collector->answers */
	bool status; /* the command is "status" */
} query_ctx_t;

static cli_answer_t *answer_at(const answer_collector_t *a, guint i);
static void on_answer(void *ctx, msg_kind_t kind, const void *msg,
		      const err_t *err);
static void send_query(answer_collector_t *a, guint i, const char *command,
		       const char *argument);
static bool is_listed(const answer_collector_t *a, const endpoint_t *at);
static void add_discovered(answer_collector_t *a, const char *status);
static const char *json_find_value(const char *json, const char *key);

int cli_parse_options(const char *command, const char *arguments,
		      const char *summary, const GOptionEntry *entries,
		      int *argc, char ***argv, int *code)
{
	gboolean version = FALSE;
	GOptionEntry common[] = {
		{ "version", 'V', 0, G_OPTION_ARG_NONE, &version,
		  "Print the version and exit", NULL },
		{ 0 },
	};
	GOptionContext *context = g_option_context_new(arguments);
	char *program = g_strdup_printf("cherviltray %s", command);
	GError *error = NULL;
	int ret = -1;

	g_set_prgname(program);
	g_option_context_set_summary(context, summary);
	if (entries)
		g_option_context_add_main_entries(context, entries, NULL);
	g_option_context_add_main_entries(context, common, NULL);
	if (!g_option_context_parse(context, argc, argv, &error)) {
		*code = cli_usage_error(command, error->message);
		g_error_free(error);
	} else if (version) {
		printf("cherviltray %s\n", CHERVILTRAY_VERSION);
		*code = CLI_OK;
	} else {
		ret = 0;
	}
	g_option_context_free(context);
	g_free(program);
	return ret;
}

int cli_parse_options_settings(const char *command, const char *arguments,
			       const char *summary, const GOptionEntry *entries,
			       int *argc, char ***argv, settings_t *settings,
			       int *code)
{
	return cli_parse_options_relays(command, arguments, summary, entries,
					argc, argv, settings, NULL, code);
}

int cli_parse_options_relays(const char *command, const char *arguments,
			     const char *summary, const GOptionEntry *entries,
			     int *argc, char ***argv, settings_t *settings,
			     char ***relays, int *code)
{
	char *file = NULL;
	GArray *all = g_array_new(TRUE, FALSE, sizeof(GOptionEntry));
	GOptionEntry entry = { "settings", 's',
			       0,	   G_OPTION_ARG_FILENAME,
			       &file,	   "Operators' settings file",
			       "FILE" };
	err_t err;
	int ret;

	g_array_append_val(all, entry);
	if (relays) {
		GOptionEntry relay = cli_relay_option(relays);

		g_array_append_val(all, relay);
	}
	for (; entries && entries->long_name; entries++)
		g_array_append_val(all, *entries);
	ret = cli_parse_options(command, arguments, summary,
				(GOptionEntry *)(void *)all->data, argc, argv,
				code);
	g_array_free(all, TRUE);
	if (ret == 0 && relays && *relays && file) {
		*code = cli_usage_error(
			command, "--settings and --relay exclude each other");
		ret = -1;
	} else if (ret == 0 && relays && *relays) {
		memset(settings, 0, sizeof(*settings));
	} else if (ret == 0 && !file) {
		*code = cli_usage_error(command, "--settings is needed");
		ret = -1;
	} else if (ret == 0 &&
		   (sodium_init() < 0 ||
		    settings_load(file, ROLE_OPERATOR, settings, &err) < 0)) {
		*code = cli_fail(command, &err);
		ret = -1;
	}
	if (ret < 0 && relays) {
		g_strfreev(*relays);
		*relays = NULL;
	}
	g_free(file);
	return ret;
}

static cli_answer_t *answer_at(const answer_collector_t *a, guint i)
{
	return &g_array_index(a->answers, cli_answer_t, i);
}

static void on_answer(void *ctx, msg_kind_t kind, const void *msg,
		      const err_t *err)
{
	query_ctx_t *q = ctx;
	cli_answer_t *a = answer_at(q->collector, q->index);
	const answer_msg_t *answer = msg;

	a->ok = kind == MSG_ANSWER && answer->ok;
	if (a->ok && q->status)
		a->status = g_strdup(answer->text);
	if (a->ok)
		a->text = g_strdup(answer->text);
	else if (kind == MSG_ANSWER)
		err_set(&a->err, ERR_PROTOCOL, NULL, 0,
			"check the arguments of the command", "%s",
			answer->text);
	else if (err)
		a->err = *err;
	free(q);
}

static void send_query(answer_collector_t *a, guint i, const char *command,
		       const char *argument)
{
	query_msg_t query = CT__QUERY__INIT;
	query_ctx_t *q = malloc(sizeof(*q));

	if (!q)
		return;
	q->collector = a;
	q->index = i;
	q->status = !strcmp(command, "status");
	query.command = (char *)command;
	query.argument = (char *)argument;
	stream_call(&a->loop, a->seal, &a->counters, &answer_at(a, i)->addr,
		    MSG_QUERY, &query, QUERY_TIMEOUT_MS, on_answer, q);
}

/* True when a process with this address or listen address is in the array. */
static bool is_listed(const answer_collector_t *a, const endpoint_t *at)
{
	for (guint i = 0; i < a->answers->len; i++) {
		const cli_answer_t *other = answer_at(a, i);
		char *listen =
			other->status ? json_get_string(other->status, "listen")
				      : NULL;
		endpoint_t ep;
		bool same = endpoint_equal(&other->addr, at) ||
			    (listen && endpoint_parse(listen, &ep) == 0 &&
			     endpoint_equal(&ep, at));

		g_free(listen);
		if (same)
			return true;
	}
	return false;
}

/* Adds the processes listed under "known" in a status. */
static void add_discovered(answer_collector_t *a, const char *status)
{
	const char *list = json_find_value(status, "known");
	char **parts;

	if (!list || *list != '[')
		return;
	list = g_strndup(list + 1, strcspn(list, "]") - 1);
	parts = g_strsplit(list, ",", -1);
	for (char **part = parts; *part; part++) {
		cli_answer_t found = { .discovered = true };

		g_strdelimit(*part, "\"", ' ');
		if (endpoint_parse(g_strstrip(*part), &found.addr) == 0 &&
		    !is_listed(a, &found.addr))
			g_array_append_val(a->answers, found);
	}
	g_strfreev(parts);
	g_free((char *)list);
}

GArray *cli_query_all(const settings_t *settings, const char *command,
		      const char *argument)
{
	answer_collector_t a = { .answers = g_array_new(FALSE, TRUE,
							sizeof(cli_answer_t)) };
	uint64_t session;
	guint nconfigured;

	randombytes_buf(&session, sizeof(session));
	a.seal = settings_seal_new(settings, session);
	uv_loop_init(&a.loop);
	for (size_t i = 0; i < settings->npeers; i++) {
		cli_answer_t peer = { .addr = settings->peers[i] };

		g_array_append_val(a.answers, peer);
	}
	nconfigured = a.answers->len;
	for (guint i = 0; i < nconfigured; i++)
		send_query(&a, i, "status", "");
	uv_run(&a.loop, UV_RUN_DEFAULT);
	for (guint i = 0; i < nconfigured; i++)
		if (answer_at(&a, i)->status)
			add_discovered(&a, answer_at(&a, i)->status);
	for (guint i = nconfigured; i < a.answers->len; i++)
		send_query(&a, i, "status", "");
	uv_run(&a.loop, UV_RUN_DEFAULT);
	if (strcmp(command, "status") != 0) {
		for (guint i = 0; i < a.answers->len; i++) {
			if (!answer_at(&a, i)->status)
				continue;
			g_free(answer_at(&a, i)->text);
			answer_at(&a, i)->text = NULL;
			send_query(&a, i, command, argument);
		}
		uv_run(&a.loop, UV_RUN_DEFAULT);
	}
	uv_loop_close(&a.loop);
	seal_free(a.seal);
	return a.answers;
}

void cli_answers_free(GArray *answers)
{
	for (guint i = 0; i < answers->len; i++) {
		cli_answer_t *a = &g_array_index(answers, cli_answer_t, i);

		g_free(a->status);
		g_free(a->text);
	}
	g_array_free(answers, TRUE);
}

char *cli_answer_name(const cli_answer_t *answer)
{
	char text[ENDPOINT_TEXT_SIZE];
	char *name =
		answer->status ? json_get_string(answer->status, "name") : NULL;

	return name ? name : g_strdup(endpoint_format(&answer->addr, text));
}

unsigned cli_print_failed(const char *command, const GArray *answers)
{
	unsigned nfailed = 0;

	for (guint i = 0; i < answers->len; i++) {
		cli_answer_t *a = &g_array_index(answers, cli_answer_t, i);

		if (a->ok)
			continue;
		endpoint_format(&a->addr, a->err.file);
		cli_fail(command, &a->err);
		nfailed++;
	}
	return nfailed;
}

/*
 * Returns the start of a key's value, or NULL. A string value cannot match,
 * since the quotes in it are escaped.
 */
static const char *json_find_value(const char *json, const char *key)
{
	char pattern[72];
	const char *at = json;

	snprintf(pattern, sizeof(pattern), "\"%s\":", key);
	while ((at = strstr(at, pattern)) != NULL) {
		if (at > json && (at[-1] == ',' || at[-1] == '{'))
			return at + strlen(pattern);
		at += strlen(pattern);
	}
	return NULL;
}

char *json_get_string(const char *json, const char *key)
{
	const char *at = json_find_value(json, key);
	GString *out;

	if (!at || *at != '"')
		return NULL;
	out = g_string_new(NULL);
	for (at++; *at && *at != '"'; at++) {
		if (*at == '\\' && at[1])
			at++;
		g_string_append_c(out, *at);
	}
	return g_string_free(out, FALSE);
}

int64_t json_get_int(const char *json, const char *key, int64_t fallback)
{
	const char *at = json_find_value(json, key);

	return at ? strtoll(at, NULL, 10) : fallback;
}

char *cli_format_time(int64_t wall_ms)
{
	GDateTime *time = g_date_time_new_from_unix_utc(wall_ms / 1000);
	char *text = time ? g_date_time_format(time, "%Y-%m-%dT%H:%M:%SZ")
			  : g_strdup("-");

	if (time)
		g_date_time_unref(time);
	return text;
}
