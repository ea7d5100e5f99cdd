/*
 * test_relay_load - load patterns, replayed with seeds, and what callers get
 *
 * Each pattern runs the same arrivals through the naive choice (balancers
 * that know no load, agents that take all) and through ours. The bounds are
 * shares of the requests answered within their objective.
 */

#include "relay_sim.h"
#include "runner.h"
#include <stdio.h>
#include <string.h>

#define SEEDS 3
/* Where the difference to be seen is small: a slow server keeps its flows. */
#define MANY_SEEDS 12

typedef void (*pattern_fn)(relay_world_t *w);

static rw_options_t seven(rw_choice_t choice, uint64_t seed)
{
	rw_options_t o = { .balancers = 6,
			   .targets = 7,
			   .zones = 3,
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

/* Share of the requests that were answered in time, over some seeds. */
static double in_aim(rw_options_t (*make)(rw_choice_t, uint64_t),
		     rw_choice_t choice, pattern_fn pattern, uint64_t seeds,
		     rw_result_t *sum)
{
	memset(sum, 0, sizeof(*sum));
	for (uint64_t seed = 1; seed <= seeds; seed++) {
		rw_options_t o = make(choice, seed);
		rw_result_t r = play(&o, pattern);

		sum->asked += r.asked;
		sum->in_aim += r.in_aim;
		sum->late += r.late;
		sum->failed += r.failed;
		sum->urgent += r.urgent;
		sum->urgent_in_aim += r.urgent_in_aim;
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

/* Three times the usual: more than all servers can do. */
static void great_burst(relay_world_t *w)
{
	rw_rate(w, 3);
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

/* All callers come through one zone of three, and back again. */
static void callers_move(relay_world_t *w)
{
	rw_shift(w, 1);
	rw_pass(w, 4000);
	rw_shift(w, -1);
	rw_pass(w, 4000);
}

/* Five of seven are lost, so that all long flows come to be at two, and come
 * back: the flows stay, and what is new goes elsewhere. */
static void concentrated(relay_world_t *w)
{
	for (unsigned i = 2; i < 7; i++)
		rw_crash(w, i);
	rw_pass(w, 4000);
	for (unsigned i = 2; i < 7; i++)
		rw_start(w, i);
	rw_pass(w, 8000);
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
	double oracle; /* at least this part of what an oracle serves in time */
	double urgent; /* share of the urgent ones in time */
	uint64_t seeds;
} patterns[] = {
	{ "quiet", quiet, 0.99, 0.0, 0, 0.95, 0.99, SEEDS },
	{ "burst", burst, 0.95, 0.02, 0.01, 0.95, 0.95, SEEDS },
	{ "great_burst", great_burst, 0.90, 0.02, 0.1, 0.95, 0.95, SEEDS },
	{ "slow_minority", slow_minority, 0.93, 0.01, 0.01, 0.99, 0.98,
	  MANY_SEEDS },
	{ "failing_servers", failing_servers, 0.95, 0.05, 0.01, 0.95, 0.95,
	  SEEDS },
	{ "partly_failing", partly_failing, 0.95, 0.0, 0.01, 0.95, 0.95,
	  SEEDS },
	{ "release", release, 0.95, 0.0, 0.01, 0.95, 0.95, SEEDS },
	{ "two_lost", two_lost, 0.93, 0.02, 0.01, 0.95, 0.95, SEEDS },
	{ "mass_restart", mass_restart, 0.80, 0.02, 0.12, 0.95, 0.8, SEEDS },
	{ "callers_move", callers_move, 0.95, 0.0, 0.01, 0.95, 0.95, SEEDS },
	{ "concentrated", concentrated, 0.70, 0.05, 0.25, 0.95, 0.9, SEEDS },
	{ "processes_restart", processes_restart, 0.95, 0.0, 0.01, 0.95, 0.95,
	  SEEDS },
	{ "rotation_changes", rotation_changes, 0.97, 0.0, 0.01, 0.95, 0.95,
	  SEEDS },
};

static void print_result(const char *who, const rw_result_t *r, double in_aim)
{
	printf("    %-7s %.4f in time (urgent %.4f), %u late, %u failed of "
	       "%u\n",
	       who, in_aim, (double)r->urgent_in_aim / r->urgent, r->late,
	       r->failed, r->asked);
}

START_TEST(pattern_is_served)
{
	const struct pattern *p = &patterns[_i];
	uint64_t n = p->seeds;
	rw_result_t ours, naive, best;
	double a = in_aim(seven, WORLD_OURS, p->run, n, &ours);
	double b = in_aim(seven, WORLD_NAIVE, p->run, n, &naive);
	double c = in_aim(seven, WORLD_ORACLE, p->run, n, &best);

	printf("%s\n", p->name);
	print_result("ours", &ours, a);
	print_result("naive", &naive, b);
	print_result("oracle", &best, c);
	fflush(stdout);
	ck_assert_uint_eq(ours.wrong_resets, 0);
	ck_assert_uint_eq(ours.doubled, 0);
	ck_assert_double_ge(a, p->ours);
	ck_assert_double_ge(a, b + p->better);
	ck_assert_double_ge(a, c * p->oracle);
	ck_assert_double_le((double)ours.failed / ours.asked, p->failed);
	ck_assert_double_ge((double)ours.urgent_in_aim / ours.urgent,
			    p->urgent);
}
END_TEST

/* Sizes of services and of requests, at the load of `seven`. */
static const struct size {
	unsigned targets;
	unsigned slots;
	double work_ms;
	unsigned zones;
	unsigned aim_ms;
} sizes[] = {
	{ 12, 1, 5, 1, 50 },   { 12, 1, 500, 2, 2500 }, { 7, 2, 15, 4, 100 },
	{ 9, 4, 50, 6, 300 },  { 5, 8, 200, 3, 1000 },	{ 30, 3, 40, 4, 250 },
	{ 3, 5, 100, 3, 500 },
};

static const struct size *size_played;

static rw_options_t sized(rw_choice_t choice, uint64_t seed)
{
	const struct size *z = size_played;
	/* Slots over time, at 45 % of which the servers are busy. */
	double rate = 0.45 * z->targets * z->slots * 1000 / z->work_ms;
	rw_options_t o = seven(choice, seed);

	o.balancers = 2 * z->zones;
	o.targets = z->targets;
	o.slots = z->slots;
	o.work_ms = z->work_ms;
	o.zones = z->zones;
	o.slow_speed = 1;
	o.aim_ms = z->aim_ms;
	o.deadline_ms = 10 * z->aim_ms;
	o.fresh_rate = rate * 0.25;
	o.user_rate = 1000 / (20 * z->work_ms);
	if (o.user_rate > 1)
		o.user_rate = 1;
	o.users = (unsigned)(rate * 0.75 / o.user_rate);
	return o;
}

static void one_lost_in_a_burst(relay_world_t *w)
{
	rw_rate(w, 1.5);
	rw_pass(w, 1000);
	rw_crash(w, 1);
	rw_pass(w, 3000);
	rw_rate(w, 1);
	rw_start(w, 1);
	rw_pass(w, 3000);
}

/* Nothing is made for one size: quiet, then a loss during a burst. */
START_TEST(size_is_served)
{
	static const pattern_fn runs[] = { quiet, one_lost_in_a_burst };
	const struct size *z = &sizes[_i];

	size_played = z;
	printf("%u targets, %u slots, %.0f ms, %u zones\n", z->targets,
	       z->slots, z->work_ms, z->zones);
	for (unsigned i = 0; i < 2; i++) {
		rw_result_t ours, best;
		double a = in_aim(sized, WORLD_OURS, runs[i], SEEDS, &ours);
		double c = in_aim(sized, WORLD_ORACLE, runs[i], SEEDS, &best);

		print_result("ours", &ours, a);
		print_result("oracle", &best, c);
		fflush(stdout);
		ck_assert_uint_eq(ours.wrong_resets, 0);
		ck_assert_uint_eq(ours.doubled, 0);
		ck_assert_double_ge(a, c * 0.95);
	}
}
END_TEST

/* Fresh requests take an eighth of the time of those on long flows, which two
 * of six targets have most of. */
static rw_options_t mixed(rw_choice_t choice, uint64_t seed)
{
	rw_options_t o = seven(choice, seed);

	o.work_ms = 40;
	o.fresh_ms = 5;
	o.users = 120;
	o.fresh_rate = 350;
	o.aim_ms = 150;
	return o;
}

/* Long flows come to be at two targets; then all are there. */
static void long_flows_at_two(relay_world_t *w)
{
	concentrated(w);
	rw_count_anew(w);
	burst(w);
}

/* Short requests beside long ones are not taken for failures. */
START_TEST(short_requests_are_no_failures)
{
	static const pattern_fn runs[] = { quiet, burst, long_flows_at_two };

	for (unsigned i = 0; i < 3; i++) {
		rw_result_t ours, best;
		double a = in_aim(mixed, WORLD_OURS, runs[i], SEEDS, &ours);
		double c = in_aim(mixed, WORLD_ORACLE, runs[i], SEEDS, &best);

		print_result("ours", &ours, a);
		print_result("oracle", &best, c);
		fflush(stdout);
		ck_assert_double_ge(a, c * 0.95);
	}
}
END_TEST

int main(void)
{
	Suite *s = suite_create("relay_load");
	TCase *tc = tcase_create("patterns");

	tcase_set_timeout(tc, 120);
	tcase_add_loop_test(tc, pattern_is_served, 0,
			    sizeof(patterns) / sizeof(patterns[0]));
	tcase_add_test(tc, short_requests_are_no_failures);
	tcase_add_loop_test(tc, size_is_served, 0,
			    sizeof(sizes) / sizeof(sizes[0]));
	suite_add_tcase(s, tc);
	return run_suite(s);
}
