/*
 * test_membership - suspicion, death, refutation, restart and leaving in a
 * group of seven, with opens all the time
 */

#include "runner.h"
#include "../bench/world.h"
#include <stdio.h>

#define MEMBERS	   7
#define OPENS_MS   20	/* between two opens */
#define PAUSE_MS   2000 /* of a process */
#define STOP_OPENS 3000 /* ms until a dead host gets no opens */
#define FORGET_MS  8000 /* until all believe a silent member dead */
#define LOSS	   0.05
#define BALANCERS  3
#define VICTIM	   2

static world_t *begin(double loss, uint64_t seed)
{
	world_options_t options = { .balancers = BALANCERS,
				    .seed = seed,
				    .delay_ms = 1,
				    .jitter_ms = 2,
				    .loss = loss };
	char *text;
	world_t *w;

	ck_assert(
		g_file_get_contents("examples/agency.toml", &text, NULL, NULL));
	options.config_text = text;
	w = world_new(&options);
	g_free(text);
	return w;
}

/* Opens short requests for so long; returns the number of the first. */
static size_t drive(world_t *w, unsigned ms)
{
	app_request_t get = { .kind = APP_GET, .bytes = 100, .weight = 1 };
	size_t first = world_requests(w);

	for (unsigned t = 0; t < ms; t += OPENS_MS) {
		get.id = world_requests(w);
		world_request(w, "spot", "feed", &get);
		world_run(w, OPENS_MS);
	}
	return first;
}

static uint64_t sum(world_t *w, counter_t counter)
{
	uint64_t n = 0;

	for (unsigned i = 0; i < MEMBERS; i++)
		if (world_agent(w, i))
			n += agent_counters(world_agent(w, i))->values[counter];
	return n;
}

/* Members that believe so of the victim. */
static unsigned believers(world_t *w, member_state_t state)
{
	unsigned n = 0;

	for (unsigned i = 0; i < MEMBERS; i++) {
		const group_t *g;

		if (i == VICTIM)
			continue;
		g = agent_group(world_agent(w, i));
		n += g->members[VICTIM].state == state;
	}
	return n;
}

static size_t undone(world_t *w, size_t first)
{
	size_t n = 0;

	for (size_t i = first; i < world_requests(w); i++)
		n += !world_result(w, i)->ended ||
		     world_result(w, i)->outcome != OUTCOME_DONE;
	return n;
}

START_TEST(loss_and_pauses_kill_nobody)
{
	world_t *w = begin(LOSS, (uint64_t)_i + 1);

	drive(w, 3000);
	for (unsigned turn = 0; turn < 2 * MEMBERS; turn++) {
		world_freeze(w, PLACE_AGENT, turn % MEMBERS);
		drive(w, PAUSE_MS);
		world_thaw(w, PLACE_AGENT, turn % MEMBERS);
		drive(w, 3000);
	}
	printf("seed %d: %llu suspicions, %llu refutations, %llu deaths\n",
	       _i + 1, (unsigned long long)sum(w, COUNTER_SUSPICIONS),
	       (unsigned long long)sum(w, COUNTER_REFUTATIONS),
	       (unsigned long long)sum(w, COUNTER_MEMBERS_DEAD));
	ck_assert_uint_eq(sum(w, COUNTER_MEMBERS_DEAD), 0);
	ck_assert_uint_eq(believers(w, MEMBER_ALIVE), MEMBERS - 1);
	world_free(w);
}
END_TEST

