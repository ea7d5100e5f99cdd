#ifndef STORE_REVISION_H
#define STORE_REVISION_H

/*
 * store_revision - when an item of the platform's store was written
 *
 * The store numbers its changes with one counter. After it was restored from
 * an older copy of itself, the counter goes back and numbers are used again;
 * the era, which the store publishes with its answers, then rises. Numbers
 * are therefore comparable within one era only, and a later era comes after
 * all numbers of an earlier one.
 */

#include <stdbool.h>
#include <stdint.h>

typedef struct store_revision {
	uint64_t era;	 /* rises with each restore; 0: not published */
	uint64_t number; /* number of the change; 0: none yet */
} store_revision_t;

/* Returns a negative number, 0 or a positive number when a is before, equal to
 * or after b. */
static inline int store_revision_compare(store_revision_t a, store_revision_t b)
{
	if (a.era != b.era)
		return a.era < b.era ? -1 : 1;
	return (a.number > b.number) - (a.number < b.number);
}

/* True when nothing has been read yet. */
static inline bool store_revision_none(store_revision_t r)
{
	return r.number == 0;
}

#endif
