/*
 * test_cases - runs each failure case with all mechanisms enabled
 */

#include "cases.h"
#include "runner.h"

#define CASES_MAX 64

static const case_def_t *case_defs[CASES_MAX];
static TTest tests[CASES_MAX];
static int ncases;

static void run_case(int i)
{
	static case_run_t run;
	bool passed = case_execute(case_defs[i], 0, &run);

	ck_assert_msg(passed, "%s: %s", case_defs[i]->name, run.failure);
}

static void add_case(const case_def_t *c, void *ctx)
{
	if (ncases == CASES_MAX)
		return;
	case_defs[ncases] = c;
	tests[ncases] = (TTest){ c->name, run_case, __FILE__, __LINE__ };
	tcase_add_loop_test((TCase *)ctx, &tests[ncases], ncases, ncases + 1);
	ncases++;
}

int main(void)
{
	Suite *s = suite_create("cases");
	TCase *tc = tcase_create("named");

	cases_for_each(add_case, tc);
	tcase_set_timeout(tc, 120);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
