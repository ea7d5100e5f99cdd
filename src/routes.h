#ifndef ROUTES_H
#define ROUTES_H

/*
 * routes - maps address and port to the services that take new flows
 *
 * A route table is one version of the platform's routing document. The
 * platform's adapter builds it; it is not changed afterwards and is shared by
 * reference count.
 */

#include "err.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Longest name of a route, a service or an availability zone, in bytes, with
 * the terminating NUL. */
#define ROUTE_NAME_SIZE 256

typedef struct route_share {
	const char *service; /* interned */
	uint32_t weight;
} route_share_t;

typedef struct route {
	const char *name;      /* the table has a copy of its own */
	uint32_t address;      /* IPv4, host byte order */
	uint16_t port;	       /* host byte order */
	bool idempotent;       /* requests may safely run twice */
	uint32_t priority;     /* 0 is the highest */
	uint32_t timeout_ms;   /* time limit of a request */
	uint32_t objective_ms; /* latency objective of a request */
	route_share_t *shares; /* split of new flows by weight; owned */
	size_t nshares;
} route_t;

/* Limits of a service's targets. */
typedef struct route_service {
	const char *name;    /* interned */
	uint32_t max_flows;  /* that a target holds; 0: not known */
	uint32_t warmup_ms;  /* time for which a target is cold */
	double warmup_per_s; /* requests that a cold target bears; 0: no bound
			      */
} route_service_t;

typedef struct route_table route_table_t;

/*
 * Returns a table without routes, with one reference, or NULL when out of
 * memory. It is freed with its last reference.
 */
route_table_t *route_table_new(uint64_t version, uint32_t idle_timeout_ms);
route_table_t *route_table_ref(route_table_t *t);
void route_table_unref(route_table_t *t);

/*
 * Adds a route; its name and its shares are copied. Returns 0, or -1 and sets
 * err when the route has no share or its address and port are already used.
 */
int route_table_add(route_table_t *t, const route_t *route, err_t *err);

/* Notes that n routes of the document could not be read: an address and port
 * without a route may be theirs. */
void route_table_skip(route_table_t *t, uint32_t n);
/* Number of routes that could not be read. */
uint32_t route_table_skipped(const route_table_t *t);

/* Sets the limits of a service; they are copied. */
void route_table_set_service(route_table_t *t, const route_service_t *service);
/* Returns the limits of a service, or NULL when none are set. */
const route_service_t *route_table_service(const route_table_t *t,
					   const char *name);
/* Calls each() for every service with limits, in no particular order. */
void route_table_each_service(const route_table_t *t,
			      void (*each)(void *ctx,
					   const route_service_t *service),
			      void *ctx);

/* True when a route leads to the service, or it has limits. */
bool route_table_names_service(const route_table_t *t, const char *name);

uint64_t route_table_version(const route_table_t *t);
uint32_t route_table_idle_timeout_ms(const route_table_t *t);
size_t route_table_count(const route_table_t *t);

/* Calls each() for every route, in no particular order. */
void route_table_each(const route_table_t *t,
		      void (*each)(void *ctx, const route_t *route), void *ctx);

/* Returns NULL when no route has this address and port. */
const route_t *route_find(const route_table_t *t, uint32_t address,
			  uint16_t port);

/* Selects the service for a new flow by the weights of the shares and the
 * hash of the flow. The name is owned by the route. */
const char *route_select_service(const route_t *route, uint64_t hash);

/* Relative priority of a route among the routes of a service, 0 (lowest) to
 * 1 (highest); 0 when all have the same priority. Under overload, opens of
 * routes with a low value are refused first. */
double route_relative_priority(const route_table_t *t, const route_t *route,
			       const char *service);

/* Returns a 32-bit hash of a service's name, which packets carry in their
 * annotation. */
uint32_t service_tag(const char *service);

#endif
