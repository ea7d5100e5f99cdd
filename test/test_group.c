/*
 * test_group - members as one process sees them: loads, rumours, incarnations
 */

#include "../src/group.h"
#include "runner.h"
#include <string.h>

#define HOSTS	3
#define LATELY	300
#define AT	10000
#define ONE	7 /* an incarnation */
#define NO_SEQ	0
#define FIRST	0 /* member */
#define REFUTED (ONE + 1)

static void setup_group(group_t *g)
{
	static target_t targets[HOSTS];
	service_t service = { .id = 1, .targets = targets, .ntargets = HOSTS };

	for (uint32_t i = 0; i < HOSTS; i++)
		targets[i] = (target_t){
			.id = i + 1, .weight = 1, .slots = 2, .connections = 100
		};
	memset(g, 0, sizeof(*g));
	ck_assert_int_eq(group_configure(g, &service, AT), 0);
}

static load_msg_t load_of(member_state_t state, uint64_t incarnation,
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

typedef struct rumour_row {
	const char *why;
	uint64_t heard_ago;
	uint64_t incarnation;
	member_state_t known;
	member_state_t told;
	member_state_t result;
} rumour_row_t;

static const rumour_row_t rumour_rows[] = {
	{ "a suspicion is believed", 1000, ONE, MEMBER_ALIVE, MEMBER_SUSPECT,
	  MEMBER_SUSPECT },
	{ "not of one just heard", 100, ONE, MEMBER_ALIVE, MEMBER_SUSPECT,
	  MEMBER_ALIVE },
	{ "not of an earlier life", 1000, ONE - 1, MEMBER_ALIVE, MEMBER_DEAD,
	  MEMBER_ALIVE },
	{ "the same life refutes nothing", 1000, ONE, MEMBER_SUSPECT,
	  MEMBER_ALIVE, MEMBER_SUSPECT },
	{ "a higher incarnation refutes", 1000, REFUTED, MEMBER_SUSPECT,
	  MEMBER_ALIVE, MEMBER_ALIVE },
	{ "also when dead", 1000, REFUTED, MEMBER_DEAD, MEMBER_ALIVE,
	  MEMBER_ALIVE },
	{ "dead is worse than suspected", 1000, ONE, MEMBER_SUSPECT,
	  MEMBER_DEAD, MEMBER_DEAD },
	{ "suspected is not worse than dead", 1000, ONE, MEMBER_DEAD,
	  MEMBER_SUSPECT, MEMBER_DEAD },
	{ "a leaving member can be suspected", 1000, ONE, MEMBER_LEAVING,
	  MEMBER_SUSPECT, MEMBER_SUSPECT },
	{ "one that left stays so", 1000, ONE, MEMBER_LEFT, MEMBER_DEAD,
	  MEMBER_LEFT },
};

START_TEST(rumours)
{
	const rumour_row_t *row = &rumour_rows[_i];
	load_msg_t told = load_of(row->told, row->incarnation, NO_SEQ);
	member_t *m;
	group_t g;

	setup_group(&g);
	m = &g.members[FIRST];
	m->state = row->known;
	m->incarnation = ONE;
	m->heard_ms = AT - row->heard_ago;
	group_rumour(&g, AT, &told, LATELY);
	ck_assert_msg(m->state == row->result, "%s: %s", row->why,
		      member_state_name(m->state));
	group_clear(&g);
}
END_TEST

START_TEST(older_loads_are_left)
{
	load_msg_t newer = load_of(MEMBER_ALIVE, ONE, 20);
	load_msg_t older = load_of(MEMBER_ALIVE, ONE, 10);
	load_msg_t restarted = load_of(MEMBER_ALIVE, REFUTED, 5);
	member_t *m;
	group_t g;

	setup_group(&g);
	m = &g.members[FIRST];
	newer.work = 20;
	older.work = 10;
	restarted.work = 5;
	group_load(&g, AT, &newer, NULL);
	group_rumour(&g, AT, &older, LATELY);
	ck_assert_double_eq(m->work, 20);
	ck_assert_ptr_null(
		group_load(&g, AT, &(load_msg_t){ .target = 9 }, NULL));
	group_load(&g, AT, &restarted, NULL);
	ck_assert_double_eq(m->work, 5);
	ck_assert_ptr_null(group_load(&g, AT, &newer, NULL));
	group_clear(&g);
}
END_TEST

START_TEST(opens_placed_count_until_a_load_is_heard)
{
	load_msg_t load = load_of(MEMBER_ALIVE, ONE, 1);
	member_t *m;
	group_t g;

	setup_group(&g);
	m = &g.members[FIRST];
	load.work = 4;
	group_load(&g, AT, &load, NULL);
	member_placed(m, AT, 2);
	ck_assert_double_eq(member_utilisation(&g, m, AT), 3);
	group_load(&g, AT, &load, NULL);
	ck_assert_double_eq(member_utilisation(&g, m, AT), 2);
	group_clear(&g);
}
END_TEST

static const member_state_t no_opens[] = { MEMBER_SUSPECT, MEMBER_DEAD,
					   MEMBER_LEAVING, MEMBER_LEFT };

START_TEST(only_the_living_take_opens)
{
	uint32_t order[HOSTS];
	group_t g;

	setup_group(&g);
	g.members[FIRST].state = no_opens[_i];
	ck_assert_uint_eq(group_rank(&g, AT, 1, true, order, HOSTS), HOSTS - 1);
	g.members[FIRST].state = MEMBER_ALIVE;
	g.members[FIRST].no_opens_until = AT + 1;
	ck_assert_uint_eq(group_rank(&g, AT, 1, true, order, HOSTS), HOSTS - 1);
	ck_assert_uint_eq(group_rank(&g, AT, 1, false, order, HOSTS), HOSTS);
	group_clear(&g);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("group");
	TCase *tc = tcase_create("members");

	tcase_add_loop_test(tc, rumours, 0,
			    sizeof(rumour_rows) / sizeof(rumour_rows[0]));
	tcase_add_test(tc, older_loads_are_left);
	tcase_add_test(tc, opens_placed_count_until_a_load_is_heard);
	tcase_add_loop_test(tc, only_the_living_take_opens, 0,
			    sizeof(no_opens) / sizeof(no_opens[0]));
	suite_add_tcase(s, tc);
	return run_suite(s);
}
