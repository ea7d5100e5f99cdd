#ifndef ROUTE_HISTORY_H
#define ROUTE_HISTORY_H

/*
 * route_history - the services that routes named before
 *
 * A new version of the routes leaves open flows at the servers that took them.
 * A balancer that looks such a flow up needs the services that its address and
 * port led to while the flow may have been opened. The history keeps each with
 * the time at which it was last in force, for as long as a flow may live. It
 * also knows since when it has seen every version: a history that is complete
 * for a flow's life names all services that may hold the flow.
 *
 * Times are milliseconds of a monotonic clock. The history opens no socket and
 * reads no clock.
 */

#include "routes.h"
#include <glib.h>

typedef struct route_history route_history_t;

typedef struct former_service {
	uint32_t address; /* of the route; IPv4, host byte order */
	uint16_t port;
	const char *service; /* interned */
	uint64_t last_in_force;
} former_service_t;

/*
 * flow_lifetime_ms is the longest life of a flow: the history is incomplete
 * until it has seen the routes for that time, or until
 * route_history_set_seen_ms() says so. Returns NULL when out of memory. Freed
 * with route_history_free().
 */
route_history_t *route_history_new(uint64_t flow_lifetime_ms);
void route_history_free(route_history_t *h);

/*
 * Remembers the services of `old` that `next` no longer names for the same
 * address and port. Either table may be NULL. `skipped`: versions between the
 * two may have been in force unseen.
 */
void route_history_replace(route_history_t *h, uint64_t now,
			   const route_table_t *old, const route_table_t *next,
			   bool skipped);

/* Adds a former service that a peer knows, unless a later time is known. */
void route_history_add(route_history_t *h, uint32_t address, uint16_t port,
		       const char *service, uint64_t last_in_force);

/* Notes that all versions of the last seen_ms are known; UINT64_MAX: all that
 * there ever were. A longer time is kept. */
void route_history_set_seen_ms(route_history_t *h, uint64_t now,
			       uint64_t seen_ms);

/* Time for which all versions are known; 0: none, UINT64_MAX: for ever. */
uint64_t route_history_seen_ms(const route_history_t *h, uint64_t now);

/* True when the history names all services that a flow may have led to. */
bool route_history_complete(const route_history_t *h, uint64_t now);

/* Appends the former services of an address and port, interned, the last in
 * force first. */
void route_history_find(const route_history_t *h, uint64_t now,
			uint32_t address, uint16_t port, GPtrArray *services);

/* True when a route named the service, interned, within a flow's life. */
bool route_history_names(const route_history_t *h, uint64_t now,
			 const char *service);

/* Number of former services of all routes; some may be out of life. */
size_t route_history_count(const route_history_t *h);

/* Calls each() for the former services, in no particular order. */
void route_history_each(const route_history_t *h, uint64_t now,
			void (*each)(void *ctx, const former_service_t *s),
			void *ctx);

#endif
