#include "zone_path.h"

/* Fewest silent agents that show a cut: one or two may have failed together. */
#define SILENT_MIN 3
/* Age up to which a message from elsewhere shows that the balancer itself is
 * connected. */
#define ELSEWHERE_MS 500
/* Time for which the agents must be silent: answers may be on their way to a
 * balancer that has just been suspended. */
#define CONFIRM_MS 300
/* Flows in a row whose detours were in vain: a single one may have met a server
 * that failed. */
#define VAIN_MAX 3

static bool all_silent(uint64_t now, const zone_sample_t *s)
{
	return s->silent >= SILENT_MIN && !s->answered && !s->stopping &&
	       s->heard_elsewhere_ms &&
	       now < s->heard_elsewhere_ms + ELSEWHERE_MS;
}

bool zone_path_update(zone_path_t *z, uint64_t now, const zone_sample_t *s)
{
	bool before = z->cut;

	if (!all_silent(now, s)) {
		z->silent_since_ms = 0;
		z->cut = false;
		z->vain_detours = 0;
		return before;
	}
	if (!z->silent_since_ms)
		z->silent_since_ms = now;
	z->cut = now >= z->silent_since_ms + CONFIRM_MS;
	return z->cut != before;
}

void zone_path_note_detour(zone_path_t *z, bool answered)
{
	if (answered)
		z->vain_detours = 0;
	else
		z->vain_detours++;
}

bool zone_path_lost(const zone_path_t *z, bool has_third)
{
	return z->cut && (!has_third || z->vain_detours >= VAIN_MAX);
}