START_TEST(a_dead_host_gets_no_opens_and_loses_none)
{
	world_t *w = begin(0, (uint64_t)_i + 1);
	uint64_t killed;
	size_t first;

	drive(w, 5000);
	ck_assert(world_settle(w, 10000));
	killed = world_now(w);
	world_kill(w, PLACE_AGENT, VICTIM);
	world_kill(w, PLACE_SERVER, VICTIM);
	first = drive(w, 30000);
	ck_assert(world_settle(w, 30000));
	printf("seed %d: the last open went to the dead host after %lld ms\n",
	       _i + 1, (long long)(world_last_open(w, VICTIM) - killed));
	ck_assert_uint_le(world_last_open(w, VICTIM), killed + STOP_OPENS);
	ck_assert_uint_eq(undone(w, first), 0);
	ck_assert_uint_eq(believers(w, MEMBER_DEAD), MEMBERS - 1);
	world_free(w);
}
END_TEST

START_TEST(a_paused_member_refutes)
{
	world_t *w = begin(0, 5);
	uint64_t woken;

	drive(w, 3000);
	world_freeze(w, PLACE_AGENT, VICTIM);
	drive(w, PAUSE_MS);
	ck_assert_uint_ge(believers(w, MEMBER_SUSPECT), MEMBERS - 2);
	world_thaw(w, PLACE_AGENT, VICTIM);
	woken = world_now(w);
	drive(w, 5000);
	ck_assert_uint_ge(sum(w, COUNTER_REFUTATIONS), 1);
	ck_assert_uint_eq(believers(w, MEMBER_ALIVE), MEMBERS - 1);
	ck_assert_uint_gt(world_last_open(w, VICTIM), woken);
	ck_assert_uint_eq(sum(w, COUNTER_MEMBERS_DEAD), 0);
	world_free(w);
}
END_TEST

START_TEST(a_restarted_member_is_alive_again)
{
	world_t *w = begin(0, 6);
	uint64_t started;

	drive(w, 3000);
	world_kill(w, PLACE_AGENT, VICTIM);
	drive(w, FORGET_MS);
	ck_assert_uint_eq(believers(w, MEMBER_DEAD), MEMBERS - 1);
	world_restart(w, PLACE_AGENT, VICTIM);
	started = world_now(w);
	drive(w, 3000);
	ck_assert_uint_eq(believers(w, MEMBER_ALIVE), MEMBERS - 1);
	drive(w, 10000);
	ck_assert_uint_gt(world_last_open(w, VICTIM), started);
	world_free(w);
}
END_TEST

START_TEST(a_leaving_member_takes_nothing)
{
	world_t *w = begin(LOSS, 7);
	counters_t *c;
	uint64_t accepted;

	drive(w, 3000);
	c = agent_counters(world_agent(w, VICTIM));
	world_leave(w, VICTIM);
	accepted = c->values[COUNTER_OPENS_ACCEPTED];
	drive(w, 5000);
	ck_assert_uint_eq(c->values[COUNTER_OPENS_ACCEPTED], accepted);
	ck_assert_uint_eq(believers(w, MEMBER_LEAVING), MEMBERS - 1);
	world_free(w);
}
END_TEST

/* A member that only one other cannot reach is not believed dead. */
START_TEST(a_broken_path_between_two_kills_nobody)
{
	world_t *w = begin(0, 8);
	place_t one = { PLACE_AGENT, VICTIM };
	place_t other = { PLACE_AGENT, VICTIM + 1 };

	drive(w, 3000);
	world_cut(w, one, other);
	if (_i)
		world_cut(w, other, one);
	drive(w, 20000);
	ck_assert_uint_eq(sum(w, COUNTER_MEMBERS_DEAD), 0);
	world_free(w);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("membership");
	TCase *tc = tcase_create("group");

	tcase_set_timeout(tc, 120);
	tcase_add_loop_test(tc, loss_and_pauses_kill_nobody, 0, 3);
	tcase_add_loop_test(tc, a_dead_host_gets_no_opens_and_loses_none, 0, 3);
	tcase_add_test(tc, a_paused_member_refutes);
	tcase_add_test(tc, a_restarted_member_is_alive_again);
	tcase_add_test(tc, a_leaving_member_takes_nothing);
	tcase_add_loop_test(tc, a_broken_path_between_two_kills_nobody, 0, 2);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
