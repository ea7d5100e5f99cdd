#ifndef RELAY_PLATFORM_H
#define RELAY_PLATFORM_H

/*
 * relay_platform - what a platform's adapter provides
 *
 * The adapter in platform/ translates between a platform's formats and the
 * types here. It decides nothing and keeps no state of its own.
 */

#include "directory.h"
#include "watcher.h"
#include "relay_packet.h"
#include "routes.h"

/* Where what was read goes. */
typedef struct relay_sink {
	/* A routing document that was read whole; takes the reference over. */
	void (*routes)(void *ctx, route_table_t *routes);
	/* An item that can't be used, and why. */
	void (*refused)(void *ctx, const char *key, const err_t *err);
	directory_t *(*directory)(void *ctx);
	uint64_t (*now)(void *ctx);
	/* Whether the store answers. */
	void (*reachable)(void *ctx, bool yes);
} relay_sink_t;

/* What the adapter's feed is called with. */
typedef struct relay_watcher_ctx {
	const relay_sink_t *sink;
	void *ctx;
} relay_watcher_ctx_t;

typedef struct relay_platform {
	const char *settings_variable; /* holds the path of the settings */
	const packet_format_t *format;
	/* Called with a relay_watcher_ctx_t. */
	const watcher_ops_t *watcher;
	const char *ready_path;
	const char *metrics_path;
} relay_platform_t;

/* The adapter that this build is linked with. */
extern const relay_platform_t relay_platform;

#endif
