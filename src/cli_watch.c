#include "cli_query.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define POLL_INTERVAL_US 1000000

static char *format_state(const cli_answer_t *answer);
static void print_changes(GHashTable *last_states, const GArray *answers);

/* Version and refusal of a process as printed; the caller frees it. */
static char *format_state(const cli_answer_t *answer)
{
	char *refusal, *state;

	if (!answer->status)
		return g_strdup_printf("silent: %s", answer->err.what);
	refusal = json_get_string(answer->status, "refusal");
	state = g_strdup_printf(
		"version %lld%s%s",
		(long long)json_get_int(answer->status, "version", 0),
		refusal && *refusal ? ", refused " : "",
		refusal ? refusal : "");
	g_free(refusal);
	return state;
}

static void print_changes(GHashTable *last_states, const GArray *answers)
{
	char *time = cli_format_time(g_get_real_time() / 1000);

	for (guint i = 0; i < answers->len; i++) {
		const cli_answer_t *a =
			&g_array_index(answers, cli_answer_t, i);
		char *name = cli_answer_name(a);
		char *state = format_state(a);
		const char *old = g_hash_table_lookup(last_states, name);

		if (old && !strcmp(old, state)) {
			g_free(name);
			g_free(state);
			continue;
		}
		printf("%s %s %s\n", time, name, state);
		g_hash_table_insert(last_states, name, state);
	}
	fflush(stdout);
	g_free(time);
}

/* Prints a line when the version, refusal or reachability changes. */
int cli_watch(int argc, char **argv)
{
	gint seconds = 0;
	GOptionEntry entries[] = {
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &seconds,
		  "Stop after this time (default 0: never)", "SECONDS" },
		{ 0 },
	};
	GHashTable *last_states;
	settings_t settings;
	gint64 deadline_us;
	int code;

	if (cli_parse_options_settings(
		    "watch", NULL,
		    "Prints a line whenever the version in force or the "
		    "state of a process changes.",
		    entries, &argc, &argv, &settings, &code) < 0)
		return code;
	if (argc > 1 || seconds < 0) {
		settings_clear(&settings);
		return cli_usage_error(
			"watch", "unexpected argument, or negative --seconds");
	}
	last_states =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	deadline_us = g_get_monotonic_time() + seconds * G_TIME_SPAN_SECOND;
	while (!seconds || g_get_monotonic_time() < deadline_us) {
		GArray *answers = cli_query_all(&settings, "status", "");

		print_changes(last_states, answers);
		cli_answers_free(answers);
		g_usleep(POLL_INTERVAL_US);
	}
	g_hash_table_destroy(last_states);
	settings_clear(&settings);
	return CLI_OK;
}
