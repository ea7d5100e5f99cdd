#ifndef CLI_H
#define CLI_H

/*
 * cli - commands of cherviltray, the operators' command line
 *
 * Each command is called with argv starting at the command's name and returns
 * the exit code of the program: CLI_OK, CLI_FAILED or CLI_USAGE. cli_diff()
 * returns those of diff(1).
 */

#include "err.h"

#define CLI_OK	   0
#define CLI_FAILED 1 /* invalid document, process failed to answer */
#define CLI_USAGE  2 /* invalid command line */

int cli_check(int argc, char **argv);
int cli_diff(int argc, char **argv);
int cli_status(int argc, char **argv);
int cli_explain(int argc, char **argv);
int cli_watch(int argc, char **argv);
int cli_audit(int argc, char **argv);
int cli_metrics(int argc, char **argv);
int cli_load(int argc, char **argv);

/*
 * Prints "cherviltray COMMAND: ERROR" to standard error. Returns CLI_USAGE for
 * ERR_USAGE, else CLI_FAILED.
 */
int cli_fail(const char *command, const err_t *err);

/* Prints a usage error that refers to --help. Returns CLI_USAGE. */
int cli_usage_error(const char *command, const char *what);

#endif
