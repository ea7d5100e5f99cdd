#ifndef CLI_H
#define CLI_H

/*
 * cli - what the files of the operators' command line share
 *
 * Each command gets its own arguments, its name first, and returns the exit
 * code of the program: CLI_OK, CLI_FAILED or CLI_USAGE.
 */

#include "err.h"

#define CLI_OK	   0
#define CLI_FAILED 1 /* a refused document, a process not as wanted */
#define CLI_USAGE  2 /* wrong command line */

int cli_check(int argc, char **argv);
int cli_diff(int argc, char **argv);
int cli_status(int argc, char **argv);
int cli_explain(int argc, char **argv);
int cli_watch(int argc, char **argv);
int cli_audit(int argc, char **argv);
int cli_metrics(int argc, char **argv);
int cli_load(int argc, char **argv);

/* Prints "cherviltray COMMAND: ERROR" and returns the code for it. */
int cli_fail(const char *command, const err_t *err);

/* Prints a usage error that points at --help; returns CLI_USAGE. */
int cli_usage_error(const char *command, const char *what);

#endif
