#ifndef RANK_H
#define RANK_H

/*
 * rank - weighted rendezvous hashing
 *
 * Each member's score for a flow depends on the flow's hash, the member's id
 * and its weight only, so every process with the same configuration ranks
 * alike, and a change of members moves few flows. Source: Thaler and
 * Ravishankar, "Using name-based mappings to increase hit rates" (1998), with
 * the logarithmic weighting score = -weight / ln(u).
 */

#include <stddef.h>
#include <stdint.h>

typedef struct rank_member {
	uint32_t id;   /* target id */
	double weight; /* greater gets more flows; 0 ranks last */
} rank_member_t;

/*
 * Writes the positions of the best `want` members, best first, and returns
 * how many were written (the lesser of want and n). Equal scores go to the
 * lesser id.
 */
size_t rank_best(uint64_t hash, const rank_member_t *members, size_t n,
		 uint32_t *order, size_t want);

/*
 * The same among the members that are accepted; it is asked of few, so it may
 * cost something.
 */
typedef int (*rank_accept_fn)(const void *ctx, uint32_t position);

size_t rank_best_filtered(uint64_t hash, const rank_member_t *members, size_t n,
			  uint32_t *order, size_t want, rank_accept_fn accept,
			  const void *ctx);

/* Score of one member; higher is better. */
double rank_score(uint64_t hash, const rank_member_t *member);

#endif
