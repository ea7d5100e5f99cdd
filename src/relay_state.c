#include "relay_state.h"
#include "relay.pb-c.h"
#include "relay_mechanism.h"
#include <stdlib.h>
#include <string.h>

typedef Ct__Relay__State state_msg_t;
typedef Ct__Relay__Route route_msg_t;
typedef Ct__Relay__Share share_msg_t;
typedef Ct__Relay__Target target_msg_t;
typedef Ct__Relay__Evacuation evacuation_msg_t;
typedef Ct__Relay__FormerService former_msg_t;
typedef Ct__Relay__Service service_msg_t;

/* Most flows in the lists of all targets: a state has to be small enough for
 * the link of any host. */
#define LISTED_FLOWS_MAX 32768

/* Parts of a protobuf message. */
typedef struct parts {
	GPtrArray *list;  /* elements of a repeated field */
	GPtrArray *owned; /* all allocations, freed with the array */
	uint64_t now;
	size_t nlisted; /* flows in the lists of targets */
} parts_t;

static void *new_part(parts_t *parts, size_t size)
{
	void *part = g_malloc0(size);

	g_ptr_array_add(parts->owned, part);
	return part;
}

static void add_route(void *ctx, const route_t *route)
{
	parts_t *parts = ctx;
	route_msg_t *m = new_part(parts, sizeof(*m));

	ct__relay__route__init(m);
	m->name = (char *)route->name;
	m->address = route->address;
	m->port = route->port;
	m->idempotent = route->idempotent;
	m->priority = route->priority;
	m->timeout_ms = route->timeout_ms;
	m->aim_ms = route->objective_ms;
	m->n_shares = route->nshares;
	m->shares = g_new0(share_msg_t *, route->nshares);
	g_ptr_array_add(parts->owned, m->shares);
	for (size_t i = 0; i < route->nshares; i++) {
		share_msg_t *share = new_part(parts, sizeof(*share));

		ct__relay__share__init(share);
		share->service = (char *)route->shares[i].service;
		share->weight = route->shares[i].weight;
		m->shares[i] = share;
	}
	g_ptr_array_add(parts->list, m);
}

static void add_service(void *ctx, const route_service_t *service)
{
	parts_t *parts = ctx;
	service_msg_t *m = new_part(parts, sizeof(*m));

	ct__relay__service__init(m);
	m->name = (char *)service->name;
	m->max_flows = service->max_flows;
	m->warmup_ms = service->warmup_ms;
	m->warmup_per_s = service->warmup_per_s;
	g_ptr_array_add(parts->list, m);
}

static void add_target(relay_balancer_t *b, parts_t *parts, uint64_t now,
		       const target_entry_t *e)
{
	target_msg_t *m = new_part(parts, sizeof(*m));
	const uint32_t *listed;
	uint64_t age_ms;
	size_t n;

	ct__relay__target__init(m);
	m->id = (char *)e->id;
	m->service = (char *)e->service;
	m->zone = (char *)e->zone;
	m->ip = e->address.ip;
	m->port = e->address.port;
	m->slots = e->slots;
	m->started_ms = e->started_ms;
	m->state = e->state;
	m->revision = e->revision.number;
	m->era = e->revision.era;
	m->write_number = e->write_number;
	if (now < e->warmup_end_ms)
		m->cold_ms = (uint32_t)(e->warmup_end_ms - now);
	if (e->missing_since_ms)
		m->missing_ms = (uint32_t)(now - e->missing_since_ms) + 1;
	else if (e->state == ENTRY_GONE)
		m->missing_ms = (uint32_t)(now - e->state_since_ms) + 1;
	if (e->overwritten_since_ms)
		m->overwritten_ms =
			(uint32_t)(now - e->overwritten_since_ms) + 1;
	listed = relay_balancer_listed(b, e->address.ip, &n, &age_ms);
	if (listed && parts->nlisted + n <= LISTED_FLOWS_MAX) {
		m->listed_flows = (uint32_t *)listed;
		m->n_listed_flows = n;
		m->listed_age_ms = (uint32_t)age_ms;
		parts->nlisted += n;
	}
	g_ptr_array_add(parts->list, m);
}

static void add_evacuation(parts_t *parts, uint64_t now, const evacuation_t *e)
{
	evacuation_msg_t *m = new_part(parts, sizeof(*m));

	ct__relay__evacuation__init(m);
	m->zone = (char *)e->zone;
	m->active = e->active;
	m->revision = e->revision.number;
	m->era = e->revision.era;
	if (e->unconfirmed_since_ms)
		m->unconfirmed_ms =
			(uint32_t)(now - e->unconfirmed_since_ms) + 1;
	g_ptr_array_add(parts->list, m);
}

