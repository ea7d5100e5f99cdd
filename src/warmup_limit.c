#include "warmup_limit.h"
#include <string.h>

void warmup_limit_init(warmup_limit_t *w, uint64_t now, bool knows_all)
{
	memset(w, 0, sizeof(*w));
	if (!knows_all)
		w->unknown_until_ms = now + WARMUP_WINDOW_MS;
}

void warmup_limit_set(warmup_limit_t *w, uint64_t now, uint32_t max,
		      uint32_t left_ms)
{
	if (max > WARMUP_OPENS_MAX)
		max = WARMUP_OPENS_MAX;
	w->max = max;
	if (w->until_ms < now + left_ms)
		w->until_ms = now + left_ms;
}

void warmup_limit_add(warmup_limit_t *w, uint64_t now)
{
	w->opens[w->next] = now;
	w->next = (w->next + 1) % WARMUP_OPENS_MAX;
}

bool warmup_limit_is_cold(const warmup_limit_t *w, uint64_t now)
{
	return w->max && now < w->until_ms;
}

bool warmup_limit_has_room(const warmup_limit_t *w, uint64_t now)
{
	unsigned first = w->next + WARMUP_OPENS_MAX - w->max;
	uint64_t open_ms = w->opens[first % WARMUP_OPENS_MAX];

	if (!warmup_limit_is_cold(w, now))
		return true;
	/* The open that is max opens back must have left the window. */
	return now >= w->unknown_until_ms &&
	       (!open_ms || now >= open_ms + WARMUP_WINDOW_MS);
}
