/*
 * test_rank - weighted rendezvous hashing
 *
 * Compares rank.c with a direct implementation of its definition, checks the
 * shares of flows by weight, and that a change of one member moves no other
 * flows.
 */

#include "../src/rank.h"
#include "runner.h"
#include <string.h>

#define SEED	    20261203
#define MEMBERS_MAX 1200
#define DRAWS	    100000
#define TOLERANCE   0.03 /* of all draws */

static uint64_t state = SEED;

static uint64_t next_random(void)
{
	state = state * 6364136223846793005ULL + 1442695040888963407ULL;
	return state ^ (state >> 29);
}

/* The definition: repeatedly takes the member with the highest score and, of
 * equal scores, the lowest id. */
static size_t reference_best(uint64_t hash, const rank_member_t *m, size_t n,
			     uint32_t *order, size_t want)
{
	static char taken[MEMBERS_MAX];
	size_t kept;

	memset(taken, 0, sizeof(taken));
	for (kept = 0; kept < want && kept < n; kept++) {
		size_t best = n;

		for (size_t i = 0; i < n; i++) {
			double a = rank_score(hash, &m[i]);
			double b = best < n ? rank_score(hash, &m[best]) : -1;

			if (taken[i])
				continue;
			if (a > b || (a == b && m[i].id < m[best].id))
				best = i;
		}
		taken[best] = 1;
		order[kept] = (uint32_t)best;
	}
	return kept;
}

static void fill(rank_member_t *m, size_t n, int kind)
{
	for (size_t i = 0; i < n; i++) {
		m[i].id = (uint32_t)next_random();
		m[i].weight = (double)(next_random() % 10000) / 100;
		if (kind == 1)
			m[i].weight = 1;
		if (kind == 2 && next_random() % 3 == 0)
			m[i].weight = 0;
		if (kind == 3) /* ties: the same id and weight */
			m[i].id = (uint32_t)(next_random() % 4);
	}
}

START_TEST(ranking_matches_reference)
{
	static const struct {
		size_t n, want;
		int rounds;
	} sizes[] = {
		{ 0, 3, 1 },	 { 1, 3, 50 },	  { 7, 1, 800 },
		{ 7, 3, 800 },	 { 11, 11, 200 }, { 64, 5, 100 },
		{ 65, 65, 10 },	 { 100, 16, 20 }, { 100, 17, 20 },
		{ 1000, 3, 20 }, { 1000, 0, 5 },
	};
	static rank_member_t m[MEMBERS_MAX];
	uint32_t actual[MEMBERS_MAX], reference[MEMBERS_MAX];

	for (size_t s = 0; s < sizeof(sizes) / sizeof(*sizes); s++)
		for (int r = 0; r < sizes[s].rounds; r++) {
			uint64_t hash = next_random();
			size_t n;

			fill(m, sizes[s].n, (int)(r % 4));
			n = rank_best(hash, m, sizes[s].n, actual,
				      sizes[s].want);
			ck_assert_uint_eq(n, reference_best(hash, m, sizes[s].n,
							    reference,
							    sizes[s].want));
			for (size_t i = 0; i < n; i++)
				ck_assert_msg(
					m[actual[i]].id == m[reference[i]].id &&
						m[actual[i]].weight ==
							m[reference[i]].weight,
					"size %zu round %d rank %zu: member "
					"%u, expected %u",
					sizes[s].n, r, i, actual[i],
					reference[i]);
		}
}
END_TEST

static int accept_even(const void *ctx, uint32_t position)
{
	return *(const uint32_t *)ctx == 0 || position % 2 == 0;
}

/* Filtering gives the same ranking as a list of the accepted members alone. */
START_TEST(rejected_members_do_not_affect_ranking)
{
	static const size_t wants[] = { 1, 3, 16, 40, 100 };
	static rank_member_t m[100], accepted[50];
	uint32_t a[100], b[100], even_only = 1;

	for (int r = 0; r < 400; r++) {
		uint64_t hash = next_random();
		size_t want = wants[r % 5];
		size_t n;

		fill(m, 100, 0);
		for (int i = 0; i < 50; i++)
			accepted[i] = m[2 * i];
		n = rank_best_filtered(hash, m, 100, a, want, accept_even,
				       &even_only);
		ck_assert_uint_eq(n, rank_best(hash, accepted, 50, b, want));
		for (size_t i = 0; i < n; i++)
			ck_assert_uint_eq(a[i], 2 * b[i]);
	}
}
END_TEST

