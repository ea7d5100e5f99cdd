#ifndef STORE_LISTING_H
#define STORE_LISTING_H

/*
 * store_listing - marks of what a complete listing has found
 *
 * What a listing does not contain was deleted before it. A listing of the store
 * takes many pages, and the state of a peer, which is a listing of its own, may
 * be applied between two of them: each kind has a mark of its own.
 */

typedef enum store_listing {
	LISTING_STORE = 1,
	LISTING_PEER = 2, /* applied within one call */
} store_listing_t;

/* The listing that what is read now belongs to, of those in progress. */
static inline store_listing_t store_listing_current(unsigned in_progress)
{
	return in_progress & LISTING_PEER ? LISTING_PEER : LISTING_STORE;
}

#endif
