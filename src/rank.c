#include "rank.h"
#include <math.h>
#include <stdlib.h>

/* Up to this many results are selected by insertion, more by sorting. */
#define INSERTION_MAX 16
/* Covers rounding errors of the bound that saves a logarithm. */
#define BOUND_MARGIN 1e-9
/* Odd, so that multiplying maps ids one to one, with their bits spread. */
#define ID_MULTIPLIER 0x9e3779b97f4a7c15ULL

typedef struct scored {
	double score;
	uint32_t id;
	uint32_t position;
} scored_t;

static inline uint64_t mix(uint64_t x);
static inline double uniform(uint64_t hash, uint32_t id);
static int better(const scored_t *a, const scored_t *b);
static int compare(const void *a, const void *b);
static int accept_all(const void *ctx, uint32_t position);
static size_t select_by_insertion(uint64_t hash, const rank_member_t *members,
				  size_t n, uint32_t *order, size_t want,
				  rank_accept_fn accept, const void *ctx);
static size_t select_by_sort(uint64_t hash, const rank_member_t *members,
			     size_t n, uint32_t *order, size_t want,
			     rank_accept_fn accept, const void *ctx);

/* Finaliser of SplitMix64: each input bit reaches each output bit. */
static inline uint64_t mix(uint64_t x)
{
	x += 0x9e3779b97f4a7c15ULL;
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
	return x ^ (x >> 31);
}

/* Maps hash and id to a number between 0 and 1, both excluded. */
static inline double uniform(uint64_t hash, uint32_t id)
{
	uint64_t h = mix(hash ^ id * ID_MULTIPLIER);

	/* 52 bits: with 53, the 0.5 would be lost to rounding for the
	 * greatest values. */
	return ((double)(int64_t)(h >> 12) + 0.5) * 0x1.0p-52;
}

double rank_score(uint64_t hash, const rank_member_t *member)
{
	return -member->weight / log(uniform(hash, member->id));
}

static int better(const scored_t *a, const scored_t *b)
{
	if (a->score != b->score)
		return a->score > b->score;
	return a->id < b->id;
}

static int compare(const void *a, const void *b)
{
	return better(a, b) ? -1 : better(b, a);
}

/*
 * Keeps the best members found so far in a sorted array. Since -ln(u) >= 1 - u,
 * a score is at most weight / (1 - u): a member whose bound is below the worst
 * score kept is skipped without computing a logarithm.
 */
static size_t select_by_insertion(uint64_t hash, const rank_member_t *members,
				  size_t n, uint32_t *order, size_t want,
				  rank_accept_fn accept, const void *ctx)
{
	scored_t kept[INSERTION_MAX];
	double threshold = 0;
	size_t nkept = 0;

	for (size_t i = 0; i < n; i++) {
		double u = uniform(hash, members[i].id);
		scored_t s;
		size_t pos;

		if (members[i].weight <
		    threshold * (1 - u) * (1 - BOUND_MARGIN))
			continue;
		if (!accept(ctx, (uint32_t)i))
			continue;
		s.score = -members[i].weight / log(u);
		s.id = members[i].id;
		s.position = (uint32_t)i;
		if (nkept < want)
			nkept++;
		else if (!better(&s, &kept[want - 1]))
			continue;
		for (pos = nkept - 1; pos > 0 && better(&s, &kept[pos - 1]);
		     pos--)
			kept[pos] = kept[pos - 1];
		kept[pos] = s;
		if (nkept == want)
			threshold = kept[want - 1].score;
	}
	for (size_t i = 0; i < nkept; i++)
		order[i] = kept[i].position;
	return nkept;
}

static size_t select_by_sort(uint64_t hash, const rank_member_t *members,
			     size_t n, uint32_t *order, size_t want,
			     rank_accept_fn accept, const void *ctx)
{
	scored_t *all = malloc(n * sizeof(*all));
	size_t found = 0;

	if (!all)
		return select_by_insertion(hash, members, n, order,
					   INSERTION_MAX, accept, ctx);
	for (size_t i = 0; i < n; i++) {
		if (!accept(ctx, (uint32_t)i))
			continue;
		all[found].score = rank_score(hash, &members[i]);
		all[found].id = members[i].id;
		all[found++].position = (uint32_t)i;
	}
	qsort(all, found, sizeof(*all), compare);
	if (want > found)
		want = found;
	for (size_t i = 0; i < want; i++)
		order[i] = all[i].position;
	free(all);
	return want;
}

static int accept_all(const void *ctx, uint32_t position)
{
	(void)ctx;
	(void)position;
	return 1;
}

size_t rank_best_filtered(uint64_t hash, const rank_member_t *members, size_t n,
			  uint32_t *order, size_t want, rank_accept_fn accept,
			  const void *ctx)
{
	if (want > n)
		want = n;
	if (want == 0)
		return 0;
	if (want > INSERTION_MAX)
		return select_by_sort(hash, members, n, order, want, accept,
				      ctx);
	return select_by_insertion(hash, members, n, order, want, accept, ctx);
}

size_t rank_best(uint64_t hash, const rank_member_t *members, size_t n,
		 uint32_t *order, size_t want)
{
	return rank_best_filtered(hash, members, n, order, want, accept_all,
				  NULL);
}
