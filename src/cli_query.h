#ifndef CLI_QUERY_H
#define CLI_QUERY_H

/*
 * cli_query - what the commands share: their options, and asking every process
 *
 * The processes are those in the operators' settings and those that these
 * name in their status.
 */

#include "cli.h"
#include "endpoint.h"
#include "settings.h"
#include <glib.h>
#include <stdbool.h>

/* Reads a command's options; adds --help and --version. Returns 0, or -1 when
 * the command ends with *code. */
int cli_parse_options(const char *command, const char *arguments,
		      const char *summary, const GOptionEntry *entries,
		      int *argc, char ***argv, int *code);

/* Like cli_parse_options() with --settings, which it reads. */
int cli_parse_options_settings(const char *command, const char *arguments,
			       const char *summary, const GOptionEntry *entries,
			       int *argc, char ***argv, settings_t *settings,
			       int *code);

/*
 * The same for a command that may ask relays instead: with --relay, *relays is
 * their list, freed by the caller when it returns 0, and no settings are read.
 */
int cli_parse_options_relays(const char *command, const char *arguments,
			     const char *summary, const GOptionEntry *entries,
			     int *argc, char ***argv, settings_t *settings,
			     char ***relays, int *code);

typedef struct cli_answer {
	endpoint_t addr;
	bool discovered; /* named by another process, not in the settings */
	bool ok;	 /* it answered, and not with a refusal */
	char *status;	 /* JSON of its status, owned, or NULL */
	char *text;	 /* its answer, owned, or NULL */
	err_t err;	 /* when it is not ok */
} cli_answer_t;

/*
 * Asks every process for its status and then, unless command is "status", the
 * command. Returns an array of cli_answer_t, freed by cli_answers_free().
 */
GArray *cli_query_all(const settings_t *settings, const char *command,
		      const char *argument);
void cli_answers_free(GArray *answers);

/* Name of the process, or its address when it did not answer. */
char *cli_answer_name(const cli_answer_t *answer);

/* Prints what kept processes from answering; returns how many those are. */
unsigned cli_print_failed(const char *command, const GArray *answers);

/*
 * A member of a flat JSON object as our own programs write it. The text is
 * freed by the caller, NULL when absent; the number is then the fallback.
 */
char *json_get_string(const char *json, const char *key);
int64_t json_get_int(const char *json, const char *key, int64_t fallback);

/* "2026-01-31T12:00:00Z"; freed by the caller. */
char *cli_format_time(int64_t wall_ms);

#endif
