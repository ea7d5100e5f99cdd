/*
 * test_cases - each named failure, with every mechanism in place
 */

#include "cases.h"
#include "runner.h"

#define CASES_MAX 64

static const named_case_t *all[CASES_MAX];
static TTest tests[CASES_MAX];
static int count;

static void play(int i)
{
	static case_run_t run;
	bool holds = case_play(all[i], 0, &run);

	ck_assert_msg(holds, "%s: %s", all[i]->name, run.why);
}

static void add(const named_case_t *c, void *ctx)
{
	if (count == CASES_MAX)
		return;
	all[count] = c;
	tests[count] = (TTest){ c->name, play, __FILE__, __LINE__ };
	tcase_add_loop_test((TCase *)ctx, &tests[count], count, count + 1);
	count++;
}

int main(void)
{
	Suite *s = suite_create("cases");
	TCase *tc = tcase_create("named");

	cases_each(add, tc);
	tcase_set_timeout(tc, 120);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
