#ifndef ZONE_PATH_H
#define ZONE_PATH_H

/*
 * zone_path - whether a balancer reaches the agents of an availability zone
 *
 * Load pattern: a zone is cut off for seconds, from one other zone or from all.
 * Callers have flows open at its backend servers, and each of their requests
 * would wait until its deadline, while servers elsewhere have room.
 *
 * A zone is cut off when all of its agents that were asked are silent while
 * those of other zones answer. Planned work never stops a whole zone at once;
 * an agent that has said that it stops proves nothing.
 *
 * Packets for a zone that is cut off take a detour by a third zone. What the
 * caller acknowledges next shows whether that works; when it was in vain for
 * several flows in a row, or there is no third zone, the zone is lost: requests
 * that may run twice are better sent to another server at once.
 *
 * No I/O and no clock; times are milliseconds of a monotonic clock.
 */

#include <stdbool.h>
#include <stdint.h>

typedef struct zone_path {
	uint64_t silent_since_ms; /* all agents are silent; 0: they are not */
	bool cut;
	unsigned vain_detours; /* flows in a row that a detour did not help */
} zone_path_t;

/* What is known of the agents of a zone and of all others at a moment. */
typedef struct zone_sample {
	unsigned silent; /* agents that did not answer a hello in time */
	bool answered;	 /* one was heard from since the last of these hellos */
	bool stopping;	 /* one of the agents has said that it stops */
	uint64_t heard_elsewhere_ms; /* last message of another zone's agent */
} zone_sample_t;

/* Updates the path; called at each tick. Returns true when `cut` changed. */
bool zone_path_update(zone_path_t *z, uint64_t now, const zone_sample_t *s);

/* Notes whether the detour of a flow's request was answered. */
void zone_path_note_detour(zone_path_t *z, bool answered);

/* True when requests for the zone can't be answered. has_third: an agent in a
 * third zone could pass them on. */
bool zone_path_lost(const zone_path_t *z, bool has_third);

#endif
