#include "rank.h"
#include <math.h>

static uint64_t mix(uint64_t x);
static int better(double a, uint32_t a_id, double b, uint32_t b_id);

/* Finaliser of SplitMix64: each input bit reaches each output bit. */
static uint64_t mix(uint64_t x)
{
	x += 0x9e3779b97f4a7c15ULL;
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
	return x ^ (x >> 31);
}

double rank_score(uint64_t hash, const rank_member_t *member)
{
	uint64_t h = mix(hash ^ mix(member->id));
	double u = ((double)(h >> 11) + 0.5) * 0x1.0p-53;

	return -member->weight / log(u);
}

static int better(double a, uint32_t a_id, double b, uint32_t b_id)
{
	if (a != b)
		return a > b;
	return a_id < b_id;
}

size_t rank_best(uint64_t hash, const rank_member_t *members, size_t n,
		 uint32_t *order, size_t want)
{
	double scores[64];
	size_t kept = 0;

	if (want > n)
		want = n;
	if (want == 0)
		return 0;
	for (size_t i = 0; i < n; i++) {
		double s = rank_score(hash, &members[i]);
		size_t at = kept;

		while (at > 0) {
			double prev =
				at <= 64 ? scores[at - 1]
					 : rank_score(hash,
						      &members[order[at - 1]]);

			if (!better(s, members[i].id, prev,
				    members[order[at - 1]].id))
				break;
			at--;
		}
		if (at >= want)
			continue;
		if (kept < want)
			kept++;
		for (size_t j = kept - 1; j > at; j--) {
			order[j] = order[j - 1];
			if (j < 64)
				scores[j] = scores[j - 1];
		}
		order[at] = (uint32_t)i;
		if (at < 64)
			scores[at] = s;
	}
	return kept;
}
