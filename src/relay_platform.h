#ifndef RELAY_PLATFORM_H
#define RELAY_PLATFORM_H

/*
 * relay_platform - interface of a platform's adapter
 *
 * The adapter in platform/ translates between the formats of a platform and the
 * types here. It takes no decisions and keeps no state.
 */

#include "directory.h"
#include "evacuation.h"
#include "watcher.h"
#include "relay_packet.h"
#include "routes.h"

/* Receives what the adapter reads from the store. */
typedef struct relay_sink {
	/* Takes a complete routing document, and the reference to it. */
	void (*routes)(void *ctx, route_table_t *routes);
	/* Takes the key of an item that is invalid, and the error. */
	void (*refused)(void *ctx, const char *key, const err_t *err);
	/* Returns the directory that targets are added to. */
	directory_t *(*directory)(void *ctx);
	/* Returns the set that evacuated zones are added to. */
	evacuations_t *(*evacuations)(void *ctx);
	/* Returns the time in ms of a monotonic clock. */
	uint64_t (*now)(void *ctx);
	/* Reports that all that the store had written when it was asked, at
	 * asked_ms, has been passed on. */
	void (*read)(void *ctx, uint64_t asked_ms);
	/* Reports whether the store answers. */
	void (*reachable)(void *ctx, bool yes);
} relay_sink_t;

/* Context of the operations of relay_platform.watcher. */
typedef struct relay_watcher_ctx {
	const relay_sink_t *sink;
	void *ctx; /* passed to the functions of sink */
} relay_watcher_ctx_t;

typedef struct relay_platform {
	const char *settings_variable; /* names the settings file */
	const packet_format_t *format;
	/* Reads and watches the store; its context is a relay_watcher_ctx_t. */
	const watcher_ops_t *watcher;
	const char *ready_path;	  /* HTTP path of the readiness */
	const char *metrics_path; /* HTTP path of the metrics */
} relay_platform_t;

/* The adapter that the program is linked with. */
extern const relay_platform_t relay_platform;

#endif