START_TEST(shares_follow_weights)
{
	static const double weights[] = { 1, 2, 4, 0.5, 1, 0, 3 };
	enum { N = sizeof(weights) / sizeof(*weights) };
	rank_member_t m[N];
	unsigned wins[N] = { 0 };
	uint32_t first;
	double sum = 0;

	for (uint32_t i = 0; i < N; i++) {
		m[i] = (rank_member_t){ i * 7919 + 1, weights[i] };
		sum += weights[i];
	}
	for (int d = 0; d < DRAWS; d++) {
		ck_assert_uint_eq(rank_best(next_random(), m, N, &first, 1), 1);
		wins[first]++;
	}
	for (int i = 0; i < N; i++)
		ck_assert_double_eq_tol(wins[i] / (double)DRAWS,
					weights[i] / sum, TOLERANCE);
	ck_assert_uint_eq(wins[5], 0);
}
END_TEST

/* Only flows that the changed member gains or loses may move. */
START_TEST(a_change_of_one_member_moves_only_its_flows)
{
	static const struct {
		double before, after;
	} changes[] = { { 1, 0 }, { 0, 1 }, { 1, 2 }, { 2, 0.5 } };
	rank_member_t m[11];
	uint32_t old_best, new_best;

	for (size_t c = 0; c < sizeof(changes) / sizeof(*changes); c++)
		for (int d = 0; d < DRAWS / 10; d++) {
			uint64_t hash = next_random();

			for (uint32_t i = 0; i < 11; i++)
				m[i] = (rank_member_t){ i + 1, 1 };
			m[4].weight = changes[c].before;
			rank_best(hash, m, 11, &old_best, 1);
			m[4].weight = changes[c].after;
			rank_best(hash, m, 11, &new_best, 1);
			if (old_best != new_best)
				ck_assert(old_best == 4 || new_best == 4);
			if (changes[c].after > changes[c].before)
				ck_assert(old_best != 4 || new_best == 4);
		}
}
END_TEST

/* A member's position in the list has no influence. */
START_TEST(ranking_is_independent_of_member_order)
{
	rank_member_t m[20], reversed[20];
	uint32_t a[5], b[5];

	for (int d = 0; d < 2000; d++) {
		uint64_t hash = next_random();

		fill(m, 20, 0);
		for (int i = 0; i < 20; i++)
			reversed[i] = m[19 - i];
		rank_best(hash, m, 20, a, 5);
		rank_best(hash, reversed, 20, b, 5);
		for (int i = 0; i < 5; i++)
			ck_assert_uint_eq(m[a[i]].id, reversed[b[i]].id);
	}
}
END_TEST

static uint64_t invert_xorshift(uint64_t x, int by)
{
	uint64_t y = x;

	for (int i = 0; i < 64 / by; i++)
		y = x ^ (y >> by);
	return y;
}

static uint64_t modular_inverse(uint64_t odd)
{
	uint64_t x = odd;

	for (int i = 0; i < 6; i++)
		x *= 2 - odd * x;
	return x;
}

/* Inverts the hash, so that the member with id 1 gets the given random
 * number. */
static uint64_t hash_for_draw(uint64_t draw)
{
	uint64_t x = invert_xorshift(draw, 31);

	x = invert_xorshift(x * modular_inverse(0x94d049bb133111ebULL), 27);
	x = invert_xorshift(x * modular_inverse(0xbf58476d1ce4e5b9ULL), 30);
	return (x - 0x9e3779b97f4a7c15ULL) ^ 0x9e3779b97f4a7c15ULL;
}

/* The greatest random number must win: u rounded to 1 would divide by log(1)
 * = 0. */
START_TEST(extreme_draws_have_finite_scores)
{
	static const uint64_t draw[] = { 0, UINT64_MAX };
	rank_member_t m[2] = { { 1, 1 }, { 2, 1 } };
	uint32_t first;

	for (int i = 0; i < 2; i++) {
		uint64_t hash = hash_for_draw(draw[i]);
		double score = rank_score(hash, &m[0]);

		ck_assert(score > 0 && score < 1e17);
		rank_best(hash, m, 2, &first, 1);
		ck_assert_uint_eq(first, i ? 0 : 1);
	}
}
END_TEST

int main(void)
{
	Suite *s = suite_create("rank");
	TCase *tc = tcase_create("rendezvous");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, ranking_matches_reference);
	tcase_add_test(tc, rejected_members_do_not_affect_ranking);
	tcase_add_test(tc, shares_follow_weights);
	tcase_add_test(tc, a_change_of_one_member_moves_only_its_flows);
	tcase_add_test(tc, ranking_is_independent_of_member_order);
	tcase_add_test(tc, extreme_draws_have_finite_scores);
	suite_add_tcase(s, tc);
	return run_suite(s);
}
