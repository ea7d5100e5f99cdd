#ifndef RELAY_STATE_H
#define RELAY_STATE_H

/*
 * relay_state - routes and targets as bytes, from balancer to balancer
 *
 * A balancer that starts while the store can't be reached asks its peers for
 * what they know. Routes only rise by version and entries by revision, so a
 * peer that knows less changes nothing.
 */

#include "relay_balancer.h"
#include <glib.h>

/* Greatest state taken from a peer, in bytes. */
#define RELAY_STATE_MAX (4 * 1024 * 1024)

/* Appends what the balancer knows up to a revision of the store. */
void relay_state_pack(relay_balancer_t *b, uint64_t revision, GString *out);

/*
 * Takes a peer's state over. Returns the revision of the store up to which it
 * is complete, or 0 when the bytes are no state.
 */
uint64_t relay_state_apply(relay_balancer_t *b, uint64_t now, const char *bytes,
			   size_t len);

#endif
