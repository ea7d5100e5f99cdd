#ifndef RANK_H
#define RANK_H

/*
 * rank - weighted rendezvous hashing
 *
 * A member's score for a flow depends only on the hash of the flow, the
 * member's id and its weight. All processes with the same configuration
 * therefore compute the same ranking, and a change of one member moves only the
 * flows that it gains or loses. Source: Thaler and Ravishankar, "Using
 * name-based mappings to increase hit rates" (1998), with the logarithmic
 * weighting score = -weight / ln(u).
 */

#include <stddef.h>
#include <stdint.h>

typedef struct rank_member {
	uint32_t id;   /* target id or address; unique */
	double weight; /* greater weights get more flows; 0 ranks last */
} rank_member_t;

/*
 * Writes the positions of the best `want` members to `order`, best first, and
 * returns how many were written: the lesser of want and n, but at most 16 when
 * out of memory. Of equal scores the lesser id comes first.
 */
size_t rank_best(uint64_t hash, const rank_member_t *members, size_t n,
		 uint32_t *order, size_t want);

/*
 * Same as rank_best(), among the members for which accept() returns non-zero.
 * accept() is called for few members when few are wanted, so it may be
 * expensive.
 */
typedef int (*rank_accept_fn)(const void *ctx, uint32_t position);

size_t rank_best_filtered(uint64_t hash, const rank_member_t *members, size_t n,
			  uint32_t *order, size_t want, rank_accept_fn accept,
			  const void *ctx);

/* Score of one member; the highest ranks first. */
double rank_score(uint64_t hash, const rank_member_t *member);

#endif
