#include "cli.h"
#include "config.h"
#include <stdio.h>
#include <string.h>

int cli_check(int argc, char **argv)
{
	config_t *config;
	size_t targets = 0;
	err_t err;

	if (argc == 2 && !strcmp(argv[1], "--help")) {
		printf("Usage: cherviltray check FILE\n\nChecks a "
		       "configuration document as a whole.\n");
		return CLI_OK;
	}
	if (argc != 2 || argv[1][0] == '-')
		return cli_usage("check", "one FILE is needed");
	if (config_load(argv[1], &config, &err) < 0)
		return cli_fail("check", &err);
	for (size_t i = 0; i < config->nservices; i++)
		targets += config->services[i].ntargets;
	printf("%s: version %llu, %zu services, %zu targets, digest %016llx\n",
	       argv[1], (unsigned long long)config->version, config->nservices,
	       targets, (unsigned long long)config->digest);
	config_unref(config);
	return CLI_OK;
}
