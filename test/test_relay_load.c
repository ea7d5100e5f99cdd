/*
 * test_relay_load - load patterns, replayed with seeds, and what callers get
 *
 * Each pattern runs the same arrivals through the naive choice (balancers
 * that know no load, agents that take all) and through ours. The bounds are
 * shares of the requests answered within their objective.
 */

#include "relay_world.h"
#include "runner.h"
#include <stdio.h>
#include <string.h>

#define SEEDS 3

typedef void (*pattern_fn)(relay_world_t *w);

static rw_options_t seven(rw_choice_t choice, uint64_t seed)
{
	rw_options_t o = { .balancers = 6,
			   .targets = 7,
			   .slots = 2,
			   .queue = 8,
			   .work_ms = 16,
			   .slow_speed = 0.5,
			   .users = 290,
			   .user_rate = 1,
			   .fresh_rate = 85,
			   .aim_ms = 100,
			   .deadline_ms = 1500,
			   .choice = choice,
			   .seed = seed };

	return o;
}

static rw_result_t play(const rw_options_t *o, pattern_fn pattern)
{
	relay_world_t *w = rw_open(o);
	rw_result_t r;

	rw_pass(w, 4000);
	rw_count_anew(w);
	pattern(w);
	r = rw_result(w);
	rw_close(w);
	return r;
}

/* Share of the requests that were answered in time, over SEEDS. */
static double in_aim(rw_options_t (*make)(rw_choice_t, uint64_t),
		     rw_choice_t choice, pattern_fn pattern, rw_result_t *sum)
{
	memset(sum, 0, sizeof(*sum));
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		rw_options_t o = make(choice, seed);
		rw_result_t r = play(&o, pattern);

		sum->asked += r.asked;
		sum->in_aim += r.in_aim;
		sum->late += r.late;
		sum->failed += r.failed;
		sum->doubled += r.doubled;
		sum->wrong_resets += r.wrong_resets;
	}
	/* What is under way at the end counts for nothing. */
	return (double)sum->in_aim / (sum->in_aim + sum->late + sum->failed);
}

static void quiet(relay_world_t *w)
{
	rw_pass(w, 10000);
}

static void burst(relay_world_t *w)
{
	rw_rate(w, 1.7);
	rw_pass(w, 3000);
	rw_rate(w, 1);
	rw_pass(w, 3000);
}

static void slow_minority(relay_world_t *w)
{
	rw_slow(w, 3, 5);
	rw_pass(w, 6000);
	rw_slow(w, 3, 1);
	rw_pass(w, 2000);
}

/* Three of seven answer each request with an error, at once: they seem idle
 * and fast. */
static void failing_servers(relay_world_t *w)
{
	for (unsigned i = 1; i < 6; i += 2)
		rw_fail(w, i, 1);
	rw_pass(w, 6000);
	for (unsigned i = 1; i < 6; i += 2)
		rw_fail(w, i, 0);
	rw_pass(w, 3000);
}

/* Half of the requests at two servers. */
static void partly_failing(relay_world_t *w)
{
	rw_fail(w, 2, 0.5);
	rw_fail(w, 4, 0.5);
	rw_pass(w, 6000);
}

static void release(relay_world_t *w)
{
	for (unsigned i = 1; i < 4; i++) {
		rw_drain(w, i);
		rw_pass(w, 6000);
		rw_start(w, i);
		rw_pass(w, 1000);
	}
}

static void two_lost(relay_world_t *w)
{
	rw_crash(w, 2);
	rw_crash(w, 5);
	rw_pass(w, 8000);
}

/* All lose power; agents and servers come back, cold, within 300 ms. */
static void mass_restart(relay_world_t *w)
{
	for (unsigned i = 0; i < 7; i++)
		rw_crash(w, i);
	rw_pass(w, 900);
	for (unsigned i = 0; i < 6; i++)
		rw_restart_balancer(w, i);
	for (unsigned i = 0; i < 7; i++) {
		rw_restart_agent(w, i);
		rw_start(w, i);
		rw_pass(w, 40);
	}
	rw_pass(w, 6000);
}

static void processes_restart(relay_world_t *w)
{
	for (unsigned i = 0; i < 6; i++)
		rw_restart_balancer(w, i);
	for (unsigned i = 0; i < 7; i++)
		rw_restart_agent(w, i);
	rw_pass(w, 4000);
}

static void rotation_changes(relay_world_t *w)
{
	for (unsigned i = 0; i < 6; i++) {
		rw_rotation(w, i, false);
		rw_pass(w, 800);
		rw_restart_balancer(w, i);
		rw_rotation(w, i, true);
		rw_pass(w, 800);
	}
}

static const struct pattern {
	const char *name;
	pattern_fn run;
	double ours;   /* at least this share in time */
	double better; /* and so much more than the naive choice */
	double failed; /* at most this share not at all */
} patterns[] = {
	{ "quiet", quiet, 0.99, 0.0, 0 },
	{ "burst", burst, 0.95, 0.02, 0.01 },
	{ "slow_minority", slow_minority, 0.93, 0.01, 0.01 },
	{ "failing_servers", failing_servers, 0.95, 0.05, 0.01 },
	{ "partly_failing", partly_failing, 0.95, 0.0, 0.01 },
	{ "release", release, 0.95, 0.0, 0.01 },
	{ "two_lost", two_lost, 0.93, 0.02, 0.01 },
	{ "mass_restart", mass_restart, 0.80, 0.02, 0.12 },
	{ "processes_restart", processes_restart, 0.95, 0.0, 0.01 },
	{ "rotation_changes", rotation_changes, 0.97, 0.0, 0.01 },
};

START_TEST(pattern_is_served)
{
	const struct pattern *p = &patterns[_i];
	rw_result_t ours, naive;
	double a = in_aim(seven, WORLD_OURS, p->run, &ours);
	double b = in_aim(seven, WORLD_NAIVE, p->run, &naive);

	printf("%-18s ours %.4f in time, %u late, %u failed of %u; "
	       "naive %.4f, %u late, %u failed\n",
	       p->name, a, ours.late, ours.failed, ours.asked, b, naive.late,
	       naive.failed);
	fflush(stdout);
	ck_assert_uint_eq(ours.wrong_resets, 0);
	ck_assert_uint_eq(ours.doubled, 0);
	ck_assert_double_ge(a, p->ours);
	ck_assert_double_ge(a, b + p->better);
	ck_assert_double_le((double)ours.failed / ours.asked, p->failed);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("relay_load");
	TCase *tc = tcase_create("patterns");

	tcase_set_timeout(tc, 120);
	tcase_add_loop_test(tc, pattern_is_served, 0,
			    sizeof(patterns) / sizeof(patterns[0]));
	suite_add_tcase(s, tc);
	return run_suite(s);
}
