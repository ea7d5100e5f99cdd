#include "cli_query.h"
#include "config.h"
#include <stdio.h>

/* Validates a document, and its version against that of --after. */
int cli_check(int argc, char **argv)
{
	char *after = NULL;
	GOptionEntry entries[] = {
		{ "after", 0, 0, G_OPTION_ARG_FILENAME, &after,
		  "Require a version higher than that of OLD", "OLD" },
		{ 0 },
	};
	config_t *config = NULL, *old = NULL;
	size_t targets = 0;
	int code;
	err_t err;

	if (cli_parse_options("check", "FILE",
			      "Validates a configuration document.", entries,
			      &argc, &argv, &code) < 0)
		return code;
	if (argc != 2) {
		g_free(after);
		return cli_usage_error("check", "exactly one FILE is needed");
	}
	code = CLI_FAILED;
	if (config_load(argv[1], &config, &err) < 0 ||
	    (after && config_load(after, &old, &err) < 0) ||
	    config_check_newer(old, config, argv[1], &err) < 0) {
		cli_fail("check", &err);
		goto out;
	}
	for (size_t i = 0; i < config->nservices; i++)
		targets += config->services[i].ntargets;
	printf("%s: version %llu, %zu services, %zu targets, digest %016llx\n",
	       argv[1], (unsigned long long)config->version, config->nservices,
	       targets, (unsigned long long)config->digest);
	code = CLI_OK;
out:
	config_unref(config);
	config_unref(old);
	g_free(after);
	return code;
}
