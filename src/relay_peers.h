#ifndef RELAY_PEERS_H
#define RELAY_PEERS_H

/*
 * relay_peers - what other balancers know, while the store can't be reached
 *
 * Asks the peers of the settings in turn, over TCP, only while it is told
 * that the store does not answer. Nothing is asked in quiet times.
 */

#include "http_client.h"
#include "relay_settings.h"

/* A peer is asked this often; the next one after a failure. */
#define PEERS_INTERVAL_MS 400
/* A peer in another availability zone answers within some ms. */
#define PEERS_TIMEOUT_MS 400

typedef struct relay_peers relay_peers_t;

typedef struct relay_peers_ops {
	/* A peer's state; returns false when it could not be used. */
	bool (*apply_state)(void *ctx, const char *bytes, size_t len);
	/* Whether there is a need to ask. */
	bool (*needed)(void *ctx);
	/* The store's revision that is known. */
	uint64_t (*revision)(void *ctx);
} relay_peers_ops_t;

/* NULL without memory, or when the settings name no peer but itself. */
relay_peers_t *relay_peers_new(uv_loop_t *loop, const relay_settings_t *s,
			       const relay_peers_ops_t *ops, void *ctx);

/* Memory goes back when the loop has run. */
void relay_peers_free(relay_peers_t *p);

/* Path of the state at a peer; what is not newer is answered with 204. */
#define RELAY_STATE_PATH "/state?after="

#endif
