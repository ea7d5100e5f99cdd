/*
 * cherviltray-relay - daemons for platforms whose packets are relayed
 *
 * Both daemons are in one program, selected by its first argument: a host that
 * runs both keeps one copy of the code in memory.
 */

#include "relay_mechanism.h"
#include "relay_process.h"
#include "version.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const relay_daemon_t *const daemons[] = {
	&relay_balancer_daemon,
	&relay_agent_daemon,
};

static int usage(void)
{
	fprintf(stderr,
		"usage: cherviltray-relay balancer|agent [SETTINGS]\n"
		"       cherviltray-relay check balancer|agent SETTINGS\n"
		"       cherviltray-relay --version\n"
		"SETTINGS defaults to the file in the environment variable "
		"%s.\n",
		relay_platform.settings_variable);
	return 2;
}

static const relay_daemon_t *find_daemon(const char *name)
{
	for (size_t i = 0; i < sizeof(daemons) / sizeof(daemons[0]); i++)
		if (!strcmp(daemons[i]->name, name))
			return daemons[i];
	return NULL;
}

/* Checks a settings file as the daemon would at its start; an unknown key,
 * which the daemon passes over, is an error here. */
static int check_settings(const relay_daemon_t *daemon, const char *file)
{
	relay_settings_t settings;
	char text[900];
	err_t err;

	if (relay_settings_check(file, daemon->role, &settings, &err) < 0) {
		fprintf(stderr, "%s\n", err_format(&err, text, sizeof(text)));
		return 1;
	}
	printf("%s: settings are valid for %s \"%s\"\n", file, daemon->name,
	       settings.name);
	return 0;
}

int main(int argc, char **argv)
{
	const relay_daemon_t *daemon;
	const char *file;

	relay_mechanisms_read_environment();
	if (argc == 2 && !strcmp(argv[1], "--version")) {
		printf("cherviltray-relay %s\n", CHERVILTRAY_VERSION);
		return 0;
	}
	if (argc == 4 && !strcmp(argv[1], "check")) {
		daemon = find_daemon(argv[2]);
		return daemon ? check_settings(daemon, argv[3]) : usage();
	}
	if (argc != 2 && argc != 3)
		return usage();
	daemon = find_daemon(argv[1]);
	file = argc == 3 ? argv[2] : getenv(relay_platform.settings_variable);
	if (!daemon || !file)
		return usage();
	return relay_process_run(daemon, file);
}
