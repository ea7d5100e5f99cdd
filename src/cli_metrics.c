#include "cli_query.h"
#include "cli_relay.h"
#include "counters.h"
#include "log.h"
#include <stdio.h>

static void print_counters(const char *name, const char *json);
static void print_json(const char *name, const char *json);

static void print_counters(const char *name, const char *json)
{
	for (int i = 0; i < NCOUNTERS; i++) {
		const char *counter = counter_name((counter_t)i);
		int64_t value = json_get_int(json, counter, 0);

		if (value)
			printf("%s %s %lld\n", name, counter, (long long)value);
	}
}

static void print_json(const char *name, const char *json)
{
	GString *line = g_string_new("{\"process\":");

	json_append_string(line, name);
	printf("%s,\"counters\":%s}\n", line->str, json);
	g_string_free(line, TRUE);
}

int cli_metrics(int argc, char **argv)
{
	gboolean json = FALSE;
	GOptionEntry entries[] = {
		{ "json", 0, 0, G_OPTION_ARG_NONE, &json,
		  "Print one JSON object per process", NULL },
		{ 0 },
	};
	const char *usage = NULL;
	char **relays = NULL;
	settings_t settings;
	unsigned nfailed;
	GArray *answers;
	int code;

	if (cli_parse_options_relays(
		    "metrics", NULL,
		    "Prints the nonzero counters of every process:\n"
		    "PROCESS COUNTER VALUE.",
		    entries, &argc, &argv, &settings, &relays, &code) < 0)
		return code;
	if (argc > 1)
		usage = "it takes no argument";
	else if (relays && json)
		usage = "--json needs --settings";
	if (usage) {
		settings_clear(&settings);
		g_strfreev(relays);
		return cli_usage_error("metrics", usage);
	}
	if (relays) {
		code = cli_relays_metrics(relays);
		g_strfreev(relays);
		return code;
	}
	answers = cli_query_all(&settings, "metrics", "");
	for (guint i = 0; i < answers->len; i++) {
		const cli_answer_t *a =
			&g_array_index(answers, cli_answer_t, i);
		char *name = cli_answer_name(a);

		if (a->ok && json)
			print_json(name, a->text);
		else if (a->ok)
			print_counters(name, a->text);
		g_free(name);
	}
	nfailed = cli_print_failed("metrics", answers);
	cli_answers_free(answers);
	settings_clear(&settings);
	return nfailed ? CLI_FAILED : CLI_OK;
}
