#ifndef EVACUATION_H
#define EVACUATION_H

/*
 * evacuation - availability zones that are to get no new flows
 *
 * Load pattern: an operator empties a zone, so that its hosts can be worked on,
 * while callers go on at full rate; later the zone is taken back.
 *
 * The platform's store lists the evacuated zones. A zone is evacuated from the
 * revision at which it was listed until the one at which it was dropped, by a
 * deletion or by a complete listing without it. Changes are ordered by revision
 * within an era of the store (store_revision.h).
 *
 * A store that was restored from an older copy may lack an evacuation. One that
 * is known and that the first listing of the new era lacks stays in force for
 * EVACUATION_UNCONFIRMED_MS, unless the new store deletes it before. One that
 * the copy lists, although it had been taken back, is in force again: the store
 * counts until the operator deletes it.
 *
 * No I/O and no clock; times are milliseconds of a monotonic clock. The set
 * owns its entries; one for each zone that was ever listed is kept.
 */

#include "list.h"
#include "store_listing.h"
#include "store_revision.h"
#include <stdbool.h>
#include <stdint.h>

/* Bytes of a zone's name, with the terminating NUL. */
#define EVACUATION_ZONE_SIZE 256
/* Time for which an evacuation holds that a restored store does not list: as
 * long as the history that the store keeps, which is the most that a copy can
 * lack. */
#define EVACUATION_UNCONFIRMED_MS 20000

typedef struct evacuation {
	char zone[EVACUATION_ZONE_SIZE];
	bool active;		       /* the zone gets no new flows */
	store_revision_t revision;     /* of the last change */
	uint64_t since_ms;	       /* last change of active */
	uint64_t unconfirmed_since_ms; /* not listed by a restored store; 0: no
					*/
	unsigned listed; /* store_listing_t: found by the listing in progress */
	list_t node;	 /* in evacuations_list() */
} evacuation_t;

typedef struct evacuations evacuations_t;

/* Called when a zone is evacuated or taken back. */
typedef void evacuation_changed_fn(void *ctx, const evacuation_t *e);

/* Returns an empty set, or NULL when out of memory. */
evacuations_t *evacuations_new(evacuation_changed_fn *changed, void *ctx);
/* Accepts NULL. */
void evacuations_free(evacuations_t *s);

/* Notes that the store lists the zone as evacuated. Names that are empty or too
 * long are ignored. */
void evacuations_put(evacuations_t *s, uint64_t now, const char *zone,
		     store_revision_t revision);

/* Notes that the store dropped the zone. */
void evacuations_remove(evacuations_t *s, uint64_t now, const char *zone,
			store_revision_t revision);

/* Notes that the restored store has not listed the zone for unconfirmed_ms, as
 * a peer reports. */
void evacuations_set_unconfirmed(evacuations_t *s, uint64_t now,
				 const char *zone, uint64_t unconfirmed_ms);

/*
 * Resync, a complete listing: call evacuations_resync_begin(),
 * evacuations_put() for each zone, then evacuations_resync_end() with the
 * revision at which the listing began.
 */
void evacuations_resync_begin(evacuations_t *s, store_listing_t listing);
void evacuations_resync_end(evacuations_t *s, store_listing_t listing,
			    uint64_t now, store_revision_t revision);

/* Ends the wait for confirmations. */
void evacuations_tick(evacuations_t *s, uint64_t now);

/* Returns the last word on a zone, or NULL when it was never evacuated. */
const evacuation_t *evacuations_find(const evacuations_t *s, const char *zone);

/* True while the zone is evacuated. */
bool evacuations_active(const evacuations_t *s, const char *zone);

/* Number of evacuated zones. */
unsigned evacuations_count(const evacuations_t *s);

/* Revision of the last complete listing; none before the first. */
store_revision_t evacuations_revision(const evacuations_t *s);

/* Head of the list of evacuation_t, linked by `node`. */
list_t *evacuations_list(evacuations_t *s);

#endif
