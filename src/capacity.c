#include "capacity.h"
#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Newest samples that are compared with the older ones to find a change. */
#define RECENT_SAMPLES 32
/*
 * Newest samples that are kept after a change. Earlier ones of the recent
 * samples may be from before the change.
 */
#define SAMPLES_AFTER_CHANGE 16
/* Samples between two checks for a change. */
#define CHECK_INTERVAL_SAMPLES 4
/* A change is accepted beyond this many standard errors... */
#define CHANGE_STANDARD_ERRORS 3.5
/* ...when the typical time also changed by this factor. */
#define CHANGE_FACTOR 1.2
/* Weight of the declared weight in the fit, in samples. */
#define DECLARED_WEIGHT_SAMPLES 2.0
/* Iterations of the fit of costs and speeds. */
#define FIT_ROUNDS 20
/* Without a sample for this long the estimate starts to grow. */
#define STALE_MS 10000
/* Time in which a growing estimate doubles. */
#define STALE_DOUBLE_MS 10000.0
/* Most doublings of a growing estimate. */
#define STALE_DOUBLINGS 4.0

static int compare_times(const void *a, const void *b);
static double lower_half_mean(const uint32_t *times, size_t n);
static size_t copy_newest(const capacity_class_t *k, size_t skip, size_t want,
			  uint32_t *out);
static bool times_changed(const capacity_class_t *k);
static void fit_round(capacity_peer_t *peers, size_t n,
		      double cost[CAPACITY_CLASSES]);
static void scale_speeds(capacity_peer_t *peers, size_t n);

void capacity_init(capacity_t *c, uint32_t slots)
{
	memset(c, 0, sizeof(*c));
	c->slots = slots;
}

