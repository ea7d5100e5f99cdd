#include "cli_query.h"
#include <stdio.h>
#include <string.h>

/* Prints each process's answer to `explain` for one flow. */
int cli_explain(int argc, char **argv)
{
	settings_t settings;
	unsigned nfailed;
	GArray *answers;
	endpoint_t ep;
	char *flow;
	int code;

	if (cli_parse_options_settings(
		    "explain", "SRC:PORT DST:PORT tcp|udp",
		    "Prints which target a flow goes to, and why: each "
		    "balancer's ranking,\nand whether each agent holds the "
		    "flow.",
		    NULL, &argc, &argv, &settings, &code) < 0)
		return code;
	if (argc != 4 || endpoint_parse(argv[1], &ep) < 0 ||
	    endpoint_parse(argv[2], &ep) < 0 ||
	    (strcmp(argv[3], "tcp") != 0 && strcmp(argv[3], "udp") != 0)) {
		settings_clear(&settings);
		return cli_usage_error("explain",
				       "SRC:PORT DST:PORT tcp|udp is needed");
	}
	flow = g_strdup_printf("%s %s %s", argv[1], argv[2], argv[3]);
	answers = cli_query_all(&settings, "explain", flow);
	for (guint i = 0; i < answers->len; i++) {
		const cli_answer_t *a =
			&g_array_index(answers, cli_answer_t, i);
		char *name = cli_answer_name(a);

		if (a->ok)
			printf("%s %s\n", name, a->text);
		g_free(name);
	}
	nfailed = cli_print_failed("explain", answers);
	cli_answers_free(answers);
	settings_clear(&settings);
	g_free(flow);
	return nfailed ? CLI_FAILED : CLI_OK;
}