static void add_former(void *ctx, const former_service_t *s)
{
	parts_t *parts = ctx;
	former_msg_t *m = new_part(parts, sizeof(*m));

	ct__relay__former_service__init(m);
	m->address = s->address;
	m->port = s->port;
	m->service = (char *)s->service;
	m->ago_ms = parts->now - s->last_in_force;
	g_ptr_array_add(parts->list, m);
}

void relay_state_pack(relay_balancer_t *b, uint64_t now,
		      store_revision_t revision, GString *out)
{
	GPtrArray *owned = g_ptr_array_new_with_free_func(g_free);
	parts_t routes = { g_ptr_array_new(), owned, now, 0 };
	parts_t targets = { g_ptr_array_new(), owned, now, 0 };
	parts_t evacuations = { g_ptr_array_new(), owned, now, 0 };
	parts_t former = { g_ptr_array_new(), owned, now, 0 };
	parts_t services = { g_ptr_array_new(), owned, now, 0 };
	const route_history_t *history = relay_balancer_route_history(b);
	const route_table_t *table = relay_balancer_route_table(b);
	state_msg_t state = CT__RELAY__STATE__INIT;
	size_t offset = out->len, size;

	if (table) {
		state.version = route_table_version(table);
		state.skipped_routes = route_table_skipped(table);
		state.idle_timeout_ms = route_table_idle_timeout_ms(table);
		route_table_each(table, add_route, &routes);
		route_table_each_service(table, add_service, &services);
	}
	list_each(node, directory_entries(relay_balancer_directory(b)))
	{
		add_target(b, &targets, now,
			   list_entry(node, target_entry_t, node));
	}
	list_each(node, evacuations_list(relay_balancer_evacuations(b)))
	{
		add_evacuation(&evacuations, now,
			       list_entry(node, evacuation_t, node));
	}
	state.hiding_ms =
		(uint32_t)directory_hiding_ms(relay_balancer_directory(b), now);
	state.services = (service_msg_t **)services.list->pdata;
	state.n_services = services.list->len;
	state.tells_evacuations = true;
	state.evacuations = (evacuation_msg_t **)evacuations.list->pdata;
	state.n_evacuations = evacuations.list->len;
	route_history_each(history, now, add_former, &former);
	state.former = (former_msg_t **)former.list->pdata;
	state.n_former = former.list->len;
	state.routes_seen_ms = route_history_seen_ms(history, now);
	state.revision = revision.number;
	state.era = revision.era;
	state.routes = (route_msg_t **)routes.list->pdata;
	state.n_routes = routes.list->len;
	state.targets = (target_msg_t **)targets.list->pdata;
	state.n_targets = targets.list->len;
	size = ct__relay__state__get_packed_size(&state);
	g_string_set_size(out, offset + size);
	ct__relay__state__pack(&state, (uint8_t *)out->str + offset);
	g_ptr_array_free(routes.list, TRUE);
	g_ptr_array_free(targets.list, TRUE);
	g_ptr_array_free(evacuations.list, TRUE);
	g_ptr_array_free(former.list, TRUE);
	g_ptr_array_free(services.list, TRUE);
	g_ptr_array_free(owned, TRUE);
}

static int read_route(route_table_t *t, const route_msg_t *m)
{
	g_autofree route_share_t *shares = g_new0(route_share_t, m->n_shares);
	route_t route = { .address = m->address,
			  .port = (uint16_t)m->port,
			  .idempotent = m->idempotent,
			  .priority = m->priority,
			  .timeout_ms = m->timeout_ms,
			  .objective_ms = m->aim_ms,
			  .shares = shares,
			  .nshares = m->n_shares };
	err_t err;

	route.name = m->name;
	for (size_t i = 0; i < m->n_shares; i++) {
		shares[i].service = g_intern_string(m->shares[i]->service);
		shares[i].weight = m->shares[i]->weight;
	}
	return route_table_add(t, &route, &err);
}

static void read_service(route_table_t *t, const service_msg_t *m)
{
	route_service_t service = { .name = g_intern_string(m->name),
				    .max_flows = m->max_flows,
				    .warmup_ms = m->warmup_ms,
				    .warmup_per_s = m->warmup_per_s };

	route_table_set_service(t, &service);
}