static int compare_times(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

/*
 * Mean of the lower half of the times. Most of these requests did not wait for
 * a slot that was occupied by work unknown to the agent.
 */
static double lower_half_mean(const uint32_t *times, size_t n)
{
	uint32_t sorted[CAPACITY_SAMPLES];
	size_t half = (n + 1) / 2;
	double sum = 0;

	memcpy(sorted, times, n * sizeof(*sorted));
	qsort(sorted, n, sizeof(*sorted), compare_times);
	for (size_t i = 0; i < half; i++)
		sum += sorted[i];
	return half ? sum / (double)half : 0;
}

/*
 * Copies up to `want` valid samples, newest first, without the `skip` newest.
 * Returns their number.
 */
static size_t copy_newest(const capacity_class_t *k, size_t skip, size_t want,
			  uint32_t *out)
{
	size_t n = 0;

	for (size_t i = skip; i < k->nvalid && n < want; i++)
		out[n++] = k->times[(k->total - 1 - i) % CAPACITY_SAMPLES];
	return n;
}

/* Mann-Whitney U test of the newest samples against the older ones. */
static bool times_changed(const capacity_class_t *k)
{
	uint32_t recent[RECENT_SAMPLES];
	uint32_t older[CAPACITY_SAMPLES];
	size_t n = copy_newest(k, 0, RECENT_SAMPLES, recent);
	size_t m = copy_newest(k, RECENT_SAMPLES, CAPACITY_SAMPLES, older);
	double greater = 0, error, ratio;

	if (n < RECENT_SAMPLES || m < RECENT_SAMPLES)
		return false;
	for (size_t i = 0; i < n; i++)
		for (size_t j = 0; j < m; j++)
			greater += recent[i] > older[j]	   ? 1
				   : recent[i] == older[j] ? 0.5
							   : 0;
	error = sqrt((double)n * (double)m * (double)(n + m + 1) / 12);
	if (fabs(greater - (double)n * (double)m / 2) <
	    CHANGE_STANDARD_ERRORS * error)
		return false;
	ratio = (lower_half_mean(recent, n) + 1) /
		(lower_half_mean(older, m) + 1);
	return ratio > CHANGE_FACTOR || ratio < 1 / CHANGE_FACTOR;
}

void capacity_add_sample(capacity_t *c, uint64_t now, uint32_t class_index,
			 uint64_t took_ms)
{
	capacity_class_t *k;

	if (class_index >= CAPACITY_CLASSES)
		class_index = CAPACITY_CLASSES - 1;
	k = &c->classes[class_index];
	k->times[k->total++ % CAPACITY_SAMPLES] = (uint32_t)took_ms;
	if (k->nvalid < CAPACITY_SAMPLES)
		k->nvalid++;
	c->last_sample_ms = now;
	c->unsampled_ms = 0;
	if (k->total % CHECK_INTERVAL_SAMPLES == 0 && times_changed(k))
		k->nvalid = SAMPLES_AFTER_CHANGE;
}

capacity_time_t capacity_time(const capacity_t *c, uint32_t class_index)
{
	const capacity_class_t *k = &c->classes[class_index];
	uint32_t times[CAPACITY_SAMPLES];
	capacity_time_t result = { 0, k->nvalid };
	size_t n = copy_newest(k, 0, CAPACITY_SAMPLES, times);

	if (n)
		result.ms = lower_half_mean(times, n);
	/* All below the clock's resolution of 1 ms: an upper estimate. */
	if (n && result.ms <= 0)
		result.ms = 1.0 / (double)(n + 1);
	return result;
}

/*
 * One iteration of the least squares fit of log time = log cost - log speed:
 * costs from the current speeds, then speeds from these costs.
 */
static void fit_round(capacity_peer_t *peers, size_t n,
		      double cost[CAPACITY_CLASSES])
{
	for (size_t c = 0; c < CAPACITY_CLASSES; c++) {
		double sum = 0, weight = 0;

		for (size_t i = 0; i < n; i++) {
			const capacity_time_t *t = &peers[i].times[c];

			if (t->ms <= 0 || peers[i].speed <= 0)
				continue;
			sum += t->samples * log(t->ms * peers[i].speed);
			weight += t->samples;
		}
		cost[c] = weight > 0 ? exp(sum / weight) : 0;
	}
	for (size_t i = 0; i < n; i++) {
		double weight = DECLARED_WEIGHT_SAMPLES;
		double sum = weight * log(peers[i].declared_weight);

		for (size_t c = 0; c < CAPACITY_CLASSES; c++) {
			const capacity_time_t *t = &peers[i].times[c];

			if (t->ms <= 0 || cost[c] <= 0)
				continue;
			sum += t->samples * log(cost[c] / t->ms);
			weight += t->samples;
		}
		peers[i].speed = exp(sum / weight);
	}
}

/* Scales the speeds so that the total capacity equals the declared one. */
static void scale_speeds(capacity_peer_t *peers, size_t n)
{
	double declared = 0, learned = 0;

	for (size_t i = 0; i < n; i++) {
		declared += peers[i].declared_weight * peers[i].slots;
		learned += peers[i].speed * peers[i].slots;
	}
	for (size_t i = 0; learned > 0 && i < n; i++)
		peers[i].speed *= declared / learned;
}

void capacity_fit_speeds(capacity_peer_t *peers, size_t n)
{
	double cost[CAPACITY_CLASSES];

	for (size_t i = 0; i < n; i++)
		peers[i].speed = peers[i].declared_weight;
	for (int round = 0; round < FIT_ROUNDS; round++) {
		fit_round(peers, n, cost);
		scale_speeds(peers, n);
	}
}

void capacity_add_unsampled(capacity_t *c, uint64_t now, uint64_t ms)
{
	if (now >= c->last_sample_ms + STALE_MS)
		c->unsampled_ms += ms;
}

double capacity_estimate(const capacity_t *c)
{
	double doublings = (double)c->unsampled_ms / STALE_DOUBLE_MS;

	if (doublings > STALE_DOUBLINGS)
		doublings = STALE_DOUBLINGS;
	return c->speed * c->slots * exp2(doublings);
}
