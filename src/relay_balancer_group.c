#include "relay_balancer_int.h"

/* Factor on the rank weight of members in the balancer's availability zone:
 * opens and look-ups stay in the zone as long as the members' load allows. */
#define LOCAL_WEIGHT 4.0
/* Hash seed of the ranking, the same at all balancers. The choice among the
 * services of a route uses seed 0. */
#define RANK_SEED 1

static void group_free(void *data);
static void update_ranks(relay_group_t *g);

static void group_free(void *data)
{
	relay_group_t *g = data;

	g_ptr_array_free(g->members, TRUE);
	g_array_free(g->ranks, TRUE);
	g_free(g);
}

GHashTable *relay_groups_new(void)
{
	return g_hash_table_new_full(NULL, NULL, NULL, group_free);
}

relay_group_t *relay_group_find(const relay_balancer_t *b, const char *service)
{
	return g_hash_table_lookup(b->groups, service);
}

void relay_group_update(relay_balancer_t *b, relay_member_t *m)
{
	relay_group_t *g = relay_group_find(b, m->service);

	if (!g) {
		g = g_new0(relay_group_t, 1);
		g->members = g_ptr_array_new();
		g->ranks = g_array_new(FALSE, FALSE, sizeof(rank_member_t));
		g_hash_table_insert(b->groups, (gpointer)m->service, g);
	}
	g->stale = true;
	b->generation++;
	if (m->group == g)
		return;
	relay_group_remove(m);
	g_ptr_array_add(g->members, m);
	m->group = g;
}

void relay_group_remove(relay_member_t *m)
{
	if (!m->group)
		return;
	g_ptr_array_remove_fast(m->group->members, m);
	m->group->stale = true;
	m->group = NULL;
}

static void update_ranks(relay_group_t *g)
{
	g_array_set_size(g->ranks, 0);
	for (guint i = 0; i < g->members->len; i++) {
		const relay_member_t *m = g_ptr_array_index(g->members, i);
		rank_member_t r = { m->agent, m->slots ? m->slots : 1 };

		if (m->local && relay_mechanism_on(RELAY_ZONE_PREFERENCE))
			r.weight *= LOCAL_WEIGHT;
		g_array_append_val(g->ranks, r);
	}
	g->stale = false;
}

size_t relay_group_rank(relay_group_t *g, const flow_key_t *key,
			uint32_t *order, size_t want, rank_accept_fn accept,
			const void *ctx)
{
	uint64_t hash = flow_key_hash(key, RANK_SEED);

	if (g->stale)
		update_ranks(g);
	return rank_best_filtered(hash, (rank_member_t *)(void *)g->ranks->data,
				  g->ranks->len, order, want, accept, ctx);
}
