#ifndef ROUTES_H
#define ROUTES_H

/*
 * routes - which service takes new flows to an address and port
 *
 * One version of the routing document, built by the reader of a platform and
 * not changed afterwards. Shared by reference count.
 */

#include "err.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define ROUTE_NAME_SIZE 64

typedef struct route_share {
	char service[ROUTE_NAME_SIZE];
	uint32_t weight;
} route_share_t;

typedef struct route {
	char name[ROUTE_NAME_SIZE];
	uint32_t address;
	uint16_t port;
	bool idempotent;       /* its requests may be run twice */
	uint32_t priority;     /* 0 is highest */
	uint32_t timeout_ms;   /* of a request */
	uint32_t objective_ms; /* latency objective of a request */
	route_share_t *shares; /* owned */
	size_t nshares;
} route_t;

typedef struct route_table route_table_t;

route_table_t *route_table_new(uint64_t version, uint32_t idle_timeout_ms);
route_table_t *route_table_ref(route_table_t *t);
void route_table_unref(route_table_t *t);

/*
 * Adds a route with its shares, which are copied. Returns 0, or -1 and the
 * error when it has no share or its address and port are taken.
 */
int route_table_add(route_table_t *t, const route_t *route, err_t *err);

uint64_t route_table_version(const route_table_t *t);
uint32_t route_table_idle_timeout_ms(const route_table_t *t);
size_t route_table_count(const route_table_t *t);

/* Calls with each route, in no order. */
void route_table_each(const route_table_t *t,
		      void (*each)(void *ctx, const route_t *route), void *ctx);

/* NULL when there is none. */
const route_t *route_find(const route_table_t *t, uint32_t address,
			  uint16_t port);

/* The service that takes a new flow, by the weights and the flow's hash. */
const char *route_select_service(const route_t *route, uint64_t hash);

/* Where a route stands by its priority among the routes of a service: 0 last,
 * to 1 first. */
double route_relative_priority(const route_table_t *t, const route_t *route,
			       const char *service);

/* A service's name in 32 bits, for the margin of packets. */
uint32_t service_tag(const char *service);

#endif
