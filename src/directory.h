#ifndef DIRECTORY_H
#define DIRECTORY_H

/*
 * directory - the targets that the platform publishes, apart from the routes
 *
 * Entries come, drain, lapse and return, each under its id and with the
 * revision of its last change; of an entry only a higher revision is taken.
 * An entry that vanishes while the platform was unreachable may have lapsed
 * with a living target: it keeps taking opens for DIRECTORY_GRACE_MS after
 * contact is back, then counts as gone. Entries are owned by the directory.
 */

#include "endpoint.h"
#include "list.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define DIRECTORY_NAME_SIZE 64

/* Living targets register again within about two seconds of the return. */
#define DIRECTORY_GRACE_MS 2200

typedef enum entry_state {
	ENTRY_READY,	/* takes new flows */
	ENTRY_DRAINING, /* keeps its flows only */
	ENTRY_GONE,	/* no longer published; its agent may hold flows */
} entry_state_t;

typedef struct target_entry {
	char id[DIRECTORY_NAME_SIZE];
	char service[DIRECTORY_NAME_SIZE];
	char zone[DIRECTORY_NAME_SIZE]; /* availability zone */
	endpoint_t address;		/* the agent is on the same host */
	uint32_t slots;			/* requests served at a time */
	uint32_t warmup_ms;		/* slow for this long after its start */
	uint64_t started_ms; /* its start, Unix time; told apart only */
	entry_state_t state;
	uint64_t revision;	   /* of the last change */
	uint64_t state_since_ms;   /* when this state was learned */
	uint64_t warmup_end_ms;	   /* no longer slow from then on */
	uint64_t missing_since_ms; /* vanished then, perhaps only lapsed; 0: no
				    */
	bool listed;		   /* seen by the reload under way */
	list_t node;		   /* in the directory */
} target_entry_t;

typedef struct directory directory_t;

typedef struct directory_ops {
	/* An entry is new, changed its state, or its target restarted. */
	void (*changed)(void *ctx, const target_entry_t *entry);
} directory_ops_t;

/* NULL without memory. */
directory_t *directory_new(const directory_ops_t *ops, void *ctx);
void directory_free(directory_t *d);

/* Takes an entry; id, revision and what is published must be set. */
void directory_put(directory_t *d, uint64_t now, const target_entry_t *entry);

/* The entry was removed at this revision. */
void directory_remove(directory_t *d, uint64_t now, const char *id,
		      uint64_t revision);

/*
 * A full reading: directory_resync_begin(), each entry, directory_resync_end().
 * What was not listed is removed as of the revision at which the reading began.
 */
void directory_resync_begin(directory_t *d);
void directory_resync_end(directory_t *d, uint64_t now, uint64_t revision);

/* The platform could not be read at this moment. */
void directory_store_unreachable(directory_t *d, uint64_t now);
/* It answered. */
void directory_store_reachable(directory_t *d, uint64_t now);

/* Ends lapses, and forgets entries that are gone for long. */
void directory_tick(directory_t *d, uint64_t now);

/* Head of the list of entries by `node`. */
list_t *directory_entries(directory_t *d);

const char *entry_state_name(entry_state_t state);

#endif
