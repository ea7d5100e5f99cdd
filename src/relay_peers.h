#ifndef RELAY_PEERS_H
#define RELAY_PEERS_H

/*
 * relay_peers - routes and targets from peers while the store is unreachable
 *
 * Requests the state (relay_state.h) from the other balancers named in the
 * settings, one after the other, over HTTP. While the store answers, no
 * requests are sent.
 */

#include "http_client.h"
#include "relay_settings.h"

/* Interval between requests. After a request without a newer state, the next
 * peer is asked. */
#define PEERS_INTERVAL_MS 400
/* Time-out of a request. Peers, also in other availability zones, answer within
 * some ms. */
#define PEERS_TIMEOUT_MS 400

typedef struct relay_peers relay_peers_t;

typedef struct relay_peers_ops {
	/* Applies a peer's state. Returns false when it is invalid. */
	bool (*apply_state)(void *ctx, const char *bytes, size_t len);
	/* True while requests are to be sent. */
	bool (*needed)(void *ctx);
	/* Highest revision of the store that is known. */
	uint64_t (*revision)(void *ctx);
} relay_peers_ops_t;

/* Returns NULL when out of memory or when the settings name no other balancer.
 */
relay_peers_t *relay_peers_new(uv_loop_t *loop, const relay_settings_t *s,
			       const relay_peers_ops_t *ops, void *ctx);

/* The memory is freed on the next run of the loop. */
void relay_peers_free(relay_peers_t *p);

/* Path of the state at a peer; the highest known revision of the store is
 * appended. A peer that knows no higher one answers with 204. */
#define RELAY_STATE_PATH "/state?after="

#endif