static void read_routes(relay_balancer_t *b, const state_msg_t *state)
{
	route_table_t *t =
		route_table_new(state->version, state->idle_timeout_ms);

	for (size_t i = 0; t && i < state->n_routes; i++) {
		if (read_route(t, state->routes[i]) == 0)
			continue;
		route_table_unref(t);
		return;
	}
	if (t)
		route_table_skip(t, state->skipped_routes);
	for (size_t i = 0; t && i < state->n_services; i++)
		read_service(t, state->services[i]);
	if (t)
		relay_balancer_set_routes(b, t);
}

/* A peer with older routes does not know what was in force between its version
 * and the one here. */
static void read_history(relay_balancer_t *b, uint64_t now,
			 const state_msg_t *state)
{
	route_history_t *h = relay_balancer_route_history(b);

	for (size_t i = 0; i < state->n_former; i++) {
		const former_msg_t *m = state->former[i];

		route_history_add(h, m->address, (uint16_t)m->port, m->service,
				  now > m->ago_ms ? now - m->ago_ms : 0);
	}
	if (state->routes_seen_ms &&
	    state->version == relay_balancer_route_version(b))
		route_history_set_seen_ms(h, now, state->routes_seen_ms);
}

static void read_target(relay_balancer_t *b, uint64_t now,
			const target_msg_t *m)
{
	directory_t *d = relay_balancer_directory(b);
	target_entry_t e = { .address = { m->ip, (uint16_t)m->port },
			     .slots = m->slots,
			     .started_ms = m->started_ms,
			     .warmup_ms = m->cold_ms,
			     .write_number = m->write_number,
			     .revision = { m->era, m->revision } };

	if (m->state > ENTRY_GONE)
		return;
	e.state = (entry_state_t)m->state;
	g_strlcpy(e.id, m->id, sizeof(e.id));
	e.service = g_intern_string(m->service);
	e.zone = g_intern_string(m->zone);
	directory_put(d, now, &e);
	if (m->missing_ms)
		directory_set_missing(d, now, e.id, e.revision, m->missing_ms);
	if (m->overwritten_ms)
		directory_set_overwritten(d, now, e.id, e.revision,
					  m->overwritten_ms);
	if (m->n_listed_flows)
		relay_balancer_set_listed(b, m->ip, m->listed_flows,
					  m->n_listed_flows, m->listed_age_ms);
}

/* A peer of an earlier version tells nothing of evacuations. */
static void read_evacuations(evacuations_t *s, uint64_t now,
			     const state_msg_t *state)
{
	store_revision_t listed = { state->era, state->revision };

	if (!state->tells_evacuations)
		return;
	evacuations_resync_begin(s, LISTING_PEER);
	for (size_t i = 0; i < state->n_evacuations; i++) {
		const evacuation_msg_t *m = state->evacuations[i];
		store_revision_t revision = { m->era, m->revision };

		if (!m->active) {
			evacuations_remove(s, now, m->zone, revision);
			continue;
		}
		evacuations_put(s, now, m->zone, revision);
		if (m->unconfirmed_ms)
			evacuations_set_unconfirmed(s, now, m->zone,
						    m->unconfirmed_ms);
	}
	evacuations_resync_end(s, LISTING_PEER, now, listed);
}

store_revision_t relay_state_apply(relay_balancer_t *b, uint64_t now,
				   const char *bytes, size_t len)
{
	directory_t *d = relay_balancer_directory(b);
	state_msg_t *state = NULL;
	store_revision_t revision = { 0 };

	if (len <= RELAY_STATE_MAX)
		state = ct__relay__state__unpack(NULL, len,
						 (const uint8_t *)bytes);
	if (!state)
		return revision;
	if (state->version && state->revision) {
		if (relay_mechanism_on(RELAY_PEER_RESYNC))
			directory_resync_begin(d, LISTING_PEER);
		read_routes(b, state);
		read_history(b, now, state);
		for (size_t i = 0; i < state->n_targets; i++)
			read_target(b, now, state->targets[i]);
		directory_set_hiding(d, now, state->hiding_ms);
		read_evacuations(relay_balancer_evacuations(b), now, state);
		revision.era = state->era;
		revision.number = state->revision;
		if (relay_mechanism_on(RELAY_PEER_RESYNC))
			directory_resync_end(d, LISTING_PEER, now, revision);
	}
	ct__relay__state__free_unpacked(state, NULL);
	return revision;
}
