#ifndef DIRECTORY_H
#define DIRECTORY_H

/*
 * directory - the targets that the platform publishes
 *
 * Each entry has an id and the revision of its last change; an update is
 * applied only when its revision is higher. A ready entry that goes missing
 * around an outage of the platform's store may have expired although its target
 * is alive: it keeps taking opens until DIRECTORY_GRACE_MS after the outage,
 * then counts as gone.
 *
 * When the store was restored from an older copy, its first listing in the new
 * era mixes items of the copy with items written since. Entries that are known
 * are then compared by what their targets wrote last, so that the copy takes
 * nothing back. An entry that is known to be gone, or unknown to a directory
 * younger than the copy may be, may be that of a target that has left: it
 * counts as gone until the target writes again, or until the entry has outlived
 * the time after which the store drops the entry of a silent target. An entry
 * that is missing may have been written after the copy: it keeps its state for
 * DIRECTORY_GRACE_MS.
 *
 * An item of another writer under the id of a known target tells nothing of it,
 * whether it can't be read or is of a service that is not named: the target
 * writes its own entry again with its next heartbeat, and keeps its state until
 * then. If it does not within expiry_ms, its entry counts as removed. Such an
 * item under an id that is not known may stand in place of the entry of a live
 * target that was not read before.
 *
 * The directory owns the entries. Times are milliseconds of a monotonic clock.
 */

#include "endpoint.h"
#include "list.h"
#include "store_listing.h"
#include "store_revision.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Longest id of a target, in bytes, with the terminating NUL: that of a key of
 * the store. */
#define DIRECTORY_ID_SIZE 201

/* Grace period of entries that went missing around an outage. Live targets
 * register again within about two seconds after the store is back. */
#define DIRECTORY_GRACE_MS 2200

typedef enum entry_state {
	ENTRY_READY,	/* takes new flows */
	ENTRY_DRAINING, /* keeps its flows, takes no new ones */
	ENTRY_GONE, /* no longer published; its agent may still hold flows */
} entry_state_t;

typedef struct target_entry {
	char id[DIRECTORY_ID_SIZE];
	const char *service; /* interned */
	const char *zone;    /* availability zone, interned */
	endpoint_t address; /* of the target; its agent runs on the same host */
	uint32_t slots;	    /* requests served at a time */
	uint32_t warmup_ms; /* remaining warm-up when published */
	uint64_t started_ms;   /* start of the target, Unix time */
	uint64_t write_number; /* the target's writes since its start */
	entry_state_t state;
	store_revision_t revision;     /* of the last change */
	uint64_t state_since_ms;       /* last update or state change */
	uint64_t warmup_end_ms;	       /* end of the warm-up */
	uint64_t missing_since_ms;     /* start of the grace period; 0: none */
	uint64_t overwritten_since_ms; /* by another writer; 0: it is not */
	/* Start of the time in which a restored entry counts as gone; 0: it is
	 * not doubted. listed_state is the state that the store lists. */
	uint64_t unconfirmed_since_ms;
	entry_state_t listed_state;
	unsigned listed; /* store_listing_t: found by the listing in progress */
	list_t node;	 /* in directory.entries */
} target_entry_t;

typedef struct directory directory_t;

typedef struct directory_ops {
	/* Called for a new entry, a change of state or of the availability
	 * zone, a restart of the target, one that becomes cold, and one whose
	 * service was not named before. */
	void (*changed)(void *ctx, const target_entry_t *entry);
	/* True for a service that the configuration names, or is not known yet
	 * to name. */
	bool (*names_service)(void *ctx, const char *service);
} directory_ops_t;

/*
 * expiry_ms is the time after which the store drops the entry of a silent
 * target. Returns NULL when out of memory.
 */
directory_t *directory_new(uint32_t expiry_ms, const directory_ops_t *ops,
			   void *ctx);
void directory_free(directory_t *d);

/* Adds or updates an entry. The caller sets id, revision and the published
 * members; the entry is copied. */
void directory_put(directory_t *d, uint64_t now, const target_entry_t *entry);

/* Marks an entry that was deleted from the store at this revision as gone, or
 * as missing when an outage may have made it expire. */
void directory_remove(directory_t *d, uint64_t now, const char *id,
		      store_revision_t revision);

/* Notes that an item that names no target stands under the id at this revision.
 */
void directory_overwrite(directory_t *d, uint64_t now, const char *id,
			 store_revision_t revision);

/*
 * Resync, a complete listing of the store or of a peer's state: call
 * directory_resync_begin(), directory_put() for each entry, then
 * directory_resync_end() with the revision at which the listing began. Entries
 * that were not listed count as deleted at that revision.
 */
void directory_resync_begin(directory_t *d, store_listing_t listing);
void directory_resync_end(directory_t *d, store_listing_t listing, uint64_t now,
			  store_revision_t revision);

/* True from directory_resync_begin() to directory_resync_end() of any listing.
 */
bool directory_listing(const directory_t *d);

/* Notes that the store dropped an entry missing_ms ago, at this revision, as a
 * peer reports; without effect on an entry that has changed since. */
void directory_set_missing(directory_t *d, uint64_t now, const char *id,
			   store_revision_t revision, uint64_t missing_ms);

/* Notes that the entry of a known target was overwritten overwritten_ms ago, as
 * a peer reports with the entry. */
void directory_set_overwritten(directory_t *d, uint64_t now, const char *id,
			       store_revision_t revision,
			       uint64_t overwritten_ms);

/* Time in ms for which items of other writers may hide live targets; 0: they do
 * not. Set: at least for that time, as a peer reports. */
uint64_t directory_hiding_ms(const directory_t *d, uint64_t now);
void directory_set_hiding(directory_t *d, uint64_t now, uint64_t hiding_ms);

/* Notes that a request to the platform's store failed. */
void directory_store_unreachable(directory_t *d, uint64_t now);
/* Notes that the store answered. */
void directory_store_reachable(directory_t *d, uint64_t now);

/* False from a failed request until the store answers again. */
bool directory_store_answers(const directory_t *d);

/* Ends grace periods and doubts, and frees entries that have been gone for
 * 70 s. */
void directory_tick(directory_t *d, uint64_t now);

/*
 * True for DIRECTORY_GRACE_MS after the first listing: entries of live targets
 * may have expired in an outage that this process did not see, and be missing.
 */
bool directory_settling(const directory_t *d, uint64_t now);

/* True during the first listing: any target may be missing. */
bool directory_first_listing(const directory_t *d);

/* Returns the entry of a target, or NULL. */
const target_entry_t *directory_find(const directory_t *d, const char *id);

/* Head of the list of entries, linked by `node`. */
list_t *directory_entries(directory_t *d);

const char *entry_state_name(entry_state_t state);

#endif
