/*
 * cherviltray - the operators' command line
 */

#include "cli.h"
#include "version.h"
#include <stdio.h>
#include <string.h>

typedef struct command {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *help;
} command_t;

static const command_t commands[] = {
	{ "check", cli_check, "check a configuration document" },
	{ "diff", cli_diff, "print the changes between two documents" },
	{ "status", cli_status,
	  "print the configuration version of each process" },
	{ "watch", cli_watch, "print version changes as they happen" },
	{ "explain", cli_explain, "print which target a flow goes to" },
	{ "audit", cli_audit, "print the audit events of all processes" },
	{ "metrics", cli_metrics, "print the counters of all processes" },
	{ "load", cli_load, "send requests to a running system and report" },
};

static void print_help(void);

static void print_help(void)
{
	printf("Usage: cherviltray COMMAND [OPTION...]\n\nCommands:\n");
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++)
		printf("  %-10s%s\n", commands[i].name, commands[i].help);
	printf("\n`cherviltray COMMAND --help` prints the options of a "
	       "command.\n");
}

int cli_fail(const char *command, const err_t *err)
{
	char text[900];

	fprintf(stderr, "cherviltray %s: %s\n", command,
		err_format(err, text, sizeof(text)));
	return err->kind == ERR_USAGE ? CLI_USAGE : CLI_FAILED;
}

int cli_usage_error(const char *command, const char *what)
{
	fprintf(stderr, "cherviltray %s: usage: %s; see --help\n", command,
		what);
	return CLI_USAGE;
}

int main(int argc, char **argv)
{
	if (argc < 2) {
		print_help();
		return CLI_USAGE;
	}
	if (!strcmp(argv[1], "--help") || !strcmp(argv[1], "-h")) {
		print_help();
		return CLI_OK;
	}
	if (!strcmp(argv[1], "--version") || !strcmp(argv[1], "-V")) {
		printf("cherviltray %s\n", CHERVILTRAY_VERSION);
		return CLI_OK;
	}
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++)
		if (!strcmp(commands[i].name, argv[1]))
			return commands[i].run(argc - 1, argv + 1);
	return cli_usage_error(argv[1], "unknown command");
}
