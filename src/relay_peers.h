#ifndef RELAY_PEERS_H
#define RELAY_PEERS_H

/*
 * relay_peers - routes and targets from peers
 *
 * Requests the state (relay_state.h) from the other balancers named in the
 * settings over HTTP: of all at the start, before the store is read, and of one
 * after the other while the store is unreachable. A process that has just
 * started remembers nothing; a peer may know newer routes than a store that was
 * restored from a copy, and saves the store the reading of all its items.
 */

#include "http_client.h"
#include "relay_settings.h"
#include "store_revision.h"

/* Interval between requests. After a request without a newer state, the next
 * peer is asked. */
#define PEERS_INTERVAL_MS 400
/* Time until an answer begins to arrive. Peers, also in other availability
 * zones, answer within some ms; a state of hundreds of kilobytes takes longer
 * to arrive. */
#define PEERS_TIMEOUT_MS 400
/* Time-outs at the start, of connecting to a peer and of the beginning of its
 * answer, and the time after which the start ends unless an answer is arriving.
 * Hosts
 * that run accept or refuse a connection within a round trip of a few
 * milliseconds; hosts without power do neither. */
#define PEERS_START_CONNECT_MS 10
#define PEERS_START_TIMEOUT_MS 100
#define PEERS_START_MS	       200

typedef struct relay_peers relay_peers_t;

typedef struct relay_peers_ops {
	/* Applies a peer's state. Returns false when it is invalid. */
	bool (*apply_state)(void *ctx, const char *bytes, size_t len);
	/* True while requests are to be sent. */
	bool (*needed)(void *ctx);
	/* Highest revision of the store that is known. */
	store_revision_t (*revision)(void *ctx);
	/* Called once: a peer's state was applied, or no peer has one. */
	void (*started)(void *ctx);
} relay_peers_ops_t;

/* Returns NULL when out of memory or when the settings name no other balancer.
 */
relay_peers_t *relay_peers_new(uv_loop_t *loop, const relay_settings_t *s,
			       const relay_peers_ops_t *ops, void *ctx);

/* Requests the state of all peers at once; calls started() when one was applied
 * or none has one. */
void relay_peers_start(relay_peers_t *p);

/* Requests the state of another balancer, unless as many requests are under way
 * as there may be. */
void relay_peers_ask(relay_peers_t *p, const endpoint_t *peer);

/* The memory is freed on the next run of the loop. */
void relay_peers_free(relay_peers_t *p);

/*
 * Path of the state at a peer, for printf(): the number and the era of the
 * highest known revision of the store. A peer that knows no higher one answers
 * with 204.
 */
#define RELAY_STATE_PREFIX "/state?"
#define RELAY_STATE_FORMAT RELAY_STATE_PREFIX "after=%llu&era=%llu"

#endif
