#ifndef RELAY_STATE_H
#define RELAY_STATE_H

/*
 * relay_state - routes and targets, serialized for another balancer
 *
 * A balancer that starts, or that does not reach the store, gets its routes and
 * targets from a peer. Routes are replaced only by a higher version and
 * entries only by a higher revision, so that the state of a peer that is behind
 * changes nothing. Targets that are gone are part of the state: the receiver
 * then knows an old entry from a new one when the store is restored from a
 * copy. The services that routes named before are part of it, too: a balancer
 * that has just started looks flows up there.
 */

#include "relay_balancer.h"
#include <glib.h>

/* Maximum size of a peer's state, in bytes. */
#define RELAY_STATE_MAX (4 * 1024 * 1024)

/*
 * Appends the balancer's routes and targets, as of the given revision of the
 * store, in the format of ct.relay.State (proto/relay.proto).
 */
void relay_state_pack(relay_balancer_t *b, uint64_t now,
		      store_revision_t revision, GString *out);

/*
 * Applies a peer's state. Returns the revision of the store up to which the
 * state is complete, or none when the bytes are no valid state or have no
 * routes or revision.
 */
store_revision_t relay_state_apply(relay_balancer_t *b, uint64_t now,
				   const char *bytes, size_t len);

#endif
