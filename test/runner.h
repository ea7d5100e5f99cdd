#ifndef RUNNER_H
#define RUNNER_H

/*
 * runner - runs the suite of a test program
 *
 * The environment variable CK_VERBOSITY sets the amount of output.
 */

#include <check.h>
#include <stdlib.h>

static inline int run_suite(Suite *suite)
{
	SRunner *runner = srunner_create(suite);
	int failed;

	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

#endif
