#ifndef HISTOGRAM_H
#define HISTOGRAM_H

/*
 * histogram - counts of durations in classes that double
 *
 * Class i holds durations under 2^i ms, the last one all others.
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
