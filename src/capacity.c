#include "capacity.h"
#include <stdlib.h>
#include <string.h>

/* Samples before the speed is believed. */
#define SAMPLES_NEEDED 4
#define MS_A_SECOND    1000.0

static int compare(const void *a, const void *b);
static double median(const capacity_t *c);

void capacity_init(capacity_t *c, uint32_t slots)
{
	memset(c, 0, sizeof(*c));
	c->slots = slots;
}

static int compare(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static double median(const capacity_t *c)
{
	double sorted[CAPACITY_SAMPLES];
	uint32_t n = c->n < CAPACITY_SAMPLES ? c->n : CAPACITY_SAMPLES;

	memcpy(sorted, c->samples, n * sizeof(*sorted));
	qsort(sorted, n, sizeof(*sorted), compare);
	return sorted[n / 2];
}

void capacity_sample(capacity_t *c, uint64_t now, uint32_t weight,
		     uint64_t took_ms, uint32_t in_flight)
{
	double share = 1.0;

	(void)now;
	if (in_flight > c->slots && c->slots)
		share = (double)in_flight / c->slots;
	if (took_ms == 0)
		took_ms = 1;
	c->samples[c->n % CAPACITY_SAMPLES] =
		weight * share * MS_A_SECOND / (double)took_ms;
	c->n++;
	if (c->n >= SAMPLES_NEEDED)
		c->speed = median(c);
}

double capacity_value(const capacity_t *c)
{
	return c->speed * c->slots;
}
