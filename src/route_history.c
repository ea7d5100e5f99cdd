#include "route_history.h"
#include <stdlib.h>
#include <string.h>

struct route_history {
	uint64_t flow_lifetime_ms;
	/* Time since which all versions are known; 0: for ever, UINT64_MAX:
	 * none is. */
	uint64_t seen_since;
	/* Address and port -> GArray of former_service_t, the last in force
	 * first. */
	GHashTable *former;
};

/* A replacement in progress. */
typedef struct replacement {
	route_history_t *h;
	const route_table_t *next;
	uint64_t now;
} replacement_t;

static gpointer route_key(uint32_t address, uint16_t port);
static void array_free(gpointer data);
static bool in_life(const route_history_t *h, uint64_t now, uint64_t at);
static bool names_service(const route_table_t *t, const route_t *route,
			  const char *service);
static void add_former(void *ctx, const route_t *route);
static gboolean is_out_of_life(gpointer key, gpointer value, gpointer ctx);

/* Packs address and port into a pointer-sized key. */
static gpointer route_key(uint32_t address, uint16_t port)
{
	return (gpointer)(uintptr_t)((uint64_t)address << 16 | port);
}

static void array_free(gpointer data)
{
	g_array_free(data, TRUE);
}

static GArray *find_former(const route_history_t *h, uint32_t address,
			   uint16_t port)
{
	return g_hash_table_lookup(h->former, route_key(address, port));
}

route_history_t *route_history_new(uint64_t flow_lifetime_ms)
{
	route_history_t *h = calloc(1, sizeof(*h));

	if (!h)
		return NULL;
	h->flow_lifetime_ms = flow_lifetime_ms;
	h->seen_since = UINT64_MAX;
	h->former = g_hash_table_new_full(NULL, NULL, NULL, array_free);
	return h;
}

void route_history_free(route_history_t *h)
{
	if (!h)
		return;
	g_hash_table_destroy(h->former);
	free(h);
}

/* True when a flow that was opened at that time may still be open. */
static bool in_life(const route_history_t *h, uint64_t now, uint64_t at)
{
	return now < at + h->flow_lifetime_ms;
}

static bool names_service(const route_table_t *t, const route_t *route,
			  const char *service)
{
	const route_t *same =
		t ? route_find(t, route->address, route->port) : NULL;

	for (size_t i = 0; same && i < same->nshares; i++)
		if (!strcmp(same->shares[i].service, service))
			return true;
	return false;
}

static void add_former(void *ctx, const route_t *route)
{
	replacement_t *r = ctx;

	for (size_t i = 0; i < route->nshares; i++)
		if (!names_service(r->next, route, route->shares[i].service))
			route_history_add(r->h, route->address, route->port,
					  route->shares[i].service, r->now);
}

void route_history_replace(route_history_t *h, uint64_t now,
			   const route_table_t *old, const route_table_t *next,
			   bool skipped)
{
	replacement_t r = { h, next, now };

	if ((old && skipped) || h->seen_since == UINT64_MAX)
		h->seen_since = now;
	g_hash_table_foreach_remove(h->former, is_out_of_life, &r);
	if (old)
		route_table_each(old, add_former, &r);
}

void route_history_add(route_history_t *h, uint32_t address, uint16_t port,
		       const char *service, uint64_t last_in_force)
{
	former_service_t new = { address, port, g_intern_string(service),
				 last_in_force };
	GArray *list = find_former(h, address, port);
	guint at = 0;

	if (!list) {
		list = g_array_new(FALSE, FALSE, sizeof(former_service_t));
		g_hash_table_insert(h->former, route_key(address, port), list);
	}
	for (guint i = 0; i < list->len; i++) {
		const former_service_t *s =
			&g_array_index(list, former_service_t, i);

		if (s->service != new.service)
			continue;
		if (s->last_in_force >= last_in_force)
			return;
		g_array_remove_index(list, i);
		break;
	}
	while (at < list->len &&
	       g_array_index(list, former_service_t, at).last_in_force >=
		       last_in_force)
		at++;
	g_array_insert_val(list, at, new);
}

void route_history_set_seen_ms(route_history_t *h, uint64_t now,
			       uint64_t seen_ms)
{
	uint64_t since = seen_ms < now ? now - seen_ms : 0;

	if (since < h->seen_since)
		h->seen_since = since;
}

uint64_t route_history_seen_ms(const route_history_t *h, uint64_t now)
{
	if (h->seen_since == 0)
		return UINT64_MAX;
	return now > h->seen_since ? now - h->seen_since : 0;
}

bool route_history_complete(const route_history_t *h, uint64_t now)
{
	return route_history_seen_ms(h, now) >= h->flow_lifetime_ms;
}

void route_history_find(const route_history_t *h, uint64_t now,
			uint32_t address, uint16_t port, GPtrArray *services)
{
	const GArray *list = find_former(h, address, port);

	for (guint i = 0; list && i < list->len; i++) {
		const former_service_t *s =
			&g_array_index(list, former_service_t, i);

		if (in_life(h, now, s->last_in_force))
			g_ptr_array_add(services, (gpointer)s->service);
	}
}

/* Removes the services of a route that are out of life. */
static gboolean is_out_of_life(gpointer key, gpointer value, gpointer ctx)
{
	const replacement_t *r = ctx;
	GArray *list = value;

	(void)key;
	while (list->len &&
	       !in_life(r->h, r->now,
			g_array_index(list, former_service_t, list->len - 1)
				.last_in_force))
		g_array_set_size(list, list->len - 1);
	return list->len == 0;
}

void route_history_each(const route_history_t *h, uint64_t now,
			void (*each)(void *ctx, const former_service_t *s),
			void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, h->former);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const GArray *list = value;

		for (guint i = 0; i < list->len; i++) {
			const former_service_t *s =
				&g_array_index(list, former_service_t, i);

			if (in_life(h, now, s->last_in_force))
				each(ctx, s);
		}
	}
}

typedef struct name_search {
	const char *service;
	bool found;
} name_search_t;

static void compare_name(void *ctx, const former_service_t *s)
{
	name_search_t *search = ctx;

	search->found |= s->service == search->service;
}

bool route_history_names(const route_history_t *h, uint64_t now,
			 const char *service)
{
	name_search_t search = { service, false };

	route_history_each(h, now, compare_name, &search);
	return search.found;
}

size_t route_history_count(const route_history_t *h)
{
	GHashTableIter iter;
	gpointer value;
	size_t n = 0;

	g_hash_table_iter_init(&iter, h->former);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += ((const GArray *)value)->len;
	return n;
}
