/*
 * test_mechanisms - each proof fails when its mechanism is switched off
 *
 * A case of test_cases that names a mechanism is played without it and must
 * not hold any more.
 */

#include "cases.h"
#include "runner.h"
#include <stdio.h>

#define CASES_MAX      64
#define NAME_BYTES_MAX 96

static const named_case_t *all[CASES_MAX];
static TTest tests[CASES_MAX];
static char names[CASES_MAX][NAME_BYTES_MAX];
static int count;

static void play(int i)
{
	static case_run_t run;
	bool holds = case_play(all[i], 1U << all[i]->proves, &run);

	ck_assert_msg(!holds, "%s holds without its mechanism", all[i]->name);
	printf("%s: without it, %s\n", names[i], run.why);
}

static void add(const named_case_t *c, void *ctx)
{
	if (c->proves == MECHANISMS || count == CASES_MAX)
		return;
	all[count] = c;
	snprintf(names[count], sizeof(names[count]), "without_%s", c->name);
	tests[count] = (TTest){ names[count], play, __FILE__, __LINE__ };
	tcase_add_loop_test((TCase *)ctx, &tests[count], count, count + 1);
	count++;
}

int main(void)
{
	Suite *s = suite_create("mechanisms");
	TCase *tc = tcase_create("switched_off");

	cases_each(add, tc);
	tcase_set_timeout(tc, 120);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
