#ifndef CLI_QUERY_H
#define CLI_QUERY_H

/*
 * cli_query - option parsing and queries to all processes
 *
 * The processes queried are the peers listed in the operators' settings, and
 * the processes that the statuses of these peers list under "known".
 */

#include "cli.h"
#include "endpoint.h"
#include "settings.h"
#include <glib.h>
#include <stdbool.h>

/*
 * Parses the options of a command, and --help and --version. Returns 0, or -1
 * when the command must return *code at once.
 */
int cli_parse_options(const char *command, const char *arguments,
		      const char *summary, const GOptionEntry *entries,
		      int *argc, char ***argv, int *code);

/*
 * Like cli_parse_options(), with the required option --settings, whose file it
 * loads. The caller frees *settings with settings_clear() when it returns 0.
 */
int cli_parse_options_settings(const char *command, const char *arguments,
			       const char *summary, const GOptionEntry *entries,
			       int *argc, char ***argv, settings_t *settings,
			       int *code);

/*
 * Like cli_parse_options_settings(), for a command that can query relays
 * instead. With --relay, *relays is set to the NULL-terminated list of their
 * addresses, *settings is zeroed, and no settings are loaded. The caller frees
 * *relays with g_strfreev() when it returns 0.
 */
int cli_parse_options_relays(const char *command, const char *arguments,
			     const char *summary, const GOptionEntry *entries,
			     int *argc, char ***argv, settings_t *settings,
			     char ***relays, int *code);

typedef struct cli_answer {
	endpoint_t addr;
	bool discovered; /* listed by another process, not in the settings */
	bool ok;	 /* the last query was answered without an error */
	char *status;	 /* status as JSON, owned, or NULL */
	char *text;	 /* answer to the command, owned, or NULL */
	err_t err;	 /* set when ok is false */
} cli_answer_t;

/*
 * Queries the status of every process and then sends the command, unless it is
 * "status", to those that answered. Returns an array of cli_answer_t; the
 * caller frees it with cli_answers_free().
 */
GArray *cli_query_all(const settings_t *settings, const char *command,
		      const char *argument);
void cli_answers_free(GArray *answers);

/* Returns the name of a process, or its address if the name is unknown. The
 * caller frees it. */
char *cli_answer_name(const cli_answer_t *answer);

/* Prints the error of each answer that is not ok. Returns their number. */
unsigned cli_print_failed(const char *command, const GArray *answers);

/*
 * Value of a key in JSON as cherviltray's programs write it: without white
 * space around the colon. The first occurrence of the key counts, also one in a
 * nested object. json_get_string() returns a string that the caller frees, or
 * NULL when the key is absent or its value is not a string; json_get_int()
 * returns fallback when the key is absent.
 */
char *json_get_string(const char *json, const char *key);
int64_t json_get_int(const char *json, const char *key, int64_t fallback);

/*
 * Formats a time in ms since 1970 as "2026-01-31T12:00:00Z", or as "-" when it
 * is out of range. The caller frees the string.
 */
char *cli_format_time(int64_t wall_ms);

#endif
