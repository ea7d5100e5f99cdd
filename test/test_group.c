/*
 * test_group - members of a group: load reports, gossip, incarnations
 */

#include "../src/group.h"
#include "runner.h"
#include <string.h>

#define HOSTS		 3
#define RECENT_MS	 300 /* gossip about members heard since is ignored */
#define NOW		 10000
#define INCARNATION	 7 /* any incarnation */
#define NO_SEQ		 0
#define FIRST_MEMBER	 0 /* index of the member under test */
#define NEXT_INCARNATION (INCARNATION + 1)

static void setup_group(group_t *g)
{
	static target_t targets[HOSTS];
	service_t service = { .id = 1, .targets = targets, .ntargets = HOSTS };

	for (uint32_t i = 0; i < HOSTS; i++)
		targets[i] = (target_t){
			.id = i + 1, .weight = 1, .slots = 2, .connections = 100
		};
	memset(g, 0, sizeof(*g));
	ck_assert_int_eq(group_configure(g, &service, NOW), 0);
}

static load_msg_t make_load(member_state_t state, uint64_t incarnation,
			    uint64_t sequence)
{
	load_msg_t load;

	ct__load__init(&load);
	load.target = 1;
	load.state = state;
	load.incarnation = incarnation;
	load.sequence = sequence;
	return load;
}

typedef struct gossip_case {
	const char *why;
	uint64_t last_heard_ago_ms;
	uint64_t incarnation;
	member_state_t known;
	member_state_t reported;
	member_state_t result;
} gossip_case_t;

static const gossip_case_t gossip_cases[] = {
	{ "a suspicion is accepted", 1000, INCARNATION, MEMBER_ALIVE,
	  MEMBER_SUSPECT, MEMBER_SUSPECT },
	{ "a suspicion of a recently heard member is ignored", 100, INCARNATION,
	  MEMBER_ALIVE, MEMBER_SUSPECT, MEMBER_ALIVE },
	{ "a report of an earlier incarnation is ignored", 1000,
	  INCARNATION - 1, MEMBER_ALIVE, MEMBER_DEAD, MEMBER_ALIVE },
	{ "the same incarnation does not refute", 1000, INCARNATION,
	  MEMBER_SUSPECT, MEMBER_ALIVE, MEMBER_SUSPECT },
	{ "a higher incarnation refutes", 1000, NEXT_INCARNATION,
	  MEMBER_SUSPECT, MEMBER_ALIVE, MEMBER_ALIVE },
	{ "a higher incarnation refutes a death", 1000, NEXT_INCARNATION,
	  MEMBER_DEAD, MEMBER_ALIVE, MEMBER_ALIVE },
	{ "dead is worse than suspect", 1000, INCARNATION, MEMBER_SUSPECT,
	  MEMBER_DEAD, MEMBER_DEAD },
	{ "suspect is not worse than dead", 1000, INCARNATION, MEMBER_DEAD,
	  MEMBER_SUSPECT, MEMBER_DEAD },
	{ "a leaving member can become suspect", 1000, INCARNATION,
	  MEMBER_LEAVING, MEMBER_SUSPECT, MEMBER_SUSPECT },
	{ "a member that left is not reported dead", 1000, INCARNATION,
	  MEMBER_LEFT, MEMBER_DEAD, MEMBER_LEFT },
};

START_TEST(gossip_changes_state)
{
	const gossip_case_t *row = &gossip_cases[_i];
	load_msg_t reported =
		make_load(row->reported, row->incarnation, NO_SEQ);
	member_t *m;
	group_t g;

	setup_group(&g);
	m = &g.members[FIRST_MEMBER];
	m->state = row->known;
	m->incarnation = INCARNATION;
	m->last_heard_ms = NOW - row->last_heard_ago_ms;
	group_apply_gossip(&g, NOW, &reported, RECENT_MS);
	ck_assert_msg(m->state == row->result, "%s: %s", row->why,
		      member_state_name(m->state));
	group_clear(&g);
}
END_TEST

START_TEST(older_loads_are_ignored)
{
	load_msg_t newer = make_load(MEMBER_ALIVE, INCARNATION, 20);
	load_msg_t older = make_load(MEMBER_ALIVE, INCARNATION, 10);
	load_msg_t restarted = make_load(MEMBER_ALIVE, NEXT_INCARNATION, 5);
	member_t *m;
	group_t g;

	setup_group(&g);
	m = &g.members[FIRST_MEMBER];
	newer.work = 20;
	older.work = 10;
	restarted.work = 5;
	group_apply_load(&g, NOW, &newer, NULL);
	group_apply_gossip(&g, NOW, &older, RECENT_MS);
	ck_assert_double_eq(m->work, 20);
	ck_assert_ptr_null(
		group_apply_load(&g, NOW, &(load_msg_t){ .target = 9 }, NULL));
	group_apply_load(&g, NOW, &restarted, NULL);
	ck_assert_double_eq(m->work, 5);
	ck_assert_ptr_null(group_apply_load(&g, NOW, &newer, NULL));
	group_clear(&g);
}
END_TEST

START_TEST(placed_opens_count_until_a_load_is_received)
{
	load_msg_t load = make_load(MEMBER_ALIVE, INCARNATION, 1);
	member_t *m;
	group_t g;

	setup_group(&g);
	m = &g.members[FIRST_MEMBER];
	load.work = 4;
	group_apply_load(&g, NOW, &load, NULL);
	member_note_placed(m, NOW, 2);
	ck_assert_double_eq(member_utilisation(&g, m, NOW), 3);
	group_apply_load(&g, NOW, &load, NULL);
	ck_assert_double_eq(member_utilisation(&g, m, NOW), 2);
	group_clear(&g);
}
END_TEST

static const member_state_t states_without_opens[] = {
	MEMBER_SUSPECT, MEMBER_DEAD, MEMBER_LEAVING, MEMBER_LEFT
};

START_TEST(only_alive_members_take_opens)
{
	uint32_t order[HOSTS];
	group_t g;

	setup_group(&g);
	g.members[FIRST_MEMBER].state = states_without_opens[_i];
	ck_assert_uint_eq(group_rank(&g, NOW, 1, true, order, HOSTS),
			  HOSTS - 1);
	g.members[FIRST_MEMBER].state = MEMBER_ALIVE;
	g.members[FIRST_MEMBER].no_opens_until_ms = NOW + 1;
	ck_assert_uint_eq(group_rank(&g, NOW, 1, true, order, HOSTS),
			  HOSTS - 1);
	ck_assert_uint_eq(group_rank(&g, NOW, 1, false, order, HOSTS), HOSTS);
	group_clear(&g);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("group");
	TCase *tc = tcase_create("members");

	tcase_add_loop_test(tc, gossip_changes_state, 0,
			    sizeof(gossip_cases) / sizeof(gossip_cases[0]));
	tcase_add_test(tc, older_loads_are_ignored);
	tcase_add_test(tc, placed_opens_count_until_a_load_is_received);
	tcase_add_loop_test(tc, only_alive_members_take_opens, 0,
			    sizeof(states_without_opens) /
				    sizeof(states_without_opens[0]));
	suite_add_tcase(s, tc);
	return run_suite(s);
}
