#include "cli_query.h"
#include "cli_relay.h"
#include "log.h"
#include <stdio.h>
#include <stdlib.h>

#define POLL_INTERVAL_US  500000
#define DEFAULT_TIMEOUT_S 60
#define ROW_FORMAT	  "%-20s %-9s %-10s %-21s %8lld %-20s %s\n"
#define TEXT_ROW_FORMAT	  "%-20s %-9s %-10s %-21s %8s %-20s %s\n"

static void print_row(const cli_answer_t *answer);
static void print_table(const GArray *answers);
static void print_json(const GArray *answers);
static unsigned count_outdated(const GArray *answers, int64_t version,
			       bool ignore_silent);

static void print_row(const cli_answer_t *answer)
{
	char *name = cli_answer_name(answer);
	const char *s = answer->status;

	if (s) {
		char *role = json_get_string(s, "role");
		char *zone = json_get_string(s, "zone");
		char *listen = json_get_string(s, "listen");
		char *refusal = json_get_string(s, "refusal");
		int64_t since = json_get_int(s, "in_force_since_ms", 0);
		char *time = since ? cli_format_time(since) : g_strdup("-");

		printf(ROW_FORMAT, name, role, zone, listen,
		       (long long)json_get_int(s, "version", 0), time,
		       refusal && *refusal ? refusal : "-");
		g_free(role);
		g_free(zone);
		g_free(listen);
		g_free(refusal);
		g_free(time);
	} else {
		printf(TEXT_ROW_FORMAT, name, "-", "-", "-", "-", "-",
		       answer->err.what);
	}
	g_free(name);
}

static void print_table(const GArray *answers)
{
	printf(TEXT_ROW_FORMAT, "PROCESS", "ROLE", "ZONE", "LISTEN", "VERSION",
	       "SINCE", "REFUSAL");
	for (guint i = 0; i < answers->len; i++)
		print_row(&g_array_index(answers, cli_answer_t, i));
}

/* One object per line, also for a process that did not answer. */
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
		g_string_append(line, endpoint_format(&a->addr, text));
		g_string_append(line, "\",\"silent\":true,\"error\":");
		json_append_string(line, a->err.what);
		printf("%s}\n", line->str);
		g_string_free(line, TRUE);
	}
}

/*
 * Counts the processes with a lower version and, unless ignore_silent is set,
 * those without an answer.
 */
static unsigned count_outdated(const GArray *answers, int64_t version,
			       bool ignore_silent)
{
	unsigned outdated = 0;

	for (guint i = 0; i < answers->len; i++) {
		const cli_answer_t *a =
			&g_array_index(answers, cli_answer_t, i);

		if (!a->status)
			outdated += !ignore_silent;
		else
			outdated +=
				json_get_int(a->status, "version", 0) < version;
	}
	return outdated;
}

int cli_status(int argc, char **argv)
{
	gboolean json = FALSE, ignore_silent = FALSE;
	gint64 wait = 0;
	gint timeout = DEFAULT_TIMEOUT_S;
	GOptionEntry entries[] = {
		{ "json", 0, 0, G_OPTION_ARG_NONE, &json,
		  "Print one JSON object per process", NULL },
		{ "wait", 0, 0, G_OPTION_ARG_INT64, &wait,
		  "Wait until every process has VERSION or a higher one",
		  "VERSION" },
		{ "timeout", 0, 0, G_OPTION_ARG_INT, &timeout,
		  "Wait at most this time (default 60)", "SECONDS" },
		{ "ignore-silent", 0, 0, G_OPTION_ARG_NONE, &ignore_silent,
		  "Ignore processes that do not answer", NULL },
		{ 0 },
	};
	const char *usage = NULL;
	char **relays = NULL;
	settings_t settings;
	gint64 deadline_us;
	unsigned outdated;
	GArray *answers;
	int code;

	if (cli_parse_options_relays("status", NULL,
				     "Prints the configuration version in "
				     "force in each process.",
				     entries, &argc, &argv, &settings, &relays,
				     &code) < 0)
		return code;
	if (argc > 1 || wait < 0 || timeout < 0)
		usage = "unexpected argument, or negative --wait or --timeout";
	else if (relays && (json || wait || ignore_silent))
		usage = "--json, --wait and --ignore-silent need --settings";
	if (usage) {
		settings_clear(&settings);
		g_strfreev(relays);
		return cli_usage_error("status", usage);
	}
	if (relays) {
		code = cli_relays_status(relays);
		g_strfreev(relays);
		return code;
	}
	deadline_us = g_get_monotonic_time() + timeout * G_TIME_SPAN_SECOND;
	answers = cli_query_all(&settings, "status", "");
	while ((outdated = count_outdated(answers, wait, ignore_silent)) > 0 &&
	       wait && g_get_monotonic_time() < deadline_us) {
		cli_answers_free(answers);
		g_usleep(POLL_INTERVAL_US);
		answers = cli_query_all(&settings, "status", "");
	}
	if (json)
		print_json(answers);
	else
		print_table(answers);
	if (wait && outdated)
		fprintf(stderr,
			"cherviltray status: timeout: %u of %u processes lack "
			"version %lld; check their refusals, or raise "
			"--timeout\n",
			outdated, answers->len, (long long)wait);
	cli_answers_free(answers);
	settings_clear(&settings);
	return outdated ? CLI_FAILED : CLI_OK;
}
