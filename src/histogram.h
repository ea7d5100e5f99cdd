#ifndef HISTOGRAM_H
#define HISTOGRAM_H

/*
 * histogram - histogram of durations with exponential buckets
 *
 * Bucket i counts durations from 2^(i-1) ms (bucket 0: 0 ms) to below 2^i ms;
 * the last bucket has no upper bound.
 */

#include <stdint.h>

#define HISTOGRAM_BUCKETS 14

typedef struct histogram {
	uint64_t counts[HISTOGRAM_BUCKETS];
	uint64_t total;
	uint64_t sum_ms;
} histogram_t;

static inline void histogram_add(histogram_t *h, uint64_t ms)
{
	int i = 0;

	while (i < HISTOGRAM_BUCKETS - 1 && ms >= (uint64_t)1 << i)
		i++;
	h->counts[i]++;
	h->total++;
	h->sum_ms += ms;
}

#endif
