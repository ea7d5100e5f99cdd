#include "cli_ask.h"
#include "cli_relay.h"
#include "log.h"
#include <stdio.h>
#include <stdlib.h>

#define POLL_US		   500000
#define TIMEOUT_DEFAULT_S  60
#define COLUMNS		   "%-20s %-9s %-10s %-21s %8lld %-20s %s\n"
#define COLUMNS_NO_VERSION "%-20s %-9s %-10s %-21s %8s %-20s %s\n"

static void print_row(const cli_answer_t *answer);
static void print_table(const GArray *answers);
static void print_json(const GArray *answers);
static unsigned lacking(const GArray *answers, int64_t version,
			bool ignore_silent);

static void print_row(const cli_answer_t *answer)
{
	char *name = cli_answer_name(answer);
	const char *s = answer->status;

	if (s) {
		char *role = json_text_of(s, "role");
		char *zone = json_text_of(s, "zone");
		char *listen = json_text_of(s, "listen");
		char *refusal = json_text_of(s, "refusal");
		int64_t since = json_number_of(s, "in_force_since_ms", 0);
		char *time = since ? cli_time(since) : g_strdup("-");

		printf(COLUMNS, name, role, zone, listen,
		       (long long)json_number_of(s, "version", 0), time,
		       refusal && *refusal ? refusal : "-");
		g_free(role);
		g_free(zone);
		g_free(listen);
		g_free(refusal);
		g_free(time);
	} else {
		printf(COLUMNS_NO_VERSION, name, "-", "-", "-", "-", "-",
		       answer->err.what);
	}
	g_free(name);
}

static void print_table(const GArray *answers)
{
	printf(COLUMNS_NO_VERSION, "PROCESS", "ROLE", "ZONE", "LISTEN",
	       "VERSION", "SINCE", "REFUSAL");
	for (guint i = 0; i < answers->len; i++)
		print_row(&g_array_index(answers, cli_answer_t, i));
}

/* One object a line, a silent process included. */
static void print_json(const GArray *answers)
{
	for (guint i = 0; i < answers->len; i++) {
		const cli_answer_t *a =
			&g_array_index(answers, cli_answer_t, i);
		char text[ENDPOINT_TEXT_SIZE];
		GString *line;

		if (a->status) {
			printf("%s\n", a->status);
			continue;
		}
		line = g_string_new("{\"asked\":\"");
		g_string_append(line, endpoint_format(&a->at, text));
		g_string_append(line, "\",\"silent\":true,\"error\":");
		json_append_string(line, a->err.what);
		printf("%s}\n", line->str);
		g_string_free(line, TRUE);
	}
}

static unsigned lacking(const GArray *answers, int64_t version,
			bool ignore_silent)
{
	unsigned lack = 0;

	for (guint i = 0; i < answers->len; i++) {
		const cli_answer_t *a =
			&g_array_index(answers, cli_answer_t, i);

		if (!a->status)
			lack += !ignore_silent;
		else
			lack += json_number_of(a->status, "version", 0) <
				version;
	}
	return lack;
}

int cli_status(int argc, char **argv)
{
	gboolean json = FALSE, ignore_silent = FALSE;
	gint64 wait = 0;
	gint timeout = TIMEOUT_DEFAULT_S;
	GOptionEntry entries[] = {
		{ "json", 0, 0, G_OPTION_ARG_NONE, &json,
		  "Print one JSON object a process", NULL },
		{ "wait", 0, 0, G_OPTION_ARG_INT64, &wait,
		  "Wait until every process has VERSION or a higher one",
		  "VERSION" },
		{ "timeout", 0, 0, G_OPTION_ARG_INT, &timeout,
		  "Wait at most so long (60)", "SECONDS" },
		{ "ignore-silent", 0, 0, G_OPTION_ARG_NONE, &ignore_silent,
		  "Take no account of processes that do not answer", NULL },
		{ 0 },
	};
	const char *wrong = NULL;
	char **relays = NULL;
	settings_t settings;
	gint64 until;
	unsigned lack;
	GArray *answers;
	int code;

	if (cli_options_asked(
		    "status", NULL,
		    "Prints which configuration each process has in force.",
		    entries, &argc, &argv, &settings, &relays, &code) < 0)
		return code;
	if (argc > 1 || wait < 0 || timeout < 0)
		wrong = "a wrong argument";
	else if (relays && (json || wait || ignore_silent))
		wrong = "--json, --wait and --ignore-silent need --settings";
	if (wrong) {
		settings_clear(&settings);
		g_strfreev(relays);
		return cli_usage("status", wrong);
	}
	if (relays) {
		code = cli_relays_status(relays);
		g_strfreev(relays);
		return code;
	}
	until = g_get_monotonic_time() + timeout * G_TIME_SPAN_SECOND;
	answers = cli_ask_all(&settings, "status", "");
	while ((lack = lacking(answers, wait, ignore_silent)) > 0 && wait &&
	       g_get_monotonic_time() < until) {
		cli_answers_free(answers);
		g_usleep(POLL_US);
		answers = cli_ask_all(&settings, "status", "");
	}
	if (json)
		print_json(answers);
	else
		print_table(answers);
	if (wait && lack)
		fprintf(stderr,
			"cherviltray status: timeout: %u of %u processes lack "
			"version %lld; look at their refusal, or wait longer\n",
			lack, answers->len, (long long)wait);
	cli_answers_free(answers);
	settings_clear(&settings);
	return lack ? CLI_FAILED : CLI_OK;
}
