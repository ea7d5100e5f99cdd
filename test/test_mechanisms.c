/*
 * test_mechanisms - runs failure cases with their mechanism disabled
 *
 * A case of test_cases that tests a mechanism must fail without it. A case
 * that passes does not depend on its mechanism, and so does not test it.
 */

#include "cases.h"
#include "runner.h"
#include <stdio.h>

#define CASES_MAX      64
#define CASE_NAME_SIZE 96

static const case_def_t *case_defs[CASES_MAX];
static TTest tests[CASES_MAX];
static char names[CASES_MAX][CASE_NAME_SIZE];
static int ncases;

static void run_case(int i)
{
	static case_run_t run;
	bool passed =
		case_execute(case_defs[i], 1U << case_defs[i]->mechanism, &run);

	ck_assert_msg(!passed, "%s passes with its mechanism disabled",
		      case_defs[i]->name);
	printf("%s failed as expected: %s\n", names[i], run.failure);
}

static void add_case(const case_def_t *c, void *ctx)
{
	if (c->mechanism == MECHANISMS || ncases == CASES_MAX)
		return;
	case_defs[ncases] = c;
	snprintf(names[ncases], sizeof(names[ncases]), "without_%s", c->name);
	tests[ncases] = (TTest){ names[ncases], run_case, __FILE__, __LINE__ };
	tcase_add_loop_test((TCase *)ctx, &tests[ncases], ncases, ncases + 1);
	ncases++;
}

int main(void)
{
	Suite *s = suite_create("mechanisms");
	TCase *tc = tcase_create("switched_off");

	cases_for_each(add_case, tc);
	tcase_set_timeout(tc, 120);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
