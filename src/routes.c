#include "routes.h"
#include "endpoint.h"
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Size of the blocks in which names are stored, in bytes. */
#define NAMES_BLOCK 1024

struct route_table {
	int refs;
	uint64_t version;
	uint32_t idle_timeout_ms;
	uint32_t skipped;	     /* see route_table_skip() */
	GStringChunk *names;	     /* of the routes */
	GHashTable *routes;	     /* address and port -> route_t */
	GHashTable *services;	     /* name -> route_service_t */
	GHashTable *priority_ranges; /* service -> priority_range_t */
};

/* Lowest and highest priority number of the routes of a service. */
typedef struct priority_range {
	uint32_t min;
	uint32_t max;
} priority_range_t;

static gpointer route_key(uint32_t address, uint16_t port);
static void route_free(gpointer data);
static void extend_range(GHashTable *priority_ranges, const char *service,
			 uint32_t priority);

/* Packs address and port into a pointer-sized key, never NULL. */
static gpointer route_key(uint32_t address, uint16_t port)
{
	return (gpointer)(uintptr_t)(((uint64_t)address << 16 | port) + 1);
}

static void route_free(gpointer data)
{
	route_t *route = data;

	free(route->shares);
	free(route);
}

route_table_t *route_table_new(uint64_t version, uint32_t idle_timeout_ms)
{
	route_table_t *t = calloc(1, sizeof(*t));

	if (!t)
		return NULL;
	t->refs = 1;
	t->version = version;
	t->idle_timeout_ms = idle_timeout_ms;
	t->names = g_string_chunk_new(NAMES_BLOCK);
	t->routes = g_hash_table_new_full(NULL, NULL, NULL, route_free);
	t->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	t->priority_ranges =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	return t;
}

route_table_t *route_table_ref(route_table_t *t)
{
	t->refs++;
	return t;
}

void route_table_unref(route_table_t *t)
{
	if (!t || --t->refs > 0)
		return;
	g_hash_table_destroy(t->priority_ranges);
	g_hash_table_destroy(t->services);
	g_hash_table_destroy(t->routes);
	g_string_chunk_free(t->names);
	free(t);
}

static void extend_range(GHashTable *priority_ranges, const char *service,
			 uint32_t priority)
{
	priority_range_t *s = g_hash_table_lookup(priority_ranges, service);

	if (!s) {
		s = g_new(priority_range_t, 1);
		s->min = s->max = priority;
		g_hash_table_insert(priority_ranges, (gpointer)service, s);
	}
	s->min = MIN(s->min, priority);
	s->max = MAX(s->max, priority);
}

int route_table_add(route_table_t *t, const route_t *route, err_t *err)
{
	gpointer key = route_key(route->address, route->port);
	char text[ENDPOINT_TEXT_SIZE];
	route_t *copy;

	if (route->nshares == 0)
		return err_set(err, ERR_MISSING, NULL, 0,
			       "give the route at least one service",
			       "route \"%s\" has no service", route->name);
	if (g_hash_table_contains(t->routes, key))
		return err_set(err, ERR_DUPLICATE, NULL, 0,
			       "give each route an address and port of its own",
			       "route \"%s\" repeats the address and port of "
			       "another route, %s port %u",
			       route->name, ipv4_format(route->address, text),
			       route->port);
	copy = g_memdup2(route, sizeof(*route));
	copy->name = g_string_chunk_insert(t->names, route->name);
	copy->shares = g_memdup2(route->shares,
				 route->nshares * sizeof(*route->shares));
	g_hash_table_insert(t->routes, key, copy);
	for (size_t i = 0; i < copy->nshares; i++)
		extend_range(t->priority_ranges, copy->shares[i].service,
			     copy->priority);
	return 0;
}

void route_table_skip(route_table_t *t, uint32_t n)
{
	t->skipped += n;
}

uint32_t route_table_skipped(const route_table_t *t)
{
	return t->skipped;
}

double route_relative_priority(const route_table_t *t, const route_t *route,
			       const char *service)
{
	const priority_range_t *s =
		g_hash_table_lookup(t->priority_ranges, service);

	if (!s || s->max == s->min)
		return 0;
	return (double)(s->max - route->priority) / (s->max - s->min);
}

void route_table_set_service(route_table_t *t, const route_service_t *service)
{
	route_service_t *copy = g_memdup2(service, sizeof(*service));

	g_hash_table_replace(t->services, (gpointer)copy->name, copy);
}

const route_service_t *route_table_service(const route_table_t *t,
					   const char *name)
{
	return g_hash_table_lookup(t->services, name);
}

void route_table_each_service(const route_table_t *t,
			      void (*each)(void *ctx,
					   const route_service_t *service),
			      void *ctx)
{
	GHashTableIter iter;
	gpointer service;

	g_hash_table_iter_init(&iter, t->services);
	while (g_hash_table_iter_next(&iter, NULL, &service))
		each(ctx, service);
}

bool route_table_names_service(const route_table_t *t, const char *name)
{
	return g_hash_table_contains(t->priority_ranges, name) ||
	       g_hash_table_contains(t->services, name);
}

uint64_t route_table_version(const route_table_t *t)
{
	return t->version;
}

uint32_t route_table_idle_timeout_ms(const route_table_t *t)
{
	return t->idle_timeout_ms;
}

size_t route_table_count(const route_table_t *t)
{
	return g_hash_table_size(t->routes);
}

void route_table_each(const route_table_t *t,
		      void (*each)(void *ctx, const route_t *route), void *ctx)
{
	GHashTableIter iter;
	gpointer route;

	g_hash_table_iter_init(&iter, t->routes);
	while (g_hash_table_iter_next(&iter, NULL, &route))
		each(ctx, route);
}

const route_t *route_find(const route_table_t *t, uint32_t address,
			  uint16_t port)
{
	return g_hash_table_lookup(t->routes, route_key(address, port));
}

const char *route_select_service(const route_t *route, uint64_t hash)
{
	uint64_t total = 0, point;

	for (size_t i = 0; i < route->nshares; i++)
		total += route->shares[i].weight;
	if (total == 0)
		return route->shares[0].service;
	point = hash % total;
	for (size_t i = 0; i < route->nshares; i++) {
		if (point < route->shares[i].weight)
			return route->shares[i].service;
		point -= route->shares[i].weight;
	}
	return route->shares[0].service;
}

uint32_t service_tag(const char *service)
{
	return (uint32_t)XXH64(service, strlen(service), 0);
}
